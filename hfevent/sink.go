package hfevent

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
)

// Sink is an asynchronous writer of log lines that never blocks its callers. Lines that
// arrive while its buffer is full are dropped and counted.
type Sink struct {
	lines    chan []byte
	buffered atomic.Int64 // bytes of the lines
	maxBytes int64
	dropped  atomic.Int64
	out      io.Writer
}

// NewSink returns a Sink that buffers up to size lines and maxBytes for out. Run writes them.
func NewSink(out io.Writer, size int, maxBytes int64) *Sink {
	return &Sink{lines: make(chan []byte, size), maxBytes: maxBytes, out: out}
}

// Write implements io.Writer. It copies one line to the buffer, or drops it when the
// buffer is full.
func (s *Sink) Write(line []byte) (int, error) {
	size := int64(len(line))
	if s.buffered.Add(size) <= s.maxBytes {
		select {
		case s.lines <- append([]byte(nil), line...):
			return len(line), nil
		default:
		}
	}
	s.buffered.Add(-size)
	s.dropped.Add(1)
	return len(line), nil
}

// add appends a line to a batch. The line is buffered no longer.
func (s *Sink) add(batch, line []byte) []byte {
	s.buffered.Add(-int64(len(line)))
	return append(batch, line...)
}

// Sync implements zapcore.WriteSyncer. It does nothing: Run writes the buffered lines.
func (s *Sink) Sync() error { return nil }

// Dropped returns the number of lines dropped since the last call.
func (s *Sink) Dropped() int64 { return s.dropped.Swap(0) }

// Run writes lines to the underlying writer until ctx ends. Lines that are buffered at the
// same time are written in one batch of about maxBatchBytes at most. The lines that are
// buffered when ctx ends are written as one last batch; any beyond its size are lost.
func (s *Sink) Run(ctx context.Context) error {
	var batch []byte
	for ended := false; !ended; {
		batch = batch[:0]
		select {
		case line := <-s.lines:
			batch = s.add(batch, line)
		case <-ctx.Done():
			ended = true
		}
		for more := true; more && len(batch) < maxBatchBytes; {
			select {
			case line := <-s.lines:
				batch = s.add(batch, line)
			default:
				more = false
			}
		}
		if _, err := s.out.Write(batch); err != nil {
			return fmt.Errorf("write log: %w", err)
		}
	}
	return nil
}

// maxBatchBytes is the size at which a batch takes no further lines.
const maxBatchBytes = 64 << 10
