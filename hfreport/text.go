package hfreport

import (
	"cmp"
	"fmt"
	"io"
	"slices"

	"github.com/rcrowley/go-metrics"
)

// nanosPerMilli converts the nanoseconds of timers to milliseconds.
const nanosPerMilli = 1e6

// quantiles are the latency quantiles that WriteText writes for a timer.
var quantiles = []float64{0.5, 0.9, 0.99}

// WriteText writes the metrics of a registry as sorted lines that each consist of a
// name and a value. Latencies are in milliseconds.
func WriteText(w io.Writer, registry metrics.Registry) error {
	var lines []string
	registry.Each(func(name string, metric any) {
		switch m := metric.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("%s %d", name, m.Count()))
		case metrics.Gauge:
			lines = append(lines, fmt.Sprintf("%s %d", name, m.Value()))
		case metrics.Timer:
			s := m.Snapshot()
			lines = append(lines, fmt.Sprintf("%s.count %d", name, s.Count()))
			for i, v := range s.Percentiles(quantiles) {
				lines = append(lines, fmt.Sprintf("%s.p%g %.3f", name, 100*quantiles[i], v/nanosPerMilli))
			}
			lines = append(lines, fmt.Sprintf("%s.max %.3f", name, float64(s.Max())/nanosPerMilli))
		}
	})
	slices.SortFunc(lines, cmp.Compare[string])
	for _, line := range lines {
		if _, err := fmt.Fprintln(w, line); err != nil {
			return fmt.Errorf("write metrics: %w", err)
		}
	}
	return nil
}
