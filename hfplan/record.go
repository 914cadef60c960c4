package hfplan

import (
	"cmp"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/heatherfront/heatherfront/hfwire"
	"github.com/heatherfront/heatherfront/hfwork"
)

// restore sets the state of a new job from its stored progress.
func (j *job) restore(p *hfwork.Progress) {
	j.reason, j.endedMillis = p.GetReason(), p.GetEnded()
	for _, sp := range p.GetSteps() {
		g := j.group(sp.GetOccurrence(), sp.GetStep())
		if g == nil {
			continue
		}
		for i := range g.tasks {
			t := &g.tasks[i]
			if byteIndex := i / 8; byteIndex < len(sp.GetDone()) && sp.GetDone()[byteIndex]&(1<<(i%8)) != 0 {
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
	for _, g := range j.groups {
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
