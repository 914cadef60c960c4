package hfsoak

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/heatherfront/heatherfront/hfstand"
)

const (
	minReborn = 3 * time.Second // shortest and longest fault around a restart; a lease may end within one
	maxReborn = 6 * time.Second

	rebornDuration = 14 * time.Second
)

// TestRebornSoak runs each seed with workers that start again under their ids while their polls and
// orders are silenced and carried out late, so that a start for one life of a worker could arrive at
// the next one. Instances, store and links to it are sound.
//
// Guards against a start that reaches a later life of its worker: carried out there, it gets a full
// lease beyond the expiry that the leader has calculated, and its task can run twice. The run log sees
// its lease end, which is on the clock of the earlier life.
func TestRebornSoak(t *testing.T) {
	for i := range *seedCount {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			s := newSoakRun(t, seed)
			defer s.saveLogs(seed)
			s.runReborn()
			time.Sleep(maxReborn)
			s.clearFaults()
			s.waitSettled(settleTimeout)
			s.checkResults()
		})
	}
}

// runReborn submits jobs, and starts workers again behind faults of their links meanwhile.
func (s *soakRun) runReborn() {
	s.waitReady()
	end := time.Now().Add(rebornDuration)
	next := make([]time.Time, len(s.workers)) // by worker, of the next fault
	for i := range next {
		next[i] = time.Now().Add(time.Duration(3000+s.random.IntN(6000)) * time.Millisecond) // earlier lives are at least that old
	}
	for time.Now().Before(end) {
		if s.random.IntN(5) == 0 { // more would wait for longer than settleTimeout
			s.submitLong()
		}
		for i := range s.workers {
			if time.Now().After(next[i]) {
				lasts := minReborn + time.Duration(s.random.Int64N(int64(maxReborn-minReborn)))
				s.restartBehindFault(i, lasts)
				next[i] = time.Now().Add(lasts + time.Duration(3000+s.random.IntN(3000))*time.Millisecond)
			}
		}
		time.Sleep(time.Duration(20+s.random.IntN(120)) * time.Millisecond)
	}
}

// submitLong submits a job of small tasks that run for longer than a lease: only those show a run that
// goes on after its calculated expiry, and they leave room for the next run.
func (s *soakRun) submitLong() {
	id := fmt.Sprintf("%016x", s.random.Uint64())
	profile := hfstand.TaskProfile{RunTime: maxLeaseMS*time.Millisecond + time.Duration(s.random.IntN(4000))*time.Millisecond, GangSize: 1, Accelerators: 1}
	s.mu.Lock()
	s.jobProfiles[id] = profile
	s.mu.Unlock()
	step := map[string]any{"cpu": 4000, "mem_mb": 1000, "estimate_ms": profile.RunTime.Milliseconds(), "gpu": 1, "count": 1 + s.random.IntN(3)}
	s.jobs[id] = &jobRecord{queue: "usual"}
	status, _ := call(s.anyInstance(s.random), "POST", "/usual/"+id, map[string]any{"spec": "soak", "steps": []any{step}})
	s.jobs[id].accepted, s.jobs[id].uncertain = status == 200, status != 200 && status != 503 && status != 429
}

// restartBehindFault starts a worker again under its id, within a fault of its link that lasts for a time. Its
// entry shows that at once, or when the fault is over.
func (s *soakRun) restartBehindFault(i int, lasts time.Duration) {
	mode := []string{"", "", "", "inbound", "late", "cut"}[s.random.IntN(6)]
	restart, share, registers := time.Duration(s.random.IntN(1000))*time.Millisecond, 0.5, s.random.IntN(2) == 0
	if mode == "" { // it answers nothing from its restart on, and carries out late what new connections bring
		restart, share = 0, 1
	}
	orders := hfstand.LateOrders{Share: share, MinDelay: 500 * time.Millisecond, MaxDelay: 4 * time.Second, Random: rand.New(rand.NewPCG(s.random.Uint64(), 6))}
	s.logFault("worker %d restarts in %v, behind a proxy in mode %q for %v, with a share of %.1f of its orders late, its entry at once: %t", i, restart, mode, lasts, share, registers)
	s.workerProxies[i].setMode(mode)
	s.workers[i].SetLateOrders(orders)
	time.AfterFunc(restart, func() {
		s.workers[i].Restart()
		if registers {
			s.registerWorker(i, false)
		}
	})
	time.AfterFunc(lasts, func() {
		s.workerProxies[i].setMode("")
		s.workers[i].SetLateOrders(hfstand.LateOrders{})
		s.registerWorker(i, false)
	})
}
