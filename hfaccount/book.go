// Package hfaccount resolves client accounts, their terms and their callers'
// credentials from the configuration, and carries out the merge of two accounts.
package hfaccount

import (
	"slices"
	"sort"

	"github.com/heatherfront/heatherfront/hfconfig"
)

// Terms are what one account is due, with those of every account merged into it.
type Terms struct {
	name       string
	guarantees []hfconfig.Shape
	quota      int // accelerators; 0: no quota
	limit      int // requests in flight; 0: no limit
	weight     int // at least 1
	members    []string
	parts      int // accounts whose terms are summed here
}

// Name returns the account's name.
func (t *Terms) Name() string { return t.name }

// Guarantees returns the guaranteed shapes.
func (t *Terms) Guarantees() []hfconfig.Shape { return t.guarantees }

// Quota returns the most accelerators in use at once, or 0 for no quota.
func (t *Terms) Quota() int { return t.quota }

// Limit returns the most requests in flight at once, or 0 for no limit.
func (t *Terms) Limit() int { return t.limit }

// Weight returns the account's share among the accounts of a class.
func (t *Terms) Weight() int { return t.weight }

// Members returns every name that stands for the account, its own first.
func (t *Terms) Members() []string { return t.members }

// Book is the accounts as they are in force: each name resolved through merges,
// each account's terms summed. It is immutable. The step that a merge has
// reached does not change a book, so that a merge takes effect at one revision
// and its later steps only rewrite how the same book is stored.
type Book struct {
	view  *hfconfig.View
	alias map[string]string // account name to the account it stands for, transitively
	terms map[string]*Terms
}

// NewBook resolves a view.
func NewBook(v *hfconfig.View) *Book {
	b := &Book{view: v, alias: map[string]string{}, terms: map[string]*Terms{}}
	direct := directAliases(v)
	for name := range v.Accounts() {
		b.alias[name] = follow(direct, name)
	}
	for _, name := range sortedNames(v.Accounts()) {
		b.add(name)
	}
	return b
}

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

// follow resolves a chain of merges. A circle, which the admission of merges
// rules out, ends at the name it started from.
func follow(direct map[string]string, name string) string {
	at := name
	for range len(direct) + 1 {
		next, ok := direct[at]
		if !ok {
			return at
		}
		at = next
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

// add sums one account's terms into those of the account it stands for.
func (b *Book) add(name string) {
	a := b.view.Accounts()[name]
	target := b.alias[name]
	t, ok := b.terms[target]
	if !ok {
		t = &Terms{name: target, weight: 1, members: []string{target}}
		b.terms[target] = t
	}
	if name != target {
		t.members = append(t.members, name)
	}
	if a.Alias != "" || b.absorbed(name, target) {
		return
	}
	t.guarantees = append(t.guarantees, a.Guarantees...)
	t.quota = sumLimits(t.quota, a.Quota, t.parts == 0)
	t.limit = sumLimits(t.limit, a.Limit, t.parts == 0)
	t.weight = max(t.weight, a.Weight)
	t.parts++
}

// absorbed tells whether the target's own record already holds an account's terms.
func (b *Book) absorbed(name, target string) bool {
	a := b.view.Accounts()[target]
	return a != nil && slices.Contains(a.Absorbed, name)
}

// sumLimits adds a limit to a sum; 0 means no limit, and then the sum has none.
func sumLimits(sum, next int, first bool) int {
	if next == 0 || (sum == 0 && !first) {
		return 0
	}
	return sum + next
}

// Resolve returns the account that a name stands for.
func (b *Book) Resolve(name string) (string, bool) {
	target, ok := b.alias[name]
	return target, ok
}

// Terms returns the terms of the account that a name stands for.
func (b *Book) Terms(name string) (*Terms, bool) {
	t, ok := b.terms[b.alias[name]]
	return t, ok
}

// All returns the terms of every account by name, accounts merged away left out.
func (b *Book) All() []*Terms {
	all := make([]*Terms, 0, len(b.terms))
	for _, t := range b.terms {
		all = append(all, t)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].name < all[j].name })
	return all
}

// Work returns a kind of work if the account may submit it.
func (b *Book) Work(account, name string) (*hfconfig.Work, bool) {
	w, ok := b.view.Works()[name]
	if !ok {
		return nil, false
	}
	target, known := b.alias[account]
	if !known {
		return nil, false
	}
	for _, allowed := range w.Accounts {
		if b.alias[allowed] == target {
			return w, true
		}
	}
	return nil, false
}

// View returns the configuration that the book was made from.
func (b *Book) View() *hfconfig.View { return b.view }
