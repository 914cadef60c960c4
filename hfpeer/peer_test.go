package hfpeer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hfwire"
)

const testSuspect = 3 * time.Second

func member(now time.Time) *State {
	return New("self", "127.0.0.1:1", "a", "one", "i0", testSuspect, now)
}

func beat(s *State, name, incarnation string, sequence uint64, leaving bool, now time.Time) []Cmd {
	return s.Update(Beaten(name, incarnation, &hfwire.Beat{Sequence: sequence, Domain: "b", Region: "one", Leaving: leaving}), now)
}

func names(peers []Peer) []string {
	var list []string
	for _, p := range peers {
		list = append(list, p.Name())
	}
	return list
}

func TestMembership(t *testing.T) {
	now := time.Unix(0, 0)
	s := member(now)
	s.Update(Listed([]Row{NewRow("self", "", "", "", false), NewRow("p", "127.0.0.1:2", "b", "one", false)}), now)
	require.Equal(t, []string{"self"}, names(s.Live()), "listed is not heard")
	require.Equal(t, []string{"p"}, names(s.Known()))
	require.Len(t, beat(s, "p", "i1", 1, false, now), 1)
	require.Equal(t, []string{"p", "self"}, names(s.Live()))
	tick := func(until time.Duration) (cmds []Cmd) {
		for end := now.Add(until); now.Before(end); {
			now = now.Add(500 * time.Millisecond)
			cmds = append(cmds, s.Update(TickMsg{}, now)...)
		}
		return cmds
	}
	require.Empty(t, tick(testSuspect-500*time.Millisecond))
	require.IsType(t, SuspectCmd{}, tick(500 * time.Millisecond)[0])
	require.Equal(t, []string{"self"}, names(s.Live()))
	require.IsType(t, UpCmd{}, beat(s, "p", "i1", 2, false, now)[0])
	require.Empty(t, beat(s, "p", "i1", 1, true, now), "an old beat changes nothing")
	beat(s, "p", "i1", 3, true, now)
	require.Equal(t, []string{"self"}, names(s.Live()), "a leaving instance holds no duties")
	s.Update(Listed(nil), now)
	require.IsType(t, GoneCmd{}, tick(testSuspect)[0])
	require.Empty(t, s.Known())
}

// TestOwnPauseSuspectsNobody lets this process stand still for longer than the
// suspicion time.
func TestOwnPauseSuspectsNobody(t *testing.T) {
	now := time.Unix(0, 0)
	s := member(now)
	beat(s, "p", "i1", 1, false, now)
	now = now.Add(time.Minute)
	cmds := s.Update(TickMsg{}, now)
	require.Len(t, cmds, 1)
	require.Equal(t, int64(60_000), cmds[0].(PausedCmd).Gap())
	require.Equal(t, []string{"p", "self"}, names(s.Live()))
}

// TestOwnersMoveLittle checks that a change of one instance moves its share alone.
func TestOwnersMoveLittle(t *testing.T) {
	var live []Peer
	for i := range 8 {
		live = append(live, Peer{name: fmt.Sprint("e", i), domain: fmt.Sprint("d", i%3), region: "one"})
	}
	moved, owned := 0, map[string]int{}
	for i := range 1000 {
		duty := fmt.Sprint("worker/", i)
		before, _ := Owner(duty, live, "", "")
		after, _ := Owner(duty, live[:7], "", "")
		owned[before]++
		if before != "e7" {
			require.Equal(t, before, after)
			continue
		}
		moved++
	}
	require.Less(t, moved, 250)
	require.Len(t, owned, 8)
	near, _ := Owner("x", live, "d1", "one")
	require.Contains(t, []string{"e1", "e4", "e7"}, near, "instances of the domain come first")
	_, ok := Owner("x", nil, "", "")
	require.False(t, ok)
}
