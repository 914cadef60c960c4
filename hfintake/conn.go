package hfintake

import (
	"fmt"
	"net"
	"time"
)

// listener accepts connections within the limits.
type listener struct {
	net.Listener
	intake *Intake
}

// Accept implements net.Listener. It closes a connection for which there is no room.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err //nolint:wrapcheck // http.Server compares it
		}
		if c := l.intake.open(raw); c != nil {
			return c, nil
		}
		_ = raw.Close()
	}
}

// Host returns an address without its port.
func Host(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

// open returns a connection that is kept within the limits, or nil if there is no room.
func (i *Intake) open(raw net.Conn) *conn {
	source := Host(raw.RemoteAddr().String())
	i.mu.Lock()
	for pause := i.table.pause(time.Now()); pause > 0; pause = i.table.pause(time.Now()) {
		i.mu.Unlock()
		time.Sleep(pause)
		i.mu.Lock()
	}
	now := time.Now()
	id, victims, ok := i.table.open(source, now)
	dropped := i.drop(victims, now)
	var c *conn
	if ok {
		c = &conn{Conn: raw, intake: i, id: id}
		i.conns[id] = c
	} else {
		i.refuse(ReasonConnections, now)
	}
	i.updateGauges()
	i.mu.Unlock()
	closeAll(dropped)
	return c
}

// conn is a connection of a client.
type conn struct {
	net.Conn
	intake *Intake
	id     uint64
	head   headScanner // guarded by the mutex of intake
}

// Read implements net.Conn. It fails once a head has too many lines.
func (c *conn) Read(b []byte) (int, error) {
	i := c.intake
	i.mu.Lock()
	s := i.table.clients[c.id]
	// The scanner may have missed the start of a head that came with the request before. Its end is read in
	// phaseHead, what comes later is a body.
	exceeded := !i.sealed && s != nil && s.phase == phaseHead && c.head.exceeded()
	if exceeded {
		i.refuse(ReasonHead, time.Now())
	}
	i.mu.Unlock()
	if exceeded {
		return 0, errHead
	}
	n, err := c.Conn.Read(b)
	if n > 0 && !i.begin(c, phaseHead, true) {
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: ErrFull} // closed without an answer
	}
	i.with(func(t *table, now time.Time) {
		s := t.clients[c.id]
		if s == nil || n == 0 {
			return
		}
		s.progress = now
		if s.phase == phaseHead {
			c.head.scan(b[:n])
		}
	})
	return n, err //nolint:wrapcheck // readers compare it with io.EOF
}

// Write implements net.Conn. A caller that does not read a part of an answer in time is let go.
func (c *conn) Write(b []byte) (int, error) {
	i := c.intake
	if len(b) > smallBody {
		i.mu.Lock()
		now := time.Now()
		dropped := i.drop(i.table.beginAnswer(c.id, int64(len(b)), now), now)
		i.updateGauges()
		i.mu.Unlock()
		closeAll(dropped)
		defer i.with(func(t *table, _ time.Time) {
			t.endAnswer(c.id)
			i.updateGauges()
		})
	}
	written := 0
	for {
		part := b[written:min(written+writePart, len(b))]
		now := time.Now()
		c.setWriting(true)
		if err := c.SetWriteDeadline(now.Add(answerTimeout)); err != nil {
			return written, fmt.Errorf("set deadline of answer: %w", err)
		}
		n, err := c.Conn.Write(part)
		c.setWriting(false)
		written += n
		if err != nil || written == len(b) {
			return written, err //nolint:wrapcheck // an error of the connection
		}
	}
}

func (c *conn) setWriting(writing bool) {
	c.intake.with(func(t *table, now time.Time) {
		if s := t.clients[c.id]; s != nil {
			s.writing, s.progress = writing, now
		}
	})
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.intake.with(func(t *table, _ time.Time) {
		t.remove(c.id)
		delete(c.intake.conns, c.id)
		c.intake.updateGauges()
	})
	return c.Conn.Close() //nolint:wrapcheck // as net.Conn
}
