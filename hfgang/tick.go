package hfgang

import (
	"time"
)

// retryEvery is the interval at which waiting jobs are looked at although nothing
// was reported: ageing and probes pass with time alone.
const retryEvery = 10 * time.Second

// tick does what time alone makes due.
func (s *Scheduler) tick(now time.Time) []Cmd {
	if !s.loaded {
		return nil
	}
	s.refreshStale(now)
	var cmds []Cmd
	for _, j := range inOrder(s.open, (*job).placed) {
		switch j.state() {
		case StateStarting:
			cmds = append(cmds, s.tickStarting(j, now)...)
		case StateRunning:
			cmds = append(cmds, s.tickRunning(j, now)...)
		case StateStopping:
			cmds = append(cmds, s.tickStopping(j, now)...)
		}
	}
	cmds = append(cmds, s.probe(now)...)
	s.expire(now)
	if now.Sub(s.retried) >= retryEvery {
		s.retried, s.stale = now, true
	}
	return cmds
}

// tickStarting gives up a start that did not complete within its window.
func (s *Scheduler) tickStarting(j *job, now time.Time) []Cmd {
	if j.abort.IsZero() || now.Before(j.abort) {
		return nil
	}
	for _, m := range j.members {
		if m.phase == phaseAsked {
			s.blameRefusal(j, m)
			return s.stop(j, StateQueued, "worker "+m.grant.GetWorker()+" did not confirm a member", now)
		}
	}
	return nil
}

// tickRunning repeats releases without an answer and judges what is missing.
func (s *Scheduler) tickRunning(j *job, now time.Time) []Cmd {
	if j.settled.IsZero() || j.sent || j.dirty {
		return nil
	}
	var cmds []Cmd
	for _, m := range j.members {
		if m.phase < phaseRunning && now.Sub(m.asked) >= repeatAfter && !s.workerOf(m).gone() {
			m.asked = now
			cmds = append(cmds, j.command(VerbRelease, m))
		}
	}
	if now.Before(j.settled) {
		return cmds
	}
	return append(cmds, s.judge(j, now)...)
}

// tickStopping ends the wait for checkpoints, repeats stops without an answer and
// counts members on silent workers as stopped once their leases have lapsed.
func (s *Scheduler) tickStopping(j *job, now time.Time) []Cmd {
	if !j.saveUntil.IsZero() {
		if now.Before(j.saveUntil) {
			return nil
		}
		return s.endSaving(j, now)
	}
	var cmds []Cmd
	for _, m := range j.members {
		if m.phase.ended() {
			continue
		}
		w := s.workerOf(m)
		if w.gone() {
			if !now.Before(w.silent.Add(s.timing.lease() + lapseMargin)) {
				m.phase = phaseStopped
			}
			continue
		}
		if now.Sub(m.asked) >= repeatAfter {
			m.asked = now
			cmds = append(cmds, j.command(VerbStop, m))
		}
	}
	return append(cmds, s.settle(j, now)...)
}

// expire drops finished jobs that were kept for the retention time.
func (s *Scheduler) expire(now time.Time) {
	oldest := now.Add(-s.timing.retain()).UnixMilli()
	if now.Sub(s.expired) < s.timing.retain()/100 {
		return
	}
	s.expired = now
	for id, j := range s.jobs {
		if j.final() && !j.dirty && !j.sent && j.record.GetFinished() < oldest {
			delete(s.jobs, id)
			delete(s.byShard[shardOf(id)], id)
			s.changed[shardOf(id)] = true
		}
	}
}
