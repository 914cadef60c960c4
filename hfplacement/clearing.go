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

// step is a set of victims that makes at least one more task fit on one worker.
type step struct {
	victims []int // indexes, in order
	cost    float64
	gain    int // tasks that fit then and did not before
}

// selectByWorker makes room worker by worker, on the worker first where one more task costs least.
func (c *clearing[T]) selectByWorker(order []Victim[T], count int) ([]Victim[T], bool) {
	byRoom := make([][]int, len(c.rooms)) // victims of each worker, in order
	for i, v := range order {
		for _, a := range v.allocations {
			if room, ok := c.index[a.worker]; ok && (len(byRoom[room]) == 0 || byRoom[room][len(byRoom[room])-1] != i) {
				byRoom[room] = append(byRoom[room], i)
			}
		}
	}
	taken := make([]bool, len(order))
	steps := make([]step, len(c.rooms))
	for i := range steps {
		steps[i] = c.nextStep(i, order, byRoom[i], taken)
	}
	var chosen []Victim[T]
	for c.tasks < count {
		best := -1
		for i, s := range steps {
			if s.gain > 0 && (best < 0 || s.cost*float64(steps[best].gain) < steps[best].cost*float64(s.gain)) {
				best = i
			}
		}
		if best < 0 {
			return nil, false
		}
		changed := []int{best}
		for _, i := range steps[best].victims {
			taken[i] = true
			c.apply(order[i], 1)
			chosen = append(chosen, order[i])
			for _, a := range order[i].allocations {
				if room, ok := c.index[a.worker]; ok {
					changed = append(changed, room)
				}
			}
		}
		for _, room := range changed {
			steps[room] = c.nextStep(room, order, byRoom[room], taken)
		}
	}
	return c.dropUnneeded(chosen, count), true
}

// nextStep returns a cheap set of the worker's victims that makes one more task fit there. Its gain is 0 if
// there is none. Victims are added in order, and those that turn out not to be needed are dropped.
func (c *clearing[T]) nextStep(room int, order []Victim[T], victims []int, taken []bool) step {
	r := &c.rooms[room]
	free, tasks := r.free, r.tasks
	var s step
	for _, i := range victims {
		if tasks > r.tasks {
			break
		}
		if taken[i] {
			continue
		}
		free = free.Plus(order[i].sizeOn(r.worker), 1)
		tasks = r.fitting(free, c.need.size)
		s.victims = append(s.victims, i)
	}
	if tasks == r.tasks {
		return step{}
	}
	byCost := slices.Clone(s.victims)
	slices.SortStableFunc(byCost, func(a, b int) int { return cmp.Compare(order[b].cost, order[a].cost) })
	for _, i := range byCost {
		without := free.Plus(order[i].sizeOn(r.worker), -1)
		if fitting := r.fitting(without, c.need.size); fitting > r.tasks {
			free, tasks = without, fitting
			s.victims = slices.DeleteFunc(s.victims, func(o int) bool { return o == i })
		}
	}
	for _, i := range s.victims {
		s.cost += order[i].cost
	}
	s.gain = tasks - r.tasks
	return s
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
