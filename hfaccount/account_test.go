package hfaccount

import (
	"fmt"
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hfconfig"
)

// stepFunc returns the next write of a merge.
type stepFunc func(v *hfconfig.View, merge string) (hfconfig.Resource, bool)

func mergeState(phase string) *hfconfig.State {
	s := hfconfig.NewState(time.Unix(0, 0))
	shape := func(size int) []hfconfig.Shape { return []hfconfig.Shape{{Domain: "a", Size: size, Count: 1}} }
	resources := []hfconfig.Resource{
		hfconfig.NewResource(hfconfig.KindAccount, "buyer", &hfconfig.Account{Guarantees: shape(8), Quota: 40, Limit: 10, Weight: 2}),
		hfconfig.NewResource(hfconfig.KindAccount, "bought", &hfconfig.Account{Guarantees: shape(16), Quota: 24, Weight: 5}),
		hfconfig.NewResource(hfconfig.KindAccount, "other", &hfconfig.Account{Limit: 3}),
		hfconfig.NewResource(hfconfig.KindWork, "reprice", &hfconfig.Work{Type: "request", Class: "normal", Accounts: []string{"bought"}}),
		hfconfig.NewResource(hfconfig.KindWork, "audit", &hfconfig.Work{Type: "job", Class: "batch", Accounts: []string{"buyer", "bought"}}),
		hfconfig.NewResource(hfconfig.KindCaller, "b1", &hfconfig.Caller{Account: "bought", Role: "caller", Hash: Hash("s1")}),
		hfconfig.NewResource(hfconfig.KindCaller, "b2", &hfconfig.Caller{Account: "bought", Role: "auditor", Hash: Hash("s2")}),
		hfconfig.NewResource(hfconfig.KindObjective, "o1", &hfconfig.Objective{Account: "bought", Work: "reprice", Target: 0.99, Late: 100}),
		hfconfig.NewResource(hfconfig.KindMerge, "night", &hfconfig.Merge{From: "bought", Into: "buyer", Phase: phase}),
	}
	for i, r := range resources {
		s.Update(hfconfig.Learned(r.At(int64(i+1))), time.Unix(0, 0))
	}
	return s
}

// describe writes down all that a book says, so that two can be compared.
func describe(v *hfconfig.View) []string {
	b := NewBook(v)
	var lines []string
	for _, t := range b.All() {
		var shapes []string
		for _, g := range t.Guarantees() {
			shapes = append(shapes, fmt.Sprint(g))
		}
		sort.Strings(shapes)
		members := append([]string{}, t.Members()...)
		sort.Strings(members)
		lines = append(lines, fmt.Sprint(t.Name(), shapes, t.Quota(), t.Limit(), t.Weight(), members))
	}
	for _, name := range []string{"buyer", "bought", "other"} {
		target, ok := b.Resolve(name)
		_, reprice := b.Work(name, "reprice")
		_, audit := b.Work(name, "audit")
		lines = append(lines, fmt.Sprint(name, target, ok, reprice, audit))
	}
	for _, credential := range []string{"b1:s1", "b2:s2", "b1:s2", "nobody:s1"} {
		identity, err := b.Authenticate(credential, "")
		lines = append(lines, fmt.Sprint(credential, identity, err != nil))
	}
	for _, o := range v.Objectives() {
		target, _ := b.Resolve(o.Account)
		lines = append(lines, "objective of "+target)
	}
	return lines
}

// commitWith carries out a merge. Each step is taken by another instance, which
// knows nothing but the configuration as it is stored.
func commitWith(t *testing.T, next stepFunc) (changed int, steps int) {
	t.Helper()
	s := mergeState(hfconfig.PhaseCommit)
	want := describe(s.View())
	for revision := int64(100); ; revision++ {
		step, ok := next(s.View(), "night")
		if !ok {
			return changed, steps
		}
		s.Update(hfconfig.Learned(step.At(revision)), time.Unix(0, 0))
		steps++
		require.Less(t, steps, 50, "the merge does not end")
		if fmt.Sprint(describe(s.View())) != fmt.Sprint(want) {
			changed++
		}
	}
}

func TestMergeKeepsTheBookAtEveryStep(t *testing.T) {
	changed, steps := commitWith(t, NextStep)
	require.Zero(t, changed, "steps that changed what is in force")
	require.Equal(t, 8, steps)
	overlap := mergeState(hfconfig.PhaseOverlap)
	require.Equal(t, describe(mergeState(hfconfig.PhaseCommit).View()), describe(overlap.View()), "the commit changes nothing")
}

// TestWrongOrderIsFound moves the guarantees away before the receiving account has
// them.
func TestWrongOrderIsFound(t *testing.T) {
	aliasFirst := func(v *hfconfig.View, name string) (hfconfig.Resource, bool) {
		m, ok := v.Merges()[name]
		if ok && m.Phase == hfconfig.PhaseCommit {
			if r, ok := makeAlias(v, m); ok {
				return r, true
			}
		}
		return NextStep(v, name)
	}
	changed, _ := commitWith(t, aliasFirst)
	require.Positive(t, changed)
}

func TestMergeUndone(t *testing.T) {
	s := mergeState(hfconfig.PhaseOverlap)
	before := mergeState(hfconfig.PhaseOverlap)
	tombstone := hfconfig.NewResource(hfconfig.KindMerge, "night", nil).Tombstone()
	require.NoError(t, s.View().Admit(tombstone))
	s.Update(hfconfig.Learned(tombstone.At(200)), time.Unix(0, 0))
	name, _ := NewBook(s.View()).Resolve("bought")
	require.Equal(t, "bought", name)
	name, _ = NewBook(before.View()).Resolve("bought")
	require.Equal(t, "buyer", name)
	committing := mergeState(hfconfig.PhaseCommit)
	require.ErrorIs(t, committing.View().Admit(tombstone), hfconfig.ErrInvalid, "not once it is being committed")
}

func TestMergedTerms(t *testing.T) {
	terms, ok := NewBook(mergeState(hfconfig.PhaseOverlap).View()).Terms("bought")
	require.True(t, ok)
	require.Equal(t, "buyer", terms.Name())
	require.Len(t, terms.Guarantees(), 2)
	require.Equal(t, 64, terms.Quota())
	require.Zero(t, terms.Limit(), "one side has no limit, so the merged account has none")
	require.Equal(t, 5, terms.Weight())
	plan := DryRun(mergeState(hfconfig.PhaseOverlap).View(), "bought", "buyer")
	require.Contains(t, plan.Moves, "caller b1")
	require.Len(t, plan.Conflicts, 2)
}

func TestCredentials(t *testing.T) {
	book := NewBook(mergeState(hfconfig.PhaseOverlap).View())
	for name, row := range map[string]struct {
		credential, root string
		ok               bool
	}{
		"right":           {"b1:s1", "", true},
		"wrong secret":    {"b1:s2", "", false},
		"no secret":       {"b1", "", false},
		"empty":           {"", "", false},
		"unknown caller":  {"x:s1", "", false},
		"root":            {"root:r", Hash("r"), true},
		"root without":    {"root:r", "", false},
		"root with empty": {"root:", "", false},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := book.Authenticate(row.credential, row.root)
			require.Equal(t, row.ok, err == nil)
		})
	}
}
