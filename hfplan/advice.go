package hfplan

import (
	"slices"
	"time"

	"github.com/heatherfront/heatherfront/hfroom"
	"github.com/heatherfront/heatherfront/hfwork"
)

const (
	maxWorkersPerAdvice = 30                     // workers named in one question; each of them takes time
	adviceRetryInterval = 500 * time.Millisecond // after a question without an answer
	ticketExpiryMargin  = 400 * time.Millisecond // a ticket is not used in the last part of its validity
)

// ticket allows the tasks of a step to start on one life of a worker.
type ticket struct {
	value       string
	incarnation int64
	validUntil  time.Time
}

// AskCmd asks which workers may run a step. AdvisedMsg answers it. One question is under
// way at a time.
type AskCmd struct {
	step    hfwork.TaskID // of the step's first task
	workers []string
}

// Step returns the first task of the step.
func (c AskCmd) Step() hfwork.TaskID { return c.step }

// Workers returns the ids of the workers that are asked about.
func (c AskCmd) Workers() []string { return c.workers }

// AdvisedMsg brings the answer to an AskCmd.
type AdvisedMsg struct {
	request    AskCmd
	tickets    map[string]string // ticket by worker
	validUntil time.Time
	ok         bool
}

// Advised returns an AdvisedMsg with the tickets by worker, valid until a time.
func Advised(c AskCmd, tickets map[string]string, validUntil time.Time) AdvisedMsg {
	return AdvisedMsg{request: c, tickets: tickets, validUntil: validUntil, ok: true}
}

// Unadvised returns an AdvisedMsg for a question without an answer.
func Unadvised(c AskCmd) AdvisedMsg { return AdvisedMsg{request: c} }

func (AskCmd) planCmd()     {}
func (AdvisedMsg) planMsg() {}

// ticketFor returns the ticket of a group for a worker, and whether it may be used.
func (g *group) ticketFor(w *worker, now time.Time) (string, bool) {
	if w == nil || !g.job.queue.GetAdvised() {
		return "", true
	}
	issued, ok := g.tickets[w.id()]
	return issued.value, ok && issued.incarnation == w.incarnation && now.Before(issued.validUntil.Add(-ticketExpiryMargin))
}

// ask asks ahead for the most urgent group that lacks tickets: for the workers with the
// most room that it has no answer for.
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
			s.emit(AskCmd{step: hfwork.NewTaskID(g.job.id(), g.occurrence, g.step, 0), workers: workers})
			return
		}
	}
}

// unasked lists workers that a group could use and has no ticket or refusal for.
func (s *Scheduler) workersToAsk(g *group, now time.Time) []string {
	type option struct {
		id        string
		taskSlots int
	}
	var options []option
	s.resources.Each(g.job.queue.GetPool(), func(resources *hfroom.Worker) {
		if !resources.Usable() || g.refusedWorkers[resources.ID()] {
			return
		}
		if label := g.spec.GetLabel(); label != "" && !slices.Contains(s.workers[resources.ID()].registration.GetLabels(), label) {
			return
		}
		if _, ok := g.ticketFor(s.workers[resources.ID()], now); ok {
			return
		}
		options = append(options, option{id: resources.ID(), taskSlots: resources.Free().Holds(g.size)})
	})
	slices.SortStableFunc(options, func(a, b option) int { return b.taskSlots - a.taskSlots })
	ids := make([]string, 0, maxWorkersPerAdvice)
	for _, c := range options[:min(len(options), maxWorkersPerAdvice)] {
		ids = append(ids, c.id)
	}
	return ids
}

// advised takes an answer. Which workers may run a step never changes.
func (s *Scheduler) handleAdvice(m AdvisedMsg, now time.Time) {
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
