package hfgang

import (
	"slices"
	"time"

	"github.com/heatherfront/heatherfront/hfwire"
)

const (
	quarantineThreshold = 3                // distinct jobs that failed on a worker and on no other
	poisonThreshold     = 3                // distinct workers on which a job failed
	maxFailures         = 6                // failed attempts of one job, on any workers
	minQuarantine       = 30 * time.Second // duration of the first quarantine
	maxQuarantine       = 10 * time.Minute
)

// workerHealth is the failure history of a worker since its last success. It counts
// members that ran and failed, but not those that were cancelled, preempted or lost.
type workerHealth struct {
	failedJobs       map[string]bool // ids of jobs with a member that failed on the worker
	quarantined      bool
	probationJob     string    // not used: probationAllows limits a worker on probation to one job
	onProbation      bool      // usable again, but for one job at a time
	quarantinedUntil time.Time // end of the quarantine
	quarantines      int       // quarantines since the last success
}

// memberFailed handles a member that ran and failed. It decides whether the job or the
// worker is at fault.
func (s *Scheduler) memberFailed(j *job, m *member, now time.Time) []Cmd {
	name := m.grant.GetWorker()
	r := j.record
	r.Failures++
	if !slices.Contains(r.GetSuspects(), name) {
		r.Suspects = append(r.Suspects, name)
	}
	cmds := s.countFailure(name, j, now)
	reason := "its member on worker " + name + " failed"
	switch {
	case !r.GetIdempotent():
		return append(cmds, s.stopGang(j, StateFailed, reason, now)...)
	case s.isPoison(j):
		return append(cmds, s.stopGang(j, StateFailed, "it failed on several workers that run other jobs well: the job is at fault", now)...)
	default:
		return append(cmds, s.stopGang(j, StateQueued, reason, now)...)
	}
}

// isPoison reports whether a job is at fault: it failed on poisonThreshold workers that
// are not quarantined, or maxFailures times in total.
func (s *Scheduler) isPoison(j *job) bool {
	if j.record.GetFailures() >= maxFailures {
		return true
	}
	healthy := 0
	for _, name := range j.record.GetSuspects() {
		if w, ok := s.workers[name]; !ok || !w.health.quarantined {
			healthy++
		}
	}
	return healthy >= poisonThreshold
}

// countFailure counts a failure against a worker, and quarantines it if enough jobs
// failed there that failed on no other worker. A worker on probation is quarantined
// after a single failure.
func (s *Scheduler) countFailure(name string, j *job, now time.Time) []Cmd {
	w, ok := s.workers[name]
	if !ok {
		return nil
	}
	if w.health.failedJobs == nil {
		w.health.failedJobs = map[string]bool{}
	}
	w.health.failedJobs[j.id()] = true
	if w.health.onProbation {
		return s.quarantine(name, w, now)
	}
	exclusive := 0
	for id := range w.health.failedJobs {
		if o, ok := s.jobs[id]; ok && len(o.record.GetSuspects()) == 1 {
			exclusive++
		}
	}
	if w.health.quarantined || exclusive < quarantineThreshold {
		return nil
	}
	return s.quarantine(name, w, now)
}

// quarantine keeps new jobs off a worker. The duration doubles with each quarantine
// since the worker's last success, up to maxQuarantine.
func (s *Scheduler) quarantine(name string, w *worker, now time.Time) []Cmd {
	duration := min(minQuarantine<<w.health.quarantines, maxQuarantine)
	w.health.quarantines++
	w.health.quarantined, w.health.onProbation, w.health.probationJob = true, false, ""
	w.health.quarantinedUntil = now.Add(duration)
	s.refreshUsable()
	s.assignPending, s.schedulePending = true, true
	return []Cmd{QuarantineCmd{worker: name}}
}

// avoidWorker makes a job avoid a worker that did not start its member, without
// counting a failure against the job or the worker.
func (s *Scheduler) avoidWorker(j *job, m *member) {
	j.avoidedWorker = m.grant.GetWorker()
}

// endQuarantines puts workers whose quarantine is over on probation.
func (s *Scheduler) endQuarantines(now time.Time) []Cmd {
	for _, w := range s.workers {
		if w.health.quarantined && !now.Before(w.health.quarantinedUntil) {
			w.health.quarantined, w.health.onProbation = false, true
			s.refreshUsable()
			s.assignPending, s.schedulePending = true, true
		}
	}
	return nil
}

// clearFailures resets the failure history of the workers of a successful job, and
// returns a command for each one whose quarantine is lifted.
func (s *Scheduler) clearFailures(j *job) []Cmd {
	var cmds []Cmd
	for _, m := range j.members {
		w, ok := s.workers[m.grant.GetWorker()]
		if !ok {
			continue
		}
		if w.health.quarantines > 0 {
			cmds = append(cmds, QuarantineCmd{worker: m.grant.GetWorker(), lifted: true})
		}
		w.health = workerHealth{}
	}
	return cmds
}

// probationAllows reports whether a job may use those workers of the grants that are on
// probation. Such a worker takes only idempotent jobs, one at a time.
func (s *Scheduler) probationAllows(j *job, grants []*hfwire.Grant) bool {
	for _, g := range grants {
		w := s.workers[g.GetWorker()]
		if w == nil || !w.health.onProbation {
			continue
		}
		if !j.record.GetIdempotent() || s.workerBusy(g.GetWorker()) {
			return false
		}
	}
	return true
}

// onProbation reports whether an accelerator belongs to a worker on probation.
func (s *Scheduler) onProbation(accelerator int) bool {
	w := s.workers[s.layout.spans[s.layout.spanAt[accelerator]].worker.Name()]
	return w != nil && w.health.onProbation
}

// workerBusy reports whether a job holds any accelerator of a worker.
func (s *Scheduler) workerBusy(name string) bool {
	span := s.layout.spans[s.layout.spanByWorker[name]]
	for a := range span.worker.Accelerators() {
		if s.allocated[span.start+a] != nil {
			return true
		}
	}
	return false
}
