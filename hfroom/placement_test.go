package hfroom_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hfroom"
)

var (
	wholeWorker    = hfroom.NewSize(8000, 8000, 8)
	oneAccelerator = hfroom.NewSize(1000, 1000, 1)
)

// newRoom returns a room of racks with four workers of eight accelerators each.
func newRoom(racks int) *hfroom.Room {
	r := hfroom.New()
	for k := range racks {
		for i := range 4 {
			r.Add(fmt.Sprintf("w%d%d", k, i), "pool", fmt.Sprintf("r%d", k), []string{"a"}, wholeWorker).SetUsable(true)
		}
	}
	return r
}

// assignAll assigns the placed tasks to their workers.
func assignAll(slots []hfroom.Slot, size hfroom.Size) {
	for _, s := range slots {
		for range s.Tasks() {
			s.Worker().Promise(size)
		}
	}
}

// tasksByRack returns the number of placed tasks per rack.
func tasksByRack(slots []hfroom.Slot) map[string]int {
	racks := map[string]int{}
	for _, s := range slots {
		racks[s.Worker().Rack()] += s.Tasks()
	}
	return racks
}

func TestSingleRackPlacementPicksTightestRack(t *testing.T) {
	r := newRoom(3)
	assignAll([]hfroom.Slot{}, oneAccelerator)
	r.Worker("w10").Promise(wholeWorker)
	slots, ok := r.Compact(hfroom.NewNeed("pool", wholeWorker), 3)
	require.True(t, ok)
	require.Equal(t, map[string]int{"r1": 3}, tasksByRack(slots))
	assignAll(slots, wholeWorker)
	_, ok = r.Compact(hfroom.NewNeed("pool", wholeWorker), 5)
	require.False(t, ok)
}

func TestPlacementFillsPartlyUsedWorkersFirst(t *testing.T) {
	r := newRoom(2)
	r.Worker("w11").Promise(oneAccelerator)
	slots, placed := r.Spread(hfroom.NewNeed("pool", oneAccelerator), 7)
	require.Equal(t, 7, placed)
	require.Len(t, slots, 1)
	require.Equal(t, "w11", slots[0].Worker().ID(), "empty workers stay empty")
}

func TestPlacementMeetsRequirements(t *testing.T) {
	for name, c := range map[string]struct {
		need hfroom.Need
		want int
	}{
		"any":            {hfroom.NewNeed("pool", oneAccelerator), 32},
		"another pool":   {hfroom.NewNeed("other", oneAccelerator), 0},
		"a label":        {hfroom.NewNeed("pool", oneAccelerator).Labelled("a"), 32},
		"no such label":  {hfroom.NewNeed("pool", oneAccelerator).Labelled("b"), 0},
		"two per worker": {hfroom.NewNeed("pool", oneAccelerator).Apart(2, nil), 8},
		"one existing":   {hfroom.NewNeed("pool", oneAccelerator).Apart(2, func(string) int { return 1 }), 4},
		"one excluded":   {hfroom.NewNeed("pool", oneAccelerator).Avoiding(func(id string) bool { return id == "w00" }), 24},
		"too large":      {hfroom.NewNeed("pool", hfroom.NewSize(9000, 1, 1)), 0},
		"zero size":      {hfroom.NewNeed("pool", hfroom.NewSize(0, 0, 0)), 100},
	} {
		t.Run(name, func(t *testing.T) {
			_, placed := newRoom(1).Spread(c.need, 100)
			require.Equal(t, c.want, placed)
		})
	}
}

func TestReservedWorkerAcceptsOnlyTasksThatEndBefore(t *testing.T) {
	r := newRoom(1)
	now := time.Unix(1000, 0)
	owner := "a gang"
	for i := range 4 {
		r.Worker(fmt.Sprintf("w0%d", i)).Keep(owner, now.Add(5*time.Second))
	}
	placed := func(n hfroom.Need) int {
		_, p := r.Spread(n, 4)
		return p
	}
	require.Zero(t, placed(hfroom.NewNeed("pool", oneAccelerator)))
	require.Zero(t, placed(hfroom.NewNeed("pool", oneAccelerator).For("another", now.Add(6*time.Second))))
	require.Equal(t, 4, placed(hfroom.NewNeed("pool", oneAccelerator).For("another", now.Add(4*time.Second))))
	require.Equal(t, 4, placed(hfroom.NewNeed("pool", oneAccelerator).For(owner, now.Add(time.Hour))))
}

func TestVictimSelectionMinimizesCost(t *testing.T) {
	r := newRoom(2)
	var victims []hfroom.Victim[string]
	for k := range 2 {
		for i := range 4 {
			w := r.Worker(fmt.Sprintf("w%d%d", k, i))
			w.Promise(wholeWorker)
			cost := 10.0
			if k == 1 {
				cost = 1
			}
			victims = append(victims, hfroom.NewVictim(w.ID(), cost, []hfroom.Part{hfroom.NewPart(w, wholeWorker)}))
		}
	}
	chosen, ok := hfroom.Reclaim(r, hfroom.NewNeed("pool", wholeWorker), 3, true, victims)
	require.True(t, ok)
	require.Len(t, chosen, 3)
	for _, v := range chosen {
		require.InDelta(t, 1.0, v.Cost(), 0)
	}
	_, ok = hfroom.Reclaim(r, hfroom.NewNeed("pool", wholeWorker), 5, true, victims)
	require.False(t, ok, "no rack has five workers")
	_, ok = hfroom.Reclaim(r, hfroom.NewNeed("pool", wholeWorker), 5, false, victims)
	require.True(t, ok)
}
