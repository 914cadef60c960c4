package hfstand

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"time"
)

// Silencer opens connections that can go silent: they neither deliver nor receive anything more, and
// are not closed. Connections that are opened later work.
type Silencer struct {
	mu    sync.Mutex
	conns []*silentConn // that are not silent
}

// DialContext opens a connection.
func (s *Silencer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &silentConn{Conn: conn, silent: make(chan struct{}), closed: make(chan struct{})}
	s.conns = append(s.conns, c)
	return c, nil
}

// Silence makes all present connections silent.
func (s *Silencer) Silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		close(c.silent)
		_ = c.Conn.SetDeadline(time.Unix(1, 0)) // ends a read in progress
	}
	s.conns = nil
}

type silentConn struct {
	net.Conn
	silent    chan struct{}
	closed    chan struct{}
	closeOnce sync.Once
}

func (c *silentConn) isSilent() bool {
	select {
	case <-c.silent:
		return true
	default:
		return false
	}
}

// Read implements net.Conn.
func (c *silentConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.isSilent() {
		return n, err
	}
	<-c.closed
	return 0, os.ErrDeadlineExceeded
}

// Write implements net.Conn.
func (c *silentConn) Write(p []byte) (int, error) {
	if c.isSilent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *silentConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
