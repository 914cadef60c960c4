package hforder

import "time"

// Grant describes the lease in an order to a worker, and the clock from which its end was
// calculated.
type Grant struct {
	verb            string
	leaseEnd        int64     // in milliseconds on the worker's clock
	sentAt          time.Time // when the order was sent
	clock           int64     // worker's time in milliseconds in its last report
	clockReadAt     time.Time // local time that is assumed for that reading
	calculatedClock int64     // worker's time now in milliseconds, extrapolated from that reading
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

// ClockReadAt returns the local time that is assumed for the reading of Clock.
func (g Grant) ClockReadAt() time.Time { return g.clockReadAt }

// CalculatedClock returns the worker's present time in milliseconds, extrapolated from Clock.
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
	g.clock, g.clockReadAt = d.workerClock, d.polledAt
	if !d.polledAt.IsZero() {
		g.calculatedClock = d.workerClock + now.Sub(d.polledAt).Milliseconds()*minClockRate/100
	}
	return g
}
