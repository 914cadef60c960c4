package hfplan

import (
	"math"
	"slices"
	"time"

	"github.com/heatherfront/heatherfront/hfplacement"
)

const (
	minStepSamples  = 8    // tasks of a step from which workers are compared
	measuredShare   = 0.8  // share of the tasks of a step that must be measured, of those that run or have ended
	minSpeedSamples = 3    // tasks from which a worker's speed is used
	speedPrior      = 1    // tasks as which the assumption counts that a worker is as fast as the others
	speedMemory     = 0.15 // least weight of the latest task, so that a worker's speed can change
	// maxDeviation is how many times longer or shorter a task may count as taking than its worker lets expect. Some
	// tasks run several times as long as others of their step on any worker.
	maxDeviation = 1.5
	// slowFactor is how many times longer than on an average worker tasks take on one that counts as
	// slow. The operators' urgent jobs may take 1.5 times their declared run time.
	slowFactor = 1.12
)

// durationSample is how long a task takes on a worker.
type durationSample struct {
	worker *worker
	log    float64 // logarithm of the run time as a multiple of the declared one
}

// showsSpeed reports whether the run times of a group's tasks show how fast their workers are. Members of
// gangs show nothing: they advance and end together.
func (g *group) showsSpeed() bool {
	return !g.gang() && !g.spec.GetLasting() && !g.spec.GetFiller() && g.spec.GetNear() == "" && g.estimate() > 0
}

// learnSpeedFromProgress learns from the progress of a run how long tasks take on its worker, long before it ends.
func (s *Scheduler) learnSpeedFromProgress(r *run) {
	if r.measured || !r.task.group.showsSpeed() {
		return
	}
	if took, ok := r.progress.expectedRunTime(); ok {
		s.learnRunTime(r, took)
	}
}

// learnSpeed learns from a run that ended as done how long tasks take on its worker, unless its progress showed it.
func (s *Scheduler) learnSpeed(r *run, now time.Time) {
	if r.measured || !r.task.group.showsSpeed() || !r.fromStart || r.confirmedAt.IsZero() {
		return
	}
	if took := now.Sub(r.confirmedAt); took > 0 {
		s.learnRunTime(r, took)
	}
}

// learnRunTime learns how long tasks take on a worker, compared with other workers. Declared run times are off by
// the same factor for all tasks of a step. That factor is known once most of its tasks that run or have ended are
// measured: the first ones are those on the fast workers.
func (s *Scheduler) learnRunTime(r *run, took time.Duration) {
	g := r.task.group
	r.measured = true
	g.durations = append(g.durations, durationSample{worker: r.worker, log: math.Log(took.Seconds() / g.estimate().Seconds())})
	if len(g.durations) < minStepSamples || float64(len(g.durations)) < measuredShare*float64(len(g.durations)+g.unmeasured()) {
		return
	}
	logs := make([]float64, len(g.durations))
	for i, d := range g.durations {
		logs[i] = d.log - d.worker.durationLog
	}
	slices.Sort(logs)
	factor := logs[len(logs)/2] // of the step
	for _, d := range g.durations[g.durationsUsed:] {
		deviation := d.log - factor - d.worker.durationLog
		deviation = min(max(deviation, -math.Log(maxDeviation)), math.Log(maxDeviation))
		d.worker.durationSamples++
		d.worker.durationLog += deviation * max(speedMemory, 1/float64(d.worker.durationSamples+speedPrior))
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
