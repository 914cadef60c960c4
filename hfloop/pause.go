package hfloop

import (
	"context"
	"time"
)

// Pause waits for a time. It returns false when ctx ends first.
func Pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
