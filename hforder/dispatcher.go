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
	responseTimeout  = 300 * time.Millisecond // an unanswered order is sent again after it; workers usually answer within 20 ms
	pollTimeout      = 900 * time.Millisecond // beyond the time for which the worker may delay its answer
	pollWait         = 1500 * time.Millisecond
	silentPollPause  = 250 * time.Millisecond // between polls of a silent worker
	ackTimeout       = 2 * time.Second        // wait for the record of an end before the next poll
	leaseMarginMS    = 50                     // milliseconds subtracted from a lease to allow for rounding

	// orderTimeout bounds the retries of one order. The scheduler settles an order that is
	// unanswered by then with a stop. A gang waits only 3 s for its members.
	orderTimeout = time.Second

	// minClockRate is the rate in percent, relative to the local clock, at which a worker's
	// clock is assumed to run when its current time is extrapolated from the last report: it
	// may be up to 2% slow.
	minClockRate = 98
)

// order is a queued order. Exactly one field is set.
type order struct {
	start *hfplan.StartCmd
	stop  *hfplan.StopCmd
	pace  *hfplan.PaceCmd
}

// dispatcher sends orders to one worker and polls its reports.
type dispatcher struct {
	leader *Leader
	wake   chan struct{} // signals queued orders
	acked  chan struct{} // signals that ends were stored
	cancel context.CancelFunc

	mu            sync.Mutex
	worker        *hfwork.Worker
	queue         []order
	workerClock   int64     // worker's time in milliseconds in its last report
	polledAt      time.Time // when the poll that returned workerClock was sent
	incarnation   int64     // start time of the worker that sent the last report, which identifies it
	lastReported  int64     // sequence number of the last end that the worker reported
	lastStored    int64     // sequence number of the last end whose record is stored
	granted       Grant     // latest lease granted to this incarnation; its clock is not set
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
		d := &dispatcher{leader: l, wake: make(chan struct{}, sendersPerWorker), acked: make(chan struct{}, 1), cancel: cancel, worker: w}
		l.dispatchers[id] = d
		l.group.Go(func() error {
			d.pollLoop(workerCtx)
			return nil
		})
		for range sendersPerWorker {
			l.group.Go(func() error {
				d.sendOrders(workerCtx)
				return nil
			})
		}
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
		delete(l.dispatchers, id)
	}
}

// enqueue adds an order to the queue. Stops and paces go before starts because they free
// resources.
func (d *dispatcher) enqueue(o order) {
	if d == nil {
		return // the worker was dropped, and nothing runs on it
	}
	d.mu.Lock()
	if o.start == nil {
		d.queue = append([]order{o}, d.queue...)
	} else {
		d.queue = append(d.queue, o)
	}
	d.mu.Unlock()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

func (d *dispatcher) dequeue() (order, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.queue) == 0 {
		return order{}, false
	}
	o := d.queue[0]
	d.queue = d.queue[1:]
	return o, true
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

// leaseEnd returns the end of a full lease that begins now, in milliseconds on the worker's
// clock, or 0 while that clock is not known. The worker's time is taken as if it had been
// read when the poll was sent and had run at minClockRate since, so that the lease is never
// longer than a full one.
func (d *dispatcher) leaseEnd(now time.Time) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.polledAt.IsZero() {
		return 0
	}
	return d.workerClock + now.Sub(d.polledAt).Milliseconds()*minClockRate/100 + d.leader.timing.Lease().Milliseconds() - leaseMarginMS
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

// sendOrders sends queued orders one at a time until ctx ends or the leadership is lost.
func (d *dispatcher) sendOrders(ctx context.Context) {
	for {
		o, ok := d.dequeue()
		if !ok {
			select {
			case <-ctx.Done():
				return
			case <-d.wake:
			}
			continue
		}
		if !d.leader.isLeading() {
			d.leader.fail(ErrNotLeading)
			return
		}
		switch {
		case o.stop != nil:
			d.sendStop(ctx, *o.stop)
		case o.pace != nil:
			d.sendPace(ctx, *o.pace)
		default:
			d.sendStart(ctx, *o.start)
		}
	}
}

// sendWithRetry sends an order until it is answered or orderTimeout has passed. It does not
// retry once the worker is silent or the leadership is lost. Orders are idempotent, so
// sending one again does no harm. But the run of an unanswered start may have begun and
// ended before the retry: a refusal of a retry therefore leaves the effect unknown, and is
// returned as ErrUnanswered.
func (d *dispatcher) sendWithRetry(ctx context.Context, send func(context.Context) error) error {
	lastRetry := time.Now().Add(orderTimeout - responseTimeout)
	for tries := 1; ; tries++ {
		sent := time.Now()
		call, cancel := context.WithTimeout(ctx, responseTimeout)
		err := send(call)
		cancel()
		switch {
		case err == nil:
			return nil
		case !errors.Is(err, ErrUnanswered) && (tries == 1 || errors.Is(err, ErrFenced)):
			return fmt.Errorf("order: %w", err)
		case !errors.Is(err, ErrUnanswered):
			return fmt.Errorf("order, sent %d times: %w: %s", tries, ErrUnanswered, err)
		case time.Now().After(lastRetry), !hfloop.Sleep(ctx, responseTimeout-time.Since(sent)), d.isSilent(), !d.leader.isLeading():
			return fmt.Errorf("order, sent %d times: %w", tries, err)
		}
	}
}

func (d *dispatcher) sendStart(ctx context.Context, c hfplan.StartCmd) {
	worker := d.currentWorker()
	if d.isSilent() {
		// A start sent to a silent worker would postpone the time from which nothing can run
		// there, as that time counts from the last order sent.
		d.leader.Send(hfplan.Started(c, hfplan.OutcomeRefused))
		return
	}
	sent := time.Now()
	err := d.sendWithRetry(ctx, func(ctx context.Context) error {
		leaseEnd := d.leaseEnd(time.Now())
		d.recordGrant("start", leaseEnd)
		return d.leader.minions.Start(ctx, worker, Start{
			task: c.Task(), run: c.Number(), command: c.Command(), checkpoint: c.Checkpoint(), ticket: c.Ticket(),
			leaseEnd: leaseEnd, epoch: d.leader.tenure.Epoch(),
		})
	})
	d.leader.observer.OrderFinished("start", c.Task(), c.Number(), worker.GetId(), sent, err)
	d.leader.Send(hfplan.Started(c, d.outcome(err)))
}

func (d *dispatcher) sendStop(ctx context.Context, c hfplan.StopCmd) {
	sent, worker := time.Now(), d.currentWorker()
	err := d.sendWithRetry(ctx, func(ctx context.Context) error {
		return d.leader.minions.Stop(ctx, worker, c.Task(), c.Number(), d.leader.tenure.Epoch())
	})
	d.leader.observer.OrderFinished("stop", c.Task(), c.Number(), worker.GetId(), sent, err)
	d.leader.Send(hfplan.Stopped(c, d.outcome(err)))
}

func (d *dispatcher) sendPace(ctx context.Context, c hfplan.PaceCmd) {
	sent, worker := time.Now(), d.currentWorker()
	err := d.sendWithRetry(ctx, func(ctx context.Context) error {
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
	case errors.Is(err, ErrRefused), errors.Is(err, ErrWorkerRestarted):
		return hfplan.OutcomeRefused
	}
	return hfplan.OutcomeUnknown
}

// pollLoop polls the worker until ctx ends. Polls of a silent worker do not renew its
// leases, so that they expire at a known time.
func (d *dispatcher) pollLoop(ctx context.Context) {
	answered, silenceReported := false, false
	for ctx.Err() == nil {
		wait, leaseEnd := time.Duration(0), int64(0)
		if answered {
			wait, leaseEnd = pollWait, d.leaseEnd(time.Now())
			if d.pollsFrequently() {
				wait = hfplan.PollCmd{}.Interval()
			}
		}
		if leaseEnd != 0 {
			d.recordGrant("poll", leaseEnd)
		}
		sent := time.Now()
		report, err := d.poll(ctx, wait, leaseEnd)
		if err != nil {
			if errors.Is(err, ErrFenced) {
				d.leader.fail(ErrFenced)
				return
			}
			d.setSilent(true)
			if ctx.Err() == nil && !silenceReported {
				silenceReported = true
				d.leader.observer.OrderFinished("look", hfwork.TaskID{}, 0, d.currentWorker().GetId(), sent, err)
				d.leader.observer.LeaseObserved(d.currentWorker().GetId(), d.latestGrant(time.Now()), true)
			}
			if ctx.Err() == nil {
				d.leader.Send(hfplan.WorkerSilent(d.currentWorker().GetId()))
			}
			answered = false
			hfloop.Sleep(ctx, silentPollPause)
			continue
		}
		d.setSilent(false)
		d.recordReport(report, sent)
		if silenceReported {
			d.leader.observer.LeaseObserved(d.currentWorker().GetId(), d.latestGrant(time.Now()), false)
		}
		answered, silenceReported = true, false
		d.leader.Send(hfplan.Report(d.currentWorker().GetId(), sent, report))
		d.awaitEndsStored(ctx)
		if rejected := report.Rejected(); len(rejected) > 0 {
			d.leader.observer.ReportRejected(d.currentWorker().GetId(), rejected)
			// An end that cannot be acknowledged makes the worker answer every poll at once.
			hfloop.Sleep(ctx, silentPollPause)
		}
	}
}

func (d *dispatcher) poll(ctx context.Context, wait time.Duration, leaseEnd int64) (hfwork.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+pollTimeout)
	defer cancel()
	d.mu.Lock()
	worker, lastStored, incarnation := d.worker, d.lastStored, d.incarnation
	d.mu.Unlock()
	report, err := d.leader.minions.Poll(ctx, worker, NewPollRequest(leaseEnd, lastStored, d.leader.tenure.Epoch(), wait))
	if err == nil && incarnation != 0 && report.Incarnation() == 0 {
		// It would be taken as the report of a worker that was restarted and has lost its runs.
		return hfwork.Report{}, fmt.Errorf("%w: the report does not tell the worker's incarnation", ErrUnanswered)
	}
	return report, err
}

func (d *dispatcher) recordReport(r hfwork.Report, sent time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r.Incarnation() != d.incarnation {
		d.incarnation, d.lastReported, d.lastStored = r.Incarnation(), 0, 0
		d.granted = Grant{}
	}
	d.workerClock, d.polledAt = r.Clock(), sent
	for _, e := range r.Ended() {
		d.lastReported = max(d.lastReported, e.Sequence())
	}
}

// awaitEndsStored waits until all reported ends are stored, because the worker answers a
// poll at once while it has ends that are not acknowledged. It gives up after ackTimeout.
func (d *dispatcher) awaitEndsStored(ctx context.Context) {
	timeout := time.NewTimer(ackTimeout)
	defer timeout.Stop()
	for {
		d.mu.Lock()
		pending := d.lastReported > d.lastStored
		d.mu.Unlock()
		if !pending {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-timeout.C:
			return
		case <-d.acked:
		}
	}
}
