package hfconfig

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/heatherfront/heatherfront/hfseed"
)

// keeper is what the proof needs of a configuration.
type keeper interface {
	Update(msg Msg, now time.Time) []Cmd
	Have() map[string]int64
}

// lastOne is a wrong configuration: it keeps what arrived last.
type lastOne struct{ have map[string]int64 }

func (l *lastOne) Update(msg Msg, _ time.Time) []Cmd {
	var resources []Resource
	switch m := msg.(type) {
	case LearnedMsg:
		resources = m.resources
	case ListedMsg:
		resources = m.resources
	}
	for _, r := range resources {
		l.have[r.Key()] = r.revision
	}
	return nil
}

func (l *lastOne) Have() map[string]int64 { return l.have }

// spread writes resources and lets instances hear of them in any order, twice, from
// peers that lag, and from a store that was restored to an older state.
func spread(t *rapid.T, build func() keeper) error {
	now := time.Unix(1000, 0)
	nodes := []keeper{build(), build(), build()}
	store := map[string]Resource{}
	var written []Resource
	revision := int64(0)
	for range rapid.IntRange(10, 60).Draw(t, "steps") {
		i := rapid.IntRange(0, 2).Draw(t, "node")
		before := maps.Clone(nodes[i].Have())
		switch rapid.IntRange(0, 5).Draw(t, "step") {
		case 0, 1:
			revision++
			r := NewResource(KindAccount, fmt.Sprint("n", rapid.IntRange(0, 3).Draw(t, "name")), &Account{Quota: int(revision)}).At(revision)
			if rapid.Bool().Draw(t, "delete") {
				r = r.Tombstone()
			}
			store[r.Key()] = r
			written = append(written, r)
		case 2:
			if len(written) > 0 {
				nodes[i].Update(Learned(rapid.SampledFrom(written).Draw(t, "heard")), now)
			}
		case 3:
			nodes[i].Update(Listed(valuesOf(store), revision), now)
		case 4: // a store restored to the state after some earlier write
			n := rapid.IntRange(0, len(written)).Draw(t, "restored")
			old := map[string]Resource{}
			for _, r := range written[:n] {
				old[r.Key()] = r
			}
			nodes[i].Update(Listed(valuesOf(old), int64(n)), now)
		case 5:
			nodes[i].Update(Learned(newerThan(written, nodes[(i+1)%3].Have(), nodes[i].Have())...), now)
		}
		for key, r := range before {
			if nodes[i].Have()[key] < r {
				return fmt.Errorf("%s reverted from %d to %d", key, r, nodes[i].Have()[key])
			}
		}
	}
	for _, n := range nodes {
		n.Update(Listed(valuesOf(store), revision), now)
		for key, r := range store {
			if n.Have()[key] != r.revision {
				return fmt.Errorf("%s is at %d, accepted %d", key, n.Have()[key], r.revision)
			}
		}
	}
	return nil
}

func valuesOf(m map[string]Resource) []Resource {
	var list []Resource
	for _, r := range m {
		list = append(list, r)
	}
	return list
}

// newerThan is what a peer that has theirs sends to one that has mine.
func newerThan(written []Resource, theirs, mine map[string]int64) []Resource {
	var list []Resource
	for _, r := range written {
		if theirs[r.Key()] == r.revision && r.revision > mine[r.Key()] {
			list = append(list, r)
		}
	}
	return list
}

func TestConfigurationNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := spread(t, func() keeper { return NewState(time.Unix(0, 0)) }); err != nil {
			t.Fatal(err)
		}
	})
}

func TestKeepingTheLastIsFound(t *testing.T) {
	require.True(t, hfseed.Finds(50, func(rt *rapid.T) error {
		return spread(rt, func() keeper { return &lastOne{have: map[string]int64{}} })
	}))
}

func TestOlderStoreIsTold(t *testing.T) {
	s := NewState(time.Unix(0, 0))
	r := NewResource(KindAccount, "a", &Account{}).At(9)
	s.Update(Learned(r), time.Unix(0, 0))
	cmds := s.Update(Listed(nil, 4), time.Unix(0, 0))
	require.Equal(t, []Cmd{OlderCmd{have: 9, shown: 4}}, cmds)
	require.True(t, s.Older())
	require.Contains(t, s.View().Accounts(), "a")
	s.Update(Listed([]Resource{r}, 10), time.Unix(0, 0))
	require.False(t, s.Older())
}

func TestIsolated(t *testing.T) {
	start := time.Unix(0, 0)
	s := NewState(start)
	require.False(t, s.Isolated(start.Add(IsolatedAfter-1)))
	require.True(t, s.Isolated(start.Add(IsolatedAfter)))
	s.Update(HeardMsg{}, start.Add(IsolatedAfter))
	require.False(t, s.Isolated(start.Add(IsolatedAfter)))
}

func TestManifestErrorsNameTheField(t *testing.T) {
	for name, row := range map[string]struct{ text, want string }{
		"unknown field":    {"kind: account\nname: a\nspec:\n  quotta: 3\n", "[4:3]"},
		"unknown kind":     {"kind: acount\nname: a\nspec: {}\n", `kind "acount" is not one of`},
		"bad name":         {"kind: account\nname: A_b\nspec: {}\n", `name "A_b"`},
		"size too large":   {"kind: account\nname: a\nspec: {guarantees: [{domain: a, size: 65, count: 1}]}\n", "spec.guarantees[0].size"},
		"operator account": {"kind: caller\nname: c\nspec: {role: operator, account: a, hash: '" + fmt.Sprintf("%064d", 0) + "'}\n", "spec.account"},
		"short hash":       {"kind: caller\nname: c\nspec: {role: caller, account: a, hash: abc}\n", "spec.hash"},
		"second document":  {"kind: account\nname: a\nspec: {}\n---\nkind: account\nname: b\nspec: {x: 1}\n", "document 2"},
		"merge with self":  {"kind: merge\nname: m\nspec: {from: a, into: a, phase: overlap}\n", "spec.from and spec.into"},
		"preemptible once": {"kind: work\nname: w\nspec: {type: job, class: batch, preemptible: true, accounts: [a]}\n", "spec.preemptible"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := ReadManifests(readerOf(row.text))
			require.ErrorIs(t, err, ErrInvalid)
			require.ErrorContains(t, err, row.want)
		})
	}
}

func FuzzManifest(f *testing.F) {
	f.Add("kind: account\nname: a\nspec: {quota: 1}\n---\n{\"kind\":\"merge\",\"name\":\"m\",\"spec\":{}}\n")
	f.Fuzz(func(t *testing.T, text string) {
		manifests, err := ReadManifests(readerOf(text))
		if err != nil {
			return
		}
		for _, m := range manifests {
			require.NoError(t, NewResource(m.Kind, m.Name, m.Spec).Check())
		}
	})
}
