package hfplan

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/heatherfront/heatherfront/hfwire"
	"github.com/heatherfront/heatherfront/hfwork"
)

// restore sets the state of a new job from its stored progress. That of its occurrences is restored
// when they are loaded.
func (j *job) restore(p *hfwork.Progress) {
	j.reason, j.endedMillis = p.GetReason(), p.GetEnded()
	j.occurrences, j.stored = map[uint32]*occurrence{}, map[uint32][]*hfwork.StepProgress{}
	j.completed = slices.Clone(p.GetCompleted())
	for _, sp := range p.GetSteps() {
		if k := sp.GetOccurrence(); k < j.occurrenceCount() && !j.completed.has(k) {
			j.stored[k] = append(j.stored[k], sp)
		}
	}
	for k, steps := range j.stored {
		if hfwork.AllDone(j.spec, steps) { // stored by a release without Progress.Completed
			j.completed = j.completed.with(k)
			delete(j.stored, k)
		}
	}
	for k := range j.occurrenceCount() {
		if !j.completed.has(k) {
			j.remaining++
		}
	}
}

// restore sets the state of the tasks of an occurrence from its stored steps.
func (o *occurrence) restore(steps []*hfwork.StepProgress) {
	for _, sp := range steps {
		if int(sp.GetStep()) >= len(o.groups) {
			continue
		}
		g := o.groups[sp.GetStep()]
		for i := range g.tasks {
			t := &g.tasks[i]
			if bitmap(sp.GetDone()).has(uint32(i)) {
				t.done = true
				g.open--
			}
			t.countedRun = sp.GetCounted()[uint32(i)]
			t.failures = sp.GetFailures()[uint32(i)]
			t.checkpoint = sp.GetSaved()[uint32(i)]
			t.priorWorker = sp.GetPlaces()[uint32(i)]
			if c := sp.GetCrashes()[uint32(i)]; c != nil {
				t.crashes, g.crashed = crashesOf(c), true
			}
		}
		if g.gang() && g.open < len(g.tasks) {
			// Its members end together, but are not stored all at once.
			for i := range g.tasks {
				g.tasks[i].done, g.tasks[i].priorWorker = true, ""
			}
			g.open = 0
		}
	}
}

// toProgress returns the progress of a job in its stored form.
func (j *job) toProgress() *hfwork.Progress {
	p := &hfwork.Progress{State: j.state, Ended: j.endedMillis, Reason: j.reason}
	if j.state == hfwork.StateCompleted {
		return p
	}
	p.Completed = slices.Clone(j.completed)
	for _, k := range slices.Sorted(maps.Keys(j.stored)) {
		p.Steps = append(p.Steps, j.stored[k]...)
	}
	for g := range j.loadedGroups() {
		if j.completed.has(g.occurrence) {
			continue
		}
		sp := &hfwork.StepProgress{Occurrence: g.occurrence, Step: g.step}
		if g.open < len(g.tasks) {
			sp.Done = make([]byte, (len(g.tasks)+7)/8)
		}
		for i := range g.tasks {
			t := &g.tasks[i]
			if t.done {
				sp.Done[i/8] |= 1 << (i % 8)
			}
			if t.failures > 0 {
				if sp.Failures == nil {
					sp.Failures, sp.Counted = map[uint32]uint32{}, map[uint32]int64{}
				}
				sp.Failures[uint32(i)], sp.Counted[uint32(i)] = t.failures, t.countedRun
			}
			if t.crashes.any() && !t.done {
				if sp.Crashes == nil {
					sp.Crashes = map[uint32]*hfwork.Crashes{}
				}
				sp.Crashes[uint32(i)] = t.crashes.toRecord()
			}
			if worker := t.workerID(); worker != "" && !t.done {
				if sp.Places == nil {
					sp.Places = map[uint32]string{}
				}
				sp.Places[uint32(i)] = worker
			}
			if t.checkpoint != "" && !t.done {
				if sp.Saved == nil {
					sp.Saved = map[uint32]string{}
				}
				sp.Saved[uint32(i)] = t.checkpoint
			}
		}
		if sp.Done != nil || sp.Failures != nil || sp.Saved != nil || sp.Places != nil || sp.Crashes != nil {
			p.Steps = append(p.Steps, sp)
		}
	}
	return p
}

// markDirty schedules the progress of a job to be stored.
func (s *Scheduler) markDirty(j *job) {
	s.dirtyJobs[j.id()] = j
}

// flush emits a StoreCmd with all changes, unless one is in flight. If nothing has
// to be stored, it acknowledges the pending ends at once.
func (s *Scheduler) flush() {
	if s.recordsInFlight != nil {
		return
	}
	if len(s.dirtyJobs) == 0 && len(s.dirtyWaves) == 0 && !s.rosterChanged {
		s.acknowledge(s.pendingAcks)
		s.pendingAcks = map[*worker]int64{}
		return
	}
	s.recordsInFlight, s.acksInFlight = map[string]*hfwork.Progress{}, s.pendingAcks
	for id, j := range s.dirtyJobs {
		s.recordsInFlight[id] = j.toProgress()
	}
	s.dirtyJobs, s.pendingAcks = map[string]*job{}, map[*worker]int64{}
	s.sequence++
	c := StoreCmd{sequence: s.sequence, records: s.recordsInFlight}
	for _, spec := range s.dirtyWaves {
		c.waves = append(c.waves, proto.Clone(spec).(*hfwork.Wave))
	}
	clear(s.dirtyWaves)
	if s.rosterChanged {
		s.rosterChanged, s.rosterInFlight = false, map[*worker]string{}
		for _, id := range sortedKeys(s.workers) {
			w := s.workers[id]
			s.rosterInFlight[w] = w.answered
			c.roster = append(c.roster, w.rosterEntry())
		}
	}
	s.flushEnds(c)
	s.emit(c)
}

// rosterEntry returns the entry of a worker in the roster: with the incarnation that tasks were
// placed on, which is the one that has reported or else that of the earlier scheduler, and the
// address at which it answered.
func (w *worker) rosterEntry() *hfwork.Worker {
	w.storedBorn = cmp.Or(w.incarnation, w.rosterBorn, w.registration.GetBorn())
	if w.registration.GetBorn() == w.storedBorn && w.registration.GetAnswered() == w.answered {
		return w.registration
	}
	entry := hfwire.Copy(w.registration)
	entry.Born, entry.Answered = w.storedBorn, w.answered
	return entry
}

// acknowledge tells workers up to which sequence number their ends are stored.
func (s *Scheduler) acknowledge(acks map[*worker]int64) {
	for w, sequence := range acks {
		s.emit(AckCmd{worker: w.id(), incarnation: w.incarnation, sequence: sequence})
	}
}

// handleStored continues what waited for the StoreCmd: new workers become usable,
// assigned runs can start, and ends are acknowledged.
func (s *Scheduler) handleStored(m StoredMsg, now time.Time) {
	if m.sequence != s.sequence || s.recordsInFlight == nil {
		return
	}
	s.storedSequence = m.sequence
	s.dropStoredEnds()
	for w, answered := range s.rosterInFlight {
		w.inRoster = (w.inRoster || w.answered == answered) && !m.lacksWorker(w.id())
		s.updateUsable(w, now)
	}
	s.rosterInFlight = nil
	if m.rejected != nil && s.rejectJobs(m, now) {
		s.postponeAcks()
	} else {
		s.acknowledge(s.acksInFlight)
	}
	s.recordsInFlight, s.acksInFlight = nil, nil
	s.needsPass = true
}
