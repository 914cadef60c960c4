package hfstand

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The soak relies on what the runners see: the wrong starts are planted here.
func TestLedgerSeesWrongStarts(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		before *Start
		room   int64
		want   int
	}{
		"first start":            {nil, 8, 0},
		"twice at once":          {&Start{Task: "a.0.0.0", Run: 1}, 8, 1},
		"long after it was done": {&Start{Task: "a.0.0.0", Run: 1, End: now.Add(-time.Minute), How: "done"}, 8, 1},
		"after a failure":        {&Start{Task: "a.0.0.0", Run: 1, End: now.Add(-time.Minute), How: "failed"}, 8, 0},
		"over its room":          {nil, 9, 1},
	} {
		t.Run(name, func(t *testing.T) {
			l := NewLedger(nil)
			if c.before != nil {
				l.starts = append(l.starts, c.before)
			}
			l.check(&Start{Task: "a.0.0.0", Run: 2, At: now}, c.room, 8)
			require.Len(t, l.Broken(), c.want)
		})
	}
}
