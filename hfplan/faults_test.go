package hfplan

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hfwork"
)

// workerLease is the duration of the leases that simulated workers hold.
const workerLease = 6 * time.Second

// partition disconnects a worker for some time. If that is longer than its leases,
// its runs end when these expire.
func (w *world) partition(f *fakeWorker, d time.Duration) {
	if f.partitioned {
		return
	}
	f.partitioned = true
	w.at(workerLease, func() {
		if !f.partitioned {
			return
		}
		for _, name := range sortedKeys(f.runs) {
			w.finish(f, f.runs[name], hfwork.LeaseExpired)
		}
	})
	w.at(d, func() { f.partitioned = false })
}

// restart begins a new incarnation of a worker, which has no runs.
func (w *world) restart(f *fakeWorker) {
	f.incarnation++
	f.runs, f.ended, f.lastEnd, f.highestRun, f.fence = map[string]*fakeRun{}, nil, 0, map[string]int64{}, 0
	f.doneEnds, f.leaseEnd = nil, time.Time{}
}

// TestPromisesUnderRandomFaults replaces schedulers, partitions, mutes and restarts
// workers, and submits and cancels jobs at random. The world fails the test if a
// task runs twice or a worker exceeds its resources. In the end, every job must have
// ended.
func TestPromisesUnderRandomFaults(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 20261204))
			w := newWorld(t, 2, 4)
			w.advance(time.Second)
			jobs := 0
			for range 60 {
				w.advance(time.Duration(50+random.IntN(500)) * time.Millisecond)
				f := w.fleet[fmt.Sprintf("w%d-%d", random.IntN(2), random.IntN(4))]
				switch random.IntN(12) {
				case 0:
					w.replaceScheduler()
				case 1:
					w.partition(f, time.Duration(500+random.IntN(9000))*time.Millisecond)
				case 2:
					f.muted = true
					w.at(time.Duration(300+random.IntN(2500))*time.Millisecond, func() { f.muted = false })
				case 3:
					if !f.partitioned && !f.muted {
						w.restart(f)
					}
				case 4:
					if jobs > 0 {
						w.cancel(fmt.Sprintf("j%03d", random.IntN(jobs)))
					}
				default:
					step := single(uint32(1+random.IntN(12)), time.Duration(300+random.IntN(4000))*time.Millisecond)
					if random.IntN(2) == 0 {
						step = gang(uint32(1+random.IntN(6)), int64(1+random.IntN(8)), time.Duration(300+random.IntN(4000))*time.Millisecond)
						step.Compact = random.IntN(2) == 0
					}
					step.Saves = random.IntN(2) == 0
					w.submit(fmt.Sprintf("j%03d", jobs), []string{"urgent", "usual", "spare"}[random.IntN(3)], step)
					jobs++
				}
			}
			w.advance(90 * time.Second)
			for i := range jobs {
				id := fmt.Sprintf("j%03d", i)
				require.True(t, w.cancelled[id] || hfwork.IsFinal(w.state(id)), "%s is %q", id, w.state(id))
				require.Zero(t, w.running(id), id)
			}
		})
	}
}

// A leader dies while one worker is partitioned. Only tasks that may run on that
// worker wait for its leases to expire. The scheduler used to block all jobs in
// progress for ten seconds because of one unreachable worker out of 350 (recorded
// incident inc-b504, docs/FINDINGS.md).
func TestOnlyTasksOfAnUnreachableWorkerWaitForItsLease(t *testing.T) {
	w := newWorld(t, 2, 4)
	w.advance(time.Second)
	w.submit("full", "usual", single(56, 2*time.Second))
	w.submit("wait", "usual", single(30, 2*time.Second))
	w.advance(time.Second)
	w.partition(w.fleet["w1-3"], 20*time.Second)
	w.replaceScheduler()
	w.advance(4 * time.Second)
	require.Equal(t, hfwork.StateCompleted, w.state("full"), "it has no tasks on the partitioned worker")
	w.advance(10 * time.Second)
	require.Equal(t, hfwork.StateCompleted, w.state("wait"))
}
