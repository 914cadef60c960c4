package hforder

import (
	"slices"
	"time"
)

const (
	// targetDelay is how much longer than the fastest answer of their failure domain most orders
	// may take. Beyond it they wait for each other on a link, or for a processor, and so do the
	// renewals of the leader's lease: a tenth of that lease's 1.6 s.
	targetDelay = 160 * time.Millisecond

	initialWindow = 32.0 // orders
	minWindow     = 16.0
	maxWindow     = 1024.0
	windowSamples = 16  // results after which the window is adjusted
	windowShrink  = 0.7 // factor by which the window shrinks
	windowGrowth  = 8.0 // orders by which a window that was full grows while answers are fast
	slowGrowth    = 1.0 // likewise, while answers take more than half of targetDelay longer
)

// window limits how many orders may be unanswered at the same time, on all workers together. It
// grows while it is full and answers are fast, and shrinks when most orders are delayed. Single
// workers that do not answer leave it as it is. The zero value is an unused window.
type window struct {
	size     float64 // 0 before the first order
	inFlight int
	delays   []time.Duration // of the results since the last adjustment, at most windowSamples
	answers  int             // of these, answered orders
	wasFull  bool            // since the last adjustment
	outdated int             // next results that are of orders sent before the window shrank
}

// full reports whether no order may be sent now.
func (w *window) full() bool {
	if w.size == 0 {
		w.size = initialWindow
	}
	return w.inFlight >= int(w.size)
}

// add records that an order is sent.
func (w *window) add() {
	w.inFlight++
	w.wasFull = w.wasFull || w.full()
}

// finish records the result of an order: it was answered delay later than the fastest ones, or was
// not answered for delay.
func (w *window) finish(delay time.Duration, answered bool) {
	w.inFlight--
	if w.outdated > 0 {
		w.outdated--
		return
	}
	w.delays = append(w.delays, delay)
	if answered {
		w.answers++
	}
	if len(w.delays) < windowSamples {
		return
	}
	slices.Sort(w.delays)
	// On a link that is too slow, all orders are delayed. The lower quartile ignores up to three
	// quarters of the workers being slow or silent by themselves.
	quartile := w.delays[len(w.delays)/4]
	switch {
	case quartile > targetDelay && w.answers == 0:
		// The workers of a rack or a failure domain may be gone.
		w.size, w.outdated = max(min(w.size, initialWindow), w.size*windowShrink), w.inFlight
	case quartile > targetDelay:
		w.size, w.outdated = max(minWindow, w.size*windowShrink), w.inFlight
	case w.wasFull && quartile > targetDelay/2:
		w.size = min(maxWindow, w.size+slowGrowth)
	case w.wasFull:
		w.size = min(maxWindow, w.size+windowGrowth)
	}
	w.delays, w.answers, w.wasFull = w.delays[:0], 0, false
}

// drop records that an order was not sent after all.
func (w *window) drop() { w.inFlight-- }

// roundTrips estimates how long workers take to answer. The zero value has no measurement yet.
type roundTrips struct {
	smoothed, deviation time.Duration            // as of RFC 6298
	fastest             map[string]time.Duration // fastest answer by failure domain
}

// add adds a measured round trip and returns how much longer it took than the fastest one.
func (r *roundTrips) add(domain string, took time.Duration) time.Duration {
	if r.smoothed == 0 {
		r.smoothed, r.deviation = took, took/2
	} else {
		r.deviation += ((r.smoothed - took).Abs() - r.deviation) / 4
		r.smoothed += (took - r.smoothed) / 8
	}
	if r.fastest == nil {
		r.fastest = map[string]time.Duration{}
	}
	if best, ok := r.fastest[domain]; !ok || took < best {
		r.fastest[domain] = took
	}
	return took - r.fastest[domain]
}

// timeout returns how long to wait for an answer.
func (r *roundTrips) timeout() time.Duration {
	return min(max(r.smoothed+4*r.deviation, responseTimeout), maxResponseTimeout)
}

const (
	retryReserve = 64.0 // retries that are allowed before the first answer
	retryShare   = 0.5  // retries that each answered order allows; together at most a third of all orders
)

// retryBudget limits the retries of orders to all workers. The zero value is a full budget.
type retryBudget struct {
	spent float64 // 0 to retryReserve
}

// take takes one retry from the budget, or reports that there is none.
func (b *retryBudget) take() bool {
	if b.spent+1 > retryReserve {
		return false
	}
	b.spent++
	return true
}

// giveBack returns a retry that was not needed.
func (b *retryBudget) giveBack() { b.spent = max(0, b.spent-1) }

// earn records an answered order.
func (b *retryBudget) earn() { b.spent = max(0, b.spent-retryShare) }
