package hfplan

import (
	"time"

	"github.com/heatherfront/heatherfront/hfcost"
)

// objectiveStatus is the best result that a job can still reach if its waiting group
// starts now.
type objectiveStatus = hfcost.Standing

const (
	onTime  = hfcost.OnTime
	late    = hfcost.Late
	overdue = hfcost.Overdue
)

// objectiveStatus returns the best result that the job of a group can still reach,
// based on declared run times. Lasting tasks and queues without an objective are
// always on time.
func (g *group) objectiveStatus(now time.Time) objectiveStatus { return g.claim(1).Standing(now) }

// claim returns what is known of the job of a group for the weighing of its delay. work is what remains of it in
// core-seconds.
func (g *group) claim(work float64) hfcost.Claim {
	j := g.job
	start := time.UnixMilli(j.spec.GetReceived())
	if !g.due.IsZero() {
		start = g.due
	}
	if j.queue == nil {
		return hfcost.NewClaim(0, start, work)
	}
	c := hfcost.NewClaim(j.queue.GetPriority(), start, work).Guaranteed(j.guaranteed)
	if g.spec.GetLasting() {
		return c.Lasting(g.assignedAt)
	}
	if j.queue.GetStretch() <= 0 {
		return c // its age does not matter
	}
	total, remaining := j.criticalPath(g.occurrence)
	return c.WithObjective(hfcost.NewObjective(j.queue.GetStretch(), time.Duration(j.queue.GetObjective())*time.Millisecond), total, remaining)
}

// criticalPath returns the length of the longest chain of dependent steps in one
// occurrence, by declared run times, and what remains of it without the completed
// steps.
func (j *job) criticalPath(occurrence uint32) (total, remaining time.Duration) {
	steps := j.spec.GetSteps()
	totals, remainders := make([]time.Duration, len(steps)), make([]time.Duration, len(steps))
	for step := range steps {
		g := j.group(occurrence, uint32(step))
		if g == nil {
			continue
		}
		for _, after := range steps[step].GetAfter() {
			totals[step], remainders[step] = max(totals[step], totals[after]), max(remainders[step], remainders[after])
		}
		totals[step] += g.estimate()
		if g.open > 0 {
			remainders[step] += g.estimate()
		}
		total, remaining = max(total, totals[step]), max(remaining, remainders[step])
	}
	return total, remaining
}
