package hfwork

import "fmt"

// Limits of one job.
const (
	MaxSteps   = 64     // steps of a job
	MaxTasks   = 20_000 // tasks of a step
	MaxTimes   = 10_000 // occurrences of a timed job
	MaxCommand = 4_000  // bytes that its tasks are started with
	idLength   = 16
)

// Check tells why a job can never be accepted, or returns nil.
func Check(j *Job) error {
	if !validID(j.GetId()) {
		return fmt.Errorf("%w: id: must be %d hexadecimal digits", ErrJob, idLength)
	}
	if len(j.GetCommand()) > MaxCommand {
		return fmt.Errorf("%w: spec: is longer than %d bytes", ErrJob, MaxCommand)
	}
	if n := len(j.GetSteps()); n == 0 || n > MaxSteps {
		return fmt.Errorf("%w: steps: must be 1 to %d", ErrJob, MaxSteps)
	}
	if j.GetTimes() > MaxTimes || (j.GetTimes() > 1 && j.GetInterval() <= 0) {
		return fmt.Errorf("%w: repetitions: at most %d, with an interval above 0", ErrJob, MaxTimes)
	}
	for n, s := range j.GetSteps() {
		if s.GetCount() == 0 || s.GetCount() > MaxTasks {
			return fmt.Errorf("%w: steps.%d.count: must be 1 to %d", ErrJob, n, MaxTasks)
		}
		if s.GetCpu() < 0 || s.GetMemory() < 0 || s.GetAccelerators() < 0 || s.GetEstimate() < 0 {
			return fmt.Errorf("%w: steps.%d: a size is below 0", ErrJob, n)
		}
		for _, a := range s.GetAfter() {
			if int(a) >= n {
				return fmt.Errorf("%w: steps.%d.after: %d is no earlier step", ErrJob, n, a)
			}
		}
	}
	return nil
}

func validID(id string) bool {
	if len(id) != idLength {
		return false
	}
	for _, c := range id {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}
