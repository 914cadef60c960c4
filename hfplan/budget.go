package hfplan

import (
	"time"

	"github.com/heatherfront/heatherfront/hfroom"
)

const (
	peakWindow    = 10 * time.Second // for which a peak of urgent work is remembered: about one run of other work
	peakStep      = time.Second      // of the memory
	idleSteps     = 2                // steps that a pool has to be partly idle before nothing is held back
	idleThreshold = 0.6              // part of a pool in use that counts so
)

// surge remembers how much of a pool was used.
type usagePeaks struct {
	peaks  [peakWindow / peakStep]float64 // part of the pool, by second
	newest int64                          // second of the newest
}

// note takes the use of now.
func (p *usagePeaks) record(share float64, now time.Time) {
	second := now.UnixNano() / int64(peakStep)
	for skipped := min(second-p.newest, int64(len(p.peaks))); skipped > 0; skipped-- {
		p.peaks[(second-skipped+1)%int64(len(p.peaks))] = 0
	}
	p.newest = second
	i := second % int64(len(p.peaks))
	p.peaks[i] = max(p.peaks[i], share)
}

// peak returns the highest use within the last steps.
func (p *usagePeaks) peak(steps int) float64 {
	highest := 0.0
	for step := range min(steps, len(p.peaks)) {
		i := (p.newest - int64(step)) % int64(len(p.peaks))
		highest = max(highest, p.peaks[(i+int64(len(p.peaks)))%int64(len(p.peaks))])
	}
	return highest
}

// demand is what was asked of a pool lately.
type poolUsage struct {
	urgent usagePeaks // by the most urgent work, also by what waits
	all    usagePeaks // by all work that runs
}

// budget is what gangs that cannot save their progress may still take of a pool.
type budget struct {
	capacity   hfroom.Size
	remaining  float64 // part of the pool
	idleMargin float64 // part by which it was less than partly used lately; above 0, nothing is held back
}

// take tells whether a gang may be placed, and counts it then.
func (b *budget) take(g *group) bool {
	share := float64(len(g.tasks)) * g.size.Part(b.capacity)
	if share > b.remaining && b.idleMargin <= 0 {
		return false
	}
	b.remaining -= share
	b.idleMargin -= share
	return true
}

// give takes back what a gang was counted with that found no place.
func (b *budget) refund(g *group) {
	share := float64(len(g.tasks)) * g.size.Part(b.capacity)
	b.remaining += share
	b.idleMargin += share
}

// budgets computes the budgets of all pools. Room that urgent work has just used goes to work
// that loses little when it is stopped again.
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
		b, share := byPool[q.GetPool()], g.size.Part(byPool[q.GetPool()].capacity)
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

// fixed tells whether stopping a group throws the work of a whole gang away.
func (g *group) uncheckpointedGang() bool {
	return g.gang() && !g.spec.GetSaves() && !g.spec.GetLasting()
}
