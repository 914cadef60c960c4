// Package hfendpoint routes requests to endpoints and divides the slots of the
// endpoints among the instances. Router tracks the health of each endpoint and the
// slots that this instance may use; Lender lends the slots of the endpoints that
// this instance owns.
package hfendpoint

import (
	"fmt"
	"sort"
	"time"

	"github.com/rotisserie/eris"
)

// ErrSlots reports an invariant violation: more slots are lent or in use than exist.
var ErrSlots = eris.New("more requests than slots")

// Endpoint is one entry of the membership list.
type Endpoint struct {
	name    string
	address string
	domain  string
	region  string
	slots   int
	leaving bool
}

// NewEndpoint returns an entry of the membership list.
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

// Slots returns the number of requests that the endpoint can run concurrently.
func (e Endpoint) Slots() int { return e.slots }

const (
	leavingTTL       = 30 * time.Second // how long a report that an endpoint is leaving is valid
	breakerFailures  = 5                // consecutive failures that open a breaker
	breakerCallers   = 2                // distinct callers among the failures; one caller's bad requests must not open a breaker
	breakerOpenTime  = 5 * time.Second  // how long a breaker stays open before a probe
	observedSlotsTTL = time.Second      // how long the slots of an endpoint that was full stay reduced
	latencySmoothing = 0.2              // weight of the newest request in the latency average
)

// breaker is the circuit breaker of one endpoint. It counts final outcomes and
// ignores cancelled requests.
type breaker struct {
	failures  int
	callers   map[string]bool
	openUntil time.Time // when an open breaker lets one probe through
	open      bool
	probing   bool
}

// endpointState is the state of one endpoint as seen by this instance.
type endpointState struct {
	entry              Endpoint
	limit              int       // slots lent to this instance
	loanUntil          time.Time // expiry of limit
	busy               int       // requests in flight
	observedSlots      int       // slots that the endpoint has, inferred from its refusal
	observedSlotsUntil time.Time // expiry of observedSlots
	leavingUntil       time.Time // expiry of a leaving report by the list or a health check
	selfLeavingUntil   time.Time // expiry of a leaving report by the endpoint itself; health checks do not clear it
	down               bool      // the health check gets no answer
	breaker            breaker
	latency            float64 // average, in seconds
}

// Router chooses endpoints for requests and counts the slots in use. It is not safe
// for concurrent use.
type Router struct {
	region    string
	endpoints map[string]*endpointState
}

// NewRouter returns a router for an instance in the given region.
func NewRouter(region string) *Router {
	return &Router{region: region, endpoints: map[string]*endpointState{}}
}

// SetEndpoints sets the endpoints of the membership list. An endpoint that is no longer
// listed gets no new requests and is removed when its requests have ended.
func (r *Router) SetEndpoints(entries []Endpoint, now time.Time) {
	listed := map[string]bool{}
	for _, e := range entries {
		listed[e.name] = true
		s, ok := r.endpoints[e.name]
		if !ok || s.entry.address != e.address {
			s = &endpointState{}
			r.endpoints[e.name] = s
		}
		s.entry = e
		if e.leaving {
			s.leavingUntil = now.Add(leavingTTL)
		}
	}
	for name, s := range r.endpoints {
		if listed[name] {
			continue
		}
		s.entry.leaving = true
		if s.busy == 0 {
			delete(r.endpoints, name)
		}
	}
}

// SetLoan sets the slots lent to this instance on an endpoint, and when the loan
// expires.
func (r *Router) SetLoan(endpoint string, slots int, until time.Time) {
	if s, ok := r.endpoints[endpoint]; ok {
		s.limit, s.loanUntil = slots, until
	}
}

// SetHealth records the result of a health check by this instance or by the owner of
// the endpoint.
func (r *Router) SetHealth(endpoint string, leaving, down bool, now time.Time) {
	s, ok := r.endpoints[endpoint]
	if !ok {
		return
	}
	s.down = down
	switch {
	case leaving:
		s.leavingUntil = now.Add(leavingTTL)
	case !down && !s.entry.leaving:
		s.leavingUntil = time.Time{}
	}
}

// MarkLeaving records that an endpoint refused a request because it is leaving.
func (r *Router) MarkLeaving(endpoint string, now time.Time) {
	if s, ok := r.endpoints[endpoint]; ok {
		s.selfLeavingUntil = now.Add(leavingTTL)
	}
}

// available reports whether an endpoint may get new requests.
func (s *endpointState) available(now time.Time) bool {
	if s.entry.leaving || now.Before(s.leavingUntil) || now.Before(s.selfLeavingUntil) || s.down {
		return false
	}
	if !s.breaker.open {
		return true
	}
	return !s.breaker.probing && !now.Before(s.breaker.openUntil)
}

func (s *endpointState) freeSlots(now time.Time) int {
	if !now.Before(s.loanUntil) {
		return 0
	}
	return max(0, s.usableSlots(now)-s.busy)
}

// usableSlots returns the number of slots that may be used: those lent, or fewer
// after the endpoint refused a request because it was full.
func (s *endpointState) usableSlots(now time.Time) int {
	if now.Before(s.observedSlotsUntil) {
		return min(s.limit, s.observedSlots)
	}
	return s.limit
}

// MarkFull records that an endpoint refused a request for lack of slots. Call it
// before Release, since it derives the slots of the endpoint from those in use.
func (r *Router) MarkFull(endpoint string, now time.Time) {
	if s, ok := r.endpoints[endpoint]; ok {
		s.observedSlots, s.observedSlotsUntil = max(1, s.busy-1), now.Add(observedSlotsTTL)
	}
}

// Free returns the free slots and all usable slots of the endpoints that may get new
// requests.
func (r *Router) Free(now time.Time) (free, total int) {
	for _, s := range r.endpoints {
		if !s.available(now) || !now.Before(s.loanUntil) {
			continue
		}
		free += s.freeSlots(now)
		total += s.usableSlots(now)
	}
	return free, total
}

// Acquire acquires a slot for a request. It prefers endpoints in the region of this
// instance, then the least loaded, then the one with the lowest latency. avoid holds
// the endpoints that the request has already tried; they are used only when no other
// has a free slot.
func (r *Router) Acquire(avoid map[string]bool, now time.Time) (Endpoint, bool) {
	var best *endpointState
	for _, s := range r.endpoints {
		if s.available(now) && s.freeSlots(now) > 0 && (best == nil || r.preferred(s, best, avoid)) {
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
	return best.entry, true
}

func (r *Router) preferred(a, b *endpointState, avoid map[string]bool) bool {
	if avoid[a.entry.name] != avoid[b.entry.name] {
		return !avoid[a.entry.name]
	}
	if local := a.entry.region == r.region; local != (b.entry.region == r.region) {
		return local
	}
	loadA, loadB := float64(a.busy)/float64(max(a.limit, 1)), float64(b.busy)/float64(max(b.limit, 1))
	if loadA != loadB {
		return loadA < loadB
	}
	if a.latency != b.latency {
		return a.latency < b.latency
	}
	return a.entry.name < b.entry.name
}

// BreakerChange is the effect of a release on the circuit breaker of an endpoint.
type BreakerChange int

// The changes of a circuit breaker.
const (
	Unchanged BreakerChange = iota
	Opened
	Closed
)

// Release returns a slot and passes the result of the attempt to the breaker.
// Neither failure nor success is set if the attempt says nothing about the endpoint.
func (r *Router) Release(endpoint, caller string, failure, success bool, took time.Duration, now time.Time) BreakerChange {
	s, ok := r.endpoints[endpoint]
	if !ok {
		return Unchanged
	}
	s.busy--
	if success {
		s.latency += latencySmoothing * (took.Seconds() - s.latency)
	}
	return s.breaker.record(caller, failure, success, now)
}

func (b *breaker) record(caller string, failure, success bool, now time.Time) BreakerChange {
	b.probing = false
	switch {
	case success:
		change := Unchanged
		if b.open {
			change = Closed
		}
		*b = breaker{}
		return change
	case !failure:
		return Unchanged
	}
	if b.callers == nil {
		b.callers = map[string]bool{}
	}
	b.failures++
	b.callers[caller] = true
	if b.open {
		b.openUntil = now.Add(breakerOpenTime)
		return Unchanged
	}
	if b.failures >= breakerFailures && len(b.callers) >= breakerCallers {
		b.open, b.openUntil = true, now.Add(breakerOpenTime)
		return Opened
	}
	return Unchanged
}

// Usage is the number of slots of one endpoint that an instance holds and uses.
type Usage struct {
	endpoint string
	busy     int
	limit    int
}

// NewUsage returns a usage reported by an instance.
func NewUsage(endpoint string, busy, limit int) Usage {
	return Usage{endpoint: endpoint, busy: busy, limit: limit}
}

// Endpoint returns the endpoint's name.
func (u Usage) Endpoint() string { return u.endpoint }

// Busy returns the number of requests in flight.
func (u Usage) Busy() int { return u.busy }

// Limit returns the number of slots lent.
func (u Usage) Limit() int { return u.limit }

// Usage returns the usage of each endpoint on which this instance has slots or
// requests in flight.
func (r *Router) Usage(now time.Time) []Usage {
	var list []Usage
	for name, s := range r.endpoints {
		limit := s.limit
		if !now.Before(s.loanUntil) {
			limit = 0
		}
		if limit > 0 || s.busy > 0 {
			list = append(list, Usage{endpoint: name, busy: s.busy, limit: limit})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].endpoint < list[j].endpoint })
	return list
}

// Endpoints returns the endpoints that are not leaving, sorted by name.
func (r *Router) Endpoints() []Endpoint {
	list := make([]Endpoint, 0, len(r.endpoints))
	for _, s := range r.endpoints {
		if !s.entry.leaving {
			list = append(list, s.entry)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].name < list[j].name })
	return list
}

// Busy returns the number of requests in flight on all endpoints.
func (r *Router) Busy() int {
	n := 0
	for _, s := range r.endpoints {
		n += s.busy
	}
	return n
}

// Check returns ErrSlots if a count is out of range.
func (r *Router) Check() error {
	for name, s := range r.endpoints {
		if s.busy < 0 || s.limit > s.entry.slots {
			return fmt.Errorf("%w: %s has %d in flight and %d of %d lent", ErrSlots, name, s.busy, s.limit, s.entry.slots)
		}
	}
	return nil
}
