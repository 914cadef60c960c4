package hfgang

import (
	"fmt"
	"slices"
	"time"

	"github.com/heatherfront/heatherfront/hfcrash"
	"github.com/heatherfront/heatherfront/hfwire"
	"github.com/heatherfront/heatherfront/hfworker"
)

const (
	// minUnrelatedLosses is how many other workers have to be lost at about the same time as those of
	// a gang to show that the gang has not crashed its own.
	minUnrelatedLosses = 3
	// unstableTime is how long the next crash of a worker is not counted as that of a gang that was
	// alone there: the worker may crash by itself.
	unstableTime = 30 * time.Second
	// lostPollTimeouts is the time that polls without an answer take until a worker counts as lost.
	lostPollTimeouts = 3 * time.Second
)

// loss is a counted attempt that was lost with a worker that has not reported since. Either the
// worker was restarted, or it was only cut off and still lists the member.
type loss struct {
	worker string
	task   string
	run    int64
	early  bool
}

// lossDelay is the greatest time from the end of a worker to the report that it is lost.
func (t Timing) lossDelay() time.Duration {
	return t.freshness() + maxHeartbeatTransit + lostPollTimeouts
}

func crashesOf(r *hfwire.Job) hfcrash.Count {
	c := r.GetCrashes()
	return hfcrash.New(c.GetTotal(), c.GetEarly(), c.GetAlone(), c.GetRun(), c.GetAloneRun())
}

func (s *Scheduler) storeCrashes(j *job, c hfcrash.Count) {
	j.record.Crashes = &hfwire.Crashes{Total: c.Total(), Early: c.Early(), Alone: c.Alone(), Run: c.Run(), AloneRun: c.AloneRun()}
	s.markDirty(j)
}

// countCrash counts the worker of a member against the job. The worker is lost, or was restarted,
// since a time. Only released attempts count, as a held member runs nothing. A worker that leaves
// as planned has not crashed.
func (s *Scheduler) countCrash(j *job, m *member, since time.Time, restarted bool) {
	w := s.workerOf(m)
	if m.lost || m.restarted || w.leaving || !j.record.GetReleased() || !j.record.GetIdempotent() {
		return
	}
	m.lost, m.restarted = !restarted, restarted
	started := time.UnixMilli(j.record.GetStarted())
	window := hfcrash.StartWindow + s.timing.lossDelay()
	if j.resumed {
		window += hfworker.RenewalPermit
	}
	early := since.Before(started.Add(window)) || !j.resumed && !m.seenRunning
	c := crashesOf(j.record)
	if c.Add(int64(j.record.GetAttempt()), since.Sub(started.Add(s.timing.lossDelay()))) {
		if c.Total() == 1 {
			j.losses = nil // those before are forgotten
		}
		j.lostAt, j.counted, j.countedEarly = since, true, early
		if early {
			c.AddEarly()
		}
		s.storeCrashes(j, c)
	}
	if early {
		w.lostUnder = true
	}
	m.alone = early && s.aloneOn(j, m) && !since.Before(w.unstableUntil)
	w.unstableUntil = since.Add(unstableTime)
}

// aloneOn reports whether no other job has a member on the worker of a member.
func (s *Scheduler) aloneOn(j *job, m *member) bool {
	return !slices.ContainsFunc(s.jobsOn(m.grant.GetWorker()), func(o *job) bool { return o != j })
}

// identifyCrash compares a member whose worker was lost with the first report of the worker since: if
// that does not list the member, the worker was restarted, and else it was only cut off.
func (m *member) identifyCrash(listed bool) {
	if m.lost {
		m.lost, m.restarted = false, !listed
	}
}

// settleCrashes decides whether an attempt that has ended counts as lost in a crash. It returns the
// reason if the job is not to be started again.
func (s *Scheduler) settleCrashes(j *job) (reason string, exhausted bool) {
	c := crashesOf(j.record)
	run := int64(j.record.GetAttempt())
	if j.counted && !j.crashed() || j.counted && s.lostAmongMany(j) {
		c.Remove(run, j.countedEarly)
		s.storeCrashes(j, c)
		return "", false
	}
	if c.Run() != run {
		return "", false
	}
	for _, m := range j.members {
		if m.lost {
			j.losses = append(j.losses, loss{worker: m.grant.GetWorker(), task: j.taskID(m.grant.GetIndex()), run: run, early: j.countedEarly})
		}
		if m.restarted && m.alone {
			c.AddAlone(run)
		}
	}
	if slices.ContainsFunc(j.members, func(m *member) bool { return m.restarted }) {
		j.forgetLosses(run) // proven
	}
	s.storeCrashes(j, c)
	switch {
	case c.ExhaustedAlone(len(j.members) > 1):
		return fmt.Sprintf("%d workers crashed while it ran alone on them", c.Alone()), true
	case c.Exhausted():
		return fmt.Sprintf("workers crashed in %d of its attempts", c.Total()), true
	}
	return "", false
}

// crashed reports whether a worker of the attempt has crashed or is lost.
func (j *job) crashed() bool {
	return slices.ContainsFunc(j.members, func(m *member) bool { return m.lost || m.restarted })
}

func (j *job) forgetLosses(run int64) {
	j.losses = slices.DeleteFunc(j.losses, func(l loss) bool { return l.run == run })
}

// lostAmongMany reports whether many workers were lost at about the same time as those of an attempt,
// on which neither it nor other jobs had just been released.
func (s *Scheduler) lostAmongMany(j *job) bool {
	unrelated := 0
	for name, w := range s.workers {
		apart := w.failedAt.Sub(j.lostAt).Abs()
		own := slices.ContainsFunc(j.members, func(m *member) bool { return m.grant.GetWorker() == name })
		if !w.failedAt.IsZero() && apart <= s.timing.lossDelay() && !w.lostUnder && !own {
			unrelated++
		}
	}
	return unrelated >= minUnrelatedLosses
}

// absolve takes back what was counted for a worker that was lost and still lists the member: it was only
// cut off. The attempt still counts if another of its workers is lost.
func (s *Scheduler) absolve(name string, w *worker) {
	for _, j := range sortedByID(s.open, func(j *job) bool { return len(j.losses) > 0 }) {
		i := slices.IndexFunc(j.losses, func(l loss) bool { return l.worker == name })
		if i < 0 {
			continue
		}
		l := j.losses[i]
		j.losses = slices.Delete(j.losses, i, i+1)
		if w.tasks[l.task] == nil {
			j.forgetLosses(l.run) // proven
			continue
		}
		if slices.ContainsFunc(j.losses, func(o loss) bool { return o.run == l.run }) {
			continue
		}
		c := crashesOf(j.record)
		c.Remove(l.run, l.early)
		s.storeCrashes(j, c)
	}
}
