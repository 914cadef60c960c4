package hfentry

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/heatherfront/heatherfront/hfevent"
	"github.com/heatherfront/heatherfront/hflease"
	"github.com/heatherfront/heatherfront/hfloop"
	"github.com/heatherfront/heatherfront/hforder"
	"github.com/heatherfront/heatherfront/hfpeer"
	"github.com/heatherfront/heatherfront/hfstore"
	"github.com/heatherfront/heatherfront/hfwire"
	"github.com/heatherfront/heatherfront/hfwork"
)

const (
	// recheckTimeout is how long a resumed leader may take to read what was written meanwhile.
	recheckTimeout = 5 * time.Second
	// eventsTimeout bounds a read of events that have happened, to which the store answers at once.
	eventsTimeout = 400 * time.Millisecond
	// headStart is how long other instances leave the leadership to a suspended leader after an outage of
	// the store that they have seen themselves.
	headStart       = 700 * time.Millisecond
	headStartPause  = 100 * time.Millisecond // between two questions to that leader
	suspendedWithin = 3 * time.Second        // after the end of an outage, a suspended leader gets a head start
	queryTimeout    = 150 * time.Millisecond // bounds one question to it
)

// suspendedQuery is the key of a hint that asks an instance whether its leadership is suspended. It is not
// a key of the store. The answer is a hint with the same key if it is.
const suspendedQuery = "suspended?"

// leadership is one leadership of this instance, which outlasts outages of the store. It implements
// hflease.Resumer.
type leadership struct {
	node   *Node
	tenure *hflease.Tenure
	// writer and leader are set before the tenure may be suspended.
	writer *fencedWriter
	leader *hforder.Leader
	// The rest is used only by the methods of hflease.Resumer.
	claim     *leadClaim // last write of the lead key whose result is not known, nil if there is none
	number    uint64     // of the last suspension
	suspended time.Time  // when it began
	regained  chan uint64
}

// leadClaim is a value of the lead key with its lease.
type leadClaim struct {
	lease string
	value []byte
}

func newLeadership(n *Node, t *hflease.Tenure) *leadership {
	return &leadership{node: n, tenure: t, regained: make(chan uint64, 1)}
}

// begin lets the leadership outlast outages of the store from now on.
func (l *leadership) begin(w *fencedWriter, leader *hforder.Leader) {
	l.writer, l.leader = w, leader
	l.tenure.AllowSuspension()
}

// Suspended implements hflease.Resumer.
func (l *leadership) Suspended() {
	l.number, l.suspended = l.leader.Suspend(), hflease.Now()
	metrics.GetOrRegisterCounter("leader.suspended", l.node.registry).Inc(1)
	l.node.log.Event(hfevent.LeaderSuspended, zap.Int64("epoch", l.tenure.Epoch()))
}

// Resumed implements hflease.Resumer.
func (l *leadership) Resumed() {
	metrics.GetOrRegisterCounter("leader.resumed", l.node.registry).Inc(1)
	l.node.log.Event(hfevent.LeaderResumed, zap.Int64("epoch", l.tenure.Epoch()), zap.Duration("suspended", hflease.Now().Sub(l.suspended)))
	select {
	case <-l.regained:
	default:
	}
	l.regained <- l.number
}

// Reacquire implements hflease.Resumer. It writes the lead key in a batch of the fenced writer. That no
// other leadership has written its term since the last batch shows that none has acted: each one writes it
// before its scheduler begins.
func (l *leadership) Reacquire(ctx context.Context) (hflease.Reacquired, error) {
	if l.node.stopping.Load() {
		return hflease.Reacquired{}, fmt.Errorf("planned stop: %w", hflease.ErrSuperseded)
	}
	sent := hflease.Now()
	if l.claim != nil {
		if r, effective, err := l.resolveClaim(ctx, sent); effective || err != nil {
			return r, err
		}
	}
	if l.claim == nil {
		lease, err := l.node.store.Grant(ctx, l.node.leaseTTL())
		if err != nil {
			return hflease.Reacquired{}, fmt.Errorf("grant lease: %w", err)
		}
		value, err := l.node.leadValue(lease)
		if err != nil {
			return hflease.Reacquired{}, fmt.Errorf("lead value: %w", err)
		}
		l.claim = &leadClaim{lease: lease, value: value}
	}
	batch := (&hfstore.Batch{}).Require(leadKey, 0).Put(leadKey, l.claim.value, l.claim.lease)
	epoch, err := l.writer.writeVersion(ctx, batch)
	if errors.Is(err, hfstore.ErrConflict) {
		_ = l.node.store.Revoke(ctx, l.claim.lease) // on failure the lease expires after its TTL
		return hflease.Reacquired{}, fmt.Errorf("write lead key: %w: %w", hflease.ErrSuperseded, err)
	}
	if err != nil {
		return hflease.Reacquired{}, fmt.Errorf("write lead key: %w", err)
	}
	return l.claimed(epoch, sent), nil
}

// resolveClaim finds out whether an earlier write of the lead key took effect. Otherwise it may still do so.
func (l *leadership) resolveClaim(ctx context.Context, sent time.Time) (r hflease.Reacquired, effective bool, err error) {
	err = l.node.store.Renew(ctx, l.claim.lease)
	if errors.Is(err, hfstore.ErrLeaseLost) {
		l.claim = nil // the store writes nothing under a lease that has ended
		return r, false, nil
	}
	if err != nil {
		return r, false, fmt.Errorf("renew lease: %w", err)
	}
	item, err := l.node.store.Get(ctx, leadKey)
	switch {
	case errors.Is(err, hfstore.ErrNotFound):
		return r, false, nil
	case err != nil:
		return r, false, fmt.Errorf("read lead key: %w", err)
	case !bytes.Equal(item.Value(), l.claim.value):
		return r, false, fmt.Errorf("lead key of another instance: %w", hflease.ErrSuperseded)
	}
	return l.claimed(item.Version(), sent), true, nil
}

// claimed returns the lease of the claim, which took effect at a store revision.
func (l *leadership) claimed(epoch int64, sent time.Time) hflease.Reacquired {
	r := hflease.NewReacquired(l.claim.lease, epoch, sent)
	l.claim = nil
	return r
}

// leadValue returns a new value of the lead key.
func (n *Node) leadValue(lease string) ([]byte, error) {
	value, err := hfwire.Encode(&hfwork.Lead{Instance: n.name, Nonce: uuid.NewString(), Address: n.peerAddress, Lease: lease})
	if err != nil {
		return nil, fmt.Errorf("encode: %w", err)
	}
	return value, nil
}

// followResumptions lets the scheduler start tasks again each time after the leadership was resumed and it
// was told of all that was written meanwhile. It returns when ctx ends, or if that cannot be read.
func (l *leadership) followResumptions(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case number := <-l.regained:
			began := time.Now()
			if err := l.recheck(ctx); err == nil {
				l.leader.Resume(number)
				l.node.log.Event(hfevent.LeaderCaughtUp, zap.Int64("epoch", l.tenure.Epoch()), zap.Duration("took", time.Since(began)))
			} else if !l.leader.Suspended() {
				l.node.log.Event(hfevent.LeaderLost, zap.Int64("epoch", l.tenure.Epoch()), zap.String("error", err.Error()))
				return
			}
		}
	}
}

// recheck reads what was written while the leadership was suspended, and passes it to the scheduler:
// cancellations, the configuration, and the workers' entries.
func (l *leadership) recheck(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, recheckTimeout)
	defer cancel()
	for {
		revision, err := l.writer.writeVersion(ctx, (&hfstore.Batch{}).Require(leadKey, l.tenure.Epoch()))
		if err == nil {
			err = l.node.readAgain(ctx, &l.node.policyWatch, &l.node.workerWatch)
		}
		if err == nil {
			return l.node.readRecords(ctx, revision)
		}
		if errors.Is(err, hfstore.ErrConflict) || l.leader.Suspended() || !hfloop.Sleep(ctx, retryPause) {
			return fmt.Errorf("recheck: %w", err)
		}
	}
}

// readAgain lists prefixes beside their watches, and applies what the mirror lacks. Removals are left to
// the watches.
func (n *Node) readAgain(ctx context.Context, watches ...*prefixWatch) error {
	for _, w := range watches {
		sent := hflease.Now()
		call, cancel := context.WithTimeout(ctx, storeTimeout)
		items, _, err := n.store.List(call, w.prefix)
		cancel()
		n.health.Record(err, time.Now())
		if err != nil {
			return fmt.Errorf("list %s: %w", w.prefix, err)
		}
		receivedAt := hflease.Now()
		n.notify(hfloop.With(n.mirror, func(m *Mirror) []change { return m.applyUnwatched(receivedAt, m.withoutKnown(items)...) }))
		n.confirm(w, sent, confirmedByList)
	}
	return nil
}

// withoutKnown returns the items other than the workers' entries that the mirror holds.
func (m *Mirror) withoutKnown(items []hfstore.Item) []hfstore.Item {
	var list []hfstore.Item
	for _, i := range items {
		id, isWorker := strings.CutPrefix(i.Key(), m.formats.WorkerPrefix())
		if last, known := m.lastWrites[id]; !isWorker || !known || i.Version() > last.version {
			list = append(list, i)
		}
	}
	return list
}

// readRecords passes all our records up to a store revision to the scheduler. It reads their events beside
// the watch, which may wait for an answer that was lost in the outage, and else waits for that.
func (n *Node) readRecords(ctx context.Context, revision int64) error {
	for after := n.recordWatch.notifiedRevision.Load(); after < revision; {
		call, cancel := context.WithTimeout(ctx, eventsTimeout)
		items, next, err := n.store.Watch(call, recordPrefix, after)
		cancel()
		unreadable := slices.ContainsFunc(items, func(i hfstore.Item) bool { return i.Err() != nil })
		if err != nil || unreadable || next <= after {
			return n.awaitNotified(ctx, revision)
		}
		// The watch alone tells who leads, as it brings these events once more.
		items = slices.DeleteFunc(items, func(i hfstore.Item) bool { return i.Key() == leadKey })
		receivedAt := hflease.Now()
		n.notify(hfloop.With(n.mirror, func(m *Mirror) []change { return m.applyUnwatched(receivedAt, items...) }))
		after = next
	}
	return nil
}

// awaitNotified waits until the scheduler was told of all our records up to a store revision.
func (n *Node) awaitNotified(ctx context.Context, revision int64) error {
	for n.recordWatch.notifiedRevision.Load() < revision {
		if !hfloop.Sleep(ctx, catchUpPause) {
			return fmt.Errorf("await records: %w", ctx.Err())
		}
	}
	return nil
}

// grantHeadStart waits for the last leader to resume its leadership after an outage of the store that
// this instance has seen too. A leader that is cut off alone gets no time, nor does one that has died.
func (n *Node) grantHeadStart(ctx context.Context) {
	if time.Since(n.health.UpSince()) > suspendedWithin {
		return
	}
	last := hfloop.With(n.mirror, func(m *Mirror) *hfwork.Lead { return m.lastLead })
	if last.GetAddress() == "" || last.GetInstance() == n.name {
		return
	}
	for end := time.Now().Add(headStart); time.Now().Before(end) && n.eligible(); {
		if !n.isSuspended(ctx, last) || !hfloop.Sleep(ctx, headStartPause) {
			return
		}
	}
}

// isSuspended asks an instance whether its leadership is suspended.
func (n *Node) isSuspended(ctx context.Context, lead *hfwork.Lead) bool {
	call, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	answer, err := n.callHint(call, hfpeer.NewPeer(lead.GetInstance(), lead.GetAddress()), &hfwire.Hint{Key: suspendedQuery})
	return err == nil && answer.GetKey() == suspendedQuery
}
