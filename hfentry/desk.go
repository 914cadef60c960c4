package hfentry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/heatherfront/heatherfront/hfevent"
	"github.com/heatherfront/heatherfront/hfloop"
	"github.com/heatherfront/heatherfront/hfstore"
	"github.com/heatherfront/heatherfront/hfwire"
	"github.com/heatherfront/heatherfront/hfwork"
)

var (
	// ErrNotReady reports an instance without a configuration.
	ErrNotReady = eris.New("the configuration is not loaded")
	// ErrNoQueue reports a path that no queue has.
	ErrNoQueue = eris.New("no such queue")
	// ErrKey reports a caller without a valid key.
	ErrKey = eris.New("unknown key")
	// ErrNoJob reports a job that does not exist, or is not the caller's.
	ErrNoJob = eris.New("no such job")
	// ErrNotNow reports that nothing was done; the same may be accepted later.
	ErrNotNow = eris.New("not done: the store takes no calls")
	// ErrUnknown reports that the effect is not known. The same call may be repeated.
	ErrUnknown = eris.New("effect not known")
)

const (
	// writeWindow bounds the wait for a write. The store answers in milliseconds; a
	// caller that hears nothing by then is better off at another instance.
	writeWindow = 1200 * time.Millisecond
	settlePause = 30 * time.Millisecond
)

// Access is what a request may do.
type Access struct {
	queue   *hfwork.Queue
	account string // "" on an open queue without a key
	rest    string // path below the queue's prefix
}

// NewAccess returns what a caller of an account may do below a queue's prefix.
func NewAccess(queue *hfwork.Queue, account, rest string) Access {
	return Access{queue: queue, account: account, rest: rest}
}

// Queue returns the queue.
func (a Access) Queue() *hfwork.Queue { return a.queue }

// Rest returns the path below the queue's prefix.
func (a Access) Rest() string { return a.rest }

// Account returns the client account of the caller.
func (a Access) Account() string { return a.account }

// Admit finds the queue of a request and checks its key. It fails with ErrNotReady,
// ErrNoQueue or ErrKey.
func (n *Node) Admit(host, path, key string) (Access, error) {
	p := hfloop.With(n.mirror, func(m *Mirror) *policy { return m.policy })
	if p == nil {
		return Access{}, ErrNotReady
	}
	queue, rest := p.match(host, path)
	if queue == nil {
		return Access{}, ErrNoQueue
	}
	account, known := p.byKey[key]
	if !queue.GetOpen() && !known {
		return Access{}, ErrKey
	}
	return NewAccess(queue, account, rest), nil
}

// MaxBody returns the largest body of a request in bytes.
func (n *Node) MaxBody() int64 {
	return hfloop.With(n.mirror, func(m *Mirror) int64 {
		if m.policy == nil || m.policy.body.GetBody() <= 0 {
			return defaultBody
		}
		return m.policy.body.GetBody()
	})
}

// defaultBody is the largest request body in bytes where the configuration names none.
const defaultBody = 1 << 18

// Submit stores a job. It fails with hfwork.ErrJob, ErrNotNow when the job was not
// accepted and never runs, or ErrUnknown.
func (n *Node) Submit(ctx context.Context, a Access, job *hfwork.Job) error {
	job.Queue, job.Account, job.Received = a.queue.GetName(), a.account, time.Now().UnixMilli()
	if err := hfwork.Check(job); err != nil {
		return fmt.Errorf("submit: %w", err)
	}
	if e := n.known(job.GetId()); e != nil && e.job != nil {
		return nil // the first one counts
	}
	value, err := hfwire.Encode(job)
	if err != nil {
		return fmt.Errorf("submit: %w", err)
	}
	version, err := n.create(ctx, workPrefix+job.GetId(), value)
	if errors.Is(err, hfstore.ErrConflict) {
		return nil // handed in before, at another instance
	}
	if err != nil {
		return fmt.Errorf("submit: %w", err)
	}
	stored := hfstore.NewItem(workPrefix+job.GetId(), value, version, false)
	n.learn(stored)
	n.hint(stored)
	return nil
}

// create writes a key that does not exist. It fails with hfstore.ErrConflict when it
// does, ErrNotNow when nothing was written, and ErrUnknown.
func (n *Node) create(ctx context.Context, key string, value []byte) (int64, error) {
	if !n.health.Allow(time.Now()) {
		return 0, ErrNotNow
	}
	call, cancel := context.WithTimeout(context.WithoutCancel(ctx), writeWindow)
	defer cancel()
	version, err := n.store.Put(call, key, value, 0, "")
	n.health.Note(err, time.Now())
	switch {
	case err == nil:
		return version, nil
	case errors.Is(err, hfstore.ErrConflict):
		return 0, fmt.Errorf("create %s: %w", key, err)
	case errors.Is(err, hfstore.ErrRefused):
		return 0, fmt.Errorf("%w: %w", ErrNotNow, err)
	}
	hfloop.Pause(call, settlePause)
	item, readErr := n.store.Get(call, key)
	if readErr == nil {
		return item.Version(), nil
	}
	// Without the key, the write may still take effect later.
	return 0, fmt.Errorf("%w: %w", ErrUnknown, err)
}

// known returns a copy of what the mirror holds of a job, or nil.
func (n *Node) known(id string) *entry {
	return hfloop.With(n.mirror, func(m *Mirror) *entry {
		if e := m.jobs[id]; e != nil {
			c := *e
			return &c
		}
		return nil
	})
}

// find returns a job of the caller's, from the store if the mirror lacks it. It fails
// with ErrNoJob or ErrNotNow.
func (n *Node) find(ctx context.Context, a Access, id string) (*entry, error) {
	e := n.known(id)
	if e == nil || e.job == nil {
		if err := n.fetch(ctx, id); err != nil {
			return nil, fmt.Errorf("find job: %w", err)
		}
		e = n.known(id)
	}
	if e == nil || e.job == nil || e.job.GetQueue() != a.queue.GetName() {
		return nil, ErrNoJob
	}
	if e.job.GetAccount() != "" && e.job.GetAccount() != a.account {
		return nil, ErrNoJob
	}
	return e, nil
}

// fetch reads a job that the watch has not brought yet.
func (n *Node) fetch(ctx context.Context, id string) error {
	call, cancel := context.WithTimeout(ctx, writeWindow)
	defer cancel()
	for _, prefix := range []string{workPrefix, statePrefix, cancelPrefix} {
		if !n.health.Allow(time.Now()) {
			return ErrNotNow
		}
		item, err := n.store.Get(call, prefix+id)
		n.health.Note(err, time.Now())
		if errors.Is(err, hfstore.ErrNotFound) {
			if prefix == workPrefix {
				return ErrNoJob
			}
			continue
		}
		if err != nil {
			return fmt.Errorf("%w: %w", ErrNotNow, err)
		}
		n.learn(item)
	}
	return nil
}

// State returns the state of a job of the caller's. It fails with ErrNoJob or
// ErrNotNow.
func (n *Node) State(ctx context.Context, a Access, id string) (string, error) {
	e, err := n.find(ctx, a, id)
	if err != nil {
		return "", fmt.Errorf("state: %w", err)
	}
	return e.state(), nil
}

// Cancel stores the cancellation of a job of the caller's. It fails with ErrNoJob,
// ErrNotNow or ErrUnknown. A job that has ended stays as it is.
func (n *Node) Cancel(ctx context.Context, a Access, id string) error {
	e, err := n.find(ctx, a, id)
	if err != nil {
		return fmt.Errorf("cancel: %w", err)
	}
	if hfwork.Final(e.state()) {
		return nil
	}
	version, err := n.create(ctx, cancelPrefix+id, []byte(n.name))
	if errors.Is(err, hfstore.ErrConflict) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("cancel: %w", err)
	}
	n.log.Event(hfevent.JobCancelled, zap.String("job", id), zap.String("queue", a.queue.GetName()))
	stored := hfstore.NewItem(cancelPrefix+id, nil, version, false)
	n.learn(stored)
	n.hint(stored)
	return nil
}

// Waiting returns the number of jobs of a queue of which no task was started.
func (n *Node) Waiting(a Access) int {
	return hfloop.With(n.mirror, func(m *Mirror) int { return m.waiting(a.queue.GetName()) })
}
