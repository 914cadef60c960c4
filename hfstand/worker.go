package hfstand

import (
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
)

// WorkerFault is the body of PUT /fault on a worker. It replaces the previous faults.
type WorkerFault struct {
	Refuse      bool  `json:"refuse"` // every start is refused
	Fail        bool  `json:"fail"`   // a task fails 20 ms after its release; one that already runs fails at its end
	Slow        int64 `json:"slow"`   // milliseconds of delay before each call
	Unreachable bool  `json:"cut"`    // the connection of each call is dropped; tasks continue until their leases expire
	ReportAge   int64 `json:"lag"`    // milliseconds for which a report is repeated before a new one is built
}

// TaskBody describes a task, in a start request and in a report.
type TaskBody struct {
	ID      string `json:"id"`
	Job     string `json:"job"`
	Attempt uint32 `json:"attempt"`
	Index   uint32 `json:"index"`
	Size    uint32 `json:"size"`
	First   uint32 `json:"first"`
	Count   uint32 `json:"count"`
	Lease   int64  `json:"lease,omitempty"` // milliseconds
	Run     int64  `json:"run,omitempty"`   // milliseconds
	From    int64  `json:"from,omitempty"`  // milliseconds of Run already done at the last checkpoint
	Command string `json:"command,omitempty"`
	State   string `json:"state,omitempty"`
}

// RenewBody is a request to renew the leases of tasks and to return a report.
type RenewBody struct {
	Tasks []string `json:"tasks"`
	Lease int64    `json:"lease"`
}

// ReportBody is a worker's report: its tasks and those that ended recently.
type ReportBody struct {
	Name  string     `json:"name"`
	Tasks []TaskBody `json:"tasks"`
}

// Run is an interval in which a task was running.
type Run struct {
	Job     string    `json:"job"`
	Attempt uint32    `json:"attempt"`
	Index   uint32    `json:"index"`
	From    time.Time `json:"from"`
	To      time.Time `json:"to"` // zero while the task runs
	State   string    `json:"state"`
}

// workerTask is a task that has not ended.
type workerTask struct {
	TaskBody
	leaseEnd  time.Time
	startedAt time.Time
	remaining time.Duration // run time left as of startedAt
	runIndex  int           // index in Worker.runs, -1 while the task does not run
}

// endedRetention is how long reports list an ended task.
const endedRetention = 60 * time.Second

type endedTask struct {
	TaskBody
	endedAt time.Time
}

// Worker is a fake worker that runs tasks under leases. A task that was stopped or whose
// lease expired never runs again.
type Worker struct {
	mu           sync.Mutex
	name         string
	accelerators uint32
	tasks        map[string]*workerTask
	ended        map[string]endedTask
	runs         []Run
	fault        WorkerFault
	lastReport   ReportBody
	reportedAt   time.Time
	calls        int64
}

// NewWorker returns a worker with a number of accelerators and without tasks.
func NewWorker(name string, accelerators uint32) *Worker {
	return &Worker{name: name, accelerators: accelerators, tasks: map[string]*workerTask{}, ended: map[string]endedTask{}}
}

// Fault replaces the injected faults.
func (w *Worker) Fault(f WorkerFault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fault = f
}

// Runs returns all intervals in which a task was running.
func (w *Worker) Runs() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(time.Now())
	return append([]Run{}, w.runs...)
}

// Calls returns the number of calls received.
func (w *Worker) Calls() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.calls
}

// Handler returns the HTTP interface of the worker.
func (w *Worker) Handler() http.Handler {
	e := echo.New()
	e.Use(w.withFaults)
	e.POST("/v1/tasks", w.handleStart)
	e.POST("/v1/renew", w.handleRenew)
	e.POST("/v1/tasks/:id/:verb", w.handleVerb)
	e.GET("/v1/runs", func(c echo.Context) error { return c.JSON(http.StatusOK, w.Runs()) })
	e.PUT("/fault", faultHandler(w.Fault))
	return e
}

// withFaults delays each call, and drops the connection while the worker is unreachable.
// Tests can still set faults and read the runs.
func (w *Worker) withFaults(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		w.mu.Lock()
		f := w.fault
		w.calls++
		w.mu.Unlock()
		if f.Slow > 0 {
			time.Sleep(time.Duration(f.Slow) * time.Millisecond)
		}
		if f.Unreachable && c.Path() != "/fault" && c.Path() != "/v1/runs" {
			panic(http.ErrAbortHandler)
		}
		return next(c)
	}
}

// handleStart accepts a task and holds it until its release. It refuses a task that has
// ended or whose accelerators are taken or do not exist, and every new task under the fault
// Refuse.
func (w *Worker) handleStart(c echo.Context) error {
	var t TaskBody
	if err := c.Bind(&t); err != nil {
		return fmt.Errorf("read task: %w", err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.advance(now)
	if _, ok := w.tasks[t.ID]; ok {
		return c.JSON(http.StatusOK, w.tasks[t.ID].TaskBody)
	}
	if w.ended[t.ID].State != "" || w.fault.Refuse || t.First+t.Count > w.accelerators || w.overlaps(t) {
		return c.NoContent(http.StatusConflict)
	}
	t.State = "held"
	w.tasks[t.ID] = &workerTask{
		TaskBody:  t,
		leaseEnd:  now.Add(time.Duration(t.Lease) * time.Millisecond),
		remaining: time.Duration(t.Run-t.From) * time.Millisecond,
		runIndex:  -1,
	}
	return c.JSON(http.StatusOK, t)
}

// overlaps reports whether a task needs accelerators that another task holds. The caller holds mu.
func (w *Worker) overlaps(t TaskBody) bool {
	for _, o := range w.tasks {
		if t.First < o.First+o.Count && o.First < t.First+t.Count {
			return true
		}
	}
	return false
}

func (w *Worker) handleRenew(c echo.Context) error {
	var b RenewBody
	if err := c.Bind(&b); err != nil {
		return fmt.Errorf("read renewal: %w", err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.advance(now)
	for _, id := range b.Tasks {
		if t, ok := w.tasks[id]; ok {
			t.leaseEnd = now.Add(time.Duration(b.Lease) * time.Millisecond)
		}
	}
	if now.Sub(w.reportedAt) >= time.Duration(w.fault.ReportAge)*time.Millisecond {
		w.reportedAt = now
		w.lastReport = w.buildReport()
	}
	return c.JSON(http.StatusOK, w.lastReport)
}

// buildReport returns the tasks and the recently ended ones. The caller holds mu.
func (w *Worker) buildReport() ReportBody {
	r := ReportBody{Name: w.name, Tasks: []TaskBody{}}
	for _, t := range w.tasks {
		r.Tasks = append(r.Tasks, t.TaskBody)
	}
	for _, t := range w.ended {
		if w.reportedAt.Sub(t.endedAt) < endedRetention {
			r.Tasks = append(r.Tasks, t.TaskBody)
		}
	}
	sort.Slice(r.Tasks, func(i, j int) bool { return r.Tasks[i].ID < r.Tasks[j].ID })
	return r
}

// handleVerb releases, throttles, checkpoints or stops a task. A stop for an unknown task
// prevents a later start.
func (w *Worker) handleVerb(c echo.Context) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.advance(now)
	id := c.Param("id")
	t, ok := w.tasks[id]
	switch c.Param("verb") {
	case "release":
		if !ok {
			return c.NoContent(http.StatusConflict)
		}
		w.release(t, now)
	case "throttle":
		if !ok {
			return c.NoContent(http.StatusConflict)
		}
		w.pause(t, now)
	case "checkpoint":
		if !ok {
			return c.NoContent(http.StatusConflict)
		}
		if t.runIndex >= 0 {
			t.From = t.Run - (t.remaining - now.Sub(t.startedAt)).Milliseconds()
		}
		return c.JSON(http.StatusOK, t.TaskBody)
	case "stop":
		if ok {
			w.endTask(t, "stopped", now)
		} else if w.ended[id].State == "" {
			w.ended[id] = endedTask{TaskBody: TaskBody{ID: id, State: "stopped"}, endedAt: now}
		}
		return c.JSON(http.StatusOK, w.ended[id].TaskBody)
	}
	return c.JSON(http.StatusOK, t.TaskBody)
}

// release starts the work of a held task. The caller holds mu.
func (w *Worker) release(t *workerTask, now time.Time) {
	if t.runIndex >= 0 {
		return
	}
	t.State, t.startedAt, t.runIndex = "running", now, len(w.runs)
	w.runs = append(w.runs, Run{Job: t.Job, Attempt: t.Attempt, Index: t.Index, From: now, State: "running"})
	if w.fault.Fail || t.Command == "fail" {
		t.remaining = 20 * time.Millisecond
	}
}

// pause returns a running task to the held state; a later release continues it. The caller
// holds mu.
func (w *Worker) pause(t *workerTask, now time.Time) {
	if t.runIndex < 0 {
		return
	}
	t.remaining -= now.Sub(t.startedAt)
	t.State = "held"
	w.runs[t.runIndex].To, w.runs[t.runIndex].State = now, "held"
	t.runIndex = -1
}

// advance ends the tasks that have finished or whose lease has expired. The caller holds
// mu.
func (w *Worker) advance(now time.Time) {
	for _, t := range w.tasks {
		finish := t.startedAt.Add(t.remaining)
		switch {
		case t.runIndex >= 0 && !finish.After(now) && !finish.After(t.leaseEnd):
			state := "done"
			if w.fault.Fail || t.Command == "fail" {
				state = "failed"
			}
			w.endTask(t, state, finish)
		case !t.leaseEnd.After(now):
			w.endTask(t, "stopped", t.leaseEnd)
		}
	}
}

// endTask records the end of a task. The caller holds mu.
func (w *Worker) endTask(t *workerTask, state string, at time.Time) {
	if t.runIndex >= 0 {
		w.runs[t.runIndex].To, w.runs[t.runIndex].State = at, state
	}
	t.State = state
	w.ended[t.ID] = endedTask{TaskBody: t.TaskBody, endedAt: at}
	delete(w.tasks, t.ID)
}
