package hfplan

import (
	"time"

	"github.com/heatherfront/heatherfront/hfwork"
)

const (
	fullPace              = 100                     // percent
	unknownPace           = -1                      // in place of a percentage
	minPace               = 15                      // percent below which a filling task rests
	paceStep              = 10                      // percent by which the pace rises
	slowDownTail          = 0.95                    // part of the target above which filling tasks slow down
	speedUpTail           = 0.85                    // part of the target below which they may speed up
	slowDownInterval      = 600 * time.Millisecond  // the tail covers half a second, and a pace acts after a tenth
	speedUpInterval       = 1500 * time.Millisecond // rises are slow: the disturbance changes within seconds
	colocatedPollInterval = 400 * time.Millisecond  // between looks at a worker with serving and filling tasks
)

// PaceCmd asks a worker to let a filling task work at a share of its pace.
type PaceCmd struct {
	worker  string
	task    hfwork.TaskID
	number  int64
	percent int64 // percent
}

// Worker returns the worker's id.
func (c PaceCmd) Worker() string { return c.worker }

// Task returns the task.
func (c PaceCmd) Task() hfwork.TaskID { return c.task }

// Number returns the number of the run.
func (c PaceCmd) Number() int64 { return c.number }

// Share returns the share of its pace in percent.
func (c PaceCmd) Share() int64 { return c.percent }

// PacedMsg brings the answer to a PaceCmd.
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

// WatchCmd asks to look at a worker more often than usual, or as usual again.
type WatchCmd struct {
	worker  string
	closely bool
}

// Worker returns the worker's id.
func (c WatchCmd) Worker() string { return c.worker }

// Close tells whether the worker is to be looked at more often.
func (c WatchCmd) Close() bool { return c.closely }

// Wait returns the time between two looks at a worker that is watched closely.
func (c WatchCmd) Wait() time.Duration { return colocatedPollInterval }

func (PaceCmd) planCmd()  {}
func (WatchCmd) planCmd() {}

// pace slows the filling tasks of a worker down as soon as the tail of a serving one
// comes near its target, and lets them speed up slowly when it is calm.
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
		s.emit(WatchCmd{worker: w.id(), closely: colocated})
	}
	if !w.colocated {
		return
	}
	switch {
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

// paced takes the answer to a PaceCmd. Reports do not show the pace: one without an answer
// is ordered again after the next report.
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
