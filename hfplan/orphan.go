package hfplan

import "github.com/heatherfront/heatherfront/hfwork"

// orphan identifies a reported run that no task refers to and that is being stopped:
// its job has ended, or its task runs elsewhere.
type orphan struct {
	task   hfwork.TaskID
	number int64
}

// stopOrphan stops an orphan. Its resources count as used until it is no longer
// reported; if its size is not known, it counts as using the whole worker.
func (s *Scheduler) stopOrphan(w *worker, reported hfwork.Run) {
	key := orphan{task: reported.Task(), number: reported.Number()}
	if _, known := w.orphans[key]; !known {
		size, found := s.sizeOf(reported.Task())
		if !found {
			size = w.resources.Capacity()
		}
		w.orphans[key] = size
		s.orphans[key.task]++
		w.resources.Assign(size)
		w.resources.AddRunning(size)
	}
	s.emit(StopCmd{worker: w.id(), task: reported.Task(), number: reported.Number()})
}

// releaseOrphans frees the resources of orphans that are no longer reported.
func (s *Scheduler) releaseOrphans(w *worker, runs []hfwork.Run) {
	if len(w.orphans) == 0 {
		return
	}
	stillReported := map[orphan]bool{}
	for _, reported := range runs {
		stillReported[orphan{task: reported.Task(), number: reported.Number()}] = true
	}
	for key := range w.orphans {
		if !stillReported[key] {
			s.releaseOrphan(w, key)
			s.needsPass = true
		}
	}
}

// releaseOrphan frees the resources of an orphan, if it is known.
func (s *Scheduler) releaseOrphan(w *worker, key orphan) {
	size, known := w.orphans[key]
	if !known {
		return
	}
	delete(w.orphans, key)
	w.resources.Unassign(size)
	w.resources.RemoveRunning(size)
	if s.orphans[key.task]--; s.orphans[key.task] == 0 {
		delete(s.orphans, key.task)
	}
}
