package hfreport

import (
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
)

func TestWriteText(t *testing.T) {
	r := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("b.calls", r).Inc(3)
	metrics.GetOrRegisterGauge("a.free", r).Update(7)
	metrics.GetOrRegisterTimer("c.latency", r).Update(20 * time.Millisecond)
	var b strings.Builder
	require.NoError(t, WriteText(&b, r))
	require.Equal(t, "a.free 7\nb.calls 3\nc.latency.count 1\nc.latency.max 20.000\nc.latency.p50 20.000\nc.latency.p90 20.000\nc.latency.p99 20.000\n", b.String())
}
