package hfplan

import "time"

const (
	fullProgress = 100         // percent
	minRateSpan  = time.Second // a shorter one gives no sound rate: progress comes in whole percents
)

// progress is how far a run has come, as its worker reports it. Declared run times are off
// by up to half, and a worker may be slow or stand still.
type progress struct {
	percent     int64     // of the task's work, or of the startup of a lasting one
	reportedAt  time.Time // when it was reported
	advancedAt  time.Time // when it last rose
	spanPercent int64     // percent at the start of the span that is measured
	spanStart   time.Time // start of that span
	rate        float64   // percent a second over the last span; 0 while unknown or standing still
}

// note takes a reported percentage.
func (p *progress) update(percent int64, now time.Time) {
	if p.spanStart.IsZero() || percent < p.percent {
		*p = progress{percent: percent, reportedAt: now, advancedAt: now, spanPercent: percent, spanStart: now}
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

// ends returns when the run is done if it goes on as it does.
func (p *progress) expectedEnd() (time.Time, bool) {
	if p.rate <= 0 {
		return time.Time{}, false
	}
	return p.reportedAt.Add(time.Duration(float64(fullProgress-p.percent) / p.rate * float64(time.Second))), true
}

// later returns the later one of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
