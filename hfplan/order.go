package hfplan

import (
	"cmp"
	"slices"
	"time"

	"github.com/heatherfront/heatherfront/hfcost"
	"github.com/heatherfront/heatherfront/hfplacement"
)

// Order is how waiting work is put in order, and how runs are chosen that have to leave.
type Order string

// The orders.
const (
	// ByCost weighs what a delay or a stop costs callers (hfcost). It needs queues with an objective;
	// others are ordered as in BySize.
	ByCost Order = "cost"
	// BySize takes what can meet its objective first, then the least remaining core-seconds, and
	// stops what loses the fewest core-seconds.
	BySize Order = "size"

	// DefaultOrder is the order of a scheduler that is not given one.
	DefaultOrder = ByCost
)

// Orders returns all orders.
func Orders() []Order { return []Order{ByCost, BySize} }

// WithOrder sets the order. It is DefaultOrder unless it is set, or if it is empty.
func (s *Scheduler) WithOrder(o Order) *Scheduler {
	s.bySize = cmp.Or(o, DefaultOrder) == BySize
	return s
}

// Delays counts the waiting steps that the last pass put behind others, by the reason.
type Delays struct {
	late     int // can't meet the objective any more
	overdue  int // have lost their value
	large    int // of accounts that use more than their share, so that others go before them
	starving int // went first after the longest wait that is allowed
	spared   int // runs that were not stopped, as their callers would lose more, since the term began
}

// Late returns the number of steps whose job can't meet its objective any more.
func (d Delays) Late() int { return d.late }

// Overdue returns the number of steps whose job has lost its value to the caller.
func (d Delays) Overdue() int { return d.overdue }

// Large returns the number of steps of accounts that use more than their share.
func (d Delays) Large() int { return d.large }

// Starving returns the number of steps that went first as others had overtaken them for as long as they may.
func (d Delays) Starving() int { return d.starving }

// Spared returns how many runs were once not stopped for urgent work in this term, as they were about to end or their
// callers would have lost more than the other one gained.
func (d Delays) Spared() int { return d.spared }

// candidate is a group with waiting tasks.
type candidate struct {
	group    *group
	priority uint32
	first    bool // one task or the gang goes first because it starves
}

// candidates returns the groups that may be placed now, in scheduling order.
func (s *Scheduler) candidates(now time.Time) []candidate {
	list := s.waitingList[:0]
	capacity := s.poolCapacities()
	for _, g := range s.groups {
		if g.waiting() == 0 || g.job.queue == nil || !g.ready(now) {
			continue
		}
		if g.gang() && (g.active > 0 || g.awaitingPrior > 0) {
			continue
		}
		share := float64(g.waiting()) * g.size.DominantShare(capacity[g.job.queue.GetPool()])
		w := hfcost.NewWaiting(g, g.claim(s.rank(g)), g.job.queue.GetPool(), s.owner(g.job), share, g.job.id(), int(g.step))
		if !g.gang() && g.waiting() > 1 {
			w = w.InParts()
		}
		if !s.bySize && w.Claim().Starving(now) {
			w = w.IfPlaceable(func() bool { return s.mayGoFirst(g, now) })
		}
		list = append(list, w)
	}
	s.waitingList = list
	defer clear(list) // keeps no group alive
	if s.bySize {
		return candidatesBySize(list, now)
	}
	s.delays = Delays{spared: s.delays.spared}
	candidates := make([]candidate, 0, len(list))
	for _, w := range hfcost.Order(list, s.shares(capacity), now) {
		s.delays.count(w)
		candidates = append(candidates, candidate{group: w.Value(), priority: w.Value().job.queue.GetPriority(), first: w.First()})
	}
	return candidates
}

// goFirstRetryInterval is how long a group that got neither room nor a reservation waits before it may go first again,
// so that the others of its class have their turn.
const goFirstRetryInterval = time.Second

// mayGoFirst reports whether a group that starves could use the first place.
func (s *Scheduler) mayGoFirst(g *group, now time.Time) bool {
	if now.Before(g.goFirstNotBefore) {
		return false
	}
	if _, fits := s.resources.FitsWhenEmpty(s.permittedNeed(g, now), g.leastTasks()); !fits {
		if !s.isView {
			g.goFirstNotBefore = now.Add(goFirstRetryInterval)
		}
		return false
	}
	return true
}

// count adds a step that waits.
func (d *Delays) count(w *hfcost.Waiting[*group]) {
	if w.First() {
		d.starving++
		if w.IsPart() {
			return // the step is counted in its usual place
		}
	}
	switch w.Standing() {
	case hfcost.Late:
		d.late++
	case hfcost.Overdue:
		d.overdue++
	}
	if w.Overuse() > 1 {
		d.large++
	}
}

// shares returns what accounts use of each pool beside their guarantees.
func (s *Scheduler) shares(capacity map[string]hfplacement.Resources) *hfcost.Shares {
	shares := hfcost.NewShares()
	for _, g := range s.groups {
		q := g.job.queue
		if g.active == 0 || q == nil || g.spec.GetLasting() || q.GetPriority() == 0 && g.job.guaranteed {
			continue
		}
		class := hfcost.NewClass(q.GetPool(), q.GetPriority())
		if g.rescuing() {
			shares.Rescue(class)
		}
		shares.Use(class, s.owner(g.job), float64(g.active)*g.size.DominantShare(capacity[q.GetPool()]))
	}
	return shares
}

// poolCapacities returns the capacity of each pool with a queue.
func (s *Scheduler) poolCapacities() map[string]hfplacement.Resources {
	capacity := map[string]hfplacement.Resources{}
	for _, q := range s.queues {
		if _, known := capacity[q.GetPool()]; !known {
			capacity[q.GetPool()], _ = s.resources.Total(q.GetPool())
		}
	}
	return capacity
}

// owner returns the account that owns a job.
func (s *Scheduler) owner(j *job) string {
	return s.accounts.Owner(j.spec.GetAccount(), j.spec.GetPolicy())
}

// candidatesBySize returns groups in the order BySize.
func candidatesBySize(list []hfcost.Waiting[*group], now time.Time) []candidate {
	type ranked struct {
		candidate
		beyondGuarantee int
		status          objectiveStatus
		rank            float64
	}
	order := make([]ranked, 0, len(list))
	for _, w := range list {
		g, c := w.Value(), w.Claim()
		r := ranked{candidate: candidate{group: g, priority: g.job.queue.GetPriority()}, status: c.Standing(now), rank: c.Work()}
		if r.priority == 0 && !g.job.guaranteed {
			r.beyondGuarantee = 1
		}
		order = append(order, r)
	}
	slices.SortStableFunc(order, func(a, b ranked) int {
		return cmp.Or(
			cmp.Compare(a.priority, b.priority), cmp.Compare(a.beyondGuarantee, b.beyondGuarantee), cmp.Compare(a.status, b.status), cmp.Compare(a.rank, b.rank),
			cmp.Compare(a.group.job.id(), b.group.job.id()), cmp.Compare(a.group.step, b.group.step),
		)
	})
	candidates := make([]candidate, 0, len(order))
	for _, r := range order {
		candidates = append(candidates, r.candidate)
	}
	return candidates
}
