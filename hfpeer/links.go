package hfpeer

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"

	"github.com/heatherfront/heatherfront/hfwire"
)

var (
	// ErrNoLink reports that a call was not sent, because no connection or stream to the
	// peer could be opened.
	ErrNoLink = eris.New("no link to the instance")
	// ErrNoReply reports that a call may have been sent but no reply arrived. It may
	// have taken effect.
	ErrNoReply = eris.New("no reply from the instance")
	// ErrRefused reports that the peer replied with a refusal.
	ErrRefused = eris.New("refused by the instance")
)

const (
	dialTimeout       = time.Second
	writeTimeout      = 2 * time.Second
	keepAliveInterval = 10 * time.Second
	redialDelay       = 200 * time.Millisecond
	silentAfter       = 600 * time.Millisecond // without a byte from the peer since a call, one that fails closes the link
	maxIdleStreams    = 16                     // kept open per link for later calls
	readBufferSize    = 512                    // bytes; most messages are smaller
	acceptPause       = 100 * time.Millisecond // after a connection that could not be accepted
)

// Dialer opens connections to other instances.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// NewDialer returns a dialer that connects from the address on which the instance listens for others: they know it
// by that, and rules of a firewall for it cover both directions.
func NewDialer(address string) *net.Dialer {
	d := &net.Dialer{Timeout: dialTimeout}
	if a, err := net.ResolveTCPAddr("tcp", address); err == nil && !a.IP.IsUnspecified() {
		d.LocalAddr = &net.TCPAddr{IP: a.IP}
	}
	return d
}

// Handler serves one call from another instance and returns the reply, or nil to close
// the stream without a reply.
type Handler func(ctx context.Context, in *hfwire.Envelope) *hfwire.Envelope

// Guard returns a handler that serves calls with handle. A panic in it ends the call only, without a
// reply, and is passed to report with the stack.
func Guard(handle Handler, report func(cause any, stack []byte)) Handler {
	return func(ctx context.Context, in *hfwire.Envelope) (out *hfwire.Envelope) {
		defer func() {
			if cause := recover(); cause != nil {
				report(cause, debug.Stack())
				out = nil
			}
		}()
		return handle(ctx, in)
	}
}

// Links holds one multiplexed connection to each peer that has been called.
type Links struct {
	self        string
	incarnation string
	dialer      Dialer
	registry    metrics.Registry
	mu          sync.Mutex
	byAddress   map[string]*peerLink
}

// peerLink is the connection to one peer and the state of its dialling.
type peerLink struct {
	mu      sync.Mutex // held while dialling
	link    *link      // nil before the first connection
	retryAt time.Time  // time before which no dial is attempted
}

// link is one multiplexed connection with its idle streams.
type link struct {
	*yamux.Session
	conn        *heardConn
	idleStreams chan *yamux.Stream

	mu          sync.Mutex
	silentSince time.Time // when the first call was sent that failed since the last read; zero if there is none
	silentReads uint64    // number of reads at that time
}

// silentFor returns for how long nothing was read since the first call that failed, of which one was
// sent at the given time and number of reads.
func (l *link) silentFor(sent time.Time, reads uint64) time.Duration {
	if l.conn.reads.Load() != reads {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.silentSince.IsZero() || l.silentReads != reads || sent.Before(l.silentSince) {
		l.silentSince, l.silentReads = sent, reads
	}
	return time.Since(l.silentSince)
}

// heardConn is a connection that counts the reads that brought something.
type heardConn struct {
	net.Conn
	reads   atomic.Uint64
	scanner frameScanner // used by the reader of the multiplexer alone
	pings   pingLimit    // used by the same reader
}

// admit fails if the peer opens a stream, which nobody would serve.
func (c *heardConn) admit(h frameHead) error {
	if h.flags&flagOpen != 0 && (h.kind == frameData || h.kind == frameWindow) {
		return errFrame
	}
	return c.pings.admit(h, time.Now())
}

// Read implements net.Conn.
func (c *heardConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.reads.Add(1)
	}
	if scanErr := c.scanner.scan(p[:n], c.admit, func(int) {}); scanErr != nil {
		return 0, scanErr
	}
	return n, err
}

// acquireStream returns an idle stream if there is one, or opens a new one unless the link has too many.
func (l *link) acquireStream() (*yamux.Stream, error) {
	select {
	case s := <-l.idleStreams:
		return s, nil
	default:
	}
	if n := l.NumStreams(); n >= maxCallStreams {
		return nil, fmt.Errorf("open stream beside %d: %w", n, ErrNoLink)
	}
	s, err := l.OpenStream()
	if err != nil {
		return nil, fmt.Errorf("open stream: %w", err)
	}
	return s, nil
}

// releaseStream makes a stream available to later calls, or closes it if there are
// enough idle streams.
func (l *link) releaseStream(s *yamux.Stream) {
	select {
	case l.idleStreams <- s:
	default:
		_ = s.Close()
	}
}

// NewLinks returns links whose calls are sent by the instance self. The registry gets the
// counters of the bytes sent and received.
func NewLinks(self, incarnation string, d Dialer, registry metrics.Registry) *Links {
	return &Links{self: self, incarnation: incarnation, dialer: d, registry: registry, byAddress: map[string]*peerLink{}}
}

// Envelope returns an envelope without a body, with this instance as its sender.
func (l *Links) Envelope() *hfwire.Envelope {
	return &hfwire.Envelope{Sender: l.self, Incarnation: l.incarnation}
}

// Call sends one message to a peer and returns its reply. It fails with ErrNoLink if
// nothing was sent, with ErrNoReply if the effect is unknown, and with ErrRefused if the
// peer refused the call.
func (l *Links) Call(ctx context.Context, to Peer, out *hfwire.Envelope) (*hfwire.Envelope, error) {
	link, err := l.connect(ctx, to.address)
	if err != nil {
		return nil, fmt.Errorf("call %s: %w", to.name, err)
	}
	stream, err := link.acquireStream()
	if err != nil {
		return nil, fmt.Errorf("call %s: %w: %w", to.name, ErrNoLink, err)
	}
	sent, reads := time.Now(), link.conn.reads.Load()
	// A deadline in the past makes pending reads and writes fail when ctx ends.
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	in, err := l.exchange(stream, to.region, out)
	if !stop() || err != nil {
		_ = stream.Close()
	} else {
		link.releaseStream(stream)
	}
	if err != nil {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) && link.silentFor(sent, reads) >= silentAfter {
			_ = link.Close() // the connection may have gone silent; the next call opens another one
		}
		return nil, fmt.Errorf("call %s: %w: %w", to.name, ErrNoReply, err)
	}
	if r := in.GetRefusal(); r != nil {
		return in, fmt.Errorf("call %s: %w: %s", to.name, ErrRefused, r.GetReason())
	}
	return in, nil
}

// exchange writes one message and reads its reply.
func (l *Links) exchange(stream net.Conn, region string, out *hfwire.Envelope) (*hfwire.Envelope, error) {
	conn := CountBytes(stream, l.byteCounter("in", region), l.byteCounter("out", region))
	if err := hfwire.Write(&partWriter{Writer: conn}, out); err != nil {
		return nil, fmt.Errorf("exchange: %w", err)
	}
	in, err := hfwire.Read(bufio.NewReaderSize(conn, readBufferSize), &hfwire.Envelope{})
	if err != nil {
		return nil, fmt.Errorf("exchange: %w", err)
	}
	return in, nil
}

func (l *Links) byteCounter(direction, region string) metrics.Counter {
	return metrics.GetOrRegisterCounter("peer.bytes."+direction+"."+region, l.registry)
}

func (l *Links) peerLink(address string) *peerLink {
	l.mu.Lock()
	defer l.mu.Unlock()
	p, ok := l.byAddress[address]
	if !ok {
		p = &peerLink{}
		l.byAddress[address] = p
	}
	return p
}

func (l *Links) connect(ctx context.Context, address string) (*link, error) {
	p := l.peerLink(address)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.link != nil && !p.link.IsClosed() {
		return p.link, nil
	}
	if time.Now().Before(p.retryAt) {
		return nil, fmt.Errorf("dial %s: %w", address, ErrNoLink)
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := l.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.retryAt = time.Now().Add(redialDelay)
		return nil, fmt.Errorf("dial %s: %w: %w", address, ErrNoLink, err)
	}
	heard := &heardConn{Conn: conn}
	session, err := yamux.Client(heard, yamuxConfig())
	if err != nil {
		return nil, fmt.Errorf("open session with %s: %w: %w", address, ErrNoLink, err)
	}
	p.link = &link{Session: session, conn: heard, idleStreams: make(chan *yamux.Stream, maxIdleStreams)}
	return p.link, nil
}

// Close closes every link.
func (l *Links) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.byAddress {
		if p.link != nil {
			_ = p.link.Close()
		}
	}
	l.byAddress = map[string]*peerLink{}
}

func yamuxConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.LogOutput = io.Discard
	config.ConnectionWriteTimeout = writeTimeout
	config.KeepAliveInterval = keepAliveInterval
	config.StreamOpenTimeout = writeTimeout
	return config
}
