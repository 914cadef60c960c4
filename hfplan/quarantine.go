package hfplan

import (
	"time"
)

const (
	quarantineThreshold    = 2               // distinct jobs that fail on a worker without a success in between
	minQuarantine          = 2 * time.Second // first quarantine; doubles with each further one
	maxQuarantine          = 6 * time.Second // limits how long a recovered worker sits idle while tasks wait
	maxQuarantineDoublings = 8               // bounds the exponent of the backoff
)

// recordFailure counts a failed task against its worker. Failures of several jobs in
// a row point to the worker, so it is quarantined; a single job that fails
// everywhere points to the job. After a first quarantine, one failure suffices until
// a task succeeds.
func (s *Scheduler) recordFailure(w *worker, j *job, now time.Time) {
	w.failedJobs[j.id()] = true
	if len(w.failedJobs) < quarantineThreshold && w.quarantines == 0 {
		return
	}
	w.failedJobs = map[string]bool{}
	s.quarantine(w, j, "tasks of several jobs failed in a row", now)
}

// quarantine stops placing tasks on a worker for a while. The duration doubles with
// each quarantine since the last task that succeeded there.
func (s *Scheduler) quarantine(w *worker, j *job, reason string, now time.Time) {
	w.quarantinedUntil = now.Add(min(minQuarantine<<w.quarantines, maxQuarantine))
	w.quarantines = min(w.quarantines+1, maxQuarantineDoublings)
	s.updateUsable(w, now)
	s.emit(NoteCmd{note: NoteQuarantined, worker: w.id(), job: j.id(), reason: reason})
}

// recordSuccess clears the failure record of a worker after a task succeeded there.
func (s *Scheduler) recordSuccess(w *worker) {
	if len(w.failedJobs) > 0 {
		w.failedJobs = map[string]bool{}
	}
	w.quarantines = 0
}
