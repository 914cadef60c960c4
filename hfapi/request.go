package hfapi

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"

	"github.com/heatherfront/heatherfront/hfaccount"
	"github.com/heatherfront/heatherfront/hfconfig"
	"github.com/heatherfront/heatherfront/hfintake"
	"github.com/heatherfront/heatherfront/hfreport"
	"github.com/heatherfront/heatherfront/hfrequest"
)

const (
	defaultTimeout  = 30 * time.Second
	maxTimeout      = 30 * time.Second // longest time that a request may hold a slot
	headerTimeoutMs = "Timeout-Ms"
	headerService   = "Service"
)

// serveRequest runs one request of a caller and writes its outcome.
func (a *API) serveRequest(c echo.Context) error {
	identity, received := identityOf(c), time.Now()
	name := c.Param("work")
	work, ok := a.backend.Accounts().Work(identity.Account(), name)
	if !ok || work.Type != hfconfig.TypeRequest {
		return outcomeProblem(http.StatusNotFound, hfrequest.OutcomeNotRun, "no kind of request "+name+" for this account")
	}
	timeout, err := requestTimeout(c, work)
	if err != nil {
		return fmt.Errorf("request: %w", err)
	}
	id, claim, err := requestID(c, work)
	if err != nil {
		return fmt.Errorf("request: %w", err)
	}
	body, err := readBody(c, a.maxBody)
	if errors.Is(err, hfintake.ErrFull) || errors.Is(err, hfintake.ErrSlow) {
		return notReadyProblem(claim, err.Error())
	}
	if err != nil {
		return fmt.Errorf("request: %w", err)
	}
	if ok, reason := a.backend.Ready(); !ok && !a.backend.Stopping() {
		return notReadyProblem(claim, reason)
	}
	header := c.Request().Header
	call := hfrequest.NewCall(id, name, identity.Account(), header.Get(echo.HeaderContentType), header.Get(headerService), body, received.Add(timeout))
	answer := a.dispatcher.Serve(c.Request().Context(), call, a.schedulingParams(identity, work), claim)
	a.recordOutcome(identity, name, answer, time.Since(received))
	return writeAnswer(c, id, answer)
}

// notReadyProblem refuses a request before its id is claimed. If the caller chose the
// id (claim is set), another instance may have received the request before, so that its
// outcome is unknown.
func notReadyProblem(claim bool, reason string) error {
	if claim {
		return outcomeProblem(http.StatusServiceUnavailable, hfrequest.OutcomeUnknown,
			"this receipt was not run, and whether an earlier one was cannot be told; the same id can be sent again: "+reason)
	}
	return outcomeProblem(http.StatusServiceUnavailable, hfrequest.OutcomeNotRun, reason)
}

// schedulingParams returns the scheduling parameters of a request. The account's limit
// is divided among the live instances, and each gets at least 1.
func (a *API) schedulingParams(i hfaccount.Identity, w *hfconfig.Work) hfrequest.SchedulingParams {
	weight, limit := 1, 0
	if e, ok := a.backend.Accounts().Entitlements(i.Account()); ok {
		weight, limit = e.Weight(), e.Limit()
	}
	if limit > 0 {
		limit = max(1, limit/max(a.liveInstances(), 1))
	}
	return hfrequest.NewSchedulingParams(w.Class, i.Account(), i.Caller(), w.Idempotent, weight, limit)
}

func (a *API) liveInstances() int {
	live := 0
	for _, i := range a.backend.Instances() {
		if i.Live {
			live++
		}
	}
	return live
}

// readBody reads the request body of at most limit bytes. It fails with hfintake.ErrFull or ErrSlow if
// there is no memory for it or it comes too slowly.
func readBody(c echo.Context, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(c.Request().Body, limit+1))
	if errors.Is(err, hfintake.ErrFull) || errors.Is(err, hfintake.ErrSlow) {
		return nil, fmt.Errorf("read body: %w", err)
	}
	if err != nil {
		return nil, outcomeProblem(http.StatusBadRequest, hfrequest.OutcomeNotRun, "the body broke off: "+err.Error())
	}
	if int64(len(body)) > limit {
		return nil, outcomeProblem(http.StatusRequestEntityTooLarge, hfrequest.OutcomeNotRun,
			"the body is larger than "+strconv.FormatInt(limit, 10)+" bytes")
	}
	return body, nil
}

// requestTimeout returns the caller's time limit, bounded by the limit of the kind of
// work.
func requestTimeout(c echo.Context, w *hfconfig.Work) (time.Duration, error) {
	limit := min(defaultTimeout, maxTimeout)
	if w.Timeout > 0 {
		limit = min(time.Duration(w.Timeout)*time.Millisecond, maxTimeout)
	}
	value := c.Request().Header.Get(headerTimeoutMs)
	if value == "" {
		return limit, nil
	}
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil || ms <= 0 {
		return 0, outcomeProblem(http.StatusBadRequest, hfrequest.OutcomeNotRun, headerTimeoutMs+" is not a number of milliseconds above 0")
	}
	return min(time.Duration(ms)*time.Millisecond, limit), nil
}

// requestID returns the id of a request, and whether it has to be claimed. Only a
// non-idempotent request whose id was chosen by the caller must be claimed, as it may
// be sent again with the same id.
func requestID(c echo.Context, w *hfconfig.Work) (string, bool, error) {
	id := c.Request().Header.Get(hfrequest.HeaderID)
	if id == "" {
		generated, err := uuid.NewV7()
		if err != nil {
			return "", false, problem(http.StatusInternalServerError, "no random numbers: "+err.Error())
		}
		return generated.String(), false, nil
	}
	if len(id) > maxRequestIDBytes {
		return "", false, outcomeProblem(http.StatusBadRequest, hfrequest.OutcomeNotRun, hfrequest.HeaderID+" is too long")
	}
	if w.Idempotent {
		return id, false, nil
	}
	if parsed, err := uuid.Parse(id); err != nil || parsed.Version() != 7 {
		return "", false, outcomeProblem(http.StatusBadRequest, hfrequest.OutcomeNotRun,
			hfrequest.HeaderID+" of a non-idempotent request must be a UUID of version 7")
	}
	return id, true, nil
}

// maxRequestIDBytes bounds the length of a request id that the caller chose.
const maxRequestIDBytes = 128

// recordOutcome counts the outcome of a request in the burn report.
func (a *API) recordOutcome(i hfaccount.Identity, work string, answer hfrequest.Answer, took time.Duration) {
	reason := ""
	switch answer.Outcome() {
	case hfrequest.OutcomeNotRun:
		reason = hfreport.ReasonRefused
	case hfrequest.OutcomeUnknown:
		reason = hfreport.ReasonUnknown
	case hfrequest.OutcomeFailed:
		reason = hfreport.ReasonFailed
	}
	a.backend.RecordOutcome(i.Account(), work, reason, took)
}

// writeAnswer passes on a complete answer, or reports the outcome if there is none.
func writeAnswer(c echo.Context, id string, answer hfrequest.Answer) error {
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
