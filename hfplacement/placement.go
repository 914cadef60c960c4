package hfplacement

import (
	"cmp"
	"slices"
	"time"
)

// Need holds the placement requirements of a group of identical tasks.
type Need struct {
	pool           string
	size           Resources
	label          string               // label that the worker must have, or ""
	preferredRack  string               // rack that is tried first, or ""
	maxPerWorker   int                  // maximum tasks of the group on one worker, 0 for no limit
	existingTasks  func(id string) int  // tasks of the group already on a worker, may be nil
	excluded       func(id string) bool // reports workers that must not be used, may be nil
	group          any                  // group of the tasks, matched against worker reservations
	expectedEnd    time.Time            // when the tasks end if they start now; zero if unknown
	besideIsolated bool                 // workers that are isolated may be used
	outranks       func(group any) bool // reports groups whose reservations do not count, may be nil
}

// NewNeed returns the requirements of tasks of the given size in a pool.
//
//	n := hfplacement.NewNeed("logs", hfplacement.NewResources(52000, 75000, 4)).MaxPerWorker(2, nil)
func NewNeed(pool string, size Resources) Need { return Need{pool: pool, size: size} }

// WithLabel requires workers with the given label.
func (n Need) WithLabel(label string) Need { n.label = label; return n }

// PreferRack sets the rack that is tried first.
func (n Need) PreferRack(rack string) Need { n.preferredRack = rack; return n }

// MaxPerWorker limits the tasks of the group on one worker. existing returns the number of
// tasks of the group that a worker already has; it may be nil.
func (n Need) MaxPerWorker(limit int, existing func(id string) int) Need {
	n.maxPerWorker, n.existingTasks = limit, existing
	return n
}

// Excluding excludes the workers for which excluded returns true.
func (n Need) Excluding(excluded func(id string) bool) Need { n.excluded = excluded; return n }

// AlsoExcluding excludes further workers.
func (n Need) AlsoExcluding(excluded func(id string) bool) Need {
	before := n.excluded
	n.excluded = func(id string) bool { return excluded(id) || (before != nil && before(id)) }
	return n
}

// BesideIsolated allows workers that run a task that no other task is placed beside.
func (n Need) BesideIsolated() Need { n.besideIsolated = true; return n }

// Outranking ignores the reservations for the groups for which outranks returns true.
func (n Need) Outranking(outranks func(group any) bool) Need { n.outranks = outranks; return n }

// ForGroup sets the group of the tasks and when they are expected to end if they start now.
// Reserved workers are used if they are reserved for the group, or if the tasks end
// before the reservation starts.
func (n Need) ForGroup(group any, expectedEnd time.Time) Need {
	n.group, n.expectedEnd = group, expectedEnd
	return n
}

// Size returns the size of one task.
func (n Need) Size() Resources { return n.size }

// Placement is a number of tasks placed on one worker.
type Placement struct {
	worker *Worker
	tasks  int
}

// Worker returns the worker that the tasks are placed on.
func (p Placement) Worker() *Worker { return p.worker }

// Tasks returns the number of placed tasks.
func (p Placement) Tasks() int { return p.tasks }

// MaxTasks returns how many tasks can be placed on the worker if it has the given free resources.
func (n Need) MaxTasks(w *Worker, free Resources) int {
	if !n.Eligible(w) {
		return 0
	}
	return min(free.CountFitting(n.size), n.limitOn(w))
}

// limitOn returns how many tasks may be placed on the worker, whatever its free resources.
func (n Need) limitOn(w *Worker) int {
	if n.maxPerWorker <= 0 {
		return int(unlimitedTasks)
	}
	remaining := n.maxPerWorker
	if n.existingTasks != nil {
		remaining -= n.existingTasks(w.id)
	}
	return max(remaining, 0)
}

// Eligible reports whether the worker may be used, regardless of its free resources.
func (n Need) Eligible(w *Worker) bool {
	if !w.usable || (w.isolated && !n.besideIsolated) || (n.excluded != nil && n.excluded(w.id)) {
		return false
	}
	if n.Barred(w) {
		return false
	}
	return n.label == "" || slices.Contains(w.labels, n.label)
}

// Barred reports whether the worker may not be used as it is reserved for another group.
func (n Need) Barred(w *Worker) bool {
	return w.reservedFor != nil && w.reservedFor != n.group && (n.expectedEnd.IsZero() || n.expectedEnd.After(w.reservedUntil)) &&
		(n.outranks == nil || !n.outranks(w.reservedFor))
}

// candidate is a worker on which at least one task fits.
type candidate struct {
	worker   *Worker
	maxTasks int
	leftover int64 // accelerators still free after placing maxTasks
}

// candidates returns the workers of a rack on which at least one task fits, and the
// number of tasks that fit on all of them. Workers with the fewest free accelerators come
// first, so that empty workers stay empty.
func (n Need) candidates(k *rack, free func(*Worker) Resources) ([]candidate, int) {
	var list []candidate
	total := 0
	for _, w := range k.workers {
		f := free(w)
		tasks := n.MaxTasks(w, f)
		if tasks == 0 {
			continue
		}
		list = append(list, candidate{worker: w, maxTasks: tasks, leftover: f.accelerators - int64(tasks)*n.size.accelerators})
		total += tasks
	}
	slices.SortStableFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.worker.free.accelerators, b.worker.free.accelerators), cmp.Compare(a.leftover, b.leftover))
	})
	return list, total
}

func freeOf(w *Worker) Resources { return w.free }

// distribute places up to count tasks on the candidates, filling each one in order.
func distribute(list []candidate, count int) []Placement {
	var placements []Placement
	for _, c := range list {
		if count == 0 {
			break
		}
		n := min(count, c.maxTasks)
		placements = append(placements, Placement{worker: c.worker, tasks: n})
		count -= n
	}
	return placements
}

// PlaceInOneRack places count tasks in one rack, or none at all. It chooses the preferred rack if
// the tasks fit there, otherwise the rack with the fewest free accelerators left over, so
// that other racks keep space for larger gangs.
func (inv *Inventory) PlaceInOneRack(n Need, count int) ([]Placement, bool) {
	var best []candidate
	bestLeftover, bestPreferred := int64(-1), false
	for _, k := range inv.pools[n.pool] {
		list, total := n.candidates(k, freeOf)
		if total < count {
			continue
		}
		preferred := n.preferredRack != "" && k.name == n.preferredRack
		leftover := k.freeAfter(n, count)
		if bestLeftover < 0 || (preferred && !bestPreferred) || (preferred == bestPreferred && leftover < bestLeftover) {
			best, bestLeftover, bestPreferred = list, leftover, preferred
		}
	}
	if bestLeftover < 0 {
		return nil, false
	}
	return distribute(best, count), true
}

// freeAfter returns the accelerators of the rack's usable workers that stay free after
// placing count tasks.
func (k *rack) freeAfter(n Need, count int) int64 {
	free := int64(0)
	for _, w := range k.workers {
		if w.usable {
			free += max(w.free.accelerators, 0)
		}
	}
	return max(0, free-int64(count)*n.size.accelerators)
}

// PlaceAcrossRacks places up to count tasks on any number of racks and returns the number placed.
// The preferred rack comes first, then the racks with the fewest free accelerators.
func (inv *Inventory) PlaceAcrossRacks(n Need, count int) ([]Placement, int) {
	type rackOption struct {
		candidates []candidate
		total      int
		free       int64 // accelerators
		preferred  bool
	}
	var options []rackOption
	for _, k := range inv.pools[n.pool] {
		list, total := n.candidates(k, freeOf)
		if total > 0 {
			options = append(options, rackOption{candidates: list, total: total, free: k.freeAfter(n, 0), preferred: n.preferredRack != "" && k.name == n.preferredRack})
		}
	}
	slices.SortStableFunc(options, func(a, b rackOption) int {
		if a.preferred != b.preferred {
			if a.preferred {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.free, b.free)
	})
	var placements []Placement
	placed := 0
	for _, o := range options {
		if placed == count {
			break
		}
		n := min(o.total, count-placed)
		placements = append(placements, distribute(o.candidates, n)...)
		placed += n
	}
	return placements, placed
}

// FitsWhenEmpty reports whether count tasks would fit on the eligible workers if these were
// empty: compact in a single rack, spread across all racks.
func (inv *Inventory) FitsWhenEmpty(n Need, count int) (compact, spread bool) {
	sum := 0
	for _, k := range inv.pools[n.pool] {
		total := 0
		for _, w := range k.workers {
			total += n.MaxTasks(w, w.capacity)
		}
		compact = compact || total >= count
		sum += total
	}
	return compact, sum >= count
}
