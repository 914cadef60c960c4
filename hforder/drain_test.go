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

// stuckRecords stores nothing.
type stuckRecords struct{}

func (stuckRecords) Save(ctx context.Context, _ hfplan.StoreCmd) error {
	<-ctx.Done()
	return ctx.Err()
}

// endingWorker lists an end from the beginning and another one from secondAt on.
type endingWorker struct {
	fakeMinions
	secondAt time.Time
	mu       sync.Mutex
	read     time.Time // when the second end was first reported
	polls    int
}

func (w *endingWorker) Poll(context.Context, *hfwork.Worker, PollRequest) (hfwork.Report, error) {
	time.Sleep(10 * time.Millisecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.polls++
	end := func(sequence int64) hfwork.End {
		return hfwork.NewEnd(sequence, hfwork.NewTaskID("a", 0, 0, uint32(sequence)), 1, hfwork.Done, "")
	}
	ends := []hfwork.End{end(1)}
	if !time.Now().Before(w.secondAt) {
		ends = append(ends, end(2))
		if w.read.IsZero() {
			w.read = time.Now()
		}
	}
	return hfwork.NewReport(1000, 7, nil, ends), nil
}

// Guards against an end that is lost with a worker that leaves, as no poll waits for it while the record
// of another one is stored.
func TestEndsOfDrainingWorkerAreReadBeforeRecordsAreStored(t *testing.T) {
	for name, draining := range map[string]bool{"draining": true, "ready": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := &endingWorker{secondAt: time.Now().Add(100 * time.Millisecond)}
				timing := hfplan.NewTiming(testLease)
				l := NewLeader(hfplan.New(1, timing, time.Now()), hflease.NewTenure(5, hflease.Now(), time.Hour), w, fakeServices{}, fakeServices{}, "one", stuckRecords{}, fakeServices{}, timing)
				ctx, cancel := context.WithCancel(t.Context())
				var group sync.WaitGroup
				job := &hfwork.Job{Id: "a", Queue: "q", Steps: []*hfwork.Step{{Count: 8, Accelerators: 1, Estimate: 60_000}}}
				pool := append(testPool("w"), hfplan.Job(job, nil, false))
				for _, msg := range pool {
					if m, ok := msg.(hfplan.WorkersMsg); ok {
						m.Nodes()["w"].Draining = draining
					}
				}
				group.Go(func() { _ = l.Run(ctx, pool) })
				time.Sleep(1500 * time.Millisecond)
				cancel()
				group.Wait()
				if !draining {
					require.LessOrEqual(t, w.polls, 2, "a worker that stays is not polled all the time")
					return
				}
				require.False(t, w.read.IsZero(), "the second end was not read")
				require.Less(t, w.read.Sub(w.secondAt), 200*time.Millisecond)
				require.LessOrEqual(t, w.polls, 20)
			})
		})
	}
}
