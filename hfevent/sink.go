package hfevent

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
)

// Sink passes lines on to a writer and never blocks those who log: lines that the
// writer cannot take in time are dropped and counted.
type Sink struct {
	lines   chan []byte
	dropped atomic.Int64
	out     io.Writer
}

// NewSink returns a sink that holds up to size lines for out.
func NewSink(out io.Writer, size int) *Sink {
	return &Sink{lines: make(chan []byte, size), out: out}
}

// Write implements io.Writer for one line.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer.
func (s *Sink) Sync() error { return nil }

// Dropped returns the number of lines dropped since the last call.
func (s *Sink) Dropped() int64 { return s.dropped.Swap(0) }

// Run writes lines until ctx ends, and then those that wait. Lines that wait together
// are written together.
func (s *Sink) Run(ctx context.Context) error {
	var batch []byte
	for {
		select {
		case line := <-s.lines:
			batch = append(batch[:0], line...)
		case <-ctx.Done():
			batch = batch[:0]
		}
		for more := true; more && len(batch) < maxBatch; {
			select {
			case line := <-s.lines:
				batch = append(batch, line...)
			default:
				more = false
			}
		}
		if _, err := s.out.Write(batch); err != nil {
			return fmt.Errorf("write log: %w", err)
		}
		if ctx.Err() != nil {
			return nil
		}
	}
}

// maxBatch is the number of bytes that are written at once.
const maxBatch = 64 << 10
