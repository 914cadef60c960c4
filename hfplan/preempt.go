package hfplan

import (
	"time"

	"github.com/heatherfront/heatherfront/hfplacement"
)

// victim is a set of runs that are stopped together: a whole gang or a single task.
type victim struct {
	group *group
	runs  []*run
}

// preempt stops runs that the group may preempt, preferring those that lose the
// least work, and assigns the freed resources to the group. Urgent tasks get slow workers only if there
// is not enough on others. It reports whether every waiting task was assigned.
func (s *Scheduler) preempt(g *group, now time.Time) bool {
	if now.Before(g.preemptNotBefore) {
		return false
	}
	need, count := s.placementNeed(g, now), g.waitingShared(now)
	if count == 0 {
		return false
	}
	if g.cautious {
		if count -= s.roomBesidesSuspects(g, count, now); count <= 0 {
			return false // it waits for better workers, not for room
		}
	}
	victims := s.victims(g, now)
	if len(victims) == 0 {
		return false
	}
	needs := []hfplacement.Need{need}
	if fast, ok := s.withoutSlow(g, need); ok {
		needs = []hfplacement.Need{fast, need}
	}
	for _, compact := range g.preemptedShapes(now) {
		for _, n := range needs {
			if chosen, ok := hfplacement.SelectVictims(s.resources, n, count, compact, victims); ok {
				return s.preemptFor(g, n, count, compact, chosen, now)
			}
		}
	}
	g.preemptNotBefore = now.Add(preemptRetryInterval)
	return false
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
		for _, r := range v.Value().runs {
			s.stopRun(r, now)
		}
		s.emit(NoteCmd{note: NotePreempted, job: v.Value().group.job.id(), step: v.Value().group.step, tasks: len(v.Value().runs), reason: "for job " + g.job.id()})
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
	for _, g := range s.groups {
		if g.active == 0 || g.job.queue == nil || g.job.queue.GetPool() != queue.GetPool() || !preemptor.mayPreempt(g) {
			continue
		}
		if g.gang() {
			if v, ok := gangVictim(g, now); ok && !g.spec.GetLasting() {
				list = append(list, v)
			}
			continue
		}
		allowance := g.disruptionBudget()
		for i := range g.tasks {
			if r := g.tasks[i].run; r != nil && r.phase != stopping && (allowance > 0 || !r.startedUp()) {
				allowance--
				list = append(list, hfplacement.NewVictim(victim{group: g, runs: []*run{r}}, g.loss(r, now), []hfplacement.Allocation{hfplacement.NewAllocation(r.worker.resources, g.size)}))
			}
		}
	}
	return list
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
func gangVictim(g *group, now time.Time) (hfplacement.Victim[victim], bool) {
	v, loss := victim{group: g}, 0.0
	var allocations []hfplacement.Allocation
	for i := range g.tasks {
		r := g.tasks[i].run
		if r == nil {
			continue
		}
		if r.phase == stopping {
			return hfplacement.Victim[victim]{}, false
		}
		v.runs = append(v.runs, r)
		allocations = append(allocations, hfplacement.NewAllocation(r.worker.resources, g.size))
		loss += g.loss(r, now)
	}
	return hfplacement.NewVictim(v, loss, allocations), true
}

// restartCost is the time that stopping and restarting a task costs even with a
// checkpoint.
const restartCost = 500 * time.Millisecond

// loss returns the weighted core-seconds that are lost when a run is stopped.
func (g *group) loss(r *run, now time.Time) float64 {
	if r.phase == assigned {
		return 0
	}
	lost := restartCost
	if !g.spec.GetSaves() && !g.spec.GetLasting() {
		lost += now.Sub(r.startedAt)
	}
	if g.job.queue.GetPriority() == 0 {
		lost *= urgentLossFactor
	}
	return lost.Seconds() * g.cores()
}
