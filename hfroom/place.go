package hfroom

import (
	"cmp"
	"slices"
	"time"
)

// Need is what a group of like tasks asks of the room.
type Need struct {
	pool  string
	size  Size
	label string               // label that a worker must have, or ""
	near  string               // rack that is tried first, or ""
	apart int                  // most tasks on one worker, 0 for any number
	taken func(id string) int  // tasks of the group that already count against apart, may be nil
	avoid func(id string) bool // workers that must not be used, may be nil
	group any                  // what workers may be kept for
	ends  time.Time            // when the tasks are expected to end; zero when that is not known
}

// NewNeed returns a need of tasks of one size in a pool.
//
//	n := hfroom.NewNeed("logs", hfroom.NewSize(52000, 75000, 4)).Apart(2, nil)
func NewNeed(pool string, size Size) Need { return Need{pool: pool, size: size} }

// Labelled demands a label.
func (n Need) Labelled(label string) Need { n.label = label; return n }

// Near names the rack that is tried first.
func (n Need) Near(rack string) Need { n.near = rack; return n }

// Apart bounds the tasks on one worker. taken returns those already there.
func (n Need) Apart(most int, taken func(id string) int) Need {
	n.apart, n.taken = most, taken
	return n
}

// Avoiding excludes workers.
func (n Need) Avoiding(avoid func(id string) bool) Need { n.avoid = avoid; return n }

// For names the group that workers may be kept for, and when its tasks are expected to
// end if they start now.
func (n Need) For(group any, ends time.Time) Need {
	n.group, n.ends = group, ends
	return n
}

// Size returns the size of one task.
func (n Need) Size() Size { return n.size }

// Slot is a number of tasks on one worker.
type Slot struct {
	worker *Worker
	tasks  int
}

// Worker returns the worker.
func (s Slot) Worker() *Worker { return s.worker }

// Tasks returns the number of tasks placed on it.
func (s Slot) Tasks() int { return s.tasks }

// fits returns how many tasks the worker takes when free is its free room.
func (n Need) fits(w *Worker, free Size) int {
	if !n.allows(w) {
		return 0
	}
	most := free.Holds(n.size)
	if n.apart > 0 {
		left := n.apart
		if n.taken != nil {
			left -= n.taken(w.id)
		}
		most = min(most, max(left, 0))
	}
	return most
}

func (n Need) allows(w *Worker) bool {
	if !w.usable || (n.avoid != nil && n.avoid(w.id)) {
		return false
	}
	if w.keptFor != nil && w.keptFor != n.group && (n.ends.IsZero() || n.ends.After(w.keptUntil)) {
		return false
	}
	return n.label == "" || slices.Contains(w.labels, n.label)
}

// option is a worker that takes some tasks, with what remains free on it.
type option struct {
	worker *Worker
	most   int
	left   int64 // accelerators free after as many tasks as fit
}

// options lists the workers of a rack that take at least one task. The ones that are
// filled best come first, so that whole workers stay whole.
func (n Need) options(k *rack, free func(*Worker) Size) ([]option, int) {
	var list []option
	total := 0
	for _, w := range k.workers {
		f := free(w)
		most := n.fits(w, f)
		if most == 0 {
			continue
		}
		list = append(list, option{worker: w, most: most, left: f.accelerators - int64(most)*n.size.accelerators})
		total += most
	}
	slices.SortStableFunc(list, func(a, b option) int {
		return cmp.Or(cmp.Compare(a.worker.free.accelerators, b.worker.free.accelerators), cmp.Compare(a.left, b.left))
	})
	return list, total
}

func planned(w *Worker) Size { return w.free }

// fill deals up to count tasks to options, in order. A last worker that would be
// opened for few tasks gives way to the one that fits them most closely.
func fill(list []option, count int) []Slot {
	var slots []Slot
	for _, o := range list {
		if count == 0 {
			break
		}
		n := min(count, o.most)
		slots = append(slots, Slot{worker: o.worker, tasks: n})
		count -= n
	}
	return slots
}

// Compact places all tasks in one rack, or nothing. It takes the rack that has the
// least room left over, so that larger gangs find theirs.
func (r *Room) Compact(n Need, count int) ([]Slot, bool) {
	var best []option
	bestLeft, bestNear := int64(-1), false
	for _, k := range r.pools[n.pool] {
		list, total := n.options(k, planned)
		if total < count {
			continue
		}
		near := n.near != "" && k.name == n.near
		left := k.left(n, count)
		if bestLeft < 0 || (near && !bestNear) || (near == bestNear && left < bestLeft) {
			best, bestLeft, bestNear = list, left, near
		}
	}
	if bestLeft < 0 {
		return nil, false
	}
	return fill(best, count), true
}

// left returns the accelerators of the rack that stay free beside count tasks.
func (k *rack) left(n Need, count int) int64 {
	free := int64(0)
	for _, w := range k.workers {
		if w.usable {
			free += max(w.free.accelerators, 0)
		}
	}
	return max(0, free-int64(count)*n.size.accelerators)
}

// Spread places up to count tasks on any racks, fullest racks first, and returns the
// number placed.
func (r *Room) Spread(n Need, count int) ([]Slot, int) {
	type choice struct {
		list  []option
		total int
		free  int64
		near  bool
	}
	var choices []choice
	for _, k := range r.pools[n.pool] {
		list, total := n.options(k, planned)
		if total > 0 {
			choices = append(choices, choice{list: list, total: total, free: k.left(n, 0), near: n.near != "" && k.name == n.near})
		}
	}
	slices.SortStableFunc(choices, func(a, b choice) int {
		if a.near != b.near {
			if a.near {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.free, b.free)
	})
	var slots []Slot
	placed := 0
	for _, c := range choices {
		if placed == count {
			break
		}
		n := min(c.total, count-placed)
		slots = append(slots, fill(c.list, n)...)
		placed += n
	}
	return slots, placed
}

// Possible tells whether count tasks would fit into the usable workers if they were
// empty, in one rack or on any.
func (r *Room) Possible(n Need, count int) (compact, spread bool) {
	all := 0
	for _, k := range r.pools[n.pool] {
		total := 0
		for _, w := range k.workers {
			total += n.fits(w, w.capacity)
		}
		compact = compact || total >= count
		all += total
	}
	return compact, all >= count
}
