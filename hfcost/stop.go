package hfcost

import "time"

// Holding is room that a claim holds, and what a stop would take away.
type Holding struct {
	claim     Claim
	cores     float64       // with accelerators as cores
	lost      time.Duration // run time that would be done again
	remaining time.Duration // of the longest chain of steps, without a stop
}

// NewHolding returns room of the given number of cores. lost is the run time that would be done again
// after a stop, and remaining what remains of the longest chain of steps without one.
func NewHolding(c Claim, cores float64, lost, remaining time.Duration) Holding {
	return Holding{claim: c, cores: cores, lost: lost, remaining: remaining}
}

// loses reports whether the claim could still reach a standing, and a stop takes that away: it has to
// wait for room again, about as long as the other one holds it, and does what is lost once more.
func (h Holding) loses(held time.Duration, now time.Time) bool {
	c := h.claim
	if !c.timed() {
		return false
	}
	c.remaining = h.remaining
	before := c.Standing(now)
	c.remaining += h.lost + held
	return before != Overdue && c.Standing(now) > before
}

// StopCost returns what is done again after a stop, in core-seconds.
func (h Holding) StopCost() float64 { return h.lost.Seconds() * h.cores }

// MayStop reports whether a claim gains enough by the room that its holder may be stopped. Priorities and
// guarantees decide before it is asked. A claim that a guarantee covers may stop whatever those allow, and so may
// one that can meet its objective. One that cannot any more leaves those alone that would lose theirs.
func (c Claim) MayStop(h Holding, now time.Time) bool {
	if c.guaranteed || c.Standing(now) == OnTime {
		return true
	}
	return !h.loses(c.remaining, now)
}
