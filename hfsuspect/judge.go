// Package hfsuspect judges workers by how runs end on them: which may fail whatever they start, and
// which have shown lately that they do not.
package hfsuspect

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// QuarantineJobs is how many distinct jobs must fail on a worker, with no sign of its health in
	// between, for it to be quarantined. After that, one more suffices.
	QuarantineJobs = 2
	// MinQuarantine is the first quarantine. It doubles with each further one.
	MinQuarantine = 2 * time.Second
	// MaxQuarantine limits how long a recovered worker is idle while tasks wait.
	MaxQuarantine = 6 * time.Second
	// TrialTime is how long after its quarantine a worker stays a suspect if nothing is tried on it.
	TrialTime = 2 * time.Second
	// SuspicionTime is how long a worker stays a suspect after a failure if nothing is tried on it.
	SuspicionTime = 6 * time.Second
	// OutbreakTime is how long an outbreak lasts after the last sign of it.
	OutbreakTime = 6 * time.Second
	// MaxShare is the share of the workers of a pool that may be avoided at once, though always one. If
	// more seem to be bad, it is the jobs, or a fault everywhere.
	MaxShare = 0.25
	// OutbreakShare is the share of the workers of a pool that must be suspects for an outbreak, if none
	// failed several jobs. Single tasks fail by chance at any time.
	OutbreakShare = 0.01
	// MinOutbreak is the least number of suspects for an outbreak, if none failed several jobs.
	MinOutbreak = 3

	maxDoublings = 8 // bounds the exponent of the backoff
)

// Failure is the end of a run that failed.
type Failure struct {
	Worker, Pool, Job string

	Started time.Time // of the run; zero if that is not known
	Early   bool      // it failed soon after its start, as all runs on a bad worker do
}

// worker is the record of a worker.
type worker struct {
	pool             string
	early            map[string]time.Time // start of the first run of each job that failed early, since the last proof
	other            map[string]bool      // jobs that failed otherwise, since the last success
	lastStart        time.Time            // latest start of a run that failed early since the last proof; zero if there is none
	failedStart      time.Time            // the same, but kept after a proof
	failedAt         time.Time            // last early failure
	lapsesAt         time.Time            // when it stops being a suspect without a proof
	provedStart      time.Time            // latest start of a run that went well
	quarantines      int                  // since the last proof, or success if none failed early
	quarantinedUntil time.Time            // only for failures, as the caller may extend it for other reasons
}

func (w *worker) suspect() bool { return !w.lastStart.IsZero() }

// jobs returns the number of distinct jobs that speak against the worker.
func (w *worker) jobs() int {
	n := len(w.early)
	for id := range w.other {
		if _, counted := w.early[id]; !counted {
			n++
		}
	}
	return n
}

// lapse ends the suspicion without a proof: the next quarantine is still longer than the last one.
func (w *worker) lapse() {
	clear(w.early)
	clear(w.other)
	w.lastStart = time.Time{}
}

// pool is the state of a pool at the last review.
type pool struct {
	since   time.Time       // start of the outbreak
	until   time.Time       // end of the outbreak, unless there is another sign of it
	avoided map[string]bool // suspects within MaxShare
}

// Judge weighs the failures on all workers. It is a state machine without a clock.
type Judge struct {
	workers  map[string]*worker
	suspects map[string]*worker // those of workers that are suspects
	pools    map[string]*pool
}

// New returns a Judge that trusts all workers.
func New() *Judge {
	return &Judge{workers: map[string]*worker{}, suspects: map[string]*worker{}, pools: map[string]*pool{}}
}

func (j *Judge) worker(id, poolName string) *worker {
	w := j.workers[id]
	if w == nil {
		w = &worker{early: map[string]time.Time{}, other: map[string]bool{}}
		j.workers[id] = w
	}
	w.pool = cmp.Or(poolName, w.pool)
	return w
}

func (j *Judge) pool(name string) *pool {
	p := j.pools[name]
	if p == nil {
		p = &pool{avoided: map[string]bool{}}
		j.pools[name] = p
	}
	return p
}

// Forget drops the record of a worker that has left or restarted.
func (j *Judge) Forget(id string) {
	delete(j.workers, id)
	delete(j.suspects, id)
}

// Failed weighs a failure against a worker. It reports whether the worker is to be quarantined: at
// most MaxShare of the given number of workers in its pool are.
func (j *Judge) Failed(f Failure, poolSize int, now time.Time) bool {
	w := j.worker(f.Worker, f.Pool)
	switch {
	case !f.Early:
		w.other[f.Job] = true
	case f.Started.Before(w.provedStart):
		return false // what was started later went well
	default:
		j.suspects[f.Worker] = w
		if first, counted := w.early[f.Job]; !counted || f.Started.Before(first) {
			w.early[f.Job] = f.Started
		}
		if f.Started.After(w.lastStart) {
			w.lastStart, w.failedStart = f.Started, f.Started
		}
		w.failedAt = now
		if at := now.Add(SuspicionTime); at.After(w.lapsesAt) {
			w.lapsesAt = at
		}
	}
	if w.jobs() < QuarantineJobs && w.quarantines == 0 {
		return false
	}
	quarantined := 0
	for _, o := range j.workers {
		if o != w && o.pool == w.pool && now.Before(o.quarantinedUntil) {
			quarantined++
		}
	}
	return quarantined < limit(poolSize)
}

// limit returns how many workers of a pool may be avoided.
func limit(poolSize int) int { return max(1, int(MaxShare*float64(poolSize))) }

// Quarantine begins a quarantine of a worker and returns its end.
func (j *Judge) Quarantine(id, poolName string, now time.Time) time.Time {
	w := j.worker(id, poolName)
	w.quarantinedUntil = now.Add(min(MinQuarantine<<w.quarantines, MaxQuarantine))
	w.quarantines = min(w.quarantines+1, maxDoublings)
	clear(w.other)
	if at := w.quarantinedUntil.Add(TrialTime); at.After(w.lapsesAt) {
		w.lapsesAt = at
	}
	return w.quarantinedUntil
}

// Proved notes that a run which was started on the worker at the given time went well beyond the time
// within which runs on a bad worker fail. It reports whether that ends a suspicion: not if a run that
// was started later has failed.
func (j *Judge) Proved(id, poolName string, started time.Time) bool {
	w := j.worker(id, poolName)
	if started.After(w.provedStart) {
		w.provedStart = started
	}
	if !w.suspect() || started.Before(w.lastStart) {
		return false
	}
	delete(j.suspects, id)
	w.lapse()
	w.quarantines = 0
	return true
}

// Succeeded notes that a run ended as done, whenever it was started. That does not clear a worker on
// which a run has failed early: what runs on a bad worker goes on.
func (j *Judge) Succeeded(id string) {
	if w := j.workers[id]; w != nil {
		clear(w.other)
		if !w.suspect() {
			w.quarantines = 0
		}
	}
}

// Withdraw drops what a job that is at fault itself has said against workers. It returns the workers
// that are no longer to be quarantined, in order.
func (j *Judge) Withdraw(job string) []string {
	var released []string
	for id, w := range j.workers {
		_, early := w.early[job]
		if !early && !w.other[job] {
			continue
		}
		before := w.jobs()
		delete(w.early, job)
		delete(w.other, job)
		if early && len(w.early) == 0 {
			delete(j.suspects, id)
			w.lastStart = time.Time{}
		}
		if before >= QuarantineJobs && w.jobs() < QuarantineJobs && w.quarantines > 0 {
			w.quarantines, w.quarantinedUntil = 0, time.Time{}
			released = append(released, id)
		}
	}
	slices.Sort(released)
	return released
}

// Distrust begins an outbreak for which there is no evidence yet, as after a change of the leader.
func (j *Judge) Distrust(poolName string, now time.Time) {
	if p := j.pool(poolName); !now.Before(p.until) {
		p.since, p.until = now, now.Add(OutbreakTime)
	}
}

// Calm reports whether no worker is a suspect and there is no outbreak.
func (j *Judge) Calm(now time.Time) bool {
	if len(j.suspects) > 0 {
		return false
	}
	for _, p := range j.pools {
		if now.Before(p.until) {
			return false
		}
	}
	return true
}

// Review updates what the answers below are based on: it ends suspicions that have lapsed, chooses the
// workers to avoid, and decides whether there is an outbreak. size returns the number of workers of a pool.
// It returns the suspects that are not avoided, as too many seem to be bad.
func (j *Judge) Review(size func(poolName string) int, now time.Time) (spared int) {
	suspects := map[string][]string{}
	for id, w := range j.suspects {
		if !now.Before(w.lapsesAt) {
			delete(j.suspects, id)
			w.lapse()
			continue
		}
		suspects[w.pool] = append(suspects[w.pool], id)
	}
	for _, p := range j.pools {
		clear(p.avoided)
	}
	for name, ids := range suspects {
		p := j.pool(name)
		slices.SortFunc(ids, func(a, b string) int {
			x, y := j.workers[a], j.workers[b]
			return cmp.Or(cmp.Compare(y.jobs(), x.jobs()), cmp.Compare(y.quarantines, x.quarantines), y.failedAt.Compare(x.failedAt), cmp.Compare(a, b))
		})
		workers := size(name)
		outbreak := len(ids) >= max(MinOutbreak, int(OutbreakShare*float64(workers)))
		first := now
		for _, id := range ids {
			w := j.workers[id]
			outbreak = outbreak || len(w.early) >= QuarantineJobs
			for _, started := range w.early {
				if started.Before(first) {
					first = started
				}
			}
		}
		if outbreak {
			if !now.Before(p.until) {
				p.since = first
			}
			p.until = now.Add(OutbreakTime)
		}
		avoided := ids[:min(len(ids), limit(workers))]
		for _, id := range avoided {
			p.avoided[id] = true
		}
		spared += len(ids) - len(avoided)
	}
	return spared
}

// Avoided reports whether a worker of a pool is a suspect, as of the last review.
func (j *Judge) Avoided(poolName, id string) bool {
	p := j.pools[poolName]
	return p != nil && p.avoided[id]
}

// AvoidsAny reports whether a pool has suspects, as of the last review.
func (j *Judge) AvoidsAny(poolName string) bool {
	p := j.pools[poolName]
	return p != nil && len(p.avoided) > 0
}

// AvoidedWorkers returns the suspects of a pool as of the last review, in order.
func (j *Judge) AvoidedWorkers(poolName string) []string {
	p := j.pools[poolName]
	if p == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(p.avoided))
}

// Outbreak reports whether several workers of a pool seem to be bad, or one seems so to several jobs, and
// since when.
func (j *Judge) Outbreak(poolName string, now time.Time) (since time.Time, ok bool) {
	p := j.pools[poolName]
	if p == nil || !now.Before(p.until) {
		return time.Time{}, false
	}
	return p.since, true
}

// ProvedSince reports whether a run that was started on a worker at the given time or later, and since its
// last early failure, went well.
func (j *Judge) ProvedSince(id string, since time.Time) bool {
	w := j.workers[id]
	return w != nil && !w.suspect() && !w.provedStart.IsZero() && !w.provedStart.Before(since) && !w.provedStart.Before(w.failedStart)
}

// AllSuspects returns the suspects of all pools, in order.
func (j *Judge) AllSuspects() []string { return slices.Sorted(maps.Keys(j.suspects)) }

// LastStart returns the start of the latest run that failed early on a suspect. What was started there
// later, and has not failed, may prove that it is sound.
func (j *Judge) LastStart(id string) time.Time {
	if w := j.workers[id]; w != nil {
		return w.lastStart
	}
	return time.Time{}
}

// Suspects returns the number of suspects in all pools.
func (j *Judge) Suspects() int { return len(j.suspects) }
