package hfloop

import (
	"context"
	"sync"
)

// Replies routes the replies of a state machine to the callers that wait for them. Each
// request has a token, which the state machine returns with its reply.
type Replies[T any] struct {
	mu        sync.Mutex
	lastToken uint64
	pending   map[uint64]chan T
}

// NewReplies returns a Replies without pending requests.
func NewReplies[T any]() *Replies[T] {
	return &Replies[T]{pending: map[uint64]chan T{}}
}

// Register registers a request. It returns the token of the request, the channel that
// receives the reply, and a function that cancels the request.
func (r *Replies[T]) Register() (token uint64, reply <-chan T, cancel func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastToken++
	token = r.lastToken
	ch := make(chan T, 1)
	r.pending[token] = ch
	return token, ch, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.pending, token)
	}
}

// Deliver delivers the reply to a request. It drops the reply if the request was
// cancelled or already has one.
func (r *Replies[T]) Deliver(token uint64, reply T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ch, ok := r.pending[token]; ok {
		delete(r.pending, token)
		ch <- reply
	}
}

// Wait returns the reply, or false if ctx ends first.
func Wait[T any](ctx context.Context, reply <-chan T) (T, bool) {
	select {
	case v := <-reply:
		return v, true
	case <-ctx.Done():
		var zero T
		return zero, false
	}
}
