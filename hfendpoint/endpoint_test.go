package hfendpoint

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/heatherfront/heatherfront/hfconfig"
	"github.com/heatherfront/heatherfront/hfseed"
)

const testSlots = 8

func equalWeight(string) int { return 1 }

func testEndpoints(regions ...string) []Endpoint {
	var list []Endpoint
	for i, r := range regions {
		list = append(list, NewEndpoint(fmt.Sprint("m", i), fmt.Sprint("127.0.0.1:", i+1), "a", r, testSlots, false))
	}
	return list
}

func lendAllSlots(r *Router, now time.Time) {
	for _, e := range r.Endpoints() {
		r.SetLoan(e.Name(), testSlots, now.Add(time.Hour))
	}
}

// countAcquired reports a change to a router and returns how many of the next requests
// go to an endpoint.
func countAcquired(report func(*Router), endpoint string, now time.Time) int {
	r := NewRouter("one")
	r.SetEndpoints(testEndpoints("one", "one"), now)
	lendAllSlots(r, now)
	report(r)
	count := 0
	for range 2 * testSlots {
		if e, ok := r.Acquire(nil, now); ok && e.Name() == endpoint {
			count++
		}
	}
	return count
}

// TestLeavingEndpointGetsNoWork checks that no request goes to an endpoint after any
// report that it is leaving or down. A router that ignores the report must fail the
// same count, which shows that the count detects it.
func TestLeavingEndpointGetsNoWork(t *testing.T) {
	now := time.Unix(0, 0)
	for name, report := range map[string]func(*Router){
		"listed as leaving": func(r *Router) {
			r.SetEndpoints([]Endpoint{testEndpoints("one")[0].asLeaving(), testEndpoints("one", "one")[1]}, now)
		},
		"health check reports leaving": func(r *Router) { r.SetHealth("m0", true, false, now) },
		"health check gets no answer":  func(r *Router) { r.SetHealth("m0", false, true, now) },
		"refused a request as leaving": func(r *Router) { r.MarkLeaving("m0", now) },
		"no longer listed":             func(r *Router) { r.SetEndpoints(testEndpoints("one", "one")[1:], now) },
	} {
		t.Run(name, func(t *testing.T) {
			require.Zero(t, countAcquired(report, "m0", now))
			require.Equal(t, testSlots, countAcquired(report, "m1", now))
			ignored := func(r *Router) {
				report(r)
				*r.endpoints["m0"] = endpointState{entry: testEndpoints("one")[0], limit: testSlots, loanUntil: now.Add(time.Hour)}
			}
			if name != "no longer listed" { // the router has no state of it to restore
				require.Equal(t, testSlots, countAcquired(ignored, "m0", now))
			}
		})
	}
}

func (e Endpoint) asLeaving() Endpoint {
	e.leaving = true
	return e
}

// TestLeavingRefusalOverridesHealthCheck covers an endpoint that refuses requests
// because it is leaving while its health check still succeeds.
func TestLeavingRefusalOverridesHealthCheck(t *testing.T) {
	now := time.Unix(0, 0)
	r := NewRouter("one")
	r.SetEndpoints(testEndpoints("one"), now)
	lendAllSlots(r, now)
	r.MarkLeaving("m0", now)
	r.SetHealth("m0", false, false, now)
	_, ok := r.Acquire(nil, now)
	require.False(t, ok)
}

func TestBreaker(t *testing.T) {
	now := time.Unix(0, 0)
	r := NewRouter("one")
	r.SetEndpoints(testEndpoints("one"), now)
	lendAllSlots(r, now)
	try := func(caller string, failure, success bool) BreakerChange {
		_, ok := r.Acquire(nil, now)
		require.True(t, ok)
		return r.Release("m0", caller, failure, success, time.Millisecond, now)
	}
	for range 20 {
		require.Equal(t, Unchanged, try("bad", true, false), "failures of one caller alone do not open the breaker")
	}
	require.Equal(t, Opened, try("other", true, false))
	_, ok := r.Acquire(nil, now)
	require.False(t, ok)
	now = now.Add(breakerOpenTime)
	_, ok = r.Acquire(nil, now)
	require.True(t, ok, "one probe is let through")
	_, ok = r.Acquire(nil, now)
	require.False(t, ok, "only one probe is let through")
	require.Equal(t, Unchanged, r.Release("m0", "other", false, false, 0, now), "a cancelled probe leaves the breaker open")
	require.Equal(t, Closed, try("other", false, true))
	_, ok = r.Acquire(nil, now)
	require.True(t, ok)
}

func TestLocalEndpointsFirst(t *testing.T) {
	now := time.Unix(0, 0)
	r := NewRouter("two")
	r.SetEndpoints(testEndpoints("one", "two", "one"), now)
	lendAllSlots(r, now)
	for range testSlots {
		e, _ := r.Acquire(nil, now)
		require.Equal(t, "two", e.Region())
	}
	e, ok := r.Acquire(nil, now)
	require.True(t, ok)
	require.Equal(t, "one", e.Region(), "another region is used only when the local one is full")
}

// simBorrower is a simulated borrower that uses up to the slots it believes it has.
type simBorrower struct {
	borrower Borrower
	limit    map[string]int
	until    map[string]time.Time
	busy     map[string]int
	endsAt   time.Time // after a crash: when its requests have ended
}

// lenderSim simulates a lender and its borrowers on a simulated clock. Replies of the
// lender may be lost.
type lenderSim struct {
	lender    *Lender
	borrowers []*simBorrower
	now       time.Time
}

// lendFunc is the signature of Lender.Lend.
type lendFunc func(b Borrower, usage []Usage, demand []Demand, live []Borrower, now time.Time) []Loan

func simulateLending(t *rapid.T, wrap func(*Lender) lendFunc) error {
	x := &lenderSim{lender: NewLender(equalWeight), now: time.Unix(0, 0)}
	x.lender.SetOwned(testEndpoints("one", "two"), map[string]int{"one": 1, "two": 1}, x.now)
	x.now = x.now.Add(LoanTTL)
	lend := wrap(x.lender)
	for i := range 4 {
		x.borrowers = append(x.borrowers, newSimBorrower(i, 0))
	}
	for n := range rapid.IntRange(10, 80).Draw(t, "steps") {
		i := rapid.IntRange(0, len(x.borrowers)-1).Draw(t, "borrower")
		b := x.borrowers[i]
		switch rapid.IntRange(0, 7).Draw(t, "step") {
		case 0, 1, 2, 3:
			x.report(t, b, lend)
		case 4, 5:
			name := rapid.SampledFrom([]string{"m0", "m1"}).Draw(t, "endpoint")
			if x.now.Before(b.until[name]) && b.busy[name] < b.limit[name] {
				b.busy[name]++
			} else if b.busy[name] > 0 {
				b.busy[name]--
			}
		case 6:
			x.borrowers[i] = newSimBorrower(i, n+1) // crash; its requests keep running on the endpoint
			x.borrowers = append(x.borrowers, &simBorrower{borrower: b.borrower, busy: b.busy, endsAt: x.now.Add(MaxRequestDuration)})
		case 7:
			x.now = x.now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
		}
		if err := x.check(); err != nil {
			return err
		}
	}
	return nil
}

func newSimBorrower(i, run int) *simBorrower {
	return &simBorrower{
		borrower: NewBorrower(fmt.Sprint("i", i), fmt.Sprintf("i%d.%d", i, run), []string{"one", "two"}[i%2]),
		limit:    map[string]int{}, until: map[string]time.Time{}, busy: map[string]int{},
	}
}

func (x *lenderSim) report(t *rapid.T, b *simBorrower, lend lendFunc) {
	if !b.endsAt.IsZero() {
		return
	}
	var usage []Usage
	for _, name := range []string{"m0", "m1"} {
		limit := b.limit[name]
		if !x.now.Before(b.until[name]) {
			limit = 0
		}
		usage = append(usage, NewUsage(name, b.busy[name], limit))
	}
	var live []Borrower
	for _, o := range x.borrowers {
		if o.endsAt.IsZero() {
			live = append(live, o.borrower)
		}
	}
	wanted := rapid.IntRange(0, 40).Draw(t, "wanted")
	loans := lend(b.borrower, usage, []Demand{NewDemand(hfconfig.ClassNormal, "a", 1, wanted)}, live, x.now)
	if rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
		return
	}
	for _, l := range loans {
		b.limit[l.Endpoint()], b.until[l.Endpoint()] = l.Slots(), x.now.Add(LoanTTL)
	}
}

// check fails if the requests that all borrowers may have in flight exceed the slots.
func (x *lenderSim) check() error {
	for _, name := range []string{"m0", "m1"} {
		inFlight := 0
		for _, b := range x.borrowers {
			if !b.endsAt.IsZero() && !x.now.Before(b.endsAt) {
				continue
			}
			most := b.busy[name]
			if x.now.Before(b.until[name]) {
				most = max(most, b.limit[name])
			}
			inFlight += most
		}
		if inFlight > testSlots {
			return fmt.Errorf("%d requests may be in flight on %s of %d slots", inFlight, name, testSlots)
		}
	}
	return nil
}

func TestSlotsAreNeverLentTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := simulateLending(t, func(l *Lender) lendFunc { return l.Lend }); err != nil {
			t.Fatal(err)
		}
	})
}

// TestSimulationDetectsUncountedLoans checks that the simulation fails for a lender
// that does not count the slots that borrowers may still be using.
func TestSimulationDetectsUncountedLoans(t *testing.T) {
	uncounted := func(l *Lender) lendFunc {
		return func(b Borrower, usage []Usage, demand []Demand, live []Borrower, now time.Time) []Loan {
			for _, e := range l.owned {
				e.records = map[string]*loanRecord{}
			}
			return l.Lend(b, usage, demand, live, now)
		}
	}
	require.True(t, hfseed.FindsFailure(200, func(rt *rapid.T) error { return simulateLending(rt, uncounted) }))
}

// TestSlotsFollowDemand checks that the slots that an idle instance does not use go
// to an instance with queued requests, after the idle instance has returned them.
func TestSlotsFollowDemand(t *testing.T) {
	now := time.Unix(0, 0)
	l := NewLender(equalWeight)
	l.SetOwned(testEndpoints("one"), map[string]int{"one": 1}, now)
	now = now.Add(LoanTTL)
	a, b := NewBorrower("a", "a1", "one"), NewBorrower("b", "b1", "one")
	live := []Borrower{a, b}
	queue := []Demand{NewDemand(hfconfig.ClassNormal, "x", 1, 100)}
	require.Equal(t, 4, l.Lend(a, nil, nil, live, now)[0].Slots())
	require.Equal(t, 4, l.Lend(b, nil, nil, live, now)[0].Slots())
	usage := []Usage{NewUsage("m0", 0, 4)}
	require.Equal(t, 4, l.Lend(a, usage, queue, live, now)[0].Slots(), "slots lent to the other instance are not returned yet")
	require.Equal(t, 1, l.Lend(b, usage, nil, live, now)[0].Slots())
	require.Equal(t, 1, l.Lend(b, []Usage{NewUsage("m0", 0, 1)}, nil, live, now)[0].Slots())
	require.Equal(t, 7, l.Lend(a, usage, queue, live, now)[0].Slots())
	require.NoError(t, l.Check(now.Add(MaxRequestDuration)))
}
