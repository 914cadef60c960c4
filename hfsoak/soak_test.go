package hfsoak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hfstand"
	"github.com/heatherfront/heatherfront/hfwire"
	"github.com/heatherfront/heatherfront/hfwork"
)

var (
	seedCount = flag.Int("seeds", 1, "number of seeds to run")
	firstSeed = flag.Uint64("first", 1, "first seed")
	logDir    = flag.String("keep", "", "directory in which the logs of failed seeds are kept")
)

// regressionSeeds are seeds that failed in the past, each with its cause. Every run of the
// test includes them.
//
//   - 246: a worker restarted while a gang was assigned to it, and a member was released
//     twice (TestRestartedWorkerReleasesAssignedGangOnce)
//   - 3 and 7: an odd entry in place of a worker's own, and its runs were taken as ended
//     (TestChangedEntryOfWorkerEndsNoRuns)
var regressionSeeds = []uint64{246, 3, 7}

const (
	faultDuration = 9 * time.Second  // time during which faults are injected
	settleTimeout = 40 * time.Second // time after the last fault within which all accepted jobs must end
	cancelLimit   = 8 * time.Second  // longest time after a cancellation at which a task of the job may still start
)

// jobRecord is what the instances answered about one job.
type jobRecord struct {
	queue       string
	accepted    bool
	uncertain   bool // an answer was missing or said that the effect is unknown
	cancelledAt time.Time
}

// soakRun is the run of one seed.
type soakRun struct {
	*testEnv
	random        *rand.Rand
	workerRandom  *rand.Rand            // for the faults of workers, which came later: the seeds keep their other faults
	runTimeRandom *rand.Rand            // for the runs that are longer than a lease, likewise
	laterRandom   *rand.Rand            // for the frozen leaders and the refusals, likewise
	callerRandom  *rand.Rand            // for the answers that callers lose, likewise
	jobs          map[string]*jobRecord // by id
	faultLog      []string
	startedAt     time.Time
}

// TestSoak runs each seed: jobs and cancellations under random faults, then a phase
// without faults in which everything must end, then a comparison of the instances' answers
// with the runs on the workers.
func TestSoak(t *testing.T) {
	list := append([]uint64{}, regressionSeeds...)
	for i := range *seedCount {
		list = append(list, *firstSeed+uint64(i))
	}
	for _, seed := range list {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			s := newSoakRun(t, seed)
			defer s.saveLogs(seed)
			s.runFaults()
			s.clearFaults()
			s.waitSettled(settleTimeout)
			s.checkResults()
		})
	}
}

// newSoakRun starts the environment of a seed.
func newSoakRun(t *testing.T, seed uint64) *soakRun {
	return &soakRun{testEnv: newTestEnv(t), random: rand.New(rand.NewPCG(seed, 1)), workerRandom: rand.New(rand.NewPCG(seed, 2)), runTimeRandom: rand.New(rand.NewPCG(seed, 4)), laterRandom: rand.New(rand.NewPCG(seed, 7)), callerRandom: rand.New(rand.NewPCG(seed, 8)), jobs: map[string]*jobRecord{}, startedAt: time.Now()}
}

// saveLogs logs the faults of a failed seed, and copies them, the runs and the logs of its instances to
// logDir.
func (s *soakRun) saveLogs(seed uint64) {
	if !s.t.Failed() {
		return
	}
	faults := "faults:\n" + strings.Join(s.faultLog, "\n")
	s.t.Log(faults)
	if *logDir == "" {
		return
	}
	_ = os.WriteFile(filepath.Join(*logDir, fmt.Sprintf("%d-runs.log", seed)), []byte(faults+"\nruns:"+s.runsOf("")), 0o600)
	for _, n := range s.instances {
		raw, err := os.ReadFile(filepath.Join(s.dir, n.name+".log"))
		if err == nil {
			_ = os.WriteFile(filepath.Join(*logDir, fmt.Sprintf("%d-%s.log", seed, n.name)), raw, 0o600)
		}
	}
}

// logFault appends a line to the fault log, with the seconds since the start.
func (s *soakRun) logFault(format string, args ...any) {
	s.faultLog = append(s.faultLog, fmt.Sprintf("%6.2f ", time.Since(s.startedAt).Seconds())+fmt.Sprintf(format, args...))
}

// runFaults submits and cancels jobs and injects faults at random times. Faults may
// overlap.
func (s *soakRun) runFaults() {
	s.waitReady()
	end := time.Now().Add(faultDuration)
	nextFault, nextWorkerFault, nextLaterFault := time.Now(), time.Now(), time.Now().Add(time.Second)
	for time.Now().Before(end) {
		if s.random.IntN(2) == 0 {
			s.submitJob()
		}
		if s.random.IntN(8) == 0 {
			s.cancelJob()
		}
		if time.Now().After(nextFault) {
			s.injectFault()
			nextFault = time.Now().Add(time.Duration(300+s.random.IntN(1500)) * time.Millisecond)
		}
		if time.Now().After(nextWorkerFault) {
			s.injectWorkerFault()
			nextWorkerFault = time.Now().Add(time.Duration(500+s.workerRandom.IntN(1500)) * time.Millisecond)
		}
		if time.Now().After(nextLaterFault) {
			if s.laterRandom.IntN(2) == 0 {
				s.freezeLeader()
			} else {
				s.refuseOrders()
			}
			nextLaterFault = time.Now().Add(time.Duration(1000+s.laterRandom.IntN(2500)) * time.Millisecond)
		}
		time.Sleep(time.Duration(20+s.random.IntN(120)) * time.Millisecond)
	}
}

func (s *soakRun) waitReady() {
	require.Eventually(s.t, func() bool {
		for _, n := range s.instances {
			if status, _ := call(n, "GET", "/usual/", nil); status != 200 {
				return false
			}
		}
		return true
	}, 20*time.Second, 50*time.Millisecond)
}

// submitJob submits a random job up to three times, each time to a random instance, until
// it is accepted.
func (s *soakRun) submitJob() {
	id := fmt.Sprintf("%016x", s.random.Uint64())
	queue := []string{"urgent", "usual", "usual", "spare"}[s.random.IntN(4)]
	step := map[string]any{"cpu": 4000, "mem_mb": 1000, "estimate_ms": 800}
	profile := hfstand.TaskProfile{RunTime: time.Duration(200+s.random.IntN(1500)) * time.Millisecond, GangSize: 1}
	if s.random.IntN(2) == 0 {
		count, size := 2+s.random.IntN(3), []int{1, 4, 8}[s.random.IntN(3)]
		step["count"], step["gpu"], step["co_schedule"], step["same_rack"] = count, size, true, s.random.IntN(2) == 0
		profile.GangSize, profile.Accelerators = count, int64(size)
		if count > workersPerRack && size == acceleratorsPerWorker {
			step["same_rack"] = false
		}
	} else {
		step["count"], step["gpu"] = 1+s.random.IntN(8), 1
		profile.Accelerators = 1
	}
	profile.Fails = s.random.IntN(25) == 0
	if s.runTimeRandom.IntN(5) == 0 {
		// Only runs that are longer than a lease show one that ends too late.
		profile.RunTime = maxLeaseMS*time.Millisecond + time.Duration(s.runTimeRandom.IntN(6000))*time.Millisecond
		step["estimate_ms"] = profile.RunTime.Milliseconds()
	}
	s.mu.Lock()
	s.jobProfiles[id] = profile
	s.mu.Unlock()
	j := &jobRecord{queue: queue}
	s.jobs[id] = j
	body := map[string]any{"spec": "soak", "steps": []any{step}}
	if s.callerRandom.IntN(5) == 0 { // the answer is lost, and the caller repeats the call
		_, _ = callWith(hastyCaller, s.anyInstance(s.callerRandom), "POST", "/"+queue+"/"+id, body)
		j.uncertain = true
	}
	for range 3 {
		n := s.instances[s.random.IntN(len(s.instances))]
		status, _ := call(n, "POST", "/"+queue+"/"+id, body)
		switch status {
		case 200:
			j.accepted = true
			if again := s.anyInstance(s.callerRandom); s.callerRandom.IntN(5) == 0 { // a call of before arrives late
				time.AfterFunc(time.Duration(s.callerRandom.IntN(6000))*time.Millisecond, func() { _, _ = call(again, "POST", "/"+queue+"/"+id, body) })
			}
			return
		case 503, 429: // refused: this submission must have no effect
		default:
			j.uncertain = true
		}
	}
}

// anyInstance returns a random instance.
func (s *soakRun) anyInstance(random *rand.Rand) *instance {
	return s.instances[random.IntN(len(s.instances))]
}

// cancelJob cancels one accepted job.
func (s *soakRun) cancelJob() {
	for id, j := range s.jobs {
		if !j.accepted || !j.cancelledAt.IsZero() {
			continue
		}
		n := s.instances[s.random.IntN(len(s.instances))]
		if status, _ := call(n, "DELETE", "/"+j.queue+"/"+id, nil); status == 200 {
			j.cancelledAt = time.Now()
			s.logFault("cancelled %s", id)
		} else {
			j.accepted, j.uncertain = false, true // whether it was cancelled is unknown
		}
		return
	}
}

// undoLater calls undo after 0.5 to 4 seconds.
func (s *soakRun) undoLater(undo func()) { undoLater(s.random, undo) }

func undoLater(random *rand.Rand, undo func()) {
	time.AfterFunc(time.Duration(500+random.IntN(3500))*time.Millisecond, undo)
}

// injectFault injects a random fault into a random instance, worker or the store.
func (s *soakRun) injectFault() {
	n := s.instances[s.random.IntN(len(s.instances))]
	i := s.random.IntN(len(s.workers))
	switch kind := s.random.IntN(14); kind {
	case 0, 1:
		s.logFault("kill %s", n.name)
		s.kill(n)
		s.startInstance(n)
	case 2:
		s.logFault("terminate %s", n.name)
		s.terminate(n)
		s.startInstance(n)
	case 3, 4:
		s.logFault("freeze %s", n.name)
		process := n.cmd.Process
		_ = process.Signal(syscall.SIGSTOP)
		s.undoLater(func() { _ = process.Signal(syscall.SIGCONT) })
	case 5:
		mode := []string{"delay", "cut", "inbound", "outbound"}[s.random.IntN(4)]
		s.logFault("mode %s on the store proxy of %s", mode, n.name)
		n.storeProxy.setMode(mode)
		s.undoLater(func() { n.storeProxy.setMode("") })
	case 6:
		s.logFault("reset the store's connections of %s", n.name)
		n.storeProxy.resetConns()
	case 7:
		mode := []string{"delay", "cut", "inbound", "outbound"}[s.random.IntN(4)]
		s.logFault("proxy of worker %d in mode %s", i, mode)
		s.workerProxies[i].setMode(mode)
		s.undoLater(func() { s.workerProxies[i].setMode("") })
	case 8:
		s.logFault("worker %d restarts", i)
		s.workers[i].Restart()
		s.registerWorker(i, false)
	case 9:
		s.logFault("worker %d drops orders", i)
		s.workers[i].DropOrders(true)
		s.undoLater(func() { s.workers[i].DropOrders(false) })
	case 10:
		s.logFault("store down")
		s.store.Fault(hfstand.StoreFault{Down: true})
		s.undoLater(func() { s.store.Fault(hfstand.StoreFault{}) })
	case 11:
		s.logFault("store loses answers and delays their writes")
		s.store.Fault(hfstand.StoreFault{LostAnswers: 3 + s.random.IntN(10), WriteDelay: int64(200 + s.random.IntN(3000))})
	case 12:
		s.logFault("store discards its event history")
		s.store.Compact()
	case 13:
		s.logFault("worker %d drains", i)
		s.registerWorker(i, true)
		s.undoLater(func() { s.registerWorker(i, false) })
	}
}

// refuseOrders lets a worker refuse a share of its orders.
func (s *soakRun) refuseOrders() {
	i, share := s.laterRandom.IntN(len(s.workers)), []float64{0.3, 0.7, 1}[s.laterRandom.IntN(3)]
	s.logFault("worker %d refuses a share of %.1f of its orders", i, share)
	s.workers[i].SetRefusals(hfstand.Refusals{Share: share, Random: rand.New(rand.NewPCG(s.laterRandom.Uint64(), 3))})
	undoLater(s.laterRandom, func() { s.workers[i].SetRefusals(hfstand.Refusals{}) })
}

// freezeLeader freezes the leader while the store loses answers and carries writes out late, so that
// a write of the leader takes effect in its absence, or after another one has taken over.
func (s *soakRun) freezeLeader() {
	lead, err := hfwire.Decode(s.store.Value("hf/lead"), &hfwork.Lead{})
	if err != nil {
		return
	}
	for _, n := range s.instances {
		if n.name != lead.GetInstance() {
			continue
		}
		lost, delay := 1+s.laterRandom.IntN(6), int64(200+s.laterRandom.IntN(5000))
		s.logFault("freeze leader %s, after the store loses %d answers and delays their writes by %d ms", n.name, lost, delay)
		s.store.Fault(hfstand.StoreFault{LostAnswers: lost, WriteDelay: delay})
		process, begins := n.cmd.Process, time.Duration(s.laterRandom.IntN(300))*time.Millisecond
		time.AfterFunc(begins, func() { _ = process.Signal(syscall.SIGSTOP) })
		time.AfterFunc(begins+time.Duration(500+s.laterRandom.IntN(3000))*time.Millisecond, func() { _ = process.Signal(syscall.SIGCONT) })
	}
}

// oddEntries are workers' entries that another writer may leave.
var oddEntries = []string{
	"\xff\x00", "", "5", strings.Repeat("[", 200_000), `{"service":"pool","address":"127.0.0.1:99999","zone":"z","state":"ready","capacity":{"cpu":1,"mem_mb":1}}`,
	`{"service":"pool","address":"127.0.0.1:1","zone":"z","state":"ready","capacity":{"cpu":1e300,"mem_mb":9223372036854775807}}`,
	`{"service":"pool","address":"127.0.0.1:1","zone":"z","state":"ready","capacity":{"cpu":1,"mem_mb":1,"gpu":1},"labels":["a","other"]}`,
	`{"service":"other","address":"127.0.0.1:1","zone":"z","state":"odd","capacity":{}}`,
}

// injectWorkerFault injects a random fault into a random worker or its entry.
func (s *soakRun) injectWorkerFault() {
	i := s.workerRandom.IntN(len(s.workers))
	switch s.workerRandom.IntN(6) {
	case 0, 1, 2:
		share := []float64{0.3, 0.6, 1}[s.workerRandom.IntN(3)]
		s.logFault("worker %d answers no share of %.1f of its orders and carries them out late", i, share)
		random := rand.New(rand.NewPCG(s.workerRandom.Uint64(), 3))
		s.workers[i].SetLateOrders(hfstand.LateOrders{Share: share, MinDelay: time.Second, MaxDelay: 6 * time.Second, Random: random})
		undoLater(s.workerRandom, func() { s.workers[i].SetLateOrders(hfstand.LateOrders{}) })
	case 3:
		s.logFault("worker %d restarts behind a cut", i)
		s.workerProxies[i].setMode("cut")
		s.workers[i].Restart()
		undoLater(s.workerRandom, func() { s.workerProxies[i].setMode(""); s.registerWorker(i, false) })
	case 4:
		odd := s.workerRandom.IntN(len(oddEntries))
		s.logFault("odd entry %d of worker %d", odd, i)
		s.store.SetBytes(fmt.Sprintf("servers/w%d", i), []byte(oddEntries[odd]))
		undoLater(s.workerRandom, func() { s.registerWorker(i, false) })
	case 5:
		odd := s.workerRandom.IntN(len(oddEntries))
		s.logFault("odd entry %d of no worker", odd)
		s.store.SetBytes(fmt.Sprintf("servers/odd/%d", odd), []byte(oddEntries[odd]))
	}
}

// clearFaults waits until the delays of undoLater are over. It then clears the faults of the
// store, as lost answers have no undo, and those of the connections to it.
func (s *soakRun) clearFaults() {
	time.Sleep(4 * time.Second) // longest delay of undoLater
	s.store.Fault(hfstand.StoreFault{})
	for _, n := range s.instances {
		n.storeProxy.setMode("")
	}
	s.logFault("faults cleared")
}

// waitSettled waits until every accepted job has ended and no task runs, and fails the test
// otherwise.
func (s *soakRun) waitSettled(timeout time.Duration) {
	deadline := time.Now().Add(timeout)
	var mu sync.Mutex
	unsettled := ""
	for time.Now().Before(deadline) {
		mu.Lock()
		unsettled = s.firstUnsettled()
		mu.Unlock()
		if unsettled == "" {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	s.t.Errorf("not settled: %s", unsettled)
}

// firstUnsettled describes a job or task that has not ended. It returns "" if there is none.
func (s *soakRun) firstUnsettled() string {
	for id, j := range s.jobs {
		if !j.accepted {
			continue
		}
		for _, n := range s.instances {
			status, body := call(n, "GET", "/"+j.queue+"/"+id, nil)
			ended := strings.Contains(body, "completed") || strings.Contains(body, "failed") || strings.Contains(body, "cancelled")
			if status != 200 || !ended {
				return fmt.Sprintf("%s at %s: %d %s", id, n.name, status, body)
			}
		}
	}
	for _, start := range s.runLog.Starts() {
		if start.EndedAt.IsZero() {
			return fmt.Sprintf("%s runs on %s", start.Task, start.Worker)
		}
	}
	return ""
}

// checkResults compares the answers of the instances with the runs on the workers.
func (s *soakRun) checkResults() {
	require.Empty(s.t, s.runLog.Violations())
	doneTasks := map[string]map[string]bool{} // by job and task id
	started := map[string]bool{}
	for _, start := range s.runLog.Starts() {
		id := strings.SplitN(start.Task, ".", 2)[0]
		started[id] = true
		if start.Outcome == "done" {
			if doneTasks[id] == nil {
				doneTasks[id] = map[string]bool{}
			}
			doneTasks[id][start.Task] = true
		}
		if j := s.jobs[id]; j != nil && !j.cancelledAt.IsZero() && start.StartedAt.Sub(j.cancelledAt) > cancelLimit {
			s.t.Errorf("%s started %v after its cancellation", start.Task, start.StartedAt.Sub(j.cancelledAt))
		}
	}
	for id, j := range s.jobs {
		if !j.accepted && !j.uncertain && started[id] {
			s.t.Errorf("%s was refused by every instance but ran", id)
		}
		if !j.accepted || !j.cancelledAt.IsZero() {
			continue
		}
		_, body := call(s.instances[0], "GET", "/"+j.queue+"/"+id, nil)
		if strings.Contains(body, "completed") && len(doneTasks[id]) == 0 {
			s.t.Errorf("%s is reported as completed but no task was done", id)
		}
		if p := s.jobProfiles[id]; strings.Contains(body, "failed") && !p.Fails && !p.Crashes {
			report := s.t.Errorf
			if s.mostUnder(id, "crash") >= crashesToGiveUp || s.mostUnder(id, "failed") >= maxAttempts {
				report = s.t.Logf
			}
			report("%s is reported as failed but none of its tasks fails; runs:%s", id, s.runsOf(id))
		}
	}
}

// mostUnder returns the most runs of one task of a job that ended with an outcome.
func (s *soakRun) mostUnder(id, outcome string) int {
	count, most := map[string]int{}, 0
	for _, start := range s.runLog.Starts() {
		if start.Outcome == outcome && strings.HasPrefix(start.Task, id+".") {
			count[start.Task]++
			most = max(most, count[start.Task])
		}
	}
	return most
}

// runsOf lists the runs of a job, or of all jobs if id is empty, one a line.
func (s *soakRun) runsOf(id string) string {
	b := strings.Builder{}
	for _, start := range s.runLog.Starts() {
		if id == "" || strings.HasPrefix(start.Task, id+".") {
			_, _ = fmt.Fprintf(&b, "\n%6.2f to %6.2f %s run %d on %s %s", start.StartedAt.Sub(s.startedAt).Seconds(), start.EndedAt.Sub(s.startedAt).Seconds(), start.Task, start.Run, start.Worker, start.Outcome)
		}
	}
	return b.String()
}
