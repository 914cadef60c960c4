package hfpeer

import (
	"net"

	"github.com/rcrowley/go-metrics"
)

// counted is a connection whose bytes are counted.
type counted struct {
	net.Conn
	in, out metrics.Counter
}

// Counted returns a connection that counts the bytes read in in and those written
// in out.
func Counted(c net.Conn, in, out metrics.Counter) net.Conn {
	return &counted{Conn: c, in: in, out: out}
}

// Read implements net.Conn. The error is passed on as it is, as io.Reader asks.
func (c *counted) Read(b []byte) (n int, err error) {
	n, err = c.Conn.Read(b)
	c.in.Inc(int64(n))
	return
}

// Write implements net.Conn.
func (c *counted) Write(b []byte) (n int, err error) {
	n, err = c.Conn.Write(b)
	c.out.Inc(int64(n))
	return
}
