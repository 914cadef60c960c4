package hfwork

import "fmt"

// Limits of a job.
const (
	MaxSteps        = 64 // steps per job
	MaxTasksPerStep = 20_000
	MaxOccurrences  = 10_000 // occurrences of a repeated job
	MaxCommandBytes = 4_000  // bytes of the command with which the tasks are started
	idDigits        = 16
)

// Limits of the resources of a worker and of a task. Sums over a million workers and products
// with the largest number of tasks of a step stay within an int64.
const (
	MaxCPU          = 1 << 32 // millicores
	MaxMemory       = 1 << 32 // MB
	MaxAccelerators = 1 << 20
	MaxMillis       = 1 << 40 // milliseconds of any duration, more than 30 years
)

// ValidateJob validates a job. The error names the invalid field.
func ValidateJob(j *Job) error {
	if !isValidID(j.GetId()) {
		return fmt.Errorf("%w: id: must be %d hexadecimal digits", ErrInvalidJob, idDigits)
	}
	if len(j.GetCommand()) > MaxCommandBytes {
		return fmt.Errorf("%w: spec: is longer than %d bytes", ErrInvalidJob, MaxCommandBytes)
	}
	if n := len(j.GetSteps()); n == 0 || n > MaxSteps {
		return fmt.Errorf("%w: steps: must be 1 to %d", ErrInvalidJob, MaxSteps)
	}
	if j.GetTimes() > MaxOccurrences || (j.GetTimes() > 1 && j.GetInterval() <= 0) {
		return fmt.Errorf("%w: repetitions: at most %d, with an interval above 0", ErrInvalidJob, MaxOccurrences)
	}
	for n, s := range j.GetSteps() {
		if s.GetCount() == 0 || s.GetCount() > MaxTasksPerStep {
			return fmt.Errorf("%w: steps.%d.count: must be 1 to %d", ErrInvalidJob, n, MaxTasksPerStep)
		}
		if s.GetCpu() < 0 || s.GetMemory() < 0 || s.GetAccelerators() < 0 || s.GetEstimate() < 0 {
			return fmt.Errorf("%w: steps.%d: a size is below 0", ErrInvalidJob, n)
		}
		for _, a := range s.GetAfter() {
			if int(a) >= n {
				return fmt.Errorf("%w: steps.%d.after: %d is no earlier step", ErrInvalidJob, n, a)
			}
		}
	}
	return nil
}

// isValidID reports whether id has idDigits hexadecimal digits.
func isValidID(id string) bool {
	if len(id) != idDigits {
		return false
	}
	for _, c := range id {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}
