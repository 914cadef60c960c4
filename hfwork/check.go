package hfwork

import "fmt"

// Limits of a job.
const (
	MaxSteps        = 64 // steps per job
	MaxTasksPerStep = 20_000
	MaxOccurrences  = 10_000  // occurrences of a repeated job
	MaxTasks        = 1 << 18 // tasks of all steps and occurrences
	MaxCommandBytes = 4_000   // bytes of the command with which the tasks are started
	maxTextBytes    = 1_000   // bytes of a label, an image or the name of a rack
	maxUnixMillis   = 1 << 53 // Unix milliseconds; beyond the year 280,000
	idDigits        = 16
)

// Limits of the resources of a worker and of a task. Sums over a million workers and products
// with the largest number of tasks of a step stay within an int64.
const (
	MaxCPU          = 1 << 32 // millicores
	MaxMemory       = 1 << 32 // MB
	MaxAccelerators = 1 << 20
	MaxMillis       = 1 << 40 // milliseconds of any duration, more than 30 years
	MaxEstimate     = 1 << 31 // milliseconds of a declared run time, 24 days
)

// ValidateJob validates a job. The error names the invalid field.
func ValidateJob(j *Job) error {
	if !IsValidID(j.GetId()) {
		return fmt.Errorf("%w: id: must be %d hexadecimal digits", ErrInvalidJob, idDigits)
	}
	if len(j.GetCommand()) > MaxCommandBytes {
		return fmt.Errorf("%w: spec: is longer than %d bytes", ErrInvalidJob, MaxCommandBytes)
	}
	if n := len(j.GetSteps()); n == 0 || n > MaxSteps {
		return fmt.Errorf("%w: steps: must be 1 to %d", ErrInvalidJob, MaxSteps)
	}
	if j.GetTimes() > 1 && j.GetInterval() <= 0 {
		return fmt.Errorf("%w: interval_ms: must be above 0", ErrInvalidJob)
	}
	if err := CheckSizes(j); err != nil {
		return err
	}
	for n, s := range j.GetSteps() {
		if s.GetCount() == 0 {
			return fmt.Errorf("%w: steps.%d.count: must be 1 to %d", ErrInvalidJob, n, MaxTasksPerStep)
		}
		for _, a := range s.GetAfter() {
			if int(a) >= n {
				return fmt.Errorf("%w: steps.%d.after: %d is no earlier step", ErrInvalidJob, n, a)
			}
		}
	}
	return nil
}

// CheckSizes returns an error if a number or a size of a job is out of range, so that a scheduler
// cannot hold or calculate with it.
func CheckSizes(j *Job) error {
	if j.GetTimes() > MaxOccurrences || !within(j.GetInterval(), 0, MaxMillis) || !within(j.GetFirst(), -maxUnixMillis, maxUnixMillis) {
		return fmt.Errorf("%w: repetitions: at most %d, with times within limits", ErrInvalidJob, MaxOccurrences)
	}
	if len(j.GetSteps()) > MaxSteps {
		return fmt.Errorf("%w: steps: must be 1 to %d", ErrInvalidJob, MaxSteps)
	}
	tasks := int64(0)
	for n, s := range j.GetSteps() {
		if s.GetCount() > MaxTasksPerStep {
			return fmt.Errorf("%w: steps.%d.count: must be 1 to %d", ErrInvalidJob, n, MaxTasksPerStep)
		}
		if !within(s.GetCpu(), 0, MaxCPU) || !within(s.GetMemory(), 0, MaxMemory) || !within(s.GetAccelerators(), 0, MaxAccelerators) ||
			!within(s.GetEstimate(), 0, MaxEstimate) || !within(s.GetTarget(), 0, MaxMillis) {
			return fmt.Errorf("%w: steps.%d: a size is out of range", ErrInvalidJob, n)
		}
		if len(s.GetLabel()) > maxTextBytes || len(s.GetNear()) > maxTextBytes || len(s.GetImage()) > maxTextBytes {
			return fmt.Errorf("%w: steps.%d: a text is longer than %d bytes", ErrInvalidJob, n, maxTextBytes)
		}
		tasks += int64(s.GetCount())
	}
	if tasks*int64(max(j.GetTimes(), 1)) > MaxTasks {
		return fmt.Errorf("%w: steps: more than %d tasks", ErrInvalidJob, MaxTasks)
	}
	return nil
}

func within(n, lowest, highest int64) bool { return n >= lowest && n <= highest }

// IsValidID reports whether id has idDigits hexadecimal digits.
func IsValidID(id string) bool {
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
