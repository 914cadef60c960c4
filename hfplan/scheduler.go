package hfplan

import (
	"fmt"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/heatherfront/heatherfront/hfbudget"
	"github.com/heatherfront/heatherfront/hfcost"
	"github.com/heatherfront/heatherfront/hfplacement"
	"github.com/heatherfront/heatherfront/hfsuspect"
	"github.com/heatherfront/heatherfront/hfwork"
)

// ErrPartialGang reports a violated invariant: only some members of a gang have an
// assigned run.
var ErrPartialGang = eris.New("gang assigned in part")

// runsPerTerm is the number of run numbers that each term has for a task. The
// numbers of a later term are thus higher, and the last one need not be stored. A
// scheduler that has used them up ends its term.
const runsPerTerm = 1 << 12

// Timing holds the times that a scheduler depends on.
type Timing struct {
	lease        func() time.Duration
	spreadFactor float64
	stop         func() time.Duration // longest time that a worker takes to stop a run
}

// The values of a Timing that was not given any.
const (
	DefaultSpreadFactor = 3
	DefaultStopTime     = 200 * time.Millisecond
)

// NewTiming returns a Timing with the longest lease of a task on a worker.
func NewTiming(lease time.Duration) Timing {
	return Timing{
		lease: func() time.Duration { return lease }, spreadFactor: DefaultSpreadFactor,
		stop: func() time.Duration { return DefaultStopTime },
	}
}

// WithSpreadFactor sets how many times as long a gang that asks for one rack takes on several.
func (t Timing) WithSpreadFactor(factor float64) Timing {
	t.spreadFactor = factor
	return t
}

// WithStopTime sets the longest time that a worker takes to stop a run.
func (t Timing) WithStopTime(stop time.Duration) Timing {
	t.stop = func() time.Duration { return stop }
	return t
}

// spreadCost returns how much longer a gang with the given declared run time takes on several racks.
func (t Timing) spreadCost(estimate time.Duration) time.Duration {
	return time.Duration(max(t.spreadFactor-1, 0) * float64(estimate))
}

// Lease returns the longest lease of a task on a worker.
func (t Timing) Lease() time.Duration { return t.lease() }

// leaseExpiryDelay returns the time from the last order to a worker until its leases
// have certainly expired. The clock of the worker may be up to 2% slow.
func (t Timing) leaseExpiryDelay() time.Duration {
	return t.lease()*102/100 + orderTransitMargin
}

// stopRetryInterval returns the time after which a stop that has had no effect is repeated.
func (t Timing) stopRetryInterval() time.Duration { return t.stop() + orderTransitMargin }

// roomDelay returns how long it takes from a stop until its room can be used: the order, the end on the worker
// and the report of it.
func (t Timing) roomDelay() time.Duration { return t.stop() + reportMargin }

// assignmentTimeout returns how long an assigned run waits for its resources. If a preempted run has
// not ended by then, its stop is delayed.
func (t Timing) assignmentTimeout() time.Duration { return t.stop() + assignmentMargin }

const (
	orderTransitMargin = 300 * time.Millisecond // time for the last order to arrive
	reportMargin       = 100 * time.Millisecond // time for an order and for the report of its effect
	assignmentMargin   = 700 * time.Millisecond // time for a stop to be sent, and for the report of the end
	refusalBackoff     = 400 * time.Millisecond // a worker gets no tasks after it refused a start
)

// Scheduler assigns tasks to all workers of a service. It is a state machine without
// connections or a clock: Update takes an event and returns the commands to carry
// out.
type Scheduler struct {
	timing           Timing
	runNumberBase    int64 // run numbers of this term are higher
	policy           *hfwork.Policy
	policySequence   uint64 // of the last PolicyMsg that had an effect
	accounts         hfwork.AccountHistory
	queues           map[string]*hfwork.Queue // by name; includes removed queues
	resources        *hfplacement.Inventory
	workers          map[string]*worker
	jobs             map[string]*job
	unloaded         map[string]*job       // jobs with occurrences that were never loaded
	memory           *hfbudget.Budget      // of the loaded occurrences
	oversized        *occurrence           // the one that is loaded beside the budget, or nil
	orphans          map[hfwork.TaskID]int // number of orphans of each task, on all workers
	groups           []*group              // groups with open tasks, of jobs that are not final
	recoveryDeadline time.Time             // when the leases of an earlier scheduler have expired
	recovered        bool                  // all runs of earlier schedulers are accounted for
	slowStops        map[string]bool       // pools that keep room for urgent work, see budget
	usage            map[string]*poolUsage // by pool
	suspension       suspension
	unstored         unstored                    // ends that are not known to be stored
	sequence         uint64                      // of the last StoreCmd
	storedSequence   uint64                      // of the last StoreCmd that was stored
	recordsInFlight  map[string]*hfwork.Progress // records of the StoreCmd in flight, nil if there is none
	partlyStored     map[string]bool             // jobs whose records of the StoreCmd in flight are stored
	rosterChanged    bool                        // the stored roster is out of date
	rosterInFlight   map[*worker]string          // roster of the StoreCmd in flight: workers with the addresses at which they answered
	pendingAcks      map[*worker]int64           // last end to acknowledge, once its record is stored
	acksInFlight     map[*worker]int64           // last end whose record is in the StoreCmd in flight
	dirtyJobs        map[string]*job             // jobs whose progress has to be stored
	waves            map[int64]*wave             // waves that are not completed, by number
	machines         map[string]*hfwork.Machine  // by name; nil before the first list
	machinesAt       time.Time                   // when the list of machines was requested
	dirtyWaves       map[int64]*hfwork.Wave      // waves that have to be stored
	missing          map[string]*missingWorker   // workers whose leases expired with runs, by id, until it is known whether they crashed
	unstable         map[string]time.Time        // until when a worker at an address counts as crashed lately, by address
	slowWorkers      map[string]bool             // workers known to be slow when the pass began
	urgentWaits      map[string]bool             // pools for which urgent work waited when this pass began
	notAmple         map[placementShape]int      // smallest number of tasks for which this pass found no room, see hasAmpleRoom
	suspectReserved  map[string]int              // workers that this pass has reserved for suspects, by pool
	endForecasts     int                         // groups for which this pass has forecast the ends of runs
	poolWorkers      map[string]*poolWorkers     // listed in this pass, by pool
	stopWeights      map[*group]stopWeight       // weighed in this pass
	judge            *hfsuspect.Judge            // of workers that may be bad
	trusting         bool                        // no worker is taken for bad, see WithSuspicion
	vigilant         bool                        // in this pass, some workers may be bad
	onTrial          map[string]bool             // suspects with a run whose outcome is not known yet
	trialWorkers     map[string]map[string]bool  // workers on which tasks may be tried in this pass, by pool
	proofsDue        time.Time                   // when the runs are next gone through for proofs
	proofsWanted     map[string]time.Time        // until when workers are tried that have proved nothing, by pool
	sparedSuspects   int                         // suspects that are not avoided, as there are too many
	trials           int                         // tasks that were placed on suspects on purpose
	proofWaits       int                         // groups that waited for workers that have proved sound
	hasAdvisedQueue  bool
	bySize           bool // order and victims go by core-seconds alone, see WithOrder
	delays           Delays
	waitingList      []hfcost.Waiting[*group] // of the last call of candidates; kept for its memory
	adviceInFlight   bool                     // an AdviceCmd is in flight
	adviceNotBefore  time.Time                // earliest next AdviceCmd
	cmds             []Cmd
	isView           bool                             // it is the view of Where, which changes nothing that it shares
	outranks         func(group any) bool             // only in the view of Where: reports groups whose reservations do not count
	taken            map[string]hfplacement.Resources // only in that view: what the new group takes, by worker
	needsPass        bool                             // a change may allow a task to start
	invariantErr     error                            // first violated invariant
}

// New returns a scheduler without jobs. Each leader passes the number of its term,
// which is higher than that of all earlier leaders.
//
//	s := hfplan.New(1, hfplan.NewTiming(6*time.Second), time.Now())
func New(term int64, timing Timing, now time.Time) *Scheduler {
	s := &Scheduler{
		timing: timing, runNumberBase: max(term-1, 0) * runsPerTerm, policy: &hfwork.Policy{}, queues: map[string]*hfwork.Queue{},
		resources: hfplacement.New(), workers: map[string]*worker{}, jobs: map[string]*job{}, unloaded: map[string]*job{}, memory: hfbudget.New(defaultMemory), orphans: map[hfwork.TaskID]int{},
		recoveryDeadline: now.Add(timing.leaseExpiryDelay()), pendingAcks: map[*worker]int64{}, dirtyJobs: map[string]*job{}, usage: map[string]*poolUsage{}, slowStops: map[string]bool{},
		unstored: newUnstored(), waves: map[int64]*wave{}, dirtyWaves: map[int64]*hfwork.Wave{}, missing: map[string]*missingWorker{}, unstable: map[string]time.Time{}, judge: hfsuspect.New(), onTrial: map[string]bool{}, proofsWanted: map[string]time.Time{}, trialWorkers: map[string]map[string]bool{}, suspectReserved: map[string]int{}, urgentWaits: map[string]bool{}, notAmple: map[placementShape]int{}, slowWorkers: map[string]bool{}, poolWorkers: map[string]*poolWorkers{}, stopWeights: map[*group]stopWeight{},
	}
	return s.WithOrder(DefaultOrder)
}

// Update processes one message and returns the commands that result.
func (s *Scheduler) Update(msg Msg, now time.Time) []Cmd {
	switch m := msg.(type) {
	case PolicyMsg:
		if m.sequence < s.policySequence {
			break
		}
		s.policySequence = m.sequence
		s.accounts = m.accounts
		s.setPolicy(m.policy)
	case WorkerLeftMsg:
		if w := s.workers[m.worker]; w != nil {
			s.removeWorker(w, "worker has left", now)
		}
	case RosterMsg:
		s.addRoster(m.workers)
	case WorkersMsg:
		s.setWorkers(m, now)
	case JobMsg:
		s.addJob(m, now)
	case ReportMsg:
		s.handleReport(m, now)
	case WorkerSilentMsg:
		s.handleSilent(m.worker, now)
	case WorkerReplacedMsg:
		s.handleReplaced(m, now)
	case StartedMsg:
		s.handleStarted(m, now)
	case PacedMsg:
		s.handlePaced(m)
	case StoppedMsg:
		s.handleStopped(m, now)
	case PartlyStoredMsg:
		s.handlePartlyStored(m)
	case StoredMsg:
		s.handleStored(m, now)
	case WaveMsg:
		s.addWave(m.wave, now)
	case MachinesMsg:
		s.machines, s.machinesAt = m.machines, m.requestedAt
		if s.machinesAt.IsZero() {
			s.machinesAt = now
		}
	case UpkeepStartedMsg:
		s.handleUpkeepStarted(m, now)
	case AdviceMsg:
		s.handleAdvice(m, now)
	case TickMsg:
		s.tick(now)
	case SuspendMsg:
		s.suspend(m)
	case ResumeMsg:
		s.resume(m)
	case PassMsg:
		if s.suspension.suspended {
			s.flush()
		} else {
			s.pass(now)
		}
	}
	cmds := s.cmds
	s.cmds = nil
	return cmds
}

func (s *Scheduler) emit(c Cmd) { s.cmds = append(s.cmds, c) }

func (s *Scheduler) setPolicy(p *hfwork.Policy) {
	s.policy = p
	for _, q := range p.GetQueues() {
		s.addQueue(q)
	}
	for _, j := range s.jobs {
		if q := s.queues[j.spec.GetQueue()]; q != nil {
			j.queue = q
		}
	}
	s.needsPass = true
}

// addQueue adds the configuration of a queue, or replaces it.
func (s *Scheduler) addQueue(q *hfwork.Queue) {
	s.queues[q.GetName()] = q
	s.hasAdvisedQueue = false
	for _, known := range s.queues {
		s.hasAdvisedQueue = s.hasAdvisedQueue || known.GetAdvised()
	}
}

// accountGuarantee returns the number of accelerators guaranteed to an account.
func (s *Scheduler) accountGuarantee(account string) int64 {
	for _, a := range s.policy.GetAccounts() {
		if a.GetName() == account {
			return a.GetGuaranteed()
		}
	}
	return 0
}

// Check returns the first violated invariant, or nil.
func (s *Scheduler) Check() error { return s.invariantErr }

func (s *Scheduler) recordViolation(cause error, subject string) {
	if s.invariantErr == nil {
		s.invariantErr = fmt.Errorf("%w: %s", cause, subject)
	}
}

// Load summarizes the queued and running tasks and the capacity.
type Load struct {
	waiting  [3]int // tasks without a worker, by priority; the last entry covers 2 and above
	running  [3]int // started runs, by priority
	assigned int    // runs that have a worker but whose start was not sent yet
	stopping int    // runs that were sent a stop and have not ended
	free     hfplacement.Resources
	capacity hfplacement.Resources
	stranded hfplacement.Resources // free where none of the waiting tasks fits
	slow     int                   // workers known to be slow
	delays   Delays

	suspects, quarantined int // workers
	trials, proofWaits    int // since the scheduler began
}

// Delays returns what the last pass put behind others.
func (l Load) Delays() Delays { return l.delays }

// Suspects returns the number of workers on which a task failed early, with no proof since that they are
// sound.
func (l Load) Suspects() int { return l.suspects }

// Quarantined returns the number of workers that are quarantined.
func (l Load) Quarantined() int { return l.quarantined }

// Trials returns how many tasks this scheduler has placed on suspects, or on workers that had proved
// nothing, to try these.
func (l Load) Trials() int { return l.trials }

// ProofWaits returns how often tasks with one attempt left have waited under this scheduler, as only
// workers that may be bad had room.
func (l Load) ProofWaits() int { return l.proofWaits }

// Waiting returns the number of tasks without a worker for priority 0, 1, and 2 and
// above.
func (l Load) Waiting() [3]int { return l.waiting }

// Running returns the number of started runs for priority 0, 1, and 2 and above.
func (l Load) Running() [3]int { return l.running }

// Assigned returns the number of runs that have a worker but whose start was not sent
// yet.
func (l Load) Assigned() int { return l.assigned }

// Stopping returns the number of runs that were sent a stop and have not ended.
func (l Load) Stopping() int { return l.stopping }

// Free returns the unassigned resources of the usable workers.
func (l Load) Free() hfplacement.Resources { return l.free }

// Capacity returns the total resources of the usable workers.
func (l Load) Capacity() hfplacement.Resources { return l.capacity }

// Stranded returns the unassigned resources of the usable workers on which none of the waiting tasks fits.
func (l Load) Stranded() hfplacement.Resources { return l.stranded }

// Slow returns the number of workers on which tasks are known to take longer than on others.
func (l Load) Slow() int { return l.slow }

// Load returns the current load.
func (s *Scheduler) Load(now time.Time) Load {
	l := Load{stranded: s.stranded(now), delays: s.delays, suspects: s.judge.Suspects(), trials: s.trials, proofWaits: s.proofWaits}
	for _, g := range s.groups {
		if g.job.queue == nil {
			continue
		}
		priority := min(int(g.job.queue.GetPriority()), len(l.waiting)-1)
		if g.ready(now) {
			l.waiting[priority] += g.waiting()
		}
		l.running[priority] += g.active - g.assigned
		l.assigned += g.assigned
	}
	for _, w := range s.workers {
		if w.slow() {
			l.slow++
		}
		for r := range w.runs {
			if r.phase == stopping {
				l.stopping++
			}
		}
		if now.Before(w.quarantinedUntil) {
			l.quarantined++
		}
		if w.resources.Usable() {
			l.free = l.free.Plus(w.resources.Free(), 1)
			l.capacity = l.capacity.Plus(w.resources.Capacity(), 1)
		}
	}
	return l
}

// removeFinishedGroups drops the groups that have no open tasks or whose job is
// final.
func (s *Scheduler) removeFinishedGroups() {
	s.groups = slices.DeleteFunc(s.groups, func(g *group) bool { return g.open == 0 || g.job.final() })
}
