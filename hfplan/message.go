// Package hfplan decides, for all workers of a service, which tasks start where and
// which stop. One instance at a time runs its Scheduler, under a lease of the store.
package hfplan

import (
	"time"

	"github.com/heatherfront/heatherfront/hfwork"
)

// Msg is an input of Scheduler.
type Msg interface{ planMsg() }

// PolicyMsg brings the configuration in force.
type PolicyMsg struct{ policy *hfwork.Policy }

// Policy returns a PolicyMsg.
func Policy(p *hfwork.Policy) PolicyMsg { return PolicyMsg{policy: p} }

// WorkersMsg brings the registered workers.
type WorkersMsg struct{ workers map[string]*hfwork.Worker }

// Workers returns a WorkersMsg.
func Workers(workers map[string]*hfwork.Worker) WorkersMsg { return WorkersMsg{workers: workers} }

// LeftMsg tells that a worker has left as planned. Nothing runs on it.
type LeftMsg struct{ worker string }

// Left returns a LeftMsg.
func Left(worker string) LeftMsg { return LeftMsg{worker: worker} }

// InheritMsg brings the workers on which an earlier scheduler may have started tasks.
type InheritMsg struct{ workers []*hfwork.Worker }

// Inherit returns an InheritMsg. It comes before the first JobMsg.
func Inherit(workers []*hfwork.Worker) InheritMsg { return InheritMsg{workers: workers} }

// JobMsg brings a stored job that this scheduler may not know yet, or the cancellation of
// one.
type JobMsg struct {
	job       *hfwork.Job
	progress  *hfwork.Progress // nil when nothing is stored
	cancelled bool
}

// Job returns a JobMsg.
func Job(job *hfwork.Job, progress *hfwork.Progress, cancelled bool) JobMsg {
	return JobMsg{job: job, progress: progress, cancelled: cancelled}
}

// ReportMsg brings a worker's report.
type ReportMsg struct {
	worker string
	sent   time.Time // when it was asked for
	report hfwork.Report
}

// Report returns a ReportMsg for a report that was asked for at sent.
func Report(worker string, sent time.Time, report hfwork.Report) ReportMsg {
	return ReportMsg{worker: worker, sent: sent, report: report}
}

// SilentMsg tells that a worker gave no report.
type SilentMsg struct{ worker string }

// Silent returns a SilentMsg.
func Silent(worker string) SilentMsg { return SilentMsg{worker: worker} }

// Outcome is a worker's answer to an order.
type Outcome int

// The answers to an order.
const (
	OutcomeDone    Outcome = iota
	OutcomeRefused         // the worker did nothing
	OutcomeOld             // the worker has seen a later run of the task
	OutcomeUnknown         // no answer; it may be carried out, also later
)

// StartedMsg brings the answer to a StartCmd.
type StartedMsg struct {
	task    hfwork.TaskID
	number  int64
	outcome Outcome
}

// Started returns a StartedMsg.
func Started(c StartCmd, outcome Outcome) StartedMsg {
	return StartedMsg{task: c.task, number: c.number, outcome: outcome}
}

// StoppedMsg brings the answer to a StopCmd.
type StoppedMsg struct {
	task    hfwork.TaskID
	number  int64
	outcome Outcome
}

// Stopped returns a StoppedMsg.
func Stopped(c StopCmd, outcome Outcome) StoppedMsg {
	return StoppedMsg{task: c.task, number: c.number, outcome: outcome}
}

// StoredMsg tells that the records of a StoreCmd are stored.
type StoredMsg struct{ sequence uint64 }

// Stored returns a StoredMsg.
func Stored(c StoreCmd) StoredMsg { return StoredMsg{sequence: c.sequence} }

// TickMsg lets time pass.
type TickMsg struct{}

// PassMsg asks for decisions on all that has changed. It comes after the messages
// that arrived together.
type PassMsg struct{}

func (PolicyMsg) planMsg()  {}
func (WorkersMsg) planMsg() {}
func (LeftMsg) planMsg()    {}
func (InheritMsg) planMsg() {}
func (JobMsg) planMsg()     {}
func (ReportMsg) planMsg()  {}
func (SilentMsg) planMsg()  {}
func (StartedMsg) planMsg() {}
func (StoppedMsg) planMsg() {}
func (StoredMsg) planMsg()  {}
func (TickMsg) planMsg()    {}
func (PassMsg) planMsg()    {}

// Cmd is an output of Scheduler.
type Cmd interface{ planCmd() }

// StartCmd asks a worker to start a task.
type StartCmd struct {
	worker     string
	task       hfwork.TaskID
	number     int64
	command    string
	checkpoint string
	ticket     string
}

// Ticket returns the permission for a start on an advised queue, or "".
func (c StartCmd) Ticket() string { return c.ticket }

// Worker returns the worker's id.
func (c StartCmd) Worker() string { return c.worker }

// Task returns the task.
func (c StartCmd) Task() hfwork.TaskID { return c.task }

// Number returns the number of the run.
func (c StartCmd) Number() int64 { return c.number }

// Command returns what the task runs.
func (c StartCmd) Command() string { return c.command }

// Saved returns the checkpoint to resume from, or "".
func (c StartCmd) Saved() string { return c.checkpoint }

// StopCmd asks a worker to stop a run, and never to start it if it is not there yet.
type StopCmd struct {
	worker string
	task   hfwork.TaskID
	number int64
}

// Worker returns the worker's id.
func (c StopCmd) Worker() string { return c.worker }

// Task returns the task.
func (c StopCmd) Task() hfwork.TaskID { return c.task }

// Number returns the number of the run.
func (c StopCmd) Number() int64 { return c.number }

// StoreCmd asks to store the progress of jobs. StoredMsg answers it. Only one is
// under way at a time.
type StoreCmd struct {
	sequence uint64
	records  map[string]*hfwork.Progress // by job id
	roster   []*hfwork.Worker            // all workers that may get tasks, nil when unchanged
	waves    []*hfwork.Wave              // waves of upkeep that changed
}

// Waves returns the waves of upkeep that changed.
func (c StoreCmd) Waves() []*hfwork.Wave { return c.waves }

// Roster returns the workers on which tasks may be started from now on, or nil when
// the stored ones still hold.
func (c StoreCmd) Roster() []*hfwork.Worker { return c.roster }

// Records returns the progress by job id.
func (c StoreCmd) Records() map[string]*hfwork.Progress { return c.records }

// AckCmd tells a worker up to which end its ends are stored.
type AckCmd struct {
	worker      string
	incarnation int64
	sequence    int64
}

// Worker returns the worker's id.
func (c AckCmd) Worker() string { return c.worker }

// Born returns the life of the worker that the acknowledgement is for.
func (c AckCmd) Born() int64 { return c.incarnation }

// Sequence returns the number of the last stored end.
func (c AckCmd) Sequence() int64 { return c.sequence }

// Note is a decision or a changed belief for the log.
type Note string

// The notes.
const (
	NoteState     Note = "state"     // a job entered a state
	NotePlaced    Note = "placed"    // tasks of a step got their workers
	NotePreempted Note = "preempted" // runs are stopped for more urgent work
	NoteRetry     Note = "retry"     // a run ended early and its task waits again
	NoteAside     Note = "aside"     // a worker gets no new tasks for a while
	NoteSilent    Note = "silent"    // a worker gives no reports
	NoteHeard     Note = "heard"     // a worker gives reports, or lives anew
	NoteGone      Note = "gone"      // a worker is no longer registered and holds nothing
	NoteSettled   Note = "settled"   // all that earlier schedulers may have started is accounted for
)

// NoteCmd asks to log a decision.
type NoteCmd struct {
	note   Note
	job    string
	worker string
	step   uint32
	tasks  int
	reason string
}

// Note returns the kind of note.
func (c NoteCmd) Note() Note { return c.note }

// Job returns the id of the job, or "".
func (c NoteCmd) Job() string { return c.job }

// Worker returns the id of the worker, or "".
func (c NoteCmd) Worker() string { return c.worker }

// Step returns the step of the job.
func (c NoteCmd) Step() uint32 { return c.step }

// Tasks returns the number of tasks that the decision touches.
func (c NoteCmd) Tasks() int { return c.tasks }

// Reason returns what decided.
func (c NoteCmd) Reason() string { return c.reason }

func (StartCmd) planCmd() {}
func (StopCmd) planCmd()  {}
func (StoreCmd) planCmd() {}
func (AckCmd) planCmd()   {}
func (NoteCmd) planCmd()  {}

// Nodes returns the workers by id.
func (m WorkersMsg) Nodes() map[string]*hfwork.Worker { return m.workers }

// Nodes returns the workers by id.
func (m InheritMsg) Nodes() map[string]*hfwork.Worker {
	byID := map[string]*hfwork.Worker{}
	for _, n := range m.workers {
		byID[n.GetId()] = n
	}
	return byID
}

// Store returns a StoreCmd, for tests of those who carry it out.
func Store(records map[string]*hfwork.Progress, roster []*hfwork.Worker, waves []*hfwork.Wave) StoreCmd {
	return StoreCmd{records: records, roster: roster, waves: waves}
}
