package hfworker

import (
	"time"

	"github.com/heatherfront/heatherfront/hfwire"
)

// Msg is an input of Fleet.Update.
type Msg interface{ fleetMsg() }

// ListMsg sets the workers of the membership list.
type ListMsg struct{ workers []Worker }

// Listed returns a ListMsg.
func Listed(workers []Worker) ListMsg { return ListMsg{workers: workers} }

// ObserveMsg sets the workers that this instance observes.
type ObserveMsg struct{ workers map[string]bool }

// Observe returns an ObserveMsg.
func Observe(workers map[string]bool) ObserveMsg { return ObserveMsg{workers: workers} }

// PolledMsg is a worker's answer to a poll. It holds all tasks of the worker.
type PolledMsg struct {
	worker string
	tasks  []*hfwire.Task
	sent   time.Time // when the poll was sent
}

// Polled returns a PolledMsg.
func Polled(worker string, tasks []*hfwire.Task, sent time.Time) PolledMsg {
	return PolledMsg{worker: worker, tasks: tasks, sent: sent}
}

// PollFailedMsg reports a poll without an answer.
type PollFailedMsg struct{ worker string }

// PollFailed returns a PollFailedMsg.
func PollFailed(worker string) PollFailedMsg { return PollFailedMsg{worker: worker} }

// PeerReportsMsg is a set of reports from another instance on the workers that it observes.
type PeerReportsMsg struct {
	observer    string
	incarnation string // of the observer
	full        bool   // the reports cover every worker that the observer observes
	reports     []*hfwire.Report
}

// PeerReports returns a PeerReportsMsg.
func PeerReports(observer, incarnation string, full bool, reports []*hfwire.Report) PeerReportsMsg {
	return PeerReportsMsg{observer: observer, incarnation: incarnation, full: full, reports: reports}
}

// InstancesMsg sets the instances that may lead a failure domain, with this one.
type InstancesMsg struct{ names []string }

// Instances returns an InstancesMsg.
func Instances(names []string) InstancesMsg { return InstancesMsg{names: names} }

// LeadershipsMsg is the answer of an instance, or of this one, on the failure domains that it
// leads, and those whose leaders answered it.
type LeadershipsMsg struct {
	instance    string
	asked       time.Time // before the answer was given
	leaderships []*hfwire.Leadership
}

// Leaderships returns a LeadershipsMsg. asked is when the question was sent.
func Leaderships(instance string, asked time.Time, leaderships []*hfwire.Leadership) LeadershipsMsg {
	return LeadershipsMsg{instance: instance, asked: asked, leaderships: leaderships}
}

// TickMsg triggers the polls that are due.
type TickMsg struct{}

func (ListMsg) fleetMsg()        {}
func (ObserveMsg) fleetMsg()     {}
func (PolledMsg) fleetMsg()      {}
func (PollFailedMsg) fleetMsg()  {}
func (PeerReportsMsg) fleetMsg() {}
func (InstancesMsg) fleetMsg()   {}
func (LeadershipsMsg) fleetMsg() {}
func (TickMsg) fleetMsg()        {}

// Cmd is an output of Fleet.Update.
type Cmd interface{ fleetCmd() }

// PollCmd requests a poll of a worker, which also renews the leases of some tasks.
type PollCmd struct {
	worker     Worker
	renew      []string  // task ids
	renewUntil time.Time // end of the permit to renew them
}

// Worker returns the worker to call.
func (c PollCmd) Worker() Worker { return c.worker }

// Renew returns the ids of the tasks whose leases are extended, if the poll is sent before
// RenewUntil.
func (c PollCmd) Renew() []string { return c.renew }

// RenewUntil returns the time from which on no lease must be extended.
func (c PollCmd) RenewUntil() time.Time { return c.renewUntil }

// ReportCmd reports a worker's tasks, or its loss, to the placement leader.
type ReportCmd struct {
	worker string
	tasks  []*hfwire.Task
	lost   bool
}

// Worker returns the worker's name.
func (c ReportCmd) Worker() string { return c.worker }

// Tasks returns the worker's tasks.
func (c ReportCmd) Tasks() []*hfwire.Task { return c.tasks }

// Lost reports whether the worker no longer answers polls.
func (c ReportCmd) Lost() bool { return c.lost }

// PartialCmd reports a gang that does not satisfy the RenewalRule. This instance does not
// renew the leases of the gang until it does.
type PartialCmd struct{ gang Gang }

// Gang returns the gang.
func (c PartialCmd) Gang() Gang { return c.gang }

// PermitCmd reports that the leases of a failure domain's tasks are no longer renewed here, because
// neither a leader nor all instances answered for RenewalPermit, or that they are renewed again.
type PermitCmd struct {
	domain string
	ended  bool
}

// Domain returns the failure domain.
func (c PermitCmd) Domain() string { return c.domain }

// Ended reports whether the leases are no longer renewed.
func (c PermitCmd) Ended() bool { return c.ended }

func (PollCmd) fleetCmd()    {}
func (ReportCmd) fleetCmd()  {}
func (PartialCmd) fleetCmd() {}
func (PermitCmd) fleetCmd()  {}
