package hfplan

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/heatherfront/heatherfront/hfroom"
)

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// pass starts what can start, finds places for what waits, and stores what changed.
func (s *Scheduler) pass(now time.Time) {
	if s.stale {
		s.stale = false
		s.dropGroups()
		s.startPromised(now)
		s.place(now)
		s.startPromised(now)
		s.requestAdvice(now)
	}
	s.flush()
}

// startPromised sends the starts whose workers have room now. The members of a gang
// are started together.
func (s *Scheduler) startPromised(now time.Time) {
	for _, g := range s.groups {
		if g.promised == 0 {
			continue
		}
		s.dropUnusable(g, now)
		if s.kept < g.storedBy {
			continue
		}
		if g.gang() {
			s.startGang(g, now)
			continue
		}
		for i := range g.tasks {
			if r := g.tasks[i].run; r != nil && r.phase == promised && r.worker.room.Starts(g.size) {
				r.worker.room.Occupy(g.size)
				s.start(r, now)
			}
		}
	}
}

// promiseLife is how long a run waits for the room that was promised to it. A stop takes
// a fifth of a second; one that has no effect by then is held up.
const promiseLife = 900 * time.Millisecond

// dropUnusable takes promises back from workers that take no tasks any more, and those
// that were not kept in time. The members of a gang lose them together.
func (s *Scheduler) dropUnusable(g *group, now time.Time) {
	late := now.Sub(g.promisedAt) > promiseLife && s.kept >= g.storedBy
	bad := late
	for i := range g.tasks {
		r := g.tasks[i].run
		if r == nil || r.phase != promised || (r.worker.room.Usable() && !late) {
			continue
		}
		bad = true
		if !g.gang() {
			s.release(r)
		}
	}
	if !bad || !g.gang() {
		return
	}
	for i := range g.tasks {
		if r := g.tasks[i].run; r != nil && r.phase == promised {
			s.release(r)
		}
	}
}

func (s *Scheduler) startGang(g *group, now time.Time) {
	if g.promised != len(g.tasks) {
		if g.promised > 0 {
			s.breaks(ErrGang, g.job.id())
		}
		return
	}
	for i := range g.tasks {
		room := g.tasks[i].run.worker.room
		if !room.Starts(g.size) {
			for k := range i {
				g.tasks[k].run.worker.room.Vacate(g.size)
			}
			return
		}
		room.Occupy(g.size)
	}
	for i := range g.tasks {
		s.start(g.tasks[i].run, now)
	}
}

// candidate is a group that waits for places, with the order in which it gets them.
type candidate struct {
	group    *group
	priority uint32
	later    int // 1 for urgent jobs beyond the guarantee of their account
	stand    standing
	rank     float64 // smaller first
}

// candidates lists the groups that may be placed now, in the order in which they are.
func (s *Scheduler) candidates(now time.Time) []candidate {
	var list []candidate
	for _, g := range s.groups {
		if g.waiting() == 0 || g.job.queue == nil || !g.ready(now) {
			continue
		}
		if g.gang() && g.active > 0 {
			continue
		}
		if g.gang() && g.held > 0 {
			continue
		}
		c := candidate{group: g, priority: g.job.queue.GetPriority(), stand: g.stand(now), rank: s.rank(g)}
		if c.priority == 0 && !g.job.claims {
			c.later = 1
		}
		list = append(list, c)
	}
	slices.SortStableFunc(list, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.priority, b.priority), cmp.Compare(a.later, b.later), cmp.Compare(a.stand, b.stand), cmp.Compare(a.rank, b.rank),
			cmp.Compare(a.group.job.id(), b.group.job.id()), cmp.Compare(a.group.step, b.group.step),
		)
	})
	return list
}

// rank returns the core-seconds that the job still needs: the job that is done soonest
// goes first, so that few are under way at a time. Lasting tasks take turns.
func (s *Scheduler) rank(g *group) float64 {
	if g.spec.GetLasting() {
		return float64(g.promisedAt.UnixMilli())
	}
	total := 0.0
	for _, o := range g.job.groups {
		total += float64(o.open) * o.cores() * o.estimate().Seconds()
	}
	return total
}

func (s *Scheduler) need(g *group, now time.Time) hfroom.Need {
	n := hfroom.NewNeed(g.job.queue.GetPool(), g.size).Labelled(g.spec.GetLabel()).Near(g.spec.GetNear())
	if g.job.queue.GetPriority() == 0 || g.spec.GetLasting() {
		n = n.For(g, now) // the most urgent work takes any room, and so do tasks that make way for all other work
	} else {
		n = n.For(g, now.Add(g.estimate()))
	}
	if most := int(g.spec.GetApart()); most > 0 {
		on := map[string]int{}
		for i := range g.tasks {
			if r := g.tasks[i].run; r != nil {
				on[r.worker.id()]++
			}
		}
		n = n.Apart(most, func(id string) int { return on[id] })
	}
	if g.job.queue.GetAdvised() {
		return n.Avoiding(func(id string) bool {
			_, ok := g.ticketFor(s.workers[id], now)
			return !ok || g.avoid[id]
		})
	}
	if len(g.avoid) == 0 {
		return n
	}
	least := 1
	if g.gang() {
		least = len(g.tasks)
	}
	avoiding := n.Avoiding(func(id string) bool { return g.avoid[id] })
	if _, possible := s.room.Possible(avoiding, least); !possible {
		// It failed on too many workers to leave them all out.
		clear(g.avoid)
		return n
	}
	return avoiding
}

// shape is what decides whether another group of the same kind has a chance.
type shape struct {
	pool          string
	size          hfroom.Size
	gang, compact bool
}

// plain tells whether any worker of the pool will do for a group.
func (g *group) plain() bool {
	return g.spec.GetLabel() == "" && g.spec.GetApart() == 0 && !g.job.queue.GetAdvised() && len(g.avoid) == 0
}

// place finds places for waiting groups, the most urgent first.
func (s *Scheduler) place(now time.Time) {
	failed := map[shape]int{} // smallest count that found no place
	s.keepNone()
	s.claim()
	budgets := s.budgets(now)
	for _, c := range s.candidates(now) {
		g := c.group
		key := shape{pool: g.job.queue.GetPool(), size: g.size, gang: g.gang(), compact: g.spec.GetCompact()}
		count := g.waiting()
		if !g.gang() {
			count = 1
		}
		if least, ok := failed[key]; ok && count >= least && c.priority > 0 && g.plain() {
			continue
		}
		budget, counted := budgets[g.job.queue.GetPool()], c.priority > 0 && g.fixed()
		if counted && !budget.take(g) {
			continue
		}
		if s.placeGroup(g, now) {
			continue
		}
		if s.preempt(g, now) {
			continue
		}
		if counted {
			budget.give(g)
		}
		s.keep(g, now)
		if least, ok := failed[key]; g.plain() && (!ok || count < least) {
			failed[key] = count
		}
	}
}

// placeGroup promises places to the tasks of a group: all members of a gang, or as many
// single tasks as there is room for. It returns false when some got none.
func (s *Scheduler) placeGroup(g *group, now time.Time) bool {
	n, count := s.need(g, now), g.waiting()
	if !g.gang() {
		slots, placed := s.room.Spread(n, count)
		s.promise(g, slots, now)
		return placed == count
	}
	if g.spec.GetCompact() {
		if slots, ok := s.room.Compact(n, count); ok {
			s.promise(g, slots, now)
			return true
		}
		if compact, _ := s.room.Possible(n, count); compact {
			return false
		}
	}
	slots, placed := s.room.Spread(n, count)
	if placed < count {
		return false
	}
	s.promise(g, slots, now)
	return true
}

// promise gives the waiting tasks of a group their workers.
func (s *Scheduler) promise(g *group, slots []hfroom.Slot, now time.Time) {
	if len(slots) == 0 {
		return
	}
	g.promisedAt, g.rack = now, ""
	s.mark(g.job)
	g.storedBy = s.sequence + 1
	number := s.base + 1
	if g.gang() {
		for i := range g.tasks {
			number = max(number, g.tasks[i].last+1)
		}
	}
	next, total := 0, 0
	for _, slot := range slots {
		w := s.workers[slot.Worker().ID()]
		for range slot.Tasks() {
			for g.tasks[next].done || g.tasks[next].run != nil || g.tasks[next].place != "" {
				next++
			}
			t := &g.tasks[next]
			own := number
			if !g.gang() {
				own = max(s.base+1, t.last+1)
			}
			t.last = own
			t.run = &run{task: t, worker: w, number: own, phase: promised, pace: fullPace, pacing: unknownPace}
			w.runs[t.run] = struct{}{}
			w.room.Promise(g.size)
			g.active++
			g.promised++
			total++
		}
	}
	s.do(NoteCmd{note: NotePlaced, job: g.job.id(), step: g.step, tasks: total})
}
