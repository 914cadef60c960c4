package hfplan

import (
	"fmt"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/heatherfront/heatherfront/hfroom"
	"github.com/heatherfront/heatherfront/hfwork"
)

// ErrGang reports a broken invariant: a gang was promised in part.
var ErrPartialGang = eris.New("gang promised in part")

// runsPerTerm is the room for the run numbers of one leadership. Numbers of a later
// one are higher, although none is stored.
const runsPerTerm = 1 << 12

// Timing holds the intervals that a scheduler works with.
type Timing struct {
	lease func() time.Duration
}

// NewTiming returns the longest lease of a task on a worker.
func NewTiming(lease time.Duration) Timing {
	return Timing{lease: func() time.Duration { return lease }}
}

// Lease returns the longest lease of a task on a worker.
func (t Timing) Lease() time.Duration { return t.lease() }

// lapse returns the time after which nothing runs on a worker that was last sent an
// order before: its clock may be 2% slow.
func (t Timing) leaseExpiryDelay() time.Duration {
	return t.lease()*102/100 + orderTransitMargin
}

const (
	orderTransitMargin = 300 * time.Millisecond // transit of the last order
	orderRetryInterval = 500 * time.Millisecond // an order without an answer or effect is sent again
	refusalBackoff     = 400 * time.Millisecond // a worker that refused a start gets none for this time
)

// Scheduler decides for all workers. It holds no connection and no clock: Update
// takes what happened and returns what is to be done.
type Scheduler struct {
	timing           Timing
	runNumberBase    int64 // run numbers of this leadership are higher
	policy           *hfwork.Policy
	queues           map[string]*hfwork.Queue
	resources        *hfroom.Room
	workers          map[string]*worker
	jobs             map[string]*job
	groups           []*group // not done, of jobs that are not final
	recoveryDeadline time.Time
	recovered        bool                        // all that earlier schedulers started is accounted for
	usage            map[string]*poolUsage       // by pool
	sequence         uint64                      // of the last StoreCmd
	storedSequence   uint64                      // of the last one that is stored
	recordsInFlight  map[string]*hfwork.Progress // records in the StoreCmd under way, nil when none is
	rosterChanged    bool                        // the workers differ from the stored roster
	rosterInFlight   []*worker                   // roster in the StoreCmd under way
	pendingAcks      map[*worker]int64
	acksInFlight     map[*worker]int64
	dirtyJobs        map[string]*job
	waves            map[int64]*wave            // not completed, by number
	machines         map[string]*hfwork.Machine // by name, nil before the first list
	dirtyWaves       map[int64]*hfwork.Wave
	hasAdvisedQueue  bool      // a queue is advised
	adviceInFlight   bool      // an AskCmd is under way
	adviceNotBefore  time.Time // no AskCmd before
	cmds             []Cmd
	needsPass        bool // something changed that may let a task start
	invariantErr     error
}

// New returns a scheduler without jobs. term is the number of its leadership.
//
//	s := hfplan.New(1, hfplan.NewTiming(6*time.Second), time.Now())
func New(term int64, timing Timing, now time.Time) *Scheduler {
	return &Scheduler{
		timing: timing, runNumberBase: max(term-1, 0) * runsPerTerm, policy: &hfwork.Policy{}, queues: map[string]*hfwork.Queue{},
		resources: hfroom.New(), workers: map[string]*worker{}, jobs: map[string]*job{},
		recoveryDeadline: now.Add(timing.leaseExpiryDelay()), pendingAcks: map[*worker]int64{}, dirtyJobs: map[string]*job{}, usage: map[string]*poolUsage{},
		waves: map[int64]*wave{}, dirtyWaves: map[int64]*hfwork.Wave{},
	}
}

// Update takes one message and returns what is to be done.
func (s *Scheduler) Update(msg Msg, now time.Time) []Cmd {
	switch m := msg.(type) {
	case PolicyMsg:
		s.setPolicy(m.policy)
	case LeftMsg:
		if w := s.workers[m.worker]; w != nil {
			s.removeWorker(w, "worker has left", now)
		}
	case InheritMsg:
		s.addRoster(m.workers)
	case WorkersMsg:
		s.setWorkers(m.workers, now)
	case JobMsg:
		s.addJob(m, now)
	case ReportMsg:
		s.handleReport(m, now)
	case SilentMsg:
		s.handleSilent(m.worker, now)
	case StartedMsg:
		s.handleStarted(m, now)
	case PacedMsg:
		s.handlePaced(m)
	case StoppedMsg:
		s.handleStopped(m, now)
	case StoredMsg:
		s.handleStored(m.sequence, now)
	case WaveMsg:
		s.addWave(m.wave, now)
	case MachinesMsg:
		s.machines = m.machines
	case UpkeptMsg:
		s.handleUpkept(m, now)
	case AdvisedMsg:
		s.handleAdvice(m, now)
	case TickMsg:
		s.tick(now)
	case PassMsg:
		s.pass(now)
	}
	cmds := s.cmds
	s.cmds = nil
	return cmds
}

func (s *Scheduler) emit(c Cmd) { s.cmds = append(s.cmds, c) }

func (s *Scheduler) setPolicy(p *hfwork.Policy) {
	s.policy, s.hasAdvisedQueue = p, false
	for _, q := range p.GetQueues() {
		s.queues[q.GetName()] = q
		s.hasAdvisedQueue = s.hasAdvisedQueue || q.GetAdvised()
	}
	for _, j := range s.jobs {
		if q := s.queues[j.spec.GetQueue()]; q != nil {
			j.queue = q
		}
	}
	s.needsPass = true
}

// guaranteed returns the accelerators that an account can always have.
func (s *Scheduler) accountGuarantee(account string) int64 {
	for _, a := range s.policy.GetAccounts() {
		if a.GetName() == account {
			return a.GetGuaranteed()
		}
	}
	return 0
}

// Check returns the first broken invariant, or nil.
func (s *Scheduler) Check() error { return s.invariantErr }

func (s *Scheduler) recordViolation(cause error, subject string) {
	if s.invariantErr == nil {
		s.invariantErr = fmt.Errorf("%w: %s", cause, subject)
	}
}

// Load is how much there is to do and to use.
type Load struct {
	waiting  [3]int // tasks without a worker, by priority, the last for all from 2 on
	running  [3]int // runs, by priority
	assigned int    // runs that wait for room on their worker
	stopping int    // runs that are to end
	free     hfroom.Size
	capacity hfroom.Size
}

// Waiting returns the tasks without a worker of priorities 0, 1 and from 2 on.
func (l Load) Waiting() [3]int { return l.waiting }

// Running returns the runs of priorities 0, 1 and from 2 on.
func (l Load) Running() [3]int { return l.running }

// Promised returns the runs that wait for room on their worker.
func (l Load) Promised() int { return l.assigned }

// Stopping returns the runs that are to end.
func (l Load) Stopping() int { return l.stopping }

// Free returns the room of the usable workers that is not promised.
func (l Load) Free() hfroom.Size { return l.free }

// Capacity returns the room of the usable workers.
func (l Load) Capacity() hfroom.Size { return l.capacity }

// Load returns how much there is to do and to use now.
func (s *Scheduler) Load(now time.Time) Load {
	var l Load
	for _, g := range s.groups {
		if g.job.queue == nil {
			continue
		}
		class := min(int(g.job.queue.GetPriority()), len(l.waiting)-1)
		if g.ready(now) {
			l.waiting[class] += g.waiting()
		}
		l.running[class] += g.active - g.assigned
		l.assigned += g.assigned
	}
	for _, w := range s.workers {
		for r := range w.runs {
			if r.phase == stopping {
				l.stopping++
			}
		}
		if w.resources.Usable() {
			l.free = l.free.Plus(w.resources.Free(), 1)
			l.capacity = l.capacity.Plus(w.resources.Capacity(), 1)
		}
	}
	return l
}

// dropGroups takes the groups out that need no more decisions.
func (s *Scheduler) removeFinishedGroups() {
	s.groups = slices.DeleteFunc(s.groups, func(g *group) bool { return g.open == 0 || g.job.final() })
}
