// Package hfworker polls the workers and renews the leases of running gangs. Every
// instance polls its share of the workers and reports changes to the other instances.
// A gang's leases are renewed only while all of its members are running or done, and the
// placement leader has not revoked its attempt. Without a leader they are renewed as long as all
// instances answer, which does not need the store.
package hfworker

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/heatherfront/heatherfront/hfwire"
)

// ErrTaskID reports a task id that was not made by TaskID.
var ErrTaskID = eris.New("not a task id")

// The states of a task on a worker.
const (
	StateHeld    = "held"    // has a lease, but is throttled to zero until its release
	StateRunning = "running" // after its release
	StateDone    = "done"
	StateFailed  = "failed"
	StateStopped = "stopped" // by a call or because its lease expired; final
)

// Gang identifies one attempt of a job.
type Gang struct {
	job     string
	attempt uint32
}

// NewGang returns the Gang of an attempt.
func NewGang(job string, attempt uint32) Gang { return Gang{job: job, attempt: attempt} }

// Job returns the job's id.
func (g Gang) Job() string { return g.job }

// Attempt returns the attempt, counted from 1.
func (g Gang) Attempt() uint32 { return g.attempt }

// TaskID returns the id of a gang's member. It contains all that an observer needs to
// decide whether the gang is complete, so that observers need no other source.
func TaskID(job string, attempt, index, size uint32) string {
	return fmt.Sprintf("%s.%d.%d.%d", job, attempt, index, size)
}

// ParseTask parses a task id and returns the task in the given state. The error is
// ErrTaskID.
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
