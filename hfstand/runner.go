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
	runnerStop = 50 * time.Millisecond // between a stop and the end that it brings
	runnerGang = 3 * time.Second       // for which a member waits for its gang
)

// Start is a start that a runner carried out, for those who check what ran.
type Start struct {
	Worker string
	Task   string
	Run    int64
	At     time.Time
	End    time.Time // zero while it runs
	How    string
	Spec   string
}

// Ledger holds the starts and ends on all runners that share it, and joins the members
// of gangs.
type Ledger struct {
	mu     sync.Mutex
	starts []*Start
	shape  func(task string) RunShape
	broken []string // what a runner saw go wrong
}

// Broken returns what went wrong on the runners: room taken twice, or a task that runs
// twice at once.
func (l *Ledger) Broken() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.broken...)
}

// check notes a start that must not be; the caller holds mu.
func (l *Ledger) check(s *Start, room, capacity int64) {
	for _, o := range l.starts {
		if o.Task != s.Task {
			continue
		}
		if o.End.IsZero() {
			l.broken = append(l.broken, fmt.Sprintf("%s run %d on %s while run %d is on %s", s.Task, s.Run, s.Worker, o.Run, o.Worker))
		}
		if o.How == "done" && s.At.Sub(o.End) > doneNoted {
			l.broken = append(l.broken, fmt.Sprintf("%s run %d %v after it was done", s.Task, s.Run, s.At.Sub(o.End)))
		}
	}
	if room > capacity {
		l.broken = append(l.broken, fmt.Sprintf("%s on %s takes %d of %d accelerators", s.Task, s.Worker, room, capacity))
	}
}

// doneNoted is the time after which an end must have been taken note of, also by a new
// scheduler that first has to learn of it.
const doneNoted = 15 * time.Second

// RunShape is what a runner has to know of a task.
type RunShape struct {
	Work  time.Duration // run time
	Size  int           // members of its gang, 1 for none
	Fails bool          // it fails in the middle
	Room  int64         // accelerators
}

// NewLedger returns a ledger. shape is asked about each task that is started.
func NewLedger(shape func(task string) RunShape) *Ledger { return &Ledger{shape: shape} }

// Starts returns copies of all starts so far, in order.
func (l *Ledger) Starts() []Start {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]Start, 0, len(l.starts))
	for _, s := range l.starts {
		list = append(list, *s)
	}
	return list
}

// members returns the runs of a gang that are under way.
func (l *Ledger) members(task string, run int64) int {
	step := task[:strings.LastIndexByte(task, '.')]
	n := 0
	for _, s := range l.starts {
		if s.End.IsZero() && s.Run == run && s.Task[:strings.LastIndexByte(s.Task, '.')] == step {
			n++
		}
	}
	return n
}

// Runner is a worker of the operators' platform.
type Runner struct {
	id     string
	ledger *Ledger

	mu      sync.Mutex
	born    time.Time
	fence   int64
	until   time.Time // end of all leases
	runs    map[string]*run
	ended   []endedRun
	next    int64
	highest map[string]int64
	wake    chan struct{}
	deaf    bool // orders are not answered
	room    int64
}

type run struct {
	start   *Start
	begun   bool
	stopped bool
	shape   RunShape
}

type endedRun struct {
	number int64
	task   string
	run    int64
	how    string
}

// NewRunner returns a worker with some accelerators and without runs.
func NewRunner(id string, accelerators int64, l *Ledger) *Runner {
	r := &Runner{id: id, room: accelerators, ledger: l}
	r.Restart()
	return r
}

// Restart begins a new life that knows nothing of the last.
func (r *Runner) Restart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ledger.mu.Lock()
	for _, o := range r.runs {
		o.start.End, o.start.How = time.Now(), "restart"
	}
	r.ledger.mu.Unlock()
	r.born, r.fence, r.until, r.next = time.Now(), 0, time.Time{}, 0
	r.runs, r.ended, r.highest = map[string]*run{}, nil, map[string]int64{}
	r.wake = make(chan struct{})
}

// Deafen makes the runner drop the connection of each order, or answer again.
func (r *Runner) Deafen(deaf bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.deaf = deaf
}

// Entry returns the worker's entry in the store.
func (r *Runner) Entry(service, address, zone, rack string, cpu, memory int64, draining bool) map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := "ready"
	if draining {
		state = "draining"
	}
	return map[string]any{
		"service": service, "address": address, "zone": zone, "version": "v1", "slots": 8, "state": state,
		"cold_remaining_ms": 0, "capacity": map[string]int64{"cpu": cpu, "mem_mb": memory, "gpu": r.room},
		"labels": []string{"a", rack}, "born": r.born.UnixMilli(), "sequence": 1,
	}
}

// Handler returns the HTTP interface.
func (r *Runner) Handler() http.Handler {
	e := echo.New()
	e.POST("/v1/run-start", r.startRoute)
	e.POST("/v1/run-stop", r.stopRoute)
	e.POST("/v1/hold", r.holdRoute)
	e.POST("/v1/pace", func(c echo.Context) error { return c.JSON(http.StatusOK, r.clocked(nil)) })
	return e
}

type orderBody struct {
	Task  string `json:"task"`
	Run   int64  `json:"run"`
	Spec  string `json:"spec"`
	Until int64  `json:"until_ms"`
	Fence int64  `json:"fence"`
	Seen  int64  `json:"last_seen"`
	Wait  int64  `json:"wait_ms"`
}

// order takes an order and carries it out, holding mu, unless its fence is overtaken. It
// drops the connection while the runner is deaf.
func (r *Runner) order(c echo.Context, carryOut func(b orderBody) error) error {
	var b orderBody
	if err := json.NewDecoder(c.Request().Body).Decode(&b); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.deaf {
		panic(http.ErrAbortHandler)
	}
	if b.Fence < r.fence {
		return r.refuse(c, "fence")
	}
	r.fence = b.Fence
	return carryOut(b)
}

// clocked adds what every answer has.
func (r *Runner) clocked(body map[string]any) map[string]any {
	if body == nil {
		body = map[string]any{}
	}
	body["clock_ms"], body["born"] = time.Since(r.born).Milliseconds(), r.born.UnixMilli()
	return body
}

func (r *Runner) refuse(c echo.Context, reason string) error {
	return c.JSON(http.StatusConflict, r.clocked(map[string]any{"reason": reason}))
}

// extend moves the end of all leases; the caller holds mu.
func (r *Runner) extend(until int64) {
	if at := r.born.Add(time.Duration(until) * time.Millisecond); until > 0 && at.After(r.until) {
		r.until = at
	}
}

func (r *Runner) startRoute(c echo.Context) error {
	return r.order(c, func(b orderBody) error {
		if o := r.runs[b.Task]; o != nil && o.start.Run == b.Run {
			return c.JSON(http.StatusOK, r.clocked(nil))
		}
		if b.Run <= r.highest[b.Task] {
			return r.refuse(c, "old")
		}
		if time.Since(r.born).Milliseconds() > b.Until {
			return r.refuse(c, "late")
		}
		r.extend(b.Until)
		r.begin(b)
		return c.JSON(http.StatusOK, r.clocked(nil))
	})
}

// begin starts a run; the caller holds mu.
func (r *Runner) begin(b orderBody) {
	l := r.ledger
	o := &run{start: &Start{Worker: r.id, Task: b.Task, Run: b.Run, At: time.Now(), Spec: b.Spec}, shape: l.shape(b.Task)}
	r.runs[b.Task], r.highest[b.Task] = o, b.Run
	room := int64(0)
	for _, x := range r.runs {
		room += x.shape.Room
	}
	l.mu.Lock()
	l.check(o.start, room, r.room)
	l.starts = append(l.starts, o.start)
	l.mu.Unlock()
	time.AfterFunc(runnerGang, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if !o.begun {
			r.end(o, "alone")
		}
	})
	r.await(o)
}

// await begins the work of a run once its gang is whole; the caller holds mu.
func (r *Runner) await(o *run) {
	l := r.ledger
	l.mu.Lock()
	whole := l.members(o.start.Task, o.start.Run) >= o.shape.Size
	l.mu.Unlock()
	if !whole {
		time.AfterFunc(5*time.Millisecond, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			if r.runs[o.start.Task] == o {
				r.await(o)
			}
		})
		return
	}
	o.begun = true
	work, how := o.shape.Work, "done"
	if o.shape.Fails {
		work, how = work/2, "failed"
	}
	time.AfterFunc(work, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.end(o, how)
	})
}

// end lists the end of a run; the caller holds mu.
func (r *Runner) end(o *run, how string) {
	if r.runs[o.start.Task] != o {
		return
	}
	delete(r.runs, o.start.Task)
	r.ledger.mu.Lock()
	o.start.End, o.start.How = time.Now(), how
	r.ledger.mu.Unlock()
	r.next++
	r.ended = append(r.ended, endedRun{number: r.next, task: o.start.Task, run: o.start.Run, how: how})
	close(r.wake)
	r.wake = make(chan struct{})
}

func (r *Runner) stopRoute(c echo.Context) error {
	return r.order(c, func(b orderBody) error {
		r.highest[b.Task] = max(r.highest[b.Task], b.Run)
		if o := r.runs[b.Task]; o != nil && o.start.Run == b.Run && !o.stopped {
			o.stopped = true
			time.AfterFunc(runnerStop, func() {
				r.mu.Lock()
				defer r.mu.Unlock()
				r.end(o, "stopped")
			})
		}
		return c.JSON(http.StatusOK, r.clocked(nil))
	})
}

func (r *Runner) holdRoute(c echo.Context) error {
	return r.order(c, func(b orderBody) error {
		r.extend(b.Until)
		r.ended = slices.DeleteFunc(r.ended, func(e endedRun) bool { return e.number <= b.Seen })
		if len(r.ended) == 0 && b.Wait > 0 {
			wake := r.wake
			r.mu.Unlock()
			select {
			case <-wake:
			case <-time.After(time.Duration(b.Wait) * time.Millisecond):
			case <-c.Request().Context().Done():
			}
			r.mu.Lock()
		}
		r.lapse()
		return c.JSON(http.StatusOK, r.clocked(r.lists()))
	})
}

// lapse ends all runs whose lease has run out; the caller holds mu.
func (r *Runner) lapse() {
	if time.Now().Before(r.until) {
		return
	}
	for _, o := range r.runs {
		r.end(o, "lapsed")
	}
}

// lists returns the running and ended runs; the caller holds mu.
func (r *Runner) lists() map[string]any {
	running, ended := [][]any{}, [][]any{}
	for _, o := range r.runs {
		running = append(running, []any{o.start.Task, o.start.Run, "", 100, 0})
	}
	sort.Slice(running, func(i, j int) bool { return running[i][0].(string) < running[j][0].(string) })
	for _, e := range r.ended {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	return map[string]any{"running": running, "ended_runs": ended}
}

// Watch lets leases run out also while nobody asks, until done is closed.
func (r *Runner) Watch(done <-chan struct{}) {
	t := time.NewTicker(50 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-done:
			return
		case <-t.C:
			r.mu.Lock()
			r.lapse()
			r.mu.Unlock()
		}
	}
}
