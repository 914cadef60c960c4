package hfplan

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/heatherfront/heatherfront/hfroom"
)

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// pass starts what can start, finds places for what waits, and stores what changed.
func (s *Scheduler) pass(now time.Time) {
	if s.needsPass {
		s.needsPass = false
		s.removeFinishedGroups()
		s.startAssigned(now)
		s.placeGroups(now)
		s.startAssigned(now)
		s.requestAdvice(now)
	}
	s.flush()
}

// startPromised sends the starts whose workers have room now. The members of a gang
// are started together.
func (s *Scheduler) startAssigned(now time.Time) {
	for _, g := range s.groups {
		if g.assigned == 0 {
			continue
		}
		s.revokeAssignments(g, now)
		if s.storedSequence < g.requiredSequence {
			continue
		}
		if g.gang() {
			s.startGang(g, now)
			continue
		}
		for i := range g.tasks {
			if r := g.tasks[i].run; r != nil && r.phase == assigned && r.worker.resources.Starts(g.size) {
				r.worker.resources.Occupy(g.size)
				s.startRun(r, now)
			}
		}
	}
}

// promiseLife is how long a run waits for the room that was promised to it. A stop takes
// a fifth of a second; one that has no effect by then is held up.
const assignmentTimeout = 900 * time.Millisecond

// dropUnusable takes promises back from workers that take no tasks any more, and those
// that were not kept in time. The members of a gang lose them together.
func (s *Scheduler) revokeAssignments(g *group, now time.Time) {
	expired := now.Sub(g.assignedAt) > assignmentTimeout && s.storedSequence >= g.requiredSequence
	revoked := expired
	for i := range g.tasks {
		r := g.tasks[i].run
		if r == nil || r.phase != assigned || (r.worker.resources.Usable() && !expired) {
			continue
		}
		revoked = true
		if !g.gang() {
			s.releaseRun(r)
		}
	}
	if !revoked || !g.gang() {
		return
	}
	for i := range g.tasks {
		if r := g.tasks[i].run; r != nil && r.phase == assigned {
			s.releaseRun(r)
		}
	}
}

func (s *Scheduler) startGang(g *group, now time.Time) {
	if g.assigned != len(g.tasks) {
		if g.assigned > 0 {
			s.recordViolation(ErrPartialGang, g.job.id())
		}
		return
	}
	for i := range g.tasks {
		resources := g.tasks[i].run.worker.resources
		if !resources.Starts(g.size) {
			for previous := range i {
				g.tasks[previous].run.worker.resources.Vacate(g.size)
			}
			return
		}
		resources.Occupy(g.size)
	}
	for i := range g.tasks {
		s.startRun(g.tasks[i].run, now)
	}
}

// candidate is a group that waits for places, with the order in which it gets them.
type candidate struct {
	group           *group
	priority        uint32
	beyondGuarantee int // 1 for urgent jobs beyond the guarantee of their account
	objective       objectiveStatus
	rank            float64 // smaller first
}

// candidates lists the groups that may be placed now, in the order in which they are.
func (s *Scheduler) candidates(now time.Time) []candidate {
	var list []candidate
	for _, g := range s.groups {
		if g.waiting() == 0 || g.job.queue == nil || !g.ready(now) {
			continue
		}
		if g.gang() && g.active > 0 {
			continue
		}
		if g.gang() && g.awaitingPrior > 0 {
			continue
		}
		c := candidate{group: g, priority: g.job.queue.GetPriority(), objective: g.objectiveStatus(now), rank: s.rank(g)}
		if c.priority == 0 && !g.job.guaranteed {
			c.beyondGuarantee = 1
		}
		list = append(list, c)
	}
	slices.SortStableFunc(list, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.priority, b.priority), cmp.Compare(a.beyondGuarantee, b.beyondGuarantee), cmp.Compare(a.objective, b.objective), cmp.Compare(a.rank, b.rank),
			cmp.Compare(a.group.job.id(), b.group.job.id()), cmp.Compare(a.group.step, b.group.step),
		)
	})
	return list
}

// rank returns the core-seconds that the job still needs: the job that is done soonest
// goes first, so that few are under way at a time. Lasting tasks take turns.
func (s *Scheduler) rank(g *group) float64 {
	if g.spec.GetLasting() {
		return float64(g.assignedAt.UnixMilli())
	}
	total := 0.0
	for _, o := range g.job.groups {
		total += float64(o.open) * o.cores() * o.estimate().Seconds()
	}
	return total
}

func (s *Scheduler) placementNeed(g *group, now time.Time) hfroom.Need {
	need := hfroom.NewNeed(g.job.queue.GetPool(), g.size).Labelled(g.spec.GetLabel()).Near(g.spec.GetNear())
	if g.job.queue.GetPriority() == 0 || g.spec.GetLasting() {
		need = need.For(g, now) // the most urgent work takes any room, and so do tasks that make way for all other work
	} else {
		need = need.For(g, now.Add(g.estimate()))
	}
	if maxPerWorker := int(g.spec.GetApart()); maxPerWorker > 0 {
		tasksOn := map[string]int{}
		for i := range g.tasks {
			if r := g.tasks[i].run; r != nil {
				tasksOn[r.worker.id()]++
			}
		}
		need = need.Apart(maxPerWorker, func(id string) int { return tasksOn[id] })
	}
	if g.job.queue.GetAdvised() {
		return need.Avoiding(func(id string) bool {
			_, ok := g.ticketFor(s.workers[id], now)
			return !ok || g.avoid[id]
		})
	}
	if len(g.avoid) == 0 {
		return need
	}
	minTasks := 1
	if g.gang() {
		minTasks = len(g.tasks)
	}
	avoiding := need.Avoiding(func(id string) bool { return g.avoid[id] })
	if _, possible := s.resources.Possible(avoiding, minTasks); !possible {
		// It failed on too many workers to leave them all out.
		clear(g.avoid)
		return need
	}
	return avoiding
}

// shape is what decides whether another group of the same kind has a chance.
type placementShape struct {
	pool          string
	size          hfroom.Size
	gang, compact bool
}

// plain tells whether any worker of the pool will do for a group.
func (g *group) unconstrained() bool {
	return g.spec.GetLabel() == "" && g.spec.GetApart() == 0 && !g.job.queue.GetAdvised() && len(g.avoid) == 0
}

// place finds places for waiting groups, the most urgent first.
func (s *Scheduler) placeGroups(now time.Time) {
	smallestFailed := map[placementShape]int{} // smallest count that found no place
	s.clearReservations()
	s.assignGuarantees()
	budgets := s.gangBudgets(now)
	for _, c := range s.candidates(now) {
		g := c.group
		shape := placementShape{pool: g.job.queue.GetPool(), size: g.size, gang: g.gang(), compact: g.spec.GetCompact()}
		count := g.waiting()
		if !g.gang() {
			count = 1
		}
		if smallest, ok := smallestFailed[shape]; ok && count >= smallest && c.priority > 0 && g.unconstrained() {
			continue
		}
		budget, budgeted := budgets[g.job.queue.GetPool()], c.priority > 0 && g.uncheckpointedGang()
		if budgeted && !budget.take(g) {
			continue
		}
		if s.placeGroup(g, now) {
			continue
		}
		if s.preempt(g, now) {
			continue
		}
		if budgeted {
			budget.refund(g)
		}
		s.reserveWorkers(g, now)
		if smallest, ok := smallestFailed[shape]; g.unconstrained() && (!ok || count < smallest) {
			smallestFailed[shape] = count
		}
	}
}

// placeGroup promises places to the tasks of a group: all members of a gang, or as many
// single tasks as there is room for. It returns false when some got none.
func (s *Scheduler) placeGroup(g *group, now time.Time) bool {
	need, count := s.placementNeed(g, now), g.waiting()
	if !g.gang() {
		slots, placed := s.resources.Spread(need, count)
		s.assign(g, slots, now)
		return placed == count
	}
	if g.spec.GetCompact() {
		if slots, ok := s.resources.Compact(need, count); ok {
			s.assign(g, slots, now)
			return true
		}
		if compact, _ := s.resources.Possible(need, count); compact {
			return false
		}
	}
	slots, placed := s.resources.Spread(need, count)
	if placed < count {
		return false
	}
	s.assign(g, slots, now)
	return true
}

// promise gives the waiting tasks of a group their workers.
func (s *Scheduler) assign(g *group, slots []hfroom.Slot, now time.Time) {
	if len(slots) == 0 {
		return
	}
	g.assignedAt, g.reservedRack = now, ""
	s.markDirty(g.job)
	g.requiredSequence = s.sequence + 1
	gangNumber := s.runNumberBase + 1
	if g.gang() {
		for i := range g.tasks {
			gangNumber = max(gangNumber, g.tasks[i].lastRun+1)
		}
	}
	next, placed := 0, 0
	for _, slot := range slots {
		w := s.workers[slot.Worker().ID()]
		for range slot.Tasks() {
			for g.tasks[next].done || g.tasks[next].run != nil || g.tasks[next].priorWorker != "" {
				next++
			}
			t := &g.tasks[next]
			runNumber := gangNumber
			if !g.gang() {
				runNumber = max(s.runNumberBase+1, t.lastRun+1)
			}
			t.lastRun = runNumber
			t.run = &run{task: t, worker: w, number: runNumber, phase: assigned, pace: fullPace, requestedPace: unknownPace}
			w.runs[t.run] = struct{}{}
			w.resources.Promise(g.size)
			g.active++
			g.assigned++
			placed++
		}
	}
	s.emit(NoteCmd{note: NotePlaced, job: g.job.id(), step: g.step, tasks: placed})
}
