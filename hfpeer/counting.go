package hfpeer

import (
	"net"

	"github.com/rcrowley/go-metrics"
)

// countingConn counts the bytes read from and written to a connection.
type countingConn struct {
	net.Conn
	in, out metrics.Counter
}

// CountBytes wraps a connection and adds the number of bytes read to in and the number of
// bytes written to out.
func CountBytes(c net.Conn, in, out metrics.Counter) net.Conn {
	return &countingConn{Conn: c, in: in, out: out}
}

// Read implements net.Conn. It returns the error unwrapped, because callers of an
// io.Reader compare it with io.EOF.
func (c *countingConn) Read(b []byte) (n int, err error) {
	n, err = c.Conn.Read(b)
	c.in.Inc(int64(n))
	return
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (n int, err error) {
	n, err = c.Conn.Write(b)
	c.out.Inc(int64(n))
	return
}
