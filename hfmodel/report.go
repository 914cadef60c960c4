package hfmodel

import (
	"fmt"
	"io"
	"time"
)

// WriteDays writes a table of the same days under both rules.
func WriteDays(w io.Writer, d Deployment, seeds []uint64) {
	for _, rule := range []struct {
		name string
		day  func(Deployment, uint64) Result
	}{{"heatherfront", Day}, {"first-fit", FirstFit}} {
		var sum Result
		sum.byClass = map[string][]time.Duration{}
		for _, seed := range seeds {
			sum.add(rule.day(d, seed))
		}
		sum.write(w, d.name, rule.name, len(seeds))
	}
}

func (r *Result) add(o Result) {
	r.finished += o.finished
	r.left += o.left
	r.completion = append(r.completion, o.completion...)
	for class, list := range o.byClass {
		r.byClass[class] = append(r.byClass[class], list...)
	}
	r.claims += o.claims
	r.claimsMet += o.claimsMet
	r.lost += o.lost
	r.work += o.work
	r.fragment = append(r.fragment, o.fragment...)
	r.decisions += o.decisions
	r.deciding += o.deciding
	r.slowest = max(r.slowest, o.slowest)
	r.commits += o.commits
	r.commitBytes += o.commitBytes
}

func (r *Result) write(w io.Writer, deployment, rule string, days int) {
	_, _ = fmt.Fprintf(w, "%s, %s, %d days: %d finished, %d left\n", deployment, rule, days, r.finished, r.left)
	_, _ = fmt.Fprintf(w, "  completion p50 %s p99 %s\n", minutes(Quantile(r.completion, 0.5)), minutes(Quantile(r.completion, 0.99)))
	for _, class := range []string{"urgent", "normal", "batch"} {
		list := r.byClass[class]
		_, _ = fmt.Fprintf(w, "  %-6s p50 %s p99 %s (%d jobs)\n", class, minutes(Quantile(list, 0.5)), minutes(Quantile(list, 0.99)), len(list))
	}
	_, _ = fmt.Fprintf(w, "  claims started within %s: %d of %d\n", claimBound, r.claimsMet, r.claims)
	_, _ = fmt.Fprintf(w, "  largest block over idle accelerators, mean: %.2f\n", Mean(r.fragment))
	_, _ = fmt.Fprintf(w, "  work lost to preemption: %.2f%% of %.0f accelerator-hours\n", 100*r.lost/max(r.work, 1), r.work/3600)
	if r.commits > 0 {
		_, _ = fmt.Fprintf(w, "  decision: %.1f us mean over %d updates, slowest %s\n", float64(r.deciding.Microseconds())/float64(r.decisions), r.decisions, r.slowest.Round(time.Microsecond))
		_, _ = fmt.Fprintf(w, "  store: %d commits, %.1f MB a day\n", r.commits/days, float64(r.commitBytes)/1e6/float64(days))
	}
}

func minutes(d time.Duration) string { return fmt.Sprintf("%.1fm", d.Minutes()) }
