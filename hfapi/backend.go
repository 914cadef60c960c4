// Package hfapi serves the HTTP API of an instance: requests and jobs for callers,
// and resources, status and reports for operators.
package hfapi

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"

	"github.com/heatherfront/heatherfront/hfaccount"
	"github.com/heatherfront/heatherfront/hfconfig"
	"github.com/heatherfront/heatherfront/hfreport"
	"github.com/heatherfront/heatherfront/hfrequest"
	"github.com/heatherfront/heatherfront/hfwire"
)

// Errors that calls to the backend return.
var (
	// ErrInvalid reports a call that is invalid and will be refused again when it is
	// retried.
	ErrInvalid = eris.New("invalid")
	// ErrNotFound reports something that does not exist, or that the caller may not
	// see.
	ErrNotFound = eris.New("not found")
	// ErrConflict reports a job id that belongs to another job or to a request.
	ErrConflict = eris.New("conflict")
	// ErrAlreadyEnded reports the cancellation of a job that had already ended.
	ErrAlreadyEnded = eris.New("already ended")
	// ErrNotRun reports that nothing was accepted. The call may be retried.
	ErrNotRun = eris.New("not run")
	// ErrEffectUnknown reports that the call may or may not have taken effect.
	ErrEffectUnknown = eris.New("effect unknown")
)

// Dispatcher handles callers' requests. If claim is set, the id of the request must be
// claimed before it runs.
type Dispatcher interface {
	Serve(ctx context.Context, c hfrequest.Call, params hfrequest.SchedulingParams, claim bool) hfrequest.Answer
}

// Backend is the instance behind the API.
type Backend interface {
	Accounts() *hfaccount.Directory
	View() *hfconfig.View
	Ready() (bool, string)
	// Stopping reports whether a planned stop is in progress. Requests are still
	// accepted during it.
	Stopping() bool
	Registry() metrics.Registry
	// ConfigChanged returns a channel that is closed at the next change of the
	// configuration.
	ConfigChanged() <-chan struct{}
	// WriteResource stores a changed resource. It returns without an error only after the
	// change is stored. expected is the revision to replace, or 0 for the one in force.
	WriteResource(ctx context.Context, r hfconfig.Resource, expected int64) (hfconfig.Resource, error)
	// Applied reports for each instance whether everything up to a revision is in force
	// there.
	Applied(revision int64) map[string]bool
	// PlanMerge returns what a merge of account from into account into would change.
	PlanMerge(from, into string) (hfaccount.MergePlan, error)
	Submit(ctx context.Context, job *hfwire.Job) (*hfwire.Jobs, error)
	Cancel(ctx context.Context, c *hfwire.Cancel) (*hfwire.Jobs, error)
	Job(ctx context.Context, q *hfwire.Query) (*hfwire.Jobs, error)
	// Jobs returns the matching jobs, and the failure domains whose leaders did not
	// answer.
	Jobs(ctx context.Context, q *hfwire.Query) ([]*hfwire.Job, []string)
	// Status returns the status of the failure domains, and those whose leaders did not
	// answer.
	Status(ctx context.Context) ([]*hfwire.Status, []string)
	Instances() []Instance
	// BurnReport returns the error budget and burn rates of each objective.
	BurnReport(ctx context.Context) []hfreport.ObjectiveReport
	// RecordOutcome counts the outcome of a request in the burn report. reason is empty
	// for a good outcome.
	RecordOutcome(account, work, reason string, took time.Duration)
}

// Instance is one instance as operators see it.
type Instance struct {
	Name    string   `json:"name"`
	Address string   `json:"address"`
	Domain  string   `json:"domain"`
	Region  string   `json:"region"`
	Live    bool     `json:"live"`
	Leaving bool     `json:"leaving,omitempty"`
	Leads   []string `json:"leads,omitempty"` // failure domains whose jobs it places
}
