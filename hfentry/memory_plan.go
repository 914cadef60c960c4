package hfentry

import (
	"context"
	"time"

	"github.com/heatherfront/heatherfront/hfintake"
	"github.com/heatherfront/heatherfront/hfloop"
	"github.com/heatherfront/heatherfront/hfpeer"
	"github.com/heatherfront/heatherfront/hfrelay"
)

// What the parts of an instance may take of its memory, as divisors of it or in bytes. MemoryPlan adds them up.
const (
	baseBytes        = 20 << 20 // the program itself, without callers and jobs
	programBytes     = 16 << 20 // of baseBytes, what is not the collector's
	heapLimitPercent = 80       // of the memory at most for the heap; the collector works harder above it
	slackShare       = 10       // what the collector has not freed yet, and the free parts of the heap
	briefListeners   = 2        // for the balancer's checks and the metrics
	minConnShare     = 16       // connections of callers at least, whatever the jobs take

	// LogBytes is that of the log that was not written.
	LogBytes = 4 << 20
	// BodyShare is that of callers' bodies, with what jobs take until they are stored, and once more of answers.
	BodyShare = 16
	// ConnShare is that of callers' connections at most.
	ConnShare = hfintake.ConnShare
	// CheckShare is that of the connections for the balancer's checks.
	CheckShare = 24
	// GaugeShare is that of the connections for the metrics.
	GaugeShare = 96
)

// planInterval is the time between two looks at what the jobs take.
const planInterval = 200 * time.Millisecond

// MemoryPlan divides the memory of an instance, so that the sum of all parts is no more than it. What is left for the
// connections of callers depends on what the jobs take.
type MemoryPlan struct{ total int64 }

// NewMemoryPlan returns the plan of an instance with a number of bytes.
func NewMemoryPlan(total int64) MemoryPlan { return MemoryPlan{total: total} }

// Links returns the bytes of the connections of other instances, with their messages.
func (p MemoryPlan) Links() int64 { return p.total / hfpeer.MemoryShare }

// fixed returns the sum of all parts but jobs and callers' connections.
func (p MemoryPlan) fixed() int64 {
	return baseBytes + p.total/slackShare + 2*p.total/BodyShare + p.Links() + hfrelay.ServedBytes +
		p.total/CheckShare + p.total/GaugeShare + briefListeners*2*hfintake.BriefBytes + LogBytes
}

// Connections returns the bytes of callers' connections beside jobs that take a number of bytes.
func (p MemoryPlan) Connections(jobs int64) int64 {
	return max(min(p.total-p.fixed()-jobs, p.total/ConnShare), p.total/minConnShare)
}

// Fits reports whether all parts fit into the memory together.
func (p MemoryPlan) Fits(jobs int64) bool { return p.fixed()+jobs+p.Connections(jobs) <= p.total }

// HeapLimit returns the bytes above which the collector works harder. The program itself and what the kernel holds
// unread come on top.
func (p MemoryPlan) HeapLimit() int64 {
	return min(p.total/100*heapLimitPercent, max(p.total-programBytes-hfintake.KernelBytes(p.total), p.total/2))
}

// JobMemory returns how many bytes the jobs take at most at this instance.
func (n *Node) JobMemory() int64 {
	leads := n.claiming.Load() || n.leader.Load() != nil
	return hfloop.With(n.mirror, func(m *Mirror) int64 { return m.jobMemory(leads) })
}

// FollowPlan calls apply with the bytes of callers' connections until ctx ends.
func (n *Node) FollowPlan(ctx context.Context, p MemoryPlan, apply func(bytes int64)) {
	for last := int64(0); hfloop.Sleep(ctx, planInterval); {
		if next := p.Connections(n.JobMemory()); next != last {
			apply(next)
			last = next
		}
	}
}
