package hfconfig

import (
	"encoding/hex"
	"fmt"
	"regexp"
	"slices"
)

// Bounds of declared values.
const (
	MaxName       = 63
	MaxGang       = 64 // accelerators in one shape or job
	MaxCount      = 1024
	MaxWeight     = 100
	MaxTimeout    = 600_000 // milliseconds
	hashHexLength = 64
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)

// Check returns ErrInvalid with the first field that breaks a rule. It looks at
// the resource alone; View.Check looks at what it refers to.
func (r Resource) Check() error {
	if len(r.name) > MaxName || !namePattern.MatchString(r.name) {
		return fmt.Errorf("%w: name %q is not 1 to %d of a-z, 0-9 and inner -", ErrInvalid, r.name, MaxName)
	}
	switch s := r.spec.(type) {
	case *Account:
		return s.check()
	case *Work:
		return s.check()
	case *Caller:
		return s.check()
	case *Merge:
		return s.check()
	case *Objective:
		return s.check()
	default:
		return fmt.Errorf("%w: spec is missing", ErrInvalid)
	}
}

func inRange(field string, value, low, high int64) error {
	if value < low || value > high {
		return fmt.Errorf("%w: spec.%s: %d is not between %d and %d", ErrInvalid, field, value, low, high)
	}
	return nil
}

func oneOf(field, value string, allowed ...string) error {
	if !slices.Contains(allowed, value) {
		return fmt.Errorf("%w: spec.%s: %q is not one of %v", ErrInvalid, field, value, allowed)
	}
	return nil
}

func first(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return fmt.Errorf("check: %w", err)
		}
	}
	return nil
}

func (a *Account) check() error {
	for i, s := range a.Guarantees {
		field := fmt.Sprintf("guarantees[%d].", i)
		if s.Domain == "" {
			return fmt.Errorf("%w: spec.%sdomain is missing", ErrInvalid, field)
		}
		err := first(
			inRange(field+"size", int64(s.Size), 1, MaxGang),
			inRange(field+"count", int64(s.Count), 1, MaxCount),
		)
		if err != nil {
			return fmt.Errorf("account: %w", err)
		}
	}
	return first(
		inRange("quota", int64(a.Quota), 0, 1<<20),
		inRange("limit", int64(a.Limit), 0, 1<<20),
		inRange("weight", int64(a.Weight), 0, MaxWeight),
	)
}

func (w *Work) check() error {
	if len(w.Accounts) == 0 {
		return fmt.Errorf("%w: spec.accounts is empty", ErrInvalid)
	}
	if w.Preemptible && !w.Idempotent {
		return fmt.Errorf("%w: spec.preemptible: a non-idempotent job cannot be preempted, as it must not run again", ErrInvalid)
	}
	return first(
		oneOf("type", w.Type, TypeRequest, TypeJob),
		oneOf("class", string(w.Class), string(ClassUrgent), string(ClassNormal), string(ClassBatch)),
		inRange("timeout", w.Timeout, 0, MaxTimeout),
	)
}

func (c *Caller) check() error {
	if err := oneOf("role", c.Role, RoleCaller, RoleAuditor, RoleOperator); err != nil {
		return fmt.Errorf("caller: %w", err)
	}
	if b, err := hex.DecodeString(c.Hash); err != nil || len(b) != hashHexLength/2 {
		return fmt.Errorf("%w: spec.hash is not the output of heatherfront hash", ErrInvalid)
	}
	if (c.Account == "") != (c.Role == RoleOperator) {
		return fmt.Errorf("%w: spec.account is needed for callers and auditors, and not allowed for operators", ErrInvalid)
	}
	return nil
}

func (m *Merge) check() error {
	if m.From == m.Into {
		return fmt.Errorf("%w: spec.from and spec.into are the same", ErrInvalid)
	}
	return oneOf("phase", m.Phase, PhaseOverlap, PhaseCommit, PhaseDone)
}

func (o *Objective) check() error {
	if o.Target <= 0 || o.Target >= 1 {
		return fmt.Errorf("%w: spec.target: %v is not above 0 and below 1", ErrInvalid, o.Target)
	}
	return inRange("late", o.Late, 1, 86_400_000)
}

// Admit returns ErrInvalid when a change refers to what does not exist or takes
// away what others refer to.
func (v *View) Admit(r Resource) error {
	if r.deleted {
		return v.admitDelete(r)
	}
	switch s := r.spec.(type) {
	case *Account:
		return v.admitAccount(r, s)
	case *Work:
		return v.needAccounts("accounts", s.Accounts...)
	case *Caller:
		if s.Role == RoleOperator {
			return nil
		}
		return v.needAccounts("account", s.Account)
	case *Merge:
		return v.admitMerge(r, s)
	case *Objective:
		if _, ok := v.works[s.Work]; !ok {
			return fmt.Errorf("%w: spec.work: no kind of work %q", ErrInvalid, s.Work)
		}
		return v.needAccounts("account", s.Account)
	}
	return nil
}

func (v *View) needAccounts(field string, names ...string) error {
	for _, n := range names {
		if _, ok := v.accounts[n]; !ok {
			return fmt.Errorf("%w: spec.%s: no account %q", ErrInvalid, field, n)
		}
	}
	return nil
}

// admitAccount keeps operators from writing the fields that a merge owns.
func (v *View) admitAccount(r Resource, s *Account) error {
	old := v.accounts[r.name]
	if old == nil {
		old = &Account{}
	}
	if s.Alias != old.Alias || !slices.Equal(s.Absorbed, old.Absorbed) {
		return fmt.Errorf("%w: spec.alias and spec.absorbed are written by merges only", ErrInvalid)
	}
	if old.Alias != "" {
		return fmt.Errorf("%w: account %s was merged into %s; change that one", ErrInvalid, r.name, old.Alias)
	}
	return nil
}

func (v *View) admitDelete(r Resource) error {
	if m := v.merges[r.name]; r.kind == KindMerge && m != nil && m.Phase == PhaseCommit {
		return fmt.Errorf("%w: merge %s is being committed and cannot be undone", ErrInvalid, r.name)
	}
	if r.kind != KindAccount {
		return nil
	}
	for name, c := range v.callers {
		if c.Account == r.name {
			return fmt.Errorf("%w: caller %s belongs to account %s", ErrInvalid, name, r.name)
		}
	}
	for name, m := range v.merges {
		if m.Phase != PhaseDone && (m.From == r.name || m.Into == r.name) {
			return fmt.Errorf("%w: merge %s uses account %s", ErrInvalid, name, r.name)
		}
	}
	return nil
}

func (v *View) admitMerge(r Resource, s *Merge) error {
	if err := v.needAccounts("from and into", s.From, s.Into); err != nil {
		return fmt.Errorf("merge: %w", err)
	}
	old := v.merges[r.name]
	switch {
	case old == nil && s.Phase != PhaseOverlap:
		return fmt.Errorf("%w: spec.phase: a merge starts with phase overlap", ErrInvalid)
	case old != nil && (old.From != s.From || old.Into != s.Into):
		return fmt.Errorf("%w: spec.from and spec.into cannot change", ErrInvalid)
	case old != nil && old.Phase == PhaseOverlap && s.Phase == PhaseDone:
		return fmt.Errorf("%w: spec.phase: declare commit; the system sets done", ErrInvalid)
	case old != nil && old.Phase != PhaseOverlap && s.Phase != old.Phase:
		return fmt.Errorf("%w: spec.phase: a merge in phase %s cannot go to %s", ErrInvalid, old.Phase, s.Phase)
	}
	for name, m := range v.merges {
		if name != r.name && m.Phase != PhaseDone && (m.From == s.From || m.Into == s.From || m.From == s.Into) {
			return fmt.Errorf("%w: merge %s of %s into %s is not done", ErrInvalid, name, m.From, m.Into)
		}
	}
	if a := v.accounts[s.From]; a.Alias != "" {
		return fmt.Errorf("%w: spec.from: account %s was already merged into %s", ErrInvalid, s.From, a.Alias)
	}
	if a := v.accounts[s.Into]; a.Alias != "" {
		return fmt.Errorf("%w: spec.into: account %s was merged into %s", ErrInvalid, s.Into, a.Alias)
	}
	return nil
}
