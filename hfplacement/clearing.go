package hfplacement

import (
	"cmp"
	"slices"
)

// clearing is the room for the tasks of one group while victims are selected.
type clearing[T any] struct {
	need  Need
	rooms []clearedRoom
	index map[*Worker]int // of the room of each eligible worker
	tasks int             // that fit on all workers
}

// clearedRoom is the room of one worker.
type clearedRoom struct {
	worker *Worker
	free   Resources
	limit  int // most tasks, whatever is free
	tasks  int // that fit
}

// fitting returns how many tasks of the given size fit if the given resources are free.
func (r *clearedRoom) fitting(free, size Resources) int { return min(r.limit, free.CountFitting(size)) }

// newClearing returns the room on the eligible workers of the racks before any victim is preempted.
func newClearing[T any](n Need, racks []*rack) *clearing[T] {
	c := &clearing[T]{need: n, index: map[*Worker]int{}}
	for _, k := range racks {
		for _, w := range k.workers {
			if !n.Eligible(w) {
				continue
			}
			r := clearedRoom{worker: w, free: w.free, limit: n.limitOn(w)}
			r.tasks = r.fitting(r.free, n.size)
			c.index[w] = len(c.rooms)
			c.rooms = append(c.rooms, r)
			c.tasks += r.tasks
		}
	}
	return c
}

// apply frees the resources of a victim (sign 1) or takes them back (sign -1).
func (c *clearing[T]) apply(v Victim[T], sign int64) {
	for _, a := range v.allocations {
		if i, ok := c.index[a.worker]; ok {
			r := &c.rooms[i]
			r.free = r.free.Plus(a.size, sign)
			tasks := r.fitting(r.free, c.need.size)
			c.tasks += tasks - r.tasks
			r.tasks = tasks
		}
	}
}

// possible reports whether count tasks fit if all victims are preempted.
func (c *clearing[T]) possible(victims []Victim[T], count int) bool {
	free := make([]Resources, len(c.rooms))
	for i := range c.rooms {
		free[i] = c.rooms[i].free
	}
	for _, v := range victims {
		for _, a := range v.allocations {
			if i, ok := c.index[a.worker]; ok {
				free[i] = free[i].Plus(a.size, 1)
			}
		}
	}
	tasks := 0
	for i := range c.rooms {
		tasks += c.rooms[i].fitting(free[i], c.need.size)
	}
	return tasks >= count
}

// byCostPerCore returns the victims that free something on the workers, those first that cost least for it.
func (c *clearing[T]) byCostPerCore(victims []Victim[T]) []Victim[T] {
	type ranked struct {
		victim      int
		costPerCore float64
	}
	order := make([]ranked, 0, len(victims))
	for i, v := range victims {
		cores := 0.0
		for _, a := range v.allocations {
			if _, ok := c.index[a.worker]; ok {
				cores += max(a.size.CoreEquivalents(), minCores)
			}
		}
		if cores > 0 {
			order = append(order, ranked{victim: i, costPerCore: v.cost / cores})
		}
	}
	slices.SortFunc(order, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.costPerCore, b.costPerCore), cmp.Compare(a.victim, b.victim))
	})
	sorted := make([]Victim[T], len(order))
	for i, o := range order {
		sorted[i] = victims[o.victim]
	}
	return sorted
}

// selectInOrder adds victims in the given order until count tasks fit, then drops those that turn out not
// to be needed.
func (c *clearing[T]) selectInOrder(order []Victim[T], count int) ([]Victim[T], bool) {
	var chosen []Victim[T]
	for _, v := range order {
		if c.tasks >= count {
			break
		}
		c.apply(v, 1)
		chosen = append(chosen, v)
	}
	if c.tasks < count {
		return nil, false
	}
	return c.dropUnneeded(chosen, count), true
}

// dropUnneeded takes back the victims without which count tasks still fit, most costly first.
func (c *clearing[T]) dropUnneeded(chosen []Victim[T], count int) []Victim[T] {
	slices.SortStableFunc(chosen, func(a, b Victim[T]) int { return cmp.Compare(b.cost, a.cost) })
	kept := chosen[:0]
	for _, v := range chosen {
		c.apply(v, -1)
		if c.tasks >= count {
			continue
		}
		c.apply(v, 1)
		kept = append(kept, v)
	}
	return kept
}

// selectByWorker makes room for one task on the worker where that costs least.
func (c *clearing[T]) selectByWorker(order []Victim[T]) ([]Victim[T], bool) {
	if c.tasks > 0 {
		return nil, true
	}
	byRoom := make([][]int, len(c.rooms)) // victims of each worker, in order
	for i, v := range order {
		for _, a := range v.allocations {
			if room, ok := c.index[a.worker]; ok && (len(byRoom[room]) == 0 || byRoom[room][len(byRoom[room])-1] != i) {
				byRoom[room] = append(byRoom[room], i)
			}
		}
	}
	var best []Victim[T]
	for room := range c.rooms {
		if chosen, ok := c.clearWorker(room, order, byRoom[room]); ok && (best == nil || totalCost(chosen) < totalCost(best)) {
			best = chosen
		}
	}
	if best == nil {
		return nil, false
	}
	for _, v := range best {
		c.apply(v, 1)
	}
	return c.dropUnneeded(best, 1), true // a gang may have freed another worker as well
}

// clearWorker returns a cheap set of the worker's victims that makes a task fit there. Victims are added in order, and
// those that turn out not to be needed are dropped, most costly first.
func (c *clearing[T]) clearWorker(room int, order []Victim[T], victims []int) ([]Victim[T], bool) {
	r := &c.rooms[room]
	free := r.free
	var chosen []Victim[T]
	for _, i := range victims {
		if r.fitting(free, c.need.size) > 0 {
			break
		}
		free = free.Plus(order[i].sizeOn(r.worker), 1)
		chosen = append(chosen, order[i])
	}
	if r.fitting(free, c.need.size) == 0 {
		return nil, false
	}
	slices.SortStableFunc(chosen, func(a, b Victim[T]) int { return cmp.Compare(b.cost, a.cost) })
	return slices.DeleteFunc(chosen, func(v Victim[T]) bool {
		without := free.Plus(v.sizeOn(r.worker), -1)
		if r.fitting(without, c.need.size) == 0 {
			return false
		}
		free = without
		return true
	}), true
}

// sizeOn returns the resources of the victim's tasks on a worker.
func (v Victim[T]) sizeOn(w *Worker) Resources {
	var size Resources
	for _, a := range v.allocations {
		if a.worker == w {
			size = size.Plus(a.size, 1)
		}
	}
	return size
}
