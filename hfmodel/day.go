package hfmodel

import (
	"container/heap"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/heatherfront/heatherfront/hfgang"
	"github.com/heatherfront/heatherfront/hfwire"
	"github.com/heatherfront/heatherfront/hfworker"
)

const (
	commitLatency    = 8 * time.Millisecond // time that a write to the store takes
	callLatency      = 5 * time.Millisecond // time that a call to a worker takes
	reportDelay      = 3 * time.Second      // from a change of a task until the scheduler learns of it
	tickInterval     = time.Second
	maxSimulatedTime = 72 * time.Hour          // a simulation stops after this time, even with jobs left
	claimTarget      = 3900 * time.Millisecond // time limit for the start of urgent jobs within a guarantee

	simulationStart = 1_790_000_000 // Unix time in seconds

	sampleInterval = 300 // seconds between two samples of DayResult.largestBlockShares
	sampleBlock    = 64  // accelerators; the largest gang size
)

// DayResult holds the measurements of one or several simulated days.
type DayResult struct {
	finished   int
	left       int
	completion []time.Duration            // of all finished jobs, from arrival to end
	byClass    map[string][]time.Duration // completion by class
	// claims counts the urgent jobs whose account had an unused, met guarantee of at least
	// their size on arrival. Under first-fit it counts all urgent jobs that started.
	claims    int
	claimsMet int     // of these, started within claimTarget
	lostWork  float64 // accelerator-seconds of work lost to preemption
	doneWork  float64 // accelerator-seconds of finished jobs
	// largestBlockShares holds samples of the size of the largest idle block divided by the
	// number of idle accelerators, both limited to sampleBlock.
	largestBlockShares []float64
	decisions          int
	decisionTime       time.Duration // real time spent in decisions
	slowestDecision    time.Duration // longest real time of one decision
	commits            int
	commitBytes        int
}

// event is a step of the simulation at a point in simulated time.
type event struct {
	at       time.Time
	sequence int
	run      func()
}

// eventQueue is a heap of events, ordered by time and then by sequence number.
type eventQueue []event

// Len implements heap.Interface.
func (e eventQueue) Len() int { return len(e) }

// Less implements heap.Interface.
func (e eventQueue) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].sequence < e[j].sequence
}

// Swap implements heap.Interface.
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *eventQueue) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *eventQueue) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// attempt is an attempt of a job whose gang was released.
type attempt struct {
	released   time.Time
	checkpoint time.Duration
	ended      bool
}

// simulation runs a trace of jobs through an hfgang.Scheduler in simulated time.
type simulation struct {
	deployment Deployment
	now        time.Time
	scheduler  *hfgang.Scheduler
	events     eventQueue
	scheduled  int // events added so far
	jobs       map[string]*arrival
	started    map[string]bool
	claimJobs  map[string]bool     // urgent jobs that are counted in DayResult.claims
	attempts   map[string]*attempt // by attemptKey
	tasks      map[string]map[string]*hfwire.Task
	openJobs   int
	result     DayResult
}

// SimulateScheduler runs one day of a deployment through hfgang.Scheduler. The same seed
// gives the same arrivals.
func SimulateScheduler(d Deployment, seed uint64) DayResult {
	start := time.Unix(simulationStart, 0)
	x := &simulation{
		deployment: d, now: start, jobs: map[string]*arrival{}, started: map[string]bool{}, claimJobs: map[string]bool{},
		attempts: map[string]*attempt{}, tasks: map[string]map[string]*hfwire.Task{},
		result: DayResult{byClass: map[string][]time.Duration{}},
	}
	x.scheduler = hfgang.New("a", hfgang.NewTiming(12*time.Second, 9*time.Second, 7*24*time.Hour))
	x.update(hfgang.Accounts(d.accountDirectory()))
	workers := d.workersByName()
	x.update(hfgang.Fleet(workers))
	for name := range workers {
		x.tasks[name] = map[string]*hfwire.Task{}
		x.update(hfgang.Report(name, nil, false))
	}
	x.update(hfgang.Load(make([]*hfwire.Shard, hfgang.Shards)))
	arrivals := d.drawTrace(seed, start)
	for i := range arrivals {
		a := &arrivals[i]
		x.jobs[a.job.GetId()] = a
		x.openJobs++
		x.schedule(a.at, func() { x.submit(a) })
	}
	x.runEvents(start)
	return x.result
}

// schedule adds an event. Events of the same time run in the order in which they were added.
func (x *simulation) schedule(t time.Time, run func()) {
	x.scheduled++
	heap.Push(&x.events, event{at: t, sequence: x.scheduled, run: run})
}

// runEvents processes events until all jobs ended or maxSimulatedTime has passed.
func (x *simulation) runEvents(start time.Time) {
	x.schedule(start.Add(tickInterval), x.tick)
	for x.events.Len() > 0 && x.openJobs > 0 && x.now.Sub(start) < maxSimulatedTime {
		e := heap.Pop(&x.events).(event)
		x.now = e.at
		e.run()
	}
	x.result.left = x.openJobs
}

func (x *simulation) tick() {
	names := make([]string, 0, len(x.tasks))
	for name := range x.tasks {
		names = append(names, name)
	}
	x.update(hfgang.Fresh(names))
	x.update(hfgang.TickMsg{})
	if x.now.Unix()%sampleInterval == 0 {
		if idle, largest := x.scheduler.Idle(); idle > 0 {
			x.result.largestBlockShares = append(x.result.largestBlockShares, float64(largest)/float64(min(idle, sampleBlock)))
		}
	}
	x.schedule(x.now.Add(tickInterval), x.tick)
}

// submit sends a job to the scheduler. Before that it checks whether an urgent job's
// account has an unused guarantee of at least its size that the scheduler meets, as the job
// has to start within claimTarget in that case.
func (x *simulation) submit(a *arrival) {
	if a.job.GetClass() == "urgent" {
		for _, g := range x.scheduler.Status().GetGuarantees() {
			if g.GetAccount() == a.job.GetAccount() && g.GetMet() && g.GetClaims() == 0 && g.GetSize() >= a.job.GetSize() {
				x.claimJobs[a.job.GetId()] = true
			}
		}
		if x.claimJobs[a.job.GetId()] {
			x.result.claims++
		}
	}
	x.update(hfgang.Submit(1, a.job))
}

// update passes a message to the scheduler, measures the decision and executes the
// commands that it returns.
func (x *simulation) update(msg hfgang.Msg) {
	started := time.Now()
	cmds := x.scheduler.Update(msg, x.now)
	took := time.Since(started)
	x.result.decisionTime += took
	x.result.decisions++
	x.result.slowestDecision = max(x.result.slowestDecision, took)
	for _, cmd := range cmds {
		switch c := cmd.(type) {
		case hfgang.CommitCmd:
			x.result.commits++
			x.result.commitBytes += proto.Size(c.Record())
			x.schedule(x.now.Add(commitLatency), func() { x.update(hfgang.Stored(c.Shard())) })
		case hfgang.TaskCmd:
			x.schedule(x.now.Add(callLatency), func() { x.executeTask(c) })
		case hfgang.ChangedCmd:
			x.jobChanged(c.Job())
		case hfgang.ReplyCmd:
			if c.Code() != hfgang.CodeOK {
				x.openJobs--
			}
		}
	}
}

// jobChanged records a job's new state.
func (x *simulation) jobChanged(j *hfwire.Job) {
	a := x.jobs[j.GetId()]
	switch j.GetState() {
	case hfgang.StateRunning:
		if !x.started[j.GetId()] {
			x.started[j.GetId()] = true
			if x.claimJobs[j.GetId()] && x.now.Sub(a.at) <= claimTarget {
				x.result.claimsMet++
			}
		}
	case hfgang.StateDone:
		x.openJobs--
		x.result.finished++
		took := x.now.Sub(a.at)
		x.result.completion = append(x.result.completion, took)
		x.result.byClass[j.GetClass()] = append(x.result.byClass[j.GetClass()], took)
		x.result.doneWork += a.runTime.Seconds() * float64(j.GetSize())
	}
}

// attemptKey identifies the attempt that a command belongs to.
func attemptKey(c hfgang.TaskCmd) string {
	return hfworker.TaskID(c.Job(), c.Attempt(), 0, 0)
}

// executeTask executes a call to a worker and answers it.
func (x *simulation) executeTask(c hfgang.TaskCmd) {
	a := x.jobs[c.Job()]
	key := attemptKey(c)
	current := x.attempts[key]
	state, checkpoint := hfworker.StateHeld, c.From()
	switch c.Verb() {
	case hfgang.VerbRelease:
		state = hfworker.StateRunning
		if current == nil {
			current = &attempt{released: x.now, checkpoint: time.Duration(c.From()) * time.Millisecond}
			x.attempts[key] = current
			x.schedule(x.now.Add(a.runTime-current.checkpoint), func() { x.finishGang(c, current) })
		}
		x.setTask(c, state)
	case hfgang.VerbCheckpoint:
		state = hfworker.StateRunning
		if current != nil {
			checkpoint = (current.checkpoint + x.now.Sub(current.released)).Milliseconds()
		}
	case hfgang.VerbStop:
		state = hfworker.StateStopped
		if current != nil && !current.ended {
			current.ended = true
			lost := x.now.Sub(current.released) - (time.Duration(c.From())*time.Millisecond - current.checkpoint)
			x.result.lostWork += max(lost, 0).Seconds() * float64(a.job.GetSize())
		}
		x.setTask(c, state)
	default:
		x.setTask(c, state)
	}
	x.update(hfgang.Answered(c, state, false, checkpoint))
}

// setTask sets the state of a command's task on its worker and schedules a report.
func (x *simulation) setTask(c hfgang.TaskCmd, state string) {
	name := c.Grant().GetWorker()
	x.schedule(x.now.Add(reportDelay), func() { x.reportWorker(name) })
	tasks := x.tasks[name]
	if state == hfworker.StateStopped {
		delete(tasks, c.Task())
		return
	}
	t, err := hfworker.ParseTask(c.Task(), state)
	if err == nil {
		tasks[c.Task()] = t
	}
}

// finishGang sets every member of a gang to done.
func (x *simulation) finishGang(c hfgang.TaskCmd, current *attempt) {
	if current.ended {
		return
	}
	current.ended = true
	for _, name := range sortedNames(x.tasks) {
		for id, t := range x.tasks[name] {
			if t.GetJob() != c.Job() || t.GetAttempt() != c.Attempt() {
				continue
			}
			x.tasks[name][id], _ = hfworker.ParseTask(id, hfworker.StateDone)
			x.schedule(x.now.Add(reportDelay), func() { x.reportWorker(name) })
			x.schedule(x.now.Add(endedTaskRetention), func() { delete(x.tasks[name], id) })
		}
	}
}

// endedTaskRetention is how long an ended task stays in its worker's reports.
const endedTaskRetention = time.Minute

// reportWorker reports a worker's tasks to the scheduler.
func (x *simulation) reportWorker(name string) {
	tasks := make([]*hfwire.Task, 0, len(x.tasks[name]))
	for _, t := range x.tasks[name] {
		tasks = append(tasks, t)
	}
	x.update(hfgang.Report(name, tasks, false))
}

func sortedNames(tasks map[string]map[string]*hfwire.Task) []string {
	names := make([]string, 0, len(tasks))
	for name := range tasks {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
