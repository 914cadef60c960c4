package hfplan

import (
	"time"
)

const (
	// minStall is the shortest time without progress that counts as a stall. It is
	// longer than the poll interval of a worker.
	minStall = 2 * time.Second
	// stallMissedSteps is the number of one-percent steps that a run must be behind its
	// expected rate, since tasks that run for hours advance rarely.
	stallMissedSteps = 5
)

// stalledFor returns how long a run has made no progress, or 0 if that is too short
// to count as a stall.
func (r *run) stalledFor(now time.Time) time.Duration {
	g, p := r.task.group, &r.progress
	if r.phase != running || g.spec.GetLasting() || g.spec.GetFiller() || p.spanStart.IsZero() || p.percent >= fullProgress {
		return 0
	}
	if g.gang() && g.active < len(g.tasks) {
		return 0 // waits for the other members
	}
	step := g.estimate() / fullProgress
	if p.rate > 0 {
		step = max(step, time.Duration(float64(time.Second)/p.rate))
	}
	// Nothing is known about the time after the last report.
	stalled := p.reportedAt.Sub(p.advancedAt)
	if stalled < max(minStall, stallMissedSteps*step) {
		return 0
	}
	return now.Sub(p.advancedAt)
}

// handleStalls quarantines a worker with stalled runs and restarts those runs
// elsewhere that lose less work than the stall has cost so far. Runs with
// checkpoints are always restarted. The remaining duration of a stall is not known;
// the time it has lasted is used as the estimate.
func (s *Scheduler) handleStalls(w *worker, now time.Time) {
	for _, r := range sortedRuns(w.runs) {
		stalled := r.stalledFor(now)
		if stalled == 0 {
			continue
		}
		if !now.Before(w.quarantinedUntil) {
			s.quarantine(w, r.task.group.job, "a run has stalled", now)
		}
		g := r.task.group
		worked := time.Duration(r.progress.percent) * g.estimate() / fullProgress
		if !g.spec.GetSaves() && worked > stalled {
			continue
		}
		g.avoid[w.id()] = true
		s.emit(NoteCmd{note: NoteRetry, job: g.job.id(), worker: w.id(), step: g.step, tasks: 1, reason: "run stalled"})
		if g.gang() {
			s.stopGang(g, r.number, now)
		} else {
			s.stopRun(r, now)
		}
	}
}
