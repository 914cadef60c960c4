// Package hfcost weighs what a delay, a stop or a refusal costs the callers of jobs that compete for
// too little room. It is pure: the schedulers pass what they know, and time is a value.
package hfcost

import (
	"math"
	"time"
)

// OverdueFactor is the multiple of its objective after which the result of a job has lost its value to
// the caller.
const OverdueFactor = 3

// MaxObjective limits both parts of an objective, so that sums and products with it stay within a
// time.Duration.
const MaxObjective = 20 * 365 * 24 * time.Hour

// Objective is the time within which callers expect the end of a job: a multiple of its longest chain
// of steps, and a constant.
type Objective struct {
	stretch  float64 // of the chain; 0 for no objective
	constant time.Duration
}

// NewObjective returns an objective. A stretch of 0 means that there is none.
func NewObjective(stretch float64, constant time.Duration) Objective {
	return Objective{stretch: max(stretch, 0), constant: min(constant, MaxObjective)}
}

// Set reports whether there is an objective.
func (o Objective) Set() bool { return o.stretch > 0 }

// Limit returns the time within which a job of the given chain has to end.
func (o Objective) Limit(chain time.Duration) time.Duration {
	return time.Duration(min(o.stretch*float64(chain), float64(MaxObjective))) + o.constant
}

// Claim is what is known of a job that asks for room or holds some: what its caller said, and what the
// scheduler has seen since.
type Claim struct {
	priority   uint32
	guaranteed bool // covered by the guarantee of its account; matters for priority 0 only
	objective  Objective
	received   time.Time     // when it was handed in or became due
	chain      time.Duration // longest chain of steps by declared run times
	remaining  time.Duration // of the chain
	work       float64       // remaining core-seconds, with accelerators as cores; above 0
	lasting    bool          // its tasks never end
	lastTurn   time.Time     // of lasting tasks: when they got room last; zero if never
}

// minWork is the least work that counts, so that a job without any has a finite cost per core-second.
const minWork = 0.001

// NewClaim returns the claim of a job handed in at the given time, with work core-seconds remaining.
//
//	c := hfcost.NewClaim(0, received, 40).WithObjective(hfcost.NewObjective(1.5, 400*time.Millisecond), 2*time.Second, 2*time.Second)
func NewClaim(priority uint32, received time.Time, work float64) Claim {
	return Claim{priority: priority, received: received, work: max(work, minWork)}
}

// WithObjective sets the objective of the job, its longest chain and what remains of it.
func (c Claim) WithObjective(o Objective, chain, remaining time.Duration) Claim {
	c.objective, c.chain, c.remaining = o, chain, remaining
	return c
}

// Guaranteed marks a job that the guarantee of its account covers.
func (c Claim) Guaranteed(guaranteed bool) Claim { c.guaranteed = guaranteed; return c }

// Lasting marks tasks that never end. They take turns: those that got room longest ago go first. Those that never
// did, with a zero time, go before work that ends.
func (c Claim) Lasting(lastTurn time.Time) Claim { c.lasting, c.lastTurn = true, lastTurn; return c }

// neverRan reports whether the claim is that of lasting tasks that had no room yet.
func (c *Claim) neverRan() bool { return c.lasting && c.lastTurn.IsZero() }

// IsLasting reports whether the claim is that of lasting tasks.
func (c Claim) IsLasting() bool { return c.lasting }

// Priority returns the priority, 0 for the most urgent work.
func (c Claim) Priority() uint32 { return c.priority }

// IsGuaranteed reports whether the guarantee of its account covers the claim.
func (c Claim) IsGuaranteed() bool { return c.guaranteed }

// Received returns when the job was handed in or became due.
func (c Claim) Received() time.Time { return c.received }

// WithRemaining sets what remains of the longest chain of steps.
func (c Claim) WithRemaining(remaining time.Duration) Claim { c.remaining = remaining; return c }

// Work returns the remaining core-seconds.
func (c Claim) Work() float64 { return c.work }

// Standing is the best result that a claim can still reach if it gets room now.
type Standing int

// The standings.
const (
	OnTime  Standing = iota // can meet its objective
	Late                    // misses its objective but is still of use
	Overdue                 // has lost its value to the caller
)

// Standing returns the best result that the claim can still reach by declared run times. Without an
// objective it is OnTime.
func (c Claim) Standing(now time.Time) Standing {
	switch {
	case !c.timed():
		return OnTime
	case c.slack(now, 1) >= 0:
		return OnTime
	case c.slack(now, OverdueFactor) >= 0:
		return Late
	}
	return Overdue
}

// timed reports whether the claim has an objective.
func (c Claim) timed() bool { return !c.lasting && c.objective.Set() }

// Slack returns how long the claim can wait and still meet its objective; it is negative if it can't.
func (c Claim) Slack(now time.Time) time.Duration { return c.slack(now, 1) }

// slack returns how long the claim can wait and still end within a multiple of its objective.
func (c Claim) slack(now time.Time, objectives time.Duration) time.Duration {
	return objectives*c.objective.Limit(c.chain) - c.remaining - now.Sub(c.received)
}

// DelayCost returns what another wait costs the caller: the probability that one of an exponential length with
// the given mean takes away what the claim can still reach, its objective or else its use. It is 1
// without an objective, as any wait is then a loss, and for what has lost its value.
func (c Claim) DelayCost(wait time.Duration, now time.Time) float64 {
	return c.delayCost(c.Standing(now), wait, now)
}

func (c *Claim) delayCost(standing Standing, wait time.Duration, now time.Time) float64 {
	objectives := time.Duration(1)
	switch {
	case !c.timed() || standing == Overdue:
		return 1
	case standing == Late:
		objectives = OverdueFactor
	}
	return math.Exp(-c.slack(now, objectives).Seconds() / max(wait, time.Millisecond).Seconds())
}

// patienceFactor and minPatience limit for how long others may overtake a claim: four times as long as its result
// has any value, after which its caller loses little more by another wait, and at least 10 s.
const (
	patienceFactor = 4 * OverdueFactor
	minPatience    = 10 * time.Second
)

// Starving reports whether others have overtaken a claim for as long as they may.
func (c Claim) Starving(now time.Time) bool {
	return c.timed() && now.Sub(c.received) > c.Patience()
}

// Patience returns for how long others may overtake a claim.
func (c Claim) Patience() time.Duration {
	return max(patienceFactor*min(c.objective.Limit(c.chain), MaxObjective/patienceFactor), minPatience)
}
