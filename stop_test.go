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

// balancer is a fake of the platform's load balancer. It picks among the instances that
// report themselves as ready, and checks their readiness every 100 ms.
type balancer struct {
	c     *cluster
	mu    sync.Mutex
	ready []*process
	next  atomic.Uint64
}

// pollReadiness updates the ready instances until stop is closed.
func (b *balancer) pollReadiness(stop chan struct{}) {
	for {
		var ready []*process
		for _, p := range b.c.processes {
			if b.c.isReady(p) {
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

// pick returns the next ready instance in turn, or nil if none is ready.
func (b *balancer) pick() *process {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return nil
	}
	return b.ready[b.next.Add(1)%uint64(len(b.ready))]
}

// replaceAll replaces every instance in turn under load, ending each one with a signal. It
// returns the number of requests that were sent, and of those without the right answer.
func replaceAll(t *testing.T, signal syscall.Signal) (sent, failed int64) {
	c := newCluster(t, 3, 0, 3)
	c.declareAccounts()
	b := &balancer{c: c}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { b.pollReadiness(stop) })
	require.Eventually(t, func() bool { return b.pick() != nil }, settleTimeout, 20*time.Millisecond)
	var sentCount, failedCount atomic.Int64
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
				a := c.do(http.MethodPost, p.url+"/v1/requests/"+work, plantCredential, "", []byte(body), "Service", "30")
				sentCount.Add(1)
				if a.err != nil || a.outcome != "done" || a.body != body {
					failedCount.Add(1)
					t.Logf("%s to %s: %d %s %s %v", work, p.name, a.status, a.outcome, a.body, a.err)
				}
			}
		})
	}
	for _, p := range c.processes {
		time.Sleep(500 * time.Millisecond)
		p.signal(signal)
		<-p.ended
		c.start(p)
		c.waitReady(p)
	}
	close(stop)
	wg.Wait()
	return sentCount.Load(), failedCount.Load()
}

// TestRollingReplacementCutsNoRequest replaces every instance with a planned stop, which must
// not fail any request.
func TestRollingReplacementCutsNoRequest(t *testing.T) {
	sent, failed := replaceAll(t, syscall.SIGTERM)
	require.Greater(t, sent, int64(100))
	require.Zero(t, failed, "failed requests of %d", sent)
}

// TestRollingKillsCutRequests replaces every instance with a kill. Some requests must fail,
// which shows that replaceAll detects failed requests.
func TestRollingKillsCutRequests(t *testing.T) {
	_, failed := replaceAll(t, syscall.SIGKILL)
	require.Positive(t, failed)
}
