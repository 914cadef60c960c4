package hfcrowd

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hfwire"
	"github.com/heatherfront/heatherfront/hfwork"
)

const (
	storedShare   = 2   // jobs that are stored before the process starts take 1/storedShare of its memory
	storedTasks   = 500 // tasks of such a job
	mixedJobs     = 300 // clients that hand in jobs
	mixedHolders  = 200 // connections of each other crowd at the callers' listener
	firstStoredID = 0xa11 << 32
)

// storeJobs stores jobs that an earlier release accepted, more than a leader may load.
func storeJobs(t *testing.T, p *target) {
	job := &hfwork.Job{
		Queue: "usual", Account: "earlier", Command: strings.Repeat("x", 1000), Policy: 1, Received: time.Now().UnixMilli(),
		Settings: &hfwork.Queue{Name: "usual", Priority: 1},
		Steps:    []*hfwork.Step{{Count: storedTasks, Cpu: 1000, Memory: 1}},
	}
	for i, sum := 0, int64(0); sum < p.memoryMB<<20/storedShare; i++ {
		job.Id = fmt.Sprintf("%016x", firstStoredID+i)
		value, err := hfwire.Encode(job)
		require.NoError(t, err)
		p.store.SetBytes("hf/work/"+job.GetId(), value)
		sum += hfwork.Footprint(job)
	}
}

// TestEntryUnderAllCrowds lets all crowds come at once to the leader, which has loaded all that it may, while the
// store is silent and nobody reads the log.
func TestEntryUnderAllCrowds(t *testing.T) {
	reader, writer, err := os.Pipe()
	require.NoError(t, err)
	defer func() { _ = reader.Close() }()
	p := startEntryWith(t, allSockets, func(p *target) {
		p.stdout = writer
		storeJobs(t, p)
		for i := range listedRecords {
			p.store.SetBytes(fmt.Sprintf("listed/%d", i), bytes.Repeat([]byte{'x'}, recordBytes))
		}
	})
	stopChecks := crowdChecks(p, "GET /v1/ready HTTP/1.1\r\nHost: ", true)
	stopJobs := handIn(p, mixedJobs)
	time.Sleep(jobsBefore)
	open := p.gate.shut()
	silentUntil := time.Now().Add(storeSilence)
	for _, send := range []func(*crowd, net.Conn, int){sendPieces, sendChunks(tinyChunk), sendUnread, sendOneAndIdle} {
		run(p, mixedHolders, 1, send)
	}
	run(p, mixedHolders, 1, func(_ *crowd, conn net.Conn, _ int) { sendLongPaths(conn) })
	for _, send := range []func(*crowd, net.Conn, int){sendUnfinished, sendEmptyStreams, sendLists} {
		runFrom(p, dialFrom(brokenAddress), p.peer, linkCrowd, 1, send)
	}
	time.Sleep(time.Until(silentUntil))
	open()
	time.Sleep(jobsBefore)
	stopJobs()
	stopChecks()
	p.checkPeer()
	p.check()
}
