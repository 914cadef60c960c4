package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hfstand"
)

func newID() string { return uuid.Must(uuid.NewV7()).String() }

// receipt is one sending of a request, with what its caller was told.
type receipt struct {
	id, body string
	once     bool
	answer   answer
}

// truth compares what callers were told with what the minions did. It returns the
// first contradiction.
func truth(receipts []receipt, runs map[string]int) error {
	for _, r := range receipts {
		ran := runs[r.id]
		switch {
		case r.once && ran > 1:
			return fmt.Errorf("non-idempotent request %s ran %d times", r.id, ran)
		case r.answer.outcome == "done" && r.answer.body != r.body:
			return fmt.Errorf("request %s got %q for %q", r.id, r.answer.body, r.body)
		case r.answer.outcome == "done" && ran == 0:
			return fmt.Errorf("request %s was told done and did not run", r.id)
		case r.answer.outcome == "not-run" && ran > 0:
			return fmt.Errorf("request %s was told not-run and ran %d times", r.id, ran)
		case r.answer.err == nil && r.answer.outcome == "" && r.answer.status == http.StatusOK:
			return fmt.Errorf("request %s was told nothing", r.id)
		}
	}
	return nil
}

func (c *cluster) runs() map[string]int {
	runs := map[string]int{}
	for _, m := range c.minions {
		for id, n := range m.Runs() {
			runs[id] += n
		}
	}
	return runs
}

// load sends requests from several callers until stop is closed. Every fourth one is
// sent to two instances at once under one id.
func (c *cluster) load(callers int, stop chan struct{}) []receipt {
	var mu sync.Mutex
	var receipts []receipt
	var wg sync.WaitGroup
	for n := range callers {
		random := rand.New(rand.NewPCG(uint64(n), 7))
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				r := receipt{id: newID(), body: fmt.Sprintf("body %d of caller %d", i, n), once: i%2 == 0}
				work := "lookup"
				if r.once {
					work = "backfill"
				}
				service := fmt.Sprint(random.IntN(20))
				copies := 1
				if i%4 == 0 {
					copies = 2
				}
				var both sync.WaitGroup
				for k := range copies {
					p := c.nodes[(n+i+k)%len(c.nodes)]
					both.Go(func() {
						sent := r
						sent.answer = c.do(http.MethodPost, p.url+"/v1/requests/"+work, plant, r.id, []byte(r.body), "Service", service)
						mu.Lock()
						receipts = append(receipts, sent)
						mu.Unlock()
					})
				}
				both.Wait()
			}
		})
	}
	wg.Wait()
	return receipts
}

// requestFaults is the fault table of requests: each is put in, and taken back
// after a while.
func (c *cluster) requestFaults() map[string][2]func() {
	node := c.nodes[len(c.nodes)-1]
	minion := c.minions["m0"]
	clean := func() { minion.Fault(hfstand.MinionFault{}) }
	return map[string][2]func(){
		"minion truncates":      {func() { minion.Fault(hfstand.MinionFault{Truncate: true}) }, clean},
		"minion fails":          {func() { minion.Fault(hfstand.MinionFault{Fail: true}) }, clean},
		"minion mixes answers":  {func() { minion.Fault(hfstand.MinionFault{Mix: true}) }, clean},
		"minion is slow":        {func() { minion.Fault(hfstand.MinionFault{Slow: 300}) }, clean},
		"minion has less slots": {func() { minion.Fault(hfstand.MinionFault{Lie: 1}) }, clean},
		"minion drains quietly": {func() { minion.Fault(hfstand.MinionFault{Drain: true, Quiet: true}) }, clean},
		"store down":            {func() { c.store.Fault(hfstand.StoreFault{Down: true}) }, func() { c.store.Fault(hfstand.StoreFault{}) }},
		"store slow":            {func() { c.store.Fault(hfstand.StoreFault{Slow: 200}) }, func() { c.store.Fault(hfstand.StoreFault{}) }},
		"store loses answers":   {func() { c.store.Fault(hfstand.StoreFault{Lost: 20}) }, func() { c.store.Fault(hfstand.StoreFault{}) }},
		"list down":             {func() { c.members.Fault(hfstand.MembersFault{Down: true}) }, func() { c.members.Fault(hfstand.MembersFault{}) }},
		"instance killed":       {func() { node.kill() }, func() { c.start(node) }},
		"instance frozen":       {func() { node.signal(syscall.SIGSTOP) }, func() { node.signal(syscall.SIGCONT) }},
		"links cut":             {func() { c.isolate(node, false, true) }, func() { c.isolate(node, false, false) }},
		"links cut one way":     {func() { node.relay.set(c.nodes[0].ip, true) }, func() { node.relay.set(c.nodes[0].ip, false) }},
		"cut off altogether":    {func() { c.isolate(node, true, true) }, func() { c.isolate(node, true, false) }},
		"instance killed while the store is down": {func() { c.store.Fault(hfstand.StoreFault{Down: true}); node.kill() }, func() {
			c.store.Fault(hfstand.StoreFault{})
			c.start(node)
		}},
	}
}

// TestTruthUnderFaults sends requests while one fault after another is put in, and
// then compares every answer with what ran.
func TestTruthUnderFaults(t *testing.T) {
	c := newCluster(t, 3, 0, 3)
	c.declare()
	for name, fault := range c.requestFaults() {
		t.Run(name, func(t *testing.T) {
			stop := make(chan struct{})
			var receipts []receipt
			var wg sync.WaitGroup
			wg.Go(func() { receipts = c.load(6, stop) })
			time.Sleep(200 * time.Millisecond)
			fault[0]()
			time.Sleep(1500 * time.Millisecond)
			fault[1]()
			time.Sleep(300 * time.Millisecond)
			close(stop)
			wg.Wait()
			require.NoError(t, truth(receipts, c.runs()))
			require.NotEmpty(t, receipts)
			for _, p := range c.nodes {
				c.waitReady(p)
			}
		})
	}
	for name, m := range c.minions {
		require.LessOrEqual(t, m.Peak(), 8, name)
	}
}

// TestTruthFindsLies checks that the comparison itself finds each kind of lie.
func TestTruthFindsLies(t *testing.T) {
	done := answer{outcome: "done", body: "b", status: 200}
	for name, row := range map[string]struct {
		r    receipt
		runs int
	}{
		"ran twice":         {receipt{id: "x", body: "b", once: true, answer: done}, 2},
		"another's answer":  {receipt{id: "x", body: "other", answer: done}, 1},
		"done without run":  {receipt{id: "x", body: "b", answer: done}, 0},
		"not-run and ran":   {receipt{id: "x", body: "b", answer: answer{outcome: "not-run"}}, 1},
		"part of an answer": {receipt{id: "x", body: "bb", answer: done}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			require.Error(t, truth([]receipt{row.r}, map[string]int{"x": row.runs}))
		})
	}
}

// TestResendAfterDeath resends a request to another instance after the one that
// held it has died in the middle.
func TestResendAfterDeath(t *testing.T) {
	c := newCluster(t, 3, 0, 2)
	c.declare()
	id := newID()
	first := make(chan answer, 1)
	go func() {
		first <- c.do(http.MethodPost, c.nodes[2].url+"/v1/requests/backfill", plant, id, []byte("meter"), "Service", "2000")
	}()
	require.Eventually(t, func() bool { return c.runs()[id] == 1 }, settle, 10*time.Millisecond)
	c.nodes[2].kill()
	require.Error(t, (<-first).err)
	for _, p := range c.nodes[:2] {
		a := c.do(http.MethodPost, p.url+"/v1/requests/backfill", plant, id, []byte("meter"))
		require.Equal(t, "unknown", a.outcome, a.body)
	}
	require.Equal(t, 1, c.runs()[id])
}

// TestEndpointLeaves lets the list say nothing new: the other signs have to do.
func TestEndpointLeaves(t *testing.T) {
	c := newCluster(t, 2, 0, 2)
	c.declare()
	c.members.Fault(hfstand.MembersFault{Stuck: true})
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { c.load(4, stop) })
	time.Sleep(500 * time.Millisecond)
	sign := time.Now()
	c.minions["m0"].Fault(hfstand.MinionFault{Drain: true})
	time.Sleep(5 * time.Second)
	c.minions["m0"].Fault(hfstand.MinionFault{Quiet: true}) // would take work again; its word still counts
	time.Sleep(time.Second)
	close(stop)
	wg.Wait()
	require.Less(t, c.minions["m0"].Last().Sub(sign), 5*time.Second, "it got work long after it had begun to leave")
	require.Greater(t, c.minions["m1"].Last().Sub(sign), 5*time.Second, "the other one serves")
}
