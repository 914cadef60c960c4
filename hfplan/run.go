package hfplan

import (
	"time"

	"github.com/heatherfront/heatherfront/hfwork"
)

// stop ends a run. Its room is free for plans at once, and for starts once its end is
// known.
func (s *Scheduler) stopRun(r *run, now time.Time) {
	if r.task.run != r {
		return // it has ended meanwhile
	}
	if r.phase == assigned {
		s.releaseRun(r)
		return
	}
	if r.phase == stopping {
		return
	}
	if r.phase == starting {
		// The start may still arrive, until the worker has confirmed the stop.
		r.confirmedAt = time.Time{}
	}
	r.phase, r.orderedAt = stopping, now
	if !r.resourcesReturned {
		r.resourcesReturned = true
		r.worker.resources.Return(r.task.group.size)
	}
	s.emit(StopCmd{worker: r.worker.id(), task: r.task.id(), number: r.number})
	s.needsPass = true
}

// start sends the start of a promised run.
func (s *Scheduler) startRun(r *run, now time.Time) {
	t := r.task
	r.phase, r.orderedAt, r.startedAt = starting, now, now
	t.group.assigned--
	ticket, _ := t.group.ticketFor(r.worker, now)
	s.emit(StartCmd{
		worker: r.worker.id(), task: t.id(), number: r.number, command: t.group.job.spec.GetCommand(),
		checkpoint: t.group.primary(t).checkpoint, ticket: ticket,
	})
}

// started takes the answer to a start.
func (s *Scheduler) handleStarted(m StartedMsg, now time.Time) {
	t := s.task(m.task)
	if t == nil || t.run == nil || t.run.number != m.number {
		return
	}
	r := t.run
	switch m.outcome {
	case OutcomeDone:
		if r.phase == starting {
			s.confirmRun(r, now)
		}
	case OutcomeUnknown:
		s.stopRun(r, now)
		if t.group.gang() {
			s.stopGang(t.group, r.number, now) // the others would wait in vain
		}
	case OutcomeRefused, OutcomeOld:
		g := t.group
		delete(g.tickets, r.worker.id())
		r.worker.refusedUntil = now.Add(refusalBackoff)
		s.updateUsable(r.worker, now)
		s.finishRun(r, hfwork.Stopped, "", "worker refused the start", now)
	}
}

// stopGang ends all members of one run of a gang.
func (s *Scheduler) stopGang(g *group, number int64, now time.Time) {
	for i := range g.tasks {
		if r := g.tasks[i].run; r != nil && r.number == number {
			s.stopRun(r, now)
		}
	}
}

// confirm notes that a run is under way.
func (s *Scheduler) confirmRun(r *run, now time.Time) {
	r.phase, r.confirmedAt = running, now
	j := r.task.group.job
	if j.started {
		return
	}
	j.started = true
	if j.state == hfwork.StateQueued {
		j.state = hfwork.StateRunning
		s.markDirty(j)
		s.emit(NoteCmd{note: NoteState, job: j.id(), reason: hfwork.StateRunning})
	}
}

// stopped takes the answer to a stop. From a report that is asked for later it can be
// seen whether the run is still there.
func (s *Scheduler) handleStopped(m StoppedMsg, now time.Time) {
	t := s.task(m.task)
	if t == nil || t.run == nil || t.run.number != m.number || t.run.phase != stopping {
		return
	}
	r := t.run
	switch m.outcome {
	case OutcomeDone:
		if r.confirmedAt.IsZero() {
			// Repeated stops must not put off the report that shows their effect.
			r.confirmedAt = now
		}
	case OutcomeRefused:
		s.finishRun(r, hfwork.Lapsed, "", "worker does not know the run", now)
	}
}

// tick does what time alone makes due.
func (s *Scheduler) tick(now time.Time) {
	for _, id := range sortedKeys(s.workers) {
		s.tickWorker(s.workers[id], now)
	}
	for id, j := range s.jobs {
		if j.cancelled && j.endedMillis == 0 && j.idle() {
			s.endJob(j, hfwork.StateCancelled, "", now) // so that it can be purged one day
		}
		if j.final() && j.endedMillis != 0 && j.idle() && now.Sub(j.learnedAt) > finalJobRetention && s.dirtyJobs[id] == nil && s.recordsInFlight[id] == nil {
			delete(s.jobs, id)
		}
	}
	s.checkRecovered(now)
	s.stopPartialGangs(now)
	s.advanceWaves(now)
	s.needsPass = true
}

// forgetAfter is the time after which a final job is no longer held in memory. Late
// reports of its runs are then answered with a stop.
const finalJobRetention = 2 * time.Minute

func (j *job) idle() bool {
	for _, g := range j.groups {
		if g.active > 0 {
			return false
		}
	}
	return true
}

func (s *Scheduler) tickWorker(w *worker, now time.Time) {
	s.updateUsable(w, now)
	if (w.silent || !w.reported) && !now.Before(w.leaseExpiry) {
		if !w.registered {
			s.removeWorker(w, "lease lapsed", now)
			return
		}
		s.expireRuns(w, "lease lapsed", now)
	}
	if w.silent {
		return
	}
	for _, r := range sortedRuns(w.runs) {
		if r.phase == stopping && now.Sub(r.orderedAt) >= orderRetryInterval {
			r.orderedAt = now
			if r.resourcesReturned {
				// The stop is held up: the room cannot be planned with.
				r.resourcesReturned = false
				w.resources.Promise(r.task.group.size)
			}
			s.emit(StopCmd{worker: w.id(), task: r.task.id(), number: r.number})
		}
	}
}
