package hfgang

import (
	"fmt"
	"sort"

	"github.com/rotisserie/eris"

	"github.com/heatherfront/heatherfront/hfaccount"
	"github.com/heatherfront/heatherfront/hfwire"
)

// ErrGuarantee reports a broken invariant: a guaranteed shape could not be
// reclaimed.
var ErrGuarantee = eris.New("guarantee not reclaimable")

// shape is one guaranteed block of adjacent accelerators. While it is met it has
// a block, disjoint from those of all other shapes, on usable workers, that holds
// only its own claims, idle accelerators and preemptible work.
type shape struct {
	account string
	size    int
	block   Block
	met     bool
	claims  map[string]*job
}

// pinned tells whether the shape's block must stay where it is.
func (s *shape) pinned() bool { return len(s.claims) > 0 }

type shapeKey struct {
	account string
	size    int
}

// reconcile makes the shapes follow the accounts in force. A shape whose account
// was merged into another goes over with its block and its claims.
func (s *Scheduler) reconcile(book *hfaccount.Book) {
	wanted := map[shapeKey]int{}
	for _, t := range book.All() {
		for _, g := range t.Guarantees() {
			if g.Domain == s.domain {
				wanted[shapeKey{account: t.Name(), size: g.Size}] += g.Count
			}
		}
	}
	for _, sh := range s.shapes {
		if target, ok := book.Resolve(sh.account); ok {
			sh.account = target
		}
	}
	s.shapes = s.keepShapes(wanted)
	for _, key := range sortedKeys(wanted) {
		for range wanted[key] {
			s.shapes = append(s.shapes, &shape{account: key.account, size: key.size, claims: map[string]*job{}})
		}
	}
}

// keepShapes returns the shapes that are still wanted, those with claims first,
// and takes them off wanted.
func (s *Scheduler) keepShapes(wanted map[shapeKey]int) []*shape {
	sort.SliceStable(s.shapes, func(i, j int) bool { return len(s.shapes[i].claims) > len(s.shapes[j].claims) })
	var kept []*shape
	for _, sh := range s.shapes {
		key := shapeKey{account: sh.account, size: sh.size}
		if wanted[key] > 0 {
			wanted[key]--
			kept = append(kept, sh)
			continue
		}
		for _, j := range sh.claims {
			j.shape = nil
		}
	}
	return kept
}

func sortedKeys(wanted map[shapeKey]int) []shapeKey {
	keys := make([]shapeKey, 0, len(wanted))
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

// holdable tells whether a block could serve a shape: usable, free of fixed work
// of others and of other shapes' blocks.
func (s *Scheduler) holdable(b Block, sh *shape) bool {
	if !s.layout.usable(b) {
		return false
	}
	for i := b.lo; i < b.hi; i++ {
		if o := s.shapeAt[i]; o != nil && o != sh {
			return false
		}
		if j := s.fixedAt(i); j != nil && j.shape != sh {
			return false
		}
	}
	return true
}

// fixedAt returns the fixed job that holds an accelerator or is planned for it.
func (s *Scheduler) fixedAt(i int) *job {
	if j := s.planned[i]; j != nil && j.fixed() {
		return j
	}
	if j := s.held[i]; j != nil && j.fixed() {
		return j
	}
	return nil
}

// match gives every shape a block as far as it can. It keeps the blocks that
// still hold, places the rest by size, and when some are left over, places all
// shapes without claims anew and takes that if more accelerators are covered.
func (s *Scheduler) match() {
	s.survey()
	for _, sh := range s.shapes {
		if sh.met && !s.holdable(sh.block, sh) {
			s.unplace(sh)
		}
	}
	if s.fill() == 0 {
		return
	}
	saved := s.saveBlocks()
	covered := s.covered()
	for _, sh := range s.shapes {
		if !sh.pinned() {
			s.unplace(sh)
		}
	}
	s.fill()
	if s.covered() < covered {
		s.restoreBlocks(saved)
	}
}

// fill places the unmet shapes, largest first, and returns how many stay unmet.
func (s *Scheduler) fill() int {
	var open []*shape
	for _, sh := range s.shapes {
		if !sh.met {
			open = append(open, sh)
		}
	}
	sort.SliceStable(open, func(i, j int) bool { return open[i].size > open[j].size })
	left := 0
	for _, sh := range open {
		if b, ok := s.bestHold(sh); ok {
			s.place(sh, b)
		} else {
			left++
		}
	}
	return left
}

// bestHold returns the block for a shape that would cost the least work to
// reclaim, and among equals the one that leaves the smallest gap.
func (s *Scheduler) bestHold(sh *shape) (Block, bool) {
	var best Block
	bestCost := -1
	s.layout.Blocks(sh.size, s.layout.All(), func(b Block) bool {
		if !s.holdable(b, sh) {
			return true
		}
		cost := 0
		for i := b.lo; i < b.hi; i++ {
			if s.held[i] != nil {
				cost++
			}
			if s.onProbe(i) {
				cost += probeCost
			}
		}
		if bestCost < 0 || cost < bestCost {
			best, bestCost = b, cost
		}
		return bestCost != 0
	})
	return best, bestCost >= 0
}

func (s *Scheduler) place(sh *shape, b Block) {
	sh.block, sh.met = b, true
	for i := b.lo; i < b.hi; i++ {
		s.shapeAt[i] = sh
	}
}

func (s *Scheduler) unplace(sh *shape) {
	if !sh.met {
		return
	}
	for i := sh.block.lo; i < sh.block.hi && i < len(s.shapeAt); i++ {
		if s.shapeAt[i] == sh {
			s.shapeAt[i] = nil
		}
	}
	sh.met, sh.block = false, Block{}
}

func (s *Scheduler) covered() int {
	n := 0
	for _, sh := range s.shapes {
		if sh.met {
			n += sh.size
		}
	}
	return n
}

func (s *Scheduler) saveBlocks() map[*shape]Block {
	saved := map[*shape]Block{}
	for _, sh := range s.shapes {
		if sh.met {
			saved[sh] = sh.block
		}
	}
	return saved
}

func (s *Scheduler) restoreBlocks(saved map[*shape]Block) {
	for _, sh := range s.shapes {
		s.unplace(sh)
	}
	for sh, b := range saved {
		s.place(sh, b)
	}
}

// yields tells whether fixed work may take a block: it lies outside all shapes,
// or the shapes without claims that it touches find other blocks. In the second
// case they have moved when it returns true.
func (s *Scheduler) yields(b Block) bool {
	touched := map[*shape]bool{}
	for i := b.lo; i < b.hi; i++ {
		if sh := s.shapeAt[i]; sh != nil {
			touched[sh] = true
			if sh.pinned() {
				return false
			}
		}
	}
	if len(touched) == 0 {
		return true
	}
	saved := s.saveBlocks()
	blocker := &shape{claims: map[string]*job{}, size: b.Size()}
	for sh := range touched {
		s.unplace(sh)
	}
	s.place(blocker, b)
	left := s.fillOnly(touched)
	s.unplace(blocker)
	if left > 0 {
		s.restoreBlocks(saved)
		return false
	}
	return true
}

// fillOnly places the given shapes and returns how many found no block.
func (s *Scheduler) fillOnly(shapes map[*shape]bool) int {
	left := 0
	for _, sh := range s.shapes {
		if !shapes[sh] {
			continue
		}
		if b, ok := s.bestHold(sh); ok {
			s.place(sh, b)
		} else {
			left++
		}
	}
	return left
}

// checkShapes returns ErrGuarantee when a met shape could not be reclaimed.
func (s *Scheduler) checkShapes() error {
	owner := make([]*shape, s.layout.Total())
	for _, sh := range s.shapes {
		if !sh.met {
			continue
		}
		for i := sh.block.lo; i < sh.block.hi; i++ {
			if owner[i] != nil {
				return fmt.Errorf("%w: blocks of %s and %s overlap", ErrGuarantee, sh.account, owner[i].account)
			}
			owner[i] = sh
			if j := s.fixedAt(i); j != nil && j.shape != sh {
				return fmt.Errorf("%w: fixed job %s in a block of %s", ErrGuarantee, j.id(), sh.account)
			}
		}
	}
	return nil
}

// Status returns the state of the domain.
func (s *Scheduler) Status() *hfwire.Status {
	queued, placed := s.Depth()
	idle, largest := s.Idle()
	st := &hfwire.Status{
		Domain: s.domain, Queued: uint32(queued), Placed: uint32(placed), Idle: uint32(idle), Largest: uint32(largest),
	}
	for _, sh := range s.shapes {
		st.Guarantees = append(st.Guarantees, &hfwire.Guarantee{
			Account: sh.account, Size: uint32(sh.size), Met: sh.met, Claims: uint32(len(sh.claims)),
		})
	}
	for name, w := range s.workers {
		if w.record.aside {
			st.Aside = append(st.Aside, name)
		}
	}
	sort.Strings(st.Aside)
	return st
}
