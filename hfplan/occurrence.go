package hfplan

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"time"

	"github.com/heatherfront/heatherfront/hfbudget"
	"github.com/heatherfront/heatherfront/hfplacement"
	"github.com/heatherfront/heatherfront/hfwork"
)

// The tasks of an occurrence are loaded, that is kept in memory, from shortly before it is due until
// it has completed. Of the other occurrences of a job a bit each is kept. So a schedule of a year costs
// what its next occurrences cost.

const (
	// loadLead is the time before its due time at which an occurrence is loaded. It is more than the
	// interval of ticks, so that loading delays no start.
	loadLead = 2 * time.Second
	// defaultMemory is the budget in bytes of the loaded occurrences of a scheduler that was not given
	// one: a quarter of the 128 MB that a process may use for control.
	defaultMemory = 32 << 20
)

// WithMemory sets the budget in bytes of the loaded occurrences. It returns the scheduler.
func (s *Scheduler) WithMemory(bytes int64) *Scheduler {
	s.memory.SetLimit(bytes)
	return s
}

// bitmap is a set of small numbers. Trailing zeros are left out.
type bitmap []byte

func (b bitmap) has(n uint32) bool { return int(n/8) < len(b) && b[n/8]&(1<<(n%8)) != 0 }

// with returns the set with a number added. It may change the receiver.
func (b bitmap) with(n uint32) bitmap {
	for len(b) <= int(n/8) {
		b = append(b, 0)
	}
	b[n/8] |= 1 << (n % 8)
	return b
}

// occurrence holds the groups of one loaded occurrence of a job, by step.
type occurrence struct {
	groups []*group
	open   int            // groups with open tasks
	owner  hfbudget.Owner // for whom its memory is counted
}

// newOccurrence returns an occurrence of a job with all tasks open.
func newOccurrence(j *job, k uint32) *occurrence {
	o := &occurrence{}
	for step, spec := range j.spec.GetSteps() {
		o.groups = append(o.groups, newGroup(j, k, uint32(step), spec, j.due(k)))
	}
	return o
}

// idle reports whether the occurrence has no runs.
func (o *occurrence) idle() bool {
	return !slices.ContainsFunc(o.groups, func(g *group) bool { return g.active > 0 })
}

// occurrenceCount returns the number of occurrences of a job. A job that is not repeated has one.
func (j *job) occurrenceCount() uint32 { return max(1, j.spec.GetTimes()) }

// due returns the time at which an occurrence is due, or zero if the job is not repeated.
func (j *job) due(k uint32) time.Time {
	if j.spec.GetTimes() == 0 {
		return time.Time{}
	}
	return time.UnixMilli(j.spec.GetFirst() + int64(k)*j.spec.GetInterval())
}

// loadedGroups returns the groups of the loaded occurrences, ordered by occurrence and step.
func (j *job) loadedGroups() iter.Seq[*group] {
	return func(yield func(*group) bool) {
		if o := j.occurrences[0]; o != nil && len(j.occurrences) == 1 { // the only one of most jobs
			for _, g := range o.groups {
				if !yield(g) {
					return
				}
			}
			return
		}
		for _, k := range slices.Sorted(maps.Keys(j.occurrences)) {
			for _, g := range j.occurrences[k].groups {
				if !yield(g) {
					return
				}
			}
		}
	}
}

// unloadedCount returns the number of occurrences that have neither been loaded nor completed.
func (j *job) unloadedCount() int {
	if len(j.occurrences) == int(j.occurrenceCount()) {
		return 0
	}
	loaded := 0
	for k := range j.occurrences {
		if !j.completed.has(k) {
			loaded++
		}
	}
	return int(j.remaining) - loaded
}

// load loads an occurrence and restores its stored progress.
func (s *Scheduler) load(j *job, k uint32, now time.Time) {
	o := newOccurrence(j, k)
	o.owner = s.memoryOwner(j)
	o.restore(j.stored[k])
	delete(j.stored, k)
	j.occurrences[k] = o
	if size := hfwork.OccurrenceFootprint(j.spec); s.oversized == nil && !s.memory.Possible(size) {
		s.oversized = o
	} else {
		s.memory.Add(o.owner, size)
	}
	for _, g := range o.groups {
		if g.open == 0 {
			continue
		}
		o.open++
		s.groups = append(s.groups, g)
		s.distrust(g, now)
	}
	if o.open == 0 {
		s.completeOccurrence(j, k)
		return
	}
	for _, g := range o.groups {
		for i := range g.tasks {
			s.awaitPriorRun(&g.tasks[i])
			s.awaitOrphan(&g.tasks[i])
			s.giveUpIfExhausted(&g.tasks[i], now)
		}
	}
	s.needsPass = true
}

// loadPlaced loads the occurrences with tasks that an earlier scheduler may have started.
func (s *Scheduler) loadPlaced(j *job, now time.Time) {
	for _, k := range slices.Sorted(maps.Keys(j.stored)) {
		if slices.ContainsFunc(j.stored[k], func(sp *hfwork.StepProgress) bool { return len(sp.GetPlaces()) > 0 }) {
			s.load(j, k, now)
		}
	}
}

// loadDue loads the occurrences of a job that are due, as far as there is memory for them.
func (s *Scheduler) loadDue(j *job, now time.Time) {
	for !j.final() && j.skipLoaded() {
		if now.Before(j.due(j.next).Add(-loadLead)) {
			return
		}
		if !s.mayLoad(j) {
			if !j.deferred {
				j.deferred = true
				s.emit(NoteCmd{note: NoteDeferred, job: j.id(), tasks: j.unloadedCount(), reason: "the memory for tasks is in use"})
			}
			return
		}
		s.load(j, j.next, now)
	}
	delete(s.unloaded, j.id())
}

// skipLoaded advances j.next to the next occurrence that was never loaded. It reports false if there is
// none.
func (j *job) skipLoaded() bool {
	for ; j.next < j.occurrenceCount(); j.next++ {
		if !j.completed.has(j.next) && j.occurrences[j.next] == nil {
			return true
		}
	}
	return false
}

// mayLoad reports whether there is memory for the next occurrence of a job. One that does not fit into
// an empty budget, which an earlier release may have accepted, is loaded beside the budget, one at a
// time.
func (s *Scheduler) mayLoad(j *job) bool {
	size := hfwork.OccurrenceFootprint(j.spec)
	if !s.memory.Possible(size) {
		return s.oversized == nil
	}
	return s.memory.Fits(s.memoryOwner(j), size)
}

// memoryOwner returns for whom the memory of a job is counted.
func (s *Scheduler) memoryOwner(j *job) hfbudget.Owner {
	return hfbudget.NewOwner(s.accounts.Owner(j.spec.GetAccount(), j.spec.GetPolicy()), j.queue.GetPriority() == 0)
}

// loadAllDue loads the occurrences that are due, the most urgent first, as far as there is memory for
// them.
func (s *Scheduler) loadAllDue(now time.Time) {
	var due []*job
	for id, j := range s.unloaded {
		switch {
		case j.final() || !j.skipLoaded():
			delete(s.unloaded, id)
		case !now.Before(j.due(j.next).Add(-loadLead)):
			due = append(due, j)
		}
	}
	slices.SortFunc(due, func(a, b *job) int {
		return cmp.Or(
			cmp.Compare(a.queue.GetPriority(), b.queue.GetPriority()), a.due(a.next).Compare(b.due(b.next)),
			cmp.Compare(a.spec.GetReceived(), b.spec.GetReceived()), cmp.Compare(a.id(), b.id()),
		)
	})
	for _, j := range due {
		s.loadDue(j, now)
		s.completeIfDone(j, now)
	}
}

// loadTask returns a task that a worker reports. If its occurrence is not loaded, it is: an earlier
// scheduler has started the task.
func (s *Scheduler) loadTask(id hfwork.TaskID, now time.Time) *task {
	j, k := s.jobs[id.Job()], id.Occurrence()
	if j != nil && !j.final() && k < j.occurrenceCount() && j.occurrences[k] == nil && !j.completed.has(k) {
		s.load(j, k, now)
		s.completeIfDone(j, now)
	}
	return s.task(id)
}

// sizeOf returns the resources of a task. It reports false if its job is not known.
func (s *Scheduler) sizeOf(id hfwork.TaskID) (hfplacement.Resources, bool) {
	j := s.jobs[id.Job()]
	if j == nil || int(id.Step()) >= len(j.spec.GetSteps()) {
		return hfplacement.Resources{}, false
	}
	return taskSize(j.spec.GetSteps()[id.Step()]), true
}

// unloadFinished drops the loaded occurrences of a job that have completed, or all if the job is final,
// but those with runs.
func (s *Scheduler) unloadFinished(j *job) {
	for k, o := range j.occurrences {
		if (!j.final() && !j.completed.has(k)) || !o.idle() {
			continue
		}
		delete(j.occurrences, k)
		if s.oversized == o {
			s.oversized = nil
		} else {
			s.memory.Add(o.owner, -hfwork.OccurrenceFootprint(j.spec))
		}
	}
	if j.final() {
		clear(j.stored)
	}
}

// closeGroup notes that all tasks of a group are done.
func (s *Scheduler) closeGroup(g *group, now time.Time) {
	o := g.job.occurrences[g.occurrence]
	if o.open--; o.open > 0 {
		return
	}
	s.completeOccurrence(g.job, g.occurrence)
	s.completeIfDone(g.job, now)
}

func (s *Scheduler) completeOccurrence(j *job, k uint32) {
	j.completed = j.completed.with(k)
	j.remaining--
	s.markDirty(j)
}

// completeIfDone ends a job whose occurrences have all completed.
func (s *Scheduler) completeIfDone(j *job, now time.Time) {
	if j.remaining == 0 && !j.final() {
		s.endJob(j, hfwork.StateCompleted, "", now)
	}
}
