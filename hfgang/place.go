package hfgang

import (
	"sort"
	"strings"
	"time"

	"github.com/heatherfront/heatherfront/hfconfig"
)

const (
	reserveAfter         = 120 * time.Minute // a job that has waited this long may reserve a block
	guaranteeOverlapCost = 1000              // placement cost per accelerator inside a guarantee
	probationCost        = 100_000           // cost of using workers on probation for a guarantee or for a job that claims it
	avoidedWorkerCost    = 10_000            // placement cost of a worker that the job avoids
	failureBackoff       = 30 * time.Second  // a job takes no worker that it avoids for this time after its last state change
	maxJobsPerPass       = 256               // waiting jobs considered in one scheduling pass
)

// schedule starts or plans as many waiting jobs as possible, in start order.
func (s *Scheduler) schedule(now time.Time) []Cmd {
	var cmds []Cmd
	s.reserved = nil
	waiting := s.startOrder(now)
	s.reserveOldest(waiting, now)
	failed := map[searchKey]bool{} // searches that found no placement in this pass
	for n, j := range waiting {
		if n >= maxJobsPerPass {
			break
		}
		key := s.searchKey(j)
		if j.plan != nil || failed[key] {
			cmds = append(cmds, s.startPlanned(j, now)...)
			continue
		}
		p := s.findPlan(j, now)
		if p == nil {
			failed[key] = true
			continue
		}
		cmds = append(cmds, s.executePlan(j, p, now)...)
	}
	return cmds
}

// searchKey identifies a placement search. A search that failed for one job is not
// repeated in the same pass for other jobs with the same key.
type searchKey struct {
	account        string
	class          string
	size           int
	nonPreemptible bool
	idempotent     bool
	avoids         string // workers that the job avoids; a job that avoids others may still find a placement
}

func (s *Scheduler) searchKey(j *job) searchKey {
	return searchKey{
		account: s.account(j), class: j.record.GetClass(), size: j.size(),
		nonPreemptible: j.nonPreemptible(), idempotent: j.record.GetIdempotent(),
		avoids: j.avoidedWorker + " " + strings.Join(j.record.GetSuspects(), " "),
	}
}

// startOrder returns the waiting jobs in the order in which they may start: by class,
// then those with a response ratio above agedResponseRatio, then by lowest usage of the
// account relative to its weight, then by lowest usage of the caller, then by highest
// response ratio. The response ratio favors short jobs and prevents starvation.
func (s *Scheduler) startOrder(now time.Time) []*job {
	var waiting []*job
	callerUsage := map[string]int{}
	for _, j := range s.open {
		if j.placed() {
			callerUsage[j.record.GetCaller()] += j.size()
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
			class: j.class().Rank(), share: s.weightedUsage(j), caller: callerUsage[j.record.GetCaller()], ratio: s.responseRatio(j, now),
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

// agedResponseRatio is the response ratio above which a job takes precedence over the
// fair shares of its class.
const agedResponseRatio = 10

// weightedUsage returns the accelerators that the job's account uses, divided by the
// account's weight.
func (s *Scheduler) weightedUsage(j *job) float64 {
	weight := 1
	if e, ok := s.entitlements(j); ok {
		weight = e.Weight()
	}
	return float64(s.usage[s.account(j)]) / float64(weight)
}

// responseRatio returns the sum of waiting time and expected run time, divided by the
// expected run time.
func (s *Scheduler) responseRatio(j *job, now time.Time) float64 {
	waited := now.Sub(time.UnixMilli(j.record.GetSubmitted()))
	expected := s.expectedRemaining(j, now)
	return float64(waited+expected) / float64(expected)
}

// startPlanned starts a planned job once its block is free.
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

// executePlan starts a job if the block of its plan is free. Otherwise it preempts the
// victims and keeps the plan, which startPlanned executes once the block is free.
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

// dropPlan abandons the plan of a job.
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

// findPlan returns a placement for a job, or nil. It tries, in order, a guarantee of
// the job's account if its kind of work is not preemptible, idle accelerators and, for
// urgent jobs, accelerators of preemptible jobs of a lower class.
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

// overQuota reports whether starting the job would exceed the quota of its account.
func (s *Scheduler) overQuota(j *job) bool {
	e, ok := s.entitlements(j)
	return ok && e.Quota() > 0 && s.usage[s.account(j)]+j.size() > e.Quota()
}

// planInGuarantee returns a plan for a job in the smallest met guarantee of its account
// that has room for it, or nil. The victims are the jobs on that block, which
// are preemptible or already stopping.
func (s *Scheduler) planInGuarantee(j *job, now time.Time) *plan {
	var best *plan
	bestSize, bestCost := 0, 0.0
	for _, g := range s.guarantees {
		if !g.met || g.account != s.account(j) || g.size < j.size() || best != nil && g.size > bestSize {
			continue
		}
		s.layout.Blocks(j.size(), g.block, func(b Block) bool {
			victims, cost, ok := s.preemptionVictims(b, j, now)
			if !s.probationAllows(j, s.layout.splitIntoGrants(b)) {
				cost += probationCost // a guarantee also holds on workers on probation, but they are used last
			}
			if ok && s.layout.usable(b) && (best == nil || g.size < bestSize || cost < bestCost) {
				best = &plan{block: b, guarantee: g, victims: victims}
				bestSize, bestCost = g.size, cost
			}
			return true
		})
	}
	return best
}

// mayPlace reports whether a job may use every worker of a block.
func (s *Scheduler) mayPlace(b Block, j *job, now time.Time) bool {
	return s.layout.usable(b) && !s.recentlyFailedOn(b, j, now) && s.probationAllows(j, s.layout.splitIntoGrants(b)) && s.isolationAllows(b, j, now)
}

// recentlyFailedOn reports whether a block includes a worker that the job avoids,
// within failureBackoff of the job's last state change.
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

// planOnIdle returns a plan for a job on idle accelerators, or nil. It prefers blocks
// outside guarantees that leave the fewest idle accelerators next to them. A
// non-preemptible job takes a block inside a guarantee only if the guarantee can be moved.
func (s *Scheduler) planOnIdle(j *job, now time.Time) *plan {
	type candidate struct {
		block Block
		cost  int
	}
	var candidates []candidate
	unavailable := s.unavailableSums()
	s.layout.Blocks(j.size(), s.layout.All(), func(b Block) bool {
		if unavailable[b.hi] == unavailable[b.lo] && s.mayPlace(b, j, now) && !s.delaysReservation(j, b, now) {
			candidates = append(candidates, candidate{block: b, cost: s.blockCost(j, b, unavailable)})
		}
		return true
	})
	sort.SliceStable(candidates, func(a, b int) bool { return candidates[a].cost < candidates[b].cost })
	for n, c := range candidates {
		if !j.nonPreemptible() || s.outsideGuarantees(c.block) {
			return &plan{block: c.block}
		}
		if n < maxRelocationTries && s.rules.mayOccupy(s, c.block) {
			return &plan{block: c.block}
		}
	}
	return nil
}

// maxRelocationTries limits the blocks for which one placement search tries to move
// guarantees.
const maxRelocationTries = 8

// outsideGuarantees reports whether no guarantee overlaps a block.
func (s *Scheduler) outsideGuarantees(b Block) bool {
	for i := b.lo; i < b.hi; i++ {
		if s.guaranteeAt[i] != nil {
			return false
		}
	}
	return true
}

// unavailableSums returns prefix sums of the accelerators that are allocated, planned,
// being vacated or not usable.
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

// blockCost rates an idle block by the idle accelerators left on its first and last
// worker, its overlap with guarantees, and its workers that the job avoids.
func (s *Scheduler) blockCost(j *job, b Block, unavailable []int) int {
	cost := 0
	first, last := s.layout.spans[s.layout.spanAt[b.lo]], s.layout.spans[s.layout.spanAt[b.hi-1]]
	lo, hi := first.start, last.start+last.worker.Accelerators()
	cost += (hi - lo) - (unavailable[hi] - unavailable[lo]) - b.Size()
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

// avoids reports whether a job failed on a worker, or the worker was the last that did
// not start one of its members.
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
