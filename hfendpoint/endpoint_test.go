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

func one(string) int { return 1 }

func rows(regions ...string) []Endpoint {
	var list []Endpoint
	for i, r := range regions {
		list = append(list, NewEndpoint(fmt.Sprint("m", i), fmt.Sprint("127.0.0.1:", i+1), "a", r, testSlots, false))
	}
	return list
}

func lent(r *Router, now time.Time) {
	for _, e := range r.Rows() {
		r.Lend(e.Name(), testSlots, now.Add(time.Hour))
	}
}

// picked returns how many of a round of requests go to an endpoint that has been told
// of by a sign.
func picked(sign func(*Router), endpoint string, now time.Time) int {
	r := NewRouter("one")
	r.List(rows("one", "one"), now)
	lent(r, now)
	sign(r)
	count := 0
	for range 2 * testSlots {
		if e, ok := r.Pick(nil, now); ok && e.Name() == endpoint {
			count++
		}
	}
	return count
}

// TestLeavingEndpointGetsNoWork gives each sign that an endpoint leaves; from then on
// no request goes there. A router that does not heed the sign is found out by the
// same count.
func TestLeavingEndpointGetsNoWork(t *testing.T) {
	now := time.Unix(0, 0)
	for name, sign := range map[string]func(*Router){
		"the list says so":          func(r *Router) { r.List([]Endpoint{rows("one")[0].left(), rows("one", "one")[1]}, now) },
		"its health page says so":   func(r *Router) { r.Health("m0", true, false, now) },
		"its health page is gone":   func(r *Router) { r.Health("m0", false, true, now) },
		"it refused as leaving":     func(r *Router) { r.Left("m0", now) },
		"it is not listed any more": func(r *Router) { r.List(rows("one", "one")[1:], now) },
	} {
		t.Run(name, func(t *testing.T) {
			require.Zero(t, picked(sign, "m0", now))
			require.Equal(t, testSlots, picked(sign, "m1", now))
			heedless := func(r *Router) {
				sign(r)
				*r.spots["m0"] = spot{row: rows("one")[0], limit: testSlots, until: now.Add(time.Hour)}
			}
			if name != "it is not listed any more" { // nothing is left of it to heed
				require.Equal(t, testSlots, picked(heedless, "m0", now))
			}
		})
	}
}

func (e Endpoint) left() Endpoint {
	e.leaving = true
	return e
}

// TestOwnWordOutlivesHealthPage covers an endpoint that refuses as leaving while its
// health page still says that all is well.
func TestOwnWordOutlivesHealthPage(t *testing.T) {
	now := time.Unix(0, 0)
	r := NewRouter("one")
	r.List(rows("one"), now)
	lent(r, now)
	r.Left("m0", now)
	r.Health("m0", false, false, now)
	_, ok := r.Pick(nil, now)
	require.False(t, ok)
}

func TestBreaker(t *testing.T) {
	now := time.Unix(0, 0)
	r := NewRouter("one")
	r.List(rows("one"), now)
	lent(r, now)
	try := func(caller string, failure, success bool) Change {
		_, ok := r.Pick(nil, now)
		require.True(t, ok)
		return r.Release("m0", caller, failure, success, time.Millisecond, now)
	}
	for range 20 {
		require.Equal(t, Same, try("bad", true, false), "one caller's failures alone do not open it")
	}
	require.Equal(t, Opened, try("other", true, false))
	_, ok := r.Pick(nil, now)
	require.False(t, ok)
	now = now.Add(openFor)
	_, ok = r.Pick(nil, now)
	require.True(t, ok, "one probe")
	_, ok = r.Pick(nil, now)
	require.False(t, ok, "and only one")
	require.Equal(t, Same, r.Release("m0", "other", false, false, 0, now), "a cancelled probe says nothing")
	require.Equal(t, Closed, try("other", false, true))
	_, ok = r.Pick(nil, now)
	require.True(t, ok)
}

func TestLocalEndpointsFirst(t *testing.T) {
	now := time.Unix(0, 0)
	r := NewRouter("two")
	r.List(rows("one", "two", "one"), now)
	lent(r, now)
	for range testSlots {
		e, _ := r.Pick(nil, now)
		require.Equal(t, "two", e.Region())
	}
	e, ok := r.Pick(nil, now)
	require.True(t, ok)
	require.Equal(t, "one", e.Region(), "another region only when the own one is full")
}

// client is a borrower as the proof sees it: it uses what it believes it may.
type client struct {
	b     Borrower
	limit map[string]int
	until map[string]time.Time
	busy  map[string]int
	dead  time.Time
}

// lending is a lender with its borrowers; answers may be lost.
type lending struct {
	l       *Lender
	clients []*client
	now     time.Time
}

// serve is the part of a lender that the proof needs.
type serve func(b Borrower, usage []Usage, demand []Demand, live []Borrower, now time.Time) []Loan

func lendChaos(t *rapid.T, wrap func(*Lender) serve) error {
	x := &lending{l: NewLender(one), now: time.Unix(0, 0)}
	x.l.Own(rows("one", "two"), map[string]int{"one": 1, "two": 1}, x.now)
	x.now = x.now.Add(LoanTTL)
	lend := wrap(x.l)
	for i := range 4 {
		x.clients = append(x.clients, newClient(i, 0))
	}
	for n := range rapid.IntRange(10, 80).Draw(t, "steps") {
		i := rapid.IntRange(0, len(x.clients)-1).Draw(t, "client")
		c := x.clients[i]
		switch rapid.IntRange(0, 7).Draw(t, "step") {
		case 0, 1, 2, 3:
			x.report(t, c, lend)
		case 4, 5:
			name := rapid.SampledFrom([]string{"m0", "m1"}).Draw(t, "endpoint")
			if x.now.Before(c.until[name]) && c.busy[name] < c.limit[name] {
				c.busy[name]++
			} else if c.busy[name] > 0 {
				c.busy[name]--
			}
		case 6:
			x.clients[i] = newClient(i, n+1) // crashed; its requests run on for a while
			x.clients = append(x.clients, &client{b: c.b, busy: c.busy, dead: x.now.Add(MaxRequest)})
		case 7:
			x.now = x.now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
		}
		if err := x.broken(); err != nil {
			return err
		}
	}
	return nil
}

func newClient(i, run int) *client {
	return &client{
		b:     NewBorrower(fmt.Sprint("i", i), fmt.Sprintf("i%d.%d", i, run), []string{"one", "two"}[i%2]),
		limit: map[string]int{}, until: map[string]time.Time{}, busy: map[string]int{},
	}
}

func (x *lending) report(t *rapid.T, c *client, lend serve) {
	if !c.dead.IsZero() {
		return
	}
	var usage []Usage
	for _, name := range []string{"m0", "m1"} {
		limit := c.limit[name]
		if !x.now.Before(c.until[name]) {
			limit = 0
		}
		usage = append(usage, NewUsage(name, c.busy[name], limit))
	}
	var live []Borrower
	for _, o := range x.clients {
		if o.dead.IsZero() {
			live = append(live, o.b)
		}
	}
	wanted := rapid.IntRange(0, 40).Draw(t, "wanted")
	loans := lend(c.b, usage, []Demand{NewDemand(hfconfig.ClassNormal, "a", 1, wanted)}, live, x.now)
	if rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
		return
	}
	for _, l := range loans {
		c.limit[l.Endpoint()], c.until[l.Endpoint()] = l.Slots(), x.now.Add(LoanTTL)
	}
}

// broken counts what all borrowers may have in flight at this moment.
func (x *lending) broken() error {
	for _, name := range []string{"m0", "m1"} {
		inFlight := 0
		for _, c := range x.clients {
			if !c.dead.IsZero() && !x.now.Before(c.dead) {
				continue
			}
			most := c.busy[name]
			if x.now.Before(c.until[name]) {
				most = max(most, c.limit[name])
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
		if err := lendChaos(t, func(l *Lender) serve { return l.Serve }); err != nil {
			t.Fatal(err)
		}
	})
}

// TestForgetfulLenderIsFound lends by shares alone, without counting what borrowers
// may still be using.
func TestForgetfulLenderIsFound(t *testing.T) {
	forgetful := func(l *Lender) serve {
		return func(b Borrower, usage []Usage, demand []Demand, live []Borrower, now time.Time) []Loan {
			for _, e := range l.estates {
				e.debts = map[string]*debt{}
			}
			return l.Serve(b, usage, demand, live, now)
		}
	}
	require.True(t, hfseed.Finds(200, func(rt *rapid.T) error { return lendChaos(rt, forgetful) }))
}

// TestSlotsFollowDemand gives the instance with the queue what the others do not
// use, and no more than its share when all have queues.
func TestSlotsFollowDemand(t *testing.T) {
	now := time.Unix(0, 0)
	l := NewLender(one)
	l.Own(rows("one"), map[string]int{"one": 1}, now)
	now = now.Add(LoanTTL)
	a, b := NewBorrower("a", "a1", "one"), NewBorrower("b", "b1", "one")
	live := []Borrower{a, b}
	queue := []Demand{NewDemand(hfconfig.ClassNormal, "x", 1, 100)}
	require.Equal(t, 4, l.Serve(a, nil, nil, live, now)[0].Slots())
	require.Equal(t, 4, l.Serve(b, nil, nil, live, now)[0].Slots())
	usage := []Usage{NewUsage("m0", 0, 4)}
	require.Equal(t, 4, l.Serve(a, usage, queue, live, now)[0].Slots(), "the other's are not back yet")
	require.Equal(t, 1, l.Serve(b, usage, nil, live, now)[0].Slots())
	require.Equal(t, 1, l.Serve(b, []Usage{NewUsage("m0", 0, 1)}, nil, live, now)[0].Slots())
	require.Equal(t, 7, l.Serve(a, usage, queue, live, now)[0].Slots())
	require.NoError(t, l.Check(now.Add(MaxRequest)))
}
