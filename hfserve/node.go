package hfserve

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/heatherfront/heatherfront/hfapi"
	"github.com/heatherfront/heatherfront/hfevent"
	"github.com/heatherfront/heatherfront/hfintake"
	"github.com/heatherfront/heatherfront/hfkey"
	"github.com/heatherfront/heatherfront/hfloop"
	"github.com/heatherfront/heatherfront/hfpeer"
	"github.com/heatherfront/heatherfront/hfsettings"
	"github.com/heatherfront/heatherfront/hfstore"
)

const (
	storeTimeout         = 1500 * time.Millisecond
	maxIdlePlatformConns = 8 // idle connections per address of the platform
	// drainTime is how long a stopping instance still accepts requests, so that the
	// load balancer and the other instances can notice the stop. It is limited to a
	// third of the stop timeout in the settings.
	drainTime        = 2 * time.Second
	heapLimitPercent = 65 // of --memory; above it the garbage collector works harder. The kernel holds up to a fifth for connections
)

// Node is a Server with its listeners and HTTP API.
type Node struct {
	server      *Server
	api         *hfapi.API
	public      net.Listener
	peer        net.Listener
	stopTimeout func() time.Duration
}

// Listen opens the listeners of an instance. It fails if an address is in use or a key
// file is unusable.
func Listen(s *hfsettings.Settings, logger *zap.Logger) (*Node, error) {
	bound := hfpeer.NewDialer(s.Peer())
	var dialer Dialer = bound
	var keys *hfkey.Keys
	if s.TLSEnabled() {
		var err error
		keys, err = hfkey.New(s.Certificate(), s.Key(), s.Authority())
		if err != nil {
			return nil, fmt.Errorf("set up TLS: %w", err)
		}
		dialer = keys.Dialer(bound)
	}
	registry := metrics.NewRegistry()
	log := hfevent.New(logger, registry)
	limits := hfintake.NewLimits(s.Memory(), hfsettings.BodyMemoryShare, hfintake.Descriptors(), keys != nil)
	intake := hfintake.New("callers", limits, keys != nil, reportRefusals(log, "callers"), registry)
	public, err := intake.Listen(context.Background(), s.Listen())
	if err != nil {
		return nil, fmt.Errorf("listen for callers: %w", err)
	}
	if s.MemoryLimited() {
		debug.SetMemoryLimit(s.Memory() / 100 * heapLimitPercent)
	}
	peer, err := hfpeer.Listen(context.Background(), s.Peer())
	if err != nil {
		_ = public.Close()
		return nil, fmt.Errorf("serve: %w", err)
	}
	if keys != nil {
		public = tls.NewListener(public, keys.CallerTLSConfig())
		peer = tls.NewListener(peer, keys.PeerTLSConfig())
	}
	counting := &countingDialer{dialer: bound, registry: metrics.NewRegistry()}
	transport := &http.Transport{DialContext: counting.DialContext, MaxIdleConnsPerHost: maxIdlePlatformConns, IdleConnTimeout: time.Minute}
	platform := &http.Client{Transport: transport}
	server := New(s, log, registry, hfstore.New(s.StoreURL(), platform, storeTimeout), platform, dialer)
	counting.registerCounters(server.Registry())
	return &Node{
		server: server, api: hfapi.New(server, server.Dispatcher(), s.OperatorHash(), s.MaxBody(), intake),
		public: public, peer: peer, stopTimeout: s.StopTimeout,
	}, nil
}

// Server returns the instance.
func (n *Node) Server() *Server { return n.server }

// Run serves until ctx ends and then stops gracefully: the instance leaves, accepts
// requests for drainTime, finishes those in progress, and then stops its loops. It
// fails if requests are still in progress at the stop deadline.
func (n *Node) Run(ctx context.Context) error {
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	g, runCtx := errgroup.WithContext(runCtx)
	g.Go(func() error { return n.server.Run(runCtx, n.peer) })
	g.Go(func() error { return n.api.Serve(n.public) })
	g.Go(func() error {
		defer cancel()
		select {
		case <-ctx.Done():
			return n.shutdown()
		case <-runCtx.Done():
			_ = n.api.Close()
			return nil
		}
	})
	if err := g.Wait(); err != nil {
		return fmt.Errorf("run instance: %w", err)
	}
	return nil
}

// shutdown stops the HTTP API within the stop timeout.
func (n *Node) shutdown() error {
	deadline := time.Now().Add(n.stopTimeout())
	n.server.Leave()
	hfloop.Sleep(context.Background(), min(drainTime, n.stopTimeout()/3))
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := n.api.Shutdown(ctx); err != nil {
		n.server.log.Event(hfevent.StopForced, zap.Error(err))
		_ = n.api.Close()
		return fmt.Errorf("stop: %w", err)
	}
	return nil
}

// reportRefusals returns a function that logs what a listener has refused.
func reportRefusals(log *hfevent.Log, listener string) hfintake.Reporter {
	return func(refused map[string]int64) {
		log.Event(hfevent.ClientsRefused, zap.String("listener", listener), zap.Any("refused", refused))
	}
}
