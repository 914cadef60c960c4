package hfplan

import (
	"math"
	"time"

	"github.com/heatherfront/heatherfront/hfplacement"
)

const (
	minStepSamples  = 8    // measured tasks of a step from which workers are compared
	measuredShare   = 0.8  // share of the tasks of a step that must have been measured before
	minSpeedSamples = 3    // tasks from which a worker's speed is used
	speedPrior      = 3    // tasks as which the assumption counts that a worker is as fast as the others
	speedMemory     = 0.15 // least weight of the latest task, so that a worker's speed can change
	// longTask is the declared run time from which tasks are measured by their progress. Others are measured
	// when they end, which also counts how late their ends are heard of.
	longTask = time.Minute
	// slowFactor is how many times longer than on an average worker tasks take on one that counts as
	// slow. The operators' urgent jobs may take 1.5 times their declared run time.
	slowFactor = 1.12
)

// durationSample is how long a task took on a worker.
type durationSample struct {
	worker *worker
	log    float64 // logarithm of the run time as a multiple of the declared one
}

// showsSpeed reports whether the run times of a group's tasks show how fast their workers are. Members of
// gangs show nothing: they advance and end together.
func (g *group) showsSpeed() bool {
	return !g.gang() && !g.spec.GetLasting() && !g.spec.GetFiller() && g.spec.GetNear() == ""
}

// learnSpeedFromProgress learns from the progress of a run that takes long how long tasks take on its worker,
// compared with other workers. It counts once most tasks of its step that run or have ended are measured.
func (s *Scheduler) learnSpeedFromProgress(r *run) {
	g := r.task.group
	if r.measured || g.estimate() < longTask || !g.showsSpeed() {
		return
	}
	took, ok := r.progress.expectedRunTime()
	if !ok {
		return
	}
	s.addDuration(r, took)
	measured := float64(len(g.durations))
	s.compareWorkers(g, measured >= measuredShare*(measured+float64(g.unmeasured())))
}

// learnSpeed learns from a run that ended as done how long tasks take on its worker, compared with
// other workers, unless its progress has shown it.
func (s *Scheduler) learnSpeed(r *run, now time.Time) {
	g := r.task.group
	if r.measured || !g.showsSpeed() || !r.fromStart || r.confirmedAt.IsZero() {
		return
	}
	took := now.Sub(r.confirmedAt)
	if took <= 0 {
		return
	}
	s.addDuration(r, took)
	s.compareWorkers(g, float64(len(g.tasks)-g.open+1) >= measuredShare*float64(len(g.tasks)))
}

// addDuration adds the run time of a task to those of its step.
func (s *Scheduler) addDuration(r *run, took time.Duration) {
	g := r.task.group
	r.measured = true
	g.durations = append(g.durations, durationSample{worker: r.worker, log: math.Log(took.Seconds() / g.estimate().Seconds())})
}

// compareWorkers updates the speeds of workers by the new run times of a step, if enough of them are known. Declared
// run times are off by the same factor for all tasks of a step. That factor is known once most of them are
// measured: the first ones are those on the fast workers.
func (s *Scheduler) compareWorkers(g *group, enough bool) {
	if len(g.durations) < minStepSamples || !enough {
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

// unmeasured returns the number of tasks of a group that run and were not measured yet.
func (g *group) unmeasured() int {
	n := 0
	for i := range g.tasks {
		if r := g.tasks[i].run; r != nil && r.phase != assigned && !r.measured {
			n++
		}
	}
	return n
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
