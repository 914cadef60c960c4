package hfplan

import (
	"time"

	"github.com/heatherfront/heatherfront/hfplacement"
)

// maxWaitingShapes bounds the different tasks that a load sample compares with each worker.
const maxWaitingShapes = 64

// waitingShapes returns what the waiting tasks that may start now ask for, each size and label once, by pool.
func (s *Scheduler) waitingShapes(now time.Time) map[string][]hfplacement.Need {
	type shape struct {
		pool, label string
		size        hfplacement.Resources
	}
	known, shapes := map[shape]bool{}, map[string][]hfplacement.Need{}
	for _, g := range s.groups {
		if len(known) == maxWaitingShapes {
			break
		}
		if g.job.queue == nil || g.waiting() == 0 || !g.ready(now) {
			continue
		}
		h := shape{pool: g.job.queue.GetPool(), label: g.spec.GetLabel(), size: g.size}
		if !known[h] {
			known[h] = true
			shapes[h.pool] = append(shapes[h.pool], hfplacement.NewNeed(h.pool, h.size).WithLabel(h.label).ForGroup(nil, now).BesideIsolated())
		}
	}
	return shapes
}

// stranded returns the resources that are free on workers where none of the waiting tasks of their pool fits, whether
// the workers are reserved or not. Nothing is stranded in a pool for which nothing waits.
func (s *Scheduler) stranded(now time.Time) hfplacement.Resources {
	var stranded hfplacement.Resources
	byPool := s.waitingShapes(now)
	for _, pool := range sortedKeys(byPool) {
		shapes := byPool[pool]
		s.resources.EachWorker(pool, func(w *hfplacement.Worker) {
			if !w.Usable() {
				return
			}
			for _, need := range shapes {
				if need.MaxTasks(w, w.Free()) > 0 {
					return
				}
			}
			free := w.Free()
			stranded = stranded.Plus(hfplacement.NewResources(max(free.CPU(), 0), max(free.Memory(), 0), max(free.Accelerators(), 0)), 1)
		})
	}
	return stranded
}
