package hfplan

import (
	"slices"
	"time"

	"github.com/heatherfront/heatherfront/hfcrash"
	"github.com/heatherfront/heatherfront/hfplacement"
)

const (
	// isolationTime is how long a suspect must have been at work before other tasks are placed
	// beside it; see hfcrash.StartWindow.
	isolationTime = hfcrash.StartWindow
	// repeatedIsolationTime is the same after several crashes, which a task may also cause some
	// time after its start.
	repeatedIsolationTime = 10 * time.Second
	// isolationWait is how long a suspect waits for an empty worker before it is placed beside
	// others. The platform expects a task to be started within 3 s if there is room.
	isolationWait = 2 * time.Second
	// maxIsolationPrecedence is how long new urgent work waits for workers that are isolated. It must
	// start within 2.7 s.
	maxIsolationPrecedence = 1800 * time.Millisecond
	// suspectCrashes is the number of crashes after which a task is a suspect in any case.
	suspectCrashes = 2
	// maxIsolatedShare is the share of the workers of a pool that suspects may have to
	// themselves, since most suspects are innocent. Smaller pools than four isolate none.
	maxIsolatedShare = 0.25
)

// waiting reports whether a task needs a worker.
func (t *task) waiting() bool { return !t.done && t.run == nil && t.priorWorker == "" }

// suspect reports whether a task may have crashed a worker.
func (t *task) suspect() bool {
	c := t.group.primary(t).crashes
	return c.suspect || c.Total() >= suspectCrashes
}

// held reports whether a task must not start, as its job fails unless the last worker that
// it was lost with has not crashed.
func (t *task) held() bool {
	return t.group.primary(t).crashes.Exhausted() && t.hasCulprit()
}

// isolates reports whether a task is placed only on a worker of its own now.
func (t *task) isolates(now time.Time) bool {
	sharedFrom := t.group.primary(t).sharedFrom
	return t.suspect() && (sharedFrom.IsZero() || now.Before(sharedFrom))
}

// waitingShared returns the number of tasks that may get a worker now and may share it.
func (g *group) waitingShared(now time.Time) int {
	return min(g.waitingBesideOthers(now), max(0, g.waiting()-g.keptBack))
}

// allPlaced reports whether all tasks have a worker but those that are kept back.
func (g *group) allPlaced() bool { return g.waiting() <= g.keptBack }

// waitingBesideOthers returns the number of tasks that need a worker and may share it.
func (g *group) waitingBesideOthers(now time.Time) int {
	if !g.crashed && g.sparedTasks == 0 {
		return g.waiting()
	}
	n := 0
	for i := range g.tasks {
		if t := &g.tasks[i]; t.waiting() && !t.held() && !t.isolates(now) && !t.spared {
			n++
		}
	}
	return n
}

// ignoresIsolation reports whether a group may be placed beside suspects, or preempt them: new urgent
// work that has waited for nearly as long as the platform allows.
func (g *group) ignoresIsolation(now time.Time) bool {
	return g.job.queue.GetPriority() == 0 && g.step == 0 && !g.crashed && !now.Before(g.job.learnedAt.Add(maxIsolationPrecedence))
}

// hasSuspects reports whether tasks need a worker that may not share it.
func (g *group) hasSuspects(now time.Time) bool {
	return g.crashed && g.waitingBesideOthers(now) < g.waiting()
}

// isolate keeps other tasks off the worker of a run.
func (s *Scheduler) isolate(r *run) {
	r.isolated = true
	r.worker.resources.SetIsolated(true)
	s.emit(NoteCmd{
		note: NoteIsolated, job: r.task.group.job.id(), worker: r.worker.id(), step: r.task.group.step, tasks: 1, task: r.task.index,
		number: r.number, reason: "a worker crashed under it",
	})
}

// updateIsolated sets whether other tasks are kept off the worker.
func (w *worker) updateIsolated() {
	isolated := false
	for r := range w.runs {
		isolated = isolated || r.isolated
	}
	w.resources.SetIsolated(isolated)
}

// endIsolation ends the isolation of the runs on a worker that have been at work for long
// enough.
func (s *Scheduler) endIsolation(w *worker) {
	for r := range w.runs {
		if !r.task.group.crashed || r.phase != running || (!r.isolated && !r.task.suspect()) {
			continue
		}
		c := &r.task.group.primary(r.task).crashes
		least := isolationTime
		if c.Total() >= suspectCrashes {
			least = repeatedIsolationTime
		}
		if r.worked() < least {
			continue
		}
		if c.suspect {
			c.suspect = false
			s.markDirty(r.task.group.job)
		}
		if r.isolated {
			r.isolated = false
			w.updateIsolated()
			s.needsPass = true
		}
	}
}

// placeSuspects assigns the tasks of a group that are isolated to empty workers. Those that
// find none wait, for a limited time, and reserve the workers that are empty next.
func (s *Scheduler) placeSuspects(g *group, need hfplacement.Need, now time.Time) {
	size, unplaced, limit := 1, 0, s.isolationLimit(g)
	if g.gang() {
		size = len(g.tasks)
	}
	isolated, mayReserve := s.isolatedWorkers(g), !g.gang()
	for i := 0; i < len(g.tasks); i += size {
		t := &g.tasks[i]
		if !t.waiting() || t.held() || !t.isolates(now) {
			continue
		}
		if limit == 0 {
			t.sharedFrom = now
			continue
		}
		if unplaced == 0 && isolated < limit {
			placements, ok := s.findEmptyWorkers(g, need, size)
			if ok && isolated+len(placements) <= limit {
				t.sharedFrom = time.Time{}
				isolated += len(placements)
				s.assignRuns(g, placements, true, now)
				continue
			}
			if ok && len(placements) > limit {
				t.sharedFrom = now // a gang that needs more workers than may be isolated
				continue
			}
		}
		unplaced++
		if t.sharedFrom.IsZero() {
			t.sharedFrom = now.Add(isolationWait)
		}
		if pool := g.job.queue.GetPool(); mayReserve && isolated+s.suspectReserved[pool] < limit {
			if mayReserve = s.reserveEmptyWorker(g, t.sharedFrom, now); mayReserve {
				s.suspectReserved[pool]++
			}
		}
	}
}

// isolationLimit returns the number of workers in the pool of a group that may be isolated.
func (s *Scheduler) isolationLimit(g *group) int {
	workers := 0
	s.resources.EachWorker(g.job.queue.GetPool(), func(*hfplacement.Worker) { workers++ })
	return int(maxIsolatedShare * float64(workers))
}

// isolatedWorkers returns the number of workers in the pool of a group that are isolated.
func (s *Scheduler) isolatedWorkers(g *group) int {
	isolated := 0
	s.resources.EachWorker(g.job.queue.GetPool(), func(w *hfplacement.Worker) {
		if w.Isolated() {
			isolated++
		}
	})
	return isolated
}

// findEmptyWorkers returns placements of count tasks on empty workers. Workers that have not
// crashed lately are preferred.
func (s *Scheduler) findEmptyWorkers(g *group, need hfplacement.Need, count int) ([]hfplacement.Placement, bool) {
	occupied := func(id string) bool {
		w := s.workers[id]
		return len(w.runs) > 0 || len(w.orphans) > 0 || len(w.priorTasks) > 0
	}
	unstable := func(id string) bool {
		_, found := s.unstable[s.workers[id].address()]
		return found
	}
	for _, n := range []hfplacement.Need{need.AlsoExcluding(occupied).AlsoExcluding(unstable), need.AlsoExcluding(occupied)} {
		if g.gang() && g.spec.GetCompact() {
			if placements, ok := s.resources.PlaceInOneRack(n, count); ok {
				return placements, true
			}
			if oneRack, _ := s.resources.FitsWhenEmpty(need, count); oneRack {
				continue
			}
		}
		if placements, placed := s.resources.PlaceAcrossRacks(n, count); placed == count {
			return placements, true
		}
	}
	return nil, false
}

// reserveEmptyWorker reserves the worker that is expected to be empty first for a suspect, if
// that is before the suspect may share one. It reports whether there is one.
func (s *Scheduler) reserveEmptyWorker(g *group, sharedFrom, now time.Time) bool {
	var best *hfplacement.Worker
	emptyAt := sharedFrom
	s.resources.EachWorker(g.job.queue.GetPool(), func(w *hfplacement.Worker) {
		if !w.Usable() || w.Isolated() || w.Reserved() || g.avoid[w.ID()] || w.Capacity().CountFitting(g.size) == 0 {
			return
		}
		if label := g.spec.GetLabel(); label != "" && !slices.Contains(s.workers[w.ID()].registration.GetLabels(), label) {
			return
		}
		at := now
		for r := range s.workers[w.ID()].runs {
			if r.task.group.spec.GetLasting() {
				return
			}
			at = later(at, r.expectedEnd(now))
		}
		if at.Before(emptyAt) {
			best, emptyAt = w, at
		}
	})
	if best == nil {
		return false
	}
	best.Reserve(g, emptyAt)
	return true
}
