package hforder

import "time"

// Grant describes the lease in an order to a worker, and the clock from which its end was
// calculated.
type Grant struct {
	verb            string
	leaseEnd        int64     // in milliseconds on the worker's clock
	sentAt          time.Time // when the order was sent
	clock           int64     // worker's time in milliseconds in its last report
	reportedAt      time.Time // when that report was received
	calculatedClock int64     // lower bound of the worker's time now in milliseconds, extrapolated from that report
}

// Verb returns the kind of the order: "start" or "poll".
func (g Grant) Verb() string { return g.verb }

// LeaseEnd returns the latest end of a lease in milliseconds on the worker's clock, or 0 if
// none was granted.
func (g Grant) LeaseEnd() int64 { return g.leaseEnd }

// SentAt returns when the order was sent.
func (g Grant) SentAt() time.Time { return g.sentAt }

// Clock returns the worker's time in milliseconds in its last report.
func (g Grant) Clock() int64 { return g.clock }

// ReportedAt returns when the report with Clock was received.
func (g Grant) ReportedAt() time.Time { return g.reportedAt }

// CalculatedClock returns a lower bound of the worker's present time in milliseconds,
// extrapolated from Clock.
func (g Grant) CalculatedClock() int64 { return g.calculatedClock }

// recordGrant remembers the order with the latest lease end.
func (d *dispatcher) recordGrant(verb string, leaseEnd int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if leaseEnd >= d.granted.leaseEnd {
		d.granted = Grant{verb: verb, leaseEnd: leaseEnd, sentAt: time.Now()}
	}
}

// latestGrant returns the latest lease granted, with the worker's clock as it is known now.
func (d *dispatcher) latestGrant(now time.Time) Grant {
	d.mu.Lock()
	defer d.mu.Unlock()
	g := d.granted
	g.clock, g.reportedAt = d.workerClock, d.reportedAt
	if !d.reportedAt.IsZero() {
		g.calculatedClock = d.clockAt(now)
	}
	return g
}
