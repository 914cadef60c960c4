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

func newAskedLeader() *Leader {
	timing := hfplan.NewTiming(testLease)
	return NewLeader(hfplan.New(1, timing, time.Now()), hflease.NewTenure(5, hflease.Now(), time.Hour), &fakeMinions{}, fakeServices{}, fakeServices{}, "one", &fakeRecords{}, fakeServices{}, timing)
}

func TestLeaderAnswersWhereJobsWouldGo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newAskedLeader()
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- l.Run(ctx, testPool("w")) }()
		time.Sleep(time.Second)
		for accelerators, outcome := range map[int64]hfplan.WhereOutcome{1: hfplan.WhereStarts, 65: hfplan.WhereNever} {
			asked := time.Now()
			a, err := l.Where(ctx, &hfwork.Job{Id: "a", Queue: "q", Steps: []*hfwork.Step{{Count: 1, Accelerators: accelerators, Estimate: 1000}}})
			require.NoError(t, err)
			require.Equal(t, outcome, a.Steps[0].Outcome)
			require.LessOrEqual(t, time.Since(asked), questionInterval+2*tickInterval)
		}
		_, err := l.Where(ctx, nil)
		require.NoError(t, err, "a job of no queue")
		cancel()
		require.NoError(t, <-ended)
		_, err = l.Where(t.Context(), &hfwork.Job{Queue: "q"})
		require.ErrorIs(t, err, ErrLeadershipEnded)
	})
}

// A leader that does not answer, and one whose scheduler panics.
func TestQuestionsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newAskedLeader()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		for range maxQuestions {
			go func() { _, _ = l.Where(ctx, &hfwork.Job{}) }()
		}
		synctest.Wait()
		_, err := l.Where(ctx, &hfwork.Job{})
		require.ErrorIs(t, err, ErrBusy)
		l.scheduler = nil
		require.ErrorIs(t, l.where(&hfwork.Job{}, time.Now()).err, errNoAnswer)
	})
}
