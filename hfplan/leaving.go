package hfplan

import "time"

// evacuationLead is the time before a draining worker may end at which its runs are stopped, so that
// their ends are read and stored: a tick (200 ms), an unanswered stop and the next one (300 ms each),
// and the stop itself (200 ms).
const evacuationLead = time.Second

// evacuate stops the runs of a worker that may soon end. An end that it cannot report any more would
// be lost, and its task would run again.
func (s *Scheduler) evacuate(w *worker, now time.Time) {
	if w.silent || w.mayEndAt.IsZero() || now.Before(w.mayEndAt.Add(-evacuationLead)) {
		return
	}
	for _, r := range sortedRuns(w.runs) {
		s.stopMembers(r, now)
	}
}
