package hfplan

import (
	"time"

	"github.com/heatherfront/heatherfront/hfplacement"
	"github.com/heatherfront/heatherfront/hfwork"
)

// addJob adds a stored job. A job that is already known keeps its state, which is
// never older than the stored progress; only a cancellation is applied.
func (s *Scheduler) addJob(m JobMsg, now time.Time) {
	if j := s.jobs[m.job.GetId()]; j != nil {
		if m.cancelled {
			s.cancelJob(j, now)
		}
		return
	}
	p := m.progress
	if settings := m.job.GetSettings(); s.queues[m.job.GetQueue()] == nil && settings.GetName() == m.job.GetQueue() {
		// The queue was removed before this scheduler began. Its jobs run to their end.
		s.addQueue(settings)
	}
	j := &job{
		spec: m.job, queue: s.queues[m.job.GetQueue()], state: hfwork.StateQueued, cancelled: m.cancelled, learnedAt: now,
	}
	if p.GetState() != "" {
		j.state = p.GetState()
	}
	s.jobs[j.id()] = j
	j.restore(p)
	if m.shown && !hfwork.IsFinal(j.state) {
		j.cancelled = false
		s.endJob(j, hfwork.StateCompleted, "", now)
	}
	if j.final() {
		return
	}
	s.unloaded[j.id()] = j
	s.loadPlaced(j, now)
	s.loadDue(j, now)
	s.completeIfDone(j, now)
	s.needsPass = true
}

// taskSize returns the resources of one task of a step. Filler tasks run on spare CPU and reserve
// none.
func taskSize(spec *hfwork.Step) hfplacement.Resources {
	cpu := spec.GetCpu()
	if spec.GetFiller() {
		cpu = 0
	}
	return hfplacement.NewResources(cpu, spec.GetMemory(), spec.GetAccelerators())
}

// newGroup returns a group with all tasks open.
func newGroup(j *job, occurrence, step uint32, spec *hfwork.Step, due time.Time) *group {
	g := &group{
		job: j, occurrence: occurrence, step: step, spec: spec, due: due, size: taskSize(spec),
		tasks: make([]task, spec.GetCount()), open: int(spec.GetCount()), avoid: map[string]bool{},
	}
	for i := range g.tasks {
		g.tasks[i].group, g.tasks[i].index = g, uint32(i)
	}
	return g
}

// group returns the group of a step in an occurrence, or nil if there is none or it is not loaded.
func (j *job) group(occurrence, step uint32) *group {
	o := j.occurrences[occurrence]
	if o == nil || int(step) >= len(o.groups) {
		return nil
	}
	return o.groups[step]
}

// task returns a task by id, or nil if its job is not known, has no such task, or has not loaded it.
func (s *Scheduler) task(id hfwork.TaskID) *task {
	j := s.jobs[id.Job()]
	if j == nil {
		return nil
	}
	g := j.group(id.Occurrence(), id.Step())
	if g == nil || int(id.Index()) >= len(g.tasks) {
		return nil
	}
	return &g.tasks[id.Index()]
}

// cancelJob marks a job as cancelled and stops its runs.
func (s *Scheduler) cancelJob(j *job, now time.Time) {
	if j.final() {
		return
	}
	j.cancelled = true
	s.emit(NoteCmd{note: NoteState, job: j.id(), reason: hfwork.StateCancelled})
	s.stopJob(j, now)
}

// stopJob stops all runs of a job.
func (s *Scheduler) stopJob(j *job, now time.Time) {
	for g := range j.loadedGroups() {
		for i := range g.tasks {
			if r := g.tasks[i].run; r != nil {
				s.stopRun(r, now)
			}
		}
	}
	s.needsPass = true
}

// ready reports whether the tasks of a group may start: the job is not final, the
// occurrence is due, and all steps that the group depends on are done.
func (g *group) ready(now time.Time) bool {
	if g.job.final() || now.Before(g.due) {
		return false
	}
	for _, after := range g.spec.GetAfter() {
		if dependency := g.job.group(g.occurrence, after); dependency != nil && dependency.open > 0 {
			return false
		}
	}
	return true
}
