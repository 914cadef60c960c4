package hfplacement

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// cheapestInOrder selects victims by their own cost alone.
func cheapestInOrder(inv *Inventory, n Need, count int, victims []Victim[int]) ([]Victim[int], bool) {
	c := newClearing[int](n, inv.pools[n.pool])
	return c.selectInOrder(c.byCostPerCore(victims), count)
}

// Guards against a gang that is stopped, with all that it has done on other workers, for an urgent task
// which needs the room of a single small one.
func TestUrgentTaskStopsASmallTaskRatherThanAGang(t *testing.T) {
	inv := New()
	large, small := NewResources(13000, 26000, 2), NewResources(2800, 5700, 1)
	var gang []Allocation
	for i := range 4 {
		w := inv.Add(fmt.Sprint("w", i), "pool", "r", nil, NewResources(32000, 64000, 4))
		w.SetUsable(true)
		for range 2 {
			w.Assign(large)
			gang = append(gang, NewAllocation(w, large))
		}
	}
	w := inv.Add("w4", "pool", "r", nil, NewResources(32000, 64000, 1))
	w.SetUsable(true)
	w.Assign(small)
	victims := []Victim[string]{
		NewVictim("gang", 8*29.0, gang),                                  // one second of 29 cores for each of eight tasks
		NewVictim("task", 2*10.8, []Allocation{NewAllocation(w, small)}), // two seconds of 10.8 cores
	}
	chosen, ok := SelectVictims(inv, NewNeed("pool", NewResources(3700, 9800, 1)), 1, false, victims)
	require.True(t, ok)
	require.Len(t, chosen, 1)
	require.Equal(t, "task", chosen[0].Value())
}

// Guards against work that is lost for an urgent task of a whole worker: by cost alone, tasks are stopped on
// many workers, and the worker that becomes empty first is not the cheapest.
func TestWholeWorkerIsClearedWhereLeastIsLost(t *testing.T) {
	inv := New()
	small := NewResources(2800, 5700, 1)
	var victims []Victim[string]
	for i, costs := range [][]float64{{30, 30, 30, 1}, {10, 10, 10, 31}} {
		w := inv.Add(fmt.Sprint("w", i), "pool", "r", nil, NewResources(32000, 64000, 4))
		w.SetUsable(true)
		for _, cost := range costs {
			w.Assign(small)
			victims = append(victims, NewVictim(w.ID(), cost, []Allocation{NewAllocation(w, small)}))
		}
	}
	chosen, ok := SelectVictims(inv, NewNeed("pool", NewResources(3700, 9800, 4)), 1, false, victims)
	require.True(t, ok)
	require.Len(t, chosen, 4)
	require.InDelta(t, 61.0, totalCost(chosen), 0, "w0, which is empty first by cost alone, loses 91")
}

// Room for one task is made where that loses least, although more tasks would fit elsewhere for little more.
func TestOneTaskIsNotGivenMoreRoomThanItNeeds(t *testing.T) {
	inv := New()
	var victims []Victim[string]
	for i, costs := range [][]float64{{6, 6}, {10}} {
		w := inv.Add(fmt.Sprint("w", i), "pool", "r", nil, NewResources(32000, 64000, 8))
		w.SetUsable(true)
		for _, cost := range costs {
			size := NewResources(16000, 30000, 4)
			if len(costs) == 1 {
				size = NewResources(32000, 60000, 8)
			}
			w.Assign(size)
			victims = append(victims, NewVictim(w.ID(), cost, []Allocation{NewAllocation(w, size)}))
		}
	}
	chosen, ok := SelectVictims(inv, NewNeed("pool", NewResources(8000, 9800, 4)), 1, false, victims)
	require.True(t, ok)
	require.Len(t, chosen, 1)
	require.InDelta(t, 6.0, totalCost(chosen), 0, "the whole of w1 costs less for each of two tasks")
}

// selectedCounts are the numbers of tasks to make room for. The last one is more than most pools can take.
var selectedCounts = []int{1, 5, 20, 2000}

// On full pools of several shapes: the selection makes the tasks fit exactly if that is possible at all,
// needs each of its victims, loses no more and stops no more runs than the selection by cost alone, and repeats.
func TestVictimsCostNoMoreThanByTheirOwnCost(t *testing.T) {
	for _, d := range deployments {
		t.Run(d.name, func(t *testing.T) {
			lost, lostInOrder := map[int]float64{}, map[int]float64{} // by count
			runs, runsInOrder := map[int]int{}, map[int]int{}
			for seed := range uint64(12) {
				random := rand.New(rand.NewPCG(seed, 20261207))
				inv, victims := d.fill(random)
				for _, count := range selectedCounts {
					n, _, _ := d.kinds[1].draw(random)
					inOrder, possible := cheapestInOrder(inv, n, count, victims)
					chosen, ok := SelectVictims(inv, n, count, false, victims)
					require.Equal(t, possible, ok, "seed %d, %d tasks", seed, count)
					if !ok {
						continue
					}
					require.LessOrEqual(t, totalCost(chosen), totalCost(inOrder))
					require.LessOrEqual(t, totalRuns(chosen), totalRuns(inOrder))
					runs[count] += totalRuns(chosen)
					runsInOrder[count] += totalRuns(inOrder)
					lost[count] += totalCost(chosen)
					lostInOrder[count] += totalCost(inOrder)
					again, _ := SelectVictims(inv, n, count, false, victims)
					require.Equal(t, chosen, again)
					c := newClearing[int](n, inv.pools["pool"])
					for _, v := range chosen {
						c.apply(v, 1)
					}
					require.GreaterOrEqual(t, c.tasks, count)
					for _, v := range chosen {
						c.apply(v, -1)
						require.Less(t, c.tasks, count, "a victim is not needed")
						c.apply(v, 1)
					}
				}
			}
			for _, count := range selectedCounts {
				t.Logf("room for %d tasks: %.0f core-seconds are lost, by cost alone %.0f; %d runs are stopped, by cost alone %d",
					count, lost[count], lostInOrder[count], runs[count], runsInOrder[count])
			}
		})
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
			n, count, _ := d.kinds[random.IntN(len(d.kinds))].draw(random)
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

// BenchmarkSelectVictims measures the selection on 720 full workers.
func BenchmarkSelectVictims(b *testing.B) {
	d := deployments[0]
	d.racks = 90
	inv, victims := d.fill(rand.New(rand.NewPCG(1, 1)))
	n := NewNeed("pool", NewResources(3700, 9800, 8))
	for _, count := range []int{1, 5} {
		for _, compact := range []bool{false, true} {
			b.Run(fmt.Sprintf("victims-%d-tasks-%d-compact-%t", len(victims), count, compact), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					if _, ok := SelectVictims(inv, n, count, compact, victims); !ok {
						b.Fatal("no room")
					}
				}
			})
		}
	}
}

// BenchmarkSelectVictimsInVain measures the search of an urgent group for which there is not enough room at all. It
// is repeated while the group waits.
func BenchmarkSelectVictimsInVain(b *testing.B) {
	d := deployments[0]
	d.racks = 90
	inv, victims := d.fill(rand.New(rand.NewPCG(1, 1)))
	n := NewNeed("pool", NewResources(3700, 9800, 8))
	for _, compact := range []bool{false, true} {
		b.Run(fmt.Sprintf("victims-%d-compact-%t", len(victims), compact), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := SelectVictims(inv, n, 721, compact, victims); ok {
					b.Fatal("room")
				}
			}
		})
	}
}
