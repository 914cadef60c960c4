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
	occurrences := max(1, m.job.GetTimes())
	for occurrence := range occurrences {
		due := time.Time{}
		if m.job.GetTimes() > 0 {
			due = time.UnixMilli(m.job.GetFirst() + int64(occurrence)*m.job.GetInterval())
		}
		for step, spec := range m.job.GetSteps() {
			j.groups = append(j.groups, newGroup(j, occurrence, uint32(step), spec, due))
		}
	}
	j.restore(p)
	for _, g := range j.groups {
		if g.open > 0 {
			j.openGroups++
		}
	}
	if j.final() {
		return
	}
	for _, g := range j.groups {
		if g.open == 0 {
			continue
		}
		s.groups = append(s.groups, g)
		for i := range g.tasks {
			s.awaitPriorRun(&g.tasks[i])
			s.awaitOrphan(&g.tasks[i])
			s.giveUpIfExhausted(&g.tasks[i], now)
		}
	}
	s.needsPass = true
}

// newGroup returns a group with all tasks open. Filler tasks run on spare CPU and
// reserve none.
func newGroup(j *job, occurrence, step uint32, spec *hfwork.Step, due time.Time) *group {
	cpu := spec.GetCpu()
	if spec.GetFiller() {
		cpu = 0
	}
	g := &group{
		job: j, occurrence: occurrence, step: step, spec: spec, due: due,
		size:  hfplacement.NewResources(cpu, spec.GetMemory(), spec.GetAccelerators()),
		tasks: make([]task, spec.GetCount()), open: int(spec.GetCount()), avoid: map[string]bool{},
	}
	for i := range g.tasks {
		g.tasks[i].group, g.tasks[i].index = g, uint32(i)
	}
	return g
}

// group returns the group of a step in an occurrence, or nil if there is none.
func (j *job) group(occurrence, step uint32) *group {
	i := int(occurrence)*len(j.spec.GetSteps()) + int(step)
	if int(step) >= len(j.spec.GetSteps()) || i >= len(j.groups) {
		return nil
	}
	return j.groups[i]
}

// task returns a task by id, or nil if its job is not known or has no such task.
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
	for _, g := range j.groups {
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
