package hfroom_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hfroom"
)

var (
	whole = hfroom.NewSize(8000, 8000, 8)
	one   = hfroom.NewSize(1000, 1000, 1)
)

// fleet returns a room of racks of four workers with eight accelerators.
func fleet(racks int) *hfroom.Room {
	r := hfroom.New()
	for k := range racks {
		for i := range 4 {
			r.Add(fmt.Sprintf("w%d%d", k, i), "pool", fmt.Sprintf("r%d", k), []string{"a"}, whole).SetUsable(true)
		}
	}
	return r
}

func promise(slots []hfroom.Slot, size hfroom.Size) {
	for _, s := range slots {
		for range s.Tasks() {
			s.Worker().Promise(size)
		}
	}
}

func racksOf(slots []hfroom.Slot) map[string]int {
	racks := map[string]int{}
	for _, s := range slots {
		racks[s.Worker().Rack()] += s.Tasks()
	}
	return racks
}

func TestCompactTakesTheRackThatItFillsBest(t *testing.T) {
	r := fleet(3)
	promise([]hfroom.Slot{}, one)
	r.Worker("w10").Promise(whole)
	slots, ok := r.Compact(hfroom.NewNeed("pool", whole), 3)
	require.True(t, ok)
	require.Equal(t, map[string]int{"r1": 3}, racksOf(slots))
	promise(slots, whole)
	_, ok = r.Compact(hfroom.NewNeed("pool", whole), 5)
	require.False(t, ok)
}

func TestSpreadFillsPartsFirst(t *testing.T) {
	r := fleet(2)
	r.Worker("w11").Promise(one)
	slots, placed := r.Spread(hfroom.NewNeed("pool", one), 7)
	require.Equal(t, 7, placed)
	require.Len(t, slots, 1)
	require.Equal(t, "w11", slots[0].Worker().ID(), "whole workers stay whole")
}

func TestNeedsAreKept(t *testing.T) {
	for name, c := range map[string]struct {
		need hfroom.Need
		want int
	}{
		"any":            {hfroom.NewNeed("pool", one), 32},
		"another pool":   {hfroom.NewNeed("other", one), 0},
		"a label":        {hfroom.NewNeed("pool", one).Labelled("a"), 32},
		"no such label":  {hfroom.NewNeed("pool", one).Labelled("b"), 0},
		"two a worker":   {hfroom.NewNeed("pool", one).Apart(2, nil), 8},
		"one there":      {hfroom.NewNeed("pool", one).Apart(2, func(string) int { return 1 }), 4},
		"without one":    {hfroom.NewNeed("pool", one).Avoiding(func(id string) bool { return id == "w00" }), 24},
		"too large":      {hfroom.NewNeed("pool", hfroom.NewSize(9000, 1, 1)), 0},
		"nothing at all": {hfroom.NewNeed("pool", hfroom.NewSize(0, 0, 0)), 100},
	} {
		t.Run(name, func(t *testing.T) {
			_, placed := fleet(1).Spread(c.need, 100)
			require.Equal(t, c.want, placed)
		})
	}
}

func TestKeptWorkerTakesOnlyWhatEndsBefore(t *testing.T) {
	r := fleet(1)
	now := time.Unix(1000, 0)
	owner := "a gang"
	for i := range 4 {
		r.Worker(fmt.Sprintf("w0%d", i)).Keep(owner, now.Add(5*time.Second))
	}
	placed := func(n hfroom.Need) int {
		_, p := r.Spread(n, 4)
		return p
	}
	require.Zero(t, placed(hfroom.NewNeed("pool", one)))
	require.Zero(t, placed(hfroom.NewNeed("pool", one).For("another", now.Add(6*time.Second))))
	require.Equal(t, 4, placed(hfroom.NewNeed("pool", one).For("another", now.Add(4*time.Second))))
	require.Equal(t, 4, placed(hfroom.NewNeed("pool", one).For(owner, now.Add(time.Hour))))
}

func TestReclaimTakesTheLeastLossAndNoMore(t *testing.T) {
	r := fleet(2)
	var victims []hfroom.Victim[string]
	for k := range 2 {
		for i := range 4 {
			w := r.Worker(fmt.Sprintf("w%d%d", k, i))
			w.Promise(whole)
			cost := 10.0
			if k == 1 {
				cost = 1
			}
			victims = append(victims, hfroom.NewVictim(w.ID(), cost, []hfroom.Part{hfroom.NewPart(w, whole)}))
		}
	}
	chosen, ok := hfroom.Reclaim(r, hfroom.NewNeed("pool", whole), 3, true, victims)
	require.True(t, ok)
	require.Len(t, chosen, 3)
	for _, v := range chosen {
		require.InDelta(t, 1.0, v.Cost(), 0)
	}
	_, ok = hfroom.Reclaim(r, hfroom.NewNeed("pool", whole), 5, true, victims)
	require.False(t, ok, "no rack has five workers")
	_, ok = hfroom.Reclaim(r, hfroom.NewNeed("pool", whole), 5, false, victims)
	require.True(t, ok)
}
