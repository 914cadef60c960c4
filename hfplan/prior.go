package hfplan

import "time"

// hold keeps a task from being placed while it may still run on the worker on which an
// earlier scheduler may have started it.
func (s *Scheduler) awaitPriorRun(t *task) {
	if t.priorWorker == "" || t.done || t.group.job.final() {
		t.priorWorker = ""
		return
	}
	w := s.workers[t.priorWorker]
	if w == nil || w.reported {
		t.priorWorker = "" // the worker holds nothing any more, or would have reported it
		return
	}
	if w.priorTasks == nil {
		w.priorTasks = map[*task]struct{}{}
	}
	w.priorTasks[t] = struct{}{}
	t.group.awaitingPrior++
}

// unhold lets a task be placed again, or counts it as running.
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

// unholdAll lets all tasks be placed again that may have run on a worker: it was heard
// and does not run them, or its leases have lapsed.
func (s *Scheduler) resolvePriorRuns(w *worker) {
	for t := range w.priorTasks {
		s.resolvePriorRun(t)
	}
}

// mend stops what is left of gangs of which an earlier scheduler started only a part, or
// of which a member was lost meanwhile.
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
