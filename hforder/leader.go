package hforder

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/heatherfront/heatherfront/hfloop"
	"github.com/heatherfront/heatherfront/hfplan"
	"github.com/heatherfront/heatherfront/hfstore"
	"github.com/heatherfront/heatherfront/hfwork"
)

const (
	tickInterval     = 200 * time.Millisecond
	inboxSize        = 4096                   // messages that may be queued before Send blocks
	passInterval     = 8 * time.Millisecond   // minimum time between two scheduling passes
	machinesInterval = 700 * time.Millisecond // between requests for the machines during a wave of upkeep
	machinesTimeout  = 2 * time.Second
	loadInterval     = time.Second // between two calls of Observer.LoadSampled
	// adviceTimeout bounds one call of the adviser, whose duration grows with the number of
	// workers asked about.
	adviceTimeout   = 5 * time.Second
	storeRetryPause = 60 * time.Millisecond
)

// Observer receives the decisions and measurements of a leader.
type Observer interface {
	// Decided is called for each decision and for each changed assumption about a worker.
	Decided(c hfplan.NoteCmd)
	// OrderFinished is called when an order, a poll or a call to the platform ends. Of
	// consecutive failed polls of a worker only the first is reported, with the verb "look";
	// successful polls are not. run is the number of the run, or of the wave for upkeep. err is nil if it succeeded.
	OrderFinished(verb string, task hfwork.TaskID, run int64, worker string, sent time.Time, err error)
	// LeaseObserved is called when a worker stops answering polls (silent) and when it answers
	// again, with the latest lease granted to it, whose end is 0 if there is none.
	LeaseObserved(worker string, g Grant, silent bool)
	// ReportRejected is called with the reasons why parts of a worker's report cannot be read.
	ReportRejected(worker string, reasons []error)
	// LoadSampled is called about once a second with the queued and running work and the
	// free and total resources.
	LoadSampled(load hfplan.Load)
	// InvariantViolated is called when the scheduler violates one of its invariants.
	InvariantViolated(err error)
	// Panicked is called when the scheduler has panicked, with the cause and the stack.
	Panicked(cause any, stack []byte)
}

// RecordStore stores the scheduler's records.
type RecordStore interface {
	// Save stores the records of a command. It fails with hfstore.ErrConflict if a later
	// leadership has stored records, and with a *hfplan.RejectedError if it has stored all records but
	// those that the store does not accept.
	Save(ctx context.Context, c hfplan.StoreCmd) error
}

// Tenure is the time during which an instance certainly holds the leadership. Its times are of
// the clock of hflease.Now.
type Tenure interface {
	// Epoch returns the epoch of the leadership.
	Epoch() int64
	// Valid reports whether the leadership certainly holds at now.
	Valid(now time.Time) bool
	// Suspended reports whether the leadership does not certainly hold at now, but may be resumed.
	Suspended(now time.Time) bool
}

// Leader runs a Scheduler: it passes messages to it and executes the commands that it returns.
type Leader struct {
	scheduler *hfplan.Scheduler
	tenure    Tenure
	minions   Minions
	adviser   Adviser
	machines  Machines
	name      string // of this instance
	records   RecordStore
	observer  Observer
	timing    hfplan.Timing
	inbox     chan hfplan.Msg
	questions chan question
	group     *errgroup.Group
	fail      context.CancelCauseFunc // ends the leadership

	outbox outbox // orders to all workers

	mu          sync.Mutex
	dispatchers map[string]*dispatcher // by worker id
	done        chan struct{}          // closed when messages are no longer received
	storeCmds   chan hfplan.StoreCmd
	adviceCmds  chan hfplan.AdviceCmd
	upkeep      atomic.Bool // a wave of upkeep is in progress
	suspensions atomic.Uint64
	unstored    atomic.Bool // the last attempt to store records failed
}

// NewLeader returns a leader that has not started.
func NewLeader(s *hfplan.Scheduler, t Tenure, m Minions, a Adviser, machines Machines, name string, r RecordStore, o Observer, timing hfplan.Timing) *Leader {
	return &Leader{
		scheduler: s, tenure: t, minions: m, adviser: a, machines: machines, name: name, records: r, observer: o, timing: timing,
		inbox: make(chan hfplan.Msg, inboxSize), questions: make(chan question, maxQuestions), dispatchers: map[string]*dispatcher{}, done: make(chan struct{}),
		storeCmds: make(chan hfplan.StoreCmd, 1), adviceCmds: make(chan hfplan.AdviceCmd, 1),
	}
}

// Run leads until ctx ends, the tenure expires or a later leader is detected. The initial
// messages hold the stored records and the registered workers.
func (l *Leader) Run(ctx context.Context, initial []hfplan.Msg) error {
	ctx, fail := context.WithCancelCause(ctx)
	defer fail(nil)
	g, ctx := errgroup.WithContext(ctx)
	l.group, l.fail = g, fail
	g.Go(func() error {
		l.runScheduler(ctx, initial)
		return nil
	})
	g.Go(func() error {
		l.saveRecords(ctx)
		return nil
	})
	g.Go(func() error {
		l.requestAdvice(ctx)
		return nil
	})
	g.Go(func() error {
		l.pollMachines(ctx)
		return nil
	})
	if err := g.Wait(); err != nil {
		return fmt.Errorf("lead: %w", err)
	}
	if cause := context.Cause(ctx); errors.Is(cause, ErrFenced) || errors.Is(cause, ErrNotLeading) || errors.Is(cause, ErrPanicked) || errors.Is(cause, ErrTermUsedUp) {
		return fmt.Errorf("lead: %w", cause)
	}
	return nil
}

// Send passes a message to the scheduler. It returns false if the leadership has ended and
// messages are no longer received.
func (l *Leader) Send(msg hfplan.Msg) bool {
	select {
	case l.inbox <- msg:
		return true
	case <-l.done:
		return false
	}
}

// runScheduler passes messages to the scheduler until ctx ends. Messages that are queued
// together are followed by one scheduling pass.
//
// A panic ends the leadership, not the process: its other calls do not depend on the scheduler.
func (l *Leader) runScheduler(ctx context.Context, initial []hfplan.Msg) {
	defer close(l.done)
	defer func() {
		if cause := recover(); cause != nil {
			l.observer.Panicked(cause, debug.Stack())
			l.fail(ErrPanicked)
		}
	}()
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	lastLoad, lastPass := time.Now(), time.Now()
	var lastQuestion time.Time
	nextPass := time.NewTimer(0) // fires when a postponed pass is due
	defer nextPass.Stop()
	for _, msg := range initial {
		l.process(ctx, msg)
	}
	l.process(ctx, hfplan.PassMsg{})
	for {
		select {
		case <-ctx.Done():
			return
		case msg := <-l.inbox:
			l.process(ctx, msg)
		case <-nextPass.C:
		case <-tick.C:
			// A worker's leases are renewed after its report was queued. A tick that expires
			// leases therefore follows the reports that were queued before its time.
			now := time.Now()
			l.processQueued(ctx)
			l.processAt(ctx, hfplan.TickMsg{}, now)
			if now.Sub(lastLoad) >= loadInterval {
				lastLoad = now
				l.observer.LoadSampled(l.scheduler.Load(now))
			}
			lastQuestion = l.answerQuestion(lastQuestion)
		}
		l.processQueued(ctx)
		if wait := passInterval - time.Since(lastPass); wait > 0 {
			nextPass.Reset(wait)
			continue
		}
		l.process(ctx, hfplan.PassMsg{})
		lastPass = time.Now()
	}
}

// processQueued processes the messages in the inbox.
func (l *Leader) processQueued(ctx context.Context) {
	for {
		select {
		case msg := <-l.inbox:
			l.process(ctx, msg)
		default:
			return
		}
	}
}

func (l *Leader) process(ctx context.Context, msg hfplan.Msg) {
	l.processAt(ctx, msg, time.Now())
}

// processAt passes a message to the scheduler and executes the commands it returns.
func (l *Leader) processAt(ctx context.Context, msg hfplan.Msg, now time.Time) {
	// WorkersMsg and RosterMsg hold workers, which may be new.
	if m, ok := msg.(interface {
		Nodes() map[string]*hfwork.Worker
	}); ok {
		l.startDispatchers(ctx, m.Nodes())
	}
	cmds := l.scheduler.Update(msg, now)
	l.upkeep.Store(l.scheduler.UpkeepInProgress())
	if err := l.scheduler.Check(); err != nil {
		l.observer.InvariantViolated(err)
	}
	for _, cmd := range cmds {
		l.execute(ctx, cmd)
	}
}

func (l *Leader) execute(ctx context.Context, cmd hfplan.Cmd) {
	switch c := cmd.(type) {
	case hfplan.StartCmd:
		l.dispatcher(c.Worker()).enqueue(order{start: &c})
	case hfplan.StopCmd:
		l.dispatcher(c.Worker()).enqueue(order{stop: &c})
	case hfplan.PaceCmd:
		l.dispatcher(c.Worker()).enqueue(order{pace: &c})
	case hfplan.PollCmd:
		l.dispatcher(c.Worker()).setFrequentPolls(c)
	case hfplan.AckCmd:
		l.dispatcher(c.Worker()).acknowledge(c)
	case hfplan.StoreCmd:
		l.storeCmds <- c // does not block: the scheduler has at most one outstanding
	case hfplan.UpkeepCmd:
		l.group.Go(func() error {
			l.startUpkeep(ctx, c)
			return nil
		})
	case hfplan.AdviceCmd:
		l.adviceCmds <- c // does not block: the scheduler has at most one outstanding
	case hfplan.EndTermCmd:
		l.fail(ErrTermUsedUp)
	case hfplan.NoteCmd:
		l.observer.Decided(c)
		if c.Note() == hfplan.NoteRemoved {
			l.stopDispatcher(c.Worker())
		}
	}
}

// saveRecords stores records until ctx ends. A write whose effect is not known is repeated,
// because the decisions that depend on it can neither be carried out nor dropped.
func (l *Leader) saveRecords(ctx context.Context) {
	for {
		var c hfplan.StoreCmd
		select {
		case <-ctx.Done():
			return
		case c = <-l.storeCmds:
		}
		for ctx.Err() == nil {
			err := l.records.Save(ctx, c)
			l.unstored.Store(err != nil)
			if err == nil {
				l.Send(hfplan.Stored(c))
				break
			}
			var rejected *hfplan.RejectedError
			if errors.As(err, &rejected) {
				l.unstored.Store(false)
				l.Send(hfplan.Stored(c).Without(rejected))
				break
			}
			if errors.Is(err, hfstore.ErrConflict) {
				l.fail(ErrFenced)
				return
			}
			hfloop.Sleep(ctx, storeRetryPause)
		}
	}
}

// requestAdvice sends the scheduler's questions to the adviser, one at a time.
func (l *Leader) requestAdvice(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-l.adviceCmds:
			sent := time.Now()
			call, cancel := context.WithTimeout(ctx, adviceTimeout)
			tickets, validUntil, err := l.adviser.Advise(call, c.Step(), c.Workers())
			cancel()
			l.observer.OrderFinished("advise", c.Step(), 0, "", sent, err)
			if err != nil {
				l.Send(hfplan.AdviceFailed(c))
				continue
			}
			l.Send(hfplan.Advice(c, tickets, validUntil))
		}
	}
}

// pollMachines passes the state of the machines to the scheduler at intervals while a wave of
// upkeep is in progress.
func (l *Leader) pollMachines(ctx context.Context) {
	for hfloop.Sleep(ctx, machinesInterval) {
		if !l.upkeep.Load() {
			continue
		}
		sent := time.Now()
		call, cancel := context.WithTimeout(ctx, machinesTimeout)
		list, err := l.machines.List(call)
		cancel()
		l.observer.OrderFinished("machines", hfwork.TaskID{}, 0, "", sent, err)
		if err == nil {
			l.Send(hfplan.Machines(list).RequestedAt(sent))
		}
	}
}

// startUpkeep asks the platform to take a machine down for its upkeep.
func (l *Leader) startUpkeep(ctx context.Context, c hfplan.UpkeepCmd) {
	err := l.checkLeading()
	if err == nil {
		err = l.checkSuspensions(c)
	}
	if err != nil {
		if errors.Is(err, ErrNotSent) {
			l.Send(hfplan.UpkeepStarted(c, hfplan.OutcomeRefused))
		}
		return
	}
	sent := time.Now()
	call, cancel := context.WithTimeout(ctx, machinesTimeout)
	defer cancel()
	err = l.machines.Upkeep(call, c.Machine(), c.Wave(), l.name, l.tenure.Epoch())
	l.observer.OrderFinished("upkeep", hfwork.TaskID{}, c.Wave(), c.Machine(), sent, err)
	switch {
	case err == nil:
		l.Send(hfplan.UpkeepStarted(c, hfplan.OutcomeDone))
	case errors.Is(err, ErrFenced):
		l.fail(ErrFenced)
	case errors.Is(err, ErrRefused):
		l.Send(hfplan.UpkeepStarted(c, hfplan.OutcomeRefused))
	default:
		l.Send(hfplan.UpkeepStarted(c, hfplan.OutcomeUnknown))
	}
}
