package hfplan

import (
	"slices"
	"time"

	"github.com/heatherfront/heatherfront/hfplacement"
)

// forecast is the expected room of some workers for the tasks of one group, as the runs on them end.
type forecast struct {
	need      hfplacement.Need
	at        time.Time // up to which the runs that are expected to end have ended
	rooms     []forecastRoom
	releases  []forecastRelease // expected ends, in order
	taskSlots int               // tasks of the group that fit
	usable    []int             // rooms in the order in which they can take a task of the group
}

// forecastRoom is the expected room of one worker.
type forecastRoom struct {
	worker *worker
	free   hfplacement.Resources
}

// forecastRelease is an expected end of a run.
type forecastRelease struct {
	expectedRelease
	room int // index of the worker's room
}

// newForecast returns the room that the workers have now. Lasting tasks never end.
func (s *Scheduler) newForecast(need hfplacement.Need, workers []*hfplacement.Worker, now time.Time) *forecast {
	f := &forecast{need: need, at: now}
	for _, resources := range workers {
		if !need.Eligible(resources) {
			continue
		}
		w := s.workers[resources.ID()]
		f.rooms = append(f.rooms, forecastRoom{worker: w})
		f.free(len(f.rooms)-1, resources.Free().Plus(s.taken[w.id()], -1))
		for _, e := range w.expectedReleases(now) {
			f.releases = append(f.releases, forecastRelease{expectedRelease: e, room: len(f.rooms) - 1})
		}
	}
	slices.SortStableFunc(f.releases, func(a, b forecastRelease) int { return a.at.Compare(b.at) })
	return f
}

// free adds room to a worker.
func (f *forecast) free(room int, size hfplacement.Resources) {
	r := &f.rooms[room]
	before := f.need.MaxTasks(r.worker.resources, r.free)
	r.free = r.free.Plus(size, 1)
	after := f.need.MaxTasks(r.worker.resources, r.free)
	if before == 0 && after > 0 {
		f.usable = append(f.usable, room)
	}
	f.taskSlots += after - before
}

// preempt adds the room of the runs that a group may preempt.
func (f *forecast) preempt(g *group) {
	for i := range f.rooms {
		for r := range f.rooms[i].worker.runs {
			if other := r.task.group; !r.resourcesReturned && other.spec.GetLasting() && g.mayPreempt(other) {
				f.free(i, other.size)
			}
		}
	}
}

// roomFor returns the earliest time at which count tasks fit. It reports false if they never do.
func (f *forecast) roomFor(count int) (time.Time, bool) {
	for f.taskSlots < count && len(f.releases) > 0 {
		next := f.releases[0]
		f.releases = f.releases[1:]
		f.free(next.room, next.size)
		f.at = later(f.at, next.at)
	}
	return f.at, f.taskSlots >= count
}

// workersFor returns the workers on which count tasks fit, those first that had room first.
func (f *forecast) workersFor(count int) []*hfplacement.Worker {
	var workers []*hfplacement.Worker
	for _, i := range f.usable {
		if count <= 0 {
			break
		}
		workers = append(workers, f.rooms[i].worker.resources)
		count -= f.need.MaxTasks(f.rooms[i].worker.resources, f.rooms[i].free)
	}
	return workers
}
