package hfrequest

import "math/rand/v2"

// Outcome is what a caller is told about its request. An outcome is reported only if it
// is proven; otherwise it is OutcomeUnknown.
type Outcome string

// The outcomes.
const (
	OutcomeDone    Outcome = "done"    // it ran; the answer is complete
	OutcomeFailed  Outcome = "failed"  // it ran and failed; the answer is complete
	OutcomeNotRun  Outcome = "not-run" // it did not run
	OutcomeUnknown Outcome = "unknown" // it was sent, but there is no complete answer; it may have run
)

// AttemptResult describes what is known about one attempt at an endpoint.
type AttemptResult struct {
	sent          bool // a byte of the request may have been sent
	answered      bool // the headers of an answer were received
	complete      bool // the answer was received in full, with the announced length
	idMatches     bool // the answer carries the id of the request
	refused       bool // the answer says that the request did not run
	status        int
	endpointState string // HeaderState of the answer
}

// Refused reports whether the endpoint answered that the request did not run.
func (r AttemptResult) Refused() bool { return r.refused && r.idMatches }

// Leaving reports whether the endpoint refused the request because it is leaving.
func (r AttemptResult) Leaving() bool { return r.Refused() && r.endpointState == StateLeaving }

// NoAnswer returns the result of an attempt that got no answer.
func NoAnswer(sent bool) AttemptResult { return AttemptResult{sent: sent} }

// Answered returns the result of an attempt that got an answer.
func Answered(status int, complete, idMatches, refused bool) AttemptResult {
	return AttemptResult{sent: true, answered: true, complete: complete, idMatches: idMatches, refused: refused, status: status}
}

// statusServerError is the lowest HTTP status of a server error.
const statusServerError = 500

// ProvenOutcome returns the outcome that an attempt proves. It is OutcomeNotRun only if
// nothing was sent or the endpoint said so in an answer to this request.
func ProvenOutcome(r AttemptResult) Outcome {
	switch {
	case !r.sent:
		return OutcomeNotRun
	case !r.answered || !r.idMatches:
		return OutcomeUnknown
	case r.refused:
		return OutcomeNotRun
	case !r.complete:
		return OutcomeUnknown
	case r.status >= statusServerError:
		return OutcomeFailed
	default:
		return OutcomeDone
	}
}

// EndpointSignal returns whether an attempt counts as a failure or a success of its
// endpoint. A refused or cancelled attempt counts as neither.
func EndpointSignal(r AttemptResult, o Outcome, cancelled bool) (failure, success bool) {
	switch {
	case cancelled || r.Refused():
		return false, false
	case o == OutcomeDone:
		return false, true
	default:
		return true, false
	}
}

const (
	maxAttempts    = 4
	retryRatio     = 0.1 // retries earned by each request
	maxRetryTokens = 10  // maximum retries saved up
)

// RetryBudget limits the retries of one instance. Each request earns a fraction of a
// retry, so that retries stay a fixed share of the traffic when every attempt fails.
type RetryBudget struct{ tokens float64 }

// NewRetryBudget returns a full budget.
func NewRetryBudget() *RetryBudget { return &RetryBudget{tokens: maxRetryTokens} }

// Deposit credits the budget for a new request.
func (r *RetryBudget) Deposit() { r.tokens = min(r.tokens+retryRatio, maxRetryTokens) }

// Allow reports whether a request may be retried after an attempt, and spends the
// budget. An attempt that did not run may be retried for every kind of work, and
// without using the budget if the endpoint refused it. A non-idempotent request is never
// retried after an attempt that may have run.
func (r *RetryBudget) Allow(o Outcome, idempotent bool, attempts int, refused bool) bool {
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
	initialBackoffMs = 10
	maxBackoffMs     = 500
)

// BackoffMs returns a random delay before the next attempt, in milliseconds. Its upper
// limit doubles with each attempt, up to maxBackoffMs.
func BackoffMs(attempts int, random *rand.Rand) int64 {
	limit := min(int64(initialBackoffMs)<<min(attempts, 10), maxBackoffMs)
	return random.Int64N(limit) + 1
}
