package hforder

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/heatherfront/heatherfront/hflease"
	"github.com/heatherfront/heatherfront/hfplan"
	"github.com/heatherfront/heatherfront/hfwork"
)

// sentOrder is an order that an orderedWorker got.
type sentOrder struct {
	start    bool
	run      string
	sent     time.Time
	finished time.Time // when the call returned
}

// orderedWorker is a worker that records the orders it gets. answer determines the answer.
type orderedWorker struct {
	fakeMinions
	answer func(ctx context.Context, start bool, run string) error

	mu     sync.Mutex
	orders []sentOrder
}

func (w *orderedWorker) receive(ctx context.Context, start bool, task hfwork.TaskID, number int64) error {
	o := sentOrder{start: start, run: runName(task, number), sent: time.Now()}
	err := w.answer(ctx, start, o.run)
	o.finished = time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.orders = append(w.orders, o)
	return err
}

func (w *orderedWorker) Start(ctx context.Context, _ *hfwork.Worker, s Start) error {
	return w.receive(ctx, true, s.Task(), s.Run())
}

func (w *orderedWorker) Stop(ctx context.Context, _ *hfwork.Worker, task hfwork.TaskID, run, _ int64) error {
	return w.receive(ctx, false, task, run)
}

// sentFor returns the orders for a run that start or stop it.
func (w *orderedWorker) sentFor(run string, start bool) []sentOrder {
	var list []sentOrder
	for _, o := range w.orders {
		if o.run == run && o.start == start {
			list = append(list, o)
		}
	}
	return list
}

func runName(task hfwork.TaskID, number int64) string {
	return fmt.Sprint(task.Index(), "/", number)
}

// unanswered is the answer of a worker that does not answer.
func unanswered(ctx context.Context, _ bool, _ string) error {
	<-ctx.Done()
	return ErrUnanswered
}

// startsAndStops returns the commands with which a scheduler starts and then stops the runs of
// a job.
func startsAndStops(t *testing.T, runs uint32) ([]hfplan.StartCmd, []hfplan.StopCmd) {
	t.Helper()
	s, now := hfplan.New(1, hfplan.NewTiming(testLease), time.Now()), time.Now()
	job := &hfwork.Job{Id: "a", Queue: "q", Steps: []*hfwork.Step{{Count: runs, Accelerators: 1, Estimate: 60_000}}}
	var starts []hfplan.StartCmd
	var stops []hfplan.StopCmd
	var update func(msg hfplan.Msg)
	update = func(msg hfplan.Msg) {
		for _, cmd := range s.Update(msg, now) {
			switch c := cmd.(type) {
			case hfplan.StoreCmd:
				update(hfplan.Stored(c))
				update(hfplan.PassMsg{})
			case hfplan.StartCmd:
				starts = append(starts, c)
			case hfplan.StopCmd:
				stops = append(stops, c)
			}
		}
	}
	for _, msg := range []hfplan.Msg{
		hfplan.Policy(&hfwork.Policy{Queues: []*hfwork.Queue{{Name: "q", Pool: "p", Attempts: 1}}}),
		hfplan.Workers(map[string]*hfwork.Worker{"w": {Id: "w", Pool: "p", Rack: "r", Cpu: 1000, Memory: 1000, Accelerators: 64}}),
		hfplan.Report("w", now, hfwork.NewReport(1000, 7, nil, nil)),
		hfplan.Job(job, nil, false),
		hfplan.PassMsg{},
		hfplan.Job(job, nil, true),
		hfplan.PassMsg{},
	} {
		update(msg)
	}
	require.Len(t, starts, int(runs))
	require.Len(t, stops, int(runs))
	return starts, stops
}

// runDispatcher runs the senders of a dispatcher while test runs, and until they are idle, and
// returns the messages to the scheduler.
func runDispatcher(t *testing.T, m Minions, test func(d *dispatcher)) []hfplan.Msg {
	t.Helper()
	l := NewLeader(nil, hflease.NewTenure(5, hflease.Now(), time.Hour), m, fakeServices{}, fakeServices{}, "one", &fakeRecords{}, fakeServices{}, hfplan.NewTiming(testLease))
	l.group = &errgroup.Group{}
	d := &dispatcher{leader: l, worker: &hfwork.Worker{Id: "w"}, incarnation: 7, workerClock: 1000, reportedAt: time.Now()}
	ctx, cancel := context.WithCancel(t.Context())
	d.deliver = func(o order) { l.deliver(ctx, d, o) }
	test(d)
	time.Sleep(time.Minute)
	cancel()
	require.NoError(t, l.group.Wait())
	var messages []hfplan.Msg
	for len(l.inbox) > 0 {
		messages = append(messages, <-l.inbox)
	}
	return messages
}

// Guards against a start that is sent after the scheduler has given its run up, and has perhaps
// started the next one elsewhere.
func TestQueuedStartIsWithdrawnByStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		starts, stops := startsAndStops(t, sendersPerWorker+1)
		m := &orderedWorker{answer: unanswered}
		last := sendersPerWorker
		messages := runDispatcher(t, m, func(d *dispatcher) {
			for i := range starts {
				d.enqueue(order{start: &starts[i]})
			}
			time.Sleep(responseTimeout / 2)
			d.enqueue(order{stop: &stops[last]})
		})
		require.Empty(t, m.sentFor(runName(starts[last].Task(), starts[last].Number()), true), "the start was sent after the stop was queued")
		require.Contains(t, messages, hfplan.Stopped(stops[last], hfplan.OutcomeRefused))
		require.Contains(t, messages, hfplan.Started(starts[last], hfplan.OutcomeRefused))
	})
}

// Guards against a retry of a start that reaches a worker which no longer knows that the run
// was stopped, as after a restart.
func TestStopEndsRetriesOfStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		starts, stops := startsAndStops(t, 1)
		m := &orderedWorker{answer: unanswered}
		messages := runDispatcher(t, m, func(d *dispatcher) {
			d.enqueue(order{start: &starts[0]})
			time.Sleep(responseTimeout + responseTimeout/2) // during the first retry
			d.enqueue(order{stop: &stops[0]})
		})
		run := runName(starts[0].Task(), starts[0].Number())
		sent, stopped := m.sentFor(run, true), m.sentFor(run, false)
		require.NotEmpty(t, stopped)
		require.Len(t, sent, 2, "the start was retried after the stop was queued")
		require.False(t, stopped[0].sent.Before(sent[1].finished), "the stop was sent beside the start and may overtake it")
		require.Contains(t, messages, hfplan.Started(starts[0], hfplan.OutcomeUnknown))
	})
}

// Guards against a start that is sent seconds after it was decided, when the scheduler may take
// its run to have ended with the leases of the worker.
func TestStartThatWaitedTooLongIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		starts, _ := startsAndStops(t, 20)
		begin := time.Now()
		m := &orderedWorker{answer: unanswered}
		messages := runDispatcher(t, m, func(d *dispatcher) {
			for i := range starts {
				d.enqueue(order{start: &starts[i]})
			}
		})
		for _, o := range m.orders {
			require.LessOrEqual(t, o.finished.Sub(begin), 3*time.Second, "sent after the other members of a gang have given up")
		}
		last := len(starts) - 1
		require.Empty(t, m.sentFor(runName(starts[last].Task(), starts[last].Number()), true))
		require.Contains(t, messages, hfplan.Started(starts[last], hfplan.OutcomeRefused))
		require.Len(t, messages, len(starts), "every start is answered")
	})
}

// Guards against a start that is sent after a stop of its run, whatever the worker answers and
// in whichever order the orders are queued.
func TestNoStartIsSentAfterStopOfItsRun(t *testing.T) {
	for seed := range uint64(100) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 0))
			var randomMu sync.Mutex
			below := func(n int) int {
				randomMu.Lock()
				defer randomMu.Unlock()
				return random.IntN(n)
			}
			starts, stops := startsAndStops(t, 12)
			answers := []error{nil, nil, ErrUnanswered, ErrRefused, ErrStaleRun, ErrWorkerRestarted}
			m := &orderedWorker{answer: func(ctx context.Context, start bool, run string) error {
				select {
				case <-ctx.Done():
					return ErrUnanswered
				case <-time.After(time.Duration(below(400)) * time.Millisecond):
				}
				return answers[below(len(answers))]
			}}
			stopQueued := map[string]time.Time{}
			messages := runDispatcher(t, m, func(d *dispatcher) {
				d.setSilent(below(8) == 0)
				for _, i := range random.Perm(2 * len(starts)) {
					time.Sleep(time.Duration(below(200)) * time.Millisecond)
					run := i % len(starts)
					name := runName(starts[run].Task(), starts[run].Number())
					if _, started := stopQueued[name]; !started {
						stopQueued[name] = time.Time{}
						d.enqueue(order{start: &starts[run]})
						continue
					}
					stopQueued[name] = time.Now()
					d.enqueue(order{stop: &stops[run]})
				}
			})
			for i := range starts {
				name := runName(starts[i].Task(), starts[i].Number())
				sent, stopped := m.sentFor(name, true), m.sentFor(name, false)
				for _, o := range sent {
					require.False(t, o.sent.After(stopQueued[name]), "seed %d: start of %s sent after its stop was queued", seed, name)
					require.True(t, len(stopped) == 0 || !o.finished.After(stopped[0].sent), "seed %d: stop of %s sent beside its start", seed, name)
				}
				answered := 0
				for _, msg := range messages {
					for _, outcome := range []hfplan.Outcome{hfplan.OutcomeDone, hfplan.OutcomeRefused, hfplan.OutcomeStale, hfplan.OutcomeUnknown} {
						if msg == hfplan.Started(starts[i], outcome) {
							answered++
							require.False(t, outcome == hfplan.OutcomeRefused && len(sent) > 1, "seed %d: start of %s sent several times, and told as without effect", seed, name)
						}
						if msg == hfplan.Stopped(stops[i], outcome) {
							answered++
						}
					}
				}
				require.Equal(t, 2, answered, "seed %d: start and stop of %s are answered once each", seed, name)
			}
		})
	}
}

// Guards against a queue that grows while a worker does not answer: the scheduler repeats a stop
// until it has an effect.
func TestRepeatedStopIsQueuedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		starts, stops := startsAndStops(t, sendersPerWorker+1)
		m := &orderedWorker{answer: func(ctx context.Context, start bool, run string) error {
			if start {
				return unanswered(ctx, start, run)
			}
			return nil
		}}
		last := sendersPerWorker
		messages := runDispatcher(t, m, func(d *dispatcher) {
			for i := range starts {
				d.enqueue(order{start: &starts[i]})
			}
			time.Sleep(responseTimeout / 2)
			for range 5 {
				d.enqueue(order{stop: &stops[last]})
			}
			for range 5 {
				d.enqueue(order{stop: &stops[0]})
			}
		})
		require.Empty(t, m.sentFor(runName(starts[last].Task(), starts[last].Number()), true))
		require.Empty(t, m.sentFor(runName(starts[last].Task(), starts[last].Number()), false))
		require.Contains(t, messages, hfplan.Stopped(stops[last], hfplan.OutcomeRefused))
		require.Len(t, m.sentFor(runName(starts[0].Task(), starts[0].Number()), false), 1)
	})
}

// Guards against a run that is taken to have ended because its worker refused the stop: an
// unhealthy worker refuses everything, and may go on with the run.
func TestRefusedStopDoesNotEndRun(t *testing.T) {
	for answer, outcomes := range map[error]struct{ start, stop hfplan.Outcome }{
		nil:                {hfplan.OutcomeDone, hfplan.OutcomeDone},
		ErrRefused:         {hfplan.OutcomeRefused, hfplan.OutcomeUnknown},
		ErrStaleRun:        {hfplan.OutcomeStale, hfplan.OutcomeUnknown},
		ErrUnanswered:      {hfplan.OutcomeUnknown, hfplan.OutcomeUnknown},
		ErrWorkerRestarted: {hfplan.OutcomeRefused, hfplan.OutcomeRefused},
	} {
		t.Run(fmt.Sprint(answer), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				starts, stops := startsAndStops(t, 1)
				m := &orderedWorker{answer: func(context.Context, bool, string) error { return answer }}
				messages := runDispatcher(t, m, func(d *dispatcher) {
					d.enqueue(order{start: &starts[0]})
					time.Sleep(time.Minute)
					d.enqueue(order{stop: &stops[0]})
				})
				require.Equal(t, []hfplan.Msg{hfplan.Started(starts[0], outcomes.start), hfplan.Stopped(stops[0], outcomes.stop)}, messages)
			})
		})
	}
}

// Guards against a run that is taken to have ended because its worker's entry names the address
// of another worker, which answers that it is not meant. The run goes on at the old address.
func TestStopAnsweredAtAnotherAddressDoesNotEndRun(t *testing.T) {
	for name, c := range map[string]struct {
		polledAt string
		want     hfplan.Outcome
	}{
		"where the worker was":    {"10.0.0.1:80", hfplan.OutcomeRefused},
		"at another address":      {"10.0.0.2:80", hfplan.OutcomeUnknown},
		"before the first report": {"", hfplan.OutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				starts, stops := startsAndStops(t, 1)
				m := &orderedWorker{answer: func(_ context.Context, start bool, _ string) error {
					if start {
						return nil
					}
					return ErrWorkerRestarted
				}}
				messages := runDispatcher(t, m, func(d *dispatcher) {
					d.worker = &hfwork.Worker{Id: "w", Address: c.polledAt}
					if c.polledAt != "" {
						_, err := d.poll(t.Context(), 0, false)
						require.NoError(t, err)
					}
					d.mu.Lock()
					d.worker = &hfwork.Worker{Id: "w", Address: "10.0.0.1:80"}
					d.mu.Unlock()
					d.enqueue(order{start: &starts[0]})
					time.Sleep(time.Minute)
					d.enqueue(order{stop: &stops[0]})
				})
				require.Contains(t, messages, hfplan.Stopped(stops[0], c.want))
			})
		})
	}
}
