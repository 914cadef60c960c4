package hfstand

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
)

const (
	stopDelay   = 50 * time.Millisecond // time between a stop order and the end of the run
	gangTimeout = 3 * time.Second       // time after which a member ends if its gang is still incomplete
	crashDelay  = 50 * time.Millisecond // time between the start of a task that crashes its worker and the crash
)

// Start records one run of a task on a worker.
type Start struct {
	Worker    string
	Task      string
	Run       int64
	StartedAt time.Time
	EndedAt   time.Time // zero while it runs
	Outcome   string    // done, failed, stopped, lapsed, alone, broken, restart or crash; empty while it runs
	Spec      string
	noted     bool            // ended as done, and a hold order took note of that end before the lease lapsed
	lost      bool            // ended, and the worker's process ended before a hold order took note of that
	worker    *PlatformWorker // nil in tests of the log itself
}

// lapsed reports whether the lease of the run had ended at a time.
func (s *Start) lapsed(at time.Time) bool {
	return s.worker != nil && !at.Before(time.UnixMicro(s.worker.leaseEndMicros.Load()))
}

// RunLog records the runs on all workers that share it and checks them for violations.
// The workers use it to find out when all members of a gang have started.
type RunLog struct {
	mu         sync.Mutex
	starts     []*Start
	profileOf  func(task string) TaskProfile
	violations []string // descriptions of invalid starts
}

// Violations returns the violations: a start that brings a worker over the accelerators that it
// has, or had until shrinkNotice before, a
// task that runs twice at once, a task that starts again more than doneRecordTime after
// it was done unless that end was lost, a lease end on the clock of an earlier incarnation, or a
// task that starts after a run of it was done if the scheduler took note of that end, before the
// start or later.
func (l *RunLog) Violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := append([]string(nil), l.violations...)
	for _, done := range l.starts {
		if !done.noted {
			continue
		}
		for _, s := range l.starts {
			if s.Task == done.Task && s.StartedAt.After(done.EndedAt) {
				list = append(list, fmt.Sprintf("%s run %d on %s %v after run %d was done on %s, an end that was taken note of",
					s.Task, s.Run, s.Worker, s.StartedAt.Sub(done.EndedAt), done.Run, done.Worker))
			}
		}
	}
	return list
}

// checkStart records a violation if a start is invalid. used counts the accelerators in
// use on the worker including this run. The caller holds mu.
func (l *RunLog) checkStart(s *Start, used, capacity int64) {
	for _, other := range l.starts {
		if other.Task != s.Task {
			continue
		}
		if other.EndedAt.IsZero() && !other.lapsed(s.StartedAt) {
			l.violations = append(l.violations, fmt.Sprintf("%s run %d on %s while run %d is on %s", s.Task, s.Run, s.Worker, other.Run, other.Worker))
		}
		if other.Outcome == "done" && !other.lost && s.StartedAt.Sub(other.EndedAt) > doneRecordTime {
			l.violations = append(l.violations, fmt.Sprintf("%s run %d %v after it was done", s.Task, s.Run, s.StartedAt.Sub(other.EndedAt)))
		}
	}
	if used > capacity {
		l.violations = append(l.violations, fmt.Sprintf("%s on %s takes %d of %d accelerators", s.Task, s.Worker, used, capacity))
	}
}

// doneRecordTime is the time within which a scheduler must record that a task is done. This
// includes a new scheduler that has not learned of the end yet. Until then it may start the
// task again, and at any time if the worker has forgotten the end before it was taken note of.
const doneRecordTime = 15 * time.Second

// TaskProfile describes how a task behaves on a worker.
type TaskProfile struct {
	RunTime      time.Duration
	GangSize     int   // number of members of its gang, 1 for a task without a gang
	Fails        bool  // the task fails after half its run time
	Accelerators int64 // accelerators in use while it runs
	Crashes      bool  // the task crashes each worker that starts it
}

// NewRunLog returns an empty run log. profileOf is called for each task that is started.
func NewRunLog(profileOf func(task string) TaskProfile) *RunLog { return &RunLog{profileOf: profileOf} }

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

// breakGang ends the other members of a gang after a member was lost, as they work only together.
func (l *RunLog) breakGang(lost *activeRun) {
	if lost.profile.GangSize < 2 {
		return
	}
	step := lost.start.Task[:strings.LastIndexByte(lost.start.Task, '.')+1]
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.starts {
		if s.EndedAt.IsZero() && s.Run == lost.start.Run && strings.HasPrefix(s.Task, step) && s.worker != nil {
			time.AfterFunc(stopDelay, func() { s.worker.breakRun(s) })
		}
	}
}

// PlatformWorker is a fake worker of the operators' platform. It runs tasks on the orders
// of a scheduler, under one lease for all of them.
type PlatformWorker struct {
	id     string
	runLog *RunLog

	mu            sync.Mutex
	bornAt        time.Time
	fence         int64         // highest fencing token received
	leaseEnd      time.Time     // end of the lease of all runs
	clockRate     float64       // of the worker's clock, relative to the local one
	maxLease      time.Duration // on the worker's clock, from when an order is carried out; 0 for no limit
	late          LateOrders
	refusals      Refusals
	runs          map[string]*activeRun
	ended         []endedRun
	lastEndNumber int64
	highestRun    map[string]int64 // by task; starts up to this run number are refused
	wake          chan struct{}    // closed and replaced when a run ends
	dropOrders    bool             // the connection of each order is dropped
	failsRuns     bool             // each run fails soon after it has begun to work
	accelerators  int64            // now; they may shrink below what is in use
	shrunk        []shrink
	process       chan struct{} // closed and replaced when the process ends, by a crash or a restart
	conns         []net.Conn    // that the process accepted, also closed ones
	down          bool          // crashed and not back yet
	onCrash       func()        // called in a goroutine of its own after a crash; may be nil

	leaseEndMicros atomic.Int64 // leaseEnd in Unix microseconds, for the run log
}

// LateOrders describes a fault: orders get no answer and are carried out later, after newer
// ones.
type LateOrders struct {
	Share    float64       // of the orders, from 0 to 1
	MinDelay time.Duration // until an order is carried out
	MaxDelay time.Duration
	Random   *rand.Rand
}

// Refusals describes a fault: orders are refused with 429 or 503 and have no effect, as by an unhealthy
// worker.
type Refusals struct {
	Share  float64 // of the orders, from 0 to 1
	Random *rand.Rand
}

// leaseSlack is how far beyond maxLease a lease end may be on the clock of its worker, as the sender
// extrapolates that clock, which may be 2% slow.
const leaseSlack = 500 * time.Millisecond

// shrinkNotice is the time after a shrink within which a start may still count on the
// accelerators of before: contact_ms and one heartbeat of the platform's rules, in the soak's
// settings.
const shrinkNotice = 4500 * time.Millisecond

// shrink is the loss of some accelerators.
type shrink struct {
	at     time.Time
	before int64 // accelerators until then
}

// activeRun is a run that has not ended.
type activeRun struct {
	start    *Start
	working  bool // the gang is complete and the work has begun
	stopping bool // a stop order was received
	profile  TaskProfile
}

// endedRun is a run that the scheduler has not acknowledged yet.
type endedRun struct {
	number  int64
	task    string
	run     int64
	outcome string
	start   *Start
	lapsed  bool // the lease lapsed after the end
}

// NewPlatformWorker returns a worker with a number of accelerators and without runs.
func NewPlatformWorker(id string, accelerators int64, l *RunLog) *PlatformWorker {
	w := &PlatformWorker{id: id, accelerators: accelerators, runLog: l, clockRate: 1, process: make(chan struct{})}
	w.reset("")
	return w
}

// Restart ends all runs, the connections and the orders that wait, and starts a new incarnation
// without any state of the previous one.
func (w *PlatformWorker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endProcess("restart")
	for _, c := range w.conns { // the machine goes on and closes them; a crashed one would not
		_ = c.Close()
	}
	w.conns = nil
}

// endProcess ends the process with an outcome of its runs. Its connections and the orders that
// wait end with it. The caller holds mu.
func (w *PlatformWorker) endProcess(outcome string) {
	wake, process := w.wake, w.process
	w.reset(outcome)
	w.process = make(chan struct{})
	close(process)
	close(wake) // a poll that waits ends, also without ConnContext
}

// reset ends all runs with an outcome and forgets all state. The caller holds mu.
func (w *PlatformWorker) reset(outcome string) {
	w.runLog.mu.Lock()
	for _, active := range w.runs {
		active.start.EndedAt, active.start.Outcome = time.Now(), outcome
	}
	for _, e := range w.ended {
		e.start.lost = true
	}
	w.runLog.mu.Unlock()
	w.bornAt, w.fence, w.leaseEnd, w.lastEndNumber = time.Now(), 0, time.Time{}, 0
	w.leaseEndMicros.Store(0)
	w.runs, w.ended, w.highestRun = map[string]*activeRun{}, nil, map[string]int64{}
	w.wake = make(chan struct{})
}

// OnCrash sets the function that is called after each crash. It is called before the first
// order.
func (w *PlatformWorker) OnCrash(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.onCrash = f
}

// Crash ends the process of the worker: its runs are gone without an end, its connections
// break, and it answers nothing until Return.
func (w *PlatformWorker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crash()
}

// crash is Crash for a caller that holds mu.
func (w *PlatformWorker) crash() {
	if w.down {
		return
	}
	lost := slices.Collect(maps.Values(w.runs))
	w.endProcess("crash")
	for _, active := range lost {
		w.runLog.breakGang(active)
	}
	w.down = true
	if w.onCrash != nil {
		time.AfterFunc(0, w.onCrash) // mu is held
	}
}

// Return starts the next incarnation of a crashed worker at the same address, under an id.
func (w *PlatformWorker) Return(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reset("crash")
	w.id, w.down = id, false
}

// ID returns the id of the current incarnation, or of the crashed one.
func (w *PlatformWorker) ID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.id
}

// Down reports whether the worker has crashed and is not back yet.
func (w *PlatformWorker) Down() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.down
}

// processKey is the context key of the process that accepted a connection.
type processKey struct{}

// ConnContext is the ConnContext of the worker's HTTP server. Without it, the connections
// outlive a crash and a restart. With it, one without an order under way ends at a restart, and after
// a crash with the next order.
func (w *PlatformWorker) ConnContext(ctx context.Context, c net.Conn) context.Context {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conns = append(w.conns, c)
	return context.WithValue(ctx, processKey{}, w.process)
}

// endWithProcess drops the connection of a request if the process that accepted it has ended,
// or if the worker is down. The caller holds mu.
func (w *PlatformWorker) endWithProcess(ctx context.Context) {
	if process := processOf(ctx); w.down || process != nil && process != w.process {
		panic(http.ErrAbortHandler)
	}
}

// processOf returns the process that accepted the connection of a request, or nil without ConnContext.
func processOf(ctx context.Context) chan struct{} {
	process, _ := ctx.Value(processKey{}).(chan struct{})
	return process
}

// Resize changes the number of accelerators. What runs goes on, also if it uses more. The
// caller stores the worker's entry, which shows the change.
func (w *PlatformWorker) Resize(accelerators int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if accelerators < w.accelerators {
		w.shrunk = append(w.shrunk, shrink{at: time.Now(), before: w.accelerators})
	}
	w.accelerators = accelerators
}

// guarded returns the number of accelerators over which no start may bring the worker at a time:
// the most that it had within shrinkNotice before. The caller holds mu.
func (w *PlatformWorker) guarded(at time.Time) int64 {
	most := w.accelerators
	for _, s := range w.shrunk {
		if at.Sub(s.at) <= shrinkNotice {
			most = max(most, s.before)
		}
	}
	return most
}

// DropOrders sets whether the worker drops the connection of each order instead of
// answering it.
func (w *PlatformWorker) DropOrders(drop bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropOrders = drop
}

// SetClock sets the rate of the worker's clock, relative to the local one, and the longest lease
// on it. It is called before the first order.
func (w *PlatformWorker) SetClock(rate float64, maxLease time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.clockRate, w.maxLease = rate, maxLease
}

// SetLateOrders sets which orders get no answer and are carried out late.
func (w *PlatformWorker) SetLateOrders(f LateOrders) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.late = f
}

// FailRuns sets whether each run that begins to work from now on fails soon after, whatever its task.
func (w *PlatformWorker) FailRuns(fails bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failsRuns = fails
}

// earlyFailure is the time until a run fails on a worker that fails all its runs.
const earlyFailure = 50 * time.Millisecond

// SetRefusals sets which orders are refused.
func (w *PlatformWorker) SetRefusals(f Refusals) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refusals = f
}

// clock returns the time on the worker's clock in milliseconds. The caller holds mu.
func (w *PlatformWorker) clock() int64 {
	return int64(float64(time.Since(w.bornAt)) * w.clockRate / float64(time.Millisecond))
}

// Entry returns the entry under which the worker is registered in the store.
func (w *PlatformWorker) Entry(service, address, zone, rack string, cpu, memory int64, draining bool) map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	state := "ready"
	if draining {
		state = "draining"
	}
	return map[string]any{
		"service": service, "address": address, "zone": zone, "version": "v1", "slots": 8, "state": state,
		"cold_remaining_ms": 0, "capacity": map[string]int64{"cpu": cpu, "mem_mb": memory, "gpu": w.accelerators},
		"labels": []string{"a", rack}, "born": w.bornAt.UnixMilli(), "sequence": 1,
	}
}

// Handler returns the HTTP interface of the worker.
func (w *PlatformWorker) Handler() http.Handler {
	e := echo.New()
	e.POST("/v1/run-start", w.handleStart)
	e.POST("/v1/run-stop", w.handleStop)
	e.POST("/v1/hold", w.handleHold)
	e.POST("/v1/pace", w.handlePace)
	return e
}

// expectedInstanceHeader carries the id of the worker that an order is meant for.
const expectedInstanceHeader = "Heatherfront-Expected-Instance"

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

// withOrder decodes an order, carries it out with mu held and answers it. It refuses an order
// whose fencing token is below the highest one received, and drops the connection while
// dropOrders is set. carryOut returns the reason of a refusal, or "".
func (w *PlatformWorker) withOrder(c echo.Context, carryOut func(b orderBody) string, answer func(b orderBody) error) error {
	var b orderBody
	if err := json.NewDecoder(c.Request().Body).Decode(&b); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endWithProcess(c.Request().Context())
	if w.dropOrders {
		panic(http.ErrAbortHandler)
	}
	if id := c.Request().Header.Get(expectedInstanceHeader); id != "" && id != w.id {
		return c.NoContent(http.StatusMisdirectedRequest)
	}
	if f := w.refusals; f.Share > 0 && f.Random.Float64() < f.Share {
		return c.NoContent([]int{http.StatusTooManyRequests, http.StatusServiceUnavailable}[f.Random.IntN(2)])
	}
	if f := w.late; f.Share > 0 && f.Random.Float64() < f.Share {
		born := w.bornAt
		time.AfterFunc(f.MinDelay+time.Duration(f.Random.Int64N(int64(f.MaxDelay-f.MinDelay)+1)), func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.bornAt.Equal(born) { // an order that waits ends with the worker
				w.carryOut(b, carryOut)
			}
		})
		w.mu.Unlock()
		select {
		case <-c.Request().Context().Done():
		case <-processOf(c.Request().Context()):
		}
		w.mu.Lock()
		panic(http.ErrAbortHandler)
	}
	if reason := w.carryOut(b, carryOut); reason != "" {
		return w.refuse(c, reason)
	}
	return answer(b)
}

// carryOut carries out an order unless its fencing token is too low. It returns the reason of a
// refusal, or "". The caller holds mu.
func (w *PlatformWorker) carryOut(b orderBody, carryOut func(b orderBody) string) string {
	if b.Fence < w.fence {
		return "fence"
	}
	w.fence = b.Fence
	w.endLapsedRuns()
	return carryOut(b)
}

// withClock adds the fields that every answer has: the worker's clock and its start time.
func (w *PlatformWorker) withClock(body map[string]any) map[string]any {
	if body == nil {
		body = map[string]any{}
	}
	body["clock_ms"], body["born"] = w.clock(), w.bornAt.UnixMilli()
	return body
}

// refuse answers an order with status 409 and a reason.
func (w *PlatformWorker) refuse(c echo.Context, reason string) error {
	return c.JSON(http.StatusConflict, w.withClock(map[string]any{"reason": reason}))
}

// extendLeases extends the lease of all runs to untilMS on the worker's clock, by maxLease at
// most, and never shortens it. The caller holds mu.
func (w *PlatformWorker) extendLeases(untilMS int64) {
	if w.maxLease > 0 {
		if ahead := time.Duration(untilMS-w.clock()) * time.Millisecond; ahead > w.maxLease+leaseSlack {
			w.runLog.mu.Lock()
			w.runLog.violations = append(w.runLog.violations, fmt.Sprintf("%s, which started %v ago, got a lease end %v ahead: it is on the clock of an earlier incarnation", w.id, time.Since(w.bornAt), ahead))
			w.runLog.mu.Unlock()
		}
		untilMS = min(untilMS, w.clock()+w.maxLease.Milliseconds())
	}
	end := w.bornAt.Add(time.Duration(float64(untilMS) / w.clockRate * float64(time.Millisecond)))
	if untilMS > 0 && end.After(w.leaseEnd) {
		w.leaseEnd = end
		w.leaseEndMicros.Store(end.UnixMicro())
	}
}

// handleStart starts a run. It refuses one whose number is not above that of earlier runs
// of the task, and one whose lease has already ended.
func (w *PlatformWorker) handleStart(c echo.Context) error {
	return w.withOrder(c, func(b orderBody) string {
		w.extendLeases(b.UntilMS) // also by a start that is refused
		if active := w.runs[b.Task]; active != nil && active.start.Run == b.Run {
			return ""
		}
		if b.Run <= w.highestRun[b.Task] {
			return "old"
		}
		if w.clock() > b.UntilMS {
			return "late"
		}
		w.startRun(b)
		return ""
	}, func(orderBody) error { return c.JSON(http.StatusOK, w.withClock(nil)) })
}

// startRun records a run and waits for its gang. The run ends as "alone" if its gang
// does not become complete within gangTimeout. The caller holds mu.
func (w *PlatformWorker) startRun(b orderBody) {
	l := w.runLog
	active := &activeRun{start: &Start{Worker: w.id, Task: b.Task, Run: b.Run, StartedAt: time.Now(), Spec: b.Spec, worker: w}, profile: l.profileOf(b.Task)}
	w.runs[b.Task], w.highestRun[b.Task] = active, b.Run
	used := int64(0)
	for _, other := range w.runs {
		used += other.profile.Accelerators
	}
	l.mu.Lock()
	l.checkStart(active.start, used, w.guarded(active.start.StartedAt))
	l.starts = append(l.starts, active.start)
	l.mu.Unlock()
	time.AfterFunc(gangTimeout, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if !active.working {
			w.endRun(active, "alone")
		}
	})
	if active.profile.Crashes {
		time.AfterFunc(crashDelay, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.runs[b.Task] == active {
				w.crash()
			}
		})
	}
	w.startWorkWhenComplete(active)
}

// startWorkWhenComplete starts the work of a run once all members of its gang run. The
// caller holds mu.
func (w *PlatformWorker) startWorkWhenComplete(active *activeRun) {
	l := w.runLog
	l.mu.Lock()
	complete := l.runningMembers(active.start.Task, active.start.Run) >= active.profile.GangSize
	l.mu.Unlock()
	if !complete {
		time.AfterFunc(5*time.Millisecond, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.runs[active.start.Task] == active {
				w.startWorkWhenComplete(active)
			}
		})
		return
	}
	active.working = true
	runTime, outcome := active.profile.RunTime, "done"
	switch {
	case w.failsRuns:
		runTime, outcome = earlyFailure, "failed"
	case active.profile.Fails:
		runTime, outcome = runTime/2, "failed"
	}
	time.AfterFunc(runTime, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.endLapsedRuns()
		w.endRun(active, outcome)
	})
}

// endRun ends a run and wakes waiting hold orders, whose answers list the end until the
// scheduler acknowledges it. The caller holds mu.
func (w *PlatformWorker) endRun(active *activeRun, outcome string) {
	if w.runs[active.start.Task] != active {
		return
	}
	delete(w.runs, active.start.Task)
	w.runLog.mu.Lock()
	active.start.EndedAt, active.start.Outcome = time.Now(), outcome
	w.runLog.mu.Unlock()
	w.lastEndNumber++
	w.ended = append(w.ended, endedRun{number: w.lastEndNumber, task: active.start.Task, run: active.start.Run, outcome: outcome, start: active.start})
	close(w.wake)
	w.wake = make(chan struct{})
}

// breakRun ends a run whose gang has lost a member.
func (w *PlatformWorker) breakRun(s *Start) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if active := w.runs[s.Task]; active != nil && active.start == s {
		w.endRun(active, "broken")
	}
}

// handleStop stops a run after stopDelay. Later starts of this run and of earlier ones of
// the task are refused.
func (w *PlatformWorker) handleStop(c echo.Context) error {
	return w.withOrder(c, func(b orderBody) string {
		w.highestRun[b.Task] = max(w.highestRun[b.Task], b.Run)
		if active := w.runs[b.Task]; active != nil && active.start.Run == b.Run && !active.stopping {
			active.stopping = true
			time.AfterFunc(stopDelay, func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				w.endRun(active, "stopped")
			})
		}
		return ""
	}, func(orderBody) error { return c.JSON(http.StatusOK, w.withClock(nil)) })
}

// handleHold extends the lease, forgets the ends up to LastSeen, which the scheduler has
// seen, and returns the running and ended runs. It waits up to WaitMS for an end if there
// is none.
func (w *PlatformWorker) handleHold(c echo.Context) error {
	return w.withOrder(c, func(b orderBody) string {
		w.extendLeases(b.UntilMS)
		w.forgetEnds(b.LastSeen)
		return ""
	}, func(b orderBody) error {
		if len(w.ended) == 0 && b.WaitMS > 0 {
			wake := w.wake
			w.mu.Unlock()
			select {
			case <-wake:
			case <-time.After(time.Duration(b.WaitMS) * time.Millisecond):
			case <-c.Request().Context().Done():
			}
			w.mu.Lock()
			w.endWithProcess(c.Request().Context())
		}
		w.endLapsedRuns()
		return c.JSON(http.StatusOK, w.withClock(w.runLists()))
	})
}

// handlePace answers an order that changes the pace of a run, which has no effect here.
func (w *PlatformWorker) handlePace(c echo.Context) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endWithProcess(c.Request().Context())
	return c.JSON(http.StatusOK, w.withClock(nil))
}

// forgetEnds forgets the ends up to lastSeen, of which the scheduler has taken note. The caller
// holds mu.
func (w *PlatformWorker) forgetEnds(lastSeen int64) {
	w.runLog.mu.Lock()
	defer w.runLog.mu.Unlock()
	w.ended = slices.DeleteFunc(w.ended, func(e endedRun) bool {
		if e.number <= lastSeen && e.outcome == "done" && !e.lapsed {
			e.start.noted = true
		}
		return e.number <= lastSeen
	})
}

// endLapsedRuns ends all runs once the lease has expired. The caller holds mu.
func (w *PlatformWorker) endLapsedRuns() {
	if time.Now().Before(w.leaseEnd) {
		return
	}
	for _, active := range w.runs {
		w.endRun(active, "lapsed")
	}
	for i := range w.ended {
		w.ended[i].lapsed = true
	}
}

// runLists returns the running and ended runs in the format of an answer. The caller holds
// mu.
func (w *PlatformWorker) runLists() map[string]any {
	running, ended := [][]any{}, [][]any{}
	for _, active := range w.runs {
		running = append(running, []any{active.start.Task, active.start.Run, "", 100, 0})
	}
	sort.Slice(running, func(i, j int) bool { return running[i][0].(string) < running[j][0].(string) })
	for _, e := range w.ended {
		ended = append(ended, []any{e.number, e.task, e.run, e.outcome, ""})
	}
	return map[string]any{"running": running, "ended_runs": ended}
}

// ExpireLeases ends the runs of expired leases periodically, also while no orders arrive,
// until done is closed.
func (w *PlatformWorker) ExpireLeases(done <-chan struct{}) {
	t := time.NewTicker(50 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-done:
			return
		case <-t.C:
			w.mu.Lock()
			w.endLapsedRuns()
			w.mu.Unlock()
		}
	}
}
