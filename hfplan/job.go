package hfplan

import (
	"time"

	"github.com/heatherfront/heatherfront/hfroom"
	"github.com/heatherfront/heatherfront/hfwork"
)

// job is one accepted job.
type job struct {
	spec        *hfwork.Job
	queue       *hfwork.Queue // as last configured, also after its removal
	state       string
	reason      string
	endedMillis int64 // Unix milliseconds of the final state
	cancelled   bool
	guaranteed  bool // it stands under the guarantee of its account
	started     bool // a worker has confirmed a start
	groups      []*group
	openGroups  int       // groups that are not done
	learnedAt   time.Time // when this scheduler learned of it
}

func (j *job) id() string { return j.spec.GetId() }

func (j *job) final() bool { return j.cancelled || hfwork.Final(j.state) }

// group is one step of one occurrence.
type group struct {
	job              *job
	occurrence       uint32
	step             uint32
	spec             *hfwork.Step
	size             hfroom.Size // what one task takes of a worker
	tasks            []task
	open             int       // tasks that have not ended well
	active           int       // tasks that have a run
	awaitingPrior    int       // tasks without a run that may still be running where an earlier scheduler started them
	assigned         int       // runs that were not sent yet
	due              time.Time // not started before
	avoid            map[string]bool
	preemptNotBefore time.Time         // looks for victims again then, after it found too few
	assignedAt       time.Time         // when its runs were promised
	requiredSequence uint64            // StoreCmd that tells where they are; they start once it is stored
	tickets          map[string]ticket // by worker, of an advised queue
	refusedWorkers   map[string]bool   // workers that may not run the step
	reservedRack     string            // kept free for it, "" for none
}

func (g *group) gang() bool { return g.spec.GetGang() && len(g.tasks) > 1 }

// waiting returns the number of tasks that need a place.
func (g *group) waiting() int { return g.open - g.active - g.awaitingPrior }

// cores returns the weight of one task in cores.
func (g *group) cores() float64 { return max(g.size.Cores(), 0.1) }

// estimate returns the declared run time of one task.
func (g *group) estimate() time.Duration {
	return time.Duration(max(g.spec.GetEstimate(), 1)) * time.Millisecond
}

// lead returns the task that keeps the failures and the checkpoint: the first one for
// a gang.
func (g *group) primary(t *task) *task {
	if g.gang() {
		return &g.tasks[0]
	}
	return t
}

// task is one task of a group.
type task struct {
	group       *group
	index       uint32
	done        bool
	run         *run  // nil while it waits
	lastRun     int64 // highest number of its runs
	failures    uint32
	countedRun  int64  // number of the last failed run in failures
	checkpoint  string // newest checkpoint; of the first task for a gang
	priorWorker string // worker on which an earlier scheduler may have started it, "" if none
}

// where returns the worker on which the task may be running.
func (t *task) workerID() string {
	if t.run != nil {
		return t.run.worker.id()
	}
	return t.priorWorker
}

func (t *task) id() hfwork.TaskID {
	return hfwork.NewTaskID(t.group.job.id(), t.group.occurrence, t.group.step, t.index)
}

// phase is what is known of a run.
type phase int

const (
	assigned phase = iota // it has a worker; nothing was sent
	starting              // a start was sent
	running               // the worker confirmed it
	stopping              // it is to end; a stop was sent
)

// run is one placement of a task.
type run struct {
	task              *task
	worker            *worker
	number            int64
	phase             phase
	orderedAt         time.Time // last order that was sent
	confirmedAt       time.Time // a report asked for later shows the run if it is still there; zero while that is open
	startedAt         time.Time // when it began, as far as known
	resourcesReturned bool      // its promise of room was given back before its end
	progress          progress
	pace              int64 // share of its pace that its worker has confirmed, in percent, or paceUnknown
	requestedPace     int64 // share in the PaceCmd under way, or paceUnknown
}

// worker is what is known of one worker.
type worker struct {
	registration     *hfwork.Worker
	resources        *hfroom.Worker
	incarnation      int64 // life of the last report
	reported         bool  // it was heard by this scheduler
	silent           bool  // its last report did not come
	registered       bool  // it is registered
	inRoster         bool  // it stands in the stored roster
	leaseExpiry      time.Time
	runs             map[*run]struct{}
	priorTasks       map[*task]struct{} // tasks that may run here, until it is heard
	orphans          map[orphan]hfroom.Size
	lastEnd          int64 // last end that was taken note of
	quarantinedUntil time.Time
	upkeepPending    bool            // its machine is about to go down
	failedJobs       map[string]bool // jobs that failed here since a task ended well
	quarantines      int             // times set aside since a task ended well
	refusedUntil     time.Time       // gets no starts before, after a refusal
	colocated        bool            // it runs tasks that serve and tasks that fill
	fillerPace       int64           // percent of their pace at which its filling tasks work
	paceChangedAt    time.Time       // last change of the share
}

func (w *worker) id() string { return w.registration.GetId() }
