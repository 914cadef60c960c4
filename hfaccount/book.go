// Package hfaccount derives the effective client accounts from the configuration:
// their guarantees, limits and permitted kinds of work, and the credentials of
// their callers. It also computes the steps of a merge of two accounts.
package hfaccount

import (
	"slices"
	"sort"

	"github.com/heatherfront/heatherfront/hfconfig"
)

// Entitlements are what one account may use: its guarantees, quota, request limit and
// weight. They include those of every account merged into it; the
// weight is the greatest of the weights.
type Entitlements struct {
	name           string
	guarantees     []hfconfig.Guarantee
	quota          int      // maximum accelerators in use; 0: no quota
	limit          int      // maximum requests in flight; 0: no limit
	weight         int      // at least 1
	names          []string // the account's own name and the merged ones
	summedAccounts int      // number of accounts whose entitlements were added
}

// Name returns the account's name.
func (t *Entitlements) Name() string { return t.name }

// Guarantees returns the guaranteed blocks of accelerators.
func (t *Entitlements) Guarantees() []hfconfig.Guarantee { return t.guarantees }

// Quota returns the maximum accelerators in use at once, or 0 for no quota.
func (t *Entitlements) Quota() int { return t.quota }

// Limit returns the maximum requests in flight at once, or 0 for no limit.
func (t *Entitlements) Limit() int { return t.limit }

// Weight returns the account's relative share among the accounts of a class.
func (t *Entitlements) Weight() int { return t.weight }

// Names returns every name that resolves to the account, its own name first.
func (t *Entitlements) Names() []string { return t.names }

// Directory holds the effective accounts of one configuration: account names are
// resolved through merges, and the entitlements of merged accounts are added up.
// It is immutable. A merge takes effect at the revision that creates it; its later
// steps change only how the accounts are stored, not the effective accounts.
type Directory struct {
	view         *hfconfig.View
	resolved     map[string]string // account name to the account it was merged into, transitively, or itself
	entitlements map[string]*Entitlements
}

// NewDirectory returns the accounts of a configuration.
func NewDirectory(v *hfconfig.View) *Directory {
	b := &Directory{view: v, resolved: map[string]string{}, entitlements: map[string]*Entitlements{}}
	direct := directAliases(v)
	for name := range v.Accounts() {
		b.resolved[name] = resolveAlias(direct, name)
	}
	for _, name := range sortedNames(v.Accounts()) {
		b.addAccount(name)
	}
	return b
}

// directAliases returns the target account of each merged account, without
// following chains of merges.
func directAliases(v *hfconfig.View) map[string]string {
	direct := map[string]string{}
	for _, m := range v.Merges() {
		if m.Phase != hfconfig.PhaseDone {
			direct[m.From] = m.Into
		}
	}
	for name, a := range v.Accounts() {
		if a.Alias != "" {
			direct[name] = a.Alias
		}
	}
	return direct
}

// resolveAlias follows a chain of merges to its end. If the chain has a cycle, it
// returns name itself; View.Admit rejects merges that would form a cycle.
func resolveAlias(direct map[string]string, name string) string {
	current := name
	for range len(direct) + 1 {
		next, ok := direct[current]
		if !ok {
			return current
		}
		current = next
	}
	return name
}

func sortedNames(accounts map[string]*hfconfig.Account) []string {
	names := make([]string, 0, len(accounts))
	for n := range accounts {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

// addAccount adds the entitlements of one account to those of the account that it
// resolves to.
func (b *Directory) addAccount(name string) {
	a := b.view.Accounts()[name]
	target := b.resolved[name]
	t, ok := b.entitlements[target]
	if !ok {
		t = &Entitlements{name: target, weight: 1, names: []string{target}}
		b.entitlements[target] = t
	}
	if name != target {
		t.names = append(t.names, name)
	}
	if a.Alias != "" || b.isAbsorbed(name, target) {
		return
	}
	t.guarantees = append(t.guarantees, a.Guarantees...)
	t.quota = addLimit(t.quota, a.Quota, t.summedAccounts == 0)
	t.limit = addLimit(t.limit, a.Limit, t.summedAccounts == 0)
	t.weight = max(t.weight, a.Weight)
	t.summedAccounts++
}

// isAbsorbed reports whether the target's spec already includes an account's
// entitlements.
func (b *Directory) isAbsorbed(name, target string) bool {
	a := b.view.Accounts()[target]
	return a != nil && slices.Contains(a.Absorbed, name)
}

// addLimit adds a limit to a sum of limits. A limit of 0 means unlimited and makes
// the sum unlimited. first marks the first addition, when sum is 0 because it is
// empty.
func addLimit(sum, next int, first bool) int {
	if next == 0 || (sum == 0 && !first) {
		return 0
	}
	return sum + next
}

// Resolve returns the name of the account that a name resolves to. It reports
// false if there is no account with that name.
func (b *Directory) Resolve(name string) (string, bool) {
	target, ok := b.resolved[name]
	return target, ok
}

// Entitlements returns the entitlements of the account that a name resolves to.
func (b *Directory) Entitlements(name string) (*Entitlements, bool) {
	t, ok := b.entitlements[b.resolved[name]]
	return t, ok
}

// All returns the entitlements of every account, sorted by name. Accounts that were
// merged into another are left out.
func (b *Directory) All() []*Entitlements {
	all := make([]*Entitlements, 0, len(b.entitlements))
	for _, t := range b.entitlements {
		all = append(all, t)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].name < all[j].name })
	return all
}

// Work returns a kind of work by name if the account may submit it.
func (b *Directory) Work(account, name string) (*hfconfig.Work, bool) {
	w, ok := b.view.Works()[name]
	if !ok {
		return nil, false
	}
	target, known := b.resolved[account]
	if !known {
		return nil, false
	}
	for _, allowed := range w.Accounts {
		if b.resolved[allowed] == target {
			return w, true
		}
	}
	return nil, false
}

// View returns the configuration that the accounts were derived from.
func (b *Directory) View() *hfconfig.View { return b.view }
