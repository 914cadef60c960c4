package hfloop

import (
	"context"
	"time"
)

// Pause blocks for the duration d. It returns false if ctx ends first.
func Pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
