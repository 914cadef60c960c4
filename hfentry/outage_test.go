package hfentry

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/heatherfront/heatherfront/hfstore"
	"github.com/heatherfront/heatherfront/hfwork"
)

var (
	urgentQueue = &hfwork.Queue{Name: "q", Stretch: 1.5, Objective: 400}
	batchQueue  = &hfwork.Queue{Name: "q", Priority: 1, Stretch: 3, Objective: 1200}
)

// Callers that wait 3 s were told to come back after 3 or 4 s when the outage had lasted that long, which is
// after they had given up.
func TestRefusedCallersComeBackBeforeTheyGiveUp(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		queue    *hfwork.Queue
		estimate time.Duration
		waits    time.Duration
		latest   time.Duration
	}{
		"urgent":                          {urgentQueue, 2500 * time.Millisecond, 3 * time.Second, urgentRetry},
		"urgent, waits long":              {urgentQueue, 2500 * time.Millisecond, time.Minute, urgentRetry},
		"less urgent":                     {batchQueue, 8 * time.Second, 3 * time.Second, 2 * time.Second},
		"less urgent, about to give up":   {batchQueue, 8 * time.Second, time.Second, urgentRetry},
		"less urgent, waits long":         {batchQueue, 8 * time.Second, time.Minute, retrySpread * time.Second},
		"less urgent, its objective near": {batchQueue, 500 * time.Millisecond, time.Minute, 2 * time.Second},
		"objective cannot be met":         {&hfwork.Queue{Priority: 1, Stretch: 1}, time.Second, time.Minute, retrySpread * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			caller := newOutageCaller(c.queue, c.estimate, now.Add(c.waits), now)
			seen := map[time.Duration]bool{}
			for seed := range uint64(100) {
				after := caller.retryAfter(now, seed)
				require.GreaterOrEqual(t, after, urgentRetry)
				require.LessOrEqual(t, after, c.latest)
				require.Zero(t, after%time.Second)
				seen[after] = true
			}
			if c.latest > 2*time.Second {
				require.Greater(t, len(seen), 1, "they do not come back at once")
			}
		})
	}
}

func TestCallsAreHeldBrieflyOnly(t *testing.T) {
	now := time.Unix(1000, 0)
	for waits, held := range map[time.Duration]time.Duration{
		3 * time.Second: 650 * time.Millisecond, time.Minute: 650 * time.Millisecond, 5300 * time.Millisecond: 950 * time.Millisecond,
		1200 * time.Millisecond: 300 * time.Millisecond, 400 * time.Millisecond: 100 * time.Millisecond, -time.Second: 0,
	} {
		c := newOutageCaller(urgentQueue, time.Second, now.Add(waits), now)
		require.Equal(t, held, c.holdUntil(now).Sub(now), "of %s", waits)
	}
	for waits := time.Duration(0); waits < 10*time.Second; waits += 10 * time.Millisecond {
		held := newOutageCaller(urgentQueue, time.Second, now.Add(waits), now).holdUntil(now).Sub(now)
		require.LessOrEqual(t, held, min(maxHold, waits/4))
	}
	require.LessOrEqual(t, newOutageCaller(urgentQueue, time.Second, time.Time{}, now).holdUntil(now).Sub(now), maxHold)
}

// Callers that wait 3 s and were held for 0.75 s came back at 1.75 s, and not a third time: an outage of 2.5 s
// refused them.
func TestCallerIsServedAfterOutageThatEndsBeforeItsDeadline(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, q := range []*hfwork.Queue{urgentQueue, batchQueue} {
		for outage := time.Duration(0); outage <= 2600*time.Millisecond; outage += 10 * time.Millisecond {
			c, at := newOutageCaller(q, 2500*time.Millisecond, now.Add(3*time.Second), now), now
			for !at.After(c.deadline.Add(-retryMargin)) && c.holdUntil(at).Before(now.Add(outage)) {
				at = c.holdUntil(at)
				at = at.Add(c.retryAfter(at, 1))
			}
			require.False(t, at.After(c.deadline.Add(-retryMargin)), "outage of %s, priority %d", outage, q.GetPriority())
		}
	}
}

func TestHeldCallsAreBounded(t *testing.T) {
	var r holdingRoom
	require.True(t, r.enter(maxHeldBytes))
	require.False(t, r.enter(1))
	r.leave(maxHeldBytes)
	for range maxHeld {
		require.True(t, r.enter(1))
	}
	require.False(t, r.enter(0))
}

// newOutageNode returns a node whose store is away, and is known to be.
func newOutageNode(t *testing.T) (*Node, *outageStore) {
	t.Helper()
	s := &outageStore{fakeStore: newFakeStore()}
	n := newTestNode("one")
	n.store, n.settings, n.health = s, outageSettings{}, NewStoreHealth(func(bool, time.Duration) {})
	s.away.Store(true)
	for range maxFailures {
		_ = n.probe(t.Context(), time.Second)
	}
	return n, s
}

func submitOne(ctx context.Context, n *Node) error {
	job := &hfwork.Job{Id: endedJob, Steps: []*hfwork.Step{{Count: 1, Cpu: 1, Memory: 1, Estimate: 2500}}}
	return n.Submit(ctx, NewAccess(urgentQueue, "", endedJob), job)
}

// A caller that came shortly before the end of an outage was refused, and came back a second later.
func TestHeldSubmissionIsStoredWhenTheStoreAnswers(t *testing.T) {
	n, s := newOutageNode(t)
	group, ctx := errgroup.WithContext(t.Context())
	ctx, cancel := context.WithCancel(ctx)
	group.Go(func() error { n.probeStore(ctx); return nil })
	group.Go(func() error {
		defer cancel()
		call, cancelCall := context.WithTimeout(ctx, 4*time.Second)
		defer cancelCall()
		return submitOne(call, n)
	})
	time.Sleep(100 * time.Millisecond)
	require.Empty(t, s.items)
	s.end(t, false)
	require.NoError(t, group.Wait())
	require.Contains(t, s.items, jobPrefix+endedJob)
}

func TestSubmissionDuringOutageIsRefusedTruthfully(t *testing.T) {
	n, s := newOutageNode(t)
	ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
	defer cancel()
	err := submitOne(ctx, n)
	require.ErrorIs(t, err, ErrNotDone)
	require.NotErrorIs(t, err, ErrEffectUnknown)
	require.NoError(t, ctx.Err(), "it is not held until the caller gives up")
	require.Equal(t, urgentRetry, n.RetryAfter(err).Round(time.Second))
	s.end(t, false)
	require.Empty(t, s.items, "nothing was sent")
}

// In a silent outage, writes were sent that got no answer, as one call in 250 ms was to find out whether the
// store answers. Their callers were told 504, after which they cannot tell whether the job runs.
func TestNoWriteIsSentToASilentStore(t *testing.T) {
	for name, silent := range map[string]time.Duration{"for a while": 2 * knockAfter, "just now": 0} {
		t.Run(name, func(t *testing.T) {
			s := &outageStore{fakeStore: newFakeStore()}
			n := newTestNode("one")
			n.store, n.settings, n.health = s, outageSettings{}, NewStoreHealth(func(bool, time.Duration) {})
			n.health.Record(nil, time.Now().Add(-silent))
			s.away.Store(true)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			if silent == 0 {
				require.ErrorIs(t, submitOne(ctx, n), ErrEffectUnknown, "it cannot be known")
				return
			}
			require.ErrorIs(t, submitOne(ctx, n), ErrNotDone)
		})
	}
}

// A held call must not outlast a planned stop.
func TestPlannedStopEndsHold(t *testing.T) {
	n, _ := newOutageNode(t)
	n.stopStarted = make(chan struct{})
	n.BeginStop()
	began := time.Now()
	require.ErrorIs(t, submitOne(t.Context(), n), ErrNotDone)
	require.Less(t, time.Since(began), maxHold/2)
}

func TestHealthTellsOfTheNextAnswer(t *testing.T) {
	h := NewStoreHealth(func(bool, time.Duration) {})
	now := time.Unix(1000, 0)
	isClosed := func() bool {
		select {
		case <-h.Answered():
			return true
		default:
			return false
		}
	}
	require.True(t, isClosed())
	h.Record(hfstore.ErrUnavailable, now)
	waiting := h.Answered()
	require.False(t, isClosed())
	require.True(t, h.Failing())
	h.Record(hfstore.ErrNotFound, now)
	<-waiting
	require.False(t, h.Failing())
	require.Zero(t, h.UpSince(), "it was never down")
}
