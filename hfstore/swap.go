package hfstore

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/heatherfront/heatherfront/hfloop"
)

const (
	swapAttempts = 4                     // tries of one write whose answer was lost
	swapPause    = 50 * time.Millisecond // wait before the first read back
)

// Swap writes a value by compare-and-swap and resolves a lost answer by reading
// the key back. The value must be unique to this write, for instance by a writer
// id in it: a key that holds the same bytes then proves that the write took
// effect.
//
// It returns ErrConflict when another write came first, and ErrUnavailable when
// the effect is still unknown after the last try.
func Swap(ctx context.Context, s Store, key string, value []byte, version int64) (int64, error) {
	pause := swapPause
	for attempt := 0; ; attempt++ {
		next, err := s.Put(ctx, key, value, version, "")
		if err == nil {
			return next, nil
		}
		if errors.Is(err, ErrConflict) && attempt == 0 {
			return 0, fmt.Errorf("swap: %w", err)
		}
		if errors.Is(err, ErrBudget) && attempt == 0 {
			return 0, fmt.Errorf("swap: %w", err)
		}
		found, done, readErr := readBack(ctx, s, key, value, version)
		if readErr == nil && done {
			return found, nil
		}
		if readErr == nil && found != version {
			return 0, fmt.Errorf("swap %s: %w", key, ErrConflict)
		}
		if attempt == swapAttempts-1 {
			return 0, fmt.Errorf("swap %s: effect unknown: %w", key, ErrUnavailable)
		}
		if !hfloop.Pause(ctx, pause) {
			return 0, fmt.Errorf("swap %s: %w: %w", key, ErrUnavailable, ctx.Err())
		}
		pause *= 2
	}
}

// readBack returns the current version of the key and whether it holds value.
func readBack(ctx context.Context, s Store, key string, value []byte, version int64) (int64, bool, error) {
	item, err := s.Get(ctx, key)
	if errors.Is(err, ErrNotFound) {
		return 0, false, nil
	}
	if err != nil {
		return version, false, fmt.Errorf("read back: %w", err)
	}
	return item.Version(), bytes.Equal(item.Value(), value), nil
}
