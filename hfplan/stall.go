package hfplan

import (
	"time"
)

const (
	// stallLeast is the shortest time without progress that counts as standing still:
	// longer than two looks at a worker are apart.
	minStall = 2 * time.Second
	// stallSteps is the number of expected steps of one percent that must be missed:
	// tasks that run for hours move seldom.
	stallMissedSteps = 5
)

// stalled tells for how long a run has stood still, 0 if it has not, or not long enough to
// tell.
func (r *run) stalledFor(now time.Time) time.Duration {
	g, p := r.task.group, &r.progress
	if r.phase != running || g.spec.GetLasting() || g.spec.GetFiller() || p.spanStart.IsZero() || p.percent >= fullProgress {
		return 0
	}
	if g.gang() && g.active < len(g.tasks) {
		return 0 // it waits for the others
	}
	step := g.estimate() / fullProgress
	if p.rate > 0 {
		step = max(step, time.Duration(float64(time.Second)/p.rate))
	}
	// Reports show progress up to the last of them only.
	stalled := p.reportedAt.Sub(p.advancedAt)
	if stalled < max(minStall, stallMissedSteps*step) {
		return 0
	}
	return now.Sub(p.advancedAt)
}

// unstall sets a worker aside on which runs stand still, and moves those away that lose
// less by a new start than they have waited: one that saves its progress at once. How long
// a worker stands still is not known; what was waited for in vain is the best guess.
func (s *Scheduler) handleStalls(w *worker, now time.Time) {
	for _, r := range sortedRuns(w.runs) {
		stalled := r.stalledFor(now)
		if stalled == 0 {
			continue
		}
		if !now.Before(w.quarantinedUntil) {
			s.quarantine(w, r.task.group.job, "a run stands still", now)
		}
		g := r.task.group
		worked := time.Duration(r.progress.percent) * g.estimate() / fullProgress
		if !g.spec.GetSaves() && worked > stalled {
			continue
		}
		g.avoid[w.id()] = true
		s.emit(NoteCmd{note: NoteRetry, job: g.job.id(), worker: w.id(), step: g.step, tasks: 1, reason: "stands still"})
		if g.gang() {
			s.stopGang(g, r.number, now)
		} else {
			s.stopRun(r, now)
		}
	}
}
