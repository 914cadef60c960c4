package hfmodel

import (
	"sort"
	"time"

	"github.com/heatherfront/heatherfront/hfgang"
)

// SimulateFirstFit runs the same day as SimulateScheduler under first-fit in arrival order:
// each waiting job, oldest first, gets the first idle block of adjacent accelerators.
// There are no preemptions and no guarantees.
func SimulateFirstFit(d Deployment, seed uint64) DayResult {
	start := time.Unix(simulationStart, 0)
	layout := hfgang.NewLayout("a", d.workersByName())
	busyUntil := make([]time.Time, layout.Total()) // by accelerator
	result := DayResult{byClass: map[string][]time.Duration{}}
	waiting := d.drawTrace(seed, start)
	for now := start; len(waiting) > 0 && now.Sub(start) < maxSimulatedTime; now = now.Add(tickInterval) {
		started := time.Now()
		remaining := waiting[:0]
		failed := map[int]bool{} // sizes without an idle block in this pass
		for i, a := range waiting {
			if a.at.After(now) {
				remaining = append(remaining, waiting[i:]...)
				break
			}
			size := int(a.job.GetSize())
			if failed[size] || !placeFirstFit(layout, busyUntil, size, now, a.runTime) {
				failed[size] = true
				remaining = append(remaining, a)
				continue
			}
			took := now.Add(a.runTime).Sub(a.at)
			result.finished++
			result.completion = append(result.completion, took)
			result.byClass[a.job.GetClass()] = append(result.byClass[a.job.GetClass()], took)
			result.doneWork += a.runTime.Seconds() * float64(size)
			if a.job.GetClass() == "urgent" {
				result.claims++
				if now.Sub(a.at) <= claimTarget {
					result.claimsMet++
				}
			}
		}
		waiting = remaining
		result.decisionTime += time.Since(started)
		result.decisions++
		if now.Unix()%sampleInterval == 0 {
			result.recordLargestBlock(layout, busyUntil, now)
		}
	}
	result.left = len(waiting)
	return result
}

// placeFirstFit starts a job on the first idle block of its size and reports whether there
// was one.
func placeFirstFit(l *hfgang.Layout, busyUntil []time.Time, size int, now time.Time, runTime time.Duration) bool {
	found := false
	l.Blocks(size, l.All(), func(b hfgang.Block) bool {
		for i := b.Low(); i < b.Low()+b.Size(); i++ {
			if busyUntil[i].After(now) {
				return true
			}
		}
		for i := b.Low(); i < b.Low()+b.Size(); i++ {
			busyUntil[i] = now.Add(runTime)
		}
		found = true
		return false
	})
	return found
}

// recordLargestBlock adds a sample of largestBlockShares.
func (r *DayResult) recordLargestBlock(l *hfgang.Layout, busyUntil []time.Time, now time.Time) {
	idle := 0
	for _, t := range busyUntil {
		if !t.After(now) {
			idle++
		}
	}
	if idle > 0 {
		largest := l.LargestBlock(sampleBlock, func(i int) bool { return !busyUntil[i].After(now) })
		r.largestBlockShares = append(r.largestBlockShares, float64(largest)/float64(min(idle, sampleBlock)))
	}
}

// Quantile returns the duration that the given share of the list is below, such as 0.99 for
// p99, or 0 for an empty list.
func Quantile(list []time.Duration, share float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	sorted := append([]time.Duration{}, list...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	return sorted[min(int(share*float64(len(sorted))), len(sorted)-1)]
}

// Mean returns the mean of the list, or 0 for an empty list.
func Mean(list []float64) float64 {
	sum := 0.0
	for _, v := range list {
		sum += v
	}
	return sum / float64(max(len(list), 1))
}
