package hfrequest

import "math/rand/v2"

// Outcome is what a caller is told of its request. The four are never blurred.
type Outcome string

// The outcomes.
const (
	OutcomeDone    Outcome = "done"    // it ran, and its whole answer is here
	OutcomeFailed  Outcome = "failed"  // it ran and failed, and its whole answer is here
	OutcomeNotRun  Outcome = "not-run" // it did not run
	OutcomeUnknown Outcome = "unknown" // it was sent, and no whole answer came
)

// Trace is what is known of one attempt at an endpoint.
type Trace struct {
	sent    bool // a byte of the request may have left this process
	replied bool // the headers of an answer came
	whole   bool // all of the answer came, of the length announced
	own     bool // the answer carries the id of this request
	refused bool // the endpoint said that the request did not run
	status  int
	state   string // of the endpoint, from its refusal
}

// Refused tells whether the endpoint said that the request did not run.
func (t Trace) Refused() bool { return t.refused && t.own }

// Leaving tells whether the endpoint refused because it leaves.
func (t Trace) Leaving() bool { return t.Refused() && t.state == StateLeaving }

// NewTrace returns the trace of an attempt that got no answer.
func NewTrace(sent bool) Trace { return Trace{sent: sent} }

// Replied returns the trace of an attempt that got an answer.
func Replied(status int, whole, own, refused bool) Trace {
	return Trace{sent: true, replied: true, whole: whole, own: own, refused: refused, status: status}
}

// statusServerError is the first HTTP status of a failure on the endpoint's side.
const statusServerError = 500

// Judge returns the outcome that an attempt proves. "Not run" needs proof: nothing
// was sent, or the endpoint said so in an answer to this request.
func Judge(t Trace) Outcome {
	switch {
	case !t.sent:
		return OutcomeNotRun
	case !t.replied || !t.own:
		return OutcomeUnknown
	case t.refused:
		return OutcomeNotRun
	case !t.whole:
		return OutcomeUnknown
	case t.status >= statusServerError:
		return OutcomeFailed
	default:
		return OutcomeDone
	}
}

// Counts tells what an attempt says of its endpoint: a sign that it cannot serve,
// a sign that it can, or nothing. A full endpoint and a caller that went away say
// nothing.
func Counts(t Trace, o Outcome, cancelled bool) (failure, success bool) {
	switch {
	case cancelled || t.Refused():
		return false, false
	case o == OutcomeDone:
		return false, true
	default:
		return true, false
	}
}

const (
	maxAttempts  = 4
	retryRatio   = 0.1 // retries for each request, over time
	retryReserve = 10  // retries at hand after a quiet time
)

// Retries is the retry budget of one instance: a request adds a part of a retry,
// so that retries stay a fixed share of the traffic when everything fails.
type Retries struct{ tokens float64 }

// NewRetries returns a full budget.
func NewRetries() *Retries { return &Retries{tokens: retryReserve} }

// Earn counts a new request.
func (r *Retries) Earn() { r.tokens = min(r.tokens+retryRatio, retryReserve) }

// Again tells whether a request may be sent again after an attempt, and spends the
// budget. An attempt that did not run may be repeated for every kind of work and
// costs nothing when the endpoint was only full. After a byte of a non-idempotent
// request may have been sent, it is never sent again.
func (r *Retries) Again(o Outcome, idempotent bool, attempts int, refused bool) bool {
	if o == OutcomeDone || attempts >= maxAttempts {
		return false
	}
	if o != OutcomeNotRun && !idempotent {
		return false
	}
	if refused {
		return true
	}
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}

const (
	firstPauseMs = 10
	maxPauseMs   = 500
)

// PauseMs returns a random wait before an attempt, in milliseconds, which doubles
// with each attempt.
func PauseMs(attempts int, random *rand.Rand) int64 {
	top := min(int64(firstPauseMs)<<min(attempts, 10), maxPauseMs)
	return random.Int64N(top) + 1
}
