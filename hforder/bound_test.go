package hforder

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hflease"
	"github.com/heatherfront/heatherfront/hfplan"
	"github.com/heatherfront/heatherfront/hfwork"
)

// Guards against a task that waits for the stop of a run whose start never left, and against a run
// that is taken as not started although an earlier try of its start got no answer.
func TestStartThatWasNotSentIsRefused(t *testing.T) {
	notSent := fmt.Errorf("%w: %w", ErrNotSent, ErrUnanswered)
	for name, c := range map[string]struct {
		answers []error // of the tries; the last one repeats
		outcome hfplan.Outcome
	}{
		"no try was sent":         {[]error{notSent}, hfplan.OutcomeRefused},
		"the first try was sent":  {[]error{ErrUnanswered, notSent}, hfplan.OutcomeUnknown},
		"the second try was sent": {[]error{notSent, ErrUnanswered, notSent}, hfplan.OutcomeUnknown},
		"restarted before a try":  {[]error{notSent, fmt.Errorf("%w: %w", ErrNotSent, ErrWorkerRestarted)}, hfplan.OutcomeRefused},
		"restarted after a try":   {[]error{ErrUnanswered, fmt.Errorf("%w: %w", ErrNotSent, ErrWorkerRestarted)}, hfplan.OutcomeUnknown},
		"sent at the second try":  {[]error{notSent, nil}, hfplan.OutcomeDone},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				starts, _ := startsAndStops(t, 1)
				tries := 0
				m := &orderedWorker{answer: func(ctx context.Context, _ bool, _ string) error {
					err := c.answers[min(tries, len(c.answers)-1)]
					if tries++; errors.Is(err, ErrUnanswered) {
						<-ctx.Done()
					}
					return err
				}}
				messages := runDispatcher(t, m, func(d *dispatcher) { d.enqueue(order{start: &starts[0]}) })
				require.GreaterOrEqual(t, tries, min(2, len(c.answers)))
				require.Equal(t, []hfplan.Msg{hfplan.Started(starts[0], c.outcome)}, messages)
			})
		})
	}
}

// shortLivedWorker is a worker that restarts at each poll, with a clock and a start time of its own.
type shortLivedWorker struct {
	fakeMinions
	mu     sync.Mutex
	born   int64
	starts []Start
}

func (w *shortLivedWorker) Poll(context.Context, *hfwork.Worker, PollRequest) (hfwork.Report, error) {
	time.Sleep(testTransit)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.born++
	return hfwork.NewReport(w.born*lifeDistance, w.born, nil, nil), nil
}

func (w *shortLivedWorker) Start(_ context.Context, _ *hfwork.Worker, s Start) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts = append(w.starts, s)
	return ErrRefused
}

const lifeDistance = 1_000_000 // milliseconds between the clocks of two incarnations

// Guards against a start that goes to the incarnation of the last report with a lease on the clock of
// an earlier one.
func TestStartNamesTheIncarnationOfItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, timing := &shortLivedWorker{}, hfplan.NewTiming(testLease)
		l := NewLeader(hfplan.New(1, timing, time.Now()), hflease.NewTenure(5, hflease.Now(), time.Hour), m, fakeServices{}, fakeServices{}, "one", &fakeRecords{}, fakeServices{}, timing)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- l.Run(ctx, testPool("w")) }()
		for i := range 20 {
			l.Send(testJob(fmt.Sprint("job", i)))
			time.Sleep(time.Second)
		}
		cancel()
		require.NoError(t, <-ended)
		require.Greater(t, len(m.starts), 5)
		for _, s := range m.starts {
			require.Equal(t, s.Incarnation(), s.LeaseEnd()/lifeDistance, "%d", s.LeaseEnd())
		}
	})
}

// Guards against a start that was decided on the report of an earlier incarnation and is sent, or sent
// again, to the next one before the scheduler knows of the restart: that one may have less room and other
// labels.
func TestStartForEarlierIncarnationIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		starts, _ := startsAndStops(t, sendersPerWorker+1)
		m, last := &orderedWorker{answer: unanswered}, sendersPerWorker
		var restarted time.Time
		messages := runDispatcher(t, m, func(d *dispatcher) {
			for i := range starts {
				d.enqueue(order{start: &starts[i]})
			}
			time.Sleep(responseTimeout / 2)
			d.recordReport(hfwork.NewReport(10, 8, nil, nil), time.Now())
			restarted = time.Now()
		})
		require.Len(t, m.orders, sendersPerWorker)
		for _, o := range m.orders {
			require.True(t, o.sent.Before(restarted), "the start of %s was sent %s after the report of the next incarnation", o.run, o.sent.Sub(restarted))
		}
		require.Len(t, messages, len(starts))
		require.Contains(t, messages, hfplan.Started(starts[0], hfplan.OutcomeUnknown))
		require.Contains(t, messages, hfplan.Started(starts[last], hfplan.OutcomeRefused))
	})
}
