package hfserve

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/heatherfront/heatherfront/hfapi"
	"github.com/heatherfront/heatherfront/hfevent"
	"github.com/heatherfront/heatherfront/hfkey"
	"github.com/heatherfront/heatherfront/hfloop"
	"github.com/heatherfront/heatherfront/hfsettings"
	"github.com/heatherfront/heatherfront/hfstore"
)

const (
	storeTimeout = 1500 * time.Millisecond
	platformIdle = 8 // idle connections to one address of the platform
	// drainTime is how long a stopping instance still takes requests, for the
	// balancer and the other instances to notice. It is at most a third of the stop
	// time of the settings.
	drainTime = 2 * time.Second
)

// Node is a Server with its listeners.
type Node struct {
	server *Server
	api    *hfapi.API
	public net.Listener
	peer   net.Listener
	stop   func() time.Duration
}

// Listen opens the sockets of an instance. It fails when an address is taken or a
// key file cannot be used.
func Listen(s *hfsettings.Settings, logger *zap.Logger) (*Node, error) {
	plain := ownDialer(s.Peer())
	var dialer Dialer = plain
	var keys *hfkey.Keys
	if s.Secure() {
		var err error
		keys, err = hfkey.New(s.Certificate(), s.Key(), s.Authority())
		if err != nil {
			return nil, fmt.Errorf("open instance: %w", err)
		}
		dialer = keys.Dialer(plain)
	}
	public, err := net.Listen("tcp", s.Listen())
	if err != nil {
		return nil, fmt.Errorf("listen for callers: %w", err)
	}
	peer, err := net.Listen("tcp", s.Peer())
	if err != nil {
		_ = public.Close()
		return nil, fmt.Errorf("listen for instances: %w", err)
	}
	if keys != nil {
		public = tls.NewListener(public, keys.Public())
		peer = tls.NewListener(peer, keys.Mutual())
	}
	traffic := &traffic{next: plain, registry: metrics.NewRegistry()}
	transport := &http.Transport{DialContext: traffic.DialContext, MaxIdleConnsPerHost: platformIdle, IdleConnTimeout: time.Minute}
	platform := &http.Client{Transport: transport}
	server := New(s, logger, hfstore.New(s.Store(), platform, storeTimeout), platform, dialer)
	traffic.show(server.Registry())
	return &Node{
		server: server, api: hfapi.New(server, server.Desk(), s.Operator(), s.MaxBody()),
		public: public, peer: peer, stop: s.Stop,
	}, nil
}

// ownDialer connects from the address on which the instance listens for others, so
// that a network's rules for that address cover both directions.
func ownDialer(peer string) *net.Dialer {
	d := &net.Dialer{Timeout: time.Second}
	if a, err := net.ResolveTCPAddr("tcp", peer); err == nil && !a.IP.IsUnspecified() {
		d.LocalAddr = &net.TCPAddr{IP: a.IP}
	}
	return d
}

// Server returns the instance behind the listeners.
func (n *Node) Server() *Server { return n.server }

// Run serves until ctx ends and then stops gracefully: the instance leaves, still
// takes requests for drainTime, ends the ones that run, and gives its duties up. It
// fails when requests were still running at the stop deadline.
func (n *Node) Run(ctx context.Context) error {
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	g, inner := errgroup.WithContext(inner)
	g.Go(func() error { return n.server.Run(inner, n.peer) })
	g.Go(func() error { return n.api.Serve(n.public) })
	g.Go(func() error {
		defer cancel()
		select {
		case <-ctx.Done():
			return n.shutdown()
		case <-inner.Done():
			_ = n.api.Close()
			return nil
		}
	})
	if err := g.Wait(); err != nil {
		return fmt.Errorf("run instance: %w", err)
	}
	return nil
}

func (n *Node) shutdown() error {
	deadline := time.Now().Add(n.stop())
	n.server.Leave()
	hfloop.Pause(context.Background(), min(drainTime, n.stop()/3))
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := n.api.Shutdown(ctx); err != nil {
		n.server.log.Event(hfevent.StopForced, zap.Error(err))
		_ = n.api.Close()
		return fmt.Errorf("stop: %w", err)
	}
	return nil
}
