// Package hfplan schedules tasks on all workers of a service: it decides which tasks start
// where and which are stopped. One instance at a time runs a Scheduler, protected by a
// lease in the store.
package hfplan

import (
	"time"

	"github.com/heatherfront/heatherfront/hfwork"
)

// Msg is an input of Scheduler.Update.
type Msg interface{ planMsg() }

// PolicyMsg carries the current configuration.
type PolicyMsg struct {
	policy   *hfwork.Policy
	accounts hfwork.AccountHistory
}

// Policy returns a PolicyMsg.
func Policy(p *hfwork.Policy) PolicyMsg { return PolicyMsg{policy: p} }

// WithAccounts returns a copy of the message with the history of the accounts.
func (m PolicyMsg) WithAccounts(h hfwork.AccountHistory) PolicyMsg {
	m.accounts = h
	return m
}

// WorkersMsg carries the registered workers by id.
type WorkersMsg struct {
	workers map[string]*hfwork.Worker
	mayEnd  map[string]time.Time // earliest times at which draining workers may end, by worker
	// evacuated holds the failure domains whose workers get no tasks.
	evacuated map[string]bool
}

// Workers returns a WorkersMsg.
func Workers(workers map[string]*hfwork.Worker) WorkersMsg { return WorkersMsg{workers: workers} }

// WithEnds returns a copy of the message with the earliest times at which draining workers may end,
// by worker.
func (m WorkersMsg) WithEnds(earliest map[string]time.Time) WorkersMsg {
	m.mayEnd = earliest
	return m
}

// WithEvacuated returns a copy of the message with the failure domains whose workers get no tasks.
func (m WorkersMsg) WithEvacuated(domains map[string]bool) WorkersMsg {
	m.evacuated = domains
	return m
}

// WorkerLeftMsg reports that a worker has shut down in an orderly way. Nothing runs on it.
type WorkerLeftMsg struct{ worker string }

// WorkerLeft returns a WorkerLeftMsg.
func WorkerLeft(worker string) WorkerLeftMsg { return WorkerLeftMsg{worker: worker} }

// RosterMsg carries the stored roster: the workers on which an earlier scheduler
// may have started tasks.
type RosterMsg struct{ workers []*hfwork.Worker }

// Roster returns a RosterMsg. It must be processed before the first JobMsg.
func Roster(workers []*hfwork.Worker) RosterMsg { return RosterMsg{workers: workers} }

// JobMsg carries a stored job that may be new to this scheduler, or the cancellation
// of a job.
type JobMsg struct {
	job       *hfwork.Job
	progress  *hfwork.Progress // nil if none is stored
	cancelled bool
	shown     bool // callers were told that it has completed
}

// Job returns a JobMsg.
func Job(job *hfwork.Job, progress *hfwork.Progress, cancelled bool) JobMsg {
	return JobMsg{job: job, progress: progress, cancelled: cancelled}
}

// ReportMsg carries the report with which a worker answered a poll.
type ReportMsg struct {
	worker string
	sent   time.Time // when the poll was sent
	report hfwork.Report
}

// Report returns a ReportMsg. sent is when the poll was sent.
func Report(worker string, sent time.Time, report hfwork.Report) ReportMsg {
	return ReportMsg{worker: worker, sent: sent, report: report}
}

// WorkerSilentMsg reports that a worker did not answer a poll.
type WorkerSilentMsg struct{ worker string }

// WorkerSilent returns a WorkerSilentMsg.
func WorkerSilent(worker string) WorkerSilentMsg { return WorkerSilentMsg{worker: worker} }

// WorkerReplacedMsg reports that the process of a worker has ended: another worker answers at the
// address at which it answered last. No start was sent to it anywhere else since, and none will be
// sent until the worker is registered anew.
type WorkerReplacedMsg struct {
	worker      string
	incarnation int64 // of the worker's last report
}

// WorkerReplaced returns a WorkerReplacedMsg. incarnation is that of the worker's last report.
func WorkerReplaced(worker string, incarnation int64) WorkerReplacedMsg {
	return WorkerReplacedMsg{worker: worker, incarnation: incarnation}
}

// Outcome is the result of an order to a worker or to the platform.
type Outcome int

// The outcomes of an order.
const (
	OutcomeDone    Outcome = iota
	OutcomeRefused         // the order had no effect; for a stop: the run is certainly not on the worker
	OutcomeStale           // the worker already knows this or a later run of the task
	OutcomeUnknown         // no answer; the order may take effect now or later
)

// StartedMsg carries the answer to a StartCmd.
type StartedMsg struct {
	task    hfwork.TaskID
	number  int64
	outcome Outcome
}

// Started returns a StartedMsg.
func Started(c StartCmd, outcome Outcome) StartedMsg {
	return StartedMsg{task: c.task, number: c.number, outcome: outcome}
}

// StoppedMsg carries the answer to a StopCmd.
type StoppedMsg struct {
	task    hfwork.TaskID
	number  int64
	outcome Outcome
}

// Stopped returns a StoppedMsg.
func Stopped(c StopCmd, outcome Outcome) StoppedMsg {
	return StoppedMsg{task: c.task, number: c.number, outcome: outcome}
}

// StoredMsg reports that the contents of a StoreCmd are stored.
type StoredMsg struct {
	sequence uint64
	rejected *RejectedError // records that the store does not accept, nil if there are none
}

// Stored returns a StoredMsg.
func Stored(c StoreCmd) StoredMsg { return StoredMsg{sequence: c.sequence} }

// TickMsg triggers work that depends on the time alone. It is sent at regular
// intervals.
type TickMsg struct{}

// PassMsg triggers a scheduling pass. It is sent after a batch of other messages.
type PassMsg struct{}

func (PolicyMsg) planMsg()         {}
func (WorkersMsg) planMsg()        {}
func (WorkerLeftMsg) planMsg()     {}
func (RosterMsg) planMsg()         {}
func (JobMsg) planMsg()            {}
func (ReportMsg) planMsg()         {}
func (WorkerSilentMsg) planMsg()   {}
func (WorkerReplacedMsg) planMsg() {}
func (StartedMsg) planMsg()        {}
func (StoppedMsg) planMsg()        {}
func (StoredMsg) planMsg()         {}
func (TickMsg) planMsg()           {}
func (PassMsg) planMsg()           {}

// Cmd is an output of Scheduler.Update.
type Cmd interface{ planCmd() }

// StartCmd asks a worker to start a run of a task.
type StartCmd struct {
	worker      string
	incarnation int64
	task        hfwork.TaskID
	number      int64
	command     string
	checkpoint  string
	ticket      string
	priority    uint32
	gang        bool
	suspensions uint64
}

// Priority returns the priority of the job, 0 for the most urgent ones.
func (c StartCmd) Priority() uint32 { return c.priority }

// Gang reports whether the run is that of a member of a gang. All members have the same number.
func (c StartCmd) Gang() bool { return c.gang }

// Ticket returns the ticket for a start from an advised queue, or "".
func (c StartCmd) Ticket() string { return c.ticket }

// Worker returns the worker's id.
func (c StartCmd) Worker() string { return c.worker }

// Incarnation returns the incarnation of the worker on whose report the start was decided.
func (c StartCmd) Incarnation() int64 { return c.incarnation }

// Task returns the task.
func (c StartCmd) Task() hfwork.TaskID { return c.task }

// Number returns the number of the run.
func (c StartCmd) Number() int64 { return c.number }

// Command returns the command that the task runs.
func (c StartCmd) Command() string { return c.command }

// Checkpoint returns the checkpoint to resume from, or "".
func (c StartCmd) Checkpoint() string { return c.checkpoint }

// StopCmd asks a worker to stop a run, and never to start it if the start arrives
// later.
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

// StoreCmd asks to store changed records. It is answered by a StoredMsg. At most one
// StoreCmd is in flight.
type StoreCmd struct {
	sequence uint64
	records  map[string]*hfwork.Progress // by job id
	roster   []*hfwork.Worker            // all workers that may get tasks; nil if unchanged
	waves    []*hfwork.Wave              // changed upkeep waves
}

// Waves returns the upkeep waves that changed.
func (c StoreCmd) Waves() []*hfwork.Wave { return c.waves }

// Roster returns all workers that may get tasks from now on, or nil if the roster
// has not changed.
func (c StoreCmd) Roster() []*hfwork.Worker { return c.roster }

// Records returns the changed progress by job id.
func (c StoreCmd) Records() map[string]*hfwork.Progress { return c.records }

// AckCmd tells a worker that the ends up to a sequence number are stored.
type AckCmd struct {
	worker      string
	incarnation int64
	sequence    int64
}

// Worker returns the worker's id.
func (c AckCmd) Worker() string { return c.worker }

// Incarnation returns the incarnation of the worker that reported the ends.
func (c AckCmd) Incarnation() int64 { return c.incarnation }

// Sequence returns the sequence number of the last stored end.
func (c AckCmd) Sequence() int64 { return c.sequence }

// EndTermCmd asks to end the term: a task has used up its run numbers. The leader resigns, and the next
// one goes on with those of the next term.
type EndTermCmd struct{}

// Note is the kind of a logged decision or state change.
type Note string

// The kinds of notes.
const (
	NoteState       Note = "state"     // a job entered a state
	NotePlaced      Note = "placed"    // tasks of a step were assigned to workers
	NotePreempted   Note = "preempted" // runs were stopped to make room for another job
	NoteRetry       Note = "retry"     // a run ended early or has stalled, and its task is run again
	NoteQuarantined Note = "aside"     // a worker was quarantined
	NoteSilent      Note = "silent"    // a worker stopped reporting
	NoteReporting   Note = "heard"     // a worker reports for the first time or again, or has restarted
	NoteRemoved     Note = "gone"      // a worker was removed
	NoteRecovered   Note = "settled"   // all runs of earlier schedulers are accounted for
	NoteLateEnd     Note = "late-end"  // a worker reported the end of a run after the run was given up
	NoteCrash       Note = "crash"     // a worker crashed, or was lost, under runs
	NoteIsolated    Note = "isolated"  // a task was placed with no other group on its worker
	NoteGaveUp      Note = "gave-up"   // workers crashed under a task as often as they may
	NoteEnded       Note = "ended"     // a job has completed, which cannot be stored at the moment but may be shown
	NoteDeferred    Note = "deferred"  // occurrences of a job are due, but there is no memory for their tasks
)

// NoteCmd asks to log a decision or state change.
type NoteCmd struct {
	note   Note
	job    string
	worker string
	step   uint32
	tasks  int
	reason string

	task    uint32    // index of the task, for NoteRetry, NoteLateEnd, NoteIsolated and NoteGaveUp
	number  int64     // of the run, for NoteRetry, NoteLateEnd and NoteIsolated
	current int64     // number of the task's current run, or 0, for NoteLateEnd
	phase   string    // of the current run, for NoteLateEnd
	expires time.Time // when the leases expire, for NoteSilent

	suspects []hfwork.TaskID // tasks whose runs had just begun, for NoteCrash
	alone    bool            // the lost runs belong to one task or gang, for NoteCrash
}

// Suspects returns the tasks whose runs had just begun on the worker of a NoteCrash.
func (c NoteCmd) Suspects() []hfwork.TaskID { return c.suspects }

// Alone reports whether the worker of a NoteCrash ran one task or gang only.
func (c NoteCmd) Alone() bool { return c.alone }

// Note returns the kind of note.
func (c NoteCmd) Note() Note { return c.note }

// Job returns the id of the job, or "".
func (c NoteCmd) Job() string { return c.job }

// Worker returns the id of the worker, or "".
func (c NoteCmd) Worker() string { return c.worker }

// Step returns the step of the job.
func (c NoteCmd) Step() uint32 { return c.step }

// Tasks returns the number of affected tasks.
func (c NoteCmd) Tasks() int { return c.tasks }

// Reason returns the cause, or the new state for a NoteState.
func (c NoteCmd) Reason() string { return c.reason }

// Task returns the index of the task of a NoteRetry, NoteLateEnd, NoteIsolated or NoteGaveUp.
func (c NoteCmd) Task() uint32 { return c.task }

// Number returns the number of the run of a NoteRetry, NoteLateEnd or NoteIsolated.
func (c NoteCmd) Number() int64 { return c.number }

// Current returns the number of the run that the task of a NoteLateEnd has now, or 0.
func (c NoteCmd) Current() int64 { return c.current }

// Phase returns the phase of the current run of a NoteLateEnd, or "".
func (c NoteCmd) Phase() string { return c.phase }

// Expires returns when the leases of the worker of a NoteSilent expire, or zero if it has
// not reported to this scheduler.
func (c NoteCmd) Expires() time.Time { return c.expires }

func (StartCmd) planCmd() {}
func (StopCmd) planCmd()  {}
func (StoreCmd) planCmd() {}
func (AckCmd) planCmd()   {}
func (NoteCmd) planCmd()  {}

func (EndTermCmd) planCmd() {}

// Nodes returns the registered workers by id.
func (m WorkersMsg) Nodes() map[string]*hfwork.Worker { return m.workers }

// Nodes returns the workers of the roster by id.
func (m RosterMsg) Nodes() map[string]*hfwork.Worker {
	byID := map[string]*hfwork.Worker{}
	for _, w := range m.workers {
		byID[w.GetId()] = w
	}
	return byID
}

// Store returns a StoreCmd. It is meant for tests of the code that carries out
// StoreCmds.
func Store(records map[string]*hfwork.Progress, roster []*hfwork.Worker, waves []*hfwork.Wave) StoreCmd {
	return StoreCmd{records: records, roster: roster, waves: waves}
}
