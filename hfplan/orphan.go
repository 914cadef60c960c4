package hfplan

import (
	"github.com/heatherfront/heatherfront/hfroom"
	"github.com/heatherfront/heatherfront/hfwork"
)

// stray names a run that is to end although no task waits for it: of a job that has
// ended, or of a task that runs elsewhere.
type orphan struct {
	task   hfwork.TaskID
	number int64
}

// expel stops a stray run. Until it is no longer reported it keeps its room, all of
// the worker's if its size is not known.
func (s *Scheduler) stopOrphan(w *worker, reported hfwork.Run) {
	key := orphan{task: reported.Task(), number: reported.Number()}
	if _, known := w.orphans[key]; !known {
		size := w.resources.Capacity()
		if t := s.task(reported.Task()); t != nil {
			size = t.group.size
		}
		w.orphans[key] = size
		w.resources.Promise(size)
		w.resources.Occupy(size)
	}
	s.emit(StopCmd{worker: w.id(), task: reported.Task(), number: reported.Number()})
}

// dropStrays gives the room of strays back that a report no longer shows.
func (s *Scheduler) releaseOrphans(w *worker, runs []hfwork.Run) {
	if len(w.orphans) == 0 {
		return
	}
	stillReported := map[orphan]bool{}
	for _, reported := range runs {
		stillReported[orphan{task: reported.Task(), number: reported.Number()}] = true
	}
	for key, size := range w.orphans {
		if !stillReported[key] {
			w.releaseOrphan(key, size)
			s.needsPass = true
		}
	}
}

func (w *worker) releaseOrphan(key orphan, size hfroom.Size) {
	delete(w.orphans, key)
	w.resources.Return(size)
	w.resources.Vacate(size)
}
