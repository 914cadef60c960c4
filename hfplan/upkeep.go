package hfplan

import (
	"slices"
	"time"

	"github.com/heatherfront/heatherfront/hfwork"
)

const (
	// evacuateBy is how long before its turn has to end a machine is emptied by force.
	drainGrace = 3 * time.Second
	// upkeepTime is what one turn takes at most, with emptying and the return.
	maxUpkeepTime = 3500 * time.Millisecond
	// ahead is how many machines are on their way for each that may be down.
	machinesPerSlot     = 2
	upkeepRetryInterval = time.Second // an upkeep without an answer is asked for again
)

// WaveMsg brings a wave of upkeep, with what was stored of it.
type WaveMsg struct{ wave *hfwork.Wave }

// Wave returns a WaveMsg.
func Wave(w *hfwork.Wave) WaveMsg { return WaveMsg{wave: w} }

// MachinesMsg brings the machines of the platform.
type MachinesMsg struct{ machines map[string]*hfwork.Machine }

// Machines returns a MachinesMsg.
func Machines(machines map[string]*hfwork.Machine) MachinesMsg {
	return MachinesMsg{machines: machines}
}

// UpkeepCmd asks the platform to take a machine down for its upkeep.
type UpkeepCmd struct {
	machine string
	wave    int64
}

// Machine returns the machine's name.
func (c UpkeepCmd) Machine() string { return c.machine }

// Wave returns the wave's number.
func (c UpkeepCmd) Wave() int64 { return c.wave }

// UpkeptMsg brings the answer to an UpkeepCmd.
type UpkeptMsg struct {
	machine string
	wave    int64
	outcome Outcome
}

// Upkept returns an UpkeptMsg.
func Upkept(c UpkeepCmd, outcome Outcome) UpkeptMsg {
	return UpkeptMsg{machine: c.machine, wave: c.wave, outcome: outcome}
}

func (WaveMsg) planMsg()     {}
func (MachinesMsg) planMsg() {}
func (UpkeptMsg) planMsg()   {}
func (UpkeepCmd) planCmd()   {}

// turn is the upkeep of one machine.
type machineUpkeep struct {
	phase        upkeepPhase
	phaseSince   time.Time // begin of the phase
	requestedAt  time.Time // last UpkeepCmd
	workerBefore string    // worker that the machine carried before
	seenDown     bool      // the machine was seen down
}

type upkeepPhase int

const (
	upkeepWaiting   upkeepPhase = iota
	upkeepDraining              // its worker gets no tasks, and those that it has end
	upkeepRequested             // the platform was asked
	upkeepDown                  // the upkeep has begun; the machine is not back
	upkeepFinished              // the machine is back, or gone
)

type wave struct {
	spec     *hfwork.Wave
	machines map[string]*machineUpkeep
}

// addWave takes a wave in, or the news of one that is known.
func (s *Scheduler) addWave(spec *hfwork.Wave, now time.Time) {
	if spec.GetCompleted() || s.waves[spec.GetNumber()] != nil {
		return
	}
	w := &wave{spec: spec, machines: map[string]*machineUpkeep{}}
	for _, name := range spec.GetMachines() {
		u := &machineUpkeep{phaseSince: now}
		if slices.Contains(spec.GetBegun(), name) {
			u.phase = upkeepDown
		}
		w.machines[name] = u
	}
	s.waves[spec.GetNumber()] = w
	s.markWaveDirty(w)
}

func (s *Scheduler) markWaveDirty(w *wave) { s.dirtyWaves[w.spec.GetNumber()] = w.spec }

// Upkeep tells whether a wave is under way, so that the machines are looked at.
func (s *Scheduler) Upkeep() bool { return len(s.waves) > 0 }

// upkeep moves every wave on.
func (s *Scheduler) advanceWaves(now time.Time) {
	for number, w := range s.waves {
		s.advanceWave(w, now)
		if w.spec.GetCompleted() {
			delete(s.waves, number)
		}
	}
}

func (s *Scheduler) advanceWave(w *wave, now time.Time) {
	maxDown := max(int(w.spec.GetMost()), 1)
	down := w.count(upkeepRequested, upkeepDown)
	for _, name := range w.spec.GetMachines() {
		u := w.machines[name]
		before := u.phase
		s.advanceMachine(w, name, u, down < maxDown, now)
		if before == upkeepDraining && u.phase == upkeepRequested {
			down++
		}
	}
	finished := w.count(upkeepFinished)
	if finished == len(w.machines) {
		w.spec.Completed = true
		s.markWaveDirty(w)
		return
	}
	// The next machines are emptied while the ones before are down.
	for active := w.count(upkeepDraining, upkeepRequested, upkeepDown); active < machinesPerSlot*maxDown; active++ {
		name := s.nextMachine(w)
		if name == "" {
			return
		}
		w.machines[name].phase, w.machines[name].phaseSince = upkeepDraining, now
	}
}

// count returns the turns in some phases.
func (w *wave) count(phases ...upkeepPhase) int {
	n := 0
	for _, u := range w.machines {
		if slices.Contains(phases, u.phase) {
			n++
		}
	}
	return n
}

// nextTurn returns the waiting machine whose worker runs least.
func (s *Scheduler) nextMachine(w *wave) string {
	best, fewest := "", 0
	for _, name := range w.spec.GetMachines() {
		if w.machines[name].phase != upkeepWaiting || s.machines[name] == nil {
			continue
		}
		runs := 0
		if worker := s.workers[s.machines[name].GetWorker()]; worker != nil {
			runs = len(worker.runs)
		}
		if best == "" || runs < fewest {
			best, fewest = name, runs
		}
	}
	return best
}

func (s *Scheduler) advanceMachine(w *wave, name string, u *machineUpkeep, mayGoDown bool, now time.Time) {
	m := s.machines[name]
	if m == nil {
		if s.machines != nil && u.phase != upkeepFinished {
			u.phase = upkeepFinished // the machine has left for good
		}
		return
	}
	worker := s.workers[m.GetWorker()]
	switch u.phase {
	case upkeepDraining:
		if worker != nil && !worker.upkeepPending {
			worker.upkeepPending = true
			s.updateUsable(worker, now)
		}
		if drained := worker == nil || s.drainWorker(worker, w.mustForce(u, now), now); drained && mayGoDown {
			u.phase, u.requestedAt, u.workerBefore = upkeepRequested, now, m.GetWorker()
			s.emit(UpkeepCmd{machine: name, wave: w.spec.GetNumber()})
		}
	case upkeepRequested:
		if now.Sub(u.requestedAt) >= upkeepRetryInterval {
			u.requestedAt = now
			s.emit(UpkeepCmd{machine: name, wave: w.spec.GetNumber()})
		}
	case upkeepDown:
		u.seenDown = u.seenDown || !m.GetUp()
		if m.GetUp() && (u.seenDown || m.GetWorker() != u.workerBefore || now.Sub(u.phaseSince) > maxUpkeepTime) {
			u.phase = upkeepFinished
			if worker != nil {
				worker.upkeepPending = false
				s.updateUsable(worker, now)
			}
		}
	}
}

// pressing tells whether a turn has to go on even if work is lost, for the wave to end in
// time.
func (w *wave) mustForce(u *machineUpkeep, now time.Time) bool {
	remaining := 0
	for _, other := range w.machines {
		if other.phase <= upkeepDraining {
			remaining++
		}
	}
	rounds := (remaining + max(int(w.spec.GetMost()), 1) - 1) / max(int(w.spec.GetMost()), 1)
	latestStart := time.UnixMilli(w.spec.GetDeadline()).Add(-time.Duration(rounds) * maxUpkeepTime)
	return now.Sub(u.phaseSince) >= drainGrace && now.After(latestStart.Add(-drainGrace)) || now.After(latestStart)
}

// evacuate ends the runs of a worker: those that lose nothing at once, lasting ones as
// their step allows, and the others when it presses. It tells whether none is left.
func (s *Scheduler) drainWorker(w *worker, force bool, now time.Time) bool {
	for _, r := range sortedRuns(w.runs) {
		g := r.task.group
		switch {
		case r.phase == stopping:
		case g.spec.GetLasting():
			if !r.startedUp() || g.disruptionBudget() > 0 {
				s.stopRun(r, now)
			}
		case force || r.phase == assigned || (g.spec.GetSaves() && !g.gang()):
			s.stopRun(r, now)
		}
	}
	return len(w.runs) == 0
}

// upkept takes the answer to an UpkeepCmd.
func (s *Scheduler) handleUpkept(m UpkeptMsg, now time.Time) {
	w := s.waves[m.wave]
	if w == nil || w.machines[m.machine] == nil || w.machines[m.machine].phase != upkeepRequested {
		return
	}
	if m.outcome != OutcomeDone {
		return // asked again
	}
	u := w.machines[m.machine]
	u.phase, u.phaseSince = upkeepDown, now
	w.spec.Begun = append(w.spec.Begun, m.machine)
	s.markWaveDirty(w)
}
