package hfplan

import (
	"time"

	"github.com/heatherfront/heatherfront/hfwork"
)

// stopRun stops a run. Its resources are available for new assignments at once, but
// nothing is started on them until the run is known to have ended.
func (s *Scheduler) stopRun(r *run, now time.Time) {
	if r.task.run != r {
		return // already ended
	}
	if r.phase == assigned {
		s.releaseRun(r)
		return
	}
	if r.phase == stopping {
		return
	}
	if r.phase == starting {
		// Until the worker confirms the stop, the start may still arrive and take effect.
		r.confirmedAt = time.Time{}
	}
	r.phase, r.orderedAt = stopping, now
	r.worker.forgetReleases()
	if !r.resourcesReturned {
		r.resourcesReturned = true
		r.worker.resources.Unassign(r.task.group.size)
	}
	s.emit(StopCmd{worker: r.worker.id(), task: r.task.id(), number: r.number})
	s.needsPass = true
}

// startRun sends the start of an assigned run.
func (s *Scheduler) startRun(r *run, now time.Time) {
	t := r.task
	r.phase, r.orderedAt, r.startedAt = starting, now, now
	t.group.assigned--
	r.fromStart = t.group.primary(t).checkpoint == ""
	ticket, _ := t.group.ticketFor(r.worker, now)
	s.emit(StartCmd{
		worker: r.worker.id(), incarnation: r.worker.incarnation, task: t.id(), number: r.number, command: t.group.job.spec.GetCommand(),
		checkpoint: t.group.primary(t).checkpoint, ticket: ticket,
		priority: t.group.job.queue.GetPriority(), gang: t.group.gang(), suspensions: s.suspension.number,
	})
}

// handleStarted processes the answer to a StartCmd. A run whose start has an unknown outcome
// is stopped before its task is assigned again; so is one that the worker takes for an old
// one, since it may have that run.
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
	case OutcomeUnknown, OutcomeStale:
		if m.outcome == OutcomeStale {
			s.refuse(r, now)
		}
		r.startUnanswered = m.outcome == OutcomeUnknown
		s.stopMembers(r, now) // the other members of a gang would wait for this one
	case OutcomeRefused:
		if r.phase != stopping { // else the start was withdrawn
			s.refuse(r, now)
		}
		s.finishRun(r, hfwork.Stopped, "", "worker refused the start", now)
	}
}

// refuse keeps tasks off the worker of a run for a while, after it refused the start.
func (s *Scheduler) refuse(r *run, now time.Time) {
	delete(r.task.group.tickets, r.worker.id())
	r.worker.refusedUntil = now.Add(refusalBackoff)
	s.updateUsable(r.worker, now)
}

// stopGang stops all members of one run of a gang.
func (s *Scheduler) stopGang(g *group, number int64, now time.Time) {
	for i := range g.tasks {
		if r := g.tasks[i].run; r != nil && r.number == number {
			s.stopRun(r, now)
		}
	}
}

// stopMembers stops a run, and the other members if it is that of a gang.
func (s *Scheduler) stopMembers(r *run, now time.Time) {
	if g := r.task.group; g.gang() {
		s.stopGang(g, r.number, now)
		return
	}
	s.stopRun(r, now)
}

// confirmRun marks a run as running, and its job when this is the first start.
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

// handleStopped processes the answer to a StopCmd. The answer does not show whether the run
// has ended; a report requested after a confirmation does. A stop that was refused or not
// answered is repeated.
func (s *Scheduler) handleStopped(m StoppedMsg, now time.Time) {
	t := s.task(m.task)
	if t == nil || t.run == nil || t.run.number != m.number || t.run.phase != stopping || m.outcome != OutcomeDone {
		return
	}
	if r := t.run; r.confirmedAt.IsZero() {
		// Keep the time of the first confirmation: if a repeated stop moved it, no report
		// would ever be late enough to show that the run is gone.
		r.confirmedAt = now
	}
}

// tick does all work that depends on the time alone: it repeats stops without effect,
// expires leases, removes final jobs from memory and advances upkeep waves.
func (s *Scheduler) tick(now time.Time) {
	for _, id := range sortedKeys(s.workers) {
		s.tickWorker(s.workers[id], now)
	}
	for id, j := range s.jobs {
		if j.cancelled && j.endedMillis == 0 && j.idle() {
			s.endJob(j, hfwork.StateCancelled, "", now) // the store purges only jobs with an end time
		}
		if j.final() && j.endedMillis != 0 && j.idle() && now.Sub(j.learnedAt) > finalJobRetention && s.dirtyJobs[id] == nil && s.recordsInFlight[id] == nil {
			delete(s.jobs, id)
		}
		s.unloadFinished(j)
	}
	s.loadAllDue(now)
	s.forgetCrashes(now)
	s.checkRecovered(now)
	if !s.suspension.suspended {
		s.stopPartialGangs(now)
		s.advanceWaves(now)
	}
	s.showUnstored(now)
	s.needsPass = true
}

// finalJobRetention is the minimum time for which a job is kept in memory after this
// scheduler learned of it. Once it is final and this time has passed, it is removed;
// runs of the job that are reported later are stopped as orphans.
const finalJobRetention = 2 * time.Minute

// idle reports whether the job has no runs.
func (j *job) idle() bool {
	for _, o := range j.occurrences {
		if !o.idle() {
			return false
		}
	}
	return true
}

// tickWorker expires the runs of a worker that has not reported within its lease, stops those of
// one that is about to end, and repeats stops that have had no effect.
func (s *Scheduler) tickWorker(w *worker, now time.Time) {
	s.updateUsable(w, now)
	if (w.silent || !w.reported) && !now.Before(w.leaseExpiry) {
		s.presumeLost(w, now)
		if !w.registered {
			s.removeWorker(w, "lease lapsed", now)
			return
		}
		s.expireRuns(w, "lease lapsed", now)
	}
	if w.silent || s.suspension.suspended {
		return
	}
	s.evacuate(w, now)
	for _, r := range sortedRuns(w.runs) {
		if r.phase == stopping && now.Sub(r.orderedAt) >= s.timing.stopRetryInterval() {
			r.orderedAt = now
			if r.resourcesReturned {
				// The stop is delayed, so its resources cannot be assigned yet.
				r.resourcesReturned = false
				w.resources.Assign(r.task.group.size)
			}
			s.emit(StopCmd{worker: w.id(), task: r.task.id(), number: r.number})
		}
	}
}
