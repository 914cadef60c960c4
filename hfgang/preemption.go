package hfgang

import (
	"time"

	"github.com/heatherfront/heatherfront/hfaccount"
	"github.com/heatherfront/heatherfront/hfconfig"
)

// reservation keeps a block for a job that has waited long. Other jobs may use the
// block only if they are expected to end before it becomes free.
type reservation struct {
	job          *job
	block        Block
	expectedFree time.Time
}

// entitlements returns the entitlements of the job's account, if the account is known.
func (s *Scheduler) entitlements(j *job) (*hfaccount.Entitlements, bool) {
	if s.directory == nil {
		return nil, false
	}
	return s.directory.Entitlements(j.record.GetAccount())
}

// preemptionVictims returns the gangs that must leave a block for a job, and the work
// lost by preempting them in accelerator-seconds. ok is false if the block is planned for
// another job or holds a non-preemptible job that is not already stopping.
func (s *Scheduler) preemptionVictims(b Block, j *job, now time.Time) (victims []*job, lost float64, ok bool) {
	seen := map[*job]bool{}
	for i := b.lo; i < b.hi; i++ {
		if s.planned[i] != nil && s.planned[i] != j {
			return nil, 0, false
		}
		v := s.allocated[i]
		if v == nil || seen[v] {
			continue
		}
		if v.nonPreemptible() && v.state() != StateStopping {
			return nil, 0, false
		}
		seen[v] = true
		victims = append(victims, v)
		lost += preemptionLoss(v, now)
	}
	return victims, lost, true
}

// preemptionLoss returns the work that preempting a job may lose, in
// accelerator-seconds: the current run time multiplied by the gang size.
func preemptionLoss(v *job, now time.Time) float64 {
	if v.state() != StateRunning {
		return 0
	}
	ran := now.Sub(time.UnixMilli(v.record.GetStarted()))
	return ran.Seconds() * float64(v.size())
}

// planByPreemption returns a plan for an urgent job on accelerators of preemptible jobs
// of a lower class, or nil. The victims are whole gangs with the least work to lose.
func (s *Scheduler) planByPreemption(j *job, now time.Time) *plan {
	var best *plan
	bestLoss := 0.0
	s.layout.Blocks(j.size(), s.layout.All(), func(b Block) bool {
		if !s.mayPlace(b, j, now) || (j.nonPreemptible() && !s.outsideGuarantees(b)) {
			return true
		}
		victims, lost, ok := s.preemptionVictims(b, j, now)
		if !ok || (best != nil && lost >= bestLoss) {
			return true
		}
		for _, v := range victims {
			if v.class().Rank() <= hfconfig.ClassUrgent.Rank() {
				return true
			}
		}
		best, bestLoss = &plan{block: b, victims: victims}, lost
		return true
	})
	return best
}

// reserveOldest reserves a block for the job that has waited longest, if it has waited
// for at least reserveAfter. The domain has at most one reservation at a time.
func (s *Scheduler) reserveOldest(waiting []*job, now time.Time) {
	var oldest *job
	for _, j := range waiting {
		if j.plan == nil && !s.overQuota(j) && (oldest == nil || j.record.GetSubmitted() < oldest.record.GetSubmitted()) {
			oldest = j
		}
	}
	if oldest != nil && now.Sub(time.UnixMilli(oldest.record.GetSubmitted())) >= reserveAfter {
		s.reserve(oldest, now)
	}
}

// reserve reserves for a job the block that is expected to become free first.
func (s *Scheduler) reserve(j *job, now time.Time) {
	ends := s.expectedEnds(now)
	s.layout.Blocks(j.size(), s.layout.All(), func(b Block) bool {
		if !s.layout.usable(b) || j.nonPreemptible() && !s.outsideGuarantees(b) {
			return true
		}
		freeAt := now
		for i := b.lo; i < b.hi; i++ {
			if ends[i].After(freeAt) {
				freeAt = ends[i]
			}
		}
		if s.reserved == nil || freeAt.Before(s.reserved.expectedFree) {
			s.reserved = &reservation{job: j, block: b, expectedFree: freeAt}
		}
		return true
	})
}

// expectedEnds returns the time at which each accelerator is expected to become free.
func (s *Scheduler) expectedEnds(now time.Time) []time.Time {
	ends := make([]time.Time, s.layout.Total())
	endOf := map[*job]time.Time{}
	for i, j := range s.allocated {
		if j == nil {
			continue
		}
		if _, ok := endOf[j]; !ok {
			endOf[j] = now.Add(s.expectedRemaining(j, now))
		}
		ends[i] = endOf[j]
	}
	return ends
}

// delaysReservation reports whether placing a job on a block would delay the job with
// the reservation. It returns false for an urgent job if the reservation is for a job
// that is not urgent.
func (s *Scheduler) delaysReservation(j *job, b Block, now time.Time) bool {
	r := s.reserved
	if r == nil || r.job == j || !r.block.overlaps(b) || j.class() == hfconfig.ClassUrgent && r.job.class() != hfconfig.ClassUrgent {
		return false
	}
	return now.Add(s.expectedRemaining(j, now)).After(r.expectedFree)
}
