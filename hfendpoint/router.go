// Package hfendpoint knows the endpoints: which serve, which leave, how many of
// their slots this instance may use, and where the next request goes. The slots of
// an endpoint are lent by the instance that owns it.
package hfendpoint

import (
	"fmt"
	"sort"
	"time"

	"github.com/rotisserie/eris"
)

// ErrSlots reports a broken invariant: more requests in flight than slots.
var ErrSlots = eris.New("more requests than slots")

// Endpoint is one row of the membership list.
type Endpoint struct {
	name    string
	address string
	domain  string
	region  string
	slots   int
	leaving bool
}

// NewEndpoint builds a row.
func NewEndpoint(name, address, domain, region string, slots int, leaving bool) Endpoint {
	return Endpoint{name: name, address: address, domain: domain, region: region, slots: slots, leaving: leaving}
}

// Name returns the endpoint's name.
func (e Endpoint) Name() string { return e.name }

// Address returns the endpoint's IP:port.
func (e Endpoint) Address() string { return e.address }

// Region returns the endpoint's region.
func (e Endpoint) Region() string { return e.region }

// Domain returns the endpoint's failure domain.
func (e Endpoint) Domain() string { return e.domain }

// Slots returns the requests that the endpoint runs at once.
func (e Endpoint) Slots() int { return e.slots }

const (
	leaveMemory  = 30 * time.Second // a sign of leaving counts this long without another
	openAfter    = 5                // failures in a row before an endpoint is left alone
	openCallers  = 2                // distinct callers among them, so that one caller's bad requests do not close an endpoint
	openFor      = 5 * time.Second  // before a probe
	capFor       = time.Second      // an endpoint that was full is tried with all its slots again after this
	latencyShare = 0.2              // weight of the newest request in the average time
)

// breaker is what failed requests say of one endpoint. It is keyed by the endpoint,
// counts final outcomes and forgets cancelled requests.
type breaker struct {
	failures int
	callers  map[string]bool
	until    time.Time // open before this moment; then one probe goes out
	open     bool
	probing  bool
}

// spot is what this instance knows of one endpoint.
type spot struct {
	row       Endpoint
	limit     int // slots lent
	until     time.Time
	busy      int
	cap       int       // slots that the endpoint showed to have, while it counts
	capUntil  time.Time // cap counts before this moment
	leftUntil time.Time // the list or its owner says that it leaves; counts before this moment
	toldUntil time.Time // it said so itself; no other word takes that back before this moment
	down      bool      // its health page gives no answer
	breaker   breaker
	latency   float64 // seconds
}

// Router chooses endpoints and counts the slots in use. It is not safe for use by
// several goroutines.
type Router struct {
	region string
	spots  map[string]*spot
}

// NewRouter returns a router of an instance in a region.
func NewRouter(region string) *Router {
	return &Router{region: region, spots: map[string]*spot{}}
}

// List takes the endpoints of the membership list. One that is no longer listed is
// kept until its requests have ended.
func (r *Router) List(rows []Endpoint, now time.Time) {
	listed := map[string]bool{}
	for _, row := range rows {
		listed[row.name] = true
		s, ok := r.spots[row.name]
		if !ok || s.row.address != row.address {
			s = &spot{}
			r.spots[row.name] = s
		}
		s.row = row
		if row.leaving {
			s.leftUntil = now.Add(leaveMemory)
		}
	}
	for name, s := range r.spots {
		if listed[name] {
			continue
		}
		s.row.leaving = true
		if s.busy == 0 {
			delete(r.spots, name)
		}
	}
}

// Lend takes a loan of slots until a deadline.
func (r *Router) Lend(endpoint string, slots int, until time.Time) {
	if s, ok := r.spots[endpoint]; ok {
		s.limit, s.until = slots, until
	}
}

// Health takes what a health check found, here or at the endpoint's owner.
func (r *Router) Health(endpoint string, leaving, down bool, now time.Time) {
	s, ok := r.spots[endpoint]
	if !ok {
		return
	}
	s.down = down
	switch {
	case leaving:
		s.leftUntil = now.Add(leaveMemory)
	case !down && !s.row.leaving:
		s.leftUntil = time.Time{}
	}
}

// Left takes an endpoint's own word that it leaves.
func (r *Router) Left(endpoint string, now time.Time) {
	if s, ok := r.spots[endpoint]; ok {
		s.toldUntil = now.Add(leaveMemory)
	}
}

// serves tells whether an endpoint may get new work.
func (s *spot) serves(now time.Time) bool {
	if s.row.leaving || now.Before(s.leftUntil) || now.Before(s.toldUntil) || s.down {
		return false
	}
	if !s.breaker.open {
		return true
	}
	return !s.breaker.probing && !now.Before(s.breaker.until)
}

func (s *spot) free(now time.Time) int {
	if !now.Before(s.until) {
		return 0
	}
	return max(0, s.usable(now)-s.busy)
}

// usable is the number of slots that may be used: those lent, or fewer after the
// endpoint refused a request for being full.
func (s *spot) usable(now time.Time) int {
	if now.Before(s.capUntil) {
		return min(s.limit, s.cap)
	}
	return s.limit
}

// Full takes an endpoint's refusal for lack of slots. Call it before Release.
func (r *Router) Full(endpoint string, now time.Time) {
	if s, ok := r.spots[endpoint]; ok {
		s.cap, s.capUntil = max(1, s.busy-1), now.Add(capFor)
	}
}

// Free returns the free slots of endpoints that may get work, and all slots lent
// on them.
func (r *Router) Free(now time.Time) (free, total int) {
	for _, s := range r.spots {
		if !s.serves(now) || !now.Before(s.until) {
			continue
		}
		free += s.free(now)
		total += s.usable(now)
	}
	return free, total
}

// Pick takes a slot for a request: in this instance's region if one is free there,
// on the least loaded endpoint, and of those the fastest. avoid names endpoints
// that the request has tried; they are used only when nothing else is free.
func (r *Router) Pick(avoid map[string]bool, now time.Time) (Endpoint, bool) {
	var best *spot
	for _, s := range r.spots {
		if s.serves(now) && s.free(now) > 0 && (best == nil || r.better(s, best, avoid)) {
			best = s
		}
	}
	if best == nil {
		return Endpoint{}, false
	}
	best.busy++
	if best.breaker.open {
		best.breaker.probing = true
	}
	return best.row, true
}

func (r *Router) better(a, b *spot, avoid map[string]bool) bool {
	if avoid[a.row.name] != avoid[b.row.name] {
		return !avoid[a.row.name]
	}
	if near := a.row.region == r.region; near != (b.row.region == r.region) {
		return near
	}
	loadA, loadB := float64(a.busy)/float64(max(a.limit, 1)), float64(b.busy)/float64(max(b.limit, 1))
	if loadA != loadB {
		return loadA < loadB
	}
	if a.latency != b.latency {
		return a.latency < b.latency
	}
	return a.row.name < b.row.name
}

// Change tells whether a release opened or closed an endpoint's breaker.
type Change int

// The changes.
const (
	Same Change = iota
	Opened
	Closed
)

// Release gives a slot back. failure and success are what the attempt says of the
// endpoint; neither is set when it says nothing.
func (r *Router) Release(endpoint, caller string, failure, success bool, took time.Duration, now time.Time) Change {
	s, ok := r.spots[endpoint]
	if !ok {
		return Same
	}
	s.busy--
	if success {
		s.latency += latencyShare * (took.Seconds() - s.latency)
	}
	return s.breaker.count(caller, failure, success, now)
}

func (b *breaker) count(caller string, failure, success bool, now time.Time) Change {
	b.probing = false
	switch {
	case success:
		change := Same
		if b.open {
			change = Closed
		}
		*b = breaker{}
		return change
	case !failure:
		return Same
	}
	if b.callers == nil {
		b.callers = map[string]bool{}
	}
	b.failures++
	b.callers[caller] = true
	if b.open {
		b.until = now.Add(openFor)
		return Same
	}
	if b.failures >= openAfter && len(b.callers) >= openCallers {
		b.open, b.until = true, now.Add(openFor)
		return Opened
	}
	return Same
}

// Usage is the use of one endpoint by this instance.
type Usage struct {
	endpoint string
	busy     int
	limit    int
}

// NewUsage builds a usage as it comes from another instance.
func NewUsage(endpoint string, busy, limit int) Usage {
	return Usage{endpoint: endpoint, busy: busy, limit: limit}
}

// Endpoint returns the endpoint's name.
func (u Usage) Endpoint() string { return u.endpoint }

// Busy returns the requests in flight.
func (u Usage) Busy() int { return u.busy }

// Limit returns the slots lent.
func (u Usage) Limit() int { return u.limit }

// Usage returns the endpoints on which this instance has slots or requests.
func (r *Router) Usage(now time.Time) []Usage {
	var list []Usage
	for name, s := range r.spots {
		limit := s.limit
		if !now.Before(s.until) {
			limit = 0
		}
		if limit > 0 || s.busy > 0 {
			list = append(list, Usage{endpoint: name, busy: s.busy, limit: limit})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].endpoint < list[j].endpoint })
	return list
}

// Rows returns the endpoints of the membership list by name.
func (r *Router) Rows() []Endpoint {
	rows := make([]Endpoint, 0, len(r.spots))
	for _, s := range r.spots {
		if !s.row.leaving {
			rows = append(rows, s.row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].name < rows[j].name })
	return rows
}

// Busy returns the requests in flight on all endpoints.
func (r *Router) Busy() int {
	n := 0
	for _, s := range r.spots {
		n += s.busy
	}
	return n
}

// Check returns ErrSlots when a count is out of range.
func (r *Router) Check() error {
	for name, s := range r.spots {
		if s.busy < 0 || s.limit > s.row.slots {
			return fmt.Errorf("%w: %s has %d in flight and %d of %d lent", ErrSlots, name, s.busy, s.limit, s.row.slots)
		}
	}
	return nil
}
