package hforder

import (
	"context"
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

const (
	testLease   = 6 * time.Second
	testTransit = 100 * time.Millisecond // of a response of clockWorker
)

// grantedLease is a lease end that a clockWorker was sent.
type grantedLease struct {
	verb   string
	excess int64 // milliseconds by which it is later than a full lease from when it was sent
}

// clockWorker is a worker whose runs last, and that delays the answers to polls as long as
// they allow. It reads its clock when it answers.
type clockWorker struct {
	fakeMinions
	started time.Time // of the worker's clock
	rate    int64     // of the worker's clock, in percent

	mu      sync.Mutex
	leases  []grantedLease
	running []hfwork.Run
}

func (w *clockWorker) clock() int64 {
	return time.Since(w.started).Milliseconds() * w.rate / 100
}

// record notes the lease end of an order that is being sent.
func (w *clockWorker) record(verb string, leaseEnd int64) {
	if leaseEnd != 0 {
		w.leases = append(w.leases, grantedLease{verb: verb, excess: leaseEnd - w.clock() - testLease.Milliseconds()})
	}
}

func (w *clockWorker) Start(_ context.Context, _ *hfwork.Worker, s Start) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.record("start", s.LeaseEnd())
	w.running = append(w.running, hfwork.NewRun(s.Task(), s.Run(), "", 0, 0))
	return nil
}

func (w *clockWorker) Poll(ctx context.Context, _ *hfwork.Worker, r PollRequest) (hfwork.Report, error) {
	w.mu.Lock()
	w.record("poll", r.LeaseEnd())
	w.mu.Unlock()
	select {
	case <-time.After(r.Wait()):
	case <-ctx.Done():
		return hfwork.Report{}, ErrUnanswered
	}
	w.mu.Lock()
	report := hfwork.NewReport(w.clock(), 7, append([]hfwork.Run(nil), w.running...), nil)
	w.mu.Unlock()
	time.Sleep(testTransit)
	return report, nil
}

// Guards against leases that outlive the time after which the scheduler takes those of a
// silent worker to have expired: an order that is carried out late extends them up to the
// lease end that it carries.
func TestLeaseEndsWithinAFullLeaseOfTheWorkersClock(t *testing.T) {
	for _, rate := range []int64{98, 100, 102} {
		t.Run(fmt.Sprintf("clock at %d%%", rate), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := &clockWorker{started: time.Now().Add(-time.Hour), rate: rate}
				timing := hfplan.NewTiming(testLease)
				l := NewLeader(hfplan.New(1, timing, time.Now()), hflease.NewTenure(5, hflease.Now(), time.Hour), m,
					fakeServices{}, fakeServices{}, "one", &fakeRecords{}, fakeServices{}, timing)
				ctx, cancel := context.WithCancel(t.Context())
				ended := make(chan error, 1)
				go func() {
					ended <- l.Run(ctx, []hfplan.Msg{
						hfplan.Policy(&hfwork.Policy{Queues: []*hfwork.Queue{{Name: "q", Pool: "p", Attempts: 1}}}),
						hfplan.Workers(map[string]*hfwork.Worker{"w": {Id: "w", Pool: "p", Rack: "r", Cpu: 1000, Memory: 1000, Accelerators: 64}}),
					})
				}()
				for i := range 20 {
					time.Sleep(170 * time.Millisecond)
					l.Send(hfplan.Job(&hfwork.Job{Id: fmt.Sprint("job", i), Queue: "q", Steps: []*hfwork.Step{{Count: 1, Accelerators: 1, Estimate: 60_000}}}, nil, false))
				}
				time.Sleep(2 * pollWait)
				cancel()
				require.NoError(t, <-ended)

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
