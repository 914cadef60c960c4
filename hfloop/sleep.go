package hfloop

import (
	"context"
	"time"
)

// Sleep blocks for the duration d. It returns false if ctx ends first.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
