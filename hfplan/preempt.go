package hfplan

import (
	"time"

	"github.com/heatherfront/heatherfront/hfroom"
)

// victim is a set of runs that end together: a gang, or one task.
type victim struct {
	group *group
	runs  []*run
}

// preempt makes room for a group by stopping runs of less urgent queues, those with
// the least loss first, and promises it the room.
func (s *Scheduler) preempt(g *group, now time.Time) bool {
	if now.Before(g.preemptNotBefore) {
		return false
	}
	need, count := s.placementNeed(g, now), g.waiting()
	victims := s.victims(g, now)
	if len(victims) == 0 {
		return false
	}
	compact := g.gang() && g.spec.GetCompact()
	chosen, ok := hfroom.Reclaim(s.resources, need, count, compact, victims)
	if !ok && compact && !g.waitsForRack(now) {
		chosen, ok = hfroom.Reclaim(s.resources, need, count, false, victims)
		compact = false
	}
	if !ok {
		g.preemptNotBefore = now.Add(preemptRetryInterval)
		return false
	}
	for _, v := range chosen {
		for _, r := range v.Of().runs {
			s.stopRun(r, now)
		}
		s.emit(NoteCmd{note: NotePreempted, job: v.Of().group.job.id(), step: v.Of().group.step, tasks: len(v.Of().runs), reason: "for job " + g.job.id()})
	}
	if compact {
		if slots, ok := s.resources.Compact(need, count); ok {
			s.assign(g, slots, now)
			return true
		}
		return false
	}
	slots, placed := s.resources.Spread(need, count)
	if g.gang() && placed < count {
		return false
	}
	s.assign(g, slots, now)
	return placed == count
}

// preemptPause is the time after which a group that found too few victims looks again:
// a look goes over all runs of the fleet.
const preemptRetryInterval = 100 * time.Millisecond

// compactPatience is how long urgent gangs wait for a rack. Over several racks they run
// some times as long; waiting longer would miss the time in which guaranteed work has
// to start.
const maxRackWait = 1800 * time.Millisecond

// patient tells whether a gang still waits for a rack.
func (g *group) waitsForRack(now time.Time) bool {
	return now.Sub(g.job.learnedAt) < maxRackWait
}

// urgentLoss weighs the loss of urgent work against that of other work.
const urgentLossFactor = 10

// victims lists what may be stopped for a group.
func (s *Scheduler) victims(preemptor *group, now time.Time) []hfroom.Victim[victim] {
	var list []hfroom.Victim[victim]
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
				list = append(list, hfroom.NewVictim(victim{group: g, runs: []*run{r}}, g.loss(r, now), []hfroom.Part{hfroom.NewPart(r.worker.resources, g.size)}))
			}
		}
	}
	return list
}

// atWork tells whether a lasting task has started up.
func (r *run) startedUp() bool { return r.phase == running && r.progress.percent >= fullProgress }

// spare returns how many tasks of a group that are at work may be stopped: of lasting
// ones only as many may be away as their step allows.
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

func gangVictim(g *group, now time.Time) (hfroom.Victim[victim], bool) {
	v, loss := victim{group: g}, 0.0
	var parts []hfroom.Part
	for i := range g.tasks {
		r := g.tasks[i].run
		if r == nil {
			continue
		}
		if r.phase == stopping {
			return hfroom.Victim[victim]{}, false
		}
		v.runs = append(v.runs, r)
		parts = append(parts, hfroom.NewPart(r.worker.resources, g.size))
		loss += g.loss(r, now)
	}
	return hfroom.NewVictim(v, loss, parts), true
}

// restartLoss is the time that a task with a checkpoint loses by a stop and a restart.
const restartCost = 500 * time.Millisecond

// loss returns the core-seconds of work that stopping a run throws away.
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
