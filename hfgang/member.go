package hfgang

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/heatherfront/heatherfront/hfwire"
	"github.com/heatherfront/heatherfront/hfworker"
)

// startGang starts every member of a gang held, once the record is stored.
func (s *Scheduler) startGang(j *job, b Block, sh *guarantee, now time.Time) {
	s.dropPlan(j)
	r := j.record
	r.Attempt++
	r.Grants, r.Released, r.Claimed, r.Next = s.layout.splitIntoGrants(b), false, sh != nil, ""
	j.setMembers(r.GetGrants(), phaseRequested)
	j.block, j.guarantee, j.startDeadline, j.reportsValidFrom = b, sh, time.Time{}, time.Time{}
	if sh != nil {
		sh.claims[j.id()] = j
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

// releaseGang lets a gang run, once it is recorded that it may.
func (s *Scheduler) releaseGang(j *job, now time.Time) []Cmd {
	if !j.record.GetReleased() {
		if !j.allMembers(func(m *member) bool { return m.phase == phaseHeld }) {
			s.violation = fmt.Errorf("%w: job %s released before all members were held", ErrPartialGang, j.id())
		}
		j.record.Released = true
		j.record.Started = now.UnixMilli()
		j.enterState(StateRunning, "all members are up", now)
	}
	j.reportsValidFrom = now.Add(s.timing.freshness())
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

// stopGang ends an attempt: it stops every member and then enters the state next.
func (s *Scheduler) stopGang(j *job, next, why string, now time.Time) []Cmd {
	if j.state() != StateStopping {
		j.enterState(StateStopping, why, now)
	}
	j.record.Next, j.record.Reason = next, why
	j.checkpointDeadline = time.Time{}
	s.markDirty(j)
	cmds := s.stopMembers(j, now)
	return append(cmds, s.finishStopping(j, now)...)
}

// preempt saves the work of a gang and then stops it.
func (s *Scheduler) preempt(j *job, why string, now time.Time) []Cmd {
	if j.state() == StateStarting {
		return s.stopGang(j, StateQueued, why, now)
	}
	j.enterState(StateStopping, why, now)
	j.record.Next = StateQueued
	j.checkpointDeadline = now.Add(checkpointWindow)
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

func (s *Scheduler) workerOf(m *member) *worker {
	w, ok := s.workers[m.grant.GetWorker()]
	if !ok {
		return &worker{lost: true}
	}
	return w
}

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

// handleAnswer takes a worker's answer about one member.
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
		return nil // no answer: the start window decides
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
	if m.refused {
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

// finishCheckpoint keeps the progress that every member saved, and stops the gang.
func (s *Scheduler) finishCheckpoint(j *job, now time.Time) []Cmd {
	j.checkpointDeadline = time.Time{}
	if len(j.checkpoints) == len(j.members) {
		kept := j.checkpoints[0]
		for _, from := range j.checkpoints {
			kept = min(kept, from)
		}
		j.record.Attained = max(j.record.GetAttained(), kept)
		s.markDirty(j)
	}
	j.checkpoints = nil
	cmds := s.stopMembers(j, now)
	return append(cmds, s.finishStopping(j, now)...)
}

func (s *Scheduler) stopAnswered(j *job, mb *member, m AnsweredMsg, now time.Time) []Cmd {
	if j.state() != StateStopping || m.state == "" {
		return nil
	}
	mb.phase = endPhase(m.state)
	return s.finishStopping(j, now)
}

func endPhase(state string) phase {
	switch state {
	case hfworker.StateDone:
		return phaseDone
	case hfworker.StateFailed:
		return phaseFailed
	default:
		return phaseStopped
	}
}

// finishStopping moves a stopping job on when its last member has ended. A gang whose
// members all report that they finished is done, whatever it was stopped for.
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
	why := j.record.GetReason()
	s.vacate(j)
	j.record.Released, j.record.Claimed = false, false
	j.enterState(StateQueued, why, now)
	s.markDirty(j)
	return nil
}

// vacate takes a job off its accelerators.
func (s *Scheduler) vacate(j *job) {
	if j.guarantee != nil {
		delete(j.guarantee.claims, j.id())
		j.guarantee = nil
	}
	if len(j.record.GetGrants()) > 0 {
		j.vacated = append(j.vacated, j.record.GetGrants()...)
		s.vacatingJobs[j] = true
	}
	j.record.Grants, j.record.Next = nil, ""
	j.members, j.block = nil, Block{}
	s.schedulePending, s.assignPending = true, true
}

// finish enters a final state.
func (s *Scheduler) finish(j *job, state, why string, now time.Time) []Cmd {
	var cmds []Cmd
	if state == StateDone {
		cmds = s.clearFailures(j)
	}
	grants := j.record.GetGrants()
	s.vacate(j)
	s.dropPlan(j)
	j.record.Grants = grants
	j.record.Finished = now.UnixMilli()
	j.enterState(state, why, now)
	delete(s.open, j.id())
	s.recordRunTime(j)
	s.markDirty(j)
	return cmds
}

// attemptLost ends a released attempt whose members did not all survive. Only an
// idempotent job may run again.
func (s *Scheduler) attemptLost(j *job, why string, now time.Time) []Cmd {
	if s.rules.mayRetry(j) {
		return s.stopGang(j, StateQueued, why, now)
	}
	return s.stopGang(j, StateUnknown, why, now)
}

// handleReport takes a worker's handleReport and judges every gang with a member there.
func (s *Scheduler) handleReport(m ReportMsg, now time.Time) []Cmd {
	w, ok := s.workers[m.worker]
	if !ok {
		return nil
	}
	wasGone, wasStale := w.unreachable(), w.stale
	if m.lost {
		w.markLost(now)
		w.tasks = nil
	} else {
		w.reported, w.lost, w.stale, w.freshAt = true, false, false, now
		w.tasks = make(map[string]*hfwire.Task, len(m.tasks))
		for _, t := range m.tasks {
			w.tasks[t.GetId()] = t
		}
	}
	if wasGone != w.unreachable() || wasStale != w.stale {
		s.refreshUsable()
		s.assignBlocks()
		s.schedulePending = true
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

// markFresh takes the word that some workers' reports are still fresh.
func (s *Scheduler) markFresh(names []string, now time.Time) {
	for _, name := range names {
		if w, ok := s.workers[name]; ok && w.reported && !w.lost {
			w.freshAt = now
		}
	}
	s.refreshStale(now)
}

// refreshStale takes workers whose reports are no longer fresh out of placement, and
// fresh ones in again. What runs on them is left to its observers.
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

// jobsOn returns the jobs with a member jobsOn a worker, in a fixed order.
func (s *Scheduler) jobsOn(name string) []*job {
	var jobs []*job
	seen := map[string]bool{}
	if i, ok := s.layout.spanByWorker[name]; ok {
		st := s.layout.spans[i]
		for a := range st.worker.Accelerators() {
			if j := s.allocated[st.start+a]; j != nil && !seen[j.id()] {
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

// stopOrphans stops tasks on a worker that no open job accounts for.
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

// evaluateJob compares a placed job with the last reports of its workers.
func (s *Scheduler) evaluateJob(j *job, now time.Time) []Cmd {
	for _, m := range j.members {
		if m.phase.ended() {
			continue
		}
		if cmds, over := s.evaluateMember(j, m, now); over {
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

// evaluateMember returns over when the whole gang's fate is decided.
func (s *Scheduler) evaluateMember(j *job, m *member, now time.Time) (cmds []Cmd, over bool) {
	w := s.workerOf(m)
	if w.unreachable() {
		if !w.lost || j.state() == StateStopping {
			return nil, false
		}
		return s.memberLost(j, m, now), true
	}
	t, ok := w.tasks[j.taskID(m.grant.GetIndex())]
	settled := !j.reportsValidFrom.IsZero() && !w.freshAt.Before(j.reportsValidFrom) // a report from before the release shows nothing
	switch {
	case !ok && j.state() == StateRunning && settled:
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
		m.phase = max(m.phase, phaseRunning)
	}
	return nil, false
}

func (s *Scheduler) memberLost(j *job, m *member, now time.Time) []Cmd {
	why := "member " + m.grant.GetWorker() + " was lost"
	if !j.record.GetReleased() {
		return s.stopGang(j, StateQueued, why, now)
	}
	return s.attemptLost(j, why, now)
}
