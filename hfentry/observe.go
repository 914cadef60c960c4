package hfentry

import (
	"fmt"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/heatherfront/heatherfront/hfevent"
	"github.com/heatherfront/heatherfront/hfloop"
	"github.com/heatherfront/heatherfront/hforder"
	"github.com/heatherfront/heatherfront/hfplan"
	"github.com/heatherfront/heatherfront/hfwork"
)

// milliPerCore converts the CPU of hfplacement.Resources, which is in millicores, to cores.
const milliPerCore = 1000

// Decided implements hforder.Observer.
func (n *Node) Decided(c hfplan.NoteCmd) {
	fields := []zap.Field{zap.String("job", c.Job()), zap.String("reason", c.Reason())}
	switch c.Note() {
	case hfplan.NoteState:
		n.log.Event(hfevent.JobState, fields...)
	case hfplan.NoteEnded:
		n.queueEnded(c.Job())
	case hfplan.NotePlaced:
		n.log.Event(hfevent.TasksPlaced, append(fields, zap.Uint32("step", c.Step()), zap.Int("tasks", c.Tasks()))...)
	case hfplan.NotePreempted:
		n.log.Event(hfevent.TasksPreempted, append(fields, zap.Uint32("step", c.Step()), zap.Int("tasks", c.Tasks()))...)
	case hfplan.NoteRetry:
		n.log.Event(hfevent.TaskRetried, append(fields, zap.Uint32("step", c.Step()), zap.Uint32("task", c.Task()), zap.Int64("run", c.Number()), zap.String("worker", c.Worker()))...)
	case hfplan.NoteLateEnd:
		n.log.Event(hfevent.EndLate, append(fields, zap.Uint32("step", c.Step()), zap.Uint32("task", c.Task()), zap.Int64("run", c.Number()),
			zap.String("worker", c.Worker()), zap.Int64("current", c.Current()), zap.String("phase", c.Phase()))...)
	case hfplan.NoteCrash:
		n.log.Event(hfevent.WorkerCrashed, zap.String("worker", c.Worker()), zap.Int("runs", c.Tasks()), zap.Strings("suspects", taskNames(c.Suspects())),
			zap.Bool("alone", c.Alone()), zap.String("reason", c.Reason()))
	case hfplan.NoteIsolated:
		n.log.Event(hfevent.TaskIsolated, append(fields, zap.Uint32("step", c.Step()), zap.Uint32("task", c.Task()), zap.Int64("run", c.Number()), zap.String("worker", c.Worker()))...)
	case hfplan.NoteGaveUp:
		n.log.Event(hfevent.TaskGivenUp, append(fields, zap.Uint32("step", c.Step()), zap.Uint32("task", c.Task()))...)
	case hfplan.NoteDeferred:
		n.log.Event(hfevent.JobDeferred, append(fields, zap.Int("occurrences", c.Tasks()))...)
	case hfplan.NoteQuarantined:
		n.log.Event(hfevent.WorkerQuarantined, append(fields, zap.String("worker", c.Worker()))...)
	case hfplan.NoteSilent:
		n.log.Event(hfevent.WorkerSilent, zap.String("worker", c.Worker()), zap.Time("expires", c.Expires()))
	case hfplan.NoteReporting:
		n.log.Event(hfevent.WorkerReporting, zap.String("worker", c.Worker()), zap.String("reason", c.Reason()))
	case hfplan.NoteRemoved:
		n.log.Event(hfevent.WorkerRemoved, zap.String("worker", c.Worker()), zap.String("reason", c.Reason()))
	case hfplan.NoteRecovered:
		n.log.Event(hfevent.PlanRecovered)
	}
}

// taskNames returns the names of tasks in the form JOB.OCCURRENCE.STEP.INDEX.
func taskNames(tasks []hfwork.TaskID) []string {
	names := make([]string, 0, len(tasks))
	for _, t := range tasks {
		names = append(names, fmt.Sprintf("%s.%d.%d.%d", t.Job(), t.Occurrence(), t.Step(), t.Index()))
	}
	return names
}

// OrderFinished implements hforder.Observer.
func (n *Node) OrderFinished(verb string, task hfwork.TaskID, run int64, worker string, sent time.Time, err error) {
	metrics.GetOrRegisterTimer("order."+verb, n.registry).UpdateSince(sent)
	if err == nil {
		return
	}
	metrics.GetOrRegisterCounter("order."+verb+".failed", n.registry).Inc(1)
	n.log.Event(hfevent.OrderFailed, zap.String("verb", verb), zap.String("job", task.Job()), zap.Uint32("step", task.Step()),
		zap.Uint32("task", task.Index()), zap.Int64("run", run), zap.String("worker", worker), zap.Duration("took", time.Since(sent)), zap.String("error", err.Error()))
}

// LeaseObserved implements hforder.Observer.
func (n *Node) LeaseObserved(worker string, g hforder.Grant, silent bool) {
	if g.LeaseEnd() == 0 {
		return
	}
	now := time.Now()
	n.log.Event(hfevent.LeaseState, zap.String("worker", worker), zap.Bool("silent", silent), zap.Int64("end", g.LeaseEnd()), zap.String("verb", g.Verb()),
		zap.Duration("sent", now.Sub(g.SentAt())), zap.Int64("clock", g.Clock()), zap.Duration("age", now.Sub(g.ReportedAt())), zap.Int64("now", g.CalculatedClock()))
}

// ReportRejected implements hforder.Observer. Each reason is logged once for a worker.
func (n *Node) ReportRejected(worker string, reasons []error) {
	metrics.GetOrRegisterCounter("report.rejected", n.registry).Inc(int64(len(reasons)))
	for _, err := range reasons {
		reason := err.Error()
		r := hfloop.With(n.rejectedRows, func(rows *hfevent.Rejections) hfevent.Rejection { return rows.Reject(worker+" "+reason, reason) })
		if !r.Repeated() {
			n.log.Event(hfevent.EntryRejected, zap.String("key", "report of "+worker), zap.String("error", r.Reason()))
		}
	}
}

// LoadSampled implements hforder.Observer.
func (n *Node) LoadSampled(l hfplan.Load) {
	metrics.GetOrRegisterGauge("plan.free.accelerators", n.registry).Update(l.Free().Accelerators())
	metrics.GetOrRegisterGauge("plan.accelerators", n.registry).Update(l.Capacity().Accelerators())
	waiting, running := l.Waiting(), l.Running()
	for class := range waiting {
		metrics.GetOrRegisterGauge(fmt.Sprintf("plan.waiting.%d", class), n.registry).Update(int64(waiting[class]))
		metrics.GetOrRegisterGauge(fmt.Sprintf("plan.running.%d", class), n.registry).Update(int64(running[class]))
	}
	n.log.Event(hfevent.PlanLoad, zap.Ints("waiting", waiting[:]), zap.Ints("running", running[:]), zap.Int("promised", l.Assigned()),
		zap.Int("stopping", l.Stopping()), zap.Int64("free", l.Free().Accelerators()), zap.Int64("accelerators", l.Capacity().Accelerators()),
		zap.Int64("cpu", l.Free().CPU()/milliPerCore), zap.Int64("memory", l.Free().Memory()), zap.Any("traffic", n.traffic()))
}

// trafficPrefix is the prefix of the counters of bytes sent and received.
const trafficPrefix = "traffic."

// traffic returns the bytes sent and received since the start of the process, by purpose.
func (n *Node) traffic() map[string]int64 {
	bytes := map[string]int64{}
	n.registry.Each(func(name string, metric any) {
		if purpose, ok := strings.CutPrefix(name, trafficPrefix); ok {
			if c, ok := metric.(metrics.Counter); ok {
				bytes[purpose] = c.Count()
			}
		}
	})
	return bytes
}

// InvariantViolated implements hforder.Observer.
func (n *Node) InvariantViolated(err error) {
	n.log.Event(hfevent.InvariantViolated, zap.String("error", err.Error()))
}

// Panicked implements hforder.Observer. It also reports panics in calls of other instances.
func (n *Node) Panicked(cause any, stack []byte) {
	n.log.Event(hfevent.CallPanicked, zap.Any("cause", cause), zap.ByteString("stack", stack))
}
