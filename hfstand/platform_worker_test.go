package hfstand

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLedgerReportsInvalidStarts checks that the run log reports each kind of violation. The
// soak test relies on it.
func TestLedgerReportsInvalidStarts(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		before *Start
		used   int64
		want   int
	}{
		"first start":        {nil, 8, 0},
		"concurrent run":     {&Start{Task: "a.0.0.0", Run: 1}, 8, 1},
		"long after its end": {&Start{Task: "a.0.0.0", Run: 1, EndedAt: now.Add(-time.Minute), Outcome: "done"}, 8, 1},
		"after a failure":    {&Start{Task: "a.0.0.0", Run: 1, EndedAt: now.Add(-time.Minute), Outcome: "failed"}, 8, 0},
		"over its capacity":  {nil, 9, 1},
	} {
		t.Run(name, func(t *testing.T) {
			l := NewRunLog(nil)
			if c.before != nil {
				l.starts = append(l.starts, c.before)
			}
			l.checkStart(&Start{Task: "a.0.0.0", Run: 2, StartedAt: now}, c.used, 8)
			require.Len(t, l.Violations(), c.want)
		})
	}
}
