package hfstore

import (
	"context"

	"github.com/rotisserie/eris"
)

// ErrTooLarge reports a read whose result exceeds the limit of its context.
var ErrTooLarge = eris.New("the result is larger than the limit")

type maxBytesKey struct{}

// WithMaxBytes returns a context for reads whose results may have at most n bytes of keys and values. Larger ones
// fail with ErrTooLarge once that is known.
func WithMaxBytes(ctx context.Context, n int64) context.Context {
	return context.WithValue(ctx, maxBytesKey{}, n)
}

// MaxBytes returns the limit of a context, or unlimited if it has none.
func MaxBytes(ctx context.Context, unlimited int64) int64 {
	if n, ok := ctx.Value(maxBytesKey{}).(int64); ok {
		return min(n, unlimited)
	}
	return unlimited
}
