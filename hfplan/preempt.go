package hfplan

import (
	"slices"
	"time"

	"github.com/heatherfront/heatherfront/hfcost"
	"github.com/heatherfront/heatherfront/hfplacement"
)

// victim is a set of runs that are stopped together: a whole gang or a single task.
type victim struct {
	group *group
	runs  []*run
}

// preemptResult is what came of the search for runs to stop.
type preemptResult int

const (
	noRoom         preemptResult = iota // some tasks have no room yet
	allAssigned                         // every waiting task was assigned
	awaitsReserved                      // the group waits for runs that end in time, whose workers are reserved for it
)

// preempt stops runs that the group may preempt, preferring those that lose the
// least work, and assigns the freed resources to the group. Urgent tasks get slow workers only if there
// is not enough on others.
func (s *Scheduler) preempt(g *group, now time.Time) preemptResult {
	if now.Before(g.preemptNotBefore) {
		return noRoom
	}
	need, count := s.placementNeed(g, now), g.waitingShared(now)
	if count == 0 {
		return noRoom
	}
	if g.cautious {
		if count -= s.roomBesidesSuspects(g, count, now); count <= 0 {
			return noRoom // it waits for better workers, not for room
		}
	}
	if r, ok := s.awaitedEnds(g, count, now); ok {
		r.apply(g)
		return awaitsReserved
	}
	victims := s.victims(g, now)
	if len(victims) == 0 {
		return noRoom
	}
	needs := []hfplacement.Need{need}
	if fast, ok := s.withoutSlow(g, need); ok {
		needs = []hfplacement.Need{fast, need}
	}
	for _, compact := range g.preemptedShapes(now) {
		for _, n := range needs {
			if chosen, ok := hfplacement.SelectVictims(s.resources, n, count, compact, victims); ok {
				if s.preemptFor(g, n, count, compact, chosen, now) {
					return allAssigned
				}
				return noRoom
			}
		}
	}
	g.preemptNotBefore = now.Add(preemptRetryInterval)
	return noRoom
}

const (
	// endWaitShare is the part of its slack that an urgent group spends on waiting for runs that end by themselves.
	// Run times are declared too short by a factor of up to 1.9, so that the wait may be twice as long as expected.
	endWaitShare = 1.0 / 3
	// endWaitTries is for how many tries to stop others the slack of a group has to last while it waits.
	endWaitTries = 2
	// maxGuaranteedEndWait limits that wait for what a guarantee covers, which has to start within a few seconds.
	maxGuaranteedEndWait = 500 * time.Millisecond
	// maxEndForecasts is the number of groups in a pass for which ends are forecast. A forecast goes over all runs;
	// further groups stop others at once.
	maxEndForecasts = 8
)

// awaitedEnds returns the workers to be reserved for a group that waits for runs that are expected to end by
// themselves in time, rather than throw work away. It reports false if the group does not.
func (s *Scheduler) awaitedEnds(g *group, count int, now time.Time) (reservation, bool) {
	none := reservation{}
	if s.bySize || g.cautious || s.endForecasts >= maxEndForecasts || g.job.queue.GetPriority() > 0 || g.job.queue.GetStretch() <= 0 || g.spec.GetLasting() || g.gang() && g.spec.GetCompact() {
		return none, false
	}
	if g.job.guaranteed && now.Sub(g.job.learnedAt) >= maxGuaranteedEndWait {
		return none, false
	}
	slack := g.claim(1).Slack(now)
	if slack < endWaitTries*s.timing.roomDelay() {
		return none, false
	}
	workers := s.unreservedWorkers(g.job.queue.GetPool())
	unreserved := workers.unreserved
	if float64(workers.total-len(unreserved)) >= maxReservedShare*float64(workers.total) { // what the group needs itself may go beyond it
		return none, false
	}
	s.endForecasts++
	g.endForecasts++
	r, ok := s.findReservation(s.reservationNeed(g, now), unreserved, count, now)
	if !ok || r.startsAt.Sub(now) > time.Duration(endWaitShare*float64(slack)) {
		return none, false
	}
	return r, true
}

// poolWorkers is the workers of a pool, listed once in a pass.
type poolWorkers struct {
	unreserved []*hfplacement.Worker
	total      int
}

// unreservedWorkers returns the workers of a pool that are not reserved, until more are.
func (s *Scheduler) unreservedWorkers(pool string) *poolWorkers {
	p := s.poolWorkers[pool]
	if p == nil {
		p = &poolWorkers{}
		s.poolWorkers[pool] = p
		s.resources.EachWorker(pool, func(w *hfplacement.Worker) {
			p.unreserved = append(p.unreserved, w)
			p.total++
		})
	}
	p.unreserved = slices.DeleteFunc(p.unreserved, s.reserved)
	return p
}

// reserved reports whether a worker is reserved for a group whose reservations count.
func (s *Scheduler) reserved(w *hfplacement.Worker) bool {
	return w.Reserved() && (s.outranks == nil || !s.outranks(w.ReservedFor()))
}

// preemptedShapes returns whether the room for a group may be freed in one rack (true) or anywhere
// (false), in the order in which to try.
func (g *group) preemptedShapes(now time.Time) []bool {
	switch {
	case !g.gang() || !g.spec.GetCompact():
		return []bool{false}
	case g.waitsForRack(now):
		return []bool{true}
	}
	return []bool{true, false}
}

// preemptFor stops the chosen victims and assigns the freed resources to a group.
func (s *Scheduler) preemptFor(g *group, need hfplacement.Need, count int, compact bool, chosen []hfplacement.Victim[victim], now time.Time) bool {
	for _, v := range chosen {
		other := v.Value().group
		note := NoteCmd{note: NotePreempted, job: other.job.id(), step: other.step, tasks: len(v.Value().runs), reason: "for job " + g.job.id()}
		for _, r := range v.Value().runs {
			note.thrownAway += other.repeated(r, now).Seconds() * other.cores()
			s.stopRun(r, now)
		}
		s.emit(note)
	}
	if compact {
		if placements, ok := s.resources.PlaceInOneRack(need, count); ok {
			s.assign(g, placements, now)
			return true
		}
		return false
	}
	placements, placed := s.resources.PlaceAcrossRacks(need, count)
	if g.gang() && placed < count {
		return false
	}
	s.assign(g, placements, now)
	return placed == count
}

// preemptRetryInterval is how long a group that found too few victims waits before
// it searches again, since a search goes over all runs.
const preemptRetryInterval = 100 * time.Millisecond

// maxRackWait is how long a compact gang waits for a single rack before it may
// preempt runs in several racks. Gangs run several times slower across racks, but a
// longer wait would miss the time within which guaranteed jobs must start.
const maxRackWait = 1800 * time.Millisecond

// waitsForRack reports whether a compact gang still waits for a single rack.
func (g *group) waitsForRack(now time.Time) bool {
	return now.Sub(g.job.learnedAt) < maxRackWait
}

// urgentLossFactor weights the lost work of priority 0 against that of other
// priorities.
const urgentLossFactor = 10

// victims returns the runs that may be stopped for a group.
func (s *Scheduler) victims(preemptor *group, now time.Time) []hfplacement.Victim[victim] {
	var list []hfplacement.Victim[victim]
	queue := preemptor.job.queue
	preempting := preemption{claim: preemptor.claim(s.rank(preemptor)), guaranteed: preemptor.job.guaranteed, roomDelay: s.timing.roomDelay()}
	add := func(v victim, weighed stopWeight) {
		cost, ok := preempting.stopCost(v, weighed, now)
		if !ok {
			s.countSpared(v.runs)
			return
		}
		allocations := make([]hfplacement.Allocation, 0, len(v.runs))
		for _, r := range v.runs {
			allocations = append(allocations, hfplacement.NewAllocation(r.worker.resources, v.group.size))
		}
		list = append(list, hfplacement.NewVictim(v, cost, allocations))
	}
	for _, g := range s.groups {
		if g.active == 0 || g.job.queue == nil || g.job.queue.GetPool() != queue.GetPool() || !preemptor.mayPreempt(g) {
			continue
		}
		weight, known := s.stopWeights[g]
		if !known {
			weight = s.stopWeight(g)
			s.stopWeights[g] = weight
		}
		if g.gang() {
			if v, ok := gangVictim(g); ok && !g.spec.GetLasting() {
				add(v, weight)
			}
			continue
		}
		allowance := g.disruptionBudget()
		for i := range g.tasks {
			if r := g.tasks[i].run; r != nil && r.phase != stopping && (allowance > 0 || !r.startedUp()) {
				allowance--
				add(victim{group: g, runs: []*run{r}}, weight)
			}
		}
	}
	return list
}

// countSpared counts runs that are not stopped, each once.
func (s *Scheduler) countSpared(runs []*run) {
	if s.isView {
		return
	}
	for _, r := range runs {
		if !r.spared {
			r.spared = true
			s.delays.spared++
		}
	}
}

// preemption is the search for victims for one group.
type preemption struct {
	claim      hfcost.Claim // of the preemptor
	guaranteed bool
	roomDelay  time.Duration // from a stop until its room can be used
}

// stopWeight is what is weighed for all runs of a group.
type stopWeight struct {
	claim hfcost.Claim
	rest  time.Duration // what remains of the chain of its job beside its own step; may be negative
	timed bool          // it has an objective
}

func (s *Scheduler) stopWeight(g *group) stopWeight {
	if s.bySize || g.spec.GetLasting() || g.job.queue.GetStretch() <= 0 {
		return stopWeight{}
	}
	_, remaining := g.job.criticalPath(g.occurrence)
	return stopWeight{claim: g.claim(s.rank(g)), rest: remaining - g.estimate(), timed: true}
}

// stopCost returns the weighted core-seconds that callers lose if the runs are stopped. It reports false if they
// should go on: they end before the preemptor could start in their place, or their caller would lose more than the
// preemptor's gains.
func (p preemption) stopCost(v victim, weight stopWeight, now time.Time) (float64, bool) {
	g := v.group
	cost := 0.0
	if !weight.timed {
		for _, r := range v.runs {
			cost += g.repeated(r, now).Seconds() * g.cores()
		}
		return cost * g.lossFactor(), true
	}
	if !p.guaranteed && v.endsWithin(p.roomDelay, now) {
		return 0, false
	}
	for _, r := range v.runs {
		h := hfcost.NewHolding(weight.claim, g.cores(), g.repeated(r, now), weight.rest+r.expectedEnd(now).Sub(now))
		if !p.claim.MayStop(h, now) {
			return 0, false
		}
		cost += h.StopCost()
	}
	return cost * g.lossFactor(), true
}

// endsWithin reports whether the runs are at work and are measured to end all within a time.
func (v victim) endsWithin(d time.Duration, now time.Time) bool {
	for _, r := range v.runs {
		at, measured := r.progress.expectedEnd()
		if r.phase != running || !measured || !at.After(now) || at.After(now.Add(d)) {
			return false
		}
	}
	return true
}

// startedUp reports whether a lasting task has finished its startup.
func (r *run) startedUp() bool { return r.phase == running && r.progress.percent >= fullProgress }

// disruptionBudget returns how many started tasks of a group may be stopped. A step
// of lasting tasks can limit how many of them are unavailable at a time.
func (g *group) disruptionBudget() int {
	if !g.spec.GetLasting() || g.spec.GetAbsent() == 0 {
		return len(g.tasks)
	}
	unavailable := 0
	for i := range g.tasks {
		if r := g.tasks[i].run; r == nil || !r.startedUp() {
			unavailable++
		}
	}
	return max(0, int(g.spec.GetAbsent())-unavailable)
}

// gangVictim returns the runs of a gang as one victim. It reports false if the gang
// is already stopping.
func gangVictim(g *group) (victim, bool) {
	v := victim{group: g}
	for i := range g.tasks {
		r := g.tasks[i].run
		if r == nil {
			continue
		}
		if r.phase == stopping {
			return victim{}, false
		}
		v.runs = append(v.runs, r)
	}
	return v, true
}

// restartCost is the time that stopping and restarting a task costs even with a
// checkpoint.
const restartCost = 500 * time.Millisecond

// repeated returns the run time that is spent again when a run is stopped.
func (g *group) repeated(r *run, now time.Time) time.Duration {
	switch {
	case r.phase == assigned:
		return 0
	case g.spec.GetSaves() || g.spec.GetLasting():
		return restartCost
	}
	return restartCost + now.Sub(r.startedAt)
}

// lossFactor returns the weight of lost work by priority.
func (g *group) lossFactor() float64 {
	if g.job.queue.GetPriority() == 0 {
		return urgentLossFactor
	}
	return 1
}
