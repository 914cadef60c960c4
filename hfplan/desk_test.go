package hfplan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hfplacement"
	"github.com/heatherfront/heatherfront/hfwork"
)

// desk drives a scheduler by hand: each test decides what the workers and the store answer
// and when.
type desk struct {
	t      *testing.T
	s      *Scheduler
	now    time.Time
	ends   map[string]int64 // sequence number of the last reported end, by worker id
	born   map[string]int64 // incarnation by worker id; 1 by default
	starts []StartCmd
	stops  []StopCmd
	stores []StoreCmd // not answered yet
	notes  []NoteCmd
	acks   []AckCmd
	ended  bool // the scheduler has ended its term
}

// newDesk returns a desk with a scheduler that has heard of the given workers, each with room
// for one task of eight accelerators.
func newDesk(t *testing.T, term int64, workers ...string) *desk {
	t.Helper()
	d := &desk{t: t, s: New(term, NewTiming(workerLease), time.Unix(1_000_000, 0)), now: time.Unix(1_000_000, 0), ends: map[string]int64{}, born: map[string]int64{}}
	d.send(Policy(&hfwork.Policy{Version: 1, Pools: []*hfwork.Pool{{Name: "pool"}}, Queues: []*hfwork.Queue{{Name: "usual", Pool: "pool", Priority: 1, Attempts: 2}}}))
	d.send(Workers(deskWorkers(workers...)))
	return d
}

func deskWorkers(ids ...string) map[string]*hfwork.Worker {
	registered := map[string]*hfwork.Worker{}
	for _, id := range ids {
		registered[id] = &hfwork.Worker{Id: id, Pool: "pool", Rack: "r", Cpu: 128_000, Memory: 262_144, Accelerators: 8}
	}
	return registered
}

// deskStep returns a step whose tasks each fill a worker.
func deskStep(count uint32) *hfwork.Step {
	return &hfwork.Step{Count: count, Cpu: 10_000, Memory: 20_000, Accelerators: 8, Estimate: 5000}
}

// deskSize is the size of a task of deskStep.
var deskSize = hfplacement.NewResources(10_000, 20_000, 8)

// send passes a message to the scheduler, followed by a pass, and keeps the commands.
func (d *desk) send(msg Msg) {
	d.t.Helper()
	for _, m := range []Msg{msg, PassMsg{}} {
		for _, cmd := range d.s.Update(m, d.now) {
			switch c := cmd.(type) {
			case StartCmd:
				d.starts = append(d.starts, c)
			case StopCmd:
				d.stops = append(d.stops, c)
			case StoreCmd:
				d.stores = append(d.stores, c)
			case NoteCmd:
				d.notes = append(d.notes, c)
			case AckCmd:
				d.acks = append(d.acks, c)
			case EndTermCmd:
				d.ended = true
			}
		}
		require.NoError(d.t, d.s.Check())
	}
}

// advance moves the clock forward in ticks.
func (d *desk) advance(duration time.Duration) {
	d.t.Helper()
	for end := d.now.Add(duration); d.now.Before(end); {
		d.now = d.now.Add(min(tickInterval, end.Sub(d.now)))
		d.send(TickMsg{})
	}
}

// maxStores is more StoreCmds than follow from any one message.
const maxStores = 20

// store answers all StoreCmds, also those that follow.
func (d *desk) store() {
	d.t.Helper()
	for n := 0; len(d.stores) > 0; n++ {
		require.Less(d.t, n, maxStores, "the scheduler stores without end")
		c := d.stores[0]
		d.stores = d.stores[1:]
		d.send(Stored(c))
	}
}

// reject answers the first StoreCmd, whose records the store does not accept.
func (d *desk) reject(jobs, workers []string) StoreCmd {
	d.t.Helper()
	require.NotEmpty(d.t, d.stores)
	c := d.stores[0]
	d.stores = d.stores[1:]
	d.send(Stored(c).Without(NewRejectedError(jobs, workers)))
	return c
}

// report sends a report of a worker that was requested a moment ago.
func (d *desk) report(worker string, runs ...hfwork.Run) { d.reportEnds(worker, runs) }

func (d *desk) reportEnds(worker string, runs []hfwork.Run, ends ...hfwork.End) {
	d.t.Helper()
	d.now = d.now.Add(messageDelay)
	sent := d.now
	d.now = d.now.Add(messageDelay)
	d.send(Report(worker, sent, hfwork.NewReport(0, max(d.born[worker], 1), runs, ends)))
}

// end returns the next end of a worker.
func (d *desk) end(worker string, task hfwork.TaskID, number int64, reason hfwork.EndReason) hfwork.End {
	d.ends[worker]++
	return hfwork.NewEnd(d.ends[worker], task, number, reason, "")
}

// takeStarts returns the starts since the last call.
func (d *desk) takeStarts() []StartCmd {
	starts := d.starts
	d.starts = nil
	return starts
}

// startAll submits a job with one step, stores its places and confirms its starts.
func (d *desk) startAll(id string, step *hfwork.Step) []StartCmd {
	d.t.Helper()
	d.submit(id, step)
	d.store()
	starts := d.takeStarts()
	require.Len(d.t, starts, int(step.GetCount()))
	for _, c := range starts {
		d.send(Started(c, OutcomeDone))
	}
	return starts
}

func (d *desk) submit(id string, steps ...*hfwork.Step) {
	d.t.Helper()
	d.send(Job(&hfwork.Job{Id: id, Queue: "usual", Account: "plants", Steps: steps}, nil, false))
}

// loseWorker lets the leases of a worker expire.
func (d *desk) loseWorker(id string) {
	d.t.Helper()
	d.send(WorkerSilent(id))
	d.advance(d.s.timing.leaseExpiryDelay())
}

// stopsOf returns how often each worker was told to stop a run of a task.
func (d *desk) stopsOf(task hfwork.TaskID, number int64) int {
	n := 0
	for _, c := range d.stops {
		if c.Task() == task && c.Number() == number {
			n++
		}
	}
	return n
}

// retries returns the retries that were logged for a run.
func (d *desk) retries(task hfwork.TaskID, number int64) int {
	n := 0
	for _, c := range d.notes {
		if c.Note() == NoteRetry && c.Job() == task.Job() && c.Task() == task.Index() && c.Number() == number {
			n++
		}
	}
	return n
}

// bring takes runs that are assigned to a phase.
func (d *desk) bring(to phase) {
	d.t.Helper()
	if to == assigned {
		return
	}
	d.store()
	for _, c := range d.takeStarts() {
		switch to {
		case running:
			d.send(Started(c, OutcomeDone))
		case stopping:
			d.send(Started(c, OutcomeUnknown))
		}
	}
}

var allPhases = []phase{assigned, starting, running, stopping}

// testRestart is the time between the crash of a worker and its next life.
const testRestart = 3 * time.Second

// stopOf returns the stop of a run that was started.
func stopOf(c StartCmd) StopCmd {
	return StopCmd{worker: c.worker, task: c.task, number: c.number}
}
