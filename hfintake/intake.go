// Package hfintake bounds what the unfinished requests of uncontrolled clients take of a process: memory,
// connections and time (docs/design/uncontrolled-clients.md). It admits a byte of a body before it is kept,
// and lets the stalled clients go when there is no room.
package hfintake

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// Why a client was refused or let go.
const (
	ReasonConnections = "connections" // a new connection, as there were too many
	ReasonLetGo       = "let-go"      // a stalled or idle client, to make room
	ReasonMemory      = "memory"      // a body, as those in progress take too much memory
	ReasonHead        = "head"        // a head of too many lines
	ReasonSlow        = "slow"        // a body that came too slowly
)

var (
	// ErrFull is returned by the body of a request for which there is no memory. The request has not run.
	ErrFull = eris.New("too many request bodies at once")
	// ErrSlow is returned by the body of a request that came too slowly.
	ErrSlow = eris.New("the body came too slowly")

	errHead = eris.New("the head has too many lines")
)

// Intake keeps one listener within its limits.
type Intake struct {
	mu       sync.Mutex
	table    *table
	conns    map[uint64]*conn
	refusals *Refusals

	backlog     int   // connections that wait to be accepted
	maxRoom     int64 // bytes that connections may take at most
	sealed      bool  // the bytes of connections are encrypted
	connections metrics.Gauge
	bytes       metrics.Gauge
}

// New returns the Intake of a listener with a name. sealed is set for one under TLS. registry counts what is
// refused.
func New(name string, l Limits, sealed bool, report Reporter, registry metrics.Registry) *Intake {
	i := &Intake{
		table: newTable(l), conns: map[uint64]*conn{}, backlog: l.backlog, maxRoom: l.room, sealed: sealed,
		refusals:    NewRefusals(name, []string{ReasonConnections, ReasonLetGo, ReasonMemory, ReasonHead, ReasonSlow}, report, registry),
		connections: metrics.GetOrRegisterGauge("intake."+name+".connections", registry),
		bytes:       metrics.GetOrRegisterGauge("intake."+name+".bytes", registry),
	}
	return i
}

// Listen opens a listener whose connections ask for a receive buffer of a number of bytes. The kernel completes at
// most backlog connections, or somaxconn if that is less, before the listener accepts them. It drops the requests of
// further ones, which clients send again.
func Listen(ctx context.Context, address string, buffer, backlog int) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		// Without this option there is only more memory in use.
		return raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, buffer) })
	}}
	ln, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err //nolint:wrapcheck // callers name the listener
	}
	if err := setBacklog(ln, backlog); err != nil {
		_ = ln.Close()
		return nil, err
	}
	return ln, nil
}

// setBacklog replaces the backlog of a listener, for which the library always asks for the most.
func setBacklog(ln net.Listener, backlog int) error {
	socket, ok := ln.(syscall.Conn)
	if !ok {
		return fmt.Errorf("set backlog: %T has no socket", ln)
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return fmt.Errorf("set backlog: %w", err)
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = unix.Listen(int(fd), backlog) }); err != nil {
		return fmt.Errorf("set backlog: %w", err)
	}
	if listenErr != nil {
		return fmt.Errorf("set backlog: %w", listenErr)
	}
	return nil
}

// Listen opens a listener that keeps to the limits. Its connections receive little before they are read.
func (i *Intake) Listen(ctx context.Context, address string) (net.Listener, error) {
	ln, err := Listen(ctx, address, receiveBytes, i.backlog)
	if err != nil {
		return nil, fmt.Errorf("intake: %w", err)
	}
	return &listener{Listener: ln, intake: i}, nil
}

// Server returns a server for a listener of Listen. The paths in vital are served also when all connections
// are taken by whole requests.
func (i *Intake) Server(handler http.Handler, idleTimeout time.Duration, vital ...string) *http.Server {
	if len(vital) > 0 {
		i.with(func(t *table, _ time.Time) { t.limits.spare = spareConns })
	}
	return &http.Server{
		Handler: i.keepSpare(i.Handler(handler), vital), ReadHeaderTimeout: HeadTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: MaxHeadBytes,
		ConnState: i.connState,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, connOf(c))
		},
	}
}

type connKey struct{}

// connOf returns the connection of this package in or below c, or nil.
func connOf(c net.Conn) *conn {
	for {
		switch layer := c.(type) {
		case *conn:
			return layer
		case interface{ NetConn() net.Conn }:
			c = layer.NetConn()
		default:
			return nil
		}
	}
}

func (i *Intake) connState(raw net.Conn, state http.ConnState) {
	c := connOf(raw)
	if c == nil {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	switch state {
	case http.StateActive:
		// A request of which nothing was read by itself, as it came with the one before, begins with its handler.
		if s := i.table.clients[c.id]; s != nil && s.phase != phaseIdle {
			i.table.enter(c.id, phaseAnswer, time.Now())
		}
	case http.StateIdle:
		i.table.release(c.id)
		i.table.enter(c.id, phaseIdle, time.Now())
		c.head = headScanner{}
	}
}

// refuse counts a refusal. The caller holds mu.
func (i *Intake) refuse(reason string, now time.Time) { i.refusals.Add(reason, now) }

// SetRoom changes the bytes that all connections may take together, up to those of the limits.
func (i *Intake) SetRoom(bytes int64) {
	i.mu.Lock()
	now := time.Now()
	dropped := i.drop(i.table.setRoom(min(bytes, i.maxRoom), now), now)
	i.updateGauges()
	i.mu.Unlock()
	closeAll(dropped)
}

// drop forgets clients and returns their connections, which the caller closes without mu.
func (i *Intake) drop(victims []uint64, now time.Time) []*conn {
	var dropped []*conn
	for _, id := range victims {
		i.refuse(ReasonLetGo, now)
		if c := i.conns[id]; c != nil {
			dropped = append(dropped, c)
			delete(i.conns, id)
		}
	}
	return dropped
}

// updateGauges shows the connections and the bytes in use, and reports refusals that were not reported in time.
// The caller holds mu.
func (i *Intake) updateGauges() {
	i.connections.Update(int64(len(i.table.clients)))
	i.bytes.Update(i.table.held + i.table.answers)
	i.refusals.Report(time.Now())
}

// reserve reserves n bytes for the body of a connection.
func (i *Intake) reserve(c *conn, n int64) bool {
	i.mu.Lock()
	now := time.Now()
	victims, ok := i.table.reserve(c.id, n, now)
	if !ok {
		i.refuse(ReasonMemory, now)
	}
	dropped := i.drop(victims, now)
	i.updateGauges()
	i.mu.Unlock()
	closeAll(dropped)
	return ok
}

// begin begins a phase of a client, with ifIdle only if it is idle. It returns false if the client was let go or
// there is no room for its request.
func (i *Intake) begin(c *conn, p phase, ifIdle bool) bool {
	i.mu.Lock()
	s := i.table.clients[c.id]
	if s == nil || ifIdle && s.phase != phaseIdle {
		i.mu.Unlock()
		return s != nil
	}
	now := time.Now()
	victims, ok := i.table.begin(c.id, p, now)
	if !ok {
		i.refuse(ReasonConnections, now)
	}
	dropped := i.drop(victims, now)
	i.mu.Unlock()
	closeAll(dropped)
	return ok
}

func (i *Intake) crowded() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.table.crowded()
}

func closeAll(conns []*conn) {
	for _, c := range conns {
		_ = c.Conn.Close()
	}
}

// with calls f with the table.
func (i *Intake) with(f func(t *table, now time.Time)) {
	i.mu.Lock()
	defer i.mu.Unlock()
	f(i.table, time.Now())
}
