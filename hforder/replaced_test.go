package hforder

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hflease"
	"github.com/heatherfront/heatherfront/hfplan"
	"github.com/heatherfront/heatherfront/hfwork"
)

const (
	testRestart = 3 * time.Second  // between the crash of a worker and its next life
	oldAddress  = "10.0.0.1:80"    // where the first worker answers
	newAddress  = "10.0.0.2:80"    // of a changed entry
	beforeCrash = 10 * time.Second // for the leader to start the task
)

// crashingWorkers stands for two workers, of which the first to start a task crashes. Its next life
// has another id at the same address.
type crashingWorkers struct {
	fakeMinions

	mu      sync.Mutex
	crashed string    // worker that has crashed
	backAt  time.Time // when its next life answers
	starts  []startedRun
	running map[string][]hfwork.Run // by worker
}

type startedRun struct {
	worker string
	number int64
	at     time.Time
}

// crash ends the process of the worker that has started a task.
func (w *crashingWorkers) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crashed, w.backAt = w.starts[0].worker, time.Now().Add(testRestart)
}

// answer returns the error with which a worker answers an order.
func (w *crashingWorkers) answer(worker string) error {
	switch {
	case worker != w.crashed:
		return nil
	case time.Now().Before(w.backAt):
		return ErrUnanswered
	}
	return ErrWorkerRestarted
}

func (w *crashingWorkers) Start(_ context.Context, worker *hfwork.Worker, s Start) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.answer(worker.GetId()); err != nil {
		return err
	}
	w.starts = append(w.starts, startedRun{worker: worker.GetId(), number: s.Run(), at: time.Now()})
	if w.running == nil {
		w.running = map[string][]hfwork.Run{}
	}
	w.running[worker.GetId()] = append(w.running[worker.GetId()], hfwork.NewRun(s.Task(), s.Run(), "", 0, 0))
	return nil
}

func (w *crashingWorkers) Poll(_ context.Context, worker *hfwork.Worker, _ PollRequest) (hfwork.Report, error) {
	time.Sleep(testTransit)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.answer(worker.GetId()); err != nil {
		return hfwork.Report{}, err
	}
	return hfwork.NewReport(1000, 7, append([]hfwork.Run(nil), w.running[worker.GetId()]...), nil), nil
}

// Guards against the tasks of a crashed worker waiting for its leases although its next life, which
// has another id, answers at its address.
func TestTasksOfReplacedWorkerStartAgain(t *testing.T) {
	for name, c := range map[string]struct {
		changed  string        // address in the worker's entry before the crash; "" if it does not change
		returned bool          // the entry has the former address again after the crash
		after    time.Duration // from the crash until the task may start again
	}{
		"same address":     {after: testRestart},
		"changed address":  {changed: newAddress, after: testLease},
		"returned address": {changed: newAddress, returned: true, after: testRestart},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := &crashingWorkers{}
				timing := hfplan.NewTiming(testLease)
				l := NewLeader(hfplan.New(1, timing, time.Now()), hflease.NewTenure(5, hflease.Now(), time.Hour), m, fakeServices{}, fakeServices{}, "one", &fakeRecords{}, fakeServices{}, timing)
				ctx, cancel := context.WithCancel(t.Context())
				ended := make(chan error, 1)
				registered := func(address string) hfplan.Msg {
					return hfplan.Workers(map[string]*hfwork.Worker{
						"v": {Id: "v", Pool: "p", Rack: "r", Cpu: 1000, Memory: 1000, Accelerators: 8, Address: address},
						"w": {Id: "w", Pool: "p", Rack: "r", Cpu: 1000, Memory: 1000, Accelerators: 8, Address: address},
					})
				}
				go func() {
					ended <- l.Run(ctx, []hfplan.Msg{
						hfplan.Policy(&hfwork.Policy{Queues: []*hfwork.Queue{{Name: "q", Pool: "p", Attempts: 1}}}),
						registered(oldAddress),
						hfplan.Job(&hfwork.Job{Id: "a", Queue: "q", Steps: []*hfwork.Step{{Count: 1, Accelerators: 8, Estimate: 10}}}, nil, false),
					})
				}()
				time.Sleep(beforeCrash)
				m.crash()
				crashedAt := time.Now()
				if c.changed != "" {
					l.Send(registered(c.changed))
				}
				time.Sleep(testRestart / 2)
				if c.returned {
					l.Send(registered(oldAddress))
				}
				time.Sleep(2 * testLease)
				cancel()
				require.NoError(t, <-ended)
				require.Len(t, m.starts, 2)
				require.NotEqual(t, m.starts[0].worker, m.starts[1].worker)
				waited := m.starts[1].at.Sub(crashedAt)
				require.GreaterOrEqual(t, waited, c.after)
				require.Less(t, waited, c.after+time.Second)
			})
		})
	}
}

// Guards against a new leader that waits for the leases of a worker that crashed under an earlier
// leader, although its next life answers where it answered that leader. An address that only its
// entry names shows nothing.
func TestNewLeaderKnowsReplacedWorker(t *testing.T) {
	for name, c := range map[string]struct {
		answered string        // address at which the worker answered the earlier leader
		after    time.Duration // from the crash until the task may start again
	}{
		"where it answered": {answered: oldAddress, after: testRestart},
		"elsewhere":         {answered: newAddress, after: testLease},
		"never answered":    {after: testLease},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m, began := &crashingWorkers{crashed: "w", backAt: time.Now().Add(testRestart)}, time.Now()
				timing := hfplan.NewTiming(testLease)
				l := NewLeader(hfplan.New(2, timing, time.Now()), hflease.NewTenure(5, hflease.Now(), time.Hour), m, fakeServices{}, fakeServices{}, "one", &fakeRecords{}, fakeServices{}, timing)
				ctx, cancel := context.WithCancel(t.Context())
				ended := make(chan error, 1)
				worker := func(id string) *hfwork.Worker {
					return &hfwork.Worker{Id: id, Pool: "p", Rack: "r", Cpu: 1000, Memory: 1000, Accelerators: 8, Address: oldAddress}
				}
				crashed := worker("w")
				crashed.Answered = c.answered
				job := &hfwork.Job{Id: "a", Queue: "q", Steps: []*hfwork.Step{{Count: 1, Accelerators: 8, Estimate: 10}}}
				progress := &hfwork.Progress{State: hfwork.StateRunning, Steps: []*hfwork.StepProgress{{Places: map[uint32]string{0: "w"}}}}
				go func() {
					ended <- l.Run(ctx, []hfplan.Msg{
						hfplan.Policy(&hfwork.Policy{Queues: []*hfwork.Queue{{Name: "q", Pool: "p", Attempts: 1}}}),
						hfplan.Roster([]*hfwork.Worker{crashed}),
						hfplan.Workers(map[string]*hfwork.Worker{"v": worker("v"), "w": worker("w")}),
						hfplan.Job(job, progress, false),
					})
				}()
				time.Sleep(2 * testLease)
				cancel()
				require.NoError(t, <-ended)
				require.Len(t, m.starts, 1)
				require.Equal(t, "v", m.starts[0].worker)
				waited := m.starts[0].at.Sub(began)
				require.GreaterOrEqual(t, waited, c.after)
				require.Less(t, waited, c.after+time.Second)
			})
		})
	}
}

// Guards against a start that reaches a restarted worker at an address at which it has not answered:
// the answer of another worker at its last address would not show whether the run is active.
func TestStartIsSentOnlyWhereTheWorkerAnswered(t *testing.T) {
	for polled, outcome := range map[string]hfplan.Outcome{oldAddress: hfplan.OutcomeDone, newAddress: hfplan.OutcomeRefused} {
		t.Run(polled, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				starts, _ := startsAndStops(t, 1)
				m := &orderedWorker{answer: func(context.Context, bool, string) error { return nil }}
				messages := runDispatcher(t, m, func(d *dispatcher) {
					d.worker = &hfwork.Worker{Id: "w", Address: polled}
					_, err := d.poll(t.Context(), 0, false)
					require.NoError(t, err)
					d.mu.Lock()
					d.worker = &hfwork.Worker{Id: "w", Address: oldAddress}
					d.mu.Unlock()
					d.enqueue(order{start: &starts[0]})
				})
				require.Equal(t, []hfplan.Msg{hfplan.Started(starts[0], outcome)}, messages)
			})
		})
	}
}
