package hfplan

import (
	"fmt"
	"slices"
	"time"

	"github.com/heatherfront/heatherfront/hfwork"
)

// RejectedError reports that the store does not accept some records of a StoreCmd. All others are
// stored.
type RejectedError struct {
	jobs    []string // ids of jobs whose progress was rejected, at least in part
	workers []string // ids of workers of the roster
}

// NewRejectedError returns the error for the given jobs and workers.
func NewRejectedError(jobs, workers []string) *RejectedError {
	return &RejectedError{jobs: jobs, workers: workers}
}

// Error implements error.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("the store rejected the records of jobs %v and workers %v", e.jobs, e.workers)
}

// Jobs returns the ids of the jobs whose progress was rejected.
func (e *RejectedError) Jobs() []string { return e.jobs }

// Workers returns the ids of the workers that cannot be in the stored roster.
func (e *RejectedError) Workers() []string { return e.workers }

// Without returns a copy of the message for a StoreCmd of which some records were rejected.
func (m StoredMsg) Without(e *RejectedError) StoredMsg {
	m.rejected = e
	return m
}

func (m StoredMsg) lacksWorker(id string) bool {
	return m.rejected != nil && slices.Contains(m.rejected.workers, id)
}

// rejectJobs fails the jobs whose progress cannot be stored, as a later scheduler might run their
// tasks again. It reports whether there is one. The ends that such a record was to hold may be
// acknowledged once the failure is stored.
func (s *Scheduler) rejectJobs(m StoredMsg, now time.Time) bool {
	failed := false
	for _, id := range m.rejected.Jobs() {
		j := s.jobs[id]
		if j == nil || hfwork.IsFinal(j.state) {
			continue // not even the final state is accepted
		}
		s.endJob(j, hfwork.StateFailed, "its progress cannot be stored", now)
		s.stopJob(j, now)
		failed = true
	}
	return failed
}

// postponeAcks acknowledges the ends of the StoreCmd in flight after the next one.
func (s *Scheduler) postponeAcks() {
	for w, sequence := range s.acksInFlight {
		s.pendingAcks[w] = max(s.pendingAcks[w], sequence)
	}
}
