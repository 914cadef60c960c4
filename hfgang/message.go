package hfgang

import (
	"github.com/heatherfront/heatherfront/hfaccount"
	"github.com/heatherfront/heatherfront/hfwire"
	"github.com/heatherfront/heatherfront/hfworker"
)

// Msg is an input to Scheduler.Update.
type Msg interface{ gangMsg() }

// LoadMsg carries the stored records of the domain at the start of a new epoch.
type LoadMsg struct{ shards []*hfwire.Shard }

// Load returns a LoadMsg. shards[i] is the record of shard i, or nil.
func Load(shards []*hfwire.Shard) LoadMsg { return LoadMsg{shards: shards} }

// AccountsMsg carries the accounts in force.
type AccountsMsg struct{ directory *hfaccount.Directory }

// Accounts returns an AccountsMsg.
func Accounts(directory *hfaccount.Directory) AccountsMsg { return AccountsMsg{directory: directory} }

// FleetMsg carries the workers of the membership list, by name.
type FleetMsg struct{ workers map[string]hfworker.Worker }

// Fleet returns a FleetMsg.
func Fleet(workers map[string]hfworker.Worker) FleetMsg { return FleetMsg{workers: workers} }

// ReportMsg carries the tasks that a worker runs, or reports that the worker is lost.
type ReportMsg struct {
	worker string
	tasks  []*hfwire.Task
	lost   bool
}

// Report returns a ReportMsg.
func Report(worker string, tasks []*hfwire.Task, lost bool) ReportMsg {
	return ReportMsg{worker: worker, tasks: tasks, lost: lost}
}

// FreshMsg reports that the last reports of the named workers are still current: each
// worker was polled within the freshness interval of the Timing, and its tasks have not
// changed.
type FreshMsg struct{ workers []string }

// Fresh returns a FreshMsg.
func Fresh(workers []string) FreshMsg { return FreshMsg{workers: workers} }

// SubmitMsg submits a job.
type SubmitMsg struct {
	token uint64
	job   *hfwire.Job
}

// Submit returns a SubmitMsg. It is answered by a ReplyCmd with the same token.
func Submit(token uint64, job *hfwire.Job) SubmitMsg { return SubmitMsg{token: token, job: job} }

// CancelMsg cancels a job.
type CancelMsg struct {
	token   uint64
	id      string
	account string // "" for operators
	reason  string
}

// Cancel returns a CancelMsg.
func Cancel(token uint64, id, account, reason string) CancelMsg {
	return CancelMsg{token: token, id: id, account: account, reason: reason}
}

// QueryMsg queries job records or the status of the domain.
type QueryMsg struct {
	token uint64
	query *hfwire.Query
}

// Query returns a QueryMsg.
func Query(token uint64, query *hfwire.Query) QueryMsg { return QueryMsg{token: token, query: query} }

// StoredMsg reports that the commit of a shard took effect.
type StoredMsg struct{ shard int }

// Stored returns a StoredMsg.
func Stored(shard int) StoredMsg { return StoredMsg{shard: shard} }

// AnsweredMsg carries a worker's answer to a TaskCmd.
type AnsweredMsg struct {
	verb    Verb
	job     string
	attempt uint32
	index   uint32
	state   string // the task's state, or "" if the worker did not answer
	refused bool   // the worker refused the command
	from    int64  // run time saved by a checkpoint, in milliseconds
}

// Answered returns an AnsweredMsg for a command that the worker executed, refused or
// did not answer.
func Answered(c TaskCmd, state string, refused bool, from int64) AnsweredMsg {
	return AnsweredMsg{verb: c.verb, job: c.job, attempt: c.attempt, index: c.grant.GetIndex(), state: state, refused: refused, from: from}
}

// TickMsg makes the scheduler handle timeouts and other time-based work.
type TickMsg struct{}

func (LoadMsg) gangMsg()     {}
func (AccountsMsg) gangMsg() {}
func (FleetMsg) gangMsg()    {}
func (ReportMsg) gangMsg()   {}
func (FreshMsg) gangMsg()    {}
func (SubmitMsg) gangMsg()   {}
func (CancelMsg) gangMsg()   {}
func (QueryMsg) gangMsg()    {}
func (StoredMsg) gangMsg()   {}
func (AnsweredMsg) gangMsg() {}
func (TickMsg) gangMsg()     {}

// Cmd is an output of Scheduler.Update.
type Cmd interface{ gangCmd() }

// CommitCmd requests that one shard is stored. The scheduler emits no other commit of
// the same shard until it receives StoredMsg.
type CommitCmd struct {
	shard  int
	record *hfwire.Shard
}

// Shard returns the shard's number.
func (c CommitCmd) Shard() int { return c.shard }

// Record returns the value to store.
func (c CommitCmd) Record() *hfwire.Shard { return c.record }

// Verb is the action that a worker performs on a task.
type Verb string

// The verbs of TaskCmd.
const (
	VerbStart      Verb = "start"   // start held: with a lease, throttled to zero
	VerbRelease    Verb = "release" // let a held task run
	VerbCheckpoint Verb = "checkpoint"
	VerbStop       Verb = "stop"
)

// TaskCmd sends a command about one member of a gang to a worker.
type TaskCmd struct {
	verb    Verb
	task    string // task id on the worker
	job     string
	attempt uint32
	size    uint32        // number of members of the gang
	grant   *hfwire.Grant // the member's worker and accelerators
	run     int64         // declared run time, in milliseconds
	from    int64         // run time completed by earlier attempts, in milliseconds
	command string
}

// Verb returns the requested action.
func (c TaskCmd) Verb() Verb { return c.verb }

// Task returns the task's id on the worker.
func (c TaskCmd) Task() string { return c.task }

// Job returns the id of the job.
func (c TaskCmd) Job() string { return c.job }

// Attempt returns the attempt number, starting at 1.
func (c TaskCmd) Attempt() uint32 { return c.attempt }

// Size returns the number of members of the gang.
func (c TaskCmd) Size() uint32 { return c.size }

// Grant returns the worker and accelerators of the member.
func (c TaskCmd) Grant() *hfwire.Grant { return c.grant }

// Run returns the declared run time in milliseconds.
func (c TaskCmd) Run() int64 { return c.run }

// From returns the run time completed by earlier attempts, in milliseconds.
func (c TaskCmd) From() int64 { return c.from }

// Command returns the command that the task runs.
func (c TaskCmd) Command() string { return c.command }

// Code is the result of a submission, cancellation or query.
type Code string

// The codes of ReplyCmd.
const (
	CodeOK         Code = "ok"
	CodeInvalid    Code = "invalid"  // refused; the same submission can never be accepted
	CodeNotFound   Code = "missing"  // no such job
	CodeEnded      Code = "ended"    // the job had ended before the cancellation
	CodeRetryLater Code = "not-now"  // refused; a retry may be accepted later
	CodeUnknown    Code = "unknown"  // the outcome is not known
	CodeConflict   Code = "conflict" // the id belongs to another job
)

// ReplyCmd answers a SubmitMsg, CancelMsg or QueryMsg.
type ReplyCmd struct {
	token   uint64
	code    Code
	reason  string
	jobs    []*hfwire.Job
	explain string
	status  *hfwire.Status
}

// Status returns the status of the domain, or nil if the query did not request it.
func (c ReplyCmd) Status() *hfwire.Status { return c.status }

// Token returns the token of the message that this reply answers.
func (c ReplyCmd) Token() uint64 { return c.token }

// Code returns the result.
func (c ReplyCmd) Code() Code { return c.code }

// Reason returns the reason for a refusal or cancellation.
func (c ReplyCmd) Reason() string { return c.reason }

// Jobs returns copies of the matching records.
func (c ReplyCmd) Jobs() []*hfwire.Job { return c.jobs }

// Explain returns an explanation of the job's current state, if the query requested it.
func (c ReplyCmd) Explain() string { return c.explain }

// ChangedCmd reports that a stored job has a new state.
type ChangedCmd struct{ job *hfwire.Job }

// Job returns a copy of the record.
func (c ChangedCmd) Job() *hfwire.Job { return c.job }

// QuarantineCmd reports that a worker was quarantined, or that its quarantine was
// lifted.
type QuarantineCmd struct {
	worker string
	lifted bool
}

// Worker returns the name of the worker.
func (c QuarantineCmd) Worker() string { return c.worker }

// Lifted reports whether the quarantine was lifted.
func (c QuarantineCmd) Lifted() bool { return c.lifted }

// RevokeCmd sets the attempts whose leases the observers must no longer renew, in place of those
// of the last one. It must be executed before the next message is processed, from which on the
// time until the leases have expired is counted.
type RevokeCmd struct{ gangs map[hfworker.Gang]bool }

// Gangs returns the attempts. The map is never modified.
func (c RevokeCmd) Gangs() map[hfworker.Gang]bool { return c.gangs }

func (CommitCmd) gangCmd()     {}
func (TaskCmd) gangCmd()       {}
func (ReplyCmd) gangCmd()      {}
func (ChangedCmd) gangCmd()    {}
func (QuarantineCmd) gangCmd() {}
func (RevokeCmd) gangCmd()     {}
