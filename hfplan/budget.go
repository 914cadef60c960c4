package hfplan

import (
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

// budget limits how much of a pool may be used by gangs without checkpoints.
type budget struct {
	capacity   hfplacement.Resources
	remaining  float64 // share of the pool
	idleMargin float64 // share by which recent usage is below idleThreshold; above 0, there is no limit
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
// recently is left to tasks that lose little work when they are preempted again.
func (s *Scheduler) gangBudgets(now time.Time) map[string]*budget {
	byPool := map[string]*budget{}
	for _, q := range s.queues {
		if byPool[q.GetPool()] == nil {
			capacity, _ := s.resources.Total(q.GetPool())
			byPool[q.GetPool()] = &budget{capacity: capacity, remaining: 1, idleMargin: idleThreshold}
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
		b.remaining -= usage.urgent.peak(len(usage.urgent.peaks))
		b.idleMargin -= usage.all.peak(idleSteps)
	}
	return byPool
}

// uncheckpointedGang reports whether the group is a gang that loses all its work
// when it is stopped.
func (g *group) uncheckpointedGang() bool {
	return g.gang() && !g.spec.GetSaves() && !g.spec.GetLasting()
}
