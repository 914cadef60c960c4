package hfconfig

import "sort"

// View is a snapshot of the configuration. It is immutable and safe for concurrent
// use.
type View struct {
	accounts   map[string]*Account
	works      map[string]*Work
	callers    map[string]*Caller
	merges     map[string]*Merge
	objectives map[string]*Objective
	revisions  map[string]int64
	resources  map[string]Resource
}

func buildView(entries map[string]Resource) *View {
	v := &View{
		accounts: map[string]*Account{}, works: map[string]*Work{}, callers: map[string]*Caller{},
		merges: map[string]*Merge{}, objectives: map[string]*Objective{},
		revisions: make(map[string]int64, len(entries)),
		resources: make(map[string]Resource, len(entries)),
	}
	for key, r := range entries {
		v.revisions[key] = r.revision
		v.resources[key] = r
		switch s := r.spec.(type) {
		case *Account:
			v.accounts[r.name] = s
		case *Work:
			v.works[r.name] = s
		case *Caller:
			v.callers[r.name] = s
		case *Merge:
			v.merges[r.name] = s
		case *Objective:
			v.objectives[r.name] = s
		}
	}
	return v
}

// Accounts returns the accounts by name. Callers must not modify the map; this
// also holds for the other accessors.
func (v *View) Accounts() map[string]*Account { return v.accounts }

// Works returns the kinds of work by name.
func (v *View) Works() map[string]*Work { return v.works }

// Callers returns the callers by name.
func (v *View) Callers() map[string]*Caller { return v.callers }

// Merges returns the merges by name.
func (v *View) Merges() map[string]*Merge { return v.merges }

// Objectives returns the service-level objectives by name.
func (v *View) Objectives() map[string]*Objective { return v.objectives }

// Find returns the resource with the given kind and name. It may be a tombstone.
func (v *View) Find(kind Kind, name string) (Resource, bool) {
	r, ok := v.resources[Key(kind, name)]
	return r, ok
}

// List returns the resources of a kind without tombstones, sorted by name.
func (v *View) List(kind Kind) []Resource {
	var list []Resource
	for _, r := range v.resources {
		if r.kind == kind && !r.deleted {
			list = append(list, r)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].name < list[j].name })
	return list
}

// All returns every resource, including tombstones, in unspecified order.
func (v *View) All() []Resource {
	all := make([]Resource, 0, len(v.resources))
	for _, r := range v.resources {
		all = append(all, r)
	}
	return all
}

// With returns the view that results from applying one change.
func (v *View) With(r Resource) *View {
	entries := make(map[string]Resource, len(v.resources)+1)
	for k, existing := range v.resources {
		entries[k] = existing
	}
	entries[r.Key()] = r
	return buildView(entries)
}
