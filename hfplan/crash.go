package hfplan

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/heatherfront/heatherfront/hfcrash"
	"github.com/heatherfront/heatherfront/hfwork"
)

const (
	// earlyWindow is the time between a start and the silence of the worker within which the crash
	// counts as early. A worker that crashes closes the connection of the poll that waits there.
	// Workers that leave announce it longer before.
	earlyWindow = time.Second
	// missingTime is how long the runs of a worker are kept whose leases have expired. Workers
	// that crashed are back after some seconds; short cuts of the network have ended by then.
	missingTime = 20 * time.Second
	// unstableTime is how long the next crash at an address is not counted as that of a task
	// that ran alone: the worker may crash by itself.
	unstableTime = 30 * time.Second
)

// crashes counts the workers that crashed under a task. Gangs keep it in their primary task, but for
// the own crashes of each member.
type crashes struct {
	hfcrash.Count

	suspect   bool   // the last of the counted runs had just begun, and no run since has been at work for long
	provenRun int64  // number of the last run with a proven crash; not stored
	own       uint32 // runs in which the worker of this very task crashed, but for starts without an answer
	ownSeen   uint32 // of these, runs that are known to have started
	ownRun    int64  // number of the last run that is included in own
}

func crashesOf(c *hfwork.Crashes) crashes {
	count := hfcrash.New(c.GetTotal(), c.GetEarly(), c.GetAlone(), c.GetRun(), c.GetAloneRun())
	return crashes{Count: count, suspect: c.GetSuspect(), own: c.GetOwn(), ownSeen: c.GetOwnSeen(), ownRun: c.GetOwnRun()}
}

func (c crashes) toRecord() *hfwork.Crashes {
	return &hfwork.Crashes{
		Total: c.Total(), Early: c.Early(), Alone: c.Alone(), Run: c.Run(), AloneRun: c.AloneRun(), Suspect: c.suspect,
		Own: c.own, OwnSeen: c.ownSeen, OwnRun: c.ownRun,
	}
}

// any reports whether a crash is counted.
func (c crashes) any() bool { return c.Total() > 0 || c.own > 0 }

// addOwn includes a run in own. It reports whether the run was not included before. A start without an
// answer may have been lost on its way to a worker that crashed for another reason.
func (c *crashes) addOwn(l *lostRun) bool {
	if l.number <= c.ownRun || l.unanswered {
		return false
	}
	c.ownRun = l.number
	c.own++
	if l.started() {
		c.ownSeen++
	}
	return true
}

// removeOwn takes back a run that was added to own, and that may be added again.
func (c *crashes) removeOwn(l *lostRun) {
	if c.ownRun != l.number || c.own == 0 {
		return
	}
	c.ownRun--
	c.own--
	if l.started() {
		c.ownSeen--
	}
}

// mayBeCulprit reports whether the task may have crashed its workers: two that are known to have started
// it, or MaxTotal on which an earlier leader may have started it.
func (c crashes) mayBeCulprit() bool { return c.ownSeen >= hfcrash.MinOwn || c.own >= hfcrash.MaxTotal }

// lostRun is a run that was lost with its worker.
type lostRun struct {
	task       *task
	number     int64
	worked     time.Duration // from its start to the last report that listed it
	prior      bool          // started by an earlier scheduler: only its place is known
	early      bool          // the worker fell silent right after its start
	leaving    bool          // the worker had announced that it leaves, so that others may not be listed
	unanswered bool          // its start got no answer
	counted    bool          // included in the crashes of the task before the crash was proven
	ownCounted bool          // included in the own crashes of the member before the crash was proven
}

// primary returns the task that keeps the crashes: of a gang, its primary task.
func (l lostRun) primary() *task { return l.task.group.primary(l.task) }

// started reports whether the run is known to have started.
func (l lostRun) started() bool { return !l.unanswered && !l.prior }

// justBegun reports whether the start of the run may have crashed the worker.
func (l lostRun) justBegun() bool { return l.worked < hfcrash.StartWindow }

// missingWorker holds what ran on an incarnation of a worker when its leases expired. Either
// a later incarnation proves that it crashed, or it was only cut off and reports again.
type missingWorker struct {
	id, address string
	incarnation int64
	forgetAt    time.Time
	runs        []lostRun
}

// worked returns how long a run has been at work by the last report that listed it.
func (r *run) worked() time.Duration { return max(0, r.progress.reportedAt.Sub(r.startedAt)) }

// address returns the address of a worker, or its id if the address is not known.
func (w *worker) address() string { return cmp.Or(w.registration.GetAddress(), w.id()) }

// lostRuns returns the runs that are lost if the incarnation of a worker is over: those that
// may have started. A worker that was about to go down for upkeep has not crashed. One that was
// about to leave has, if it fell silent right after a start.
// After a change of the scheduler, nothing is known of the recorded runs but their places.
func (s *Scheduler) lostRuns(w *worker, now time.Time) []lostRun {
	if w.upkeepPending || w.upkeepRequested {
		return nil
	}
	leaving := w.registration.GetDraining()
	var lost []lostRun
	for _, r := range sortedRuns(w.runs) {
		early := w.silentSoonAfter(r, now)
		if r.phase != assigned && (early || !leaving) {
			lost = append(lost, lostRun{
				task: r.task, number: r.number, worked: r.worked(), early: early, leaving: leaving,
				unanswered: r.confirmedAt.IsZero() || r.startUnanswered,
			})
		}
	}
	if w.reported || leaving {
		return lost // its prior tasks have orphans, which are being stopped
	}
	return append(lost, s.lostPriorRuns(w)...)
}

// silentSoonAfter reports whether a worker fell silent within earlyWindow of the start of a run, or
// if it was not silent, whether that start is as recent.
func (w *worker) silentSoonAfter(r *run, now time.Time) bool {
	at := now
	if w.silent {
		at = w.silentAt
	}
	return at.Before(r.startedAt.Add(earlyWindow))
}

// lostPriorRuns returns the runs that are lost if the incarnation is over on which an earlier
// scheduler placed tasks. They are numbered as the last ones of the earlier term.
func (s *Scheduler) lostPriorRuns(w *worker) []lostRun {
	var lost []lostRun
	for _, t := range sortedTasks(w.priorTasks) {
		if s.orphans[t.id()] == 0 {
			lost = append(lost, lostRun{task: t, number: s.runNumberBase, prior: true})
		}
	}
	return lost
}

// sortedTasks returns tasks ordered by job, occurrence, step and index.
func sortedTasks(tasks map[*task]struct{}) []*task {
	list := make([]*task, 0, len(tasks))
	for t := range tasks {
		list = append(list, t)
	}
	slices.SortFunc(list, func(a, b *task) int {
		return cmp.Or(
			cmp.Compare(a.group.job.id(), b.group.job.id()), cmp.Compare(a.group.occurrence, b.group.occurrence),
			cmp.Compare(a.group.step, b.group.step), cmp.Compare(a.index, b.index),
		)
	})
	return list
}

// blameCrash counts a proven crash against the tasks whose runs were lost in it.
func (s *Scheduler) blameCrash(address, id string, lost []lostRun, now time.Time) {
	if len(lost) == 0 {
		return
	}
	alone := !slices.ContainsFunc(lost, func(l lostRun) bool { return l.primary() != lost[0].primary() || l.leaving })
	note := NoteCmd{note: NoteCrash, worker: id, tasks: len(lost), alone: alone, reason: "a later incarnation answers"}
	certain := alone && !now.Before(s.unstable[address])
	if certain && lost[0].prior {
		certain = lost[0].primary().crashes.suspect // as recorded: it was isolated and had just begun
	}
	s.unstable[address] = now.Add(unstableTime)
	for i := range lost {
		l := &lost[i]
		s.countCrash(l, certain && (l.early || l.prior) && !l.unanswered)
		c := &l.primary().crashes
		c.provenRun = max(c.provenRun, l.number)
		if l.justBegun() {
			note.suspects = append(note.suspects, l.primary().id())
		}
	}
	s.emit(note)
	for _, l := range lost {
		s.giveUpIfExhausted(l.primary(), now)
	}
	s.needsPass = true
}

// countCrash includes a lost run in the crashes of its task. It reports whether the run was not
// included before.
func (s *Scheduler) countCrash(l *lostRun, alone bool) bool {
	t := l.primary()
	if t.done || t.group.job.final() {
		return false
	}
	c := &t.crashes
	if l.worked >= hfcrash.Memory {
		t.group.forgetOwnCrashes()
	}
	l.ownCounted = l.task.crashes.addOwn(l) || l.ownCounted
	added := c.Add(l.number, l.worked)
	if added {
		t.sharedFrom = time.Time{}
		// When a run of an earlier scheduler started is not known. After a crash before, it counts
		// as early, so that changes of the leader do not hide the crashes of a task.
		l.early = l.early || l.prior && c.Total() > 1
		if l.early {
			c.AddEarly()
		}
	}
	if l.number == c.Run() {
		c.suspect = l.justBegun()
	}
	if alone {
		c.AddAlone(l.number)
	}
	t.group.crashed = true
	s.markDirty(t.group.job)
	return added
}

// giveUpIfExhausted fails the job of a task under which workers have crashed as often as they
// may.
func (s *Scheduler) giveUpIfExhausted(t *task, now time.Time) {
	j, c := t.group.job, t.crashes
	exhaustedAlone := c.ExhaustedAlone(t.group.gang())
	if t.done || j.final() || !exhaustedAlone && !c.Exhausted() {
		return
	}
	if aloneInNoGang := exhaustedAlone && !t.group.gang(); !aloneInNoGang && !t.hasCulprit() {
		return
	}
	subject := fmt.Sprintf("task %d.%d", t.group.step, t.index)
	if t.group.gang() {
		subject = fmt.Sprintf("the gang of step %d", t.group.step)
	}
	reason := fmt.Sprintf("%d workers crashed while %s ran alone on them", c.Alone(), subject)
	if !exhaustedAlone {
		reason = fmt.Sprintf("%d workers crashed under %s", c.Total(), subject)
	}
	s.emit(NoteCmd{note: NoteGaveUp, job: j.id(), step: t.group.step, task: t.index, reason: reason})
	s.endJob(j, hfwork.StateFailed, reason, now)
	s.stopJob(j, now)
}

// hasCulprit reports whether a task, or one member of its gang, may have caused the crashes that are
// counted for it: a gang whose members met one crash each was unlucky.
func (t *task) hasCulprit() bool {
	if !t.group.gang() {
		return t.crashes.mayBeCulprit()
	}
	for i := range t.group.tasks {
		if t.group.tasks[i].crashes.mayBeCulprit() {
			return true
		}
	}
	return false
}

// forgetOwnCrashes forgets the own crashes of all tasks.
func (g *group) forgetOwnCrashes() {
	for i := range g.tasks {
		g.tasks[i].crashes.own, g.tasks[i].crashes.ownSeen = 0, 0
	}
}

// presumeLost remembers the runs of a worker whose leases have expired, unless another worker
// answers at its address already. Runs that had just begun are counted at once, so that they are
// counted before their tasks start again.
func (s *Scheduler) presumeLost(w *worker, now time.Time) {
	lost, incarnation := s.lostRuns(w, now), cmp.Or(w.incarnation, w.rosterBorn)
	if len(lost) == 0 || incarnation == 0 {
		return
	}
	for _, id := range sortedKeys(s.workers) {
		if o := s.workers[id]; o != w && o.address() == w.address() && o.reported && !o.silent {
			s.blameCrash(w.address(), w.id(), lost, now)
			return
		}
	}
	for i := range lost {
		c := &lost[i].primary().crashes
		suspect := c.suspect
		lost[i].counted = lost[i].justBegun() && s.countCrash(&lost[i], false)
		c.suspect = suspect // unchanged before the crash is proven
	}
	s.missing[w.id()] = &missingWorker{id: w.id(), address: w.address(), incarnation: incarnation, forgetAt: now.Add(missingTime), runs: lost}
}

// identifyCrashes processes the incarnation in a report of a worker: it proves that missing
// incarnations at the same address are over, or that the worker was only cut off. Incarnations
// are compared for equality only, as clocks may be set back.
func (s *Scheduler) identifyCrashes(w *worker, incarnation int64, now time.Time) {
	for _, id := range sortedKeys(s.missing) {
		m := s.missing[id]
		switch {
		case id != w.id() && m.address != w.address():
		case id == w.id() && incarnation == m.incarnation:
			delete(s.missing, id)
			s.absolve(m)
		default:
			delete(s.missing, id)
			s.blameCrash(m.address, id, m.runs, now)
		}
	}
}

// absolve takes back what was counted for a worker that has not crashed. The run of a gang still
// counts if another of its workers has crashed or is missing.
func (s *Scheduler) absolve(m *missingWorker) {
	for _, l := range m.runs {
		t := l.primary()
		if l.ownCounted {
			l.task.crashes.removeOwn(&l)
			s.markDirty(t.group.job)
		}
		if !l.counted || t.done || t.group.job.final() || t.crashes.Run() != l.number || t.crashes.provenRun == l.number || s.countElsewhere(l) {
			continue
		}
		t.crashes.Remove(l.number, l.early) // another worker of the gang may still be lost in this run
		s.markDirty(t.group.job)
	}
	s.needsPass = true
}

// countElsewhere counts a run of a gang for another missing worker that had a member of it. It
// reports whether there is one.
func (s *Scheduler) countElsewhere(l lostRun) bool {
	for _, id := range sortedKeys(s.missing) {
		for i := range s.missing[id].runs {
			if o := &s.missing[id].runs[i]; o.primary() == l.primary() && o.number == l.number && o.justBegun() {
				o.counted = true
				return true
			}
		}
	}
	return false
}

// blamePriorRuns counts a crash against the tasks that an earlier scheduler placed on a worker,
// if its first complete report shows that the incarnation in the roster is over.
func (s *Scheduler) blamePriorRuns(w *worker, now time.Time) {
	if w.rosterBorn == 0 || w.incarnation == w.rosterBorn || w.registration.GetDraining() || w.upkeepPending || w.upkeepRequested {
		return
	}
	s.blameCrash(w.address(), w.id(), s.lostPriorRuns(w), now)
}

// recordIncarnation stores the incarnation of a worker with the roster, from which a later
// scheduler knows on which one tasks were placed.
func (s *Scheduler) recordIncarnation(w *worker, incarnation int64) {
	if w.storedBorn != incarnation {
		s.rosterChanged = true
	}
}

// forgetCrashes ends the wait for proof of crashes, and forgets workers that have not crashed
// for a while.
func (s *Scheduler) forgetCrashes(now time.Time) {
	for _, id := range sortedKeys(s.missing) {
		m := s.missing[id]
		if now.Before(m.forgetAt) {
			continue
		}
		delete(s.missing, id)
		for _, l := range m.runs {
			s.giveUpIfExhausted(l.primary(), now)
		}
	}
	for address, until := range s.unstable {
		if !now.Before(until) {
			delete(s.unstable, address)
		}
	}
}
