package hfgang

import (
	"time"

	"github.com/heatherfront/heatherfront/hfconfig"
	"github.com/heatherfront/heatherfront/hfwire"
	"github.com/heatherfront/heatherfront/hfworker"
)

// The states of a job.
const (
	StateQueued    = "queued"
	StateStarting  = "starting" // members are being started held
	StateRunning   = "running"  // all members were released
	StateStopping  = "stopping" // members are being stopped; the state in the record's Next field follows
	StateDone      = "done"
	StateFailed    = "failed"    // it ran and failed
	StateCancelled = "cancelled" // cancelled by its owner
	StateUnknown   = "unknown"   // a non-idempotent job was lost after its release
)

// maxHistory limits the state changes kept per job. The first one is always kept; the
// oldest of the others are dropped.
const maxHistory = 32

// phase is the leader's view of one member.
type phase int

const (
	phaseRequested phase = iota // a start command was issued
	phaseHeld                   // the worker confirmed the start
	phaseRunning                // the worker confirmed the release
	phaseDone
	phaseFailed
	phaseStopped // confirmed by the worker, or its lease has certainly expired
)

func (p phase) ended() bool { return p >= phaseDone }

// member is one task of a gang, on one worker.
type member struct {
	grant        *hfwire.Grant
	phase        phase
	lastCommand  time.Time // time of the last command, for resending it
	checkpointed bool      // no further answer about the checkpoint is expected
	seenRunning  bool      // a report listed it as running
	refused      bool      // its worker refused the release before the lease can have lapsed
	lost         bool      // its worker was lost and has not reported since
	restarted    bool      // its worker was restarted
	alone        bool      // the worker was lost or restarted right after the release, with no other job on it
}

// plan is a placement whose victims have not all stopped yet. It is not stored: a new
// leader plans again.
type plan struct {
	block     Block
	guarantee *guarantee // the guarantee that it claims, or nil
	victims   []*job
}

// job is a job record together with the leader's in-memory state.
type job struct {
	record             *hfwire.Job
	memory             int64       // bytes counted for it
	commitCopy         *hfwire.Job // copy in the commit in flight
	storedCopy         *hfwire.Job // last stored copy, which callers see; nil before the first commit
	members            []*member
	block              Block // range of its grants; empty if it has none
	plan               *plan
	guarantee          *guarantee      // the guarantee that it claims, or nil
	vacated            []*hfwire.Grant // vacated in the record, not in a commit yet; not available to other jobs
	vacatedInCommit    []*hfwire.Grant // vacated in the commit in flight; not available to other jobs
	deferred           []Cmd           // commands to execute once the record is stored
	deferredInCommit   []Cmd           // commands to execute once the commit in flight is stored
	dirty              bool            // changed since the last commit was built
	inCommit           bool            // included in the commit in flight
	checkpoints        []int64         // progress of the confirmed checkpoints, in milliseconds
	checkpointDeadline time.Time       // end of the wait for checkpoints; zero if none is in progress
	avoidedWorker      string          // last worker that did not start a member
	startDeadline      time.Time       // an incomplete start is aborted at this time
	revoked            bool            // the attempt is among those of the last RevokeCmd
	renewalsEnd        time.Time       // no observer renews the attempt's leases from then on; zero until its RevokeCmd was executed
	resumed            bool            // the attempt was released under an earlier leader
	heldUntil          time.Time       // no lease of a member lapses before; zero if not known
	lostAt             time.Time       // when the first worker of the counted attempt was lost
	counted            bool            // this leader included the attempt in the crashes of the record
	countedEarly       bool            // as an early one
	losses             []loss          // counted attempts whose workers may only have been cut off
	reportsValidFrom   time.Time       // a member missing from a report that is current at this time or later is lost
}

func (j *job) id() string { return j.record.GetId() }

func (j *job) state() string { return j.record.GetState() }

func (j *job) size() int { return int(j.record.GetSize()) }

func (j *job) class() hfconfig.Class { return hfconfig.Class(j.record.GetClass()) }

// nonPreemptible reports whether the job must not be preempted: it claims a guarantee,
// or its kind of work is not preemptible.
func (j *job) nonPreemptible() bool { return j.record.GetClaimed() || !j.record.GetPreemptible() }

// placed reports whether the job holds accelerators.
func (j *job) placed() bool {
	switch j.state() {
	case StateStarting, StateRunning, StateStopping:
		return true
	}
	return false
}

// final reports whether the job is in a final state.
func (j *job) final() bool {
	switch j.state() {
	case StateDone, StateFailed, StateCancelled, StateUnknown:
		return true
	}
	return false
}

// taskID returns the id of a member's task on its worker.
func (j *job) taskID(index uint32) string {
	return hfworker.TaskID(j.id(), j.record.GetAttempt(), index, uint32(len(j.members)))
}

func (j *job) command(verb Verb, m *member) TaskCmd {
	return TaskCmd{
		verb: verb, task: j.taskID(m.grant.GetIndex()), job: j.id(), attempt: j.record.GetAttempt(),
		size: uint32(len(j.members)), grant: m.grant, run: j.record.GetRun(),
		from: j.record.GetAttained(), command: j.record.GetCommand(),
	}
}

// allMembers reports whether the job has members and all of them satisfy a condition.
func (j *job) allMembers(cond func(*member) bool) bool {
	for _, m := range j.members {
		if !cond(m) {
			return false
		}
	}
	return len(j.members) > 0
}

func (j *job) member(index uint32) *member {
	if int(index) >= len(j.members) {
		return nil
	}
	return j.members[index]
}

// enterState sets the state and appends it to the job's history.
func (j *job) enterState(state, reason string, now time.Time) {
	r := j.record
	r.State, r.Reason = state, reason
	r.Steps = append(r.Steps, &hfwire.Step{At: now.UnixMilli(), State: state, Why: reason})
	if len(r.Steps) > maxHistory {
		r.Steps = append(r.Steps[:1], r.Steps[2:]...)
	}
}

func (j *job) setMembers(grants []*hfwire.Grant, p phase) {
	j.members = nil
	for _, g := range grants {
		j.members = append(j.members, &member{grant: g, phase: p})
	}
}
