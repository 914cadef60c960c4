package hfloop

import (
	"context"
	"sync"
)

// Replies brings the answers of a machine back to those who asked. Each question has
// a token, which the machine hands back with its answer.
type Replies[T any] struct {
	mu      sync.Mutex
	last    uint64
	waiting map[uint64]chan T
}

// NewReplies returns replies without questions.
func NewReplies[T any]() *Replies[T] {
	return &Replies[T]{waiting: map[uint64]chan T{}}
}

// Open returns the token of a new question, the channel of its answer, and a function
// that forgets the question.
func (r *Replies[T]) Open() (token uint64, answer <-chan T, forget func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last++
	token = r.last
	c := make(chan T, 1)
	r.waiting[token] = c
	return token, c, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.waiting, token)
	}
}

// Answer hands an answer over. One that nobody waits for is dropped.
func (r *Replies[T]) Answer(token uint64, answer T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c, ok := r.waiting[token]; ok {
		delete(r.waiting, token)
		c <- answer
	}
}

// Wait returns the answer, or false when ctx ends first.
func Wait[T any](ctx context.Context, answer <-chan T) (T, bool) {
	select {
	case a := <-answer:
		return a, true
	case <-ctx.Done():
		var none T
		return none, false
	}
}
