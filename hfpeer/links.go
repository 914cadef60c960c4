package hfpeer

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/heatherfront/heatherfront/hfwire"
)

var (
	// ErrNoLink reports that nothing of a call was sent to the peer.
	ErrNoLink = eris.New("no link to the instance")
	// ErrNoReply reports that a call was sent and no reply came: it may have had
	// its effect.
	ErrNoReply = eris.New("no reply from the instance")
	// ErrRefused reports that the peer answered with a refusal.
	ErrRefused = eris.New("refused by the instance")
)

const (
	dialTimeout    = time.Second
	writeTimeout   = 2 * time.Second
	keepAlive      = 10 * time.Second
	redialPause    = 200 * time.Millisecond
	idleStreams    = 16   // kept open on a link between calls
	readBuffer     = 512  // bytes; most messages are smaller
	maxPeerStreams = 1024 // calls of other instances served at once
)

// Dialer opens a connection to another instance.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Handler serves one call of another instance and returns the reply.
type Handler func(ctx context.Context, in *hfwire.Envelope) *hfwire.Envelope

// Links holds one multiplexed connection to each peer that was called.
type Links struct {
	self        string
	incarnation string
	dialer      Dialer
	registry    metrics.Registry
	mu          sync.Mutex
	sessions    map[string]*session // by address
}

type session struct {
	mu    sync.Mutex // held while dialling
	mux   *link
	retry time.Time // no dial before this moment
}

// link is one connection with the streams on it that no call uses.
type link struct {
	*yamux.Session
	idle chan *yamux.Stream
}

// open returns a stream that was used before, or a new one.
func (l *link) open() (*yamux.Stream, error) {
	select {
	case s := <-l.idle:
		return s, nil
	default:
	}
	s, err := l.OpenStream()
	if err != nil {
		return nil, fmt.Errorf("open stream: %w", err)
	}
	return s, nil
}

// keep puts a stream back for the next call.
func (l *link) keep(s *yamux.Stream) {
	select {
	case l.idle <- s:
	default:
		_ = s.Close()
	}
}

// NewLinks returns links that call as self. Bytes are counted in the registry.
func NewLinks(self, incarnation string, d Dialer, registry metrics.Registry) *Links {
	return &Links{self: self, incarnation: incarnation, dialer: d, registry: registry, sessions: map[string]*session{}}
}

// Envelope returns an empty envelope from this instance.
func (l *Links) Envelope() *hfwire.Envelope {
	return &hfwire.Envelope{Sender: l.self, Incarnation: l.incarnation}
}

// Call sends one message to a peer and returns its reply. It fails with ErrNoLink
// when nothing was sent, with ErrNoReply when the effect is not known, and with
// ErrRefused when the peer refused.
func (l *Links) Call(ctx context.Context, to Peer, out *hfwire.Envelope) (*hfwire.Envelope, error) {
	mux, err := l.connect(ctx, to.address)
	if err != nil {
		return nil, fmt.Errorf("call %s: %w", to.name, err)
	}
	stream, err := mux.open()
	if err != nil {
		return nil, fmt.Errorf("call %s: %w: %w", to.name, ErrNoLink, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	in, err := l.exchange(stream, to.region, out)
	if !stop() || err != nil {
		_ = stream.Close()
	} else {
		mux.keep(stream)
	}
	if err != nil {
		return nil, fmt.Errorf("call %s: %w: %w", to.name, ErrNoReply, err)
	}
	if r := in.GetRefusal(); r != nil {
		return in, fmt.Errorf("call %s: %w: %s", to.name, ErrRefused, r.GetReason())
	}
	return in, nil
}

// exchange writes one message and reads its reply.
func (l *Links) exchange(stream net.Conn, region string, out *hfwire.Envelope) (*hfwire.Envelope, error) {
	counted := Counted(stream, l.bytes("in", region), l.bytes("out", region))
	if err := hfwire.Write(counted, out); err != nil {
		return nil, fmt.Errorf("exchange: %w", err)
	}
	in, err := hfwire.Read(bufio.NewReaderSize(counted, readBuffer), &hfwire.Envelope{})
	if err != nil {
		return nil, fmt.Errorf("exchange: %w", err)
	}
	return in, nil
}

func (l *Links) bytes(direction, region string) metrics.Counter {
	return metrics.GetOrRegisterCounter("peer.bytes."+direction+"."+region, l.registry)
}

func (l *Links) session(address string) *session {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.sessions[address]
	if !ok {
		s = &session{}
		l.sessions[address] = s
	}
	return s
}

func (l *Links) connect(ctx context.Context, address string) (*link, error) {
	s := l.session(address)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mux != nil && !s.mux.IsClosed() {
		return s.mux, nil
	}
	if time.Now().Before(s.retry) {
		return nil, fmt.Errorf("dial %s: %w", address, ErrNoLink)
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := l.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		s.retry = time.Now().Add(redialPause)
		return nil, fmt.Errorf("dial %s: %w: %w", address, ErrNoLink, err)
	}
	mux, err := yamux.Client(conn, muxConfig())
	if err != nil {
		return nil, fmt.Errorf("open session with %s: %w: %w", address, ErrNoLink, err)
	}
	s.mux = &link{Session: mux, idle: make(chan *yamux.Stream, idleStreams)}
	return s.mux, nil
}

// Close ends every link.
func (l *Links) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.sessions {
		if s.mux != nil {
			_ = s.mux.Close()
		}
	}
	l.sessions = map[string]*session{}
}

func muxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.LogOutput = io.Discard
	c.ConnectionWriteTimeout = writeTimeout
	c.KeepAliveInterval = keepAlive
	c.StreamOpenTimeout = writeTimeout
	return c
}

// Serve answers the calls of other instances until ctx ends or the listener
// fails.
func Serve(ctx context.Context, ln net.Listener, handle Handler) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		<-ctx.Done()
		return ln.Close()
	})
	g.Go(func() error {
		for {
			conn, err := ln.Accept()
			if ctx.Err() != nil {
				return nil
			}
			if err != nil {
				return fmt.Errorf("accept instance: %w", err)
			}
			g.Go(func() error {
				serveSession(ctx, conn, handle)
				return nil
			})
		}
	})
	if err := g.Wait(); err != nil && ctx.Err() == nil {
		return fmt.Errorf("serve instances: %w", err)
	}
	return nil
}

func serveSession(ctx context.Context, conn net.Conn, handle Handler) {
	mux, err := yamux.Server(conn, muxConfig())
	if err != nil {
		_ = conn.Close()
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = mux.Close() })
	defer stop()
	defer func() { _ = mux.Close() }()
	var g errgroup.Group
	g.SetLimit(maxPeerStreams)
	for {
		stream, err := mux.AcceptStream()
		if err != nil {
			break
		}
		g.Go(func() error {
			serveStream(ctx, stream, handle)
			return nil
		})
	}
	_ = g.Wait() // the streams report their errors to their callers
}

// serveStream answers one call after the other until the peer closes the stream.
func serveStream(ctx context.Context, stream *yamux.Stream, handle Handler) {
	defer func() { _ = stream.Close() }()
	reader := bufio.NewReaderSize(stream, readBuffer)
	for {
		in, err := hfwire.Read(reader, &hfwire.Envelope{})
		if err != nil {
			return
		}
		out := handle(ctx, in)
		if out == nil {
			return
		}
		if err := hfwire.Write(stream, out); err != nil {
			return // the caller sees a missing reply
		}
	}
}
