// Package hfworker observes the workers and renews the leases of whole, running
// gangs. Every instance observes its share of the workers and tells the others
// what changed, so that a gang is kept running without a placement leader and
// without the store.
package hfworker

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/heatherfront/heatherfront/hfwire"
)

// ErrTaskID reports a task id that this program did not make.
var ErrTaskID = eris.New("not a task id")

// The states of a task on a worker.
const (
	StateHeld    = "held"    // leased and throttled to nothing
	StateRunning = "running" // released
	StateDone    = "done"
	StateFailed  = "failed"
	StateStopped = "stopped" // stopped or lapsed; final
)

// Gang names one attempt of a job.
type Gang struct {
	job     string
	attempt uint32
}

// NewGang names an attempt.
func NewGang(job string, attempt uint32) Gang { return Gang{job: job, attempt: attempt} }

// Job returns the job's id.
func (g Gang) Job() string { return g.job }

// Attempt returns the attempt, counted from 1.
func (g Gang) Attempt() uint32 { return g.attempt }

// TaskID returns the id of a gang's member. It carries all that an observer needs
// to judge whether the gang is whole, so that nothing else has to be known of it.
func TaskID(job string, attempt, index, size uint32) string {
	return fmt.Sprintf("%s.%d.%d.%d", job, attempt, index, size)
}

// ParseTask reads a task id and sets the parts on a task.
func ParseTask(id, state string) (*hfwire.Task, error) {
	parts := strings.Split(id, ".")
	if len(parts) != 4 {
		return nil, fmt.Errorf("%w: %q", ErrTaskID, id)
	}
	numbers := [3]uint32{}
	for i, p := range parts[1:] {
		n, err := strconv.ParseUint(p, 10, 32)
		if err != nil {
			return nil, fmt.Errorf("%w: %q", ErrTaskID, id)
		}
		numbers[i] = uint32(n)
	}
	return &hfwire.Task{
		Id: id, Job: parts[0], Attempt: numbers[0], Index: numbers[1], Size: numbers[2], State: state,
	}, nil
}
