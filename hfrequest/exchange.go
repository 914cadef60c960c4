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

// The headers of requests to endpoints and of their answers.
const (
	HeaderID       = "Request-Id"
	HeaderOutcome  = "Outcome"
	HeaderState    = "State"   // of an endpoint that refuses: busy or leaving
	HeaderLeft     = "Left-Ms" // time left until the caller's deadline
	HeaderAccount  = "Account"
	headerService  = "Service"
	StateLeaving   = "leaving"
	StateBusy      = "busy"
	defaultMessage = "application/octet-stream"
)

// Call is one request as it goes to an endpoint.
type Call struct {
	id       string
	work     string
	account  string
	kind     string // content type
	service  string // passed through to the endpoint
	body     []byte
	deadline time.Time
}

// NewCall returns a call. The body must not change afterwards.
func NewCall(id, work, account, contentType, service string, body []byte, deadline time.Time) Call {
	if contentType == "" {
		contentType = defaultMessage
	}
	return Call{id: id, work: work, account: account, kind: contentType, service: service, body: body, deadline: deadline}
}

// Answer is the whole answer to a call, or why there is none.
type Answer struct {
	outcome Outcome
	status  int
	kind    string
	body    []byte
	reason  string
}

// NewAnswer returns an answer.
func NewAnswer(o Outcome, status int, contentType string, body []byte, reason string) Answer {
	return Answer{outcome: o, status: status, kind: contentType, body: body, reason: reason}
}

// Refused returns the answer to a call that did not run.
func Refused(reason string) Answer { return Answer{outcome: OutcomeNotRun, reason: reason} }

// Outcome returns what became of the call.
func (a Answer) Outcome() Outcome { return a.outcome }

// Status returns the endpoint's HTTP status, or 0 without a whole answer.
func (a Answer) Status() int { return a.status }

// ContentType returns the type of the body.
func (a Answer) ContentType() string { return a.kind }

// Body returns the endpoint's answer.
func (a Answer) Body() []byte { return a.body }

// Reason says why there is no whole answer.
func (a Answer) Reason() string { return a.reason }

// Exchange makes one attempt at an endpoint. It reads the whole answer, up to
// maxBody bytes, before it returns, so that an answer that breaks off is never
// passed on. Each attempt reads from its own connection, so that a late answer
// to another request cannot be taken for this one's.
func Exchange(ctx context.Context, client *http.Client, address string, c Call, maxBody int64) (Answer, Trace) {
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		// A connection in hand means that bytes may leave at any moment.
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/work/"+c.work, bytes.NewReader(c.body))
	if err != nil {
		return Refused("request cannot be built: " + err.Error()), NewTrace(false)
	}
	// The transport sends the body again by itself only when it has written nothing.
	req.Header.Set("Content-Type", c.kind)
	req.Header.Set(HeaderID, c.id)
	req.Header.Set(HeaderAccount, c.account)
	req.Header.Set(HeaderLeft, strconv.FormatInt(time.Until(c.deadline).Milliseconds(), 10))
	if c.service != "" {
		req.Header.Set(headerService, c.service)
	}
	resp, err := client.Do(req)
	if err != nil {
		t := NewTrace(sent.Load())
		return Answer{outcome: Judge(t), reason: fmt.Sprintf("no answer from endpoint %s: %v", address, err)}, t
	}
	defer func() { _ = resp.Body.Close() }()
	return read(resp, address, c, maxBody)
}

// read takes the answer and checks that it is whole and belongs to the call.
func read(resp *http.Response, address string, c Call, maxBody int64) (Answer, Trace) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody+1))
	whole := err == nil && int64(len(body)) <= maxBody && delimited(resp, len(body))
	own := resp.Header.Get(HeaderID) == c.id
	refused := resp.Header.Get(HeaderOutcome) == string(OutcomeNotRun)
	t := Replied(resp.StatusCode, whole, own, refused)
	t.state = resp.Header.Get(HeaderState)
	a := Answer{outcome: Judge(t), status: resp.StatusCode, kind: resp.Header.Get("Content-Type"), body: body}
	switch {
	case a.outcome == OutcomeNotRun:
		a.reason = fmt.Sprintf("endpoint %s refused: %s", address, t.state)
		a.body = nil
	case a.outcome == OutcomeUnknown && !own:
		a.reason = fmt.Sprintf("endpoint %s answered another request", address)
		a.body = nil
	case a.outcome == OutcomeUnknown:
		a.reason = fmt.Sprintf("the answer of endpoint %s is not complete", address)
		a.body = nil
	}
	return a, t
}

// delimited tells whether the end of an answer is marked. One that ends with the
// connection cannot be told from one that broke off.
func delimited(resp *http.Response, length int) bool {
	if resp.ContentLength >= 0 {
		return resp.ContentLength == int64(length)
	}
	return len(resp.TransferEncoding) > 0
}
