package hforder

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hflease"
	"github.com/heatherfront/heatherfront/hfplan"
	"github.com/heatherfront/heatherfront/hfwork"
)

// Guards against a worker that is filled beyond its resources after these have shrunk: starts that
// were queued, or that are sent again, when its entry changed.
func TestNoStartIsSentBeyondShrunkResources(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &orderedWorker{answer: unanswered}
		timing := hfplan.NewTiming(testLease)
		l := NewLeader(hfplan.New(1, timing, time.Now()), hflease.NewTenure(5, hflease.Now(), time.Hour), m, fakeServices{}, fakeServices{}, "one", &fakeRecords{}, fakeServices{}, timing)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		job := &hfwork.Job{Id: "a", Queue: "q", Steps: []*hfwork.Step{{Count: 2 * sendersPerWorker, Accelerators: 16, Estimate: 60_000}}}
		go func() { ended <- l.Run(ctx, append(testPool("w"), hfplan.Job(job, nil, false))) }()
		time.Sleep(responseTimeout)
		shrunk := time.Now()
		l.Send(hfplan.Workers(map[string]*hfwork.Worker{"w": {Id: "w", Pool: "p", Rack: "r", Cpu: 1000, Memory: 1000, Accelerators: 15}}))
		time.Sleep(testLease)
		cancel()
		require.NoError(t, <-ended)
		starts := 0
		for _, o := range m.orders {
			if o.start {
				starts++
				require.False(t, o.sent.After(shrunk.Add(responseTimeout)), "a start was sent %s after the change", o.sent.Sub(shrunk))
			}
		}
		require.GreaterOrEqual(t, starts, sendersPerWorker)
	})
}
