package hfapi

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/heatherfront/heatherfront/hfconfig"
	"github.com/heatherfront/heatherfront/hfrequest"
	"github.com/heatherfront/heatherfront/hfwire"
)

const (
	maxJobBody     = 64 << 10
	maxCommand     = 4 << 10
	defaultHistory = 50
	maxHistory     = 1000
)

// JobRequest is the body of a submission.
type JobRequest struct {
	ID      string `json:"id,omitempty"` // a UUID of version 7; the same id twice is one job
	Work    string `json:"work"`
	Size    int    `json:"size"`             // adjacent accelerators
	Run     int64  `json:"run,omitempty"`    // expected run time in milliseconds
	Domain  string `json:"domain,omitempty"` // failure domain; empty: chosen by the system
	Command string `json:"command,omitempty"`
}

func (a *API) submit(c echo.Context) error {
	identity := identityOf(c)
	if identity.Operator() {
		return problem(http.StatusForbidden, "operators belong to no account and cannot submit jobs")
	}
	request, err := readJob(c)
	if err != nil {
		return fmt.Errorf("submit: %w", err)
	}
	work, ok := a.backend.Book().Work(identity.Account(), request.Work)
	if !ok || work.Type != hfconfig.TypeJob {
		return outcomeProblem(http.StatusNotFound, hfrequest.OutcomeNotRun, "no kind of job "+request.Work+" for this account")
	}
	jobs, err := a.backend.Submit(c.Request().Context(), &hfwire.Job{
		Id: request.ID, Account: identity.Account(), Caller: identity.Caller(), Work: request.Work,
		Class: string(work.Class), Size: uint32(request.Size), Preemptible: work.Preemptible, Idempotent: work.Idempotent,
		Run: request.Run, Command: request.Command, Domain: request.Domain,
	})
	if err != nil {
		return failure(err)
	}
	return writeJob(c, http.StatusAccepted, jobs.GetJobs()[0], "")
}

func readJob(c echo.Context) (JobRequest, error) {
	var r JobRequest
	d := json.NewDecoder(io.LimitReader(c.Request().Body, maxJobBody))
	d.DisallowUnknownFields()
	if err := d.Decode(&r); err != nil {
		return r, outcomeProblem(http.StatusBadRequest, hfrequest.OutcomeNotRun, "job: "+err.Error())
	}
	if r.Size < 1 || r.Size > hfconfig.MaxGang {
		return r, outcomeProblem(http.StatusUnprocessableEntity, hfrequest.OutcomeNotRun,
			"size is not between 1 and "+strconv.Itoa(hfconfig.MaxGang)+" accelerators")
	}
	if r.Run < 0 || len(r.Command) > maxCommand {
		return r, outcomeProblem(http.StatusUnprocessableEntity, hfrequest.OutcomeNotRun, "run is below 0, or command is too long")
	}
	if r.ID == "" {
		id, err := uuid.NewV7()
		if err != nil {
			return r, problem(http.StatusInternalServerError, "no random numbers: "+err.Error())
		}
		r.ID = id.String()
	}
	if u, err := uuid.Parse(r.ID); err != nil || u.Version() != 7 || u.String() != r.ID {
		return r, outcomeProblem(http.StatusUnprocessableEntity, hfrequest.OutcomeNotRun, "id is not a UUID of version 7 in lower case")
	}
	return r, nil
}

// query returns what an identity may see: callers their own jobs, auditors those of
// their account, operators all.
func (a *API) query(c echo.Context) *hfwire.Query {
	identity := identityOf(c)
	q := &hfwire.Query{}
	if identity.Operator() {
		if account := c.QueryParam("account"); account != "" {
			q.Accounts = []string{account}
		}
		q.Caller = c.QueryParam("caller")
		return q
	}
	q.Accounts = []string{identity.Account()}
	q.Caller = identity.Caller()
	if identity.Auditor() {
		q.Caller = c.QueryParam("caller")
	}
	return q
}

func (a *API) getJob(c echo.Context) error {
	q := a.query(c)
	q.Id = c.Param("id")
	q.Explain = c.QueryParam("explain") != ""
	jobs, err := a.backend.Job(c.Request().Context(), q)
	if err != nil {
		return failure(err)
	}
	return writeJob(c, http.StatusOK, jobs.GetJobs()[0], jobs.GetExplain())
}

func (a *API) listJobs(c echo.Context) error {
	q := a.query(c)
	q.Limit = defaultHistory
	if text := c.QueryParam("limit"); text != "" {
		n, err := strconv.ParseUint(text, 10, 32)
		if err != nil || n < 1 || n > maxHistory {
			return problem(http.StatusBadRequest, "limit is not between 1 and "+strconv.Itoa(maxHistory))
		}
		q.Limit = uint32(n)
	}
	jobs, missing := a.backend.Jobs(c.Request().Context(), q)
	list := make([]json.RawMessage, 0, len(jobs))
	for _, j := range jobs {
		raw, err := encodeJob(j)
		if err != nil {
			return problem(http.StatusInternalServerError, err.Error())
		}
		list = append(list, raw)
	}
	return c.JSON(http.StatusOK, map[string]any{"jobs": list, "missing": missing})
}

func (a *API) cancelJob(c echo.Context) error {
	identity := identityOf(c)
	q := a.query(c)
	q.Id = c.Param("id")
	if _, err := a.backend.Job(c.Request().Context(), q); err != nil {
		return failure(err) // not there, or not the caller's
	}
	jobs, err := a.backend.Cancel(c.Request().Context(), &hfwire.Cancel{
		Id: q.GetId(), Account: identity.Account(), Reason: "cancelled by " + identity.Caller(),
	})
	if errors.Is(err, ErrEnded) && len(jobs.GetJobs()) > 0 {
		return writeJob(c, http.StatusConflict, jobs.GetJobs()[0], "")
	}
	if err != nil {
		return failure(err)
	}
	return writeJob(c, http.StatusOK, jobs.GetJobs()[0], "")
}

func encodeJob(j *hfwire.Job) (json.RawMessage, error) {
	raw, err := protojson.Marshal(j)
	if err != nil {
		return nil, eris.Wrap(err, "encode job")
	}
	return raw, nil
}

func writeJob(c echo.Context, status int, j *hfwire.Job, explain string) error {
	raw, err := encodeJob(j)
	if err != nil {
		return problem(http.StatusInternalServerError, err.Error())
	}
	body := map[string]any{"job": raw}
	if explain != "" {
		body["explain"] = explain
	}
	return c.JSON(status, body)
}
