package hfentry

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/heatherfront/heatherfront/hflease"
	"github.com/heatherfront/heatherfront/hfloop"
	"github.com/heatherfront/heatherfront/hforder"
	"github.com/heatherfront/heatherfront/hfplan"
	"github.com/heatherfront/heatherfront/hfstore"
	"github.com/heatherfront/heatherfront/hfwork"
)

const (
	endedJob = "0123456789abcdef"
	otherJob = "fedcba9876543210"
)

// newEndedNodes returns a leader of epoch 5 in the failure domain a, and a node in each given one, which know
// each other and two running jobs. Those named in down do not answer.
func newEndedNodes(t *testing.T, domains []string, down ...string) (leader *Node, others []*Node) {
	t.Helper()
	group, ctx := errgroup.WithContext(t.Context())
	var nodes []*Node
	var instances []*hfwork.Instance
	for i, domain := range append([]string{"a"}, domains...) {
		n := newTestNode(string(rune('0' + i)))
		n.settings, n.endedJobs = placeSettings{}, make(chan string, 1)
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		instances = append(instances, &hfwork.Instance{Name: n.name, Address: ln.Addr().String(), Domain: domain})
		nodes = append(nodes, n)
		for _, name := range down {
			if name == n.name {
				require.NoError(t, ln.Close())
				ln = nil
			}
		}
		if ln != nil {
			group.Go(func() error { n.servePeers(ctx, ln); return nil })
		}
	}
	for _, n := range nodes {
		for _, id := range []string{endedJob, otherJob} {
			n.applyItem(newItem(t, jobPrefix+id, 3, &hfwork.Job{Id: id, Queue: "q"}))
			n.applyItem(newItem(t, progressPrefix+id, 4, &hfwork.Progress{State: hfwork.StateRunning}))
		}
		hfloop.With(n.mirror, func(m *Mirror) bool {
			for _, inst := range instances {
				m.instances[inst.GetName()] = inst
			}
			return true
		})
	}
	lead(nodes[0], 5)
	return nodes[0], nodes[1:]
}

// lead lets a node lead in an epoch.
func lead(n *Node, epoch int64) {
	timing := hfplan.NewTiming(time.Second)
	tenure := hflease.NewTenure(epoch, hflease.Now(), time.Hour)
	n.leader.Store(hforder.NewLeader(hfplan.New(1, timing, time.Now()), tenure, n.minions, n.adviser, n.machines, n.name, nil, n, timing))
}

// placeSettings has where an instance is.
type placeSettings struct{ Settings }

func (placeSettings) Domain() string { return "a" }
func (placeSettings) Region() string { return "r" }

func shownState(n *Node, job string) string { return n.cachedJob(job).state() }

// Callers at every instance saw jobs as running that had run to their end during an outage of the store.
func TestEndsDuringStoreOutageAreShownByAllInstances(t *testing.T) {
	leader, others := newEndedNodes(t, []string{"a", "b", "c"})
	leader.tellEnded(t.Context(), []string{endedJob})
	for _, n := range append(others, leader) {
		require.Equal(t, hfwork.StateCompleted, shownState(n, endedJob))
		require.Equal(t, hfwork.StateRunning, shownState(n, otherJob))
	}
}

// A part of the system that is cut off from the store and from the rest must not show what a leader of the
// rest does not know of.
func TestEndIsNotShownUnlessEachDomainKnows(t *testing.T) {
	leader, others := newEndedNodes(t, []string{"a", "b"}, "2")
	leader.tellEnded(t.Context(), []string{endedJob})
	for _, n := range append(others, leader) {
		require.Equal(t, hfwork.StateRunning, shownState(n, endedJob))
	}
}

func TestOneDeadInstanceOfADomainDoesNotKeepEndsFromBeingShown(t *testing.T) {
	leader, others := newEndedNodes(t, []string{"a", "b", "b"}, "2")
	leader.tellEnded(t.Context(), []string{endedJob})
	require.Equal(t, hfwork.StateCompleted, shownState(leader, endedJob))
	require.Equal(t, hfwork.StateCompleted, shownState(others[2], endedJob))
}

// The leader dies in the outage. The next one must not start the tasks of a job again that callers saw as
// completed, and has to know before it starts anything.
func TestNewLeaderLearnsOfEndsThatWereShown(t *testing.T) {
	leader, others := newEndedNodes(t, []string{"a", "b"})
	leader.tellEnded(t.Context(), []string{endedJob})
	next := others[1]
	hfloop.With(next.mirror, func(m *Mirror) bool { // it was restarted since
		m.jobs[endedJob].told, m.jobs[endedJob].shown = false, false
		return true
	})
	next.collectEnded(t.Context(), 9)
	r := next.cachedJob(endedJob)
	require.True(t, r.told)
	require.Equal(t, hfwork.StateRunning, r.state(), "it is shown once it is stored")
	msg, ok := next.jobMsg(r)
	require.True(t, ok)
	require.Equal(t, hfplan.Job(r.job, r.progress, false).WithShown(), msg)
}

// What an earlier leader tells after the new one has asked would be shown without its knowledge.
func TestEarlierLeaderShowsNothingOnceALaterOneHasAsked(t *testing.T) {
	leader, others := newEndedNodes(t, []string{"a", "b", "b"})
	others[1].collectEnded(t.Context(), 9)
	leader.tellEnded(t.Context(), []string{endedJob})
	for _, n := range append(others, leader) {
		require.Equal(t, hfwork.StateRunning, shownState(n, endedJob))
	}
}

// Nor may it be shown by an instance that knows of a later leader from the store.
func TestEarlierLeaderShowsNothingToWhoKnowsALaterOne(t *testing.T) {
	leader, others := newEndedNodes(t, []string{"b"})
	others[0].applyItem(newItem(t, leadKey, 9, &hfwork.Lead{Instance: "1"}))
	leader.tellEnded(t.Context(), []string{endedJob})
	require.Equal(t, hfwork.StateRunning, shownState(leader, endedJob))
}

func TestShownEndIsNeverShownOtherwise(t *testing.T) {
	leader, _ := newEndedNodes(t, nil)
	leader.tellEnded(t.Context(), []string{endedJob})
	require.Equal(t, hfwork.StateCompleted, shownState(leader, endedJob), "the only instance")
	leader.applyItem(hfstore.NewItem(cancelPrefix+endedJob, nil, 6, false))
	require.Equal(t, hfwork.StateCompleted, shownState(leader, endedJob))
	leader.applyItem(newItem(t, progressPrefix+endedJob, 7, &hfwork.Progress{State: hfwork.StateRunning}))
	require.Equal(t, hfwork.StateCompleted, shownState(leader, endedJob))
	items := []hfstore.Item{newItem(t, jobPrefix+endedJob, 3, &hfwork.Job{Id: endedJob, Queue: "q"}), newItem(t, progressPrefix+endedJob, 7, &hfwork.Progress{State: hfwork.StateRunning})}
	hfloop.With(leader.mirror, func(m *Mirror) []change { return m.Reset(recordPrefix, items, 8) })
	require.Equal(t, hfwork.StateCompleted, shownState(leader, endedJob), "the store dropped its history")
	leader.applyItem(newItem(t, progressPrefix+endedJob, 9, &hfwork.Progress{State: hfwork.StateCompleted}))
	require.Empty(t, hfloop.With(leader.mirror, func(m *Mirror) []string { return m.endedJobsTold(5) }), "it is stored")
}
