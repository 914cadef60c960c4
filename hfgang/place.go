package hfgang

import (
	"sort"
	"strings"
	"time"

	"github.com/heatherfront/heatherfront/hfconfig"
)

const (
	reserveAfter         = 120 * time.Minute // a job that waited longer may reserve the next block
	guaranteeOverlapCost = 1000              // placement cost of one accelerator in a shape's block
	probationCost        = 100_000           // placement cost of a worker on probe, for guarantees
	avoidedWorkerCost    = 10_000            // placement cost of a worker that the job avoids
	failureBackoff       = 30 * time.Second  // a job does not return to a worker on which it failed for this time
	maxJobsPerPass       = 256               // waiting jobs looked at in one pass
)

// schedule starts or plans as many waiting jobs as it can, in the order of turns.
func (s *Scheduler) schedule(now time.Time) []Cmd {
	var cmds []Cmd
	s.reserved = nil
	waiting := s.startOrder(now)
	s.reserveOldest(waiting, now)
	failedSizes := map[searchKey]bool{} // what found no place needs no second look
	for n, j := range waiting {
		if n >= maxJobsPerPass {
			break
		}
		key := s.searchKey(j)
		if j.plan != nil || failedSizes[key] {
			cmds = append(cmds, s.startPlanned(j, now)...)
			continue
		}
		p := s.findPlan(j, now)
		if p == nil {
			failedSizes[key] = true
			continue
		}
		cmds = append(cmds, s.executePlan(j, p, now)...)
	}
	return cmds
}

// searchKey groups jobs for which the same search would fail.
type searchKey struct {
	account        string
	class          string
	size           int
	nonPreemptible bool
	idempotent     bool
	avoids         string // the workers on which it failed; others may find a place where it finds none
}

func (s *Scheduler) searchKey(j *job) searchKey {
	return searchKey{
		account: s.account(j), class: j.record.GetClass(), size: j.size(),
		nonPreemptible: j.nonPreemptible(), idempotent: j.record.GetIdempotent(),
		avoids: j.avoidedWorker + " " + strings.Join(j.record.GetSuspects(), " "),
	}
}

// startOrder returns the waiting jobs in the order in which they may start: by class,
// then the account that uses least for its weight, then the caller that uses
// least, then the highest ratio of waiting to expected time, which favours short
// jobs and lets no job starve.
func (s *Scheduler) startOrder(now time.Time) []*job {
	var waiting []*job
	callers := map[string]int{}
	for _, j := range s.open {
		if j.placed() {
			callers[j.record.GetCaller()] += j.size()
		} else {
			waiting = append(waiting, j)
		}
	}
	type rank struct {
		class  int
		share  float64
		caller int
		ratio  float64
	}
	ranks := make(map[*job]rank, len(waiting))
	for _, j := range waiting {
		ranks[j] = rank{
			class: j.class().Rank(), share: s.weightedUsage(j), caller: callers[j.record.GetCaller()], ratio: s.responseRatio(j, now),
		}
	}
	sort.Slice(waiting, func(a, b int) bool {
		x, y := ranks[waiting[a]], ranks[waiting[b]]
		switch {
		case x.class != y.class:
			return x.class < y.class
		case (x.ratio > agedResponseRatio) != (y.ratio > agedResponseRatio):
			return x.ratio > agedResponseRatio
		case x.share != y.share:
			return x.share < y.share
		case x.caller != y.caller:
			return x.caller < y.caller
		case x.ratio != y.ratio:
			return x.ratio > y.ratio
		}
		return waiting[a].id() < waiting[b].id()
	})
	return waiting
}

// agedResponseRatio is the ratio of waiting to expected time above which a job goes before
// the fair shares of its class.
const agedResponseRatio = 10

func (s *Scheduler) weightedUsage(j *job) float64 {
	weight := 1
	if t, ok := s.terms(j); ok {
		weight = t.Weight()
	}
	return float64(s.usage[s.account(j)]) / float64(weight)
}

func (s *Scheduler) responseRatio(j *job, now time.Time) float64 {
	waited := now.Sub(time.UnixMilli(j.record.GetSubmitted()))
	expected := s.expectedRemaining(j, now)
	return float64(waited+expected) / float64(expected)
}

// startPlanned starts a planned job whose victims have left.
func (s *Scheduler) startPlanned(j *job, now time.Time) []Cmd {
	if j.plan == nil {
		return nil
	}
	p := j.plan
	if !s.layout.usable(p.block) {
		s.dropPlan(j)
		return nil
	}
	for i := p.block.lo; i < p.block.hi; i++ {
		if s.allocated[i] != nil || s.vacating[i] {
			return nil
		}
	}
	s.startGang(j, p.block, p.guarantee, now)
	return nil
}

// executePlan starts a job, or preempts the victims of its plan first.
func (s *Scheduler) executePlan(j *job, p *plan, now time.Time) []Cmd {
	if len(p.victims) == 0 && !s.anyVacating(p.block) {
		s.startGang(j, p.block, p.guarantee, now)
		return nil
	}
	j.plan = p
	s.usage[s.account(j)] += j.size()
	if p.guarantee != nil {
		j.guarantee = p.guarantee
		p.guarantee.claims[j.id()] = j
		j.record.Claimed = true
	}
	for i := p.block.lo; i < p.block.hi; i++ {
		s.planned[i] = j
	}
	var cmds []Cmd
	for _, v := range p.victims {
		if v.state() != StateStopping {
			cmds = append(cmds, s.preempt(v, "preempted for job "+j.id(), now)...)
		}
	}
	return cmds
}

func (s *Scheduler) anyVacating(b Block) bool {
	for i := b.lo; i < b.hi; i++ {
		if s.vacating[i] {
			return true
		}
	}
	return false
}

// dropPlan gives up a plan.
func (s *Scheduler) dropPlan(j *job) {
	if j.plan == nil {
		return
	}
	for i := j.plan.block.lo; i < j.plan.block.hi && i < len(s.planned); i++ {
		if s.planned[i] == j {
			s.planned[i] = nil
		}
	}
	s.usage[s.account(j)] -= j.size()
	if j.guarantee != nil && !j.placed() {
		delete(j.guarantee.claims, j.id())
		j.guarantee = nil
		j.record.Claimed = false
	}
	j.plan = nil
	s.schedulePending = true
}

// findPlan returns where a job goes now, or nil. The order: a guarantee of its
// account, idle accelerators, and for urgent work those of preemptible work of a
// lower class.
func (s *Scheduler) findPlan(j *job, now time.Time) *plan {
	if s.overQuota(j) {
		return nil
	}
	if !j.record.GetPreemptible() {
		if p := s.planInGuarantee(j, now); p != nil {
			return p
		}
	}
	if p := s.planOnIdle(j, now); p != nil {
		return p
	}
	if j.class() == hfconfig.ClassUrgent {
		return s.planByPreemption(j, now)
	}
	return nil
}

func (s *Scheduler) overQuota(j *job) bool {
	t, ok := s.terms(j)
	return ok && t.Quota() > 0 && s.usage[s.account(j)]+j.size() > t.Quota()
}

// planInGuarantee places a job in the tightest met shape of its account that has room for
// it, whatever preemptible work is there.
func (s *Scheduler) planInGuarantee(j *job, now time.Time) *plan {
	var best *plan
	bestSize, bestCost := 0, 0.0
	for _, sh := range s.guarantees {
		if !sh.met || sh.account != s.account(j) || sh.size < j.size() || best != nil && sh.size > bestSize {
			continue
		}
		s.layout.Blocks(j.size(), sh.block, func(b Block) bool {
			victims, cost, ok := s.preemptionVictims(b, j, now)
			if !s.probationAllows(j, s.layout.splitIntoGrants(b)) {
				cost += probationCost // a guarantee holds on workers on probe as well, if there is no other place
			}
			if ok && s.layout.usable(b) && (best == nil || sh.size < bestSize || cost < bestCost) {
				best = &plan{block: b, guarantee: sh, victims: victims}
				bestSize, bestCost = sh.size, cost
			}
			return true
		})
	}
	return best
}

// mayPlace tells whether a job may use every worker of a block.
func (s *Scheduler) mayPlace(b Block, j *job, now time.Time) bool {
	return s.layout.usable(b) && !s.recentlyFailedOn(b, j, now) && s.probationAllows(j, s.layout.splitIntoGrants(b))
}

// recentlyFailedOn tells whether a block has a worker on which the job failed or was refused a
// short while ago.
func (s *Scheduler) recentlyFailedOn(b Block, j *job, now time.Time) bool {
	steps := j.record.GetSteps()
	if len(steps) == 0 || now.Sub(time.UnixMilli(steps[len(steps)-1].GetAt())) >= failureBackoff {
		return false
	}
	for i := s.layout.spanAt[b.lo]; i <= s.layout.spanAt[b.hi-1]; i++ {
		if s.avoids(j, s.layout.spans[i].worker.Name()) {
			return true
		}
	}
	return false
}

// planOnIdle places a job on planOnIdle accelerators: where the gap that remains is smallest,
// outside the blocks of shapes if it can, and never there if it is fixed unless
// the shapes can move.
func (s *Scheduler) planOnIdle(j *job, now time.Time) *plan {
	type choice struct {
		block Block
		cost  int
	}
	var choices []choice
	taken := s.unavailableSums()
	s.layout.Blocks(j.size(), s.layout.All(), func(b Block) bool {
		if taken[b.hi] == taken[b.lo] && s.mayPlace(b, j, now) && !s.delaysReservation(j, b, now) {
			choices = append(choices, choice{block: b, cost: s.blockCost(j, b, taken)})
		}
		return true
	})
	sort.SliceStable(choices, func(a, b int) bool { return choices[a].cost < choices[b].cost })
	for n, c := range choices {
		if !j.nonPreemptible() || s.outsideGuarantees(c.block) {
			return &plan{block: c.block}
		}
		if n < maxRelocationTries && s.rules.mayOccupy(s, c.block) {
			return &plan{block: c.block}
		}
	}
	return nil
}

// maxRelocationTries bounds how many blocks one decision tries to move shapes away from.
const maxRelocationTries = 8

func (s *Scheduler) outsideGuarantees(b Block) bool {
	for i := b.lo; i < b.hi; i++ {
		if s.guaranteeAt[i] != nil {
			return false
		}
	}
	return true
}

// unavailableSums returns the running sum of accelerators that are held, planned or not
// usable.
func (s *Scheduler) unavailableSums() []int {
	sums := make([]int, s.layout.Total()+1)
	for i := range s.layout.spanAt {
		sums[i+1] = sums[i]
		if s.allocated[i] != nil || s.planned[i] != nil || s.vacating[i] || !s.layout.spans[s.layout.spanAt[i]].usable {
			sums[i+1]++
		}
	}
	return sums
}

// blockCost rates an idle block: the idle accelerators left beside it on its first and
// last worker, the accelerators of shapes that it takes, and workers to avoid.
func (s *Scheduler) blockCost(j *job, b Block, taken []int) int {
	cost := 0
	first, last := s.layout.spans[s.layout.spanAt[b.lo]], s.layout.spans[s.layout.spanAt[b.hi-1]]
	lo, hi := first.start, last.start+last.worker.Accelerators()
	cost += (hi - lo) - (taken[hi] - taken[lo]) - b.Size()
	for i := b.lo; i < b.hi; i++ {
		if s.guaranteeAt[i] != nil {
			cost += guaranteeOverlapCost
		}
	}
	for i := s.layout.spanAt[b.lo]; i <= s.layout.spanAt[b.hi-1]; i++ {
		if s.avoids(j, s.layout.spans[i].worker.Name()) {
			cost += avoidedWorkerCost
		}
	}
	return cost
}

func (s *Scheduler) avoids(j *job, worker string) bool {
	if j.avoidedWorker == worker {
		return true
	}
	for _, name := range j.record.GetSuspects() {
		if name == worker {
			return true
		}
	}
	return false
}
