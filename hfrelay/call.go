package hfrelay

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/heatherfront/heatherfront/hfpeer"
	"github.com/heatherfront/heatherfront/hfstore"
	"github.com/heatherfront/heatherfront/hfwire"
)

// listResult is the result of a list or a watch.
type listResult struct {
	items    []hfstore.Item
	revision int64
}

// Get implements hfstore.Store.
func (s *Store) Get(ctx context.Context, key string) (hfstore.Item, error) {
	out := &hfwire.StoreCall{Kind: &hfwire.StoreCall_Get{Get: key}}
	item, err := callWithFallback(ctx, s, out, func(ctx context.Context) (hfstore.Item, error) {
		ctx, cancel := context.WithTimeout(ctx, directTimeout)
		defer cancel()
		return s.direct.Get(ctx, key)
	}, func(r *hfwire.StoreReply) hfstore.Item {
		if len(r.GetItems()) == 0 {
			return hfstore.Item{}
		}
		return decodeItem(r.GetItems()[0])
	})
	if err != nil {
		return hfstore.Item{}, fmt.Errorf("get: %w", err)
	}
	return item, nil
}

// List implements hfstore.Store. Other instances refuse a list whose reply exceeds the
// size limit of a message between instances.
func (s *Store) List(ctx context.Context, prefix string) ([]hfstore.Item, int64, error) {
	out := &hfwire.StoreCall{Kind: &hfwire.StoreCall_List{List: prefix}}
	result, err := callWithFallback(ctx, s, out, func(ctx context.Context) (listResult, error) {
		items, revision, err := s.direct.List(ctx, prefix)
		return listResult{items: items, revision: revision}, err
	}, decodeList)
	if err != nil {
		return nil, 0, fmt.Errorf("list: %w", err)
	}
	return result.items, result.revision, nil
}

// Watch implements hfstore.Store. A watch through another instance, which may lose power without
// closing its connection, continues directly once direct calls succeed again.
func (s *Store) Watch(ctx context.Context, prefix string, after int64) ([]hfstore.Item, int64, error) {
	out := &hfwire.StoreCall{Kind: &hfwire.StoreCall_Watch{Watch: &hfwire.StoreWatch{Prefix: prefix, After: after}}}
	for {
		recovered := s.recovered()
		result, err := callDirectly(ctx, s, func(ctx context.Context) (listResult, error) {
			ctx, cancel := s.withDirectRoute(ctx)
			defer cancel()
			items, revision, err := s.direct.Watch(ctx, prefix, after)
			return listResult{items: items, revision: revision}, err
		})
		abandoned := false
		if needsRelay(ctx, err) {
			relayCtx, cancel := withoutDirectRoute(ctx, recovered)
			result, err = callRelayed(relayCtx, s, out, decodeList, err)
			abandoned = relayCtx.Err() != nil && ctx.Err() == nil
			cancel()
		}
		switch {
		case err == nil:
			return result.items, result.revision, nil
		case !abandoned:
			return nil, 0, fmt.Errorf("watch: %w", err)
		}
	}
}

// Put implements hfstore.Store.
func (s *Store) Put(ctx context.Context, key string, value []byte, version int64, lease string) (int64, error) {
	revision, err := s.Commit(ctx, (&hfstore.Batch{}).Require(key, version).Put(key, value, lease))
	if err != nil {
		return 0, fmt.Errorf("put: %w", err)
	}
	return revision, nil
}

// Delete implements hfstore.Store.
func (s *Store) Delete(ctx context.Context, key string, version int64) error {
	if _, err := s.Commit(ctx, (&hfstore.Batch{}).Require(key, version).Remove(key)); err != nil {
		return fmt.Errorf("delete: %w", err)
	}
	return nil
}

// Commit implements hfstore.Committer. If the first attempt took effect but its answer
// was lost, the second attempt fails with hfstore.ErrConflict. The caller can read a key
// back to tell this from another conflict.
func (s *Store) Commit(ctx context.Context, b *hfstore.Batch) (int64, error) {
	out := &hfwire.StoreCall{Kind: &hfwire.StoreCall_Commit{Commit: encodeBatch(b)}}
	revision, err := callWithFallback(ctx, s, out, func(ctx context.Context) (int64, error) {
		ctx, cancel := context.WithTimeout(ctx, directTimeout)
		defer cancel()
		return s.direct.Commit(ctx, b)
	}, (*hfwire.StoreReply).GetRevision)
	if err != nil {
		return 0, fmt.Errorf("commit: %w", err)
	}
	return revision, nil
}

// Grant implements hfstore.Store.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (string, error) {
	out := &hfwire.StoreCall{Kind: &hfwire.StoreCall_Grant{Grant: ttl.Milliseconds()}}
	lease, err := callWithFallback(ctx, s, out, func(ctx context.Context) (string, error) {
		ctx, cancel := context.WithTimeout(ctx, directTimeout)
		defer cancel()
		return s.direct.Grant(ctx, ttl)
	}, (*hfwire.StoreReply).GetLease)
	if err != nil {
		return "", fmt.Errorf("grant lease: %w", err)
	}
	return lease, nil
}

// Renew implements hfstore.Store.
func (s *Store) Renew(ctx context.Context, lease string) error {
	out := &hfwire.StoreCall{Kind: &hfwire.StoreCall_Renew{Renew: lease}}
	return s.callWithoutResult(ctx, "renew lease", out, func(ctx context.Context) error { return s.direct.Renew(ctx, lease) })
}

// Revoke implements hfstore.Store.
func (s *Store) Revoke(ctx context.Context, lease string) error {
	out := &hfwire.StoreCall{Kind: &hfwire.StoreCall_Revoke{Revoke: lease}}
	return s.callWithoutResult(ctx, "revoke lease", out, func(ctx context.Context) error { return s.direct.Revoke(ctx, lease) })
}

// callWithoutResult makes a call that returns only an error. operation names it in the
// error.
func (s *Store) callWithoutResult(ctx context.Context, operation string, out *hfwire.StoreCall, direct func(context.Context) error) error {
	_, err := callWithFallback(ctx, s, out, func(ctx context.Context) (struct{}, error) {
		ctx, cancel := context.WithTimeout(ctx, directTimeout)
		defer cancel()
		return struct{}{}, direct(ctx)
	}, func(*hfwire.StoreReply) struct{} { return struct{}{} })
	if err != nil {
		return fmt.Errorf("%s: %w", operation, err)
	}
	return nil
}

// callThrough makes a call through one instance. It fails with hfstore.ErrRefused if the
// call had no effect, and with hfstore.ErrUnavailable if its effect is unknown.
func (s *Store) callThrough(ctx context.Context, p hfpeer.Peer, call *hfwire.StoreCall) (*hfwire.StoreReply, error) {
	timeout := relayTimeout
	if call.GetWatch() != nil {
		timeout = watchTimeout
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	out := s.links.Envelope()
	out.Body = &hfwire.Envelope_Call{Call: call}
	s.incCounter("relay.calls")
	in, err := s.links.Call(callCtx, p, out)
	if ctx.Err() != nil {
		return nil, fmt.Errorf("%w: through %s: %w", hfstore.ErrUnavailable, p.Name(), ctx.Err())
	}
	reply := in.GetReply()
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err == nil && reply == nil:
		err = ErrRelayUnsupported
		fallthrough
	case errors.Is(err, hfpeer.ErrNoLink), errors.Is(err, hfpeer.ErrRefused):
		s.routes.skip(p.Name(), relayBackoff, now)
		return nil, fmt.Errorf("%w: through %s: %w", hfstore.ErrRefused, p.Name(), err)
	case err != nil:
		s.routes.skip(p.Name(), relayBackoff, now)
		return nil, fmt.Errorf("%w: through %s: %w", hfstore.ErrUnavailable, p.Name(), err)
	}
	if err := decodeFault(reply.GetFault()); storeFailed(err) {
		s.routes.skip(p.Name(), storeFailedBackoff, now)
		return nil, fmt.Errorf("through %s: %w", p.Name(), err)
	}
	s.routes.recordSuccess(p.Name())
	return reply, nil
}

func (s *Store) incCounter(name string) { metrics.GetOrRegisterCounter(name, s.registry).Inc(1) }
