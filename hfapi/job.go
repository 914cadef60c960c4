package hfapi

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/heatherfront/heatherfront/hfconfig"
	"github.com/heatherfront/heatherfront/hfintake"
	"github.com/heatherfront/heatherfront/hfrequest"
	"github.com/heatherfront/heatherfront/hfwire"
)

const (
	maxJobBytes     = 64 << 10
	maxCommandBytes = 4 << 10
	defaultJobLimit = 50
	maxJobLimit     = 1000
	listedJobBytes  = 6 << 10 // of a job in a list, until it is written
)

// JobRequest is the body of a job submission.
type JobRequest struct {
	ID            string `json:"id,omitempty"` // version 7 UUID; submissions with the same id are one job
	Work          string `json:"work"`
	Size          int    `json:"size"`             // number of adjacent accelerators
	ExpectedRunMs int64  `json:"run,omitempty"`    // expected run time in milliseconds
	Domain        string `json:"domain,omitempty"` // failure domain; chosen by the system if empty
	Command       string `json:"command,omitempty"`
}

func (a *API) submitJob(c echo.Context) error {
	identity := identityOf(c)
	if identity.Operator() {
		return problem(http.StatusForbidden, "operators belong to no account and cannot submit jobs")
	}
	request, err := readJob(c)
	if err != nil {
		return fmt.Errorf("submit: %w", err)
	}
	work, ok := a.backend.Accounts().Work(identity.Account(), request.Work)
	if !ok || work.Type != hfconfig.TypeJob {
		return outcomeProblem(http.StatusNotFound, hfrequest.OutcomeNotRun, "no kind of job "+request.Work+" for this account")
	}
	jobs, err := a.backend.Submit(c.Request().Context(), &hfwire.Job{
		Id: request.ID, Account: identity.Account(), Caller: identity.Caller(), Work: request.Work,
		Class: string(work.Class), Size: uint32(request.Size), Preemptible: work.Preemptible, Idempotent: work.Idempotent,
		Run: request.ExpectedRunMs, Command: request.Command, Domain: request.Domain,
	})
	if err != nil {
		return backendProblem(err)
	}
	return writeJob(c, http.StatusAccepted, jobs.GetJobs()[0], "")
}

func readJob(c echo.Context) (JobRequest, error) {
	var request JobRequest
	// The body is read whole first, so that its caller keeps an answer that is under way.
	body, err := readBody(c, maxJobBytes)
	if errors.Is(err, hfintake.ErrFull) || errors.Is(err, hfintake.ErrSlow) {
		return request, outcomeProblem(http.StatusServiceUnavailable, hfrequest.OutcomeNotRun, err.Error())
	}
	if err != nil {
		return request, fmt.Errorf("job: %w", err)
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&request); err != nil {
		return request, outcomeProblem(http.StatusBadRequest, hfrequest.OutcomeNotRun, "job: "+err.Error())
	}
	if request.Size < 1 || request.Size > hfconfig.MaxGangSize {
		return request, outcomeProblem(http.StatusUnprocessableEntity, hfrequest.OutcomeNotRun,
			"size is not between 1 and "+strconv.Itoa(hfconfig.MaxGangSize)+" accelerators")
	}
	if request.ExpectedRunMs < 0 || len(request.Command) > maxCommandBytes {
		return request, outcomeProblem(http.StatusUnprocessableEntity, hfrequest.OutcomeNotRun, "run is below 0, or command is too long")
	}
	if request.ID == "" {
		id, err := uuid.NewV7()
		if err != nil {
			return request, problem(http.StatusInternalServerError, "no random numbers: "+err.Error())
		}
		request.ID = id.String()
	}
	if parsed, err := uuid.Parse(request.ID); err != nil || parsed.Version() != 7 || parsed.String() != request.ID {
		return request, outcomeProblem(http.StatusUnprocessableEntity, hfrequest.OutcomeNotRun, "id is not a UUID of version 7 in lower case")
	}
	return request, nil
}

// visibleJobsQuery returns a query for the jobs that the identity may see: callers see their
// own jobs, auditors those of their account, and operators all.
func (a *API) visibleJobsQuery(c echo.Context) *hfwire.Query {
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
	q := a.visibleJobsQuery(c)
	q.Id = c.Param("id")
	q.Explain = c.QueryParam("explain") != ""
	jobs, err := a.backend.Job(c.Request().Context(), q)
	if err != nil {
		return backendProblem(err)
	}
	return writeJob(c, http.StatusOK, jobs.GetJobs()[0], jobs.GetExplain())
}

func (a *API) listJobs(c echo.Context) error {
	q := a.visibleJobsQuery(c)
	q.Limit = defaultJobLimit
	if value := c.QueryParam("limit"); value != "" {
		limit, err := strconv.ParseUint(value, 10, 32)
		if err != nil || limit < 1 || limit > maxJobLimit {
			return problem(http.StatusBadRequest, "limit is not between 1 and "+strconv.Itoa(maxJobLimit))
		}
		q.Limit = uint32(limit)
	}
	if err := hfintake.Reserve(c.Request(), int64(q.GetLimit())*listedJobBytes); err != nil {
		return backendProblem(err)
	}
	jobs, unreachable := a.backend.Jobs(c.Request().Context(), q)
	return writeJobs(c, jobs, unreachable)
}

// writeJobs writes a list, one job encoded at a time.
func writeJobs(c echo.Context, jobs []*hfwire.Job, unreachable []string) error {
	missing, err := json.Marshal(unreachable)
	if err != nil {
		return problem(http.StatusInternalServerError, err.Error())
	}
	w := c.Response()
	w.Header().Set(echo.HeaderContentType, echo.MIMEApplicationJSON)
	w.WriteHeader(http.StatusOK)
	separator := `{"jobs":[`
	for _, j := range jobs {
		raw, err := encodeJob(j)
		if err != nil {
			panic(http.ErrAbortHandler) // cuts the answer off, as its status is sent
		}
		if _, err := w.Write(append([]byte(separator), raw...)); err != nil {
			return nil // the caller has disconnected
		}
		separator = ","
	}
	if len(jobs) > 0 {
		separator = ""
	}
	_, _ = fmt.Fprintf(w, "%s],\"missing\":%s}\n", separator, missing) // an error means that the caller has disconnected
	return nil
}

func (a *API) cancelJob(c echo.Context) error {
	identity := identityOf(c)
	q := a.visibleJobsQuery(c)
	q.Id = c.Param("id")
	if _, err := a.backend.Job(c.Request().Context(), q); err != nil {
		return backendProblem(err) // the job does not exist, or the caller may not see it
	}
	jobs, err := a.backend.Cancel(c.Request().Context(), &hfwire.Cancel{
		Id: q.GetId(), Account: identity.Account(), Reason: "cancelled by " + identity.Caller(),
	})
	if errors.Is(err, ErrAlreadyEnded) && len(jobs.GetJobs()) > 0 {
		return writeJob(c, http.StatusConflict, jobs.GetJobs()[0], "")
	}
	if err != nil {
		return backendProblem(err)
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
