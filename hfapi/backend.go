// Package hfapi is the HTTP interface of an instance: callers' requests and jobs,
// and the operators' resources.
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

// How a call to the backend can end other than well.
var (
	// ErrInvalid reports a call that will never be accepted so.
	ErrInvalid = eris.New("invalid")
	// ErrMissing reports something that does not exist, or that the caller may not see.
	ErrMissing = eris.New("not found")
	// ErrConflict reports an id that belongs to something else.
	ErrConflict = eris.New("conflict")
	// ErrEnded reports a job that had ended before its cancellation.
	ErrEnded = eris.New("already ended")
	// ErrNotRun reports that nothing was accepted; the same may be sent again.
	ErrNotRun = eris.New("not run")
	// ErrUnknown reports that the effect is not known.
	ErrUnknown = eris.New("effect unknown")
)

// Desk takes callers' requests.
type Desk interface {
	Serve(ctx context.Context, c hfrequest.Call, t hfrequest.Terms, claim bool) hfrequest.Answer
}

// Backend is what the interface needs of the instance.
type Backend interface {
	Book() *hfaccount.Book
	View() *hfconfig.View
	Ready() (bool, string)
	// Stopping tells whether a planned stop is under way; requests are still taken.
	Stopping() bool
	Registry() metrics.Registry
	// Changed returns a channel that is closed at the next change of the configuration.
	Changed() <-chan struct{}
	// Write stores a change; accepted means stored.
	Write(ctx context.Context, r hfconfig.Resource, expected int64) (hfconfig.Resource, error)
	// Applied tells for each instance whether all up to a revision is in force there.
	Applied(revision int64) map[string]bool
	Plan(from, into string) (hfaccount.Plan, error)
	Submit(ctx context.Context, job *hfwire.Job) (*hfwire.Jobs, error)
	Cancel(ctx context.Context, c *hfwire.Cancel) (*hfwire.Jobs, error)
	Job(ctx context.Context, q *hfwire.Query) (*hfwire.Jobs, error)
	// Jobs returns records, and the failure domains that did not answer.
	Jobs(ctx context.Context, q *hfwire.Query) ([]*hfwire.Job, []string)
	Status(ctx context.Context) ([]*hfwire.Status, []string)
	Instances() []Instance
	Burn(ctx context.Context) []hfreport.Line
	Count(account, work, reason string, took time.Duration)
}

// Instance is one entry instance as an operator sees it.
type Instance struct {
	Name    string   `json:"name"`
	Address string   `json:"address"`
	Domain  string   `json:"domain"`
	Region  string   `json:"region"`
	Live    bool     `json:"live"`
	Leaving bool     `json:"leaving,omitempty"`
	Leads   []string `json:"leads,omitempty"` // failure domains whose jobs it places
}
