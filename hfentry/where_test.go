package hfentry

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hfloop"
	"github.com/heatherfront/heatherfront/hforder"
	"github.com/heatherfront/heatherfront/hfstore"
	"github.com/heatherfront/heatherfront/hfwork"
)

func newAskedNode() *Node {
	n := newTestNode("one")
	n.health = NewStoreHealth(func(bool, time.Duration) {})
	hfloop.With(n.mirror, func(m *Mirror) bool {
		m.policy = newPolicyIndex(&hfwork.Policy{
			Version: 7, Queues: []*hfwork.Queue{{Name: "q", Host: "jobs", Prefix: "/a/", Pool: "p"}}, Accounts: []*hfwork.Account{{Name: "plants"}},
		})
		m.limitMemory()
		return true
	})
	return n
}

func smallJob() *hfwork.Job { return &hfwork.Job{Steps: []*hfwork.Step{{Count: 1, Cpu: 1000}}} }

func TestWhereNamesTheLeader(t *testing.T) {
	n := newAskedNode()
	_, err := n.Where(t.Context(), WhereTarget{Queue: "q"}, smallJob())
	require.ErrorContains(t, err, "no instance is known to lead")
	hfloop.With(n.mirror, func(m *Mirror) bool {
		m.lead = &hfwork.Lead{Instance: "two", Address: "10.0.0.2:9000"}
		return true
	})
	_, err = n.Where(t.Context(), WhereTarget{Queue: "q"}, smallJob())
	var notLeading *NotLeadingError
	require.ErrorAs(t, err, &notLeading)
	require.Equal(t, "two", notLeading.Leader())
	require.Equal(t, "10.0.0.2:9000", notLeading.Address())
}

func TestWhereChecksQueueAccountAndJob(t *testing.T) {
	n := newAskedNode()
	for _, c := range []struct {
		target WhereTarget
		job    *hfwork.Job
		err    error
	}{
		{WhereTarget{Queue: "other"}, smallJob(), ErrNoQueue},
		{WhereTarget{Host: "jobs", Path: "/b/"}, smallJob(), ErrNoQueue},
		{WhereTarget{Queue: "q", Account: "none"}, smallJob(), ErrNoAccount},
		{WhereTarget{Queue: "q"}, &hfwork.Job{Steps: []*hfwork.Step{{}}}, hfwork.ErrInvalidJob},
	} {
		_, err := n.Where(t.Context(), c.target, c.job)
		require.ErrorIs(t, err, c.err)
	}
	_, err := newTestNode("two").Where(t.Context(), WhereTarget{Queue: "q"}, smallJob())
	require.ErrorIs(t, err, ErrNotReady)
}

// The refusal is that of a submission, and the memory that it would take is not counted.
func TestWhereTellsTheRefusal(t *testing.T) {
	n := newAskedNode()
	lead(n, 5)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for range 2 {
		_, err := n.Where(ctx, WhereTarget{Host: "jobs", Path: "/a/"}, smallJob())
		require.ErrorIs(t, err, context.Canceled, "the leader is asked, but does not run")
	}
	_, err := n.Where(ctx, WhereTarget{Queue: "q"}, smallJob())
	require.ErrorIs(t, err, hforder.ErrBusy)
	job := smallJob()
	job.Queue, job.Account, job.Settings = "q", "plants", &hfwork.Queue{Priority: 0}
	var held int64
	hfloop.With(n.mirror, func(m *Mirror) bool {
		size := hfwork.Footprint(job)
		for m.memory.Fits(m.memoryOwner(job), size) {
			m.memory.Add(m.memoryOwner(job), size)
			held += size
		}
		return true
	})
	r, err := n.Where(ctx, WhereTarget{Queue: "q", Account: "plants"}, smallJob())
	require.NoError(t, err)
	require.ErrorIs(t, r.Refused, ErrTooManyJobs)
	require.Equal(t, memoryRetryAfter, n.RetryAfter(r.Refused))
	require.Nil(t, r.Answer)
	_, reserveErr := n.reserveMemory(job)
	require.ErrorIs(t, reserveErr, ErrTooManyJobs, "a submission is refused likewise")
	hfloop.With(n.mirror, func(m *Mirror) bool {
		m.memory.Add(m.memoryOwner(job), -held)
		return true
	})
	for range maxFailures {
		n.health.Record(hfstore.ErrUnavailable, time.Now())
	}
	r, err = n.Where(ctx, WhereTarget{Queue: "q"}, smallJob())
	require.NoError(t, err)
	require.ErrorIs(t, r.Refused, ErrNotDone)
}
