package hfgang

import "time"

const (
	estimateWeight  = 0.25 // weight of the latest run in the moving averages
	defaultEstimate = 10 * time.Minute
	overrunFactor   = 2 // a job that exceeds its estimate is expected to run this many times as long as it has so far
)

// estimate holds run time statistics of past jobs of one account and kind of work.
type estimate struct {
	meanRun       float64 // milliseconds, moving average over finished runs
	declaredRatio float64 // moving average of actual over declared run time
	runs          int
}

func (s *Scheduler) estimateKey(j *job) string { return s.account(j) + "/" + j.record.GetWork() }

// recordRunTime adds the run time of a finished job to its estimate.
func (s *Scheduler) recordRunTime(j *job) {
	r := j.record
	if r.GetState() != StateDone || r.GetStarted() == 0 {
		return
	}
	ran := float64(r.GetFinished()-r.GetStarted()) + float64(r.GetAttained())
	e := s.estimates[s.estimateKey(j)]
	if e == nil {
		e = &estimate{meanRun: ran, declaredRatio: 1}
		s.estimates[s.estimateKey(j)] = e
	}
	e.runs++
	e.meanRun += estimateWeight * (ran - e.meanRun)
	if r.GetRun() > 0 {
		e.declaredRatio += estimateWeight * (ran/float64(r.GetRun()) - e.declaredRatio)
	}
}

// expectedRemaining returns how much longer a job is likely to run. It multiplies a
// declared run time by the average ratio of actual to declared run time of past jobs of
// the same account and kind of work. Without a declared run time it uses the average of
// past runs.
func (s *Scheduler) expectedRemaining(j *job, now time.Time) time.Duration {
	total := defaultEstimate
	e := s.estimates[s.estimateKey(j)]
	declared := time.Duration(j.record.GetRun()) * time.Millisecond
	switch {
	case declared > 0 && e != nil:
		total = time.Duration(float64(declared) * e.declaredRatio)
	case declared > 0:
		total = declared
	case e != nil:
		total = time.Duration(e.meanRun) * time.Millisecond
	}
	done := time.Duration(j.record.GetAttained()) * time.Millisecond
	if j.state() == StateRunning {
		done += now.Sub(time.UnixMilli(j.record.GetStarted()))
	}
	if done >= total {
		return max(overrunFactor*done-done, time.Second)
	}
	return max(total-done, time.Second)
}
