package hfplan

import (
	"time"
)

// overdueFactor is the multiple of its objective after which a job has lost its
// value to the caller.
const overdueFactor = 3

// maxObjective limits both parts of an objective, so that sums and products with it stay within
// a time.Duration.
const maxObjective = 20 * 365 * 24 * time.Hour

// objectiveStatus is the best result that a job can still reach if its waiting group
// starts now.
type objectiveStatus int

const (
	onTime  objectiveStatus = iota // meets its objective
	late                           // misses its objective but is still useful
	overdue                        // has lost its value; goes after all others of its priority
)

// objectiveStatus returns the best result that the job of a group can still reach,
// based on declared run times. Lasting tasks and queues without an objective are
// always on time.
func (g *group) objectiveStatus(now time.Time) objectiveStatus {
	j := g.job
	if g.spec.GetLasting() || j.queue == nil || j.queue.GetStretch() <= 0 {
		return onTime
	}
	start := time.UnixMilli(j.spec.GetReceived())
	if !g.due.IsZero() {
		start = g.due
	}
	total, remaining := j.criticalPath(g.occurrence)
	objective := time.Duration(min(j.queue.GetStretch()*float64(total), float64(maxObjective)))
	objective += min(time.Duration(j.queue.GetObjective())*time.Millisecond, maxObjective)
	switch end := now.Add(remaining); {
	case !end.After(start.Add(objective)):
		return onTime
	case !end.After(start.Add(overdueFactor * objective)):
		return late
	}
	return overdue
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
