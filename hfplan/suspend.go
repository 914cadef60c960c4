package hfplan

// SuspendMsg reports that the leadership is suspended, as the store does not answer: orders that the
// scheduler gives are not sent until a ResumeMsg of the same number. It keeps learning from reports.
type SuspendMsg struct{ number uint64 }

// Suspend returns a SuspendMsg. number counts the suspensions of the leadership.
func Suspend(number uint64) SuspendMsg { return SuspendMsg{number: number} }

// ResumeMsg reports the end of a suspension. All that was written to the store until then, such as
// cancellations, the configuration and workers' entries, was passed to the scheduler before it.
type ResumeMsg struct{ number uint64 }

// Resume returns the message with the end of a suspension.
func Resume(number uint64) ResumeMsg { return ResumeMsg{number: number} }

func (SuspendMsg) planMsg() {}
func (ResumeMsg) planMsg()  {}

// suspension is a scheduler's view of the suspensions of its leadership.
type suspension struct {
	number    uint64 // of the last one
	suspended bool
}

// suspend makes the scheduler decide nothing but what reports prove.
func (s *Scheduler) suspend(m SuspendMsg) {
	s.suspension = suspension{number: max(m.number, s.suspension.number), suspended: true}
}

// resume ends a suspension, unless a later one has begun. Tasks that had a worker but were not started
// are placed anew, as the configuration may have changed.
func (s *Scheduler) resume(m ResumeMsg) {
	if m.number != s.suspension.number {
		return
	}
	for _, g := range s.groups {
		for i := range g.tasks {
			if r := g.tasks[i].run; r != nil && r.phase == assigned {
				s.releaseRun(r)
			}
		}
	}
	s.suspension.suspended, s.needsPass = false, true
}

// Suspensions returns how many times the leadership was suspended before the start was decided.
func (c StartCmd) Suspensions() uint64 { return c.suspensions }
