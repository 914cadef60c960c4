package hfplan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against tasks that start in a failure domain after its evacuation was acknowledged, under this
// leader or the next one, and against work there that is thrown away.
func TestNoTaskStartsInAnEvacuatedDomain(t *testing.T) {
	w := newWorld(t, 2, 2)
	north := map[string]bool{}
	for id, f := range w.fleet {
		f.registration.Domain = "south"
		if f.registration.GetRack() == "r0" {
			f.registration.Domain, north[id] = "north", true
		}
	}
	inNorth := func(job string) int {
		n := 0
		for id := range north {
			for _, r := range w.fleet[id].runs {
				if r.task.Job() == job {
					n++
				}
			}
		}
		return n
	}
	w.advance(time.Second)
	before := single(4, time.Minute)
	before.Apart = 1
	w.submit("before", "usual", before)
	w.advance(time.Second)
	require.Equal(t, 2, inNorth("before"))

	w.evacuated = map[string]bool{"north": true}
	w.send(Workers(w.registered()).WithEvacuated(w.evacuated))
	w.submit("after", "usual", single(32, time.Minute))
	for range 3 {
		w.advance(2 * time.Second)
		require.Zero(t, inNorth("after"))
		require.Equal(t, 2, inNorth("before"), "work in progress goes on")
		w.replaceScheduler()
	}
	w.evacuated = nil
	w.send(Workers(w.registered()))
	w.advance(time.Second)
	require.Positive(t, inNorth("after"), "the domain was taken back")
}
