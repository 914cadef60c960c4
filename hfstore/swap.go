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
	maxSwapAttempts  = 4                     // attempts of one write whose answer is lost
	swapInitialDelay = 50 * time.Millisecond // before the second attempt; doubles with each attempt
)

// Swap writes a value by compare-and-swap. If the answer is lost, it reads the key back to
// determine whether the write took effect. The value must be unique to this write, for
// example by containing a writer id, so that a key with the same bytes proves that the
// write took effect.
//
// It fails with ErrConflict if another write came first, and with ErrUnavailable if the
// effect is still unknown after the last attempt.
func Swap(ctx context.Context, s Store, key string, value []byte, version int64) (int64, error) {
	delay := swapInitialDelay
	for attempt := 0; ; attempt++ {
		written, err := s.Put(ctx, key, value, version, "")
		if err == nil {
			return written, nil
		}
		if errors.Is(err, ErrConflict) && attempt == 0 {
			return 0, fmt.Errorf("swap: %w", err)
		}
		if errors.Is(err, ErrBudget) && attempt == 0 {
			return 0, fmt.Errorf("swap: %w", err)
		}
		current, applied, readErr := readBack(ctx, s, key, value, version)
		if readErr == nil && applied {
			return current, nil
		}
		if readErr == nil && current != version {
			return 0, fmt.Errorf("swap %s: %w", key, ErrConflict)
		}
		if attempt == maxSwapAttempts-1 {
			return 0, fmt.Errorf("swap %s: effect unknown: %w", key, ErrUnavailable)
		}
		if !hfloop.Sleep(ctx, delay) {
			return 0, fmt.Errorf("swap %s: %w: %w", key, ErrUnavailable, ctx.Err())
		}
		delay *= 2
	}
}

// readBack returns the current version of the key, and whether its value equals value. The
// version is 0 if the key does not exist.
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
