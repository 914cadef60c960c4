package hforder

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/heatherfront/heatherfront/hfloop"
	"github.com/heatherfront/heatherfront/hfplan"
	"github.com/heatherfront/heatherfront/hfwork"
)

const (
	pollTimeout     = 900 * time.Millisecond // beyond the time for which the worker may delay its answer
	pollWait        = 1500 * time.Millisecond
	silentPollPause = 250 * time.Millisecond // between polls of a silent worker
	ackTimeout      = 2 * time.Second        // wait for the record of an end before the next poll
	drainAckTimeout = 100 * time.Millisecond // likewise on a draining worker, whose next ends may be lost with it
)

// errReplaced reports that another worker has the address at which a worker answered before.
var errReplaced = eris.New("worker was replaced")

// closingAnswers is how many answers of an incarnation must have closed their connection, and none have
// kept it open, until bound polls may open a connection. Such a worker's leases could not be renewed
// otherwise; if it restarts under its id, its next life may receive one such poll.
const closingAnswers = 3

// pollLoop polls the worker until ctx ends or the worker's process has ended. Polls of a silent
// worker do not renew its leases, so that they expire at a known time, and acknowledge no ends.
// Neither does the first poll after its connection was lost, which shows whether the worker was
// restarted.
func (d *dispatcher) pollLoop(ctx context.Context) {
	answered, bound, silenceReported := false, false, false // bound: the last answered poll was a bound one
	for ctx.Err() == nil {
		wait := time.Duration(0)
		if answered {
			wait = pollWait
			if d.pollsFrequently() {
				wait = hfplan.PollCmd{}.Interval()
			}
		}
		sent := time.Now()
		report, err := d.poll(ctx, wait, answered)
		if err != nil {
			if errors.Is(err, ErrFenced) {
				d.leader.fail(ErrFenced)
				return
			}
			if errors.Is(err, ErrNotLeading) {
				return
			}
			if answered && errors.Is(err, ErrDisconnected) {
				// This shows no silence. The next poll opens a connection.
				if answered = false; !bound {
					hfloop.Sleep(ctx, silentPollPause) // the worker closes its connection after each answer
				}
				bound = false
				continue
			}
			d.setSilent(true)
			if errors.Is(err, errReplaced) {
				// The worker stays silent, so that no queued start is sent.
				d.leader.observer.OrderFinished("look", hfwork.TaskID{}, 0, d.currentWorker().GetId(), sent, err)
				d.leader.Send(d.replacedMsg())
				return
			}
			if ctx.Err() == nil && !silenceReported {
				silenceReported = true
				d.leader.observer.OrderFinished("look", hfwork.TaskID{}, 0, d.currentWorker().GetId(), sent, err)
				d.leader.observer.LeaseObserved(d.currentWorker().GetId(), d.latestGrant(time.Now()), true)
			}
			if ctx.Err() == nil {
				d.leader.Send(hfplan.WorkerSilent(d.currentWorker().GetId()))
			}
			answered, bound = false, false
			hfloop.Sleep(ctx, silentPollPause)
			continue
		}
		d.recordReport(report, time.Now())
		if silenceReported {
			d.leader.observer.LeaseObserved(d.currentWorker().GetId(), d.latestGrant(time.Now()), false)
		}
		answered, bound, silenceReported = true, answered, false
		d.leader.Send(hfplan.Report(d.currentWorker().GetId(), sent, report))
		d.awaitEndsStored(ctx)
		if rejected := report.Rejected(); len(rejected) > 0 {
			d.leader.observer.ReportRejected(d.currentWorker().GetId(), rejected)
			// An end that cannot be acknowledged makes the worker answer every poll at once.
			hfloop.Sleep(ctx, silentPollPause)
		}
	}
}

// poll returns the report of the worker, which may delay its answer for wait. It renews the
// leases and acknowledges ends if the worker answered the last poll. Otherwise the worker may
// have been restarted, with another clock and other ends. Such a poll is bound to the incarnation
// that sent the last report. No end is acknowledged twice. While the leadership is suspended, the
// worker is only looked at.
func (d *dispatcher) poll(ctx context.Context, wait time.Duration, answered bool) (hfwork.Report, error) {
	var report hfwork.Report
	err := d.send(ctx, wait+pollTimeout, func(ctx context.Context, granted lease) error {
		d.mu.Lock()
		worker, lastStored, lastReported := d.worker, int64(0), d.lastReported
		reconnects := !d.keptOpen && d.closed >= closingAnswers
		if answered && d.lastStored > d.acknowledged {
			lastStored = d.lastStored
		}
		d.mu.Unlock()
		if answered {
			d.recordGrant("poll", granted.end)
		} else {
			granted.end = 0
		}
		var err error
		request := NewPollRequest(granted.end, lastStored, d.leader.tenure.Epoch(), wait).WithLastReported(lastReported).WithIncarnation(granted.incarnation).WithReconnect(reconnects)
		report, err = d.request(ctx, worker, request)
		if err != nil {
			return err
		}
		return nil
	})
	if errors.Is(err, errSuspended) {
		report, err = d.look(ctx, min(wait, lookWait))
	}
	if err != nil {
		return report, fmt.Errorf("poll: %w", err)
	}
	return report, nil
}

// replacedMsg returns the message that the worker's process has ended.
func (d *dispatcher) replacedMsg() hfplan.WorkerReplacedMsg {
	d.mu.Lock()
	defer d.mu.Unlock()
	return hfplan.WorkerReplaced(d.worker.GetId(), d.incarnation)
}

// recordAnswer records that a poll, which acknowledged the ends up to a sequence number, was
// answered at an address.
func (d *dispatcher) recordAnswer(address string, acknowledged int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reportedFrom, d.acknowledged = address, max(d.acknowledged, acknowledged)
}

// recordReport records a report, which ends a silence. Both happen together: no start may carry a
// lease end on the clock of an earlier incarnation.
func (d *dispatcher) recordReport(r hfwork.Report, received time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r.Incarnation() != d.incarnation {
		d.incarnation, d.lastReported, d.lastStored, d.acknowledged = r.Incarnation(), 0, 0, 0
		d.granted, d.closed, d.keptOpen = Grant{}, 0, false
	}
	if r.ConnectionClosed() {
		d.closed++
	} else {
		d.keptOpen = true
	}
	d.workerClock, d.reportedAt, d.silent = r.Clock(), received, false
	for _, e := range r.Ended() {
		d.lastReported = max(d.lastReported, e.Sequence())
	}
}

// awaitEndsStored waits until all reported ends are stored, because the worker answers a
// poll at once while it has ends that are not acknowledged. It gives up after ackTimeout, or
// drainAckTimeout on a draining worker.
func (d *dispatcher) awaitEndsStored(ctx context.Context) {
	wait := ackTimeout
	if d.leader.unstored.Load() {
		wait = unstoredAckTimeout
	}
	if d.currentWorker().GetDraining() {
		wait = drainAckTimeout
	}
	timeout := time.NewTimer(wait)
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
