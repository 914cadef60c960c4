package hfrequest

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// ErrForgotten reports a request that this run of the instance does not know, or
// no longer.
var ErrForgotten = eris.New("request not known here")

const (
	recentFor   = 60 * time.Second // an answer is kept for resends this long
	recentBytes = 32 << 20         // of all kept answers
)

// recent is one request that runs here or ended here lately.
type recent struct {
	done   chan struct{} // closed when answer is set
	answer Answer
	until  time.Time // kept until then, once answered
}

// Recents keeps the answers of requests that carried an id, so that a resend gets
// the same answer instead of a second run. It is guarded by its Desk.
type Recents struct {
	byID  map[string]*recent
	order []string // answered ids, oldest first
	bytes int
}

// NewRecents returns an empty store of answers.
func NewRecents() *Recents { return &Recents{byID: map[string]*recent{}} }

// open returns the entry of an id, and whether it is new.
func (r *Recents) open(id string) (*recent, bool) {
	if e, ok := r.byID[id]; ok {
		return e, false
	}
	e := &recent{done: make(chan struct{})}
	r.byID[id] = e
	return e, true
}

// forget drops an entry that was not claimed, and lets waiting resends go.
func (r *Recents) forget(id string, a Answer) {
	if e, ok := r.byID[id]; ok {
		delete(r.byID, id)
		e.answer = a
		close(e.done)
	}
}

// settle keeps the answer of an id.
func (r *Recents) settle(id string, a Answer, now time.Time) {
	e, ok := r.byID[id]
	if !ok {
		return
	}
	e.answer, e.until = a, now.Add(recentFor)
	close(e.done)
	r.order = append(r.order, id)
	r.bytes += len(a.body)
	r.trim(now)
}

// trim drops answers that are old, or too many bytes.
func (r *Recents) trim(now time.Time) {
	for len(r.order) > 0 {
		e := r.byID[r.order[0]]
		if e != nil && now.Before(e.until) && r.bytes <= recentBytes {
			return
		}
		if e != nil {
			r.bytes -= len(e.answer.body)
			delete(r.byID, r.order[0])
		}
		r.order = r.order[1:]
	}
}

// wait returns the answer of an entry when it is there.
func (e *recent) wait(ctx context.Context) (Answer, error) {
	select {
	case <-e.done:
		return e.answer, nil
	case <-ctx.Done():
		return Answer{outcome: OutcomeUnknown, reason: "the request still runs"}, nil
	}
}
