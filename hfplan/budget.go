package hfplan

import (
	"math"
	"time"

	"github.com/heatherfront/heatherfront/hfplacement"
)

const (
	peakWindow    = 10 * time.Second // how long a usage peak counts; about the duration of one run of lower priority
	peakStep      = time.Second      // resolution of usagePeaks
	idleSteps     = 2                // steps for which a pool must be below idleThreshold
	idleThreshold = 0.6              // share of a pool; below it, gangs are not limited
)

// usagePeaks is a ring buffer with the peak usage of a pool in each step of the
// window.
type usagePeaks struct {
	peaks  [peakWindow / peakStep]float64 // share of the pool
	newest int64                          // number of the latest step
}

// record adds the current usage.
func (p *usagePeaks) record(share float64, now time.Time) {
	step := now.UnixNano() / int64(peakStep)
	for skipped := min(step-p.newest, int64(len(p.peaks))); skipped > 0; skipped-- {
		p.peaks[(step-skipped+1)%int64(len(p.peaks))] = 0
	}
	p.newest = step
	i := step % int64(len(p.peaks))
	p.peaks[i] = max(p.peaks[i], share)
}

// peak returns the highest usage within the given number of latest steps.
func (p *usagePeaks) peak(steps int) float64 {
	highest := 0.0
	for step := range min(steps, len(p.peaks)) {
		i := (p.newest - int64(step)) % int64(len(p.peaks))
		highest = max(highest, p.peaks[(i+int64(len(p.peaks)))%int64(len(p.peaks))])
	}
	return highest
}

// poolUsage is the recent usage of a pool.
type poolUsage struct {
	urgent usagePeaks // demand of priority 0, both running and waiting
	all    usagePeaks // usage by all priorities
}

// budget limits how much of a pool may be used by gangs without checkpoints, and by all less urgent work
// where stops are slow.
type budget struct {
	capacity   hfplacement.Resources
	remaining  float64 // share of the pool
	idleMargin float64 // share by which recent usage is below idleThreshold; above 0, there is no limit

	slowStops bool    // a stop takes longer than urgent work can wait, so that room must be free before it comes
	room      float64 // share of the pool that less urgent work may still take beside the recent peak of urgent work
}

// keepBack decides how many tasks of a group stay waiting in this pass: all but one if the group goes first, and
// those whose room is kept for urgent work. Work that waits in vain beside ample room gets some: callers expect that
// something of each job runs.
func (s *Scheduler) keepBack(g *group, b *budget, now time.Time) {
	g.keptBack = 0
	waiting := g.waiting()
	switch kept := b.keptFor(g, waiting); {
	case g.goesFirst:
		g.keptBack = waiting - g.leastTasks()
	case kept == 0:
	case !s.waitsInVain(g, s.permittedNeed(g, now), g.leastTasks(), now):
		g.keptBack = kept
	case !g.gang():
		g.keptBack = min(kept, waiting-1)
	}
}

// keptFor returns how many of a number of waiting tasks get no worker, as room is kept for urgent work that
// may come. A gang is kept back as a whole, or not at all while there is some room.
func (b *budget) keptFor(g *group, waiting int) int {
	share := g.size.DominantShare(b.capacity)
	switch {
	case !b.slowStops || !g.usesRoom() || share <= 0:
		return 0
	case b.room <= 0:
		return waiting
	case g.gang():
		return 0
	}
	return max(0, waiting-int(math.Ceil(min(b.room, 1)/share)))
}

// use deducts tasks of a group that were placed.
func (b *budget) use(g *group, tasks int) {
	if g.usesRoom() {
		b.room -= float64(tasks) * g.size.DominantShare(b.capacity)
	}
}

// usesRoom reports whether a group takes room that urgent work would have to wait for. Lasting tasks and
// fillers are stopped or paced down for any other work.
func (g *group) usesRoom() bool {
	return g.job.queue.GetPriority() > 0 && !g.spec.GetLasting() && !g.spec.GetFiller()
}

// take deducts a gang from the budget. It reports false and deducts nothing if the
// gang exceeds the budget and the pool is not idle.
func (b *budget) take(g *group) bool {
	share := float64(len(g.tasks)) * g.size.DominantShare(b.capacity)
	if share > b.remaining && b.idleMargin <= 0 {
		return false
	}
	b.remaining -= share
	b.idleMargin -= share
	return true
}

// refund returns the share of a gang that could not be placed.
func (b *budget) refund(g *group) {
	share := float64(len(g.tasks)) * g.size.DominantShare(b.capacity)
	b.remaining += share
	b.idleMargin += share
}

// gangBudgets returns the budget of each pool. Capacity that priority 0 has used
// recently is left to tasks that lose little work when they are preempted again, or kept free
// where stops are slow.
func (s *Scheduler) gangBudgets(now time.Time) map[string]*budget {
	byPool := map[string]*budget{}
	clear(s.slowStops)
	for _, q := range s.queues {
		if byPool[q.GetPool()] == nil {
			capacity, _ := s.resources.Total(q.GetPool())
			byPool[q.GetPool()] = &budget{capacity: capacity, remaining: 1, idleMargin: idleThreshold, room: 1}
		}
	}
	for _, q := range s.queues {
		if q.GetPriority() == 0 && q.GetStretch() > 0 && q.GetObjective() > 0 && s.timing.stop() > time.Duration(q.GetObjective())*time.Millisecond {
			byPool[q.GetPool()].slowStops = true
			s.slowStops[q.GetPool()] = true
		}
	}
	urgent, used := map[string]float64{}, map[string]float64{}
	for _, g := range s.groups {
		q := g.job.queue
		if q == nil {
			continue
		}
		b, share := byPool[q.GetPool()], g.size.DominantShare(byPool[q.GetPool()].capacity)
		usedShare := float64(g.active) * share
		used[q.GetPool()] += usedShare
		b.use(g, g.active)
		switch {
		case q.GetPriority() == 0 && g.ready(now):
			urgent[q.GetPool()] += usedShare + float64(g.waiting())*share
		case q.GetPriority() == 0:
			urgent[q.GetPool()] += usedShare
		case g.uncheckpointedGang():
			b.remaining -= usedShare
		}
	}
	for pool, b := range byPool {
		usage := s.usage[pool]
		if usage == nil {
			usage = &poolUsage{}
			s.usage[pool] = usage
		}
		usage.urgent.record(urgent[pool], now)
		usage.all.record(used[pool], now)
		peak := usage.urgent.peak(len(usage.urgent.peaks))
		b.remaining -= peak
		b.room -= peak
		b.idleMargin -= usage.all.peak(idleSteps)
	}
	return byPool
}

// uncheckpointedGang reports whether the group is a gang that loses all its work
// when it is stopped.
func (g *group) uncheckpointedGang() bool {
	return g.gang() && !g.spec.GetSaves() && !g.spec.GetLasting()
}
