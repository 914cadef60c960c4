package hfentry

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/heatherfront/heatherfront/hfevent"
	"github.com/heatherfront/heatherfront/hfintake"
	"github.com/heatherfront/heatherfront/hfloop"
	"github.com/heatherfront/heatherfront/hfpeer"
	"github.com/heatherfront/heatherfront/hfstand"
	"github.com/heatherfront/heatherfront/hfstore"
	"github.com/heatherfront/heatherfront/hfwire"
	"github.com/heatherfront/heatherfront/hfwork"
)

// newTestNode returns a node that has not started, with an empty mirror and no store.
func newTestNode(name string) *Node {
	registry := metrics.NewRegistry()
	return &Node{
		name: name, log: hfevent.New(zap.NewNop(), registry), registry: registry,
		mirror:       hfloop.NewGuarded(NewMirror(fakeFormats{}, time.Second)),
		held:         hfloop.NewGuarded(&holdingRoom{}),
		rejectedRows: hfloop.NewGuarded(hfevent.NewRejections(maxKeyBytes + hfevent.MaxReasonBytes)),
		peerLimits:   hfpeer.NewLimits(hfintake.DefaultMemory/hfpeer.MemoryShare, 1<<10, false),
		links:        hfpeer.NewLinks(name, name, &net.Dialer{}, registry), hints: make(chan hfstore.Item, hintQueueSize),
		takers: hfloop.NewGuarded(newTakers()), pushes: make(chan push, pushQueueSize),
	}
}

// openHints returns a node that takes hints and one that sends them to it, over connections of the dialer.
func openHints(t *testing.T, dialer hfpeer.Dialer) (leader, follower *Node) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	leader, follower = newTestNode("leader"), newTestNode("follower")
	follower.links = hfpeer.NewLinks("follower", "follower", dialer, follower.registry)
	group, ctx := errgroup.WithContext(t.Context())
	group.Go(func() error { leader.servePeers(ctx, ln); return nil })
	group.Go(func() error { follower.sendHints(ctx); return nil })
	hfloop.With(follower.mirror, func(m *Mirror) bool {
		m.lead = &hfwork.Lead{Instance: "leader", Address: ln.Addr().String()}
		return true
	})
	return leader, follower
}

// Watches get no events for a second when the store drops its history. Without hints, five of
// six urgent jobs submitted in the first seconds were late.
func TestHintReachesLeaderBeforeWatch(t *testing.T) {
	leader, follower := openHints(t, &net.Dialer{})
	follower.queueHint(newItem(t, jobPrefix+"a", 3, &hfwork.Job{Id: "a"}))
	require.Eventually(t, func() bool { return leader.cachedJob("a") != nil }, 5*time.Second, 5*time.Millisecond)
	require.Equal(t, "a", leader.cachedJob("a").job.GetId())
}

// Guards against urgent jobs that start late for as long as a link to the leader is silent (the day
// severed): the hint that finds the silence is lost, those after it take a new link.
func TestHintsReachLeaderAfterLinksGoSilent(t *testing.T) {
	dialer := &hfstand.Silencer{}
	leader, follower := openHints(t, dialer)
	arrives := func(id string) bool {
		follower.queueHint(newItem(t, jobPrefix+id, 3, &hfwork.Job{Id: id}))
		for range 100 {
			if leader.cachedJob(id) != nil {
				return true
			}
			time.Sleep(10 * time.Millisecond)
		}
		return false
	}
	require.Eventually(t, func() bool { return arrives("before") }, 10*time.Second, time.Millisecond)
	for round := range 3 {
		dialer.Silence()
		n := 0
		require.Eventually(t, func() bool { n++; return arrives(fmt.Sprint("after", round, n)) }, 30*time.Second, time.Millisecond)
	}
}

func TestUnknownMessageIsRefused(t *testing.T) {
	require.NotNil(t, newTestNode("one").handleCall(t.Context(), &hfwire.Envelope{}).GetRefusal())
}

func TestHintsNeverBlockCallers(t *testing.T) {
	n := newTestNode("one")
	for range 2 * hintQueueSize {
		n.queueHint(hfstore.NewItem("k", nil, 1, false))
	}
	require.Equal(t, int64(hintQueueSize), metrics.GetOrRegisterCounter("hint.dropped", n.registry).Count())
}
