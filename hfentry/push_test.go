package hfentry

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/heatherfront/heatherfront/hfloop"
	"github.com/heatherfront/heatherfront/hfwork"
)

// A third of the instances is cut off from the store, and their watches stay silent for two seconds before
// they go through others. Jobs that end meanwhile were shown as running that long.
func TestStateReachesInstanceThatTookJobBesideItsSilentWatch(t *testing.T) {
	leader, taker := openHints(t, &net.Dialer{})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	group, ctx := errgroup.WithContext(t.Context())
	group.Go(func() error { taker.servePeers(ctx, ln); return nil })
	group.Go(func() error { leader.sendPushes(ctx); return nil })
	hfloop.With(leader.mirror, func(m *Mirror) bool {
		m.instances["follower"] = &hfwork.Instance{Name: "follower", Address: ln.Addr().String()}
		return true
	})
	const id = "5c0e7a21d94b36f8"
	stored := newItem(t, jobPrefix+id, 3, &hfwork.Job{Id: id})
	taker.applyItem(stored)
	taker.queueHint(stored)
	require.Eventually(t, func() bool { return leader.cachedJob(id) != nil }, 5*time.Second, 5*time.Millisecond)

	done := newItem(t, progressPrefix+id, 7, &hfwork.Progress{State: hfwork.StateCompleted})
	leader.pushState(done.Key(), done.Value(), done.Version())
	require.Eventually(t, func() bool { return taker.cachedJob(id).state() == hfwork.StateCompleted }, 5*time.Second, 5*time.Millisecond)

	late := newItem(t, progressPrefix+id, 5, &hfwork.Progress{State: hfwork.StateRunning})
	taker.applyItem(late)
	require.Equal(t, hfwork.StateCompleted, taker.cachedJob(id).state(), "an earlier state that arrives late changes nothing")
}

// States of jobs that nobody told of, and keys other than states, go to nobody; the memory is bounded.
func TestPushesAreBounded(t *testing.T) {
	leader := newTestNode("leader")
	leader.pushState(progressPrefix+"5c0e7a21d94b36f8", nil, 1)
	leader.noteTaker(jobPrefix+"not an id", "follower")
	leader.noteTaker(jobPrefix+"5c0e7a21d94b36f8", "follower")
	leader.pushState(jobPrefix+"5c0e7a21d94b36f8", nil, 1)
	require.Empty(t, leader.pushes)
	for i := range maxTakers + 10 {
		leader.noteTaker(fmt.Sprintf("%s%016x", jobPrefix, i), "follower")
	}
	require.Equal(t, maxTakers, hfloop.With(leader.takers, func(k *takers) int { return len(k.byJob) }))
	for range pushQueueSize + 10 {
		leader.pushState(fmt.Sprintf("%s%016x", progressPrefix, 20), nil, 1)
	}
	require.Len(t, leader.pushes, pushQueueSize, "further ones are dropped")
}
