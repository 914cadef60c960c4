package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// balancer stands for the platform's: it sends requests to the instances that say
// that they are ready, and looks again every 100 ms.
type balancer struct {
	c     *cluster
	mu    sync.Mutex
	ready []*process
	next  atomic.Uint64
}

func (b *balancer) look(stop chan struct{}) {
	for {
		var ready []*process
		for _, p := range b.c.nodes {
			if b.c.ready(p) {
				ready = append(ready, p)
			}
		}
		b.mu.Lock()
		b.ready = ready
		b.mu.Unlock()
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}

func (b *balancer) pick() *process {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return nil
	}
	return b.ready[b.next.Add(1)%uint64(len(b.ready))]
}

// replaceAll replaces every instance in turn under load, ending each one with a
// signal. It returns how many requests were sent and how many were cut off.
func replaceAll(t *testing.T, with syscall.Signal) (sent, cut int64) {
	c := newCluster(t, 3, 0, 3)
	c.declare()
	b := &balancer{c: c}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { b.look(stop) })
	require.Eventually(t, func() bool { return b.pick() != nil }, settle, 20*time.Millisecond)
	var total, lost atomic.Int64
	for n := range 8 {
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				p := b.pick()
				if p == nil {
					continue
				}
				body := fmt.Sprintf("%d of %d", i, n)
				work := []string{"lookup", "backfill"}[i%2]
				a := c.do(http.MethodPost, p.url+"/v1/requests/"+work, plant, "", []byte(body), "Service", "30")
				total.Add(1)
				if a.err != nil || a.outcome != "done" || a.body != body {
					lost.Add(1)
					t.Logf("%s to %s: %d %s %s %v", work, p.name, a.status, a.outcome, a.body, a.err)
				}
			}
		})
	}
	for _, p := range c.nodes {
		time.Sleep(500 * time.Millisecond)
		p.signal(with)
		<-p.ended
		c.start(p)
		c.waitReady(p)
	}
	close(stop)
	wg.Wait()
	return total.Load(), lost.Load()
}

// TestRollingReplacementCutsNoRequest ends every instance as planned.
func TestRollingReplacementCutsNoRequest(t *testing.T) {
	sent, cut := replaceAll(t, syscall.SIGTERM)
	require.Greater(t, sent, int64(100))
	require.Zero(t, cut, "of %d requests", sent)
}

// TestRollingKillsAreFound is the same with instances that are killed: the test has
// to see the requests that this cuts off.
func TestRollingKillsAreFound(t *testing.T) {
	_, cut := replaceAll(t, syscall.SIGKILL)
	require.Positive(t, cut)
}
