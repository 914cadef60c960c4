package hfaccount

import (
	"fmt"
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hfconfig"
)

// nextStepFunc has the signature of NextStep.
type nextStepFunc func(v *hfconfig.View, merge string) (hfconfig.Resource, bool)

// mergeState returns a configuration with a merge of account bought into buyer.
func mergeState(phase string) *hfconfig.State {
	s := hfconfig.NewState(time.Unix(0, 0))
	guarantee := func(size int) []hfconfig.Guarantee { return []hfconfig.Guarantee{{Domain: "a", Size: size, Count: 1}} }
	resources := []hfconfig.Resource{
		hfconfig.NewResource(hfconfig.KindAccount, "buyer", &hfconfig.Account{Guarantees: guarantee(8), Quota: 40, Limit: 10, Weight: 2}),
		hfconfig.NewResource(hfconfig.KindAccount, "bought", &hfconfig.Account{Guarantees: guarantee(16), Quota: 24, Weight: 5}),
		hfconfig.NewResource(hfconfig.KindAccount, "other", &hfconfig.Account{Limit: 3}),
		hfconfig.NewResource(hfconfig.KindWork, "reprice", &hfconfig.Work{Type: "request", Class: "normal", Accounts: []string{"bought"}}),
		hfconfig.NewResource(hfconfig.KindWork, "audit", &hfconfig.Work{Type: "job", Class: "batch", Accounts: []string{"buyer", "bought"}}),
		hfconfig.NewResource(hfconfig.KindCaller, "b1", &hfconfig.Caller{Account: "bought", Role: "caller", Hash: Hash("s1")}),
		hfconfig.NewResource(hfconfig.KindCaller, "b2", &hfconfig.Caller{Account: "bought", Role: "auditor", Hash: Hash("s2")}),
		hfconfig.NewResource(hfconfig.KindObjective, "o1", &hfconfig.Objective{Account: "bought", Work: "reprice", Target: 0.99, Late: 100}),
		hfconfig.NewResource(hfconfig.KindMerge, "night", &hfconfig.Merge{From: "bought", Into: "buyer", Phase: phase}),
	}
	for i, r := range resources {
		s.Update(hfconfig.Learned(r.WithRevision(int64(i+1))), time.Unix(0, 0))
	}
	return s
}

// describe returns the effective accounts as text lines, so that those of two
// configurations can be compared.
func describe(v *hfconfig.View) []string {
	d := NewDirectory(v)
	var lines []string
	for _, e := range d.All() {
		var guarantees []string
		for _, g := range e.Guarantees() {
			guarantees = append(guarantees, fmt.Sprint(g))
		}
		sort.Strings(guarantees)
		names := append([]string{}, e.Names()...)
		sort.Strings(names)
		lines = append(lines, fmt.Sprint(e.Name(), guarantees, e.Quota(), e.Limit(), e.Weight(), names))
	}
	for _, name := range []string{"buyer", "bought", "other"} {
		target, ok := d.Resolve(name)
		_, reprice := d.Work(name, "reprice")
		_, audit := d.Work(name, "audit")
		lines = append(lines, fmt.Sprint(name, target, ok, reprice, audit))
	}
	for _, credential := range []string{"b1:s1", "b2:s2", "b1:s2", "nobody:s1"} {
		identity, err := d.Authenticate(credential, "")
		lines = append(lines, fmt.Sprint(credential, identity, err != nil))
	}
	for _, o := range v.Objectives() {
		target, _ := d.Resolve(o.Account)
		lines = append(lines, "objective of "+target)
	}
	return lines
}

// runMerge runs a merge in the commit phase to its end. It returns the number of
// steps, and in changed the number of those after which the effective accounts
// differ from the initial ones. Each step depends only on the stored configuration,
// as if a different instance took each.
func runMerge(t *testing.T, next nextStepFunc) (changed int, steps int) {
	t.Helper()
	s := mergeState(hfconfig.PhaseCommit)
	want := describe(s.View())
	for revision := int64(100); ; revision++ {
		step, ok := next(s.View(), "night")
		if !ok {
			return changed, steps
		}
		s.Update(hfconfig.Learned(step.WithRevision(revision)), time.Unix(0, 0))
		steps++
		require.Less(t, steps, 50, "the merge does not terminate")
		if fmt.Sprint(describe(s.View())) != fmt.Sprint(want) {
			changed++
		}
	}
}

func TestMergeStepsKeepEffectiveAccounts(t *testing.T) {
	changed, steps := runMerge(t, NextStep)
	require.Zero(t, changed, "steps that changed the effective accounts")
	require.Equal(t, 8, steps)
	overlap := mergeState(hfconfig.PhaseOverlap)
	require.Equal(t, describe(mergeState(hfconfig.PhaseCommit).View()), describe(overlap.View()), "starting the commit changes no account")
}

// TestAliasBeforeAbsorbIsCaught checks that runMerge detects a wrong order of steps:
// the absorbed account becomes an alias, and loses its guarantees, before the
// receiving account has them.
func TestAliasBeforeAbsorbIsCaught(t *testing.T) {
	aliasFirst := func(v *hfconfig.View, name string) (hfconfig.Resource, bool) {
		m, ok := v.Merges()[name]
		if ok && m.Phase == hfconfig.PhaseCommit {
			if r, ok := makeAlias(v, m); ok {
				return r, true
			}
		}
		return NextStep(v, name)
	}
	changed, _ := runMerge(t, aliasFirst)
	require.Positive(t, changed)
}

func TestMergeUndone(t *testing.T) {
	s := mergeState(hfconfig.PhaseOverlap)
	before := mergeState(hfconfig.PhaseOverlap)
	tombstone := hfconfig.NewResource(hfconfig.KindMerge, "night", nil).Tombstone()
	require.NoError(t, s.View().Admit(tombstone))
	s.Update(hfconfig.Learned(tombstone.WithRevision(200)), time.Unix(0, 0))
	name, _ := NewDirectory(s.View()).Resolve("bought")
	require.Equal(t, "bought", name)
	name, _ = NewDirectory(before.View()).Resolve("bought")
	require.Equal(t, "buyer", name)
	committing := mergeState(hfconfig.PhaseCommit)
	require.ErrorIs(t, committing.View().Admit(tombstone), hfconfig.ErrInvalid, "a merge in the commit phase cannot be undone")
}

func TestMergedTerms(t *testing.T) {
	entitlements, ok := NewDirectory(mergeState(hfconfig.PhaseOverlap).View()).Entitlements("bought")
	require.True(t, ok)
	require.Equal(t, "buyer", entitlements.Name())
	require.Len(t, entitlements.Guarantees(), 2)
	require.Equal(t, 64, entitlements.Quota())
	require.Zero(t, entitlements.Limit(), "one account has no limit, so the merged account has none")
	require.Equal(t, 5, entitlements.Weight())
	plan := DryRun(mergeState(hfconfig.PhaseOverlap).View(), "bought", "buyer")
	require.Contains(t, plan.Moves, "caller b1")
	require.Len(t, plan.Conflicts, 2)
}

func TestCredentials(t *testing.T) {
	directory := NewDirectory(mergeState(hfconfig.PhaseOverlap).View())
	for name, row := range map[string]struct {
		credential, root string
		ok               bool
	}{
		"valid":               {"b1:s1", "", true},
		"wrong secret":        {"b1:s2", "", false},
		"no secret":           {"b1", "", false},
		"empty":               {"", "", false},
		"unknown caller":      {"x:s1", "", false},
		"root":                {"root:r", Hash("r"), true},
		"root disabled":       {"root:r", "", false},
		"root without secret": {"root:", "", false},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := directory.Authenticate(row.credential, row.root)
			require.Equal(t, row.ok, err == nil)
		})
	}
}
