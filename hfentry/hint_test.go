package hfentry

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

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
	for _, n := range []*Node{leader, follower} {
		for _, name := range []string{"leader", "follower"} {
			n.applyItem(newItem(t, peerPrefix+name, 1, &hfwork.Instance{Name: name, Address: "127.0.0.1:1"}))
		}
	}
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

// What another instance tells of was not read from the store: an instance that is broken must not fill the memory
// with jobs that nobody stored, or with states of jobs that nobody knows.
func TestHintsAreBounded(t *testing.T) {
	n := newTestNode("leader")
	accepts := func(key string, m proto.Message) bool {
		value, err := hfwire.Encode(m)
		require.NoError(t, err)
		return hfloop.With(n.mirror, func(m *Mirror) bool { return m.acceptsHint(&hfwire.Hint{Key: key, Value: value, Version: 1}) })
	}
	require.False(t, accepts(progressPrefix+"unknown", &hfwork.Progress{}))
	require.False(t, accepts(cancelPrefix+"unknown", &hfwork.Progress{}))
	require.False(t, accepts(peerPrefix+"other", &hfwork.Instance{}))
	require.False(t, accepts("op/config", &hfwork.Instance{}))
	require.False(t, accepts(jobPrefix+strings.Repeat("x", maxKeyBytes+1), &hfwork.Job{}))
	tiny := &hfwork.Job{}
	for range 20_000 {
		tiny.Steps = append(tiny.Steps, &hfwork.Step{})
	}
	require.False(t, accepts(jobPrefix+"tiny", tiny), "two bytes stand for each step")

	accepted := 0
	for ; accepted < 1000; accepted++ {
		job := newWideJob(accepted)
		if !accepts(jobPrefix+job.GetId(), job) {
			break
		}
		n.applyItem(newItem(t, jobPrefix+job.GetId(), 1, job))
	}
	require.Positive(t, accepted)
	require.Less(t, accepted, 1000)
	total, limit := hfloop.With2(n.mirror, func(m *Mirror) (int64, int64) { return m.memory.Total(), m.memory.Limit() })
	require.LessOrEqual(t, total, limit)
	known := newWideJob(0)
	require.True(t, accepts(jobPrefix+known.GetId(), known), "a job that is known takes no more memory")
	require.True(t, accepts(cancelPrefix+known.GetId(), &hfwork.Progress{}))
}

// Hints of an instance that is not listed are refused. The watch brings what they tell of.
func TestHintsOfUnlistedInstancesAreRefused(t *testing.T) {
	n := newTestNode("leader")
	id := "5c0e7a21d94b36f8"
	item := newItem(t, jobPrefix+id, 1, &hfwork.Job{Id: id})
	in := &hfwire.Envelope{Sender: "x", Body: &hfwire.Envelope_Hint{Hint: &hfwire.Hint{Key: item.Key(), Value: item.Value(), Version: 1}}}
	require.NotNil(t, n.handleCall(t.Context(), in).GetRefusal())
	require.Nil(t, n.cachedJob(id))
}
