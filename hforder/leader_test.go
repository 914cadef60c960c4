package hforder

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hflease"
	"github.com/heatherfront/heatherfront/hfplan"
	"github.com/heatherfront/heatherfront/hfstore"
	"github.com/heatherfront/heatherfront/hfwork"
)

// fakeMinions is a single worker that records the calls it gets and completes each run at
// once.
type fakeMinions struct {
	mu          sync.Mutex
	starts      []Start
	polls       []PollRequest
	ends        []hfwork.End
	pollErr     error          // returned by Poll
	lostAnswers int            // number of starts whose answer is lost
	report      *hfwork.Report // returned by Poll instead of the ends if set
}

func (m *fakeMinions) Start(_ context.Context, _ *hfwork.Worker, s Start) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.starts = append(m.starts, s)
	switch {
	case m.lostAnswers > 0:
		m.lostAnswers--
		return ErrUnanswered
	case len(m.ends) > 0 && m.ends[0].Number() == s.Run():
		return ErrStaleRun
	}
	m.ends = append(m.ends, hfwork.NewEnd(int64(len(m.starts)), s.Task(), s.Run(), hfwork.Done, ""))
	return nil
}

func (m *fakeMinions) Stop(context.Context, *hfwork.Worker, hfwork.TaskID, int64, int64) error {
	return nil
}

func (m *fakeMinions) Pace(context.Context, *hfwork.Worker, hfwork.TaskID, int64, int64, int64) error {
	return nil
}

func (m *fakeMinions) Poll(ctx context.Context, _ *hfwork.Worker, r PollRequest) (hfwork.Report, error) {
	m.mu.Lock()
	m.polls = append(m.polls, r)
	err, report := m.pollErr, m.report
	var ends []hfwork.End
	for _, e := range m.ends {
		if e.Sequence() > r.LastStored() {
			ends = append(ends, e)
		}
	}
	m.mu.Unlock()
	if err != nil {
		return hfwork.Report{}, err
	}
	if report != nil {
		return *report, nil
	}
	if len(ends) == 0 {
		select {
		case <-time.After(min(r.Wait(), 20*time.Millisecond)):
		case <-ctx.Done():
		}
	}
	return hfwork.NewReport(1000, 7, nil, ends), nil
}

// counts returns the number of starts and the last acknowledged end.
func (m *fakeMinions) counts() (starts int, acked int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.polls {
		acked = max(acked, p.LastStored())
	}
	return len(m.starts), acked
}

// fakeRecords counts the successful saves. Save returns err.
type fakeRecords struct {
	mu    sync.Mutex
	err   error
	saves int
}

func (r *fakeRecords) Save(context.Context, hfplan.StoreCmd) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err == nil {
		r.saves++
	}
	return r.err
}

func (r *fakeRecords) setErr(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.err = err
}

// fakeServices ignores observations and refuses all calls to the platform.
type fakeServices struct{}

func (fakeServices) Decided(hfplan.NoteCmd)                                               {}
func (fakeServices) OrderFinished(string, hfwork.TaskID, int64, string, time.Time, error) {}
func (fakeServices) ReportRejected(string, []error)                                       {}
func (fakeServices) LeaseObserved(string, Grant, bool)                                    {}
func (fakeServices) LoadSampled(hfplan.Load)                                              {}
func (fakeServices) InvariantViolated(error)                                              {}
func (fakeServices) Panicked(any, []byte)                                                 {}
func (fakeServices) Advise(context.Context, hfwork.TaskID, []string) (map[string]string, time.Time, error) {
	return nil, time.Time{}, ErrRefused
}

func (fakeServices) List(context.Context) (map[string]*hfwork.Machine, error) { return nil, ErrRefused }

func (fakeServices) Upkeep(context.Context, string, int64, string, int64) error { return ErrRefused }

// startLeader starts a leader with one worker and one job. The returned channel receives the
// result of Run.
func startLeader(t *testing.T, m *fakeMinions, r *fakeRecords, tenure *hflease.Tenure) (*Leader, <-chan error) {
	t.Helper()
	return startLeaderWith(t, m, r, tenure)
}

func startLeaderWith(t *testing.T, m *fakeMinions, r *fakeRecords, tenure Tenure) (*Leader, <-chan error) {
	t.Helper()
	s := hfplan.New(1, hfplan.NewTiming(6*time.Second), time.Now())
	l := NewLeader(s, tenure, m, fakeServices{}, fakeServices{}, "one", r, fakeServices{}, hfplan.NewTiming(6*time.Second))
	worker := &hfwork.Worker{Id: "w", Pool: "p", Rack: "r", Cpu: 1000, Memory: 1000, Accelerators: 8}
	initial := []hfplan.Msg{
		hfplan.Policy(&hfwork.Policy{Queues: []*hfwork.Queue{{Name: "q", Pool: "p", Attempts: 1}}}),
		hfplan.Workers(map[string]*hfwork.Worker{"w": worker}),
		hfplan.Job(&hfwork.Job{Id: "a", Queue: "q", Steps: []*hfwork.Step{{Count: 1, Accelerators: 8, Estimate: 10}}}, nil, false),
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- l.Run(ctx, initial) }()
	t.Cleanup(cancel)
	return l, ended
}

func TestNothingStartsBeforeItsRecordIsStored(t *testing.T) {
	m, r := &fakeMinions{}, &fakeRecords{err: hfstore.ErrUnavailable}
	startLeader(t, m, r, hflease.NewTenure(5, hflease.Now(), time.Minute))
	time.Sleep(200 * time.Millisecond)
	starts, _ := m.counts()
	require.Zero(t, starts)
	r.setErr(nil)
	require.Eventually(t, func() bool { n, _ := m.counts(); return n == 1 }, 10*time.Second, 5*time.Millisecond)
	m.mu.Lock()
	defer m.mu.Unlock()
	require.Equal(t, int64(5), m.starts[0].Epoch())
	require.Positive(t, m.starts[0].LeaseEnd(), "a start carries the end of its lease, after which it has no effect")
}

// Workers can leave orders unanswered for seconds. Without a retry, each lost answer delayed
// a gang by 1.2 s.
func TestUnansweredStartIsRetried(t *testing.T) {
	m, r := &fakeMinions{lostAnswers: 2}, &fakeRecords{}
	startLeader(t, m, r, hflease.NewTenure(5, hflease.Now(), time.Minute))
	require.Eventually(t, func() bool { n, acked := m.counts(); return n == 3 && acked > 0 }, 10*time.Second, 5*time.Millisecond)
	m.mu.Lock()
	defer m.mu.Unlock()
	require.Equal(t, m.starts[0].Run(), m.starts[2].Run(), "a retry starts the same run")
}

// The run of an unanswered start may have begun and ended before the retry is refused. The
// refusal must not be reported as a refusal of the run.
func TestRefusedRetryLeavesEffectUnknown(t *testing.T) {
	d := &dispatcher{leader: &Leader{tenure: hflease.NewTenure(5, hflease.Now(), time.Minute)}}
	answers := []error{ErrUnanswered, ErrStaleRun}
	err := d.sendWithRetry(t.Context(), &windowPlace{outbox: &d.leader.outbox}, func(context.Context, lease) error {
		answer := answers[0]
		answers = answers[1:]
		return answer
	})
	require.ErrorIs(t, err, ErrUnanswered)
	require.NotErrorIs(t, err, ErrStaleRun)
	require.ErrorIs(t, d.sendWithRetry(t.Context(), &windowPlace{outbox: &d.leader.outbox}, func(context.Context, lease) error { return ErrStaleRun }), ErrStaleRun)
}

// Connections to a worker whose process has ended are reset at once. Retries must not become
// a busy loop.
func TestImmediateFailuresAreRetriedAtIntervals(t *testing.T) {
	d := &dispatcher{leader: &Leader{tenure: hflease.NewTenure(5, hflease.Now(), time.Minute)}}
	tries := 0
	err := d.sendWithRetry(t.Context(), &windowPlace{outbox: &d.leader.outbox}, func(context.Context, lease) error {
		tries++
		return ErrUnanswered
	})
	require.ErrorIs(t, err, ErrUnanswered)
	require.LessOrEqual(t, tries, int(orderTimeout/responseTimeout)+1)
}

func TestEndIsAcknowledgedOnlyAfterItIsStored(t *testing.T) {
	m, r := &fakeMinions{}, &fakeRecords{}
	startLeader(t, m, r, hflease.NewTenure(5, hflease.Now(), time.Minute))
	require.Eventually(t, func() bool {
		n, _ := m.counts()
		if n == 1 {
			r.setErr(hfstore.ErrUnavailable)
		}
		return n == 1
	}, 10*time.Second, time.Millisecond)
	time.Sleep(300 * time.Millisecond)
	r.mu.Lock()
	stored := r.saves
	r.mu.Unlock()
	if _, acked := m.counts(); acked > 0 {
		require.Greater(t, stored, 1, "the end was acknowledged before its record was stored")
	}
	r.setErr(nil)
	require.Eventually(t, func() bool { _, acked := m.counts(); return acked == 1 }, 10*time.Second, 5*time.Millisecond)
}

func TestLeaderWithExpiredTenureStartsNothing(t *testing.T) {
	m, r := &fakeMinions{}, &fakeRecords{}
	_, ended := startLeader(t, m, r, hflease.NewTenure(5, hflease.Now().Add(-time.Hour), time.Minute))
	select {
	case err := <-ended:
		require.ErrorIs(t, err, ErrNotLeading)
	case <-time.After(10 * time.Second):
		t.Fatal("the leader did not stop")
	}
	starts, _ := m.counts()
	require.Zero(t, starts)
}

func TestLeaderStopsAfterWriteOfLaterLeader(t *testing.T) {
	m, r := &fakeMinions{}, &fakeRecords{err: hfstore.ErrConflict}
	_, ended := startLeader(t, m, r, hflease.NewTenure(5, hflease.Now(), time.Minute))
	select {
	case err := <-ended:
		require.ErrorIs(t, err, ErrFenced)
	case <-time.After(10 * time.Second):
		t.Fatal("the leader did not stop")
	}
}

func TestLeasesOfSilentWorkerAreNotRenewed(t *testing.T) {
	m, r := &fakeMinions{pollErr: ErrUnanswered}, &fakeRecords{}
	startLeader(t, m, r, hflease.NewTenure(5, hflease.Now(), time.Minute))
	require.Eventually(t, func() bool {
		m.mu.Lock()
		defer m.mu.Unlock()
		return len(m.polls) >= 3
	}, 10*time.Second, 5*time.Millisecond)
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range m.polls {
		require.Zero(t, r.LeaseEnd())
	}
}

// When the leadership ends with a full inbox, goroutines that still send messages must not
// block its end.
func TestLeadershipEndsWithFullInbox(t *testing.T) {
	s := hfplan.New(1, hfplan.NewTiming(6*time.Second), time.Now())
	m := &blockingMinions{entered: make(chan struct{}), release: make(chan struct{})}
	l := NewLeader(s, hflease.NewTenure(5, hflease.Now(), time.Minute), m, fakeServices{}, fakeServices{}, "one", &fakeRecords{}, fakeServices{}, hfplan.NewTiming(6*time.Second))
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		ended <- l.Run(ctx, []hfplan.Msg{hfplan.Workers(map[string]*hfwork.Worker{"w": {Id: "w", Pool: "p"}})})
	}()
	<-m.entered
	cancel()
	require.Eventually(t, func() bool {
		for {
			select {
			case l.inbox <- hfplan.TickMsg{}:
			default:
				time.Sleep(20 * time.Millisecond)
				return len(l.inbox) == inboxSize // messages are no longer received
			}
		}
	}, 10*time.Second, time.Millisecond)
	close(m.release)
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("the leadership did not end")
	}
}

// blockingMinions blocks Poll until release is closed. entered is closed by the first call.
type blockingMinions struct {
	fakeMinions
	once    sync.Once
	entered chan struct{}
	release chan struct{}
}

func (m *blockingMinions) Poll(context.Context, *hfwork.Worker, PollRequest) (hfwork.Report, error) {
	m.once.Do(func() { close(m.entered) })
	<-m.release
	return hfwork.NewReport(1000, 7, nil, nil), nil
}

// Guards against a report without the worker's incarnation being taken as that of a restarted
// worker, whose earlier runs have ended.
func TestReportWithoutIncarnationIsNoRestart(t *testing.T) {
	unnamed := hfwork.NewReport(1000, 0, nil, nil)
	d := &dispatcher{leader: &Leader{
		minions: &fakeMinions{report: &unnamed}, tenure: hflease.NewTenure(5, hflease.Now(), time.Minute), timing: hfplan.NewTiming(6 * time.Second),
	}}
	_, err := d.poll(t.Context(), 0, true)
	require.NoError(t, err, "no worker of the platform tells it")
	d.recordReport(hfwork.NewReport(1000, 7, nil, nil), time.Now())
	_, err = d.poll(t.Context(), 0, true)
	require.ErrorIs(t, err, ErrUnanswered)
}

// Guards against a worker being polled without a pause because an end that cannot be read is
// never acknowledged, so that the worker answers every poll at once.
func TestRejectedRowsSlowPollsDown(t *testing.T) {
	report := hfwork.NewReport(1000, 7, nil, nil).WithRejected([]error{errors.New("bad row")}, false)
	m := &fakeMinions{report: &report}
	begin := time.Now()
	startLeader(t, m, &fakeRecords{}, hflease.NewTenure(5, hflease.Now(), time.Minute))
	time.Sleep(4 * silentPollPause)
	m.mu.Lock()
	defer m.mu.Unlock()
	require.NotEmpty(t, m.polls)
	require.LessOrEqual(t, len(m.polls), int(time.Since(begin)/silentPollPause)+2)
}

// Guards against an end that is lost unread, so that its task runs again: a worker that was
// restarted numbers its ends anew, and a repeated acknowledgement of its earlier ends made it
// forget the new ones.
func TestEndIsAcknowledgedUntilAnsweredOnce(t *testing.T) {
	m := &fakeMinions{}
	d := &dispatcher{leader: &Leader{minions: m, tenure: hflease.NewTenure(5, hflease.Now(), time.Minute), timing: hfplan.NewTiming(6 * time.Second)}}
	d.recordReport(hfwork.NewReport(1000, 7, nil, nil), time.Now())
	d.lastStored = 3
	poll := func(answered bool) int64 {
		_, err := d.poll(t.Context(), 0, answered)
		require.ErrorIs(t, err, m.pollErr)
		return m.polls[len(m.polls)-1].LastStored()
	}
	m.pollErr = ErrUnanswered
	require.Equal(t, int64(3), poll(true))
	m.pollErr = nil
	require.Zero(t, poll(false), "the worker may have been restarted")
	require.Equal(t, int64(3), poll(true), "the acknowledgement was not answered")
	require.Zero(t, poll(true), "the worker has the acknowledgement")
	d.lastStored = 4
	require.Equal(t, int64(4), poll(true))
}

// Guards against an end with a huge number hiding all later ends: which numbers are plausible
// shows only beside the last one.
func TestPollTellsTheLastReportedEnd(t *testing.T) {
	m := &fakeMinions{}
	d := &dispatcher{leader: &Leader{minions: m, tenure: hflease.NewTenure(5, hflease.Now(), time.Minute), timing: hfplan.NewTiming(6 * time.Second)}}
	d.recordReport(hfwork.NewReport(1000, 7, nil, []hfwork.End{hfwork.NewEnd(58, hfwork.TaskID{}, 1, hfwork.Done, "")}), time.Now())
	_, err := d.poll(t.Context(), 0, true)
	require.NoError(t, err)
	require.Equal(t, int64(58), m.polls[0].LastReported())
	require.Zero(t, m.polls[0].LastStored())
}

// Guards against a start with a lease end on the clock of an earlier incarnation, sent between the
// end of a silence and the record of the report that ended it.
func TestReportEndsSilence(t *testing.T) {
	d := &dispatcher{leader: &Leader{timing: hfplan.NewTiming(6 * time.Second)}}
	d.setSilent(true)
	require.ErrorIs(t, d.checkStart(hfplan.StartCmd{}, ""), ErrNotSent)
	now := time.Now()
	d.recordReport(hfwork.NewReport(1000, 7, nil, nil), now)
	require.False(t, d.isSilent())
	require.Equal(t, int64(1000+6000-leaseMarginMS), d.fullLease(now).end)
}

// panickingObserver panics at the first decision.
type panickingObserver struct {
	fakeServices
	panics *int
}

func (panickingObserver) Decided(hfplan.NoteCmd) { panic("unexpected") }
func (o panickingObserver) Panicked(any, []byte) { *o.panics++ }

// Guards against one unexpected job or report that takes down the process, and with it the calls of
// all callers: only the leadership ends.
func TestPanicEndsLeadershipOnly(t *testing.T) {
	panics, timing := 0, hfplan.NewTiming(testLease)
	l := NewLeader(hfplan.New(1, timing, time.Now()), hflease.NewTenure(5, hflease.Now(), time.Minute), &fakeMinions{}, fakeServices{}, fakeServices{}, "one", &fakeRecords{}, panickingObserver{panics: &panics}, timing)
	err := l.Run(t.Context(), append(testPool("w"), hfplan.Job(&hfwork.Job{Id: "a", Queue: "q", Steps: []*hfwork.Step{{Count: 1, Accelerators: 1, Estimate: 10}}}, nil, false)))
	require.ErrorIs(t, err, ErrPanicked)
	require.Equal(t, 1, panics)
	refused := 0
	for range 2 * inboxSize {
		if !l.Send(hfplan.TickMsg{}) {
			refused++
		}
	}
	require.GreaterOrEqual(t, refused, inboxSize, "nobody waits for a scheduler that has ended")
}

// Guards against a leader that goes on with run numbers of the next term.
func TestLeaderResignsOnceItsTermIsUsedUp(t *testing.T) {
	l := &Leader{}
	ctx, fail := context.WithCancelCause(t.Context())
	l.fail = fail
	l.execute(ctx, hfplan.EndTermCmd{})
	require.ErrorIs(t, context.Cause(ctx), ErrTermUsedUp)
}
