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
	s.awaitWorker(t, w)
}

// awaitWorker blocks the placement of a task until a worker reports.
func (s *Scheduler) awaitWorker(t *task, w *worker) {
	if w.priorTasks == nil {
		w.priorTasks = map[*task]struct{}{}
	}
	w.priorTasks[t] = struct{}{}
	t.priorWorker = w.id()
	t.group.awaitingPrior++
}

// awaitOrphan blocks the placement of a task without a run while an orphan of it has not
// ended.
func (s *Scheduler) awaitOrphan(t *task) {
	if s.orphans[t.id()] == 0 || t.run != nil || t.done || t.priorWorker != "" || t.group.job.final() {
		return
	}
	for _, id := range sortedKeys(s.workers) {
		for key := range s.workers[id].orphans {
			if key.task == t.id() {
				s.awaitWorker(t, s.workers[id])
				return
			}
		}
	}
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
	s.awaitOrphan(t)
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
