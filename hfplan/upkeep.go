package hfplan

import (
	"slices"
	"time"

	"github.com/heatherfront/heatherfront/hfwork"
)

const (
	// drainGrace is how long a machine may drain before its remaining runs can be
	// stopped, if the deadline of the wave is that close.
	drainGrace = 3 * time.Second
	// maxUpkeepTime is the longest time for the upkeep of one machine, from draining
	// until it is back.
	maxUpkeepTime = 3500 * time.Millisecond
	// machinesPerSlot is how many machines are draining or down for each machine that
	// may be down, so that the next ones drain in the meantime.
	machinesPerSlot     = 2
	upkeepRetryInterval = time.Second // after an UpkeepCmd without an answer
	// maxRegistrationTime is how long the worker of a machine may take until it is registered and
	// listed: two heartbeats.
	maxRegistrationTime = 3 * time.Second
)

// WaveMsg carries an upkeep wave and its stored progress.
type WaveMsg struct{ wave *hfwork.Wave }

// Wave returns a WaveMsg.
func Wave(w *hfwork.Wave) WaveMsg { return WaveMsg{wave: w} }

// MachinesMsg carries a list of the platform's machines by name.
type MachinesMsg struct {
	machines    map[string]*hfwork.Machine
	requestedAt time.Time // when the list was requested; zero if it is current
}

// Machines returns a MachinesMsg.
func Machines(machines map[string]*hfwork.Machine) MachinesMsg {
	return MachinesMsg{machines: machines}
}

// RequestedAt returns a copy of the message for a list that was requested at the given time.
func (m MachinesMsg) RequestedAt(t time.Time) MachinesMsg {
	m.requestedAt = t
	return m
}

// UpkeepCmd asks the platform to take a machine down for its upkeep.
type UpkeepCmd struct {
	machine     string
	wave        int64
	suspensions uint64
}

// Machine returns the machine's name.
func (c UpkeepCmd) Machine() string { return c.machine }

// Wave returns the wave's number.
func (c UpkeepCmd) Wave() int64 { return c.wave }

// Suspensions returns how many times the leadership was suspended before the upkeep was decided.
func (c UpkeepCmd) Suspensions() uint64 { return c.suspensions }

// UpkeepStartedMsg carries the answer to an UpkeepCmd.
type UpkeepStartedMsg struct {
	machine string
	wave    int64
	outcome Outcome
}

// UpkeepStarted returns an UpkeepStartedMsg.
func UpkeepStarted(c UpkeepCmd, outcome Outcome) UpkeepStartedMsg {
	return UpkeepStartedMsg{machine: c.machine, wave: c.wave, outcome: outcome}
}

func (WaveMsg) planMsg()          {}
func (MachinesMsg) planMsg()      {}
func (UpkeepStartedMsg) planMsg() {}
func (UpkeepCmd) planCmd()        {}

// machineUpkeep is the state of one machine in a wave.
type machineUpkeep struct {
	phase        upkeepPhase
	phaseSince   time.Time // start of the phase
	requestedAt  time.Time // last UpkeepCmd
	workerBefore string    // worker on the machine before its upkeep
	seenDown     bool      // the machine was listed as down
	unknownSince time.Time // since when its worker has not been known; zero if it is
}

// upkeepPhase is the stage of the upkeep of one machine.
type upkeepPhase int

const (
	upkeepWaiting   upkeepPhase = iota
	upkeepDraining              // its worker gets no tasks, and its runs end or are stopped
	upkeepRequested             // UpkeepCmd sent, not confirmed
	upkeepDown                  // upkeep has begun; the machine is not back yet
	upkeepFinished              // the machine is back or was removed
)

// wave is an upkeep wave in progress.
type wave struct {
	spec      *hfwork.Wave
	machines  map[string]*machineUpkeep // by machine name
	learnedAt time.Time                 // when this scheduler learned of it
}

// addWave adds a wave unless it is completed or already known. Machines whose upkeep
// had begun under an earlier scheduler continue in phase upkeepDown.
func (s *Scheduler) addWave(spec *hfwork.Wave, now time.Time) {
	if spec.GetCompleted() || s.waves[spec.GetNumber()] != nil {
		return
	}
	w := &wave{spec: spec, machines: map[string]*machineUpkeep{}, learnedAt: now}
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

// markWaveDirty schedules a wave to be stored.
func (s *Scheduler) markWaveDirty(w *wave) { s.dirtyWaves[w.spec.GetNumber()] = w.spec }

// UpkeepInProgress reports whether an upkeep wave is in progress. The scheduler then needs
// regular MachinesMsgs.
func (s *Scheduler) UpkeepInProgress() bool { return len(s.waves) > 0 }

// advanceWaves advances all waves and drops the completed ones.
func (s *Scheduler) advanceWaves(now time.Time) {
	for number, w := range s.waves {
		s.advanceWave(w, now)
		if w.spec.GetCompleted() {
			delete(s.waves, number)
		}
	}
}

// advanceWave advances the machines of a wave and starts to drain the next ones. It waits for a list of
// machines that is newer than the wave, as an older one may lack some of them.
func (s *Scheduler) advanceWave(w *wave, now time.Time) {
	if s.machines == nil || s.machinesAt.Before(w.learnedAt) {
		return
	}
	maxDown := max(int(w.spec.GetMost()), 1)
	down := w.count(upkeepRequested, upkeepDown) + s.downBefore(w, now)
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
	// Drain the next machines while others are down.
	for active := w.count(upkeepDraining, upkeepRequested, upkeepDown); active < machinesPerSlot*maxDown; active++ {
		name := s.nextMachine(w)
		if name == "" {
			return
		}
		w.machines[name].phase, w.machines[name].phaseSince = upkeepDraining, now
	}
}

// downBefore returns the number of machines of a wave that may be down for an upkeep that an
// earlier scheduler asked for, but did not store. Such a machine is up again within maxUpkeepTime;
// one that stays down is down for another reason.
func (s *Scheduler) downBefore(w *wave, now time.Time) int {
	if now.Sub(w.learnedAt) >= maxUpkeepTime {
		return 0
	}
	n := 0
	for name, u := range w.machines {
		if m := s.machines[name]; m != nil && !m.GetUp() && (u.phase == upkeepWaiting || u.phase == upkeepDraining) {
			n++
		}
	}
	return n
}

// count returns the number of machines in the given phases.
func (w *wave) count(phases ...upkeepPhase) int {
	n := 0
	for _, u := range w.machines {
		if slices.Contains(phases, u.phase) {
			n++
		}
	}
	return n
}

// nextMachine returns the waiting machine whose worker has the fewest runs, or "".
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

// advanceMachine advances the upkeep of one machine. The platform is asked to take
// it down once it is drained and mayGoDown is set.
func (s *Scheduler) advanceMachine(w *wave, name string, u *machineUpkeep, mayGoDown bool, now time.Time) {
	m := s.machines[name]
	if m == nil {
		u.phase = upkeepFinished // the machine was removed
		return
	}
	worker := s.workers[m.GetWorker()]
	switch u.phase {
	case upkeepDraining:
		if worker != nil && !worker.upkeepPending {
			worker.upkeepPending = true
			s.updateUsable(worker, now)
		}
		if s.drained(w, worker, u, now) && mayGoDown {
			u.phase, u.requestedAt, u.workerBefore = upkeepRequested, now, m.GetWorker()
			if worker != nil {
				worker.upkeepRequested = true
			}
			s.emit(UpkeepCmd{machine: name, wave: w.spec.GetNumber(), suspensions: s.suspension.number})
		}
	case upkeepRequested:
		if now.Sub(u.requestedAt) >= upkeepRetryInterval {
			u.requestedAt = now
			s.emit(UpkeepCmd{machine: name, wave: w.spec.GetNumber(), suspensions: s.suspension.number})
		}
	case upkeepDown:
		u.seenDown = u.seenDown || !m.GetUp()
		if worker != nil && !m.GetUp() {
			worker.upkeepRequested = true // an earlier scheduler may have asked for it
		}
		if m.GetUp() && (u.seenDown || m.GetWorker() != u.workerBefore || now.Sub(u.phaseSince) > maxUpkeepTime) {
			u.phase = upkeepFinished
			if worker != nil {
				worker.upkeepPending, worker.upkeepRequested = false, false
				s.updateUsable(worker, now)
			}
		}
	}
}

// drained drains the worker of a machine, which is nil if it is not known. It reports whether nothing
// runs there.
func (s *Scheduler) drained(w *wave, worker *worker, u *machineUpkeep, now time.Time) bool {
	if worker != nil {
		u.unknownSince = time.Time{}
		return worker.runsKnown(now) && s.drainWorker(worker, w.mustForce(u, now), now)
	}
	if u.unknownSince.IsZero() {
		u.unknownSince = now
	}
	return now.Sub(u.unknownSince) >= maxRegistrationTime
}

// mustForce reports whether a machine must be drained now even if work is lost,
// because the wave would otherwise miss its deadline.
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

// drainWorker stops the runs of a worker. Runs that lose no work are stopped at
// once, lasting tasks within the disruption budget of their step, and all others
// only if force is set. It reports whether the worker has no runs left.
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

// runsKnown reports whether the scheduler knows all runs of a worker: it has reported, or the leases
// that an earlier scheduler gave have expired.
func (w *worker) runsKnown(now time.Time) bool { return w.reported || !now.Before(w.leaseExpiry) }

// handleUpkeepStarted processes the answer to an UpkeepCmd.
func (s *Scheduler) handleUpkeepStarted(m UpkeepStartedMsg, now time.Time) {
	w := s.waves[m.wave]
	if w == nil || w.machines[m.machine] == nil || w.machines[m.machine].phase != upkeepRequested {
		return
	}
	if m.outcome != OutcomeDone {
		return // repeated by advanceMachine
	}
	u := w.machines[m.machine]
	u.phase, u.phaseSince = upkeepDown, now
	w.spec.Begun = append(w.spec.Begun, m.machine)
	s.markWaveDirty(w)
}
