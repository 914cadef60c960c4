package hfentry

import (
	"time"

	"github.com/heatherfront/heatherfront/hfwork"
)

// recordDrain records the earliest time at which a draining worker may end: each of its entries tells
// how long it still runs, at least, from when it was written. A time of 0 is not written, so that a
// listed entry without one is that of a worker that may end at any time.
func (m *Mirror) recordDrain(w *hfwork.Worker, previous time.Time) {
	if !w.GetDraining() || w.GetRemaining() <= 0 && previous.IsZero() && !m.writtenAfter.IsZero() {
		return
	}
	written := m.writtenAfter
	if written.IsZero() {
		written = m.receivedAt.Add(-m.heartbeatInterval())
	}
	write := m.lastWrites[w.GetId()]
	write.mayEnd = written.Add(time.Duration(w.GetRemaining()) * time.Millisecond)
	if write.mayEnd.Before(previous) {
		write.mayEnd = previous
	}
	m.lastWrites[w.GetId()] = write
}

// drainEnds returns the earliest times at which draining workers may end, by worker, on the clock of
// now; current is the same time on the clock of receivedAt.
func (m *Mirror) drainEnds(current, now time.Time) map[string]time.Time {
	ends := map[string]time.Time{}
	for id, write := range m.lastWrites {
		if !write.mayEnd.IsZero() {
			ends[id] = now.Add(write.mayEnd.Sub(current))
		}
	}
	return ends
}
