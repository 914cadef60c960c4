package hfentry

import (
	"errors"
	"sync"
	"time"

	"github.com/heatherfront/heatherfront/hfstore"
)

const (
	maxFailures   = 2                      // consecutive failed calls after which the store counts as down
	probeInterval = 250 * time.Millisecond // between the calls that are let through while the store is down
)

// StoreHealth tracks whether the store answers this instance. While the store is down, callers
// are refused at once, except for an occasional call that probes the store.
type StoreHealth struct {
	mu         sync.Mutex
	failures   int           // consecutive
	nextProbe  time.Time     // while the store is down, no call is let through before this time
	lastAnswer time.Time     // when the store last answered
	upSince    time.Time     // when the store last answered after it had been down; zero if it never was
	answered   chan struct{} // closed by the next answer; nil unless the last call failed
	onChange   func(down bool, silent time.Duration)
}

// NewStoreHealth returns the health of a store that has not been called yet. onChange is
// called when the store goes down or answers again, with the time since its last answer.
func NewStoreHealth(onChange func(down bool, silent time.Duration)) *StoreHealth {
	return &StoreHealth{onChange: onChange}
}

// Record records the result of a call of the store.
func (h *StoreHealth) Record(err error, now time.Time) {
	h.mu.Lock()
	wasDown, silent := h.failures >= maxFailures, now.Sub(h.lastAnswer)
	if errors.Is(err, hfstore.ErrUnavailable) || errors.Is(err, hfstore.ErrRefused) {
		h.failures++
		if h.answered == nil {
			h.answered = make(chan struct{})
		}
		h.nextProbe = now.Add(probeInterval)
	} else {
		h.failures, h.lastAnswer = 0, now
		if h.answered != nil {
			close(h.answered)
			h.answered = nil
		}
		if wasDown {
			h.upSince = now
		}
	}
	isDown := h.failures >= maxFailures
	h.mu.Unlock()
	if wasDown != isDown {
		h.onChange(isDown, silent)
	}
}

// Allow reports whether a call may be sent now.
func (h *StoreHealth) Allow(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.failures < maxFailures {
		return true
	}
	if now.Before(h.nextProbe) {
		return false
	}
	h.nextProbe = now.Add(probeInterval)
	return true
}

// Down reports whether the store counts as down.
func (h *StoreHealth) Down() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failures >= maxFailures
}

// Failing reports whether the last call got no answer.
func (h *StoreHealth) Failing() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failures > 0
}

// Answered returns a channel that is closed once the store answers.
func (h *StoreHealth) Answered() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.answered == nil {
		answered := make(chan struct{})
		close(answered)
		return answered
	}
	return h.answered
}

// UpSince returns when the store last answered after it had been down, or zero.
func (h *StoreHealth) UpSince() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.upSince
}

// LastAnswer returns the time of the last answer.
func (h *StoreHealth) LastAnswer() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastAnswer
}

const (
	// A refused caller is told to wait as long as the store has been silent, within these
	// bounds: an outage that has lasted long usually continues. Callers give up after a few
	// tries, so that short waits alone would not outlast an outage.
	minRetryAfter = time.Second
	maxRetryAfter = 4 * time.Second
)

// RetryAfter returns how long a refused caller should wait before it tries again.
func (h *StoreHealth) RetryAfter(now time.Time) time.Duration {
	if !h.Down() {
		return minRetryAfter
	}
	return min(max(now.Sub(h.LastAnswer()), minRetryAfter), maxRetryAfter)
}
