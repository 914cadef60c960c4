package hfentry

import (
	"context"
	"errors"
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

	// Workers rewrite their entries all the time. Instances that are not the leader watch
	// them as well, so that they know which workers left as planned when they take over.
	leaderWorkerPause  = 600 * time.Millisecond
	standbyWorkerPause = 1200 * time.Millisecond
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
	synced   atomic.Bool // the prefix was listed, and the watch continues from there
	revision int64       // the watch continues from here; used only by its own goroutine
	// completeUntil is a time until which all events are applied, on the clock of hflease.Now:
	// when the last call was sent whose answer left none out. Used only by its own goroutine.
	completeUntil time.Time
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
			continue
		}
		if err != nil {
			hfloop.Sleep(ctx, retryPause)
			continue
		}
		backlog := n.applyEvents(w, items, revision, sent)
		if len(items) > 0 && !backlog {
			hfloop.Sleep(ctx, w.pause())
		}
	}
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
	w.synced.Store(true)
	n.notify(changes)
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
	return backlog
}
