package hfplan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestProgressEstimatesTheEndOfARun(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	var p progress
	_, known := p.expectedEnd()
	require.False(t, known)
	p.update(3, start)
	p.update(4, start.Add(50*time.Millisecond)) // too short a span for a rate
	_, known = p.expectedEnd()
	require.False(t, known)
	p.update(23, start.Add(2*time.Second))
	at, known := p.expectedEnd()
	require.True(t, known)
	require.WithinDuration(t, start.Add(9700*time.Millisecond), at, 10*time.Millisecond)
	p.update(23, start.Add(4*time.Second))
	_, known = p.expectedEnd()
	require.False(t, known, "the run has stalled")
	require.Equal(t, start.Add(2*time.Second), p.advancedAt)
}
