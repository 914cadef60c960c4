package hfreport

import (
	"cmp"
	"fmt"
	"io"
	"slices"

	"github.com/rcrowley/go-metrics"
)

// quantiles of latency that are shown.
var quantiles = []float64{0.5, 0.9, 0.99}

// WriteText writes a registry as lines of a name and a value, in the order of the names.
// Latencies are in milliseconds.
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
				lines = append(lines, fmt.Sprintf("%s.p%g %.3f", name, 100*quantiles[i], v/1e6))
			}
			lines = append(lines, fmt.Sprintf("%s.max %.3f", name, float64(s.Max())/1e6))
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
