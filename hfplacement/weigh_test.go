package hfplacement

import (
	"flag"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// weighSeeds is the number of seeds of each load on which measures of fragmentation are compared. The figures
// in docs/design/packing.md are of 32.
var weighSeeds = flag.Int("weigh", 1, "number of seeds on which measures of fragmentation are compared")

// measure is a measure of fragmentation. Workers with the least value are used first, then by the order of the
// placement itself; likewise racks.
type measure struct {
	name   string
	worker func(demand []asked, n Need, c candidate, tasks int) float64
	rack   func(demand []asked, k *rack, n Need, placements []Placement) float64 // nil for the order of the placement
}

// asked is a size that was lately asked for, and how often.
type asked struct {
	size  Resources
	tasks int
}

// maxAsked bounds the sizes that are kept.
const maxAsked = 24

// record adds tasks to the sizes that were lately asked for. The one that was asked for least makes room.
func record(demand []asked, size Resources, tasks int) []asked {
	if i := slices.IndexFunc(demand, func(a asked) bool { return a.size == size }); i >= 0 {
		demand[i].tasks += tasks
		return demand
	}
	if len(demand) == maxAsked {
		least := 0
		for i := range demand {
			if demand[i].tasks < demand[least].tasks {
				least = i
			}
		}
		demand = slices.Delete(demand, least, least+1)
	}
	return append(demand, asked{size: size, tasks: tasks})
}

// roomLost returns how much room for the demand a worker loses with a number of tasks: the fragmentation gradient.
func roomLost(demand []asked, w *Worker, size Resources, tasks int) float64 {
	after, lost := w.free.Plus(size, -int64(tasks)), 0.0
	for _, a := range demand {
		lost += float64(a.tasks) * a.size.DominantShare(w.capacity) * float64(w.free.CountFitting(a.size)-after.CountFitting(a.size))
	}
	return lost
}

// shares returns the shares of a worker's resources that an amount takes.
func shares(s, capacity Resources) [3]float64 {
	return [3]float64{float64(s.cpu) / float64(capacity.cpu), float64(s.memory) / float64(capacity.memory), float64(s.accelerators) / float64(capacity.accelerators)}
}

func left(n Need, c candidate, tasks int) Resources { return c.worker.free.Plus(n.size, -int64(tasks)) }

var measures = []measure{
	{"gradient", func(demand []asked, n Need, c candidate, tasks int) float64 {
		return roomLost(demand, c.worker, n.size, tasks) / float64(tasks)
	}, nil},
	{"gradient, racks too", func(demand []asked, n Need, c candidate, tasks int) float64 {
		return roomLost(demand, c.worker, n.size, tasks) / float64(tasks)
	}, func(demand []asked, _ *rack, n Need, placements []Placement) float64 {
		lost, tasks := 0.0, 0
		for _, p := range placements {
			lost += roomLost(demand, p.worker, n.size, p.tasks)
			tasks += p.tasks
		}
		return lost / float64(tasks)
	}},
	{"scarcity", func(demand []asked, n Need, c candidate, tasks int) float64 { // free share, weighed by what is asked for
		var sum Resources
		for _, a := range demand {
			sum = sum.Plus(a.size, int64(a.tasks))
		}
		free, scarce := shares(left(n, c, tasks), c.worker.capacity), shares(sum, c.worker.capacity)
		return max(free[0]*scarce[0], free[1]*scarce[1], free[2]*scarce[2])
	}, nil},
	{"best fit", func(_ []asked, n Need, c candidate, tasks int) float64 {
		return left(n, c, tasks).DominantShare(c.worker.capacity)
	}, nil},
	{"balance", func(_ []asked, n Need, c candidate, tasks int) float64 { // difference between the free shares
		before, after := shares(c.worker.free, c.worker.capacity), shares(left(n, c, tasks), c.worker.capacity)
		return (slices.Max(after[:]) - slices.Min(after[:]) - slices.Max(before[:]) + slices.Min(before[:])) / float64(tasks)
	}, nil},
	{"alignment", func(_ []asked, n Need, c candidate, _ int) float64 { // angle between the free resources and the task
		free, size := shares(c.worker.free, c.worker.capacity), shares(n.size, c.worker.capacity)
		dot, f, s := 0.0, 0.0, 0.0
		for i := range free {
			dot, f, s = dot+free[i]*size[i], f+free[i]*free[i], s+size[i]*size[i]
		}
		return -dot / math.Sqrt(f*s)
	}, nil},
}

// place places like PlaceInOneRack and PlaceAcrossRacks, but by the measure.
func (m measure) place(inv *Inventory, demand []asked, n Need, count int, compact bool) ([]Placement, int) {
	type option struct {
		placements []Placement
		value      float64
		leftover   int64
	}
	var options []option
	for _, k := range inv.pools[n.pool] {
		list, total := n.candidates(k, freeOf)
		if total == 0 || (compact && total < count) {
			continue
		}
		values := map[*Worker]float64{}
		for _, c := range list {
			values[c.worker] = m.worker(demand, n, c, min(c.maxTasks, count))
		}
		slices.SortStableFunc(list, func(a, b candidate) int {
			return slices.Compare([]float64{values[a.worker]}, []float64{values[b.worker]})
		})
		o := option{placements: distribute(list, min(count, total)), leftover: k.freeAfter(n, 0)}
		if m.rack != nil {
			o.value = m.rack(demand, k, n, o.placements)
		}
		options = append(options, o)
	}
	slices.SortStableFunc(options, func(a, b option) int {
		return slices.Compare([]float64{a.value, float64(a.leftover)}, []float64{b.value, float64(b.leftover)})
	})
	if compact && len(options) > 1 {
		options = options[:1]
	}
	var placements []Placement
	placed := 0
	for _, o := range options {
		for _, p := range o.placements {
			if p.tasks = min(p.tasks, count-placed); p.tasks > 0 {
				placed += p.tasks
				placements = append(placements, p)
			}
		}
	}
	return placements, placed
}

// placeNow places like the scheduler.
func placeNow(inv *Inventory, _ []asked, n Need, count int, compact bool) ([]Placement, int) {
	if !compact {
		return inv.PlaceAcrossRacks(n, count)
	}
	if placements, ok := inv.PlaceInOneRack(n, count); ok {
		return placements, count
	}
	return nil, 0
}

// waiting is a group that waits in a played load.
type waiting struct {
	need          Need
	kind          kind
	left          int // tasks that are not placed yet
	gang, compact bool
	at            float64
}

// played is what came of a load.
type played struct {
	urgent, atOnce int     // urgent groups, and those that were placed when they arrived, with nothing preempted
	groups         int     // placed whole
	work           float64 // of the tasks placed: shares of a worker times seconds
}

// seconds that a load lasts, and its steps
const playedSeconds, playedStep = 90.0, 0.1

// spreadFactor is how many times as long gangs that ask for one rack take on several.
const spreadFactor = 3

// play plays a load that asks for the given share of a deployment: urgent groups first, then in order of arrival.
func (d deployment) play(t *testing.T, seed uint64, load float64, place func(*Inventory, []asked, Need, int, bool) ([]Placement, int)) played {
	random := rand.New(rand.NewPCG(seed, 1))
	inv := d.inventory()
	perGroup := 0.0
	for _, k := range d.kinds {
		for _, a := range k.accelerators {
			share := NewResources(k.cpu, k.memory, a).DominantShare(d.capacity) / float64(len(k.accelerators))
			perGroup += k.share * share * float64(k.tasks) * k.seconds
		}
	}
	rate := load * float64(d.racks*d.perRack) / perGroup
	type release struct {
		at         float64
		size       Resources
		placements []Placement
	}
	var queue []*waiting
	var releases []release
	var demand []asked
	var p played
	for now := 0.0; now < playedSeconds; now += playedStep {
		releases = slices.DeleteFunc(releases, func(r release) bool {
			for _, pl := range r.placements {
				if r.at <= now {
					pl.worker.free = pl.worker.free.Plus(r.size, int64(pl.tasks))
				}
			}
			return r.at <= now
		})
		for _, k := range d.kinds {
			for expected := k.share * rate * playedStep; expected > 0; expected-- {
				if random.Float64() >= expected {
					continue
				}
				n, count, gang, compact := k.draw(random)
				g := &waiting{need: n, kind: k, left: count, gang: gang, compact: compact, at: now}
				demand = record(demand, n.size, count)
				if k.urgent {
					p.urgent++
				}
				queue = append(queue, g)
			}
		}
		slices.SortStableFunc(queue, func(a, b *waiting) int {
			switch {
			case a.kind.urgent == b.kind.urgent:
				return 0
			case a.kind.urgent:
				return -1
			}
			return 1
		})
		queue = slices.DeleteFunc(queue, func(g *waiting) bool {
			placements, placed, seconds := []Placement(nil), 0, g.kind.seconds
			if g.compact {
				placements, placed = place(inv, demand, g.need, g.left, true)
			}
			if placed == 0 {
				placements, placed = place(inv, demand, g.need, g.left, false)
				if g.compact {
					seconds *= spreadFactor
				}
			}
			if placed == 0 || (g.gang && placed < g.left) {
				return false
			}
			sum := 0
			for _, pl := range placements {
				pl.worker.free = pl.worker.free.Plus(g.need.size, -int64(pl.tasks))
				sum += pl.tasks
				require.False(t, Resources{}.Exceeds(pl.worker.free), "more is placed on a worker than it has")
			}
			require.Equal(t, placed, sum)
			g.left -= placed
			p.work += float64(placed) * g.need.size.DominantShare(d.capacity) * g.kind.seconds
			releases = append(releases, release{at: now + seconds, size: g.need.size, placements: placements})
			if g.left > 0 {
				return false
			}
			p.groups++
			if g.kind.urgent && now-g.at < playedStep/2 {
				p.atOnce++
			}
			return true
		})
	}
	return p
}

// Weighs measures of fragmentation against the order of the placement, on loads of several shapes: urgent groups
// that find room at once, groups and work placed. No placement may exceed a worker's resources, whatever the order,
// and each load repeats.
func TestMeasuresOfFragmentation(t *testing.T) {
	for _, d := range deployments {
		for _, load := range []float64{0.8, 0.95} {
			var before []played
			for seed := range uint64(*weighSeeds) {
				before = append(before, d.play(t, seed, load, placeNow))
			}
			require.Equal(t, before[0], d.play(t, 0, load, placeNow))
			t.Logf("%s, load %.2f: %.3f of the urgent groups placed at once, %d groups placed", d.name, load, float64(before[0].atOnce)/float64(before[0].urgent), before[0].groups)
			for _, m := range measures {
				var change [3]struct{ sum, squares float64 }
				for seed, b := range before {
					p := d.play(t, uint64(seed), load, m.place)
					for i, c := range [3]float64{
						float64(p.atOnce)/float64(b.atOnce) - 1, float64(p.groups)/float64(b.groups) - 1, p.work/b.work - 1,
					} {
						change[i].sum += c
						change[i].squares += c * c
					}
				}
				count := float64(*weighSeeds)
				var mean, deviation [3]float64 // in percent; the deviation is that of the mean
				for i, c := range change {
					mean[i] = 100 * c.sum / count
					deviation[i] = 100 * math.Sqrt(max(0, c.squares/count-c.sum*c.sum/count/count)/max(count-1, 1))
				}
				t.Logf("    %-20s at once %+5.1f%% (%.1f), groups %+4.1f%% (%.1f), work %+4.1f%% (%.1f)", m.name, mean[0], deviation[0], mean[1], deviation[1], mean[2], deviation[2])
			}
		}
	}
}

// On pools filled at random, placements repeat, respect capacities, and place as many tasks as fit.
func TestPlacementPlacesAsManyAsFit(t *testing.T) {
	for _, d := range deployments {
		for seed := range uint64(20) {
			random := rand.New(rand.NewPCG(seed, 2))
			inv, victims := d.fill(random)
			for _, v := range victims {
				for _, a := range v.allocations {
					if random.Float64() < 0.3 {
						a.worker.Unassign(a.size)
					}
				}
			}
			n, count, _, _ := d.kinds[random.IntN(len(d.kinds))].draw(random)
			fit, inBestRack := 0, 0
			for _, k := range inv.pools["pool"] {
				inRack := 0
				for _, w := range k.workers {
					inRack += w.free.CountFitting(n.size)
				}
				fit, inBestRack = fit+inRack, max(inBestRack, inRack)
			}
			placements, placed := inv.PlaceAcrossRacks(n, count)
			require.Equal(t, min(count, fit), placed)
			compact, ok := inv.PlaceInOneRack(n, count)
			require.Equal(t, inBestRack >= count, ok)
			again, _ := inv.PlaceAcrossRacks(n, count)
			require.Equal(t, placements, again)
			for _, list := range [][]Placement{placements, compact} {
				for _, p := range list {
					require.LessOrEqual(t, p.tasks, p.worker.free.CountFitting(n.size))
				}
			}
		}
	}
}
