package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"github.com/heatherfront/heatherfront/hfstand"
)

const (
	keyA = "key-a"
	keyB = "key-b"

	queueQuality = "quality-recon"
	queueAudit   = "odorant-audit"

	settleTime = 5 * time.Second  // from the start of the instances until the traffic starts
	finishTime = 14 * time.Second // finish_s
	idleTime   = 3 * time.Second  // for which a job may have nothing running although a task's turn has come
)

var (
	bothRoutes  = []route{{queueQuality, 1}, {queueAudit, 0}}
	bothTenants = []tenant{{"plants", []string{keyA}}, {"auditors", []string{keyB}}}
)

// task describes a step of one kind of task.
func step(count int, more map[string]any) map[string]any {
	s := map[string]any{"count": count, "cpu": 2000, "mem_mb": 2048, "gpu": 1, "estimate_ms": 1000}
	for k, v := range more {
		s[k] = v
	}
	return s
}

func job(steps ...map[string]any) map[string]any {
	return map[string]any{"spec": "reconcile", "steps": steps}
}

// begin starts a deployment with both routes and both tenants.
func begin(w *world) error {
	if err := w.configure(1, bothRoutes, bothTenants); err != nil {
		return err
	}
	if err := w.startInstances(3); err != nil {
		return err
	}
	if err := w.until(10*time.Second, "an instance leads", func() bool { return w.leader() != nil }); err != nil {
		return err
	}
	time.Sleep(settleTime)
	return nil
}

// idleThroughout reports whether no run of a job was at work at any time of a span, and none of its
// starts was later.
func (w *world) idleThroughout(id string, from, to time.Time) bool {
	for _, s := range w.starts(id) {
		if s.StartedAt.Before(to) && (s.EndedAt.IsZero() || s.EndedAt.After(from)) {
			return false
		}
	}
	return true
}

// doneTasks returns how many tasks of a job have a run that ended as done.
func (w *world) doneTasks(id string) int {
	done := map[string]bool{}
	for _, s := range w.starts(id) {
		if s.Outcome == "done" {
			done[s.Task] = true
		}
	}
	return len(done)
}

// stuck waits until finish_s after the end of the traffic, and reports whether for 3 s from then on a job with
// open tasks has nothing running, while the service is empty.
func (w *world) stuck(id string, tasks int) bool {
	w.say("the traffic has ended")
	time.Sleep(finishTime)
	from := time.Now()
	time.Sleep(idleTime + 200*time.Millisecond)
	done := w.doneTasks(id)
	idle := w.idleThroughout(id, from, from.Add(idleTime))
	w.say("%v after the end of the traffic, for %v: %d of %d tasks of %s are done, nothing of it running: %t", finishTime, idleTime, done, tasks, id, idle)
	return done < tasks && idle
}

// playCrashes crashes the minion of a task that lasts, twice, shortly after the start of the task. With KIND=ends the
// task ends by itself.
func playCrashes(w *world) (bool, error) {
	if err := begin(w); err != nil {
		return false, err
	}
	id := newID()
	path := "/" + queueQuality + "/" + id
	w.setProfile(id, hfstand.TaskProfile{RunTime: time.Hour, GangSize: 1, Accelerators: 1})
	if err := w.submit(w.instances[0], keyA, path, job(step(1, map[string]any{"perpetual": os.Getenv("KIND") != "ends"}))); err != nil {
		return false, err
	}
	for n := range 2 {
		if err := w.until(25*time.Second, fmt.Sprintf("start %d of the task", n+1), func() bool {
			list := w.starts(id)
			return len(list) > n && list[len(list)-1].EndedAt.IsZero()
		}); err != nil {
			return false, err
		}
		time.Sleep(300 * time.Millisecond)
		if !trouble() {
			break
		}
		list := w.starts(id)
		w.crash(w.workerOf(list[len(list)-1].Worker), 1500*time.Millisecond)
	}
	shown := ""
	for range 20 {
		time.Sleep(time.Second)
		if status, state := w.state(w.instances[1], keyA, path); status == 200 {
			shown = state
		}
	}
	failed := 0
	for _, s := range w.starts(id) {
		if s.Outcome == "failed" {
			failed++
		}
	}
	w.say("the job is shown as %q; runs that ended as failed: %d; nobody cancelled it", shown, failed)
	return (shown == "failed" || shown == "cancelled") && failed == 0, nil
}

// playRemovedRoute removes the route of an accepted job, and kills the leader.
func playRemovedRoute(w *world) (bool, error) {
	if err := begin(w); err != nil {
		return false, err
	}
	id := newID()
	w.setProfile(id, hfstand.TaskProfile{RunTime: 3 * time.Second, GangSize: 1, Accelerators: 1})
	if err := w.submit(w.instances[0], keyA, "/"+queueQuality+"/"+id, job(step(2, nil), step(2, map[string]any{"after": []int{0}}))); err != nil {
		return false, err
	}
	if err := w.until(5*time.Second, "the first step has started", func() bool { return len(w.starts(id)) == 2 }); err != nil {
		return false, err
	}
	if err := w.configure(2, bothRoutes[1:], bothTenants); err != nil {
		return false, err
	}
	time.Sleep(1500 * time.Millisecond)
	if trouble() {
		in := w.leader()
		w.say("TROUBLE: %s, the leader, is killed", in.name)
		w.kill(in)
		time.Sleep(time.Second)
		if err := w.start(in); err != nil {
			return false, err
		}
	}
	return w.stuck(id, 4), nil
}

// playLongID writes an entry of another writer below servers/, whose key has 200 bytes, while a job is at work.
func playLongID(w *world) (bool, error) {
	if err := begin(w); err != nil {
		return false, err
	}
	id := newID()
	w.setProfile(id, hfstand.TaskProfile{RunTime: 3 * time.Second, GangSize: 1, Accelerators: 1})
	if err := w.submit(w.instances[0], keyA, "/"+queueQuality+"/"+id, job(step(2, nil), step(2, map[string]any{"after": []int{0}}))); err != nil {
		return false, err
	}
	if err := w.until(5*time.Second, "the first step has started", func() bool { return len(w.starts(id)) == 2 }); err != nil {
		return false, err
	}
	if trouble() {
		ln, err := net.Listen("tcp", net.JoinHostPort(w.ip, "0"))
		if err != nil {
			return false, fmt.Errorf("%w: %w", errCannotRun, err)
		}
		address := ln.Addr().String()
		_ = ln.Close()
		key := "servers/" + strings.Repeat("x", maxKeyBytes-len("servers/"))
		w.say("TROUBLE: an entry of another writer, for a service that no configuration names, under a key of %d bytes", len(key))
		if err := w.store.Set(key, map[string]any{
			"service": "elsewhere", "address": address, "zone": "marmara-a", "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
			"capacity": map[string]int{"cpu": 1000, "mem_mb": 1000, "gpu": 0}, "labels": []string{"a", "r0"}, "born": time.Now().UnixMilli(), "sequence": 1,
		}); err != nil {
			return false, fmt.Errorf("%w: %w", errCannotRun, err)
		}
	}
	time.Sleep(2 * time.Second)
	refused := 0
	const others = 12
	for n := range others { // other callers
		if status, _ := w.call(w.instances[n%len(w.instances)], keyB, "POST", "/"+queueAudit+"/"+newID(), job(step(1, nil))); status/100 != 2 {
			refused++
		}
		time.Sleep(300 * time.Millisecond)
	}
	w.say("besides, %d of %d other jobs were not accepted", refused, others)
	return w.stuck(id, 4), nil
}

// errNotShown reports that a job was not shown before the disruption.
var errNotShown = errors.New("the job is not shown")

// playMergedTenant merges the tenant of a job into another one: its key goes over.
func playMergedTenant(w *world) (bool, error) {
	if err := begin(w); err != nil {
		return false, err
	}
	id := newID()
	path := "/" + queueQuality + "/" + id
	w.setProfile(id, hfstand.TaskProfile{RunTime: 2 * time.Second, GangSize: 1, Accelerators: 1})
	if err := w.submit(w.instances[0], keyA, path, job(step(2, nil))); err != nil {
		return false, err
	}
	if err := w.until(10*time.Second, "the tasks are done", func() bool { return w.doneTasks(id) == 2 }); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	if status, state := w.state(w.instances[0], keyA, path); status != 200 || state != "completed" {
		return false, fmt.Errorf("%w: %w", errCannotRun, errNotShown)
	}
	cancelled := newID()
	w.setProfile(cancelled, hfstand.TaskProfile{RunTime: 12 * time.Second, GangSize: 1, Accelerators: 1})
	if err := w.submit(w.instances[0], keyA, "/"+queueQuality+"/"+cancelled, job(step(2, nil), step(2, map[string]any{"after": []int{0}}))); err != nil {
		return false, err
	}
	if trouble() {
		if err := w.configure(2, bothRoutes, []tenant{{"auditors", []string{keyB, keyA}}}); err != nil {
			return false, err
		}
	}
	time.Sleep(6 * time.Second)
	w.call(w.instances[0], keyA, "DELETE", "/"+queueQuality+"/"+cancelled, nil)
	acknowledged := time.Now()
	broken := false
	for _, in := range w.instances {
		for _, key := range []string{keyA, keyB} {
			if key == keyB && !trouble() {
				continue // another tenant's
			}
			status, _ := w.state(in, key, path)
			broken = broken || status == 410
		}
	}
	time.Sleep(10 * time.Second)
	for _, s := range w.starts(cancelled) {
		if late := s.StartedAt.Sub(acknowledged); late > cancelBound {
			w.say("besides, %s started %v after the answer to the DELETE of its job", s.Task, late)
		}
	}
	return broken, nil
}

// playSameID hands in jobs of two tenants, on different queues, that chose the same id.
func playSameID(w *world) (bool, error) {
	if err := begin(w); err != nil {
		return false, err
	}
	first, second := newID(), newID()
	if trouble() {
		second = first
	}
	w.setProfile(first, hfstand.TaskProfile{RunTime: time.Second, GangSize: 1, Accelerators: 1})
	if err := w.submit(w.instances[0], keyA, "/"+queueQuality+"/"+first, job(step(2, nil))); err != nil {
		return false, err
	}
	if err := w.submit(w.instances[1], keyB, "/"+queueAudit+"/"+second, job(step(3, nil))); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second)
	w.state(w.instances[0], keyA, "/"+queueQuality+"/"+first)
	status, _ := w.state(w.instances[1], keyB, "/"+queueAudit+"/"+second)
	return status == 410, nil
}

const (
	lossTime     = 4500 * time.Millisecond // for which answers of the store are lost
	lossDelay    = 6 * time.Second         // until such a write is done
	lossShare    = 0.35                    // of the writes
	cancelBound  = 3 * time.Second         // cancel_ms
	contactBound = 3 * time.Second         // contact_ms
)

// jobKey returns the key of the store under which the product stores a job.
func jobKey(id string) string { return strings.Join([]string{"hf", "work", id}, "/") }

// playLateSubmit loses the answer of the store to the write of a job, whose caller gives up and cancels it.
func playLateSubmit(w *world) (bool, error) {
	if err := begin(w); err != nil {
		return false, err
	}
	id := newID()
	path := "/" + queueQuality + "/" + id
	w.setProfile(id, hfstand.TaskProfile{RunTime: 2 * time.Second, GangSize: 1, Accelerators: 1})
	others := time.NewTicker(150 * time.Millisecond)
	defer others.Stop()
	stopOthers := make(chan struct{})
	go func() { // usual work, so that the store has other writes
		for n := 0; ; n++ {
			select {
			case <-stopOthers:
				return
			case <-others.C:
				other := newID()
				w.setProfile(other, hfstand.TaskProfile{RunTime: 500 * time.Millisecond, GangSize: 1, Accelerators: 1})
				w.call(w.instances[n%len(w.instances)], keyB, "POST", "/"+queueAudit+"/"+other, job(step(1, nil)))
			}
		}
	}()
	began := time.Now()
	if trouble() {
		w.say("TROUBLE: for %v, answers of the store are lost, and the writes are done late", lossTime)
		w.late.set(func(keys []string) (time.Duration, bool) {
			for _, k := range keys {
				if k == jobKey(id) {
					return lossDelay, true
				}
			}
			return 0, false
		})
	}
	time.Sleep(3500 * time.Millisecond)
	submitted, _ := w.call(w.instances[0], keyA, "POST", path, job(step(2, nil)))
	time.Sleep(time.Until(began.Add(lossTime)))
	w.late.set(nil)
	ended := time.Now()
	w.say("answers of the store are lost no more; share of the writes that were hit: %.3f", w.late.share())
	if w.late.share() > lossShare {
		return false, fmt.Errorf("%w: more writes were hit than the pages allow", errCannotRun)
	}
	cancelled, _ := w.call(w.instances[1], keyA, "DELETE", path, nil)
	acknowledged := time.Now()
	w.say("the client has got %d for its POST and %d for its DELETE", submitted, cancelled)
	time.Sleep(12 * time.Second)
	close(stopOthers)
	if cancelled/100 != 2 && cancelled != 410 {
		return false, fmt.Errorf("%w: the cancel was not acknowledged", errCannotRun)
	}
	w.state(w.instances[2], keyA, path)
	broken := false
	for _, s := range w.starts(id) {
		late, calm := s.StartedAt.Sub(acknowledged), s.StartedAt.Sub(ended)
		w.say("%s started %v after the cancel was acknowledged, %v after the disruption", s.Task, late, calm)
		broken = broken || late > cancelBound && calm > contactBound
	}
	return broken, nil
}

// playSameRack hands in a gang that asks for one rack, while a task that lasts runs on each rack but one, and a
// minion of that one is lost for good.
func playSameRack(w *world) (bool, error) {
	if err := begin(w); err != nil {
		return false, err
	}
	racks := len(w.workers) / workersARack
	for r := range racks - 1 {
		id := newID()
		w.setProfile(id, hfstand.TaskProfile{RunTime: time.Hour, GangSize: 1, Accelerators: 1})
		lasting := job(step(1, map[string]any{"perpetual": true, "affinity": fmt.Sprintf("r%d", r)}))
		if err := w.submit(w.instances[0], keyA, "/"+queueQuality+"/"+id, lasting); err != nil {
			return false, err
		}
		if err := w.until(10*time.Second, "the lasting task runs", func() bool { return len(w.starts(id)) == 1 }); err != nil {
			return false, err
		}
		if m := w.workerOf(w.starts(id)[0].Worker); m.rack != fmt.Sprintf("r%d", r) {
			return false, fmt.Errorf("%w: the lasting task runs on %s", errCannotRun, m.rack)
		}
	}
	if trouble() {
		lost := w.workers[len(w.workers)-1]
		w.say("TROUBLE: minion %s of rack %s is lost for good", lost.ID(), lost.rack)
		w.entriesMu.Lock()
		lost.crashedAt = time.Now()
		w.entriesMu.Unlock()
		lost.Crash()
	}
	time.Sleep(15 * time.Second)
	id := newID()
	w.setProfile(id, hfstand.TaskProfile{RunTime: 2 * time.Second, GangSize: workersARack, Accelerators: acceleratorsN})
	gang := job(step(workersARack, map[string]any{"gpu": acceleratorsN, "co_schedule": true, "same_rack": true}))
	if err := w.submit(w.instances[0], keyA, "/"+queueQuality+"/"+id, gang); err != nil {
		return false, err
	}
	broken := w.stuck(id, workersARack)
	w.state(w.instances[1], keyA, "/"+queueQuality+"/"+id)
	w.say("accelerators of the minions that are up: %d; in use: %d; the gang needs %d", (len(w.workers)-1)*acceleratorsN, racks-1, workersARack*acceleratorsN)
	return broken, nil
}
