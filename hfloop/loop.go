// Package hfloop runs pure state machines. One goroutine passes messages to a
// state machine and its commands to a function that performs the I/O.
package hfloop

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// Machine is a state machine without I/O and without a clock.
type Machine[M, C any] interface {
	// Update applies one message and returns the commands to execute.
	Update(msg M, now time.Time) []C
	// Check returns the first violated invariant, or nil.
	Check() error
}

// Loop delivers messages to one state machine and executes its commands.
type Loop[M, C any] struct {
	machine     Machine[M, C]
	inbox       chan M
	execute     func(ctx context.Context, cmd C)
	onViolation func(err error)
}

// inboxSize is the number of queued messages above which Send blocks.
const inboxSize = 1024

// New returns a loop that calls execute for each command and onViolation for each
// violated invariant. execute must not block.
//
//	l := hfloop.New[Msg, Cmd](machine, execute, onViolation)
//	g.Go(func() error { return l.Run(ctx, 100*time.Millisecond, TickMsg{}) })
func New[M, C any](machine Machine[M, C], execute func(context.Context, C), onViolation func(error)) *Loop[M, C] {
	return &Loop[M, C]{machine: machine, inbox: make(chan M, inboxSize), execute: execute, onViolation: onViolation}
}

// Send queues a message for the state machine. It fails if ctx ends before the message
// is queued.
func (l *Loop[M, C]) Send(ctx context.Context, msg M) error {
	select {
	case l.inbox <- msg:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("send message: %w", ctx.Err())
	}
}

// Run processes messages until ctx ends. It applies tick once per interval.
func (l *Loop[M, C]) Run(ctx context.Context, interval time.Duration, tick M) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case msg := <-l.inbox:
			l.step(ctx, msg)
		case <-ticker.C:
			l.step(ctx, tick)
		}
	}
}

func (l *Loop[M, C]) step(ctx context.Context, msg M) {
	cmds := l.machine.Update(msg, time.Now())
	if err := l.machine.Check(); err != nil {
		l.onViolation(err)
	}
	for _, cmd := range cmds {
		l.execute(ctx, cmd)
	}
}

// Guarded protects a state with a mutex, for use by several goroutines.
type Guarded[S any] struct {
	mu    sync.Mutex
	state S
}

// NewGuarded returns a Guarded with the given state.
func NewGuarded[S any](state S) *Guarded[S] { return &Guarded[S]{state: state} }

// With calls f with exclusive access to the state and returns its result.
//
//	live := hfloop.With(members, func(s *hfpeer.State) []hfpeer.Peer { return s.Live() })
func With[S, R any](g *Guarded[S], f func(S) R) R {
	g.mu.Lock()
	defer g.mu.Unlock()
	return f(g.state)
}

// With2 is like With for a function with two results.
func With2[S, A, B any](g *Guarded[S], f func(S) (A, B)) (A, B) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return f(g.state)
}
