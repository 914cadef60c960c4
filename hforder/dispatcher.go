package hforder

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/heatherfront/heatherfront/hfloop"
	"github.com/heatherfront/heatherfront/hfplan"
	"github.com/heatherfront/heatherfront/hfwork"
)

const (
	sendersPerWorker = 2                      // orders that are sent to one worker at the same time
	responseTimeout  = 300 * time.Millisecond // least time after which an unanswered order is sent again; workers usually answer within 20 ms
	leaseMarginMS    = 50                     // milliseconds subtracted from a lease to allow for rounding

	// maxResponseTimeout is the longest time after which an unanswered order is sent again. One try
	// more then fits into orderTimeout.
	maxResponseTimeout = orderTimeout - responseTimeout

	// orderTimeout bounds the retries of one order. The scheduler settles an order that is
	// unanswered by then with a stop.
	orderTimeout = time.Second

	// minClockRate is the rate in percent, relative to the local clock, at which a worker's
	// clock is assumed to run when its current time is extrapolated from the last report: it
	// may be up to 2% slow.
	minClockRate = 98
)

// dispatcher sends orders to one worker and polls its reports.
type dispatcher struct {
	leader  *Leader
	deliver func(o order) // sends an order, in a goroutine of its own
	acked   chan struct{} // signals that ends were stored
	cancel  context.CancelFunc

	mu            sync.Mutex
	sending       int  // orders under way, at most sendersPerWorker
	unanswered    bool // the last try of an order was not answered
	worker        *hfwork.Worker
	queue         orderQueue
	workerClock   int64     // worker's time in milliseconds in its last report
	reportedAt    time.Time // when the last report was received; the worker's clock was read before
	reportedFrom  string    // address at which the last poll was answered, by this leader or an earlier one; starts are sent only there
	incarnation   int64     // start time of the worker that sent the last report, which identifies it
	lastReported  int64     // sequence number of the last end that the worker reported
	lastStored    int64     // sequence number of the last end whose record is stored
	acknowledged  int64     // sequence number of the last end that an answered poll acknowledged
	granted       Grant     // latest lease granted to this incarnation; its clock is not set
	closed        int       // answers of this incarnation that closed their connection
	keptOpen      bool      // an answer of this incarnation has kept its connection open
	silent        bool      // the last poll got no answer
	frequentPolls bool      // poll with the shorter wait of hfplan.PollCmd
}

// startDispatchers starts a dispatcher for each new worker and updates the worker record of
// the others.
func (l *Leader) startDispatchers(ctx context.Context, workers map[string]*hfwork.Worker) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, w := range workers {
		if d := l.dispatchers[id]; d != nil {
			d.mu.Lock()
			d.worker = w
			d.mu.Unlock()
			continue
		}
		workerCtx, cancel := context.WithCancel(ctx)
		d := &dispatcher{leader: l, acked: make(chan struct{}, 1), cancel: cancel, worker: w, reportedFrom: w.GetAnswered()}
		d.deliver = func(o order) { l.deliver(workerCtx, d, o) }
		l.dispatchers[id] = d
		l.group.Go(func() error {
			d.pollLoop(workerCtx)
			return nil
		})
	}
}

// deliver sends an order in a goroutine of its own, and then the next one.
func (l *Leader) deliver(ctx context.Context, d *dispatcher, o order) {
	l.group.Go(func() error {
		d.sendOrder(ctx, o)
		l.sendQueued()
		return nil
	})
}

// sendQueued sends as many queued orders as may be sent now.
func (l *Leader) sendQueued() {
	for {
		d, o, ok := l.outbox.next(time.Now())
		if !ok {
			return
		}
		d.deliver(o)
	}
}

func (l *Leader) dispatcher(id string) *dispatcher {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dispatchers[id]
}

func (l *Leader) stopDispatcher(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if d := l.dispatchers[id]; d != nil {
		d.cancel()
		l.outbox.forget(d)
		delete(l.dispatchers, id)
	}
}

// enqueue adds an order to the queue.
func (d *dispatcher) enqueue(o order) {
	if d == nil {
		return // the worker was dropped, and nothing runs on it
	}
	o.sequence = d.leader.outbox.nextSequence()
	d.mu.Lock()
	d.queue.add(o, time.Now())
	d.mu.Unlock()
	d.leader.outbox.enqueued(d) // not before: an empty queue would be passed over from then on
	d.leader.sendQueued()
}

// peek returns the class and the sequence number of the order that dequeue would return. sendable
// reports whether there is one, and empty whether none is queued.
func (d *dispatcher) peek(class func(*order) orderClass) (c orderClass, sequence uint64, sendable, empty bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.queue.orders) == 0 {
		return 0, 0, false, true
	}
	if d.sending >= sendersPerWorker {
		return 0, 0, false, false
	}
	i, c := d.queue.first(class)
	if i < 0 {
		return 0, 0, false, false
	}
	if d.unanswered {
		c += numClasses
	}
	return c, d.queue.orders[i].sequence, true, false
}

// dequeue removes and returns the first order that may be sent to the worker now.
func (d *dispatcher) dequeue(class func(*order) orderClass) (order, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.sending >= sendersPerWorker {
		return order{}, false
	}
	o, ok := d.queue.next(class)
	if ok {
		d.sending++
	}
	return o, ok
}

// finishOrder allows the next order to be sent to the worker.
func (d *dispatcher) finishOrder() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sending--
}

// finishStart allows stops of a run whose start will not be sent again.
func (d *dispatcher) finishStart(c hfplan.StartCmd) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queue.finish(c)
}

// checkStart returns ErrNotSent if a start must not be sent to an address. Starts are not sent to a
// silent worker: they would postpone the time from which nothing can run there, as that time
// counts from when the silence was noticed. Nor are they sent to an address at which the worker
// has not answered: whoever answers at the last one then shows whether a run can be active. Nor are
// they sent to another incarnation than they were decided for, which may have less room or other
// labels.
func (d *dispatcher) checkStart(c hfplan.StartCmd, address string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case address != d.reportedFrom:
		return fmt.Errorf("%w: the worker has not answered at this address", ErrNotSent)
	case c.Incarnation() != d.incarnation:
		return fmt.Errorf("%w: it is for the incarnation of %d, the worker's is that of %d", ErrNotSent, c.Incarnation(), d.incarnation)
	case d.silent:
		return fmt.Errorf("%w: the worker is silent", ErrNotSent)
	case !d.queue.maySend(c):
		return fmt.Errorf("%w: the run was stopped", ErrNotSent)
	}
	return nil
}

func (d *dispatcher) acknowledge(c hfplan.AckCmd) {
	if d == nil {
		return
	}
	d.mu.Lock()
	if d.incarnation == c.Incarnation() {
		d.lastStored = max(d.lastStored, c.Sequence())
	}
	d.mu.Unlock()
	select {
	case d.acked <- struct{}{}:
	default:
	}
}

// lease is the end of a lease, on the clock of one incarnation of a worker.
type lease struct {
	end         int64 // in milliseconds, 0 while the clock is not known
	incarnation int64 // start time of the worker that the clock belongs to
}

// fullLease returns a full lease that begins now. The worker's time is taken as if it had been
// read when the report was received and had run at minClockRate since, so that the lease is
// never longer than a full one.
func (d *dispatcher) fullLease(now time.Time) lease {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.reportedAt.IsZero() {
		return lease{}
	}
	return lease{end: d.clockAt(now) + d.leader.timing.Lease().Milliseconds() - leaseMarginMS, incarnation: d.incarnation}
}

// clockAt returns a lower bound of the worker's time in milliseconds. d.mu is held, and
// reportedAt is set.
func (d *dispatcher) clockAt(now time.Time) int64 {
	return d.workerClock + now.Sub(d.reportedAt).Milliseconds()*minClockRate/100
}

func (d *dispatcher) currentWorker() *hfwork.Worker {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.worker
}

func (d *dispatcher) isSilent() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.silent
}

func (d *dispatcher) setSilent(silent bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent = silent
}

// sendOrder sends an order that was taken from the queue, unless the leadership has ended or the worker
// was dropped.
func (d *dispatcher) sendOrder(ctx context.Context, o order) {
	defer d.finishOrder()
	place := &windowPlace{outbox: &d.leader.outbox, domain: d.currentWorker().GetDomain(), doubtful: o.doubtful}
	switch {
	case ctx.Err() != nil:
		place.finish(0, ErrNotSent)
	case o.withdrawn != nil:
		d.withdraw(o)
		place.finish(0, ErrNotSent)
	case o.stop != nil:
		d.sendStop(ctx, place, *o.stop)
	case o.pace != nil:
		d.sendPace(ctx, place, *o.pace)
	default:
		d.sendStart(ctx, place, *o.start, o.sendBefore)
		d.finishStart(*o.start)
	}
}

// send makes a call to the worker while the leadership certainly holds; otherwise it ends the
// leadership, unless that is suspended. All orders and polls pass through it. The end of a lease is calculated before the
// tenure is checked: whenever the process is paused, a lease that it sends counts from a time at
// which no later leadership had begun, and has expired when a later leader takes it to have.
func (d *dispatcher) send(ctx context.Context, timeout time.Duration, call func(ctx context.Context, granted lease) error) error {
	granted := d.fullLease(time.Now())
	if err := d.leader.checkLeading(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return call(ctx, granted)
}

// sendWithRetry sends an order until it is answered or orderTimeout has passed. It does not
// retry once the worker is silent, the leadership is lost or the budget of retries is spent; the
// last try then waits for its answer until orderTimeout has passed. Orders are idempotent, so
// sending one again does no harm. But the run of an unanswered start may have begun and
// ended before the retry: a refusal after a try that was sent without an answer therefore leaves the
// effect unknown, and is returned as ErrUnanswered.
func (d *dispatcher) sendWithRetry(ctx context.Context, place *windowPlace, call func(ctx context.Context, granted lease) error) error {
	outbox, sent := &d.leader.outbox, time.Now()
	deadline := sent.Add(orderTimeout)
	effective := false // an unanswered try may have taken effect
	for tries := 1; ; tries++ {
		timeout, retry := outbox.reserveRetry(deadline.Sub(sent))
		var err error
		if retry {
			err = d.send(ctx, timeout, call)
		} else {
			err = d.sendLastTry(ctx, place, timeout, deadline.Sub(sent), call)
		}
		d.recordResult(err)
		if place.finish(time.Since(sent), err) {
			d.leader.sendQueued()
		}
		lost := errors.Is(err, ErrUnanswered) && !errors.Is(err, ErrNotSent)
		if retry && errors.Is(err, ErrUnanswered) && hfloop.Sleep(ctx, timeout-time.Since(sent)) && !d.isSilent() {
			sent, effective = time.Now(), effective || lost
			continue
		}
		if retry {
			outbox.returnRetry()
		}
		switch {
		case err == nil:
			return nil
		case lost:
			return fmt.Errorf("order, try %d: %w", tries, err)
		case !effective || errors.Is(err, ErrFenced) || errors.Is(err, ErrNotLeading):
			return fmt.Errorf("order: %w", err)
		}
		return fmt.Errorf("order, try %d: %w: %s", tries, ErrUnanswered, err)
	}
}

// recordResult records whether the worker answered a try.
func (d *dispatcher) recordResult(err error) {
	unanswered := errors.Is(err, ErrUnanswered)
	if !unanswered && (errors.Is(err, ErrNotSent) || errors.Is(err, ErrNotLeading)) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unanswered = unanswered
}

// sendLastTry sends an order that is not retried, and waits for its answer for the remaining time.
// The order gives up its place in the window after the timeout, as it is then no longer on the way.
func (d *dispatcher) sendLastTry(ctx context.Context, place *windowPlace, timeout, remaining time.Duration, call func(ctx context.Context, granted lease) error) error {
	answered := make(chan struct{})
	defer close(answered)
	if !place.isFree() && timeout < remaining {
		d.leader.group.Go(func() error {
			select {
			case <-answered:
			case <-time.After(timeout):
				if place.finish(timeout, ErrUnanswered) {
					d.leader.sendQueued()
				}
			}
			return nil
		})
	}
	return d.send(ctx, remaining, call)
}

// withdraw answers a stop whose run was never started, and its start.
func (d *dispatcher) withdraw(o order) {
	d.leader.observer.OrderFinished("start", o.withdrawn.Task(), o.withdrawn.Number(), d.currentWorker().GetId(), time.Now(), fmt.Errorf("%w: the run was stopped", ErrNotSent))
	d.leader.Send(hfplan.Stopped(*o.stop, hfplan.OutcomeRefused))
	d.leader.Send(hfplan.Started(*o.withdrawn, hfplan.OutcomeRefused))
}

func (d *dispatcher) sendStart(ctx context.Context, place *windowPlace, c hfplan.StartCmd, sendBefore time.Time) {
	worker, sent := d.currentWorker(), time.Now()
	err := d.sendWithRetry(ctx, place, func(ctx context.Context, granted lease) error {
		if !sent.Before(sendBefore) || !time.Now().Before(sendBefore.Add(orderTimeout)) { // the process may have been paused
			return fmt.Errorf("%w: it was queued for too long", ErrNotSent)
		}
		if err := d.leader.checkSuspensions(c); err != nil {
			return fmt.Errorf("check: %w", err)
		}
		if err := d.checkStart(c, worker.GetAddress()); err != nil {
			return fmt.Errorf("check: %w", err)
		}
		d.recordGrant("start", granted.end)
		return d.leader.minions.Start(ctx, worker, Start{
			task: c.Task(), run: c.Number(), command: c.Command(), checkpoint: c.Checkpoint(), ticket: c.Ticket(),
			leaseEnd: granted.end, incarnation: granted.incarnation, epoch: d.leader.tenure.Epoch(),
		})
	})
	d.leader.observer.OrderFinished("start", c.Task(), c.Number(), worker.GetId(), sent, err)
	d.leader.Send(hfplan.Started(c, d.outcome(err)))
}

func (d *dispatcher) sendStop(ctx context.Context, place *windowPlace, c hfplan.StopCmd) {
	sent, worker := time.Now(), d.currentWorker()
	err := d.sendWithRetry(ctx, place, func(ctx context.Context, _ lease) error {
		return d.leader.minions.Stop(ctx, worker, c.Task(), c.Number(), d.leader.tenure.Epoch())
	})
	d.leader.observer.OrderFinished("stop", c.Task(), c.Number(), worker.GetId(), sent, err)
	d.leader.Send(hfplan.Stopped(c, d.stopOutcome(err, worker.GetAddress())))
}

func (d *dispatcher) sendPace(ctx context.Context, place *windowPlace, c hfplan.PaceCmd) {
	sent, worker := time.Now(), d.currentWorker()
	err := d.sendWithRetry(ctx, place, func(ctx context.Context, _ lease) error {
		return d.leader.minions.Pace(ctx, worker, c.Task(), c.Number(), c.Percent(), d.leader.tenure.Epoch())
	})
	d.leader.observer.OrderFinished("pace", c.Task(), c.Number(), worker.GetId(), sent, err)
	d.leader.Send(hfplan.Paced(c, d.outcome(err)))
}

func (d *dispatcher) setFrequentPolls(c hfplan.PollCmd) {
	if d == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.frequentPolls = c.Frequent()
}

func (d *dispatcher) pollsFrequently() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.frequentPolls
}

// outcome returns the outcome of an order that ended with err. ErrFenced means that there is
// a later leader, and ends this leadership.
func (d *dispatcher) outcome(err error) hfplan.Outcome {
	switch {
	case err == nil:
		return hfplan.OutcomeDone
	case errors.Is(err, ErrFenced):
		d.leader.fail(ErrFenced)
		return hfplan.OutcomeUnknown
	case errors.Is(err, ErrStaleRun):
		return hfplan.OutcomeStale
	case errors.Is(err, ErrRefused), errors.Is(err, ErrWorkerRestarted), errors.Is(err, ErrNotSent):
		return hfplan.OutcomeRefused
	}
	return hfplan.OutcomeUnknown
}

// stopOutcome returns the outcome of a stop that was sent to an address and ended with err. A
// refused stop does not show that the run is not there: an unhealthy worker refuses every order
// and may go on with its runs. Only the answer of another incarnation does.
func (d *dispatcher) stopOutcome(err error, address string) hfplan.Outcome {
	if o := d.outcome(err); o == hfplan.OutcomeDone || d.isReplaced(err, address) {
		return o
	}
	return hfplan.OutcomeUnknown
}

// isReplaced reports whether the result of an order that was sent to an address shows that the
// worker's process has ended: another incarnation answered where this one has answered before, and
// two processes do not share an address. The registered address alone can come from another
// writer.
func (d *dispatcher) isReplaced(err error, address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return errors.Is(err, ErrWorkerRestarted) && address == d.reportedFrom
}
