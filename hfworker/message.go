package hfworker

import (
	"time"

	"github.com/heatherfront/heatherfront/hfwire"
)

// Msg is an input of Fleet.
type Msg interface{ fleetMsg() }

// ListMsg brings the workers of the membership list.
type ListMsg struct{ workers []Worker }

// Listed returns a ListMsg.
func Listed(workers []Worker) ListMsg { return ListMsg{workers: workers} }

// DutyMsg brings the workers that this instance observes.
type DutyMsg struct{ mine map[string]bool }

// Duty returns a DutyMsg.
func Duty(mine map[string]bool) DutyMsg { return DutyMsg{mine: mine} }

// PolledMsg brings a worker's report. sent is when the poll was sent.
type PolledMsg struct {
	worker string
	tasks  []*hfwire.Task
	sent   time.Time
}

// Polled returns a PolledMsg.
func Polled(worker string, tasks []*hfwire.Task, sent time.Time) PolledMsg {
	return PolledMsg{worker: worker, tasks: tasks, sent: sent}
}

// FailedMsg tells that a poll got no answer.
type FailedMsg struct{ worker string }

// Failed returns a FailedMsg.
func Failed(worker string) FailedMsg { return FailedMsg{worker: worker} }

// HeardMsg brings what another instance observes.
type HeardMsg struct {
	observer    string
	incarnation string // of the observer
	full        bool   // every worker that it observes is in the reports
	reports     []*hfwire.Report
}

// Heard returns a HeardMsg.
func Heard(observer, incarnation string, full bool, reports []*hfwire.Report) HeardMsg {
	return HeardMsg{observer: observer, incarnation: incarnation, full: full, reports: reports}
}

// TickMsg lets time pass.
type TickMsg struct{}

func (ListMsg) fleetMsg()   {}
func (DutyMsg) fleetMsg()   {}
func (PolledMsg) fleetMsg() {}
func (FailedMsg) fleetMsg() {}
func (HeardMsg) fleetMsg()  {}
func (TickMsg) fleetMsg()   {}

// Cmd is an output of Fleet.
type Cmd interface{ fleetCmd() }

// PollCmd asks for one call to a worker, which renews some tasks and brings a
// report.
type PollCmd struct {
	worker Worker
	renew  []string // task ids
}

// Worker returns the worker to call.
func (c PollCmd) Worker() Worker { return c.worker }

// Renew returns the ids of the tasks whose leases are extended.
func (c PollCmd) Renew() []string { return c.renew }

// ReportCmd tells the placement leader what a worker runs.
type ReportCmd struct {
	worker string
	tasks  []*hfwire.Task
	lost   bool
}

// Worker returns the worker's name.
func (c ReportCmd) Worker() string { return c.worker }

// Tasks returns the worker's tasks.
func (c ReportCmd) Tasks() []*hfwire.Task { return c.tasks }

// Lost tells that the worker gives no report.
func (c ReportCmd) Lost() bool { return c.lost }

// PartialCmd tells that a gang is not whole and is no longer renewed here.
type PartialCmd struct{ gang Gang }

// Gang returns the gang.
func (c PartialCmd) Gang() Gang { return c.gang }

func (PollCmd) fleetCmd()    {}
func (ReportCmd) fleetCmd()  {}
func (PartialCmd) fleetCmd() {}
