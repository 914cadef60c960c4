package hfentry

import (
	"maps"
	"time"

	"github.com/rotisserie/eris"

	"github.com/heatherfront/heatherfront/hflease"
	"github.com/heatherfront/heatherfront/hfplan"
	"github.com/heatherfront/heatherfront/hfwork"
)

// errUnknownPool reports the entry of a worker in a pool that no configuration has named.
var errUnknownPool = eris.New("no configuration names the pool")

// addPools adds the pools that a configuration names and reports whether one of them is new.
func (m *Mirror) addPools(p *hfwork.Policy) bool {
	known := len(m.pools)
	for _, pool := range p.GetPools() {
		m.pools[pool.GetName()] = true
	}
	for _, queue := range p.GetQueues() {
		m.pools[queue.GetPool()] = true
	}
	return len(m.pools) > known
}

// isPool reports whether a configuration has named a pool. Every name may be one before the first
// configuration.
func (m *Mirror) isPool(name string) bool { return m.policy == nil || m.pools[name] }

// workersMsg returns the message with the registered workers. An entry for a pool that no
// configuration has named may be that of another writer, and names no worker to use.
func (m *Mirror) workersMsg() hfplan.WorkersMsg {
	registered := maps.Clone(m.workers)
	maps.DeleteFunc(registered, func(_ string, w *hfwork.Worker) bool { return !m.isPool(w.GetPool()) })
	return hfplan.Workers(registered).WithEnds(m.drainEnds(hflease.Now(), time.Now())).WithEvacuated(m.evacuated)
}
