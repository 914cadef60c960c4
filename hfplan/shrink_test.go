package hfplan

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hfplacement"
	"github.com/heatherfront/heatherfront/hfwire"
	"github.com/heatherfront/heatherfront/hfwork"
)

const (
	heartbeatInterval = 1500 * time.Millisecond // after which a worker writes its entry
	entryWatchPause   = 1200 * time.Millisecond // after which a new leader sees it

	// maxShrinkDelay is the time after which no start may follow from the earlier resources of a
	// worker: its entry is seen, and the try under way ends.
	maxShrinkDelay = heartbeatInterval + entryWatchPause + responseTimeout
)

// resize registers all workers, the given one with the resources that go with a number of
// accelerators.
func (d *desk) resize(id string, accelerators int64, all ...string) {
	d.t.Helper()
	workers := deskWorkers(all...)
	w := workers[id]
	w.Cpu, w.Memory, w.Accelerators = w.Cpu*accelerators/w.Accelerators, w.Memory*accelerators/w.Accelerators, accelerators
	d.send(Workers(workers))
}

// smallStep returns a step whose tasks take a part of a worker each.
func smallStep(count uint32, accelerators int64) *hfwork.Step {
	return &hfwork.Step{Count: count, Cpu: 10_000, Memory: 20_000, Accelerators: accelerators, Estimate: 5000}
}

// Guards against starts that reach a worker whose resources have shrunk since they were decided. The
// last ones are withdrawn; runs that are confirmed go on.
func TestUnconfirmedStartsBeyondShrunkResourcesAreWithdrawn(t *testing.T) {
	for name, c := range map[string]struct {
		accelerators int64
		confirmed    bool
		withdrawn    []string // jobs
	}{
		"all fit":   {4, false, nil},
		"one fits":  {3, false, []string{"b"}},
		"none fits": {1, false, []string{"b", "a"}},
		"running":   {1, true, nil},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDesk(t, 1, "w")
			d.report("w")
			d.store()
			for _, id := range []string{"a", "b"} {
				d.submit(id, smallStep(1, 2))
				d.store()
				d.now = d.now.Add(messageDelay)
			}
			starts := d.takeStarts()
			require.Len(t, starts, 2)
			if c.confirmed {
				for _, start := range starts {
					d.send(Started(start, OutcomeDone))
				}
			}
			d.resize("w", c.accelerators, "w")
			var withdrawn []string
			for _, stop := range d.stops {
				withdrawn = append(withdrawn, stop.Task().Job())
			}
			require.Equal(t, c.withdrawn, withdrawn)
			d.store()
			require.Empty(t, d.takeStarts())
		})
	}
}

// Guards against a gang that loses the member whose start was withdrawn, and waits for it.
func TestGangIsWithdrawnWithItsMember(t *testing.T) {
	d := newDesk(t, 1, "v", "w")
	d.report("v")
	d.report("w")
	d.store()
	step := deskStep(2)
	step.Gang = true
	d.submit("a", step)
	d.store()
	require.Len(t, d.takeStarts(), 2)
	d.resize("w", 7, "v", "w")
	require.Len(t, d.stops, 2)
}

// Guards against work that is rejected or given up because of a passing shrink, and against resources
// that stay unused after they have grown again, also under a new scheduler whose roster has the
// earlier ones.
func TestJobLargerThanShrunkWorkersWaits(t *testing.T) {
	for name, step := range map[string]*hfwork.Step{"task": deskStep(1), "gang": {Count: 2, Accelerators: 8, Estimate: 5000, Gang: true, Compact: true}} {
		t.Run(name, func(t *testing.T) {
			d := newDesk(t, 1, "v", "w")
			shrunk := deskWorkers("v", "w")
			for _, w := range shrunk {
				w.Cpu, w.Memory, w.Accelerators = 0, 0, 0
			}
			roster := []*hfwork.Worker{deskWorkers("v")["v"], deskWorkers("w")["w"]}
			d.s = New(2, NewTiming(workerLease), d.now)
			d.send(Policy(&hfwork.Policy{Version: 1, Pools: []*hfwork.Pool{{Name: "pool"}}, Queues: []*hfwork.Queue{{Name: "usual", Pool: "pool", Attempts: 2}}}))
			d.send(Roster(roster))
			d.send(Workers(shrunk))
			d.report("v")
			d.report("w")
			d.submit("a", step)
			d.store()
			d.advance(20 * time.Second)
			d.store()
			require.Empty(t, d.takeStarts())
			require.False(t, d.s.jobs["a"].final())
			d.report("v")
			d.report("w")
			d.send(Workers(deskWorkers("v", "w")))
			d.store()
			require.Len(t, d.takeStarts(), int(step.GetCount()))
		})
	}
}

// Guards against a start beside a run that is being stopped, or that no longer fits, on a worker
// whose resources have shrunk.
func TestShrunkWorkerCountsWhatRuns(t *testing.T) {
	d := newDesk(t, 1, "w")
	d.report("w")
	d.store()
	running := d.startAll("a", smallStep(2, 3))
	d.resize("w", 5, "w")
	d.submit("b", smallStep(1, 2))
	d.store()
	require.Empty(t, d.takeStarts(), "6 of 5 are in use")
	d.send(Job(&hfwork.Job{Id: "a", Queue: "usual", Steps: []*hfwork.Step{smallStep(2, 3)}}, nil, true))
	d.store()
	require.Empty(t, d.takeStarts(), "the runs are being stopped")
	for _, c := range running[:1] {
		d.send(Stopped(stopOf(c), OutcomeDone))
	}
	reported := hfwork.NewRun(running[1].Task(), running[1].Number(), "", 10, 0)
	d.reportEnds("w", []hfwork.Run{reported}, d.end("w", running[0].Task(), running[0].Number(), hfwork.Stopped))
	d.store()
	require.Len(t, d.takeStarts(), 1, "2 beside 3 of 5")
}

// Guards against a run of unknown size that counts as less than the whole worker after the worker's
// resources have grown.
func TestOrphanOfUnknownSizeFillsAGrownWorker(t *testing.T) {
	d := newDesk(t, 1, "w")
	d.resize("w", 2, "w")
	d.report("w", hfwork.NewRun(hfwork.NewTaskID("gone", 0, 0, 0), 1, "", 0, 0))
	d.store()
	d.submit("a", smallStep(1, 6))
	d.resize("w", 8, "w")
	d.store()
	require.Empty(t, d.takeStarts())
	d.report("w")
	d.store()
	require.Len(t, d.takeStarts(), 1)
}

// Guards against the entry of a worker's earlier life being used for the next one under its id, which
// may have other resources and labels.
func TestRestartedWorkerIsUsedByItsOwnEntry(t *testing.T) {
	d := newDesk(t, 1, "w")
	register := func(born, accelerators int64) {
		d.t.Helper()
		workers := deskWorkers("w")
		workers["w"].Born, workers["w"].Accelerators = born, accelerators
		d.send(Workers(workers))
	}
	register(1, 8)
	d.report("w")
	d.store()
	require.True(t, d.s.workers["w"].resources.Usable())
	d.born["w"] = 2
	d.report("w")
	d.submit("a", deskStep(1))
	d.store()
	require.Empty(t, d.takeStarts())
	register(2, 4)
	d.store()
	require.Empty(t, d.takeStarts())
	register(2, 8)
	d.store()
	require.Len(t, d.takeStarts(), 1)
	register(3, 8) // its next life is registered before it reports
	require.False(t, d.s.workers["w"].resources.Usable())
}

// resize changes the resources of a worker to those that go with a number of accelerators. The leader
// sees it after a delay.
func (w *world) resize(f *fakeWorker, accelerators int64, delay time.Duration) {
	before := f.registration
	w.trace("%s changes from %d to %d accelerators, which is seen in %s", before.GetId(), before.GetAccelerators(), accelerators, delay)
	if f.entry == nil {
		f.entry = before
	}
	changed := hfwire.Copy(before)
	changed.Cpu, changed.Memory, changed.Accelerators = 16_000*accelerators, 32_768*accelerators, accelerators
	f.registration = changed
	if accelerators < before.GetAccelerators() {
		f.shrunk = append(f.shrunk, shrink{at: w.now, from: hfplacement.NewResources(before.GetCpu(), before.GetMemory(), before.GetAccelerators())})
	}
	f.resizes++
	number := f.resizes
	w.at(delay, func() {
		if number > f.seen {
			f.seen, f.entry = number, changed
			w.network.list()
		}
	})
}

// Guards against workers that are filled beyond resources that shrink and grow, amid starts that wait
// in a queue, workers that are cut off or restart, cancellations and new schedulers. The world fails the
// test if a start exceeds them. In the end, every job must have ended.
func TestNoStartExceedsShrunkResources(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 20261207))
			w := newWorld(t, 2, 4)
			n := w.useNetwork(random)
			n.slow = 0.5
			w.advance(time.Second)
			delay := func() time.Duration { return time.Duration(random.Int64N(int64(heartbeatInterval + entryWatchPause))) }
			jobs := 0
			for range 80 {
				w.advance(time.Duration(50+random.IntN(400)) * time.Millisecond)
				f := w.fleet[fmt.Sprintf("w%d-%d", random.IntN(2), random.IntN(4))]
				switch random.IntN(10) {
				case 0, 1, 2, 3:
					w.resize(f, int64(random.IntN(9)), delay())
				case 4:
					if random.IntN(3) == 0 {
						w.replaceScheduler()
					}
				case 5:
					n.cutTo[f], n.cutOff[f] = true, true
					w.at(delay(), func() { n.cutTo[f], n.cutOff[f] = false, false })
				case 6:
					w.restart(f)
				case 7:
					if jobs > 0 {
						w.cancel(fmt.Sprintf("j%03d", random.IntN(jobs)))
					}
				default:
					step := single(uint32(1+random.IntN(12)), time.Duration(300+random.IntN(4000))*time.Millisecond)
					if random.IntN(2) == 0 {
						step = gang(uint32(1+random.IntN(6)), int64(1+random.IntN(8)), time.Duration(300+random.IntN(4000))*time.Millisecond)
					}
					w.submit(fmt.Sprintf("j%03d", jobs), []string{"urgent", "usual", "spare"}[random.IntN(3)], step)
					jobs++
				}
			}
			for _, id := range sortedKeys(w.fleet) {
				w.resize(w.fleet[id], 8, delay())
			}
			w.advance(120 * time.Second)
			for i := range jobs {
				id := fmt.Sprintf("j%03d", i)
				require.True(t, w.cancelled[id] || hfwork.IsFinal(w.state(id)), "%s is %q", id, w.state(id))
			}
		})
	}
}
