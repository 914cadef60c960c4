package hfgang

import (
	"slices"
	"time"

	"github.com/heatherfront/heatherfront/hfwire"
)

const (
	quarantineThreshold = 3                // distinct jobs that failed on a worker and nowhere else
	poisonThreshold     = 3                // distinct workers on which a job failed
	maxFailures         = 6                // failed attempts of one job, whatever the workers
	minQuarantine       = 30 * time.Second // time a worker is set aside before its first probe
	maxQuarantine       = 10 * time.Minute
)

// workerHealth is what speaks against a worker since its last success. It is keyed by the
// worker, counts final outcomes of members and leaves out cancelled, preempted and
// lost ones.
type workerHealth struct {
	failedJobs       map[string]bool // jobs whose member failed here
	quarantined      bool
	probationJob     string    // the one job that may run here while the worker is on probe
	onProbation      bool      // usable again, for one job at a time
	quarantinedUntil time.Time // set aside until then
	quarantines      int       // times it was set aside since its last success
}

// memberFailed handles a member that ran and memberFailed: it decides whether the job or the
// worker is at fault.
func (s *Scheduler) memberFailed(j *job, m *member, now time.Time) []Cmd {
	name := m.grant.GetWorker()
	r := j.record
	r.Failures++
	if !slices.Contains(r.GetSuspects(), name) {
		r.Suspects = append(r.Suspects, name)
	}
	cmds := s.countFailure(name, j, now)
	why := "its member on worker " + name + " failed"
	switch {
	case !r.GetIdempotent():
		return append(cmds, s.stopGang(j, StateFailed, why, now)...)
	case s.isPoison(j):
		return append(cmds, s.stopGang(j, StateFailed, "it failed on several workers that run other jobs well: the job is at fault", now)...)
	default:
		return append(cmds, s.stopGang(j, StateQueued, why, now)...)
	}
}

// isPoison tells whether a job is at fault: it failed on several workers that are
// not set aside, or too often.
func (s *Scheduler) isPoison(j *job) bool {
	if j.record.GetFailures() >= maxFailures {
		return true
	}
	good := 0
	for _, name := range j.record.GetSuspects() {
		if w, ok := s.workers[name]; !ok || !w.health.quarantined {
			good++
		}
	}
	return good >= poisonThreshold
}

// countFailure counts a failure against a worker and sets it aside when enough jobs
// failed there that failed nowhere else.
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
	speaks := 0
	for id := range w.health.failedJobs {
		if o, ok := s.jobs[id]; ok && len(o.record.GetSuspects()) == 1 {
			speaks++
		}
	}
	if w.health.quarantined || speaks < quarantineThreshold {
		return nil
	}
	return s.quarantine(name, w, now)
}

func (s *Scheduler) quarantine(name string, w *worker, now time.Time) []Cmd {
	wait := min(minQuarantine<<w.health.quarantines, maxQuarantine)
	w.health.quarantines++
	w.health.quarantined, w.health.onProbation, w.health.probationJob = true, false, ""
	w.health.quarantinedUntil = now.Add(wait)
	s.refreshUsable()
	s.assignPending, s.schedulePending = true, true
	return []Cmd{QuarantineCmd{worker: name}}
}

// avoidWorker makes a job avoid a worker that did not start its member, without
// counting a failure against either.
func (s *Scheduler) avoidWorker(j *job, m *member) {
	j.avoidedWorker = m.grant.GetWorker()
}

// endQuarantines lets workers whose time aside is over take one job.
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

// clearFailures takes a success as proof that its workers are well, and tells which of
// them take work again.
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

// probationAllows tells whether a job may use the workers on probe in a block: only an
// idempotent one, and one at a time.
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

// onProbation tells whether an accelerator's worker is on probe.
func (s *Scheduler) onProbation(accelerator int) bool {
	w := s.workers[s.layout.spans[s.layout.spanAt[accelerator]].worker.Name()]
	return w != nil && w.health.onProbation
}

func (s *Scheduler) workerBusy(name string) bool {
	st := s.layout.spans[s.layout.spanByWorker[name]]
	for a := range st.worker.Accelerators() {
		if s.allocated[st.start+a] != nil {
			return true
		}
	}
	return false
}
