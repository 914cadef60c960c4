package hfendpoint

import (
	"fmt"
	"sort"
	"time"

	"github.com/heatherfront/heatherfront/hfconfig"
)

const (
	// LoanTTL is how long a loan is valid unless it is renewed.
	LoanTTL = 3 * time.Second
	// MaxRequestDuration is the maximum run time of a request. The slots of a
	// crashed borrower become free this long after its loan has expired, since the
	// endpoint may still be running its requests.
	MaxRequestDuration = 30 * time.Second
)

// Demand counts the queued requests of one class and account at one instance.
type Demand struct {
	class   hfconfig.Class
	account string
	callers int // callers with queued requests
	wanted  int // queued requests
}

// NewDemand returns the demand of one class and account.
func NewDemand(class hfconfig.Class, account string, callers, wanted int) Demand {
	return Demand{class: class, account: account, callers: callers, wanted: wanted}
}

// Borrower is a live instance that slots are lent to.
type Borrower struct {
	name        string
	incarnation string
	region      string
}

// NewBorrower returns a borrower. incarnation identifies one run of the instance.
func NewBorrower(name, incarnation, region string) Borrower {
	return Borrower{name: name, incarnation: incarnation, region: region}
}

// Loan grants a number of slots on an endpoint. It is valid for LoanTTL, counted
// from the call in which the borrower reported its usage.
type Loan struct {
	endpoint string
	slots    int
}

// Endpoint returns the endpoint's name.
func (l Loan) Endpoint() string { return l.endpoint }

// Slots returns the number of slots.
func (l Loan) Slots() int { return l.slots }

// loanRecord tracks the slots of an endpoint that one run of a borrower may be using.
type loanRecord struct {
	borrower  string
	limit     int       // most slots that the borrower may believe it has
	busy      int       // requests in flight, as reported
	expiresAt time.Time // when limit expires
	drainedAt time.Time // when requests in flight at expiresAt have ended
}

// outstanding returns the number of slots that the borrower may be using.
func (r *loanRecord) outstanding(now time.Time) int {
	switch {
	case now.Before(r.expiresAt):
		return max(r.limit, r.busy)
	case now.Before(r.drainedAt):
		return r.busy
	default:
		return 0
	}
}

// ownedEndpoint holds the loans of one endpoint that this instance owns.
type ownedEndpoint struct {
	entry      Endpoint
	ownedSince time.Time              // when this instance became the owner
	records    map[string]*loanRecord // by incarnation of the borrower
}

// Lender divides the slots of the endpoints that this instance owns among all
// instances. Slots that a borrower may still be using count as lent, so that the
// slots in use never exceed those of the endpoint.
type Lender struct {
	owned             map[string]*ownedEndpoint
	endpointsByRegion map[string]int      // number of endpoints in each region, whoever owns them
	demands           map[string][]Demand // by instance
	accountWeight     func(account string) int
}

// NewLender returns a lender without endpoints. accountWeight returns the weight of
// an account.
func NewLender(accountWeight func(account string) int) *Lender {
	return &Lender{owned: map[string]*ownedEndpoint{}, demands: map[string][]Demand{}, accountWeight: accountWeight}
}

// SetOwned sets the endpoints that this instance owns. For LoanTTL after an endpoint is
// added, borrowers only keep the limits that they report, since loans of the
// previous owner may still be in use. endpointsByRegion counts all endpoints of each
// region.
func (l *Lender) SetOwned(entries []Endpoint, endpointsByRegion map[string]int, now time.Time) {
	l.endpointsByRegion = endpointsByRegion
	listed := map[string]bool{}
	for _, entry := range entries {
		listed[entry.name] = true
		e, ok := l.owned[entry.name]
		if !ok {
			e = &ownedEndpoint{ownedSince: now, records: map[string]*loanRecord{}}
			l.owned[entry.name] = e
		}
		e.entry = entry
	}
	for name := range l.owned {
		if !listed[name] {
			delete(l.owned, name)
		}
	}
}

// Owns reports whether this instance owns an endpoint.
func (l *Lender) Owns(endpoint string) bool {
	_, ok := l.owned[endpoint]
	return ok
}

// Forget removes the demand of an instance that has left or failed.
func (l *Lender) Forget(instance string) { delete(l.demands, instance) }

// Lend records the usage and demand of a borrower and returns its loans on every
// owned endpoint. live lists all borrowers, including this instance.
func (l *Lender) Lend(b Borrower, usage []Usage, demand []Demand, live []Borrower, now time.Time) []Loan {
	l.demands[b.name] = demand
	reported := map[string]Usage{}
	for _, u := range usage {
		reported[u.endpoint] = u
	}
	weights := l.demandWeights(live)
	loans := make([]Loan, 0, len(l.owned))
	for name, e := range l.owned {
		r := e.recordOf(b)
		r.busy = reported[name].busy
		e.expireRecords(now)
		target := l.targetSlots(e, b, reported[name], weights, live, now)
		lentToOthers := 0
		for key, other := range e.records {
			if key != b.incarnation {
				lentToOthers += other.outstanding(now)
			}
		}
		slots := max(0, min(target, e.entry.slots-lentToOthers))
		// The reply may be lost: until its next report, the borrower may keep using
		// the limit that it reported in this call.
		r.limit = max(slots, reported[name].limit)
		r.expiresAt = now.Add(LoanTTL)
		r.drainedAt = r.expiresAt.Add(MaxRequestDuration)
		loans = append(loans, Loan{endpoint: name, slots: slots})
	}
	sort.Slice(loans, func(i, j int) bool { return loans[i].endpoint < loans[j].endpoint })
	return loans
}

func (e *ownedEndpoint) recordOf(b Borrower) *loanRecord {
	r, ok := e.records[b.incarnation]
	if !ok {
		r = &loanRecord{borrower: b.name}
		e.records[b.incarnation] = r
	}
	return r
}

func (e *ownedEndpoint) expireRecords(now time.Time) {
	for key, r := range e.records {
		if !r.drainedAt.IsZero() && !now.Before(r.drainedAt) {
			delete(e.records, key)
		}
	}
}

// targetSlots returns the number of slots that a borrower should have on an endpoint.
func (l *Lender) targetSlots(e *ownedEndpoint, b Borrower, u Usage, weights map[string]float64, live []Borrower, now time.Time) int {
	if e.entry.leaving {
		return 0
	}
	if now.Before(e.ownedSince.Add(LoanTTL)) {
		return u.limit
	}
	return l.divideSlots(e, weights, live)[b.name]
}

// demandWeights returns, for each instance, the share of all slots that its queued
// requests are entitled to. Shares are divided by class, then account, then caller.
func (l *Lender) demandWeights(live []Borrower) map[string]float64 {
	type key struct {
		class   hfconfig.Class
		account string
	}
	callers := map[key]int{}
	accounts := map[hfconfig.Class]int{}
	for _, b := range live {
		for _, d := range l.demands[b.name] {
			k := key{class: d.class, account: d.account}
			if callers[k] == 0 {
				accounts[d.class] += max(l.accountWeight(d.account), 1)
			}
			callers[k] += max(d.callers, 1)
		}
	}
	weights := map[string]float64{}
	for _, b := range live {
		for _, d := range l.demands[b.name] {
			k := key{class: d.class, account: d.account}
			share := d.class.Share() * float64(max(l.accountWeight(d.account), 1)) / float64(accounts[d.class])
			weights[b.name] += share * float64(max(d.callers, 1)) / float64(callers[k])
		}
	}
	return weights
}

// divideSlots divides the slots of an endpoint among the live instances. Each
// instance in the region of the endpoint gets one. The rest goes to instances of the
// region with queued requests, by weight and up to their demand, and then in the same
// way to instances of other regions. What is left is spread evenly over the region.
// If the region has no instance, all instances are treated as local.
func (l *Lender) divideSlots(e *ownedEndpoint, weights map[string]float64, live []Borrower) map[string]int {
	var local, remote []string
	for _, b := range live {
		if b.region == e.entry.region {
			local = append(local, b.name)
		} else {
			remote = append(remote, b.name)
		}
	}
	if len(local) == 0 {
		local, remote = remote, nil
	}
	local, remote = rotated(local, e.entry.name), rotated(remote, e.entry.name)
	shares := map[string]int{}
	left := e.entry.slots
	for _, n := range local {
		if left > 0 {
			shares[n]++
			left--
		}
	}
	endpoints := max(l.endpointsByRegion[e.entry.region], 1)
	left = l.distribute(local, left, weights, endpoints, shares)
	left = l.distribute(remote, left, weights, endpoints, shares)
	for i := 0; left > 0 && len(local) > 0; i++ {
		shares[local[i%len(local)]]++
		left--
	}
	return shares
}

// rotated returns the sorted names, rotated by an offset derived from the endpoint
// name, so that slots left over by uneven division go to different instances on
// different endpoints.
func rotated(names []string, endpoint string) []string {
	sort.Strings(names)
	if len(names) < 2 {
		return names
	}
	offset := 0
	for _, r := range endpoint {
		offset += int(r)
	}
	offset %= len(names)
	return append(append([]string{}, names[offset:]...), names[:offset]...)
}

// distribute assigns slots one at a time to the instance that has the fewest for its
// weight. An instance stops receiving slots once they cover the part of its queued
// requests that falls to one endpoint. It returns the slots not assigned.
func (l *Lender) distribute(names []string, left int, weights map[string]float64, endpoints int, shares map[string]int) int {
	assigned := map[string]int{}
	for left > 0 {
		best, bestRatio := "", 0.0
		for _, n := range names {
			if weights[n] == 0 || assigned[n] > l.queuedRequests(n)/endpoints {
				continue
			}
			if ratio := float64(assigned[n]+1) / weights[n]; best == "" || ratio < bestRatio {
				best, bestRatio = n, ratio
			}
		}
		if best == "" {
			return left
		}
		assigned[best]++
		shares[best]++
		left--
	}
	return left
}

func (l *Lender) queuedRequests(instance string) int {
	n := 0
	for _, d := range l.demands[instance] {
		n += d.wanted
	}
	return n
}

// Check returns ErrSlots if more slots of an endpoint are lent than it has. It skips
// endpoints that may still have loans of their previous owner.
func (l *Lender) Check(now time.Time) error {
	for name, e := range l.owned {
		if now.Before(e.ownedSince.Add(LoanTTL + MaxRequestDuration)) {
			continue
		}
		lent := 0
		for _, r := range e.records {
			lent += r.outstanding(now)
		}
		if lent > e.entry.slots {
			return fmt.Errorf("%w: %d of %d slots of %s are lent", ErrSlots, lent, e.entry.slots, name)
		}
	}
	return nil
}
