package hfplan

import (
	"time"

	"github.com/heatherfront/heatherfront/hfwork"
)

const (
	// unstoredDelay is how long records must be on their way to the store before the ends in them may be
	// shown to callers.
	unstoredDelay = 400 * time.Millisecond
	// minHolders is how many workers have to list an end that is shown before it is stored, so that the loss
	// of one does not lose it.
	minHolders = 2
)

// heldEnd is the end of a task, or of a run of a gang, as done, which is not known to be stored. The workers
// that listed it list it again, also to a later scheduler, until it is acknowledged.
type heldEnd struct {
	holders  map[*worker]int64 // incarnations of the workers that listed it
	sequence uint64            // of the StoreCmd that holds it, 0 before that
}

// unstored keeps track of the ends that are not known to be stored.
type unstored struct {
	ends     map[string]map[hfwork.TaskID]*heldEnd // by job, and by task or first task of a gang
	shown    map[string]bool                       // jobs of which a NoteEnded was emitted
	sequence uint64                                // of the StoreCmd in flight
	since    time.Time                             // since when it has been in flight, by the ticks; zero if none is
}

func newUnstored() unstored {
	return unstored{ends: map[string]map[hfwork.TaskID]*heldEnd{}, shown: map[string]bool{}}
}

// recordHolder records that a worker lists an end. t is its task, or nil if that is not loaded.
func (s *Scheduler) recordHolder(w *worker, t *task, end hfwork.End) {
	j := s.jobs[end.Task().Job()]
	if j == nil || end.Reason() != hfwork.Done || int(end.Task().Step()) >= len(j.spec.GetSteps()) {
		return
	}
	key, step := end.Task(), j.spec.GetSteps()[end.Task().Step()]
	if step.GetGang() && step.GetCount() > 1 {
		key = hfwork.NewTaskID(j.id(), key.Occurrence(), key.Step(), 0) // one end stands for all
	}
	held := s.unstored.ends[j.id()][key]
	if held == nil {
		if t == nil || t.done || step.GetLasting() {
			return
		}
		if s.unstored.ends[j.id()] == nil {
			s.unstored.ends[j.id()] = map[hfwork.TaskID]*heldEnd{}
		}
		held = &heldEnd{holders: map[*worker]int64{}}
		s.unstored.ends[j.id()][key] = held
	}
	held.holders[w] = w.incarnation
}

// flushEnds records that the ends of the jobs in a StoreCmd are on their way to the store.
func (s *Scheduler) flushEnds(c StoreCmd) {
	for id := range c.records {
		for _, held := range s.unstored.ends[id] {
			if held.sequence == 0 {
				held.sequence = c.sequence
			}
		}
	}
}

// dropStoredEnds forgets the ends of the StoreCmd in flight.
func (s *Scheduler) dropStoredEnds() {
	for id := range s.recordsInFlight {
		for key, held := range s.unstored.ends[id] {
			if held.sequence != 0 && held.sequence <= s.sequence {
				delete(s.unstored.ends[id], key)
			}
		}
		if len(s.unstored.ends[id]) == 0 {
			delete(s.unstored.ends, id)
			delete(s.unstored.shown, id)
		}
	}
}

// showUnstored emits a NoteEnded for each job that has completed while the store does not answer, if the
// loss of one worker loses none of its ends.
func (s *Scheduler) showUnstored(now time.Time) {
	u := &s.unstored
	if s.recordsInFlight == nil {
		u.since = time.Time{}
		return
	}
	if u.since.IsZero() || u.sequence != s.sequence {
		u.sequence, u.since = s.sequence, now
	}
	if now.Sub(u.since) < unstoredDelay {
		return
	}
	for _, id := range sortedKeys(u.ends) {
		if j := s.jobs[id]; j != nil && j.state == hfwork.StateCompleted && !u.shown[id] && s.keepsEnds(id) {
			u.shown[id] = true
			s.emit(NoteCmd{note: NoteEnded, job: id})
		}
	}
}

// keepsEnds reports whether enough workers list each unstored end of a job.
func (s *Scheduler) keepsEnds(job string) bool {
	for _, held := range s.unstored.ends[job] {
		holders := 0
		for w, incarnation := range held.holders {
			if s.workers[w.id()] == w && w.incarnation == incarnation && w.registered && !w.silent && !w.registration.GetDraining() {
				holders++
			}
		}
		if holders < minHolders {
			return false
		}
	}
	return true
}

// WithShown returns a copy of the message for a job that callers were told has completed, before that was
// stored.
func (m JobMsg) WithShown() JobMsg {
	m.shown = true
	return m
}
