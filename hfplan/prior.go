package hfplan

import "time"

// awaitPriorRun blocks the placement of a task while a run that an earlier scheduler
// started may still be active on its recorded worker.
func (s *Scheduler) awaitPriorRun(t *task) {
	if t.priorWorker == "" || t.done || t.group.job.final() {
		t.priorWorker = ""
		return
	}
	w := s.workers[t.priorWorker]
	if w == nil || w.reported {
		t.priorWorker = "" // the worker is gone, or has reported without listing the run
		return
	}
	if w.priorTasks == nil {
		w.priorTasks = map[*task]struct{}{}
	}
	w.priorTasks[t] = struct{}{}
	t.group.awaitingPrior++
}

// resolvePriorRun ends the wait for a prior run, because it was adopted or is known
// to have ended.
func (s *Scheduler) resolvePriorRun(t *task) {
	if t.priorWorker == "" {
		return
	}
	if w := s.workers[t.priorWorker]; w != nil {
		delete(w.priorTasks, t)
	}
	t.priorWorker = ""
	t.group.awaitingPrior--
	s.needsPass = true
}

// resolvePriorRuns unblocks all tasks that wait for a prior run on a worker. The
// worker has reported without listing them, or its leases have expired.
func (s *Scheduler) resolvePriorRuns(w *worker) {
	for t := range w.priorTasks {
		s.resolvePriorRun(t)
	}
}

// stopPartialGangs stops the remaining members of gangs that an earlier scheduler
// started only in part, or that have lost a member since.
func (s *Scheduler) stopPartialGangs(now time.Time) {
	for _, g := range s.groups {
		if !g.gang() || g.active == 0 || g.awaitingPrior > 0 || g.active == g.open {
			continue
		}
		for i := range g.tasks {
			if r := g.tasks[i].run; r != nil && r.phase == running {
				s.stopRun(r, now)
			}
		}
	}
}
