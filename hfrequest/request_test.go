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

func TestProvenOutcome(t *testing.T) {
	for name, row := range map[string]struct {
		result AttemptResult
		want   Outcome
	}{
		"nothing sent":               {NoAnswer(false), OutcomeNotRun},
		"sent, no answer":            {NoAnswer(true), OutcomeUnknown},
		"complete answer":            {Answered(200, true, true, false), OutcomeDone},
		"client error":               {Answered(404, true, true, false), OutcomeDone},
		"server error":               {Answered(500, true, true, false), OutcomeFailed},
		"truncated":                  {Answered(200, false, true, false), OutcomeUnknown},
		"truncated server error":     {Answered(500, false, true, false), OutcomeUnknown},
		"answer to another request":  {Answered(200, true, false, false), OutcomeUnknown},
		"refused":                    {Answered(503, true, true, true), OutcomeNotRun},
		"refusal of another request": {Answered(503, true, false, true), OutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) { require.Equal(t, row.want, ProvenOutcome(row.result)) })
	}
}

// TestRetryRules makes random attempts. A non-idempotent request must not be retried
// after an attempt that may have run, and the outcome must not be OutcomeNotRun if any
// attempt may have run.
func TestRetryRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := simulateAttempts(t, NewRetryBudget().Allow, OverallAnswer); err != nil {
			t.Fatal(err)
		}
	})
}

type allowFunc func(o Outcome, idempotent bool, attempts int, refused bool) bool

func simulateAttempts(t *rapid.T, allow allowFunc, overall func(*Answer, Answer) Answer) error {
	idempotent := rapid.Bool().Draw(t, "idempotent")
	results := []AttemptResult{
		NoAnswer(false), NoAnswer(true), Answered(200, true, true, false), Answered(500, true, true, false),
		Answered(200, false, true, false), Answered(503, true, true, true),
	}
	mayHaveRun := 0
	var earlier *Answer
	for n := 1; ; n++ {
		result := rapid.SampledFrom(results).Draw(t, "result")
		a := Answer{outcome: ProvenOutcome(result)}
		if a.outcome != OutcomeNotRun {
			mayHaveRun++
		}
		if mayHaveRun > 1 && !idempotent {
			return fmt.Errorf("retried although attempt %d may have run", n-1)
		}
		if n > maxAttempts {
			return fmt.Errorf("%d attempts", n)
		}
		if !allow(a.outcome, idempotent, n, result.Refused()) {
			if got := overall(earlier, a); got.outcome == OutcomeNotRun && mayHaveRun > 0 {
				return fmt.Errorf("outcome not-run after an attempt that may have run")
			}
			return nil
		}
		if a.outcome != OutcomeNotRun {
			earlier = &a
		}
	}
}

func TestSimulationDetectsWrongRetryRules(t *testing.T) {
	ignoresOutcome := func(o Outcome, _ bool, n int, _ bool) bool { return o != OutcomeDone && n < maxAttempts }
	lastOnly := func(_ *Answer, last Answer) Answer { return last }
	for name, run := range map[string]func(*rapid.T) error{
		"retries an attempt that may have run": func(t *rapid.T) error { return simulateAttempts(t, ignoresOutcome, OverallAnswer) },
		"reports only the last attempt":        func(t *rapid.T) error { return simulateAttempts(t, NewRetryBudget().Allow, lastOnly) },
	} {
		t.Run(name, func(t *testing.T) {
			require.True(t, hfseed.FindsFailure(200, func(rt *rapid.T) error { return run(rt) }))
		})
	}
}

func TestRetryBudget(t *testing.T) {
	r := NewRetryBudget()
	spent := 0
	for range 1000 {
		r.Deposit()
		if r.Allow(OutcomeFailed, true, 1, false) {
			spent++
		}
	}
	require.LessOrEqual(t, spent, maxRetryTokens+100, "retries stay a tenth of the requests")
}

// TestRoundTrip checks the outcome of attempts at faulty endpoints.
func TestRoundTrip(t *testing.T) {
	const body = "the complete answer"
	for name, row := range map[string]struct {
		serve http.HandlerFunc
		want  Outcome
	}{
		"complete": {func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(HeaderID, r.Header.Get(HeaderID))
			_, _ = io.WriteString(w, body)
		}, OutcomeDone},
		"truncated": {func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(HeaderID, r.Header.Get(HeaderID))
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, body)
			panic(http.ErrAbortHandler)
		}, OutcomeUnknown},
		"truncated chunks": {func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(HeaderID, r.Header.Get(HeaderID))
			_, _ = io.WriteString(w, body)
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}, OutcomeUnknown},
		"delimited by connection close": {func(w http.ResponseWriter, r *http.Request) {
			conn, _, _ := w.(http.Hijacker).Hijack()
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nConnection: close\r\n\r\n%s", HeaderID, r.Header.Get(HeaderID), body)
			_ = conn.Close()
		}, OutcomeUnknown},
		"answer to another request": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(HeaderID, "other")
			_, _ = io.WriteString(w, body)
		}, OutcomeUnknown},
		"too large": {func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(HeaderID, r.Header.Get(HeaderID))
			_, _ = io.WriteString(w, strings.Repeat("x", 2000))
		}, OutcomeUnknown},
		"deadline exceeded": {func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		}, OutcomeUnknown},
		"refused": {func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(HeaderID, r.Header.Get(HeaderID))
			w.Header().Set(HeaderOutcome, string(OutcomeNotRun))
			w.Header().Set(HeaderState, StateLeaving)
			w.WriteHeader(http.StatusServiceUnavailable)
		}, OutcomeNotRun},
		"connection closed without an answer": {func(w http.ResponseWriter, _ *http.Request) {
			conn, _, _ := w.(http.Hijacker).Hijack()
			_ = conn.Close()
		}, OutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(row.serve)
			defer server.Close()
			call := NewCall("id1", "w", "a", "", "", []byte("ask"), time.Now().Add(300*time.Millisecond))
			a, result := RoundTrip(t.Context(), server.Client(), strings.TrimPrefix(server.URL, "http://"), call, 1000)
			require.Equal(t, row.want, a.Outcome(), a.Reason())
			if row.want == OutcomeDone {
				require.Equal(t, body, string(a.Body()))
			} else {
				require.Empty(t, a.Body(), "a partial answer is never passed on")
			}
			require.Equal(t, name == "refused", result.Leaving())
		})
	}
	t.Run("connection refused", func(t *testing.T) {
		call := NewCall("id1", "w", "a", "", "", nil, time.Now().Add(time.Second))
		a, _ := RoundTrip(t.Context(), http.DefaultClient, "127.0.0.1:1", call, 1000)
		require.Equal(t, OutcomeNotRun, a.Outcome(), a.Reason())
	})
}

// queueSim runs a queue with a number of slots on a simulated clock.
type queueSim struct {
	q     *Queue
	now   time.Time
	slots int
	busy  []struct {
		t   *Ticket
		end time.Time
	}
	served map[string]time.Duration   // slot time, by caller
	waited map[string][]time.Duration // time in the queue of each request, by caller
	pushed map[*Ticket]time.Time
	id     int
}

func newQueueSim(slots, limit int) *queueSim {
	return &queueSim{
		q: NewQueue(limit), now: time.Unix(0, 0), slots: slots,
		served: map[string]time.Duration{}, waited: map[string][]time.Duration{}, pushed: map[*Ticket]time.Time{},
	}
}

func (s *queueSim) push(class hfconfig.Class, account, caller, work string) bool {
	s.id++
	t := NewTicket(fmt.Sprint(s.id), class, account, caller, work, s.now.Add(time.Hour), 1, 0, func(QueueResult) {})
	s.pushed[t] = s.now
	return s.q.Push(t)
}

// step advances the clock by a millisecond. took returns the run time of a request of a
// kind of work.
func (s *queueSim) step(took func(work string) time.Duration) {
	s.now = s.now.Add(time.Millisecond)
	running := s.busy[:0]
	for _, b := range s.busy {
		if b.end.After(s.now) {
			running = append(running, b)
			continue
		}
		s.q.Finish(b.t, true, s.now)
	}
	s.busy = running
	for len(s.busy) < s.slots {
		t := s.q.Next(s.slots-len(s.busy), s.slots, s.now)
		if t == nil {
			return
		}
		d := took(t.work)
		s.served[t.caller] += d
		s.waited[t.caller] = append(s.waited[t.caller], s.now.Sub(s.pushed[t]))
		s.busy = append(s.busy, struct {
			t   *Ticket
			end time.Time
		}{t, s.now.Add(d)})
	}
}

func tenMs(string) time.Duration { return 10 * time.Millisecond }

// TestClassMinimumInFloods offers requests of one class at 20 times the capacity of the
// slots. The other classes must still get their full share.
func TestClassMinimumInFloods(t *testing.T) {
	for _, flooding := range hfconfig.Classes() {
		t.Run(string(flooding), func(t *testing.T) {
			s := newQueueSim(40, 100_000)
			for ms := range 5000 {
				for range 80 {
					s.push(flooding, "big", "flood", "w")
				}
				for _, c := range hfconfig.Classes() {
					if c != flooding && ms%2 == 0 {
						for range int(8 * c.Share()) {
							s.push(c, "small", string(c), "w")
						}
					}
				}
				s.step(tenMs)
				require.NoError(t, s.q.Check())
			}
			total := time.Duration(0)
			for _, d := range s.served {
				total += d
			}
			require.GreaterOrEqual(t, total.Seconds(), 0.95*40*5, "goodput")
			for _, c := range hfconfig.Classes() {
				if c == flooding {
					continue
				}
				offered := float64(int(8*c.Share())) * 2500 * 0.010
				want := min(offered, c.Share()*40*5)
				require.GreaterOrEqual(t, s.served[string(c)].Seconds(), 0.95*want, "class %s", c)
			}
		})
	}
}

// TestSmallCallerBesideALargeOne runs a caller with 100 times as many requests as
// another, each of which takes 20 times as long. The small caller must not wait for the
// requests of the large one to end.
func TestSmallCallerBesideALargeOne(t *testing.T) {
	s := newQueueSim(40, 100_000)
	took := func(work string) time.Duration {
		if work == "bulk" {
			return 200 * time.Millisecond
		}
		return 10 * time.Millisecond
	}
	for ms := range 10_000 {
		for range 4 {
			s.push(hfconfig.ClassNormal, "shop", "buyer", "bulk")
		}
		if ms%25 == 0 {
			s.push(hfconfig.ClassNormal, "shop", "counter", "reprice")
		}
		s.step(took)
	}
	require.Len(t, s.waited["counter"], 400)
	for _, w := range s.waited["counter"] {
		require.LessOrEqual(t, w, 10*time.Millisecond, "a request waits no longer than the run time of one of its own kind")
	}
}

func TestFullQueueEvicts(t *testing.T) {
	q := NewQueue(10)
	decisions := map[string]QueueResult{}
	push := func(class hfconfig.Class, caller, id string) bool {
		return q.Push(NewTicket(id, class, "a", caller, "w", time.Unix(99, 0), 1, 0, func(decision QueueResult) { decisions[id] = decision }))
	}
	for i := range 10 {
		require.True(t, push(hfconfig.ClassNormal, "large", fmt.Sprint("l", i)))
	}
	require.False(t, push(hfconfig.ClassNormal, "large", "l10"), "the caller with the most tickets evicts nothing")
	require.True(t, push(hfconfig.ClassNormal, "small", "s0"), "a caller with fewer tickets evicts one")
	require.Equal(t, map[string]QueueResult{"l9": Evicted}, decisions)
	require.True(t, push(hfconfig.ClassBatch, "other", "o0"), "a class without queued tickets evicts one of a class over its share")
	for i := 1; i < 4; i++ {
		push(hfconfig.ClassBatch, "other", fmt.Sprint("o", i))
	}
	require.LessOrEqual(t, q.root.children["batch"].queued, 4)
	require.GreaterOrEqual(t, q.root.children["normal"].queued, 6, "the other class keeps its share")
	require.NoError(t, q.Check())
}

// TestQueueStaysConsistent makes random calls. The counts of the queue must stay
// consistent, and each ticket must be notified at most once.
func TestQueueStaysConsistent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue(rapid.IntRange(1, 30).Draw(t, "limit"))
		now := time.Unix(0, 0)
		notified := map[string]int{}
		var inFlight, waiting []*Ticket
		id := 0
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				id++
				name := fmt.Sprint(id)
				ticket := NewTicket(name, rapid.SampledFrom(hfconfig.Classes()).Draw(t, "class"), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "account"),
					rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "caller"), "w", now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "left"))*time.Millisecond),
					rapid.IntRange(0, 3).Draw(t, "weight"), rapid.IntRange(0, 2).Draw(t, "limit"), func(QueueResult) { notified[name]++ })
				if q.Push(ticket) {
					waiting = append(waiting, ticket)
				}
			},
			"next": func(t *rapid.T) {
				if ticket := q.Next(rapid.IntRange(0, 3).Draw(t, "free"), 10, now); ticket != nil {
					notified[ticket.ID()]++
					inFlight = append(inFlight, ticket)
				}
			},
			"finish": func(t *rapid.T) {
				if len(inFlight) > 0 {
					q.Finish(inFlight[0], rapid.Bool().Draw(t, "ran"), now)
					inFlight = inFlight[1:]
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
				for name, n := range notified {
					if n > 1 {
						t.Fatalf("ticket %s was notified %d times", name, n)
					}
				}
			},
		})
	})
}

// Calls of one kind take from 0.1 s to 10 s: a short one is not dropped because of the average.
func TestShortCallsAreNotDroppedForTheAverageOfTheirKind(t *testing.T) {
	q, now := NewQueue(10), time.Unix(1_000_000, 0)
	decisions := map[string]QueueResult{}
	push := func(id string, deadline time.Duration) {
		require.True(t, q.Push(NewTicket(id, hfconfig.ClassUrgent, "a", "caller", "render", now.Add(deadline), 1, 0, func(r QueueResult) { decisions[id] = r })))
	}
	for i := range 20 {
		id := fmt.Sprint("earlier", i)
		push(id, time.Minute)
		earlier := q.Next(1, 1, now)
		require.Equal(t, id, earlier.ID())
		now = now.Add([]time.Duration{100 * time.Millisecond, 10 * time.Second}[i%2])
		q.Finish(earlier, true, now)
	}
	push("short", 2*time.Second)
	q.Sweep(now)
	require.Empty(t, decisions)
	require.Equal(t, "short", q.Next(1, 1, now).ID())
	for i := range recentSlotTimes { // the fast ones are long ago
		id := fmt.Sprint("later", i)
		push(id, time.Minute)
		later := q.Next(2, 2, now)
		require.Equal(t, id, later.ID())
		now = now.Add(10 * time.Second)
		q.Finish(later, true, now)
	}
	push("late", 2*time.Second)
	q.Sweep(now)
	require.Equal(t, map[string]QueueResult{"late": Expired}, decisions)
}

// A burst of requests over all slots: those that can't end in time any more are rejected at once, and their slots go
// to requests that can.
func TestRequestsThatCannotEndInTimeAreRejectedAtOnce(t *testing.T) {
	q, now := NewQueue(10), time.Unix(1_000_000, 0)
	decisions := map[string]QueueResult{}
	push := func(id string, deadline time.Duration) {
		require.True(t, q.Push(NewTicket(id, hfconfig.ClassUrgent, "a", "caller", "render", now.Add(deadline), 1, 0, func(r QueueResult) { decisions[id] = r })))
	}
	push("first", time.Minute)
	first := q.Next(1, 1, now)
	now = now.Add(2 * time.Second)
	q.Finish(first, true, now) // a render takes 2 s
	push("hopeless", 1500*time.Millisecond)
	push("late", 4*time.Second)
	push("fresh", 10*time.Second)
	require.Empty(t, decisions)
	now = now.Add(600 * time.Millisecond)
	require.Equal(t, "late", q.Next(1, 1, now).ID())
	require.Equal(t, map[string]QueueResult{"hopeless": Expired}, decisions, "0.9 s are left for 2 s of work")
	push("other", time.Second)
	q.Sweep(now.Add(10 * time.Millisecond))
	require.Equal(t, Expired, decisions["other"])
	require.Equal(t, "fresh", q.Next(1, 1, now).ID())
	require.NoError(t, q.Check())
}
