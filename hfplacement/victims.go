package hfplacement

// minCores is the least number of cores that a task counts for when victims are compared,
// so that tasks without CPU or accelerators have a finite cost per core.
const minCores = 0.1

// Victim is a set of running tasks that can only be preempted together.
type Victim[T any] struct {
	value       T
	cost        float64 // core-seconds of work lost if it is preempted
	allocations []Allocation
}

// Allocation is the allocation of one task of a victim on its worker.
type Allocation struct {
	worker *Worker
	size   Resources
}

// NewVictim returns a victim that stands for the caller's value. cost is the work lost if
// it is preempted, in core-seconds.
func NewVictim[T any](value T, cost float64, allocations []Allocation) Victim[T] {
	return Victim[T]{value: value, cost: cost, allocations: allocations}
}

// NewAllocation returns the allocation of one task on a worker.
func NewAllocation(w *Worker, size Resources) Allocation { return Allocation{worker: w, size: size} }

// Value returns the value that was given to NewVictim.
func (v Victim[T]) Value() T { return v.value }

// Cost returns the core-seconds of work lost if the victim is preempted.
func (v Victim[T]) Cost() float64 { return v.cost }

// SelectVictims selects victims of low total cost whose preemption makes count tasks fit: in one
// rack if compact, otherwise on any racks. It returns false if preempting all victims
// would not be enough.
func SelectVictims[T any](inv *Inventory, n Need, count int, compact bool, victims []Victim[T]) ([]Victim[T], bool) {
	if !compact {
		return selectAnywhere(n, count, inv.pools[n.pool], victims)
	}
	byRack, lastIndex := map[string][]Victim[T]{}, map[string]int{}
	for i, v := range victims {
		for _, a := range v.allocations {
			if rack := a.worker.rack; lastIndex[rack] != i+1 { // add each victim once per rack
				lastIndex[rack] = i + 1
				byRack[rack] = append(byRack[rack], v)
			}
		}
	}
	var best []Victim[T]
	bestCost, found := 0.0, false
	for _, k := range inv.pools[n.pool] {
		c := newClearing[T](n, []*rack{k})
		if !c.possible(byRack[k.name], count) {
			continue
		}
		chosen, ok := c.selectInOrder(c.byCostPerCore(byRack[k.name]), count)
		if !ok {
			continue
		}
		if cost := totalCost(chosen); !found || cost < bestCost {
			best, bestCost, found = chosen, cost, true
		}
	}
	return best, found
}

// selectAnywhere selects victims on the racks by their own cost, which finds cheap victims wherever they are. For a
// single task it also selects by worker, so that no gang is stopped for the room of one of its members, and returns
// that selection if it loses less and stops no more runs. Each stop takes orders, a record and another start.
func selectAnywhere[T any](n Need, count int, racks []*rack, victims []Victim[T]) ([]Victim[T], bool) {
	c := newClearing[T](n, racks)
	if !c.possible(victims, count) {
		return nil, false
	}
	order := c.byCostPerCore(victims)
	chosen, ok := c.selectInOrder(order, count)
	if !ok || count > 1 {
		return chosen, ok
	}
	c = newClearing[T](n, racks)
	byWorker, ok := c.selectByWorker(order)
	if ok && totalCost(byWorker) < totalCost(chosen) && totalRuns(byWorker) <= totalRuns(chosen) {
		return byWorker, true
	}
	return chosen, true
}

func totalCost[T any](victims []Victim[T]) float64 {
	cost := 0.0
	for _, v := range victims {
		cost += v.cost
	}
	return cost
}

func totalRuns[T any](victims []Victim[T]) int {
	runs := 0
	for _, v := range victims {
		runs += len(v.allocations)
	}
	return runs
}
