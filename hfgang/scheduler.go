package hfgang

import (
	"fmt"
	"sort"
	"time"

	"github.com/rotisserie/eris"

	"github.com/heatherfront/heatherfront/hfaccount"
	"github.com/heatherfront/heatherfront/hfbudget"
	"github.com/heatherfront/heatherfront/hfwire"
	"github.com/heatherfront/heatherfront/hfworker"
)

var (
	// ErrDoubleAllocation reports a violated invariant: two jobs hold the same accelerator.
	ErrDoubleAllocation = eris.New("accelerator allocated twice")
	// ErrSecondRun reports a violated invariant: a non-idempotent job could run again.
	ErrSecondRun = eris.New("non-idempotent job released twice")
	// ErrPartialGang reports a violated invariant: a job runs without all of its members.
	ErrPartialGang = eris.New("gang is incomplete")
)

// Shards is the number of stored values that the records of a domain are spread over.
const Shards = 16

const (
	startWindow         = 3 * time.Second // time for all members of a gang to confirm their start
	checkpointWindow    = time.Second     // time for all members of a preempted gang to checkpoint
	resendAfter         = time.Second     // unanswered stops and releases are resent after this time
	maxHeartbeatTransit = time.Second     // time for a heartbeat of an observer to arrive
	leaseMargin         = time.Second     // time for the last renewal of a lease to reach its worker, see the timeout of hfworker.Client
)

// worker is the leader's view of one worker, in addition to its entry in the membership
// list.
type worker struct {
	tasks         map[string]*hfwire.Task // from the last report; nil until the worker reports under this epoch
	reported      bool
	lost          bool
	silentSince   time.Time // time since which the worker is lost or has not reported
	reportedAt    time.Time // last time that it answered with other tasks than before
	freshAt       time.Time // last time its report was known to be current
	stale         bool      // its report has not been current for longer than the freshness interval
	leaving       bool      // planned: it is listed as leaving, or left the list while it was reachable
	failedAt      time.Time // last time that it was lost, or found to be restarted, without being about to leave
	lostUnder     bool      // a job had just been released on it when it failed
	unstableUntil time.Time // until then, a crash is not counted as that of a job that is alone
	health        workerHealth
}

// markLost marks the worker as lost.
func (w *worker) markLost(now time.Time) {
	if !w.lost {
		w.lost, w.silentSince = true, now
		if w.reported { // when it was lost under an earlier leader is not known
			w.fail(now)
		}
	}
}

// fail notes that the worker was lost or restarted.
func (w *worker) fail(now time.Time) {
	if !w.leaving {
		w.failedAt, w.lostUnder = now, false
	}
}

// unreachable reports whether the worker is lost or has not reported under this epoch.
func (w *worker) unreachable() bool { return w.lost || !w.reported }

// Timing holds the time intervals of a scheduler.
type Timing struct {
	lease     func() time.Duration
	freshness func() time.Duration
	retention func() time.Duration
}

// reportAge returns the greatest age of what a current report says. Its observer vouches for it
// while it is fresh, and a heartbeat of the observer, which may be on its way for a while, keeps
// it fresh here for as long again.
func (t Timing) reportAge() time.Duration { return 2*t.freshness() + maxHeartbeatTransit }

// NewTiming returns a Timing. lease is the lease of tasks. freshness is the time for which
// an answer of a worker, or a heartbeat of its observer, keeps its report current. retention is how long finished jobs are kept.
func NewTiming(lease, freshness, retention time.Duration) Timing {
	return Timing{
		lease:     func() time.Duration { return lease },
		freshness: func() time.Duration { return freshness },
		retention: func() time.Duration { return retention },
	}
}

// rules holds the decisions that the safety invariants depend on. Tests replace them
// with faulty ones to verify that the fault tests detect the violation.
type rules struct {
	mayRelease func(j *job) bool                // whether a starting gang may be released
	mayOccupy  func(s *Scheduler, b Block) bool // whether a non-preemptible job may take a block
	mayRetry   func(j *job) bool                // whether a lost attempt may be retried
}

func defaultRules() rules {
	return rules{
		mayRelease: func(j *job) bool { return j.allMembers(func(m *member) bool { return m.phase == phaseHeld }) },
		mayOccupy:  func(s *Scheduler, b Block) bool { return s.relocateGuarantees(b) },
		mayRetry:   func(j *job) bool { return j.record.GetIdempotent() },
	}
}

// Scheduler schedules the gang jobs of one failure domain. It holds no connections and
// no clock: Update takes an event and returns the commands to execute.
type Scheduler struct {
	domain          string
	rules           rules
	timing          Timing
	loaded          bool // the records were loaded under the current epoch
	directory       *hfaccount.Directory
	listedWorkers   map[string]hfworker.Worker
	layout          *Layout
	workers         map[string]*worker
	jobs            map[string]*job
	open            map[string]*job          // jobs that are not in a final state
	withdrawals     map[withdrawal]time.Time // end of each; not stored
	guarantees      []*guarantee
	allocated       []*job        // by accelerator, the job that holds it
	planned         []*job        // by accelerator, the job that is planned for it
	vacating        []bool        // by accelerator, whether a job vacated it and this is not stored yet
	vacatingJobs    map[*job]bool // jobs with vacated accelerators that are not free yet
	isolatedJobs    map[*job]bool // placed suspects that were started on workers without other jobs
	guaranteeAt     []*guarantee  // by accelerator, the met guarantee whose block includes it
	byShard         [Shards]map[string]*job
	dirtyShards     [Shards]bool   // a record of the shard changed since its last commit was built
	commitsInFlight [Shards]bool   // a commit of the shard is in flight
	usage           map[string]int // accelerators in use or planned, by account
	estimates       map[string]*estimate
	schedulePending bool         // a waiting job may be able to start since the last pass
	violation       error        // the first invariant violation found by an update
	revokePending   bool         // the stopping jobs may have changed since the last RevokeCmd
	assignPending   bool         // accelerators were vacated or the usable workers changed
	reserved        *reservation // the current reservation, or nil
	memory          *hfbudget.Budget
	lastMakeRoom    time.Time // last time finished jobs were dropped for lack of memory
	lastExpiry      time.Time // last time finished jobs were dropped
	lastRetry       time.Time // last tick that reconsidered the waiting jobs
}

// New returns a scheduler without records. It schedules nothing until it receives a LoadMsg.
//
//	s := hfgang.New("a", hfgang.NewTiming(12*time.Second, 9*time.Second, 24*time.Hour))
//	cmds := s.Update(hfgang.Load(shards), time.Now())
func New(domain string, timing Timing) *Scheduler {
	s := &Scheduler{
		domain: domain, rules: defaultRules(), timing: timing, listedWorkers: map[string]hfworker.Worker{}, workers: map[string]*worker{},
		jobs: map[string]*job{}, open: map[string]*job{}, withdrawals: map[withdrawal]time.Time{}, usage: map[string]int{}, vacatingJobs: map[*job]bool{}, isolatedJobs: map[*job]bool{}, estimates: map[string]*estimate{},
		layout: NewLayout(domain, nil), memory: hfbudget.New(unlimitedMemory),
	}
	for i := range s.byShard {
		s.byShard[i] = map[string]*job{}
	}
	s.rebuildAllocations()
	return s
}

// Update processes one message and returns the commands to execute.
func (s *Scheduler) Update(msg Msg, now time.Time) []Cmd {
	cmds := s.handle(msg, now)
	if !s.loaded {
		return cmds
	}
	if s.assignPending {
		s.assignPending = false
		s.assignBlocks()
	}
	if s.schedulePending {
		s.schedulePending = false
		cmds = append(cmds, s.schedule(now)...)
	}
	if s.revokePending {
		s.revokePending = false
		cmds = append(cmds, s.revokeStopping())
	}
	return append(cmds, s.buildCommits()...)
}

func (s *Scheduler) handle(msg Msg, now time.Time) []Cmd {
	switch m := msg.(type) {
	case LoadMsg:
		return s.load(m.shards, now)
	case AccountsMsg:
		s.directory = m.directory
		s.reconcileGuarantees(m.directory)
		s.assignBlocks()
		s.schedulePending = true
	case FleetMsg:
		s.setWorkers(m.workers, now)
	case ReportMsg:
		return s.handleReport(m, now)
	case FreshMsg:
		s.markFresh(m.workers, now)
	case SubmitMsg:
		return s.submit(m, now)
	case CancelMsg:
		return s.cancel(m, now)
	case QueryMsg:
		return []Cmd{s.query(m, now)}
	case StoredMsg:
		return s.commitStored(m.shard, now)
	case AnsweredMsg:
		return s.handleAnswer(m, now)
	case TickMsg:
		return s.tick(now)
	}
	return nil
}

// setWorkers applies a new membership list.
func (s *Scheduler) setWorkers(listed map[string]hfworker.Worker, now time.Time) {
	s.listedWorkers = listed
	previous := s.layout
	s.layout = NewLayout(s.domain, listed)
	for name, w := range s.workers {
		if _, ok := s.layout.spanByWorker[name]; ok {
			continue
		}
		w.leaving = w.leaving || !w.lost
		w.markLost(now)
		if !s.hasMembers(name) {
			delete(s.workers, name)
		}
	}
	for _, span := range s.layout.spans {
		if s.workers[span.worker.Name()] == nil {
			s.workers[span.worker.Name()] = &worker{silentSince: now}
		}
		s.workers[span.worker.Name()].leaving = span.worker.Leaving()
	}
	s.remapBlocks(previous)
	s.refreshUsable()
	s.assignBlocks()
	s.schedulePending = true
}

// hasMembers reports whether an open job has a member on a worker.
func (s *Scheduler) hasMembers(worker string) bool {
	for _, j := range s.open {
		for _, m := range j.members {
			if m.grant.GetWorker() == worker {
				return true
			}
		}
	}
	return false
}

// remapBlocks maps the blocks of guarantees and jobs to a new layout. A guarantee whose
// block is no longer contiguous becomes unmet. Plans are dropped and decided again.
func (s *Scheduler) remapBlocks(previous *Layout) {
	for _, g := range s.guarantees {
		if g.met {
			b, ok := s.contiguousBlock(previous.splitIntoGrants(g.block))
			g.block, g.met = b, ok
		}
	}
	for _, j := range s.open {
		s.dropPlan(j)
		j.block, _ = s.contiguousBlock(j.record.GetGrants())
	}
	s.rebuildAllocations()
}

// contiguousBlock returns the contiguous range that grants cover in the layout.
func (s *Scheduler) contiguousBlock(grants []*hfwire.Grant) (Block, bool) {
	var joined Block
	for i, g := range grants {
		b := s.layout.grantBlock(g)
		switch {
		case b.Size() == 0:
			return Block{}, false
		case i == 0:
			joined = b
		case b.lo != joined.hi:
			return Block{}, false
		default:
			joined.hi = b.hi
		}
	}
	return joined, len(grants) > 0
}

// refreshUsable updates which workers accept new jobs.
func (s *Scheduler) refreshUsable() {
	for i := range s.layout.spans {
		span := &s.layout.spans[i]
		w := s.workers[span.worker.Name()]
		span.usable = w != nil && w.reported && !w.lost && !w.stale && !w.health.quarantined && !span.worker.Leaving()
	}
}

// rebuildAllocations recomputes the per-accelerator tables and the usage of accounts
// from jobs, plans and guarantees.
func (s *Scheduler) rebuildAllocations() {
	n := s.layout.Total()
	s.allocated, s.planned, s.guaranteeAt, s.vacating = make([]*job, n), make([]*job, n), make([]*guarantee, n), make([]bool, n)
	for j := range s.vacatingJobs {
		s.markVacating(j.vacated)
		s.markVacating(j.vacatedInCommit)
	}
	clear(s.usage)
	for _, j := range s.open {
		account := s.account(j)
		if j.placed() {
			s.usage[account] += j.size()
			s.markAllocated(j)
		}
		if j.plan != nil {
			s.usage[account] += j.size()
			for i := j.plan.block.lo; i < j.plan.block.hi; i++ {
				s.planned[i] = j
			}
		}
	}
	for _, g := range s.guarantees {
		if g.met {
			s.assign(g, g.block)
		}
	}
}

// markVacating marks the accelerators of grants as vacated but not yet free.
func (s *Scheduler) markVacating(grants []*hfwire.Grant) {
	for _, g := range grants {
		b := s.layout.grantBlock(g)
		for i := b.lo; i < b.hi; i++ {
			s.vacating[i] = true
		}
	}
}

// markAllocated marks the accelerators of a job's members as held by the job.
func (s *Scheduler) markAllocated(j *job) {
	for _, m := range j.members {
		b := s.layout.grantBlock(m.grant)
		for i := b.lo; i < b.hi; i++ {
			s.allocated[i] = j
		}
	}
}

// account returns the account that a job belongs to now, with merges applied.
func (s *Scheduler) account(j *job) string {
	if s.directory != nil {
		if target, ok := s.directory.Resolve(j.record.GetAccount()); ok {
			return target
		}
	}
	return j.record.GetAccount()
}

// Check returns the first violated invariant, or nil.
func (s *Scheduler) Check() error {
	if s.violation != nil {
		return s.violation
	}
	owner := map[string]*job{}
	for _, j := range s.open {
		if err := s.checkJob(j, owner); err != nil {
			return fmt.Errorf("job %s: %w", j.id(), err)
		}
	}
	if err := s.checkGuarantees(); err != nil {
		return fmt.Errorf("guarantees: %w", err)
	}
	return s.checkMemory()
}

func (s *Scheduler) checkJob(j *job, owner map[string]*job) error {
	if !j.record.GetIdempotent() && j.record.GetReleased() && j.state() == StateQueued {
		return ErrSecondRun
	}
	if j.state() == StateRunning && !j.record.GetReleased() {
		return fmt.Errorf("%w: running before its release was recorded", ErrPartialGang)
	}
	sum := 0
	for _, m := range j.members {
		sum += int(m.grant.GetCount())
		if m.phase.ended() {
			continue
		}
		for i := range m.grant.GetCount() {
			key := fmt.Sprintf("%s/%d", m.grant.GetWorker(), m.grant.GetFirst()+i)
			if o := owner[key]; o != nil {
				return fmt.Errorf("%w: %s by %s", ErrDoubleAllocation, key, o.id())
			}
			owner[key] = j
		}
	}
	if j.placed() && sum != j.size() {
		return fmt.Errorf("%w: %d accelerators of %d", ErrPartialGang, sum, j.size())
	}
	return nil
}

// sortedByID returns the jobs that satisfy keep, sorted by id, so that the same
// messages always lead to the same decisions.
func sortedByID(jobs map[string]*job, keep func(*job) bool) []*job {
	var list []*job
	for _, j := range jobs {
		if keep == nil || keep(j) {
			list = append(list, j)
		}
	}
	sort.Slice(list, func(a, b int) bool { return list[a].id() < list[b].id() })
	return list
}

// JobCounts returns the number of jobs that wait and the number that hold accelerators.
func (s *Scheduler) JobCounts() (queued, placed int) {
	for _, j := range s.open {
		if j.placed() {
			placed++
		} else {
			queued++
		}
	}
	return queued, placed
}

// Idle returns the number of usable accelerators that are neither allocated, planned nor
// being vacated, and the size of the largest block among them.
func (s *Scheduler) Idle() (idle, largest int) {
	free := func(i int) bool {
		return s.allocated[i] == nil && s.planned[i] == nil && !s.vacating[i] && s.layout.spans[s.layout.spanAt[i]].usable
	}
	for i := range s.layout.spanAt {
		if free(i) {
			idle++
		}
	}
	return idle, s.layout.LargestBlock(maxGang, free)
}

// maxGang limits the block size that Idle searches for.
const maxGang = 64
