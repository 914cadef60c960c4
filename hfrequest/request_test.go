package hfrequest

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/heatherfront/heatherfront/hfconfig"
	"github.com/heatherfront/heatherfront/hfseed"
)

func TestJudge(t *testing.T) {
	for name, row := range map[string]struct {
		trace Trace
		want  Outcome
	}{
		"nothing sent":               {NewTrace(false), OutcomeNotRun},
		"sent, no answer":            {NewTrace(true), OutcomeUnknown},
		"whole answer":               {Replied(200, true, true, false), OutcomeDone},
		"caller's fault":             {Replied(404, true, true, false), OutcomeDone},
		"ran and failed":             {Replied(500, true, true, false), OutcomeFailed},
		"broke off":                  {Replied(200, false, true, false), OutcomeUnknown},
		"failed and broke off":       {Replied(500, false, true, false), OutcomeUnknown},
		"another request's answer":   {Replied(200, true, false, false), OutcomeUnknown},
		"refused":                    {Replied(503, true, true, true), OutcomeNotRun},
		"refusal of another request": {Replied(503, true, false, true), OutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) { require.Equal(t, row.want, Judge(row.trace)) })
	}
}

// TestRetriesKeepToTheirRules makes random attempts: a non-idempotent request is
// never sent again after a byte may have left, and no call is told "not run" when
// an attempt may have run.
func TestRetriesKeepToTheirRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := attempts(t, NewRetries().Again, Overall); err != nil {
			t.Fatal(err)
		}
	})
}

type againFunc func(o Outcome, idempotent bool, attempts int, refused bool) bool

func attempts(t *rapid.T, again againFunc, overall func(*Answer, Answer) Answer) error {
	idempotent := rapid.Bool().Draw(t, "idempotent")
	traces := []Trace{
		NewTrace(false), NewTrace(true), Replied(200, true, true, false), Replied(500, true, true, false),
		Replied(200, false, true, false), Replied(503, true, true, true),
	}
	mayHaveRun := 0
	var earlier *Answer
	for n := 1; ; n++ {
		trace := rapid.SampledFrom(traces).Draw(t, "trace")
		a := Answer{outcome: Judge(trace)}
		if a.outcome != OutcomeNotRun {
			mayHaveRun++
		}
		if mayHaveRun > 1 && !idempotent {
			return fmt.Errorf("sent again after attempt %d may have run", n-1)
		}
		if n > maxAttempts {
			return fmt.Errorf("%d attempts", n)
		}
		if !again(a.outcome, idempotent, n, trace.Refused()) {
			if got := overall(earlier, a); got.outcome == OutcomeNotRun && mayHaveRun > 0 {
				return fmt.Errorf("told not-run after an attempt that may have run")
			}
			return nil
		}
		if a.outcome != OutcomeNotRun {
			earlier = &a
		}
	}
}

func TestWrongRetryRulesAreFound(t *testing.T) {
	ignoresBytes := func(o Outcome, _ bool, n int, _ bool) bool { return o != OutcomeDone && n < maxAttempts }
	forgets := func(_ *Answer, last Answer) Answer { return last }
	for name, run := range map[string]func(*rapid.T) error{
		"a retry that ignores bytes sent": func(t *rapid.T) error { return attempts(t, ignoresBytes, Overall) },
		"the last attempt alone is told":  func(t *rapid.T) error { return attempts(t, NewRetries().Again, forgets) },
	} {
		t.Run(name, func(t *testing.T) {
			require.True(t, hfseed.Finds(200, func(rt *rapid.T) error { return run(rt) }))
		})
	}
}

func TestRetryBudget(t *testing.T) {
	r := NewRetries()
	spent := 0
	for range 1000 {
		r.Earn()
		if r.Again(OutcomeFailed, true, 1, false) {
			spent++
		}
	}
	require.LessOrEqual(t, spent, retryReserve+100, "retries stay a tenth of the requests")
}

// TestExchange meets endpoints that misbehave.
func TestExchange(t *testing.T) {
	const body = "the whole answer"
	for name, row := range map[string]struct {
		serve http.HandlerFunc
		want  Outcome
	}{
		"whole": {func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(HeaderID, r.Header.Get(HeaderID))
			_, _ = io.WriteString(w, body)
		}, OutcomeDone},
		"breaks off": {func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(HeaderID, r.Header.Get(HeaderID))
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, body)
			panic(http.ErrAbortHandler)
		}, OutcomeUnknown},
		"breaks off in chunks": {func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(HeaderID, r.Header.Get(HeaderID))
			_, _ = io.WriteString(w, body)
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}, OutcomeUnknown},
		"ends with the connection": {func(w http.ResponseWriter, r *http.Request) {
			conn, _, _ := w.(http.Hijacker).Hijack()
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nConnection: close\r\n\r\n%s", HeaderID, r.Header.Get(HeaderID), body)
			_ = conn.Close()
		}, OutcomeUnknown},
		"another request's": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(HeaderID, "other")
			_, _ = io.WriteString(w, body)
		}, OutcomeUnknown},
		"too large": {func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(HeaderID, r.Header.Get(HeaderID))
			_, _ = io.WriteString(w, strings.Repeat("x", 2000))
		}, OutcomeUnknown},
		"too late": {func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		}, OutcomeUnknown},
		"refuses": {func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(HeaderID, r.Header.Get(HeaderID))
			w.Header().Set(HeaderOutcome, string(OutcomeNotRun))
			w.Header().Set(HeaderState, StateLeaving)
			w.WriteHeader(http.StatusServiceUnavailable)
		}, OutcomeNotRun},
		"closes at once": {func(w http.ResponseWriter, _ *http.Request) {
			conn, _, _ := w.(http.Hijacker).Hijack()
			_ = conn.Close()
		}, OutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(row.serve)
			defer server.Close()
			call := NewCall("id1", "w", "a", "", "", []byte("ask"), time.Now().Add(300*time.Millisecond))
			a, trace := Exchange(t.Context(), server.Client(), strings.TrimPrefix(server.URL, "http://"), call, 1000)
			require.Equal(t, row.want, a.Outcome(), a.Reason())
			if row.want == OutcomeDone {
				require.Equal(t, body, string(a.Body()))
			} else {
				require.Empty(t, a.Body(), "a part of an answer is never passed on")
			}
			require.Equal(t, name == "refuses", trace.Leaving())
		})
	}
	t.Run("nobody listens", func(t *testing.T) {
		call := NewCall("id1", "w", "a", "", "", nil, time.Now().Add(time.Second))
		a, _ := Exchange(t.Context(), http.DefaultClient, "127.0.0.1:1", call, 1000)
		require.Equal(t, OutcomeNotRun, a.Outcome(), a.Reason())
	})
}

// flood is a queue with a number of slots on a simulated clock.
type flood struct {
	q     *Queue
	now   time.Time
	slots int
	busy  []struct {
		t   *Ticket
		end time.Time
	}
	served map[string]time.Duration // slot time by caller
	waited map[string][]time.Duration
	pushed map[*Ticket]time.Time
	id     int
}

func newFlood(slots, limit int) *flood {
	return &flood{
		q: NewQueue(limit), now: time.Unix(0, 0), slots: slots,
		served: map[string]time.Duration{}, waited: map[string][]time.Duration{}, pushed: map[*Ticket]time.Time{},
	}
}

func (f *flood) push(class hfconfig.Class, account, caller, work string) bool {
	f.id++
	t := NewTicket(fmt.Sprint(f.id), class, account, caller, work, f.now.Add(time.Hour), 1, 0, func(Verdict) {})
	f.pushed[t] = f.now
	return f.q.Push(t)
}

// step passes a millisecond; took says how long a request of a kind of work runs.
func (f *flood) step(took func(work string) time.Duration) {
	f.now = f.now.Add(time.Millisecond)
	running := f.busy[:0]
	for _, b := range f.busy {
		if b.end.After(f.now) {
			running = append(running, b)
			continue
		}
		f.q.Finish(b.t, true, f.now)
	}
	f.busy = running
	for len(f.busy) < f.slots {
		t := f.q.Next(f.slots-len(f.busy), f.slots, f.now)
		if t == nil {
			return
		}
		d := took(t.work)
		f.served[t.caller] += d
		f.waited[t.caller] = append(f.waited[t.caller], f.now.Sub(f.pushed[t]))
		f.busy = append(f.busy, struct {
			t   *Ticket
			end time.Time
		}{t, f.now.Add(d)})
	}
}

func tenMs(string) time.Duration { return 10 * time.Millisecond }

// TestClassMinimumInFloods floods one class at 20 times what the slots take: the
// other classes keep their whole share.
func TestClassMinimumInFloods(t *testing.T) {
	for _, flooding := range hfconfig.Classes() {
		t.Run(string(flooding), func(t *testing.T) {
			f := newFlood(40, 100_000)
			for ms := range 5000 {
				for range 80 {
					f.push(flooding, "big", "flood", "w")
				}
				for _, c := range hfconfig.Classes() {
					if c != flooding && ms%2 == 0 {
						for range int(8 * c.Share()) {
							f.push(c, "small", string(c), "w")
						}
					}
				}
				f.step(tenMs)
				require.NoError(t, f.q.Check())
			}
			total := time.Duration(0)
			for _, d := range f.served {
				total += d
			}
			require.GreaterOrEqual(t, total.Seconds(), 0.95*40*5, "goodput")
			for _, c := range hfconfig.Classes() {
				if c == flooding {
					continue
				}
				asked := float64(int(8*c.Share())) * 2500 * 0.010
				want := min(asked, c.Share()*40*5)
				require.GreaterOrEqual(t, f.served[string(c)].Seconds(), 0.95*want, "class %s", c)
			}
		})
	}
}

// TestSmallCallerBesideALargeOne lets one caller ask 100 times as much as another,
// in requests that run 20 times as long.
func TestSmallCallerBesideALargeOne(t *testing.T) {
	f := newFlood(40, 100_000)
	took := func(work string) time.Duration {
		if work == "bulk" {
			return 200 * time.Millisecond
		}
		return 10 * time.Millisecond
	}
	for ms := range 10_000 {
		for range 4 {
			f.push(hfconfig.ClassNormal, "shop", "buyer", "bulk")
		}
		if ms%25 == 0 {
			f.push(hfconfig.ClassNormal, "shop", "counter", "reprice")
		}
		f.step(took)
	}
	require.Len(t, f.waited["counter"], 400)
	for _, w := range f.waited["counter"] {
		require.LessOrEqual(t, w, 10*time.Millisecond, "a single request waits no longer than one of its own kind runs")
	}
}

func TestFullQueueGivesWay(t *testing.T) {
	q := NewQueue(10)
	told := map[string]Verdict{}
	push := func(class hfconfig.Class, caller, id string) bool {
		return q.Push(NewTicket(id, class, "a", caller, "w", time.Unix(99, 0), 1, 0, func(v Verdict) { told[id] = v }))
	}
	for i := range 10 {
		require.True(t, push(hfconfig.ClassNormal, "large", fmt.Sprint("l", i)))
	}
	require.False(t, push(hfconfig.ClassNormal, "large", "l10"), "the largest caller gets no more")
	require.True(t, push(hfconfig.ClassNormal, "small", "s0"), "a smaller caller takes its place")
	require.Equal(t, map[string]Verdict{"l9": Evicted}, told)
	require.True(t, push(hfconfig.ClassBatch, "other", "o0"), "a class that holds nothing of the queue gets its part")
	for i := 1; i < 4; i++ {
		push(hfconfig.ClassBatch, "other", fmt.Sprint("o", i))
	}
	require.LessOrEqual(t, q.root.children["batch"].queued, 4)
	require.GreaterOrEqual(t, q.root.children["normal"].queued, 6, "and no more")
	require.NoError(t, q.Check())
}

// TestQueueStaysConsistent makes random calls and lets the queue check itself.
func TestQueueStaysConsistent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue(rapid.IntRange(1, 30).Draw(t, "limit"))
		now := time.Unix(0, 0)
		answered := map[string]int{}
		var flying, waiting []*Ticket
		id := 0
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				id++
				name := fmt.Sprint(id)
				ticket := NewTicket(name, rapid.SampledFrom(hfconfig.Classes()).Draw(t, "class"), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "account"),
					rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "caller"), "w", now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "left"))*time.Millisecond),
					rapid.IntRange(0, 3).Draw(t, "weight"), rapid.IntRange(0, 2).Draw(t, "limit"), func(Verdict) { answered[name]++ })
				if q.Push(ticket) {
					waiting = append(waiting, ticket)
				}
			},
			"next": func(t *rapid.T) {
				if ticket := q.Next(rapid.IntRange(0, 3).Draw(t, "free"), 10, now); ticket != nil {
					answered[ticket.ID()]++
					flying = append(flying, ticket)
				}
			},
			"finish": func(t *rapid.T) {
				if len(flying) > 0 {
					q.Finish(flying[0], rapid.Bool().Draw(t, "ran"), now)
					flying = flying[1:]
				}
			},
			"remove": func(t *rapid.T) {
				if len(waiting) > 0 && q.Remove(rapid.SampledFrom(waiting).Draw(t, "ticket")) {
					return
				}
			},
			"sweep": func(*rapid.T) { q.Sweep(now) },
			"time":  func(t *rapid.T) { now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond) },
			"": func(t *rapid.T) {
				if err := q.Check(); err != nil {
					t.Fatal(err)
				}
				for name, n := range answered {
					if n > 1 {
						t.Fatalf("request %s was answered %d times", name, n)
					}
				}
			},
		})
	})
}
