package hforder

import (
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/heatherfront/heatherfront/hfplan"
	"github.com/heatherfront/heatherfront/hfwork"
)

var (
	// ErrBusy reports that other questions wait for the scheduler.
	ErrBusy = eris.New("other questions wait for the scheduler")
	// ErrLeadershipEnded reports that the leadership has ended.
	ErrLeadershipEnded = eris.New("the leadership has ended")
	errNoAnswer        = eris.New("the question has no answer")
)

const (
	maxQuestions = 2 // that wait for the scheduler
	// questionInterval is the least time between two questions, so that they take a small part of the
	// scheduler's time.
	questionInterval = 250 * time.Millisecond
)

// question is a job about which the scheduler is asked. The reply has room for the answer.
type question struct {
	job   *hfwork.Job
	reply chan questionAnswer
}

type questionAnswer struct {
	answer hfplan.WhereAnswer
	err    error
}

// Where returns where a job would go if it were submitted now. It changes nothing. It fails with ErrBusy if
// others ask, and ErrLeadershipEnded.
func (l *Leader) Where(ctx context.Context, job *hfwork.Job) (hfplan.WhereAnswer, error) {
	q := question{job: job, reply: make(chan questionAnswer, 1)}
	select {
	case l.questions <- q:
	default:
		return hfplan.WhereAnswer{}, ErrBusy
	}
	select {
	case r := <-q.reply:
		return r.answer, r.err
	case <-l.done:
		return hfplan.WhereAnswer{}, ErrLeadershipEnded
	case <-ctx.Done():
		return hfplan.WhereAnswer{}, fmt.Errorf("where: %w", ctx.Err())
	}
}

// answerQuestion answers one question if one waits and the last one is long enough ago, and returns when the last
// one was answered.
func (l *Leader) answerQuestion(last time.Time) time.Time {
	now := time.Now()
	if now.Sub(last) < questionInterval {
		return last
	}
	select {
	case q := <-l.questions:
		q.reply <- l.where(q.job, now)
		return now
	default:
		return last
	}
}

// where asks the scheduler. A panic fails the question, not the leadership.
func (l *Leader) where(job *hfwork.Job, now time.Time) (r questionAnswer) {
	defer func() {
		if cause := recover(); cause != nil {
			r = questionAnswer{err: fmt.Errorf("%w: %v", errNoAnswer, cause)}
		}
	}()
	return questionAnswer{answer: l.scheduler.Where(job, now)}
}
