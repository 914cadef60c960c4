package hfgang

import (
	"github.com/heatherfront/heatherfront/hfaccount"
	"github.com/heatherfront/heatherfront/hfwire"
	"github.com/heatherfront/heatherfront/hfworker"
)

// Msg is an input of Scheduler.
type Msg interface{ gangMsg() }

// LoadMsg brings the stored records of the domain under a new epoch.
type LoadMsg struct{ shards []*hfwire.Shard }

// Load returns a LoadMsg. shards[i] is the record of shard i, or nil.
func Load(shards []*hfwire.Shard) LoadMsg { return LoadMsg{shards: shards} }

// AccountsMsg brings the accounts in force.
type AccountsMsg struct{ book *hfaccount.Book }

// Accounts returns a BookMsg.
func Accounts(book *hfaccount.Book) AccountsMsg { return AccountsMsg{book: book} }

// FleetMsg brings the workers of the membership list.
type FleetMsg struct{ workers map[string]hfworker.Worker }

// Fleet returns a WorkersMsg.
func Fleet(workers map[string]hfworker.Worker) FleetMsg { return FleetMsg{workers: workers} }

// ReportMsg brings what a worker runs, or that it is lost.
type ReportMsg struct {
	worker string
	tasks  []*hfwire.Task
	lost   bool
}

// Report returns a ReportMsg.
func Report(worker string, tasks []*hfwire.Task, lost bool) ReportMsg {
	return ReportMsg{worker: worker, tasks: tasks, lost: lost}
}

// FreshMsg tells that the last reports of some workers still show what they run: they
// were heard of within the freshness of the Timing, and nothing changed.
type FreshMsg struct{ workers []string }

// Seen returns a SeenMsg.
func Seen(workers []string) FreshMsg { return FreshMsg{workers: workers} }

// SubmitMsg asks to accept a job.
type SubmitMsg struct {
	token uint64
	job   *hfwire.Job
}

// Submit returns a SubmitMsg. The ReplyCmd with the same token answers it.
func Submit(token uint64, job *hfwire.Job) SubmitMsg { return SubmitMsg{token: token, job: job} }

// CancelMsg asks to cancel a job.
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

// QueryMsg asks for job records.
type QueryMsg struct {
	token uint64
	query *hfwire.Query
}

// Query returns a QueryMsg.
func Query(token uint64, query *hfwire.Query) QueryMsg { return QueryMsg{token: token, query: query} }

// StoredMsg tells that a commit took effect.
type StoredMsg struct{ shard int }

// Stored returns a StoredMsg.
func Stored(shard int) StoredMsg { return StoredMsg{shard: shard} }

// AnsweredMsg brings a worker's answer to a command about one member.
type AnsweredMsg struct {
	verb    Verb
	job     string
	attempt uint32
	index   uint32
	state   string // the task's state, or "" when the worker gave no answer
	refused bool   // the worker answered that it does not do so
	from    int64  // milliseconds of run time kept by a checkpoint
}

// Answered returns a TaskMsg for a command that the worker carried out or refused.
func Answered(c TaskCmd, state string, refused bool, from int64) AnsweredMsg {
	return AnsweredMsg{verb: c.verb, job: c.job, attempt: c.attempt, index: c.grant.GetIndex(), state: state, refused: refused, from: from}
}

// TickMsg lets time pass.
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

// Cmd is an output of Scheduler.
type Cmd interface{ gangCmd() }

// CommitCmd asks to store one shard. The next commit of the shard comes after
// StoredMsg.
type CommitCmd struct {
	shard  int
	record *hfwire.Shard
}

// Shard returns the shard's number.
func (c CommitCmd) Shard() int { return c.shard }

// Record returns the value to store.
func (c CommitCmd) Record() *hfwire.Shard { return c.record }

// Verb is what a worker is asked to do with a task.
type Verb string

// The verbs of TaskCmd.
const (
	VerbStart      Verb = "start"   // held: leased and throttled to nothing
	VerbRelease    Verb = "release" // let it run
	VerbCheckpoint Verb = "checkpoint"
	VerbStop       Verb = "stop"
)

// TaskCmd asks a worker to act on one member of a gang.
type TaskCmd struct {
	verb    Verb
	task    string // id on the worker
	job     string
	attempt uint32
	size    uint32 // members of the gang
	grant   *hfwire.Grant
	run     int64 // milliseconds
	from    int64 // milliseconds already done
	command string
}

// Verb returns what is asked.
func (c TaskCmd) Verb() Verb { return c.verb }

// Task returns the task's id on the worker.
func (c TaskCmd) Task() string { return c.task }

// Job returns the job's id.
func (c TaskCmd) Job() string { return c.job }

// Attempt returns the attempt, counted from 1.
func (c TaskCmd) Attempt() uint32 { return c.attempt }

// Size returns the number of members of the gang.
func (c TaskCmd) Size() uint32 { return c.size }

// Grant returns the accelerators.
func (c TaskCmd) Grant() *hfwire.Grant { return c.grant }

// Run returns the declared run time in milliseconds.
func (c TaskCmd) Run() int64 { return c.run }

// From returns the run time already done, in milliseconds.
func (c TaskCmd) From() int64 { return c.from }

// Command returns what the task runs.
func (c TaskCmd) Command() string { return c.command }

// Code tells how a submission, cancellation or query ended.
type Code string

// The codes of ReplyCmd.
const (
	CodeOK      Code = "ok"
	CodeInvalid Code = "invalid"  // refused; it will never be accepted so
	CodeMissing Code = "missing"  // no such job
	CodeEnded   Code = "ended"    // the job had ended before the cancellation
	CodeNotNow  Code = "not-now"  // refused; the same may be accepted later
	CodeUnknown Code = "unknown"  // the effect is not known
	CodeDenied  Code = "conflict" // the id belongs to another job
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

// Status returns the state of the domain, if it was asked for.
func (c ReplyCmd) Status() *hfwire.Status { return c.status }

// Token returns the token of the message answered.
func (c ReplyCmd) Token() uint64 { return c.token }

// Code returns how it ended.
func (c ReplyCmd) Code() Code { return c.code }

// Reason returns the reason of a refusal.
func (c ReplyCmd) Reason() string { return c.reason }

// Jobs returns copies of the records asked for.
func (c ReplyCmd) Jobs() []*hfwire.Job { return c.jobs }

// Explain returns why a job waits.
func (c ReplyCmd) Explain() string { return c.explain }

// ChangedCmd tells that a job entered a new state.
type ChangedCmd struct{ job *hfwire.Job }

// Job returns a copy of the record.
func (c ChangedCmd) Job() *hfwire.Job { return c.job }

// QuarantineCmd tells that a worker was set aside, or taken back.
type QuarantineCmd struct {
	worker string
	lifted bool
}

// Worker returns the worker's name.
func (c QuarantineCmd) Worker() string { return c.worker }

// Lifted tells whether the worker takes work again.
func (c QuarantineCmd) Lifted() bool { return c.lifted }

func (CommitCmd) gangCmd()     {}
func (TaskCmd) gangCmd()       {}
func (ReplyCmd) gangCmd()      {}
func (ChangedCmd) gangCmd()    {}
func (QuarantineCmd) gangCmd() {}
