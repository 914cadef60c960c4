package hfentry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/heatherfront/heatherfront/hfbudget"
	"github.com/heatherfront/heatherfront/hfcost"
	"github.com/heatherfront/heatherfront/hfloop"
	"github.com/heatherfront/heatherfront/hfplan"
	"github.com/heatherfront/heatherfront/hfwork"
)

// Each instance must be able to hold the records of all jobs, and each may become the leader and
// hold their tasks. So the smallest one decides how much the jobs may take together. All instances
// decide on the entries and jobs in the store, so that they come to the same result, but for jobs
// that they accept at the same moment.
const (
	acceptedShare = 6 // accepted jobs may take 1/acceptedShare of the memory of the smallest instance
	loadedShare   = 3 // tasks that a leader has loaded may take 1/loadedShare; see hfbudget for why it is twice as much
	// defaultMemoryMB counts if no instance has a memory limit: what a process may use for control.
	defaultMemoryMB = 128
	// memoryRetryAfter is when a submission may be repeated for which there was no memory, unless its
	// objective asks for less. Most jobs end within this time.
	memoryRetryAfter = 10 * time.Second
)

// limitMemory sets how much memory the jobs may take.
func (m *Mirror) limitMemory() {
	smallest := int64(0)
	for _, inst := range m.instances {
		if mb := inst.GetMemory(); mb > 0 && (smallest == 0 || mb < smallest) {
			smallest = mb
		}
	}
	if smallest == 0 {
		smallest = defaultMemoryMB
	}
	m.memory.SetLimit(smallest << 20 / acceptedShare)
}

// loadableMemory returns how much memory the tasks may take that a leader has loaded.
func (m *Mirror) loadableMemory() int64 { return m.memory.Limit() * acceptedShare / loadedShare }

// countMemory counts the memory of a job anew, after a change of its record. Of a job that has ended,
// only what callers may still ask for is kept.
func (m *Mirror) countMemory(r *jobRecord) {
	m.forgetMemory(r)
	if r.job == nil {
		return
	}
	r.owner, r.memory, r.recorded = m.memoryOwner(r.job), hfwork.Footprint(r.job), hfwork.RecordFootprint(r.job)
	if hfwork.IsFinal(r.progress.GetState()) {
		r.memory, r.recorded = hfwork.EndedFootprint, hfwork.EndedFootprint
		r.job = &hfwork.Job{
			Id: r.job.GetId(), Queue: r.job.GetQueue(), Account: r.job.GetAccount(), Policy: r.job.GetPolicy(),
			Settings: &hfwork.Queue{Priority: r.job.GetSettings().GetPriority()},
		}
	}
	m.memory.Add(r.owner, r.memory)
	m.recorded += r.recorded
}

// forgetMemory counts the memory of a job no longer.
func (m *Mirror) forgetMemory(r *jobRecord) {
	m.memory.Add(r.owner, -r.memory)
	m.recorded -= r.recorded
	r.owner, r.memory, r.recorded = hfbudget.Owner{}, 0, 0
}

// jobMemory returns how much memory the jobs take at most: their records, and at the leader the tasks that it has
// loaded.
func (m *Mirror) jobMemory(leads bool) int64 {
	if !leads {
		return m.recorded
	}
	return m.recorded + min(m.memory.Total()-m.recorded, m.loadableMemory())
}

// memoryOwner returns for whom the memory of a job is counted.
func (m *Mirror) memoryOwner(job *hfwork.Job) hfbudget.Owner {
	return hfbudget.NewOwner(m.accounts.owner(job.GetAccount(), job.GetPolicy()), job.GetSettings().GetPriority() == 0)
}

// removeJob removes the record of a job.
func (m *Mirror) removeJob(id string) {
	if r := m.jobs[id]; r != nil {
		m.forgetMemory(r)
		delete(m.jobs, id)
	}
}

// reserveMemory counts the memory of a job that is being stored, until release is called. It fails
// with ErrTooManyJobs, or with hfwork.ErrInvalidJob if the job would not fit alone either.
func (n *Node) reserveMemory(job *hfwork.Job) (release func(), err error) {
	size := hfwork.Footprint(job)
	owner, err := hfloop.With2(n.mirror, func(m *Mirror) (hfbudget.Owner, error) {
		owner := m.memoryOwner(job)
		switch {
		case !m.memory.Possible(size):
			return owner, fmt.Errorf("%w: it needs %d bytes of memory, more than the %d of one account", hfwork.ErrInvalidJob, size, m.memory.Limit()/2)
		case !m.memory.Fits(owner, size):
			return owner, &refusedError{
				cause:      fmt.Errorf("%w: there is no memory for another %d bytes", ErrTooManyJobs, size),
				retryAfter: n.memoryRetryAfter(job, time.Now()),
			}
		}
		m.memory.Add(owner, size)
		return owner, nil
	})
	if err != nil {
		return nil, fmt.Errorf("reserve memory: %w", err)
	}
	return func() {
		hfloop.With(n.mirror, func(m *Mirror) struct{} {
			m.memory.Add(owner, -size)
			return struct{}{}
		})
	}, nil
}

// refuse returns the result of a submission for which there is no memory: nil if the job is stored
// already, although the mirror does not know it yet, ErrIDTaken or ErrEffectUnknown, and otherwise the
// given cause.
func (n *Node) refuse(ctx context.Context, a Access, id string, cause error) error {
	err := n.resolveConflict(ctx, a, id)
	switch {
	case errors.Is(err, ErrWithdrawn): // no job is stored
		return fmt.Errorf("submit: %w", cause)
	case err != nil:
		return fmt.Errorf("without memory: %w", err)
	}
	return nil
}

// refusedError refuses a job for want of room, and knows when its caller should come back.
type refusedError struct {
	cause      error
	retryAfter time.Duration
}

func (e *refusedError) Error() string { return e.cause.Error() }
func (e *refusedError) Unwrap() error { return e.cause }

// memoryRetryAfter returns when the submission of a job for which there is no memory may be repeated.
func (n *Node) memoryRetryAfter(job *hfwork.Job, now time.Time) time.Duration {
	q := job.GetSettings()
	if n.order == hfplan.BySize || q.GetStretch() <= 0 || job.GetTimes() > 0 {
		return memoryRetryAfter
	}
	chain := hfwork.Chain(job)
	objective := hfcost.NewObjective(q.GetStretch(), time.Duration(q.GetObjective())*time.Millisecond)
	c := hfcost.NewClaim(q.GetPriority(), now, 0).WithObjective(objective, chain, chain)
	return hfcost.RetryAfter(c, job.GetId(), memoryRetryAfter, now)
}

// RetryAfter returns when a call that failed may be repeated.
func (n *Node) RetryAfter(err error) time.Duration {
	var refused *refusedError
	if errors.As(err, &refused) {
		return refused.retryAfter
	}
	if errors.Is(err, ErrTooManyJobs) {
		return memoryRetryAfter
	}
	if outage := (*OutageError)(nil); errors.As(err, &outage) {
		return time.Until(outage.retryAt)
	}
	return n.health.RetryAfter(time.Now())
}
