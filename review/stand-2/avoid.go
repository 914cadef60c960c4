package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/heatherfront/heatherfront/hfstand"
)

const (
	greyMinions = 12                      // one of them is grey: a share of 0.083, at most 0.085
	greyTime    = 6500 * time.Millisecond // at most 7 s
	afterRun    = 6 * time.Second         // from a task's last run on it must run again
	calmBefore  = 4 * time.Second         // of the time in which it must run
	notRunning  = 3 * time.Second
	watchTime   = 30 * time.Second
)

// lastingJob is a job of one task that lasts and needs a minion of kind b.
func lastingJob(gpus int) map[string]any {
	return map[string]any{"spec": "review", "steps": []map[string]any{{
		"count": 1, "cpu": 15000, "mem_mb": 22000, "gpu": gpus, "estimate_ms": 1000, "perpetual": true, "requirements": "b", "image": "review",
	}}}
}

// playAvoid has two minions of kind b. One is full with a task that lasts, the other one fails what it
// starts for a while. Then a second task that lasts has to run on that one again.
func playAvoid(w *world) error {
	if err := w.config(1, []map[string]any{route("usual", 1, 3)}, []map[string]any{tenant("plants", 8, callerKey)}); err != nil {
		return err
	}
	for i := range greyMinions {
		m, err := w.addMinion(fmt.Sprintf("m-%02d", i), fmt.Sprintf("r%d", i/8), 8)
		if err != nil {
			return err
		}
		if i < 2 {
			m.setKind("b")
		}
	}
	if err := w.startEntries(3); err != nil {
		return err
	}
	time.Sleep(settle)
	const first, second = "00000000000e0001", "00000000000e0002"
	for _, s := range []string{first, second} {
		w.setProfile(s, hfstand.TaskProfile{RunTime: time.Hour, GangSize: 1, Accelerators: 8})
	}
	if err := w.handIn("/usual/", first, lastingJob(8)); err != nil {
		return err
	}
	if err := w.await("the first job", 10*time.Second, func() bool { return w.running(first) }); err != nil {
		return err
	}
	grey := time.Now()
	if w.trouble {
		w.note("the minion of kind b without work fails all that it starts")
		w.setProfile(second, hfstand.TaskProfile{RunTime: 600 * time.Millisecond, GangSize: 1, Accelerators: 2, Fails: true})
	}
	if err := w.handIn("/usual/", second, lastingJob(2)); err != nil {
		return err
	}
	time.Sleep(time.Until(grey.Add(greyTime)))
	w.setProfile(second, hfstand.TaskProfile{RunTime: time.Hour, GangSize: 1, Accelerators: 2})
	well := time.Now()
	if w.trouble {
		w.note("it is well again")
	}
	from := well.Add(calmBefore)
	if ended := w.lastEnd(second); ended.Add(afterRun).After(from) {
		from = ended.Add(afterRun)
	}
	time.Sleep(time.Until(from))
	for end := from.Add(notRunning); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if w.running(second) {
			return nil
		}
	}
	w.note("job %s has had nothing running for %v; state %s", second, notRunning, w.state(w.entries[0], "/usual/", second))
	ranAgain := false
	for end := time.Now().Add(watchTime); time.Now().Before(end) && !ranAgain; time.Sleep(100 * time.Millisecond) {
		ranAgain = w.running(second)
	}
	w.note("it ran again within the next %v: %t", watchTime, ranAgain)
	return fmt.Errorf("%w: LOST: nothing of job %s, which lasts, ran for 3 s, more than 6 s after its last run, and a sound minion had room for it four times over", errBroken, second)
}

// running reports whether a run of a job is going on.
func (w *world) running(id string) bool {
	for _, s := range w.runLog.Starts() {
		if s.EndedAt.IsZero() && strings.HasPrefix(s.Task, id) {
			return true
		}
	}
	return false
}

// lastEnd returns when the last run of a job ended, or zero.
func (w *world) lastEnd(id string) time.Time {
	last := time.Time{}
	for _, s := range w.runLog.Starts() {
		if strings.HasPrefix(s.Task, id) && s.EndedAt.After(last) {
			last = s.EndedAt
		}
	}
	return last
}
