package hfplacement

import (
	"fmt"
	"math/rand/v2"
)

// deployment is a synthetic deployment, and the tasks that are asked for there.
type deployment struct {
	name           string
	racks, perRack int
	capacity       Resources
	kinds          []kind
}

// kind is a kind of request of a deployment. The kinds are large, urgent and small ones.
type kind struct {
	cpu, memory  int64
	accelerators []int64 // each equally likely
	tasks        int     // on average
	seconds      float64
	gangs        float64 // share of the groups that are gangs
}

// What tasks ask for: mostly powers of two, any number, or few.
var (
	powers  = []int64{8, 8, 8, 8, 4, 4, 2, 2, 1, 1}
	uniform = []int64{1, 2, 3, 4, 5, 6, 7, 8}
	few     = []int64{1, 1, 1, 2}
	one     = []int64{1}
)

var deployments = []deployment{
	{"32-cores", 20, 8, NewResources(32000, 64000, 8), []kind{
		{13000, 26000, powers, 13, 8.5, 0.5},
		{3700, 9800, powers, 5, 2.5, 0.5},
		{2800, 5700, one, 39, 9.5, 0},
	}},
	{"32-cores-uniform", 20, 8, NewResources(32000, 64000, 8), []kind{
		{13000, 26000, uniform, 13, 8.5, 0.5},
		{3700, 9800, uniform, 5, 2.5, 0.5},
		{2800, 5700, one, 39, 9.5, 0},
	}},
	{"32-cores-few", 20, 8, NewResources(32000, 64000, 8), []kind{
		{13000, 26000, few, 13, 8.5, 0.5},
		{3700, 9800, few, 5, 2.5, 0.5},
		{2800, 5700, one, 39, 9.5, 0},
	}},
	{"128-cores", 8, 20, NewResources(128000, 512000, 8), []kind{
		{52000, 150000, powers, 13, 9.4, 0.5},
		{15000, 79000, powers, 5, 2.1, 0.5},
		{11000, 59000, one, 39, 6.5, 0},
	}},
	{"96-cores", 20, 8, NewResources(96000, 512000, 8), []kind{
		{8000, 32000, powers, 12, 9, 0.6},
		{4000, 16000, powers, 4, 2.5, 0.6},
		{4000, 16000, one, 32, 8, 0},
	}},
	{"64-cores-uniform", 20, 8, NewResources(64000, 256000, 8), []kind{
		{7000, 24000, uniform, 16, 9, 0.6},
		{6000, 20000, uniform, 4, 2.5, 0.6},
		{5000, 16000, one, 30, 8, 0},
	}},
}

// inventory returns the empty workers of a deployment.
func (d deployment) inventory() *Inventory {
	inv := New()
	for k := range d.racks {
		for i := range d.perRack {
			inv.Add(fmt.Sprintf("w%02d-%02d", k, i), "pool", fmt.Sprintf("r%02d", k), nil, d.capacity).SetUsable(true)
		}
	}
	return inv
}

// draw returns the tasks of a random group of a kind.
func (k kind) draw(random *rand.Rand) (n Need, count int, gang bool) {
	count = max(1, int(float64(k.tasks)*(0.5+random.Float64())))
	n = NewNeed("pool", NewResources(k.cpu, k.memory, k.accelerators[random.IntN(len(k.accelerators))]))
	return n, count, random.Float64() < k.gangs
}

// restartSeconds is the time that stopping a task costs in any case.
const restartSeconds = 0.5

// fill fills a deployment with groups that are not urgent, until one fails to be placed whole. It returns
// what may be stopped: the work that each task has done is lost.
func (d deployment) fill(random *rand.Rand) (*Inventory, []Victim[int]) {
	inv := d.inventory()
	var victims []Victim[int]
	for {
		k := d.kinds[2*random.IntN(2)] // large or small
		n, count, gang := k.draw(random)
		placements, placed := inv.PlaceAcrossRacks(n, count)
		if gang && placed < count {
			return inv, victims
		}
		age := random.Float64() * k.seconds
		cost := n.size.CoreEquivalents() * (restartSeconds + age)
		var allocations []Allocation
		for _, p := range placements {
			for range p.tasks {
				p.worker.Assign(n.size)
				allocations = append(allocations, NewAllocation(p.worker, n.size))
			}
		}
		if gang {
			victims = append(victims, NewVictim(len(victims), cost*float64(count), allocations))
			continue
		}
		for _, a := range allocations {
			victims = append(victims, NewVictim(len(victims), cost, []Allocation{a}))
		}
		if placed < count {
			return inv, victims
		}
	}
}
