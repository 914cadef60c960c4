package hfplan

import (
	"cmp"
	"slices"
	"time"

	"github.com/heatherfront/heatherfront/hfroom"
	"github.com/heatherfront/heatherfront/hfwork"
)

// inherit adds workers that may run tasks of earlier schedulers, registered or not.
func (s *Scheduler) inherit(nodes []*hfwork.Worker) {
	for _, n := range nodes {
		if s.workers[n.GetId()] == nil {
			s.addWorker(n)
		}
	}
}

func (s *Scheduler) addWorker(n *hfwork.Worker) *worker {
	w := &worker{
		node: n, room: s.addRoom(n), lapses: s.settleBy,
		runs: map[*run]struct{}{}, strays: map[stray]hfroom.Size{}, failedJobs: map[string]bool{},
	}
	s.workers[n.GetId()] = w
	s.regroup = true
	return w
}

func (s *Scheduler) addRoom(n *hfwork.Worker) *hfroom.Worker {
	size := hfroom.NewSize(n.GetCpu(), n.GetMemory(), n.GetAccelerators())
	return s.room.Add(n.GetId(), n.GetPool(), n.GetRack(), n.GetLabels(), size)
}

// setWorkers takes the registered workers.
func (s *Scheduler) setWorkers(nodes map[string]*hfwork.Worker, now time.Time) {
	for id, n := range nodes {
		w := s.workers[id]
		if w == nil {
			w = s.addWorker(n)
		}
		if w.node.GetPool() != n.GetPool() || w.node.GetRack() != n.GetRack() || w.node.GetAccelerators() != n.GetAccelerators() ||
			w.node.GetCpu() != n.GetCpu() || w.node.GetMemory() != n.GetMemory() {
			s.replaceRoom(w, n, now)
		}
		w.node, w.listed = n, true
		s.refresh(w, now)
	}
	for id, w := range s.workers {
		if nodes[id] == nil {
			w.listed = false
			s.refresh(w, now)
		}
	}
	s.stale = true
}

// replaceRoom gives a worker that came back as another kind its new room. What ran
// there before has ended.
func (s *Scheduler) replaceRoom(w *worker, n *hfwork.Worker, now time.Time) {
	s.dropRuns(w, "worker lives anew", now)
	s.room.Remove(w.id())
	w.room = s.addRoom(n)
}

// refresh decides whether a worker takes new tasks.
func (s *Scheduler) refresh(w *worker, now time.Time) {
	usable := w.listed && w.noted && w.heard && !w.silent && !w.node.GetDraining() && !w.upkeepPending && !now.Before(w.quarantinedUntil) && !now.Before(w.refused)
	if usable != w.room.Usable() {
		w.room.SetUsable(usable)
		s.stale = true
	}
}

// report takes a worker's report.
func (s *Scheduler) report(m ReportMsg, now time.Time) {
	w := s.workers[m.worker]
	if w == nil {
		return
	}
	if w.born != 0 && m.report.Born() != w.born {
		s.reborn(w, m.sent, now)
		w.seen, w.failedJobs, w.quarantines = 0, map[string]bool{}, 0
		delete(s.acks, w)
		delete(s.acking, w)
		s.do(NoteCmd{note: NoteHeard, worker: w.id(), reason: "lives anew"})
	}
	if w.silent || !w.heard {
		s.do(NoteCmd{note: NoteHeard, worker: w.id(), reason: "reports"})
	}
	w.born, w.heard, w.silent = m.report.Born(), true, false
	for _, e := range m.report.Ended() {
		if e.Sequence() <= w.seen {
			continue
		}
		w.seen = e.Sequence()
		s.acks[w] = w.seen
		s.end(w, e, now)
	}
	s.dropStrays(w, m.report.Running())
	present := map[*run]bool{}
	for _, row := range m.report.Running() {
		if r := s.observe(w, row, now); r != nil {
			present[r] = true
		}
	}
	for _, r := range inOrder(w.runs) {
		if !present[r] && r.phase >= running && !r.confirmed.IsZero() && m.sent.After(r.confirmed) {
			s.finish(r, hfwork.Lapsed, "", "not reported any more", now)
		}
	}
	s.unholdAll(w)
	s.handleStalls(w, now)
	s.adjustPace(w, m.report.Running(), now)
	s.refresh(w, now)
	s.settle(now)
}

// inOrder returns runs by task, so that the same messages always lead to the same
// decisions.
func inOrder(runs map[*run]struct{}) []*run {
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

// observe takes one reported run. It adopts runs of earlier schedulers and stops
// those that must not go on. It returns the run if it is known.
func (s *Scheduler) observe(w *worker, row hfwork.Run, now time.Time) *run {
	t := s.task(row.Task())
	if t == nil || t.done || t.group.job.final() {
		if t != nil && t.run != nil && t.run.worker == w && t.run.number == row.Number() {
			return t.run
		}
		s.expel(w, row)
		return nil
	}
	if t.run == nil {
		return s.adopt(w, t, row, now)
	}
	r := t.run
	if r.worker != w || r.number != row.Number() {
		s.expel(w, row)
		return nil
	}
	if r.phase == asked {
		s.confirm(r, now)
	}
	r.progress.update(row.Progress(), now)
	if lead := t.group.lead(t); row.Saved() != "" && lead.saved != row.Saved() {
		lead.saved = row.Saved()
	}
	return r
}

// adopt takes over a run that an earlier scheduler started.
func (s *Scheduler) adopt(w *worker, t *task, row hfwork.Run, now time.Time) *run {
	r := &run{
		task: t, worker: w, number: row.Number(), phase: running, confirmed: now, started: now, order: now,
		pace: unknownPace, pacing: unknownPace,
	}
	r.progress.update(row.Progress(), now)
	t.run, t.last = r, max(t.last, row.Number())
	t.group.active++
	w.runs[r] = struct{}{}
	w.room.Promise(t.group.size)
	w.room.Occupy(t.group.size)
	if row.Saved() != "" {
		t.group.lead(t).saved = row.Saved()
	}
	s.unhold(t)
	s.confirm(r, now)
	return r
}

// end takes note of a run that ended.
func (s *Scheduler) end(w *worker, e hfwork.End, now time.Time) {
	t := s.task(e.Task())
	if t == nil {
		return
	}
	t.last = max(t.last, e.Number())
	if t.run == nil && t.place == w.id() {
		s.unhold(t)
	}
	if t.run != nil && t.run.worker == w && t.run.number == e.Number() {
		s.finish(t.run, e.How(), e.Saved(), string(e.How()), now)
		return
	}
	// The end of a run that this scheduler has not seen running.
	s.credit(w, t, e.Number(), e.How(), e.Saved(), now)
}

// finish ends a run: its room is free, and its task is done or waits again.
func (s *Scheduler) finish(r *run, how hfwork.How, saved, reason string, now time.Time) {
	t := r.task
	if t.run != r {
		return // it ended together with another member of its gang
	}
	s.release(r)
	s.credit(r.worker, t, r.number, how, saved, now)
	if how != hfwork.Done && !t.done && !t.group.job.final() {
		s.do(NoteCmd{note: NoteRetry, job: t.group.job.id(), worker: r.worker.id(), step: t.group.step, tasks: 1, reason: reason})
	}
}

// release forgets a run and gives its room back.
func (s *Scheduler) release(r *run) {
	t, w := r.task, r.worker
	if !r.returned {
		w.room.Return(t.group.size)
	}
	if r.phase == promised {
		t.group.promised--
	} else {
		w.room.Vacate(t.group.size)
	}
	delete(w.runs, r)
	t.run = nil
	t.group.active--
	s.stale = true
}

// credit applies the end of a run to its task, its gang and its worker.
func (s *Scheduler) credit(w *worker, t *task, number int64, how hfwork.How, saved string, now time.Time) {
	g := t.group
	if t.done {
		return
	}
	lead := g.lead(t)
	if saved != "" && how != hfwork.Done && saved != lead.saved {
		lead.saved = saved
		s.mark(g.job)
	}
	switch how {
	case hfwork.Done:
		s.recordSuccess(w)
		s.done(t, now)
		return
	case hfwork.Failed:
		s.recordFailure(w, g.job, now)
		g.avoid[w.id()] = true
		if number > lead.counted {
			// An end may be reported again, to a later scheduler or by another member.
			lead.counted = number
			lead.failures++
			s.mark(g.job)
		}
		s.exhaust(g, lead, now)
	}
	if g.gang() {
		s.stopGang(g, number, now)
	}
}

// exhaust fails the job of a task that has no attempts left.
func (s *Scheduler) exhaust(g *group, lead *task, now time.Time) {
	j := g.job
	if g.spec.GetLasting() || j.queue == nil || j.final() || lead.failures < max(j.queue.GetAttempts(), 1) {
		return
	}
	s.conclude(j, hfwork.StateFailed, "a task has failed as often as it may", now)
	s.stopAll(j, now)
}

// done marks a task as done, or its whole gang.
func (s *Scheduler) done(t *task, now time.Time) {
	g := t.group
	if g.spec.GetLasting() {
		return
	}
	if g.gang() {
		for i := range g.tasks {
			s.unhold(&g.tasks[i])
			g.tasks[i].done = true
		}
		g.open = 0
	} else {
		s.unhold(t)
		t.done = true
		g.open--
	}
	s.mark(g.job)
	if g.open > 0 {
		return
	}
	g.job.open--
	s.stale = true
	if g.job.open == 0 && !g.job.final() {
		s.conclude(g.job, hfwork.StateCompleted, "", now)
	}
}

func (s *Scheduler) conclude(j *job, state, reason string, now time.Time) {
	j.state, j.reason, j.ended = state, reason, now.UnixMilli()
	s.mark(j)
	s.do(NoteCmd{note: NoteState, job: j.id(), reason: state})
}

// silence notes that a worker gave no report. It was sent no order after now, so what
// runs there has lapsed after the lease.
func (s *Scheduler) silence(id string, now time.Time) {
	w := s.workers[id]
	if w == nil || w.silent {
		return
	}
	if w.heard {
		w.lapses = now.Add(s.timing.lapse())
		s.do(NoteCmd{note: NoteSilent, worker: id})
	}
	w.silent = true
	s.refresh(w, now)
}

// drop forgets a worker on which nothing runs any more.
func (s *Scheduler) drop(w *worker, reason string, now time.Time) {
	s.dropRuns(w, reason, now)
	s.do(NoteCmd{note: NoteGone, worker: w.id(), reason: reason})
	s.room.Remove(w.id())
	delete(s.workers, w.id())
	delete(s.acks, w)
	delete(s.acking, w)
	s.regroup = true
}

// dropRuns ends all runs of a worker that are certainly over.
func (s *Scheduler) dropRuns(w *worker, reason string, now time.Time) {
	for _, r := range inOrder(w.runs) {
		s.finish(r, hfwork.Lapsed, "", reason, now)
	}
	for key, size := range w.strays {
		w.dropStray(key, size)
	}
	s.unholdAll(w)
}

// reborn ends the runs of a worker's earlier life. Starts that may have reached the new
// life are stopped there.
func (s *Scheduler) reborn(w *worker, sent, now time.Time) {
	for _, r := range inOrder(w.runs) {
		if r.phase == asked || (r.phase >= running && !sent.After(r.confirmed)) || r.confirmed.IsZero() && r.phase == stopping {
			s.stop(r, now)
			continue
		}
		s.finish(r, hfwork.Lapsed, "", "worker lives anew", now)
	}
	for key, size := range w.strays {
		w.dropStray(key, size)
	}
}

// settle notes that every worker that may run a task of an earlier scheduler was
// heard or has lapsed.
func (s *Scheduler) settle(now time.Time) {
	if s.settled || len(s.workers) == 0 {
		return
	}
	if now.Before(s.settleBy) {
		for _, w := range s.workers {
			if !w.heard {
				return
			}
		}
	}
	s.settled, s.stale = true, true
	s.do(NoteCmd{note: NoteSettled})
}
