package hfplan

import (
	"slices"
	"time"

	"github.com/heatherfront/heatherfront/hfroom"
)

const (
	keepShare   = 0.34 // part of a pool's racks that may be kept for waiting gangs
	keepLeast   = 2    // racks that may be kept in any pool
	overdueLeft = 0.25 // part of its estimate that a run past it is expected to need still
)

// keepNone gives all workers free that are kept for a group.
func (s *Scheduler) keepNone() {
	for _, w := range s.workers {
		w.room.Keep(nil, time.Time{})
	}
}

// keep chooses the workers on which a waiting gang can start first, and keeps them for it:
// smaller work would otherwise fill each gap before it grows large enough. A gang that asks
// for one rack gets them in one.
func (s *Scheduler) keep(g *group, now time.Time) {
	if !g.gang() {
		return
	}
	pool := g.job.queue.GetPool()
	var all, free []*hfroom.Worker
	racks := map[string][]*hfroom.Worker{}
	taken := map[string]bool{}
	s.room.Each(pool, func(w *hfroom.Worker) {
		all = append(all, w)
		if w.Kept() {
			taken[w.Rack()] = true
			return
		}
		free = append(free, w)
		racks[w.Rack()] = append(racks[w.Rack()], w)
	})
	most := max(keepLeast*len(all)/max(len(s.room.Racks(pool)), 1), int(keepShare*float64(len(all))))
	if len(all)-len(free) >= most {
		return
	}
	if !g.spec.GetCompact() {
		if o, ok := s.opens(g, free, now); ok {
			o.keep(g)
		}
		return
	}
	var best opening
	found := false
	for _, name := range sortedKeys(racks) {
		if taken[name] {
			continue
		}
		o, ok := s.opens(g, racks[name], now)
		if ok && (!found || o.at.Before(best.at) || (name == g.rack && !o.at.After(best.at))) {
			best, found, g.rack = o, true, name
		}
	}
	if found {
		s.room.InRack(pool, g.rack, func(w *hfroom.Worker) { w.Keep(g, best.at) })
	}
}

// opening is when and where a gang is expected to fit.
type opening struct {
	at      time.Time
	workers []*hfroom.Worker
}

func (o opening) keep(g *group) {
	for _, w := range o.workers {
		w.Keep(g, o.at)
	}
}

// opens returns when some workers are expected to have room for a whole gang, and which of
// them it takes then.
func (s *Scheduler) opens(g *group, workers []*hfroom.Worker, now time.Time) (opening, bool) {
	type release struct {
		at     time.Time
		worker *hfroom.Worker
		size   hfroom.Size
	}
	var releases []release
	free := map[*hfroom.Worker]hfroom.Size{}
	fits := 0
	var order []*hfroom.Worker // by the time from which they hold a task
	grow := func(w *hfroom.Worker, by hfroom.Size) {
		before := free[w].Holds(g.size)
		free[w] = free[w].Plus(by, 1)
		after := free[w].Holds(g.size)
		if before == 0 && after > 0 {
			order = append(order, w)
		}
		fits += after - before
	}
	for _, w := range workers {
		if !w.Usable() || g.avoid[w.ID()] {
			continue
		}
		grow(w, w.Free())
		for _, r := range inOrder(s.workers[w.ID()].runs) {
			if !r.returned && !r.task.group.spec.GetLasting() {
				releases = append(releases, release{at: r.ends(now), worker: w, size: r.task.group.size})
			}
		}
	}
	at := now
	if fits < len(g.tasks) {
		slices.SortStableFunc(releases, func(a, b release) int { return a.at.Compare(b.at) })
		for _, r := range releases {
			grow(r.worker, r.size)
			if fits >= len(g.tasks) {
				at = r.at
				break
			}
		}
	}
	if fits < len(g.tasks) {
		return opening{}, false
	}
	o, left := opening{at: at}, len(g.tasks)
	for _, w := range order {
		if left <= 0 {
			break
		}
		o.workers = append(o.workers, w)
		left -= free[w].Holds(g.size)
	}
	return o, true
}

// ends returns when a run is expected to end.
func (r *run) ends(now time.Time) time.Time {
	estimate := r.task.group.estimate()
	if r.phase == promised {
		return now.Add(estimate)
	}
	if at, ok := r.progress.expectedEnd(); ok {
		return later(at, now)
	}
	if at := r.started.Add(estimate); at.After(now) {
		return at
	}
	return now.Add(time.Duration(overdueLeft * float64(estimate)))
}
