package hfentry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/heatherfront/heatherfront/hflease"
	"github.com/heatherfront/heatherfront/hfloop"
	"github.com/heatherfront/heatherfront/hforder"
	"github.com/heatherfront/heatherfront/hfplan"
	"github.com/heatherfront/heatherfront/hfwork"
)

// ErrNoAccount reports an account that the configuration does not have.
var ErrNoAccount = eris.New("no such account")

// whereID is the id of a job that is asked about without one. It comes after others that are alike.
const whereID = "ffffffffffffffff"

// NotLeadingError reports that another instance leads, or that none is known to.
type NotLeadingError struct {
	leader, address string // "" if none is known
}

// Leader returns the name of the leader, or "".
func (e *NotLeadingError) Leader() string { return e.leader }

// Address returns the address at which other instances reach the leader, or "".
func (e *NotLeadingError) Address() string { return e.address }

// Error implements error.
func (e *NotLeadingError) Error() string {
	if e.leader == "" {
		return "no instance is known to lead"
	}
	return fmt.Sprintf("%s leads (other instances reach it at %s)", e.leader, e.address)
}

// WhereTarget names a queue, by name or by the host and path of a call, and the account of a caller.
type WhereTarget struct {
	Queue, Host, Path, Account string
}

// WhereReply tells where a job would go now, or how its submission would be refused by this instance.
type WhereReply struct {
	Instance string              `json:"instance"`
	Refused  error               `json:"-"` // nil if it would be accepted
	Policy   int64               `json:"policy"`
	Ages     WhereAges           `json:"ages"`
	Answer   *hfplan.WhereAnswer `json:"answer,omitempty"` // nil if it would be refused
}

// WhereAges are the ages in milliseconds of what an answer is based on. Runs and free room are those of
// the workers' last reports.
type WhereAges struct {
	Policy  int64 `json:"policy_ms"`
	Records int64 `json:"records_ms"`
	Workers int64 `json:"workers_ms"` // list of registered workers
}

// Where tells where a job would go if it were submitted now. Nothing is stored or sent. It fails with
// ErrNotReady, ErrNoQueue, ErrNoAccount, hfwork.ErrInvalidJob, a NotLeadingError or the errors of hforder.Leader.Where.
func (n *Node) Where(ctx context.Context, t WhereTarget, job *hfwork.Job) (WhereReply, error) {
	policy := hfloop.With(n.mirror, func(m *Mirror) *policyIndex { return m.policy })
	if policy == nil {
		return WhereReply{}, ErrNotReady
	}
	queue := policy.queuesByName[t.Queue]
	if t.Queue == "" {
		queue, _ = policy.matchQueue(t.Host, t.Path)
	}
	if queue == nil {
		return WhereReply{}, ErrNoQueue
	}
	if t.Account != "" && !policy.hasAccount(t.Account) {
		return WhereReply{}, fmt.Errorf("%w: %q", ErrNoAccount, t.Account)
	}
	job.Queue, job.Account, job.Policy, job.Received = queue.GetName(), t.Account, policy.config.GetVersion(), time.Now().UnixMilli()
	job.Settings = queue
	if job.GetId() == "" {
		job.Id = whereID
	}
	if err := hfwork.ValidateJob(job); err != nil {
		return WhereReply{}, fmt.Errorf("where: %w", err)
	}
	l := n.leader.Load()
	if l == nil {
		lead := hfloop.With(n.mirror, func(m *Mirror) *hfwork.Lead { return m.lead })
		return WhereReply{}, &NotLeadingError{leader: lead.GetInstance(), address: lead.GetAddress()}
	}
	now := hflease.Now()
	r := WhereReply{Instance: n.name, Policy: policy.config.GetVersion(), Ages: WhereAges{
		Policy: n.policyWatch.age(now).Milliseconds(), Records: n.recordWatch.age(now).Milliseconds(), Workers: n.workerWatch.age(now).Milliseconds(),
	}}
	if err := n.wouldRefuse(job); err != nil {
		if errors.Is(err, hfwork.ErrInvalidJob) {
			return WhereReply{}, fmt.Errorf("where: %w", err)
		}
		r.Refused = err
		return r, nil
	}
	answer, err := l.Where(ctx, job)
	if errors.Is(err, hforder.ErrLeadershipEnded) {
		return WhereReply{}, fmt.Errorf("where: %w: %w", &NotLeadingError{}, err)
	}
	if err != nil {
		return WhereReply{}, fmt.Errorf("where: %w", err)
	}
	r.Answer = &answer
	return r, nil
}

// wouldRefuse returns the error with which a submission would fail now, as there is no memory for it or the store takes
// no calls, or nil.
func (n *Node) wouldRefuse(job *hfwork.Job) error {
	size := hfwork.Footprint(job)
	err := hfloop.With(n.mirror, func(m *Mirror) error {
		switch {
		case !m.memory.Possible(size):
			return fmt.Errorf("%w: it needs %d bytes of memory, more than the %d of one account", hfwork.ErrInvalidJob, size, m.memory.Limit()/2)
		case !m.memory.Fits(m.memoryOwner(job), size):
			return fmt.Errorf("%w: there is no memory for another %d bytes", ErrTooManyJobs, size)
		}
		return nil
	})
	if err == nil && n.health.Down() {
		return ErrNotDone
	}
	return err
}

// hasAccount reports whether the configuration has an account.
func (p *policyIndex) hasAccount(name string) bool {
	for _, a := range p.config.GetAccounts() {
		if a.GetName() == name {
			return true
		}
	}
	return false
}
