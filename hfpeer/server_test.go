package hfpeer

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"net"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	"github.com/heatherfront/heatherfront/hfwire"
)

// startServer serves calls within limits and returns the server and its address.
func startServer(t *testing.T, l Limits, member bool, handle Handler) (*Server, string) {
	t.Helper()
	server := NewServer(l, func(string) bool { return member }, func(map[string]int64) {}, metrics.NewRegistry())
	ln, err := Listen(t.Context(), "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return server.Serve(ctx, ln, handle) })
	t.Cleanup(func() {
		cancel()
		require.NoError(t, g.Wait())
		require.Zero(t, server.taken())
	})
	return server, ln.Addr().String()
}

func (s *Server) taken() (taken int64) {
	s.with(func(a *admission, _ time.Time) { taken = a.taken })
	return taken
}

func newFrame(kind byte, flags uint16, stream uint32, length int) []byte {
	head := binary.BigEndian.AppendUint16([]byte{0, kind}, flags)
	head = binary.BigEndian.AppendUint32(head, stream)
	return binary.BigEndian.AppendUint32(head, uint32(length))
}

// connectRaw returns a connection that is closed with the test, and whether the server has closed it.
func connectRaw(t *testing.T, address string) (net.Conn, func() bool) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn, func() bool {
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
		for b := make([]byte, 1<<10); ; {
			if _, err := conn.Read(b); err != nil {
				return !errors.Is(err, os.ErrDeadlineExceeded)
			}
		}
	}
}

const waitTime = 20 * time.Second

// All that is reserved for calls is free again once they are answered.
func TestCallsFreeWhatTheyHeld(t *testing.T) {
	server, address := startServer(t, NewLimits(128<<20, 1<<10, false), true, acknowledge)
	links := NewLinks("a", "a", &net.Dialer{}, metrics.NewRegistry())
	defer links.Close()
	var calls errgroup.Group
	for i := range 64 {
		calls.Go(func() error {
			out := links.Envelope()
			out.Body = &hfwire.Envelope_Hint{Hint: &hfwire.Hint{Value: bytes.Repeat([]byte{1}, i<<12)}}
			ctx, cancel := context.WithTimeout(context.Background(), waitTime)
			defer cancel()
			_, err := links.Call(ctx, NewPeer("b", address), out)
			return err
		})
	}
	require.NoError(t, calls.Wait())
	require.Eventually(t, func() bool { return server.taken() <= connBytes+maxIdleStreams*streamBytes }, waitTime, time.Millisecond)
}

// The memory for a frame is taken by its head, that for a message by its length: neither may be believed.
func TestUnfinishedMessagesStayWithinLimits(t *testing.T) {
	l := NewLimits(2<<20, 1<<10, false)
	server, address := startServer(t, l, true, acknowledge)
	content := binary.AppendUvarint(nil, hfwire.MaxFrameBytes-1)
	content = append(content, make([]byte, 100<<10)...)
	for range 4 {
		conn, _ := connectRaw(t, address)
		for stream := range 20 {
			if _, err := conn.Write(append(newFrame(frameData, flagOpen, uint32(2*stream+1), len(content)), content...)); err != nil {
				break
			}
			require.LessOrEqual(t, server.taken(), l.bytes)
		}
	}
	links := NewLinks("a", "a", &net.Dialer{}, metrics.NewRegistry())
	defer links.Close()
	require.Eventually(t, func() bool { return callWithin(t, links, NewPeer("b", address), time.Second) == nil }, waitTime, time.Millisecond)
}

// A connection with more streams or pings than any link has is closed.
func TestFloodsOfFramesCloseConnection(t *testing.T) {
	for name, frame := range map[string]func(i int) []byte{
		"streams":          func(i int) []byte { return newFrame(frameWindow, flagOpen, uint32(2*i+1), 0) },
		"one stream again": func(int) []byte { return newFrame(frameWindow, flagOpen, 1, 0) },
		"pings":            func(i int) []byte { return newFrame(framePing, flagOpen, 0, i) },
	} {
		t.Run(name, func(t *testing.T) {
			_, address := startServer(t, NewLimits(128<<20, 1<<10, false), true, acknowledge)
			conn, closed := connectRaw(t, address)
			for i := range 2 * maxStreams {
				if _, err := conn.Write(frame(i)); err != nil {
					break
				}
			}
			require.Eventually(t, closed, waitTime, 10*time.Millisecond)
		})
	}
}

// A reply that is not read holds its memory for a while only.
func TestUnreadRepliesEnd(t *testing.T) {
	const size = 1 << 20
	l := NewLimits(8<<20, 1<<10, false)
	server, address := startServer(t, l, true, func(context.Context, *hfwire.Envelope) *hfwire.Envelope {
		return &hfwire.Envelope{Body: &hfwire.Envelope_Hint{Hint: &hfwire.Hint{Value: make([]byte, size)}}}
	})
	conn, _ := connectRaw(t, address)
	session, err := yamux.Client(conn, yamuxConfig())
	require.NoError(t, err)
	defer func() { _ = session.Close() }()
	for range 20 {
		stream, err := session.OpenStream()
		if err != nil {
			break
		}
		_ = hfwire.Write(stream, &hfwire.Envelope{Sender: "a"})
		require.LessOrEqual(t, server.taken(), l.bytes)
	}
	links := NewLinks("b", "b", &net.Dialer{}, metrics.NewRegistry())
	defer links.Close()
	require.Eventually(t, func() bool { return callWithin(t, links, NewPeer("b", address), time.Second) == nil }, waitTime, time.Millisecond)
}

// An instance that answers calls may be broken, too: nobody serves the streams that it opens.
func TestLinkRefusesStreamsOfPeer(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	links := NewLinks("a", "a", &net.Dialer{}, metrics.NewRegistry())
	defer links.Close()
	var g errgroup.Group
	g.Go(func() error {
		conn, err := ln.Accept()
		if err != nil {
			return err
		}
		defer func() { _ = conn.Close() }()
		if _, err := conn.Write(newFrame(frameData, flagOpen, 2, 256<<10)); err != nil {
			return err
		}
		_, err = conn.Read(make([]byte, 1<<20))
		for err == nil {
			_, err = conn.Read(make([]byte, 1<<20))
		}
		return nil // closed by the link
	})
	link, err := links.connect(t.Context(), ln.Addr().String())
	require.NoError(t, err)
	require.Eventually(t, link.IsClosed, waitTime, time.Millisecond)
	require.NoError(t, g.Wait())
}

// TestFramesAreFoundHoweverTheyCome checks the scanner against frames that come in pieces.
func TestFramesAreFoundHoweverTheyCome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []byte
		var want []frameHead
		payload := 0
		for range rapid.IntRange(0, 10).Draw(t, "frames") {
			h := frameHead{
				kind: rapid.SampledFrom([]byte{frameData, frameWindow, framePing}).Draw(t, "kind"), flags: rapid.Uint16().Draw(t, "flags"),
				stream: rapid.Uint32().Draw(t, "stream"), length: rapid.Uint32Range(0, 50).Draw(t, "length"),
			}
			want = append(want, h)
			all = append(all, newFrame(h.kind, h.flags, h.stream, int(h.length))...)
			if h.kind == frameData {
				all = append(all, make([]byte, h.length)...)
				payload += int(h.length)
			}
		}
		var s frameScanner
		var got []frameHead
		for len(all) > 0 {
			n := rapid.IntRange(1, len(all)).Draw(t, "piece")
			require.NoError(t, s.scan(slices.Clone(all[:n]), func(h frameHead) error { got = append(got, h); return nil }, func(n int) { payload -= n }))
			all = all[n:]
		}
		require.Equal(t, want, got)
		require.Zero(t, payload)
	})
}
