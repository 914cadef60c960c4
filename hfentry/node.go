package hfentry

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/heatherfront/heatherfront/hfevent"
	"github.com/heatherfront/heatherfront/hfloop"
	"github.com/heatherfront/heatherfront/hforder"
	"github.com/heatherfront/heatherfront/hfplan"
	"github.com/heatherfront/heatherfront/hfstore"
	"github.com/heatherfront/heatherfront/hfwork"
)

// Settings is what an entry instance has to know of where it runs.
type Settings interface {
	// Name returns the name of the instance.
	Name() string
	// ShortestLease returns the shortest lease that the store grants.
	ShortestLease() time.Duration
	// TaskLease returns the longest lease of a task on a worker.
	TaskLease() time.Duration
	// GangWindow returns the time in which all members of a gang must be present.
	GangWindow() time.Duration
	// Retention returns how long the state of an ended job is kept.
	Retention() time.Duration
}

// Node is one entry instance.
type Node struct {
	name     string
	settings Settings
	store    hfstore.Committer
	formats  Formats
	minions  hforder.Minions
	adviser  hforder.Adviser
	machines hforder.Machines
	log      *hfevent.Log
	registry metrics.Registry
	mirror   *hfloop.Cell[*Mirror]
	health   *Health
	synced   atomic.Bool // the mirror holds a complete list
	stopping atomic.Bool
	leader   atomic.Pointer[hforder.Leader] // while this instance schedules
	freed    chan struct{}                  // signalled when no instance schedules
	leave    chan struct{}                  // closed when a planned stop begins
}

// New returns an instance that has not started.
func New(s Settings, store hfstore.Committer, f Formats, m hforder.Minions, a hforder.Adviser, p hforder.Machines, log *hfevent.Log, registry metrics.Registry) *Node {
	return &Node{
		name: s.Name(), settings: s, store: store, formats: f, minions: m, adviser: a, machines: p, log: log, registry: registry,
		mirror: hfloop.NewCell(NewMirror(f)), health: NewHealth(func(down bool, silent time.Duration) {
			event := hfevent.StoreUp
			if down {
				event = hfevent.StoreDown
			}
			log.Event(event, zap.Duration("silent", silent))
		}),
		freed: make(chan struct{}, 1), leave: make(chan struct{}),
	}
}

// Run keeps the mirror current and takes part in scheduling until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, loop := range []func(context.Context){n.follow, n.campaign} {
		g.Go(func() error {
			loop(ctx)
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return fmt.Errorf("entry instance: %w", err)
	}
	return nil
}

// Leave begins a planned stop: the instance is no longer ready and hands its duty over.
func (n *Node) Leave() {
	if !n.stopping.Swap(true) {
		close(n.leave)
	}
}

// Stopping tells whether a planned stop is under way.
func (n *Node) Stopping() bool { return n.stopping.Load() }

// readyFresh is the age of the last answer of the store after which new callers are
// better served by other instances.
const readyFresh = 4 * time.Second

// Ready tells whether callers should be sent here, and if not, why.
func (n *Node) Ready() (bool, string) {
	switch {
	case n.stopping.Load():
		return false, "stopping"
	case !n.synced.Load():
		return false, "the store was not read yet"
	case hfloop.With(n.mirror, func(m *Mirror) bool { return m.policy == nil }):
		return false, ErrNotReady.Error()
	case time.Since(n.health.Heard()) > readyFresh:
		return false, "the store is not heard"
	}
	return true, ""
}

const (
	retryPause  = 150 * time.Millisecond // after a failed call of the watch
	followPause = 150 * time.Millisecond // an instance that does not schedule lets events gather
	leadPause   = 5 * time.Millisecond   // the one that schedules too, for bursts
)

// follow keeps the mirror current.
func (n *Node) follow(ctx context.Context) {
	for ctx.Err() == nil {
		if !n.synced.Load() {
			if !n.load(ctx) {
				hfloop.Pause(ctx, retryPause)
			}
			continue
		}
		after := hfloop.With(n.mirror, func(m *Mirror) int64 { return m.revision })
		items, revision, err := n.store.Watch(ctx, "", after)
		if ctx.Err() != nil {
			return
		}
		n.health.Note(err, time.Now())
		if errors.Is(err, hfstore.ErrCompacted) {
			n.synced.Store(false)
			continue
		}
		if err != nil {
			hfloop.Pause(ctx, retryPause)
			continue
		}
		n.apply(items, revision)
		if len(items) == 0 {
			continue
		}
		if n.leader.Load() != nil {
			hfloop.Pause(ctx, leadPause)
		} else {
			hfloop.Pause(ctx, followPause)
		}
	}
}

// load reads the whole store.
func (n *Node) load(ctx context.Context) bool {
	items, revision, err := n.store.List(ctx, "")
	n.health.Note(err, time.Now())
	if err != nil {
		return false
	}
	changes := hfloop.With(n.mirror, func(m *Mirror) []change { return m.Reset(items, revision) })
	n.log.Event(hfevent.MirrorReset, zap.Int("items", len(items)), zap.Int64("revision", revision))
	n.synced.Store(true)
	n.tell(changes)
	return true
}

func (n *Node) apply(items []hfstore.Item, revision int64) {
	changes := hfloop.With(n.mirror, func(m *Mirror) []change {
		list := make([]change, 0, len(items))
		for _, i := range items {
			list = append(list, m.Apply(i))
		}
		m.Advance(revision)
		return list
	})
	n.tell(changes)
}

// learn takes one item that this instance read or wrote itself.
func (n *Node) learn(i hfstore.Item) {
	n.tell([]change{hfloop.With(n.mirror, func(m *Mirror) change { return m.Apply(i) })})
}

// tell passes changes on to those who decide on them.
func (n *Node) tell(changes []change) {
	workers := false
	for _, c := range changes {
		if c.err != nil {
			n.log.Event(hfevent.EntryRejected, zap.Error(c.err))
		}
		workers = workers || c.workers
		if c.policy {
			n.toldPolicy()
		}
		if c.lead && hfloop.With(n.mirror, func(m *Mirror) bool { return m.lead == nil }) {
			select {
			case n.freed <- struct{}{}:
			default:
			}
		}
		if l := n.leader.Load(); l != nil && c.wave != nil {
			l.Send(hfplan.Wave(c.wave))
		}
		if l := n.leader.Load(); l != nil && c.job != "" {
			if e := n.known(c.job); e != nil && e.job != nil {
				l.Send(hfplan.Job(e.job, e.progress, e.cancelled))
			}
		}
	}
	if l := n.leader.Load(); l != nil && workers {
		l.Send(hfplan.Workers(n.workers()))
	}
}

func (n *Node) toldPolicy() {
	p := hfloop.With(n.mirror, func(m *Mirror) *policy { return m.policy })
	n.log.Event(hfevent.PolicyApplied, zap.Int64("version", p.body.GetVersion()), zap.Int("queues", len(p.body.GetQueues())))
	if l := n.leader.Load(); l != nil {
		l.Send(hfplan.Policy(p.body))
	}
}

// workers returns a copy of the registered workers.
func (n *Node) workers() map[string]*hfwork.Worker {
	return hfloop.With(n.mirror, func(m *Mirror) map[string]*hfwork.Worker {
		list := make(map[string]*hfwork.Worker, len(m.workers))
		for id, w := range m.workers {
			list[id] = w
		}
		return list
	})
}
