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
	commitInterval = 25 * time.Millisecond // minimum time between two commits of a segment
	storeTimeout   = 1500 * time.Millisecond
)

// Service runs a Ledger against the store.
type Service struct {
	store   hfstore.Store
	loop    *hfloop.Loop[Msg, Cmd]
	group   *errgroup.Group
	replies *hfloop.Replies[ClaimResultCmd]
}

// NewService sets up a new Ledger over a store. Store calls run in goroutines of group.
// writer is passed to New; reportViolation receives the invariant violations of the
// ledger.
func NewService(store hfstore.Store, writer string, group *errgroup.Group, reportViolation func(error)) *Service {
	s := &Service{store: store, group: group, replies: hfloop.NewReplies[ClaimResultCmd]()}
	s.loop = hfloop.New[Msg, Cmd](New(writer), s.execute, reportViolation)
	return s
}

// Run processes claims until ctx is done.
func (s *Service) Run(ctx context.Context) error {
	if err := s.loop.Run(ctx, commitInterval, TickMsg{}); err != nil {
		return fmt.Errorf("run ledger: %w", err)
	}
	return nil
}

// Claim records an id for a holder. It returns whether this holder claimed the id
// first, and the holder that did. It fails with ErrInvalidID, ErrWindow or
// ErrNotRecorded; the holder must then not run the request.
func (s *Service) Claim(ctx context.Context, id, holder string) (bool, string, error) {
	token, reply, closeReply := s.replies.Register()
	defer closeReply()
	if err := s.loop.Send(ctx, Claim(token, id, holder)); err != nil {
		return false, "", fmt.Errorf("claim: %w: %w", ErrNotRecorded, err)
	}
	result, ok := hfloop.Wait(ctx, reply)
	if !ok {
		return false, "", fmt.Errorf("claim: %w: %w", ErrNotRecorded, ctx.Err())
	}
	if result.err != nil {
		return false, "", fmt.Errorf("claim: %w", result.err)
	}
	return result.first, result.holder, nil
}

func (s *Service) execute(ctx context.Context, cmd Cmd) {
	switch c := cmd.(type) {
	case ClaimResultCmd:
		s.replies.Deliver(c.token, c)
	case LoadCmd:
		s.group.Go(func() error { return s.send(ctx, s.load(ctx, c)) })
	case CommitCmd:
		s.group.Go(func() error { return s.send(ctx, s.commit(ctx, c)) })
	case DeleteCmd:
		s.group.Go(func() error {
			_ = s.store.Delete(ctx, c.key, c.version) // on failure, another owner has deleted the segment or will
			return nil
		})
	}
}

func (s *Service) send(ctx context.Context, msg Msg) error {
	_ = s.loop.Send(ctx, msg) // fails only when the loop has stopped
	return nil
}

func (s *Service) load(ctx context.Context, c LoadCmd) Msg {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	item, err := s.store.Get(ctx, c.key)
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

func (s *Service) commit(ctx context.Context, c CommitCmd) Msg {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	value, err := hfwire.Encode(c.segment)
	if err != nil {
		return Failed(c.key, false)
	}
	version, err := hfstore.Swap(ctx, s.store, c.key, value, c.version)
	if errors.Is(err, hfstore.ErrConflict) {
		return Failed(c.key, true)
	}
	if err != nil {
		return Failed(c.key, false)
	}
	return Stored(c.key, version)
}

// Sweep deletes the segments of a shard that are too old to receive ids, including
// those whose owner stopped before it deleted them.
func (s *Service) Sweep(ctx context.Context, shard int, now time.Time) error {
	items, _, err := s.store.List(ctx, fmt.Sprintf("%s%d/", KeyPrefix, shard))
	if err != nil {
		return fmt.Errorf("sweep ledger: %w", err)
	}
	for _, item := range items {
		if segmentEnd(item.Key()).Add(segmentTTL).Before(now) {
			_ = s.store.Delete(ctx, item.Key(), item.Version()) // retried by the next sweep
		}
	}
	return nil
}

// segmentEnd returns the end of the minute that a segment covers. For a key of
// another form it returns the current time, so that the key is kept.
func segmentEnd(key string) time.Time {
	var shard int
	var minute int64
	if _, err := fmt.Sscanf(key, KeyPrefix+"%d/%d", &shard, &minute); err != nil {
		return time.Now()
	}
	return time.Unix((minute+1)*60, 0)
}
