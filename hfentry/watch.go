package hfentry

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/heatherfront/heatherfront/hfevent"
	"github.com/heatherfront/heatherfront/hfloop"
	"github.com/heatherfront/heatherfront/hfstore"
)

const (
	retryPause = 150 * time.Millisecond // after a store call that failed

	// Every store call counts against a budget, so a watch pauses before its next call to
	// gather more events.
	standbyRecordPause = 200 * time.Millisecond // for our records, while this instance is not the leader
	leaderRecordPause  = 10 * time.Millisecond  // for our records, on the leader
	policyPause        = 20 * time.Millisecond

	// Workers rewrite their entries all the time. Instances that are not the leader watch
	// them as well, so that they know which workers left as planned when they take over.
	leaderWorkerPause  = 600 * time.Millisecond
	standbyWorkerPause = 1200 * time.Millisecond
)

// maxWatchGap is the time between two answers of a watch above which its events count as
// delayed. A watch without events is answered sooner.
const maxWatchGap = 3 * time.Second

// backlogEvents is the number of events in one answer from which on the watch continues without
// a pause. The store returns about 500 events at most, so more are likely to be waiting.
const backlogEvents = 400

// prefixWatch is the state of the watch that keeps one key prefix of the mirror current.
type prefixWatch struct {
	prefix     string
	pause      func() time.Duration
	synced     atomic.Bool // the prefix was listed, and the watch continues from there
	revision   int64       // the watch continues from here; used only by its own goroutine
	lastAnswer time.Time   // time of the last answer; used only by its own goroutine
}

func (n *Node) recordWatchPause() time.Duration {
	if n.leader.Load() != nil {
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
		n.applyEvents(w, items, revision)
		if len(items) > 0 && len(items) < backlogEvents {
			hfloop.Sleep(ctx, w.pause())
		}
	}
}

// list reads a whole prefix from the store into the mirror. It reports whether it succeeded.
func (n *Node) list(ctx context.Context, w *prefixWatch) bool {
	items, revision, err := n.store.List(ctx, w.prefix)
	n.health.Record(err, time.Now())
	if err != nil {
		return false
	}
	changes := hfloop.With(n.mirror, func(m *Mirror) []change { return m.Reset(w.prefix, items, revision) })
	n.log.Event(hfevent.MirrorReset, zap.String("prefix", w.prefix), zap.Int("items", len(items)), zap.Int64("revision", revision))
	w.revision = revision
	w.synced.Store(true)
	n.notify(changes)
	return true
}

func (n *Node) applyEvents(w *prefixWatch, items []hfstore.Item, revision int64) {
	delayed := !w.lastAnswer.IsZero() && time.Since(w.lastAnswer) > maxWatchGap
	w.lastAnswer = time.Now()
	changes := hfloop.With(n.mirror, func(m *Mirror) []change {
		m.delayed = delayed
		applied := make([]change, 0, len(items))
		for _, i := range items {
			applied = append(applied, m.Apply(i))
		}
		if w.prefix == recordPrefix {
			m.Advance(revision)
		}
		return applied
	})
	w.revision = max(w.revision, revision)
	n.notify(changes)
}
