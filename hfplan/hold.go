package hfplan

import "time"

// hold keeps a task from being placed while it may still run on the worker on which an
// earlier scheduler may have started it.
func (s *Scheduler) hold(t *task) {
	if t.place == "" || t.done || t.group.job.final() {
		t.place = ""
		return
	}
	w := s.workers[t.place]
	if w == nil || w.heard {
		t.place = "" // the worker holds nothing any more, or would have reported it
		return
	}
	if w.held == nil {
		w.held = map[*task]struct{}{}
	}
	w.held[t] = struct{}{}
	t.group.held++
}

// unhold lets a task be placed again, or counts it as running.
func (s *Scheduler) unhold(t *task) {
	if t.place == "" {
		return
	}
	if w := s.workers[t.place]; w != nil {
		delete(w.held, t)
	}
	t.place = ""
	t.group.held--
	s.stale = true
}

// unholdAll lets all tasks be placed again that may have run on a worker: it was heard
// and does not run them, or its leases have lapsed.
func (s *Scheduler) unholdAll(w *worker) {
	for t := range w.held {
		s.unhold(t)
	}
}

// mend stops what is left of gangs of which an earlier scheduler started only a part, or
// of which a member was lost meanwhile.
func (s *Scheduler) mend(now time.Time) {
	for _, g := range s.groups {
		if !g.gang() || g.active == 0 || g.held > 0 || g.active == g.open {
			continue
		}
		for i := range g.tasks {
			if r := g.tasks[i].run; r != nil && r.phase == running {
				s.stop(r, now)
			}
		}
	}
}
