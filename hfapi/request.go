package hfapi

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"

	"github.com/heatherfront/heatherfront/hfaccount"
	"github.com/heatherfront/heatherfront/hfconfig"
	"github.com/heatherfront/heatherfront/hfreport"
	"github.com/heatherfront/heatherfront/hfrequest"
)

const (
	defaultTimeout = 30 * time.Second
	maxTimeout     = 30 * time.Second // a request may hold a slot no longer
	headerTimeLeft = "Timeout-Ms"
	headerService  = "Service"
)

// request takes one caller's request to its outcome.
func (a *API) request(c echo.Context) error {
	identity, began := identityOf(c), time.Now()
	name := c.Param("work")
	work, ok := a.backend.Book().Work(identity.Account(), name)
	if !ok || work.Type != hfconfig.TypeRequest {
		return outcomeProblem(http.StatusNotFound, hfrequest.OutcomeNotRun, "no kind of request "+name+" for this account")
	}
	body, err := a.readBody(c)
	if err != nil {
		return fmt.Errorf("request: %w", err)
	}
	timeout, err := requestTimeout(c, work)
	if err != nil {
		return fmt.Errorf("request: %w", err)
	}
	id, claim, err := requestID(c, work)
	if err != nil {
		return fmt.Errorf("request: %w", err)
	}
	if ok, why := a.backend.Ready(); !ok && !a.backend.Stopping() {
		return notReady(claim, why)
	}
	header := c.Request().Header
	call := hfrequest.NewCall(id, name, identity.Account(), header.Get(echo.HeaderContentType), header.Get(headerService), body, began.Add(timeout))
	answer := a.desk.Serve(c.Request().Context(), call, a.terms(identity, work), claim)
	a.count(identity, name, answer, time.Since(began))
	return reply(c, id, answer)
}

// notReady refuses a request before its id is claimed. Of an id that may have come
// before to another instance, it cannot be said that it did not run.
func notReady(claim bool, why string) error {
	if claim {
		return outcomeProblem(http.StatusServiceUnavailable, hfrequest.OutcomeUnknown,
			"this receipt was not run, and whether an earlier one was cannot be told; the same id can be sent again: "+why)
	}
	return outcomeProblem(http.StatusServiceUnavailable, hfrequest.OutcomeNotRun, why)
}

func (a *API) terms(i hfaccount.Identity, w *hfconfig.Work) hfrequest.Terms {
	weight, limit := 1, 0
	if t, ok := a.backend.Book().Terms(i.Account()); ok {
		weight, limit = t.Weight(), t.Limit()
	}
	if limit > 0 {
		limit = max(1, limit/max(a.liveInstances(), 1))
	}
	return hfrequest.NewTerms(w.Class, i.Account(), i.Caller(), w.Idempotent, weight, limit)
}

func (a *API) liveInstances() int {
	n := 0
	for _, i := range a.backend.Instances() {
		if i.Live {
			n++
		}
	}
	return n
}

func (a *API) readBody(c echo.Context) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(c.Request().Body, a.maxBody+1))
	if err != nil {
		return nil, outcomeProblem(http.StatusBadRequest, hfrequest.OutcomeNotRun, "the body broke off: "+err.Error())
	}
	if int64(len(body)) > a.maxBody {
		return nil, outcomeProblem(http.StatusRequestEntityTooLarge, hfrequest.OutcomeNotRun,
			"the body is larger than "+strconv.FormatInt(a.maxBody, 10)+" bytes")
	}
	return body, nil
}

// requestTimeout returns the caller's time limit, within that of the kind of work.
func requestTimeout(c echo.Context, w *hfconfig.Work) (time.Duration, error) {
	limit := min(defaultTimeout, maxTimeout)
	if w.Timeout > 0 {
		limit = min(time.Duration(w.Timeout)*time.Millisecond, maxTimeout)
	}
	text := c.Request().Header.Get(headerTimeLeft)
	if text == "" {
		return limit, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 {
		return 0, outcomeProblem(http.StatusBadRequest, hfrequest.OutcomeNotRun, headerTimeLeft+" is not a number of milliseconds above 0")
	}
	return min(time.Duration(ms)*time.Millisecond, limit), nil
}

// requestID returns the caller's id, and whether it has to be claimed: only a
// non-idempotent request with an id of its caller's can come twice.
func requestID(c echo.Context, w *hfconfig.Work) (string, bool, error) {
	id := c.Request().Header.Get(hfrequest.HeaderID)
	if id == "" {
		fresh, err := uuid.NewV7()
		if err != nil {
			return "", false, problem(http.StatusInternalServerError, "no random numbers: "+err.Error())
		}
		return fresh.String(), false, nil
	}
	if len(id) > maxID {
		return "", false, outcomeProblem(http.StatusBadRequest, hfrequest.OutcomeNotRun, hfrequest.HeaderID+" is too long")
	}
	if w.Idempotent {
		return id, false, nil
	}
	if u, err := uuid.Parse(id); err != nil || u.Version() != 7 {
		return "", false, outcomeProblem(http.StatusBadRequest, hfrequest.OutcomeNotRun,
			hfrequest.HeaderID+" of a non-idempotent request must be a UUID of version 7")
	}
	return id, true, nil
}

// maxID bounds a caller's request id in bytes.
const maxID = 128

func (a *API) count(i hfaccount.Identity, work string, answer hfrequest.Answer, took time.Duration) {
	reason := ""
	switch answer.Outcome() {
	case hfrequest.OutcomeNotRun:
		reason = hfreport.ReasonRefused
	case hfrequest.OutcomeUnknown:
		reason = hfreport.ReasonUnknown
	case hfrequest.OutcomeFailed:
		reason = hfreport.ReasonFailed
	}
	a.backend.Count(i.Account(), work, reason, took)
}

// reply passes a whole answer on, or says what is known.
func reply(c echo.Context, id string, answer hfrequest.Answer) error {
	h := c.Response().Header()
	h.Set(hfrequest.HeaderID, id)
	switch answer.Outcome() {
	case hfrequest.OutcomeNotRun:
		return outcomeProblem(http.StatusServiceUnavailable, answer.Outcome(), answer.Reason())
	case hfrequest.OutcomeUnknown:
		return outcomeProblem(http.StatusGatewayTimeout, answer.Outcome(), answer.Reason())
	}
	h.Set(hfrequest.HeaderOutcome, string(answer.Outcome()))
	return c.Blob(answer.Status(), answer.ContentType(), answer.Body())
}
