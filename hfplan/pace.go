package hfplan

import (
	"time"

	"github.com/heatherfront/heatherfront/hfwork"
)

const (
	fullPace              = 100                     // percent
	unknownPace           = -1                      // the pace of an adopted run; as requestedPace, no PaceCmd in flight
	minPace               = 15                      // percent; filler tasks are paused rather than run slower
	paceStep              = 10                      // percentage points of each increase
	slowDownTail          = 0.95                    // share of the latency target above which filler tasks are slowed down
	speedUpTail           = 0.85                    // share of the latency target below which they may speed up
	slowDownInterval      = 600 * time.Millisecond  // tail latency covers 500 ms, and a new pace takes 100 ms to act
	speedUpInterval       = 1500 * time.Millisecond // increases are slow, as the interference changes within seconds
	colocatedPollInterval = 400 * time.Millisecond  // between polls of a worker with serving and filler tasks
)

// PaceCmd sets the pace of a filler task as a percentage of its full pace.
type PaceCmd struct {
	worker  string
	task    hfwork.TaskID
	number  int64
	percent int64
}

// Worker returns the worker's id.
func (c PaceCmd) Worker() string { return c.worker }

// Task returns the task.
func (c PaceCmd) Task() hfwork.TaskID { return c.task }

// Number returns the number of the run.
func (c PaceCmd) Number() int64 { return c.number }

// Percent returns the pace in percent.
func (c PaceCmd) Percent() int64 { return c.percent }

// PacedMsg carries the answer to a PaceCmd.
type PacedMsg struct {
	task    hfwork.TaskID
	number  int64
	percent int64
	outcome Outcome
}

// Paced returns a PacedMsg.
func Paced(c PaceCmd, outcome Outcome) PacedMsg {
	return PacedMsg{task: c.task, number: c.number, percent: c.percent, outcome: outcome}
}

func (PacedMsg) planMsg() {}

// PollCmd switches a worker between a short poll interval and the usual one.
type PollCmd struct {
	worker   string
	frequent bool
}

// Worker returns the worker's id.
func (c PollCmd) Worker() string { return c.worker }

// Frequent reports whether the worker is polled at the short interval.
func (c PollCmd) Frequent() bool { return c.frequent }

// Interval returns the short poll interval.
func (c PollCmd) Interval() time.Duration { return colocatedPollInterval }

func (PaceCmd) planCmd() {}
func (PollCmd) planCmd() {}

// adjustPace controls the pace of the filler tasks on a worker. It halves the pace
// when the tail latency of a serving task comes near its target, pauses filler tasks
// when the target is missed, and raises the pace in small steps when the latency is
// low. Without a serving task beside them, they run at full pace.
func (s *Scheduler) adjustPace(w *worker, runs []hfwork.Run, now time.Time) {
	worstTail, serving, filler := 0.0, false, false
	for _, reported := range runs {
		t := s.task(reported.Task())
		if t == nil {
			continue
		}
		if target := t.group.spec.GetTarget(); target > 0 {
			serving = true
			worstTail = max(worstTail, reported.Load()/float64(target))
		}
		filler = filler || t.group.spec.GetFiller()
	}
	if colocated := serving && filler; colocated != w.colocated {
		w.colocated, w.fillerPace = colocated, fullPace
		s.emit(PollCmd{worker: w.id(), frequent: colocated})
	}
	if !filler {
		return
	}
	switch {
	case !w.colocated:
	case worstTail > slowDownTail && now.Sub(w.paceChangedAt) >= slowDownInterval:
		w.fillerPace, w.paceChangedAt = w.fillerPace/2, now
		if worstTail > 1 || w.fillerPace < minPace {
			w.fillerPace = 0
		}
	case worstTail < speedUpTail && now.Sub(w.paceChangedAt) >= speedUpInterval && w.fillerPace < fullPace:
		w.fillerPace, w.paceChangedAt = min(w.fillerPace+paceStep, fullPace), now
	}
	for _, r := range sortedRuns(w.runs) {
		if r.phase == running && r.task.group.spec.GetFiller() && r.pace != w.fillerPace && r.requestedPace != w.fillerPace {
			r.requestedPace = w.fillerPace
			s.emit(PaceCmd{worker: w.id(), task: r.task.id(), number: r.number, percent: w.fillerPace})
		}
	}
}

// handlePaced processes the answer to a PaceCmd. Reports do not include the pace, so
// a PaceCmd without a successful answer is repeated after the next report.
func (s *Scheduler) handlePaced(m PacedMsg) {
	t := s.task(m.task)
	if t == nil || t.run == nil || t.run.number != m.number || t.run.requestedPace != m.percent {
		return
	}
	t.run.requestedPace = unknownPace
	if m.outcome == OutcomeDone {
		t.run.pace = m.percent
	}
}
