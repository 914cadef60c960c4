package hfcrowd

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hfpeer"
	"github.com/heatherfront/heatherfront/hfwire"
	"github.com/heatherfront/heatherfront/hfwork"
)

const (
	linkCrowd     = 24        // connections of a crowd at the listener for other instances
	linkStreams   = 200       // streams of a connection that carry an unfinished message
	emptyStreams  = 20_000    // streams of a connection that carry nothing
	streamWindow  = 256 << 10 // bytes of a stream that its receiver allows at first
	unfinished    = 4<<20 - 1 // bytes of a message that never ends, the largest that is read
	linkMessages  = 400       // whole messages of a connection that names many peers or jobs
	longName      = 32 << 10  // bytes of a sender's name
	listedRecords = 400       // records of a large list
	recordBytes   = 4 << 10   // of a listed record
	listStreams   = 50        // lists that a connection asks for at once

	strangerAddress = "127.0.0.1" // which no instance but the process itself has
	brokenAddress   = "127.0.0.9" // of an instance that the membership lists
	orderlyAddress  = "127.0.0.9"
)

// Frames of the multiplexer (https://github.com/hashicorp/yamux/blob/master/spec.md).
const (
	frameData, frameWindow = 0, 1
	flagOpen               = 1
)

// frame returns the head of a frame, and opens its stream.
func frame(kind byte, stream uint32, length int) []byte {
	head := []byte{0, kind, 0, flagOpen}
	head = binary.BigEndian.AppendUint32(head, stream)
	return binary.BigEndian.AppendUint32(head, uint32(length))
}

// sendUnfinished opens streams, and fills the window of each with a message that does not end.
func sendUnfinished(_ *crowd, conn net.Conn, _ int) {
	content := binary.AppendUvarint(nil, unfinished)
	content = append(content, bytes.Repeat([]byte{0}, streamWindow-len(content))...)
	for i := range linkStreams {
		if !write(conn, frame(frameData, uint32(2*i+1), len(content)), content) {
			return
		}
	}
}

// sendEmptyStreams opens streams and sends nothing on them.
func sendEmptyStreams(_ *crowd, conn net.Conn, _ int) {
	var all []byte
	for i := range emptyStreams {
		all = append(all, frame(frameWindow, uint32(2*i+1), 0)...)
	}
	write(conn, all)
}

// sendNothing keeps a connection open.
func sendNothing(*crowd, net.Conn, int) {}

// dialFrom returns a dialer of connections from an address.
func dialFrom(ip string) net.Dialer {
	return net.Dialer{Timeout: sendTimeout, LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
}

// testLinks lets a crowd connect to the listener for other instances, from an address.
func testLinks(p *target, ip string, size int, send func(*crowd, net.Conn, int)) {
	runFrom(p, dialFrom(ip), p.peer, size, 1, send)
	p.checkPeer()
	p.check()
}

// checkPeer checks that a call of another instance is answered.
func (p *target) checkPeer() {
	p.t.Helper()
	plain := dialFrom(orderlyAddress)
	var dialer hfpeer.Dialer = &plain
	if p.keys != nil {
		dialer = p.keys.Dialer(&plain)
	}
	links := hfpeer.NewLinks(otherName, "orderly", dialer, metrics.NewRegistry())
	defer links.Close()
	require.Eventually(p.t, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := links.Call(ctx, hfpeer.NewPeer(p.name, p.peer), links.Envelope())
		return errors.Is(err, hfpeer.ErrRefused) // as the message is of no known kind
	}, settleTimeout, 50*time.Millisecond, "%s answers no other instance", p.name)
}

// sendCalls makes calls one after the other, each in the name of an instance.
func sendCalls(p *target, sender func(number, i int) string, message func(number, i int) *hfwire.Envelope) func(*crowd, net.Conn, int) {
	return func(_ *crowd, _ net.Conn, number int) {
		dialer := dialFrom(strangerAddress)
		for i := range linkMessages {
			if p.failed() {
				return
			}
			links := hfpeer.NewLinks(sender(number, i), "crowd", &dialer, metrics.NewRegistry())
			out := links.Envelope()
			out.Body = message(number, i).Body
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			_, _ = links.Call(ctx, hfpeer.NewPeer(p.name, p.peer), out) // may be refused
			cancel()
			links.Close()
		}
	}
}

// failed reports whether the process has ended or exceeded its memory: the crowd needs no more time then.
func (p *target) failed() bool {
	select {
	case <-p.ended:
		return true
	default:
		return p.peakHeld.Load() > p.memoryMB<<20
	}
}

func longSender(number, i int) string {
	return fmt.Sprintf("%d-%d-%s", number, i, strings.Repeat("x", longName))
}

// hintedJob returns a hint of a stored job that no store has.
func hintedJob(t *testing.T) func(number, i int) *hfwire.Envelope {
	job := &hfwork.Job{Queue: "usual", Account: "plants", Command: strings.Repeat("x", hfwork.MaxCommandBytes), Settings: &hfwork.Queue{Name: "usual", Priority: 1}}
	for range hfwork.MaxSteps {
		job.Steps = append(job.Steps, &hfwork.Step{Count: 1, Cpu: 1000, Memory: 1, Label: strings.Repeat("x", 100)})
	}
	return func(number, i int) *hfwire.Envelope {
		j := hfwire.Copy(job)
		j.Id = fmt.Sprintf("%08x%08x", number, i)
		value, err := hfwire.Encode(j)
		if err != nil {
			t.Error(err)
		}
		return &hfwire.Envelope{Body: &hfwire.Envelope_Hint{Hint: &hfwire.Hint{Key: "hf/work/" + j.GetId(), Value: value, Version: 1 << 40}}}
	}
}

func newHeartbeat(_, i int) *hfwire.Envelope {
	return &hfwire.Envelope{Body: &hfwire.Envelope_Beat{Beat: &hfwire.Beat{Sequence: uint64(i + 1), Address: "127.0.0.1:1", Domain: "a", Region: "one"}}}
}

// sendLists asks for a large list on many streams at once, and reads no answer.
func sendLists(c *crowd, conn net.Conn, _ int) {
	var message bytes.Buffer
	call := &hfwire.StoreCall{Kind: &hfwire.StoreCall_List{List: "listed/"}}
	if err := hfwire.Write(&message, &hfwire.Envelope{Sender: otherName, Body: &hfwire.Envelope_Call{Call: call}}); err != nil {
		c.p.t.Error(err)
	}
	for i := range listStreams {
		if !write(conn, frame(frameData, uint32(2*i+1), message.Len()), message.Bytes()) {
			return
		}
	}
}

func TestEntryUnderUnfinishedMessages(t *testing.T) {
	testLinks(startEntry(t, manySockets), strangerAddress, linkCrowd, sendUnfinished)
}

func TestServeUnderUnfinishedMessages(t *testing.T) {
	testLinks(startServe(t, manySockets), strangerAddress, linkCrowd, sendUnfinished)
}

// A peer that is real but broken.
func TestEntryUnderUnfinishedMessagesOfInstance(t *testing.T) {
	testLinks(startEntry(t, manySockets), brokenAddress, linkCrowd, sendUnfinished)
}

func TestServeUnderUnfinishedMessagesOfInstance(t *testing.T) {
	testLinks(startServe(t, manySockets), brokenAddress, linkCrowd, sendUnfinished)
}

func TestEntryUnderEmptyStreams(t *testing.T) {
	testLinks(startEntry(t, manySockets), strangerAddress, linkCrowd, sendEmptyStreams)
}

func TestServeUnderEmptyStreams(t *testing.T) {
	testLinks(startServe(t, manySockets), strangerAddress, linkCrowd, sendEmptyStreams)
}

func TestEntryUnderIdleLinks(t *testing.T) {
	testLinks(startEntry(t, fewSockets), strangerAddress, holdingCrowd, sendNothing)
}

func TestServeUnderIdleLinks(t *testing.T) {
	testLinks(startServe(t, fewSockets), strangerAddress, holdingCrowd, sendNothing)
}

func TestEntryUnderHintsOfManySenders(t *testing.T) {
	p := startEntry(t, manySockets)
	testLinks(p, strangerAddress, linkCrowd, sendCalls(p, longSender, hintedJob(t)))
}

func TestServeUnderHeartbeatsOfManySenders(t *testing.T) {
	p := startServe(t, manySockets)
	testLinks(p, strangerAddress, linkCrowd, sendCalls(p, longSender, newHeartbeat))
}

func TestEntryUnderUnreadLists(t *testing.T) {
	p := startEntry(t, manySockets)
	for i := range listedRecords {
		p.store.SetBytes(fmt.Sprintf("listed/%d", i), bytes.Repeat([]byte{'x'}, recordBytes))
	}
	testLinks(p, strangerAddress, linkCrowd, sendLists)
}

// sendHalfHandshake sends most of the first record of a handshake, on every other connection nothing.
func sendHalfHandshake(_ *crowd, conn net.Conn, number int) {
	const record, handshake, length = 22, 1, 16 << 10
	if number%2 == 0 {
		head := []byte{record, 3, 1, length >> 8, length & 0xff, handshake, 0, (length - 4) >> 8, (length - 4) & 0xff}
		write(conn, head, make([]byte, length-len(head)))
	}
}

func TestSealedServeUnderHalfHandshakes(t *testing.T) {
	testLinks(startSealedServe(t, fewSockets), strangerAddress, holdingCrowd, sendHalfHandshake)
}

// A peer that has a certificate but is broken.
func TestSealedServeUnderUnfinishedMessagesOfInstance(t *testing.T) {
	p := startSealedServe(t, manySockets)
	config := &tls.Config{MinVersion: tls.VersionTLS13, InsecureSkipVerify: true, Certificates: []tls.Certificate{p.certificate}}
	testLinks(p, brokenAddress, linkCrowd, func(c *crowd, conn net.Conn, number int) {
		sendUnfinished(c, tls.Client(conn, config), number)
	})
}
