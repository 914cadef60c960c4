package hfcrowd

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hfwork"
)

const (
	jobCrowd     = 600              // clients that hand in whole jobs
	wideJobCrowd = 1200             // the same at all sockets
	hugeJobCrowd = 3000             // the same at an instance of wideMemoryMB
	storeSilence = 12 * time.Second // for which the store gives no answer
	jobsBefore   = time.Second      // for which jobs are handed in before that
)

// newLegalJob returns the body of a job that is inside all limits of the pages, with as many steps as it may have.
func newLegalJob(t *testing.T) []byte {
	var steps []map[string]any
	for i := range hfwork.MaxSteps {
		steps = append(steps, map[string]any{
			"count": 1, "cpu": 1, "mem_mb": 1, "gpu": 0, "estimate_ms": 2500, "checkpoint": i%2 == 0, "image": fmt.Sprintf("registry.example/step-%d:1", i),
		})
	}
	body, err := json.Marshal(map[string]any{"spec": strings.Repeat("x", hfwork.MaxCommandBytes), "steps": steps})
	require.NoError(t, err)
	return body
}

// handIn starts clients that hand in whole jobs one after the other, each with an id of its own, until the function
// that it returns is called.
func handIn(p *target, size int) (stop func()) {
	body := newLegalJob(p.t)
	done := make(chan struct{})
	over := func() bool {
		select {
		case <-done:
			return true
		case <-p.ended:
			return true
		default:
			return false
		}
	}
	c := &crowd{p: p}
	for number := range size {
		c.senders.Go(func() {
			for i := 0; !over(); {
				conn, err := dialer.Dial("tcp", p.front)
				if err != nil {
					continue
				}
				reader := bufio.NewReader(conn)
				for ; !over() && handInOne(p, conn, reader, number<<32+i, body); i++ {
				}
				_ = conn.Close()
			}
		})
	}
	return func() { close(done); c.senders.Wait() }
}

// post returns the head of a submission of the crowd's account with a body of n bytes.
func post(p *target, id, n int) []byte {
	return []byte(strings.Replace(string(p.withLength(id, n)), callerKey, crowdKey, 1))
}

// handInOne hands in a job and reads the answer. It reports whether the connection may be used again.
func handInOne(p *target, conn net.Conn, reader *bufio.Reader, id int, body []byte) bool {
	_ = conn.SetDeadline(time.Now().Add(sendTimeout))
	if !write(conn, post(p, id, len(body)), body) {
		return false
	}
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && !resp.Close
}

// testSilentStore hands in jobs while the store gives no answer, and after it.
func testSilentStore(t *testing.T, size int, memoryMB int64) {
	p := startEntryWith(t, allSockets, func(p *target) { p.memoryMB = memoryMB })
	stop := handIn(p, size)
	time.Sleep(jobsBefore)
	open := p.gate.shut()
	time.Sleep(storeSilence)
	open()
	time.Sleep(jobsBefore)
	stop()
	p.check()
}

func TestEntryUnderJobsWhileStoreIsSilent(t *testing.T) {
	testSilentStore(t, jobCrowd, entryMemoryMB)
}

func TestEntryUnderManyJobsWhileStoreIsSilent(t *testing.T) {
	testSilentStore(t, wideJobCrowd, entryMemoryMB)
}

func TestLargerEntryUnderManyJobsWhileStoreIsSilent(t *testing.T) {
	testSilentStore(t, hugeJobCrowd, wideMemoryMB)
}
