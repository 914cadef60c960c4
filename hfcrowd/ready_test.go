package hfcrowd

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	checkCrowd  = 400                    // connections of a crowd at the address of the balancer's checks
	checks      = 50                     // of the balancer, one after the other
	crowdBefore = time.Second            // for which the crowd connects before the first check
	checkPause  = 20 * time.Millisecond  // between two checks
	holdTime    = 500 * time.Millisecond // for which a client holds a connection that the process keeps
)

// crowdChecks lets clients come again and again to the address of the balancer's checks until the function that it
// returns is called. Each sends what starts a request, and waits, or reads what comes.
func crowdChecks(p *target, start string, reads bool) (stop func()) {
	done := make(chan struct{})
	c := &crowd{p: p}
	for range checkCrowd {
		c.senders.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-p.ended:
					return
				default:
				}
				conn, err := dialer.Dial("tcp", p.checks)
				if err != nil {
					continue
				}
				_ = conn.SetDeadline(time.Now().Add(holdTime))
				write(conn, []byte(start))
				if reads {
					_, _ = io.Copy(io.Discard, conn) // until the process closes it
				} else {
					time.Sleep(holdTime)
				}
				_ = conn.Close()
			}
		})
	}
	return func() { close(done); c.senders.Wait() }
}

// testChecks checks that the balancer never finds a process not ready twice in a row: it takes out an instance for
// that.
func testChecks(p *target, start string, reads bool) {
	stop := crowdChecks(p, start, reads)
	time.Sleep(crowdBefore)
	failed, inRow, longest := 0, 0, 0
	for range checks {
		if p.isReady() {
			inRow = 0
		} else {
			failed++
			inRow++
		}
		longest = max(longest, inRow)
		time.Sleep(checkPause)
	}
	stop()
	p.t.Logf("%s: %d of %d checks failed, %d in a row", p.name, failed, checks, longest)
	require.Less(p.t, longest, 2)
	p.check()
}

// stalledBody is a request whose body does not come.
func stalledBody(path string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: crowd\r\nContent-Length: 100000\r\n\r\nx", path)
}

func TestEntryReadyUnderStalledBodies(t *testing.T) {
	testChecks(startEntry(t, manySockets), stalledBody("/v1/ready"), true)
}

func TestEntryReadyUnderStalledHeads(t *testing.T) {
	testChecks(startEntry(t, manySockets), "GET /v1/ready HTTP/1.1\r\nHost: ", true)
}

func TestEntryReadyUnderUnreadAnswers(t *testing.T) {
	p := startEntry(t, manySockets)
	testChecks(p, strings.Repeat("GET /v1/ready HTTP/1.1\r\nHost: crowd\r\n\r\n", unreadCalls), false)
}

func TestServeReadyUnderStalledHeads(t *testing.T) {
	testChecks(startServe(t, fewSockets), "GET /ready HTTP/1.1\r\nHost: ", true)
}
