package hfwork_test

import (
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hfwire"
	"github.com/heatherfront/heatherfront/hfwork"
)

// Guards against one job that no leader can hold in memory or calculate with: each in turn would
// end at it, as the job is read from the store again.
func TestJobOutOfRangeIsInvalid(t *testing.T) {
	good := &hfwork.Job{Id: "5c0e7a21d94b36f8", Steps: []*hfwork.Step{
		{Count: 4, Cpu: 500, Memory: 256, Accelerators: 8, Estimate: 900}, {Count: 20, After: []uint32{0}},
	}}
	require.NoError(t, hfwork.ValidateJob(good))
	text := strings.Repeat("x", 1<<20)
	for name, change := range map[string]func(j *hfwork.Job, s *hfwork.Step){
		"too many tasks in all": func(j *hfwork.Job, s *hfwork.Step) {
			j.Times, j.Interval, s.Count = hfwork.MaxOccurrences, 1, hfwork.MaxTasksPerStep
		},
		"too many steps of many tasks": func(j *hfwork.Job, s *hfwork.Step) {
			for range 20 {
				s.Count = hfwork.MaxTasksPerStep
				j.Steps = append(j.Steps, s)
			}
		},
		"too many occurrences": func(j *hfwork.Job, _ *hfwork.Step) { j.Times, j.Interval = math.MaxUint32, 1 },
		"huge interval":        func(j *hfwork.Job, _ *hfwork.Step) { j.Times, j.Interval = 2, math.MaxInt64 },
		"no interval":          func(j *hfwork.Job, _ *hfwork.Step) { j.Times = 2 },
		"first far away":       func(j *hfwork.Job, _ *hfwork.Step) { j.First = math.MaxInt64 },
		"first long ago":       func(j *hfwork.Job, _ *hfwork.Step) { j.First = math.MinInt64 },
		"huge count":           func(_ *hfwork.Job, s *hfwork.Step) { s.Count = math.MaxUint32 },
		"no count":             func(_ *hfwork.Job, s *hfwork.Step) { s.Count = 0 },
		"huge cpu":             func(_ *hfwork.Job, s *hfwork.Step) { s.Cpu = math.MaxInt64 },
		"negative cpu":         func(_ *hfwork.Job, s *hfwork.Step) { s.Cpu = -1 },
		"huge memory":          func(_ *hfwork.Job, s *hfwork.Step) { s.Memory = math.MaxInt64 },
		"huge accelerators":    func(_ *hfwork.Job, s *hfwork.Step) { s.Accelerators = math.MaxInt64 },
		"huge estimate":        func(_ *hfwork.Job, s *hfwork.Step) { s.Estimate = math.MaxInt64 },
		"negative estimate":    func(_ *hfwork.Job, s *hfwork.Step) { s.Estimate = -1 },
		"huge target":          func(_ *hfwork.Job, s *hfwork.Step) { s.Target = math.MaxInt64 },
		"long label":           func(_ *hfwork.Job, s *hfwork.Step) { s.Label = text },
		"long rack":            func(_ *hfwork.Job, s *hfwork.Step) { s.Near = text },
		"long image":           func(_ *hfwork.Job, s *hfwork.Step) { s.Image = text },
		"long command":         func(j *hfwork.Job, _ *hfwork.Step) { j.Command = text },
		"a later step first":   func(_ *hfwork.Job, s *hfwork.Step) { s.After = []uint32{1} },
		"no such earlier step": func(_ *hfwork.Job, s *hfwork.Step) { s.After = []uint32{math.MaxUint32} },
		"no steps":             func(j *hfwork.Job, _ *hfwork.Step) { j.Steps = nil },
		"id with a slash":      func(j *hfwork.Job, _ *hfwork.Step) { j.Id = "5c0e7a21d94b36f/" },
		"no id":                func(j *hfwork.Job, _ *hfwork.Step) { j.Id = "" },
	} {
		t.Run(name, func(t *testing.T) {
			bad := hfwire.Copy(good)
			change(bad, bad.GetSteps()[1])
			require.ErrorIs(t, hfwork.ValidateJob(bad), hfwork.ErrInvalidJob)
		})
	}
}
