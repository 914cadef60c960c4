package hfgang

import (
	"slices"
	"time"

	"github.com/heatherfront/heatherfront/hfwire"
)

const (
	asideAfter   = 3                // distinct jobs that failed on a worker and nowhere else
	poisonAfter  = 3                // distinct workers on which a job failed
	failuresMost = 6                // failed attempts of one job, whatever the workers
	probeFirst   = 30 * time.Second // time a worker is set aside before its first probe
	probeLongest = 10 * time.Minute
)

// blame is what speaks against a worker since its last success. It is keyed by the
// worker, counts final outcomes of members and leaves out cancelled, preempted and
// lost ones.
type blame struct {
	failed  map[string]bool // jobs whose member failed here
	aside   bool
	probing string    // the one job that may run here while the worker is on probe
	onProbe bool      // usable again, for one job at a time
	until   time.Time // set aside until then
	tries   int       // times it was set aside since its last success
}

// failed handles a member that ran and failed: it decides whether the job or the
// worker is at fault.
func (s *Scheduler) failed(j *job, m *member, now time.Time) []Cmd {
	name := m.grant.GetWorker()
	r := j.record
	r.Failures++
	if !slices.Contains(r.GetSuspects(), name) {
		r.Suspects = append(r.Suspects, name)
	}
	cmds := s.blame(name, j, now)
	why := "its member on worker " + name + " failed"
	switch {
	case !r.GetIdempotent():
		return append(cmds, s.stop(j, StateFailed, why, now)...)
	case s.poison(j):
		return append(cmds, s.stop(j, StateFailed, "it failed on several workers that run other jobs well: the job is at fault", now)...)
	default:
		return append(cmds, s.stop(j, StateQueued, why, now)...)
	}
}

// poison tells whether a job is at fault: it failed on several workers that are
// not set aside, or too often.
func (s *Scheduler) poison(j *job) bool {
	if j.record.GetFailures() >= failuresMost {
		return true
	}
	good := 0
	for _, name := range j.record.GetSuspects() {
		if w, ok := s.workers[name]; !ok || !w.record.aside {
			good++
		}
	}
	return good >= poisonAfter
}

// blame counts a failure against a worker and sets it aside when enough jobs
// failed there that failed nowhere else.
func (s *Scheduler) blame(name string, j *job, now time.Time) []Cmd {
	w, ok := s.workers[name]
	if !ok {
		return nil
	}
	if w.record.failed == nil {
		w.record.failed = map[string]bool{}
	}
	w.record.failed[j.id()] = true
	if w.record.onProbe {
		return s.setAside(name, w, now)
	}
	speaks := 0
	for id := range w.record.failed {
		if o, ok := s.jobs[id]; ok && len(o.record.GetSuspects()) == 1 {
			speaks++
		}
	}
	if w.record.aside || speaks < asideAfter {
		return nil
	}
	return s.setAside(name, w, now)
}

func (s *Scheduler) setAside(name string, w *worker, now time.Time) []Cmd {
	wait := min(probeFirst<<w.record.tries, probeLongest)
	w.record.tries++
	w.record.aside, w.record.onProbe, w.record.probing = true, false, ""
	w.record.until = now.Add(wait)
	s.refreshUsable()
	s.resurvey, s.stale = true, true
	return []Cmd{AsideCmd{worker: name}}
}

// blameRefusal makes a job avoid a worker that did not start its member, without
// counting a failure against either.
func (s *Scheduler) blameRefusal(j *job, m *member) {
	j.avoid = m.grant.GetWorker()
}

// probe lets workers whose time aside is over take one job.
func (s *Scheduler) probe(now time.Time) []Cmd {
	for _, w := range s.workers {
		if w.record.aside && !now.Before(w.record.until) {
			w.record.aside, w.record.onProbe = false, true
			s.refreshUsable()
			s.resurvey, s.stale = true, true
		}
	}
	return nil
}

// clearBlame takes a success as proof that its workers are well, and tells which of
// them take work again.
func (s *Scheduler) clearBlame(j *job) []Cmd {
	var cmds []Cmd
	for _, m := range j.members {
		w, ok := s.workers[m.grant.GetWorker()]
		if !ok {
			continue
		}
		if w.record.tries > 0 {
			cmds = append(cmds, AsideCmd{worker: m.grant.GetWorker(), back: true})
		}
		w.record = blame{}
	}
	return cmds
}

// probeFree tells whether a job may use the workers on probe in a block: only an
// idempotent one, and one at a time.
func (s *Scheduler) probeFree(j *job, grants []*hfwire.Grant) bool {
	for _, g := range grants {
		w := s.workers[g.GetWorker()]
		if w == nil || !w.record.onProbe {
			continue
		}
		if !j.record.GetIdempotent() || s.busyWorker(g.GetWorker()) {
			return false
		}
	}
	return true
}

// onProbe tells whether an accelerator's worker is on probe.
func (s *Scheduler) onProbe(accelerator int) bool {
	w := s.workers[s.layout.sites[s.layout.at[accelerator]].worker.Name()]
	return w != nil && w.record.onProbe
}

func (s *Scheduler) busyWorker(name string) bool {
	st := s.layout.sites[s.layout.index[name]]
	for a := range st.worker.Accelerators() {
		if s.held[st.start+a] != nil {
			return true
		}
	}
	return false
}
