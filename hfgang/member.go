package hfgang

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/heatherfront/heatherfront/hfwire"
	"github.com/heatherfront/heatherfront/hfworker"
)

// startGang places a job on a block. The start commands for its members, which start
// held, are sent once the record is stored.
func (s *Scheduler) startGang(j *job, b Block, g *guarantee, now time.Time) {
	s.dropPlan(j)
	r := j.record
	r.Attempt++
	r.Grants, r.Released, r.Claimed, r.Next = s.layout.splitIntoGrants(b), false, g != nil, ""
	j.setMembers(r.GetGrants(), phaseRequested)
	j.block, j.guarantee, j.startDeadline, j.reportsValidFrom = b, g, time.Time{}, time.Time{}
	j.resumed, j.heldUntil, j.counted = false, time.Time{}, false
	if s.isolates(j, now) {
		s.isolatedJobs[j] = true
	}
	if g != nil {
		g.claims[j.id()] = j
	}
	j.enterState(StateStarting, "placed", now)
	starts := make([]Cmd, 0, len(j.members))
	for _, m := range j.members {
		starts = append(starts, j.command(VerbStart, m))
	}
	s.markDirty(j, starts...)
	s.usage[s.account(j)] += j.size()
	s.markAllocated(j)
}

// releaseGang lets all members of a gang run. The release commands are sent once the
// record is stored.
func (s *Scheduler) releaseGang(j *job, now time.Time) []Cmd {
	if !j.record.GetReleased() {
		if !j.allMembers(func(m *member) bool { return m.phase == phaseHeld }) {
			s.violation = fmt.Errorf("%w: job %s released before all members were held", ErrPartialGang, j.id())
		}
		j.record.Released = true
		j.record.Started = now.UnixMilli()
		j.enterState(StateRunning, "all members are up", now)
	}
	j.reportsValidFrom = now.Add(s.timing.reportAge())
	var releases []Cmd
	for _, m := range j.members {
		if !m.phase.ended() {
			m.lastCommand = now
			releases = append(releases, j.command(VerbRelease, m))
		}
	}
	s.markDirty(j, releases...)
	return nil
}

// stopGang ends an attempt: it stops every member, after which the job enters state
// next.
func (s *Scheduler) stopGang(j *job, next, reason string, now time.Time) []Cmd {
	if j.state() != StateStopping {
		j.enterState(StateStopping, reason, now)
	}
	j.record.Next, j.record.Reason = next, reason
	j.checkpointDeadline = time.Time{}
	s.revokePending = true
	s.markDirty(j)
	cmds := s.stopMembers(j, now)
	return append(cmds, s.finishStopping(j, now)...)
}

// preempt checkpoints a gang and then stops it.
func (s *Scheduler) preempt(j *job, reason string, now time.Time) []Cmd {
	if j.state() == StateStarting {
		return s.stopGang(j, StateQueued, reason, now)
	}
	j.enterState(StateStopping, reason, now)
	j.record.Next = StateQueued
	j.checkpointDeadline = now.Add(checkpointWindow)
	s.revokePending = true
	s.markDirty(j)
	var cmds []Cmd
	for _, m := range j.members {
		m.checkpointed = m.phase.ended() || s.workerOf(m).unreachable()
		if !m.checkpointed {
			cmds = append(cmds, j.command(VerbCheckpoint, m))
		}
	}
	return cmds
}

// workerOf returns the worker of a member. A worker that is not listed counts as lost, and as one that
// has left.
func (s *Scheduler) workerOf(m *member) *worker {
	w, ok := s.workers[m.grant.GetWorker()]
	if !ok {
		return &worker{lost: true, leaving: true}
	}
	return w
}

// stopMembers returns stop commands for the members that have not ended, on reachable
// workers.
func (s *Scheduler) stopMembers(j *job, now time.Time) []Cmd {
	var cmds []Cmd
	for _, m := range j.members {
		if m.phase.ended() || s.workerOf(m).unreachable() {
			continue
		}
		m.lastCommand = now
		cmds = append(cmds, j.command(VerbStop, m))
	}
	return cmds
}

// handleAnswer processes a worker's answer about one member.
func (s *Scheduler) handleAnswer(m AnsweredMsg, now time.Time) []Cmd {
	j, ok := s.open[m.job]
	if !ok || !j.placed() || j.record.GetAttempt() != m.attempt {
		return nil
	}
	mb := j.member(m.index)
	if mb == nil || mb.phase.ended() {
		return nil
	}
	switch m.verb {
	case VerbStart:
		return s.startAnswered(j, mb, m, now)
	case VerbRelease:
		return s.releaseAnswered(j, mb, m, now)
	case VerbCheckpoint:
		return s.checkpointAnswered(j, mb, m, now)
	case VerbStop:
		return s.stopAnswered(j, mb, m, now)
	}
	return nil
}

func (s *Scheduler) startAnswered(j *job, mb *member, m AnsweredMsg, now time.Time) []Cmd {
	if j.state() != StateStarting {
		return nil
	}
	if m.refused {
		s.avoidWorker(j, mb)
		return s.stopGang(j, StateQueued, "worker "+mb.grant.GetWorker()+" refused a member", now)
	}
	if m.state != hfworker.StateHeld {
		return nil // no answer: startDeadline applies
	}
	mb.phase = phaseHeld
	if s.rules.mayRelease(j) {
		return s.releaseGang(j, now)
	}
	return nil
}

func (s *Scheduler) releaseAnswered(j *job, mb *member, m AnsweredMsg, now time.Time) []Cmd {
	if j.state() != StateRunning {
		return nil
	}
	if m.refused && j.resumed {
		return nil // the reports show whether it lapsed or its worker was restarted
	}
	if m.refused {
		mb.refused = now.Before(j.heldUntil)
		return s.attemptLost(j, "a member lapsed before its release", now)
	}
	if m.state == hfworker.StateRunning {
		mb.phase = phaseRunning
	}
	return nil
}

func (s *Scheduler) checkpointAnswered(j *job, mb *member, m AnsweredMsg, now time.Time) []Cmd {
	if j.state() != StateStopping || j.checkpointDeadline.IsZero() {
		return nil
	}
	mb.checkpointed = true
	if !m.refused && m.state != "" {
		j.checkpoints = append(j.checkpoints, m.from)
	}
	if !j.allMembers(func(m *member) bool { return m.checkpointed }) {
		return nil
	}
	return s.finishCheckpoint(j, now)
}

// finishCheckpoint records the progress that all members have saved, if every one of
// them confirmed its checkpoint, and stops the gang.
func (s *Scheduler) finishCheckpoint(j *job, now time.Time) []Cmd {
	j.checkpointDeadline = time.Time{}
	if len(j.checkpoints) == len(j.members) {
		progress := j.checkpoints[0]
		for _, from := range j.checkpoints {
			progress = min(progress, from)
		}
		j.record.Attained = max(j.record.GetAttained(), progress)
		s.markDirty(j)
	}
	j.checkpoints = nil
	cmds := s.stopMembers(j, now)
	return append(cmds, s.finishStopping(j, now)...)
}

func (s *Scheduler) stopAnswered(j *job, mb *member, m AnsweredMsg, now time.Time) []Cmd {
	if j.state() != StateStopping {
		return nil
	}
	switch m.state {
	case hfworker.StateDone:
		mb.phase = phaseDone
	case hfworker.StateFailed:
		mb.phase = phaseFailed
	case hfworker.StateStopped:
		if mb.refused {
			s.workerOf(mb).fail(now)
			s.countCrash(j, mb, now, true)
		}
		mb.phase = phaseStopped
	default:
		return nil // no answer, or the task still runs: the stop is resent
	}
	return s.finishStopping(j, now)
}

// finishStopping moves a stopping job to its next state once all its members have
// ended. If all of them finished, the job is done, whatever the reason for the stop.
func (s *Scheduler) finishStopping(j *job, now time.Time) []Cmd {
	if j.state() != StateStopping || !j.allMembers(func(m *member) bool { return m.phase.ended() }) {
		return nil
	}
	next := j.record.GetNext()
	if j.allMembers(func(m *member) bool { return m.phase == phaseDone }) {
		return s.finish(j, StateDone, "all members finished", now)
	}
	if next != StateQueued {
		return s.finish(j, next, j.record.GetReason(), now)
	}
	if reason, exhausted := s.settleCrashes(j); exhausted {
		return s.finish(j, StateFailed, reason, now)
	}
	reason := j.record.GetReason()
	s.vacate(j)
	j.record.Released, j.record.Claimed = false, false
	j.enterState(StateQueued, reason, now)
	s.markDirty(j)
	return nil
}

// vacate removes a job from its accelerators.
func (s *Scheduler) vacate(j *job) {
	if j.guarantee != nil {
		delete(j.guarantee.claims, j.id())
		j.guarantee = nil
	}
	if len(j.record.GetGrants()) > 0 {
		j.vacated = append(j.vacated, j.record.GetGrants()...)
		s.vacatingJobs[j] = true
	}
	delete(s.isolatedJobs, j)
	j.record.Grants, j.record.Next = nil, ""
	j.members, j.block = nil, Block{}
	j.revoked, j.renewalsEnd = false, time.Time{}
	s.revokePending = true
	s.schedulePending, s.assignPending = true, true
}

// finish moves a job to a final state.
func (s *Scheduler) finish(j *job, state, reason string, now time.Time) []Cmd {
	var cmds []Cmd
	if state == StateDone {
		cmds = s.clearFailures(j)
	}
	grants := j.record.GetGrants()
	s.vacate(j)
	s.dropPlan(j)
	j.record.Grants = grants
	j.record.Finished = now.UnixMilli()
	j.enterState(state, reason, now)
	delete(s.open, j.id())
	s.recordRunTime(j)
	s.markDirty(j)
	return cmds
}

// attemptLost ends a released attempt that lost members. Only an idempotent job may run
// again.
func (s *Scheduler) attemptLost(j *job, reason string, now time.Time) []Cmd {
	if s.rules.mayRetry(j) {
		return s.stopGang(j, StateQueued, reason, now)
	}
	return s.stopGang(j, StateUnknown, reason, now)
}

// handleReport processes a worker's report and evaluates every gang with a member on
// the worker.
func (s *Scheduler) handleReport(m ReportMsg, now time.Time) []Cmd {
	w, ok := s.workers[m.worker]
	if !ok {
		return nil
	}
	wasUnreachable, wasLost, wasStale := w.unreachable(), w.lost, w.stale
	if m.lost {
		w.markLost(now)
		w.tasks = nil
	} else {
		w.reported, w.lost, w.stale, w.freshAt, w.reportedAt = true, false, false, now, now
		w.tasks = make(map[string]*hfwire.Task, len(m.tasks))
		for _, t := range m.tasks {
			w.tasks[t.GetId()] = t
		}
	}
	if wasUnreachable != w.unreachable() || wasStale != w.stale {
		s.refreshUsable()
		s.assignBlocks()
		s.schedulePending = true
	}
	if wasLost && !m.lost {
		s.absolve(m.worker, w)
	}
	var cmds []Cmd
	if s.loaded && !m.lost {
		cmds = s.stopOrphans(m.worker, w)
	}
	for _, j := range s.jobsOn(m.worker) {
		cmds = append(cmds, s.evaluateJob(j, now)...)
	}
	return cmds
}

// markFresh records that the last reports of the named workers are still current.
func (s *Scheduler) markFresh(names []string, now time.Time) {
	for _, name := range names {
		if w, ok := s.workers[name]; ok && w.reported && !w.lost {
			w.freshAt = now
		}
	}
	s.refreshStale(now)
}

// refreshStale excludes workers from placement whose reports are no longer current, and
// includes those that are current again. It does not affect running jobs: lost
// workers are detected by the observers, the instances that poll the workers.
func (s *Scheduler) refreshStale(now time.Time) {
	changed := false
	for _, w := range s.workers {
		stale := w.reported && !w.lost && now.Sub(w.freshAt) > s.timing.freshness()
		changed = changed || stale != w.stale
		w.stale = stale
	}
	if changed {
		s.refreshUsable()
		s.assignBlocks()
		s.schedulePending = true
	}
}

// jobsOn returns the jobs with a member on a worker, in a deterministic order.
func (s *Scheduler) jobsOn(name string) []*job {
	var jobs []*job
	seen := map[string]bool{}
	if i, ok := s.layout.spanByWorker[name]; ok {
		span := s.layout.spans[i]
		for a := range span.worker.Accelerators() {
			if j := s.allocated[span.start+a]; j != nil && !seen[j.id()] {
				seen[j.id()] = true
				jobs = append(jobs, j)
			}
		}
		return jobs
	}
	return sortedByID(s.open, func(j *job) bool {
		return slices.ContainsFunc(j.members, func(m *member) bool { return m.grant.GetWorker() == name })
	})
}

// stopOrphans returns stop commands for tasks on a worker that belong to no current
// attempt of an open job.
func (s *Scheduler) stopOrphans(name string, w *worker) []Cmd {
	var cmds []Cmd
	for _, id := range slices.Sorted(maps.Keys(w.tasks)) {
		t := w.tasks[id]
		if t.GetState() != hfworker.StateHeld && t.GetState() != hfworker.StateRunning {
			continue
		}
		if j, ok := s.open[t.GetJob()]; ok && j.placed() && j.record.GetAttempt() == t.GetAttempt() {
			continue
		}
		cmds = append(cmds, TaskCmd{
			verb: VerbStop, task: id, job: t.GetJob(), attempt: t.GetAttempt(), size: t.GetSize(),
			grant: &hfwire.Grant{Worker: name, Index: t.GetIndex()},
		})
	}
	return cmds
}

// evaluateJob compares a placed job with the last reports of its workers and advances
// its state.
func (s *Scheduler) evaluateJob(j *job, now time.Time) []Cmd {
	for _, m := range j.members {
		if m.phase.ended() {
			continue
		}
		if cmds, decided := s.evaluateMember(j, m, now); decided {
			return cmds
		}
	}
	if j.state() == StateStopping {
		return s.finishStopping(j, now)
	}
	if j.state() == StateRunning && j.allMembers(func(m *member) bool { return m.phase == phaseDone }) {
		return s.finish(j, StateDone, "all members finished", now)
	}
	return nil
}

// evaluateMember compares one member with the last report of its worker. decided is
// true if the outcome of the whole attempt is decided.
func (s *Scheduler) evaluateMember(j *job, m *member, now time.Time) (cmds []Cmd, decided bool) {
	w := s.workerOf(m)
	if w.lost {
		s.countCrash(j, m, w.silentSince, false)
	}
	if w.unreachable() {
		if !w.lost || j.state() == StateStopping {
			return nil, false
		}
		return s.memberLost(j, m, now), true
	}
	t, ok := w.tasks[j.taskID(m.grant.GetIndex())]
	m.identifyCrash(ok)
	// A report that may be from before the release says nothing about the released members.
	reportIsCurrent := !j.reportsValidFrom.IsZero() && !w.freshAt.Before(j.reportsValidFrom)
	switch {
	case !ok && j.state() == StateRunning && reportIsCurrent:
		w.fail(w.reportedAt)
		s.countCrash(j, m, w.reportedAt, true)
		return s.attemptLost(j, "worker "+m.grant.GetWorker()+" no longer has its member", now), true
	case !ok:
		return nil, false
	}
	switch t.GetState() {
	case hfworker.StateDone:
		m.phase = phaseDone
	case hfworker.StateFailed:
		m.phase = phaseFailed
		if j.state() == StateRunning {
			return s.memberFailed(j, m, now), true
		}
	case hfworker.StateStopped:
		m.phase = phaseStopped
		if j.state() != StateStopping {
			return s.memberLost(j, m, now), true
		}
	case hfworker.StateRunning:
		m.phase, m.seenRunning = max(m.phase, phaseRunning), true
	}
	return nil, false
}

// memberLost handles the loss of a member. An attempt that was not released goes back
// to the queue.
func (s *Scheduler) memberLost(j *job, m *member, now time.Time) []Cmd {
	reason := "member " + m.grant.GetWorker() + " was lost"
	if !j.record.GetReleased() {
		return s.stopGang(j, StateQueued, reason, now)
	}
	return s.attemptLost(j, reason, now)
}
