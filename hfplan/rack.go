package hfplan

import (
	"time"

	"github.com/heatherfront/heatherfront/hfplacement"
)

// lightUse is the share of a pool's resources below which its callers expect that work with enough
// room is not left waiting.
const lightUse = 0.5

// awaitsRack reports whether a gang that asks for one rack, and now finds room on several racks only,
// waits for one. It waits for at most maxRackWait if its job is urgent or its pool has ample room, and
// otherwise as long as waiting is expected to cost less time than running on several racks.
func (s *Scheduler) awaitsRack(g *group, need hfplacement.Need, count int, now time.Time) bool {
	if g.rackSoughtAt.IsZero() {
		g.rackSoughtAt = now
	}
	urgent, seeking := g.job.queue.GetPriority() == 0, now.Sub(g.rackSoughtAt) < maxRackWait
	if urgent {
		seeking = g.waitsForRack(now)
	}
	if seeking {
		_, possible := s.expectedRack(g, need, count, true, now)
		return possible
	}
	if (urgent && g.job.guaranteed) || s.hasAmpleRoom(g, need, count) {
		return false
	}
	at, possible := s.expectedRack(g, need, count, false, now)
	return possible && at.Before(g.rackSoughtAt.Add(s.timing.spreadCost(g.estimate())))
}

// hasAmpleRoom reports whether less than lightUse of a group's pool is in use, and twice as many tasks
// of the group would fit.
func (s *Scheduler) hasAmpleRoom(g *group, need hfplacement.Need, count int) bool {
	capacity, free := s.resources.Total(g.job.queue.GetPool())
	if capacity.Plus(free, -1).CoreEquivalents() >= lightUse*capacity.CoreEquivalents() {
		return false
	}
	_, placed := s.resources.PlaceAcrossRacks(need, 2*count)
	return placed >= 2*count
}

// expectedRack returns the earliest time at which one rack is expected to have room for count tasks
// of a gang. It reports false if no rack will, as lasting tasks take too much of each. If preempting
// is set, what the gang may preempt counts as free.
func (s *Scheduler) expectedRack(g *group, need hfplacement.Need, count int, preempting bool, now time.Time) (time.Time, bool) {
	var best time.Time
	found := false
	pool := g.job.queue.GetPool()
	for _, rack := range s.resources.Racks(pool) {
		var workers []*hfplacement.Worker
		s.resources.EachInRack(pool, rack, func(w *hfplacement.Worker) { workers = append(workers, w) })
		forecast := s.newForecast(need, workers, now)
		if preempting {
			forecast.preempt(g)
		}
		if at, ok := forecast.roomFor(count); ok && (!found || at.Before(best)) {
			best, found = at, true
		}
	}
	return best, found
}
