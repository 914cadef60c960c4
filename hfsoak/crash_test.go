package hfsoak

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hfstand"
)

const (
	deadlyJobs  = 2                       // jobs of a seed with a task that crashes its workers
	entryExpiry = 4500 * time.Millisecond // three heartbeats, after which the entry of a silent worker is removed

	// crashSettleTimeout allows for five crashes under each deadly job, one after the other: a
	// worker is back after 5 s, and the task starts again within a second.
	crashSettleTimeout = settleTimeout + deadlyJobs*5*6*time.Second

	// A task that crashes its workers may be started fewer than maxStartsAfter times after
	// crashesBefore workers have crashed under it (BUDGET in the platform's rules).
	crashesBefore  = 3
	maxStartsAfter = 3
	// crashesToGiveUp is how many workers must have crashed under a task before its job may be
	// shown as failed, by the platform's rules also that of a task that crashes none.
	crashesToGiveUp = 2
)

// TestCrashSoak runs each seed with jobs that crash the workers which start them, resources that
// shrink and grow, and instances that are killed and terminated. Links, store and clocks are
// sound, so that the platform's bounds hold for every start.
func TestCrashSoak(t *testing.T) {
	for i := range *seedCount {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			s := &crashRun{soakRun: newSoakRun(t, seed), crashRandom: rand.New(rand.NewPCG(seed, 5))}
			defer s.saveLogs(seed)
			for i, w := range s.workers {
				w.OnCrash(func() { s.returnLater(i) })
			}
			s.runCrashes()
			s.waitSettled(crashSettleTimeout)
			s.checkResults()
			s.checkCrashes()
		})
	}
}

// crashRun is the run of one seed of TestCrashSoak.
type crashRun struct {
	*soakRun
	mu          sync.Mutex // guards the fields below and the entries of workers
	crashRandom *rand.Rand
	returns     int // incarnations so far
	crashLog    []string
}

// runCrashes submits jobs, some of them deadly, and changes workers and instances meanwhile.
func (s *crashRun) runCrashes() {
	s.waitReady()
	end := time.Now().Add(faultDuration)
	next := time.Now()
	for n := 0; time.Now().Before(end); n++ {
		if s.random.IntN(2) == 0 {
			s.submitJob()
		}
		if n%20 == 5 && n/20 < deadlyJobs {
			s.submitDeadlyJob()
		}
		if time.Now().After(next) {
			s.changeSomething()
			next = time.Now().Add(time.Duration(200+s.random.IntN(600)) * time.Millisecond)
		}
		time.Sleep(time.Duration(20+s.random.IntN(120)) * time.Millisecond)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, w := range s.workers { // gangs of whole workers need them
		w.Resize(acceleratorsPerWorker)
		s.registerIfUp(i)
	}
}

// submitDeadlyJob submits a job whose first task crashes the workers that start it.
func (s *crashRun) submitDeadlyJob() {
	id := fmt.Sprintf("%016x", s.random.Uint64())
	count := 1 + s.random.IntN(3)
	step := map[string]any{"cpu": 4000, "mem_mb": 1000, "estimate_ms": 800, "count": count, "gpu": 1}
	profile := hfstand.TaskProfile{RunTime: 800 * time.Millisecond, GangSize: 1, Accelerators: 1, Crashes: true}
	if count > 1 && s.random.IntN(2) == 0 {
		step["co_schedule"], profile.GangSize = true, count
	}
	s.testEnv.mu.Lock()
	s.jobProfiles[id] = profile
	s.testEnv.mu.Unlock()
	j := &jobRecord{queue: "usual"}
	s.jobs[id] = j
	for range 20 {
		status, _ := call(s.instances[s.random.IntN(len(s.instances))], "POST", "/usual/"+id, map[string]any{"spec": "soak", "steps": []any{step}})
		if status == 200 {
			j.accepted = true
			s.logFault("deadly job %s", id)
			return
		}
		j.uncertain = true
		time.Sleep(100 * time.Millisecond)
	}
}

// changeSomething resizes a worker, or ends an instance and starts it again.
func (s *crashRun) changeSomething() {
	n := s.instances[s.random.IntN(len(s.instances))]
	switch s.random.IntN(8) {
	case 0:
		s.logFault("kill %s", n.name)
		s.kill(n)
		s.startInstance(n)
	case 1:
		s.logFault("terminate %s", n.name)
		s.terminate(n)
		s.startInstance(n)
	default:
		i, size := s.random.IntN(len(s.workers)), int64(s.random.IntN(acceleratorsPerWorker+1))
		s.logFault("worker %d has %d accelerators", i, size)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.workers[i].Resize(size)
		s.registerIfUp(i)
	}
}

// registerIfUp stores the entry of a worker that is up. The caller holds mu.
func (s *crashRun) registerIfUp(i int) {
	if !s.workers[i].Down() {
		s.registerWorker(i, false)
	}
}

// returnLater starts the next incarnation of a crashed worker after 1 to 5 s, under the same id
// or a new one. The entry of the crashed one stays until the next one replaces it, or until
// entryExpiry.
func (s *crashRun) returnLater(i int) {
	s.mu.Lock()
	id := s.workers[i].ID()
	next, wait := id, time.Duration(1000+s.crashRandom.IntN(4000))*time.Millisecond
	s.returns++
	if s.crashRandom.IntN(2) == 0 {
		next = fmt.Sprintf("w%d-%d", i, s.returns)
	}
	s.crashLog = append(s.crashLog, fmt.Sprintf("%6.2f worker %d (%s) crashes, back after %v as %s", time.Since(s.startedAt).Seconds(), i, id, wait, next))
	s.mu.Unlock()
	replaced := false // guarded by mu
	time.AfterFunc(entryExpiry, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if !replaced {
			s.store.Delete("servers/" + id)
		}
	})
	time.AfterFunc(wait, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.workers[i].Return(next)
		s.registerIfUp(i)
		replaced = next == id
	})
}

// checkCrashes compares the runs with what the platform's rules say about crashes.
func (s *crashRun) checkCrashes() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultLog = append(s.faultLog, s.crashLog...)
	crashes := 0
	for _, start := range s.runLog.Starts() {
		if start.Outcome == "crash" {
			crashes++
		}
	}
	require.Positive(s.t, crashes, "no worker crashed")
	for _, violation := range startsAfterCrashes(s.runLog.Starts(), func(task string) bool { return s.jobProfile(task).Crashes }) {
		s.t.Error(violation)
	}
	for id, j := range s.jobs {
		if !s.jobProfiles[id].Crashes || !j.accepted {
			continue
		}
		if _, body := call(s.instances[0], "GET", "/"+j.queue+"/"+id, nil); strings.Contains(body, "completed") {
			s.t.Errorf("%s is reported as completed but one of its tasks cannot be done: %s, runs:%s", id, body, s.runsOf(id))
		}
	}
}

// startsAfterCrashes describes each deadly task that was started too often after crashesBefore
// workers had crashed under it.
func startsAfterCrashes(starts []hfstand.Start, deadly func(task string) bool) []string {
	crashed := map[string][]time.Time{}
	for _, start := range starts {
		if start.Outcome == "crash" && deadly(start.Task) {
			crashed[start.Task] = append(crashed[start.Task], start.EndedAt)
		}
	}
	late := map[string]int{}
	for _, start := range starts {
		ends := crashed[start.Task]
		if len(ends) < crashesBefore {
			continue
		}
		sort.Slice(ends, func(i, j int) bool { return ends[i].Before(ends[j]) })
		if start.StartedAt.After(ends[crashesBefore-1]) {
			late[start.Task]++
		}
	}
	list := []string{}
	for task, n := range late {
		if n >= maxStartsAfter {
			list = append(list, fmt.Sprintf("%s was started %d times after %d workers had crashed under it", task, n, crashesBefore))
		}
	}
	sort.Strings(list)
	return list
}

// Guards against a soak that overlooks a task which is started too often after crashes, or takes
// an allowed number of starts for too many.
func TestStartsAfterCrashesAreCounted(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		starts int
		tasks  []string
		want   int
	}{
		"five starts":            {5, []string{"a.0.0.0"}, 0},
		"six starts":             {6, []string{"a.0.0.0"}, 1},
		"six starts of a victim": {6, []string{"b.0.0.0"}, 0},
		"three of two tasks":     {3, []string{"a.0.0.0", "c.0.0.0"}, 0},
		"six of two tasks":       {6, []string{"a.0.0.0", "c.0.0.0"}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			starts := []hfstand.Start{}
			for i := range c.starts {
				for _, task := range c.tasks {
					at := now.Add(time.Duration(i) * time.Second)
					starts = append(starts, hfstand.Start{Task: task, StartedAt: at, EndedAt: at.Add(time.Millisecond), Outcome: "crash"})
				}
			}
			require.Len(t, startsAfterCrashes(starts, func(task string) bool { return !strings.HasPrefix(task, "b") }), c.want)
		})
	}
}
