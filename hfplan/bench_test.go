package hfplan

import (
	"fmt"
	"testing"
	"time"

	"github.com/heatherfront/heatherfront/hfcrash"
	"github.com/heatherfront/heatherfront/hfsuspect"
	"github.com/heatherfront/heatherfront/hfwork"
)

// BenchmarkPass measures a scheduling pass on fully used workers with a long queue,
// for different numbers of workers.
func BenchmarkPass(b *testing.B) {
	for _, racks := range []int{6, 44, 138} {
		b.Run(fmt.Sprintf("workers-%d", racks*8), func(b *testing.B) {
			w := newBusyWorld(b, racks)
			b.ReportAllocs()
			for b.Loop() {
				w.s.needsPass = true
				w.s.Update(PassMsg{}, w.now)
			}
		})
	}
}

// newBusyWorld returns a world with eight workers per rack that are fully used. Eight
// jobs of lower priority and one urgent gang are submitted per rack, most of which
// wait.
func newBusyWorld(b *testing.B, racks int) *world {
	b.Helper()
	w := newWorld(&testing.T{}, racks, 8)
	w.policy.Accounts[0].Guaranteed = 1
	w.advance(time.Second)
	for i := range racks * 8 {
		queue, step := "spare", single(uint32(8+i%16), 30*time.Second)
		if i%3 == 0 {
			queue, step = "usual", gang(uint32(2+i%7), 4, 30*time.Second)
		}
		w.submit(fmt.Sprintf("j%04d", i), queue, step)
	}
	w.advance(2 * time.Second)
	for i := range racks {
		w.submit(fmt.Sprintf("u%04d", i), "urgent", gang(uint32(2+i%7), 8, 30*time.Second))
	}
	w.advance(2 * time.Second)
	return w
}

// BenchmarkReport measures the processing of a report from a busy worker.
func BenchmarkReport(b *testing.B) {
	w := newBusyWorld(b, 6)
	worker := w.fleet["w0-0"]
	var running []hfwork.Run
	for _, name := range sortedKeys(worker.runs) {
		running = append(running, hfwork.NewRun(worker.runs[name].task, worker.runs[name].number, "", 100, 0))
	}
	b.ReportAllocs()
	for b.Loop() {
		w.s.Update(Report("w0-0", w.now, hfwork.NewReport(0, worker.incarnation, running, nil)), w.now)
	}
}

// BenchmarkPassAfterCrashes measures a pass in which every waiting job had a task on a worker that crashed: as a
// victim, or as a suspect.
func BenchmarkPassAfterCrashes(b *testing.B) {
	for share, name := range []string{"none", "victims", "suspects"} {
		b.Run(name, func(b *testing.B) {
			w := newBusyWorld(b, 44)
			for _, g := range w.s.groups {
				if share > 0 && g.waiting() > 0 {
					g.crashed = true
					for i := range g.tasks {
						if g.tasks[i].waiting() {
							g.tasks[i].crashes = crashes{Count: hfcrash.New(1, 0, 0, 0, 0), suspect: share == 2}
							break
						}
					}
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				w.s.needsPass = true
				w.s.Update(PassMsg{}, w.now)
			}
		})
	}
}

// BenchmarkPassUnderContention measures a pass on fully used workers while short urgent jobs of ten accounts wait, one
// for each worker, in both orders.
func BenchmarkPassUnderContention(b *testing.B) {
	for _, racks := range []int{44, 90} {
		for _, order := range Orders() {
			b.Run(fmt.Sprintf("workers-%d/%s", racks*8, order), func(b *testing.B) {
				w := newWorld(&testing.T{}, racks, 8)
				w.order = order
				w.replaceScheduler()
				w.advance(time.Second)
				for i := range racks {
					w.submitFor(fmt.Sprint("a", i%10), fmt.Sprintf("b%04d", i), "usual", single(64, 30*time.Second))
				}
				w.advance(2 * time.Second)
				for i := range racks * 8 {
					w.submitFor(fmt.Sprint("a", i%10), fmt.Sprintf("u%04d", i), "urgent", single(uint32(12+i%4), 2*time.Second))
				}
				w.advance(100 * time.Millisecond)
				b.ReportAllocs()
				for b.Loop() {
					w.s.needsPass = true
					w.s.Update(PassMsg{}, w.now)
				}
			})
		}
	}
}

// BenchmarkPassWithSuspects measures a pass on 720 workers, without bad ones and during an outbreak in which a last
// attempt waits for workers that have proved sound.
func BenchmarkPassWithSuspects(b *testing.B) {
	for _, name := range []string{"none", "outbreak"} {
		b.Run(name, func(b *testing.B) {
			w := newBusyWorld(b, 90)
			if name == "outbreak" {
				for i := range 12 {
					for _, job := range []string{"x", "y"} {
						w.s.judge.Failed(hfsuspect.Failure{Worker: fmt.Sprintf("w%d-3", i), Pool: "pool", Job: job, Started: w.now, Early: true}, 720, w.now)
					}
				}
				w.s.proofsWanted["pool"] = w.now.Add(time.Hour)
			}
			b.ReportAllocs()
			for b.Loop() {
				w.s.needsPass = true
				w.s.Update(PassMsg{}, w.now)
			}
		})
	}
}
