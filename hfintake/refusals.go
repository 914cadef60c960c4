package hfintake

import (
	"maps"
	"time"

	"github.com/rcrowley/go-metrics"
)

// reportInterval is the time between two reports of what was refused.
const reportInterval = 10 * time.Second

// Reporter is told how many clients were refused since the last report, by reason.
type Reporter func(refused map[string]int64)

// Refusals counts the clients that a listener refused or let go, and reports them at most once per
// reportInterval. It is not safe for concurrent use.
type Refusals struct {
	since    map[string]int64 // by reason, since the last report
	reportAt time.Time        // no report before
	report   Reporter
	counters map[string]metrics.Counter // by reason; not changed
}

// NewRefusals returns the counts of a listener with a name. registry counts them, too.
func NewRefusals(listener string, reasons []string, report Reporter, registry metrics.Registry) *Refusals {
	r := &Refusals{since: map[string]int64{}, report: report, counters: map[string]metrics.Counter{}}
	for _, reason := range reasons {
		r.counters[reason] = metrics.GetOrRegisterCounter("intake."+listener+".refused."+reason, registry)
	}
	return r
}

// Add counts a refusal.
func (r *Refusals) Add(reason string, now time.Time) {
	r.counters[reason].Inc(1)
	r.since[reason]++
	r.Report(now)
}

// Report reports the refusals since the last report, if it is time.
func (r *Refusals) Report(now time.Time) {
	if len(r.since) == 0 || now.Before(r.reportAt) {
		return
	}
	r.reportAt = now.Add(reportInterval)
	r.report(maps.Clone(r.since))
	clear(r.since)
}
