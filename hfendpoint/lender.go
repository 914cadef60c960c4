package hfendpoint

import (
	"fmt"
	"sort"
	"time"

	"github.com/heatherfront/heatherfront/hfconfig"
)

const (
	// LoanTTL is how long a loan lasts without another.
	LoanTTL = 3 * time.Second
	// MaxRequest is the longest that a request may run. The slots of a borrower that
	// died come back after its loan and then this time, since the endpoint may still
	// be running its requests.
	MaxRequest = 30 * time.Second
)

// Demand is the queued work of one class and account at one instance.
type Demand struct {
	class   hfconfig.Class
	account string
	callers int
	wanted  int
}

// NewDemand builds a demand.
func NewDemand(class hfconfig.Class, account string, callers, wanted int) Demand {
	return Demand{class: class, account: account, callers: callers, wanted: wanted}
}

// Borrower is one live instance.
type Borrower struct {
	name        string
	incarnation string
	region      string
}

// NewBorrower builds a borrower.
func NewBorrower(name, incarnation, region string) Borrower {
	return Borrower{name: name, incarnation: incarnation, region: region}
}

// Loan is a number of slots on an endpoint, for LoanTTL from the call that
// reported the borrower's use.
type Loan struct {
	endpoint string
	slots    int
}

// Endpoint returns the endpoint's name.
func (l Loan) Endpoint() string { return l.endpoint }

// Slots returns the number of slots.
func (l Loan) Slots() int { return l.slots }

// debt is what one run of a borrower may be using of an endpoint.
type debt struct {
	name  string
	limit int       // the most that the borrower may think it has
	busy  int       // reported
	until time.Time // the limit lapses
	clear time.Time // requests that were in flight at the lapse have ended
}

// outstanding is the number of slots that the borrower may be using.
func (d *debt) outstanding(now time.Time) int {
	switch {
	case now.Before(d.until):
		return max(d.limit, d.busy)
	case now.Before(d.clear):
		return d.busy
	default:
		return 0
	}
}

// estate is one endpoint's loans.
type estate struct {
	row   Endpoint
	since time.Time        // owned from then on
	debts map[string]*debt // by borrower's incarnation
}

// Lender divides the slots of the endpoints that this instance owns. It never lends
// more than there are, counting what borrowers may still be using.
type Lender struct {
	estates map[string]*estate
	regions map[string]int      // endpoints of each region, owned here or elsewhere
	demands map[string][]Demand // by instance
	weight  func(account string) int
}

// NewLender returns a lender without endpoints. weight returns an account's weight.
func NewLender(weight func(account string) int) *Lender {
	return &Lender{estates: map[string]*estate{}, demands: map[string][]Demand{}, weight: weight}
}

// Own takes the endpoints that this instance owns from now on. For LoanTTL, a new
// one only carries on with what its borrowers report, since the loans of its last
// owner may still be in use. regions counts all endpoints of each region.
func (l *Lender) Own(rows []Endpoint, regions map[string]int, now time.Time) {
	l.regions = regions
	owned := map[string]bool{}
	for _, row := range rows {
		owned[row.name] = true
		e, ok := l.estates[row.name]
		if !ok {
			e = &estate{since: now, debts: map[string]*debt{}}
			l.estates[row.name] = e
		}
		e.row = row
	}
	for name := range l.estates {
		if !owned[name] {
			delete(l.estates, name)
		}
	}
}

// Owns tells whether this instance owns an endpoint.
func (l *Lender) Owns(endpoint string) bool {
	_, ok := l.estates[endpoint]
	return ok
}

// Forget drops the demand of an instance that is gone.
func (l *Lender) Forget(instance string) { delete(l.demands, instance) }

// Serve takes a borrower's use and demand and returns its loans on every owned
// endpoint. live are all borrowers, this instance among them.
func (l *Lender) Serve(b Borrower, usage []Usage, demand []Demand, live []Borrower, now time.Time) []Loan {
	l.demands[b.name] = demand
	reported := map[string]Usage{}
	for _, u := range usage {
		reported[u.endpoint] = u
	}
	weights := l.weights(live)
	loans := make([]Loan, 0, len(l.estates))
	for name, e := range l.estates {
		d := e.debt(b)
		d.busy = reported[name].busy
		e.expire(now)
		want := l.want(e, b, reported[name], weights, live, now)
		others := 0
		for key, o := range e.debts {
			if key != b.incarnation {
				others += o.outstanding(now)
			}
		}
		slots := max(0, min(want, e.row.slots-others))
		// The answer may be lost: until the borrower reports again, it may still go by
		// the limit that it reported now.
		d.limit = max(slots, reported[name].limit)
		d.until = now.Add(LoanTTL)
		d.clear = d.until.Add(MaxRequest)
		loans = append(loans, Loan{endpoint: name, slots: slots})
	}
	sort.Slice(loans, func(i, j int) bool { return loans[i].endpoint < loans[j].endpoint })
	return loans
}

func (e *estate) debt(b Borrower) *debt {
	d, ok := e.debts[b.incarnation]
	if !ok {
		d = &debt{name: b.name}
		e.debts[b.incarnation] = d
	}
	return d
}

func (e *estate) expire(now time.Time) {
	for key, d := range e.debts {
		if !d.clear.IsZero() && !now.Before(d.clear) {
			delete(e.debts, key)
		}
	}
}

// want is the number of slots that a borrower should have on an endpoint.
func (l *Lender) want(e *estate, b Borrower, u Usage, weights map[string]float64, live []Borrower, now time.Time) int {
	if e.row.leaving {
		return 0
	}
	if now.Before(e.since.Add(LoanTTL)) {
		return u.limit
	}
	return l.divide(e, weights, live)[b.name]
}

// weights returns the share of the whole service's slots that the queued work of
// each instance is due: by class, then account, then caller.
func (l *Lender) weights(live []Borrower) map[string]float64 {
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
				accounts[d.class] += max(l.weight(d.account), 1)
			}
			callers[k] += max(d.callers, 1)
		}
	}
	weights := map[string]float64{}
	for _, b := range live {
		for _, d := range l.demands[b.name] {
			k := key{class: d.class, account: d.account}
			share := d.class.Share() * float64(max(l.weight(d.account), 1)) / float64(accounts[d.class])
			weights[b.name] += share * float64(max(d.callers, 1)) / float64(callers[k])
		}
	}
	return weights
}

// divide splits an endpoint's slots. Each instance of the endpoint's region has
// one at hand. The rest goes to the instances of the region that have work queued,
// by weight and as far as they need it, then to those of other regions, and what
// is left evenly to the region. Without an instance in the region, all count as
// in it.
func (l *Lender) divide(e *estate, weights map[string]float64, live []Borrower) map[string]int {
	var near, far []string
	for _, b := range live {
		if b.region == e.row.region {
			near = append(near, b.name)
		} else {
			far = append(far, b.name)
		}
	}
	if len(near) == 0 {
		near, far = far, nil
	}
	near, far = turned(near, e.row.name), turned(far, e.row.name)
	shares := map[string]int{}
	left := e.row.slots
	for _, n := range near {
		if left > 0 {
			shares[n]++
			left--
		}
	}
	endpoints := max(l.regions[e.row.region], 1)
	left = l.deal(near, left, weights, endpoints, shares)
	left = l.deal(far, left, weights, endpoints, shares)
	for i := 0; left > 0 && len(near) > 0; i++ {
		shares[near[i%len(near)]]++
		left--
	}
	return shares
}

// turned rotates names by the endpoint, so that the slots that do not divide evenly
// go to different instances on different endpoints.
func turned(names []string, endpoint string) []string {
	sort.Strings(names)
	if len(names) < 2 {
		return names
	}
	by := 0
	for _, r := range endpoint {
		by += int(r)
	}
	by %= len(names)
	return append(append([]string{}, names[by:]...), names[:by]...)
}

// deal gives slots one by one to the instance that is furthest below its weight,
// as long as it has more work queued than it was given on this endpoint.
func (l *Lender) deal(names []string, left int, weights map[string]float64, endpoints int, shares map[string]int) int {
	dealt := map[string]int{}
	for left > 0 {
		best, bestAt := "", 0.0
		for _, n := range names {
			if weights[n] == 0 || dealt[n] > l.wanted(n)/endpoints {
				continue
			}
			if at := float64(dealt[n]+1) / weights[n]; best == "" || at < bestAt {
				best, bestAt = n, at
			}
		}
		if best == "" {
			return left
		}
		dealt[best]++
		shares[best]++
		left--
	}
	return left
}

func (l *Lender) wanted(instance string) int {
	n := 0
	for _, d := range l.demands[instance] {
		n += d.wanted
	}
	return n
}

// Check returns ErrSlots when more slots of an endpoint are lent than it has. Loans
// carried over from the last owner are its doing and left out.
func (l *Lender) Check(now time.Time) error {
	for name, e := range l.estates {
		if now.Before(e.since.Add(LoanTTL + MaxRequest)) {
			continue
		}
		lent := 0
		for _, d := range e.debts {
			lent += d.outstanding(now)
		}
		if lent > e.row.slots {
			return fmt.Errorf("%w: %d of %d slots of %s are lent", ErrSlots, lent, e.row.slots, name)
		}
	}
	return nil
}
