package hfgang

import (
	"fmt"
	"sort"

	"github.com/rotisserie/eris"

	"github.com/heatherfront/heatherfront/hfaccount"
	"github.com/heatherfront/heatherfront/hfwire"
)

// ErrGuaranteeLost reports a violated invariant: a met guarantee cannot be
// reclaimed.
var ErrGuaranteeLost = eris.New("guarantee cannot be reclaimed")

// guarantee is one block of adjacent accelerators that an account is guaranteed. While
// it is met it has a block, disjoint from the blocks of all other guarantees, on usable
// workers. That block holds only jobs that claim this guarantee, idle accelerators and
// preemptible jobs.
type guarantee struct {
	account string
	size    int
	block   Block
	met     bool
	claims  map[string]*job
}

// pinned reports whether the guarantee must keep its current block.
func (g *guarantee) pinned() bool { return len(g.claims) > 0 }

// guaranteeKey identifies interchangeable guarantees.
type guaranteeKey struct {
	account string
	size    int
}

// reconcileGuarantees updates the guarantees to match the accounts in force. A
// guarantee whose account was merged into another moves to that account with its block
// and its claims.
func (s *Scheduler) reconcileGuarantees(directory *hfaccount.Directory) {
	wanted := map[guaranteeKey]int{}
	for _, e := range directory.All() {
		for _, spec := range e.Guarantees() {
			if spec.Domain == s.domain {
				wanted[guaranteeKey{account: e.Name(), size: spec.Size}] += spec.Count
			}
		}
	}
	for _, g := range s.guarantees {
		if target, ok := directory.Resolve(g.account); ok {
			g.account = target
		}
	}
	s.guarantees = s.retainGuarantees(wanted)
	for _, key := range sortedGuaranteeKeys(wanted) {
		for range wanted[key] {
			s.guarantees = append(s.guarantees, &guarantee{account: key.account, size: key.size, claims: map[string]*job{}})
		}
	}
}

// retainGuarantees returns the guarantees that are still wanted, those with the most
// claims first, and subtracts them from wanted.
func (s *Scheduler) retainGuarantees(wanted map[guaranteeKey]int) []*guarantee {
	sort.SliceStable(s.guarantees, func(i, j int) bool { return len(s.guarantees[i].claims) > len(s.guarantees[j].claims) })
	var kept []*guarantee
	for _, g := range s.guarantees {
		key := guaranteeKey{account: g.account, size: g.size}
		if wanted[key] > 0 {
			wanted[key]--
			kept = append(kept, g)
			continue
		}
		for _, j := range g.claims {
			j.guarantee = nil
		}
	}
	return kept
}

func sortedGuaranteeKeys(wanted map[guaranteeKey]int) []guaranteeKey {
	keys := make([]guaranteeKey, 0, len(wanted))
	for k := range wanted {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool {
		if keys[i].account != keys[j].account {
			return keys[i].account < keys[j].account
		}
		return keys[i].size < keys[j].size
	})
	return keys
}

// canServe reports whether a block can serve a guarantee: its workers are usable, and
// it overlaps neither a non-preemptible job outside the guarantee nor the block of
// another guarantee.
func (s *Scheduler) canServe(b Block, g *guarantee) bool {
	if !s.layout.usable(b) {
		return false
	}
	for i := b.lo; i < b.hi; i++ {
		if o := s.guaranteeAt[i]; o != nil && o != g {
			return false
		}
		if j := s.nonPreemptibleAt(i); j != nil && j.guarantee != g {
			return false
		}
	}
	return true
}

// nonPreemptibleAt returns the non-preemptible job that holds an accelerator or is
// planned for it, or nil.
func (s *Scheduler) nonPreemptibleAt(i int) *job {
	if j := s.planned[i]; j != nil && j.nonPreemptible() {
		return j
	}
	if j := s.allocated[i]; j != nil && j.nonPreemptible() {
		return j
	}
	return nil
}

// assignBlocks assigns a block to as many guarantees as it can. It keeps the blocks
// that are still valid and assigns the rest, largest first. If some remain unmet, it
// reassigns all guarantees without claims and keeps the result unless it covers fewer
// accelerators than before.
func (s *Scheduler) assignBlocks() {
	s.rebuildAllocations()
	for _, g := range s.guarantees {
		if g.met && !s.canServe(g.block, g) {
			s.unassign(g)
		}
	}
	if s.assignUnmet() == 0 {
		return
	}
	snapshot := s.snapshotBlocks()
	before := s.guaranteedAccelerators()
	for _, g := range s.guarantees {
		if !g.pinned() {
			s.unassign(g)
		}
	}
	s.assignUnmet()
	if s.guaranteedAccelerators() < before {
		s.restoreBlocks(snapshot)
	}
}

// assignUnmet assigns blocks to the unmet guarantees, largest first, and returns how
// many remain unmet.
func (s *Scheduler) assignUnmet() int {
	var unmet []*guarantee
	for _, g := range s.guarantees {
		if !g.met {
			unmet = append(unmet, g)
		}
	}
	sort.SliceStable(unmet, func(i, j int) bool { return unmet[i].size > unmet[j].size })
	remaining := 0
	for _, g := range unmet {
		if b, ok := s.cheapestBlock(g); ok {
			s.assign(g, b)
		} else {
			remaining++
		}
	}
	return remaining
}

// cheapestBlock returns the first block for a guarantee with the lowest cost to
// reclaim: the accelerators that jobs hold in it, and a penalty for each one on a
// worker on probation.
func (s *Scheduler) cheapestBlock(g *guarantee) (Block, bool) {
	var best Block
	bestCost := -1
	s.layout.Blocks(g.size, s.layout.All(), func(b Block) bool {
		if !s.canServe(b, g) {
			return true
		}
		cost := 0
		for i := b.lo; i < b.hi; i++ {
			if s.allocated[i] != nil {
				cost++
			}
			if s.onProbation(i) {
				cost += probationCost
			}
		}
		if bestCost < 0 || cost < bestCost {
			best, bestCost = b, cost
		}
		return bestCost != 0
	})
	return best, bestCost >= 0
}

// assign gives a guarantee a block.
func (s *Scheduler) assign(g *guarantee, b Block) {
	g.block, g.met = b, true
	for i := b.lo; i < b.hi; i++ {
		s.guaranteeAt[i] = g
	}
}

// unassign takes the block away from a guarantee, which becomes unmet.
func (s *Scheduler) unassign(g *guarantee) {
	if !g.met {
		return
	}
	for i := g.block.lo; i < g.block.hi && i < len(s.guaranteeAt); i++ {
		if s.guaranteeAt[i] == g {
			s.guaranteeAt[i] = nil
		}
	}
	g.met, g.block = false, Block{}
}

// guaranteedAccelerators returns the number of accelerators in met guarantees.
func (s *Scheduler) guaranteedAccelerators() int {
	n := 0
	for _, g := range s.guarantees {
		if g.met {
			n += g.size
		}
	}
	return n
}

// snapshotBlocks returns the blocks of all met guarantees.
func (s *Scheduler) snapshotBlocks() map[*guarantee]Block {
	snapshot := map[*guarantee]Block{}
	for _, g := range s.guarantees {
		if g.met {
			snapshot[g] = g.block
		}
	}
	return snapshot
}

// restoreBlocks assigns the blocks of a snapshot and unassigns all others.
func (s *Scheduler) restoreBlocks(snapshot map[*guarantee]Block) {
	for _, g := range s.guarantees {
		s.unassign(g)
	}
	for g, b := range snapshot {
		s.assign(g, b)
	}
}

// relocateGuarantees reports whether a non-preemptible job may take a block: either the
// block lies outside all guarantees, or every guarantee that overlaps it has no claims
// and finds another block. In the second case those guarantees have been moved when it
// returns true.
func (s *Scheduler) relocateGuarantees(b Block) bool {
	overlapping := map[*guarantee]bool{}
	for i := b.lo; i < b.hi; i++ {
		if g := s.guaranteeAt[i]; g != nil {
			overlapping[g] = true
			if g.pinned() {
				return false
			}
		}
	}
	if len(overlapping) == 0 {
		return true
	}
	snapshot := s.snapshotBlocks()
	placeholder := &guarantee{claims: map[string]*job{}, size: b.Size()}
	for g := range overlapping {
		s.unassign(g)
	}
	s.assign(placeholder, b)
	remaining := s.assignSet(overlapping)
	s.unassign(placeholder)
	if remaining > 0 {
		s.restoreBlocks(snapshot)
		return false
	}
	return true
}

// assignSet assigns blocks to the given guarantees and returns how many remain unmet.
func (s *Scheduler) assignSet(guarantees map[*guarantee]bool) int {
	remaining := 0
	for _, g := range s.guarantees {
		if !guarantees[g] {
			continue
		}
		if b, ok := s.cheapestBlock(g); ok {
			s.assign(g, b)
		} else {
			remaining++
		}
	}
	return remaining
}

// checkGuarantees returns ErrGuaranteeLost if blocks of met guarantees overlap, or if one
// has a non-preemptible job, placed or planned, that does not claim it.
func (s *Scheduler) checkGuarantees() error {
	owner := make([]*guarantee, s.layout.Total())
	for _, g := range s.guarantees {
		if !g.met {
			continue
		}
		for i := g.block.lo; i < g.block.hi; i++ {
			if owner[i] != nil {
				return fmt.Errorf("%w: blocks of %s and %s overlap", ErrGuaranteeLost, g.account, owner[i].account)
			}
			owner[i] = g
			if j := s.nonPreemptibleAt(i); j != nil && j.guarantee != g {
				return fmt.Errorf("%w: non-preemptible job %s in a block of %s", ErrGuaranteeLost, j.id(), g.account)
			}
		}
	}
	return nil
}

// Status returns a summary of the domain: job counts, idle accelerators, guarantees and
// quarantined workers.
func (s *Scheduler) Status() *hfwire.Status {
	queued, placed := s.JobCounts()
	idle, largest := s.Idle()
	st := &hfwire.Status{
		Domain: s.domain, Queued: uint32(queued), Placed: uint32(placed), Idle: uint32(idle), Largest: uint32(largest),
	}
	for _, g := range s.guarantees {
		st.Guarantees = append(st.Guarantees, &hfwire.Guarantee{
			Account: g.account, Size: uint32(g.size), Met: g.met, Claims: uint32(len(g.claims)),
		})
	}
	for name, w := range s.workers {
		if w.health.quarantined {
			st.Aside = append(st.Aside, name)
		}
	}
	sort.Strings(st.Aside)
	return st
}
