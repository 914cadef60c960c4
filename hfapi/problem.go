package hfapi

import (
	"errors"
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/heatherfront/heatherfront/hfconfig"
	"github.com/heatherfront/heatherfront/hfintake"
	"github.com/heatherfront/heatherfront/hfrequest"
)

// Problem is the body of every error response.
type Problem struct {
	Outcome string `json:"outcome,omitempty"` // of a request or job: not-run or unknown
	Reason  string `json:"reason"`
}

// problem returns an error with a status and a reason.
func problem(status int, reason string) error {
	return echo.NewHTTPError(status, Problem{Reason: reason})
}

// outcomeProblem returns an error that also states the outcome of a request or job.
func outcomeProblem(status int, o hfrequest.Outcome, reason string) error {
	return echo.NewHTTPError(status, Problem{Outcome: string(o), Reason: reason})
}

// backendProblem converts an error of the backend. Any error without a case here, such
// as a store that did not answer, leaves the outcome unknown.
func backendProblem(err error) error {
	switch {
	case errors.Is(err, hfconfig.ErrInvalid), errors.Is(err, ErrInvalid):
		return problem(http.StatusUnprocessableEntity, err.Error())
	case errors.Is(err, hfconfig.ErrRevisionConflict), errors.Is(err, ErrConflict), errors.Is(err, ErrAlreadyEnded):
		return problem(http.StatusConflict, err.Error())
	case errors.Is(err, hfconfig.ErrNotFound), errors.Is(err, ErrNotFound):
		return problem(http.StatusNotFound, err.Error())
	case errors.Is(err, hfconfig.ErrStaleStore), errors.Is(err, ErrNotRun), errors.Is(err, hfintake.ErrFull), errors.Is(err, hfintake.ErrSlow):
		return outcomeProblem(http.StatusServiceUnavailable, hfrequest.OutcomeNotRun, err.Error())
	default:
		return outcomeProblem(http.StatusGatewayTimeout, hfrequest.OutcomeUnknown, err.Error())
	}
}

// handleError writes the response for an error of a handler.
func handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	status, body := http.StatusInternalServerError, Problem{Reason: err.Error()}
	var he *echo.HTTPError
	if errors.As(err, &he) {
		status = he.Code
		if p, ok := he.Message.(Problem); ok {
			body = p
		} else {
			body = Problem{Reason: http.StatusText(he.Code)}
		}
	}
	if body.Outcome != "" {
		c.Response().Header().Set(hfrequest.HeaderOutcome, body.Outcome)
	}
	if status == http.StatusServiceUnavailable {
		c.Response().Header().Set(echo.HeaderRetryAfter, "1")
	}
	_ = c.JSON(status, body) // an error means that the caller has disconnected
}
