package hfentry

import (
	"maps"

	"github.com/heatherfront/heatherfront/hfstore"
)

// applyEvacuation applies the entry of an evacuated failure domain, which says all by its existence. The
// workers of the domain get no tasks until it is removed.
func (m *Mirror) applyEvacuation(domain string, i hfstore.Item) change {
	m.evacuated = maps.Clone(m.evacuated) // the scheduler reads the earlier ones
	if i.Deleted() {
		delete(m.evacuated, domain)
	} else {
		m.evacuated[domain] = true
	}
	return change{workers: true}
}
