package hfplan

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/heatherfront/heatherfront/hfplacement"
	"github.com/heatherfront/heatherfront/hfwork"
)

// WhereOutcome is what would become of a step now.
type WhereOutcome string

// The outcomes.
const (
	WhereStarts    WhereOutcome = "starts"         // all its tasks have room
	WherePartly    WhereOutcome = "starts in part" // some single tasks have room, the others wait
	WhereDisplaces WhereOutcome = "displaces"      // runs of other jobs are stopped for it
	WhereWaits     WhereOutcome = "waits"
	WhereNever     WhereOutcome = "never"    // the pool has no workers on which it fits, even if these were empty
	WhereLater     WhereOutcome = "later"    // it is not due, or waits for earlier steps of its job
	WhereUnknown   WhereOutcome = "unknown"  // it depends on answers of the adviser, which is not asked
	WhereNothing   WhereOutcome = "no queue" // the scheduler does not know the queue
)

// Limits of the lists in an answer. Their full lengths are in it beside them.
const (
	maxWhereAhead      = 10
	maxWherePlacements = 20
	maxWhereNames      = 5
	maxWhereDisplaced  = 20
)

// WhereAnswer tells where a job would go now.
type WhereAnswer struct {
	At         time.Time   `json:"at"`
	Queue      string      `json:"queue"`
	Pool       string      `json:"pool"`
	Priority   uint32      `json:"priority"`
	Guaranteed bool        `json:"guaranteed"` // its account's guarantee covers it
	Suspended  bool        `json:"suspended"`  // the scheduler starts nothing at the moment
	Recovered  bool        `json:"recovered"`  // all runs of earlier schedulers are accounted for
	Pending    bool        `json:"pending"`    // something has changed since the last pass
	Steps      []WhereStep `json:"steps"`
}

// WhereStep tells where a step of a job would go now.
type WhereStep struct {
	Step           uint32           `json:"step"`
	Outcome        WhereOutcome     `json:"outcome"`
	Why            string           `json:"why"`
	Tasks          int              `json:"tasks"`
	Placed         int              `json:"placed"` // tasks that start at once
	Rank           int              `json:"rank"`   // among the groups that wait in the pool, from 1; 0 if it does not wait
	AheadCount     int              `json:"ahead_count"`
	Ahead          []WhereAhead     `json:"ahead"`
	PlacementCount int              `json:"placement_count"`
	Placements     []WherePlacement `json:"placements"`
	Workers        []WhereWorkers   `json:"workers"`
	DisplacedCount int              `json:"displaced_count"`
	Displaced      []WhereDisplaced `json:"displaced"`
	Start          *WhereStart      `json:"start,omitempty"` // nil if it is not known
}

// WhereAhead is a group that is placed before the step.
type WhereAhead struct {
	Job      string `json:"job"`
	Step     uint32 `json:"step"`
	Queue    string `json:"queue"`
	Priority uint32 `json:"priority"`
	Waiting  int    `json:"waiting"` // tasks
}

// WherePlacement is a worker on which tasks would run.
type WherePlacement struct {
	Worker string `json:"worker"`
	Rack   string `json:"rack"`
	Tasks  int    `json:"tasks"`
}

// WhereWorkers are the workers of the pool that fit, or that do not for the same reason.
type WhereWorkers struct {
	Why   string   `json:"why"`
	Count int      `json:"count"`
	Names []string `json:"names"` // the first ones
}

// WhereDisplaced are runs that would be stopped.
type WhereDisplaced struct {
	Job   string `json:"job"`
	Step  uint32 `json:"step"`
	Queue string `json:"queue"`
	Tasks int    `json:"tasks"`
}

// WhereStart is the expected start of all tasks of a step.
type WhereStart struct {
	Earliest time.Time `json:"earliest"` // if nothing that waits ahead takes the room first
	Expected time.Time `json:"expected"` // once what waits ahead has had as much room; zero if that is not known
	Measured int       `json:"measured"` // runs that are to end before, by measured progress
	Declared int       `json:"declared"` // the same by declared run time, which may be off
}

// Where tells where a job would go if it were submitted now. It changes nothing.
func (s *Scheduler) Where(spec *hfwork.Job, now time.Time) WhereAnswer {
	a := WhereAnswer{At: now, Queue: spec.GetQueue(), Suspended: s.suspension.suspended, Recovered: s.recovered, Pending: s.needsPass}
	queue := s.queues[spec.GetQueue()]
	if queue == nil {
		a.Steps = []WhereStep{{Outcome: WhereNothing, Why: "the scheduler knows no such queue"}}
		return a
	}
	a.Pool, a.Priority = queue.GetPool(), queue.GetPriority()
	own := proto.CloneOf(spec)
	if own.GetReceived() == 0 {
		own.Received = now.UnixMilli()
	}
	j := &job{spec: own, queue: queue, state: hfwork.StateQueued, learnedAt: now}
	j.restore(nil)
	o := newOccurrence(j, 0)
	j.occurrences[0] = o
	view := s.view()
	view.groups = append(slices.Clone(s.groups), o.groups...)
	j.guaranteed = view.wouldBeGuaranteed(j)
	a.Guaranteed = j.guaranteed
	candidates := view.candidates(now)
	for _, c := range candidates {
		if c.priority == 0 {
			view.urgentWaits[c.group.job.queue.GetPool()] = true
		}
	}
	for _, g := range o.groups {
		a.Steps = append(a.Steps, view.whereStep(g, candidates, now))
	}
	return a
}

// view returns a scheduler that shares the groups, runs and resources of s, which it must not change, and
// has copies of what decisions keep for later.
func (s *Scheduler) view() *Scheduler {
	v := *s
	v.isView = true
	v.cmds, v.waitingList = nil, nil
	v.notAmple, v.urgentWaits, v.slowWorkers = map[placementShape]int{}, map[string]bool{}, map[string]bool{}
	v.slowStops = maps.Clone(s.slowStops)
	v.onTrial, v.trialWorkers, v.proofsWanted = map[string]bool{}, map[string]map[string]bool{}, maps.Clone(s.proofsWanted)
	v.poolWorkers, v.stopWeights, v.suspectReserved = map[string]*poolWorkers{}, map[*group]stopWeight{}, maps.Clone(s.suspectReserved)
	v.usage = map[string]*poolUsage{}
	for pool, u := range s.usage {
		c := *u
		v.usage[pool] = &c
	}
	v.workers = make(map[string]*worker, len(s.workers))
	for id, w := range s.workers {
		c := *w
		c.releases, c.releasesAt = nil, time.Time{}
		v.workers[id] = &c
	}
	v.listSlowWorkers()
	if v.vigilant {
		v.listTrials()
	}
	return &v
}

// wouldBeGuaranteed reports whether the guarantee of its account covers a new job, which comes after all others.
func (s *Scheduler) wouldBeGuaranteed(j *job) bool {
	if j.queue.GetPriority() > 0 {
		return false
	}
	owner := func(other *job) string { return s.accounts.Owner(other.spec.GetAccount(), other.spec.GetPolicy()) }
	jobs := map[*job]bool{}
	for _, g := range s.groups {
		jobs[g.job] = true
	}
	for _, other := range s.unloaded {
		jobs[other] = true
	}
	delete(jobs, j)
	var others []*job
	for other := range jobs {
		if other.queue != nil && other.queue.GetPriority() == 0 && !other.final() && owner(other) == owner(j) {
			others = append(others, other)
		}
	}
	slices.SortFunc(others, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.spec.GetReceived(), b.spec.GetReceived()), cmp.Compare(a.id(), b.id()))
	})
	remaining := s.accountGuarantee(owner(j))
	for _, other := range others {
		if demand := other.openAccelerators(); demand <= remaining {
			remaining -= demand
		}
	}
	return j.openAccelerators() <= remaining
}

// whereStep tells where a step of a new job would go. s is a view.
func (s *Scheduler) whereStep(g *group, candidates []candidate, now time.Time) WhereStep {
	a := WhereStep{Step: g.step, Tasks: len(g.tasks), Ahead: []WhereAhead{}, Placements: []WherePlacement{}, Displaced: []WhereDisplaced{}}
	ahead := map[any]bool{}
	var groupsAhead []*group
	s.endForecasts = 0
	clear(s.poolWorkers) // what is reserved depends on the rank
	for _, c := range candidates {
		if c.group == g {
			a.Rank, g.goesFirst = len(groupsAhead)+1, c.first
			break
		}
		if c.group.job == g.job || ahead[c.group] {
			continue
		}
		s.endForecasts += c.group.endForecasts
		if c.group.job.queue.GetPool() != g.job.queue.GetPool() {
			continue
		}
		ahead[c.group] = true
		groupsAhead = append(groupsAhead, c.group)
	}
	s.outranks = func(other any) bool { return a.Rank > 0 && !ahead[other] }
	a.Workers = s.whereWorkers(g, s.generalNeed(g, now), now)
	if why, never := s.neverFits(g); never {
		a.Outcome, a.Why, a.Rank = WhereNever, why, 0
		return a
	}
	if a.Rank == 0 {
		a.Outcome, a.Why = WhereLater, "waits for earlier steps of its job"
		if now.Before(g.due) {
			a.Why, a.Start = "is not due before then", &WhereStart{Earliest: g.due}
		}
		return a
	}
	a.AheadCount = len(groupsAhead)
	for _, other := range groupsAhead[:min(len(groupsAhead), maxWhereAhead)] {
		a.Ahead = append(a.Ahead, WhereAhead{
			Job: other.job.id(), Step: other.step, Queue: other.job.queue.GetName(), Priority: other.job.queue.GetPriority(), Waiting: other.waiting(),
		})
	}
	if g.job.queue.GetAdvised() {
		a.Outcome, a.Why = WhereUnknown, "the adviser of the queue is asked once the job is submitted, and says which of the workers that fit may run it"
		return a
	}
	skipped := !s.needsPass && g.skippedAfter(groupsAhead, now)
	need := s.placementNeed(g, now)
	if skipped {
		a.Outcome, a.Why = WhereWaits, "tasks of the same size that go first have no room"
		a.Start = s.expectedStart(g, need, groupsAhead, now)
		return a
	}
	s.decideWhere(&a, g, need, groupsAhead, now)
	return a
}

// skippedAfter reports whether a pass does not try a new group, as one of the same shape that goes first, with as many
// or fewer tasks, has found no room.
func (g *group) skippedAfter(ahead []*group, now time.Time) bool {
	if g.job.queue.GetPriority() == 0 || !g.unconstrainedButForCaution(now) {
		return false
	}
	return slices.ContainsFunc(ahead, func(other *group) bool {
		budgeted := other.job.queue.GetPriority() > 0 && other.uncheckpointedGang() // may not have been tried
		tried := !budgeted && !other.allPlaced() && (!other.cautious || other.lacksRoom)
		return tried && !other.awaitingRack && other.unconstrainedButForCaution(now) && other.placementShape() == g.placementShape() &&
			(!g.gang() || other.waiting() <= len(g.tasks))
	})
}

// decideWhere decides as a pass does: room first, then victims, then waiting.
func (s *Scheduler) decideWhere(a *WhereStep, g *group, need hfplacement.Need, ahead []*group, now time.Time) {
	if why := s.keepsRoomFrom(g, now); why != "" {
		a.Outcome, a.Why = WhereWaits, why
		if _, placed := s.resources.PlaceAcrossRacks(need, len(g.tasks)); placed == len(g.tasks) && s.hasAmpleRoom(g, need, g.leastTasks(), now) {
			a.Why += fmt.Sprintf("; with as much room as now for %v at most", maxIdleWait)
			a.Start = &WhereStart{Earliest: now, Expected: now.Add(maxIdleWait)}
			return
		}
		a.Start = s.expectedStart(g, need, ahead, now)
		return
	}
	count := g.waitingShared(now) // all but those that are kept back
	trials := s.wouldTry(g, now)
	need = besideTrials(g, need, trials)
	var placements []hfplacement.Placement
	awaitsRack := false
	for _, n := range s.whereNeeds(g, need, now) {
		var placed int
		placements, placed, awaitsRack = s.wouldPlace(g, n, count-len(trials), now)
		if a.Placed = placed + len(trials); a.Placed == len(g.tasks) {
			a.Outcome, a.Why, a.Start = WhereStarts, "there is room", &WhereStart{Earliest: now, Expected: now}
			a.place(slices.Concat(trials, placements))
			return
		}
	}
	a.place(slices.Concat(trials, placements))
	if a.Placed < count {
		victims, ends, ok := s.wouldPreempt(g, need, trials, placements, now)
		switch {
		case ok:
			a.displace(victims)
			a.Outcome, a.Why = WhereDisplaces, "there is too little room beside runs that it may stop"
			a.Start = &WhereStart{Earliest: now, Expected: now.Add(s.timing.stop())}
			return
		case !ends.IsZero():
			a.Outcome, a.Why = WhereWaits, "runs that it could stop are expected to end by themselves in time"
			if a.Placed > 0 {
				a.Outcome = WherePartly
			}
			a.Start = s.expectedStart(g, need, ahead, now)
			if a.Start == nil {
				a.Start = &WhereStart{Earliest: ends, Expected: ends}
			}
			return
		}
	}
	switch usable := s.fitsUsable(g, need); {
	case a.Placed > 0:
		a.Outcome, a.Why = WherePartly, fmt.Sprintf("there is room for %d of %d tasks", a.Placed, len(g.tasks))
		if g.keptBack > 0 {
			a.Why += fmt.Sprintf("; %d are kept back for urgent work, as stops take long", g.keptBack)
		}
	case awaitsRack:
		a.Outcome, a.Why = WhereWaits, "there is room in several racks, and one is worth waiting for"
	case g.cautious:
		a.Outcome, a.Why = WhereWaits, "only workers that may be bad have room"
	case !usable:
		a.Outcome, a.Why = WhereWaits, "too few of the workers that fit take tasks now"
		return
	default:
		a.Outcome, a.Why = WhereWaits, "there is too little room"
	}
	a.Start = s.expectedStart(g, need, ahead, now)
}

// keepsRoomFrom returns why room is kept for urgent work rather than given to any task of a new group, or "". It also
// sets how many of the tasks are kept back.
func (s *Scheduler) keepsRoomFrom(g *group, now time.Time) string {
	b := s.gangBudgets(now)[g.job.queue.GetPool()]
	if g.goesFirst {
		return ""
	}
	// A new group has not waited beside ample room for maxIdleWait.
	if s.keepBack(g, b, now); g.allPlaced() {
		return "room is kept for urgent work, as stops take longer than that can wait"
	}
	if g.job.queue.GetPriority() > 0 && g.uncheckpointedGang() && !b.take(g) {
		return "room is kept for urgent work, which would stop a gang without checkpoints again"
	}
	return ""
}

// besideTrials restricts the requirements of a new group to what is left on the workers that it tries.
func besideTrials(g *group, need hfplacement.Need, trials []hfplacement.Placement) hfplacement.Need {
	if len(trials) == 0 {
		return need
	}
	taken := map[string]int{}
	for _, p := range trials {
		taken[p.Worker().ID()] = math.MaxInt32 - max(0, p.Worker().Free().CountFitting(g.size)-1)
	}
	return need.MaxPerWorker(math.MaxInt32, func(id string) int { return taken[id] })
}

// whereNeeds returns the requirements that a pass tries for a new group, in order. The last ones include all
// workers that the others do.
func (s *Scheduler) whereNeeds(g *group, need hfplacement.Need, now time.Time) []hfplacement.Need {
	pool := g.job.queue.GetPool()
	var needs []hfplacement.Need
	add := func(n hfplacement.Need) {
		if fast, ok := s.withoutSlow(g, n); ok {
			needs = append(needs, fast)
		}
		needs = append(needs, n)
	}
	if s.vigilant {
		if since, outbreak := s.badSince(g, now); outbreak && (g.gang() || g.job.queue.GetPriority() == 0) {
			add(need.AlsoExcluding(func(id string) bool { return !s.judge.ProvedSince(id, since) }))
		}
		add(need.AlsoExcluding(func(id string) bool { return s.judge.Avoided(pool, id) }))
	}
	add(need)
	return needs
}

// wouldTry returns the placements of tasks of a new group on workers that are tried, one on each. From then on the
// others are kept off the suspects among these.
func (s *Scheduler) wouldTry(g *group, now time.Time) []hfplacement.Placement {
	if !s.vigilant || !g.mayTry() || g.attemptsLeft(&g.tasks[0]) < trialAttempts {
		return nil
	}
	pool := g.job.queue.GetPool()
	ready := s.readyForTrial(pool, now)
	if len(ready) == 0 {
		return nil
	}
	need := s.permittedNeed(g, now).AlsoExcluding(func(id string) bool { return !ready[id] }).MaxPerWorker(1, nil)
	placements, _ := s.resources.PlaceAcrossRacks(need, g.waitingShared(now))
	for _, p := range placements {
		id := p.Worker().ID()
		delete(ready, id)
		if s.judge.Avoided(pool, id) {
			s.onTrial[id] = true
		}
	}
	return placements
}

// wouldPlace returns the placements of count tasks of a new group on workers that have room: of a gang all or none. It also
// reports whether the group has room in several racks and waits for one.
func (s *Scheduler) wouldPlace(g *group, need hfplacement.Need, count int, now time.Time) (list []hfplacement.Placement, placed int, awaitsRack bool) {
	if g.gang() && g.spec.GetCompact() {
		if placements, ok := s.resources.PlaceInOneRack(need, count); ok {
			return placements, count, false
		}
	}
	placements, placed := s.resources.PlaceAcrossRacks(need, count)
	switch {
	case g.gang() && placed < count:
		return nil, 0, false
	case g.gang() && g.spec.GetCompact() && s.awaitsRack(g, need, count, now):
		return nil, 0, true
	}
	return placements, placed, false
}

// wouldPreempt returns the victims for the tasks of a new group, some of which are tried or have
// room, or when the runs are expected to end for which it waits instead.
func (s *Scheduler) wouldPreempt(g *group, need hfplacement.Need, trials, placements []hfplacement.Placement, now time.Time) (_ []hfplacement.Victim[victim], ends time.Time, _ bool) {
	count, placed := g.waitingShared(now)-len(trials), 0
	for _, p := range placements {
		placed += p.Tasks()
	}
	if g.cautious {
		if count -= max(0, s.roomBesidesSuspects(g, count, now)-placed); count <= placed {
			return nil, ends, false // the others wait for better workers, not for room
		}
	}
	if at, ok := s.wouldAwaitEnds(g, count-placed, slices.Concat(trials, placements), now); ok {
		return nil, at, false
	}
	victims := s.victims(g, now)
	if len(victims) == 0 {
		return nil, ends, false
	}
	needs := []hfplacement.Need{need}
	if fast, ok := s.withoutSlow(g, need); ok {
		needs = []hfplacement.Need{fast, need}
	}
	for _, compact := range g.preemptedShapes(now) {
		for _, n := range needs {
			if chosen, ok := hfplacement.SelectVictims(s.resources, n, count, compact, victims); ok {
				return chosen, ends, true
			}
		}
	}
	return nil, ends, false
}

// wouldAwaitEnds returns when the runs are expected to end for which count tasks of a new group wait, beside those that
// are placed.
func (s *Scheduler) wouldAwaitEnds(g *group, count int, placements []hfplacement.Placement, now time.Time) (time.Time, bool) {
	workers := s.workers
	s.workers, s.taken = maps.Clone(workers), map[string]hfplacement.Resources{}
	next := 0
	for _, p := range placements {
		id := p.Worker().ID()
		w := *s.workers[id]
		w.runs, w.releases, w.releasesAt = maps.Clone(w.runs), nil, time.Time{}
		for range p.Tasks() {
			w.runs[&run{task: &g.tasks[next], worker: &w, number: 1, phase: assigned}] = struct{}{}
			next++
		}
		s.workers[id], s.taken[id] = &w, s.taken[id].Plus(g.size, int64(p.Tasks()))
	}
	r, ok := s.awaitedEnds(g, count, now)
	s.workers, s.taken = workers, nil
	return r.startsAt, ok
}

// expectedStart returns when all tasks of a new group are expected to have room, or nil if that is not known.
func (s *Scheduler) expectedStart(g *group, need hfplacement.Need, ahead []*group, now time.Time) *WhereStart {
	var workers []*hfplacement.Worker
	s.resources.EachWorker(g.job.queue.GetPool(), func(w *hfplacement.Worker) { workers = append(workers, w) })
	earliest, ok := s.newForecast(need, workers, now).roomFor(len(g.tasks))
	if !ok {
		return nil
	}
	start := &WhereStart{Earliest: earliest}
	demand := hfplacement.Resources{}
	for _, other := range ahead {
		demand = demand.Plus(other.size, int64(other.waiting()))
	}
	until := earliest
	if at, ok := s.newForecast(need, workers, now).roomFor(len(g.tasks) + tasksWorth(demand, g.size)); ok {
		start.Expected, until = at, at
	}
	for _, resources := range workers {
		if !need.Eligible(resources) {
			continue
		}
		for r := range s.workers[resources.ID()].runs {
			if r.resourcesReturned || r.task.group.spec.GetLasting() || r.expectedEnd(now).After(until) {
				continue
			}
			if _, ok := r.progress.expectedEnd(); ok {
				start.Measured++
			} else {
				start.Declared++
			}
		}
	}
	return start
}

// tasksWorth returns how many tasks of a size take as much as demand of the resource that binds.
func tasksWorth(demand, size hfplacement.Resources) int {
	worth := int64(0)
	for _, d := range [][2]int64{{demand.CPU(), size.CPU()}, {demand.Memory(), size.Memory()}, {demand.Accelerators(), size.Accelerators()}} {
		if d[1] > 0 {
			worth = max(worth, (d[0]+d[1]-1)/d[1])
		}
	}
	return int(min(worth, math.MaxInt32))
}

// neverFits reports whether too few tasks of a new group would fit if all registered workers of its pool were
// empty and took tasks, and why.
func (s *Scheduler) neverFits(g *group) (string, bool) {
	registered, labelled, fitting, total, most := 0, 0, 0, 0, hfplacement.Resources{}
	s.resources.EachWorker(g.job.queue.GetPool(), func(resources *hfplacement.Worker) {
		w := s.workers[resources.ID()]
		if !w.registered {
			return
		}
		registered++
		if !w.hasLabel(g) {
			return
		}
		labelled++
		c := resources.Capacity()
		most = hfplacement.NewResources(max(most.CPU(), c.CPU()), max(most.Memory(), c.Memory()), max(most.Accelerators(), c.Accelerators()))
		tasks := c.CountFitting(g.size)
		if apart := int(g.spec.GetApart()); apart > 0 {
			tasks = min(tasks, apart)
		}
		if tasks > 0 {
			fitting++
		}
		total += min(tasks, len(g.tasks))
	})
	switch {
	case registered == 0:
		return fmt.Sprintf("pool %q has no workers", g.job.queue.GetPool()), true
	case labelled == 0:
		return fmt.Sprintf("none of the %d workers of the pool has the label %q", registered, g.spec.GetLabel()), true
	case fitting == 0:
		return fmt.Sprintf("a task needs %s, and the largest of %d workers have %s", formatResources(g.size), labelled, formatResources(most)), true
	case total < g.leastTasks():
		return fmt.Sprintf("at most %d of the %d tasks, which start together, fit on the %d workers that could run one", total, len(g.tasks), fitting), true
	}
	return "", false
}

func formatResources(r hfplacement.Resources) string {
	return fmt.Sprintf("%d millicores, %d MB and %d accelerators", r.CPU(), r.Memory(), r.Accelerators())
}

// hasLabel reports whether the worker has the label that a group asks for.
func (w *worker) hasLabel(g *group) bool {
	return g.spec.GetLabel() == "" || slices.Contains(w.registration.GetLabels(), g.spec.GetLabel())
}

// fitsUsable reports whether a group would fit on the workers that take tasks now, if these were empty.
func (s *Scheduler) fitsUsable(g *group, need hfplacement.Need) bool {
	_, possible := s.resources.FitsWhenEmpty(need, g.leastTasks())
	return possible
}

// whereWorkers returns the workers of a group's pool by why they do not fit, those that do first.
func (s *Scheduler) whereWorkers(g *group, need hfplacement.Need, now time.Time) []WhereWorkers {
	list := []WhereWorkers{{Why: whyFits, Names: []string{}}}
	index := map[string]int{whyFits: 0}
	s.resources.EachWorker(g.job.queue.GetPool(), func(resources *hfplacement.Worker) {
		w := s.workers[resources.ID()]
		why := s.whyNot(w, g, need, now)
		i, known := index[why]
		if !known {
			i = len(list)
			index[why] = i
			list = append(list, WhereWorkers{Why: why})
		}
		list[i].Count++
		if len(list[i].Names) < maxWhereNames {
			list[i].Names = append(list[i].Names, w.id())
		}
	})
	slices.SortStableFunc(list[1:], func(a, b WhereWorkers) int { return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Why, b.Why)) })
	return list
}

const whyFits = "fits"

// whyNot returns why no task of a new group fits on a worker now, or whyFits.
func (s *Scheduler) whyNot(w *worker, g *group, need hfplacement.Need, now time.Time) string {
	resources, free := w.resources, w.resources.Free()
	switch {
	case !w.hasLabel(g):
		return fmt.Sprintf("has no label %q", g.spec.GetLabel())
	case resources.Capacity().CountFitting(g.size) == 0:
		return "is smaller than a task: " + scarce(resources.Capacity(), g.size)
	case !w.registered:
		return "is no longer registered"
	case w.domainEvacuated:
		return "its failure domain is evacuated"
	case w.registration.GetDraining():
		return "is draining"
	case w.upkeepPending:
		return "upkeep of its machine"
	case now.Before(w.quarantinedUntil):
		return "is quarantined"
	case now.Before(w.refusedUntil):
		return "has refused a start just now"
	case w.silent:
		return "does not answer"
	case !w.reported:
		return "has not reported yet"
	case !w.ownRegistration():
		return "has restarted, and its registration is that of its earlier process"
	case !w.inRoster:
		return "is not stored in the roster yet"
	case !resources.Usable():
		return "takes no tasks now"
	case resources.Isolated() && !g.ignoresIsolation(now):
		return "is isolated with a task that may crash workers"
	case need.Barred(resources):
		return "is reserved for a job that goes first"
	case free.CountFitting(g.size) == 0:
		return "has too little room: " + scarce(free, g.size)
	case s.vigilant && s.judge.Avoided(g.job.queue.GetPool(), w.id()):
		return "fits, but is suspected to be bad"
	}
	return whyFits
}

// scarce names the resources of which there is less than a task needs.
func scarce(free, size hfplacement.Resources) string {
	names := ""
	for _, r := range []struct {
		name       string
		free, size int64
	}{{"cpu", free.CPU(), size.CPU()}, {"memory", free.Memory(), size.Memory()}, {"accelerators", free.Accelerators(), size.Accelerators()}} {
		if r.size > 0 && r.free < r.size {
			if names != "" {
				names += ", "
			}
			names += r.name
		}
	}
	return names
}

func (a *WhereStep) place(placements []hfplacement.Placement) {
	a.PlacementCount = len(placements)
	for _, p := range placements[:min(len(placements), maxWherePlacements)] {
		a.Placements = append(a.Placements, WherePlacement{Worker: p.Worker().ID(), Rack: p.Worker().Rack(), Tasks: p.Tasks()})
	}
}

// displace lists the runs of the victims by group.
func (a *WhereStep) displace(victims []hfplacement.Victim[victim]) {
	index := map[*group]int{}
	var list []WhereDisplaced
	for _, v := range victims {
		g := v.Value().group
		i, known := index[g]
		if !known {
			i = len(list)
			index[g] = i
			list = append(list, WhereDisplaced{Job: g.job.id(), Step: g.step, Queue: g.job.queue.GetName()})
		}
		list[i].Tasks += len(v.Value().runs)
	}
	a.DisplacedCount = len(list)
	a.Displaced = append(a.Displaced, list[:min(len(list), maxWhereDisplaced)]...)
}
