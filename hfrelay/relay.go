// Package hfrelay provides access to the store through other instances while the store
// does not answer this one or refuses its calls. The store may refuse the calls of some
// instances, or be unreachable for them, for many seconds.
//
// A call may reach the store twice, directly and through another instance. Writes are
// conditional on versions, so the second one has no effect.
package hfrelay

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/heatherfront/heatherfront/hfloop"
	"github.com/heatherfront/heatherfront/hfpeer"
	"github.com/heatherfront/heatherfront/hfstore"
	"github.com/heatherfront/heatherfront/hfwire"
)

const (
	// directTimeout bounds a direct call other than a list or a watch. The store usually
	// answers within milliseconds, and within 250 ms when it is slow.
	directTimeout = 600 * time.Millisecond
	relayTimeout  = 700 * time.Millisecond  // bounds a call through another instance
	watchTimeout  = 3300 * time.Millisecond // bounds a watch through another instance, which waits for events
	probeInterval = 300 * time.Millisecond  // between probes of the direct route while it is lost
)

// PeerCaller sends calls to other instances.
type PeerCaller interface {
	// Call sends a message and returns the reply. It fails with the errors of
	// hfpeer.Links.Call.
	Call(ctx context.Context, to hfpeer.Peer, out *hfwire.Envelope) (*hfwire.Envelope, error)
	// Envelope returns an envelope without a body.
	Envelope() *hfwire.Envelope
}

// Store calls the store directly, or through another instance while direct calls fail.
// Each call fails with hfstore.ErrRefused if it had no effect, and with
// hfstore.ErrUnavailable if its effect is unknown.
type Store struct {
	direct        hfstore.Committer // makes the direct calls
	links         PeerCaller
	peers         func() []hfpeer.Peer           // the other instances, nearest first
	onRouteChange func(direct bool, cause error) // called when the direct route is lost or restored
	registry      metrics.Registry

	mu           sync.Mutex
	routes       routes
	directCtx    context.Context // ends when the direct route is lost
	cancelDirect context.CancelFunc
	relayCtx     context.Context // ends when the direct route is restored after its next, or present, loss
	cancelRelay  context.CancelFunc
}

var _ hfstore.Committer = (*Store)(nil)

// New returns a store that uses the direct route until it fails.
//
//	s := hfrelay.New(client, links, peers, onRouteChange, registry)
//	g.Go(func() error { s.Run(ctx, "key"); return nil })
func New(direct hfstore.Committer, links PeerCaller, peers func() []hfpeer.Peer, onRouteChange func(direct bool, cause error), registry metrics.Registry) *Store {
	s := &Store{direct: direct, links: links, peers: peers, onRouteChange: onRouteChange, registry: registry}
	s.directCtx, s.cancelDirect = context.WithCancel(context.Background())
	s.relayCtx, s.cancelRelay = context.WithCancel(context.Background())
	return s
}

// Direct reports whether calls go directly to the store.
func (s *Store) Direct() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.routes.isDirect()
}

// Run probes the direct route while it is lost, by reading a key, until ctx ends.
func (s *Store) Run(ctx context.Context, key string) {
	for hfloop.Sleep(ctx, probeInterval) {
		if s.Direct() {
			continue
		}
		probeCtx, cancel := context.WithTimeout(ctx, directTimeout)
		_, err := s.direct.Get(probeCtx, key)
		cancel()
		if ctx.Err() == nil {
			s.recordDirect(err)
		}
	}
}

// storeFailed reports whether the store gave no answer or refused the call. Other errors,
// such as hfstore.ErrConflict, are answers of a working store.
func storeFailed(err error) bool {
	return errors.Is(err, hfstore.ErrUnavailable) || errors.Is(err, hfstore.ErrRefused)
}

// recordDirect records the result of a direct call and reports a change of the route.
func (s *Store) recordDirect(err error) {
	s.mu.Lock()
	changed, direct := s.routes.recordDirect(!storeFailed(err)), s.routes.isDirect()
	if changed && !direct {
		s.cancelDirect()
	} else if changed {
		s.cancelRelay()
		s.directCtx, s.cancelDirect = context.WithCancel(context.Background())
		s.relayCtx, s.cancelRelay = context.WithCancel(context.Background())
	}
	s.mu.Unlock()
	if changed {
		s.onRouteChange(direct, err)
	}
}

// withDirectRoute returns a context that ends with ctx or when the direct route is lost.
func (s *Store) withDirectRoute(ctx context.Context) (context.Context, context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return mergeContexts(ctx, s.directCtx)
}

// withoutDirectRoute returns a context that ends with ctx or when the direct route, lost now or
// later, is restored.
func (s *Store) withoutDirectRoute(ctx context.Context) (context.Context, context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return mergeContexts(ctx, s.relayCtx)
}

// mergeContexts returns a context that ends with either of two.
func mergeContexts(ctx, other context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(other, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// callWithFallback makes a call directly, and through other instances if storeFailed
// holds for the result.
func callWithFallback[T any](ctx context.Context, s *Store, out *hfwire.StoreCall, direct func(context.Context) (T, error), decode func(*hfwire.StoreReply) T) (T, error) {
	var zero T
	var cause error
	effectUnknown := false // an attempt may have taken effect, or still take effect
	if s.Direct() {
		value, err := direct(ctx)
		if ctx.Err() == nil || !storeFailed(err) {
			s.recordDirect(err)
		}
		if err == nil {
			return value, nil
		}
		if !storeFailed(err) || ctx.Err() != nil {
			return zero, fmt.Errorf("directly: %w", err)
		}
		cause, effectUnknown = err, !errors.Is(err, hfstore.ErrRefused)
	}
	peers := s.peers()
	s.mu.Lock()
	candidates := s.routes.candidates(peers, time.Now())
	s.mu.Unlock()
	for _, p := range candidates {
		reply, err := s.callThrough(ctx, p, out)
		if ctx.Err() != nil {
			break
		}
		if err == nil {
			if err := decodeFault(reply.GetFault()); err != nil {
				return zero, fmt.Errorf("through %s: %w", p.Name(), err)
			}
			return decode(reply), nil
		}
		cause, effectUnknown = err, effectUnknown || !errors.Is(err, hfstore.ErrRefused)
	}
	if len(candidates) > 0 {
		s.mu.Lock()
		s.routes.recordAllFailed(time.Now())
		s.mu.Unlock()
	}
	// The cause is formatted with %v, because its kind may differ from that of the call.
	if effectUnknown || ctx.Err() != nil {
		return zero, fmt.Errorf("%w: no way to the store: %v", hfstore.ErrUnavailable, errors.Join(cause, ctx.Err()))
	}
	return zero, fmt.Errorf("%w: no way to the store: %v", hfstore.ErrRefused, cause)
}
