package hfplan

import (
	"slices"
	"time"

	"github.com/heatherfront/heatherfront/hfroom"
	"github.com/heatherfront/heatherfront/hfwork"
)

const (
	askMost     = 30                     // workers named in one question; each of them takes time
	askAgain    = 500 * time.Millisecond // after a question without an answer
	ticketSpare = 400 * time.Millisecond // a ticket is not used in the last part of its validity
)

// ticket allows the tasks of a step to start on one life of a worker.
type ticket struct {
	text  string
	born  int64
	until time.Time
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
	asked AskCmd
	good  map[string]string // ticket by worker
	until time.Time
	ok    bool
}

// Advised returns an AdvisedMsg with the tickets by worker, valid until a time.
func Advised(c AskCmd, good map[string]string, until time.Time) AdvisedMsg {
	return AdvisedMsg{asked: c, good: good, until: until, ok: true}
}

// Unadvised returns an AdvisedMsg for a question without an answer.
func Unadvised(c AskCmd) AdvisedMsg { return AdvisedMsg{asked: c} }

func (AskCmd) planCmd()     {}
func (AdvisedMsg) planMsg() {}

// ticketFor returns the ticket of a group for a worker, and whether it may be used.
func (g *group) ticketFor(w *worker, now time.Time) (string, bool) {
	if w == nil || !g.job.queue.GetAdvised() {
		return "", true
	}
	t, ok := g.tickets[w.id()]
	return t.text, ok && t.born == w.born && now.Before(t.until.Add(-ticketSpare))
}

// ask asks ahead for the most urgent group that lacks tickets: for the workers with the
// most room that it has no answer for.
func (s *Scheduler) ask(now time.Time) {
	if s.asking || now.Before(s.askAfter) || !s.advises {
		return
	}
	for _, c := range s.candidates(now) {
		g := c.group
		if !g.job.queue.GetAdvised() {
			continue
		}
		if names := s.unasked(g, now); len(names) > 0 {
			s.asking = true
			s.do(AskCmd{step: hfwork.NewTaskID(g.job.id(), g.occurrence, g.step, 0), workers: names})
			return
		}
	}
}

// unasked lists workers that a group could use and has no ticket or refusal for.
func (s *Scheduler) unasked(g *group, now time.Time) []string {
	type choice struct {
		id   string
		fits int
	}
	var list []choice
	s.room.Each(g.job.queue.GetPool(), func(room *hfroom.Worker) {
		if !room.Usable() || g.refusedBy[room.ID()] {
			return
		}
		if label := g.spec.GetLabel(); label != "" && !slices.Contains(s.workers[room.ID()].node.GetLabels(), label) {
			return
		}
		if _, ok := g.ticketFor(s.workers[room.ID()], now); ok {
			return
		}
		list = append(list, choice{id: room.ID(), fits: room.Free().Holds(g.size)})
	})
	slices.SortStableFunc(list, func(a, b choice) int { return b.fits - a.fits })
	names := make([]string, 0, askMost)
	for _, c := range list[:min(len(list), askMost)] {
		names = append(names, c.id)
	}
	return names
}

// advised takes an answer. Which workers may run a step never changes.
func (s *Scheduler) advised(m AdvisedMsg, now time.Time) {
	s.asking = false
	if !m.ok {
		s.askAfter = now.Add(askAgain)
		return
	}
	s.stale = true
	t := s.task(m.asked.step)
	if t == nil {
		return
	}
	g := t.group
	if g.tickets == nil {
		g.tickets, g.refusedBy = map[string]ticket{}, map[string]bool{}
	}
	for _, id := range m.asked.workers {
		w := s.workers[id]
		text, good := m.good[id]
		switch {
		case !good:
			g.refusedBy[id] = true
		case w != nil:
			g.tickets[id] = ticket{text: text, born: w.born, until: m.until}
		}
	}
}
