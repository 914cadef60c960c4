package hforder

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hflease"
	"github.com/heatherfront/heatherfront/hfplan"
	"github.com/heatherfront/heatherfront/hfwork"
)

const (
	testLease   = 6 * time.Second
	testTransit = 100 * time.Millisecond // of a response of clockWorker
)

// grantedLease is a lease end that a clockWorker was sent.
type grantedLease struct {
	verb   string
	excess int64     // milliseconds by which it is later than a full lease from when it was sent
	end    time.Time // when the worker's clock shows the lease end
}

// clockWorker stands for workers whose runs last, and that delay the answers to polls as long
// as they allow. They read their clock when they answer.
type clockWorker struct {
	fakeMinions
	started    time.Time // of the worker's clock
	rate       int64     // of the worker's clock, in percent
	muteStarts bool      // starts get no answer

	mu      sync.Mutex
	leases  []grantedLease
	running map[string][]hfwork.Run // by worker
	muted   string                  // worker whose polls get no answer
}

func (w *clockWorker) clock() int64 {
	return time.Since(w.started).Milliseconds() * w.rate / 100
}

// record notes the lease end of an order that is being sent.
func (w *clockWorker) record(verb string, leaseEnd int64) {
	if leaseEnd != 0 {
		w.leases = append(w.leases, grantedLease{
			verb: verb, excess: leaseEnd - w.clock() - testLease.Milliseconds(),
			end: w.started.Add(time.Duration(leaseEnd) * time.Millisecond * 100 / time.Duration(w.rate)),
		})
	}
}

func (w *clockWorker) Start(ctx context.Context, worker *hfwork.Worker, s Start) error {
	w.mu.Lock()
	w.record("start", s.LeaseEnd())
	if !w.muteStarts {
		if w.running == nil {
			w.running = map[string][]hfwork.Run{}
		}
		w.running[worker.GetId()] = append(w.running[worker.GetId()], hfwork.NewRun(s.Task(), s.Run(), "", 0, 0))
	}
	w.mu.Unlock()
	if w.muteStarts {
		<-ctx.Done()
		return ErrUnanswered
	}
	return nil
}

func (w *clockWorker) Poll(ctx context.Context, worker *hfwork.Worker, r PollRequest) (hfwork.Report, error) {
	w.mu.Lock()
	w.record("poll", r.LeaseEnd())
	w.mu.Unlock()
	select {
	case <-time.After(r.Wait()):
	case <-ctx.Done():
		return hfwork.Report{}, ErrUnanswered
	}
	w.mu.Lock()
	report := hfwork.NewReport(w.clock(), 7, append([]hfwork.Run(nil), w.running[worker.GetId()]...), nil)
	muted := w.muted == worker.GetId()
	w.mu.Unlock()
	time.Sleep(testTransit)
	if muted {
		return hfwork.Report{}, ErrUnanswered
	}
	return report, nil
}

// muteBusy mutes a worker that has a run.
func (w *clockWorker) muteBusy() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for worker := range w.running {
		w.muted = worker
	}
}

func (w *clockWorker) unmute() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.muted = ""
}

// lead runs a leader while jobs of one long task are submitted at intervals, and for a while
// more, and returns the result of Run.
func lead(t *testing.T, m Minions, tenure Tenure, jobs int, more time.Duration) error {
	t.Helper()
	timing := hfplan.NewTiming(testLease)
	l := NewLeader(hfplan.New(1, timing, time.Now()), tenure, m, fakeServices{}, fakeServices{}, "one", &fakeRecords{}, fakeServices{}, timing)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- l.Run(ctx, testPool("w")) }()
	for i := range jobs {
		time.Sleep(170 * time.Millisecond)
		l.Send(testJob(fmt.Sprint("job", i)))
	}
	time.Sleep(more)
	cancel()
	return <-ended
}

// testPool returns the initial messages for a pool of workers and its queue.
func testPool(workers ...string) []hfplan.Msg {
	byID := map[string]*hfwork.Worker{}
	for _, id := range workers {
		byID[id] = &hfwork.Worker{Id: id, Pool: "p", Rack: "r", Cpu: 1000, Memory: 1000, Accelerators: 64}
	}
	return []hfplan.Msg{hfplan.Policy(&hfwork.Policy{Queues: []*hfwork.Queue{{Name: "q", Pool: "p", Attempts: 1}}}), hfplan.Workers(byID)}
}

// testJob returns a job of one long task.
func testJob(id string) hfplan.JobMsg {
	return hfplan.Job(&hfwork.Job{Id: id, Queue: "q", Steps: []*hfwork.Step{{Count: 1, Accelerators: 1, Estimate: 60_000}}}, nil, false)
}

// Guards against leases that outlive the time after which the scheduler takes those of a
// silent worker to have expired: an order that is carried out late extends them up to the
// lease end that it carries.
func TestLeaseEndsWithinAFullLeaseOfTheWorkersClock(t *testing.T) {
	for _, rate := range []int64{98, 100, 102} {
		t.Run(fmt.Sprintf("clock at %d%%", rate), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := &clockWorker{started: time.Now().Add(-time.Hour), rate: rate}
				require.NoError(t, lead(t, m, hflease.NewTenure(5, hflease.Now(), time.Hour), 20, 3*time.Second))

				count := map[string]int{}
				for _, g := range m.leases {
					count[g.verb]++
					require.LessOrEqual(t, g.excess, int64(0), "%s: the lease ends %d ms after a full one on the worker's clock", g.verb, g.excess)
				}
				require.Greater(t, count["start"], 10)
				require.GreaterOrEqual(t, count["poll"], 3)
			})
		})
	}
}

const testPause = 10 * time.Second

// pausingTenure is valid until a time. From pausedFrom on, the process is paused for testPause
// after each check.
type pausingTenure struct {
	validUntil time.Time
	pausedFrom time.Time
}

func (p pausingTenure) Epoch() int64 { return 5 }

func (p pausingTenure) Valid(time.Time) bool {
	now := time.Now()
	if valid := now.Before(p.validUntil); !valid || now.Before(p.pausedFrom) {
		return valid
	}
	time.Sleep(testPause)
	return true
}

func (pausingTenure) Suspended(time.Time) bool { return false }

// Guards against leases that outlive the time after which a later leader takes them to have
// expired, which counts from the start of its leadership.
func TestLeaseEndsWithinAFullLeaseOfTheTenure(t *testing.T) {
	const valid = 4 * time.Second
	for name, test := range map[string]struct {
		paused time.Duration // before the end of the tenure; 0 for no pause
		jobs   int
		mute   bool
	}{
		"polls":                                 {jobs: 1},
		"polls and starts":                      {jobs: 50},
		"polls, paused after the check":         {paused: 2 * time.Second, jobs: 1},
		"starts, paused after the check":        {paused: 2 * time.Second, jobs: 50},
		"start retries, paused after the check": {paused: 2 * time.Second, jobs: 50, mute: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				validUntil := time.Now().Add(valid)
				m := &clockWorker{started: time.Now().Add(-time.Hour), rate: 100, muteStarts: test.mute}
				err := lead(t, m, pausingTenure{validUntil: validUntil, pausedFrom: validUntil.Add(-test.paused)}, test.jobs, 3*testPause)
				latest := map[string]time.Time{}
				for _, g := range m.leases {
					if g.end.After(latest[g.verb]) {
						latest[g.verb] = g.end
					}
				}
				require.Len(t, latest, 2)
				for verb, end := range latest {
					assert.LessOrEqual(t, end.Sub(validUntil), testLease, "latest lease end of a %s, after the end of the tenure", verb)
				}
				require.ErrorIs(t, err, ErrNotLeading)
			})
		})
	}
}

// restartingWorker is a worker that is restarted under its id when an end of its first
// incarnation is acknowledged. That poll gets no answer.
type restartingWorker struct {
	fakeMinions
	mu        sync.Mutex
	restarted bool
	polls     []PollRequest // that the second incarnation got
}

func (w *restartingWorker) Poll(_ context.Context, _ *hfwork.Worker, r PollRequest) (hfwork.Report, error) {
	time.Sleep(testTransit)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.restarted:
		w.polls = append(w.polls, r)
		return hfwork.NewReport(10, 8, nil, nil), nil
	case r.LastStored() > 0:
		w.restarted = true
		return hfwork.Report{}, ErrUnanswered
	}
	end := hfwork.NewEnd(57, hfwork.NewTaskID("a", 0, 0, 0), 1, hfwork.Stopped, "")
	return hfwork.NewReport(1000, 7, nil, []hfwork.End{end}), nil
}

// Guards against ends that a restarted worker forgets before they are stored: it numbers them
// from 1 again, and takes an acknowledgement of earlier ends for one of its own.
func TestEndsAreNotAcknowledgedToRestartedWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &restartingWorker{}
		timing := hfplan.NewTiming(testLease)
		l := NewLeader(hfplan.New(1, timing, time.Now()), hflease.NewTenure(5, hflease.Now(), time.Hour), m, fakeServices{}, fakeServices{}, "one", &fakeRecords{}, fakeServices{}, timing)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() {
			ended <- l.Run(ctx, []hfplan.Msg{hfplan.Workers(map[string]*hfwork.Worker{"w": {Id: "w", Pool: "p"}})})
		}()
		time.Sleep(10 * time.Second)
		cancel()
		require.NoError(t, <-ended)
		require.NotEmpty(t, m.polls)
		for i, r := range m.polls {
			require.Zero(t, r.LastStored(), "poll %d after the restart acknowledges ends of the earlier incarnation", i)
			if i == 0 {
				require.Zero(t, r.LeaseEnd(), "a lease that counts on the clock of the earlier incarnation")
			}
		}
	})
}

// pausingObserver pauses the scheduler when it places the tasks of a job.
type pausingObserver struct {
	fakeServices
	job     string
	pause   time.Duration
	retries []string // reasons for which runs were given up
}

func (o *pausingObserver) Decided(c hfplan.NoteCmd) {
	switch {
	case c.Note() == hfplan.NotePlaced && c.Job() == o.job:
		time.Sleep(o.pause)
	case c.Note() == hfplan.NoteRetry:
		o.retries = append(o.retries, c.Reason())
	}
}

// Guards against a run that is given up although the leases of its worker were renewed in time:
// a scheduler that was paused has reports waiting when its tick is due.
func TestTickFollowsReportsQueuedBefore(t *testing.T) {
	for range 30 { // a select with several ready cases chooses one at random
		synctest.Test(t, func(t *testing.T) {
			m := &clockWorker{started: time.Now().Add(-time.Hour), rate: 100}
			o := &pausingObserver{job: "second", pause: 2 * testLease}
			timing := hfplan.NewTiming(testLease)
			l := NewLeader(hfplan.New(1, timing, time.Now()), hflease.NewTenure(5, hflease.Now(), time.Hour), m, fakeServices{}, fakeServices{}, "one", &fakeRecords{}, o, timing)
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan error, 1)
			go func() { ended <- l.Run(ctx, testPool("v", "w")) }()
			l.Send(testJob("first"))
			time.Sleep(time.Second)
			m.muteBusy()
			time.Sleep(3 * time.Second)
			l.Send(testJob("second"))
			time.Sleep(time.Second)
			m.unmute()
			time.Sleep(3 * testLease)
			cancel()
			require.NoError(t, <-ended)
			require.NotContains(t, o.retries, "lease lapsed", "the leases were renewed in time")
		})
	}
}

// reconnectingWorker is a worker whose connection for polls is lost at times.
type reconnectingWorker struct {
	fakeMinions
	mu         sync.Mutex
	born       int64
	connected  bool // the incarnation has answered on the open connection
	closes     bool // it closes the connection after each answer
	announces  bool // its answers say so
	polls      []PollRequest
	bornAt     []int64 // of the incarnation that received each poll
	calls      int
	disconnect func() // called after the tenth poll if set
}

func (w *reconnectingWorker) Poll(_ context.Context, _ *hfwork.Worker, r PollRequest) (hfwork.Report, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls++
	if r.Bound() && !w.connected && !r.Reconnects() {
		return hfwork.Report{}, ErrDisconnected
	}
	time.Sleep(testTransit)
	w.polls, w.bornAt = append(w.polls, r), append(w.bornAt, w.born)
	w.connected = !w.closes
	report := hfwork.NewReport(1000*w.born, w.born, nil, nil).WithConnectionClosed(w.closes && w.announces)
	if len(w.polls) == 10 && w.disconnect != nil {
		w.disconnect()
	}
	return report, nil
}

// silenceObserver counts the polls that are reported as unanswered.
type silenceObserver struct {
	fakeServices
	silences atomic.Int64
}

func (o *silenceObserver) OrderFinished(verb string, _ hfwork.TaskID, _ int64, _ string, _ time.Time, _ error) {
	if verb == "look" {
		o.silences.Add(1)
	}
}

// pollReconnectingWorker polls a worker for ten seconds.
func pollReconnectingWorker(t *testing.T, m *reconnectingWorker) *silenceObserver {
	t.Helper()
	o, timing := &silenceObserver{}, hfplan.NewTiming(testLease)
	l := NewLeader(hfplan.New(1, timing, time.Now()), hflease.NewTenure(5, hflease.Now(), time.Hour), m, fakeServices{}, fakeServices{}, "one", &fakeRecords{}, o, timing)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		ended <- l.Run(ctx, []hfplan.Msg{hfplan.Workers(map[string]*hfwork.Worker{"w": {Id: "w", Pool: "p"}})})
	}()
	time.Sleep(10 * time.Second)
	cancel()
	require.NoError(t, <-ended)
	return o
}

// Guards against a lost connection that passes for a silent worker, on which nothing is started,
// and against bound polls for an earlier incarnation after it.
func TestLostConnectionIsFollowedByAnUnboundPoll(t *testing.T) {
	for name, restarts := range map[string]bool{"connection reset": false, "worker restarted": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := &reconnectingWorker{born: 7}
				m.disconnect = func() {
					m.connected = false
					if restarts {
						m.born++
					}
				}
				o := pollReconnectingWorker(t, m)
				require.Greater(t, len(m.polls), 12)
				require.Zero(t, o.silences.Load())
				for i, r := range m.polls {
					switch i {
					case 0, 10:
						require.False(t, r.Bound(), "poll %d", i)
						require.Zero(t, r.Wait(), "poll %d", i)
					default:
						require.True(t, r.Bound(), "poll %d", i)
						require.Equal(t, m.bornAt[i], r.Incarnation(), "poll %d", i)
					}
				}
			})
		})
	}
}

// Guards against polls without a pause to a worker that closes its connection after each answer.
func TestWorkerThatClosesItsConnectionIsPolledAtIntervals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &reconnectingWorker{born: 7, closes: true}
		pollReconnectingWorker(t, m)
		require.LessOrEqual(t, m.calls, 2*int(10*time.Second/silentPollPause)+2)
	})
}

// Guards against runs that end with their leases on a worker that closes its connection after each answer.
func TestWorkerThatClosesItsConnectionGetsRenewals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &reconnectingWorker{born: 7, closes: true, announces: true}
		pollReconnectingWorker(t, m)
		require.Greater(t, len(m.polls), 2*closingAnswers)
		for i, r := range m.polls {
			require.Equal(t, i >= closingAnswers, r.Bound(), "poll %d", i)
		}
	})
}

// Guards against bound polls on a new connection to a worker that keeps its connections and closes them
// only while it shuts down: its next life could receive them.
func TestWorkerThatShutsDownGetsNoBoundPollOnANewConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &reconnectingWorker{born: 7, announces: true}
		m.disconnect = func() { m.connected, m.closes = false, true }
		pollReconnectingWorker(t, m)
		require.Greater(t, len(m.polls), 12)
		for i, r := range m.polls {
			require.False(t, r.Reconnects(), "poll %d", i)
			if i >= 10 {
				require.False(t, r.Bound(), "poll %d", i)
			}
		}
	})
}

// Guards against polls to the next life of a worker that are taken for ones to a worker that always closes.
func TestNextLifeHasToShowThatItClosesItsConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &reconnectingWorker{born: 7, closes: true, announces: true}
		m.disconnect = func() { m.born++ }
		pollReconnectingWorker(t, m)
		require.Greater(t, len(m.polls), 12+closingAnswers)
		for i := 11; i < 11+closingAnswers-1; i++ {
			require.False(t, m.polls[i].Bound(), "poll %d", i)
		}
	})
}

// Guards against an end that is lost with a leaving worker because it is not polled while the record of
// an earlier end is stored.
func TestDrainingWorkerIsPolledBeforeItsEndsAreStored(t *testing.T) {
	for draining, longest := range map[bool]time.Duration{false: ackTimeout, true: drainAckTimeout} {
		t.Run(fmt.Sprint(draining), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				runDispatcher(t, &orderedWorker{}, func(d *dispatcher) {
					d.worker, d.lastReported = &hfwork.Worker{Id: "w", Draining: draining}, 1
					began := time.Now()
					d.awaitEndsStored(t.Context())
					require.Equal(t, longest, time.Since(began))
				})
			})
		})
	}
}
