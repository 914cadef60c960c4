// Package hfaccount derives the effective client accounts from the configuration:
// their guarantees, limits and permitted kinds of work, and the credentials of
// their callers. It also computes the steps of a merge of two accounts.
package hfaccount

import (
	"slices"
	"sort"

	"github.com/heatherfront/heatherfront/hfconfig"
)

// Entitlements are what one account may use: its guarantees, quota, request limit
// and weight. They include those of every account merged into it; the weight is the
// greatest of the weights.
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
func (e *Entitlements) Name() string { return e.name }

// Guarantees returns the guaranteed blocks of accelerators.
func (e *Entitlements) Guarantees() []hfconfig.Guarantee { return e.guarantees }

// Quota returns the maximum accelerators in use at once, or 0 for no quota.
func (e *Entitlements) Quota() int { return e.quota }

// Limit returns the maximum requests in flight at once, or 0 for no limit.
func (e *Entitlements) Limit() int { return e.limit }

// Weight returns the account's relative share among the accounts of a class.
func (e *Entitlements) Weight() int { return e.weight }

// Names returns every name that resolves to the account, its own name first.
func (e *Entitlements) Names() []string { return e.names }

// Directory holds the effective accounts of one configuration: account names are
// resolved through merges, and the entitlements of merged accounts are added up.
// It is immutable. A merge takes effect at the revision that creates it; its later
// steps change only how the accounts are stored, not the effective accounts.
type Directory struct {
	view         *hfconfig.View
	resolved     map[string]string // account name to the account it was merged into, transitively, or itself
	entitlements map[string]*Entitlements
}

// NewDirectory returns the effective accounts of a configuration.
func NewDirectory(v *hfconfig.View) *Directory {
	d := &Directory{view: v, resolved: map[string]string{}, entitlements: map[string]*Entitlements{}}
	direct := directAliases(v)
	for name := range v.Accounts() {
		d.resolved[name] = resolveAlias(direct, name)
	}
	for _, name := range sortedNames(v.Accounts()) {
		d.addAccount(name)
	}
	return d
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
func (d *Directory) addAccount(name string) {
	a := d.view.Accounts()[name]
	target := d.resolved[name]
	e, ok := d.entitlements[target]
	if !ok {
		e = &Entitlements{name: target, weight: 1, names: []string{target}}
		d.entitlements[target] = e
	}
	if name != target {
		e.names = append(e.names, name)
	}
	if a.Alias != "" || d.isAbsorbed(name, target) {
		return
	}
	e.guarantees = append(e.guarantees, a.Guarantees...)
	e.quota = addLimit(e.quota, a.Quota, e.summedAccounts == 0)
	e.limit = addLimit(e.limit, a.Limit, e.summedAccounts == 0)
	e.weight = max(e.weight, a.Weight)
	e.summedAccounts++
}

// isAbsorbed reports whether the target's spec already includes an account's
// entitlements.
func (d *Directory) isAbsorbed(name, target string) bool {
	a := d.view.Accounts()[target]
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
func (d *Directory) Resolve(name string) (string, bool) {
	target, ok := d.resolved[name]
	return target, ok
}

// Entitlements returns the entitlements of the account that a name resolves to.
func (d *Directory) Entitlements(name string) (*Entitlements, bool) {
	e, ok := d.entitlements[d.resolved[name]]
	return e, ok
}

// All returns the entitlements of every account, sorted by name. Accounts that were
// merged into another are left out.
func (d *Directory) All() []*Entitlements {
	all := make([]*Entitlements, 0, len(d.entitlements))
	for _, e := range d.entitlements {
		all = append(all, e)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].name < all[j].name })
	return all
}

// Work returns a kind of work by name if the account may submit it.
func (d *Directory) Work(account, name string) (*hfconfig.Work, bool) {
	w, ok := d.view.Works()[name]
	if !ok {
		return nil, false
	}
	target, known := d.resolved[account]
	if !known {
		return nil, false
	}
	for _, allowed := range w.Accounts {
		if d.resolved[allowed] == target {
			return w, true
		}
	}
	return nil, false
}

// View returns the configuration that the accounts were derived from.
func (d *Directory) View() *hfconfig.View { return d.view }
