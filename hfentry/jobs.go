package hfentry

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/heatherfront/heatherfront/hfevent"
	"github.com/heatherfront/heatherfront/hflease"
	"github.com/heatherfront/heatherfront/hfloop"
	"github.com/heatherfront/heatherfront/hfstore"
	"github.com/heatherfront/heatherfront/hfwire"
	"github.com/heatherfront/heatherfront/hfwork"
)

var (
	// ErrNotReady reports that the instance has no configuration yet.
	ErrNotReady = eris.New("the configuration is not loaded")
	// ErrNoQueue reports that no queue serves the host and path.
	ErrNoQueue = eris.New("no such queue")
	// ErrUnknownKey reports that the caller's key is missing or not valid.
	ErrUnknownKey = eris.New("unknown key")
	// ErrNoJob reports that the job does not exist or belongs to another account or queue.
	ErrNoJob = eris.New("no such job")
	// ErrWithdrawn reports a submission of a job that its caller has cancelled before.
	ErrWithdrawn = eris.New("the job was cancelled before it was stored")
	// ErrIDTaken reports a submission whose id a job of another account or queue has. Workers know
	// tasks by the id of their job, so that both cannot run.
	ErrIDTaken = eris.New("another job has this id")
	// ErrTooManyJobs reports that the jobs of the account take as much memory as they may. The job was
	// not accepted; it may be once others have ended.
	ErrTooManyJobs = eris.New("too many jobs")
	// ErrNotDone reports that a call had no effect because the store takes no calls at the
	// moment. It may be accepted later.
	ErrNotDone = eris.New("not done: the store takes no calls")
	// ErrEffectUnknown reports that the effect of a call is not known. The call may be repeated.
	ErrEffectUnknown = eris.New("effect not known")
)

const (
	// storeTimeout bounds a call of the store. The store normally answers within
	// milliseconds; after this time a caller is better served by another instance.
	storeTimeout  = 1200 * time.Millisecond
	readBackPause = 30 * time.Millisecond // before a key is read back after an unanswered write
)

// Access is the result of admitting a request: the queue and account it may act for.
type Access struct {
	queue   *hfwork.Queue
	account string // "" if the queue is open and the request has no key
	rest    string // path after the queue's prefix
	policy  int64  // version of the configuration that admitted the request
}

// NewAccess returns the access to a queue for a caller of an account. rest is the path after the
// queue's prefix.
func NewAccess(queue *hfwork.Queue, account, rest string) Access {
	return Access{queue: queue, account: account, rest: rest}
}

// Queue returns the queue.
func (a Access) Queue() *hfwork.Queue { return a.queue }

// Rest returns the path after the queue's prefix.
func (a Access) Rest() string { return a.rest }

// Account returns the client account of the caller.
func (a Access) Account() string { return a.account }

// Admit finds the queue that serves a request and checks the request's key. It fails with
// ErrNotReady, ErrNoQueue or ErrUnknownKey.
func (n *Node) Admit(host, path, key string) (Access, error) {
	policy := hfloop.With(n.mirror, func(m *Mirror) *policyIndex { return m.policy })
	if policy == nil {
		return Access{}, ErrNotReady
	}
	queue, rest := policy.matchQueue(host, path)
	if queue == nil {
		return Access{}, ErrNoQueue
	}
	account, known := policy.accountsByKey[key]
	if !queue.GetOpen() && !known {
		return Access{}, ErrUnknownKey
	}
	a := NewAccess(queue, account, rest)
	a.policy = policy.config.GetVersion()
	return a, nil
}

// MaxBody returns the size limit of request bodies in bytes.
func (n *Node) MaxBody() int64 {
	return hfloop.With(n.mirror, func(m *Mirror) int64 {
		if m.policy == nil || m.policy.config.GetBody() <= 0 {
			return defaultMaxBody
		}
		return m.policy.config.GetBody()
	})
}

// defaultMaxBody is the size limit of request bodies in bytes if the configuration has none.
const defaultMaxBody = 1 << 18

// Submit stores a job. It does nothing if the job was submitted before. It fails with
// hfwork.ErrInvalidJob if the job is invalid, ErrTooManyJobs if there is no memory for it, ErrIDTaken
// if another job has its id, ErrWithdrawn if it was cancelled, ErrNotDone if it was not accepted and
// never runs, or ErrEffectUnknown.
func (n *Node) Submit(ctx context.Context, a Access, job *hfwork.Job) error {
	job.Queue, job.Account, job.Policy, job.Received = a.queue.GetName(), a.account, a.policy, time.Now().UnixMilli()
	job.Settings = a.queue
	if err := hfwork.ValidateJob(job); err != nil {
		return fmt.Errorf("submit: %w", err)
	}
	if r := n.cachedJob(job.GetId()); r != nil && r.job != nil {
		return n.checkSame(a, r.job)
	}
	release, err := n.reserveMemory(job)
	if err != nil {
		return n.refuse(ctx, a, job.GetId(), err)
	}
	defer release()
	value, err := hfwire.Encode(job)
	if err != nil {
		return fmt.Errorf("submit: %w", err)
	}
	withdrawn := withdrawalKey(job.GetId(), &hfwork.Withdrawal{Queue: job.GetQueue(), Account: job.GetAccount()})
	stored, err := n.createKey(ctx, jobPrefix+job.GetId(), value, withdrawn)
	if errors.Is(err, ErrNotDone) {
		err = n.hold(ctx, a.queue, longestEstimate(job), int64(len(value)), err, func() error {
			var err error
			stored, err = n.createKey(ctx, jobPrefix+job.GetId(), value, withdrawn)
			return err
		})
	}
	if errors.Is(err, hfstore.ErrConflict) {
		return n.resolveConflict(ctx, a, job.GetId())
	}
	if err != nil {
		return fmt.Errorf("submit: %w", err)
	}
	n.applyItem(stored)
	n.queueHint(stored)
	if !bytes.Equal(stored.Value(), value) { // read back, and submitted before
		return n.resolveConflict(ctx, a, job.GetId())
	}
	return nil
}

// longestEstimate returns the longest declared run time of a job's steps.
func longestEstimate(job *hfwork.Job) time.Duration {
	longest := int64(0)
	for _, s := range job.GetSteps() {
		longest = max(longest, s.GetEstimate())
	}
	return time.Duration(longest) * time.Millisecond
}

// checkSame returns the result of a submission whose id a stored job has: nil if that is the
// caller's in the same queue, and otherwise ErrIDTaken.
func (n *Node) checkSame(a Access, stored *hfwork.Job) error {
	if stored.GetQueue() != a.queue.GetName() || !n.owns(a, stored) {
		return fmt.Errorf("submit: %w", ErrIDTaken)
	}
	return nil // submitted before
}

// resolveConflict returns the result of a submission that was not stored, as a job of its id is stored
// or it was withdrawn: nil, ErrIDTaken, ErrWithdrawn or ErrEffectUnknown.
func (n *Node) resolveConflict(ctx context.Context, a Access, id string) error {
	r, err := n.fetchJob(ctx, id)
	switch {
	case errors.Is(err, ErrNoJob):
		return fmt.Errorf("submit: %w", ErrWithdrawn)
	case err != nil:
		return fmt.Errorf("submit: %w: %w", ErrEffectUnknown, err)
	case r == nil || r.job == nil:
		return fmt.Errorf("submit: %w: the stored job cannot be read", ErrIDTaken)
	}
	return n.checkSame(a, r.job)
}

// createKey creates a key on the condition that some others do not exist, and returns it. It fails
// with hfstore.ErrConflict if one of them exists, ErrNotDone if nothing was written,
// hfwork.ErrInvalidJob if the store never accepts the value, or ErrEffectUnknown.
func (n *Node) createKey(ctx context.Context, key string, value []byte, others ...string) (hfstore.Item, error) {
	if err := n.knock(ctx); err != nil {
		return hfstore.Item{}, fmt.Errorf("create %s: %w", key, err)
	}
	call, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeTimeout)
	defer cancel()
	batch := (&hfstore.Batch{}).Require(key, 0).Put(key, value, "")
	for _, other := range others {
		batch.Require(other, 0)
	}
	version, err := n.store.Commit(call, batch)
	n.health.Record(err, time.Now())
	switch {
	case err == nil:
		return hfstore.NewItem(key, value, version, false), nil
	case errors.Is(err, hfstore.ErrConflict):
		return hfstore.Item{}, fmt.Errorf("create %s: %w", key, err)
	case errors.Is(err, hfstore.ErrRefused):
		return hfstore.Item{}, fmt.Errorf("%w: %w", ErrNotDone, err)
	case errors.Is(err, hfstore.ErrInvalid):
		return hfstore.Item{}, fmt.Errorf("%w: %w", hfwork.ErrInvalidJob, err)
	}
	hfloop.Sleep(call, readBackPause)
	item, readErr := n.store.Get(call, key)
	if readErr == nil {
		return item, nil
	}
	// Even if the key does not exist now, the write may still take effect later.
	return hfstore.Item{}, fmt.Errorf("%w: %w", ErrEffectUnknown, err)
}

// cachedJob returns a copy of the mirror's record of a job, or nil.
func (n *Node) cachedJob(id string) *jobRecord {
	return hfloop.With(n.mirror, func(m *Mirror) *jobRecord { return m.jobs[id].copy() })
}

// copy returns a copy of a record, or nil if there is none.
func (r *jobRecord) copy() *jobRecord {
	if r == nil {
		return nil
	}
	c := *r
	return &c
}

// findJob returns one of the caller's jobs. It reads the store if the mirror lacks the job,
// and fails with ErrNoJob or ErrNotDone.
func (n *Node) findJob(ctx context.Context, a Access, id string) (*jobRecord, error) {
	r := n.cachedJob(id)
	if r == nil || r.job == nil {
		var err error
		if r, err = n.fetchJob(ctx, id); err != nil {
			return nil, fmt.Errorf("find job: %w", err)
		}
	}
	if r == nil || r.job == nil || r.job.GetQueue() != a.queue.GetName() {
		return nil, ErrNoJob
	}
	if !n.owns(a, r.job) {
		return nil, ErrNoJob
	}
	return r, nil
}

// fetchJob reads a job from the store into the mirror, as the watch may be behind, and returns a copy
// of its record: a list may replace the mirror at any time. The record is nil if the mirror rejects
// the job.
func (n *Node) fetchJob(ctx context.Context, id string) (*jobRecord, error) {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	var items []hfstore.Item
	for _, prefix := range []string{jobPrefix, progressPrefix, cancelPrefix} {
		if !n.health.Allow(time.Now()) {
			return nil, ErrNotDone
		}
		item, err := n.store.Get(call, prefix+id)
		n.health.Record(err, time.Now())
		if errors.Is(err, hfstore.ErrNotFound) {
			if prefix == jobPrefix {
				return nil, ErrNoJob
			}
			continue
		}
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrNotDone, err)
		}
		items = append(items, item)
	}
	return n.applyRead(items, id), nil
}

// applyRead applies the items of a job that were read, and returns a copy of its record, or nil if there
// is none.
func (n *Node) applyRead(items []hfstore.Item, id string) *jobRecord {
	receivedAt := hflease.Now()
	changes, r := hfloop.With2(n.mirror, func(m *Mirror) ([]change, *jobRecord) {
		return m.applyUnwatched(receivedAt, items...), m.jobs[id].copy()
	})
	n.notify(changes)
	return r
}

// State returns the state of one of the caller's jobs. It fails with ErrNoJob or ErrNotDone.
func (n *Node) State(ctx context.Context, a Access, id string) (string, error) {
	r, err := n.findJob(ctx, a, id)
	if err != nil {
		return "", fmt.Errorf("state: %w", err)
	}
	return r.state(), nil
}

// Cancel stores the cancellation of one of the caller's jobs. It does nothing if the job has
// ended or is already cancelled. It fails with ErrNoJob if there is no such job, and none that was
// submitted before will run; with ErrNotDone or with ErrEffectUnknown.
func (n *Node) Cancel(ctx context.Context, a Access, id string) error {
	r, err := n.findJob(ctx, a, id)
	if errors.Is(err, ErrNoJob) && hfwork.IsValidID(id) {
		if err = n.withdraw(ctx, a, id); err == nil {
			return fmt.Errorf("cancel: %w", ErrNoJob)
		}
		if errors.Is(err, hfstore.ErrConflict) {
			r, err = n.findJob(ctx, a, id) // it may have been stored meanwhile
		}
	}
	if err != nil {
		return fmt.Errorf("cancel: %w", err)
	}
	if hfwork.IsFinal(r.state()) {
		return nil
	}
	stored, err := n.createKey(ctx, cancelPrefix+id, []byte(n.name))
	if errors.Is(err, hfstore.ErrConflict) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("cancel: %w", err)
	}
	n.log.Event(hfevent.JobCancelled, zap.String("job", id), zap.String("queue", a.queue.GetName()))
	n.applyItem(stored)
	n.queueHint(stored)
	return nil
}

// Waiting returns the number of jobs in the queue that have not started any task yet.
func (n *Node) Waiting(a Access) int {
	return hfloop.With(n.mirror, func(m *Mirror) int { return m.waitingJobs(a.queue.GetName()) })
}
