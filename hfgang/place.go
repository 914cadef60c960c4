package hfgang

import (
	"sort"
	"strings"
	"time"

	"github.com/heatherfront/heatherfront/hfconfig"
)

const (
	reserveAfter  = 120 * time.Minute // a job that waited longer may reserve the next block
	shapeOverlap  = 1000              // placement cost of one accelerator in a shape's block
	probeCost     = 100_000           // placement cost of a worker on probe, for guarantees
	suspectCost   = 10_000            // placement cost of a worker that the job avoids
	shunFor       = 30 * time.Second  // a job does not return to a worker on which it failed for this time
	scheduleLimit = 256               // waiting jobs looked at in one pass
)

// schedule starts or plans as many waiting jobs as it can, in the order of turns.
func (s *Scheduler) schedule(now time.Time) []Cmd {
	var cmds []Cmd
	s.reserved = nil
	waiting := s.turns(now)
	s.reserveOldest(waiting, now)
	failedSizes := map[failKey]bool{} // what found no place needs no second look
	for n, j := range waiting {
		if n >= scheduleLimit {
			break
		}
		key := s.failKey(j)
		if j.plan != nil || failedSizes[key] {
			cmds = append(cmds, s.goOn(j, now)...)
			continue
		}
		p := s.decide(j, now)
		if p == nil {
			failedSizes[key] = true
			continue
		}
		cmds = append(cmds, s.carryOut(j, p, now)...)
	}
	return cmds
}

// failKey groups jobs for which the same search would fail.
type failKey struct {
	account    string
	class      string
	size       int
	fixed      bool
	idempotent bool
	avoids     string // the workers on which it failed; others may find a place where it finds none
}

func (s *Scheduler) failKey(j *job) failKey {
	return failKey{
		account: s.account(j), class: j.record.GetClass(), size: j.size(),
		fixed: j.fixed(), idempotent: j.record.GetIdempotent(),
		avoids: j.avoid + " " + strings.Join(j.record.GetSuspects(), " "),
	}
}

// turns returns the waiting jobs in the order in which they may start: by class,
// then the account that uses least for its weight, then the caller that uses
// least, then the highest ratio of waiting to expected time, which favours short
// jobs and lets no job starve.
func (s *Scheduler) turns(now time.Time) []*job {
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
			class: j.class().Rank(), share: s.share(j), caller: callers[j.record.GetCaller()], ratio: s.ratio(j, now),
		}
	}
	sort.Slice(waiting, func(a, b int) bool {
		x, y := ranks[waiting[a]], ranks[waiting[b]]
		switch {
		case x.class != y.class:
			return x.class < y.class
		case (x.ratio > agedRatio) != (y.ratio > agedRatio):
			return x.ratio > agedRatio
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

// agedRatio is the ratio of waiting to expected time above which a job goes before
// the fair shares of its class.
const agedRatio = 10

func (s *Scheduler) share(j *job) float64 {
	weight := 1
	if t, ok := s.terms(j); ok {
		weight = t.Weight()
	}
	return float64(s.used[s.account(j)]) / float64(weight)
}

func (s *Scheduler) ratio(j *job, now time.Time) float64 {
	waited := now.Sub(time.UnixMilli(j.record.GetSubmitted()))
	expected := s.expected(j, now)
	return float64(waited+expected) / float64(expected)
}

// goOn starts a planned job whose victims have left.
func (s *Scheduler) goOn(j *job, now time.Time) []Cmd {
	if j.plan == nil {
		return nil
	}
	p := j.plan
	if !s.layout.usable(p.block) {
		s.dropPlan(j)
		return nil
	}
	for i := p.block.lo; i < p.block.hi; i++ {
		if s.held[i] != nil || s.blocked[i] {
			return nil
		}
	}
	s.begin(j, p.block, p.shape, now)
	return nil
}

// carryOut starts a job, or preempts the victims of its plan first.
func (s *Scheduler) carryOut(j *job, p *plan, now time.Time) []Cmd {
	if len(p.victims) == 0 && !s.anyBlocked(p.block) {
		s.begin(j, p.block, p.shape, now)
		return nil
	}
	j.plan = p
	s.used[s.account(j)] += j.size()
	if p.shape != nil {
		j.shape = p.shape
		p.shape.claims[j.id()] = j
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

func (s *Scheduler) anyBlocked(b Block) bool {
	for i := b.lo; i < b.hi; i++ {
		if s.blocked[i] {
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
	s.used[s.account(j)] -= j.size()
	if j.shape != nil && !j.placed() {
		delete(j.shape.claims, j.id())
		j.shape = nil
		j.record.Claimed = false
	}
	j.plan = nil
	s.stale = true
}

// decide returns where a job goes now, or nil. The order: a guarantee of its
// account, idle accelerators, and for urgent work those of preemptible work of a
// lower class.
func (s *Scheduler) decide(j *job, now time.Time) *plan {
	if s.overQuota(j) {
		return nil
	}
	if !j.record.GetPreemptible() {
		if p := s.claim(j, now); p != nil {
			return p
		}
	}
	if p := s.idle(j, now); p != nil {
		return p
	}
	if j.class() == hfconfig.ClassUrgent {
		return s.push(j, now)
	}
	return nil
}

func (s *Scheduler) overQuota(j *job) bool {
	t, ok := s.terms(j)
	return ok && t.Quota() > 0 && s.used[s.account(j)]+j.size() > t.Quota()
}

// claim places a job in the tightest met shape of its account that has room for
// it, whatever preemptible work is there.
func (s *Scheduler) claim(j *job, now time.Time) *plan {
	var best *plan
	bestSize, bestCost := 0, 0.0
	for _, sh := range s.shapes {
		if !sh.met || sh.account != s.account(j) || sh.size < j.size() || best != nil && sh.size > bestSize {
			continue
		}
		s.layout.Blocks(j.size(), sh.block, func(b Block) bool {
			victims, cost, ok := s.victims(b, j, now)
			if !s.probeFree(j, s.layout.grants(b)) {
				cost += probeCost // a guarantee holds on workers on probe as well, if there is no other place
			}
			if ok && s.layout.usable(b) && (best == nil || sh.size < bestSize || cost < bestCost) {
				best = &plan{block: b, shape: sh, victims: victims}
				bestSize, bestCost = sh.size, cost
			}
			return true
		})
	}
	return best
}

// allowed tells whether a job may use every worker of a block.
func (s *Scheduler) allowed(b Block, j *job, now time.Time) bool {
	return s.layout.usable(b) && !s.shuns(b, j, now) && s.probeFree(j, s.layout.grants(b))
}

// shuns tells whether a block has a worker on which the job failed or was refused a
// short while ago.
func (s *Scheduler) shuns(b Block, j *job, now time.Time) bool {
	steps := j.record.GetSteps()
	if len(steps) == 0 || now.Sub(time.UnixMilli(steps[len(steps)-1].GetAt())) >= shunFor {
		return false
	}
	for i := s.layout.at[b.lo]; i <= s.layout.at[b.hi-1]; i++ {
		if s.avoids(j, s.layout.sites[i].worker.Name()) {
			return true
		}
	}
	return false
}

// idle places a job on idle accelerators: where the gap that remains is smallest,
// outside the blocks of shapes if it can, and never there if it is fixed unless
// the shapes can move.
func (s *Scheduler) idle(j *job, now time.Time) *plan {
	type choice struct {
		block Block
		cost  int
	}
	var choices []choice
	taken := s.takenSums()
	s.layout.Blocks(j.size(), s.layout.All(), func(b Block) bool {
		if taken[b.hi] == taken[b.lo] && s.allowed(b, j, now) && !s.intrudes(j, b, now) {
			choices = append(choices, choice{block: b, cost: s.cost(j, b, taken)})
		}
		return true
	})
	sort.SliceStable(choices, func(a, b int) bool { return choices[a].cost < choices[b].cost })
	for n, c := range choices {
		if !j.fixed() || s.outside(c.block) {
			return &plan{block: c.block}
		}
		if n < yieldTries && s.rules.mayTake(s, c.block) {
			return &plan{block: c.block}
		}
	}
	return nil
}

// yieldTries bounds how many blocks one decision tries to move shapes away from.
const yieldTries = 8

func (s *Scheduler) outside(b Block) bool {
	for i := b.lo; i < b.hi; i++ {
		if s.shapeAt[i] != nil {
			return false
		}
	}
	return true
}

// takenSums returns the running sum of accelerators that are held, planned or not
// usable.
func (s *Scheduler) takenSums() []int {
	sums := make([]int, s.layout.Total()+1)
	for i := range s.layout.at {
		sums[i+1] = sums[i]
		if s.held[i] != nil || s.planned[i] != nil || s.blocked[i] || !s.layout.sites[s.layout.at[i]].usable {
			sums[i+1]++
		}
	}
	return sums
}

// cost rates an idle block: the idle accelerators left beside it on its first and
// last worker, the accelerators of shapes that it takes, and workers to avoid.
func (s *Scheduler) cost(j *job, b Block, taken []int) int {
	cost := 0
	first, last := s.layout.sites[s.layout.at[b.lo]], s.layout.sites[s.layout.at[b.hi-1]]
	lo, hi := first.start, last.start+last.worker.Accelerators()
	cost += (hi - lo) - (taken[hi] - taken[lo]) - b.Size()
	for i := b.lo; i < b.hi; i++ {
		if s.shapeAt[i] != nil {
			cost += shapeOverlap
		}
	}
	for i := s.layout.at[b.lo]; i <= s.layout.at[b.hi-1]; i++ {
		if s.avoids(j, s.layout.sites[i].worker.Name()) {
			cost += suspectCost
		}
	}
	return cost
}

func (s *Scheduler) avoids(j *job, worker string) bool {
	if j.avoid == worker {
		return true
	}
	for _, name := range j.record.GetSuspects() {
		if name == worker {
			return true
		}
	}
	return false
}
