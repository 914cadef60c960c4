package hfmodel

import (
	"sort"
	"time"

	"github.com/heatherfront/heatherfront/hfgang"
)

// FirstFit measures the same day under first-fit in arrival order: each waiting job,
// oldest first, takes the first block of adjacent accelerators that is idle. Nothing
// is preempted, and there are no guarantees.
func FirstFit(d Deployment, seed uint64) Result {
	start := time.Unix(1_790_000_000, 0)
	layout := hfgang.NewLayout("a", d.rows())
	taken := make([]time.Time, layout.Total()) // when each accelerator comes free
	res := Result{byClass: map[string][]time.Duration{}}
	waiting := d.trace(seed, start)
	for now := start; len(waiting) > 0 && now.Sub(start) < longestDay; now = now.Add(tickEvery) {
		began := time.Now()
		rest := waiting[:0]
		failed := map[int]bool{}
		for i, a := range waiting {
			if a.at.After(now) {
				rest = append(rest, waiting[i:]...)
				break
			}
			size := int(a.record.GetSize())
			if failed[size] || !firstIdle(layout, taken, size, now, a.run) {
				failed[size] = true
				rest = append(rest, a)
				continue
			}
			took := now.Add(a.run).Sub(a.at)
			res.finished++
			res.completion = append(res.completion, took)
			res.byClass[a.record.GetClass()] = append(res.byClass[a.record.GetClass()], took)
			res.work += a.run.Seconds() * float64(size)
			if a.record.GetClass() == "urgent" {
				res.claims++
				if now.Sub(a.at) <= claimBound {
					res.claimsMet++
				}
			}
		}
		waiting = rest
		res.deciding += time.Since(began)
		res.decisions++
		if now.Unix()%300 == 0 {
			res.noteFragment(layout, taken, now)
		}
	}
	res.left = len(waiting)
	return res
}

func firstIdle(l *hfgang.Layout, taken []time.Time, size int, now time.Time, run time.Duration) bool {
	found := false
	l.Blocks(size, l.All(), func(b hfgang.Block) bool {
		for i := b.Low(); i < b.Low()+b.Size(); i++ {
			if taken[i].After(now) {
				return true
			}
		}
		for i := b.Low(); i < b.Low()+b.Size(); i++ {
			taken[i] = now.Add(run)
		}
		found = true
		return false
	})
	return found
}

func (r *Result) noteFragment(l *hfgang.Layout, taken []time.Time, now time.Time) {
	idle := 0
	for _, t := range taken {
		if !t.After(now) {
			idle++
		}
	}
	if idle > 0 {
		largest := l.Largest(64, func(i int) bool { return !taken[i].After(now) })
		r.fragment = append(r.fragment, float64(largest)/float64(min(idle, 64)))
	}
}

// Quantile returns the value below which a share of the durations lies.
func Quantile(list []time.Duration, share float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	sorted := append([]time.Duration{}, list...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	return sorted[min(int(share*float64(len(sorted))), len(sorted)-1)]
}

// Mean returns the average, or 0.
func Mean(list []float64) float64 {
	sum := 0.0
	for _, v := range list {
		sum += v
	}
	return sum / float64(max(len(list), 1))
}
