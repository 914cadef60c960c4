package hfevent

import (
	"bytes"
	"context"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// stalledWriter blocks each Write until release is closed. It sends the number of lines
// of each batch to batches when its Write begins.
type stalledWriter struct {
	batches chan int
	release chan struct{}
}

func (s stalledWriter) Write(b []byte) (int, error) {
	s.batches <- bytes.Count(b, []byte("\n"))
	<-s.release
	return len(b), nil
}

// Guards against a reader of the log that stalls: callers must not wait for it, and each line
// that does not fit into the buffer is counted exactly once.
func TestStalledReaderBlocksNobody(t *testing.T) {
	const buffered, lines = 8, 1000
	out := stalledWriter{batches: make(chan int, 2), release: make(chan struct{})}
	s := NewSink(out, buffered, 1<<20)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	_, _ = s.Write([]byte("line\n"))
	select {
	case n := <-out.batches:
		require.Equal(t, 1, n)
	case <-time.After(10 * time.Second):
		t.Fatal("the line is not written")
	}
	written := make(chan struct{})
	go func() {
		for range lines {
			_, _ = s.Write([]byte("line\n"))
		}
		close(written)
	}()
	select {
	case <-written:
	case <-time.After(10 * time.Second):
		t.Fatal("the writer is blocked")
	}
	require.Equal(t, int64(lines-buffered), s.Dropped())
	require.Zero(t, s.Dropped(), "each dropped line is counted once")
	cancel()
	close(out.release)
	require.NoError(t, <-ended)
	close(out.batches)
	rest := 0
	for n := range out.batches {
		rest += n
	}
	require.Equal(t, buffered, rest, "the buffered lines are written when the sink ends")
}

// Guards against long lines, such as those with the paths of callers, that take memory without bound while the
// reader of the log stalls.
func TestBufferedBytesAreBounded(t *testing.T) {
	const maxBytes, length = 1000, 300
	s := NewSink(io.Discard, 100, maxBytes)
	line := append(bytes.Repeat([]byte("x"), length-1), '\n')
	for range 10 {
		n, err := s.Write(line)
		require.NoError(t, err)
		require.Equal(t, length, n)
	}
	require.Equal(t, int64(7), s.Dropped())
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.NoError(t, s.Run(ctx))
	require.Zero(t, s.buffered.Load())
	_, _ = s.Write(line)
	require.Zero(t, s.Dropped(), "there is room again")
}
