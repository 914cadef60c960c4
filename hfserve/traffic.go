package hfserve

import (
	"context"
	"fmt"
	"net"

	"github.com/rcrowley/go-metrics"

	"github.com/heatherfront/heatherfront/hfpeer"
)

// countingDialer counts the bytes between this instance and the platform: the store,
// the membership list, the workers and the endpoints' health checks. Callers' requests
// are not included.
type countingDialer struct {
	dialer   *net.Dialer
	registry metrics.Registry
}

const (
	metricBytesIn  = "platform.bytes.in"
	metricBytesOut = "platform.bytes.out"
)

// registerCounters adds the byte counters to a registry.
func (t *countingDialer) registerCounters(registry metrics.Registry) {
	for _, name := range []string{metricBytesIn, metricBytesOut} {
		_ = registry.Register(name, t.counter(name)) // fails only for a duplicate name, and no other metric uses these
	}
}

func (t *countingDialer) counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, t.registry)
}

// DialContext opens a connection whose bytes are counted.
func (t *countingDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := t.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, fmt.Errorf("dial platform: %w", err)
	}
	return hfpeer.CountBytes(conn, t.counter(metricBytesIn), t.counter(metricBytesOut)), nil
}
