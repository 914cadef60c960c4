// Package hfloop runs pure state machines: one goroutine feeds messages to a
// machine and hands its commands to a function that does the I/O.
package hfloop

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// Machine is a state machine without I/O and without a clock.
type Machine[M, C any] interface {
	// Update takes one message at a time and returns what is to be done.
	Update(msg M, now time.Time) []C
	// Check returns the first broken invariant, or nil.
	Check() error
}

// Loop feeds one machine.
type Loop[M, C any] struct {
	machine Machine[M, C]
	inbox   chan M
	do      func(ctx context.Context, cmd C)
	broken  func(err error)
}

// inboxSize is the number of messages that may wait before senders do.
const inboxSize = 1024

// New returns a loop that hands commands to do, which must not block, and broken
// invariants to broken.
//
//	l := hfloop.New[Msg, Cmd](machine, do, broken)
//	g.Go(func() error { return l.Run(ctx, 100*time.Millisecond, TickMsg{}) })
func New[M, C any](machine Machine[M, C], do func(context.Context, C), broken func(error)) *Loop[M, C] {
	return &Loop[M, C]{machine: machine, inbox: make(chan M, inboxSize), do: do, broken: broken}
}

// Send hands a message to the machine. It fails when ctx ends first.
func (l *Loop[M, C]) Send(ctx context.Context, msg M) error {
	select {
	case l.inbox <- msg:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("send message: %w", ctx.Err())
	}
}

// Run feeds the machine until ctx ends. It sends tick at every interval.
func (l *Loop[M, C]) Run(ctx context.Context, interval time.Duration, tick M) error {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case msg := <-l.inbox:
			l.step(ctx, msg)
		case <-t.C:
			l.step(ctx, tick)
		}
	}
}

func (l *Loop[M, C]) step(ctx context.Context, msg M) {
	cmds := l.machine.Update(msg, time.Now())
	if err := l.machine.Check(); err != nil {
		l.broken(err)
	}
	for _, cmd := range cmds {
		l.do(ctx, cmd)
	}
}

// Cell guards a state that several goroutines use.
type Cell[S any] struct {
	mu    sync.Mutex
	state S
}

// NewCell returns a cell that holds a state.
func NewCell[S any](state S) *Cell[S] { return &Cell[S]{state: state} }

// With runs f while no other goroutine uses the state, and returns its result.
//
//	live := hfloop.With(members, func(s *hfpeer.State) []hfpeer.Peer { return s.Live() })
func With[S, R any](c *Cell[S], f func(S) R) R {
	c.mu.Lock()
	defer c.mu.Unlock()
	return f(c.state)
}

// With2 is With for a function with two results.
func With2[S, A, B any](c *Cell[S], f func(S) (A, B)) (A, B) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return f(c.state)
}
