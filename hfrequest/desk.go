package hfrequest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/heatherfront/heatherfront/hfconfig"
	"github.com/heatherfront/heatherfront/hfendpoint"
	"github.com/heatherfront/heatherfront/hfloop"
)

// Claimer records that a request id is taken, over the whole system.
type Claimer interface {
	// Claim returns whether the holder is the first, and who is.
	Claim(ctx context.Context, id, holder string) (first bool, by string, err error)
}

// Attacher gets the answer of a request that another instance holds.
type Attacher interface {
	Attach(ctx context.Context, holder, id string) (Answer, error)
}

// Observer hears what happens to endpoints and requests.
type Observer interface {
	// Breaker tells that an endpoint's breaker opened or closed.
	Breaker(endpoint string, change hfendpoint.Change)
	// Leaving tells that an endpoint said that it leaves.
	Leaving(endpoint string)
	// Sent counts bytes of a request or an answer between this instance and a region.
	Sent(region string, bytes int)
}

// Terms are what is in force for one request.
type Terms struct {
	class      hfconfig.Class
	account    string
	caller     string
	idempotent bool
	weight     int
	limit      int // most requests of the account in flight here; 0: no limit
}

// NewTerms builds the terms of a request.
func NewTerms(class hfconfig.Class, account, caller string, idempotent bool, weight, limit int) Terms {
	return Terms{class: class, account: account, caller: caller, idempotent: idempotent, weight: weight, limit: limit}
}

// Desk takes callers' requests through the queue to endpoints.
type Desk struct {
	mu       sync.Mutex
	queue    *Queue
	router   *hfendpoint.Router
	retries  *Retries
	recents  *Recents
	random   *rand.Rand
	client   *http.Client
	claimer  Claimer
	attacher Attacher
	observer Observer
	holder   string // name and incarnation of this instance
	maxBody  int64
	broken   func(error)
}

// NewDesk returns a desk of an instance. holder names the instance and its
// incarnation; broken is told of broken invariants.
func NewDesk(holder string, limit int, router *hfendpoint.Router, client *http.Client, c Claimer, a Attacher, o Observer, maxBody int64, broken func(error)) *Desk {
	return &Desk{
		queue: NewQueue(limit), router: router, retries: NewRetries(), recents: NewRecents(),
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		client: client, claimer: c, attacher: a, observer: o, holder: holder, maxBody: maxBody, broken: broken,
	}
}

// With lets f use the router while no request is being dispatched, and then
// dispatches what has become possible.
func (d *Desk) With(f func(r *hfendpoint.Router)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(d.router)
	d.pump(time.Now())
}

// Demand returns the queued work, and the requests in flight.
func (d *Desk) Demand() ([]Demand, int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.queue.Demand(), d.queue.Flying()
}

// Load returns the tickets that wait and the requests in flight.
func (d *Desk) Load() (waiting, flying int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.queue.Len(), d.queue.Flying()
}

// Sweep drops what is late and dispatches what can go.
func (d *Desk) Sweep(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queue.Sweep(now)
	d.recents.trim(now)
	d.pump(now)
}

// pump gives free slots to the tickets whose turn it is; the caller holds mu.
func (d *Desk) pump(now time.Time) {
	for d.queue.Len() > 0 {
		free, total := d.router.Free(now)
		t := d.queue.Next(free, total, now)
		if t == nil {
			break
		}
		e, ok := d.router.Pick(t.avoid, now)
		if !ok {
			d.queue.Finish(t, false, now)
			t.ready(Evicted)
			continue
		}
		t.endpoint = e
		t.ready(Go)
	}
	if err := d.queue.Check(); err != nil {
		d.broken(err)
	}
	if err := d.router.Check(); err != nil {
		d.broken(err)
	}
}

// Serve takes one request to its outcome. A non-idempotent request with an id of
// its caller's is claimed before it is queued; a resend of it gets the same answer.
func (d *Desk) Serve(ctx context.Context, c Call, t Terms, claim bool) Answer {
	if !claim {
		return d.admit(ctx, c, t)
	}
	d.mu.Lock()
	entry, isNew := d.recents.open(c.id)
	d.mu.Unlock()
	if !isNew {
		return d.join(ctx, entry)
	}
	return d.claimed(ctx, c, t)
}

func (d *Desk) join(ctx context.Context, entry *recent) Answer {
	a, err := entry.wait(ctx)
	if err != nil {
		return Answer{outcome: OutcomeUnknown, reason: err.Error()}
	}
	return a
}

// claimed records the id and runs the request if this receipt of it is the first.
func (d *Desk) claimed(ctx context.Context, c Call, t Terms) Answer {
	holder := d.holder + "/" + uuid.NewString()
	first, by, err := d.claimer.Claim(ctx, c.id, holder)
	if err != nil {
		a := unclaimed(err)
		d.forget(c.id, a)
		return a
	}
	if !first {
		a := d.elsewhere(ctx, by, c.id)
		d.forget(c.id, a)
		return a
	}
	// The request runs to its end although its caller goes away: a resend may ask.
	a := d.admit(context.WithoutCancel(ctx), c, t)
	d.mu.Lock()
	d.recents.settle(c.id, a, time.Now())
	d.mu.Unlock()
	return a
}

// unclaimed is the answer when an id could not be recorded. This receipt is not
// run, but an earlier one of the same id may have been.
func unclaimed(err error) Answer {
	return Answer{
		outcome: OutcomeUnknown,
		reason:  fmt.Sprintf("this receipt was not run, and whether an earlier one was cannot be told; the same id can be sent again: %v", err),
	}
}

func (d *Desk) forget(id string, a Answer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recents.forget(id, a)
}

// elsewhere gets the answer of a request that another receipt holds.
func (d *Desk) elsewhere(ctx context.Context, holder, id string) Answer {
	a, err := d.attacher.Attach(ctx, holder, id)
	if err != nil {
		return Answer{outcome: OutcomeUnknown, reason: fmt.Sprintf("the id was taken before, and its instance does not answer: %v", err)}
	}
	return a
}

// Recall returns the answer of a request that this instance holds, waiting for it
// until ctx ends. It fails with ErrForgotten.
func (d *Desk) Recall(ctx context.Context, id string) (Answer, error) {
	d.mu.Lock()
	entry, ok := d.recents.byID[id]
	d.mu.Unlock()
	if !ok {
		return Answer{}, fmt.Errorf("recall %s: %w", id, ErrForgotten)
	}
	return entry.wait(ctx)
}

// late tells whether a request would most likely miss its deadline in the queue.
func (d *Desk) late(c Call, t Terms) (string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	_, total := d.router.Free(now)
	wait := d.queue.Wait(t.class, t.account, t.caller, t.weight, total)
	if now.Add(wait + d.queue.Expected(c.work)).Before(c.deadline) {
		return "", false
	}
	return fmt.Sprintf("the queue is too long for its deadline; try again in %d ms", wait.Milliseconds()), true
}

// admit refuses a request that would be late, and runs any other.
func (d *Desk) admit(ctx context.Context, c Call, t Terms) Answer {
	if reason, late := d.late(c, t); late {
		return Refused(reason)
	}
	return d.run(ctx, c, t)
}

// run makes attempts until one proves an outcome that stands. A last attempt that
// did not run does not hide an earlier one that may have.
func (d *Desk) run(ctx context.Context, c Call, t Terms) Answer {
	avoid := map[string]bool{}
	var earlier *Answer
	d.mu.Lock()
	d.retries.Earn()
	d.mu.Unlock()
	for attempt := 1; ; attempt++ {
		ticket, verdict := d.wait(ctx, c, t, avoid)
		if ticket == nil {
			return Overall(earlier, refusal(verdict))
		}
		a, trace := d.attempt(ctx, ticket, c)
		if !d.again(a, trace, t, attempt) {
			return Overall(earlier, a)
		}
		if a.outcome != OutcomeNotRun {
			earlier = &a
		}
		avoid[ticket.endpoint.Name()] = true
		if !d.pause(ctx, attempt, c.deadline) {
			return Overall(earlier, a)
		}
	}
}

// Overall returns the answer to a request whose last attempt gave last and of whose
// earlier attempts earlier, if any, may have run.
func Overall(earlier *Answer, last Answer) Answer {
	if earlier != nil && last.outcome == OutcomeNotRun {
		return *earlier
	}
	return last
}

func refusal(v Verdict) Answer {
	switch v {
	case Late:
		return Refused("its deadline passed in the queue")
	case Evicted:
		return Refused("the queue is full")
	default:
		return Refused("the caller went away")
	}
}

// wait queues a ticket until its turn. It returns nil and why when the turn never
// came.
func (d *Desk) wait(ctx context.Context, c Call, t Terms, avoid map[string]bool) (*Ticket, Verdict) {
	turn := make(chan Verdict, 1)
	ticket := NewTicket(c.id, t.class, t.account, t.caller, c.work, c.deadline, t.weight, t.limit, func(v Verdict) { turn <- v })
	ticket.avoid = avoid
	d.mu.Lock()
	if !d.queue.Push(ticket) {
		d.mu.Unlock()
		return nil, Evicted
	}
	d.pump(time.Now())
	d.mu.Unlock()
	select {
	case v := <-turn:
		if v != Go {
			return nil, v
		}
		return ticket, Go
	case <-ctx.Done():
	}
	d.mu.Lock()
	removed := d.queue.Remove(ticket)
	d.mu.Unlock()
	if removed {
		return nil, gone
	}
	if v := <-turn; v != Go {
		return nil, v
	}
	return ticket, Go
}

// gone is the verdict on a ticket whose caller went away.
const gone Verdict = -1

// attempt sends a request to the endpoint of its ticket and gives the slot back.
func (d *Desk) attempt(ctx context.Context, ticket *Ticket, c Call) (Answer, Trace) {
	began := time.Now()
	e := ticket.endpoint
	a, trace := Exchange(ctx, d.client, e.Address(), c, d.maxBody)
	now := time.Now()
	d.observer.Sent(e.Region(), len(c.body)+len(a.body))
	failure, success := Counts(trace, a.outcome, ctx.Err() != nil)
	d.mu.Lock()
	switch {
	case trace.Leaving():
		d.router.MarkLeaving(e.Name(), now)
	case trace.Refused():
		d.router.MarkFull(e.Name(), now)
	}
	change := d.router.Release(e.Name(), ticket.caller, failure, success, now.Sub(began), now)
	d.queue.Finish(ticket, a.outcome != OutcomeNotRun, now)
	d.pump(now)
	d.mu.Unlock()
	if change != hfendpoint.Unchanged {
		d.observer.Breaker(e.Name(), change)
	}
	if trace.Leaving() {
		d.observer.Leaving(e.Name())
	}
	return a, trace
}

func (d *Desk) again(a Answer, trace Trace, t Terms, attempts int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.retries.Again(a.outcome, t.idempotent, attempts, trace.Refused())
}

// pause waits before the next attempt. It returns false when there is no time left.
func (d *Desk) pause(ctx context.Context, attempt int, deadline time.Time) bool {
	d.mu.Lock()
	ms := PauseMs(attempt, d.random)
	d.mu.Unlock()
	pause := time.Duration(ms) * time.Millisecond
	if time.Now().Add(pause).After(deadline) {
		return false
	}
	return hfloop.Pause(ctx, pause)
}
