package hfpeer

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/heatherfront/heatherfront/hfwire"
)

const testSuspectAfter = 3 * time.Second

func newTestState(now time.Time) *State {
	return New("self", "127.0.0.1:1", "a", "one", "i0", testSuspectAfter, now)
}

func sendHeartbeat(s *State, name, incarnation string, sequence uint64, leaving bool, now time.Time) []Cmd {
	return s.Update(Heartbeat(name, incarnation, &hfwire.Beat{Sequence: sequence, Domain: "b", Region: "one", Leaving: leaving}), now)
}

func peerNames(peers []Peer) []string {
	var list []string
	for _, p := range peers {
		list = append(list, p.Name())
	}
	return list
}

func TestMembership(t *testing.T) {
	now := time.Unix(0, 0)
	s := newTestState(now)
	s.Update(Listed([]Member{NewMember("self", "", "", "", false), NewMember("p", "127.0.0.1:2", "b", "one", false)}), now)
	require.Equal(t, []string{"self"}, peerNames(s.Live()), "a listed instance is not live before its first heartbeat")
	require.Equal(t, []string{"p"}, peerNames(s.Known()))
	require.Len(t, sendHeartbeat(s, "p", "i1", 1, false, now), 1)
	require.Equal(t, []string{"p", "self"}, peerNames(s.Live()))
	advance := func(d time.Duration) (cmds []Cmd) {
		for end := now.Add(d); now.Before(end); {
			now = now.Add(500 * time.Millisecond)
			cmds = append(cmds, s.Update(TickMsg{}, now)...)
		}
		return cmds
	}
	require.Empty(t, advance(testSuspectAfter-500*time.Millisecond))
	require.IsType(t, SuspectCmd{}, advance(500 * time.Millisecond)[0])
	require.Equal(t, []string{"self"}, peerNames(s.Live()))
	require.IsType(t, UpCmd{}, sendHeartbeat(s, "p", "i1", 2, false, now)[0])
	require.Empty(t, sendHeartbeat(s, "p", "i1", 1, true, now), "an outdated heartbeat changes nothing")
	sendHeartbeat(s, "p", "i1", 3, true, now)
	require.Equal(t, []string{"self"}, peerNames(s.Live()), "a leaving instance is not live")
	s.Update(Listed(nil), now)
	require.IsType(t, GoneCmd{}, advance(testSuspectAfter)[0])
	require.Empty(t, s.Known())
}

// TestLocalPauseSuspectsNoPeer checks that no peer is suspected after this process did
// not run for longer than the suspect timeout.
func TestLocalPauseSuspectsNoPeer(t *testing.T) {
	now := time.Unix(0, 0)
	s := newTestState(now)
	sendHeartbeat(s, "p", "i1", 1, false, now)
	now = now.Add(time.Minute)
	cmds := s.Update(TickMsg{}, now)
	require.Len(t, cmds, 1)
	require.Equal(t, int64(60_000), cmds[0].(PausedCmd).Gap())
	require.Equal(t, []string{"p", "self"}, peerNames(s.Live()))
}

// TestOwnerMovesOnlyKeysOfRemovedInstance checks that the removal of an instance moves
// only the keys that it owned.
func TestOwnerMovesOnlyKeysOfRemovedInstance(t *testing.T) {
	var live []Peer
	for i := range 8 {
		live = append(live, Peer{name: fmt.Sprint("e", i), domain: fmt.Sprint("d", i%3), region: "one"})
	}
	moved, owned := 0, map[string]int{}
	for i := range 1000 {
		key := fmt.Sprint("worker/", i)
		before, _ := Owner(key, live, "", "")
		after, _ := Owner(key, live[:7], "", "")
		owned[before]++
		if before != "e7" {
			require.Equal(t, before, after)
			continue
		}
		moved++
	}
	require.Less(t, moved, 250)
	require.Len(t, owned, 8)
	local, _ := Owner("x", live, "d1", "one")
	require.Contains(t, []string{"e1", "e4", "e7"}, local, "instances in the domain are preferred")
	_, ok := Owner("x", nil, "", "")
	require.False(t, ok)
}

// failingListener fails to accept a few times, as without free descriptors.
type failingListener struct {
	net.Listener
	failures atomic.Int64
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, syscall.EMFILE
	}
	return l.Listener.Accept()
}

// Guards against an instance that ends, or is deaf for good, when one connection cannot be accepted,
// and against one call that takes the whole instance down.
func TestInstanceServesOnAfterUnexpectedErrors(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ln := &failingListener{Listener: inner}
	ln.failures.Store(2)
	var panics atomic.Int64
	handler := Guard(func(_ context.Context, in *hfwire.Envelope) *hfwire.Envelope {
		if in.GetHint() != nil {
			panic("unexpected")
		}
		return in
	}, func(any, []byte) { panics.Add(1) })
	ctx, cancel := context.WithCancel(t.Context())
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return newTestServer().Serve(ctx, ln, handler) })
	links := NewLinks("a", "a", &net.Dialer{}, metrics.NewRegistry())
	defer links.Close()
	peer := NewPeer("b", inner.Addr().String())
	call := func(body *hfwire.Envelope) error {
		out := links.Envelope()
		out.Body = body.Body
		deadline, stop := context.WithTimeout(ctx, 10*time.Second)
		defer stop()
		_, err := links.Call(deadline, peer, out)
		return err
	}
	require.ErrorIs(t, call(&hfwire.Envelope{Body: &hfwire.Envelope_Hint{Hint: &hfwire.Hint{Key: "k"}}}), ErrNoReply)
	require.NoError(t, call(&hfwire.Envelope{Body: &hfwire.Envelope_Ack{Ack: &hfwire.Ack{}}}))
	require.Equal(t, int64(1), panics.Load())
	cancel()
	require.NoError(t, group.Wait())
}

// Instances that nobody lists, and long names, would take memory without bound.
func TestUnlistedInstancesAreBounded(t *testing.T) {
	now := time.Unix(0, 0)
	s := newTestState(now)
	for i := range 10 * maxUnlisted {
		sendHeartbeat(s, fmt.Sprint("x", i), "i", 1, false, now)
	}
	require.Len(t, s.Known(), maxUnlisted)
	s.Update(Listed([]Member{NewMember("p", "127.0.0.1:2", "b", "one", false)}), now)
	require.Len(t, sendHeartbeat(s, "p", "i", 1, false, now), 1, "a listed one is heard beside them")
	p, ok := s.Find("p")
	require.True(t, ok && p.Listed())
	require.True(t, s.Lists("127.0.0.1"))

	s = newTestState(now)
	long := strings.Repeat("x", maxNameBytes+1)
	require.Empty(t, sendHeartbeat(s, long, "i", 1, false, now))
	require.Empty(t, sendHeartbeat(s, "y", long, 1, false, now))
	require.Empty(t, s.Known())
}
