package hfplan

import (
	"slices"
	"time"

	"github.com/heatherfront/heatherfront/hfplacement"
	"github.com/heatherfront/heatherfront/hfwork"
)

const (
	maxWorkersPerAdvice = 30                     // the platform takes time for each worker in a query
	adviceRetryInterval = 500 * time.Millisecond // after a query that got no answer
	ticketExpiryMargin  = 400 * time.Millisecond // a ticket is not used this close to its expiry
)

// ticket permits the tasks of a step to start on one incarnation of a worker.
type ticket struct {
	value       string
	incarnation int64
	validUntil  time.Time
}

// AdviceCmd asks the platform which workers may run a step of an advised queue. It is
// answered by an AdviceMsg. At most one AdviceCmd is in flight.
type AdviceCmd struct {
	step    hfwork.TaskID // first task of the step
	workers []string
}

// Step returns the first task of the step.
func (c AdviceCmd) Step() hfwork.TaskID { return c.step }

// Workers returns the ids of the workers to ask about.
func (c AdviceCmd) Workers() []string { return c.workers }

// AdviceMsg carries the answer to an AdviceCmd.
type AdviceMsg struct {
	request    AdviceCmd
	tickets    map[string]string // ticket value by id of an allowed worker
	validUntil time.Time
	ok         bool // false if the query got no answer
}

// Advice returns an AdviceMsg with the ticket of each allowed worker and the
// expiry of these tickets.
func Advice(c AdviceCmd, tickets map[string]string, validUntil time.Time) AdviceMsg {
	return AdviceMsg{request: c, tickets: tickets, validUntil: validUntil, ok: true}
}

// AdviceFailed returns an AdviceMsg for a query that got no answer.
func AdviceFailed(c AdviceCmd) AdviceMsg { return AdviceMsg{request: c} }

func (AdviceCmd) planCmd() {}
func (AdviceMsg) planMsg() {}

// ticketFor returns the group's ticket for a worker, and reports whether the group
// may start there now. Groups of queues without advice need no ticket.
func (g *group) ticketFor(w *worker, now time.Time) (string, bool) {
	if w == nil || !g.job.queue.GetAdvised() {
		return "", true
	}
	issued, ok := g.tickets[w.id()]
	return issued.value, ok && issued.incarnation == w.incarnation && now.Before(issued.validUntil.Add(-ticketExpiryMargin))
}

// requestAdvice asks for tickets ahead of placement. The query is for the first
// group in scheduling order that has workers without an answer.
func (s *Scheduler) requestAdvice(now time.Time) {
	if s.adviceInFlight || now.Before(s.adviceNotBefore) || !s.hasAdvisedQueue {
		return
	}
	for _, c := range s.candidates(now) {
		g := c.group
		if !g.job.queue.GetAdvised() {
			continue
		}
		if workers := s.workersToAsk(g, now); len(workers) > 0 {
			s.adviceInFlight = true
			s.emit(AdviceCmd{step: hfwork.NewTaskID(g.job.id(), g.occurrence, g.step, 0), workers: workers})
			return
		}
	}
}

// workersToAsk returns the workers that a group could use but has neither a valid
// ticket nor a refusal for, those with the most free capacity first.
func (s *Scheduler) workersToAsk(g *group, now time.Time) []string {
	type option struct {
		id        string
		taskSlots int
	}
	var options []option
	s.resources.EachWorker(g.job.queue.GetPool(), func(resources *hfplacement.Worker) {
		if !resources.Usable() || g.refusedWorkers[resources.ID()] {
			return
		}
		if label := g.spec.GetLabel(); label != "" && !slices.Contains(s.workers[resources.ID()].registration.GetLabels(), label) {
			return
		}
		if _, ok := g.ticketFor(s.workers[resources.ID()], now); ok {
			return
		}
		options = append(options, option{id: resources.ID(), taskSlots: resources.Free().CountFitting(g.size)})
	})
	slices.SortStableFunc(options, func(a, b option) int { return b.taskSlots - a.taskSlots })
	ids := make([]string, 0, maxWorkersPerAdvice)
	for _, o := range options[:min(len(options), maxWorkersPerAdvice)] {
		ids = append(ids, o.id)
	}
	return ids
}

// handleAdvice stores the tickets and refusals of an answer. Refusals are kept for
// good, because the set of workers that may run a step never changes.
func (s *Scheduler) handleAdvice(m AdviceMsg, now time.Time) {
	s.adviceInFlight = false
	if !m.ok {
		s.adviceNotBefore = now.Add(adviceRetryInterval)
		return
	}
	s.needsPass = true
	t := s.task(m.request.step)
	if t == nil {
		return
	}
	g := t.group
	if g.tickets == nil {
		g.tickets, g.refusedWorkers = map[string]ticket{}, map[string]bool{}
	}
	for _, id := range m.request.workers {
		w := s.workers[id]
		value, allowed := m.tickets[id]
		switch {
		case !allowed:
			g.refusedWorkers[id] = true
		case w != nil:
			g.tickets[id] = ticket{value: value, incarnation: w.incarnation, validUntil: m.validUntil}
		}
	}
}
