package hfgang

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/heatherfront/heatherfront/hfwire"
	"github.com/heatherfront/heatherfront/hfworker"
)

// begin starts every member of a gang held, once the record is stored.
func (s *Scheduler) begin(j *job, b Block, sh *shape, now time.Time) {
	s.dropPlan(j)
	r := j.record
	r.Attempt++
	r.Grants, r.Released, r.Claimed, r.Next = s.layout.grants(b), false, sh != nil, ""
	j.setMembers(r.GetGrants(), phaseAsked)
	j.block, j.shape, j.abort, j.settled = b, sh, time.Time{}, time.Time{}
	if sh != nil {
		sh.claims[j.id()] = j
	}
	j.enter(StateStarting, "placed", now)
	starts := make([]Cmd, 0, len(j.members))
	for _, m := range j.members {
		starts = append(starts, j.command(VerbStart, m))
	}
	s.touch(j, starts...)
	s.used[s.account(j)] += j.size()
	s.occupy(j)
}

// release lets a gang run, once it is recorded that it may.
func (s *Scheduler) release(j *job, now time.Time) []Cmd {
	if !j.record.GetReleased() {
		if !j.every(func(m *member) bool { return m.phase == phaseHeld }) {
			s.broken = fmt.Errorf("%w: job %s released before all members were held", ErrGang, j.id())
		}
		j.record.Released = true
		j.record.Started = now.UnixMilli()
		j.enter(StateRunning, "all members are up", now)
	}
	j.settled = now.Add(s.timing.fresh())
	var releases []Cmd
	for _, m := range j.members {
		if !m.phase.ended() {
			m.asked = now
			releases = append(releases, j.command(VerbRelease, m))
		}
	}
	s.touch(j, releases...)
	return nil
}

// stop ends an attempt: it stops every member and then enters the state next.
func (s *Scheduler) stop(j *job, next, why string, now time.Time) []Cmd {
	if j.state() != StateStopping {
		j.enter(StateStopping, why, now)
	}
	j.record.Next, j.record.Reason = next, why
	j.saveUntil = time.Time{}
	s.touch(j)
	cmds := s.stopMembers(j, now)
	return append(cmds, s.settle(j, now)...)
}

// preempt saves the work of a gang and then stops it.
func (s *Scheduler) preempt(j *job, why string, now time.Time) []Cmd {
	if j.state() == StateStarting {
		return s.stop(j, StateQueued, why, now)
	}
	j.enter(StateStopping, why, now)
	j.record.Next = StateQueued
	j.saveUntil = now.Add(checkpointWindow)
	s.touch(j)
	var cmds []Cmd
	for _, m := range j.members {
		m.saved = m.phase.ended() || s.workerOf(m).gone()
		if !m.saved {
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
		if m.phase.ended() || s.workerOf(m).gone() {
			continue
		}
		m.asked = now
		cmds = append(cmds, j.command(VerbStop, m))
	}
	return cmds
}

// task takes a worker's answer about one member.
func (s *Scheduler) task(m TaskMsg, now time.Time) []Cmd {
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

func (s *Scheduler) startAnswered(j *job, mb *member, m TaskMsg, now time.Time) []Cmd {
	if j.state() != StateStarting {
		return nil
	}
	if m.refused {
		s.blameRefusal(j, mb)
		return s.stop(j, StateQueued, "worker "+mb.grant.GetWorker()+" refused a member", now)
	}
	if m.state != hfworker.StateHeld {
		return nil // no answer: the start window decides
	}
	mb.phase = phaseHeld
	if s.rules.mayRelease(j) {
		return s.release(j, now)
	}
	return nil
}

func (s *Scheduler) releaseAnswered(j *job, mb *member, m TaskMsg, now time.Time) []Cmd {
	if j.state() != StateRunning {
		return nil
	}
	if m.refused {
		return s.lose(j, "a member lapsed before its release", now)
	}
	if m.state == hfworker.StateRunning {
		mb.phase = phaseRunning
	}
	return nil
}

func (s *Scheduler) checkpointAnswered(j *job, mb *member, m TaskMsg, now time.Time) []Cmd {
	if j.state() != StateStopping || j.saveUntil.IsZero() {
		return nil
	}
	mb.saved = true
	if !m.refused && m.state != "" {
		j.saved = append(j.saved, m.from)
	}
	if !j.every(func(m *member) bool { return m.saved }) {
		return nil
	}
	return s.endSaving(j, now)
}

// endSaving keeps the progress that every member saved, and stops the gang.
func (s *Scheduler) endSaving(j *job, now time.Time) []Cmd {
	j.saveUntil = time.Time{}
	if len(j.saved) == len(j.members) {
		kept := j.saved[0]
		for _, from := range j.saved {
			kept = min(kept, from)
		}
		j.record.Attained = max(j.record.GetAttained(), kept)
		s.touch(j)
	}
	j.saved = nil
	cmds := s.stopMembers(j, now)
	return append(cmds, s.settle(j, now)...)
}

func (s *Scheduler) stopAnswered(j *job, mb *member, m TaskMsg, now time.Time) []Cmd {
	if j.state() != StateStopping || m.state == "" {
		return nil
	}
	mb.phase = endPhase(m.state)
	return s.settle(j, now)
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

// settle moves a stopping job on when its last member has ended. A gang whose
// members all report that they finished is done, whatever it was stopped for.
func (s *Scheduler) settle(j *job, now time.Time) []Cmd {
	if j.state() != StateStopping || !j.every(func(m *member) bool { return m.phase.ended() }) {
		return nil
	}
	next := j.record.GetNext()
	if j.every(func(m *member) bool { return m.phase == phaseDone }) {
		return s.finish(j, StateDone, "all members finished", now)
	}
	if next != StateQueued {
		return s.finish(j, next, j.record.GetReason(), now)
	}
	why := j.record.GetReason()
	s.vacate(j)
	j.record.Released, j.record.Claimed = false, false
	j.enter(StateQueued, why, now)
	s.touch(j)
	return nil
}

// vacate takes a job off its accelerators.
func (s *Scheduler) vacate(j *job) {
	if j.shape != nil {
		delete(j.shape.claims, j.id())
		j.shape = nil
	}
	if len(j.record.GetGrants()) > 0 {
		j.leaves = append(j.leaves, j.record.GetGrants()...)
		s.leaving[j] = true
	}
	j.record.Grants, j.record.Next = nil, ""
	j.members, j.block = nil, Block{}
	s.stale, s.resurvey = true, true
}

// finish enters a final state.
func (s *Scheduler) finish(j *job, state, why string, now time.Time) []Cmd {
	var cmds []Cmd
	if state == StateDone {
		cmds = s.clearBlame(j)
	}
	grants := j.record.GetGrants()
	s.vacate(j)
	s.dropPlan(j)
	j.record.Grants = grants
	j.record.Finished = now.UnixMilli()
	j.enter(state, why, now)
	delete(s.open, j.id())
	s.learn(j)
	s.touch(j)
	return cmds
}

// lose ends a released attempt whose members did not all survive. Only an
// idempotent job may run again.
func (s *Scheduler) lose(j *job, why string, now time.Time) []Cmd {
	if s.rules.mayRerun(j) {
		return s.stop(j, StateQueued, why, now)
	}
	return s.stop(j, StateUnknown, why, now)
}

// report takes a worker's report and judges every gang with a member there.
func (s *Scheduler) report(m ReportMsg, now time.Time) []Cmd {
	w, ok := s.workers[m.worker]
	if !ok {
		return nil
	}
	wasGone, wasStale := w.gone(), w.stale
	if m.lost {
		w.lose(now)
		w.tasks = nil
	} else {
		w.heard, w.lost, w.stale, w.seen = true, false, false, now
		w.tasks = make(map[string]*hfwire.Task, len(m.tasks))
		for _, t := range m.tasks {
			w.tasks[t.GetId()] = t
		}
	}
	if wasGone != w.gone() || wasStale != w.stale {
		s.refreshUsable()
		s.match()
		s.stale = true
	}
	var cmds []Cmd
	if s.loaded && !m.lost {
		cmds = s.orphans(m.worker, w)
	}
	for _, j := range s.on(m.worker) {
		cmds = append(cmds, s.judge(j, now)...)
	}
	return cmds
}

// seen takes the word that some workers' reports are still fresh.
func (s *Scheduler) seen(names []string, now time.Time) {
	for _, name := range names {
		if w, ok := s.workers[name]; ok && w.heard && !w.lost {
			w.seen = now
		}
	}
	s.refreshStale(now)
}

// refreshStale takes workers whose reports are no longer fresh out of placement, and
// fresh ones in again. What runs on them is left to its observers.
func (s *Scheduler) refreshStale(now time.Time) {
	changed := false
	for _, w := range s.workers {
		stale := w.heard && !w.lost && now.Sub(w.seen) > s.timing.fresh()
		changed = changed || stale != w.stale
		w.stale = stale
	}
	if changed {
		s.refreshUsable()
		s.match()
		s.stale = true
	}
}

// on returns the jobs with a member on a worker, in a fixed order.
func (s *Scheduler) on(name string) []*job {
	var jobs []*job
	seen := map[string]bool{}
	if i, ok := s.layout.index[name]; ok {
		st := s.layout.sites[i]
		for a := range st.worker.Accelerators() {
			if j := s.held[st.start+a]; j != nil && !seen[j.id()] {
				seen[j.id()] = true
				jobs = append(jobs, j)
			}
		}
		return jobs
	}
	return inOrder(s.open, func(j *job) bool {
		return slices.ContainsFunc(j.members, func(m *member) bool { return m.grant.GetWorker() == name })
	})
}

// orphans stops tasks on a worker that no open job accounts for.
func (s *Scheduler) orphans(name string, w *worker) []Cmd {
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

// judge compares a placed job with the last reports of its workers.
func (s *Scheduler) judge(j *job, now time.Time) []Cmd {
	for _, m := range j.members {
		if m.phase.ended() {
			continue
		}
		if cmds, over := s.judgeMember(j, m, now); over {
			return cmds
		}
	}
	if j.state() == StateStopping {
		return s.settle(j, now)
	}
	if j.state() == StateRunning && j.every(func(m *member) bool { return m.phase == phaseDone }) {
		return s.finish(j, StateDone, "all members finished", now)
	}
	return nil
}

// judgeMember returns over when the whole gang's fate is decided.
func (s *Scheduler) judgeMember(j *job, m *member, now time.Time) (cmds []Cmd, over bool) {
	w := s.workerOf(m)
	if w.gone() {
		if !w.lost || j.state() == StateStopping {
			return nil, false
		}
		return s.lostMember(j, m, now), true
	}
	t, ok := w.tasks[j.task(m.grant.GetIndex())]
	settled := !j.settled.IsZero() && !w.seen.Before(j.settled) // a report from before the release shows nothing
	switch {
	case !ok && j.state() == StateRunning && settled:
		return s.lose(j, "worker "+m.grant.GetWorker()+" no longer has its member", now), true
	case !ok:
		return nil, false
	}
	switch t.GetState() {
	case hfworker.StateDone:
		m.phase = phaseDone
	case hfworker.StateFailed:
		m.phase = phaseFailed
		if j.state() == StateRunning {
			return s.failed(j, m, now), true
		}
	case hfworker.StateStopped:
		m.phase = phaseStopped
		if j.state() != StateStopping {
			return s.lostMember(j, m, now), true
		}
	case hfworker.StateRunning:
		m.phase = max(m.phase, phaseRunning)
	}
	return nil, false
}

func (s *Scheduler) lostMember(j *job, m *member, now time.Time) []Cmd {
	why := "member " + m.grant.GetWorker() + " was lost"
	if !j.record.GetReleased() {
		return s.stop(j, StateQueued, why, now)
	}
	return s.lose(j, why, now)
}
