package hfgang

import (
	"time"

	"github.com/heatherfront/heatherfront/hfconfig"
	"github.com/heatherfront/heatherfront/hfcrash"
)

const (
	// isolationWait is how long a suspect waits for workers without other jobs. If nothing else changes,
	// it is placed at the next retryInterval.
	isolationWait = 2 * time.Second
	// maxIsolatedShare is the share of the workers that suspects may have to themselves, since most
	// suspects are innocent. Less than four workers isolate none.
	maxIsolatedShare = 0.25
)

// suspect reports whether a job may have crashed a worker.
func (j *job) suspect() bool { return j.record.GetCrashes().GetTotal() > 0 }

// isolates reports whether a job is placed only on workers without other jobs now. Urgent jobs
// are not isolated, as they must start soon.
func (s *Scheduler) isolates(j *job, now time.Time) bool {
	if !j.suspect() || j.class() == hfconfig.ClassUrgent || j.state() != StateQueued {
		return false
	}
	steps := j.record.GetSteps()
	if now.Sub(time.UnixMilli(steps[len(steps)-1].GetAt())) >= isolationWait {
		return false
	}
	isolated := 1
	for o := range s.isolatedJobs {
		if s.isolated(o, now) {
			isolated += len(o.members)
		}
	}
	return float64(isolated) <= maxIsolatedShare*float64(len(s.layout.spans))
}

// isolated reports whether other jobs are kept off the workers of a job, until it has been at work for
// so long that the loss of a worker would have been noticed.
func (s *Scheduler) isolated(j *job, now time.Time) bool {
	if !s.isolatedJobs[j] {
		return false
	}
	end := time.UnixMilli(j.record.GetStarted()).Add(hfcrash.StartWindow + s.timing.lossDelay())
	return j.state() == StateStarting || j.state() == StateRunning && now.Before(end)
}

// endIsolation lets other jobs be placed beside the suspects whose isolation is over.
func (s *Scheduler) endIsolation(now time.Time) {
	for j := range s.isolatedJobs {
		if !s.isolated(j, now) {
			delete(s.isolatedJobs, j)
			s.schedulePending = true
		}
	}
}

// isolationAllows reports whether a job may be placed on a block beside the jobs on its workers: a
// suspect might crash them, or be crashed with the next one.
func (s *Scheduler) isolationAllows(b Block, j *job, now time.Time) bool {
	if j.class() == hfconfig.ClassUrgent || len(s.isolatedJobs) == 0 && !j.suspect() {
		return true
	}
	isolates := s.isolates(j, now)
	for i := s.layout.spanAt[b.lo]; i <= s.layout.spanAt[b.hi-1]; i++ {
		span := s.layout.spans[i]
		for a := range span.worker.Accelerators() {
			o := s.allocated[span.start+a]
			if o != nil && o != j && (isolates || s.isolated(o, now)) {
				return false
			}
		}
	}
	return true
}
