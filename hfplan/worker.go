package hfplan

import (
	"cmp"
	"slices"
	"time"

	"github.com/heatherfront/heatherfront/hfplacement"
	"github.com/heatherfront/heatherfront/hfwork"
)

// addRoster adds the workers on which earlier schedulers may have started tasks,
// even if they are no longer registered.
func (s *Scheduler) addRoster(roster []*hfwork.Worker) {
	for _, registration := range roster {
		if s.workers[registration.GetId()] == nil {
			w := s.addWorker(registration)
			w.answered, w.rosterBorn = registration.GetAnswered(), registration.GetBorn()
		}
	}
}

// addWorker adds a worker and schedules the roster to be stored.
func (s *Scheduler) addWorker(registration *hfwork.Worker) *worker {
	w := &worker{
		registration: registration, resources: s.addResources(registration), leaseExpiry: s.recoveryDeadline,
		runs: map[*run]struct{}{}, orphans: map[orphan]hfplacement.Resources{}, failedJobs: map[string]bool{}, fillerPace: fullPace,
	}
	s.workers[registration.GetId()] = w
	s.rosterChanged = true
	return w
}

func (s *Scheduler) addResources(registration *hfwork.Worker) *hfplacement.Worker {
	capacity := hfplacement.NewResources(registration.GetCpu(), registration.GetMemory(), registration.GetAccelerators())
	return s.resources.Add(registration.GetId(), registration.GetPool(), registration.GetRack(), registration.GetLabels(), capacity)
}

// setWorkers updates the list of registered workers.
func (s *Scheduler) setWorkers(m WorkersMsg, now time.Time) {
	registered := m.workers
	for _, id := range sortedKeys(registered) {
		w, registration := s.workers[id], registered[id]
		if w == nil {
			w = s.addWorker(registration)
		}
		if !samePlace(w.registration, registration) {
			s.replaceResources(w, registration, now)
		}
		w.registration, w.registered, w.mayEndAt = registration, true, m.mayEnd[id]
		w.domainEvacuated = m.evacuated[registration.GetDomain()]
		s.updateUsable(w, now)
		s.evacuate(w, now)
	}
	for id, w := range s.workers {
		if registered[id] == nil {
			w.registered = false
			s.updateUsable(w, now)
		}
	}
	s.needsPass = true
}

// samePlace reports whether two registrations of a worker are alike to the placement of tasks.
func samePlace(a, b *hfwork.Worker) bool {
	return a.GetPool() == b.GetPool() && a.GetRack() == b.GetRack() && slices.Equal(a.GetLabels(), b.GetLabels()) &&
		a.GetAccelerators() == b.GetAccelerators() && a.GetCpu() == b.GetCpu() && a.GetMemory() == b.GetMemory()
}

// replaceResources updates a worker whose registration has changed. An entry may have been
// written late or by someone else, so it does not show that runs have ended: they count until
// a report does, and go on if they no longer fit. Runs that are only assigned are placed again.
func (s *Scheduler) replaceResources(w *worker, registration *hfwork.Worker, now time.Time) {
	for _, r := range sortedRuns(w.runs) {
		if r.phase == assigned {
			s.stopMembers(r, now)
		}
	}
	s.resources.Remove(w.id())
	isolated := w.resources.Isolated()
	w.resources = s.addResources(registration)
	w.resources.SetIsolated(isolated)
	for r := range w.runs {
		if !r.resourcesReturned {
			w.resources.Assign(r.task.group.size)
		}
		w.resources.AddRunning(r.task.group.size)
	}
	for key, size := range w.orphans {
		if _, known := s.sizeOf(key.task); !known {
			size = w.resources.Capacity()
			w.orphans[key] = size
		}
		w.resources.Assign(size)
		w.resources.AddRunning(size)
	}
	s.withdrawStarts(w, now)
}

// withdrawStarts stops runs that exceed the resources of a worker and whose start was not
// confirmed, the latest first: it may still be queued, or be sent again.
func (s *Scheduler) withdrawStarts(w *worker, now time.Time) {
	var unconfirmed []*run
	for _, r := range sortedRuns(w.runs) {
		if r.phase == starting {
			unconfirmed = append(unconfirmed, r)
		}
	}
	slices.SortStableFunc(unconfirmed, func(a, b *run) int { return b.orderedAt.Compare(a.orderedAt) })
	used := w.resources.Used()
	for _, r := range unconfirmed {
		if !used.Exceeds(w.resources.Capacity()) {
			return
		}
		s.stopMembers(r, now)
		used = used.Plus(r.task.group.size, -1)
	}
}

// updateUsable decides whether tasks may be assigned to a worker.
func (s *Scheduler) updateUsable(w *worker, now time.Time) {
	usable := w.registered && !w.domainEvacuated && w.ownRegistration() && w.inRoster && w.reported && !w.silent && !w.registration.GetDraining() && !w.upkeepPending && !now.Before(w.quarantinedUntil) && !now.Before(w.refusedUntil)
	if usable != w.resources.Usable() {
		w.resources.SetUsable(usable)
		s.needsPass = true
	}
}

// ownRegistration reports whether the registration is that of the incarnation that reports. Another
// one may have had other resources and labels.
func (w *worker) ownRegistration() bool {
	return w.incarnation == 0 || w.registration.GetBorn() == 0 || w.registration.GetBorn() == w.incarnation
}

// handleReport processes the report of a worker: its ended and its active runs. Runs
// that a report should list but does not are considered lost, unless some in it could not be read.
func (s *Scheduler) handleReport(m ReportMsg, now time.Time) {
	w := s.workers[m.worker]
	if w == nil {
		return
	}
	s.identifyCrashes(w, m.report.Incarnation(), now)
	if w.incarnation != 0 && m.report.Incarnation() != w.incarnation {
		s.handleRestart(w, m.sent, now)
		w.lastEnd, w.failedJobs, w.quarantines = 0, map[string]bool{}, 0
		w.durationLog, w.durationSamples = 0, 0
		delete(s.pendingAcks, w)
		delete(s.acksInFlight, w)
		s.emit(NoteCmd{note: NoteReporting, worker: w.id(), reason: "restarted"})
	}
	if w.silent || !w.reported {
		s.emit(NoteCmd{note: NoteReporting, worker: w.id(), reason: "reports"})
	}
	s.recordIncarnation(w, m.report.Incarnation())
	w.incarnation, w.reported, w.silent = m.report.Incarnation(), true, false
	if address := m.report.Address(); address != w.answered {
		w.answered, w.inRoster, s.rosterChanged = address, false, true
	}
	for _, e := range m.report.Ended() {
		if e.Sequence() <= w.lastEnd {
			continue
		}
		w.lastEnd = e.Sequence()
		s.pendingAcks[w] = w.lastEnd
		s.handleEnd(w, e, now)
	}
	complete := !m.report.Incomplete()
	if complete {
		s.releaseOrphans(w, m.report.Running())
	}
	stillReported := map[*run]bool{}
	for _, reported := range m.report.Running() {
		if r := s.observeRun(w, reported, now); r != nil {
			stillReported[r] = true
		}
	}
	for _, r := range sortedRuns(w.runs) {
		if complete && !stillReported[r] && r.phase >= running && !r.confirmedAt.IsZero() && m.sent.After(r.confirmedAt) {
			s.finishRun(r, hfwork.LeaseExpired, "", "no longer reported", now)
		}
	}
	if complete {
		if !w.priorBlamed {
			w.priorBlamed = true
			s.blamePriorRuns(w, now)
		}
		s.resolvePriorRuns(w)
	}
	s.endIsolation(w)
	s.handleStalls(w, now)
	s.adjustPace(w, m.report.Running(), now)
	s.updateUsable(w, now)
	s.checkRecovered(now)
}

// sortedRuns returns runs ordered by task, which keeps the decisions deterministic.
func sortedRuns(runs map[*run]struct{}) []*run {
	list := make([]*run, 0, len(runs))
	for r := range runs {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *run) int {
		x, y := a.task, b.task
		return cmp.Or(
			cmp.Compare(x.group.job.id(), y.group.job.id()), cmp.Compare(x.group.occurrence, y.group.occurrence),
			cmp.Compare(x.group.step, y.group.step), cmp.Compare(x.index, y.index),
		)
	})
	return list
}

// observeRun processes an active run in a report. It adopts runs of earlier
// schedulers and stops runs that must not continue. It returns the run, or nil if it
// is an orphan.
func (s *Scheduler) observeRun(w *worker, reported hfwork.Run, now time.Time) *run {
	t := s.loadTask(reported.Task(), now)
	if t == nil || t.done || t.group.job.final() {
		if t != nil && t.run != nil && t.run.worker == w && t.run.number == reported.Number() {
			return t.run
		}
		s.stopOrphan(w, reported)
		return nil
	}
	if t.run == nil {
		return s.adoptRun(w, t, reported, now)
	}
	r := t.run
	if r.worker != w || r.number != reported.Number() {
		if r.phase == assigned {
			// The reported run was given up too early. Nothing else runs yet.
			s.stopMembers(r, now)
			return s.adoptRun(w, t, reported, now)
		}
		s.stopOrphan(w, reported)
		return nil
	}
	if r.phase == starting {
		s.confirmRun(r, now)
	}
	r.progress.update(reported.Progress(), now)
	if primary := t.group.primary(t); reported.Checkpoint() != "" && primary.checkpoint != reported.Checkpoint() {
		primary.checkpoint = reported.Checkpoint()
	}
	return r
}

// adoptRun takes over a run that an earlier scheduler started, or that was given up.
func (s *Scheduler) adoptRun(w *worker, t *task, reported hfwork.Run, now time.Time) *run {
	s.releaseOrphan(w, orphan{task: reported.Task(), number: reported.Number()})
	r := &run{
		task: t, worker: w, number: reported.Number(), phase: running, confirmedAt: now, startedAt: now, orderedAt: now,
		pace: unknownPace, requestedPace: unknownPace,
	}
	r.progress.update(reported.Progress(), now)
	t.run, t.lastRun = r, max(t.lastRun, reported.Number())
	t.group.active++
	w.runs[r] = struct{}{}
	w.forgetReleases()
	w.resources.Assign(t.group.size)
	w.resources.AddRunning(t.group.size)
	if reported.Checkpoint() != "" {
		t.group.primary(t).checkpoint = reported.Checkpoint()
	}
	s.resolvePriorRun(t)
	s.confirmRun(r, now)
	if t.suspect() {
		s.isolate(r)
	}
	return r
}

// handleEnd processes the end of a run in a report.
func (s *Scheduler) handleEnd(w *worker, end hfwork.End, now time.Time) {
	t := s.loadTask(end.Task(), now)
	s.recordHolder(w, t, end)
	if t == nil {
		return
	}
	t.lastRun = max(t.lastRun, end.Number())
	if t.run == nil && t.priorWorker == w.id() {
		s.resolvePriorRun(t)
	}
	if t.run != nil && t.run.worker == w && t.run.number == end.Number() {
		if end.Reason() == hfwork.Done {
			s.learnSpeed(t.run, now)
		}
		s.finishRun(t.run, end.Reason(), end.Checkpoint(), string(end.Reason()), now)
		return
	}
	// The run was given up, or belongs to an earlier scheduler and was not adopted.
	late := NoteCmd{
		note: NoteLateEnd, job: end.Task().Job(), worker: w.id(), step: end.Task().Step(), reason: string(end.Reason()),
		task: end.Task().Index(), number: end.Number(),
	}
	if t.run != nil {
		late.current, late.phase = t.run.number, t.run.phase.String()
	}
	if !t.done && (late.current != 0 || end.Reason() == hfwork.Done) {
		s.emit(late)
	}
	s.applyEnd(w, t, end.Number(), end.Reason(), end.Checkpoint(), now)
}

// finishRun ends a run, frees its resources and updates its task.
func (s *Scheduler) finishRun(r *run, endReason hfwork.EndReason, checkpoint, reason string, now time.Time) {
	t := r.task
	if t.run != r {
		return // already ended with another member of its gang
	}
	s.releaseRun(r)
	s.applyEnd(r.worker, t, r.number, endReason, checkpoint, now)
	if endReason != hfwork.Done && !t.done && !t.group.job.final() {
		s.emit(NoteCmd{note: NoteRetry, job: t.group.job.id(), worker: r.worker.id(), step: t.group.step, tasks: 1, reason: reason, task: t.index, number: r.number})
	}
}

// releaseRun removes a run and frees its resources.
func (s *Scheduler) releaseRun(r *run) {
	t, w := r.task, r.worker
	if !r.resourcesReturned {
		w.resources.Unassign(t.group.size)
	}
	if r.phase == assigned {
		t.group.assigned--
	} else {
		w.resources.RemoveRunning(t.group.size)
	}
	delete(w.runs, r)
	w.forgetReleases()
	if r.isolated {
		w.updateIsolated()
	}
	t.run = nil
	t.group.active--
	if t.done {
		t.group.completedActive--
	}
	s.awaitOrphan(t)
	s.needsPass = true
}

// applyEnd updates task, gang, job and worker after the end of a run.
func (s *Scheduler) applyEnd(w *worker, t *task, number int64, endReason hfwork.EndReason, checkpoint string, now time.Time) {
	g := t.group
	if t.done {
		return
	}
	primary := g.primary(t)
	if checkpoint != "" && endReason != hfwork.Done && checkpoint != primary.checkpoint {
		primary.checkpoint = checkpoint
		s.markDirty(g.job)
	}
	switch endReason {
	case hfwork.Done:
		s.recordSuccess(w)
		s.completeTask(t, number, now)
		return
	case hfwork.Failed:
		s.recordFailure(w, g.job, now)
		g.avoid[w.id()] = true
		if number > primary.countedRun {
			// Count each run once: its end can be reported again, to a later scheduler or by
			// another member of the gang.
			primary.countedRun = number
			primary.failures++
			s.markDirty(g.job)
		}
		s.failIfExhausted(g, primary, now)
	}
	if g.gang() {
		s.stopGang(g, number, now)
	}
}

// failIfExhausted fails a job if one of its tasks has no attempts left.
func (s *Scheduler) failIfExhausted(g *group, primary *task, now time.Time) {
	j := g.job
	if g.spec.GetLasting() || j.queue == nil || j.final() || primary.failures < max(j.queue.GetAttempts(), 1) {
		return
	}
	s.endJob(j, hfwork.StateFailed, "a task has failed as often as it may", now)
	s.stopJob(j, now)
}

// completeTask marks a task as done, or all tasks of a gang, after the run with the given
// number has ended as done. Lasting tasks never complete.
func (s *Scheduler) completeTask(t *task, number int64, now time.Time) {
	g := t.group
	if g.spec.GetLasting() {
		return
	}
	completed := g.tasks[t.index : t.index+1]
	if g.gang() {
		completed = g.tasks
	}
	for i := range completed {
		completed[i].done = true
		s.resolvePriorRun(&completed[i])
		g.open--
		if completed[i].run != nil {
			g.completedActive++
		}
	}
	// The end may be that of a run that was given up. The members of the same run of a gang
	// end by themselves.
	for i := range completed {
		if r := completed[i].run; r != nil && r.number != number {
			s.stopRun(r, now)
		}
	}
	s.markDirty(g.job)
	if g.open > 0 {
		return
	}
	s.needsPass = true
	s.closeGroup(g, now)
}

// endJob moves a job to a final state.
func (s *Scheduler) endJob(j *job, state, reason string, now time.Time) {
	j.state, j.reason, j.endedMillis = state, reason, now.UnixMilli()
	s.markDirty(j)
	s.emit(NoteCmd{note: NoteState, job: j.id(), reason: state})
}

// handleSilent processes an unanswered poll. The last order to the worker was sent no
// later than now, so all its runs end at the latest when the leases from that order
// expire.
func (s *Scheduler) handleSilent(id string, now time.Time) {
	w := s.workers[id]
	if w == nil || w.silent {
		return
	}
	if w.reported {
		w.leaseExpiry = now.Add(s.timing.leaseExpiryDelay())
		s.emit(NoteCmd{note: NoteSilent, worker: id, expires: w.leaseExpiry})
	}
	w.silent, w.silentAt = true, now
	s.updateUsable(w, now)
}

// removeWorker removes a worker on which nothing runs any more.
func (s *Scheduler) removeWorker(w *worker, reason string, now time.Time) {
	s.expireRuns(w, reason, now)
	s.emit(NoteCmd{note: NoteRemoved, worker: w.id(), reason: reason})
	s.resources.Remove(w.id())
	delete(s.workers, w.id())
	delete(s.pendingAcks, w)
	delete(s.acksInFlight, w)
	s.rosterChanged = true
}

// expireRuns ends all runs of a worker that can no longer be active.
func (s *Scheduler) expireRuns(w *worker, reason string, now time.Time) {
	for _, r := range sortedRuns(w.runs) {
		s.finishRun(r, hfwork.LeaseExpired, "", reason, now)
	}
	for key := range w.orphans {
		s.releaseOrphan(w, key)
	}
	s.resolvePriorRuns(w)
}

// endIncarnation ends the runs of an incarnation of a worker whose process has certainly ended: it
// runs nothing, and the orders that it held have no effect. Runs that may be on the next
// incarnation are kept. Runs that are only assigned are placed again.
func (s *Scheduler) endIncarnation(w *worker, kept map[*run]bool, reason string, now time.Time) {
	s.blameCrash(w.address(), w.id(), s.lostRuns(w, now), now)
	w.upkeepRequested = false
	for _, r := range sortedRuns(w.runs) {
		switch {
		case kept[r]:
		case r.phase == assigned:
			s.stopMembers(r, now)
		default:
			s.finishRun(r, hfwork.LeaseExpired, "", reason, now)
		}
	}
	for key := range w.orphans {
		s.releaseOrphan(w, key)
	}
}

// handleRestart ends the runs of the previous incarnation of a worker. Starts that
// may have reached the new incarnation are stopped there.
func (s *Scheduler) handleRestart(w *worker, sent, now time.Time) {
	kept := map[*run]bool{}
	for _, r := range sortedRuns(w.runs) {
		switch {
		case r.startUnanswered:
			// The new incarnation does not know of a stop that the previous one confirmed.
			r.confirmedAt, r.orderedAt = time.Time{}, now
			s.emit(StopCmd{worker: w.id(), task: r.task.id(), number: r.number})
			kept[r] = true
		case r.phase == starting || (r.phase >= running && !sent.After(r.confirmedAt)) || r.confirmedAt.IsZero() && r.phase == stopping:
			s.stopRun(r, now)
			kept[r] = true
		}
	}
	s.endIncarnation(w, kept, "worker restarted", now)
}

// handleReplaced removes a worker whose process has ended. The next life of its machine has another
// id, so it refuses every start that was sent to this worker.
func (s *Scheduler) handleReplaced(m WorkerReplacedMsg, now time.Time) {
	w := s.workers[m.worker]
	if w == nil || w.incarnation != m.incarnation {
		return
	}
	s.endIncarnation(w, nil, "worker replaced", now)
	s.removeWorker(w, "worker replaced", now)
}

// checkRecovered detects when all runs of earlier schedulers are accounted for: each
// worker has reported, or its leases have expired.
func (s *Scheduler) checkRecovered(now time.Time) {
	if s.recovered || len(s.workers) == 0 {
		return
	}
	if now.Before(s.recoveryDeadline) {
		for _, w := range s.workers {
			if !w.reported {
				return
			}
		}
	}
	s.recovered, s.needsPass = true, true
	s.emit(NoteCmd{note: NoteRecovered})
}
