package hfplan

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/heatherfront/heatherfront/hfwork"
)

// every returns a job that is due the given number of times, the first time after one interval.
func every(id string, times uint32, interval time.Duration, now time.Time, steps ...*hfwork.Step) *hfwork.Job {
	return &hfwork.Job{
		Id: id, Queue: "usual", Steps: steps, Times: times, First: now.Add(interval).UnixMilli(), Interval: interval.Milliseconds(),
	}
}

const yearOfHours = 365 * 24

// heapGrowth returns by how many bytes of heap a function grows what is live.
func heapGrowth(f func()) int64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC() // frees what pools have kept
	runtime.ReadMemStats(&before)
	f()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return int64(after.HeapAlloc) - int64(before.HeapAlloc)
}

// Eleven schedules of a year exhausted the memory of each leader in turn (review/9).
func TestScheduleOfAYearCostsNoMoreThanItsNextHours(t *testing.T) {
	const schedules = 20
	memory := func(hours uint32) int64 {
		w := newWorld(t, 2, 4)
		w.advance(time.Second)
		growth := heapGrowth(func() {
			for i := range schedules {
				id := fmt.Sprintf("%s%d", t.Name(), i)
				w.s.Update(Job(every(id, hours, time.Hour, w.now, single(16, time.Second)), nil, false), w.now)
			}
			w.s.Update(TickMsg{}, w.now)
		})
		require.NoError(t, w.s.Check())
		runtime.KeepAlive(w)
		return growth / schedules
	}
	short, long := memory(2), memory(yearOfHours)
	t.Logf("%d bytes for a schedule of 2 hours, %d bytes for one of a year", short, long)
	require.Less(t, long, short+2*yearOfHours/8, "a bit and no more for each occurrence that is far off")
}

// Guards against occurrences that run again, or never, once their state is kept as a bit each: leaders
// change in the middle, also to one that reads the records of an earlier release.
func TestOccurrencesRunOnceAcrossLeaders(t *testing.T) {
	for name, stored := range map[string]func(j *hfwork.Job, p *hfwork.Progress) *hfwork.Progress{
		"records of this release":       func(_ *hfwork.Job, p *hfwork.Progress) *hfwork.Progress { return p },
		"records of an earlier release": hfwork.WithoutCompleted,
	} {
		t.Run(name, func(t *testing.T) {
			const times = 20
			w := newWorld(t, 1, 4)
			w.advance(time.Second)
			after := single(2, 400*time.Millisecond)
			after.After = []uint32{0}
			w.jobs["a"] = every("a", times, time.Second, w.now, gang(2, 8, 700*time.Millisecond), after)
			w.send(Job(w.jobs["a"], nil, false))
			for range times / 3 {
				w.advance(3300 * time.Millisecond)
				w.records["a"] = stored(w.jobs["a"], w.records["a"])
				w.replaceScheduler()
			}
			w.advance(10 * time.Second)
			require.Equal(t, hfwork.StateCompleted, w.state("a"))
			require.Len(t, w.startCounts, times*4)
			for task, count := range w.startCounts {
				require.Equal(t, 1, count, task)
			}
		})
	}
}

// Guards against a record that grows with the occurrences that are done: it is written whole with each
// change, and must stay below what the store accepts.
func TestRecordOfAScheduleStaysSmall(t *testing.T) {
	w := newWorld(t, 1, 4)
	w.jobs["a"] = every("a", 3000, 100*time.Millisecond, w.now, single(3, 50*time.Millisecond))
	w.send(Job(w.jobs["a"], nil, false))
	w.advance(280 * time.Second)
	require.Equal(t, hfwork.StateRunning, w.state("a"))
	require.Less(t, proto.Size(w.records["a"]), 3000/8+1000)
	require.LessOrEqual(t, len(w.s.jobs["a"].occurrences), 40, "what is done is not kept")
	w.advance(40 * time.Second)
	require.Equal(t, hfwork.StateCompleted, w.state("a"))
}

// A leader with less memory takes over what others have accepted, or an earlier release without a
// limit: it must not be killed for it, and all must run (review/9).
func TestLeaderLoadsNoMoreThanItsMemory(t *testing.T) {
	w := newWorld(t, 2, 4)
	w.memory = 400 << 10
	w.advance(time.Second)
	for i := range 30 { // 96 KB each, seven times the budget
		id := fmt.Sprintf("bulk%02d", i)
		w.jobs[id] = &hfwork.Job{Id: id, Queue: "spare", Account: "plants", Steps: []*hfwork.Step{single(500, 100*time.Millisecond)}}
	}
	w.jobs["wide"] = &hfwork.Job{Id: "wide", Queue: "spare", Account: "plants", Steps: []*hfwork.Step{single(2000, 100*time.Millisecond)}}
	w.jobs["wider"] = &hfwork.Job{Id: "wider", Queue: "spare", Account: "plants", Steps: []*hfwork.Step{single(2000, 100*time.Millisecond)}}
	w.replaceScheduler()
	w.submit("zz-urgent", "urgent", single(1, time.Second))
	w.jobs["zz-other"] = &hfwork.Job{Id: "zz-other", Queue: "usual", Account: "others", Steps: []*hfwork.Step{single(1, time.Second)}}
	w.send(Job(w.jobs["zz-other"], nil, false))
	largest, wide := int64(0), hfwork.OccurrenceFootprint(w.jobs["wide"])
	for range 150 {
		w.advance(time.Second)
		total := w.s.memory.Total()
		if w.s.oversized != nil {
			total += wide
		}
		largest = max(largest, total)
		if w.now.Sub(time.Unix(1_000_000, 0)) == 5*time.Second {
			require.Equal(t, hfwork.StateCompleted, w.state("zz-urgent"), "urgent jobs do not wait for memory")
			require.Equal(t, hfwork.StateCompleted, w.state("zz-other"), "nor do those of other accounts")
		}
		if w.now.Sub(time.Unix(1_000_000, 0)) == 20*time.Second {
			w.replaceScheduler()
		}
	}
	require.LessOrEqual(t, largest, w.memory+wide, "and one that does not fit into the budget alone")
	for id := range w.jobs {
		require.Equal(t, hfwork.StateCompleted, w.state(id), id)
	}
	for task, count := range w.startCounts {
		require.Equal(t, 1, count, task)
	}
}

// Guards against a run that nobody knows of: a worker reports one of an occurrence that is not loaded.
func TestReportedRunOfUnloadedOccurrenceIsAdopted(t *testing.T) {
	d := newDesk(t, 2, "a")
	d.report("a")
	job := &hfwork.Job{Id: "x", Queue: "usual", Steps: []*hfwork.Step{deskStep(1)}, Times: 5, First: d.now.Add(time.Hour).UnixMilli(), Interval: 1000}
	d.send(Job(job, nil, false))
	task := hfwork.NewTaskID("x", 3, 0, 0)
	require.Nil(t, d.s.task(task))
	d.report("a", hfwork.NewRun(task, 7, "", 10, 0))
	require.Equal(t, running, d.s.task(task).run.phase)
	d.advance(time.Second)
	d.reportEnds("a", nil, d.end("a", task, 7, hfwork.Done))
	d.advance(time.Second)
	require.True(t, d.s.jobs["x"].completed.has(3))
	require.Nil(t, d.s.task(task), "it is dropped once it is done")
}

// The limit of what is accepted rests on these figures.
func TestFootprintIsNotExceeded(t *testing.T) {
	for _, steps := range [][]*hfwork.Step{{single(20_000, time.Second)}, {gang(64, 1, time.Second)}, {single(1, time.Second)}} {
		w := newWorld(t, 1, 1)
		const jobs = 100
		id := func(i int) string { return fmt.Sprintf("%016x", i) }
		for i := range jobs {
			w.jobs[id(i)] = &hfwork.Job{Id: id(i), Queue: "usual", Steps: steps, Times: 1, First: w.now.UnixMilli()}
		}
		w.s.WithMemory(1 << 40)
		growth := heapGrowth(func() {
			for i := range jobs {
				w.s.Update(Job(w.jobs[id(i)], nil, false), w.now)
			}
		})
		runtime.KeepAlive(w)
		t.Logf("%d tasks: %d bytes a job", steps[0].GetCount(), growth/jobs)
		require.Less(t, growth/jobs, hfwork.Footprint(w.jobs[id(0)])-hfwork.RecordFootprint(w.jobs[id(0)]))
	}
}

// Guards against occurrences that are lost or run twice as they are loaded and dropped under faults, with memory
// for a few of them only. In every second world, records of an earlier release are read in between.
func TestSchedulesUnderRandomFaults(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 20261206))
			w := newWorld(t, 2, 4)
			w.memory = 12 << 10
			w.advance(time.Second)
			id := func(i int) string { return fmt.Sprintf("j%03d", i) }
			const jobs = 6
			for i := range jobs {
				after := single(uint32(1+random.IntN(5)), time.Duration(100+random.IntN(900))*time.Millisecond)
				after.After = []uint32{0}
				first := gang(uint32(1+random.IntN(4)), int64(1+random.IntN(4)), time.Duration(100+random.IntN(900))*time.Millisecond)
				first.Saves = random.IntN(2) == 0
				w.jobs[id(i)] = every(id(i), uint32(1+random.IntN(25)), time.Duration(100+random.IntN(1500))*time.Millisecond, w.now, first, after)
				w.jobs[id(i)].Queue = []string{"urgent", "usual", "spare"}[random.IntN(3)]
				w.send(Job(w.jobs[id(i)], nil, false))
			}
			for range 50 {
				w.advance(time.Duration(50+random.IntN(700)) * time.Millisecond)
				f := w.fleet[fmt.Sprintf("w%d-%d", random.IntN(2), random.IntN(4))]
				switch random.IntN(6) {
				case 0, 1:
					for i := range jobs {
						if p := w.records[id(i)]; p != nil && seed%2 == 0 {
							w.records[id(i)] = hfwork.WithoutCompleted(w.jobs[id(i)], p)
						}
					}
					w.replaceScheduler()
				case 2:
					w.partition(f, time.Duration(500+random.IntN(9000))*time.Millisecond)
				case 3:
					f.muted = true
					w.at(time.Duration(300+random.IntN(2500))*time.Millisecond, func() { f.muted = false })
				case 4:
					if !f.partitioned && !f.muted {
						w.restart(f)
					}
				case 5:
					if random.IntN(8) == 0 {
						w.cancel(id(random.IntN(jobs)))
					}
				}
			}
			w.advance(150 * time.Second)
			for i := range jobs {
				require.True(t, w.cancelled[id(i)] || w.state(id(i)) == hfwork.StateCompleted, "%s is %q", id(i), w.state(id(i)))
				require.Zero(t, w.running(id(i)), id(i))
			}
			require.Zero(t, w.s.memory.Total(), "nothing is held of jobs that have ended")
			require.Nil(t, w.s.oversized)
		})
	}
}
