package hfpeer

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"github.com/heatherfront/heatherfront/hfintake"
	"github.com/heatherfront/heatherfront/hfloop"
	"github.com/heatherfront/heatherfront/hfwire"
)

// Server serves the calls of other instances within limits.
type Server struct {
	lists func(ip string) bool

	mu       sync.Mutex
	table    *admission
	conns    map[uint64]net.Conn
	refusals *hfintake.Refusals
	gauge    metrics.Gauge // bytes that the connections take
}

// NewServer returns a server of calls. lists reports whether another instance is known to have an IP address: the
// connections of other addresses take a small part of the limits, and give way. report is told what was refused,
// and registry counts it.
func NewServer(l Limits, lists func(ip string) bool, report hfintake.Reporter, registry metrics.Registry) *Server {
	return &Server{
		lists: lists, table: newAdmission(l), conns: map[uint64]net.Conn{},
		refusals: hfintake.NewRefusals("instances", []string{ReasonConnections, ReasonLetGo, ReasonMemory}, report, registry),
		gauge:    metrics.GetOrRegisterGauge("intake.instances.bytes", registry),
	}
}

// Listen opens a listener for Serve. Its connections receive little before they are read.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	ln, err := hfintake.Listen(ctx, address, receiveBytes, backlog)
	if err != nil {
		return nil, fmt.Errorf("listen for instances: %w", err)
	}
	return ln, nil
}

// Serve serves the calls of other instances until ctx ends or the listener fails.
func (s *Server) Serve(ctx context.Context, ln net.Listener, handle Handler) error {
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
			if errors.Is(err, net.ErrClosed) {
				return fmt.Errorf("accept instance: %w", err)
			}
			if err != nil {
				// Descriptors may be short, or the peer may have gone. This must not end the
				// calls of all others.
				hfloop.Sleep(ctx, acceptPause)
				continue
			}
			c := s.open(conn)
			if c == nil {
				_ = conn.Close()
				continue
			}
			g.Go(func() error {
				c.serve(ctx, handle)
				return nil
			})
		}
	})
	if err := g.Wait(); err != nil && ctx.Err() == nil {
		return fmt.Errorf("serve instances: %w", err)
	}
	return nil
}

// open admits a connection, or returns nil if there is no room.
func (s *Server) open(conn net.Conn) *served {
	source := hfintake.Host(conn.RemoteAddr().String())
	_, sealed := conn.(handshaker)
	member := !sealed && s.lists(source) // a sealed one shows its certificate first
	s.mu.Lock()
	now := time.Now()
	id, victims, ok := s.table.open(source, member, now)
	dropped := s.drop(victims, now)
	var c *served
	if ok {
		s.conns[id] = conn
		c = &served{Conn: conn, server: s, id: id, source: source, sealed: sealed, streams: map[uint32]*servedStream{}}
	} else {
		s.refusals.Add(ReasonConnections, now)
	}
	s.update(now)
	s.mu.Unlock()
	closeAll(dropped)
	return c
}

// drop forgets connections and returns them, which the caller closes without mu.
func (s *Server) drop(victims []uint64, now time.Time) []net.Conn {
	var dropped []net.Conn
	for _, id := range victims {
		s.refusals.Add(ReasonLetGo, now)
		dropped = append(dropped, s.conns[id])
		delete(s.conns, id)
	}
	return dropped
}

// closeAll closes connections at once: TLS would wait until the other side takes a last message.
func closeAll(conns []net.Conn) {
	for _, c := range conns {
		if sealed, ok := c.(interface{ NetConn() net.Conn }); ok {
			c = sealed.NetConn()
		}
		_ = c.Close()
	}
}

// update updates the gauge and reports refusals. The caller holds mu.
func (s *Server) update(now time.Time) {
	s.gauge.Update(s.table.taken)
	s.refusals.Report(now)
}

// with calls f with the table.
func (s *Server) with(f func(a *admission, now time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	f(s.table, now)
	s.update(now)
}

// take calls f, which lets others give way, until there is room for a connection, that was closed, or it has waited
// for roomTimeout. Until then the connection is not read: its sender is slowed down.
func (s *Server) take(id uint64, f func(a *admission, now time.Time) (victims []uint64, ok bool)) error {
	for end := time.Now().Add(roomTimeout); ; time.Sleep(roomInterval) {
		s.mu.Lock()
		now := time.Now()
		victims, ok := f(s.table, now)
		dropped := s.drop(victims, now)
		closed, late := s.table.conns[id] == nil, now.After(end)
		if !ok && !closed && late {
			s.refusals.Add(ReasonMemory, now)
		}
		s.update(now)
		s.mu.Unlock()
		closeAll(dropped)
		switch {
		case ok:
			return nil
		case closed || late:
			return errNoRoom
		}
	}
}

// handshaker is a connection under TLS.
type handshaker interface {
	HandshakeContext(ctx context.Context) error
}

// served is a connection of another instance. The multiplexer reads and writes it.
type served struct {
	net.Conn
	server  *Server
	id      uint64
	source  string
	sealed  bool
	scanner frameScanner // used by the reader of the multiplexer alone
	pings   pingLimit    // used by the same reader

	mu      sync.Mutex
	streams map[uint32]*servedStream // which the other side has opened and one side has not ended
}

// servedStream counts what a stream holds.
type servedStream struct {
	held       int64 // bytes that have come and were not answered
	ended      bool  // by the other side
	unattended bool  // this side serves it no longer
}

// serve serves a connection until it ends.
func (c *served) serve(ctx context.Context, handle Handler) {
	defer c.server.remove(c.id)
	defer func() { _ = c.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = c.Close() }) // which ends the handshake, and then the session
	defer stop()
	if h, ok := c.Conn.(handshaker); ok {
		handshakeCtx, cancel := context.WithTimeout(ctx, handshakeTimeout)
		err := h.HandshakeContext(handshakeCtx)
		cancel()
		if err != nil {
			return
		}
		c.server.with(func(a *admission, _ time.Time) { a.setMember(c.id, true) })
	}
	session, err := yamux.Server(c, yamuxConfig())
	if err != nil {
		return
	}
	defer func() { _ = session.Close() }()
	var g errgroup.Group
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			break
		}
		g.Go(func() error {
			c.serveStream(ctx, stream, handle)
			return nil
		})
	}
	_ = g.Wait() // always nil; a failed stream is noticed by its caller
}

// remove forgets a connection.
func (s *Server) remove(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.remove(id)
	delete(s.conns, id)
	s.update(time.Now())
}

// Read implements net.Conn. Memory is reserved for a frame when its head has come.
func (c *served) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	moved := false
	if scanErr := c.scanner.scan(b[:n], c.admit, func(int) { moved = true }); scanErr != nil {
		return 0, scanErr
	}
	if moved {
		c.server.with(func(a *admission, now time.Time) { a.touch(c.id, now) })
	}
	return n, err //nolint:wrapcheck // readers compare it with io.EOF
}

// admit admits a frame by its head, or fails: the multiplexer closes the connection.
func (c *served) admit(h frameHead) error {
	if h.kind != frameData && h.kind != frameWindow {
		return c.pings.admit(h, time.Now())
	}
	if h.flags&flagOpen != 0 {
		if err := c.openStream(h.stream); err != nil {
			return err
		}
	}
	c.mu.Lock()
	stream := c.streams[h.stream]
	c.mu.Unlock()
	if stream == nil {
		return nil // of a stream that has ended; the multiplexer drops it
	}
	if h.kind == frameData && h.length > 0 {
		n := bufferFactor * int64(h.length)
		if err := c.hold(n); err != nil {
			return err
		}
		c.mu.Lock()
		stream.held += n
		c.mu.Unlock()
	}
	if h.flags&(flagEnd|flagReset) != 0 {
		c.endStream(h.stream, func(s *servedStream) { s.ended = true })
	}
	return nil
}

func (c *served) openStream(id uint32) error {
	if err := c.server.take(c.id, func(a *admission, now time.Time) ([]uint64, bool) { return a.openStream(c.id, now) }); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.streams[id] != nil {
		return errFrame
	}
	c.streams[id] = &servedStream{}
	return nil
}

// endStream notes that a side has ended a stream. What it holds is free once both have: until then the multiplexer
// takes what comes for it.
func (c *served) endStream(id uint32, end func(*servedStream)) {
	c.mu.Lock()
	stream := c.streams[id]
	if stream == nil {
		c.mu.Unlock()
		return
	}
	end(stream)
	over := stream.ended && stream.unattended
	if over {
		delete(c.streams, id)
	}
	c.mu.Unlock()
	if over {
		c.server.with(func(a *admission, _ time.Time) {
			a.release(c.id, stream.held)
			a.closeStream(c.id)
		})
	}
}

// serveStream serves the calls on a stream one after another until the peer closes it.
func (c *served) serveStream(ctx context.Context, stream *yamux.Stream, handle Handler) {
	defer c.endStream(stream.StreamID(), func(s *servedStream) { s.unattended = true })
	defer func() { _ = stream.Close() }()
	reader := bufio.NewReaderSize(stream, readBufferSize)
	for {
		raw, err := hfwire.ReadFrame(reader)
		if err != nil || !c.serveCall(ctx, stream, raw, handle) {
			return
		}
		stream.Shrink()
	}
}

// settle returns what a message of n bytes holds, with its length before it, and counts it no longer for its stream.
func (c *served) settle(id uint32, n int) int64 {
	size := bufferFactor * int64(n+uvarintBytes(uint64(n)))
	c.mu.Lock()
	defer c.mu.Unlock()
	stream := c.streams[id]
	if stream == nil {
		return 0
	}
	size = min(size, stream.held)
	stream.held -= size
	return size
}

// uvarintBytes returns the length of a number before a message.
func uvarintBytes(n uint64) int {
	size := 1
	for ; n >= 1<<7; n >>= 7 {
		size++
	}
	return size
}

// serveCall serves a call, and reports whether the stream goes on.
func (c *served) serveCall(ctx context.Context, stream *yamux.Stream, raw []byte, handle Handler) bool {
	listed := c.identify()
	size, decoded := c.settle(stream.StreamID(), len(raw)), hfwire.DecodedSize(raw, (*hfwire.Envelope)(nil))
	if c.server.take(c.id, func(a *admission, now time.Time) ([]uint64, bool) { return a.begin(c.id, size, decoded, now) }) != nil {
		_ = c.Close() // what the stream holds was settled
		return false
	}
	defer c.server.with(func(a *admission, now time.Time) { a.finish(c.id, size, decoded, now) })
	in, err := hfwire.Decode(raw, &hfwire.Envelope{})
	if err != nil || len(in.GetSender()) > maxNameBytes || len(in.GetIncarnation()) > maxNameBytes {
		return false
	}
	out := handle(context.WithValue(ctx, listedKey{}, listed), in)
	return out != nil && c.reply(stream, out) == nil
}

// identify reports whether the instance is known. It may have been listed since the connection was opened.
func (c *served) identify() bool {
	if c.sealed {
		return true
	}
	member := c.server.lists(c.source)
	c.server.with(func(a *admission, _ time.Time) { a.setMember(c.id, member) })
	return member
}

type listedKey struct{}

// FromListed reports whether the call that a Handler serves comes from a known instance.
func FromListed(ctx context.Context) bool {
	listed, _ := ctx.Value(listedKey{}).(bool)
	return listed
}

// hold reserves memory until free is called.
func (c *served) hold(n int64) error {
	return c.server.take(c.id, func(a *admission, now time.Time) ([]uint64, bool) { return a.reserve(c.id, n, now) })
}

func (c *served) free(n int64) {
	c.server.with(func(a *admission, _ time.Time) { a.release(c.id, n) })
}

// reply writes a reply. The caller notices that it is missing if that fails.
func (c *served) reply(stream *yamux.Stream, out *hfwire.Envelope) error {
	size := replyFactor * int64(proto.Size(out))
	if err := c.hold(size); err != nil {
		return err
	}
	defer c.free(size)
	err := hfwire.Write(&partWriter{Writer: stream, before: func() error {
		c.server.with(func(a *admission, now time.Time) { a.touch(c.id, now) })
		return stream.SetWriteDeadline(time.Now().Add(replyTimeout)) //nolint:wrapcheck // wrapped by the writer
	}}, out)
	if err != nil {
		return fmt.Errorf("reply: %w", err)
	}
	return nil
}

// partWriter writes a message in parts, so that the buffers of the multiplexer stay small on both sides.
type partWriter struct {
	io.Writer
	before func() error // called before each part; may be nil
}

// Write implements io.Writer.
func (w *partWriter) Write(b []byte) (int, error) {
	written := 0
	for written < len(b) {
		if w.before != nil {
			if err := w.before(); err != nil {
				return written, fmt.Errorf("write part: %w", err)
			}
		}
		n, err := w.Writer.Write(b[written:min(written+writePart, len(b))])
		written += n
		if err != nil {
			return written, fmt.Errorf("write part: %w", err)
		}
	}
	return written, nil
}
