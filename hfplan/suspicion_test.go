package hfplan

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hfsuspect"
	"github.com/heatherfront/heatherfront/hfwork"
)

const (
	sickRacks, sickPerRack = 35, 10 // 350 workers
	sickCount              = 26     // of these fail everything that they start
	sickTime               = 6 * time.Second
)

// sickDay is a day of a customer: urgent gangs with two attempts, wide gangs, and bulk of single tasks that keep
// two fifths of the pool busy. Some workers fail everything that they start for a while.
type sickDay struct {
	*world

	random *rand.Rand
	urgent []string // ids of the urgent jobs
	others []string
}

func newSickDay(t worldTest, seed uint64) *sickDay {
	t.Helper()
	d := &sickDay{world: newWorld(t, sickRacks, sickPerRack), random: rand.New(rand.NewPCG(seed, 20261207))}
	for _, f := range d.fleet {
		f.registration.Cpu, f.registration.Memory = 32_000, 65_536
	}
	d.policy.Queues[0].Attempts, d.policy.Queues[1].Attempts = 2, 2
	d.trusting = !*sickSuspicion
	d.replaceScheduler()
	return d
}

// play submits the load of the given number of seconds.
func (d *sickDay) play(seconds int) {
	for range seconds * 10 {
		if d.random.Float64() < 0.6 {
			width := uint32(1 + d.random.IntN(9))
			if d.random.IntN(20) == 0 {
				width = 32
			}
			d.urgent = append(d.urgent, d.submitNext("urgent", &hfwork.Step{
				Count: width, Cpu: 3700, Memory: 9800, Accelerators: int64(1 + d.random.IntN(3)), Estimate: 1500 + d.random.Int64N(2000), Gang: true,
			}))
		}
		if d.random.Float64() < 0.17 {
			d.others = append(d.others, d.submitNext("usual", &hfwork.Step{Count: uint32(4 + d.random.IntN(18)), Cpu: 13_000, Memory: 26_000, Accelerators: 1, Estimate: 8500, Gang: true, Saves: true}))
		}
		if d.random.Float64() < 0.14 {
			d.others = append(d.others, d.submitNext("spare", &hfwork.Step{Count: uint32(10 + d.random.IntN(60)), Cpu: 2800, Memory: 5700, Accelerators: 1, Estimate: 9500}))
		}
		d.advance(100 * time.Millisecond)
	}
}

func (d *sickDay) submitNext(queue string, step *hfwork.Step) string {
	id := fmt.Sprintf("%s%04d", queue, len(d.urgent)+len(d.others))
	d.submit(id, queue, step)
	return id
}

// fall makes count workers fail everything that they start.
func (d *sickDay) fall(count int) []*fakeWorker {
	var sick []*fakeWorker
	ids := sortedKeys(d.fleet)
	for _, i := range d.random.Perm(len(ids))[:count] {
		d.fleet[ids[i]].failsRuns = true
		sick = append(sick, d.fleet[ids[i]])
	}
	return sick
}

func heal(sick []*fakeWorker) {
	for _, f := range sick {
		f.failsRuns = false
	}
}

// failed returns the number of the given jobs that have failed.
func (d *sickDay) failed(ids []string) int {
	n := 0
	for _, id := range ids {
		if d.state(id) == hfwork.StateFailed {
			n++
		}
	}
	return n
}

var sickSuspicion = flag.Bool("sicksuspicion", true, "whether workers are suspected on the days of TestUrgentGangsSurvive; it fails without")

var sickSeeds = flag.Uint64("sickseeds", 6, "number of days of TestUrgentGangsSurviveWorkersThatFailEverything")

// Urgent gangs lost their first run to one bad worker and their second to another: 26 of 350 workers failed
// everything that they started for 6 s, and nearly all jobs that failed were urgent ones. Of those that are
// handed in meanwhile 99 of 100 have to be served.
func TestUrgentGangsSurviveWorkersThatFailEverything(t *testing.T) {
	jobs, urgent, others := 0, 0, 0
	for seed := range *sickSeeds {
		d := newSickDay(t, seed)
		d.play(10)
		sick := d.fall(sickCount)
		before := len(d.urgent) + len(d.others)
		d.play(int(sickTime / time.Second))
		heal(sick)
		jobs += len(d.urgent) + len(d.others) - before
		d.play(2)
		d.advance(60 * time.Second)
		urgent, others = urgent+d.failed(d.urgent), others+d.failed(d.others)
	}
	t.Logf("%d urgent jobs and %d others failed; %d were handed in meanwhile", urgent, others, jobs)
	require.LessOrEqual(t, urgent+others, jobs/100)
}

// usable returns the number of workers that get tasks.
func (w *world) usable() int {
	n := 0
	for _, o := range w.s.workers {
		if o.resources.Usable() {
			n++
		}
	}
	return n
}

// Guards against jobs that fail everywhere and make the scheduler avoid the fleet.
func TestPoisonedJobsDoNotEmptyTheFleet(t *testing.T) {
	w := newWorld(t, 8, 5)
	w.advance(time.Second)
	for i := range 6 {
		id := fmt.Sprint("poisoned", i)
		w.failingJobs[id] = true
		step := single(40, 4*time.Second)
		if i%2 == 1 {
			step = gang(8, 1, 4*time.Second)
		}
		w.submit(id, []string{"urgent", "usual", "spare"}[i%3], step)
		w.submit(fmt.Sprint("sound", i), "usual", gang(4, 2, time.Second))
		for range 10 {
			w.advance(50 * time.Millisecond)
			require.GreaterOrEqual(t, w.usable(), 30, "three quarters of the workers")
		}
	}
	require.Contains(t, w.notes, NoteFaulty)
	w.advance(10 * time.Second)
	require.Equal(t, 40, w.usable())
	for i := range 6 {
		require.Equal(t, hfwork.StateFailed, w.state(fmt.Sprint("poisoned", i)))
		require.Equal(t, hfwork.StateCompleted, w.state(fmt.Sprint("sound", i)))
	}
}

// Half of the workers fail what they start: no more than a quarter may be kept off work, and all work goes
// on once they have recovered.
func TestHalfOfTheFleetLooksBad(t *testing.T) {
	w := newWorld(t, 8, 5)
	for _, q := range w.policy.Queues {
		q.Attempts = 20
	}
	w.replaceScheduler()
	w.advance(time.Second)
	sick := 0
	for _, id := range sortedKeys(w.fleet) {
		w.fleet[id].failsRuns = sick%2 == 0
		sick++
	}
	for i := range 60 {
		w.submit(fmt.Sprint("a", i), []string{"urgent", "usual", "spare"}[i%3], single(uint32(24+i%16), time.Second)) // fills all workers
		w.advance(100 * time.Millisecond)
		require.GreaterOrEqual(t, w.usable(), 30)
	}
	require.Contains(t, w.notes, NoteTooManySuspects)
	for _, f := range w.fleet {
		f.failsRuns = false
	}
	w.advance(20 * time.Second)
	for i := range 60 {
		require.Equal(t, hfwork.StateCompleted, w.state(fmt.Sprint("a", i)), i)
	}
	require.Zero(t, w.s.judge.Suspects())
}

// Guards against a recovered worker that stays idle: it is tried again once its quarantine is over, and what
// succeeds there makes it like the others.
func TestRecoveredWorkerIsTriedAndUsedAgain(t *testing.T) {
	w := newWorld(t, 1, 4)
	w.advance(time.Second)
	f := w.fleet["w0-0"]
	f.failsRuns = true
	next := 0
	load := func(d time.Duration, each func()) {
		for end := w.now.Add(d); w.now.Before(end); {
			next++
			w.submit(fmt.Sprint("a", next), "spare", single(4, time.Second))
			w.advance(250 * time.Millisecond)
			each()
		}
	}
	load(10*time.Second, func() {})
	require.Contains(t, w.notes, NoteQuarantined)
	require.Contains(t, w.notes, NoteTrial)
	require.Positive(t, w.s.Load(w.now).Trials())
	require.Equal(t, 1, w.s.Load(w.now).Suspects())
	failures := 0
	for _, n := range w.notes {
		if n == NoteRetry {
			failures++
		}
	}
	require.LessOrEqual(t, failures, 32+3, "once the first tasks there have failed, one is tried after each quarantine")
	f.failsRuns = false
	usedAgain, healed := time.Time{}, w.now
	load(hfsuspect.MaxQuarantine+hfsuspect.TrialTime, func() {
		if usedAgain.IsZero() && len(f.runs) > 0 {
			usedAgain = w.now
		}
	})
	require.False(t, usedAgain.IsZero())
	require.LessOrEqual(t, usedAgain.Sub(healed), hfsuspect.MaxQuarantine+250*time.Millisecond)
	require.Zero(t, w.s.judge.Suspects())
	w.advance(10 * time.Second)
	for i := range next {
		require.Equal(t, hfwork.StateCompleted, w.state(fmt.Sprint("a", i+1)))
	}
}

// A gang that has lost all attempts but one waits for workers that have proved sound, but no longer than its
// callers can use: in a lightly used pool it must start within 3 s.
func TestLastAttemptWaitsForProofButNotForGood(t *testing.T) {
	const startLimit = 3 * time.Second
	for name, step := range map[string]*hfwork.Step{
		"of any racks": {Count: 4, Cpu: 15_000, Memory: 22_000, Accelerators: 8, Estimate: 2000, Gang: true},
		"in one rack":  gang(4, 8, 2*time.Second),
	} {
		for _, queue := range []string{"urgent", "usual"} {
			t.Run(name+" "+queue, func(t *testing.T) {
				w := newWorld(t, 5, 5)
				for _, q := range w.policy.Queues {
					q.Attempts = 2
				}
				w.replaceScheduler()
				w.advance(time.Second)
				for _, f := range w.fleet {
					f.failsRuns = true
				}
				w.submit("a", queue, step)
				w.advance(400 * time.Millisecond)
				require.Zero(t, w.running("a"), "its first run has failed, and nothing has proved any worker")
				require.Contains(t, w.notes, NoteAwaitsProof)
				for _, f := range w.fleet {
					f.failsRuns = false
				}
				w.advance(startLimit - 400*time.Millisecond)
				require.Equal(t, 4, w.running("a"))
				w.advance(5 * time.Second)
				require.Equal(t, hfwork.StateCompleted, w.state("a"))
			})
		}
	}
}

// While a last attempt waits, tasks that can afford to fail are spread over the workers that have proved
// nothing, so that it need not wait for long; on calm days they fill one worker after the other.
func TestUnprovedWorkersAreTriedWhileALastAttemptWaits(t *testing.T) {
	for name, waits := range map[string]bool{"calm": false, "waits": true} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 5, 5)
			w.policy.Queues[1].Attempts = 2
			w.replaceScheduler()
			w.advance(time.Second)
			if waits {
				for _, f := range w.fleet {
					f.failsRuns = true
				}
				w.submit("b", "spare", single(1, time.Second))
				w.submit("c", "spare", single(1, time.Second))
				w.submit("a", "usual", &hfwork.Step{Count: 4, Cpu: 15_000, Memory: 22_000, Accelerators: 8, Estimate: 2000, Gang: true})
				w.advance(300 * time.Millisecond)
				require.Zero(t, w.running("a"))
				for _, f := range w.fleet {
					f.failsRuns = false
				}
			}
			w.submit("bulk", "spare", single(25, 2*time.Second))
			w.advance(50 * time.Millisecond)
			used := 0
			for _, f := range w.fleet {
				for _, r := range f.runs {
					if r.task.Job() == "bulk" {
						used++
						break
					}
				}
			}
			if !waits {
				require.LessOrEqual(t, used, 4)
				return
			}
			require.GreaterOrEqual(t, used, 25-4-3, "all but those that the gang has reserved, and the suspects")
			w.advance(10 * time.Second)
			require.Equal(t, hfwork.StateCompleted, w.state("a"))
		})
	}
}

// Guards against a new leader that trusts all workers, as suspects are not stored: a job whose record has a
// failure shows that some may be bad.
func TestNewLeaderDoesNotTrustBlindly(t *testing.T) {
	w := newWorld(t, 5, 5)
	for _, q := range w.policy.Queues {
		q.Attempts = 2
	}
	w.replaceScheduler()
	w.advance(time.Second)
	for _, f := range w.fleet {
		f.failsRuns = true
	}
	w.submit("a", "urgent", gang(4, 8, 2*time.Second))
	w.advance(300 * time.Millisecond)
	require.Equal(t, uint32(1), w.records["a"].GetSteps()[0].GetFailures()[0])
	bad, failed := map[string]bool{}, 0
	for id, f := range w.fleet {
		bad[id] = w.s.judge.Avoided("pool", id)
		f.failsRuns = bad[id]
		if bad[id] {
			failed++
		}
	}
	require.Positive(t, failed)
	w.replaceScheduler()
	w.advance(100 * time.Millisecond)
	require.False(t, w.s.judge.Calm(w.now))
	require.Zero(t, w.running("a"), "no worker has proved sound to the new leader")
	w.submit("b", "spare", single(200, time.Second)) // tries all workers
	w.advance(20 * time.Second)
	require.Equal(t, hfwork.StateCompleted, w.state("a"))
	require.Equal(t, hfwork.StateCompleted, w.state("b"))
	require.True(t, w.s.judge.Calm(w.now))
}

// Workers that lose power, restart, stall or are cut off are no suspects, and without failures all is decided
// as if there were no suspects at all: no pass is vigilant.
func TestNothingIsSuspectedWithoutFailures(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 20261210))
		w := newWorld(t, 4, 4)
		w.advance(time.Second)
		for i := range 40 {
			f := w.fleet[fmt.Sprintf("w%d-%d", random.IntN(4), random.IntN(4))]
			switch random.IntN(6) {
			case 0:
				w.partition(f, time.Duration(500+random.IntN(9000))*time.Millisecond)
			case 1:
				w.restart(f)
			case 2:
				f.stalledSince = w.now
				w.at(3*time.Second, func() { f.stalledSince = time.Time{} })
			case 3:
				if random.IntN(4) == 0 {
					w.replaceScheduler()
				}
			case 4:
				for _, o := range w.fleet { // a rack loses power
					if o.registration.GetRack() == f.registration.GetRack() {
						w.restart(o)
					}
				}
			default:
				w.submit(fmt.Sprint("a", i), []string{"urgent", "usual", "spare"}[i%3], []*hfwork.Step{single(uint32(1+random.IntN(12)), time.Second), gang(4, 4, 2*time.Second)}[i%2])
			}
			for range 10 {
				w.advance(50 * time.Millisecond)
				require.False(t, w.s.vigilant)
				require.Zero(t, w.s.judge.Suspects())
			}
		}
	}
}

// failedSuspectSeeds holds seeds that once failed, beyond the default ones: each of several leaders in a row
// began the wait for proved workers anew.
var failedSuspectSeeds = []uint64{532, 907}

var suspectSeeds = flag.Uint64("suspectseeds", 40, "number of worlds of TestSuspicionUnderRandomFailures")

// Under random failures of workers, poisoned jobs and changes of the leader no sound job fails that had
// attempts to spare, no job waits for 3 s with nothing running while its pool is empty, no more than a quarter of
// the workers is kept off work for failures, and in the end nothing is suspected.
func TestSuspicionUnderRandomFailures(t *testing.T) {
	seeds := failedSuspectSeeds
	for seed := range *suspectSeeds {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 20261211))
			w := newWorld(t, 4, 5)
			for _, q := range w.policy.Queues {
				q.Attempts = uint32(2 + random.IntN(3))
			}
			w.replaceScheduler()
			w.advance(time.Second)
			idleSince := map[string]time.Time{}
			step := func() {
				w.advance(100 * time.Millisecond)
				require.GreaterOrEqual(t, w.usable(), 15)
				busy := int64(0)
				for _, f := range w.fleet {
					for _, r := range f.runs {
						busy += r.size.Accelerators()
					}
				}
				for id := range w.jobs {
					if hfwork.IsFinal(w.state(id)) || w.running(id) > 0 || busy >= 80 { // half of the accelerators
						delete(idleSince, id)
						continue
					}
					if idleSince[id].IsZero() {
						idleSince[id] = w.now
					}
					require.Less(t, w.now.Sub(idleSince[id]), 3*time.Second, "%s waits beside free workers", id)
				}
			}
			for i := range 60 {
				f := w.fleet[fmt.Sprintf("w%d-%d", random.IntN(4), random.IntN(5))]
				switch random.IntN(10) {
				case 0:
					f.failsRuns = true
				case 1:
					f.failsRuns = false
				case 2:
					if random.IntN(6) == 0 {
						w.replaceScheduler()
						w.advance(time.Second)
					}
				case 3:
					w.failingJobs[fmt.Sprint("a", i)] = true
					fallthrough
				default:
					w.submit(fmt.Sprint("a", i), []string{"urgent", "usual", "spare"}[random.IntN(3)],
						[]*hfwork.Step{single(uint32(1+random.IntN(20)), 2*time.Second), gang(uint32(2+random.IntN(5)), 4, 2*time.Second)}[random.IntN(2)])
				}
				for range 3 {
					step()
				}
			}
			for _, f := range w.fleet {
				f.failsRuns = false
			}
			for range 300 {
				step()
			}
			for id := range w.jobs {
				require.True(t, hfwork.IsFinal(w.state(id)), "%s is %q", id, w.state(id))
			}
			require.Zero(t, w.s.judge.Suspects())
			require.Equal(t, 20, w.usable())
		})
	}
}

// failTogether ends several members of a gang's run as failed, before the others hear of it.
func (w *world) failTogether(members ...member) {
	for _, m := range members {
		delete(m.worker.runs, fmt.Sprint(m.run.task))
		m.worker.lastEnd++
		m.worker.ended = append(m.worker.ended, hfwork.NewEnd(m.worker.lastEnd, m.run.task, m.run.number, hfwork.Failed, ""))
	}
	for _, m := range members {
		w.deliverReport(w.term, m.worker)
	}
}

// gangRun returns the members of the current run of a gang of one step.
func (w *world) gangRun(job string) []member {
	for _, id := range sortedKeys(w.fleet) {
		f := w.fleet[id]
		for _, name := range sortedKeys(f.runs) {
			if r := f.runs[name]; r.task.Job() == job {
				return w.gangOf(r)
			}
		}
	}
	return nil
}

// Guards against a gang that is judged at fault after two runs, as two of its members failed in one of them: that
// cleared the workers that were bad.
func TestMembersThatFailInOneRunCountAsOneFailureOfTheGang(t *testing.T) {
	w := newWorld(t, 4, 5)
	w.policy.Queues[1].Attempts = 4
	w.replaceScheduler()
	w.advance(time.Second)
	w.submit("a", "usual", gang(3, 8, 4*time.Second))
	w.advance(300 * time.Millisecond)
	restarted := func() []member {
		for i := 0; i < 100 && w.running("a") < 3; i++ {
			w.advance(20 * time.Millisecond)
		}
		require.Equal(t, 3, w.running("a"))
		return w.gangRun("a")
	}
	w.failTogether(restarted()[0])
	w.advance(100 * time.Millisecond)
	w.failTogether(restarted()[:2]...)
	require.NotContains(t, w.notes, NoteFaulty, "two runs")
	require.Equal(t, 3, w.s.judge.Suspects())
	w.advance(100 * time.Millisecond)
	require.Equal(t, uint32(2), w.records["a"].GetSteps()[0].GetFailures()[0])
	w.failTogether(restarted()[0])
	require.Contains(t, w.notes, NoteFaulty, "three runs")
	require.Zero(t, w.s.judge.Suspects())
}

// newProvedWorld returns four workers during an outbreak: w0-0 and w0-1 have proved sound and are full of bulk,
// w0-2 and w0-3 are empty and have proved nothing.
func newProvedWorld(t *testing.T) *world {
	t.Helper()
	w := newWorld(t, 1, 4)
	w.policy.Queues[0].Attempts = 2
	w.replaceScheduler()
	w.advance(time.Second)
	w.submit("bulk", "spare", single(16, 30*time.Second))
	w.advance(500 * time.Millisecond)
	require.Equal(t, 16, w.running("bulk"))
	require.Len(t, w.fleet["w0-0"].runs, 8)
	require.Len(t, w.fleet["w0-1"].runs, 8)
	w.s.judge.Distrust("pool", w.now)
	for _, id := range []string{"w0-0", "w0-1"} {
		w.s.judge.Proved(id, "pool", w.now)
	}
	return w
}

func (w *world) preemptions() int {
	n := 0
	for _, note := range w.notes {
		if note == NotePreempted {
			n++
		}
	}
	return n
}

// Guards against urgent work that stops others while workers stand empty, as these have proved nothing: what has
// one attempt left waits for proof, and the rest takes them.
func TestNothingIsStoppedWhilePermittedWorkersHaveRoom(t *testing.T) {
	steps := map[string]*hfwork.Step{
		"gang":       {Count: 2, Cpu: 100_000, Memory: 200_000, Accelerators: 8, Estimate: 2000, Gang: true},
		"in a rack":  gang(2, 8, 2*time.Second),
		"singletons": {Count: 2, Cpu: 100_000, Memory: 200_000, Accelerators: 8, Estimate: 2000},
	}
	for name, step := range steps {
		for _, last := range []bool{true, false} {
			t.Run(fmt.Sprint(name, " last ", last), func(t *testing.T) {
				w := newProvedWorld(t)
				w.jobs["a"] = &hfwork.Job{Id: "a", Queue: "urgent", Account: "plants", Steps: []*hfwork.Step{step}, Received: w.now.UnixMilli()}
				failures := map[uint32]uint32{}
				if last {
					failures = map[uint32]uint32{0: 1, 1: 1}
				}
				w.records["a"] = &hfwork.Progress{Steps: []*hfwork.StepProgress{{Failures: failures}}}
				w.send(Job(w.jobs["a"], w.records["a"], false))
				started := false
				for range 70 {
					w.advance(100 * time.Millisecond)
					require.Zero(t, w.preemptions())
					require.Equal(t, 16, w.running("bulk"))
					started = started || w.running("a") == 2
				}
				require.True(t, started, "the wait is bounded")
			})
		}
	}
}

// What does not fit on the permitted workers stops others as before.
func TestUrgentWorkStopsOthersIfPermittedWorkersAreFull(t *testing.T) {
	w := newProvedWorld(t)
	w.submit("more", "spare", single(16, 30*time.Second))
	w.advance(500 * time.Millisecond)
	require.Equal(t, 16, w.running("more"))
	w.submit("a", "urgent", gang(2, 8, 2*time.Second))
	w.advance(500 * time.Millisecond)
	require.Equal(t, 2, w.running("a"))
	require.NotZero(t, w.preemptions())
}

// Guards against a gang that reserves the workers for whose proof it waits, so that nothing can prove them.
func TestAGangThatWaitsForProofLeavesWorkersToBeTried(t *testing.T) {
	w := newProvedWorld(t)
	step := &hfwork.Step{Count: 2, Cpu: 90_000, Memory: 190_000, Accelerators: 6, Estimate: 2000, Gang: true}
	w.jobs["a"] = &hfwork.Job{Id: "a", Queue: "urgent", Account: "plants", Steps: []*hfwork.Step{step}, Received: w.now.UnixMilli()}
	w.records["a"] = &hfwork.Progress{Steps: []*hfwork.StepProgress{{Failures: map[uint32]uint32{0: 1}}}}
	w.send(Job(w.jobs["a"], w.records["a"], false))
	w.advance(100 * time.Millisecond)
	w.submit("tried", "spare", single(2, 4*time.Second))
	w.advance(100 * time.Millisecond)
	require.Len(t, w.fleet["w0-2"].runs, 1)
	require.Len(t, w.fleet["w0-3"].runs, 1)
	w.advance(650 * time.Millisecond)
	require.Equal(t, 2, w.running("a"), "they have proved sound before the wait of %s ends", proofWait)
	require.Zero(t, w.preemptions())
}

// keepOutbreak makes all workers look as if some were bad, and none had proved sound, for good.
func (w *world) keepOutbreak() {
	w.s.judge.Distrust("pool", w.now)
	w.at(hfsuspect.OutbreakTime, w.keepOutbreak)
}

// Guards against a last attempt that waits for good, as each start of another task of its step began the wait anew.
func TestPlacedSiblingsDoNotProlongTheWaitOfALastAttempt(t *testing.T) {
	for _, queue := range []string{"urgent", "usual"} {
		t.Run(queue, func(t *testing.T) {
			w := newWorld(t, 1, 4)
			w.advance(time.Second)
			w.jobs["a"] = &hfwork.Job{Id: "a", Queue: queue, Account: "plants", Steps: []*hfwork.Step{single(18, 2*time.Minute)}, Received: w.now.UnixMilli()}
			w.records["a"] = &hfwork.Progress{Steps: []*hfwork.StepProgress{{Failures: map[uint32]uint32{0: 2}}}}
			began := w.now
			w.keepOutbreak()
			w.send(Job(w.jobs["a"], w.records["a"], false))
			w.advance(300 * time.Millisecond)
			require.Equal(t, 17, w.running("a"), "the last attempt waits")
			for w.running("a") < 18 {
				require.Less(t, w.now.Sub(began), suspectWait+time.Second)
				for _, m := range w.gangRun("a")[:1] { // ends without a failure, and starts again
					w.finish(m.worker, m.run, hfwork.LeaseExpired)
				}
				w.advance(500 * time.Millisecond)
			}
		})
	}
}

// Guards against last attempts that wait for 6 s beside free workers, as more than half of the workers that are not
// in quarantine is in use.
func TestLastAttemptWithRoomStartsWithinTheLimitOfCallers(t *testing.T) {
	for name, load := range map[string]struct{ busy, quarantined int }{
		"more than half in use":           {busy: 40},
		"less than half, but for outages": {busy: 28, quarantined: 2},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 2, 4)
			w.policy.Queues[2].Attempts = 2 // tries nothing
			w.replaceScheduler()
			w.advance(time.Second)
			w.submit("bulk", "spare", &hfwork.Step{Count: uint32(load.busy), Cpu: 15_000, Memory: 30_000, Accelerators: 1, Estimate: 60_000})
			w.advance(300 * time.Millisecond)
			require.Equal(t, load.busy, w.running("bulk"))
			for _, id := range []string{"w1-2", "w1-3"}[:load.quarantined] {
				w.s.workers[id].quarantinedUntil = w.now.Add(time.Minute)
				w.s.updateUsable(w.s.workers[id], w.now)
			}
			w.keepOutbreak()
			step := &hfwork.Step{Count: 2, Cpu: 11_000, Memory: 22_000, Accelerators: 2, Estimate: 20_000, Gang: true, Saves: true}
			w.jobs["a"] = &hfwork.Job{Id: "a", Queue: "usual", Account: "plants", Steps: []*hfwork.Step{step}, Received: w.now.UnixMilli()}
			w.records["a"] = &hfwork.Progress{Steps: []*hfwork.StepProgress{{Failures: map[uint32]uint32{0: 2}}}}
			w.send(Job(w.jobs["a"], w.records["a"], false))
			w.advance(500 * time.Millisecond)
			require.Zero(t, w.running("a"))
			w.advance(2500 * time.Millisecond)
			require.Equal(t, 2, w.running("a"))
		})
	}
}

// Without suspicion failures only quarantine workers, however many.
func TestWithoutSuspicionFailuresOnlyQuarantine(t *testing.T) {
	w := newWorld(t, 2, 4)
	w.trusting = true
	for _, q := range w.policy.Queues {
		q.Attempts = 1000 // all workers fail everything for a while
	}
	w.replaceScheduler()
	w.advance(time.Second)
	for _, f := range w.fleet {
		f.failsRuns = true
	}
	least := w.usable()
	for i := range 20 {
		w.submit(fmt.Sprint("a", i), []string{"urgent", "usual", "spare"}[i%3], []*hfwork.Step{single(32, time.Second), gang(2, 8, time.Second)}[i%2])
		for range 10 {
			w.advance(20 * time.Millisecond)
			require.False(t, w.s.vigilant)
			require.Zero(t, w.s.judge.Suspects())
			least = min(least, w.usable())
		}
		if i == 10 {
			w.replaceScheduler()
		}
	}
	require.Less(t, least, 6, "more than a quarter is quarantined")
	for _, note := range []Note{NoteSuspected, NoteTrial, NoteProved, NoteFaulty, NoteAwaitsProof, NoteTooManySuspects} {
		require.NotContains(t, w.notes, note)
	}
	for _, f := range w.fleet {
		f.failsRuns = false
	}
	w.advance(20 * time.Second)
	for i := range 20 {
		require.Equal(t, hfwork.StateCompleted, w.state(fmt.Sprint("a", i)))
	}
}
