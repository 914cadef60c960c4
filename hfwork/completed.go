package hfwork

import "slices"

// AllDone reports whether stored steps of an occurrence show that all its tasks are done.
func AllDone(j *Job, steps []*StepProgress) bool {
	for number, step := range j.GetSteps() {
		at := slices.IndexFunc(steps, func(s *StepProgress) bool { return int(s.GetStep()) == number })
		if step.GetCount() > 0 && (at < 0 || !stepDone(step, steps[at].GetDone())) {
			return false
		}
	}
	return true
}

// stepDone reports whether all tasks of a step are done. The members of a gang end together, but are
// not stored all at once.
func stepDone(step *Step, done []byte) bool {
	bits := uint32(0)
	for i := range step.GetCount() {
		if int(i/8) < len(done) && done[i/8]&(1<<(i%8)) != 0 {
			bits++
		}
	}
	return bits == step.GetCount() || step.GetGang() && bits > 0
}

// WithoutCompleted returns the progress of a job in the form of releases that do not know
// Progress.Completed: with all steps of the completed occurrences.
func WithoutCompleted(j *Job, p *Progress) *Progress {
	if len(p.GetCompleted()) == 0 {
		return p
	}
	whole := &Progress{State: p.GetState(), Ended: p.GetEnded(), Reason: p.GetReason(), Split: p.GetSplit()}
	for k := range uint32(len(p.GetCompleted()) * 8) {
		if p.GetCompleted()[k/8]&(1<<(k%8)) == 0 {
			continue
		}
		for number, step := range j.GetSteps() {
			done := make([]byte, (step.GetCount()+7)/8)
			for i := range step.GetCount() {
				done[i/8] |= 1 << (i % 8)
			}
			whole.Steps = append(whole.Steps, &StepProgress{Occurrence: k, Step: uint32(number), Done: done})
		}
	}
	whole.Steps = append(whole.Steps, p.GetSteps()...)
	return whole
}
