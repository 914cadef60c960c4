package hfledger

import (
	"context"
	"errors"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/heatherfront/heatherfront/hfloop"
	"github.com/heatherfront/heatherfront/hfstore"
	"github.com/heatherfront/heatherfront/hfwire"
)

const (
	commitInterval = 25 * time.Millisecond // least time between two commits of a segment
	storeTimeout   = 1500 * time.Millisecond
)

// Keeper runs a Ledger against the store.
type Keeper struct {
	store   hfstore.Store
	loop    *hfloop.Loop[Msg, Cmd]
	group   *errgroup.Group
	replies *hfloop.Replies[VerdictCmd]
}

// NewKeeper returns a keeper that starts its goroutines in group.
func NewKeeper(s hfstore.Store, writer string, group *errgroup.Group, broken func(error)) *Keeper {
	k := &Keeper{store: s, group: group, replies: hfloop.NewReplies[VerdictCmd]()}
	k.loop = hfloop.New[Msg, Cmd](New(writer), k.do, broken)
	return k
}

// Run decides claims until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	if err := k.loop.Run(ctx, commitInterval, TickMsg{}); err != nil {
		return fmt.Errorf("run ledger: %w", err)
	}
	return nil
}

// Claim records an id for a holder. It returns whether the holder is the first,
// and who is. It fails with ErrID, ErrWindow or ErrNotRecorded; then the holder
// must not act on the id.
func (k *Keeper) Claim(ctx context.Context, id, holder string) (bool, string, error) {
	token, answer, forget := k.replies.Open()
	defer forget()
	if err := k.loop.Send(ctx, Claim(token, id, holder)); err != nil {
		return false, "", fmt.Errorf("claim: %w: %w", ErrNotRecorded, err)
	}
	v, ok := hfloop.Wait(ctx, answer)
	if !ok {
		return false, "", fmt.Errorf("claim: %w: %w", ErrNotRecorded, ctx.Err())
	}
	if v.err != nil {
		return false, "", fmt.Errorf("claim: %w", v.err)
	}
	return v.first, v.holder, nil
}

func (k *Keeper) do(ctx context.Context, cmd Cmd) {
	switch c := cmd.(type) {
	case VerdictCmd:
		k.replies.Answer(c.token, c)
	case LoadCmd:
		k.group.Go(func() error { return k.send(ctx, k.load(ctx, c)) })
	case CommitCmd:
		k.group.Go(func() error { return k.send(ctx, k.commit(ctx, c)) })
	case DropCmd:
		k.group.Go(func() error {
			_ = k.store.Delete(ctx, c.key, c.version) // another owner dropped or will drop it
			return nil
		})
	}
}

func (k *Keeper) send(ctx context.Context, msg Msg) error {
	_ = k.loop.Send(ctx, msg) // fails only at the end
	return nil
}

func (k *Keeper) load(ctx context.Context, c LoadCmd) Msg {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	item, err := k.store.Get(ctx, c.key)
	if errors.Is(err, hfstore.ErrNotFound) {
		return Loaded(c.key, 0, nil)
	}
	if err != nil {
		return Failed(c.key, false)
	}
	segment, err := hfwire.Decode(item.Value(), &hfwire.Segment{})
	if err != nil {
		return Failed(c.key, false)
	}
	return Loaded(c.key, item.Version(), segment.GetHolders())
}

func (k *Keeper) commit(ctx context.Context, c CommitCmd) Msg {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	value, err := hfwire.Encode(c.segment)
	if err != nil {
		return Failed(c.key, false)
	}
	version, err := hfstore.Swap(ctx, k.store, c.key, value, c.version)
	if errors.Is(err, hfstore.ErrConflict) {
		return Failed(c.key, true)
	}
	if err != nil {
		return Failed(c.key, false)
	}
	return Stored(c.key, version)
}

// Sweep deletes the segments of a shard that no id can fall into any more, such as
// those of owners that died.
func (k *Keeper) Sweep(ctx context.Context, shard int, now time.Time) error {
	items, _, err := k.store.List(ctx, fmt.Sprintf("%s%d/", Prefix, shard))
	if err != nil {
		return fmt.Errorf("sweep ledger: %w", err)
	}
	for _, item := range items {
		if minuteOf(item.Key()).Add(dropAfter).Before(now) {
			_ = k.store.Delete(ctx, item.Key(), item.Version()) // the next sweep tries again
		}
	}
	return nil
}

// minuteOf returns the end of a segment's minute. A key that is not a segment's
// counts as new.
func minuteOf(key string) time.Time {
	var shard int
	var minute int64
	if _, err := fmt.Sscanf(key, Prefix+"%d/%d", &shard, &minute); err != nil {
		return time.Now()
	}
	return time.Unix((minute+1)*60, 0)
}
