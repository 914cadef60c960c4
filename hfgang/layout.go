// Package hfgang schedules the gang jobs of one failure domain. It places each gang as a
// whole on adjacent accelerators and upholds the guarantees of client accounts.
package hfgang

import (
	"sort"

	"github.com/heatherfront/heatherfront/hfwire"
	"github.com/heatherfront/heatherfront/hfworker"
)

// Block is a half-open range [lo, hi) of accelerators in the order of a Layout.
type Block struct{ lo, hi int }

// Size returns the number of accelerators.
func (b Block) Size() int { return b.hi - b.lo }

// Low returns the index of the first accelerator.
func (b Block) Low() int { return b.lo }

func (b Block) overlaps(o Block) bool { return b.lo < o.hi && o.lo < b.hi }

func (b Block) within(o Block) bool { return o.lo <= b.lo && b.hi <= o.hi }

// workerSpan is the range of accelerators that belongs to one worker.
type workerSpan struct {
	worker hfworker.Worker
	start  int  // index of the worker's first accelerator
	usable bool // reported under this epoch, report current, not lost, not leaving, not quarantined
}

// Layout puts the accelerators of a failure domain in one order: by rack, then
// position, then worker name. It alone defines adjacency. A block of adjacent
// accelerators is a contiguous range of that order. It lies within one worker if any
// worker is large enough. Otherwise it begins at the first accelerator of a worker, and
// lies within one rack if any rack is large enough.
type Layout struct {
	spans         []workerSpan
	spanByWorker  map[string]int // index into spans, by worker name
	spanAt        []int          // index into spans, by accelerator
	largestWorker int            // accelerators of the largest worker
	largestRack   int            // accelerators of the largest rack
}

// NewLayout orders the workers of a domain. It omits workers without accelerators.
func NewLayout(domain string, workers map[string]hfworker.Worker) *Layout {
	l := &Layout{spanByWorker: map[string]int{}}
	for _, w := range workers {
		if w.Domain() == domain && w.Accelerators() > 0 {
			l.spans = append(l.spans, workerSpan{worker: w})
		}
	}
	sort.Slice(l.spans, func(i, j int) bool { return lessWorker(l.spans[i].worker, l.spans[j].worker) })
	rackSizes := map[string]int{}
	for i := range l.spans {
		w := l.spans[i].worker
		l.spans[i].start = len(l.spanAt)
		l.spanByWorker[w.Name()] = i
		for range w.Accelerators() {
			l.spanAt = append(l.spanAt, i)
		}
		rackSizes[w.Rack()] += w.Accelerators()
		l.largestWorker = max(l.largestWorker, w.Accelerators())
		l.largestRack = max(l.largestRack, rackSizes[w.Rack()])
	}
	return l
}

// lessWorker orders workers by rack, position and name.
func lessWorker(a, b hfworker.Worker) bool {
	if a.Rack() != b.Rack() {
		return a.Rack() < b.Rack()
	}
	if a.Position() != b.Position() {
		return a.Position() < b.Position()
	}
	return a.Name() < b.Name()
}

// Total returns the number of accelerators.
func (l *Layout) Total() int { return len(l.spanAt) }

// Blocks calls visit with every block of adjacent accelerators of the given size within
// bounds, until visit returns false.
func (l *Layout) Blocks(size int, bounds Block, visit func(Block) bool) {
	for lo := bounds.lo; lo+size <= bounds.hi; lo++ {
		b := Block{lo: lo, hi: lo + size}
		if l.adjacent(b) && !visit(b) {
			return
		}
	}
}

// adjacent reports whether a range is a block of adjacent accelerators.
func (l *Layout) adjacent(b Block) bool {
	first, last := l.spanAt[b.lo], l.spanAt[b.hi-1]
	if first == last {
		return true
	}
	if b.Size() <= l.largestWorker || b.lo != l.spans[first].start {
		return false
	}
	return b.Size() > l.largestRack || l.spans[first].worker.Rack() == l.spans[last].worker.Rack()
}

// All returns the range of all accelerators.
func (l *Layout) All() Block { return Block{lo: 0, hi: len(l.spanAt)} }

// usable reports whether every worker of a block accepts new jobs.
func (l *Layout) usable(b Block) bool {
	for i := l.spanAt[b.lo]; i <= l.spanAt[b.hi-1]; i++ {
		if !l.spans[i].usable {
			return false
		}
	}
	return true
}

// splitIntoGrants splits a block into one grant per worker.
func (l *Layout) splitIntoGrants(b Block) []*hfwire.Grant {
	var grants []*hfwire.Grant
	for lo := b.lo; lo < b.hi; {
		span := l.spans[l.spanAt[lo]]
		hi := min(b.hi, span.start+span.worker.Accelerators())
		grants = append(grants, &hfwire.Grant{
			Worker: span.worker.Name(), Index: uint32(len(grants)),
			First: uint32(lo - span.start), Count: uint32(hi - lo),
		})
		lo = hi
	}
	return grants
}

// grantBlock returns the range that a grant covers. The range is empty if the worker is
// no longer listed or now has too few accelerators.
func (l *Layout) grantBlock(g *hfwire.Grant) Block {
	i, ok := l.spanByWorker[g.GetWorker()]
	if !ok || int(g.GetFirst()+g.GetCount()) > l.spans[i].worker.Accelerators() {
		return Block{}
	}
	lo := l.spans[i].start + int(g.GetFirst())
	return Block{lo: lo, hi: lo + int(g.GetCount())}
}

// LargestBlock returns the size of the largest block of adjacent accelerators, up to limit,
// for which free returns true on every accelerator.
func (l *Layout) LargestBlock(limit int, free func(accelerator int) bool) int {
	taken := make([]int, len(l.spanAt)+1) // prefix sums of the accelerators that are not free
	for i := range l.spanAt {
		taken[i+1] = taken[i]
		if !free(i) {
			taken[i+1]++
		}
	}
	for size := min(limit, len(l.spanAt)); size > 0; size-- {
		found := false
		l.Blocks(size, l.All(), func(b Block) bool {
			found = taken[b.hi] == taken[b.lo]
			return !found
		})
		if found {
			return size
		}
	}
	return 0
}

// Fits reports whether blocks of the given sizes fit side by side in an otherwise empty
// layout. It packs greedily, largest first, so it may return false for sizes that a
// better packing could fit.
func (l *Layout) Fits(sizes []int) bool {
	sizes = append([]int{}, sizes...)
	sort.Sort(sort.Reverse(sort.IntSlice(sizes)))
	occupied := make([]bool, len(l.spanAt))
	for _, size := range sizes {
		found := false
		l.Blocks(size, l.All(), func(b Block) bool {
			for i := b.lo; i < b.hi; i++ {
				if occupied[i] {
					return true
				}
			}
			for i := b.lo; i < b.hi; i++ {
				occupied[i] = true
			}
			found = true
			return false
		})
		if !found {
			return false
		}
	}
	return true
}
