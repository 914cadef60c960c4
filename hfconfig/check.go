package hfconfig

import (
	"encoding/hex"
	"fmt"
	"regexp"
	"slices"
)

// Upper bounds of the values in a spec.
const (
	MaxNameLength    = 63
	MaxGangSize      = 64   // accelerators in one guaranteed block or one job
	MaxBlockCount    = 1024 // blocks in one guarantee
	MaxWeight        = 100
	MaxTimeoutMillis = 600_000    // 10 minutes
	maxQuota         = 1 << 20    // accelerators
	maxRequestLimit  = 1 << 20    // requests in flight
	maxLateMillis    = 86_400_000 // one day
	hashHexLength    = 64         // SHA-256 in hexadecimal digits
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)

// Validate validates the resource by itself and returns an error that wraps
// ErrInvalid and names the first invalid field. References to other resources
// are validated by View.Admit.
func (r Resource) Validate() error {
	if len(r.name) > MaxNameLength || !namePattern.MatchString(r.name) {
		return fmt.Errorf("%w: name %q is not 1 to %d of a-z, 0-9 and inner -", ErrInvalid, r.name, MaxNameLength)
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

func checkRange(field string, value, low, high int64) error {
	if value < low || value > high {
		return fmt.Errorf("%w: spec.%s: %d is not between %d and %d", ErrInvalid, field, value, low, high)
	}
	return nil
}

func checkOneOf(field, value string, allowed ...string) error {
	if !slices.Contains(allowed, value) {
		return fmt.Errorf("%w: spec.%s: %q is not one of %v", ErrInvalid, field, value, allowed)
	}
	return nil
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return fmt.Errorf("check: %w", err)
		}
	}
	return nil
}

func (a *Account) check() error {
	for i, g := range a.Guarantees {
		field := fmt.Sprintf("guarantees[%d].", i)
		if g.Domain == "" {
			return fmt.Errorf("%w: spec.%sdomain is missing", ErrInvalid, field)
		}
		err := firstError(
			checkRange(field+"size", int64(g.Size), 1, MaxGangSize),
			checkRange(field+"count", int64(g.Count), 1, MaxBlockCount),
		)
		if err != nil {
			return fmt.Errorf("account: %w", err)
		}
	}
	return firstError(
		checkRange("quota", int64(a.Quota), 0, maxQuota),
		checkRange("limit", int64(a.Limit), 0, maxRequestLimit),
		checkRange("weight", int64(a.Weight), 0, MaxWeight),
	)
}

func (w *Work) check() error {
	if len(w.Accounts) == 0 {
		return fmt.Errorf("%w: spec.accounts is empty", ErrInvalid)
	}
	if w.Preemptible && !w.Idempotent {
		return fmt.Errorf("%w: spec.preemptible: a non-idempotent job cannot be preempted, as it must not run again", ErrInvalid)
	}
	return firstError(
		checkOneOf("type", w.Type, TypeRequest, TypeJob),
		checkOneOf("class", string(w.Class), string(ClassUrgent), string(ClassNormal), string(ClassBatch)),
		checkRange("timeout", w.Timeout, 0, MaxTimeoutMillis),
	)
}

func (c *Caller) check() error {
	if err := checkOneOf("role", c.Role, RoleCaller, RoleAuditor, RoleOperator); err != nil {
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
	return checkOneOf("phase", m.Phase, PhaseOverlap, PhaseCommit, PhaseDone)
}

func (o *Objective) check() error {
	if o.Target <= 0 || o.Target >= 1 {
		return fmt.Errorf("%w: spec.target: %v is not above 0 and below 1", ErrInvalid, o.Target)
	}
	return checkRange("late", o.Late, 1, maxLateMillis)
}

// Admit validates a change against the rest of the configuration. It returns an
// error that wraps ErrInvalid if the change refers to a missing account or kind of
// work, removes an account that a caller or an unfinished merge refers to, writes
// what only merges may write, or is not a valid step of a merge.
func (v *View) Admit(r Resource) error {
	if r.deleted {
		return v.admitDelete(r)
	}
	switch s := r.spec.(type) {
	case *Account:
		return v.admitAccount(r, s)
	case *Work:
		return v.requireAccounts("accounts", s.Accounts...)
	case *Caller:
		if s.Role == RoleOperator {
			return nil
		}
		return v.requireAccounts("account", s.Account)
	case *Merge:
		return v.admitMerge(r, s)
	case *Objective:
		if _, ok := v.works[s.Work]; !ok {
			return fmt.Errorf("%w: spec.work: no kind of work %q", ErrInvalid, s.Work)
		}
		return v.requireAccounts("account", s.Account)
	}
	return nil
}

func (v *View) requireAccounts(field string, names ...string) error {
	for _, n := range names {
		if _, ok := v.accounts[n]; !ok {
			return fmt.Errorf("%w: spec.%s: no account %q", ErrInvalid, field, n)
		}
	}
	return nil
}

// admitAccount rejects changes by operators to the fields that only merges write,
// and to accounts that were merged into another.
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
	if err := v.requireAccounts("from and into", s.From, s.Into); err != nil {
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
