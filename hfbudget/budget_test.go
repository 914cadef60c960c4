package hfbudget_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/heatherfront/heatherfront/hfbudget"
)

// One account that hands in all it can must not take the memory that the jobs of others need.
func TestOneOwnerLeavesHalfToOthers(t *testing.T) {
	b, greedy := hfbudget.New(1000), hfbudget.NewOwner("greedy", false)
	for b.Fits(greedy, 10) {
		b.Add(greedy, 10)
	}
	require.EqualValues(t, 500, b.Total())
	require.True(t, b.Fits(hfbudget.NewOwner("greedy", true), 250), "its urgent jobs are counted apart")
	require.True(t, b.Fits(hfbudget.NewOwner("modest", false), 250))
	require.False(t, b.Fits(hfbudget.NewOwner("modest", false), 251))
}

// Whatever was accepted within a budget fits, in any order, into one of twice the size: a leader must
// be able to load all jobs that were accepted.
func TestWhatFitsOnceFitsTwiceTheBudgetInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type use struct {
			owner hfbudget.Owner
			size  int64
		}
		accepted, loaded := hfbudget.New(1000), hfbudget.New(2000)
		var uses []use
		for range rapid.IntRange(1, 100).Draw(t, "tries") {
			u := use{owner: hfbudget.NewOwner(fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "owner")), false), size: rapid.Int64Range(0, 400).Draw(t, "size")}
			if accepted.Fits(u.owner, u.size) {
				accepted.Add(u.owner, u.size)
				uses = append(uses, u)
			}
		}
		if len(uses) == 0 {
			return
		}
		for _, u := range rapid.Permutation(uses).Draw(t, "order") {
			if !loaded.Fits(u.owner, u.size) {
				t.Fatalf("%d bytes do not fit beside %d", u.size, loaded.Total())
			}
			loaded.Add(u.owner, u.size)
		}
	})
}

// Guards against accounts that are refused for good, as another one holds more than there is.
func TestEachOwnerGetsItsMinimum(t *testing.T) {
	b, urgent := hfbudget.New(128_000), hfbudget.NewOwner("modest", true)
	b.Add(hfbudget.NewOwner("greedy", false), 1_000_000)
	require.True(t, b.Fits(urgent, 1000))
	b.Add(urgent, 1000)
	require.False(t, b.Fits(urgent, 1))
	require.False(t, b.Fits(hfbudget.NewOwner("greedy", false), 1))
}

func TestFreedMemoryCanBeUsedAgain(t *testing.T) {
	b, o := hfbudget.New(100), hfbudget.NewOwner("a", false)
	b.Add(o, 50)
	require.False(t, b.Fits(o, 1))
	b.Add(o, -50)
	require.Zero(t, b.Total())
	require.True(t, b.Fits(o, 50))
	require.True(t, b.Possible(50))
	require.False(t, b.Possible(51))
	b.SetLimit(10)
	require.False(t, b.Possible(6))
}
