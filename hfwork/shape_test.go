package hfwork_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hfwork"
)

func TestShapeSummarizesSteps(t *testing.T) {
	j := &hfwork.Job{Times: 3, Interval: 2000, Steps: []*hfwork.Step{
		{Count: 8, Accelerators: 4, Gang: true, Compact: true, Estimate: 2500},
		{Count: 2, Saves: true, After: []uint32{0}, Estimate: 10},
	}}
	require.Equal(t, "8x4 gang compact 2500ms; 2x0 saves after 10ms; 3 times every 2000ms", hfwork.SummarizeSteps(j))
}
