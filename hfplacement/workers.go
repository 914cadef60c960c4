// Package hfplacement tracks the free resources of the workers and places tasks on them:
// whole gangs in one rack, or single tasks where they cause the least fragmentation.
package hfplacement

import (
	"cmp"
	"slices"
	"time"
)

// coresPerAccelerator is the number of cores that an accelerator counts for.
const coresPerAccelerator = 8

// unlimitedTasks is the number of tasks that fit when they need no resource at all.
const unlimitedTasks = int64(1 << 30)

// Resources is an amount of CPU, memory and accelerators.
type Resources struct {
	cpu          int64 // millicores
	memory       int64 // MB
	accelerators int64
}

// NewResources returns the given amounts of CPU in millicores, memory in MB and accelerators.
func NewResources(cpu, memory, accelerators int64) Resources {
	return Resources{cpu: cpu, memory: memory, accelerators: accelerators}
}

// CPU returns the CPU in millicores.
func (s Resources) CPU() int64 { return s.cpu }

// Memory returns the memory in MB.
func (s Resources) Memory() int64 { return s.memory }

// Accelerators returns the number of accelerators.
func (s Resources) Accelerators() int64 { return s.accelerators }

// Plus returns the sum of s and n times o.
func (s Resources) Plus(o Resources, n int64) Resources {
	return Resources{cpu: s.cpu + n*o.cpu, memory: s.memory + n*o.memory, accelerators: s.accelerators + n*o.accelerators}
}

// CountFitting returns how many tasks of size o fit into s. Negative amounts of s count as zero.
func (s Resources) CountFitting(o Resources) int {
	tasks := unlimitedTasks
	for _, d := range [3][2]int64{{s.cpu, o.cpu}, {s.memory, o.memory}, {s.accelerators, o.accelerators}} {
		if d[1] > 0 {
			tasks = min(tasks, max(d[0], 0)/d[1])
		}
	}
	return int(tasks)
}

// Exceeds reports whether s is larger than o in any resource.
func (s Resources) Exceeds(o Resources) bool {
	return s.cpu > o.cpu || s.memory > o.memory || s.accelerators > o.accelerators
}

// DominantShare returns the dominant share of s in whole: the largest fraction that s takes of
// any one resource.
func (s Resources) DominantShare(whole Resources) float64 {
	share := 0.0
	for _, d := range [3][2]int64{{s.cpu, whole.cpu}, {s.memory, whole.memory}, {s.accelerators, whole.accelerators}} {
		if d[0] > 0 && d[1] > 0 {
			share = max(share, float64(d[0])/float64(d[1]))
		}
	}
	return share
}

// LeastShare returns the smallest fraction that s takes of any one resource in whole.
func (s Resources) LeastShare(whole Resources) float64 {
	share := 1.0
	for _, d := range [3][2]int64{{s.cpu, whole.cpu}, {s.memory, whole.memory}, {s.accelerators, whole.accelerators}} {
		if d[1] > 0 {
			share = min(share, float64(max(d[0], 0))/float64(d[1]))
		}
	}
	return share
}

// CoreEquivalents returns the CPU and accelerators of s converted to cores. Memory does not count.
func (s Resources) CoreEquivalents() float64 {
	return float64(s.cpu)/1000 + coresPerAccelerator*float64(s.accelerators)
}

// Worker tracks the resources of one worker.
type Worker struct {
	id, pool, rack string
	labels         []string
	capacity       Resources
	free           Resources // capacity minus all assigned tasks; negative while victims of a preemption still run
	used           Resources // tasks that may be running: from before their start is sent until their end is known
	usable         bool      // accepts new tasks
	isolated       bool      // runs a task that no other task is placed beside
	reservedFor    any       // group that the worker is reserved for, or nil
	reservedUntil  time.Time // when that group is expected to start; shorter tasks may run until then
}

// ID returns the id of the worker.
func (w *Worker) ID() string { return w.id }

// Rack returns the name of the rack that holds the worker.
func (w *Worker) Rack() string { return w.rack }

// Free returns the capacity that is not assigned to a task. It is negative while victims
// of a preemption still run.
func (w *Worker) Free() Resources { return w.free }

// Capacity returns the total resources of the worker.
func (w *Worker) Capacity() Resources { return w.capacity }

// Used returns the resources of the tasks that may be running.
func (w *Worker) Used() Resources { return w.used }

// Usable reports whether the worker accepts new tasks.
func (w *Worker) Usable() bool { return w.usable }

// SetUsable sets whether the worker accepts new tasks.
func (w *Worker) SetUsable(usable bool) { w.usable = usable }

// Isolated reports whether the worker runs a task that no other task is placed beside.
func (w *Worker) Isolated() bool { return w.isolated }

// SetIsolated sets whether the worker runs a task that no other task is placed beside.
func (w *Worker) SetIsolated(isolated bool) { w.isolated = isolated }

// Assign assigns a task of size s to the worker, which reduces its free resources.
func (w *Worker) Assign(s Resources) { w.free = w.free.Plus(s, -1) }

// Unassign gives back the resources of an assigned task of size s.
func (w *Worker) Unassign(s Resources) { w.free = w.free.Plus(s, 1) }

// AddRunning counts a task of size s as possibly running from now on.
func (w *Worker) AddRunning(s Resources) { w.used = w.used.Plus(s, 1) }

// RemoveRunning stops counting a task of size s that is known to have ended.
func (w *Worker) RemoveRunning(s Resources) { w.used = w.used.Plus(s, -1) }

// CanStart reports whether a task of size s fits now beside all tasks that may still be
// running.
func (w *Worker) CanStart(s Resources) bool { return w.capacity.Plus(w.used, -1).CountFitting(s) > 0 }

// Reserve reserves the worker for a group that is expected to start at the given time.
// Tasks of other groups are accepted only if they end before (backfilling). A nil group
// ends the reservation.
func (w *Worker) Reserve(group any, until time.Time) { w.reservedFor, w.reservedUntil = group, until }

// Reserved reports whether the worker is reserved for a group.
func (w *Worker) Reserved() bool { return w.reservedFor != nil }

// ReservedFor returns the group that the worker is reserved for, or nil.
func (w *Worker) ReservedFor() any { return w.reservedFor }

// Reset drops all tasks, for a worker that was restarted.
func (w *Worker) Reset() { w.free, w.used = w.capacity, Resources{} }

// Inventory tracks the resources of all workers, grouped by pool and rack.
type Inventory struct {
	workers map[string]*Worker
	pools   map[string][]*rack // racks of each pool, sorted by name
}

// rack holds the workers of one rack that belong to one pool.
type rack struct {
	name    string
	workers []*Worker // sorted by id
}

// New returns an Inventory without workers.
func New() *Inventory { return &Inventory{workers: map[string]*Worker{}, pools: map[string][]*rack{}} }

// Add adds a worker without tasks and returns it. It accepts no tasks until it is set usable.
func (inv *Inventory) Add(id, pool, rackName string, labels []string, capacity Resources) *Worker {
	w := &Worker{id: id, pool: pool, rack: rackName, labels: labels, capacity: capacity, free: capacity}
	inv.workers[id] = w
	for _, k := range inv.pools[pool] {
		if k.name == rackName {
			k.workers = append(k.workers, w)
			slices.SortFunc(k.workers, func(a, b *Worker) int { return cmp.Compare(a.id, b.id) })
			return w
		}
	}
	inv.pools[pool] = append(inv.pools[pool], &rack{name: rackName, workers: []*Worker{w}})
	slices.SortFunc(inv.pools[pool], func(a, b *rack) int { return cmp.Compare(a.name, b.name) })
	return w
}

// Remove deletes a worker. Unknown ids are ignored.
func (inv *Inventory) Remove(id string) {
	w := inv.workers[id]
	if w == nil {
		return
	}
	delete(inv.workers, id)
	for _, k := range inv.pools[w.pool] {
		k.workers = slices.DeleteFunc(k.workers, func(o *Worker) bool { return o == w })
	}
	inv.pools[w.pool] = slices.DeleteFunc(inv.pools[w.pool], func(k *rack) bool { return len(k.workers) == 0 })
}

// Worker returns the worker with the given id, or nil.
func (inv *Inventory) Worker(id string) *Worker { return inv.workers[id] }

// Total returns the summed capacity and free resources of the usable workers of a pool.
func (inv *Inventory) Total(pool string) (capacity, free Resources) {
	for _, k := range inv.pools[pool] {
		for _, w := range k.workers {
			if w.usable {
				capacity = capacity.Plus(w.capacity, 1)
				free = free.Plus(w.free, 1)
			}
		}
	}
	return capacity, free
}

// EachWorker calls f for every worker of a pool, ordered by rack and id.
func (inv *Inventory) EachWorker(pool string, f func(w *Worker)) {
	for _, k := range inv.pools[pool] {
		for _, w := range k.workers {
			f(w)
		}
	}
}

// Racks returns the sorted names of the racks of a pool.
func (inv *Inventory) Racks(pool string) []string {
	names := make([]string, 0, len(inv.pools[pool]))
	for _, k := range inv.pools[pool] {
		names = append(names, k.name)
	}
	return names
}

// EachInRack calls f for every worker of a pool in one rack, ordered by id.
func (inv *Inventory) EachInRack(pool, name string, f func(w *Worker)) {
	for _, k := range inv.pools[pool] {
		if k.name != name {
			continue
		}
		for _, w := range k.workers {
			f(w)
		}
	}
}
