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

// replica is the part of State that checkConvergence uses.
type replica interface {
	Update(msg Msg, now time.Time) []Cmd
	Revisions() map[string]int64
}

// lastArrivalWins is a faulty replica: it keeps the resource that arrived last
// instead of the one with the highest revision.
type lastArrivalWins struct{ revisions map[string]int64 }

func (l *lastArrivalWins) Update(msg Msg, _ time.Time) []Cmd {
	var resources []Resource
	switch m := msg.(type) {
	case LearnedMsg:
		resources = m.resources
	case ListedMsg:
		resources = m.resources
	}
	for _, r := range resources {
		l.revisions[r.Key()] = r.revision
	}
	return nil
}

func (l *lastArrivalWins) Revisions() map[string]int64 { return l.revisions }

// checkConvergence writes resources and delivers them to three replicas in any
// order, repeatedly, from peers that lag behind and from a store that was restored
// to an older state. It returns an error if a replica reverts a resource or misses
// an accepted write in the end.
func checkConvergence(t *rapid.T, build func() replica) error {
	now := time.Unix(1000, 0)
	replicas := []replica{build(), build(), build()}
	store := map[string]Resource{}
	var written []Resource
	revision := int64(0)
	for range rapid.IntRange(10, 60).Draw(t, "steps") {
		i := rapid.IntRange(0, 2).Draw(t, "replica")
		before := maps.Clone(replicas[i].Revisions())
		switch rapid.IntRange(0, 5).Draw(t, "step") {
		case 0, 1:
			revision++
			r := NewResource(KindAccount, fmt.Sprint("n", rapid.IntRange(0, 3).Draw(t, "name")), &Account{Quota: int(revision)}).WithRevision(revision)
			if rapid.Bool().Draw(t, "delete") {
				r = r.Tombstone()
			}
			store[r.Key()] = r
			written = append(written, r)
		case 2:
			if len(written) > 0 {
				replicas[i].Update(Learned(rapid.SampledFrom(written).Draw(t, "received")), now)
			}
		case 3:
			replicas[i].Update(Listed(valuesOf(store), revision), now)
		case 4: // the store was restored to its state after an earlier write
			n := rapid.IntRange(0, len(written)).Draw(t, "restored")
			restored := map[string]Resource{}
			for _, r := range written[:n] {
				restored[r.Key()] = r
			}
			replicas[i].Update(Listed(valuesOf(restored), int64(n)), now)
		case 5:
			replicas[i].Update(Learned(peerUpdates(written, replicas[(i+1)%3].Revisions(), replicas[i].Revisions())...), now)
		}
		for key, r := range before {
			if replicas[i].Revisions()[key] < r {
				return fmt.Errorf("%s reverted from %d to %d", key, r, replicas[i].Revisions()[key])
			}
		}
	}
	for _, n := range replicas {
		n.Update(Listed(valuesOf(store), revision), now)
		for key, r := range store {
			if n.Revisions()[key] != r.revision {
				return fmt.Errorf("%s is at %d, accepted %d", key, n.Revisions()[key], r.revision)
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

// peerUpdates returns the resources that a replica with the revisions in sender
// sends to one with those in receiver.
func peerUpdates(written []Resource, sender, receiver map[string]int64) []Resource {
	var list []Resource
	for _, r := range written {
		if sender[r.Key()] == r.revision && r.revision > receiver[r.Key()] {
			list = append(list, r)
		}
	}
	return list
}

func TestConfigurationNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := checkConvergence(t, func() replica { return NewState(time.Unix(0, 0)) }); err != nil {
			t.Fatal(err)
		}
	})
}

// TestLastArrivalWinsIsCaught checks that checkConvergence detects a replica that
// ignores revisions.
func TestLastArrivalWinsIsCaught(t *testing.T) {
	require.True(t, hfseed.FindsFailure(50, func(rt *rapid.T) error {
		return checkConvergence(rt, func() replica { return &lastArrivalWins{revisions: map[string]int64{}} })
	}))
}

func TestStaleStoreIsReported(t *testing.T) {
	s := NewState(time.Unix(0, 0))
	r := NewResource(KindAccount, "a", &Account{}).WithRevision(9)
	s.Update(Learned(r), time.Unix(0, 0))
	cmds := s.Update(Listed(nil, 4), time.Unix(0, 0))
	require.Equal(t, []Cmd{StaleStoreCmd{highestRevision: 9, storeRevision: 4}}, cmds)
	require.True(t, s.StoreStale())
	require.Contains(t, s.View().Accounts(), "a")
	s.Update(Listed([]Resource{r}, 10), time.Unix(0, 0))
	require.False(t, s.StoreStale())
}

func TestIsolated(t *testing.T) {
	start := time.Unix(0, 0)
	s := NewState(start)
	require.False(t, s.Isolated(start.Add(IsolatedAfter-1)))
	require.True(t, s.Isolated(start.Add(IsolatedAfter)))
	s.Update(ContactMsg{}, start.Add(IsolatedAfter))
	require.False(t, s.Isolated(start.Add(IsolatedAfter)))
}

func TestManifestErrorsNameTheField(t *testing.T) {
	for name, row := range map[string]struct{ text, want string }{
		"unknown field":                  {"kind: account\nname: a\nspec:\n  quotta: 3\n", "[4:3]"},
		"unknown kind":                   {"kind: acount\nname: a\nspec: {}\n", `kind "acount" is not one of`},
		"bad name":                       {"kind: account\nname: A_b\nspec: {}\n", `name "A_b"`},
		"size too large":                 {"kind: account\nname: a\nspec: {guarantees: [{domain: a, size: 65, count: 1}]}\n", "spec.guarantees[0].size"},
		"operator with account":          {"kind: caller\nname: c\nspec: {role: operator, account: a, hash: '" + fmt.Sprintf("%064d", 0) + "'}\n", "spec.account"},
		"short hash":                     {"kind: caller\nname: c\nspec: {role: caller, account: a, hash: abc}\n", "spec.hash"},
		"second document":                {"kind: account\nname: a\nspec: {}\n---\nkind: account\nname: b\nspec: {x: 1}\n", "document 2"},
		"merge with self":                {"kind: merge\nname: m\nspec: {from: a, into: a, phase: overlap}\n", "spec.from and spec.into"},
		"preemptible but not idempotent": {"kind: work\nname: w\nspec: {type: job, class: batch, preemptible: true, accounts: [a]}\n", "spec.preemptible"},
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
			require.NoError(t, NewResource(m.Kind, m.Name, m.Spec).Validate())
		}
	})
}
