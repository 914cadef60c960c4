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
	commitTakes = 8 * time.Millisecond
	callTakes   = 5 * time.Millisecond
	reportLag   = 3 * time.Second // from a task's end to the leader
	tickEvery   = time.Second
	longestDay  = 72 * time.Hour // a run that has not ended by then is given up
	claimBound  = 3900 * time.Millisecond
)

// Result is what one day measured.
type Result struct {
	finished    int
	left        int
	completion  []time.Duration            // of all jobs
	byClass     map[string][]time.Duration // by class
	claims      int                        // urgent jobs whose account had a free, met shape when they came
	claimsMet   int                        // of them, started within claimBound
	lost        float64                    // accelerator-seconds of work thrown away by preemption
	work        float64                    // accelerator-seconds of work done
	fragment    []float64                  // largest block over idle accelerators, up to 64
	decisions   int
	deciding    time.Duration // real time in Update
	slowest     time.Duration // longest real time of one Update
	commits     int
	commitBytes int
}

type event struct {
	at time.Time
	n  int
	do func()
}

type events []event

// Len implements heap.Interface.
func (e events) Len() int { return len(e) }

// Less implements heap.Interface.
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].n < e[j].n
}

// Swap implements heap.Interface.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// running is one released attempt.
type running struct {
	began time.Time
	from  time.Duration
	over  bool
}

// day runs a trace through a Scheduler.
type day struct {
	d       Deployment
	now     time.Time
	s       *hfgang.Scheduler
	queue   events
	n       int
	jobs    map[string]*arrival
	started map[string]bool
	claim   map[string]bool
	runs    map[string]*running // by job and attempt
	tasks   map[string]map[string]*hfwire.Task
	open    int
	result  Result
}

// Day measures one day of a deployment.
func Day(d Deployment, seed uint64) Result {
	start := time.Unix(1_790_000_000, 0)
	x := &day{
		d: d, now: start, jobs: map[string]*arrival{}, started: map[string]bool{}, claim: map[string]bool{},
		runs: map[string]*running{}, tasks: map[string]map[string]*hfwire.Task{},
		result: Result{byClass: map[string][]time.Duration{}},
	}
	x.s = hfgang.New("a", hfgang.NewTiming(12*time.Second, 9*time.Second, 7*24*time.Hour))
	x.feed(hfgang.Accounts(d.book()))
	rows := d.rows()
	x.feed(hfgang.Fleet(rows))
	for name := range rows {
		x.tasks[name] = map[string]*hfwire.Task{}
		x.feed(hfgang.Report(name, nil, false))
	}
	x.feed(hfgang.Load(make([]*hfwire.Shard, hfgang.Shards)))
	trace := d.trace(seed, start)
	for i := range trace {
		a := &trace[i]
		x.jobs[a.record.GetId()] = a
		x.open++
		x.at(a.at, func() { x.submit(a) })
	}
	x.run(start)
	return x.result
}

func (x *day) at(t time.Time, do func()) {
	x.n++
	heap.Push(&x.queue, event{at: t, n: x.n, do: do})
}

func (x *day) run(start time.Time) {
	x.at(start.Add(tickEvery), x.tick)
	for x.queue.Len() > 0 && x.open > 0 && x.now.Sub(start) < longestDay {
		e := heap.Pop(&x.queue).(event)
		x.now = e.at
		e.do()
	}
	x.result.left = x.open
}

func (x *day) tick() {
	names := make([]string, 0, len(x.tasks))
	for name := range x.tasks {
		names = append(names, name)
	}
	x.feed(hfgang.Seen(names))
	x.feed(hfgang.TickMsg{})
	if x.now.Unix()%300 == 0 {
		if idle, largest := x.s.Idle(); idle > 0 {
			x.result.fragment = append(x.result.fragment, float64(largest)/float64(min(idle, 64)))
		}
	}
	x.at(x.now.Add(tickEvery), x.tick)
}

// submit notes first whether the guarantee of an urgent job's account is free.
func (x *day) submit(a *arrival) {
	if a.record.GetClass() == "urgent" {
		for _, g := range x.s.Status().GetGuarantees() {
			if g.GetAccount() == a.record.GetAccount() && g.GetMet() && g.GetClaims() == 0 && g.GetSize() >= a.record.GetSize() {
				x.claim[a.record.GetId()] = true
			}
		}
		if x.claim[a.record.GetId()] {
			x.result.claims++
		}
	}
	x.feed(hfgang.Submit(1, a.record))
}

func (x *day) feed(msg hfgang.Msg) {
	began := time.Now()
	cmds := x.s.Update(msg, x.now)
	took := time.Since(began)
	x.result.deciding += took
	x.result.decisions++
	x.result.slowest = max(x.result.slowest, took)
	for _, cmd := range cmds {
		switch c := cmd.(type) {
		case hfgang.CommitCmd:
			x.result.commits++
			x.result.commitBytes += proto.Size(c.Record())
			x.at(x.now.Add(commitTakes), func() { x.feed(hfgang.Stored(c.Shard())) })
		case hfgang.TaskCmd:
			x.at(x.now.Add(callTakes), func() { x.act(c) })
		case hfgang.ChangedCmd:
			x.changed(c.Job())
		case hfgang.ReplyCmd:
			if c.Code() != hfgang.CodeOK {
				x.open--
			}
		}
	}
}

func (x *day) changed(j *hfwire.Job) {
	a := x.jobs[j.GetId()]
	switch j.GetState() {
	case hfgang.StateRunning:
		if !x.started[j.GetId()] {
			x.started[j.GetId()] = true
			if x.claim[j.GetId()] && x.now.Sub(a.at) <= claimBound {
				x.result.claimsMet++
			}
		}
	case hfgang.StateDone:
		x.open--
		x.result.finished++
		took := x.now.Sub(a.at)
		x.result.completion = append(x.result.completion, took)
		x.result.byClass[j.GetClass()] = append(x.result.byClass[j.GetClass()], took)
		x.result.work += a.run.Seconds() * float64(j.GetSize())
	}
}

func gangKey(c hfgang.TaskCmd) string {
	return hfworker.TaskID(c.Job(), c.Attempt(), 0, 0)
}

func (x *day) act(c hfgang.TaskCmd) {
	a := x.jobs[c.Job()]
	key := gangKey(c)
	r := x.runs[key]
	state, kept := hfworker.StateHeld, c.From()
	switch c.Verb() {
	case hfgang.VerbRelease:
		state = hfworker.StateRunning
		if r == nil {
			r = &running{began: x.now, from: time.Duration(c.From()) * time.Millisecond}
			x.runs[key] = r
			x.at(x.now.Add(a.run-r.from), func() { x.end(c, r) })
		}
		x.setTask(c, state)
	case hfgang.VerbCheckpoint:
		state = hfworker.StateRunning
		if r != nil {
			kept = (r.from + x.now.Sub(r.began)).Milliseconds()
		}
	case hfgang.VerbStop:
		state = hfworker.StateStopped
		if r != nil && !r.over {
			r.over = true
			lost := x.now.Sub(r.began) - (time.Duration(c.From())*time.Millisecond - r.from)
			x.result.lost += max(lost, 0).Seconds() * float64(a.record.GetSize())
		}
		x.setTask(c, state)
	default:
		x.setTask(c, state)
	}
	x.feed(hfgang.Answered(c, state, false, kept))
}

func (x *day) setTask(c hfgang.TaskCmd, state string) {
	name := c.Grant().GetWorker()
	x.at(x.now.Add(reportLag), func() { x.report(name) })
	on := x.tasks[name]
	if state == hfworker.StateStopped {
		delete(on, c.Task())
		return
	}
	t, err := hfworker.ParseTask(c.Task(), state)
	if err == nil {
		on[c.Task()] = t
	}
}

// end lets every member of a gang finish.
func (x *day) end(c hfgang.TaskCmd, r *running) {
	if r.over {
		return
	}
	r.over = true
	for _, name := range sortedNames(x.tasks) {
		for id, t := range x.tasks[name] {
			if t.GetJob() != c.Job() || t.GetAttempt() != c.Attempt() {
				continue
			}
			x.tasks[name][id], _ = hfworker.ParseTask(id, hfworker.StateDone)
			x.at(x.now.Add(reportLag), func() { x.report(name) })
			x.at(x.now.Add(endedFor), func() { delete(x.tasks[name], id) })
		}
	}
}

// endedFor is how long an ended task stays in the reports.
const endedFor = time.Minute

// report tells the scheduler what a worker runs.
func (x *day) report(name string) {
	list := make([]*hfwire.Task, 0, len(x.tasks[name]))
	for _, t := range x.tasks[name] {
		list = append(list, t)
	}
	x.feed(hfgang.Report(name, list, false))
}

func sortedNames(tasks map[string]map[string]*hfwire.Task) []string {
	names := make([]string, 0, len(tasks))
	for name := range tasks {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
