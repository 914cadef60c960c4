package hfpeer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/heatherfront/heatherfront/hfstand"
	"github.com/heatherfront/heatherfront/hfwire"
)

// newTestServer returns a server with the limits of a large process, which knows all instances.
func newTestServer() *Server {
	return NewServer(NewLimits(128<<20, 1<<10, false), func(string) bool { return true }, func(map[string]int64) {}, metrics.NewRegistry())
}

// openLinks serves calls with a handler and returns links to it that end with the test.
func openLinks(t *testing.T, dialer Dialer, handle Handler) (*Links, Peer) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return newTestServer().Serve(ctx, ln, handle) })
	links := NewLinks("a", "a", dialer, metrics.NewRegistry())
	t.Cleanup(func() {
		links.Close()
		cancel()
		require.NoError(t, g.Wait())
	})
	return links, NewPeer("b", ln.Addr().String())
}

func acknowledge(context.Context, *hfwire.Envelope) *hfwire.Envelope {
	return &hfwire.Envelope{Body: &hfwire.Envelope_Ack{Ack: &hfwire.Ack{}}}
}

// callWithin calls a peer and waits for its reply at most for the given time.
func callWithin(t *testing.T, links *Links, peer Peer, timeout time.Duration) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	_, err := links.Call(ctx, peer, links.Envelope())
	return err
}

// Guards against an instance that cannot call another one for as long as the keepalive takes, because the
// link has gone silent.
func TestCallAfterSilentLinkOpensNewOne(t *testing.T) {
	dialer := &hfstand.Silencer{}
	links, peer := openLinks(t, dialer, acknowledge)
	call := func(timeout time.Duration) error { return callWithin(t, links, peer, timeout) }
	require.NoError(t, call(10*time.Second))
	dialer.Silence()
	require.ErrorIs(t, call(time.Second), ErrNoReply, "this call finds the silence")
	require.NoError(t, call(10*time.Second))
}

// Guards against a silent link that stays in use because no call waits for long: hints to the leader were
// lost for 12 s, until the keepalive failed (the day severed).
func TestShortCallsNoticeSilentLink(t *testing.T) {
	dialer := &hfstand.Silencer{}
	links, peer := openLinks(t, dialer, acknowledge)
	call := func(timeout time.Duration) error { return callWithin(t, links, peer, timeout) }
	require.NoError(t, call(10*time.Second))
	dialer.Silence()
	failed := 0
	for ; failed < 100 && call(50*time.Millisecond) != nil; failed++ {
	}
	require.Less(t, failed, 100)
}

// Guards against the loss of all other calls on a link when one of them is not answered in time.
func TestSlowCallLeavesLinkOpen(t *testing.T) {
	links, peer := openLinks(t, &net.Dialer{}, func(ctx context.Context, in *hfwire.Envelope) *hfwire.Envelope {
		if in.GetHint() != nil {
			<-ctx.Done()
			return nil
		}
		return acknowledge(ctx, in)
	})
	slow := links.Envelope()
	slow.Body = &hfwire.Envelope_Hint{Hint: &hfwire.Hint{}}
	var calls errgroup.Group
	calls.Go(func() error {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := links.Call(ctx, peer, slow)
		return err
	})
	time.Sleep(500 * time.Millisecond)
	_, err := links.Call(t.Context(), peer, links.Envelope())
	require.NoError(t, err)
	first, err := links.connect(t.Context(), peer.address)
	require.NoError(t, err)
	require.ErrorIs(t, calls.Wait(), ErrNoReply)
	second, err := links.connect(t.Context(), peer.address)
	require.NoError(t, err)
	require.Same(t, first, second, "the peer was heard meanwhile")
}
