// Package hfwork defines the data types that the other packages share: jobs, the
// configuration of queues, and worker reports. The types generated from work.proto are
// also the stored records.
package hfwork

import "github.com/rotisserie/eris"

// The states of a job.
const (
	StateQueued    = "queued"
	StateRunning   = "running"
	StateCompleted = "completed"
	StateFailed    = "failed"
	StateCancelled = "cancelled"
)

// IsFinal reports whether a job in this state never changes again.
func IsFinal(state string) bool {
	return state == StateCompleted || state == StateFailed || state == StateCancelled
}

// ErrInvalidJob is returned for an invalid job, which is not accepted at any later time either.
var ErrInvalidJob = eris.New("job cannot be accepted")

// TaskID identifies one task of one occurrence of a job.
type TaskID struct {
	job                     string
	occurrence, step, index uint32
}

// NewTaskID returns the id of a task.
func NewTaskID(job string, occurrence, step, index uint32) TaskID {
	return TaskID{job: job, occurrence: occurrence, step: step, index: index}
}

// Job returns the id of the job.
func (t TaskID) Job() string { return t.job }

// Occurrence returns the number of the occurrence, 0 for a job that is not repeated.
func (t TaskID) Occurrence() uint32 { return t.occurrence }

// Step returns the index of the step in the job.
func (t TaskID) Step() uint32 { return t.step }

// Index returns the index of the task in its step.
func (t TaskID) Index() uint32 { return t.index }

// EndReason is the reason why a run ended.
type EndReason string

// Reasons why a run ended.
const (
	Done         EndReason = "done"
	Failed       EndReason = "failed"  // the task or its worker failed
	Stopped      EndReason = "stopped" // stopped by an order of the scheduler
	LeaseExpired EndReason = "lapsed"  // its lease expired
	GangBroken   EndReason = "broken"  // another task of its gang ended
	GangTimeout  EndReason = "alone"   // timed out waiting for the rest of its gang
)

// Run is a run in progress, as its worker reports it.
type Run struct {
	task       TaskID
	number     int64
	checkpoint string  // latest checkpoint, or ""
	progress   int64   // percent of its work done, or of its startup for a lasting task
	load       float64 // tail latency in milliseconds for a serving task, otherwise millicores in use
}

// NewRun returns a run in progress. checkpoint is the latest one, or "".
func NewRun(task TaskID, number int64, checkpoint string, progress int64, load float64) Run {
	return Run{task: task, number: number, checkpoint: checkpoint, progress: progress, load: load}
}

// Task returns the task that runs.
func (r Run) Task() TaskID { return r.task }

// Number returns the number of the run.
func (r Run) Number() int64 { return r.number }

// Checkpoint returns the latest checkpoint, or "".
func (r Run) Checkpoint() string { return r.checkpoint }

// Progress returns the percentage of the work that is done. For a lasting task it is the
// percentage of its startup; at 100 the task is up.
func (r Run) Progress() int64 { return r.progress }

// Load returns the tail latency of a serving task in milliseconds, otherwise the CPU in use
// in millicores.
func (r Run) Load() float64 { return r.load }

// End is a run that has ended.
type End struct {
	sequence   int64
	task       TaskID
	number     int64
	reason     EndReason
	checkpoint string
}

// NewEnd returns the end of a run. sequence numbers the ends since the start of the worker.
func NewEnd(sequence int64, task TaskID, number int64, reason EndReason, checkpoint string) End {
	return End{sequence: sequence, task: task, number: number, reason: reason, checkpoint: checkpoint}
}

// Sequence returns the number of this end since the start of the worker.
func (e End) Sequence() int64 { return e.sequence }

// Task returns the task whose run ended.
func (e End) Task() TaskID { return e.task }

// Number returns the number of the run.
func (e End) Number() int64 { return e.number }

// Reason returns the reason why the run ended.
func (e End) Reason() EndReason { return e.reason }

// Checkpoint returns the checkpoint from which the task can resume, or "".
func (e End) Checkpoint() string { return e.checkpoint }

// Report is a worker's report of its runs.
type Report struct {
	clock       int64 // milliseconds on the worker's clock
	incarnation int64 // start of the worker in Unix milliseconds
	running     []Run
	ended       []End // not acknowledged yet, sorted by sequence
	incomplete  bool  // a run that is in neither list may be in progress, or have ended
	rejected    []error
	address     string // at which the worker answered
	closed      bool   // the worker closed the connection with it
}

// NewReport returns a report. clock is the time on the worker's clock in milliseconds,
// incarnation its start in Unix milliseconds, and ended the ends not acknowledged yet.
func NewReport(clock, incarnation int64, running []Run, ended []End) Report {
	return Report{clock: clock, incarnation: incarnation, running: running, ended: ended}
}

// WithRejected returns a copy of the report with the reasons why rows of it, or parts of them,
// cannot be read. incomplete is set if a run that it does not list may be in progress, or have
// ended in a way that is not known yet.
func (r Report) WithRejected(rejected []error, incomplete bool) Report {
	r.rejected, r.incomplete = rejected, incomplete
	return r
}

// AnsweredAt returns a copy of the report with the address at which the worker answered.
func (r Report) AnsweredAt(address string) Report {
	r.address = address
	return r
}

// WithConnectionClosed returns a copy of the report with whether the worker closed its connection with it.
func (r Report) WithConnectionClosed(closed bool) Report {
	r.closed = closed
	return r
}

// ConnectionClosed reports whether the worker closed its connection with the report.
func (r Report) ConnectionClosed() bool { return r.closed }

// Address returns the address at which the worker answered.
func (r Report) Address() string { return r.address }

// Incomplete reports whether a run that is in neither list may be in progress, or have ended in a
// way that is not known yet.
func (r Report) Incomplete() bool { return r.incomplete }

// Rejected returns why rows of the report, or parts of them, cannot be read.
func (r Report) Rejected() []error { return r.rejected }

// Clock returns the time of the report on the worker's clock in milliseconds.
func (r Report) Clock() int64 { return r.clock }

// Incarnation returns the start of the worker in Unix milliseconds, which differs in each of its
// incarnations.
func (r Report) Incarnation() int64 { return r.incarnation }

// Running returns the runs in progress.
func (r Report) Running() []Run { return r.running }

// Ended returns the ends that are not acknowledged yet, sorted by sequence.
func (r Report) Ended() []End { return r.ended }
