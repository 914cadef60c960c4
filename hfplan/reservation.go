package hfplan

import (
	"time"

	"github.com/heatherfront/heatherfront/hfplacement"
)

const (
	maxReservedShare      = 0.34 // share of the workers of a pool
	minReservableRacks    = 2    // racks whose workers may be reserved in a pool of any size
	overdueRemainingShare = 0.25 // expected remaining time of a run past its estimate, as a share of the estimate
)

// clearReservations removes the reservations of all workers.
func (s *Scheduler) clearReservations() {
	clear(s.suspectReserved)
	for _, w := range s.workers {
		w.resources.Reserve(nil, time.Time{})
	}
}

// reserveWorkers reserves the workers on which a waiting gang is expected to fit
// first. Without a reservation, smaller tasks would fill each gap before it is large
// enough. For a compact gang, all workers of one rack are reserved. A step that starves gets a worker for one task. It reports
// whether there are such workers.
func (s *Scheduler) reserveWorkers(g *group, now time.Time) bool {
	if !g.gang() && !g.goesFirst || g.cautious && s.roomBesidesSuspects(g, g.leastTasks(), now) > 0 {
		return false
	}
	pool, need := g.job.queue.GetPool(), s.reservationNeed(g, now)
	var all, unreserved []*hfplacement.Worker
	unreservedByRack := map[string][]*hfplacement.Worker{}
	reservedRacks := map[string]bool{}
	s.resources.EachWorker(pool, func(w *hfplacement.Worker) {
		all = append(all, w)
		if w.Reserved() {
			reservedRacks[w.Rack()] = true
			return
		}
		unreserved = append(unreserved, w)
		unreservedByRack[w.Rack()] = append(unreservedByRack[w.Rack()], w)
	})
	maxReserved := max(minReservableRacks*len(all)/max(len(s.resources.Racks(pool)), 1), int(maxReservedShare*float64(len(all))))
	if len(all)-len(unreserved) >= maxReserved {
		return false
	}
	if !g.gang() || !g.spec.GetCompact() {
		r, ok := s.findReservation(need, unreserved, g.leastTasks(), now)
		if ok {
			r.apply(g)
		}
		return ok
	}
	var best reservation
	found := false
	for _, rack := range sortedKeys(unreservedByRack) {
		if reservedRacks[rack] {
			continue
		}
		r, ok := s.findReservation(need, unreservedByRack[rack], len(g.tasks), now)
		if ok && (!found || r.startsAt.Before(best.startsAt) || (rack == g.reservedRack && !r.startsAt.After(best.startsAt))) {
			best, found, g.reservedRack = r, true, rack
		}
	}
	if found {
		s.resources.EachInRack(pool, g.reservedRack, func(w *hfplacement.Worker) { w.Reserve(g, best.startsAt) })
	}
	return found
}

// reservationNeed returns the requirements of a group on workers that are reserved for it.
func (s *Scheduler) reservationNeed(g *group, now time.Time) hfplacement.Need {
	return s.generalNeed(g, now).Excluding(func(id string) bool { return g.avoid[id] })
}

// reservation is the expected start of a gang and the workers that it starts on.
type reservation struct {
	startsAt time.Time
	workers  []*hfplacement.Worker
}

// apply reserves the workers for a group.
func (r reservation) apply(g *group) {
	for _, w := range r.workers {
		w.Reserve(g, r.startsAt)
	}
}

// expectedRelease is the expected end of a run, which frees its resources.
type expectedRelease struct {
	at   time.Time
	size hfplacement.Resources
}

// expectedReleases returns the expected ends of the runs on a worker whose resources are not free yet.
// The list is kept for the rest of the pass, unless the worker's runs change.
func (w *worker) expectedReleases(now time.Time) []expectedRelease {
	if !w.releasesAt.Equal(now) {
		w.releases, w.releasesAt = w.releases[:0], now
		for _, r := range sortedRuns(w.runs) {
			if !r.resourcesReturned && !r.task.group.spec.GetLasting() {
				w.releases = append(w.releases, expectedRelease{at: r.expectedEnd(now), size: r.task.group.size})
			}
		}
	}
	return w.releases
}

// forgetReleases drops the expected ends, as the worker's runs change.
func (w *worker) forgetReleases() { w.releasesAt = time.Time{} }

// findReservation returns the earliest expected time at which the given workers have room for count tasks, and the
// workers that they use then. It reports false if they never do.
func (s *Scheduler) findReservation(need hfplacement.Need, workers []*hfplacement.Worker, count int, now time.Time) (reservation, bool) {
	f := s.newForecast(need, workers, now)
	startsAt, ok := f.roomFor(count)
	if !ok {
		return reservation{}, false
	}
	return reservation{startsAt: startsAt, workers: f.workersFor(count)}, true
}

// expectedEnd estimates when a run ends: from its measured progress rate if there is
// one, otherwise from the declared run time.
func (r *run) expectedEnd(now time.Time) time.Time {
	estimate := r.task.group.estimate()
	if r.phase == assigned {
		return now.Add(estimate)
	}
	if at, ok := r.progress.expectedEnd(); ok {
		return later(at, now)
	}
	if at := r.startedAt.Add(estimate); at.After(now) {
		return at
	}
	return now.Add(time.Duration(overdueRemainingShare * float64(estimate)))
}
