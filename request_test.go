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

// sentRequest is a request that was sent to one instance, with its answer.
type sentRequest struct {
	id, body      string
	nonIdempotent bool
	answer        answer
}

// checkAnswers compares the answers that callers got with the number of runs on the minions
// by request id. It returns the first contradiction.
func checkAnswers(sent []sentRequest, runs map[string]int) error {
	for _, r := range sent {
		ran := runs[r.id]
		switch {
		case r.nonIdempotent && ran > 1:
			return fmt.Errorf("non-idempotent request %s ran %d times", r.id, ran)
		case r.answer.outcome == "done" && r.answer.body != r.body:
			return fmt.Errorf("request %s: answer %q, want %q", r.id, r.answer.body, r.body)
		case r.answer.outcome == "done" && ran == 0:
			return fmt.Errorf("request %s was answered as done but did not run", r.id)
		case r.answer.outcome == "not-run" && ran > 0:
			return fmt.Errorf("request %s was answered as not-run but ran %d times", r.id, ran)
		case r.answer.err == nil && r.answer.outcome == "" && r.answer.status == http.StatusOK:
			return fmt.Errorf("request %s got an answer without an outcome", r.id)
		}
	}
	return nil
}

// minionRuns returns the number of runs on all minions by request id.
func (c *cluster) minionRuns() map[string]int {
	runs := map[string]int{}
	for _, m := range c.minions {
		for id, n := range m.Runs() {
			runs[id] += n
		}
	}
	return runs
}

// sendUntilStopped sends requests from several callers until stop is closed, and returns
// them with their answers. Every second one is non-idempotent. Every fourth one is sent to
// two instances at once under one id.
func (c *cluster) sendUntilStopped(callers int, stop chan struct{}) []sentRequest {
	var mu sync.Mutex
	var requests []sentRequest
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
				r := sentRequest{id: newID(), body: fmt.Sprintf("body %d of caller %d", i, n), nonIdempotent: i%2 == 0}
				work := "lookup"
				if r.nonIdempotent {
					work = "backfill"
				}
				serviceMS := fmt.Sprint(random.IntN(20))
				copies := 1
				if i%4 == 0 {
					copies = 2
				}
				var copiesSent sync.WaitGroup
				for k := range copies {
					p := c.processes[(n+i+k)%len(c.processes)]
					copiesSent.Go(func() {
						sent := r
						sent.answer = c.do(http.MethodPost, p.url+"/v1/requests/"+work, plantCredential, r.id, []byte(r.body), "Service", serviceMS)
						mu.Lock()
						requests = append(requests, sent)
						mu.Unlock()
					})
				}
				copiesSent.Wait()
			}
		})
	}
	wg.Wait()
	return requests
}

// requestFaults returns the faults of TestAnswersMatchRunsUnderFaults: a function that
// injects each one, and a function that removes it.
func (c *cluster) requestFaults() map[string][2]func() {
	last := c.processes[len(c.processes)-1]
	minion := c.minions["m0"]
	clearFault := func() { minion.Fault(hfstand.MinionFault{}) }
	return map[string][2]func(){
		"minion truncates":                   {func() { minion.Fault(hfstand.MinionFault{Truncate: true}) }, clearFault},
		"minion fails":                       {func() { minion.Fault(hfstand.MinionFault{Fail: true}) }, clearFault},
		"minion answers for another request": {func() { minion.Fault(hfstand.MinionFault{WrongID: true}) }, clearFault},
		"minion is slow":                     {func() { minion.Fault(hfstand.MinionFault{Slow: 300}) }, clearFault},
		"minion has fewer slots":             {func() { minion.Fault(hfstand.MinionFault{RealSlots: 1}) }, clearFault},
		"minion drains unannounced":          {func() { minion.Fault(hfstand.MinionFault{Drain: true, HideDrain: true}) }, clearFault},
		"store down":                         {func() { c.store.Fault(hfstand.StoreFault{Down: true}) }, func() { c.store.Fault(hfstand.StoreFault{}) }},
		"store slow":                         {func() { c.store.Fault(hfstand.StoreFault{Slow: 200}) }, func() { c.store.Fault(hfstand.StoreFault{}) }},
		"store loses answers":                {func() { c.store.Fault(hfstand.StoreFault{LostAnswers: 20}) }, func() { c.store.Fault(hfstand.StoreFault{}) }},
		"list down":                          {func() { c.members.Fault(hfstand.MembersFault{Down: true}) }, func() { c.members.Fault(hfstand.MembersFault{}) }},
		"instance killed":                    {func() { last.kill() }, func() { c.start(last) }},
		"instance frozen":                    {func() { last.signal(syscall.SIGSTOP) }, func() { last.signal(syscall.SIGCONT) }},
		"links cut":                          {func() { c.isolate(last, false, true) }, func() { c.isolate(last, false, false) }},
		"links cut one way":                  {func() { last.peerProxy.setBlocked(c.processes[0].ip, true) }, func() { last.peerProxy.setBlocked(c.processes[0].ip, false) }},
		"cut off from all":                   {func() { c.isolate(last, true, true) }, func() { c.isolate(last, true, false) }},
		"instance killed while the store is down": {func() { c.store.Fault(hfstand.StoreFault{Down: true}); last.kill() }, func() {
			c.store.Fault(hfstand.StoreFault{})
			c.start(last)
		}},
	}
}

// TestAnswersMatchRunsUnderFaults sends requests under one fault after another and compares
// every answer with the runs on the minions. The number of requests that run at once on a
// minion must never exceed its slots.
func TestAnswersMatchRunsUnderFaults(t *testing.T) {
	c := newCluster(t, 3, 0, 3)
	c.declareAccounts()
	for name, fault := range c.requestFaults() {
		t.Run(name, func(t *testing.T) {
			stop := make(chan struct{})
			var sent []sentRequest
			var wg sync.WaitGroup
			wg.Go(func() { sent = c.sendUntilStopped(6, stop) })
			time.Sleep(200 * time.Millisecond)
			fault[0]()
			time.Sleep(1500 * time.Millisecond)
			fault[1]()
			time.Sleep(300 * time.Millisecond)
			close(stop)
			wg.Wait()
			require.NoError(t, checkAnswers(sent, c.minionRuns()))
			require.NotEmpty(t, sent)
			for _, p := range c.processes {
				c.waitReady(p)
			}
		})
	}
	for name, m := range c.minions {
		require.LessOrEqual(t, m.PeakBusy(), 8, name)
	}
}

// TestCheckAnswersDetectsContradictions checks that checkAnswers finds each kind of wrong
// answer.
func TestCheckAnswersDetectsContradictions(t *testing.T) {
	done := answer{outcome: "done", body: "b", status: 200}
	for name, tt := range map[string]struct {
		r    sentRequest
		runs int
	}{
		"ran twice":                 {sentRequest{id: "x", body: "b", nonIdempotent: true, answer: done}, 2},
		"answer of another request": {sentRequest{id: "x", body: "other", answer: done}, 1},
		"done without a run":        {sentRequest{id: "x", body: "b", answer: done}, 0},
		"not-run and ran":           {sentRequest{id: "x", body: "b", answer: answer{outcome: "not-run"}}, 1},
		"truncated answer":          {sentRequest{id: "x", body: "bb", answer: done}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			require.Error(t, checkAnswers([]sentRequest{tt.r}, map[string]int{"x": tt.runs}))
		})
	}
}

// TestResendAfterInstanceKilled kills an instance while it runs a non-idempotent request, and
// resends the request to the other instances. They must answer unknown and not run it again.
func TestResendAfterInstanceKilled(t *testing.T) {
	c := newCluster(t, 3, 0, 2)
	c.declareAccounts()
	id := newID()
	first := make(chan answer, 1)
	go func() {
		first <- c.do(http.MethodPost, c.processes[2].url+"/v1/requests/backfill", plantCredential, id, []byte("meter"), "Service", "2000")
	}()
	require.Eventually(t, func() bool { return c.minionRuns()[id] == 1 }, settleTimeout, 10*time.Millisecond)
	c.processes[2].kill()
	require.Error(t, (<-first).err)
	for _, p := range c.processes[:2] {
		a := c.do(http.MethodPost, p.url+"/v1/requests/backfill", plantCredential, id, []byte("meter"))
		require.Equal(t, "unknown", a.outcome, a.body)
	}
	require.Equal(t, 1, c.minionRuns()[id])
}

// TestLeavingEndpointGetsNoRequests drains an endpoint while the membership list stays as it
// was. The endpoint's refusals and health reports alone must make the instances stop sending it
// requests.
func TestLeavingEndpointGetsNoRequests(t *testing.T) {
	c := newCluster(t, 2, 0, 2)
	c.declareAccounts()
	c.members.Fault(hfstand.MembersFault{Stuck: true})
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { c.sendUntilStopped(4, stop) })
	time.Sleep(500 * time.Millisecond)
	drainStart := time.Now()
	c.minions["m0"].Fault(hfstand.MinionFault{Drain: true})
	time.Sleep(5 * time.Second)
	// m0 accepts requests again. It must get none, as it refused earlier ones as leaving.
	c.minions["m0"].Fault(hfstand.MinionFault{HideDrain: true})
	time.Sleep(time.Second)
	close(stop)
	wg.Wait()
	require.Less(t, c.minions["m0"].LastStart().Sub(drainStart), 5*time.Second, "the endpoint got requests 5 s after it began to drain")
	require.Greater(t, c.minions["m1"].LastStart().Sub(drainStart), 5*time.Second, "the other endpoint got no requests")
}
