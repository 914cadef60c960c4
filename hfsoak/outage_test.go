package hfsoak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/heatherfront/heatherfront/hfstand"
)

const (
	outageDuration = 16 * time.Second // time during which outages begin
	minOutage      = 2 * time.Second
	maxOutage      = 6 * time.Second
	// restartSlack is how long after a job was seen as completed a start may still be under way.
	restartSlack = time.Second
)

// TestOutageSoak runs each seed with a store that is away for all instances for seconds, while instances,
// also the leader, are rolled, killed, frozen or cut off, workers restart or drain, and some workers fail
// all that they start.
//
// Guards against a leader that goes on after an outage although another one has led, and against ends that
// callers saw and that are lost: a job that any instance has shown as completed is never started again, and
// the same process never shows it otherwise.
func TestOutageSoak(t *testing.T) {
	for i := range *seedCount {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			s := newSoakRun(t, seed)
			defer s.saveLogs(seed)
			o := &outageRun{soakRun: s, seen: map[string]time.Time{}, seenAt: map[string]string{}}
			o.runOutages()
			s.clearFaults()
			s.waitSettled(settleTimeout)
			s.checkResults()
			o.checkSeen()
		})
	}
}

// outageRun is the run of one seed of TestOutageSoak.
type outageRun struct {
	*soakRun
	seen   map[string]time.Time // when a job was first seen as completed
	seenAt map[string]string    // where: the instance and its process
}

// runOutages submits and cancels jobs, and makes the store go away meanwhile.
func (o *outageRun) runOutages() {
	o.waitReady()
	end := time.Now().Add(outageDuration)
	nextOutage, nextFault := time.Now().Add(time.Second), time.Now().Add(2*time.Second)
	for time.Now().Before(end) {
		if o.random.IntN(4) == 0 {
			o.submitJob()
		}
		if o.random.IntN(16) == 0 {
			o.cancelJob()
		}
		if time.Now().After(nextOutage) {
			lasts := minOutage + time.Duration(o.random.Int64N(int64(maxOutage-minOutage)))
			o.takeStoreAway(lasts)
			nextOutage = time.Now().Add(lasts + time.Duration(1000+o.random.IntN(4000))*time.Millisecond)
		}
		if time.Now().After(nextFault) {
			o.injectOutageFault()
			nextFault = time.Now().Add(time.Duration(700+o.random.IntN(2000)) * time.Millisecond)
		}
		o.observe()
		time.Sleep(time.Duration(20+o.random.IntN(120)) * time.Millisecond)
	}
}

// takeStoreAway takes the store away from all instances: it refuses, or it answers nobody and ends leases or
// not, as they go on while only the links are cut.
func (o *outageRun) takeStoreAway(lasts time.Duration) {
	silent := o.random.IntN(2) == 0
	o.logFault("store away for %v, silent: %t", lasts, silent)
	if !silent {
		o.store.Fault(hfstand.StoreFault{Down: true})
		time.AfterFunc(lasts, func() { o.store.Fault(hfstand.StoreFault{}) })
		return
	}
	for _, n := range o.instances {
		proxy := n.storeProxy
		proxy.setMode("cut")
		time.AfterFunc(lasts+time.Duration(o.random.IntN(300))*time.Millisecond, func() { proxy.setMode("") })
	}
}

// injectOutageFault injects a random fault into an instance or a worker.
func (o *outageRun) injectOutageFault() {
	n, i := o.anyInstance(o.random), o.random.IntN(len(o.workers))
	switch o.random.IntN(8) {
	case 0:
		o.logFault("kill %s", n.name)
		o.kill(n)
		o.startInstance(n)
	case 1:
		o.logFault("roll %s", n.name)
		o.terminate(n)
		o.startInstance(n)
	case 2, 3:
		o.logFault("freeze %s", n.name)
		process := n.cmd.Process
		_ = process.Signal(syscall.SIGSTOP)
		o.undoLater(func() { _ = process.Signal(syscall.SIGCONT) })
	case 4:
		o.logFault("worker %d restarts", i)
		o.workers[i].Restart()
		o.registerWorker(i, false)
	case 5:
		o.logFault("worker %d drains", i)
		o.registerWorker(i, true)
		o.undoLater(func() { o.registerWorker(i, false) })
	default:
		o.logFault("worker %d fails all its runs", i)
		o.workers[i].FailRuns(true)
		o.undoLater(func() { o.workers[i].FailRuns(false) })
	}
}

// observe asks an instance for the state of some jobs.
func (o *outageRun) observe() {
	asked := 0
	for id, j := range o.jobs {
		if !j.accepted || !j.cancelledAt.IsZero() || asked == 3 {
			continue
		}
		asked++
		n := o.instances[rand.IntN(len(o.instances))]
		place := fmt.Sprintf("%s %d", n.name, n.cmd.Process.Pid)
		status, body := call(n, "GET", "/"+j.queue+"/"+id, nil)
		completed := strings.Contains(body, "completed")
		if status == 200 && !completed && o.seenAt[id] == place {
			o.t.Errorf("%s is shown as %s by %s, which had shown it as completed", id, body, place)
		}
		if completed && o.seen[id].IsZero() {
			o.seen[id], o.seenAt[id] = time.Now(), place
		}
	}
}

// checkSeen checks that what callers saw as completed stayed so.
func (o *outageRun) checkSeen() {
	for id := range o.seen {
		_, body := call(o.instances[0], "GET", "/"+o.jobs[id].queue+"/"+id, nil)
		if !strings.Contains(body, "completed") {
			o.t.Errorf("%s was shown as completed and is %s; runs:%s", id, body, o.runsOf(id))
		}
	}
	for _, start := range o.runLog.Starts() {
		id := strings.SplitN(start.Task, ".", 2)[0]
		if at, ok := o.seen[id]; ok && start.StartedAt.Sub(at) > restartSlack {
			o.t.Errorf("%s started %v after its job was shown as completed", start.Task, start.StartedAt.Sub(at))
		}
	}
}
