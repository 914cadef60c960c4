package hfplacement

import (
	"cmp"
	"slices"
)

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

// coresFreed returns the cores that preempting the victim frees on the given workers,
// with accelerators converted to cores.
func (v Victim[T]) coresFreed(workers map[*Worker]bool) float64 {
	cores := 0.0
	for _, a := range v.allocations {
		if workers[a.worker] {
			cores += max(a.size.CoreEquivalents(), minCores)
		}
	}
	return cores
}

// SelectVictims selects victims of low total cost whose preemption makes count tasks fit: in one
// rack if compact, otherwise on any racks. It returns false if preempting all victims
// would not be enough.
func SelectVictims[T any](inv *Inventory, n Need, count int, compact bool, victims []Victim[T]) ([]Victim[T], bool) {
	if !compact {
		return selectVictimsOn(n, count, inv.pools[n.pool], victims)
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
		chosen, ok := selectVictimsOn(n, count, []*rack{k}, byRack[k.name])
		if !ok {
			continue
		}
		cost := 0.0
		for _, v := range chosen {
			cost += v.cost
		}
		if !found || cost < bestCost {
			best, bestCost, found = chosen, cost, true
		}
	}
	return best, found
}

// selectVictimsOn adds victims in order of their cost per core freed on the racks until
// the tasks fit, then drops those that turn out not to be needed, most costly first.
func selectVictimsOn[T any](n Need, count int, racks []*rack, victims []Victim[T]) ([]Victim[T], bool) {
	workers := map[*Worker]bool{} // eligible workers of the racks
	free := map[*Worker]Resources{}
	total := 0
	for _, k := range racks {
		for _, w := range k.workers {
			if !n.Eligible(w) {
				continue
			}
			workers[w] = true
			free[w] = w.free
			total += n.MaxTasks(w, w.free)
		}
	}
	type ranked struct {
		victim      Victim[T]
		costPerCore float64
	}
	var order []ranked
	for _, v := range victims {
		if cores := v.coresFreed(workers); cores > 0 {
			order = append(order, ranked{victim: v, costPerCore: v.cost / cores})
		}
	}
	slices.SortStableFunc(order, func(a, b ranked) int { return cmp.Compare(a.costPerCore, b.costPerCore) })
	// apply frees the resources of a victim (sign 1) or takes them back (sign -1).
	apply := func(v Victim[T], sign int64) {
		for _, a := range v.allocations {
			if workers[a.worker] {
				total -= n.MaxTasks(a.worker, free[a.worker])
				free[a.worker] = free[a.worker].Plus(a.size, sign)
				total += n.MaxTasks(a.worker, free[a.worker])
			}
		}
	}
	var chosen []Victim[T]
	for _, o := range order {
		if total >= count {
			break
		}
		apply(o.victim, 1)
		chosen = append(chosen, o.victim)
	}
	if total < count {
		return nil, false
	}
	slices.SortStableFunc(chosen, func(a, b Victim[T]) int { return cmp.Compare(b.cost, a.cost) })
	kept := chosen[:0]
	for _, v := range chosen {
		apply(v, -1)
		if total >= count {
			continue
		}
		apply(v, 1)
		kept = append(kept, v)
	}
	return kept, true
}
