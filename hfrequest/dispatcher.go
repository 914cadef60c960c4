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

// Claimer records which holder claims a request id, across all instances.
type Claimer interface {
	// Claim returns whether holder claimed the id first, and the holder that did.
	Claim(ctx context.Context, id, holder string) (first bool, firstHolder string, err error)
}

// AnswerFetcher fetches the answer to a request from the holder of its id.
type AnswerFetcher interface {
	FetchAnswer(ctx context.Context, holder, id string) (Answer, error)
}

// Observer is notified of events of endpoints and requests.
type Observer interface {
	// BreakerChanged reports that the circuit breaker of an endpoint opened or closed.
	BreakerChanged(endpoint string, change hfendpoint.BreakerChange)
	// EndpointLeaving reports that an endpoint refused a request because it is leaving.
	EndpointLeaving(endpoint string)
	// BytesTransferred reports the bytes of a request and its answer exchanged with a region.
	BytesTransferred(region string, bytes int)
}

// SchedulingParams holds the scheduling parameters of one request.
type SchedulingParams struct {
	class      hfconfig.Class
	account    string
	caller     string
	idempotent bool
	weight     int // of the account
	limit      int // maximum requests of the account in flight at this instance; 0: no limit
}

// NewSchedulingParams returns the scheduling parameters of a request.
func NewSchedulingParams(class hfconfig.Class, account, caller string, idempotent bool, weight, limit int) SchedulingParams {
	return SchedulingParams{class: class, account: account, caller: caller, idempotent: idempotent, weight: weight, limit: limit}
}

// Dispatcher queues the requests of callers, sends them to endpoints and retries them.
type Dispatcher struct {
	mu              sync.Mutex
	queue           *Queue
	router          *hfendpoint.Router
	retryBudget     *RetryBudget
	answers         *AnswerCache
	random          *rand.Rand
	client          *http.Client
	claimer         Claimer
	fetcher         AnswerFetcher
	observer        Observer
	holder          string // name and incarnation of this instance
	maxBody         int64
	reportViolation func(error)
}

// NewDispatcher sets up the handling of requests at an instance. holder is the name and
// incarnation of the instance, and limit the maximum number of queued requests.
// reportViolation receives invariant violations.
func NewDispatcher(holder string, limit int, router *hfendpoint.Router, client *http.Client, c Claimer, f AnswerFetcher, o Observer, maxBody int64, reportViolation func(error)) *Dispatcher {
	return &Dispatcher{
		queue: NewQueue(limit), router: router, retryBudget: NewRetryBudget(), answers: NewAnswerCache(),
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		client: client, claimer: c, fetcher: f, observer: o, holder: holder, maxBody: maxBody, reportViolation: reportViolation,
	}
}

// WithRouter calls f with the router while no request is being dispatched, and then
// dispatches the requests that have become eligible.
func (d *Dispatcher) WithRouter(f func(r *hfendpoint.Router)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(d.router)
	d.dispatch(time.Now())
}

// Demand returns the queued requests by class and account, and the number of requests
// in flight.
func (d *Dispatcher) Demand() ([]Demand, int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.queue.Demand(), d.queue.InFlight()
}

// Load returns the number of requests waiting and in flight.
func (d *Dispatcher) Load() (waiting, inFlight int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.queue.Len(), d.queue.InFlight()
}

// Sweep drops requests that cannot end before their deadline and dispatches the eligible ones.
func (d *Dispatcher) Sweep(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queue.Sweep(now)
	d.answers.evict(now)
	d.dispatch(now)
}

// dispatch assigns free slots to the next tickets. The caller must hold mu.
func (d *Dispatcher) dispatch(now time.Time) {
	for d.queue.Len() > 0 {
		free, total := d.router.Free(now)
		t := d.queue.Next(free, total, now)
		if t == nil {
			break
		}
		e, ok := d.router.Acquire(t.triedEndpoints, now)
		if !ok {
			d.queue.Finish(t, false, now)
			t.notify(Evicted)
			continue
		}
		t.endpoint = e
		t.notify(Granted)
	}
	if err := d.queue.Check(); err != nil {
		d.reportViolation(err)
	}
	if err := d.router.Check(); err != nil {
		d.reportViolation(err)
	}
}

// Serve runs one request and returns its answer. claim is set for a non-idempotent
// request whose id was supplied by its caller: the id is claimed before the request is
// queued, and a duplicate of the request gets the same answer.
func (d *Dispatcher) Serve(ctx context.Context, c Call, params SchedulingParams, claim bool) Answer {
	if !claim {
		return d.admit(ctx, c, params)
	}
	d.mu.Lock()
	entry, created := d.answers.getOrCreate(c.id)
	d.mu.Unlock()
	if !created {
		return d.awaitDuplicate(ctx, entry)
	}
	return d.serveClaimed(ctx, c, params)
}

func (d *Dispatcher) awaitDuplicate(ctx context.Context, entry *cachedAnswer) Answer {
	a, err := entry.wait(ctx)
	if err != nil {
		return Answer{outcome: OutcomeUnknown, reason: err.Error()}
	}
	return a
}

// serveClaimed claims the id and runs the request if this is its first delivery.
func (d *Dispatcher) serveClaimed(ctx context.Context, c Call, params SchedulingParams) Answer {
	holder := d.holder + "/" + uuid.NewString()
	first, firstHolder, err := d.claimer.Claim(ctx, c.id, holder)
	if err != nil {
		a := claimFailed(err)
		d.abandon(c.id, a)
		return a
	}
	if !first {
		a := d.fetchAnswer(ctx, firstHolder, c.id)
		d.abandon(c.id, a)
		return a
	}
	// The request is not cancelled when its caller disconnects, since a duplicate
	// may ask for the answer.
	a := d.admit(context.WithoutCancel(ctx), c, params)
	d.mu.Lock()
	d.answers.complete(c.id, a, time.Now())
	d.mu.Unlock()
	return a
}

// claimFailed returns the answer to a request whose id could not be claimed. This
// delivery was not run, but an earlier one with the same id may have been.
func claimFailed(err error) Answer {
	return Answer{
		outcome: OutcomeUnknown,
		reason:  fmt.Sprintf("this receipt was not run, and whether an earlier one was cannot be told; the same id can be sent again: %v", err),
	}
}

func (d *Dispatcher) abandon(id string, a Answer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.answers.abandon(id, a)
}

// fetchAnswer fetches the answer from the holder of the id.
func (d *Dispatcher) fetchAnswer(ctx context.Context, holder, id string) Answer {
	a, err := d.fetcher.FetchAnswer(ctx, holder, id)
	if err != nil {
		return Answer{outcome: OutcomeUnknown, reason: fmt.Sprintf("the id was taken before, and its instance does not answer: %v", err)}
	}
	return a
}

// AwaitAnswer returns the answer to a request whose id this instance holds. It waits for
// the answer until ctx is done. It fails with ErrUnknownRequest if the id is not known.
func (d *Dispatcher) AwaitAnswer(ctx context.Context, id string) (Answer, error) {
	d.mu.Lock()
	entry, ok := d.answers.byID[id]
	d.mu.Unlock()
	if !ok {
		return Answer{}, fmt.Errorf("recall %s: %w", id, ErrUnknownRequest)
	}
	return entry.wait(ctx)
}

// wouldMissDeadline reports whether a request is likely to miss its deadline because
// of the queue, and returns the reason.
func (d *Dispatcher) wouldMissDeadline(c Call, params SchedulingParams) (string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	_, total := d.router.Free(now)
	wait := d.queue.EstimateWait(params.class, params.account, params.caller, params.weight, total)
	if now.Add(wait + d.queue.ExpectedSlotTime(c.work)).Before(c.deadline) {
		return "", false
	}
	return fmt.Sprintf("the queue is too long for its deadline; try again in %d ms", wait.Milliseconds()), true
}

// admit refuses a request that is likely to miss its deadline, and runs any other.
func (d *Dispatcher) admit(ctx context.Context, c Call, params SchedulingParams) Answer {
	if reason, refuse := d.wouldMissDeadline(c, params); refuse {
		return NotRun(reason)
	}
	return d.runAttempts(ctx, c, params)
}

// runAttempts makes attempts until one is final. If the last attempt did not run, the
// answer of an earlier one that may have run is returned instead.
func (d *Dispatcher) runAttempts(ctx context.Context, c Call, params SchedulingParams) Answer {
	tried := map[string]bool{}
	var earlier *Answer
	d.mu.Lock()
	d.retryBudget.Deposit()
	d.mu.Unlock()
	for attempt := 1; ; attempt++ {
		ticket, decision := d.waitForSlot(ctx, c, params, tried)
		if ticket == nil {
			return OverallAnswer(earlier, queueRefusal(decision))
		}
		a, result := d.attempt(ctx, ticket, c)
		if !d.shouldRetry(a, result, params, attempt) {
			return OverallAnswer(earlier, a)
		}
		if a.outcome != OutcomeNotRun {
			earlier = &a
		}
		tried[ticket.endpoint.Name()] = true
		if !d.backOff(ctx, attempt, c.deadline) {
			return OverallAnswer(earlier, a)
		}
	}
}

// OverallAnswer returns the answer to a request from its attempts. last is the answer
// of the last attempt; earlier is that of the latest previous attempt that may have
// run, or nil. If the last attempt did not run, earlier takes precedence.
func OverallAnswer(earlier *Answer, last Answer) Answer {
	if earlier != nil && last.outcome == OutcomeNotRun {
		return *earlier
	}
	return last
}

func queueRefusal(decision QueueResult) Answer {
	switch decision {
	case Expired:
		return NotRun("it waited in the queue until it could not end before its deadline")
	case Evicted:
		return NotRun("the queue is full")
	default:
		return NotRun("the caller went away")
	}
}

// waitForSlot queues a ticket until it gets a slot. If it gets none, it returns nil and
// the reason.
func (d *Dispatcher) waitForSlot(ctx context.Context, c Call, params SchedulingParams, tried map[string]bool) (*Ticket, QueueResult) {
	decided := make(chan QueueResult, 1)
	ticket := NewTicket(c.id, params.class, params.account, params.caller, c.work, c.deadline, params.weight, params.limit, func(decision QueueResult) { decided <- decision })
	ticket.triedEndpoints = tried
	d.mu.Lock()
	if !d.queue.Push(ticket) {
		d.mu.Unlock()
		return nil, Evicted
	}
	d.dispatch(time.Now())
	d.mu.Unlock()
	select {
	case decision := <-decided:
		if decision != Granted {
			return nil, decision
		}
		return ticket, Granted
	case <-ctx.Done():
	}
	d.mu.Lock()
	removed := d.queue.Remove(ticket)
	d.mu.Unlock()
	if removed {
		return nil, callerGone
	}
	if decision := <-decided; decision != Granted {
		return nil, decision
	}
	return ticket, Granted
}

// callerGone is the decision on a ticket whose caller disconnected.
const callerGone QueueResult = -1

// attempt sends a request to the endpoint of its ticket and releases the slot.
func (d *Dispatcher) attempt(ctx context.Context, ticket *Ticket, c Call) (Answer, AttemptResult) {
	start := time.Now()
	e := ticket.endpoint
	a, result := RoundTrip(ctx, d.client, e.Address(), c, d.maxBody)
	now := time.Now()
	d.observer.BytesTransferred(e.Region(), len(c.body)+len(a.body))
	failure, success := EndpointSignal(result, a.outcome, ctx.Err() != nil)
	d.mu.Lock()
	switch {
	case result.Leaving():
		d.router.MarkLeaving(e.Name(), now)
	case result.Refused():
		d.router.MarkFull(e.Name(), now)
	}
	change := d.router.Release(e.Name(), ticket.caller, failure, success, now.Sub(start), now)
	d.queue.Finish(ticket, a.outcome != OutcomeNotRun, now)
	d.dispatch(now)
	d.mu.Unlock()
	if change != hfendpoint.Unchanged {
		d.observer.BreakerChanged(e.Name(), change)
	}
	if result.Leaving() {
		d.observer.EndpointLeaving(e.Name())
	}
	return a, result
}

func (d *Dispatcher) shouldRetry(a Answer, result AttemptResult, params SchedulingParams, attempts int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.retryBudget.Allow(a.outcome, params.idempotent, attempts, result.Refused())
}

// backOff waits before the next attempt. It returns false if the deadline would pass
// during the wait or ctx is done.
func (d *Dispatcher) backOff(ctx context.Context, attempt int, deadline time.Time) bool {
	d.mu.Lock()
	ms := BackoffMs(attempt, d.random)
	d.mu.Unlock()
	delay := time.Duration(ms) * time.Millisecond
	if time.Now().Add(delay).After(deadline) {
		return false
	}
	return hfloop.Sleep(ctx, delay)
}
