package hfstand

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
)

const (
	stopDelay   = 50 * time.Millisecond // time between a stop order and the end of the run
	gangTimeout = 3 * time.Second       // time after which a member ends if its gang is still incomplete
)

// Start records one run of a task on a runner.
type Start struct {
	Worker    string
	Task      string
	Run       int64
	StartedAt time.Time
	EndedAt   time.Time // zero while it runs
	Outcome   string    // done, failed, stopped, lapsed, alone or restart; empty while it runs
	Spec      string
}

// RunLog records the runs on all runners that share it and checks them for violations.
// The runners use it to find out when all members of a gang have started.
type RunLog struct {
	mu         sync.Mutex
	starts     []*Start
	shapeOf    func(task string) TaskProfile
	violations []string // descriptions of invalid starts
}

// Violations returns the violations: a runner with more accelerators in use than it has, a
// task that runs twice at once, or a task that starts again long after it was done.
func (l *RunLog) Violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.violations...)
}

// checkStart records a violation if a start is invalid. used counts the accelerators in
// use on the runner including this run. The caller holds mu.
func (l *RunLog) checkStart(s *Start, used, capacity int64) {
	for _, o := range l.starts {
		if o.Task != s.Task {
			continue
		}
		if o.EndedAt.IsZero() {
			l.violations = append(l.violations, fmt.Sprintf("%s run %d on %s while run %d is on %s", s.Task, s.Run, s.Worker, o.Run, o.Worker))
		}
		if o.Outcome == "done" && s.StartedAt.Sub(o.EndedAt) > doneRecordTime {
			l.violations = append(l.violations, fmt.Sprintf("%s run %d %v after it was done", s.Task, s.Run, s.StartedAt.Sub(o.EndedAt)))
		}
	}
	if used > capacity {
		l.violations = append(l.violations, fmt.Sprintf("%s on %s takes %d of %d accelerators", s.Task, s.Worker, used, capacity))
	}
}

// doneRecordTime is the time within which a scheduler must record the end of a task, also
// a new one that does not know of it yet. Until then it may start a task again that is done.
const doneRecordTime = 15 * time.Second

// TaskProfile says how a task behaves on a runner.
type TaskProfile struct {
	RunTime      time.Duration // run time
	GangSize     int           // number of members of its gang, 1 for a task without a gang
	Fails        bool          // the task fails after half its run time
	Accelerators int64         // accelerators in use while it runs
}

// NewRunLog returns an empty ledger. shapeOf is called for each task that is started.
func NewRunLog(shapeOf func(task string) TaskProfile) *RunLog { return &RunLog{shapeOf: shapeOf} }

// Starts returns copies of all starts so far, in the order in which they were recorded.
func (l *RunLog) Starts() []Start {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]Start, 0, len(l.starts))
	for _, s := range l.starts {
		list = append(list, *s)
	}
	return list
}

// runningMembers returns the number of members of a gang that run now. The caller holds
// mu.
func (l *RunLog) runningMembers(task string, run int64) int {
	step := task[:strings.LastIndexByte(task, '.')]
	n := 0
	for _, s := range l.starts {
		if s.EndedAt.IsZero() && s.Run == run && s.Task[:strings.LastIndexByte(s.Task, '.')] == step {
			n++
		}
	}
	return n
}

// PlatformWorker is a fake worker of the operators' platform. It runs tasks on the orders of a
// scheduler, under one lease for all of them.
type PlatformWorker struct {
	id     string
	ledger *RunLog

	mu            sync.Mutex
	bornAt        time.Time
	fence         int64     // highest fencing token received
	leaseEnd      time.Time // end of the lease of all runs
	runs          map[string]*activeRun
	ended         []endedRun
	lastEndNumber int64
	highestRun    map[string]int64 // by task; starts up to this run number are refused
	wake          chan struct{}    // closed and replaced when a run ends
	dropOrders    bool             // the connection of each order is dropped
	accelerators  int64
}

// activeRun is a run that has not ended.
type activeRun struct {
	start    *Start
	working  bool // the gang is complete and the work has begun
	stopping bool // a stop order was received
	shape    TaskProfile
}

// endedRun is a run that the scheduler has not acknowledged yet.
type endedRun struct {
	number  int64
	task    string
	run     int64
	outcome string
}

// NewPlatformWorker returns a runner with a number of accelerators and without runs.
func NewPlatformWorker(id string, accelerators int64, l *RunLog) *PlatformWorker {
	r := &PlatformWorker{id: id, accelerators: accelerators, ledger: l}
	r.Restart()
	return r
}

// Restart ends all runs and starts a new incarnation without any state of the previous
// one.
func (r *PlatformWorker) Restart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ledger.mu.Lock()
	for _, o := range r.runs {
		o.start.EndedAt, o.start.Outcome = time.Now(), "restart"
	}
	r.ledger.mu.Unlock()
	r.bornAt, r.fence, r.leaseEnd, r.lastEndNumber = time.Now(), 0, time.Time{}, 0
	r.runs, r.ended, r.highestRun = map[string]*activeRun{}, nil, map[string]int64{}
	r.wake = make(chan struct{})
}

// DropOrders sets whether the runner drops the connection of each order instead of
// answering it.
func (r *PlatformWorker) DropOrders(drop bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropOrders = drop
}

// Entry returns the entry under which the worker is registered in the store.
func (r *PlatformWorker) Entry(service, address, zone, rack string, cpu, memory int64, draining bool) map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := "ready"
	if draining {
		state = "draining"
	}
	return map[string]any{
		"service": service, "address": address, "zone": zone, "version": "v1", "slots": 8, "state": state,
		"cold_remaining_ms": 0, "capacity": map[string]int64{"cpu": cpu, "mem_mb": memory, "gpu": r.accelerators},
		"labels": []string{"a", rack}, "born": r.bornAt.UnixMilli(), "sequence": 1,
	}
}

// Handler returns the HTTP interface of the runner.
func (r *PlatformWorker) Handler() http.Handler {
	e := echo.New()
	e.POST("/v1/run-start", r.handleStart)
	e.POST("/v1/run-stop", r.handleStop)
	e.POST("/v1/hold", r.handleHold)
	e.POST("/v1/pace", func(c echo.Context) error { return c.JSON(http.StatusOK, r.withClock(nil)) })
	return e
}

// orderBody is the JSON body of an order. The fields in use depend on the kind of order.
type orderBody struct {
	Task     string `json:"task"`
	Run      int64  `json:"run"`
	Spec     string `json:"spec"`
	UntilMS  int64  `json:"until_ms"`
	Fence    int64  `json:"fence"`
	LastSeen int64  `json:"last_seen"`
	WaitMS   int64  `json:"wait_ms"`
}

// withOrder decodes an order and passes it to handle with mu held. It refuses an order
// whose fencing token is below the highest one received, and drops the connection while
// dropOrders is set.
func (r *PlatformWorker) withOrder(c echo.Context, handle func(b orderBody) error) error {
	var b orderBody
	if err := json.NewDecoder(c.Request().Body).Decode(&b); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.dropOrders {
		panic(http.ErrAbortHandler)
	}
	if b.Fence < r.fence {
		return r.refuse(c, "fence")
	}
	r.fence = b.Fence
	return handle(b)
}

// withClock adds the fields that every answer has: the runner's clock and its start time.
func (r *PlatformWorker) withClock(body map[string]any) map[string]any {
	if body == nil {
		body = map[string]any{}
	}
	body["clock_ms"], body["born"] = time.Since(r.bornAt).Milliseconds(), r.bornAt.UnixMilli()
	return body
}

// refuse answers an order with status 409 and a reason.
func (r *PlatformWorker) refuse(c echo.Context, reason string) error {
	return c.JSON(http.StatusConflict, r.withClock(map[string]any{"reason": reason}))
}

// extendLeases extends the lease of all runs to untilMS on the runner's clock, and never
// shortens it. The caller holds mu.
func (r *PlatformWorker) extendLeases(untilMS int64) {
	if end := r.bornAt.Add(time.Duration(untilMS) * time.Millisecond); untilMS > 0 && end.After(r.leaseEnd) {
		r.leaseEnd = end
	}
}

// handleStart starts a run. It refuses one whose number is not above that of earlier runs
// of the task, and one whose lease has already ended.
func (r *PlatformWorker) handleStart(c echo.Context) error {
	return r.withOrder(c, func(b orderBody) error {
		if o := r.runs[b.Task]; o != nil && o.start.Run == b.Run {
			return c.JSON(http.StatusOK, r.withClock(nil))
		}
		if b.Run <= r.highestRun[b.Task] {
			return r.refuse(c, "old")
		}
		if time.Since(r.bornAt).Milliseconds() > b.UntilMS {
			return r.refuse(c, "late")
		}
		r.extendLeases(b.UntilMS)
		r.startRun(b)
		return c.JSON(http.StatusOK, r.withClock(nil))
	})
}

// startRun records a run and waits for its gang. The run ends as "alone" if its gang
// does not become complete within gangTimeout. The caller holds mu.
func (r *PlatformWorker) startRun(b orderBody) {
	l := r.ledger
	o := &activeRun{start: &Start{Worker: r.id, Task: b.Task, Run: b.Run, StartedAt: time.Now(), Spec: b.Spec}, shape: l.shapeOf(b.Task)}
	r.runs[b.Task], r.highestRun[b.Task] = o, b.Run
	used := int64(0)
	for _, x := range r.runs {
		used += x.shape.Accelerators
	}
	l.mu.Lock()
	l.checkStart(o.start, used, r.accelerators)
	l.starts = append(l.starts, o.start)
	l.mu.Unlock()
	time.AfterFunc(gangTimeout, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if !o.working {
			r.endRun(o, "alone")
		}
	})
	r.startWorkWhenComplete(o)
}

// startWorkWhenComplete starts the work of a run once all members of its gang run. The
// caller holds mu.
func (r *PlatformWorker) startWorkWhenComplete(o *activeRun) {
	l := r.ledger
	l.mu.Lock()
	complete := l.runningMembers(o.start.Task, o.start.Run) >= o.shape.GangSize
	l.mu.Unlock()
	if !complete {
		time.AfterFunc(5*time.Millisecond, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			if r.runs[o.start.Task] == o {
				r.startWorkWhenComplete(o)
			}
		})
		return
	}
	o.working = true
	work, outcome := o.shape.RunTime, "done"
	if o.shape.Fails {
		work, outcome = work/2, "failed"
	}
	time.AfterFunc(work, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.endRun(o, outcome)
	})
}

// endRun ends a run and wakes waiting hold orders, whose answers list the end until the
// scheduler acknowledges it. The caller holds mu.
func (r *PlatformWorker) endRun(o *activeRun, outcome string) {
	if r.runs[o.start.Task] != o {
		return
	}
	delete(r.runs, o.start.Task)
	r.ledger.mu.Lock()
	o.start.EndedAt, o.start.Outcome = time.Now(), outcome
	r.ledger.mu.Unlock()
	r.lastEndNumber++
	r.ended = append(r.ended, endedRun{number: r.lastEndNumber, task: o.start.Task, run: o.start.Run, outcome: outcome})
	close(r.wake)
	r.wake = make(chan struct{})
}

// handleStop stops a run after stopDelay. Later starts of this run and of earlier ones of
// the task are refused.
func (r *PlatformWorker) handleStop(c echo.Context) error {
	return r.withOrder(c, func(b orderBody) error {
		r.highestRun[b.Task] = max(r.highestRun[b.Task], b.Run)
		if o := r.runs[b.Task]; o != nil && o.start.Run == b.Run && !o.stopping {
			o.stopping = true
			time.AfterFunc(stopDelay, func() {
				r.mu.Lock()
				defer r.mu.Unlock()
				r.endRun(o, "stopped")
			})
		}
		return c.JSON(http.StatusOK, r.withClock(nil))
	})
}

// handleHold extends the lease, forgets the ends up to LastSeen, which the scheduler has
// seen, and returns the running and ended runs. It waits up to WaitMS for an end if there
// is none.
func (r *PlatformWorker) handleHold(c echo.Context) error {
	return r.withOrder(c, func(b orderBody) error {
		r.extendLeases(b.UntilMS)
		r.ended = slices.DeleteFunc(r.ended, func(e endedRun) bool { return e.number <= b.LastSeen })
		if len(r.ended) == 0 && b.WaitMS > 0 {
			wake := r.wake
			r.mu.Unlock()
			select {
			case <-wake:
			case <-time.After(time.Duration(b.WaitMS) * time.Millisecond):
			case <-c.Request().Context().Done():
			}
			r.mu.Lock()
		}
		r.endLapsedRuns()
		return c.JSON(http.StatusOK, r.withClock(r.runLists()))
	})
}

// endLapsedRuns ends all runs once the lease has expired. The caller holds mu.
func (r *PlatformWorker) endLapsedRuns() {
	if time.Now().Before(r.leaseEnd) {
		return
	}
	for _, o := range r.runs {
		r.endRun(o, "lapsed")
	}
}

// runLists returns the running and ended runs in the format of an answer. The caller holds
// mu.
func (r *PlatformWorker) runLists() map[string]any {
	running, ended := [][]any{}, [][]any{}
	for _, o := range r.runs {
		running = append(running, []any{o.start.Task, o.start.Run, "", 100, 0})
	}
	sort.Slice(running, func(i, j int) bool { return running[i][0].(string) < running[j][0].(string) })
	for _, e := range r.ended {
		ended = append(ended, []any{e.number, e.task, e.run, e.outcome, ""})
	}
	return map[string]any{"running": running, "ended_runs": ended}
}

// ExpireLeases ends the runs of expired leases periodically, also while no orders arrive,
// until done is closed.
func (r *PlatformWorker) ExpireLeases(done <-chan struct{}) {
	t := time.NewTicker(50 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-done:
			return
		case <-t.C:
			r.mu.Lock()
			r.endLapsedRuns()
			r.mu.Unlock()
		}
	}
}
