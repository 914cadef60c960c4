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
	// ErrDouble reports a broken invariant: two jobs hold one accelerator.
	ErrDouble = eris.New("accelerator held twice")
	// ErrRerun reports a broken invariant: a non-idempotent job could run again.
	ErrRerun = eris.New("non-idempotent job released twice")
	// ErrGang reports a broken invariant: a job runs with members missing.
	ErrGang = eris.New("gang not whole")
)

// Shards is the number of stored values over which the records of a domain are
// spread.
const Shards = 16

const (
	startWindow      = 3 * time.Second // for all members of a gang to be held
	checkpointWindow = time.Second     // for all checkpoints of a preempted gang
	repeatAfter      = time.Second     // unanswered stops and releases are sent again
	lapseMargin      = time.Second     // added to a lease before a silent task counts as lapsed
)

// worker is what the leader knows of one worker beyond its row.
type worker struct {
	tasks  map[string]*hfwire.Task // last report; nil until it was heard under this epoch
	heard  bool
	lost   bool
	silent time.Time // since when it is lost, or not heard yet
	seen   time.Time // last moment at which its report was known to be fresh
	stale  bool      // its report was not fresh for longer than a report may take
	record blame
}

// lose marks the worker as lost.
func (w *worker) lose(now time.Time) {
	if !w.lost {
		w.lost, w.silent = true, now
	}
}

// gone tells whether the worker gives no report.
func (w *worker) gone() bool { return w.lost || !w.heard }

// Timing holds the intervals that a scheduler works with.
type Timing struct {
	lease  func() time.Duration
	fresh  func() time.Duration
	retain func() time.Duration
}

// NewTiming returns the lease of tasks, the time after which a report shows what
// happened before it, and how long finished jobs are kept.
func NewTiming(lease, fresh, retain time.Duration) Timing {
	return Timing{
		lease:  func() time.Duration { return lease },
		fresh:  func() time.Duration { return fresh },
		retain: func() time.Duration { return retain },
	}
}

// rules are the decisions on which the promises rest. The proofs put wrong ones in
// their place and have to find it out.
type rules struct {
	mayRelease func(j *job) bool                // whether a starting gang may run
	mayTake    func(s *Scheduler, b Block) bool // whether fixed work may take a block
	mayRerun   func(j *job) bool                // whether a lost attempt may be followed by another
}

func soundRules() rules {
	return rules{
		mayRelease: func(j *job) bool { return j.every(func(m *member) bool { return m.phase == phaseHeld }) },
		mayTake:    func(s *Scheduler, b Block) bool { return s.yields(b) },
		mayRerun:   func(j *job) bool { return j.record.GetIdempotent() },
	}
}

// Scheduler decides for one failure domain. It holds no connection and no clock:
// Update takes what happened and returns what is to be done.
type Scheduler struct {
	domain   string
	rules    rules
	timing   Timing
	loaded   bool // records were read under the current epoch
	book     *hfaccount.Book
	rows     map[string]hfworker.Worker
	layout   *Layout
	workers  map[string]*worker
	jobs     map[string]*job
	open     map[string]*job // the jobs that are not final
	shapes   []*shape
	held     []*job        // by accelerator, the job that holds it
	planned  []*job        // by accelerator, the job that waits for it
	blocked  []bool        // by accelerator, whether a job gave it up and this is not stored yet
	leaving  map[*job]bool // the jobs that gave accelerators up so
	shapeAt  []*shape      // by accelerator, the met shape whose block it is in
	byShard  [Shards]map[string]*job
	changed  [Shards]bool   // a record of the shard changed since its last commit was built
	busy     [Shards]bool   // a commit of the shard is under way
	used     map[string]int // accelerators in use or planned, by account
	learned  map[string]*estimate
	stale    bool         // something changed that may let a job start
	broken   error        // the first invariant that an update broke
	resurvey bool         // a job left its accelerators
	reserved *reservation // the block kept for a job that waited long, or nil
	expired  time.Time    // last look for finished jobs to drop
	retried  time.Time    // last tick that looked for work left over
}

// New returns a scheduler without records, which decides nothing before LoadMsg.
//
//	s := hfgang.New("a", hfgang.NewTiming(12*time.Second, 9*time.Second, 24*time.Hour))
//	cmds := s.Update(hfgang.Load(shards), time.Now())
func New(domain string, timing Timing) *Scheduler {
	s := &Scheduler{
		domain: domain, rules: soundRules(), timing: timing, rows: map[string]hfworker.Worker{}, workers: map[string]*worker{},
		jobs: map[string]*job{}, open: map[string]*job{}, used: map[string]int{}, leaving: map[*job]bool{}, learned: map[string]*estimate{},
		layout: NewLayout(domain, nil),
	}
	for i := range s.byShard {
		s.byShard[i] = map[string]*job{}
	}
	s.survey()
	return s
}

// Update takes one message and returns what is to be done.
func (s *Scheduler) Update(msg Msg, now time.Time) []Cmd {
	cmds := s.handle(msg, now)
	if !s.loaded {
		return cmds
	}
	if s.resurvey {
		s.resurvey = false
		s.match()
	}
	if s.stale {
		s.stale = false
		cmds = append(cmds, s.schedule(now)...)
	}
	return append(cmds, s.commits()...)
}

func (s *Scheduler) handle(msg Msg, now time.Time) []Cmd {
	switch m := msg.(type) {
	case LoadMsg:
		return s.load(m.shards, now)
	case BookMsg:
		s.book = m.book
		s.reconcile(m.book)
		s.match()
		s.stale = true
	case WorkersMsg:
		s.setWorkers(m.workers, now)
	case ReportMsg:
		return s.report(m, now)
	case SeenMsg:
		s.seen(m.workers, now)
	case SubmitMsg:
		return s.submit(m, now)
	case CancelMsg:
		return s.cancel(m, now)
	case QueryMsg:
		return []Cmd{s.query(m, now)}
	case StoredMsg:
		return s.stored(m.shard, now)
	case TaskMsg:
		return s.task(m, now)
	case TickMsg:
		return s.tick(now)
	}
	return nil
}

// setWorkers takes a new membership list.
func (s *Scheduler) setWorkers(rows map[string]hfworker.Worker, now time.Time) {
	s.rows = rows
	old := s.layout
	s.layout = NewLayout(s.domain, rows)
	for name, w := range s.workers {
		if _, ok := s.layout.index[name]; ok {
			continue
		}
		w.lose(now)
		if !s.occupied(name) {
			delete(s.workers, name)
		}
	}
	for _, st := range s.layout.sites {
		if s.workers[st.worker.Name()] == nil {
			s.workers[st.worker.Name()] = &worker{silent: now}
		}
	}
	s.rebase(old)
	s.refreshUsable()
	s.match()
	s.stale = true
}

func (s *Scheduler) occupied(worker string) bool {
	for _, j := range s.open {
		for _, m := range j.members {
			if m.grant.GetWorker() == worker {
				return true
			}
		}
	}
	return false
}

// rebase carries the blocks of shapes and jobs over to a new layout. A shape whose
// block is no longer contiguous becomes unmet; plans are decided anew.
func (s *Scheduler) rebase(old *Layout) {
	for _, sh := range s.shapes {
		if sh.met {
			b, ok := s.translate(old.grants(sh.block))
			sh.block, sh.met = b, ok
		}
	}
	for _, j := range s.open {
		s.dropPlan(j)
		j.block, _ = s.translate(j.record.GetGrants())
	}
	s.survey()
}

// translate returns the contiguous range that grants cover in the layout.
func (s *Scheduler) translate(grants []*hfwire.Grant) (Block, bool) {
	var whole Block
	for i, g := range grants {
		b := s.layout.block(g)
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
	for i := range s.layout.sites {
		st := &s.layout.sites[i]
		w := s.workers[st.worker.Name()]
		st.usable = w != nil && w.heard && !w.lost && !w.stale && !w.record.aside && !st.worker.Leaving()
	}
}

// survey rebuilds the maps by accelerator from jobs, plans and shapes.
func (s *Scheduler) survey() {
	n := s.layout.Total()
	s.held, s.planned, s.shapeAt, s.blocked = make([]*job, n), make([]*job, n), make([]*shape, n), make([]bool, n)
	for j := range s.leaving {
		s.block(j.leaves)
		s.block(j.freeing)
	}
	clear(s.used)
	for _, j := range s.open {
		account := s.account(j)
		if j.placed() {
			s.used[account] += j.size()
			s.occupy(j)
		}
		if j.plan != nil {
			s.used[account] += j.size()
			for i := j.plan.block.lo; i < j.plan.block.hi; i++ {
				s.planned[i] = j
			}
		}
	}
	for _, sh := range s.shapes {
		if sh.met {
			s.place(sh, sh.block)
		}
	}
}

func (s *Scheduler) block(grants []*hfwire.Grant) {
	for _, g := range grants {
		b := s.layout.block(g)
		for i := b.lo; i < b.hi; i++ {
			s.blocked[i] = true
		}
	}
}

func (s *Scheduler) occupy(j *job) {
	for _, m := range j.members {
		b := s.layout.block(m.grant)
		for i := b.lo; i < b.hi; i++ {
			s.held[i] = j
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
	if s.broken != nil {
		return s.broken
	}
	owner := map[string]*job{}
	for _, j := range s.open {
		if err := s.checkJob(j, owner); err != nil {
			return fmt.Errorf("job %s: %w", j.id(), err)
		}
	}
	if err := s.checkShapes(); err != nil {
		return fmt.Errorf("shapes: %w", err)
	}
	return nil
}

func (s *Scheduler) checkJob(j *job, owner map[string]*job) error {
	if !j.record.GetIdempotent() && j.record.GetReleased() && j.state() == StateQueued {
		return ErrRerun
	}
	if j.state() == StateRunning && !j.record.GetReleased() {
		return fmt.Errorf("%w: running before its release was recorded", ErrGang)
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
				return fmt.Errorf("%w: %s by %s", ErrDouble, key, o.id())
			}
			owner[key] = j
		}
	}
	if j.placed() && sum != j.size() {
		return fmt.Errorf("%w: %d accelerators of %d", ErrGang, sum, j.size())
	}
	return nil
}

// inOrder returns jobs by id, so that the same messages always lead to the same
// decisions.
func inOrder(jobs map[string]*job, keep func(*job) bool) []*job {
	var list []*job
	for _, j := range jobs {
		if keep == nil || keep(j) {
			list = append(list, j)
		}
	}
	sort.Slice(list, func(a, b int) bool { return list[a].id() < list[b].id() })
	return list
}

// Depth returns the number of jobs that wait and that hold accelerators.
func (s *Scheduler) Depth() (queued, placed int) {
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
		return s.held[i] == nil && s.planned[i] == nil && !s.blocked[i] && s.layout.sites[s.layout.at[i]].usable
	}
	for i := range s.layout.at {
		if free(i) {
			idle++
		}
	}
	return idle, s.layout.Largest(maxGang, free)
}

// maxGang bounds the search for the largest block.
const maxGang = 64
