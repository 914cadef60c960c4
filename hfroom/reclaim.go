package hfroom

import (
	"cmp"
	"slices"
)

// Victim is a group of running tasks that can only be stopped as a whole.
type Victim[T any] struct {
	of    T
	cost  float64 // core-seconds that are lost
	parts []Part
}

// Part is the room that a victim gives back on one worker.
type Part struct {
	worker *Worker
	size   Size
}

// NewVictim returns a victim with what stopping it loses, in core-seconds.
func NewVictim[T any](of T, cost float64, parts []Part) Victim[T] {
	return Victim[T]{of: of, cost: cost, parts: parts}
}

// NewPart returns the room of one task on a worker.
func NewPart(w *Worker, size Size) Part { return Part{worker: w, size: size} }

// Of returns what the victim stands for.
func (v Victim[T]) Of() T { return v.of }

// Cost returns the core-seconds that stopping it loses.
func (v Victim[T]) Cost() float64 { return v.cost }

// accelerators returns what the victim gives back on the given workers.
func (v Victim[T]) accelerators(in map[*Worker]bool) float64 {
	n := 0.0
	for _, p := range v.parts {
		if in[p.worker] {
			n += max(p.size.Cores(), 0.1)
		}
	}
	return n
}

// Reclaim chooses the victims whose loss is least so that count tasks fit: all in one
// rack if compact, else anywhere. It returns false when no choice makes room.
func Reclaim[T any](r *Room, n Need, count int, compact bool, victims []Victim[T]) ([]Victim[T], bool) {
	if !compact {
		return reclaimOn(n, count, r.pools[n.pool], victims)
	}
	byRack, last := map[string][]Victim[T]{}, map[string]int{}
	for i, v := range victims {
		for _, p := range v.parts {
			if rack := p.worker.rack; last[rack] != i+1 {
				last[rack] = i + 1
				byRack[rack] = append(byRack[rack], v)
			}
		}
	}
	var best []Victim[T]
	bestCost, found := 0.0, false
	for _, k := range r.pools[n.pool] {
		chosen, ok := reclaimOn(n, count, []*rack{k}, byRack[k.name])
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

// reclaimOn takes victims in the order of their loss per room gained on the racks
// until the tasks fit, and then gives back those that were not needed.
func reclaimOn[T any](n Need, count int, racks []*rack, victims []Victim[T]) ([]Victim[T], bool) {
	in := map[*Worker]bool{}
	free := map[*Worker]Size{}
	total := 0
	for _, k := range racks {
		for _, w := range k.workers {
			if !n.allows(w) {
				continue
			}
			in[w] = true
			free[w] = w.free
			total += n.fits(w, w.free)
		}
	}
	type weighed struct {
		victim Victim[T]
		rate   float64
	}
	var order []weighed
	for _, v := range victims {
		if gain := v.accelerators(in); gain > 0 {
			order = append(order, weighed{victim: v, rate: v.cost / gain})
		}
	}
	slices.SortStableFunc(order, func(a, b weighed) int { return cmp.Compare(a.rate, b.rate) })
	change := func(v Victim[T], sign int64) {
		for _, p := range v.parts {
			if in[p.worker] {
				total -= n.fits(p.worker, free[p.worker])
				free[p.worker] = free[p.worker].Plus(p.size, sign)
				total += n.fits(p.worker, free[p.worker])
			}
		}
	}
	var chosen []Victim[T]
	for _, o := range order {
		if total >= count {
			break
		}
		change(o.victim, 1)
		chosen = append(chosen, o.victim)
	}
	if total < count {
		return nil, false
	}
	slices.SortStableFunc(chosen, func(a, b Victim[T]) int { return cmp.Compare(b.cost, a.cost) })
	kept := chosen[:0]
	for _, v := range chosen {
		change(v, -1)
		if total >= count {
			continue
		}
		change(v, 1)
		kept = append(kept, v)
	}
	return kept, true
}
