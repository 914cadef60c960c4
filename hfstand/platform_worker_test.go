package hfstand

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLedgerReportsInvalidStarts checks that the run log reports each kind of violation. The
// soak test relies on it.
func TestLedgerReportsInvalidStarts(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		before *Start
		used   int64
		want   int
	}{
		"first start":        {nil, 8, 0},
		"concurrent run":     {&Start{Task: "a.0.0.0", Run: 1}, 8, 1},
		"long after its end": {&Start{Task: "a.0.0.0", Run: 1, EndedAt: now.Add(-time.Minute), Outcome: "done"}, 8, 1},
		"after a lost end":   {&Start{Task: "a.0.0.0", Run: 1, EndedAt: now.Add(-time.Minute), Outcome: "done", lost: true}, 8, 0},
		"after a failure":    {&Start{Task: "a.0.0.0", Run: 1, EndedAt: now.Add(-time.Minute), Outcome: "failed"}, 8, 0},
		"over its capacity":  {nil, 9, 1},
	} {
		t.Run(name, func(t *testing.T) {
			l := NewRunLog(nil)
			if c.before != nil {
				l.starts = append(l.starts, c.before)
			}
			l.checkStart(&Start{Task: "a.0.0.0", Run: 2, StartedAt: now}, c.used, 8)
			require.Len(t, l.Violations(), c.want)
		})
	}
}

// postOrder sends an order and returns the status of its answer.
func postOrder(t *testing.T, server *httptest.Server, path, body string) int {
	t.Helper()
	return postOrderWithin(t, server, path, body, 30*time.Second)
}

// postUnanswered sends an order that is to get no answer. It returns 0, or the status of its answer.
func postUnanswered(t *testing.T, server *httptest.Server, path, body string) int {
	t.Helper()
	return postOrderWithin(t, server, path, body, 200*time.Millisecond)
}

func postOrderWithin(t *testing.T, server *httptest.Server, path, body string, timeout time.Duration) int {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL+path, strings.NewReader(body))
	require.NoError(t, err)
	r.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	require.NoError(t, resp.Body.Close())
	return resp.StatusCode
}

// Guards against a stand-in that cannot do what made a task run twice: an order without an
// answer, carried out after newer ones.
func TestLateOrderIsCarriedOutAfterNewerOnes(t *testing.T) {
	l := NewRunLog(func(string) TaskProfile { return TaskProfile{RunTime: time.Hour, GangSize: 1} })
	w := NewPlatformWorker("w", 8, l)
	server := httptest.NewServer(w.Handler())
	defer server.Close()
	w.SetLateOrders(LateOrders{Share: 1, MinDelay: 400 * time.Millisecond, MaxDelay: 400 * time.Millisecond, Random: rand.New(rand.NewPCG(1, 1))})
	require.Zero(t, postUnanswered(t, server, "/v1/run-start", `{"task":"a.0.0.0","run":1,"until_ms":600000}`))
	w.SetLateOrders(LateOrders{})
	require.Equal(t, http.StatusOK, postOrder(t, server, "/v1/run-start", `{"task":"a.0.0.1","run":2,"until_ms":600000}`))
	require.Eventually(t, func() bool { return len(l.Starts()) == 2 }, 10*time.Second, 5*time.Millisecond)
	require.Equal(t, "a.0.0.1", l.Starts()[0].Task)
	require.Equal(t, "a.0.0.0", l.Starts()[1].Task)
	w.SetLateOrders(LateOrders{Share: 1, MinDelay: time.Millisecond, MaxDelay: time.Millisecond, Random: rand.New(rand.NewPCG(1, 1))})
	require.Zero(t, postUnanswered(t, server, "/v1/run-start", `{"task":"a.0.0.2","run":3,"until_ms":600000,"fence":-1}`))
	require.Len(t, l.Starts(), 2, "a late order with an old token has no effect")
}

// Guards against leases that end too early in the stand-in to show an overlap.
func TestLeaseOfWorker(t *testing.T) {
	w := NewPlatformWorker("w", 8, NewRunLog(func(string) TaskProfile { return TaskProfile{RunTime: time.Hour, GangSize: 1} }))
	const maxLease = 100_000 // milliseconds
	w.SetClock(0.98, maxLease*time.Millisecond)
	server := httptest.NewServer(w.Handler())
	defer server.Close()
	w.mu.Lock()
	w.bornAt = time.Now().Add(-100 * time.Second)
	w.mu.Unlock()
	// read returns the time and the end of the lease on the worker's clock.
	read := func() (now, leaseEnd int64) {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.clock(), int64(float64(w.leaseEnd.Sub(w.bornAt).Milliseconds()) * w.clockRate)
	}
	before, _ := read()
	require.GreaterOrEqual(t, before, int64(98_000))
	require.Equal(t, http.StatusOK, postOrder(t, server, "/v1/run-start", `{"task":"a.0.0.0","run":5,"until_ms":150000}`))
	_, leaseEnd := read()
	require.InDelta(t, 150_000, leaseEnd, 2)
	require.Equal(t, http.StatusConflict, postOrder(t, server, "/v1/run-start", `{"task":"a.0.0.0","run":4,"until_ms":160000}`))
	_, leaseEnd = read()
	require.InDelta(t, 160_000, leaseEnd, 2, "a start that is refused as old extends the lease too")
	before, _ = read()
	require.Equal(t, http.StatusOK, postOrder(t, server, "/v1/hold", `{"until_ms":900000}`))
	after, leaseEnd := read()
	require.GreaterOrEqual(t, leaseEnd, before+maxLease-2, "the longest lease counts from when the order is carried out")
	require.LessOrEqual(t, leaseEnd, after+maxLease)
}

// Guards against the soak missing a start after an end that the scheduler took note of.
func TestStartAfterNotedEndIsAViolation(t *testing.T) {
	for name, c := range map[string]struct {
		lapses, noted bool
		want          int
	}{
		"taken note of":            {false, true, 1},
		"never taken note of":      {false, false, 0},
		"lapsed before it is seen": {true, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			l := NewRunLog(func(string) TaskProfile { return TaskProfile{RunTime: time.Millisecond, GangSize: 1} })
			w := NewPlatformWorker("w", 8, l)
			server := httptest.NewServer(w.Handler())
			defer server.Close()
			require.Equal(t, http.StatusOK, postOrder(t, server, "/v1/run-start", `{"task":"a.0.0.0","run":1,"until_ms":600000}`))
			require.Eventually(t, func() bool { return l.Starts()[0].Outcome == "done" }, 10*time.Second, time.Millisecond)
			if c.lapses {
				w.mu.Lock()
				w.leaseEnd = time.Now()
				w.endLapsedRuns()
				w.mu.Unlock()
			}
			require.Equal(t, http.StatusOK, postOrder(t, server, "/v1/run-start", `{"task":"a.0.0.0","run":2,"until_ms":600000}`))
			require.Empty(t, l.Violations(), "the end may never be taken note of")
			if c.noted {
				require.Equal(t, http.StatusOK, postOrder(t, server, "/v1/hold", `{"last_seen":1,"until_ms":600000}`))
			}
			require.Len(t, l.Violations(), c.want)
		})
	}
}

// Guards against a crash that an open connection, a poll or a late order of the earlier
// incarnation outlives in the stand-in, and against an end that is reported of a run lost in it.
func TestTaskCrashesEachWorkerThatStartsIt(t *testing.T) {
	l := NewRunLog(func(task string) TaskProfile {
		return TaskProfile{RunTime: time.Hour, GangSize: 1, Accelerators: 1, Crashes: task == "a.0.0.0"}
	})
	w := NewPlatformWorker("w", 8, l)
	crashed := make(chan struct{}, 2)
	w.OnCrash(func() { crashed <- struct{}{} })
	server := httptest.NewUnstartedServer(w.Handler())
	server.Config.ConnContext = w.ConnContext
	server.Start()
	defer server.Close()
	held := make(chan error, 1)
	require.Equal(t, http.StatusOK, postOrder(t, server, "/v1/run-start", `{"task":"b.0.0.0","run":1,"until_ms":600000}`))
	go func() {
		resp, err := http.Post(server.URL+"/v1/hold", "application/json", strings.NewReader(`{"wait_ms":60000}`))
		if err == nil {
			_ = resp.Body.Close()
		}
		held <- err
	}()
	for run, id := range []string{"w", "w-2"} {
		before := w.Entry("pool", "", "z", "r", 1, 1, false)["born"]
		require.Equal(t, http.StatusOK, postOrder(t, server, "/v1/run-start", fmt.Sprintf(`{"task":"a.0.0.0","run":%d,"until_ms":600000}`, run+1)))
		<-crashed
		require.True(t, w.Down())
		require.Zero(t, postUnanswered(t, server, "/v1/hold", `{}`), "a crashed worker answers nothing")
		time.Sleep(2 * time.Millisecond) // born counts in milliseconds
		w.Return(id)
		require.Equal(t, id, w.ID())
		require.Greater(t, w.Entry("pool", "", "z", "r", 1, 1, false)["born"], before)
	}
	require.Error(t, <-held, "a poll that waits ends with the process")
	for _, s := range l.Starts() {
		require.Equal(t, "crash", s.Outcome, s.Task)
	}
	w.mu.Lock()
	require.Empty(t, w.runLists()["running"])
	require.Empty(t, w.runLists()["ended_runs"])
	w.mu.Unlock()
	require.Empty(t, l.Violations())
}

// Guards against a next incarnation in the stand-in that takes orders for the one before it.
func TestReturnedWorkerRefusesOrdersForItsEarlierID(t *testing.T) {
	w := NewPlatformWorker("w", 8, NewRunLog(func(string) TaskProfile { return TaskProfile{RunTime: time.Hour, GangSize: 1} }))
	server := httptest.NewUnstartedServer(w.Handler())
	server.Config.ConnContext = w.ConnContext
	server.Start()
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	// poll sends a poll on the open connection, and returns the status or 0.
	poll := func(conn net.Conn) int {
		_, _ = fmt.Fprintf(conn, "POST /v1/hold HTTP/1.1\r\nHost: w\r\n%s: w\r\nContent-Length: 2\r\n\r\n{}", expectedInstanceHeader)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			return 0
		}
		_ = resp.Body.Close()
		return resp.StatusCode
	}
	require.Equal(t, http.StatusOK, poll(conn))
	w.Crash()
	w.Return("w-2")
	require.Zero(t, poll(conn), "a connection ends with the process that accepted it")
	next, err := net.Dial("tcp", server.Listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = next.Close() }()
	require.Equal(t, http.StatusMisdirectedRequest, poll(next))
}

// Guards against a stand-in that takes a start over its shrunk resources for allowed, or one
// that only the notice of the shrink allows for a violation.
func TestStartOverShrunkResourcesIsViolation(t *testing.T) {
	for name, c := range map[string]struct {
		accelerators []int64       // one after the other, from 8 on
		ago          time.Duration // of the changes
		want         int
	}{
		"shrunk long ago":          {[]int64{2}, shrinkNotice + time.Second, 1},
		"shrunk just now":          {[]int64{2}, 0, 0},
		"shrunk and grown":         {[]int64{2, 3}, shrinkNotice + time.Second, 0},
		"shrunk in steps":          {[]int64{4, 2}, shrinkNotice + time.Second, 1},
		"still large enough":       {[]int64{3}, shrinkNotice + time.Second, 0},
		"shrunk to what is in use": {[]int64{2, 8, 2}, shrinkNotice + time.Second, 1},
	} {
		t.Run(name, func(t *testing.T) {
			l := NewRunLog(func(task string) TaskProfile {
				return TaskProfile{RunTime: time.Hour, GangSize: 1, Accelerators: int64(len(task) - len("a.0.0.0"))}
			})
			w := NewPlatformWorker("w", 8, l)
			server := httptest.NewServer(w.Handler())
			defer server.Close()
			require.Equal(t, http.StatusOK, postOrder(t, server, "/v1/run-start", `{"task":"aaa.0.0.0","run":1,"until_ms":600000}`))
			for _, n := range c.accelerators {
				w.Resize(n)
				require.Equal(t, n, w.Entry("pool", "", "z", "r", 1, 1, false)["capacity"].(map[string]int64)["gpu"])
			}
			w.mu.Lock()
			for i := range w.shrunk {
				w.shrunk[i].at = time.Now().Add(-c.ago)
			}
			w.mu.Unlock()
			require.Equal(t, http.StatusOK, postOrder(t, server, "/v1/run-start", `{"task":"bb.0.0.0","run":2,"until_ms":600000}`))
			require.Len(t, l.Starts(), 2)
			require.Zero(t, l.Starts()[0].EndedAt, "what runs goes on")
			require.Len(t, l.Violations(), c.want)
		})
	}
}

// Guards against members of a gang that end as done in the stand-in after one was lost in a crash.
func TestCrashBreaksGang(t *testing.T) {
	l := NewRunLog(func(task string) TaskProfile {
		return TaskProfile{RunTime: time.Hour, GangSize: 2, Crashes: task == "a.0.0.0"}
	})
	outcomes := func() []string {
		list := []string{}
		for _, s := range l.Starts() {
			list = append(list, s.Task+" "+s.Outcome)
		}
		return list
	}
	order := `{"task":"%s","run":1,"until_ms":600000}`
	for _, id := range []string{"w0", "w1"} {
		server := httptest.NewServer(NewPlatformWorker(id, 8, l).Handler())
		defer server.Close()
		if id == "w1" {
			require.Equal(t, http.StatusOK, postOrder(t, server, "/v1/run-start", fmt.Sprintf(order, "a.0.0.0")))
			break
		}
		require.Equal(t, http.StatusOK, postOrder(t, server, "/v1/run-start", fmt.Sprintf(order, "a.0.0.1")))
		require.Equal(t, http.StatusOK, postOrder(t, server, "/v1/run-start", fmt.Sprintf(order, "b.0.0.0")))
	}
	require.Eventually(t, func() bool { return l.Starts()[0].Outcome != "" && l.Starts()[2].Outcome != "" }, 10*time.Second, 5*time.Millisecond)
	require.Equal(t, []string{"a.0.0.1 broken", "b.0.0.0 ", "a.0.0.0 crash"}, outcomes())
}

// Guards against a restart in the stand-in that an open connection, a poll or a late order of the
// earlier incarnation outlives: an order that it accepted would reach the next one, which it cannot.
func TestRestartEndsConnections(t *testing.T) {
	l := NewRunLog(func(string) TaskProfile { return TaskProfile{RunTime: time.Hour, GangSize: 1} })
	w := NewPlatformWorker("w", 8, l)
	server := httptest.NewUnstartedServer(w.Handler())
	server.Config.ConnContext = w.ConnContext
	server.Start()
	defer func() { server.CloseClientConnections(); server.Close() }()
	// send sends an order on a new connection; receive returns the status of its answer, or 0.
	send := func(path, body string) net.Conn {
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: w\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
		require.NoError(t, err)
		return conn
	}
	receive := func(conn net.Conn) int {
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			require.NotErrorIs(t, err, os.ErrDeadlineExceeded, "the connection is open")
			return 0
		}
		_ = resp.Body.Close()
		return resp.StatusCode
	}
	start := `{"task":"a.0.0.0","run":1,"until_ms":600000}`
	idle := send("/v1/hold", `{}`)
	require.Equal(t, http.StatusOK, receive(idle))
	poll := send("/v1/hold", `{"wait_ms":60000}`)
	w.SetLateOrders(LateOrders{Share: 1, MinDelay: time.Second, MaxDelay: time.Second, Random: rand.New(rand.NewPCG(1, 1))})
	late := send("/v1/run-start", start)
	time.Sleep(100 * time.Millisecond) // both orders wait now
	w.SetLateOrders(LateOrders{})
	w.Restart()
	require.Zero(t, receive(poll), "a poll that waits ends with the process")
	require.Zero(t, receive(late), "a late order ends with the process")
	require.Zero(t, receive(idle), "an idle connection ends with the process that accepted it, too")
	time.Sleep(1200 * time.Millisecond) // beyond the delay of the late order
	require.Empty(t, l.Starts())
	require.Equal(t, http.StatusOK, receive(send("/v1/run-start", start)), "a new connection leads to the next incarnation")
}

// Guards against a soak that demands what no scheduler can know, an end which its worker forgot in a
// restart, or that overlooks a start after an end which was taken note of before the restart.
func TestEndOfEarlierIncarnationIsLostUnlessNoted(t *testing.T) {
	for name, c := range map[string]struct {
		lastSeen, want int
	}{
		"taken note of":     {1, 2},
		"not taken note of": {0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			l := NewRunLog(func(string) TaskProfile { return TaskProfile{RunTime: time.Millisecond, GangSize: 1} })
			w := NewPlatformWorker("w", 8, l)
			server := httptest.NewServer(w.Handler())
			defer server.Close()
			require.Equal(t, http.StatusOK, postOrder(t, server, "/v1/run-start", `{"task":"a.0.0.0","run":1,"until_ms":600000}`))
			require.Eventually(t, func() bool { return l.Starts()[0].Outcome == "done" }, 10*time.Second, time.Millisecond)
			require.Equal(t, http.StatusOK, postOrder(t, server, "/v1/hold", fmt.Sprintf(`{"last_seen":%d,"until_ms":600000}`, c.lastSeen)))
			w.Restart()
			l.mu.Lock()
			l.starts[0].EndedAt = time.Now().Add(-doneRecordTime - time.Second)
			l.starts[0].StartedAt = l.starts[0].EndedAt.Add(-time.Millisecond)
			l.mu.Unlock()
			require.Equal(t, http.StatusOK, postOrder(t, server, "/v1/run-start", `{"task":"a.0.0.0","run":2,"until_ms":600000}`))
			require.Len(t, l.Violations(), c.want)
		})
	}
}

// Guards against a refused order in the stand-in that has an effect: a stop that was refused left its
// run at work, and the scheduler took it for ended.
func TestRefusedOrderHasNoEffect(t *testing.T) {
	l := NewRunLog(func(string) TaskProfile { return TaskProfile{RunTime: time.Hour, GangSize: 1} })
	w := NewPlatformWorker("w", 8, l)
	server := httptest.NewServer(w.Handler())
	defer server.Close()
	require.Equal(t, http.StatusOK, postOrder(t, server, "/v1/run-start", `{"task":"a.0.0.0","run":1,"until_ms":600000}`))
	w.SetRefusals(Refusals{Share: 1, Random: rand.New(rand.NewPCG(1, 1))})
	statuses := map[int]bool{}
	for range 20 {
		statuses[postOrder(t, server, "/v1/run-stop", `{"task":"a.0.0.0","run":1}`)] = true
		statuses[postOrder(t, server, "/v1/run-start", `{"task":"b.0.0.0","run":1,"until_ms":600000}`)] = true
	}
	require.Equal(t, map[int]bool{http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true}, statuses)
	time.Sleep(2 * stopDelay)
	require.Len(t, l.Starts(), 1)
	require.Empty(t, l.Starts()[0].Outcome)
	w.SetRefusals(Refusals{})
	require.Equal(t, http.StatusOK, postOrder(t, server, "/v1/run-stop", `{"task":"a.0.0.0","run":1}`))
	require.Eventually(t, func() bool { return l.Starts()[0].Outcome == "stopped" }, 10*time.Second, 5*time.Millisecond)
}

// Guards against a soak that overlooks an order for an earlier incarnation: its lease end, on the clock
// of that one, is far ahead of the clock of the next one.
func TestLeaseEndOnClockOfEarlierIncarnationIsViolation(t *testing.T) {
	const maxLease = 4000 // milliseconds
	for _, path := range []string{"/v1/run-start", "/v1/hold"} {
		for untilMS, want := range map[int64]int{maxLease: 0, maxLease + 300: 0, maxLease + 3000: 1, 60_000: 1} {
			l := NewRunLog(func(string) TaskProfile { return TaskProfile{RunTime: time.Hour, GangSize: 1} })
			w := NewPlatformWorker("w", 8, l)
			w.SetClock(1, maxLease*time.Millisecond)
			server := httptest.NewServer(w.Handler())
			require.Equal(t, http.StatusOK, postOrder(t, server, path, fmt.Sprintf(`{"task":"a.0.0.0","run":1,"until_ms":%d}`, untilMS)))
			server.Close()
			require.Len(t, l.Violations(), want, "%s %d", path, untilMS)
		}
	}
}
