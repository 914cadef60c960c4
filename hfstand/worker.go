package hfstand

import (
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
)

// WorkerFault is what PUT /fault sets on a worker.
type WorkerFault struct {
	Refuse bool  `json:"refuse"` // every start is refused
	Fail   bool  `json:"fail"`   // every task fails when it is released
	Slow   int64 `json:"slow"`   // milliseconds added to each call
	Cut    bool  `json:"cut"`    // no call is answered; tasks run on under their leases
	Lag    int64 `json:"lag"`    // age of a report in milliseconds
}

// TaskBody is a start request, and a task in a report.
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
	From    int64  `json:"from,omitempty"`  // milliseconds done at the last checkpoint
	Command string `json:"command,omitempty"`
	State   string `json:"state,omitempty"`
}

// RenewBody extends the leases of some tasks and asks for a report.
type RenewBody struct {
	Tasks []string `json:"tasks"`
	Lease int64    `json:"lease"`
}

// ReportBody is a worker's report.
type ReportBody struct {
	Name  string     `json:"name"`
	Tasks []TaskBody `json:"tasks"`
}

// Run is one interval in which a task did work.
type Run struct {
	Job     string    `json:"job"`
	Attempt uint32    `json:"attempt"`
	Index   uint32    `json:"index"`
	From    time.Time `json:"from"`
	To      time.Time `json:"to"` // zero while it runs
	State   string    `json:"state"`
}

type workerTask struct {
	TaskBody
	until time.Time
	begun time.Time
	left  time.Duration
	run   int // index in runs, -1 before the release
}

// endedFor is how long an ended task stays in the reports.
const endedFor = 60 * time.Second

type endedTask struct {
	TaskBody
	at time.Time
}

// Worker runs tasks under leases. A stopped or lapsed task never runs again.
type Worker struct {
	mu     sync.Mutex
	name   string
	slots  uint32
	tasks  map[string]*workerTask
	ended  map[string]endedTask
	runs   []Run
	fault  WorkerFault
	report ReportBody
	at     time.Time
	calls  int64
}

// NewWorker returns a worker with a number of accelerators.
func NewWorker(name string, accelerators uint32) *Worker {
	return &Worker{name: name, slots: accelerators, tasks: map[string]*workerTask{}, ended: map[string]endedTask{}}
}

// Fault sets the faults.
func (w *Worker) Fault(f WorkerFault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fault = f
}

// Runs returns every interval in which a task did work.
func (w *Worker) Runs() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(time.Now())
	return append([]Run{}, w.runs...)
}

// Calls returns the number of calls answered.
func (w *Worker) Calls() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.calls
}

// Handler returns the HTTP interface.
func (w *Worker) Handler() http.Handler {
	e := echo.New()
	e.Use(w.guard)
	e.POST("/v1/tasks", w.start)
	e.POST("/v1/renew", w.renew)
	e.POST("/v1/tasks/:id/:verb", w.act)
	e.GET("/v1/runs", func(c echo.Context) error { return c.JSON(http.StatusOK, w.Runs()) })
	e.PUT("/fault", faultRoute(w.Fault))
	return e
}

func (w *Worker) guard(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		w.mu.Lock()
		f := w.fault
		w.calls++
		w.mu.Unlock()
		if f.Slow > 0 {
			time.Sleep(time.Duration(f.Slow) * time.Millisecond)
		}
		if f.Cut && c.Path() != "/fault" && c.Path() != "/v1/runs" {
			panic(http.ErrAbortHandler)
		}
		return next(c)
	}
}

func (w *Worker) start(c echo.Context) error {
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
	if w.ended[t.ID].State != "" || w.fault.Refuse || t.First+t.Count > w.slots || w.overlaps(t) {
		return c.NoContent(http.StatusConflict)
	}
	t.State = "held"
	w.tasks[t.ID] = &workerTask{
		TaskBody: t,
		until:    now.Add(time.Duration(t.Lease) * time.Millisecond),
		left:     time.Duration(t.Run-t.From) * time.Millisecond,
		run:      -1,
	}
	return c.JSON(http.StatusOK, t)
}

func (w *Worker) overlaps(t TaskBody) bool {
	for _, o := range w.tasks {
		if t.First < o.First+o.Count && o.First < t.First+t.Count {
			return true
		}
	}
	return false
}

func (w *Worker) renew(c echo.Context) error {
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
			t.until = now.Add(time.Duration(b.Lease) * time.Millisecond)
		}
	}
	if now.Sub(w.at) >= time.Duration(w.fault.Lag)*time.Millisecond {
		w.at = now
		w.report = w.current()
	}
	return c.JSON(http.StatusOK, w.report)
}

// current builds a report; the caller holds mu.
func (w *Worker) current() ReportBody {
	r := ReportBody{Name: w.name, Tasks: []TaskBody{}}
	for _, t := range w.tasks {
		r.Tasks = append(r.Tasks, t.TaskBody)
	}
	for _, t := range w.ended {
		if w.at.Sub(t.at) < endedFor {
			r.Tasks = append(r.Tasks, t.TaskBody)
		}
	}
	sort.Slice(r.Tasks, func(i, j int) bool { return r.Tasks[i].ID < r.Tasks[j].ID })
	return r
}

func (w *Worker) act(c echo.Context) error {
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
		w.hold(t, now)
	case "checkpoint":
		if !ok {
			return c.NoContent(http.StatusConflict)
		}
		if t.run >= 0 {
			t.From = t.Run - (t.left - now.Sub(t.begun)).Milliseconds()
		}
		return c.JSON(http.StatusOK, t.TaskBody)
	case "stop":
		if ok {
			w.end(t, "stopped", now)
		} else if w.ended[id].State == "" {
			w.ended[id] = endedTask{TaskBody: TaskBody{ID: id, State: "stopped"}, at: now}
		}
		return c.JSON(http.StatusOK, w.ended[id].TaskBody)
	}
	return c.JSON(http.StatusOK, t.TaskBody)
}

func (w *Worker) release(t *workerTask, now time.Time) {
	if t.run >= 0 {
		return
	}
	t.State, t.begun, t.run = "running", now, len(w.runs)
	w.runs = append(w.runs, Run{Job: t.Job, Attempt: t.Attempt, Index: t.Index, From: now, State: "running"})
	if w.fault.Fail || t.Command == "fail" {
		t.left = 20 * time.Millisecond
	}
}

func (w *Worker) hold(t *workerTask, now time.Time) {
	if t.run < 0 {
		return
	}
	t.left -= now.Sub(t.begun)
	t.State = "held"
	w.runs[t.run].To, w.runs[t.run].State = now, "held"
	t.run = -1
}

// advance ends tasks whose time or lease is over; the caller holds mu.
func (w *Worker) advance(now time.Time) {
	for _, t := range w.tasks {
		finish := t.begun.Add(t.left)
		switch {
		case t.run >= 0 && !finish.After(now) && !finish.After(t.until):
			state := "done"
			if w.fault.Fail || t.Command == "fail" {
				state = "failed"
			}
			w.end(t, state, finish)
		case !t.until.After(now):
			w.end(t, "stopped", t.until)
		}
	}
}

func (w *Worker) end(t *workerTask, state string, at time.Time) {
	if t.run >= 0 {
		w.runs[t.run].To, w.runs[t.run].State = at, state
	}
	t.State = state
	w.ended[t.ID] = endedTask{TaskBody: t.TaskBody, at: at}
	delete(w.tasks, t.ID)
}
