package hfplan

import (
	"math"
	"time"

	"github.com/heatherfront/heatherfront/hfplacement"
)

const (
	minStepSamples  = 8    // ended tasks of a step from which workers are compared
	endedShare      = 0.8  // share of the tasks of a step that must have ended before
	minSpeedSamples = 3    // ended tasks from which a worker's speed is used
	speedPrior      = 3    // ended tasks as which the assumption counts that a worker is as fast as the others
	speedMemory     = 0.15 // least weight of the latest ended task, so that a worker's speed can change
	// slowFactor is how many times longer than on an average worker tasks take on one that counts as
	// slow. The operators' urgent jobs may take 1.5 times their declared run time.
	slowFactor = 1.12
)

// durationSample is how long a task took on a worker.
type durationSample struct {
	worker *worker
	log    float64 // logarithm of the run time as a multiple of the declared one
}

// learnSpeed learns from a run that ended as done how long tasks take on its worker, compared with
// other workers. Declared run times are off by the same factor for all tasks of a step. That factor is
// known once most of them have ended: the first ones to end are those on the fast workers. Members of
// gangs show nothing, as they end together.
func (s *Scheduler) learnSpeed(r *run, now time.Time) {
	g := r.task.group
	if g.gang() || g.spec.GetLasting() || g.spec.GetFiller() || g.spec.GetNear() != "" || !r.fromStart || r.confirmedAt.IsZero() {
		return
	}
	took := now.Sub(r.confirmedAt)
	if took <= 0 {
		return
	}
	g.durations = append(g.durations, durationSample{worker: r.worker, log: math.Log(took.Seconds() / g.estimate().Seconds())})
	if len(g.durations) < minStepSamples || float64(len(g.tasks)-g.open+1) < endedShare*float64(len(g.tasks)) {
		return
	}
	factor := 0.0 // of the step
	for _, d := range g.durations {
		factor += (d.log - d.worker.durationLog) / float64(len(g.durations))
	}
	for _, d := range g.durations[g.durationsUsed:] {
		d.worker.durationSamples++
		d.worker.durationLog += (d.log - factor - d.worker.durationLog) * max(speedMemory, 1/float64(d.worker.durationSamples+speedPrior))
	}
	g.durationsUsed = len(g.durations)
}

// slow reports whether tasks are known to take longer on the worker than on others.
func (w *worker) slow() bool {
	return w.durationSamples >= minSpeedSamples && w.durationLog > math.Log(slowFactor)
}

// withoutSlow returns the requirements of an urgent group without slow workers: a gang takes as long
// as on its slowest one. It reports false if none is known to be slow.
func (s *Scheduler) withoutSlow(g *group, need hfplacement.Need) (hfplacement.Need, bool) {
	if g.job.queue.GetPriority() != 0 || g.spec.GetLasting() || len(s.slowWorkers) == 0 {
		return need, false
	}
	return need.AlsoExcluding(func(id string) bool { return s.slowWorkers[id] }), true
}

// listSlowWorkers updates the set of slow workers.
func (s *Scheduler) listSlowWorkers() {
	clear(s.slowWorkers)
	for id, w := range s.workers {
		if w.slow() {
			s.slowWorkers[id] = true
		}
	}
}
