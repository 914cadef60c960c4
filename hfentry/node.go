package hfentry

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/singleflight"

	"github.com/heatherfront/heatherfront/hfevent"
	"github.com/heatherfront/heatherfront/hfintake"
	"github.com/heatherfront/heatherfront/hflease"
	"github.com/heatherfront/heatherfront/hfloop"
	"github.com/heatherfront/heatherfront/hforder"
	"github.com/heatherfront/heatherfront/hfpeer"
	"github.com/heatherfront/heatherfront/hfplan"
	"github.com/heatherfront/heatherfront/hfrelay"
	"github.com/heatherfront/heatherfront/hfstore"
)

// Settings describes an entry instance and the platform on which it runs.
type Settings interface {
	// Name returns the name of the instance.
	Name() string
	// Domain returns the failure domain of the instance.
	Domain() string
	// Region returns the region of the instance.
	Region() string
	// LeaderSuitability returns how well suited the instance is to be the leader, from 0 to 1.
	LeaderSuitability() float64
	// MinLease returns the shortest time to live of a lease that the store grants.
	MinLease() time.Duration
	// HeartbeatInterval returns the heartbeat interval, at which workers write their entries.
	HeartbeatInterval() time.Duration
	// TaskLease returns the longest lease of a task on a worker.
	TaskLease() time.Duration
	// SpreadFactor returns how many times as long a gang that asks for one rack takes on several.
	SpreadFactor() float64
	// StopTime returns the longest time that a worker takes to stop a run.
	StopTime() time.Duration
	// MemoryMB returns the memory limit of the process in MB, or 0 if there is none.
	MemoryMB() int64
	// Retention returns how long the state of an ended job is kept.
	Retention() time.Duration
}

// Node is an entry instance.
type Node struct {
	name         string
	settings     Settings
	relay        *hfrelay.Store
	store        hfstore.Committer // the relay
	formats      Formats
	minions      hforder.Minions
	adviser      hforder.Adviser
	machines     hforder.Machines
	log          *hfevent.Log
	registry     metrics.Registry
	mirror       *hfloop.Guarded[*Mirror]
	rejectedRows *hfloop.Guarded[*hfevent.Rejections] // parts of workers' reports, by worker and reason
	health       *StoreHealth
	held         *hfloop.Guarded[*holdingRoom] // calls that wait for the store
	recordWatch  prefixWatch                   // watches our own records
	policyWatch  prefixWatch                   // watches what operators write
	workerWatch  prefixWatch                   // watches the workers' entries
	policyReads  singleflight.Group            // reads of the configuration beside its watch, one at a time
	probes       singleflight.Group            // reads that precede writes, one at a time
	stopping     atomic.Bool
	claiming     atomic.Bool                    // this instance tries to become the leader, or is the leader
	leader       atomic.Pointer[hforder.Leader] // nil unless this instance is the leader
	details      atomic.Pointer[details]        // loaded at the start of the last leadership, nil before the first
	followNow    chan struct{}                  // receives a value when this instance has to follow the workers' entries
	leaderless   chan struct{}                  // receives a value when there is no leader
	stopStarted  chan struct{}                  // closed when a planned stop begins
	links        *hfpeer.Links
	hints        chan hfstore.Item
	takers       *hfloop.Guarded[*takers] // of the jobs that hints told of
	pushes       chan push
	endedJobs    chan string  // jobs that may be shown as completed before that is stored
	order        hfplan.Order // in which this instance schedules as the leader; set before the goroutines start
	trusting     bool         // as the leader, it suspects no workers; set before the goroutines start
	peerLimits   hfpeer.Limits
	peerAddress  string // at which the other instances reach this one; set before the goroutines start
}

// New returns a node that has not started.
func New(s Settings, store hfstore.Committer, f Formats, minions hforder.Minions, adviser hforder.Adviser, machines hforder.Machines, dialer hfpeer.Dialer, log *hfevent.Log, registry metrics.Registry) *Node {
	n := &Node{
		name: s.Name(), settings: s, formats: f, minions: minions, adviser: adviser, machines: machines, log: log, registry: registry,
		order: hfplan.DefaultOrder, mirror: hfloop.NewGuarded(NewMirror(f, s.HeartbeatInterval())), health: NewStoreHealth(func(down bool, silent time.Duration) {
			event := hfevent.StoreUp
			if down {
				event = hfevent.StoreDown
			}
			log.Event(event, zap.Duration("silent", silent))
		}),
		held:         hfloop.NewGuarded(&holdingRoom{}),
		rejectedRows: hfloop.NewGuarded(hfevent.NewRejections(maxKeyBytes + hfevent.MaxReasonBytes)),
		leaderless:   make(chan struct{}, 1), stopStarted: make(chan struct{}),
		links: hfpeer.NewLinks(s.Name(), uuid.NewString(), dialer, registry), hints: make(chan hfstore.Item, hintQueueSize),
		takers: hfloop.NewGuarded(newTakers()), pushes: make(chan push, pushQueueSize), endedJobs: make(chan string, endedQueueSize),
		followNow: make(chan struct{}, 1), peerLimits: hfpeer.NewLimits(hfintake.DefaultMemory/hfpeer.MemoryShare, hfintake.Descriptors(), false),
	}
	n.relay = hfrelay.New(store, n.links, n.otherInstances, func(direct bool, cause error) {
		if direct {
			n.health.Record(nil, time.Now()) // a probe was answered
			log.Event(hfevent.StoreDirect)
			return
		}
		log.Event(hfevent.StoreRelayed, zap.String("error", cause.Error()))
	}, registry)
	n.store = n.relay
	n.recordWatch = prefixWatch{prefix: recordPrefix, pause: n.recordWatchPause}
	n.policyWatch = prefixWatch{prefix: f.PolicyPrefix(), pause: func() time.Duration { return policyPause }}
	n.workerWatch = prefixWatch{prefix: f.WorkerPrefix(), pause: n.workerWatchPause, needed: n.followsWorkers}
	return n
}

// WithOrder sets the order in which the instance schedules as the leader. It must be called before Run.
func (n *Node) WithOrder(o hfplan.Order) *Node {
	n.order = o
	return n
}

// WithSuspicion sets whether the instance as the leader avoids workers on which tasks fail early, as it does unless this is
// set. It must be called before Run.
func (n *Node) WithSuspicion(on bool) *Node {
	n.trusting = !on
	return n
}

// WithPeerLimits sets the limits of the listener for other instances. It must be called before Run.
func (n *Node) WithPeerLimits(l hfpeer.Limits) *Node {
	n.peerLimits = l
	return n
}

// Run keeps the mirror current, takes part in the leader election, and serves the other
// instances on ln, until ctx ends.
func (n *Node) Run(ctx context.Context, ln net.Listener) error {
	defer n.links.Close()
	n.peerAddress = ln.Addr().String()
	g, ctx := errgroup.WithContext(ctx)
	for _, loop := range []func(context.Context){
		func(ctx context.Context) { n.watch(ctx, &n.recordWatch) },
		func(ctx context.Context) { n.watch(ctx, &n.policyWatch) },
		func(ctx context.Context) { n.watch(ctx, &n.workerWatch) },
		func(ctx context.Context) { n.servePeers(ctx, ln) },
		func(ctx context.Context) { n.relay.Run(ctx, leadKey) },
		n.keepPolicyFresh,
		n.sendHints,
		n.sendPushes,
		n.shareEnded,
		n.probeStore,
		n.announce,
		n.campaign,
	} {
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

// BeginStop begins a planned stop: the instance is no longer ready and gives up the leadership.
func (n *Node) BeginStop() {
	if !n.stopping.Swap(true) {
		close(n.stopStarted)
	}
}

// Stopping reports whether a planned stop has begun.
func (n *Node) Stopping() bool { return n.stopping.Load() }

// readyTimeout is the time since the last answer of the store after which new callers are
// better served by other instances.
const readyTimeout = 4 * time.Second

// Ready reports whether callers should be sent to this instance, and if not, why.
func (n *Node) Ready() (bool, string) {
	switch {
	case n.stopping.Load():
		return false, "stopping"
	case !n.recordWatch.synced.Load() || !n.policyWatch.synced.Load():
		return false, "the store was not read yet"
	case hfloop.With(n.mirror, func(m *Mirror) bool { return m.policy == nil }):
		return false, ErrNotReady.Error()
	case time.Since(n.health.LastAnswer()) > readyTimeout:
		return false, "the store is not heard"
	}
	return true, ""
}

// applyItem applies an item to the mirror that did not come from a watch: one that this
// instance read or wrote itself, or a hint.
func (n *Node) applyItem(i hfstore.Item) {
	receivedAt := hflease.Now()
	n.notify(hfloop.With(n.mirror, func(m *Mirror) []change { return m.applyUnwatched(receivedAt, i) }))
}

// notify logs rejected entries, passes changes to the scheduler if this instance is the leader,
// and sends to leaderless if there is no leader.
func (n *Node) notify(changes []change) {
	workersChanged := false
	for _, c := range changes {
		if l := n.leader.Load(); l != nil && c.leftWorker != "" && hfloop.With(n.mirror, func(m *Mirror) bool { return m.hasLeft(c.leftWorker) }) {
			l.Send(hfplan.WorkerLeft(c.leftWorker))
		}
		if c.rejection != nil {
			n.reportRejection(c.rejection)
		}
		workersChanged = workersChanged || c.workers
		if c.policy {
			n.policyChanged()
		}
		if l := n.leader.Load(); l != nil && c.accounts {
			l.Send(hfloop.With(n.mirror, (*Mirror).policyMsg))
		}
		if c.lead && hfloop.With(n.mirror, func(m *Mirror) bool { return m.lead == nil }) {
			select {
			case n.leaderless <- struct{}{}:
			default:
			}
		}
		if l := n.leader.Load(); l != nil && c.wave != nil {
			l.Send(hfplan.Wave(c.wave))
		}
		if l := n.leader.Load(); l != nil && c.job != "" {
			if r := n.cachedJob(c.job); r != nil {
				if msg, ok := n.jobMsg(r); ok {
					l.Send(msg)
				}
			}
		}
	}
	if l := n.leader.Load(); l != nil && workersChanged {
		l.Send(n.workersMsg())
	}
}

// policyChanged logs the new configuration and passes it to the scheduler.
func (n *Node) policyChanged() {
	policy, msg := hfloop.With2(n.mirror, func(m *Mirror) (*policyIndex, hfplan.PolicyMsg) { return m.policy, m.policyMsg() })
	n.log.Event(hfevent.PolicyApplied, zap.Int64("version", policy.config.GetVersion()), zap.Int("queues", len(policy.config.GetQueues())),
		zap.Duration("age", n.policyWatch.age(hflease.Now())))
	if l := n.leader.Load(); l != nil {
		l.Send(msg)
	}
}

// workersMsg returns the message with the registered workers.
func (n *Node) workersMsg() hfplan.WorkersMsg { return hfloop.With(n.mirror, (*Mirror).workersMsg) }
