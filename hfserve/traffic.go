package hfserve

import (
	"context"
	"fmt"
	"net"

	"github.com/rcrowley/go-metrics"

	"github.com/heatherfront/heatherfront/hfpeer"
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
	return hfpeer.Counted(conn, t.counter(trafficIn), t.counter(trafficOut)), nil
}
