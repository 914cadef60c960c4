package hfplan

import (
	"time"
)

const (
	quarantineThreshold = 2               // jobs that fail on a worker in a row before it is set aside
	minQuarantine       = 2 * time.Second // first time that a worker is set aside
	maxQuarantine       = 6 * time.Second // longest time: a worker that is well again must not lie idle beside waiting work
)

// blame notes that a task failed on a worker. Several jobs that fail in a row speak
// against the worker; one job that fails everywhere speaks against the job.
func (s *Scheduler) recordFailure(w *worker, j *job, now time.Time) {
	w.failedJobs[j.id()] = true
	if len(w.failedJobs) < quarantineThreshold && w.quarantines == 0 {
		return
	}
	w.failedJobs = map[string]bool{}
	s.quarantine(w, j, "tasks of several jobs failed in a row", now)
}

// setAside keeps new tasks away from a worker, the longer the more often that happened since
// a task ended well there.
func (s *Scheduler) quarantine(w *worker, j *job, reason string, now time.Time) {
	w.quarantinedUntil = now.Add(min(minQuarantine<<w.quarantines, maxQuarantine))
	w.quarantines = min(w.quarantines+1, 8)
	s.updateUsable(w, now)
	s.emit(NoteCmd{note: NoteAside, worker: w.id(), job: j.id(), reason: reason})
}

// trust notes that a task ended well on a worker.
func (s *Scheduler) recordSuccess(w *worker) {
	if len(w.failedJobs) > 0 {
		w.failedJobs = map[string]bool{}
	}
	w.quarantines = 0
}
