package hfplan

import "time"

const (
	// minAvoidTime is how long a lasting task, or any task while its pool is lightly used, stays off
	// the workers that it avoids while there is room only on these. Callers expect a lasting task to be
	// at work again within 6 s, and other work with enough room to start within 3 s.
	minAvoidTime = 2 * time.Second
	// maxAvoidTime is the same for other tasks, which have a limited number of attempts. Workers that
	// fail everything are quarantined for up to maxQuarantine meanwhile.
	maxAvoidTime = 10 * time.Second
)

// liftAvoidance lets a group that could not be placed use the workers that it avoids, if there has
// been room only on these for some time: the others may be full for good.
func (s *Scheduler) liftAvoidance(g *group, now time.Time) {
	if len(g.avoid) == 0 || g.awaitingRack {
		return
	}
	need := s.permittedNeed(g, now)
	if _, placed := s.resources.PlaceAcrossRacks(need, g.leastTasks()); placed < g.leastTasks() {
		g.avoidsRoomSince = time.Time{}
		return
	}
	if g.avoidsRoomSince.IsZero() {
		g.avoidsRoomSince = now
	}
	least := maxAvoidTime
	if g.spec.GetLasting() || s.hasAmpleRoom(g, need, g.leastTasks(), now) {
		least = minAvoidTime
	}
	if now.Sub(g.avoidsRoomSince) >= least {
		clear(g.avoid)
		g.avoidsRoomSince = time.Time{}
		s.needsPass = true
	}
}
