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
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

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
	probeInterval = 200 * time.Millisecond  // between probes of the direct route while it is lost
	maxProbes     = 3                       // probes that wait for an answer at the same time
	// minRelayedWatch is how long a watch through another instance is left time for an answer, even if
	// the store answers some direct calls again. It may refuse the next ones.
	minRelayedWatch = 500 * time.Millisecond
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
	room          room // for calls of other instances

	mu           sync.Mutex
	routes       routes
	directCtx    context.Context // ends when the direct route is lost
	cancelDirect context.CancelFunc
	recoveredCtx context.Context // ends when a direct call succeeds after the last one failed
	endRecovered context.CancelFunc
}

var _ hfstore.Committer = (*Store)(nil)

// New returns a store that uses the direct route until it fails.
//
//	s := hfrelay.New(client, links, peers, onRouteChange, registry)
//	g.Go(func() error { s.Run(ctx, "key"); return nil })
func New(direct hfstore.Committer, links PeerCaller, peers func() []hfpeer.Peer, onRouteChange func(direct bool, cause error), registry metrics.Registry) *Store {
	s := &Store{direct: direct, links: links, peers: peers, onRouteChange: onRouteChange, registry: registry, room: newRoom()}
	s.directCtx, s.cancelDirect = context.WithCancel(context.Background())
	s.recoveredCtx, s.endRecovered = context.WithCancel(context.Background())
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
	var group errgroup.Group
	group.SetLimit(maxProbes)
	for hfloop.Sleep(ctx, probeInterval) {
		if s.Direct() {
			continue
		}
		// A probe does not wait for the one before it: that may have been lost shortly before the store
		// answers again.
		group.TryGo(func() error {
			s.probeDirect(ctx, key)
			return nil
		})
	}
	_ = group.Wait()
}

// probeDirect reads a key directly. A failure counts only while the direct route is lost.
func (s *Store) probeDirect(ctx context.Context, key string) {
	probeCtx, cancel := context.WithTimeout(ctx, directTimeout)
	defer cancel()
	_, err := s.direct.Get(probeCtx, key)
	if ctx.Err() == nil && (!storeFailed(err) || !s.Direct()) {
		s.recordDirect(err)
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
	changed, recovered := s.routes.recordDirect(!storeFailed(err))
	direct := s.routes.isDirect()
	if changed && !direct {
		s.cancelDirect()
	} else if changed {
		s.directCtx, s.cancelDirect = context.WithCancel(context.Background())
	}
	if recovered {
		s.endRecovered()
		s.recoveredCtx, s.endRecovered = context.WithCancel(context.Background())
	}
	s.mu.Unlock()
	if changed {
		s.onRouteChange(direct, err)
	}
}

// recovered returns a context that ends when a direct call succeeds after the last one failed.
func (s *Store) recovered() context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.recoveredCtx
}

// withDirectRoute returns a context that ends with ctx or when the direct route is lost.
func (s *Store) withDirectRoute(ctx context.Context) (context.Context, context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(s.directCtx, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// withoutDirectRoute returns a context that ends with ctx, or when recovered has ended and minRelayedWatch
// has passed.
func withoutDirectRoute(ctx, recovered context.Context) (context.Context, context.CancelFunc) {
	end := time.Now().Add(minRelayedWatch)
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(recovered, func() {
		hfloop.Sleep(ctx, time.Until(end))
		cancel()
	})
	return ctx, func() {
		stop()
		cancel()
	}
}

// callWithFallback makes a call directly, and through other instances if storeFailed
// holds for the result.
func callWithFallback[T any](ctx context.Context, s *Store, out *hfwire.StoreCall, direct func(context.Context) (T, error), decode func(*hfwire.StoreReply) T) (T, error) {
	value, err := callDirectly(ctx, s, direct)
	if !needsRelay(ctx, err) {
		return value, err
	}
	return callRelayed(ctx, s, out, decode, err)
}

// errRouteLost reports that a call was not made directly.
var errRouteLost = eris.New("the direct route is lost")

// needsRelay reports whether a call with this result of callDirectly is to be made through other instances.
func needsRelay(ctx context.Context, err error) bool {
	return errors.Is(err, errRouteLost) || storeFailed(err) && ctx.Err() == nil
}

// callDirectly makes a call directly, and records the result. It fails with errRouteLost if the direct
// route is lost.
func callDirectly[T any](ctx context.Context, s *Store, direct func(context.Context) (T, error)) (T, error) {
	var zero T
	if !s.Direct() {
		return zero, errRouteLost
	}
	value, err := direct(ctx)
	if ctx.Err() == nil || !storeFailed(err) {
		s.recordDirect(err)
	}
	if err != nil {
		return zero, fmt.Errorf("directly: %w", err)
	}
	return value, nil
}

// callRelayed makes a call through other instances. cause is why it was not made directly, or failed.
func callRelayed[T any](ctx context.Context, s *Store, out *hfwire.StoreCall, decode func(*hfwire.StoreReply) T, cause error) (T, error) {
	var zero T
	effectUnknown := storeFailed(cause) && !errors.Is(cause, hfstore.ErrRefused) // an attempt may have taken effect, or still take effect
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
	if len(candidates) > 0 && ctx.Err() == nil {
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
