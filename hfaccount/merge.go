package hfaccount

import (
	"fmt"
	"slices"
	"sort"

	"github.com/heatherfront/heatherfront/hfconfig"
)

// NextStep returns the next write of a merge in the commit phase, or false if there
// is none. It depends on the configuration alone, so any instance can continue
// what another one started, and a completed step is not returned again. The order
// of the steps keeps the effective accounts unchanged throughout:
//
//  1. the receiving account gets the summed entitlements and lists the account
//     that it absorbed,
//  2. callers, kinds of work and objectives refer to the receiving account,
//  3. the absorbed account becomes an alias,
//  4. the merge is marked as done.
func NextStep(v *hfconfig.View, merge string) (hfconfig.Resource, bool) {
	m, ok := v.Merges()[merge]
	if !ok || m.Phase != hfconfig.PhaseCommit {
		return hfconfig.Resource{}, false
	}
	steps := []func(*hfconfig.View, *hfconfig.Merge) (hfconfig.Resource, bool){
		absorbEntitlements, moveCaller, moveWork, moveObjective, makeAlias,
	}
	for _, step := range steps {
		if r, ok := step(v, m); ok {
			return r, true
		}
	}
	done := *m
	done.Phase = hfconfig.PhaseDone
	return hfconfig.NewResource(hfconfig.KindMerge, merge, &done), true
}

func absorbEntitlements(v *hfconfig.View, m *hfconfig.Merge) (hfconfig.Resource, bool) {
	into, from := *v.Accounts()[m.Into], v.Accounts()[m.From]
	if slices.Contains(into.Absorbed, m.From) {
		return hfconfig.Resource{}, false
	}
	into.Guarantees = append(slices.Clone(into.Guarantees), from.Guarantees...)
	into.Quota = addLimit(into.Quota, from.Quota, false)
	into.Limit = addLimit(into.Limit, from.Limit, false)
	into.Weight = max(into.Weight, from.Weight)
	into.Absorbed = append(append(slices.Clone(into.Absorbed), m.From), from.Absorbed...)
	return hfconfig.NewResource(hfconfig.KindAccount, m.Into, &into), true
}

func moveCaller(v *hfconfig.View, m *hfconfig.Merge) (hfconfig.Resource, bool) {
	for _, r := range v.List(hfconfig.KindCaller) {
		c := *r.Spec().(*hfconfig.Caller)
		if c.Account == m.From {
			c.Account = m.Into
			return hfconfig.NewResource(hfconfig.KindCaller, r.Name(), &c), true
		}
	}
	return hfconfig.Resource{}, false
}

func moveWork(v *hfconfig.View, m *hfconfig.Merge) (hfconfig.Resource, bool) {
	for _, r := range v.List(hfconfig.KindWork) {
		w := *r.Spec().(*hfconfig.Work)
		if !slices.Contains(w.Accounts, m.From) {
			continue
		}
		w.Accounts = slices.DeleteFunc(slices.Clone(w.Accounts), func(name string) bool { return name == m.From })
		if !slices.Contains(w.Accounts, m.Into) {
			w.Accounts = append(w.Accounts, m.Into)
		}
		return hfconfig.NewResource(hfconfig.KindWork, r.Name(), &w), true
	}
	return hfconfig.Resource{}, false
}

func moveObjective(v *hfconfig.View, m *hfconfig.Merge) (hfconfig.Resource, bool) {
	for _, r := range v.List(hfconfig.KindObjective) {
		o := *r.Spec().(*hfconfig.Objective)
		if o.Account == m.From {
			o.Account = m.Into
			return hfconfig.NewResource(hfconfig.KindObjective, r.Name(), &o), true
		}
	}
	return hfconfig.Resource{}, false
}

func makeAlias(v *hfconfig.View, m *hfconfig.Merge) (hfconfig.Resource, bool) {
	if v.Accounts()[m.From].Alias != "" {
		return hfconfig.Resource{}, false
	}
	return hfconfig.NewResource(hfconfig.KindAccount, m.From, &hfconfig.Account{Alias: m.Into}), true
}

// MergePlan describes what a merge would move and the conflicts that an operator
// should know about before starting it.
type MergePlan struct {
	Moves     []string `json:"moves"`
	Conflicts []string `json:"conflicts,omitempty"`
}

// DryRun returns the plan of a merge of one account into another without changing
// anything. Both accounts must exist.
func DryRun(v *hfconfig.View, fromName, intoName string) MergePlan {
	m := &hfconfig.Merge{From: fromName, Into: intoName}
	from, into := v.Accounts()[m.From], v.Accounts()[m.Into]
	p := MergePlan{Moves: []string{}}
	for _, g := range from.Guarantees {
		p.Moves = append(p.Moves, fmt.Sprintf("guarantee of %d blocks of %d accelerators in domain %s", g.Count, g.Size, g.Domain))
	}
	for name, c := range v.Callers() {
		if c.Account == m.From {
			p.Moves = append(p.Moves, "caller "+name)
		}
	}
	for name, w := range v.Works() {
		if slices.Contains(w.Accounts, m.From) {
			p.Moves = append(p.Moves, "kind of work "+name)
		}
	}
	p.Moves = append(p.Moves, "queued and running jobs, and their history, by name")
	p.addLimitConflicts(from, into)
	p.addObjectiveConflicts(v, m)
	sort.Strings(p.Moves)
	return p
}

func (p *MergePlan) addLimitConflicts(from, into *hfconfig.Account) {
	if (from.Quota == 0) != (into.Quota == 0) {
		p.Conflicts = append(p.Conflicts, "one account has a quota and the other none: the merged account has none")
	}
	if (from.Limit == 0) != (into.Limit == 0) {
		p.Conflicts = append(p.Conflicts, "one account has a request limit and the other none: the merged account has none")
	}
	if from.Weight != into.Weight {
		p.Conflicts = append(p.Conflicts, fmt.Sprintf("weights differ (%d and %d): the merged account has the greater", from.Weight, into.Weight))
	}
}

func (p *MergePlan) addObjectiveConflicts(v *hfconfig.View, m *hfconfig.Merge) {
	intoObjectives := map[string]string{} // by kind of work
	for name, o := range v.Objectives() {
		if o.Account == m.Into {
			intoObjectives[o.Work] = name
		}
	}
	for name, o := range v.Objectives() {
		if other, ok := intoObjectives[o.Work]; ok && o.Account == m.From {
			p.Conflicts = append(p.Conflicts, fmt.Sprintf("objectives %s and %s both cover %s: both stay", name, other, o.Work))
		}
	}
	sort.Strings(p.Conflicts)
}
