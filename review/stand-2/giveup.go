package main

import (
	"fmt"
	"time"

	"github.com/heatherfront/heatherfront/hfstand"
)

const (
	flapPeriod  = 1500 * time.Millisecond // at most 1.52 s in the site files
	flapTime    = 7 * time.Second         // at most 7.2 s
	flapMinions = 14
	flapping    = 2 // of 14: a share of 0.143, at most 0.15
	oneTask     = 2500 * time.Millisecond
)

func oneTaskJob(gpus, estimate int) map[string]any {
	return map[string]any{"spec": "review", "steps": []map[string]any{{"count": 1, "cpu": 15000, "mem_mb": 22000, "gpu": gpus, "estimate_ms": estimate}}}
}

// playGiveUp keeps twelve minions busy and lets the other two go down and up by turns while jobs come
// that need a whole minion. No run ends as failed, so that no job may be shown as failed.
func playGiveUp(w *world) error {
	if err := w.config(1, []map[string]any{route("usual", 1, 3)}, []map[string]any{tenant("plants", 8, callerKey)}); err != nil {
		return err
	}
	for i := range flapMinions {
		if _, err := w.addMinion(fmt.Sprintf("m-%02d", i), fmt.Sprintf("r%d", i/8), 8); err != nil {
			return err
		}
	}
	if err := w.startEntries(3); err != nil {
		return err
	}
	for i := range flapMinions - flapping {
		if err := w.submit("/usual/", fmt.Sprintf("%016x", 0xb000+i), hfstand.TaskProfile{RunTime: time.Minute, GangSize: 1, Accelerators: 8}, oneTaskJob(8, 60000)); err != nil {
			return err
		}
	}
	busy := map[string]bool{}
	err := w.await("the long tasks", 15*time.Second, func() bool {
		clear(busy)
		for _, s := range w.runLog.Starts() {
			if s.EndedAt.IsZero() {
				busy[s.Worker] = true
			}
		}
		return len(busy) == flapMinions-flapping
	})
	if err != nil {
		return err
	}
	var ids []string
	begun := time.Now()
	for i := range 6 {
		if w.trouble && i == 1 {
			go w.flap(busy)
		}
		id := fmt.Sprintf("%016x", 0xa000+i)
		if err := w.submit("/usual/", id, hfstand.TaskProfile{RunTime: oneTask, GangSize: 1, Accelerators: 8}, oneTaskJob(8, 2500)); err != nil {
			return err
		}
		ids = append(ids, id)
		time.Sleep(time.Until(begun.Add(time.Duration(i+1) * 700 * time.Millisecond)))
	}
	last := map[string]string{}
	err = w.await("the end of all jobs", 50*time.Second, func() bool {
		ended := 0
		for n, id := range ids {
			state := w.state(w.entries[n%len(w.entries)], "/usual/", id)
			if last[id] != state {
				w.note("client: GET /usual/%s -> %s", id, state)
			}
			last[id] = state
			if state == "completed" || state == "failed" || state == "cancelled" {
				ended++
			}
		}
		return ended == len(ids)
	})
	for _, s := range w.runLog.Starts() {
		if s.Outcome == "failed" {
			return fmt.Errorf("%w: a run ended as failed", errSetup)
		}
	}
	for _, id := range ids {
		if last[id] == "failed" || last[id] == "cancelled" {
			return fmt.Errorf("%w: LOST: job %s is shown as %s, and no run of any task has ended as failed", errBroken, id, last[id])
		}
	}
	return err
}

// flap lets the minions that are not busy go down and up by turns.
func (w *world) flap(busy map[string]bool) {
	for end := time.Now().Add(flapTime); time.Now().Before(end); time.Sleep(flapPeriod) {
		for _, m := range w.minions {
			if !busy[m.worker.ID()] && m.idles(busy) {
				m.crash(flapPeriod/2, "goes down (flap)")
			}
		}
	}
}

// idles reports whether no life of the minion's machine is among the busy ones.
func (m *minion) idles(busy map[string]bool) bool {
	for life := range m.lives {
		if busy[fmt.Sprintf("%s-life-%d", m.machine, life+1)] {
			return false
		}
	}
	return true
}
