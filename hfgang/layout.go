// Package hfgang places the gang jobs of one failure domain: whole gangs on
// adjacent accelerators, under the guarantees of client accounts.
package hfgang

import (
	"sort"

	"github.com/heatherfront/heatherfront/hfwire"
	"github.com/heatherfront/heatherfront/hfworker"
)

// Block is a range of accelerators in a layout's order, from lo up to but not
// including hi.
type Block struct{ lo, hi int }

// Size returns the number of accelerators.
func (b Block) Size() int { return b.hi - b.lo }

// Low returns the index of the first accelerator.
func (b Block) Low() int { return b.lo }

func (b Block) overlaps(o Block) bool { return b.lo < o.hi && o.lo < b.hi }

func (b Block) within(o Block) bool { return o.lo <= b.lo && b.hi <= o.hi }

// workerSpan is one worker in the order of racks and positions.
type workerSpan struct {
	worker hfworker.Worker
	start  int  // index of the worker's first accelerator
	usable bool // heard under this epoch, not lost, not leaving, not set aside
}

// Layout puts the accelerators of a domain in one order: by rack, then position,
// then name. Adjacency is defined here and nowhere else: a block of adjacent
// accelerators is a contiguous range of that order which lies in one worker if a
// worker is large enough, and otherwise begins at a worker's first accelerator and
// lies in one rack if a rack is large enough.
type Layout struct {
	spans         []workerSpan
	spanByWorker  map[string]int // worker name to its site
	spanAt        []int          // accelerator to its site
	largestWorker int            // accelerators of the largest worker
	largestRack   int            // accelerators of the largest rack
}

// NewLayout orders the workers of a domain. Workers without accelerators are left
// out.
func NewLayout(domain string, workers map[string]hfworker.Worker) *Layout {
	l := &Layout{spanByWorker: map[string]int{}}
	for _, w := range workers {
		if w.Domain() == domain && w.Accelerators() > 0 {
			l.spans = append(l.spans, workerSpan{worker: w})
		}
	}
	sort.Slice(l.spans, func(i, j int) bool { return lessWorker(l.spans[i].worker, l.spans[j].worker) })
	racks := map[string]int{}
	for i := range l.spans {
		w := l.spans[i].worker
		l.spans[i].start = len(l.spanAt)
		l.spanByWorker[w.Name()] = i
		for range w.Accelerators() {
			l.spanAt = append(l.spanAt, i)
		}
		racks[w.Rack()] += w.Accelerators()
		l.largestWorker = max(l.largestWorker, w.Accelerators())
		l.largestRack = max(l.largestRack, racks[w.Rack()])
	}
	return l
}

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

// Blocks calls visit with every block of adjacent accelerators of a size that
// lies within bounds, until visit returns false.
func (l *Layout) Blocks(size int, bounds Block, visit func(Block) bool) {
	for lo := bounds.lo; lo+size <= bounds.hi; lo++ {
		b := Block{lo: lo, hi: lo + size}
		if l.adjacent(b) && !visit(b) {
			return
		}
	}
}

// adjacent tells whether a range is a block of adjacent accelerators.
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

// All returns the range of every accelerator.
func (l *Layout) All() Block { return Block{lo: 0, hi: len(l.spanAt)} }

// usable tells whether every worker of a block can take work.
func (l *Layout) usable(b Block) bool {
	for i := l.spanAt[b.lo]; i <= l.spanAt[b.hi-1]; i++ {
		if !l.spans[i].usable {
			return false
		}
	}
	return true
}

// splitIntoGrants splits a block into one member per worker.
func (l *Layout) splitIntoGrants(b Block) []*hfwire.Grant {
	var grants []*hfwire.Grant
	for lo := b.lo; lo < b.hi; {
		s := l.spans[l.spanAt[lo]]
		hi := min(b.hi, s.start+s.worker.Accelerators())
		grants = append(grants, &hfwire.Grant{
			Worker: s.worker.Name(), Index: uint32(len(grants)),
			First: uint32(lo - s.start), Count: uint32(hi - lo),
		})
		lo = hi
	}
	return grants
}

// grantBlock returns the range that a grant covers. It is empty when the worker is not
// listed any more or has fewer accelerators than before.
func (l *Layout) grantBlock(g *hfwire.Grant) Block {
	i, ok := l.spanByWorker[g.GetWorker()]
	if !ok || int(g.GetFirst()+g.GetCount()) > l.spans[i].worker.Accelerators() {
		return Block{}
	}
	lo := l.spans[i].start + int(g.GetFirst())
	return Block{lo: lo, hi: lo + int(g.GetCount())}
}

// Largest returns the size of the largest block of adjacent accelerators that
// satisfies free, up to a limit.
func (l *Layout) Largest(limit int, free func(accelerator int) bool) int {
	taken := make([]int, len(l.spanAt)+1) // sum of the accelerators that are not free
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

// Fits tells whether shapes of the given sizes can lie side by side on the
// layout when nothing else runs. It packs the largest first; sizes that only a
// cleverer packing could place count as not fitting.
func (l *Layout) Fits(sizes []int) bool {
	sizes = append([]int{}, sizes...)
	sort.Sort(sort.Reverse(sort.IntSlice(sizes)))
	used := make([]bool, len(l.spanAt))
	for _, size := range sizes {
		found := false
		l.Blocks(size, l.All(), func(b Block) bool {
			for i := b.lo; i < b.hi; i++ {
				if used[i] {
					return true
				}
			}
			for i := b.lo; i < b.hi; i++ {
				used[i] = true
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
