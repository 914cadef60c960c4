package hfplan

import (
	"time"

	"github.com/heatherfront/heatherfront/hfplacement"
	"github.com/heatherfront/heatherfront/hfsuspect"
)

// recordFailure weighs a failed run against its worker. run is nil if it is not known how long it was at
// work: that of an earlier scheduler.
func (s *Scheduler) recordFailure(w *worker, g *group, r *run, now time.Time) {
	f := hfsuspect.Failure{Worker: w.id(), Pool: w.registration.GetPool(), Job: g.job.id()}
	if s.trusting {
		if s.judge.Failed(f, unboundedPool, now) {
			s.quarantine(w, g.job, "tasks of several jobs failed in a row", now)
		}
		return
	}
	if r != nil && !r.adopted {
		f.Started, f.Early = r.startedAt, now.Sub(r.startedAt) < g.earlyFailure()
	}
	if g.blameJob(w, f.Early, r, now) {
		s.withdrawCharges(g, now)
	}
	if g.atFault {
		return
	}
	suspect := !s.judge.LastStart(f.Worker).IsZero()
	if s.judge.Failed(f, s.poolSize(f.Pool), now) {
		s.quarantine(w, g.job, "tasks of several jobs failed in a row", now)
	} else if f.Early && !suspect && !s.judge.LastStart(w.id()).IsZero() {
		s.emit(NoteCmd{note: NoteSuspected, worker: w.id(), job: g.job.id(), reason: "a task failed soon after its start"})
	}
}

// quarantine stops placing tasks on a worker for a while. The duration doubles with
// each quarantine since the last sign that the worker is sound.
func (s *Scheduler) quarantine(w *worker, j *job, reason string, now time.Time) {
	w.quarantinedUntil = s.judge.Quarantine(w.id(), w.registration.GetPool(), now)
	s.updateUsable(w, now)
	if !s.trusting {
		for _, o := range s.workers { // those whose quarantine has just ended make room for this one
			s.updateUsable(o, now)
		}
	}
	s.emit(NoteCmd{note: NoteQuarantined, worker: w.id(), job: j.id(), reason: reason})
}

// recordSuccess notes that a run ended as done on a worker.
func (s *Scheduler) recordSuccess(w *worker, r *run) {
	s.judge.Succeeded(w.id())
	if r != nil && !r.adopted && !s.trusting {
		s.recordProof(w, r.startedAt)
	}
}

// recordProof notes that a run which was started on a worker at the given time went well.
func (s *Scheduler) recordProof(w *worker, started time.Time) {
	if s.judge.Proved(w.id(), w.registration.GetPool(), started) {
		s.needsPass = true
		s.emit(NoteCmd{note: NoteProved, worker: w.id(), reason: "a later run went well"})
	}
}

// poolSize returns the number of workers of a pool.
func (s *Scheduler) poolSize(pool string) int {
	n := 0
	s.resources.EachWorker(pool, func(*hfplacement.Worker) { n++ })
	return n
}

const (
	// earlyShare is the share of its declared run time before which a run that fails has failed early.
	// Declared run times are off by up to half.
	earlyShare = 0.125
	// minEarly covers the time for a start and the report of its end.
	minEarly = 500 * time.Millisecond
	// maxEarly is the same for tasks that run for hours: what is wrong with a worker shows at the start.
	maxEarly = 10 * time.Second
	// unboundedPool is a number of workers at which the share that may be quarantined is never reached.
	unboundedPool = 1 << 30
	// faultyWorkers is how many workers a step must have failed on for its job to be at fault.
	faultyWorkers = 3
)

// earlyFailure returns the time after its start within which a run of the group that fails has failed
// early. One that goes on for longer shows that its worker is sound.
func (g *group) earlyFailure() time.Duration {
	return min(max(time.Duration(earlyShare*float64(g.estimate())), minEarly), maxEarly)
}

// blameJob counts an early failure of a group, and reports whether it shows that the job is at fault:
// more of its tasks fail early on several workers than are done, or have been at work for as long. A gang
// is at fault once several runs of it have failed so.
func (g *group) blameJob(w *worker, early bool, failed *run, now time.Time) bool {
	if !early || g.atFault {
		return false
	}
	if g.failedOn == nil {
		g.failedOn = map[string]bool{}
	}
	g.failedOn[w.id()], g.failedStart, g.distrustUntil = true, failed.startedAt, now.Add(hfsuspect.OutbreakTime)
	if len(g.failedOn) < faultyWorkers {
		return false
	}
	if g.gang() { // its members end together, so that those which did not fail say nothing
		primary := &g.tasks[0]
		runs := primary.failures
		if failed.number > primary.countedRun { // the first of its members to fail
			runs++
		}
		g.atFault = runs >= faultyWorkers
		return g.atFault
	}
	sound, least := 0, now.Sub(failed.startedAt)
	for i := range g.tasks {
		t := &g.tasks[i]
		if t.done || t.run != nil && t.run != failed && t.run.phase == running && now.Sub(t.run.startedAt) >= least {
			sound++
		}
	}
	g.atFault = len(g.failedOn) > sound
	return g.atFault
}

// withdrawCharges clears the workers of what a job that is at fault has said against them.
func (s *Scheduler) withdrawCharges(g *group, now time.Time) {
	s.emit(NoteCmd{note: NoteFaulty, job: g.job.id(), step: g.step, tasks: len(g.failedOn), reason: "its tasks fail on more workers than they run well on"})
	for _, id := range s.judge.Withdraw(g.job.id()) {
		if w := s.workers[id]; w != nil {
			w.quarantinedUntil = time.Time{}
			s.updateUsable(w, now)
		}
	}
	s.needsPass = true
}
