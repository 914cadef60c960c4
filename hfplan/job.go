package hfplan

import (
	"time"

	"github.com/heatherfront/heatherfront/hfplacement"
	"github.com/heatherfront/heatherfront/hfwork"
)

// job is an accepted job with its progress.
type job struct {
	spec        *hfwork.Job
	queue       *hfwork.Queue // last known configuration; kept after the queue is removed
	state       string
	reason      string
	endedMillis int64 // Unix time in milliseconds at which the job became final, or 0
	cancelled   bool
	guaranteed  bool      // covered by the guarantee of its account
	started     bool      // a worker has confirmed a start
	learnedAt   time.Time // when this scheduler learned of the job

	occurrences map[uint32]*occurrence            // those that are loaded
	stored      map[uint32][]*hfwork.StepProgress // stored progress of those that are not loaded
	completed   bitmap                            // those whose tasks are all done
	remaining   uint32                            // number of those that have not completed
	next        uint32                            // all before it are loaded or completed
	deferred    bool                              // an occurrence was due and there was no memory for it
}

func (j *job) id() string { return j.spec.GetId() }

// final reports whether the job is cancelled or has ended.
func (j *job) final() bool { return j.cancelled || hfwork.IsFinal(j.state) }

// group holds the tasks of one step in one occurrence of a job.
type group struct {
	job              *job
	occurrence       uint32
	step             uint32
	spec             *hfwork.Step
	size             hfplacement.Resources // resources of one task
	tasks            []task
	open             int               // tasks that have not completed
	active           int               // tasks with a run
	completedActive  int               // completed tasks with a run, which has not ended yet
	awaitingPrior    int               // tasks that may still have a run started by an earlier scheduler, or an orphan
	assigned         int               // runs that have a worker but whose start was not sent yet
	due              time.Time         // earliest start; zero if there is none
	avoid            map[string]bool   // workers on which a task failed or stalled
	avoidsRoomSince  time.Time         // since when there has been room only on these; zero if there is other room, or none
	preemptNotBefore time.Time         // earliest next search for victims, after one that found too few
	assignedAt       time.Time         // last time that runs were assigned
	requiredSequence uint64            // of the StoreCmd with the assignments; runs start only after it, or the job's part of it, is stored
	tickets          map[string]ticket // by worker id, for advised queues
	refusedWorkers   map[string]bool   // workers that may not run the step
	reservedRack     string            // rack reserved for a compact gang, or ""
	rackSoughtAt     time.Time         // when a compact gang first had room on several racks but not in one; zero before
	ampleSince       time.Time         // since when a waiting gang has had ample room; zero if it has not
	awaitingRack     bool              // in this pass, a compact gang had room on several racks and waited for one
	endForecasts     int               // how often this pass has forecast the ends of runs for it
	keptBack         int               // tasks that stay waiting in this pass, for urgent work that may come or as one goes first
	crashed          bool              // a worker has crashed under one of its tasks
	durations        []durationSample  // of its measured tasks
	goesFirst        bool              // one task or the gang is being placed before others because it starves
	goFirstNotBefore time.Time         // earliest next time that it may go first, after it got neither room nor a reservation
	rescue           *run              // latest run that got room before others because it starved; of a gang, its first member
	failedOn         map[string]bool   // workers on which a task failed early
	failedStart      time.Time         // start of its last run that failed early
	distrustUntil    time.Time         // until when that run's failure counts as a sign of bad workers
	atFault          bool              // its failures say nothing against workers
	inherited        bool              // an earlier scheduler counted a failure, and this one has not assigned it yet
	cautious         bool              // kept off workers that may be bad, see cautiousNeed
	lacksRoom        bool              // in this pass, a cautious group had no room on any worker
	awaitsProof      bool              // such workers have room; for the log
	provedBy         time.Time         // until when it may wait for workers that have proved sound; zero before it was tried
	trustedBy        time.Time         // until when it may wait for workers that are no suspects
	sparedTasks      int               // number of tasks that are spared
	durationsUsed    int               // number of durations from which workers' speeds were learned
}

// gang reports whether the tasks of the group must run together.
func (g *group) gang() bool { return g.spec.GetGang() && len(g.tasks) > 1 }

// waiting returns the number of tasks that need a worker.
func (g *group) waiting() int { return g.open - (g.active - g.completedActive) - g.awaitingPrior }

// rescuing reports whether a run that got room before others has not ended.
func (g *group) rescuing() bool { return g.rescue != nil && g.rescue.task.run == g.rescue }

// cores returns the cost of one task in core equivalents.
func (g *group) cores() float64 { return max(g.size.CoreEquivalents(), 0.1) }

// estimate returns the declared run time of one task.
func (g *group) estimate() time.Duration {
	return time.Duration(max(g.spec.GetEstimate(), 1)) * time.Millisecond
}

// primary returns the task that records the failures and the checkpoint of a task:
// the first task of a gang, or the task itself.
func (g *group) primary(t *task) *task {
	if g.gang() {
		return &g.tasks[0]
	}
	return t
}

// task is one task of a group and its state.
type task struct {
	group       *group
	index       uint32
	done        bool
	run         *run  // current run, nil if the task is not assigned
	lastRun     int64 // highest run number so far
	failures    uint32
	countedRun  int64  // number of the last run that is included in failures
	checkpoint  string // latest checkpoint; gangs keep it in their primary task
	priorWorker string // worker on which an earlier scheduler may have started the task, or that has an orphan of it, or ""
	crashes     crashes
	spared      bool      // not to be placed now
	sharedFrom  time.Time // when it may be placed beside others although it is a suspect; zero before it had to wait
}

// workerID returns the worker on which the task may be running, or "".
func (t *task) workerID() string {
	if t.run != nil {
		return t.run.worker.id()
	}
	return t.priorWorker
}

func (t *task) id() hfwork.TaskID {
	return hfwork.NewTaskID(t.group.job.id(), t.group.occurrence, t.group.step, t.index)
}

// phase is the last known stage of a run.
type phase int

const (
	assigned phase = iota // has a worker; the start was not sent yet
	starting              // start sent, not confirmed
	running               // confirmed by the worker
	stopping              // stop sent, end not confirmed
)

// String returns the name of the phase, as it is logged.
func (p phase) String() string {
	return [...]string{assigned: "assigned", starting: "starting", running: "running", stopping: "stopping"}[p]
}

// run is one attempt to run a task on a worker.
type run struct {
	task      *task
	worker    *worker
	number    int64
	phase     phase
	orderedAt time.Time // when the last start or stop was sent
	// confirmedAt is when the worker confirmed the start, or the stop if the start was never
	// confirmed; zero before that. Answers to later polls show whether the run exists.
	confirmedAt       time.Time
	startedAt         time.Time // when the start was sent, or when the run was adopted
	startUnanswered   bool      // the start got no answer and may take effect later; the run is being stopped
	resourcesReturned bool      // its resources are free for assignments although it has not ended
	progress          progress
	isolated          bool  // a run of a suspect: no other group is placed on its worker
	pace              int64 // percentage confirmed by the worker, or unknownPace
	requestedPace     int64 // percentage in the PaceCmd in flight, or unknownPace
	spared            bool  // was not stopped for urgent work once, see Delays.Spared
	fromStart         bool  // this scheduler started it, and not from a checkpoint
	measured          bool  // its run time is in the durations of its group
	adopted           bool  // it is not known when it was started
}

// worker is the scheduler's view of one worker.
type worker struct {
	registration     *hfwork.Worker
	resources        *hfplacement.Worker // free and used resources
	incarnation      int64               // value in the last report; changes when the worker restarts
	rosterBorn       int64               // start of the incarnation in the roster of an earlier scheduler, or 0
	priorBlamed      bool                // a complete report has shown whether the incarnation rosterBorn is over
	storedBorn       int64               // start of the incarnation in the roster as this scheduler stored it, or 0
	upkeepRequested  bool                // the platform was asked to take its machine down, which ends this incarnation
	reported         bool                // has reported to this scheduler
	silent           bool                // did not answer the last poll
	silentAt         time.Time           // when it first did not answer; valid while it is silent
	mayEndAt         time.Time           // earliest time at which it may end as it drains; zero if that is not known
	domainEvacuated  bool                // it gets no tasks as its failure domain is evacuated
	registered       bool                // is in the list of registered workers
	answered         string              // address at which it last answered this scheduler or an earlier one; starts are sent only there
	inRoster         bool                // is in the stored roster with this address, so that a later scheduler knows of it
	leaseExpiry      time.Time           // if it does not report, nothing runs on it after this time
	runs             map[*run]struct{}
	priorTasks       map[*task]struct{}               // tasks without a run here that may be active here until it reports
	orphans          map[orphan]hfplacement.Resources // runs being stopped that no task refers to, with the resources that they hold
	lastEnd          int64                            // sequence number of the last end that was processed
	quarantinedUntil time.Time                        // no tasks are assigned before this time
	upkeepPending    bool                             // its machine is being drained or is down for upkeep
	refusedUntil     time.Time                        // no tasks are assigned before this time, after it refused a start
	releases         []expectedRelease                // expected ends of its runs as of releasesAt
	releasesAt       time.Time                        // time of the pass that listed releases; zero if runs have changed since
	durationLog      float64                          // logarithm of how many times longer than on others tasks take here
	durationSamples  int                              // tasks from which durationLog is estimated
	colocated        bool                             // runs both serving and filler tasks
	fillerPace       int64                            // pace of its filler tasks in percent
	paceChangedAt    time.Time                        // last change of fillerPace
}

func (w *worker) id() string { return w.registration.GetId() }
