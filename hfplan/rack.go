package hfplan

import (
	"time"

	"github.com/heatherfront/heatherfront/hfplacement"
)

// awaitsRack reports whether a gang that asks for one rack, and now finds room on several racks only,
// waits for one. It waits for at most maxRackWait if its job is covered by a guarantee, for at most
// maxIdleWait while it has ample room, and otherwise as long as waiting is expected to cost less time
// than running on several racks.
func (s *Scheduler) awaitsRack(g *group, need hfplacement.Need, count int, now time.Time) bool {
	if s.waitsInVain(g, need, count, now) {
		return false
	}
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
	if urgent && g.job.guaranteed {
		return false
	}
	at, possible := s.expectedRack(g, need, count, false, now)
	return possible && at.Before(g.rackSoughtAt.Add(s.timing.spreadCost(g.estimate())))
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
