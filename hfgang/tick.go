package hfgang

import (
	"time"

	"github.com/heatherfront/heatherfront/hfworker"
)

// retryInterval is the interval at which waiting jobs are reconsidered without a new
// event. Some conditions, such as aging and the end of failureBackoff, depend on time
// alone.
const retryInterval = 10 * time.Second

// tick handles timeouts and other time-based work.
func (s *Scheduler) tick(now time.Time) []Cmd {
	if !s.loaded {
		return nil
	}
	s.refreshStale(now)
	var cmds []Cmd
	for _, j := range sortedByID(s.open, (*job).placed) {
		switch j.state() {
		case StateStarting:
			cmds = append(cmds, s.tickStarting(j, now)...)
		case StateRunning:
			cmds = append(cmds, s.tickRunning(j, now)...)
		case StateStopping:
			cmds = append(cmds, s.tickStopping(j, now)...)
		}
	}
	cmds = append(cmds, s.endQuarantines(now)...)
	s.endIsolation(now)
	s.expire(now)
	if now.Sub(s.lastRetry) >= retryInterval {
		s.lastRetry, s.schedulePending = now, true
	}
	return cmds
}

// tickStarting aborts a start that did not complete within startWindow.
func (s *Scheduler) tickStarting(j *job, now time.Time) []Cmd {
	if j.startDeadline.IsZero() || now.Before(j.startDeadline) {
		return nil
	}
	for _, m := range j.members {
		if m.phase == phaseRequested {
			s.avoidWorker(j, m)
			return s.stopGang(j, StateQueued, "worker "+m.grant.GetWorker()+" did not confirm a member", now)
		}
	}
	return nil
}

// tickRunning resends releases that were not answered and evaluates the job.
func (s *Scheduler) tickRunning(j *job, now time.Time) []Cmd {
	if j.reportsValidFrom.IsZero() || j.inCommit || j.dirty {
		return nil
	}
	var cmds []Cmd
	for _, m := range j.members {
		if m.phase < phaseRunning && now.Sub(m.lastCommand) >= resendAfter && !s.workerOf(m).unreachable() {
			m.lastCommand = now
			cmds = append(cmds, j.command(VerbRelease, m))
		}
	}
	if now.Before(j.reportsValidFrom) {
		return cmds
	}
	return append(cmds, s.evaluateJob(j, now)...)
}

// tickStopping ends the wait for checkpoints, resends stops that were not answered, and
// counts members on unreachable workers as stopped once their leases have expired. Observers that
// are cut off from this leader as well renew them until renewalsEnd.
func (s *Scheduler) tickStopping(j *job, now time.Time) []Cmd {
	if j.revoked && j.renewalsEnd.IsZero() {
		j.renewalsEnd = now.Add(hfworker.RenewalPermit)
	}
	if !j.checkpointDeadline.IsZero() {
		if now.Before(j.checkpointDeadline) {
			return nil
		}
		return s.finishCheckpoint(j, now)
	}
	var cmds []Cmd
	for _, m := range j.members {
		if m.phase.ended() {
			continue
		}
		w := s.workerOf(m)
		if w.unreachable() {
			if s.leasesExpired(j, w, now) {
				m.phase = phaseStopped
			}
			continue
		}
		if now.Sub(m.lastCommand) >= resendAfter {
			m.lastCommand = now
			cmds = append(cmds, j.command(VerbStop, m))
		}
	}
	return append(cmds, s.finishStopping(j, now)...)
}

// leasesExpired reports whether the leases of a stopping job on an unreachable worker have
// certainly expired.
func (s *Scheduler) leasesExpired(j *job, w *worker, now time.Time) bool {
	if j.renewalsEnd.IsZero() {
		return false
	}
	lastRenewal := j.renewalsEnd
	if w.silentSince.After(lastRenewal) {
		lastRenewal = w.silentSince
	}
	return !now.Before(lastRenewal.Add(s.timing.lease() + leaseMargin))
}

// revokeStopping returns the command that revokes the attempts of all stopping jobs.
func (s *Scheduler) revokeStopping() Cmd {
	gangs := map[hfworker.Gang]bool{}
	for _, j := range s.open {
		if j.state() == StateStopping {
			gangs[hfworker.NewGang(j.id(), j.record.GetAttempt())] = true
			j.revoked = true
		}
	}
	return RevokeCmd{gangs: gangs}
}

// expire drops finished jobs after the retention time.
func (s *Scheduler) expire(now time.Time) {
	oldest := now.Add(-s.timing.retention()).UnixMilli()
	if now.Sub(s.lastExpiry) < s.timing.retention()/100 {
		return
	}
	s.lastExpiry = now
	for _, j := range s.jobs {
		if j.droppable() && j.record.GetFinished() < oldest {
			s.drop(j)
		}
	}
}
