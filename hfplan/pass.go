package hfplan

import (
	"maps"
	"slices"
	"time"

	"github.com/heatherfront/heatherfront/hfplacement"
)

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// pass runs one scheduling pass: it starts assigned runs whose resources are free,
// assigns waiting tasks to workers, and stores what changed.
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

// startAssigned starts the assigned runs whose workers have room for them now. The
// members of a gang are started together.
func (s *Scheduler) startAssigned(now time.Time) {
	for _, g := range s.groups {
		if g.assigned == 0 {
			continue
		}
		s.revokeAssignments(g, now)
		if !s.placesStored(g) {
			continue
		}
		if g.gang() {
			s.startGang(g, now)
			continue
		}
		for i := range g.tasks {
			if r := g.tasks[i].run; r != nil && r.phase == assigned && r.worker.resources.CanStart(g.size) {
				r.worker.resources.AddRunning(g.size)
				s.startRun(r, now)
			}
		}
	}
}

// revokeAssignments releases assigned runs whose worker no longer takes tasks, and
// those that could not be started in time. The members of a gang are released
// together.
func (s *Scheduler) revokeAssignments(g *group, now time.Time) {
	expired := now.Sub(g.assignedAt) > s.timing.assignmentTimeout() && s.placesStored(g)
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
	if revoked && g.gang() {
		s.releaseAssigned(g)
	}
}

// releaseAssigned releases all assigned runs.
func (s *Scheduler) releaseAssigned(g *group) {
	for i := range g.tasks {
		if r := g.tasks[i].run; r != nil && r.phase == assigned {
			s.releaseRun(r)
		}
	}
}

// startGang starts all members of a gang, or none if one of their workers lacks
// room.
func (s *Scheduler) startGang(g *group, now time.Time) {
	if g.assigned != len(g.tasks) {
		if g.assigned > 0 {
			s.recordViolation(ErrPartialGang, g.job.id())
		}
		return
	}
	for i := range g.tasks {
		resources := g.tasks[i].run.worker.resources
		if !resources.CanStart(g.size) {
			for previous := range i {
				g.tasks[previous].run.worker.resources.RemoveRunning(g.size)
			}
			return
		}
		resources.AddRunning(g.size)
	}
	for i := range g.tasks {
		s.startRun(g.tasks[i].run, now)
	}
}

// rank returns the remaining core-seconds of a job. Jobs with the least remaining
// work go first, which keeps the number of jobs in progress low. Lasting tasks take
// turns: those assigned longest ago go first.
func (s *Scheduler) rank(g *group) float64 {
	if g.spec.GetLasting() {
		return float64(g.assignedAt.UnixMilli())
	}
	total, unloaded := 0.0, float64(g.job.unloadedCount())
	for other := range g.job.loadedGroups() {
		work := other.cores() * other.estimate().Seconds()
		total += float64(other.open) * work
		if other.occurrence == g.occurrence {
			total += unloaded * float64(len(other.tasks)) * work
		}
	}
	return total
}

// generalNeed returns the requirements of a group on the workers for its tasks, regardless of the
// workers that it avoids or has no ticket for.
func (s *Scheduler) generalNeed(g *group, now time.Time) hfplacement.Need {
	need := hfplacement.NewNeed(g.job.queue.GetPool(), g.size).WithLabel(g.spec.GetLabel()).PreferRack(g.spec.GetNear())
	if g.job.queue.GetPriority() == 0 || g.spec.GetLasting() {
		// Tasks that end now may use any reserved worker: priority 0 takes precedence over
		// reservations, and lasting tasks can be preempted when a reservation is due.
		need = need.ForGroup(g, now)
	} else {
		need = need.ForGroup(g, now.Add(g.estimate()))
	}
	if g.ignoresIsolation(now) {
		need = need.BesideIsolated()
	}
	if s.outranks != nil {
		need = need.Outranking(s.outranks)
	}
	if maxPerWorker := int(g.spec.GetApart()); maxPerWorker > 0 {
		// Counted anew for each placement: one pass can place tasks of the group several times.
		need = need.MaxPerWorker(maxPerWorker, func(id string) int { return s.workers[id].tasksOf(g) })
	}
	return need
}

// placementNeed returns the requirements of a group on the workers for its tasks.
func (s *Scheduler) placementNeed(g *group, now time.Time) hfplacement.Need {
	return s.cautiousNeed(g, s.avoidingNeed(g, now), now)
}

// avoidingNeed returns the requirements of a group on the workers for its tasks, regardless of other
// workers that may be bad than those that it avoids.
func (s *Scheduler) avoidingNeed(g *group, now time.Time) hfplacement.Need {
	need := s.permittedNeed(g, now)
	if len(g.avoid) == 0 {
		return need
	}
	avoiding := need.AlsoExcluding(func(id string) bool { return g.avoid[id] })
	if _, possible := s.resources.FitsWhenEmpty(avoiding, g.leastTasks()); !possible {
		// The group cannot be placed without the avoided workers, so try them again.
		clear(g.avoid)
		return need
	}
	return avoiding
}

// permittedNeed returns the requirements of a group on the workers for its tasks, regardless of the
// workers that it avoids.
func (s *Scheduler) permittedNeed(g *group, now time.Time) hfplacement.Need {
	need := s.generalNeed(g, now)
	if !g.job.queue.GetAdvised() {
		return need
	}
	return need.Excluding(func(id string) bool {
		_, ok := g.ticketFor(s.workers[id], now)
		return !ok
	})
}

// leastTasks returns the number of tasks that can be placed at once at least: all of a gang, or one.
func (g *group) leastTasks() int {
	if g.gang() {
		return len(g.tasks)
	}
	return 1
}

// tasksOf returns the number of tasks of a group that may be running on the worker, or will be: with
// their run, an orphan that is being stopped, or a run of an earlier scheduler.
func (w *worker) tasksOf(g *group) int {
	tasks := map[*task]struct{}{}
	for r := range w.runs {
		if r.task.group == g {
			tasks[r.task] = struct{}{}
		}
	}
	for t := range w.priorTasks {
		if t.group == g {
			tasks[t] = struct{}{}
		}
	}
	for key := range w.orphans {
		if key.task.Job() == g.job.id() && key.task.Occurrence() == g.occurrence && key.task.Step() == g.step && int(key.task.Index()) < len(g.tasks) {
			tasks[&g.tasks[key.task.Index()]] = struct{}{}
		}
	}
	return len(tasks)
}

// placementShape identifies groups with the same chance of being placed.
type placementShape struct {
	pool          string
	size          hfplacement.Resources
	gang, compact bool
}

func (g *group) placementShape() placementShape {
	return placementShape{pool: g.job.queue.GetPool(), size: g.size, gang: g.gang(), compact: g.spec.GetCompact()}
}

// unconstrained reports whether the group can use any worker of its pool that has
// enough room.
func (g *group) unconstrained(now time.Time) bool {
	return !g.cautious && g.unconstrainedButForCaution(now)
}

// unconstrainedButForCaution reports whether the group can use any such worker, unless it may be bad.
func (g *group) unconstrainedButForCaution(now time.Time) bool {
	return g.spec.GetLabel() == "" && g.spec.GetApart() == 0 && !g.job.queue.GetAdvised() && len(g.avoid) == 0 && !g.hasSuspects(now)
}

// placeGroups assigns the waiting groups to workers in scheduling order. Except for
// priority 0, it skips an unconstrained group if a group of the same shape with as
// many or fewer tasks could not be placed in this pass.
func (s *Scheduler) placeGroups(now time.Time) {
	smallestFailed := map[placementShape]int{} // smallest task count that was not placed
	clear(s.notAmple)
	s.endForecasts = 0
	clear(s.poolWorkers)
	defer clear(s.stopWeights)
	s.clearReservations()
	s.listSlowWorkers()
	s.reviewSuspects(now)
	s.assignGuarantees()
	budgets := s.gangBudgets(now)
	candidates := s.candidates(now)
	clear(s.urgentWaits)
	for _, c := range candidates {
		c.group.endForecasts = 0
		if c.priority == 0 {
			s.urgentWaits[c.group.job.queue.GetPool()] = true
		}
	}
	for _, c := range candidates {
		g := c.group
		if g.goesFirst = c.first; g.waiting() == 0 {
			continue // all of it went first
		}
		shape := g.placementShape()
		count := g.waiting()
		if !g.gang() {
			count = 1
		}
		if smallest, ok := smallestFailed[shape]; ok && count >= smallest && c.priority > 0 && g.unconstrainedButForCaution(now) {
			continue
		}
		budget, budgeted := budgets[g.job.queue.GetPool()], c.priority > 0 && g.uncheckpointedGang() && !g.goesFirst
		if s.keepBack(g, budget, now); g.allPlaced() {
			continue
		}
		if budgeted && !budget.take(g) {
			if !s.waitsInVain(g, s.placementNeed(g, now), count, now) {
				continue
			}
			budgeted = false
		}
		g.awaitingRack = false
		active, preempted := g.active, noRoom
		placed := s.placeGroup(g, now) || g.allPlaced()
		if !placed {
			preempted = s.preempt(g, now)
		}
		budget.use(g, g.active-active)
		if placed || preempted == allAssigned {
			continue
		}
		if budgeted {
			budget.refund(g)
		}
		if preempted != awaitsReserved && !s.reserveWorkers(g, now) && g.goesFirst {
			g.goFirstNotBefore = now.Add(goFirstRetryInterval)
		}
		if smallest, ok := smallestFailed[shape]; g.unconstrainedButForCaution(now) && (!g.cautious || g.lacksRoom) && !g.awaitingRack && (!ok || count < smallest) {
			smallestFailed[shape] = count
		}
	}
}

// placeGroup assigns the waiting tasks of a group to free workers: all members of a
// gang or none, and as many single tasks as fit. Urgent tasks get slow workers only if there is no
// room on others. It reports whether every task was assigned.
func (s *Scheduler) placeGroup(g *group, now time.Time) bool {
	need := s.placementNeed(g, now)
	if g.hasSuspects(now) {
		s.placeSuspects(g, need, now)
	}
	if s.vigilant && s.placeVigilantly(g, now) || !s.vigilant && s.placeWithin(g, need, now) {
		return true
	}
	s.liftAvoidance(g, now)
	return false
}

// placeWithin assigns the waiting tasks of a group that need not be isolated to workers that meet the given
// requirements. It reports whether every task was assigned.
func (s *Scheduler) placeWithin(g *group, need hfplacement.Need, now time.Time) bool {
	if fast, ok := s.withoutSlow(g, need); ok && s.placeOn(g, fast, now) {
		return true
	}
	return s.placeOn(g, need, now)
}

// placeOn assigns the waiting tasks of a group that need not be isolated to workers that meet the
// given requirements.
func (s *Scheduler) placeOn(g *group, need hfplacement.Need, now time.Time) bool {
	count := g.waitingShared(now)
	if !g.gang() {
		placements, placed := s.resources.PlaceAcrossRacks(need, count)
		s.assign(g, placements, now)
		return placed == count && g.allPlaced()
	}
	if count == 0 {
		return g.allPlaced()
	}
	if g.spec.GetCompact() {
		if placements, ok := s.resources.PlaceInOneRack(need, count); ok {
			s.assign(g, placements, now)
			return true
		}
	}
	placements, placed := s.resources.PlaceAcrossRacks(need, count)
	if placed < count {
		return false
	}
	if g.spec.GetCompact() && s.awaitsRack(g, need, count, now) {
		g.awaitingRack = true
		return false
	}
	s.assign(g, placements, now)
	return true
}

// assign creates a run on the placed workers for each placed task of a group that need not be
// isolated. The members of a gang share one run number.
func (s *Scheduler) assign(g *group, placements []hfplacement.Placement, now time.Time) {
	s.assignRuns(g, placements, false, now)
}

// assignRuns creates a run for each placed task: either for tasks that are isolated, or for
// those that are not.
func (s *Scheduler) assignRuns(g *group, placements []hfplacement.Placement, isolated bool, now time.Time) {
	if len(placements) == 0 {
		return
	}
	g.assignedAt, g.reservedRack, g.rackSoughtAt, g.ampleSince, g.avoidsRoomSince = now, "", time.Time{}, time.Time{}, time.Time{}
	s.markDirty(g.job)
	g.requiredSequence = s.sequence + 1
	gangNumber := s.runNumberBase + 1
	if g.gang() {
		for i := range g.tasks {
			gangNumber = max(gangNumber, g.tasks[i].lastRun+1)
		}
	}
	next, placed := 0, 0
	for _, p := range placements {
		w := s.workers[p.Worker().ID()]
		delete(s.trialWorkers[g.job.queue.GetPool()], w.id())
		for range p.Tasks() {
			for !g.tasks[next].waiting() || g.tasks[next].held() || g.tasks[next].isolates(now) != isolated || g.tasks[next].spared && !isolated {
				next++
			}
			t := &g.tasks[next]
			runNumber := gangNumber
			if !g.gang() {
				runNumber = max(s.runNumberBase+1, t.lastRun+1)
			}
			t.lastRun = runNumber
			if runNumber >= s.runNumberBase+runsPerTerm {
				s.emit(EndTermCmd{})
			}
			t.run = &run{task: t, worker: w, number: runNumber, phase: assigned, pace: fullPace, requestedPace: unknownPace}
			w.runs[t.run] = struct{}{}
			w.forgetReleases()
			w.resources.Assign(g.size)
			if isolated {
				s.isolate(t.run)
			}
			if g.goesFirst && placed == 0 {
				g.rescue = t.run
			}
			g.active++
			g.assigned++
			placed++
		}
	}
	if !g.lastAttemptWaits() {
		g.provedBy, g.trustedBy, g.awaitsProof, g.inherited = time.Time{}, time.Time{}, false, false
	}
	s.emit(NoteCmd{note: NotePlaced, job: g.job.id(), step: g.step, tasks: placed})
}
