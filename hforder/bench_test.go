package hforder

import (
	"fmt"
	"testing"
	"time"

	"github.com/heatherfront/heatherfront/hfplan"
	"github.com/heatherfront/heatherfront/hfwork"
)

// BenchmarkNextOrder measures the choice of the next order while all workers have some queued.
func BenchmarkNextOrder(b *testing.B) {
	for _, workers := range []int{100, 1100, 3000} {
		b.Run(fmt.Sprint("workers-", workers), func(b *testing.B) {
			var o outbox
			for range workers {
				d := &dispatcher{worker: &hfwork.Worker{}}
				for range 4 {
					d.queue.add(order{start: &hfplan.StartCmd{}, sequence: o.nextSequence()}, time.Now())
				}
				o.enqueued(d)
			}
			for b.Loop() {
				d, next, ok := o.next(time.Now())
				if !ok {
					b.Fatal("no order")
				}
				(&windowPlace{outbox: &o}).finish(0, nil)
				d.finishOrder()
				d.finishStart(*next.start)
				d.queue.add(next, time.Now())
			}
		})
	}
}
