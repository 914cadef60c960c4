package hfserve

import (
	"context"
	"fmt"
	"net"

	"github.com/rcrowley/go-metrics"
)

// traffic counts the bytes between this instance and the platform: the store, the
// membership list, the workers and the endpoints' health pages. Callers' requests
// are not among them.
type traffic struct {
	next     *net.Dialer
	registry metrics.Registry
}

const (
	trafficIn  = "platform.bytes.in"
	trafficOut = "platform.bytes.out"
)

// show lists the counters in a registry.
func (t *traffic) show(into metrics.Registry) {
	for _, name := range []string{trafficIn, trafficOut} {
		_ = into.Register(name, t.counter(name)) // the names are this type's own
	}
}

func (t *traffic) counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, t.registry)
}

// DialContext opens a connection whose bytes are counted.
func (t *traffic) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := t.next.DialContext(ctx, network, address)
	if err != nil {
		return nil, fmt.Errorf("dial platform: %w", err)
	}
	return &countedConn{Conn: conn, in: t.counter(trafficIn), out: t.counter(trafficOut)}, nil
}

type countedConn struct {
	net.Conn
	in, out metrics.Counter
}

// Read implements net.Conn. The error is passed on as it is, as io.Reader asks.
func (c *countedConn) Read(b []byte) (n int, err error) {
	n, err = c.Conn.Read(b)
	c.in.Inc(int64(n))
	return
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (n int, err error) {
	n, err = c.Conn.Write(b)
	c.out.Inc(int64(n))
	return
}
