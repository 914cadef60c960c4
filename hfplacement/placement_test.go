package hfplacement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hfplacement"
)

var (
	wholeWorker    = hfplacement.NewResources(8000, 8000, 8)
	oneAccelerator = hfplacement.NewResources(1000, 1000, 1)
)

// newInventory returns an inventory with the given number of racks, each with four workers of
// eight accelerators.
func newInventory(racks int) *hfplacement.Inventory {
	inv := hfplacement.New()
	for k := range racks {
		for i := range 4 {
			inv.Add(fmt.Sprintf("w%d%d", k, i), "pool", fmt.Sprintf("r%d", k), []string{"a"}, wholeWorker).SetUsable(true)
		}
	}
	return inv
}

// assignAll assigns the placed tasks to their workers.
func assignAll(placements []hfplacement.Placement, size hfplacement.Resources) {
	for _, p := range placements {
		for range p.Tasks() {
			p.Worker().Assign(size)
		}
	}
}

// tasksByRack returns the number of placed tasks per rack.
func tasksByRack(placements []hfplacement.Placement) map[string]int {
	racks := map[string]int{}
	for _, p := range placements {
		racks[p.Worker().Rack()] += p.Tasks()
	}
	return racks
}

func TestSingleRackPlacementPicksTightestRack(t *testing.T) {
	inv := newInventory(3)
	assignAll([]hfplacement.Placement{}, oneAccelerator)
	inv.Worker("w10").Assign(wholeWorker)
	placements, ok := inv.PlaceInOneRack(hfplacement.NewNeed("pool", wholeWorker), 3)
	require.True(t, ok)
	require.Equal(t, map[string]int{"r1": 3}, tasksByRack(placements))
	assignAll(placements, wholeWorker)
	_, ok = inv.PlaceInOneRack(hfplacement.NewNeed("pool", wholeWorker), 5)
	require.False(t, ok)
}

func TestPlacementFillsPartlyUsedWorkersFirst(t *testing.T) {
	inv := newInventory(2)
	inv.Worker("w11").Assign(oneAccelerator)
	placements, placed := inv.PlaceAcrossRacks(hfplacement.NewNeed("pool", oneAccelerator), 7)
	require.Equal(t, 7, placed)
	require.Len(t, placements, 1)
	require.Equal(t, "w11", placements[0].Worker().ID(), "empty workers stay empty")
}

func TestPlacementMeetsRequirements(t *testing.T) {
	for name, c := range map[string]struct {
		need hfplacement.Need
		want int
	}{
		"any":            {hfplacement.NewNeed("pool", oneAccelerator), 32},
		"another pool":   {hfplacement.NewNeed("other", oneAccelerator), 0},
		"a label":        {hfplacement.NewNeed("pool", oneAccelerator).WithLabel("a"), 32},
		"no such label":  {hfplacement.NewNeed("pool", oneAccelerator).WithLabel("b"), 0},
		"two per worker": {hfplacement.NewNeed("pool", oneAccelerator).MaxPerWorker(2, nil), 8},
		"one existing":   {hfplacement.NewNeed("pool", oneAccelerator).MaxPerWorker(2, func(string) int { return 1 }), 4},
		"one excluded":   {hfplacement.NewNeed("pool", oneAccelerator).Excluding(func(id string) bool { return id == "w00" }), 24},
		"too large":      {hfplacement.NewNeed("pool", hfplacement.NewResources(9000, 1, 1)), 0},
		"zero size":      {hfplacement.NewNeed("pool", hfplacement.NewResources(0, 0, 0)), 100},
	} {
		t.Run(name, func(t *testing.T) {
			_, placed := newInventory(1).PlaceAcrossRacks(c.need, 100)
			require.Equal(t, c.want, placed)
		})
	}
}

func TestReservedWorkerAcceptsOnlyTasksThatEndBefore(t *testing.T) {
	inv := newInventory(1)
	now := time.Unix(1000, 0)
	owner := "a gang"
	for i := range 4 {
		inv.Worker(fmt.Sprintf("w0%d", i)).Reserve(owner, now.Add(5*time.Second))
	}
	placed := func(n hfplacement.Need) int {
		_, p := inv.PlaceAcrossRacks(n, 4)
		return p
	}
	require.Zero(t, placed(hfplacement.NewNeed("pool", oneAccelerator)))
	require.Zero(t, placed(hfplacement.NewNeed("pool", oneAccelerator).ForGroup("another", now.Add(6*time.Second))))
	require.Equal(t, 4, placed(hfplacement.NewNeed("pool", oneAccelerator).ForGroup("another", now.Add(4*time.Second))))
	require.Equal(t, 4, placed(hfplacement.NewNeed("pool", oneAccelerator).ForGroup(owner, now.Add(time.Hour))))
}

func TestVictimSelectionMinimizesCost(t *testing.T) {
	inv := newInventory(2)
	var victims []hfplacement.Victim[string]
	for k := range 2 {
		for i := range 4 {
			w := inv.Worker(fmt.Sprintf("w%d%d", k, i))
			w.Assign(wholeWorker)
			cost := 10.0
			if k == 1 {
				cost = 1
			}
			victims = append(victims, hfplacement.NewVictim(w.ID(), cost, []hfplacement.Allocation{hfplacement.NewAllocation(w, wholeWorker)}))
		}
	}
	chosen, ok := hfplacement.SelectVictims(inv, hfplacement.NewNeed("pool", wholeWorker), 3, true, victims)
	require.True(t, ok)
	require.Len(t, chosen, 3)
	for _, v := range chosen {
		require.InDelta(t, 1.0, v.Cost(), 0)
	}
	_, ok = hfplacement.SelectVictims(inv, hfplacement.NewNeed("pool", wholeWorker), 5, true, victims)
	require.False(t, ok, "no rack has five workers")
	_, ok = hfplacement.SelectVictims(inv, hfplacement.NewNeed("pool", wholeWorker), 5, false, victims)
	require.True(t, ok)
}
