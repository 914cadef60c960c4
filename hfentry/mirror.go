// Package hfentry implements an entry instance for the queues of a platform. It accepts jobs,
// cancellations and queries from callers, mirrors the store in memory, and takes part in the
// election of the leader, the one instance that runs the scheduler.
package hfentry

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/heatherfront/heatherfront/hfbudget"
	"github.com/heatherfront/heatherfront/hfevent"
	"github.com/heatherfront/heatherfront/hfstore"
	"github.com/heatherfront/heatherfront/hfwire"
	"github.com/heatherfront/heatherfront/hfwork"
)

// Keys and key prefixes in the store.
const (
	recordPrefix   = "hf/"         // all keys below, which only this program writes
	jobPrefix      = "hf/work/"    // a job as submitted, by id
	progressPrefix = "hf/state/"   // the progress of a job, written by the leader
	cancelPrefix   = "hf/cancel/"  // exists if a job was cancelled
	leadKey        = "hf/lead"     // the leader, under its lease
	termKey        = "hf/term"     // the number of the last leadership, see fencedWriter
	wavePrefix     = "hf/wave/"    // the progress of a wave of upkeep, by number
	accountsKey    = "hf/accounts" // the history of the client accounts, written by the leader
	rosterKey      = "hf/roster"   // workers on which tasks may have been started
	peerPrefix     = "hf/peer/"    // an entry instance, by name
)

// Formats knows the keys and encodings of the platform's entries in the store.
type Formats interface {
	// PolicyPrefix returns the prefix of all keys that operators write.
	PolicyPrefix() string
	// PolicyKey returns the key of the queues' configuration.
	PolicyKey() string
	// WorkerPrefix returns the prefix of the workers' entries. The rest of such a key is the
	// worker's id.
	WorkerPrefix() string
	// EvacuationPrefix returns the prefix of the entries of evacuated failure domains. The rest of such
	// a key is the name of the domain.
	EvacuationPrefix() string
	// WavePrefix returns the prefix of the waves of upkeep that operators request.
	WavePrefix() string
	// Wave decodes a wave, whose deadline is relative to from.
	Wave(raw []byte, from time.Time) (*hfwork.Wave, error)
	// WaveStatus returns the key and value that show operators the progress of a wave.
	WaveStatus(w *hfwork.Wave) (key string, value []byte, err error)
	// Policy decodes the configuration of the queues. Parts that are invalid are not in it.
	Policy(raw []byte) (*hfwork.Policy, []InvalidPart, error)
	// Worker decodes a worker's entry.
	Worker(id string, raw []byte) (*hfwork.Worker, error)
}

// jobRecord holds one job and its progress.
type jobRecord struct {
	job        *hfwork.Job // nil if only its progress or cancellation is known
	progress   *hfwork.Progress
	jobVersion int64     // store revision of the job
	version    int64     // store revision of the progress
	endSeen    time.Time // when a final state was first applied, on the clock of Mirror.receivedAt; zero before
	cancelled  bool
	memory     int64          // bytes that are counted for the job in Mirror.memory
	recorded   int64          // part of memory that each instance holds, in Mirror.recorded
	owner      hfbudget.Owner // for whom they are counted
	told       bool           // the leader has told that it has completed, before that is stored
	shown      bool           // it is shown as completed, also before that is stored
	unreadable bool           // the progress cannot be read, so that where its tasks run is not known
}

// state returns the state that callers see.
func (r *jobRecord) state() string {
	if r.shown {
		return hfwork.StateCompleted
	}
	if s := r.progress.GetState(); hfwork.IsFinal(s) {
		return s
	}
	if r.cancelled {
		return hfwork.StateCancelled
	}
	if s := r.progress.GetState(); s != "" {
		return s
	}
	return hfwork.StateQueued
}

// entryWrite describes the last write of a worker's entry.
type entryWrite struct {
	version int64     // store revision of the write
	after   time.Time // the entry was written after this time; zero if unknown
	mayEnd  time.Time // earliest time at which its worker may end as it drains; zero if unknown
}

// Mirror is a copy of the store in memory, kept current by watches.
type Mirror struct {
	formats           Formats
	policy            *policyIndex
	policyVersion     int64  // store revision of the configuration
	policyMsgs        uint64 // number of messages with the configuration that were built
	accounts          accounts
	pools             map[string]bool // that a configuration has named; kept after the pool is removed
	jobs              map[string]*jobRecord
	memory            *hfbudget.Budget         // of the jobs
	withdrawals       map[string][]*withdrawal // by job id
	workers           map[string]*hfwork.Worker
	lastWrites        map[string]entryWrite // of the workers' entries, including invalid ones
	leftWorkers       map[string]bool       // workers in the roster that have left as planned; see hasLeft
	workerRevision    int64                 // all events of the workers' entries up to this store revision are applied
	policyRevision    int64                 // all events of what operators write up to this store revision are applied
	departuresFrom    int64                 // departures are reported once workerRevision has reached this store revision
	writtenAfter      time.Time             // the items that are applied next were written after this time; zero if unknown
	receivedAt        time.Time             // when the items that are applied next were received, on a clock that never stops or jumps
	heartbeatInterval func() time.Duration  // at which workers write their entries
	roster            *hfwork.Roster
	evacuated         map[string]bool        // failure domains whose workers get no tasks
	requestedWaves    map[int64]*hfwork.Wave // as requested by operators, by number
	storedWaves       map[int64]*hfwork.Wave // as stored by the leader, by number
	lead              *hfwork.Lead           // nil while there is no leader
	lastLead          *hfwork.Lead           // the last leader that is known, nil before the first
	leadEpoch         int64                  // of the latest leader that is known
	term              int64
	appliedRevision   int64                       // all our records up to this store revision are applied
	instances         map[string]*hfwork.Instance // by name; includes this one and some that have ended
	recorded          int64                       // bytes of the records of all jobs
	instanceIPs       map[string]bool             // of the instances but this one; nil if it has to be made anew
	rejected          *hfevent.Rejections         // entries that were last invalid, by key
}

// NewMirror returns an empty mirror. Workers write their entries at the heartbeat interval.
func NewMirror(f Formats, heartbeatInterval time.Duration) *Mirror {
	return &Mirror{
		memory: hfbudget.New(defaultMemoryMB << 20 / acceptedShare), formats: f, pools: map[string]bool{}, withdrawals: map[string][]*withdrawal{}, jobs: map[string]*jobRecord{}, workers: map[string]*hfwork.Worker{}, roster: &hfwork.Roster{},
		lastWrites: map[string]entryWrite{}, leftWorkers: map[string]bool{}, heartbeatInterval: func() time.Duration { return heartbeatInterval },
		evacuated: map[string]bool{}, requestedWaves: map[int64]*hfwork.Wave{}, storedWaves: map[int64]*hfwork.Wave{}, instances: map[string]*hfwork.Instance{},
		rejected: hfevent.NewRejections(maxKeyBytes),
	}
}

// change describes the effect of an applied item.
type change struct {
	job        string       // id of a job that was added or cancelled
	wave       *hfwork.Wave // requested wave, with its progress
	leftWorker string       // id of a worker that has left as planned
	workers    bool
	policy     bool
	accounts   bool // the history of the accounts
	lead       bool
	err        error      // the value, or a part of it, is invalid; the previous one stays in use
	rejection  *rejection // describes err, nil if there is none
}

// Reset replaces the part of the mirror below a prefix by a complete list of its items. Jobs and
// withdrawals that were stored after the revision of the list are kept: this instance has read or
// written them itself meanwhile.
func (m *Mirror) Reset(prefix string, items []hfstore.Item, revision int64) []change {
	var changes []change
	switch prefix {
	case m.formats.WorkerPrefix():
		m.workers, m.lastWrites = map[string]*hfwork.Worker{}, map[string]entryWrite{}
		clear(m.leftWorkers) // a worker may have returned and lost its entry again since
		changes = append(changes, change{workers: true})
	case m.formats.PolicyPrefix():
		m.evacuated = map[string]bool{}
		changes = append(changes, change{workers: true})
	case recordPrefix:
		m.lead, m.instances, m.instanceIPs = nil, map[string]*hfwork.Instance{}, nil
		changes = append(changes, change{lead: true})
	}
	m.writtenAfter = time.Time{} // the age of the entries in a list is not known
	keys := make([]string, 0, len(items))
	for _, i := range items {
		keys = append(keys, i.Key())
	}
	m.rejected.Retain(prefix, keys)
	listedJobs, listedKeys, complete := map[string]bool{}, map[string]bool{}, true
	for _, i := range items {
		complete = complete && i.Key() != "" // the key of an unreadable item may be missing
		listedKeys[i.Key()] = true
		if id, ok := strings.CutPrefix(i.Key(), jobPrefix); ok {
			listedJobs[id] = true
		}
		changes = append(changes, m.Apply(i))
	}
	if prefix == recordPrefix && complete {
		for id, r := range m.jobs {
			if !listedJobs[id] && r.jobVersion <= revision {
				m.removeJob(id)
			}
		}
		m.retainWithdrawals(listedKeys, revision)
	}
	return append(changes, m.advance(prefix, revision)...)
}

// advance records that all events below a prefix up to a revision are applied.
func (m *Mirror) advance(prefix string, revision int64) []change {
	switch prefix {
	case recordPrefix:
		m.appliedRevision = max(m.appliedRevision, revision)
	case m.formats.PolicyPrefix():
		m.policyRevision = max(m.policyRevision, revision)
	case m.formats.WorkerPrefix():
		withheld := m.workerRevision < m.departuresFrom
		m.workerRevision = max(m.workerRevision, revision)
		if withheld && m.workerRevision >= m.departuresFrom {
			return m.departures()
		}
	}
	return nil
}

// watchedRevision returns the store revision up to which all events below the prefix of a watch are applied.
func (m *Mirror) watchedRevision(prefix string) int64 {
	switch prefix {
	case recordPrefix:
		return m.appliedRevision
	case m.formats.PolicyPrefix():
		return m.policyRevision
	case m.formats.WorkerPrefix():
		return m.workerRevision
	}
	return 0
}

// departures returns a change for each worker that has left.
func (m *Mirror) departures() []change {
	var changes []change
	for _, id := range slices.Sorted(maps.Keys(m.leftWorkers)) {
		if m.hasLeft(id) {
			changes = append(changes, change{leftWorker: id})
		}
	}
	return changes
}

// hasLeft reports whether a worker has left as planned and has not returned under its id by
// the revision from which the scheduler started. An older departure says nothing about the runs
// that the scheduler knows.
func (m *Mirror) hasLeft(id string) bool {
	return m.leftWorkers[id] && m.workerRevision >= m.departuresFrom
}

// withholdDepartures withholds departures until all events of the workers' entries up to a
// store revision are applied.
func (m *Mirror) withholdDepartures(revision int64) { m.departuresFrom = revision }

// setWriteTimes sets between which times the items that are applied next were written. after
// is zero if it is not known.
func (m *Mirror) setWriteTimes(after, receivedAt time.Time) {
	m.writtenAfter, m.receivedAt = after, receivedAt
}

// applyUnwatched applies items that did not come from a watch, so that it is not known after which time they
// were written.
func (m *Mirror) applyUnwatched(receivedAt time.Time, items ...hfstore.Item) []change {
	m.setWriteTimes(time.Time{}, receivedAt)
	changes := make([]change, 0, len(items))
	for _, i := range items {
		changes = append(changes, m.Apply(i))
	}
	return changes
}

// Apply applies one listed item or watched event.
func (m *Mirror) Apply(i hfstore.Item) change {
	c := m.apply(i)
	if c.err != nil {
		c.rejection = m.reject(i, c.err)
	}
	if i.Deleted() {
		m.rejected.Forget(i.Key())
	}
	return c
}

func (m *Mirror) apply(i hfstore.Item) change {
	key := i.Key()
	switch {
	case i.Err() != nil:
		return m.applyUnreadable(i)
	case key == m.formats.PolicyKey():
		return m.applyPolicy(i)
	case key == leadKey:
		return m.applyLead(i)
	case key == termKey:
		lead, err := hfwire.Decode(i.Value(), &hfwork.Lead{})
		m.term = max(m.term, lead.GetTerm())
		return change{err: err}
	case key == rosterKey:
		roster, err := hfwire.Decode(i.Value(), &hfwork.Roster{})
		if err == nil {
			m.roster = roster
			m.pruneLeftWorkers()
		}
		return change{err: err}
	case key == accountsKey:
		return m.applyAccounts(i)
	case strings.HasPrefix(key, m.formats.WorkerPrefix()):
		return m.applyWorker(strings.TrimPrefix(key, m.formats.WorkerPrefix()), i)
	case strings.HasPrefix(key, m.formats.EvacuationPrefix()):
		return m.applyEvacuation(strings.TrimPrefix(key, m.formats.EvacuationPrefix()), i)
	case strings.HasPrefix(key, m.formats.WavePrefix()) && !i.Deleted():
		w, err := m.formats.Wave(i.Value(), time.Now())
		if err != nil {
			return change{err: err}
		}
		if m.requestedWaves[w.GetNumber()] == nil {
			m.requestedWaves[w.GetNumber()] = w
		}
		return change{wave: m.currentWave(w.GetNumber())}
	case strings.HasPrefix(key, wavePrefix) && !i.Deleted():
		w, err := hfwire.Decode(i.Value(), &hfwork.Wave{})
		if err == nil {
			m.storedWaves[w.GetNumber()] = w
		}
		return change{err: err}
	case strings.HasPrefix(key, peerPrefix):
		return m.applyInstance(strings.TrimPrefix(key, peerPrefix), i)
	case strings.HasPrefix(key, jobPrefix):
		return m.applyJob(strings.TrimPrefix(key, jobPrefix), i)
	case strings.HasPrefix(key, withdrawalPrefix):
		return m.applyWithdrawal(i)
	case strings.HasPrefix(key, progressPrefix):
		return m.applyProgress(strings.TrimPrefix(key, progressPrefix), i)
	case strings.HasPrefix(key, cancelPrefix) && !i.Deleted():
		id := strings.TrimPrefix(key, cancelPrefix)
		m.jobRecord(id).cancelled = true
		return change{job: id}
	}
	return change{}
}

// pruneLeftWorkers removes workers from leftWorkers that are no longer in the roster. Who is in a split
// roster is not known.
func (m *Mirror) pruneLeftWorkers() {
	if m.roster.GetSplit() {
		return
	}
	listed := map[string]bool{}
	for _, w := range m.roster.GetWorkers() {
		listed[w.GetId()] = true
	}
	for id := range m.leftWorkers {
		if !listed[id] {
			delete(m.leftWorkers, id)
		}
	}
}

// currentWave returns a copy of a wave, as last stored by the leader or else as requested.
func (m *Mirror) currentWave(number int64) *hfwork.Wave {
	if w := m.storedWaves[number]; w != nil {
		return hfwire.Copy(w)
	}
	return hfwire.Copy(m.requestedWaves[number])
}

// jobRecord returns the record of a job, which it adds if there is none.
func (m *Mirror) jobRecord(id string) *jobRecord {
	r := m.jobs[id]
	if r == nil {
		r = &jobRecord{}
		m.jobs[id] = r
	}
	return r
}

func (m *Mirror) applyPolicy(i hfstore.Item) change {
	if i.Deleted() || i.Version() <= m.policyVersion {
		return change{}
	}
	p, invalid, err := m.formats.Policy(i.Value())
	if err != nil {
		return change{err: err}
	}
	if m.policy != nil {
		keepInvalidParts(p, m.policy.config, invalid)
	}
	m.policy, m.policyVersion = newPolicyIndex(p), i.Version()
	m.accounts.applyPolicy(p)
	workers := m.addPools(p)
	return change{policy: true, workers: workers, err: joinInvalid(invalid)}
}

func (m *Mirror) applyLead(i hfstore.Item) change {
	if i.Deleted() {
		m.lead = nil
		return change{lead: true}
	}
	lead, err := hfwire.Decode(i.Value(), &hfwork.Lead{})
	if err != nil {
		return change{err: err}
	}
	m.lead, m.lastLead, m.leadEpoch = lead, lead, max(m.leadEpoch, i.Version())
	return change{lead: true}
}

func (m *Mirror) applyWorker(id string, i hfstore.Item) change {
	if i.Version() < m.lastWrites[id].version {
		return change{} // written before a list that has a later write
	}
	if i.Deleted() {
		c := change{workers: true}
		if m.removedByWorker(id) {
			c.leftWorker, m.leftWorkers[id] = id, true
		}
		delete(m.workers, id)
		delete(m.lastWrites, id)
		return c
	}
	previous := m.lastWrites[id].mayEnd
	m.lastWrites[id] = entryWrite{version: i.Version(), after: m.writtenAfter}
	delete(m.leftWorkers, id)
	w, err := m.formats.Worker(id, i.Value())
	if err != nil {
		delete(m.workers, id)
		return change{workers: true, err: err}
	}
	m.workers[id] = w
	m.recordDrain(w, previous)
	if !m.isPool(w.GetPool()) {
		return change{workers: true, err: fmt.Errorf("%w %.60q", errUnknownPool, w.GetPool())}
	}
	return change{workers: true}
}

// maxRemovalIntervals is the number of heartbeat intervals within which an entry must have
// been written and deleted to be known as removed by its worker. An entry expires three
// intervals after its last write; the third is a margin for writes that the store delays.
const maxRemovalIntervals = 2

// removedByWorker reports whether an entry that is deleted was certainly removed by its worker
// as it left, instead of having expired, as it does if the worker cannot reach the store.
func (m *Mirror) removedByWorker(id string) bool {
	after := m.lastWrites[id].after
	return m.workers[id].GetDraining() && !after.IsZero() && m.receivedAt.Sub(after) < maxRemovalIntervals*m.heartbeatInterval()
}

// applyUnreadable applies an item that cannot be read. It names no worker to use, and replaces
// no record. Whether a worker has left cannot be told from it.
func (m *Mirror) applyUnreadable(i hfstore.Item) change {
	c := change{err: i.Err()}
	if domain, ok := strings.CutPrefix(i.Key(), m.formats.EvacuationPrefix()); ok {
		c = m.applyEvacuation(domain, i)
		c.err = i.Err()
		return c
	}
	if id, ok := strings.CutPrefix(i.Key(), progressPrefix); ok {
		m.jobRecord(id).unreadable = true
	}
	if id, ok := strings.CutPrefix(i.Key(), m.formats.WorkerPrefix()); ok {
		delete(m.workers, id)
		delete(m.leftWorkers, id)
		c.workers = true
	}
	return c
}

func (m *Mirror) applyJob(id string, i hfstore.Item) change {
	if i.Deleted() {
		m.removeJob(id)
		return change{}
	}
	job, err := hfwire.Decode(i.Value(), &hfwork.Job{})
	if err == nil && job.GetId() != id {
		err = fmt.Errorf("%w: job %q below the key of %q", hfwork.ErrInvalidJob, job.GetId(), id)
	}
	if err == nil {
		err = hfwork.CheckSizes(job)
	}
	if err != nil {
		return change{err: err}
	}
	r := m.jobRecord(id)
	r.job, r.jobVersion, r.cancelled = job, i.Version(), r.cancelled || m.isWithdrawn(job)
	m.countMemory(r)
	return change{job: id}
}

func (m *Mirror) applyProgress(id string, i hfstore.Item) change {
	if i.Deleted() {
		return change{}
	}
	p, err := hfwire.Decode(i.Value(), &hfwork.Progress{})
	if err == nil {
		err = checkProgress(p)
	}
	r := m.jobRecord(id)
	if i.Version() < r.version {
		return change{}
	}
	r.unreadable = err != nil
	if err != nil {
		return change{err: err}
	}
	r.version = i.Version()
	if hfwork.IsFinal(p.GetState()) {
		p.Steps = nil // no longer needed
		if r.endSeen.IsZero() {
			r.endSeen = m.receivedAt
		}
	}
	r.progress = p
	m.countMemory(r)
	return change{}
}

// checkProgress returns an error if a record holds a step twice.
func checkProgress(p *hfwork.Progress) error {
	type place struct{ occurrence, step uint32 }
	seen := map[place]bool{}
	for _, sp := range p.GetSteps() {
		at := place{sp.GetOccurrence(), sp.GetStep()}
		if seen[at] {
			return fmt.Errorf("%w: progress: step %d of occurrence %d twice", hfwork.ErrInvalidJob, at.step, at.occurrence)
		}
		seen[at] = true
	}
	return nil
}

// schedulable reports whether the scheduler may have a job. One whose progress cannot be read
// waits: its tasks may be running or done.
func (r *jobRecord) schedulable() bool { return r.job != nil && !r.unreadable }

// waitingJobs returns the number of jobs in a queue that have not started any task yet.
func (m *Mirror) waitingJobs(queue string) int {
	n := 0
	for _, r := range m.jobs {
		if r.job.GetQueue() == queue && r.state() == hfwork.StateQueued {
			n++
		}
	}
	return n
}

// endedJobs lists the jobs whose end was known before the given time. The time of the end
// itself comes from a clock that may have jumped.
func (m *Mirror) endedJobs(before time.Time) []string {
	var list []string
	for id, r := range m.jobs {
		if ended := r.progress.GetEnded(); ended != 0 && hfwork.IsFinal(r.progress.GetState()) && !r.endSeen.IsZero() && r.endSeen.Before(before) {
			list = append(list, id)
		}
	}
	return list
}
