package hfplan

import (
	"time"

	"github.com/heatherfront/heatherfront/hfplacement"
)

const (
	// lightUse is the share of a pool below which its callers expect that work with enough room is
	// not left waiting. They do not say of which resource, so that of the least used one counts. While
	// urgent work waits, processors and accelerators count together.
	lightUse = 0.5
	// maxIdleWait is how long a gang with ample room may wait for better conditions: for one rack, or
	// for room that is kept free for urgent work. Callers expect it to start within 3 s.
	maxIdleWait = 1800 * time.Millisecond
)

// hasAmpleRoom reports whether less than lightUse of a group's pool is in use, and twice as many tasks
// of the group would fit.
func (s *Scheduler) hasAmpleRoom(g *group, need hfplacement.Need, count int, now time.Time) bool {
	pool := g.job.queue.GetPool()
	capacity, free := s.resources.Total(pool)
	used := capacity.Plus(free, -1)
	if s.vigilant {
		capacity, used = s.registeredUse(pool)
	}
	light := used.LeastShare(capacity) < lightUse
	if s.urgentWaits[pool] { // it may need that room soon, unless there is plenty
		light = used.CoreEquivalents() < lightUse*capacity.CoreEquivalents()
	}
	return light && s.hasRoomTwice(g, need, count, now)
}

// hasRoomTwice reports whether twice as many tasks of a group as count would fit.
func (s *Scheduler) hasRoomTwice(g *group, need hfplacement.Need, count int, now time.Time) bool {
	shape := g.placementShape()
	if smallest, ok := s.notAmple[shape]; ok && 2*count >= smallest && g.unconstrained(now) {
		return false
	}
	_, placed := s.resources.PlaceAcrossRacks(need, 2*count)
	if placed < 2*count && g.unconstrained(now) {
		s.notAmple[shape] = 2 * count
	}
	return placed >= 2*count
}

// registeredUse returns the summed capacity of the registered workers of a pool and how much of it is in use. Those
// in quarantine count: to callers they are part of the pool.
func (s *Scheduler) registeredUse(pool string) (capacity, used hfplacement.Resources) {
	s.resources.EachWorker(pool, func(resources *hfplacement.Worker) {
		if s.workers[resources.ID()].registered {
			capacity = capacity.Plus(resources.Capacity(), 1)
			used = used.Plus(resources.Capacity(), 1).Plus(resources.Free(), -1)
		}
	})
	return capacity, used
}

// waitsInVain reports whether a gang has had ample room for maxIdleWait. It is called in each pass in
// which the gang has to wait for better conditions.
func (s *Scheduler) waitsInVain(g *group, need hfplacement.Need, count int, now time.Time) bool {
	if !s.hasAmpleRoom(g, need, count, now) {
		g.ampleSince = time.Time{}
		return false
	}
	if g.ampleSince.IsZero() {
		g.ampleSince = now
	}
	return now.Sub(g.ampleSince) >= maxIdleWait
}
