package hfgang

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/heatherfront/heatherfront/hflease"
	"github.com/heatherfront/heatherfront/hfloop"
	"github.com/heatherfront/heatherfront/hfstore"
	"github.com/heatherfront/heatherfront/hfwire"
	"github.com/heatherfront/heatherfront/hfworker"
)

var (
	// ErrFenced reports that another leader wrote the records.
	ErrFenced = eris.New("another placement leader has taken over")
	// ErrNoLeader reports that the leader stopped before it could reply.
	ErrNoLeader = eris.New("placement leader stopped")
)

const (
	tickInterval     = 100 * time.Millisecond
	commitTimeout    = 2 * time.Second
	commitRetryDelay = 200 * time.Millisecond // delay before retrying a commit with an unknown outcome
	maxWorkerCalls   = 128                    // concurrent calls to workers
)

// Workers sends commands to workers.
type Workers interface {
	Start(ctx context.Context, address string, s hfworker.Start) (string, error)
	ControlTask(ctx context.Context, address, task, verb string) (state string, from int64, err error)
}

// Observer is notified of a leader's decisions.
type Observer interface {
	JobChanged(job *hfwire.Job)
	WorkerQuarantined(worker string, lifted bool)
	InvariantViolated(err error)
}

// Leader runs a Scheduler for the duration of its tenure: it passes messages to it and
// executes the commands that it returns.
type Leader struct {
	domain    string
	tenure    *hflease.Tenure
	store     hfstore.Store
	workers   Workers
	observer  Observer
	lease     func() time.Duration
	loop      *hfloop.Loop[Msg, Cmd]
	replies   *hfloop.Replies[ReplyCmd]
	callSlots chan struct{} // limits concurrent calls to workers

	mu        sync.Mutex
	versions  [Shards]int64
	addresses map[string]string      // worker addresses by name
	revoked   map[hfworker.Gang]bool // from the last RevokeCmd; nil before the first
	group     *errgroup.Group
	cancel    context.CancelCauseFunc
	ended     chan struct{}
}

// NewLeader returns a leader of a domain under a tenure, whose jobs may take jobMemory bytes.
func NewLeader(domain string, t *hflease.Tenure, store hfstore.Store, w Workers, o Observer, timing Timing, jobMemory int64) *Leader {
	l := &Leader{
		domain: domain, tenure: t, store: store, workers: w, observer: o, lease: timing.lease,
		callSlots: make(chan struct{}, maxWorkerCalls), replies: hfloop.NewReplies[ReplyCmd](), addresses: map[string]string{},
		ended: make(chan struct{}),
	}
	s := New(domain, timing)
	s.SetMemory(jobMemory)
	l.loop = hfloop.New[Msg, Cmd](s, l.execute, o.InvariantViolated)
	return l
}

// shardKey returns the store key of one shard of a domain's records.
func shardKey(domain string, shard int) string {
	return fmt.Sprintf("jobs/%s/%02d", domain, shard)
}

// Run takes over the records and leads until ctx ends, the tenure ends or another
// leader writes the records. initial returns the messages with the current accounts,
// workers and reports.
func (l *Leader) Run(ctx context.Context, initial func() []Msg) error {
	defer close(l.ended)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	shards, err := l.takeOver(ctx)
	if err != nil {
		return fmt.Errorf("take over domain %s: %w", l.domain, err)
	}
	g, ctx := errgroup.WithContext(ctx)
	l.group, l.cancel = g, cancel
	g.Go(func() error {
		return l.loop.Run(ctx, tickInterval, TickMsg{})
	})
	g.Go(func() error {
		for _, msg := range append(initial(), Load(shards)) {
			if err := l.Send(ctx, msg); err != nil {
				return nil
			}
		}
		return nil
	})
	g.Go(func() error {
		l.watchTenure(ctx)
		return nil
	})
	if err := g.Wait(); err != nil {
		return fmt.Errorf("lead domain %s: %w", l.domain, err)
	}
	if cause := context.Cause(ctx); errors.Is(cause, ErrFenced) {
		return fmt.Errorf("lead domain %s: %w", l.domain, cause)
	}
	return nil
}

// watchTenure stops the leader when its tenure ends, for example after the process was
// paused.
func (l *Leader) watchTenure(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			if !l.tenure.Valid(hflease.Now()) {
				l.cancel(ErrNoLeader)
				return
			}
		}
	}
}

// takeOver reads every shard and writes it back under the new epoch, so that any
// in-flight commit of an earlier leader fails.
func (l *Leader) takeOver(ctx context.Context) ([]*hfwire.Shard, error) {
	items, _, err := l.store.List(ctx, fmt.Sprintf("jobs/%s/", l.domain))
	if err != nil {
		return nil, fmt.Errorf("list records: %w", err)
	}
	found := map[string]hfstore.Item{}
	for _, i := range items {
		found[i.Key()] = i
	}
	shards := make([]*hfwire.Shard, Shards)
	g, ctx := errgroup.WithContext(ctx)
	for n := range Shards {
		g.Go(func() error {
			shard, err := l.fence(ctx, n, found[shardKey(l.domain, n)])
			shards[n] = shard
			if err != nil {
				return fmt.Errorf("fence: %w", err)
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return nil, fmt.Errorf("fence records: %w", err)
	}
	return shards, nil
}

// fence rewrites one shard under the new epoch. It reads the shard again and retries if
// an earlier leader's commit took effect in between.
func (l *Leader) fence(ctx context.Context, n int, item hfstore.Item) (*hfwire.Shard, error) {
	key := shardKey(l.domain, n)
	for {
		shard, err := hfwire.Decode(item.Value(), &hfwire.Shard{})
		if err != nil {
			return nil, fmt.Errorf("shard %s: %w", key, err)
		}
		if shard.GetEpoch() > l.tenure.Epoch() {
			return nil, fmt.Errorf("shard %s: %w", key, ErrFenced)
		}
		version, err := l.writeShard(ctx, n, shard, item.Version())
		if err == nil {
			l.versions[n] = version
			return shard, nil
		}
		if !errors.Is(err, hfstore.ErrConflict) {
			return nil, fmt.Errorf("shard %s: %w", key, err)
		}
		item, err = l.store.Get(ctx, key)
		if err != nil {
			return nil, fmt.Errorf("shard %s: %w", key, err)
		}
	}
}

// writeShard stores a shard under the leader's epoch if the stored version matches.
func (l *Leader) writeShard(ctx context.Context, n int, shard *hfwire.Shard, version int64) (int64, error) {
	shard.Epoch = l.tenure.Epoch()
	shard.Writer = uuid.NewString()
	value, err := hfwire.Encode(shard)
	if err != nil {
		return 0, fmt.Errorf("encode shard: %w", err)
	}
	return l.swapShard(ctx, n, value, version)
}

// swapShard stores an encoded shard if the stored version matches, and returns the new
// version.
func (l *Leader) swapShard(ctx context.Context, n int, value []byte, version int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	newVersion, err := hfstore.Swap(ctx, l.store, shardKey(l.domain, n), value, version)
	if err != nil {
		return 0, fmt.Errorf("store shard: %w", err)
	}
	return newVersion, nil
}

// Send passes a message to the scheduler.
func (l *Leader) Send(ctx context.Context, msg Msg) error {
	if fleet, ok := msg.(FleetMsg); ok {
		l.setAddresses(fleet)
	}
	if err := l.loop.Send(ctx, msg); err != nil {
		return fmt.Errorf("leader of %s: %w", l.domain, err)
	}
	return nil
}

func (l *Leader) setAddresses(fleet FleetMsg) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, w := range fleet.workers {
		l.addresses[name] = w.Address()
	}
}

// Ask sends a message that is answered by a ReplyCmd and waits for the reply. It
// returns ErrNoLeader if the leader stopped before it replied; the message may still
// have taken effect.
func (l *Leader) Ask(ctx context.Context, build func(token uint64) Msg) (ReplyCmd, error) {
	token, answer, forget := l.replies.Register()
	defer forget()
	if err := l.Send(ctx, build(token)); err != nil {
		return ReplyCmd{}, fmt.Errorf("ask: %w", err)
	}
	select {
	case r := <-answer:
		return r, nil
	case <-l.ended:
		return ReplyCmd{}, fmt.Errorf("ask: %w", ErrNoLeader)
	case <-ctx.Done():
		return ReplyCmd{}, fmt.Errorf("ask: %w: %w", ErrNoLeader, ctx.Err())
	}
}

// Revoked returns the attempts whose leases the observers must not renew, or nil before the records
// are loaded. valid is false if the tenure has ended, so that a later leader may have revoked others.
func (l *Leader) Revoked() (gangs map[hfworker.Gang]bool, valid bool) {
	l.mu.Lock()
	gangs = l.revoked
	l.mu.Unlock()
	return gangs, l.tenure.Valid(hflease.Now()) // after the attempts were read
}

func (l *Leader) execute(ctx context.Context, cmd Cmd) {
	switch c := cmd.(type) {
	case CommitCmd:
		l.group.Go(func() error {
			l.commit(ctx, c)
			return nil
		})
	case TaskCmd:
		l.group.Go(func() error {
			l.sendTask(ctx, c)
			return nil
		})
	case ReplyCmd:
		l.replies.Deliver(c.token, c)
	case ChangedCmd:
		l.observer.JobChanged(c.job)
	case RevokeCmd:
		l.mu.Lock()
		l.revoked = c.gangs
		l.mu.Unlock()
	case QuarantineCmd:
		l.observer.WorkerQuarantined(c.worker, c.lifted)
	}
}

// commit stores a shard. While the outcome is unknown it repeats the same write,
// because the commands that wait for the commit must be neither executed nor dropped.
func (l *Leader) commit(ctx context.Context, c CommitCmd) {
	c.record.Epoch = l.tenure.Epoch()
	c.record.Writer = uuid.NewString()
	value, err := hfwire.Encode(c.record)
	if err != nil {
		l.observer.InvariantViolated(err)
		return
	}
	for ctx.Err() == nil {
		version, err := l.swapShard(ctx, c.shard, value, l.versions[c.shard])
		if err == nil {
			l.versions[c.shard] = version
			_ = l.Send(ctx, Stored(c.shard)) // fails only when the leader stops
			return
		}
		if errors.Is(err, hfstore.ErrConflict) {
			l.cancel(ErrFenced)
			return
		}
		hfloop.Sleep(ctx, commitRetryDelay)
	}
}

// sendTask sends a command to a worker if the tenure is still valid at the time of
// sending.
func (l *Leader) sendTask(ctx context.Context, c TaskCmd) {
	select {
	case l.callSlots <- struct{}{}:
		defer func() { <-l.callSlots }()
	case <-ctx.Done():
		return
	}
	l.mu.Lock()
	address := l.addresses[c.grant.GetWorker()]
	l.mu.Unlock()
	if !l.tenure.Valid(hflease.Now()) {
		l.cancel(ErrNoLeader)
		return
	}
	state, from, err := l.callWorker(ctx, address, c)
	refused := errors.Is(err, hfworker.ErrRefused)
	_ = l.Send(ctx, Answered(c, state, refused, from)) // fails only when the leader stops
}

func (l *Leader) callWorker(ctx context.Context, address string, c TaskCmd) (string, int64, error) {
	if c.verb != VerbStart {
		state, from, err := l.workers.ControlTask(ctx, address, c.task, string(c.verb))
		if err != nil {
			return "", 0, fmt.Errorf("control task on worker: %w", err)
		}
		return state, from, nil
	}
	state, err := l.workers.Start(ctx, address, hfworker.Start{
		ID: c.task, Job: c.job, Attempt: c.attempt, Index: c.grant.GetIndex(), Size: c.size,
		First: c.grant.GetFirst(), Count: c.grant.GetCount(),
		Lease: l.lease().Milliseconds(), Run: c.run, From: c.from, Command: c.command,
	})
	if err != nil {
		return "", 0, fmt.Errorf("start task on worker: %w", err)
	}
	return state, 0, nil
}
