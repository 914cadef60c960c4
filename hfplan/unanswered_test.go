package hfplan

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hfcrash"
	"github.com/heatherfront/heatherfront/hfwork"
)

// Jobs were shown as failed none of whose starts had got an answer: each was lost on its way to a worker
// that crashed behind a cut (review/8).
func TestCrashesAfterUnansweredStartsFailNoJob(t *testing.T) {
	for name, answer := range map[string]func(d *desk, c StartCmd){
		"no answer yet": func(*desk, StartCmd) {},
		"no answer":     func(d *desk, c StartCmd) { d.send(Started(c, OutcomeUnknown)) },
		"no answer, and a stop that is confirmed": func(d *desk, c StartCmd) {
			d.send(Started(c, OutcomeUnknown))
			d.send(Stopped(stopOf(c), OutcomeDone))
		},
	} {
		for _, count := range []uint32{1, 2} { // a task, and a gang
			t.Run(name, func(t *testing.T) {
				lives, ids := 3, []string{"w1", "w2", "w3"}
				d := newDesk(t, 1, ids...)
				for _, id := range ids {
					d.report(id)
				}
				step := deskStep(count)
				step.Gang = count > 1
				d.submit("a", step)
				for crashes := range 3 * hfcrash.MaxTotal {
					var starts []StartCmd
					for range 100 {
						d.store()
						if starts = d.takeStarts(); len(starts) > 0 {
							break
						}
						d.advance(100 * time.Millisecond)
					}
					require.Len(t, starts, int(count), "after %d crashes", crashes)
					answer(d, starts[0])
					for _, c := range starts {
						lives++
						next := fmt.Sprint("w", lives)
						ids[slices.Index(ids, c.Worker())] = next
						d.send(Workers(deskWorkers(ids...)))
						d.send(WorkerReplaced(c.Worker(), 1))
						d.report(next)
					}
					require.NotEqual(t, hfwork.StateFailed, d.s.jobs["a"].state, d.s.jobs["a"].reason)
				}
			})
		}
	}
}
