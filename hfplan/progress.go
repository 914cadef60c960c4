package hfplan

import "time"

const (
	fullProgress = 100         // percent
	minRateSpan  = time.Second // progress is reported in whole percents, so a shorter span gives no reliable rate
	// minMeasured is the progress in percent from which the run time of a whole run is known to a twentieth.
	minMeasured = 20
)

// progress tracks the progress that a worker reports for a run. The measured rate is
// used because declared run times are off by up to half, and workers can be slow or
// stall.
type progress struct {
	percent      int64     // of the work, or of the startup of a lasting task
	reportedAt   time.Time // last report
	advancedAt   time.Time // last increase
	spanPercent  int64     // percent at the start of the measured span
	spanStart    time.Time // start of the measured span
	rate         float64   // percent per second in the last span; 0 if unknown or stalled
	firstPercent int64     // in the first report since the measurement began
	firstAt      time.Time // time of that report
}

// update records a reported percentage. A lower percentage than before restarts the
// measurement.
func (p *progress) update(percent int64, now time.Time) {
	if p.spanStart.IsZero() || percent < p.percent {
		*p = progress{percent: percent, reportedAt: now, advancedAt: now, spanPercent: percent, spanStart: now, firstPercent: percent, firstAt: now}
		return
	}
	if percent > p.percent {
		p.advancedAt = now
	}
	p.percent, p.reportedAt = percent, now
	if span := now.Sub(p.spanStart); span >= minRateSpan {
		p.rate = float64(percent-p.spanPercent) / span.Seconds()
		p.spanPercent, p.spanStart = percent, now
	}
}

// expectedEnd extrapolates the end of the run from its rate. It reports false if the
// rate is not known.
func (p *progress) expectedEnd() (time.Time, bool) {
	if p.rate <= 0 {
		return time.Time{}, false
	}
	return p.reportedAt.Add(time.Duration(float64(fullProgress-p.percent) / p.rate * float64(time.Second))), true
}

// expectedRunTime extrapolates how long the whole run takes, from all of its progress that was reported. It reports
// false if that is too little.
func (p *progress) expectedRunTime() (time.Duration, bool) {
	advanced := p.percent - p.firstPercent
	if advanced < minMeasured || !p.reportedAt.After(p.firstAt) {
		return 0, false
	}
	return time.Duration(float64(p.reportedAt.Sub(p.firstAt)) * fullProgress / float64(advanced)), true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
