package hfgang

import (
	"fmt"
	"sort"
	"time"

	"github.com/rotisserie/eris"

	"github.com/heatherfront/heatherfront/hfaccount"
	"github.com/heatherfront/heatherfront/hfwire"
	"github.com/heatherfront/heatherfront/hfworker"
)

var (
	// ErrDoubleAllocation reports a broken invariant: two jobs hold one accelerator.
	ErrDoubleAllocation = eris.New("accelerator held twice")
	// ErrSecondRun reports a broken invariant: a non-idempotent job could run again.
	ErrSecondRun = eris.New("non-idempotent job released twice")
	// ErrPartialGang reports a broken invariant: a job runs with members missing.
	ErrPartialGang = eris.New("gang not whole")
)

// Shards is the number of stored values over which the records of a domain are
// spread.
const Shards = 16

const (
	startWindow      = 3 * time.Second // for all members of a gang to be held
	checkpointWindow = time.Second     // for all checkpoints of a preempted gang
	resendAfter      = time.Second     // unanswered stops and releases are sent again
	lapseMargin      = time.Second     // added to a lease before a silent task counts as lapsed
)

// worker is what the leader knows of one worker beyond its row.
type worker struct {
	tasks       map[string]*hfwire.Task // last report; nil until it was heard under this epoch
	reported    bool
	lost        bool
	silentSince time.Time // since when it is lost, or not heard yet
	freshAt     time.Time // last moment at which its report was known to be fresh
	stale       bool      // its report was not fresh for longer than a report may take
	health      workerHealth
}

// markLost marks the worker as lost.
func (w *worker) markLost(now time.Time) {
	if !w.lost {
		w.lost, w.silentSince = true, now
	}
}

// unreachable tells whether the worker gives no report.
func (w *worker) unreachable() bool { return w.lost || !w.reported }

// Timing holds the intervals that a scheduler works with.
type Timing struct {
	lease     func() time.Duration
	freshness func() time.Duration
	retention func() time.Duration
}

// NewTiming returns the lease of tasks, the time after which a report shows what
// happened before it, and how long finished jobs are kept.
func NewTiming(lease, fresh, retain time.Duration) Timing {
	return Timing{
		lease:     func() time.Duration { return lease },
		freshness: func() time.Duration { return fresh },
		retention: func() time.Duration { return retain },
	}
}

// rules are the decisions on which the promises rest. The proofs put wrong ones in
// their place and have to find it out.
type rules struct {
	mayRelease func(j *job) bool                // whether a starting gang may run
	mayOccupy  func(s *Scheduler, b Block) bool // whether fixed work may take a block
	mayRetry   func(j *job) bool                // whether a lost attempt may be followed by another
}

func defaultRules() rules {
	return rules{
		mayRelease: func(j *job) bool { return j.allMembers(func(m *member) bool { return m.phase == phaseHeld }) },
		mayOccupy:  func(s *Scheduler, b Block) bool { return s.relocateGuarantees(b) },
		mayRetry:   func(j *job) bool { return j.record.GetIdempotent() },
	}
}

// Scheduler decides for one failure domain. It holds no connection and no clock:
// Update takes what happened and returns what is to be done.
type Scheduler struct {
	domain          string
	rules           rules
	timing          Timing
	loaded          bool // records were read under the current epoch
	book            *hfaccount.Book
	listedWorkers   map[string]hfworker.Worker
	layout          *Layout
	workers         map[string]*worker
	jobs            map[string]*job
	open            map[string]*job // the jobs that are not final
	guarantees      []*guarantee
	allocated       []*job        // by accelerator, the job that holds it
	planned         []*job        // by accelerator, the job that waits for it
	vacating        []bool        // by accelerator, whether a job gave it up and this is not stored yet
	vacatingJobs    map[*job]bool // the jobs that gave accelerators up so
	guaranteeAt     []*guarantee  // by accelerator, the met shape whose block it is in
	byShard         [Shards]map[string]*job
	dirtyShards     [Shards]bool   // a record of the shard changed since its last commit was built
	commitsInFlight [Shards]bool   // a commit of the shard is under way
	usage           map[string]int // accelerators in use or planned, by account
	estimates       map[string]*estimate
	schedulePending bool         // something changed that may let a job start
	violation       error        // the first invariant that an update broke
	assignPending   bool         // a job left its accelerators
	reserved        *reservation // the block kept for a job that waited long, or nil
	lastExpiry      time.Time    // last look for finished jobs to drop
	lastRetry       time.Time    // last tick that looked for work left over
}

// New returns a scheduler without records, which decides nothing before LoadMsg.
//
//	s := hfgang.New("a", hfgang.NewTiming(12*time.Second, 9*time.Second, 24*time.Hour))
//	cmds := s.Update(hfgang.Load(shards), time.Now())
func New(domain string, timing Timing) *Scheduler {
	s := &Scheduler{
		domain: domain, rules: defaultRules(), timing: timing, listedWorkers: map[string]hfworker.Worker{}, workers: map[string]*worker{},
		jobs: map[string]*job{}, open: map[string]*job{}, usage: map[string]int{}, vacatingJobs: map[*job]bool{}, estimates: map[string]*estimate{},
		layout: NewLayout(domain, nil),
	}
	for i := range s.byShard {
		s.byShard[i] = map[string]*job{}
	}
	s.rebuildAllocations()
	return s
}

// Update takes one message and returns what is to be done.
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
	return append(cmds, s.buildCommits()...)
}

func (s *Scheduler) handle(msg Msg, now time.Time) []Cmd {
	switch m := msg.(type) {
	case LoadMsg:
		return s.load(m.shards, now)
	case AccountsMsg:
		s.book = m.book
		s.reconcileGuarantees(m.book)
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

// setWorkers takes a new membership list.
func (s *Scheduler) setWorkers(rows map[string]hfworker.Worker, now time.Time) {
	s.listedWorkers = rows
	old := s.layout
	s.layout = NewLayout(s.domain, rows)
	for name, w := range s.workers {
		if _, ok := s.layout.spanByWorker[name]; ok {
			continue
		}
		w.markLost(now)
		if !s.hasMembers(name) {
			delete(s.workers, name)
		}
	}
	for _, st := range s.layout.spans {
		if s.workers[st.worker.Name()] == nil {
			s.workers[st.worker.Name()] = &worker{silentSince: now}
		}
	}
	s.remapBlocks(old)
	s.refreshUsable()
	s.assignBlocks()
	s.schedulePending = true
}

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

// remapBlocks carries the blocks of shapes and jobs over to a new layout. A shape whose
// block is no longer contiguous becomes unmet; plans are decided anew.
func (s *Scheduler) remapBlocks(old *Layout) {
	for _, sh := range s.guarantees {
		if sh.met {
			b, ok := s.contiguousBlock(old.splitIntoGrants(sh.block))
			sh.block, sh.met = b, ok
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
	var whole Block
	for i, g := range grants {
		b := s.layout.grantBlock(g)
		switch {
		case b.Size() == 0:
			return Block{}, false
		case i == 0:
			whole = b
		case b.lo != whole.hi:
			return Block{}, false
		default:
			whole.hi = b.hi
		}
	}
	return whole, len(grants) > 0
}

// refreshUsable decides which workers can take work.
func (s *Scheduler) refreshUsable() {
	for i := range s.layout.spans {
		st := &s.layout.spans[i]
		w := s.workers[st.worker.Name()]
		st.usable = w != nil && w.reported && !w.lost && !w.stale && !w.health.quarantined && !st.worker.Leaving()
	}
}

// rebuildAllocations rebuilds the maps by accelerator from jobs, plans and shapes.
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
	for _, sh := range s.guarantees {
		if sh.met {
			s.assign(sh, sh.block)
		}
	}
}

func (s *Scheduler) markVacating(grants []*hfwire.Grant) {
	for _, g := range grants {
		b := s.layout.grantBlock(g)
		for i := b.lo; i < b.hi; i++ {
			s.vacating[i] = true
		}
	}
}

func (s *Scheduler) markAllocated(j *job) {
	for _, m := range j.members {
		b := s.layout.grantBlock(m.grant)
		for i := b.lo; i < b.hi; i++ {
			s.allocated[i] = j
		}
	}
}

// account returns the account that a job belongs to now, through merges.
func (s *Scheduler) account(j *job) string {
	if s.book != nil {
		if target, ok := s.book.Resolve(j.record.GetAccount()); ok {
			return target
		}
	}
	return j.record.GetAccount()
}

// Check returns the first broken invariant, or nil.
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
		return fmt.Errorf("shapes: %w", err)
	}
	return nil
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

// sortedByID returns jobs by id, so that the same messages always lead to the same
// decisions.
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

// JobCounts returns the number of jobs that wait and that hold accelerators.
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

// Idle returns the number of usable accelerators that no job holds, and the size
// of the largest block among them.
func (s *Scheduler) Idle() (idle, largest int) {
	free := func(i int) bool {
		return s.allocated[i] == nil && s.planned[i] == nil && !s.vacating[i] && s.layout.spans[s.layout.spanAt[i]].usable
	}
	for i := range s.layout.spanAt {
		if free(i) {
			idle++
		}
	}
	return idle, s.layout.Largest(maxGang, free)
}

// maxGang bounds the search for the largest block.
const maxGang = 64
