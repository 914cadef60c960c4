package hforder

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/heatherfront/heatherfront/hflease"
	"github.com/heatherfront/heatherfront/hfloop"
	"github.com/heatherfront/heatherfront/hfplan"
	"github.com/heatherfront/heatherfront/hfstore"
	"github.com/heatherfront/heatherfront/hfwork"
)

const (
	tickInterval    = 200 * time.Millisecond
	inboxSize       = 4096                   // messages that may wait before their senders do
	passEvery       = 8 * time.Millisecond   // decisions on all that has changed come no more often
	machinesEvery   = 700 * time.Millisecond // looks at the machines during a wave of upkeep
	machinesTimeout = 2 * time.Second
	loadEvery       = time.Second // how often the load is told
	// adviceTimeout bounds one question; an answer takes a while for each worker named.
	adviceTimeout = 5 * time.Second
	storePause    = 60 * time.Millisecond
)

// Observer is told what a leader decides.
type Observer interface {
	// Noted tells of a decision or a changed belief.
	Noted(c hfplan.NoteCmd)
	// Ordered tells how an order that was sent at a time ended.
	Ordered(verb string, task hfwork.TaskID, number int64, worker string, sent time.Time, err error)
	// Loaded tells how much there is to do and to use, about once a second.
	Loaded(load hfplan.Load)
	// Broken tells of a broken invariant.
	Broken(err error)
}

// Records writes the progress of jobs.
type Records interface {
	// Save stores records, as long as no later leadership has. It fails with
	// hfstore.ErrConflict when one has.
	Save(ctx context.Context, c hfplan.StoreCmd) error
}

// Leader runs a Scheduler: it brings reports to it and carries its commands out.
type Leader struct {
	scheduler *hfplan.Scheduler
	tenure    *hflease.Tenure
	minions   Minions
	adviser   Adviser
	machines  Machines
	name      string
	records   Records
	observer  Observer
	timing    hfplan.Timing
	inbox     chan hfplan.Msg
	group     *errgroup.Group
	fail      context.CancelCauseFunc

	mu      sync.Mutex
	desks   map[string]*desk // by worker id
	ended   chan struct{}    // closed when nobody takes messages any more
	storeIn chan hfplan.StoreCmd
	askIn   chan hfplan.AskCmd
	upkeep  atomic.Bool // a wave is under way
}

// NewLeader returns a leader that has not started.
func NewLeader(s *hfplan.Scheduler, t *hflease.Tenure, m Minions, a Adviser, p Machines, name string, r Records, o Observer, timing hfplan.Timing) *Leader {
	return &Leader{
		scheduler: s, tenure: t, minions: m, adviser: a, machines: p, name: name, records: r, observer: o, timing: timing,
		inbox: make(chan hfplan.Msg, inboxSize), desks: map[string]*desk{}, ended: make(chan struct{}),
		storeIn: make(chan hfplan.StoreCmd, 1), askIn: make(chan hfplan.AskCmd, 1),
	}
}

// Run leads until ctx ends, the tenure is over or a later leader was seen. first are
// the messages with what is stored and registered.
func (l *Leader) Run(ctx context.Context, first []hfplan.Msg) error {
	ctx, fail := context.WithCancelCause(ctx)
	defer fail(nil)
	g, ctx := errgroup.WithContext(ctx)
	l.group, l.fail = g, fail
	g.Go(func() error {
		l.decide(ctx, first)
		return nil
	})
	g.Go(func() error {
		l.store(ctx)
		return nil
	})
	g.Go(func() error {
		l.ask(ctx)
		return nil
	})
	g.Go(func() error {
		l.listMachines(ctx)
		return nil
	})
	if err := g.Wait(); err != nil {
		return fmt.Errorf("lead: %w", err)
	}
	if cause := context.Cause(ctx); errors.Is(cause, ErrFenced) || errors.Is(cause, ErrNotLeading) {
		return fmt.Errorf("lead: %w", cause)
	}
	return nil
}

// Send hands a message to the scheduler. It returns false when nobody takes messages any
// more, as the leadership has ended.
func (l *Leader) Send(msg hfplan.Msg) bool {
	select {
	case l.inbox <- msg:
		return true
	case <-l.ended:
		return false
	}
}

// decide feeds the scheduler. Messages that wait together are decided on together.
func (l *Leader) decide(ctx context.Context, first []hfplan.Msg) {
	defer close(l.ended)
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	told, passed := time.Now(), time.Now()
	soon := time.NewTimer(0) // fires when decisions that wait are due
	defer soon.Stop()
	for _, msg := range first {
		l.step(ctx, msg)
	}
	l.step(ctx, hfplan.PassMsg{})
	for {
		select {
		case <-ctx.Done():
			return
		case msg := <-l.inbox:
			l.step(ctx, msg)
		case <-soon.C:
		case <-tick.C:
			l.step(ctx, hfplan.TickMsg{})
			if now := time.Now(); now.Sub(told) >= loadEvery {
				told = now
				l.observer.Loaded(l.scheduler.Load(now))
			}
		}
		for more := true; more; {
			select {
			case msg := <-l.inbox:
				l.step(ctx, msg)
			default:
				more = false
			}
		}
		if wait := passEvery - time.Since(passed); wait > 0 {
			soon.Reset(wait)
			continue
		}
		l.step(ctx, hfplan.PassMsg{})
		passed = time.Now()
	}
}

func (l *Leader) step(ctx context.Context, msg hfplan.Msg) {
	if w, ok := msg.(interface {
		Nodes() map[string]*hfwork.Worker
	}); ok {
		l.openDesks(ctx, w.Nodes())
	}
	cmds := l.scheduler.Update(msg, time.Now())
	l.upkeep.Store(l.scheduler.Upkeep())
	if err := l.scheduler.Check(); err != nil {
		l.observer.Broken(err)
	}
	for _, cmd := range cmds {
		l.do(ctx, cmd)
	}
}

func (l *Leader) do(ctx context.Context, cmd hfplan.Cmd) {
	switch c := cmd.(type) {
	case hfplan.StartCmd:
		l.desk(c.Worker()).put(order{start: &c})
	case hfplan.StopCmd:
		l.desk(c.Worker()).put(order{stop: &c})
	case hfplan.PaceCmd:
		l.desk(c.Worker()).put(order{pace: &c})
	case hfplan.WatchCmd:
		l.desk(c.Worker()).watchClosely(c)
	case hfplan.AckCmd:
		l.desk(c.Worker()).acknowledge(c)
	case hfplan.StoreCmd:
		l.storeIn <- c // the scheduler has one under way at most
	case hfplan.UpkeepCmd:
		l.group.Go(func() error {
			l.takeDown(ctx, c)
			return nil
		})
	case hfplan.AskCmd:
		l.askIn <- c // the scheduler has one under way at most
	case hfplan.NoteCmd:
		l.observer.Noted(c)
		if c.Note() == hfplan.NoteGone {
			l.closeDesk(c.Worker())
		}
	}
}

// store writes records until ctx ends. While the effect of a write is not known it is
// repeated, since what waits for it must neither happen nor be given up.
func (l *Leader) store(ctx context.Context) {
	for {
		var c hfplan.StoreCmd
		select {
		case <-ctx.Done():
			return
		case c = <-l.storeIn:
		}
		for ctx.Err() == nil {
			err := l.records.Save(ctx, c)
			if err == nil {
				l.Send(hfplan.Stored(c))
				break
			}
			if errors.Is(err, hfstore.ErrConflict) {
				l.fail(ErrFenced)
				return
			}
			hfloop.Pause(ctx, storePause)
		}
	}
}

// ask carries questions for advice out, one after the other.
func (l *Leader) ask(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-l.askIn:
			sent := time.Now()
			call, cancel := context.WithTimeout(ctx, adviceTimeout)
			good, until, err := l.adviser.Advise(call, c.Step(), c.Workers())
			cancel()
			l.observer.Ordered("advise", c.Step(), 0, "", sent, err)
			if err != nil {
				l.Send(hfplan.Unadvised(c))
				continue
			}
			l.Send(hfplan.Advised(c, good, until))
		}
	}
}

// listMachines brings the machines to the scheduler while a wave of upkeep is under way.
func (l *Leader) listMachines(ctx context.Context) {
	for hfloop.Pause(ctx, machinesEvery) {
		if !l.upkeep.Load() {
			continue
		}
		sent := time.Now()
		call, cancel := context.WithTimeout(ctx, machinesTimeout)
		list, err := l.machines.List(call)
		cancel()
		l.observer.Ordered("machines", hfwork.TaskID{}, 0, "", sent, err)
		if err == nil {
			l.Send(hfplan.Machines(list))
		}
	}
}

// takeDown asks for the upkeep of a machine.
func (l *Leader) takeDown(ctx context.Context, c hfplan.UpkeepCmd) {
	if !l.certain() {
		l.fail(ErrNotLeading)
		return
	}
	sent := time.Now()
	call, cancel := context.WithTimeout(ctx, machinesTimeout)
	defer cancel()
	err := l.machines.Upkeep(call, c.Machine(), c.Wave(), l.name, l.tenure.Epoch())
	l.observer.Ordered("upkeep", hfwork.TaskID{}, c.Wave(), c.Machine(), sent, err)
	switch {
	case err == nil:
		l.Send(hfplan.Upkept(c, hfplan.OutcomeDone))
	case errors.Is(err, ErrFenced):
		l.fail(ErrFenced)
	case errors.Is(err, ErrRefused):
		l.Send(hfplan.Upkept(c, hfplan.OutcomeRefused))
	default:
		l.Send(hfplan.Upkept(c, hfplan.OutcomeUnknown))
	}
}

// certain tells whether the leadership holds at this moment.
func (l *Leader) certain() bool { return l.tenure.Valid(hflease.Now()) }
