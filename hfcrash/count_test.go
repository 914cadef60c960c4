package hfcrash

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a budget that a deadly task does not exhaust, or an innocent one does.
func TestBudget(t *testing.T) {
	for name, c := range map[string]struct {
		total, early, alone  uint32
		exhausted            bool
		aloneTask, aloneGang bool
	}{
		"nothing":                  {},
		"early, one left":          {total: MaxTotal - 1, early: MaxTotal - 1},
		"early":                    {total: MaxTotal, early: MaxTotal, exhausted: true},
		"late":                     {total: 3 * MaxTotal, early: MinEarly - 1},
		"late and early, one left": {total: MaxTotal - 1, early: MinEarly},
		"late and early":           {total: MaxTotal, early: MinEarly, exhausted: true},
		"alone, one left":          {total: 1, early: 1, alone: MaxAlone - 1},
		"alone":                    {total: 2, early: 2, alone: MaxAlone, aloneTask: true},
		"alone, enough for a gang": {total: 3, early: 3, alone: MaxGangAlone, aloneTask: true, aloneGang: true},
	} {
		t.Run(name, func(t *testing.T) {
			count := New(c.total, c.early, c.alone, int64(c.total), int64(c.alone))
			require.Equal(t, c.exhausted, count.Exhausted())
			require.Equal(t, c.aloneTask, count.ExhaustedAlone(false))
			require.Equal(t, c.aloneGang, count.ExhaustedAlone(true))
		})
	}
}

// Guards against a run that counts twice, as each worker of a gang reports it, or not again after it was
// taken back.
func TestRunCountsOnce(t *testing.T) {
	var c Count
	require.True(t, c.Add(7, 0))
	c.AddEarly()
	c.AddAlone(7)
	require.False(t, c.Add(7, 0))
	require.False(t, c.Add(6, 0))
	c.AddAlone(7)
	require.Equal(t, New(1, 1, 1, 7, 7), c)
	c.Remove(7, true)
	require.True(t, c.Add(7, 0))
	require.True(t, c.Add(8, 0))
	c.Remove(7, false) // an earlier run
	require.False(t, c.Add(8, 0))
	require.Equal(t, uint32(1), c.Total())
}

// Guards against a task that runs for weeks and collects unrelated crashes.
func TestLongRunIsForgiven(t *testing.T) {
	c := New(4, 3, 1, 4, 2)
	require.True(t, c.Add(5, Memory-time.Nanosecond))
	require.Equal(t, uint32(5), c.Total())
	require.True(t, c.Add(6, Memory))
	require.Equal(t, New(1, 0, 0, 6, 0), c)
}
