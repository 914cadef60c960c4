package hfgang

import "time"

const (
	estimateWeight  = 0.25 // weight of the newest run in an average
	defaultEstimate = 10 * time.Minute
	overrunFactor   = 2 // a job that ran longer than expected is expected to run this many times as long
)

// estimate is what past jobs of one account and kind of work say of the next.
type estimate struct {
	run   float64 // milliseconds, average of finished runs
	ratio float64 // average of finished over declared run time
	count int
}

func (s *Scheduler) learnedKey(j *job) string { return s.account(j) + "/" + j.record.GetWork() }

// learn takes the run time of a finished job into its estimate.
func (s *Scheduler) learn(j *job) {
	r := j.record
	if r.GetState() != StateDone || r.GetStarted() == 0 {
		return
	}
	ran := float64(r.GetFinished()-r.GetStarted()) + float64(r.GetAttained())
	e := s.learned[s.learnedKey(j)]
	if e == nil {
		e = &estimate{run: ran, ratio: 1}
		s.learned[s.learnedKey(j)] = e
	}
	e.count++
	e.run += estimateWeight * (ran - e.run)
	if r.GetRun() > 0 {
		e.ratio += estimateWeight * (ran/float64(r.GetRun()) - e.ratio)
	}
}

// expected returns how long a job is likely to run from now on. A declared time is
// corrected by how far off the account's declarations have been; without one, the
// average of past runs stands in.
func (s *Scheduler) expected(j *job, now time.Time) time.Duration {
	total := defaultEstimate
	e := s.learned[s.learnedKey(j)]
	declared := time.Duration(j.record.GetRun()) * time.Millisecond
	switch {
	case declared > 0 && e != nil:
		total = time.Duration(float64(declared) * e.ratio)
	case declared > 0:
		total = declared
	case e != nil:
		total = time.Duration(e.run) * time.Millisecond
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
