package hfrequest

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// ErrUnknownRequest is returned for a request id that this incarnation of the instance never held
// or whose answer it no longer keeps.
var ErrUnknownRequest = eris.New("request not known here")

const (
	answerTTL      = 60 * time.Second // how long an answer is kept for duplicates
	maxCachedBytes = 32 << 20         // limit on the bodies of all cached answers
)

// cachedAnswer is a request that is running or has recently ended.
type cachedAnswer struct {
	done      chan struct{} // closed when answer is set
	answer    Answer
	expiresAt time.Time // set when answered
}

// AnswerCache keeps the answers to requests whose id was supplied by the caller, so that
// a duplicate gets the same answer instead of running again. It is not safe for concurrent
// use; its owner guards it with a mutex.
type AnswerCache struct {
	byID     map[string]*cachedAnswer
	answered []string // answered ids, oldest first
	bytes    int      // of the bodies of answered ids
}

// NewAnswerCache returns an empty cache.
func NewAnswerCache() *AnswerCache { return &AnswerCache{byID: map[string]*cachedAnswer{}} }

// getOrCreate returns the entry of an id and whether it was created.
func (c *AnswerCache) getOrCreate(id string) (*cachedAnswer, bool) {
	if e, ok := c.byID[id]; ok {
		return e, false
	}
	e := &cachedAnswer{done: make(chan struct{})}
	c.byID[id] = e
	return e, true
}

// abandon removes the entry of an id that this instance does not hold, and answers the
// duplicates that wait for it.
func (c *AnswerCache) abandon(id string, a Answer) {
	if e, ok := c.byID[id]; ok {
		delete(c.byID, id)
		e.answer = a
		close(e.done)
	}
}

// complete stores the answer to a request and wakes the duplicates that wait for it.
func (c *AnswerCache) complete(id string, a Answer, now time.Time) {
	e, ok := c.byID[id]
	if !ok {
		return
	}
	e.answer, e.expiresAt = a, now.Add(answerTTL)
	close(e.done)
	c.answered = append(c.answered, id)
	c.bytes += len(a.body)
	c.evict(now)
}

// evict removes expired answers, and the oldest ones while the cache is over its size
// limit.
func (c *AnswerCache) evict(now time.Time) {
	for len(c.answered) > 0 {
		e := c.byID[c.answered[0]]
		if e != nil && now.Before(e.expiresAt) && c.bytes <= maxCachedBytes {
			return
		}
		if e != nil {
			c.bytes -= len(e.answer.body)
			delete(c.byID, c.answered[0])
		}
		c.answered = c.answered[1:]
	}
}

// wait returns the answer of an entry once it is available. If ctx is done first, it
// returns an answer of unknown outcome.
func (e *cachedAnswer) wait(ctx context.Context) (Answer, error) {
	select {
	case <-e.done:
		return e.answer, nil
	case <-ctx.Done():
		return Answer{outcome: OutcomeUnknown, reason: "the request still runs"}, nil
	}
}
