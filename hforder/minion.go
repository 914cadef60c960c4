// Package hforder is the one path on which starts, stops and renewals go to workers.
// Each order carries the epoch of the leadership under which it was decided, and is
// sent only while that leadership is certain.
package hforder

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/heatherfront/heatherfront/hfwork"
)

var (
	// ErrFenced reports a worker that has seen a later leadership.
	ErrFenced = eris.New("worker has seen a later leadership")
	// ErrRefused reports a worker that did nothing.
	ErrRefused = eris.New("worker refused the order")
	// ErrOld reports a run that the worker will never start, as it has seen a later one.
	ErrOld = eris.New("worker has seen a later run")
	// ErrReborn reports that another life of the worker answered, which did nothing.
	ErrReborn = eris.New("worker lives anew")
	// ErrUnanswered reports an order that may have been or may still be carried out.
	ErrUnanswered = eris.New("no answer from worker")
	// ErrNotLeading reports an order that was not sent, as the leadership is not certain.
	ErrNotLeading = eris.New("leadership not certain")
)

// Start is the order to start a run.
type Start struct {
	task    hfwork.TaskID
	number  int64
	command string
	saved   string
	ticket  string
	until   int64 // milliseconds on the worker's clock at which the lease ends
	epoch   int64
}

// Task returns the task.
func (s Start) Task() hfwork.TaskID { return s.task }

// Number returns the number of the run.
func (s Start) Number() int64 { return s.number }

// Command returns what the task runs.
func (s Start) Command() string { return s.command }

// Saved returns the checkpoint to resume from, or "".
func (s Start) Saved() string { return s.saved }

// Ticket returns the permission of an advised queue, or "".
func (s Start) Ticket() string { return s.ticket }

// Until returns the end of the lease in milliseconds on the worker's clock.
func (s Start) Until() int64 { return s.until }

// Epoch returns the epoch of the leadership.
func (s Start) Epoch() int64 { return s.epoch }

// Look asks a worker for its report.
type Look struct {
	until int64 // end of the lease of all its runs on its clock, 0 to leave it as it is
	seen  int64 // last end whose record is stored
	epoch int64
	wait  func() time.Duration // the answer may wait so long for an end
}

// NewLook returns a look that renews nothing where until is 0.
func NewLook(until, seen, epoch int64, wait time.Duration) Look {
	return Look{until: until, seen: seen, epoch: epoch, wait: func() time.Duration { return wait }}
}

// Until returns the new end of the leases in milliseconds on the worker's clock, or 0.
func (l Look) Until() int64 { return l.until }

// Seen returns the number of the last end that the worker may forget.
func (l Look) Seen() int64 { return l.seen }

// Epoch returns the epoch of the leadership.
func (l Look) Epoch() int64 { return l.epoch }

// Wait returns how long the answer may wait for an end.
func (l Look) Wait() time.Duration { return l.wait() }

// Minions sends orders to workers. Every error wraps one of this package.
type Minions interface {
	// Start starts a run and returns the worker's clock in milliseconds.
	Start(ctx context.Context, w *hfwork.Worker, s Start) error
	// Stop ends a run. One that is not there yet will never start.
	Stop(ctx context.Context, w *hfwork.Worker, task hfwork.TaskID, number, epoch int64) error
	// Pace lets a run work at a share of its pace, in percent.
	Pace(ctx context.Context, w *hfwork.Worker, task hfwork.TaskID, number, share, epoch int64) error
	// Look returns the worker's report.
	Look(ctx context.Context, w *hfwork.Worker, l Look) (hfwork.Report, error)
}

// Machines is the platform's list of machines.
type Machines interface {
	// List returns all machines by name.
	List(ctx context.Context) (map[string]*hfwork.Machine, error)
	// Upkeep takes a machine down for the upkeep of a wave, under a leadership. It
	// succeeds also when that is done already, and fails with ErrRefused, ErrFenced or
	// ErrUnanswered.
	Upkeep(ctx context.Context, machine string, wave int64, holder string, epoch int64) error
}

// Adviser knows which workers may run the steps of advised queues.
type Adviser interface {
	// Advise returns tickets by worker for those that may run a step, and until when
	// they are valid. It fails with ErrRefused or ErrUnanswered.
	Advise(ctx context.Context, step hfwork.TaskID, workers []string) (map[string]string, time.Time, error)
}
