package hfreport

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hfconfig"
)

func TestBurn(t *testing.T) {
	objectives := map[string]*hfconfig.Objective{
		"lookups": {Account: "old-name", Work: "lookup", Target: 0.9, Late: 100},
		"others":  {Account: "b", Work: "lookup", Target: 0.9, Late: 100},
	}
	resolve := func(name string) (string, bool) {
		if name == "old-name" {
			return "a", true
		}
		return name, true
	}
	now := time.Unix(1_000_000, 0)
	one, two := NewOutcomeCounter(), NewOutcomeCounter()
	for range 16 {
		one.Count(NewEvent("a", "lookup", "", time.Millisecond), objectives, resolve, now)
	}
	two.Count(NewEvent("a", "lookup", "", time.Second), objectives, resolve, now)
	two.Count(NewEvent("a", "lookup", ReasonRefused, 0), objectives, resolve, now)
	two.Count(NewEvent("a", "lookup", ReasonUnknown, 0), objectives, resolve, now.Add(10*time.Minute))
	two.Count(NewEvent("a", "lookup", "", 0), objectives, resolve, now.Add(10*time.Minute))
	two.Count(NewEvent("a", "backfill", ReasonFailed, 0), objectives, resolve, now)
	end := now.Add(10 * time.Minute)
	reports := BuildReport(objectives, append(one.Tallies(end), two.Tallies(end)...))
	require.Len(t, reports, 2)
	r := reports[0]
	require.Equal(t, int64(17), r.Good)
	require.Equal(t, map[string]int64{ReasonLate: 1, ReasonRefused: 1, ReasonUnknown: 1}, r.Bad)
	require.InDelta(t, 1.5, r.BurnLong, 1e-9, "3 of 20 bad, 10% allowed")
	require.InDelta(t, 5, r.BurnShort, 1e-9, "1 of 2 bad in the last five minutes")
	require.InDelta(t, -50, r.Percent(), 1e-9)
	require.Zero(t, reports[1].BurnLong)
	expired := one.Tallies(now.Add(2 * time.Hour))
	require.Zero(t, expired[0].GetGood()+expired[1].GetGood(), "minutes outside both windows are not counted")
}
