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
)

var (
	seeds = flag.Int("seeds", 1, "number of seeds to run")
	first = flag.Uint64("first", 1, "first seed")
	keep  = flag.String("keep", "", "directory in which the logs of failed seeds are kept")
)

// regressions are seeds that failed once, each with its cause.
//
//   - 246: a worker lived anew while a gang was promised to it, and a member was released
//     twice (TestRebornWorkerReleasesPromisedGangOnce)
var regressions = []uint64{246}

const (
	faultTime  = 9 * time.Second  // in which faults come
	settleTime = 40 * time.Second // in which all accepted jobs have to end after the last fault
)

// told is what the callers of one job were told.
type told struct {
	queue     string
	accepted  bool
	doubtful  bool // an answer was missing, or said that the effect is not known
	cancelled time.Time
}

// soak is one seed.
type soak struct {
	*yard
	random *rand.Rand
	jobs   map[string]*told
	steps  []string
	began  time.Time
}

func TestSoak(t *testing.T) {
	list := append([]uint64{}, regressions...)
	for i := range *seeds {
		list = append(list, *first+uint64(i))
	}
	for _, seed := range list {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			s := &soak{yard: newYard(t), random: rand.New(rand.NewPCG(seed, 1)), jobs: map[string]*told{}, began: time.Now()}
			defer s.keepLogs(seed)
			s.play()
			s.heal()
			s.settle()
			s.check()
		})
	}
}

// keepLogs saves what a failed seed left.
func (s *soak) keepLogs(seed uint64) {
	if !s.t.Failed() {
		return
	}
	s.t.Log("faults:\n" + strings.Join(s.steps, "\n"))
	if *keep == "" {
		return
	}
	for _, n := range s.nodes {
		raw, err := os.ReadFile(filepath.Join(s.dir, n.name+".log"))
		if err == nil {
			_ = os.WriteFile(filepath.Join(*keep, fmt.Sprintf("%d-%s.log", seed, n.name)), raw, 0o600)
		}
	}
}

func (s *soak) note(format string, args ...any) {
	s.steps = append(s.steps, fmt.Sprintf("%6.2f ", time.Since(s.began).Seconds())+fmt.Sprintf(format, args...))
}

// play lets faults come in series that overlap, beside jobs and cancellations.
func (s *soak) play() {
	s.waitReady()
	end := time.Now().Add(faultTime)
	next := time.Now()
	for time.Now().Before(end) {
		if s.random.IntN(2) == 0 {
			s.submit()
		}
		if s.random.IntN(8) == 0 {
			s.cancel()
		}
		if time.Now().After(next) {
			s.fault()
			next = time.Now().Add(time.Duration(300+s.random.IntN(1500)) * time.Millisecond)
		}
		time.Sleep(time.Duration(20+s.random.IntN(120)) * time.Millisecond)
	}
}

func (s *soak) waitReady() {
	require.Eventually(s.t, func() bool {
		for _, n := range s.nodes {
			if status, _ := call(n, "GET", "/usual/", nil); status != 200 {
				return false
			}
		}
		return true
	}, 20*time.Second, 50*time.Millisecond)
}

// submit hands a job in, again at other instances while the answer allows it.
func (s *soak) submit() {
	id := fmt.Sprintf("%016x", s.random.Uint64())
	queue := []string{"urgent", "usual", "usual", "spare"}[s.random.IntN(4)]
	step := map[string]any{"cpu": 4000, "mem_mb": 1000, "estimate_ms": 800}
	shape := hfstand.RunShape{Work: time.Duration(200+s.random.IntN(1500)) * time.Millisecond, Size: 1}
	if s.random.IntN(2) == 0 {
		count, size := 2+s.random.IntN(3), []int{1, 4, 8}[s.random.IntN(3)]
		step["count"], step["gpu"], step["co_schedule"], step["same_rack"] = count, size, true, s.random.IntN(2) == 0
		shape.Size, shape.Room = count, int64(size)
		if count > perRack && size == accelerators {
			step["same_rack"] = false
		}
	} else {
		step["count"], step["gpu"] = 1+s.random.IntN(8), 1
		shape.Room = 1
	}
	shape.Fails = s.random.IntN(25) == 0
	s.mu.Lock()
	s.shapes[id] = shape
	s.mu.Unlock()
	j := &told{queue: queue}
	s.jobs[id] = j
	for range 3 {
		n := s.nodes[s.random.IntN(len(s.nodes))]
		status, _ := call(n, "POST", "/"+queue+"/"+id, map[string]any{"spec": "soak", "steps": []any{step}})
		switch status {
		case 200:
			j.accepted = true
			return
		case 503, 429:
		default:
			j.doubtful = true
		}
	}
}

func (s *soak) cancel() {
	for id, j := range s.jobs {
		if !j.accepted || !j.cancelled.IsZero() {
			continue
		}
		n := s.nodes[s.random.IntN(len(s.nodes))]
		if status, _ := call(n, "DELETE", "/"+j.queue+"/"+id, nil); status == 200 {
			j.cancelled = time.Now()
			s.note("cancelled %s", id)
		} else {
			j.accepted, j.doubtful = false, true // it may be cancelled
		}
		return
	}
}

// later undoes a fault after a while.
func (s *soak) later(undo func()) {
	time.AfterFunc(time.Duration(500+s.random.IntN(3500))*time.Millisecond, undo)
}

// fault brings one fault in.
func (s *soak) fault() {
	n := s.nodes[s.random.IntN(len(s.nodes))]
	i := s.random.IntN(len(s.runners))
	switch kind := s.random.IntN(14); kind {
	case 0, 1:
		s.note("kill %s", n.name)
		s.kill(n)
		s.startNode(n)
	case 2:
		s.note("terminate %s", n.name)
		s.terminate(n)
		s.startNode(n)
	case 3, 4:
		s.note("freeze %s", n.name)
		process := n.cmd.Process
		_ = process.Signal(syscall.SIGSTOP)
		s.later(func() { _ = process.Signal(syscall.SIGCONT) })
	case 5:
		mode := []string{"delay", "cut", "inbound", "outbound"}[s.random.IntN(4)]
		s.note("store %s for %s", mode, n.name)
		n.way.set(mode)
		s.later(func() { n.way.set("") })
	case 6:
		s.note("reset the store's connections of %s", n.name)
		n.way.reset()
	case 7:
		mode := []string{"delay", "cut", "inbound", "outbound"}[s.random.IntN(4)]
		s.note("worker %d %s", i, mode)
		s.ways[i].set(mode)
		s.later(func() { s.ways[i].set("") })
	case 8:
		s.note("worker %d restarts", i)
		s.runners[i].Restart()
		s.register(i, false)
	case 9:
		s.note("worker %d is deaf", i)
		s.runners[i].Deafen(true)
		s.later(func() { s.runners[i].Deafen(false) })
	case 10:
		s.note("store down")
		s.store.Fault(hfstand.StoreFault{Down: true})
		s.later(func() { s.store.Fault(hfstand.StoreFault{}) })
	case 11:
		s.note("store loses answers, writes come late")
		s.store.Fault(hfstand.StoreFault{Lost: 3 + s.random.IntN(10), Late: int64(200 + s.random.IntN(3000))})
	case 12:
		s.note("store forgets its history")
		s.store.Compact()
	case 13:
		s.note("worker %d drains", i)
		s.register(i, true)
		s.later(func() { s.register(i, false) })
	}
}

// heal ends all faults that are under way.
func (s *soak) heal() {
	time.Sleep(4 * time.Second) // until the last fault is undone
	s.store.Fault(hfstand.StoreFault{})
	for _, n := range s.nodes {
		n.way.set("")
	}
	s.note("healed")
}

// settle waits until every accepted job has ended and nothing runs.
func (s *soak) settle() {
	deadline := time.Now().Add(settleTime)
	var mu sync.Mutex
	open := ""
	for time.Now().Before(deadline) {
		mu.Lock()
		open = s.open()
		mu.Unlock()
		if open == "" {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	s.t.Errorf("not settled: %s", open)
}

// open names something that has not ended, or returns "".
func (s *soak) open() string {
	for id, j := range s.jobs {
		if !j.accepted {
			continue
		}
		for _, n := range s.nodes {
			status, body := call(n, "GET", "/"+j.queue+"/"+id, nil)
			ended := strings.Contains(body, "completed") || strings.Contains(body, "failed") || strings.Contains(body, "cancelled")
			if status != 200 || !ended {
				return fmt.Sprintf("%s at %s: %d %s", id, n.name, status, body)
			}
		}
	}
	for _, start := range s.ledger.Starts() {
		if start.End.IsZero() {
			return fmt.Sprintf("%s runs on %s", start.Task, start.Worker)
		}
	}
	return ""
}

// check compares what callers were told with what the workers ran.
func (s *soak) check() {
	require.Empty(s.t, s.ledger.Broken())
	ran := map[string]map[string]bool{} // tasks done by job
	started := map[string]bool{}
	for _, start := range s.ledger.Starts() {
		id := strings.SplitN(start.Task, ".", 2)[0]
		started[id] = true
		if start.How == "done" {
			if ran[id] == nil {
				ran[id] = map[string]bool{}
			}
			ran[id][start.Task] = true
		}
		if j := s.jobs[id]; j != nil && !j.cancelled.IsZero() && start.At.Sub(j.cancelled) > 8*time.Second {
			s.t.Errorf("%s started %v after its cancellation", start.Task, start.At.Sub(j.cancelled))
		}
	}
	for id, j := range s.jobs {
		if !j.accepted && !j.doubtful && started[id] {
			s.t.Errorf("%s was refused by all and ran", id)
		}
		if !j.accepted || !j.cancelled.IsZero() {
			continue
		}
		_, body := call(s.nodes[0], "GET", "/"+j.queue+"/"+id, nil)
		if strings.Contains(body, "completed") && len(ran[id]) == 0 {
			s.t.Errorf("%s is shown as completed and nothing was done", id)
		}
		if strings.Contains(body, "failed") && !s.shapes[id].Fails {
			s.t.Errorf("%s is shown as failed without a failure", id)
		}
	}
}
