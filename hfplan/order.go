package hfplan

import (
	"time"

	"github.com/heatherfront/heatherfront/hfwork"
)

// stop ends a run. Its room is free for plans at once, and for starts once its end is
// known.
func (s *Scheduler) stop(r *run, now time.Time) {
	if r.task.run != r {
		return // it has ended meanwhile
	}
	if r.phase == promised {
		s.release(r)
		return
	}
	if r.phase == stopping {
		return
	}
	if r.phase == asked {
		// The start may still arrive, until the worker has confirmed the stop.
		r.confirmed = time.Time{}
	}
	r.phase, r.order = stopping, now
	if !r.returned {
		r.returned = true
		r.worker.room.Return(r.task.group.size)
	}
	s.do(StopCmd{worker: r.worker.id(), task: r.task.id(), number: r.number})
	s.stale = true
}

// start sends the start of a promised run.
func (s *Scheduler) start(r *run, now time.Time) {
	t := r.task
	r.phase, r.order, r.started = asked, now, now
	t.group.promised--
	allowed, _ := t.group.ticketFor(r.worker, now)
	s.do(StartCmd{
		worker: r.worker.id(), task: t.id(), number: r.number, command: t.group.job.spec.GetCommand(),
		saved: t.group.lead(t).saved, ticket: allowed,
	})
}

// started takes the answer to a start.
func (s *Scheduler) started(m StartedMsg, now time.Time) {
	t := s.task(m.task)
	if t == nil || t.run == nil || t.run.number != m.number {
		return
	}
	r := t.run
	switch m.outcome {
	case OutcomeDone:
		if r.phase == asked {
			s.confirm(r, now)
		}
	case OutcomeUnknown:
		s.stop(r, now)
		if t.group.gang() {
			s.stopGang(t.group, r.number, now) // the others would wait in vain
		}
	case OutcomeRefused, OutcomeOld:
		g := t.group
		delete(g.tickets, r.worker.id())
		r.worker.refused = now.Add(refusedPause)
		s.refresh(r.worker, now)
		s.finish(r, hfwork.Stopped, "", "worker refused the start", now)
	}
}

// stopGang ends all members of one run of a gang.
func (s *Scheduler) stopGang(g *group, number int64, now time.Time) {
	for i := range g.tasks {
		if r := g.tasks[i].run; r != nil && r.number == number {
			s.stop(r, now)
		}
	}
}

// confirm notes that a run is under way.
func (s *Scheduler) confirm(r *run, now time.Time) {
	r.phase, r.confirmed = running, now
	j := r.task.group.job
	if j.seen {
		return
	}
	j.seen = true
	if j.state == hfwork.StateQueued {
		j.state = hfwork.StateRunning
		s.mark(j)
		s.do(NoteCmd{note: NoteState, job: j.id(), reason: hfwork.StateRunning})
	}
}

// stopped takes the answer to a stop. From a report that is asked for later it can be
// seen whether the run is still there.
func (s *Scheduler) stopped(m StoppedMsg, now time.Time) {
	t := s.task(m.task)
	if t == nil || t.run == nil || t.run.number != m.number || t.run.phase != stopping {
		return
	}
	r := t.run
	switch m.outcome {
	case OutcomeDone:
		if r.confirmed.IsZero() {
			// Repeated stops must not put off the report that shows their effect.
			r.confirmed = now
		}
	case OutcomeRefused:
		s.finish(r, hfwork.Lapsed, "", "worker does not know the run", now)
	}
}

// tick does what time alone makes due.
func (s *Scheduler) tick(now time.Time) {
	for _, id := range sortedKeys(s.workers) {
		s.tickWorker(s.workers[id], now)
	}
	for id, j := range s.jobs {
		if j.cancelled && j.ended == 0 && j.idle() {
			s.conclude(j, hfwork.StateCancelled, "", now) // so that it can be purged one day
		}
		if j.final() && j.ended != 0 && j.idle() && now.Sub(j.known) > forgetAfter && s.dirty[id] == nil && s.storing[id] == nil {
			delete(s.jobs, id)
		}
	}
	s.settle(now)
	s.mend(now)
	s.advanceWaves(now)
	s.stale = true
}

// forgetAfter is the time after which a final job is no longer held in memory. Late
// reports of its runs are then answered with a stop.
const forgetAfter = 2 * time.Minute

func (j *job) idle() bool {
	for _, g := range j.groups {
		if g.active > 0 {
			return false
		}
	}
	return true
}

func (s *Scheduler) tickWorker(w *worker, now time.Time) {
	s.refresh(w, now)
	if (w.silent || !w.heard) && !now.Before(w.lapses) {
		if !w.listed {
			s.drop(w, "lease lapsed", now)
			return
		}
		s.dropRuns(w, "lease lapsed", now)
	}
	if w.silent {
		return
	}
	for _, r := range inOrder(w.runs) {
		if r.phase == stopping && now.Sub(r.order) >= repeatAfter {
			r.order = now
			if r.returned {
				// The stop is held up: the room cannot be planned with.
				r.returned = false
				w.room.Promise(r.task.group.size)
			}
			s.do(StopCmd{worker: w.id(), task: r.task.id(), number: r.number})
		}
	}
}
