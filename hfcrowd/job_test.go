package hfcrowd

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hfstand"
)

const (
	gangClients  = 400    // that hand in jobs with accelerators to serve
	gangJobs     = 16_000 // that they hand in together
	listedGangs  = 1000   // jobs that a list may have at most
	listReaders  = 200    // clients that ask for such a list
	listsEach    = 3      // that each asks for, one after the other
	commandBytes = 4000   // of such a job
)

// handInGangs hands in jobs of one account until all were answered. It returns how many were accepted.
func handInGangs(p *target, jobs int64) int64 {
	body, err := json.Marshal(map[string]any{"work": "train", "size": 1, "domain": "a", "command": strings.Repeat("x", commandBytes)})
	require.NoError(p.t, err)
	request := fmt.Appendf(nil, "POST /v1/jobs HTTP/1.1\r\nHost: instance.example\r\nAuthorization: Bearer crowd:%s\r\nContent-Length: %d\r\n\r\n%s", crowdSecret, len(body), body)
	c := &crowd{p: p}
	var left, accepted atomic.Int64
	left.Store(jobs)
	for range gangClients {
		c.senders.Go(func() {
			for left.Load() > 0 {
				conn, err := dialer.Dial("tcp", p.front)
				if err != nil {
					return
				}
				_ = conn.SetDeadline(time.Now().Add(2 * settleTimeout))
				reader := bufio.NewReader(conn)
				for left.Add(-1) >= 0 && write(conn, request) {
					resp, err := http.ReadResponse(reader, nil)
					if err != nil {
						break
					}
					var answer bytes.Buffer
					if _, err := answer.ReadFrom(resp.Body); err != nil {
						break
					}
					if resp.StatusCode == http.StatusAccepted {
						accepted.Add(1)
					}
					if resp.Close {
						break
					}
				}
				_ = conn.Close()
			}
		})
	}
	c.senders.Wait()
	return accepted.Load()
}

// startServeWithWorker starts serve with a listed worker that does not answer, so that all jobs wait.
func startServeWithWorker(t *testing.T) *target {
	t.Helper()
	p := startServe(t, allSockets)
	p.members.Set(hfstand.Member{Name: "w0", Role: "worker", Address: "127.0.0.9:15001", Domain: "a", Region: "one", Accelerators: 8, State: "live"})
	require.Eventually(t, func() bool {
		return p.call(http.MethodPost, "/v1/jobs", "crowd:"+crowdSecret, `{"work":"train","size":1,"domain":"a"}`) == nil
	}, settleTimeout, 100*time.Millisecond, "no job is accepted")
	return p
}

// TestServeUnderJobs hands in more whole legal jobs than fit into the memory.
func TestServeUnderJobs(t *testing.T) {
	p := startServeWithWorker(t)
	t.Logf("%d of %d jobs accepted", handInGangs(p, gangJobs), gangJobs)
	p.check()
}

// TestServeUnderJobLists lets many clients ask for the longest list of jobs at once, and read it.
func TestServeUnderJobLists(t *testing.T) {
	p := startServeWithWorker(t)
	t.Logf("%d of %d jobs accepted", handInGangs(p, listedGangs), listedGangs)
	request := fmt.Appendf(nil, "GET /v1/jobs?limit=%d HTTP/1.1\r\nHost: instance.example\r\nAuthorization: Bearer crowd:%s\r\nConnection: close\r\n\r\n", listedGangs, crowdSecret)
	c := &crowd{p: p}
	for range listReaders {
		c.senders.Go(func() {
			for range listsEach {
				conn, err := dialer.Dial("tcp", p.front)
				if err != nil {
					return
				}
				_ = conn.SetDeadline(time.Now().Add(settleTimeout))
				write(conn, request)
				_, _ = io.Copy(io.Discard, conn)
				_ = conn.Close()
			}
		})
	}
	c.senders.Wait()
	require.NoError(t, p.call(http.MethodGet, fmt.Sprintf("/v1/jobs?limit=%d", listedGangs), "crowd:"+crowdSecret, ""), "one alone is served")
	p.check()
}
