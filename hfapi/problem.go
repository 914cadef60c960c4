package hfapi

import (
	"errors"
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/heatherfront/heatherfront/hfconfig"
	"github.com/heatherfront/heatherfront/hfrequest"
)

// Problem is the body of every answer that is not the one asked for.
type Problem struct {
	Outcome string `json:"outcome,omitempty"` // of a request or job: not-run or unknown
	Reason  string `json:"reason"`
}

func problem(status int, reason string) error {
	return echo.NewHTTPError(status, Problem{Reason: reason})
}

func outcomeProblem(status int, o hfrequest.Outcome, reason string) error {
	return echo.NewHTTPError(status, Problem{Outcome: string(o), Reason: reason})
}

// failure turns an error of the backend into an answer. A store that gave no answer
// leaves the effect unknown.
func failure(err error) error {
	switch {
	case errors.Is(err, hfconfig.ErrInvalid), errors.Is(err, ErrInvalid):
		return problem(http.StatusUnprocessableEntity, err.Error())
	case errors.Is(err, hfconfig.ErrStale), errors.Is(err, ErrConflict), errors.Is(err, ErrEnded):
		return problem(http.StatusConflict, err.Error())
	case errors.Is(err, hfconfig.ErrMissing), errors.Is(err, ErrMissing):
		return problem(http.StatusNotFound, err.Error())
	case errors.Is(err, hfconfig.ErrOlderStore), errors.Is(err, ErrNotRun):
		return outcomeProblem(http.StatusServiceUnavailable, hfrequest.OutcomeNotRun, err.Error())
	default:
		return outcomeProblem(http.StatusGatewayTimeout, hfrequest.OutcomeUnknown, err.Error())
	}
}

// handleError writes a Problem.
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
	_ = c.JSON(status, body) // the caller has gone
}
