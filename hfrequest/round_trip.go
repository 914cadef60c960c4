package hfrequest

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"
)

// Headers of requests to endpoints and of their answers, and values of HeaderState.
const (
	HeaderID           = "Request-Id"
	HeaderOutcome      = "Outcome"
	HeaderState        = "State"   // why an endpoint refuses: StateBusy or StateLeaving
	HeaderTimeLeft     = "Left-Ms" // time left until the deadline of the caller
	HeaderAccount      = "Account"
	headerService      = "Service"
	StateLeaving       = "leaving"
	StateBusy          = "busy"
	defaultContentType = "application/octet-stream"
)

// Call is a request as sent to an endpoint.
type Call struct {
	id          string
	work        string // kind of work
	account     string
	contentType string
	service     string // passed on to the endpoint unchanged
	body        []byte
	deadline    time.Time
}

// NewCall returns a call. The body must not be modified afterwards.
func NewCall(id, work, account, contentType, service string, body []byte, deadline time.Time) Call {
	if contentType == "" {
		contentType = defaultContentType
	}
	return Call{id: id, work: work, account: account, contentType: contentType, service: service, body: body, deadline: deadline}
}

// Answer is the complete answer to a call, or the reason why there is none.
type Answer struct {
	outcome     Outcome
	status      int
	contentType string
	body        []byte
	reason      string
}

// NewAnswer returns an answer. reason is empty if the answer is complete.
func NewAnswer(o Outcome, status int, contentType string, body []byte, reason string) Answer {
	return Answer{outcome: o, status: status, contentType: contentType, body: body, reason: reason}
}

// NotRun returns the answer to a call that did not run, with the reason.
func NotRun(reason string) Answer { return Answer{outcome: OutcomeNotRun, reason: reason} }

// Outcome returns the outcome of the call.
func (a Answer) Outcome() Outcome { return a.outcome }

// Status returns the HTTP status of the endpoint, or 0 if there was no answer.
func (a Answer) Status() int { return a.status }

// ContentType returns the content type of the body.
func (a Answer) ContentType() string { return a.contentType }

// Body returns the body that the endpoint returned.
func (a Answer) Body() []byte { return a.body }

// Reason returns why there is no complete answer.
func (a Answer) Reason() string { return a.reason }

// RoundTrip sends a call to an endpoint once. It reads the complete answer, up to
// maxBody bytes, before it returns, so that a truncated answer is never passed on.
// No other attempt uses the connection until this one has ended, so that a late answer to
// another request cannot be mistaken for the answer to this one.
func RoundTrip(ctx context.Context, client *http.Client, address string, c Call, maxBody int64) (Answer, AttemptResult) {
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		// Once there is a connection, bytes may be sent at any moment.
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/work/"+c.work, bytes.NewReader(c.body))
	if err != nil {
		return NotRun("request cannot be built: " + err.Error()), NoAnswer(false)
	}
	req.Header.Set("Content-Type", c.contentType)
	req.Header.Set(HeaderID, c.id)
	req.Header.Set(HeaderAccount, c.account)
	req.Header.Set(HeaderTimeLeft, strconv.FormatInt(time.Until(c.deadline).Milliseconds(), 10))
	if c.service != "" {
		req.Header.Set(headerService, c.service)
	}
	// The transport resends the request by itself only if it has written nothing.
	resp, err := client.Do(req)
	if err != nil {
		result := NoAnswer(sent.Load())
		return Answer{outcome: ProvenOutcome(result), reason: fmt.Sprintf("no answer from endpoint %s: %v", address, err)}, result
	}
	defer func() { _ = resp.Body.Close() }()
	return readAnswer(resp, address, c, maxBody)
}

// readAnswer reads the answer and checks that it is complete and belongs to the call.
func readAnswer(resp *http.Response, address string, c Call, maxBody int64) (Answer, AttemptResult) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody+1))
	complete := err == nil && int64(len(body)) <= maxBody && selfDelimited(resp, len(body))
	idMatches := resp.Header.Get(HeaderID) == c.id
	refused := resp.Header.Get(HeaderOutcome) == string(OutcomeNotRun)
	result := Answered(resp.StatusCode, complete, idMatches, refused)
	result.endpointState = resp.Header.Get(HeaderState)
	a := Answer{outcome: ProvenOutcome(result), status: resp.StatusCode, contentType: resp.Header.Get("Content-Type"), body: body}
	switch {
	case a.outcome == OutcomeNotRun:
		a.reason = fmt.Sprintf("endpoint %s refused: %s", address, result.endpointState)
		a.body = nil
	case a.outcome == OutcomeUnknown && !idMatches:
		a.reason = fmt.Sprintf("endpoint %s answered another request", address)
		a.body = nil
	case a.outcome == OutcomeUnknown:
		a.reason = fmt.Sprintf("the answer of endpoint %s is not complete", address)
		a.body = nil
	}
	return a, result
}

// selfDelimited reports whether the length of an answer is known from its headers or its
// chunks. An answer that is delimited only by the close of the connection cannot be
// distinguished from a truncated one.
func selfDelimited(resp *http.Response, length int) bool {
	if resp.ContentLength >= 0 {
		return resp.ContentLength == int64(length)
	}
	return len(resp.TransferEncoding) > 0
}
