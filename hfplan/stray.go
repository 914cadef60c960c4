package hfplan

import (
	"github.com/heatherfront/heatherfront/hfroom"
	"github.com/heatherfront/heatherfront/hfwork"
)

// stray names a run that is to end although no task waits for it: of a job that has
// ended, or of a task that runs elsewhere.
type stray struct {
	task   hfwork.TaskID
	number int64
}

// expel stops a stray run. Until it is no longer reported it keeps its room, all of
// the worker's if its size is not known.
func (s *Scheduler) expel(w *worker, row hfwork.Run) {
	key := stray{task: row.Task(), number: row.Number()}
	if _, known := w.strays[key]; !known {
		size := w.room.Capacity()
		if t := s.task(row.Task()); t != nil {
			size = t.group.size
		}
		w.strays[key] = size
		w.room.Promise(size)
		w.room.Occupy(size)
	}
	s.do(StopCmd{worker: w.id(), task: row.Task(), number: row.Number()})
}

// dropStrays gives the room of strays back that a report no longer shows.
func (s *Scheduler) dropStrays(w *worker, rows []hfwork.Run) {
	if len(w.strays) == 0 {
		return
	}
	shown := map[stray]bool{}
	for _, row := range rows {
		shown[stray{task: row.Task(), number: row.Number()}] = true
	}
	for key, size := range w.strays {
		if !shown[key] {
			w.dropStray(key, size)
			s.stale = true
		}
	}
}

func (w *worker) dropStray(key stray, size hfroom.Size) {
	delete(w.strays, key)
	w.room.Return(size)
	w.room.Vacate(size)
}
