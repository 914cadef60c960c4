package hfentry

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/heatherfront/heatherfront/hfevent"
	"github.com/heatherfront/heatherfront/hflease"
	"github.com/heatherfront/heatherfront/hfloop"
	"github.com/heatherfront/heatherfront/hfstore"
)

const (
	retryPause = 150 * time.Millisecond // after a store call that failed

	// Every store call counts against a budget, so a watch pauses before its next call to
	// gather more events.
	standbyRecordPause = 200 * time.Millisecond // for our records, while this instance is not the leader
	leaderRecordPause  = 10 * time.Millisecond  // for our records, on the leader and while it waits for them to take over
	policyPause        = 20 * time.Millisecond

	// Workers rewrite their entries all the time. Besides the leader, some instances follow
	// them, so that they know which workers left as planned when they take over.
	leaderWorkerPause   = 600 * time.Millisecond
	standbyWorkerPause  = 1200 * time.Millisecond
	followCheckInterval = 500 * time.Millisecond // between two checks whether an instance has to follow them

	// relistSpread is the time for which the store is to be busy with one instance's list.
	relistSpread = 4 * time.Millisecond
)

// The store returns about 500 events or 1 MB at most. More events are likely to be waiting
// after an answer of at least this size.
const (
	backlogEvents = 400
	backlogBytes  = 1 << 19
)

// isBacklog reports whether an answer of a watch may be followed by further events that had
// been written before the call.
func isBacklog(items []hfstore.Item) bool {
	size := 0
	for _, i := range items {
		size += len(i.Value())
	}
	return len(items) >= backlogEvents || size >= backlogBytes
}

// prefixWatch is the state of the watch that keeps one key prefix of the mirror current.
type prefixWatch struct {
	prefix   string
	pause    func() time.Duration
	needed   func() bool // whether this instance needs the prefix at the moment; nil if it always does
	synced   atomic.Bool // the prefix was listed, and the watch continues from there
	revision int64       // the watch continues from here; used only by its own goroutine
	// completeUntil is a time until which all events are applied, on the clock of hflease.Now:
	// when the last call was sent whose answer left none out. Used only by its own goroutine.
	completeUntil time.Time
	// confirmedAt is when the last call was sent whose answer left no event out, in nanoseconds of the
	// clock of hflease.Now.
	confirmedAt atomic.Int64
	// notifiedRevision is a store revision up to which the scheduler was told of all events.
	notifiedRevision atomic.Int64
}

// confirm records that a call that was sent at the given time was answered, and no event left out.
func (w *prefixWatch) confirm(sent time.Time) {
	for {
		last := w.confirmedAt.Load()
		if last >= sent.UnixNano() || w.confirmedAt.CompareAndSwap(last, sent.UnixNano()) {
			return
		}
	}
}

// age returns how long ago the items below the prefix were last confirmed.
func (w *prefixWatch) age(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, w.confirmedAt.Load()))
}

func (n *Node) recordWatchPause() time.Duration {
	if n.claiming.Load() {
		return leaderRecordPause
	}
	return standbyRecordPause
}

func (n *Node) workerWatchPause() time.Duration {
	if n.leader.Load() != nil {
		return leaderWorkerPause
	}
	return standbyWorkerPause
}

// watch keeps one prefix of the mirror current until ctx ends.
func (n *Node) watch(ctx context.Context, w *prefixWatch) {
	for ctx.Err() == nil {
		if w.needed != nil && !w.needed() {
			n.leave(ctx, w)
			continue
		}
		if !w.synced.Load() {
			if !n.list(ctx, w) {
				hfloop.Sleep(ctx, retryPause)
			}
			continue
		}
		sent := hflease.Now()
		items, revision, err := n.store.Watch(ctx, w.prefix, w.revision)
		if ctx.Err() != nil {
			return
		}
		n.health.Record(err, time.Now())
		if errors.Is(err, hfstore.ErrCompacted) {
			w.synced.Store(false)
			hfloop.Sleep(ctx, n.relistDelay())
			continue
		}
		if err != nil {
			hfloop.Sleep(ctx, retryPause)
			continue
		}
		backlog := n.applyEvents(w, items, revision, sent)
		if backlog {
			continue
		}
		n.confirm(w, sent, confirmedByWatch)
		if len(items) > 0 {
			hfloop.Sleep(ctx, w.pause())
		}
	}
}

// leave drops the items of a prefix that is not needed, and waits until it may be needed.
func (n *Node) leave(ctx context.Context, w *prefixWatch) {
	if w.synced.Swap(false) {
		hfloop.With(n.mirror, func(m *Mirror) []change { return m.Reset(w.prefix, nil, 0) })
	}
	select {
	case <-ctx.Done():
	case <-n.followNow:
	case <-time.After(followCheckInterval):
	}
}

// follow makes the watch of the workers' entries begin at once.
func (n *Node) follow() {
	select {
	case n.followNow <- struct{}{}:
	default:
	}
}

// relistDelay returns a random time by which to delay a list of a prefix. When the store drops its
// history, all instances list at the same moment.
func (n *Node) relistDelay() time.Duration {
	if n.claiming.Load() {
		return 0
	}
	instances := hfloop.With(n.mirror, func(m *Mirror) int { return len(m.instances) })
	return rand.N(time.Duration(max(instances, 1)) * relistSpread)
}

// list reads a whole prefix from the store into the mirror. It reports whether it succeeded.
func (n *Node) list(ctx context.Context, w *prefixWatch) bool {
	sent := hflease.Now()
	items, revision, err := n.store.List(ctx, w.prefix)
	n.health.Record(err, time.Now())
	if err != nil {
		return false
	}
	receivedAt := hflease.Now()
	changes := hfloop.With(n.mirror, func(m *Mirror) []change {
		m.setWriteTimes(time.Time{}, receivedAt)
		return m.Reset(w.prefix, items, revision)
	})
	n.log.Event(hfevent.MirrorReset, zap.String("prefix", w.prefix), zap.Int("items", len(items)), zap.Int64("revision", revision))
	w.revision, w.completeUntil = revision, sent
	n.confirm(w, sent, confirmedByList)
	w.synced.Store(true)
	n.notify(changes)
	w.notifiedRevision.Store(revision)
	return true
}

// applyEvents applies the answer to the call of a watch that was sent at the given time. It
// reports whether the answer is a backlog.
func (n *Node) applyEvents(w *prefixWatch, items []hfstore.Item, revision int64, sent time.Time) bool {
	receivedAt := hflease.Now()
	changes := hfloop.With(n.mirror, func(m *Mirror) []change {
		m.setWriteTimes(w.completeUntil, receivedAt)
		applied := make([]change, 0, len(items))
		for _, i := range items {
			applied = append(applied, m.Apply(i))
		}
		return append(applied, m.advance(w.prefix, revision)...)
	})
	w.revision = max(w.revision, revision)
	backlog := isBacklog(items)
	if !backlog {
		w.completeUntil = sent
	}
	if w.prefix == recordPrefix && slices.ContainsFunc(items, func(i hfstore.Item) bool { return i.Err() != nil }) {
		w.synced.Store(false) // an event of our own records is missing; a list may have its item
	}
	n.notify(changes)
	w.notifiedRevision.Store(w.revision)
	return backlog
}
