package hfgang

import (
	"fmt"
	"sort"

	"github.com/rotisserie/eris"

	"github.com/heatherfront/heatherfront/hfaccount"
	"github.com/heatherfront/heatherfront/hfwire"
)

// ErrGuaranteeLost reports a broken invariant: a guaranteed shape could not be
// reclaimed.
var ErrGuaranteeLost = eris.New("guarantee not reclaimable")

// guarantee is one guaranteed block of adjacent accelerators. While it is met it has
// a block, disjoint from those of all other shapes, on usable workers, that holds
// only its own claims, idle accelerators and preemptible work.
type guarantee struct {
	account string
	size    int
	block   Block
	met     bool
	claims  map[string]*job
}

// pinned tells whether the shape's block must stay where it is.
func (s *guarantee) pinned() bool { return len(s.claims) > 0 }

type guaranteeKey struct {
	account string
	size    int
}

// reconcileGuarantees makes the shapes follow the accounts in force. A shape whose account
// was merged into another goes over with its block and its claims.
func (s *Scheduler) reconcileGuarantees(book *hfaccount.Book) {
	wanted := map[guaranteeKey]int{}
	for _, t := range book.All() {
		for _, g := range t.Guarantees() {
			if g.Domain == s.domain {
				wanted[guaranteeKey{account: t.Name(), size: g.Size}] += g.Count
			}
		}
	}
	for _, sh := range s.guarantees {
		if target, ok := book.Resolve(sh.account); ok {
			sh.account = target
		}
	}
	s.guarantees = s.retainGuarantees(wanted)
	for _, key := range sortedGuaranteeKeys(wanted) {
		for range wanted[key] {
			s.guarantees = append(s.guarantees, &guarantee{account: key.account, size: key.size, claims: map[string]*job{}})
		}
	}
}

// retainGuarantees returns the shapes that are still wanted, those with claims first,
// and takes them off wanted.
func (s *Scheduler) retainGuarantees(wanted map[guaranteeKey]int) []*guarantee {
	sort.SliceStable(s.guarantees, func(i, j int) bool { return len(s.guarantees[i].claims) > len(s.guarantees[j].claims) })
	var kept []*guarantee
	for _, sh := range s.guarantees {
		key := guaranteeKey{account: sh.account, size: sh.size}
		if wanted[key] > 0 {
			wanted[key]--
			kept = append(kept, sh)
			continue
		}
		for _, j := range sh.claims {
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

// canServe tells whether a block could serve a shape: usable, free of fixed work
// of others and of other shapes' blocks.
func (s *Scheduler) canServe(b Block, sh *guarantee) bool {
	if !s.layout.usable(b) {
		return false
	}
	for i := b.lo; i < b.hi; i++ {
		if o := s.guaranteeAt[i]; o != nil && o != sh {
			return false
		}
		if j := s.nonPreemptibleAt(i); j != nil && j.guarantee != sh {
			return false
		}
	}
	return true
}

// nonPreemptibleAt returns the fixed job that holds an accelerator or is planned for it.
func (s *Scheduler) nonPreemptibleAt(i int) *job {
	if j := s.planned[i]; j != nil && j.nonPreemptible() {
		return j
	}
	if j := s.allocated[i]; j != nil && j.nonPreemptible() {
		return j
	}
	return nil
}

// assignBlocks gives every shape a block as far as it can. It keeps the blocks that
// still hold, places the rest by size, and when some are left over, places all
// shapes without claims anew and takes that if more accelerators are covered.
func (s *Scheduler) assignBlocks() {
	s.rebuildAllocations()
	for _, sh := range s.guarantees {
		if sh.met && !s.canServe(sh.block, sh) {
			s.unassign(sh)
		}
	}
	if s.assignUnmet() == 0 {
		return
	}
	saved := s.snapshotBlocks()
	covered := s.guaranteedAccelerators()
	for _, sh := range s.guarantees {
		if !sh.pinned() {
			s.unassign(sh)
		}
	}
	s.assignUnmet()
	if s.guaranteedAccelerators() < covered {
		s.restoreBlocks(saved)
	}
}

// assignUnmet places the unmet shapes, largest first, and returns how many stay unmet.
func (s *Scheduler) assignUnmet() int {
	var open []*guarantee
	for _, sh := range s.guarantees {
		if !sh.met {
			open = append(open, sh)
		}
	}
	sort.SliceStable(open, func(i, j int) bool { return open[i].size > open[j].size })
	left := 0
	for _, sh := range open {
		if b, ok := s.cheapestBlock(sh); ok {
			s.assign(sh, b)
		} else {
			left++
		}
	}
	return left
}

// cheapestBlock returns the block for a shape that would cost the least work to
// reclaim, and among equals the one that leaves the smallest gap.
func (s *Scheduler) cheapestBlock(sh *guarantee) (Block, bool) {
	var best Block
	bestCost := -1
	s.layout.Blocks(sh.size, s.layout.All(), func(b Block) bool {
		if !s.canServe(b, sh) {
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

func (s *Scheduler) assign(sh *guarantee, b Block) {
	sh.block, sh.met = b, true
	for i := b.lo; i < b.hi; i++ {
		s.guaranteeAt[i] = sh
	}
}

func (s *Scheduler) unassign(sh *guarantee) {
	if !sh.met {
		return
	}
	for i := sh.block.lo; i < sh.block.hi && i < len(s.guaranteeAt); i++ {
		if s.guaranteeAt[i] == sh {
			s.guaranteeAt[i] = nil
		}
	}
	sh.met, sh.block = false, Block{}
}

func (s *Scheduler) guaranteedAccelerators() int {
	n := 0
	for _, sh := range s.guarantees {
		if sh.met {
			n += sh.size
		}
	}
	return n
}

func (s *Scheduler) snapshotBlocks() map[*guarantee]Block {
	saved := map[*guarantee]Block{}
	for _, sh := range s.guarantees {
		if sh.met {
			saved[sh] = sh.block
		}
	}
	return saved
}

func (s *Scheduler) restoreBlocks(saved map[*guarantee]Block) {
	for _, sh := range s.guarantees {
		s.unassign(sh)
	}
	for sh, b := range saved {
		s.assign(sh, b)
	}
}

// relocateGuarantees tells whether fixed work may take a block: it lies outside all shapes,
// or the shapes without claims that it touches find other blocks. In the second
// case they have moved when it returns true.
func (s *Scheduler) relocateGuarantees(b Block) bool {
	touched := map[*guarantee]bool{}
	for i := b.lo; i < b.hi; i++ {
		if sh := s.guaranteeAt[i]; sh != nil {
			touched[sh] = true
			if sh.pinned() {
				return false
			}
		}
	}
	if len(touched) == 0 {
		return true
	}
	saved := s.snapshotBlocks()
	blocker := &guarantee{claims: map[string]*job{}, size: b.Size()}
	for sh := range touched {
		s.unassign(sh)
	}
	s.assign(blocker, b)
	left := s.assignSet(touched)
	s.unassign(blocker)
	if left > 0 {
		s.restoreBlocks(saved)
		return false
	}
	return true
}

// assignSet places the given shapes and returns how many found no block.
func (s *Scheduler) assignSet(shapes map[*guarantee]bool) int {
	left := 0
	for _, sh := range s.guarantees {
		if !shapes[sh] {
			continue
		}
		if b, ok := s.cheapestBlock(sh); ok {
			s.assign(sh, b)
		} else {
			left++
		}
	}
	return left
}

// checkGuarantees returns ErrGuarantee when a met shape could not be reclaimed.
func (s *Scheduler) checkGuarantees() error {
	owner := make([]*guarantee, s.layout.Total())
	for _, sh := range s.guarantees {
		if !sh.met {
			continue
		}
		for i := sh.block.lo; i < sh.block.hi; i++ {
			if owner[i] != nil {
				return fmt.Errorf("%w: blocks of %s and %s overlap", ErrGuaranteeLost, sh.account, owner[i].account)
			}
			owner[i] = sh
			if j := s.nonPreemptibleAt(i); j != nil && j.guarantee != sh {
				return fmt.Errorf("%w: fixed job %s in a block of %s", ErrGuaranteeLost, j.id(), sh.account)
			}
		}
	}
	return nil
}

// Status returns the state of the domain.
func (s *Scheduler) Status() *hfwire.Status {
	queued, placed := s.JobCounts()
	idle, largest := s.Idle()
	st := &hfwire.Status{
		Domain: s.domain, Queued: uint32(queued), Placed: uint32(placed), Idle: uint32(idle), Largest: uint32(largest),
	}
	for _, sh := range s.guarantees {
		st.Guarantees = append(st.Guarantees, &hfwire.Guarantee{
			Account: sh.account, Size: uint32(sh.size), Met: sh.met, Claims: uint32(len(sh.claims)),
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
