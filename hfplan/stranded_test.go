package hfplan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hfplacement"
)

// Two large tasks leave cores, memory and accelerators on a worker that a third cannot use, while a small one can.
func TestLoadShowsWhatWaitingTasksCannotUse(t *testing.T) {
	w := newWorld(t, 1, 2)
	for _, f := range w.fleet {
		f.registration.Cpu, f.registration.Memory = 32_000, 64_000
	}
	w.replaceScheduler()
	w.advance(time.Second)
	large := single(5, time.Hour)
	large.Cpu, large.Memory, large.Accelerators = 13_000, 26_000, 2
	w.submit("large", "usual", large)
	w.advance(time.Second)
	require.Equal(t, 4, w.running("large"))
	require.Equal(t, hfplacement.NewResources(12_000, 24_000, 8), w.s.Load(w.now).Stranded())

	small := single(5, time.Hour)
	small.Cpu, small.Memory = 2_800, 5_700
	w.submit("small", "spare", small)
	w.advance(time.Second)
	require.Equal(t, 4, w.running("small"))
	require.Equal(t, hfplacement.NewResources(2*400, 2*600, 4), w.s.Load(w.now).Stranded())

	w.cancel("large")
	w.advance(time.Second)
	require.Zero(t, w.s.Load(w.now).Stranded(), "nothing waits")
}
