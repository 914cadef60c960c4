package hfplan

import (
	"time"

	"github.com/heatherfront/heatherfront/hfplacement"
	"github.com/heatherfront/heatherfront/hfsuspect"
)

const (
	// proofWait is how long a gang, or a task with one attempt left, waits for better workers than those
	// that have room. With maxIdleWait it stays below the 3 s within which callers expect a start.
	proofWait = 900 * time.Millisecond
	// suspectWait is how long a task with one attempt left waits for another worker than a suspect in
	// all, unless there is enough room for it. It covers the longest quarantine.
	suspectWait = 6 * time.Second
	// trialAttempts is how many attempts a task must have left to be tried on a suspect, so that its
	// next one is not its last.
	trialAttempts = 3
	// proofInterval limits how often the runs on all workers are gone through.
	proofInterval     = 100 * time.Millisecond
	unlimitedAttempts = 1 << 30
)

// WithSuspicion sets whether workers on which runs fail early are avoided and tried, as they are unless it is set. Without
// that, failures only quarantine workers. It returns the scheduler.
func (s *Scheduler) WithSuspicion(on bool) *Scheduler {
	s.trusting = !on
	return s
}

// reviewSuspects updates what is known of bad workers, at the start of a pass.
func (s *Scheduler) reviewSuspects(now time.Time) {
	s.vigilant = !s.judge.Calm(now)
	if !s.vigilant {
		s.sparedSuspects = 0
		return
	}
	if !now.Before(s.proofsDue) {
		s.proofsDue = now.Add(proofInterval)
		s.collectProofs(now)
	}
	spared := s.judge.Review(s.poolSize, now)
	if spared > 0 && s.sparedSuspects == 0 {
		s.emit(NoteCmd{note: NoteTooManySuspects, tasks: spared, reason: "too many workers seem to be bad"})
	}
	s.sparedSuspects = spared
	s.listTrials()
}

// listTrials updates the set of suspects with a run whose outcome is not known yet.
func (s *Scheduler) listTrials() {
	clear(s.onTrial)
	clear(s.trialWorkers)
	for _, id := range s.judge.AllSuspects() {
		last := s.judge.LastStart(id)
		for r := range s.workers[id].runs {
			if !r.startedAt.Before(last) && r.phase != stopping || r.phase == assigned {
				s.onTrial[id] = true
			}
		}
	}
}

// collectProofs notes the runs that have been at work for longer than runs on a bad worker are.
func (s *Scheduler) collectProofs(now time.Time) {
	for _, g := range s.groups {
		if g.active == 0 || g.gang() && g.active < len(g.tasks) {
			continue
		}
		began, whole := time.Time{}, true // of a gang, when its last member has started
		if g.gang() {
			for i := range g.tasks {
				r := g.tasks[i].run
				whole = whole && r != nil && r.phase == running
				if r != nil {
					began = later(began, r.confirmedAt)
				}
			}
		}
		for i := range g.tasks {
			r := g.tasks[i].run
			if whole && r != nil && r.phase == running && !r.adopted && !r.worker.silent && now.Sub(later(began, r.confirmedAt)) >= g.earlyFailure() {
				s.recordProof(r.worker, r.startedAt)
			}
		}
	}
}

// distrust begins an outbreak if a job has failures that an earlier scheduler counted, as that one's
// suspects are not stored.
func (s *Scheduler) distrust(g *group, now time.Time) {
	if s.trusting || s.recovered || g.job.queue == nil {
		return
	}
	for i := range g.tasks {
		if t := &g.tasks[i]; t.failures > 0 && !t.done {
			s.judge.Distrust(g.job.queue.GetPool(), now)
			g.inherited = true
			return
		}
	}
}

// attemptsLeft returns how often a task may still be started.
func (g *group) attemptsLeft(t *task) int {
	if g.spec.GetLasting() {
		return unlimitedAttempts
	}
	return max(int(g.job.queue.GetAttempts()), 1) - int(g.primary(t).failures)
}

// lastAttempts returns the number of waiting tasks to be placed now that have one attempt left. If their queue
// gives no more than one, these are all tasks.
func (g *group) lastAttempts() int {
	n := 0
	for i := range g.tasks {
		if t := &g.tasks[i]; t.waiting() && !t.spared && g.lastAttempt(t) {
			n++
		}
	}
	return n
}

// lastAttemptWaits reports whether a task that has one attempt left has no run, though it may be spared.
func (g *group) lastAttemptWaits() bool {
	for i := range g.tasks {
		if t := &g.tasks[i]; t.waiting() && g.lastAttempt(t) {
			return true
		}
	}
	return false
}

func (g *group) lastAttempt(t *task) bool { return g.attemptsLeft(t) <= 1 }

// cautiousNeed restricts the requirements of a group to the workers that it may use now, in a pool with
// bad workers:
//
//   - with one attempt left, workers that have proved sound, for proofWait and then as long as the job is of
//     use to its caller; after that any but suspects; both for suspectWait at most;
//   - other gangs and urgent tasks, during an outbreak, any but suspects, for proofWait;
//   - single tasks, any but the suspects with a run whose outcome is not known yet; in a lightly used pool,
//     and if they last, for proofWait.
func (s *Scheduler) cautiousNeed(g *group, need hfplacement.Need, now time.Time) hfplacement.Need {
	g.cautious = false
	if !s.vigilant {
		g.provedBy = time.Time{}
		return need
	}
	pool := g.job.queue.GetPool()
	suspect := func(id string) bool { return s.judge.Avoided(pool, id) }
	last := g.lastAttempts() > 0
	since, outbreak := s.badSince(g, now)
	if last && g.job.queue.GetPriority() > 0 {
		if _, placed := s.resources.PlaceAcrossRacks(need, g.leastTasks()); placed < g.leastTasks() {
			g.provedBy = time.Time{} // it waits for room, not for better workers
		}
	}
	if g.provedBy.IsZero() {
		g.provedBy, g.trustedBy = now.Add(proofWait), now.Add(suspectWait)
	}
	awaits := last && s.mayAwaitProof(g, need, now)
	switch {
	case awaits && outbreak && (now.Before(g.provedBy) || g.objectiveStatus(now) != overdue):
		g.cautious = true
		return need.AlsoExcluding(func(id string) bool { return !s.judge.ProvedSince(id, since) })
	case awaits:
		g.cautious = true
		return need.AlsoExcluding(suspect)
	case outbreak && (g.gang() || g.job.queue.GetPriority() == 0) && now.Before(g.provedBy):
		g.cautious = true
		return need.AlsoExcluding(suspect)
	case !g.gang() && (now.Before(g.provedBy) || !g.spec.GetLasting() && !s.hasAmpleRoom(g, need, g.leastTasks(), now)):
		return need.AlsoExcluding(func(id string) bool { return suspect(id) && s.onTrial[id] })
	}
	return need
}

// roomBesidesSuspects returns how many of count tasks of a group have room on workers that are no suspects, whether
// these have proved sound or not: all of a gang or none.
func (s *Scheduler) roomBesidesSuspects(g *group, count int, now time.Time) int {
	pool := g.job.queue.GetPool()
	need := s.avoidingNeed(g, now).AlsoExcluding(func(id string) bool { return s.judge.Avoided(pool, id) })
	_, placed := s.resources.PlaceAcrossRacks(need, count)
	if g.gang() && placed < count {
		return 0
	}
	return placed
}

// badSince returns since when workers of the group's pool seem to be bad: there is an outbreak, or a run of
// the group, a gang, failed early a short time ago. A single task meets one worker, which it avoids from then
// on; a gang meets several at once.
func (s *Scheduler) badSince(g *group, now time.Time) (time.Time, bool) {
	if since, ok := s.judge.Outbreak(g.job.queue.GetPool(), now); ok {
		return since, true
	}
	return g.failedStart, g.gang() && now.Before(g.distrustUntil)
}

// mayAwaitProof reports whether a group with one attempt left may still wait for better workers.
func (s *Scheduler) mayAwaitProof(g *group, need hfplacement.Need, now time.Time) bool {
	if now.Before(g.provedBy) {
		return true
	}
	if !now.Before(g.trustedBy) {
		return false
	}
	if !s.hasRoomTwice(g, need, g.leastTasks(), now) {
		return true
	}
	// With enough room it must start within 3 s, however much of the pool is in use. Gangs that ask for a rack, and work that has
	// none of the room that is kept for urgent work, have another wait of maxIdleWait. Others may have waited under
	// an earlier scheduler.
	waitsAgain := g.spec.GetCompact() || g.job.queue.GetPriority() > 0 && (g.uncheckpointedGang() || s.slowStops[g.job.queue.GetPool()])
	return !waitsAgain && !g.inherited && now.Before(g.provedBy.Add(maxIdleWait-proofWait))
}

// placeVigilantly assigns the waiting tasks of a group in a pool with bad workers. Tasks that have other
// attempts left do not wait with those that have not. It reports whether every task was assigned.
func (s *Scheduler) placeVigilantly(g *group, now time.Time) bool {
	s.placeTrials(g, now)
	last := g.lastAttempts()
	if g.gang() || last == 0 || last == g.waiting() {
		return s.placePreferred(g, now)
	}
	g.spare(func(t *task) bool { return !g.lastAttempt(t) })
	s.placePreferred(g, now)
	g.spare(g.lastAttempt)
	s.placePreferred(g, now)
	g.spare(nil)
	return g.allPlaced()
}

// placePreferred assigns the waiting tasks of a group, if possible to workers that have proved sound or
// at least are no suspects.
func (s *Scheduler) placePreferred(g *group, now time.Time) bool {
	if g.waitingShared(now) == 0 {
		return g.allPlaced()
	}
	need, pool := s.placementNeed(g, now), g.job.queue.GetPool()
	trusted := need.AlsoExcluding(func(id string) bool { return s.judge.Avoided(pool, id) })
	if since, outbreak := s.badSince(g, now); outbreak && (g.gang() || g.job.queue.GetPriority() == 0) {
		proved := need.AlsoExcluding(func(id string) bool { return !s.judge.ProvedSince(id, since) })
		if s.placeWithin(g, proved, now) || s.placeMixed(g, proved, trusted, now) {
			return true
		}
	}
	if s.placeWithin(g, trusted, now) {
		return true
	}
	if !g.cautious && !s.judge.AvoidsAny(pool) {
		return false
	}
	if g.cautious {
		_, placed := s.resources.PlaceAcrossRacks(s.permittedNeed(g, now), g.leastTasks())
		g.lacksRoom = placed < g.leastTasks()
		if !g.lacksRoom && !g.awaitsProof {
			g.awaitsProof, s.proofsWanted[pool] = true, now.Add(hfsuspect.OutbreakTime)
			delete(s.trialWorkers, pool) // those that have proved nothing join them
			s.proofWaits++
			s.emit(NoteCmd{note: NoteAwaitsProof, job: g.job.id(), step: g.step, tasks: g.waiting(), reason: "only workers that may be bad have room"})
		}
	}
	return s.placeWithin(g, need, now)
}

// placeMixed assigns the members of a gang to workers that have proved sound as far as these have room, and
// to others for the rest: each worker that is not proved adds to the risk of the whole gang.
func (s *Scheduler) placeMixed(g *group, proved, others hfplacement.Need, now time.Time) bool {
	count := g.waitingShared(now)
	if !g.gang() || g.spec.GetCompact() || count < len(g.tasks) {
		return false
	}
	first, placed := s.resources.PlaceAcrossRacks(proved, count)
	used := map[string]bool{}
	for _, p := range first {
		used[p.Worker().ID()] = true
	}
	rest, more := s.resources.PlaceAcrossRacks(others.AlsoExcluding(func(id string) bool { return used[id] }), count-placed)
	if placed+more < count {
		return false
	}
	s.assign(g, append(first, rest...), now)
	return true
}

// spare keeps waiting tasks from being placed; nil ends that.
func (g *group) spare(which func(t *task) bool) {
	g.sparedTasks = 0
	for i := range g.tasks {
		t := &g.tasks[i]
		if t.spared = which != nil && t.waiting() && which(t); t.spared {
			g.sparedTasks++
		}
	}
}

// placeTrials assigns tasks that can afford to fail to suspects, one on each that has nothing else to
// prove it. While others wait for workers that have proved sound, it also assigns them to workers that have
// proved nothing yet.
func (s *Scheduler) placeTrials(g *group, now time.Time) {
	if !g.mayTry() {
		return
	}
	pool := g.job.queue.GetPool()
	ready := s.readyForTrial(pool, now)
	if len(ready) == 0 {
		return
	}
	g.spare(func(t *task) bool { return g.attemptsLeft(t) < trialAttempts })
	defer g.spare(nil)
	count := g.waitingShared(now)
	if count == 0 {
		return
	}
	need := s.permittedNeed(g, now).AlsoExcluding(func(id string) bool { return !ready[id] || g.avoid[id] }).MaxPerWorker(1, nil)
	placements, placed := s.resources.PlaceAcrossRacks(need, count)
	s.assign(g, placements, now)
	s.trials += placed
	for _, p := range placements {
		id := p.Worker().ID()
		if s.judge.Avoided(pool, id) {
			s.onTrial[id] = true
			s.emit(NoteCmd{note: NoteTrial, job: g.job.id(), worker: id, step: g.step, tasks: p.Tasks(), reason: "a suspect is tried"})
		}
	}
}

// readyForTrial returns the workers of a pool on which a task may be tried: suspects with nothing that may prove
// them, and for a while after a last attempt had to wait, those that have proved nothing since the outbreak began. They
// are listed once in a pass; assignRuns removes those that get a task.
func (s *Scheduler) readyForTrial(pool string, now time.Time) map[string]bool {
	if ready, listed := s.trialWorkers[pool]; listed {
		return ready
	}
	ready := map[string]bool{}
	s.trialWorkers[pool] = ready
	for _, id := range s.judge.AvoidedWorkers(pool) {
		if !s.onTrial[id] && s.workers[id].resources.Usable() {
			ready[id] = true
		}
	}
	if now.Before(s.proofsWanted[pool]) {
		s.addUnproved(pool, ready, now)
	}
	return ready
}

// mayTry reports whether tasks of the group may be tried on suspects.
func (g *group) mayTry() bool {
	return !g.gang() && !g.spec.GetLasting() && g.spec.GetApart() == 0 && g.job.queue.GetPriority() > 0
}

// addUnproved adds the workers of a pool that have proved nothing since the outbreak began, and have no run
// that may do so.
func (s *Scheduler) addUnproved(pool string, ready map[string]bool, now time.Time) {
	since, ok := s.judge.Outbreak(pool, now)
	if !ok {
		return
	}
	s.resources.EachWorker(pool, func(resources *hfplacement.Worker) {
		id := resources.ID()
		if !resources.Usable() || s.judge.Avoided(pool, id) || s.judge.ProvedSince(id, since) {
			return
		}
		for r := range s.workers[id].runs {
			if r.phase == assigned || !r.startedAt.Before(since) {
				return
			}
		}
		ready[id] = true
	})
}
