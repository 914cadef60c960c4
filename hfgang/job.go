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
	StateStarting  = "starting" // members are started held
	StateRunning   = "running"  // released as a whole
	StateStopping  = "stopping" // members are being stopped; Job.next follows
	StateDone      = "done"
	StateFailed    = "failed"    // it ran and failed
	StateCancelled = "cancelled" // by its owner
	StateUnknown   = "unknown"   // a non-idempotent job was lost after its release
)

// maxHistory bounds the history lines kept of one job; the oldest middle ones go.
const maxHistory = 32

// phase is what the leader knows of one member.
type phase int

const (
	phaseRequested phase = iota // a start was asked for
	phaseHeld                   // the worker confirmed the start
	phaseRunning                // the worker confirmed the release
	phaseDone
	phaseFailed
	phaseStopped // confirmed by the worker, or lapsed for certain
)

func (p phase) ended() bool { return p >= phaseDone }

type member struct {
	grant        *hfwire.Grant
	phase        phase
	lastCommand  time.Time // last command, for repeats
	checkpointed bool      // a checkpoint was confirmed or given up
}

// plan is a decided placement whose victims have not all stopped yet. It is not
// stored: after a change of leader it is decided anew.
type plan struct {
	block     Block
	guarantee *guarantee // the guarantee that it claims, or nil
	victims   []*job
}

// job is a record with what the leader knows beyond it.
type job struct {
	record             *hfwire.Job
	commitCopy         *hfwire.Job // the copy in the commit under way
	storedCopy         *hfwire.Job // the copy stored last, which callers are told; nil before the first commit
	members            []*member
	block              Block // where its grants lie; empty when it has none
	plan               *plan
	guarantee          *guarantee      // the guarantee in which it runs, or nil
	vacated            []*hfwire.Grant // given up in the record, not stored yet; nobody else may have them
	vacatedInCommit    []*hfwire.Grant // given up in the commit under way
	deferred           []Cmd           // to be done once the record is stored
	deferredInCommit   []Cmd           // to be done once the commit under way is stored
	dirty              bool            // changed since the last commit was built
	inCommit           bool            // part of the commit under way
	checkpoints        []int64         // progress of the checkpoints confirmed
	checkpointDeadline time.Time       // checkpoints are waited for until then; zero when none is under way
	avoidedWorker      string          // worker that did not start a member last
	startDeadline      time.Time       // a start that is not complete by then is given up
	reportsValidFrom   time.Time       // from here on a member missing from a report is lost
}

func (j *job) id() string { return j.record.GetId() }

func (j *job) state() string { return j.record.GetState() }

func (j *job) size() int { return int(j.record.GetSize()) }

func (j *job) class() hfconfig.Class { return hfconfig.Class(j.record.GetClass()) }

// nonPreemptible tells whether the job must not be preempted: it claims a guarantee, or
// its kind of work is not preemptible.
func (j *job) nonPreemptible() bool { return j.record.GetClaimed() || !j.record.GetPreemptible() }

// placed tells whether the job holds accelerators.
func (j *job) placed() bool {
	switch j.state() {
	case StateStarting, StateRunning, StateStopping:
		return true
	}
	return false
}

func (j *job) final() bool {
	switch j.state() {
	case StateDone, StateFailed, StateCancelled, StateUnknown:
		return true
	}
	return false
}

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

// allMembers tells whether all members satisfy a condition.
func (j *job) allMembers(is func(*member) bool) bool {
	for _, m := range j.members {
		if !is(m) {
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

// enterState sets a state and records it in the job's history.
func (j *job) enterState(state, why string, now time.Time) {
	r := j.record
	r.State, r.Reason = state, why
	r.Steps = append(r.Steps, &hfwire.Step{At: now.UnixMilli(), State: state, Why: why})
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
