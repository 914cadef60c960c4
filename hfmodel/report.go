package hfmodel

import (
	"fmt"
	"io"
	"time"
)

// WriteDays simulates days under heatherfront and under first-fit, one per seed, and
// writes the results of both.
func WriteDays(w io.Writer, d Deployment, seeds []uint64) {
	for _, rule := range []struct {
		name     string
		simulate func(Deployment, uint64) DayResult
	}{{"heatherfront", SimulateScheduler}, {"first-fit", SimulateFirstFit}} {
		var sum DayResult
		sum.byClass = map[string][]time.Duration{}
		for _, seed := range seeds {
			sum.add(rule.simulate(d, seed))
		}
		sum.write(w, d.name, rule.name, len(seeds))
	}
}

func (r *DayResult) add(other DayResult) {
	r.finished += other.finished
	r.left += other.left
	r.completion = append(r.completion, other.completion...)
	for class, list := range other.byClass {
		r.byClass[class] = append(r.byClass[class], list...)
	}
	r.claims += other.claims
	r.claimsMet += other.claimsMet
	r.lostWork += other.lostWork
	r.doneWork += other.doneWork
	r.largestBlockShares = append(r.largestBlockShares, other.largestBlockShares...)
	r.decisions += other.decisions
	r.decisionTime += other.decisionTime
	r.slowestDecision = max(r.slowestDecision, other.slowestDecision)
	r.commits += other.commits
	r.commitBytes += other.commitBytes
}

func (r *DayResult) write(w io.Writer, deployment, rule string, days int) {
	_, _ = fmt.Fprintf(w, "%s, %s, %d days: %d finished, %d left\n", deployment, rule, days, r.finished, r.left)
	_, _ = fmt.Fprintf(w, "  completion p50 %s p99 %s\n", minutes(Quantile(r.completion, 0.5)), minutes(Quantile(r.completion, 0.99)))
	for _, class := range []string{"urgent", "normal", "batch"} {
		list := r.byClass[class]
		_, _ = fmt.Fprintf(w, "  %-6s p50 %s p99 %s (%d jobs)\n", class, minutes(Quantile(list, 0.5)), minutes(Quantile(list, 0.99)), len(list))
	}
	_, _ = fmt.Fprintf(w, "  claims started within %s: %d of %d\n", claimTarget, r.claimsMet, r.claims)
	_, _ = fmt.Fprintf(w, "  largest block over idle accelerators, mean: %.2f\n", Mean(r.largestBlockShares))
	_, _ = fmt.Fprintf(w, "  work lost to preemption: %.2f%% of %.0f accelerator-hours\n", 100*r.lostWork/max(r.doneWork, 1), r.doneWork/3600)
	if r.commits > 0 {
		_, _ = fmt.Fprintf(w, "  decision: %.1f us mean over %d updates, slowest %s\n", float64(r.decisionTime.Microseconds())/float64(r.decisions), r.decisions, r.slowestDecision.Round(time.Microsecond))
		_, _ = fmt.Fprintf(w, "  store: %d commits, %.1f MB a day\n", r.commits/days, float64(r.commitBytes)/1e6/float64(days))
	}
}

func minutes(d time.Duration) string { return fmt.Sprintf("%.1fm", d.Minutes()) }
