package hfintake

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

const testTimeout = 10 * time.Second // for what must hold eventually

// front is a server behind an Intake.
type front struct {
	t        *testing.T
	intake   *Intake
	registry metrics.Registry
	address  string
	dial     func(address string) (net.Conn, error)
}

func startFront(t *testing.T, l Limits, config *tls.Config) *front {
	t.Helper()
	return startFrontWith(t, l, config, http.HandlerFunc(countBody))
}

// countBody answers with the number of bytes of the body, or with 503.
func countBody(w http.ResponseWriter, r *http.Request) {
	n, err := io.Copy(io.Discard, r.Body)
	switch {
	case errors.Is(err, ErrFull):
		http.Error(w, "full", http.StatusServiceUnavailable)
	case errors.Is(err, ErrSlow):
		http.Error(w, "slow", http.StatusServiceUnavailable)
	case err != nil:
		http.Error(w, "incomplete", http.StatusBadRequest)
	default:
		_, _ = fmt.Fprint(w, n)
	}
}

func startFrontWith(t *testing.T, l Limits, config *tls.Config, handler http.Handler, vital ...string) *front {
	t.Helper()
	f := &front{t: t, registry: metrics.NewRegistry(), dial: func(a string) (net.Conn, error) { return net.Dial("tcp", a) }}
	f.intake = New("callers", l, config != nil, func(map[string]int64) {}, f.registry)
	ln, err := f.intake.Listen(t.Context(), "127.0.0.1:0")
	require.NoError(t, err)
	f.address = ln.Addr().String()
	if config != nil {
		ln = tls.NewListener(ln, config)
		f.dial = func(a string) (net.Conn, error) { return tls.Dial("tcp", a, &tls.Config{InsecureSkipVerify: true}) }
	}
	server := f.intake.Server(handler, time.Minute, vital...)
	var g errgroup.Group
	g.Go(func() error { return server.Serve(ln) })
	t.Cleanup(func() {
		require.NoError(t, server.Close())
		require.ErrorIs(t, g.Wait(), http.ErrServerClosed)
		require.Eventually(t, func() bool {
			f.intake.mu.Lock()
			defer f.intake.mu.Unlock()
			return f.intake.table.Check() == nil && len(f.intake.table.clients) == 0 && f.intake.table.held == 0 && len(f.intake.conns) == 0
		}, testTimeout, time.Millisecond, "closed connections hold something")
	})
	return f
}

func (f *front) open(text string) net.Conn {
	f.t.Helper()
	conn, err := f.dial(f.address)
	require.NoError(f.t, err)
	f.t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, text)
	require.NoError(f.t, err)
	return conn
}

// answer reads an answer and returns its status and body. The status is 0 if there is none.
func answer(r *bufio.Reader) (int, string) {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	raw, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, strings.TrimSpace(string(raw))
}

func (f *front) call(text string) (int, string) { return answer(bufio.NewReader(f.open(text))) }

func (f *front) refused(reason string) int64 {
	return metrics.GetOrRegisterCounter("intake.callers.refused."+reason, f.registry).Count()
}

func post(length int, body string) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", length, body)
}

func chunked(body string) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
}

// TestOneLargeBodyIsServedInCalm sends a body that is larger than the memory for all, alone.
func TestOneLargeBodyIsServedInCalm(t *testing.T) {
	f := startFront(t, testLimits(4), nil)
	large := strings.Repeat("x", 2*testMemory)
	for _, text := range []string{post(len(large), large), chunked(large)} {
		status, body := f.call(text)
		require.Equal(t, http.StatusOK, status)
		require.Equal(t, fmt.Sprint(len(large)), body)
	}
}

// TestStalledBodiesAreLetGo fills the memory with bodies that stall. Large and small ones are served beside
// them.
func TestStalledBodiesAreLetGo(t *testing.T) {
	f := startFront(t, testLimits(40), nil)
	const stalledBytes = 8 << 10
	for range testMemory / stalledBytes * 2 {
		f.open(post(stalledBytes, strings.Repeat("x", stalledBytes-1)))
	}
	for _, text := range []string{post(2, "{}"), chunked("{}"), post(32<<10, strings.Repeat("x", 32<<10))} {
		require.Eventually(t, func() bool { status, _ := f.call(text); return status == http.StatusOK }, testTimeout, 10*time.Millisecond)
	}
	require.Positive(t, f.refused(ReasonLetGo))
}

// TestRefusedCallerIsToldAndKeepsItsConnection refuses a large body, as small ones hold the memory, and then
// serves a call on the same connection.
// Guards against connections that hold what their clients send while nobody accepts them: the library asks for a
// backlog of thousands.
func TestBacklogIsBounded(t *testing.T) {
	const backlog, clients = 16, 200
	ln, err := Listen(t.Context(), "127.0.0.1:0", receiveBytes, backlog)
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	var connected atomic.Int64
	var dials sync.WaitGroup
	for range clients {
		dials.Go(func() {
			if conn, err := (&net.Dialer{Timeout: 500 * time.Millisecond}).Dial("tcp", ln.Addr().String()); err == nil {
				connected.Add(1)
				t.Cleanup(func() { _ = conn.Close() })
			}
		})
	}
	dials.Wait()
	require.LessOrEqual(t, connected.Load(), int64(2*backlog))
	conn, err := ln.Accept()
	require.NoError(t, err)
	require.NoError(t, conn.Close())
}

func TestRefusedCallerIsToldAndKeepsItsConnection(t *testing.T) {
	f := startFront(t, testLimits(40), nil)
	f.intake.with(func(table *table, now time.Time) {
		id, _, _ := table.open("other", now)
		table.enter(id, phaseBody, now)
		_, ok := table.reserve(id, testMemory/2, now)
		require.True(t, ok)
		table.enter(id, phaseAnswer, now)
	})
	conn := f.open(post(testMemory/2, strings.Repeat("x", testMemory/2)))
	reader := bufio.NewReader(conn)
	status, _ := answer(reader)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Equal(t, int64(1), f.refused(ReasonMemory))
	_, err := io.WriteString(conn, post(2, "{}"))
	require.NoError(t, err)
	status, body := answer(reader)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "2", body)
	f.intake.with(func(table *table, _ time.Time) { table.remove(1) })
}

// TestSlowBodyIsRefused sends a body that stops.
func TestSlowBodyIsRefused(t *testing.T) {
	l := testLimits(4)
	l.bodyTimeout = 50 * time.Millisecond
	f := startFront(t, l, nil)
	status, body := f.call(post(10, "x"))
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Equal(t, "slow", body)
	require.Equal(t, int64(1), f.refused(ReasonSlow))
}

// TestDeadlineOfABodyEndsWithIt checks that the deadline of a whole body does not end its handler, nor the
// next call on its connection.
func TestDeadlineOfABodyEndsWithIt(t *testing.T) {
	l := testLimits(4)
	l.bodyTimeout = 200 * time.Millisecond
	f := startFront(t, l, nil)
	conn := f.open(post(2, "{}"))
	reader := bufio.NewReader(conn)
	for range 3 {
		status, _ := answer(reader)
		require.Equal(t, http.StatusOK, status)
		time.Sleep(2 * l.bodyTimeout)
		_, err := io.WriteString(conn, post(2, "{}"))
		require.NoError(t, err)
	}
}

// TestHeads sends heads inside and outside the limits.
func TestHeads(t *testing.T) {
	f := startFront(t, testLimits(40), nil)
	lines := func(n int) string { return strings.Repeat("X-A: b\r\n", n) }
	status, _ := f.call("GET / HTTP/1.1\r\nHost: h\r\n" + lines(100) + "\r\n")
	require.Equal(t, http.StatusOK, status)
	status, _ = f.call("GET / HTTP/1.1\r\nHost: h\r\nX-A: " + strings.Repeat("x", MaxHeadBytes-100) + "\r\n\r\n")
	require.Equal(t, http.StatusOK, status)
	status, _ = f.call("GET / HTTP/1.1\r\nHost: h\r\nX-A: " + strings.Repeat("x", 2*MaxHeadBytes) + "\r\n\r\n")
	require.Contains(t, []int{0, http.StatusRequestHeaderFieldsTooLarge}, status)
	status, _ = f.call("GET / HTTP/1.1\r\nHost: h\r\n" + lines(MaxHeadBytes/9))
	require.NotEqual(t, http.StatusOK, status)
	require.Positive(t, f.refused(ReasonHead))
}

// TestLinesOfBodiesAreNotCounted sends several calls at once on one connection, whose bodies have more lines
// than a head may have.
func TestLinesOfBodiesAreNotCounted(t *testing.T) {
	f := startFront(t, testLimits(4), nil)
	body := strings.Repeat("\n", 10*MaxHeadLines)
	reader := bufio.NewReader(f.open(strings.Repeat(post(len(body), body)+chunked(body), 5)))
	for range 10 {
		status, answered := answer(reader)
		require.Equal(t, http.StatusOK, status)
		require.Equal(t, fmt.Sprint(len(body)), answered)
	}
}

// TestVitalCallsAreServedBesideWholeRequests takes all connections with requests whose handler does not end.
func TestVitalCallsAreServedBesideWholeRequests(t *testing.T) {
	const conns = 3
	release := make(chan struct{})
	var waiting sync.WaitGroup
	waiting.Add(conns)
	f := startFrontWith(t, testLimits(conns), nil, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			waiting.Done()
			<-release
		}
	}), "/vital")
	var held []*bufio.Reader
	first := f.open("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	firstAnswers := bufio.NewReader(first)
	status, _ := answer(firstAnswers)
	require.Equal(t, http.StatusOK, status)
	_, err := io.WriteString(first, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	held = append(held, firstAnswers)
	for range conns - 1 {
		held = append(held, bufio.NewReader(f.open("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")))
	}
	waiting.Wait()
	for range spareConns { // a keep-alive connection that idles gives way after a while, and one whose call was refused is closed
		status, _ = f.call("GET /vital HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
		require.Equal(t, http.StatusOK, status)
		status, _ = f.call("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		require.Zero(t, status, "not vital")
	}
	for range 3 {
		f.open("GET /vital HTTP/1.1\r\nHost: h\r\n\r\n") // stays open
	}
	close(release)
	_, err = io.WriteString(first, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	held = append(held, firstAnswers) // a connection that is not a spare one goes on
	for _, r := range held {
		status, _ := answer(r)
		require.Equal(t, http.StatusOK, status, "whole requests are answered")
	}
}

// TestCrowdedCallersAreToldToClose checks the answers below and above three quarters of the connections.
func TestCrowdedCallersAreToldToClose(t *testing.T) {
	f := startFront(t, testLimits(4), nil)
	closes := func() bool {
		resp, err := http.ReadResponse(bufio.NewReader(f.open(post(2, "{}"))), nil)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		return resp.Close
	}
	for range 3 {
		require.False(t, closes())
	}
	require.True(t, closes())
}

// TestRequestWithoutRoomDoesNotRun takes the memory of connections with whole requests. One more is closed
// without an answer, and the next one is served.
func TestRequestWithoutRoomDoesNotRun(t *testing.T) {
	limits := testLimits(2)
	limits.room = busyBytes + idleBytes
	begun, release := make(chan struct{}), make(chan struct{})
	var ran atomic.Int64
	f := startFrontWith(t, limits, nil, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		if ran.Add(1) == 1 {
			close(begun)
			<-release
		}
	}))
	const get = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	first := bufio.NewReader(f.open(get))
	<-begun
	status, _ := f.call(get)
	require.Zero(t, status)
	require.Equal(t, int64(1), ran.Load())
	require.Equal(t, int64(1), f.refused(ReasonConnections))
	close(release)
	status, _ = answer(first)
	require.Equal(t, http.StatusOK, status)
	status, _ = f.call(get)
	require.Equal(t, http.StatusOK, status)
}

// TestCallsUnderTLS checks that connections are bounded under TLS, too.
func TestCallsUnderTLS(t *testing.T) {
	certificates := httptest.NewTLSServer(http.NotFoundHandler())
	defer certificates.Close()
	f := startFront(t, testLimits(4), &tls.Config{Certificates: certificates.TLS.Certificates})
	send := func(text string) (net.Conn, bool) {
		conn, err := f.dial(f.address)
		if err != nil {
			return nil, false // refused
		}
		t.Cleanup(func() { _ = conn.Close() })
		_, err = io.WriteString(conn, text)
		return conn, err == nil
	}
	for range 8 {
		require.Eventually(t, func() bool { _, ok := send(post(10, "x")); return ok }, testTimeout, 10*time.Millisecond)
		require.Eventually(t, func() bool {
			conn, ok := send(post(2, "{}"))
			if !ok {
				return false
			}
			status, _ := answer(bufio.NewReader(conn))
			return status == http.StatusOK
		}, testTimeout, 10*time.Millisecond)
	}
	require.LessOrEqual(t, metrics.GetOrRegisterGauge("intake.callers.connections", f.registry).Value(), int64(4))
	require.Positive(t, f.refused(ReasonLetGo))
}

// letGo lets all clients go, as the table does when there is no room.
func (f *front) letGo() {
	f.intake.mu.Lock()
	var victims []uint64
	for id := range f.intake.table.clients {
		victims = append(victims, id)
	}
	for _, id := range victims {
		f.intake.table.remove(id)
	}
	dropped := f.intake.drop(victims, time.Now())
	f.intake.mu.Unlock()
	closeAll(dropped)
}

// TestClientThatWasLetGoDoesNotRun lets a client go while its body is under way, and the rest of the body is
// already in the buffers of the library.
func TestClientThatWasLetGoDoesNotRun(t *testing.T) {
	for name, text := range map[string]string{"with length": post(100, strings.Repeat("x", 100)), "chunked": chunked(strings.Repeat("x", 100))} {
		t.Run(name, func(t *testing.T) {
			begun, letGo, result := make(chan struct{}), make(chan struct{}), make(chan error, 1)
			f := startFrontWith(t, testLimits(4), nil, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.ReadFull(r.Body, make([]byte, 1))
				close(begun)
				<-letGo
				_, err := io.ReadAll(r.Body)
				result <- err
			}))
			f.open(text)
			<-begun
			f.letGo()
			close(letGo)
			require.ErrorIs(t, <-result, ErrFull)
		})
	}
}

// TestClientThatWasLetGoBeforeItsHandlerDoesNotRun lets a client go after its head was read.
func TestClientThatWasLetGoBeforeItsHandlerDoesNotRun(t *testing.T) {
	for name, text := range map[string]string{"without a body": "DELETE / HTTP/1.1\r\nHost: h\r\n\r\n", "with a body": post(2, "{}")} {
		t.Run(name, func(t *testing.T) {
			var ran atomic.Bool
			f := startFrontWith(t, testLimits(4), nil, http.NotFoundHandler())
			handler := f.intake.Handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { ran.Store(true) }))
			c := f.clientOf(f.open(text))
			f.letGo()
			request, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
			require.NoError(t, err)
			request = request.WithContext(context.WithValue(t.Context(), connKey{}, c))
			require.PanicsWithValue(t, http.ErrAbortHandler, func() { handler.ServeHTTP(httptest.NewRecorder(), request) })
			require.False(t, ran.Load())
		})
	}
}

// clientOf returns the server's side of a connection.
func (f *front) clientOf(client net.Conn) *conn {
	f.t.Helper()
	var found *conn
	require.Eventually(f.t, func() bool {
		f.intake.mu.Lock()
		defer f.intake.mu.Unlock()
		for _, c := range f.intake.conns {
			if c.RemoteAddr().String() == client.LocalAddr().String() {
				found = c
			}
		}
		return found != nil
	}, testTimeout, time.Millisecond)
	return found
}

const largeAnswer = 8 << 20

func answerLarge(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		_, _ = w.Write(make([]byte, largeAnswer))
		return
	}
	countBody(w, r)
}

// TestAnswerIsWholeAfterAPause pauses in the middle of a large answer while other callers need room.
func TestAnswerIsWholeAfterAPause(t *testing.T) {
	f := startFrontWith(t, testLimits(10), nil, http.HandlerFunc(answerLarge))
	resp, err := http.ReadResponse(bufio.NewReader(f.open("GET / HTTP/1.1\r\nHost: h\r\n\r\n")), nil)
	require.NoError(t, err)
	time.Sleep(stallTime + stallTime/5)
	status, _ := f.call(post(2, "{}"))
	require.Equal(t, http.StatusOK, status)
	read, err := io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	require.Equal(t, int64(largeAnswer), read)
	require.Zero(t, f.refused(ReasonLetGo))
}

// TestAnswersTakeNothingOfBodies sends small and large bodies while a large answer is being written.
func TestAnswersTakeNothingOfBodies(t *testing.T) {
	f := startFrontWith(t, testLimits(10), nil, http.HandlerFunc(answerLarge))
	resp, err := http.ReadResponse(bufio.NewReader(f.open("GET / HTTP/1.1\r\nHost: h\r\n\r\n")), nil)
	require.NoError(t, err)
	for _, n := range []int{2, testMemory / 2} {
		status, _ := f.call(post(n, strings.Repeat("x", n)))
		require.Equal(t, http.StatusOK, status, n)
	}
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
}

// TestManyKeptAliveCallersAreServed plays 700 callers on a machine of 160 MB, many times what is seen there:
// three small calls each on one connection, with pauses between.
func TestManyKeptAliveCallersAreServed(t *testing.T) {
	const (
		callers = 700
		calls   = 3
		pause   = 1500 * time.Millisecond
		took    = 20 * time.Millisecond // of a call, for the store
	)
	f := startFrontWith(t, NewLimits(160<<20, 16, 3900, false), nil, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(took)
		countBody(w, r)
	}))
	var failed atomic.Int64
	var g errgroup.Group
	for range callers {
		g.Go(func() error {
			conn, err := f.dial(f.address)
			if err != nil {
				return err //nolint:wrapcheck // of a test
			}
			defer func() { _ = conn.Close() }()
			reader := bufio.NewReader(conn)
			for range calls {
				_, _ = io.WriteString(conn, post(2, "{}"))
				if status, _ := answer(reader); status != http.StatusOK {
					failed.Add(1)
				}
				time.Sleep(pause)
			}
			return nil
		})
	}
	require.NoError(t, g.Wait())
	require.Zero(t, failed.Load(), "of %d calls", callers*calls)
	for _, reason := range []string{ReasonConnections, ReasonLetGo, ReasonMemory, ReasonHead, ReasonSlow} {
		require.Zero(t, f.refused(reason), reason)
	}
}

// TestRequestsThatComeTogetherAreServed ends the head of a second request around the 4,096 bytes that the
// library reads at once. Its body has more lines than a head may have.
func TestRequestsThatComeTogetherAreServed(t *testing.T) {
	const readBytes = 4096
	f := startFront(t, testLimits(100), nil)
	body := strings.Repeat("\n", 6000)
	second := post(len(body), body)
	head := strings.Index(second, "\r\n\r\n")
	for end := readBytes - 40; end < readBytes+8; end++ {
		const first, rest = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nX: ", "\r\n\r\n{}"
		conn := f.open(first + strings.Repeat("a", end-len(first)-len(rest)-head) + rest + second)
		reader := bufio.NewReader(conn)
		for _, want := range []string{"2", fmt.Sprint(len(body))} {
			status, answered := answer(reader)
			require.Equal(t, http.StatusOK, status, end)
			require.Equal(t, want, answered)
		}
		require.NoError(t, conn.Close())
	}
	require.Zero(t, f.refused(ReasonHead))
}

// TestRefusalArrivesBesideASlowBody refuses calls before their bodies are read, which come in two parts.
func TestRefusalArrivesBesideASlowBody(t *testing.T) {
	f := startFrontWith(t, testLimits(4), nil, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "no key", http.StatusUnauthorized)
	}))
	const length, part = 3000, 1460
	conn := f.open(post(length, strings.Repeat("x", part)))
	time.Sleep(drainTimeout * 3 / 2)
	_, err := io.WriteString(conn, strings.Repeat("x", length-part)+post(2, "{}"))
	require.NoError(t, err)
	reader := bufio.NewReader(conn)
	for range 2 {
		status, body := answer(reader)
		require.Equal(t, http.StatusUnauthorized, status, body)
	}
}

// TestRestOfARefusedBodyIsNotAwaited refuses a body for which there is no memory. Its connection is closed soon.
func TestRestOfARefusedBodyIsNotAwaited(t *testing.T) {
	f := startFront(t, testLimits(4), nil)
	f.intake.with(func(table *table, now time.Time) {
		id, _, _ := table.open("other", now)
		table.enter(id, phaseBody, now)
		_, ok := table.reserve(id, testMemory, now)
		require.True(t, ok)
		table.enter(id, phaseAnswer, now)
	})
	conn := f.open(post(testMemory/2, "x"))
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(bodyTimeout/2)))
	_, err := io.Copy(io.Discard, conn)
	require.False(t, errors.Is(err, os.ErrDeadlineExceeded), "closed before the deadline of the body")
	f.intake.with(func(table *table, _ time.Time) { table.remove(1) })
}

// TestLastRefusalsAreReported refuses twice in one interval. The second one is reported with the next change.
func TestLastRefusalsAreReported(t *testing.T) {
	var reported []map[string]int64
	i := New("callers", testLimits(1), false, func(refused map[string]int64) { reported = append(reported, refused) }, metrics.NewRegistry())
	now := time.Now().Add(-2 * reportInterval)
	i.mu.Lock()
	defer i.mu.Unlock()
	i.refuse(ReasonHead, now)
	i.refuse(ReasonSlow, now)
	require.Equal(t, []map[string]int64{{ReasonHead: 1}}, reported)
	i.updateGauges()
	i.updateGauges()
	require.Equal(t, []map[string]int64{{ReasonHead: 1}, {ReasonSlow: 1}}, reported)
}

// What a body is decoded to counts like the body, until its handler has ended.
func TestReservedMemoryCountsUntilTheAnswer(t *testing.T) {
	reserved, end := make(chan error, 2), make(chan struct{})
	f := startFrontWith(t, testLimits(4), nil, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		reserved <- Reserve(r, testMemory/2)
		<-end
	}))
	f.open(post(4, "body"))
	require.NoError(t, <-reserved)
	f.open(post(4, "body"))
	require.ErrorIs(t, <-reserved, ErrFull, "large ones may take three quarters together")
	close(end)
	require.Eventually(t, func() bool {
		f.intake.mu.Lock()
		defer f.intake.mu.Unlock()
		return f.intake.table.held == 0
	}, testTimeout, time.Millisecond)
	r, err := http.NewRequest(http.MethodGet, "/", nil)
	require.NoError(t, err)
	require.NoError(t, Reserve(r, 1<<40), "not through a listener of this package")
}
