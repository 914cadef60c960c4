package hfevent

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// stalledWriter is a writer whose Write blocks until release is closed.
type stalledWriter struct{ release chan struct{} }

func (s stalledWriter) Write(b []byte) (int, error) {
	<-s.release
	return len(b), nil
}

func TestStalledReaderBlocksNobody(t *testing.T) {
	out := stalledWriter{release: make(chan struct{})}
	s := NewSink(out, 8)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	written := make(chan struct{})
	go func() {
		for range 1000 {
			_, _ = s.Write([]byte("line\n"))
		}
		close(written)
	}()
	select {
	case <-written:
	case <-time.After(10 * time.Second):
		t.Fatal("the writer is blocked")
	}
	require.GreaterOrEqual(t, s.Dropped(), int64(900))
	require.Zero(t, s.Dropped(), "each dropped line is counted once")
	close(out.release)
	cancel()
	require.NoError(t, <-ended)
}
