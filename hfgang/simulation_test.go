package hfgang

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sort"
	"testing"
	"time"

	"github.com/heatherfront/heatherfront/hfaccount"
	"github.com/heatherfront/heatherfront/hfconfig"
	"github.com/heatherfront/heatherfront/hfseed"
	"github.com/heatherfront/heatherfront/hfwire"
	"github.com/heatherfront/heatherfront/hfworker"
)

func TestMain(m *testing.M) { hfseed.Main(m) }

const (
	simLease     = 4 * time.Second
	simPoll      = time.Second
	simHeartbeat = 250 * time.Millisecond
	simStep      = 50 * time.Millisecond
)

// fakeTask is a task on a fakeWorker.
type fakeTask struct {
	cmd      TaskCmd
	state    string
	leaseEnd time.Time // end of the lease
	runEnd   time.Time // end of the run
}

// fakeWorker implements the minimum that the scheduler may assume about a worker.
type fakeWorker struct {
	entry       hfworker.Worker
	tasks       map[string]*fakeTask
	ended       map[string]string
	dead        bool // the worker failed with its tasks
	unreachable bool // the worker keeps running but cannot be reached
	failsTasks  bool // every task that it runs fails
}

// simEvent is a function scheduled for a later time.
type simEvent struct {
	at        time.Time
	do        func()
	scheduler *Scheduler // the event is skipped if another scheduler leads by then; nil: never skipped
}

// simulation runs a scheduler against fake workers and a fake store on a simulated
// clock.
type simulation struct {
	now            time.Time
	random         *rand.Rand
	s              *Scheduler
	fleet          *hfworker.Fleet
	renewalRule    hfworker.RenewalRule
	rules          rules
	workers        map[string]*fakeWorker
	listedWorkers  map[string]hfworker.Worker
	book           *hfaccount.Directory
	stored         [Shards]*hfwire.Shard
	storeDown      bool // the store completes no commits
	reportsCut     bool // the leader receives nothing from the observers
	events         []simEvent
	replies        map[uint64]ReplyCmd
	ranAttempts    map[string]map[uint32]bool // attempts in which a member ran, by job
	partialSince   map[hfworker.Gang]time.Time
	longestPartial time.Duration // longest time that part of a gang ran without the rest
	lastToken      uint64
	quarantines    []QuarantineCmd // in order
}

func newSimulation(seed uint64, sizes []int, book *hfaccount.Directory) *simulation {
	w := &simulation{
		now: time.Unix(1_790_000_000, 0), random: rand.New(rand.NewPCG(seed, 1)), renewalRule: hfworker.GangComplete, rules: defaultRules(),
		workers: map[string]*fakeWorker{}, listedWorkers: map[string]hfworker.Worker{}, book: book,
		replies: map[uint64]ReplyCmd{}, ranAttempts: map[string]map[uint32]bool{}, partialSince: map[hfworker.Gang]time.Time{},
	}
	for i, n := range sizes {
		name := fmt.Sprintf("w%02d", i)
		row := hfworker.NewWorker(name, name, "a", "one", fmt.Sprintf("r%d", i/8), i%8, n, false)
		w.listedWorkers[name] = row
		w.workers[name] = &fakeWorker{entry: row, tasks: map[string]*fakeTask{}, ended: map[string]string{}}
	}
	return w
}

// start starts the worker observers and the first leader.
func (w *simulation) start() {
	w.fleet = hfworker.NewFleet(simPoll, simHeartbeat, w.renewalRule)
	all := map[string]bool{}
	var rows []hfworker.Worker
	for name, r := range w.listedWorkers {
		all[name] = true
		rows = append(rows, r)
	}
	w.fleet.Update(hfworker.Listed(rows), w.now)
	w.fleet.Update(hfworker.Observe(all), w.now)
	w.startLeader()
	w.advance(2 * time.Second)
}

// startLeader starts a new scheduler from the stored records.
func (w *simulation) startLeader() {
	w.s = New("a", NewTiming(simLease, w.fleet.Freshness(), time.Hour))
	w.s.rules = w.rules
	w.send(Accounts(w.book))
	w.send(Fleet(w.listedWorkers))
	w.fleet.EachObservation("a", w.now, func(worker string, tasks []*hfwire.Task, lost bool) { w.send(Report(worker, tasks, lost)) })
	w.send(Load(w.stored[:]))
}

func (w *simulation) send(msg Msg) {
	s := w.s
	cmds := s.Update(msg, w.now)
	for _, cmd := range cmds {
		w.execute(s, cmd)
	}
}

func (w *simulation) after(d time.Duration, scheduler *Scheduler, do func()) {
	w.events = append(w.events, simEvent{at: w.now.Add(d), do: do, scheduler: scheduler})
}

func (w *simulation) randomDelay(maxMillis int) time.Duration {
	return time.Duration(w.random.IntN(maxMillis)+1) * time.Millisecond
}

func (w *simulation) execute(s *Scheduler, cmd Cmd) {
	switch c := cmd.(type) {
	case CommitCmd:
		w.commit(s, c)
	case TaskCmd:
		// A command arrives even if the leader that sent it has been replaced.
		w.after(w.randomDelay(200), nil, func() {
			answer, ok := w.answerTask(c)
			if ok && w.s == s {
				w.after(w.randomDelay(50), s, func() { w.send(answer) })
			}
		})
	case ReplyCmd:
		w.replies[c.token] = c
	case QuarantineCmd:
		w.quarantines = append(w.quarantines, c)
	}
}

// commit stores a shard after a delay. Writes of a replaced leader have no effect, as
// if fenced.
func (w *simulation) commit(s *Scheduler, c CommitCmd) {
	w.after(w.randomDelay(30), s, func() {
		if w.storeDown {
			w.commit(s, c)
			return
		}
		w.stored[c.shard] = c.record
		w.after(w.randomDelay(10), s, func() { w.send(Stored(c.shard)) })
	})
}

// answerTask executes a command on a fake worker and returns the answer.
func (w *simulation) answerTask(c TaskCmd) (AnsweredMsg, bool) {
	fw := w.workers[c.grant.GetWorker()]
	if fw == nil || fw.dead || fw.unreachable {
		return Answered(c, "", false, 0), true
	}
	t, ok := fw.tasks[c.task]
	switch c.verb {
	case VerbStart:
		if !ok && fw.ended[c.task] != "" {
			return Answered(c, "", true, 0), true
		}
		if !ok {
			fw.tasks[c.task] = &fakeTask{cmd: c, state: hfworker.StateHeld, leaseEnd: w.now.Add(simLease)}
		}
		return Answered(c, hfworker.StateHeld, false, 0), true
	case VerbStop:
		if ok {
			fw.endTask(t, hfworker.StateStopped)
		} else if fw.ended[c.task] == "" {
			fw.ended[c.task] = hfworker.StateStopped
		}
		return Answered(c, fw.ended[c.task], false, 0), true
	}
	if !ok {
		return Answered(c, "", true, 0), true
	}
	if c.verb == VerbRelease && t.state == hfworker.StateHeld {
		t.state = hfworker.StateRunning
		t.runEnd = w.now.Add(time.Duration(c.run-c.from) * time.Millisecond)
		w.recordRun(c)
	}
	return Answered(c, t.state, false, c.from), true
}

func (w *simulation) recordRun(c TaskCmd) {
	if w.ranAttempts[c.job] == nil {
		w.ranAttempts[c.job] = map[uint32]bool{}
	}
	w.ranAttempts[c.job][c.attempt] = true
}

func (fw *fakeWorker) endTask(t *fakeTask, state string) {
	fw.ended[t.cmd.task] = state
	delete(fw.tasks, t.cmd.task)
}

// advance runs the simulation for a duration.
func (w *simulation) advance(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(simStep)
		w.runDueEvents()
		w.endTasks()
		w.pollWorkers()
		w.send(TickMsg{})
		w.measurePartialGangs()
	}
}

func (w *simulation) runDueEvents() {
	due := w.events
	w.events = nil
	sort.SliceStable(due, func(i, j int) bool { return due[i].at.Before(due[j].at) })
	for _, e := range due {
		switch {
		case e.at.After(w.now):
			w.events = append(w.events, e)
		case e.scheduler == nil || e.scheduler == w.s:
			e.do()
		}
	}
}

// endTasks ends tasks that failed, completed their run or whose lease has expired.
func (w *simulation) endTasks() {
	for _, name := range slices.Sorted(maps.Keys(w.workers)) {
		fw := w.workers[name]
		for _, id := range slices.Sorted(maps.Keys(fw.tasks)) {
			t := fw.tasks[id]
			switch {
			case t.state == hfworker.StateRunning && (fw.failsTasks || t.cmd.command == "poison"):
				fw.endTask(t, hfworker.StateFailed)
			case t.state == hfworker.StateRunning && !t.runEnd.After(w.now):
				fw.endTask(t, hfworker.StateDone)
			case !t.leaseEnd.After(w.now):
				fw.endTask(t, hfworker.StateStopped)
			}
		}
	}
}

// pollWorkers polls the workers that are due, and renews the leases that the rule
// allows.
func (w *simulation) pollWorkers() {
	for _, cmd := range w.fleet.Update(hfworker.TickMsg{}, w.now) {
		poll, ok := cmd.(hfworker.PollCmd)
		if !ok {
			continue
		}
		for _, c := range w.poll(poll) {
			if r, ok := c.(hfworker.ReportCmd); ok && !w.reportsCut {
				w.send(Report(r.Worker(), r.Tasks(), r.Lost()))
			}
		}
	}
	if !w.reportsCut {
		w.send(Fresh(w.fleet.FreshWorkers("a", w.now)))
	}
}

// restoreReports reconnects the leader to the observers, beginning with a report of
// every worker.
func (w *simulation) restoreReports() {
	w.reportsCut = false
	w.fleet.EachObservation("a", w.now, func(worker string, tasks []*hfwire.Task, lost bool) { w.send(Report(worker, tasks, lost)) })
}

func (w *simulation) poll(c hfworker.PollCmd) []hfworker.Cmd {
	fw := w.workers[c.Worker().Name()]
	if fw.dead || fw.unreachable {
		return w.fleet.Update(hfworker.PollFailed(fw.entry.Name()), w.now)
	}
	for _, id := range c.Renew() {
		if t, ok := fw.tasks[id]; ok {
			t.leaseEnd = w.now.Add(simLease)
		}
	}
	var tasks []*hfwire.Task
	for id, t := range fw.tasks {
		tasks = append(tasks, mustParse(id, t.state))
	}
	for id, state := range fw.ended {
		tasks = append(tasks, mustParse(id, state))
	}
	return w.fleet.Update(hfworker.Polled(fw.entry.Name(), tasks, w.now), w.now)
}

func mustParse(id, state string) *hfwire.Task {
	t, err := hfworker.ParseTask(id, state)
	if err != nil {
		panic(err)
	}
	return t
}

// measurePartialGangs measures, independently of the scheduler, how long part of a gang
// runs without the rest.
func (w *simulation) measurePartialGangs() {
	running, sizes := map[hfworker.Gang]int{}, map[hfworker.Gang]int{}
	for _, fw := range w.workers {
		for _, t := range fw.tasks {
			g := hfworker.NewGang(t.cmd.job, t.cmd.attempt)
			if t.state == hfworker.StateRunning && !fw.dead {
				running[g]++
				sizes[g] = int(t.cmd.size)
			}
		}
		for id, state := range fw.ended {
			t := mustParse(id, state)
			if state == hfworker.StateDone {
				running[hfworker.NewGang(t.GetJob(), t.GetAttempt())]++
			}
		}
	}
	for g, size := range sizes {
		if running[g] >= size {
			delete(w.partialSince, g)
			continue
		}
		since, ok := w.partialSince[g]
		if !ok {
			w.partialSince[g] = w.now
			continue
		}
		w.longestPartial = max(w.longestPartial, w.now.Sub(since))
	}
	for g := range w.partialSince {
		if sizes[g] == 0 {
			delete(w.partialSince, g)
		}
	}
}

// killWorker makes a worker fail together with its tasks.
func (w *simulation) killWorker(name string) {
	fw := w.workers[name]
	fw.dead = true
	fw.tasks, fw.ended = map[string]*fakeTask{}, map[string]string{}
}

func (w *simulation) submit(id, account, work string, size int, run time.Duration) uint64 {
	return w.submitCommand(id, account, work, size, run, "run")
}

func (w *simulation) submitCommand(id, account, work string, size int, run time.Duration, command string) uint64 {
	w.lastToken++
	k := w.book.View().Works()[work]
	w.send(Submit(w.lastToken, &hfwire.Job{
		Id: id, Account: account, Caller: account + "-caller", Work: work, Class: string(k.Class), Size: uint32(size),
		Preemptible: k.Preemptible, Idempotent: k.Idempotent, Run: run.Milliseconds(), Command: command,
	}))
	return w.lastToken
}

func (w *simulation) state(id string) string {
	if j, ok := w.s.jobs[id]; ok {
		return j.state()
	}
	return ""
}

// testBook returns a book with accounts a and b, which have the given guarantees,
// account c, and the kinds of work that the tests use.
func testBook(a, b []hfconfig.Guarantee) *hfaccount.Directory {
	s := hfconfig.NewState(time.Unix(0, 0))
	all := []string{"a", "b", "c"}
	resources := []hfconfig.Resource{
		hfconfig.NewResource(hfconfig.KindAccount, "a", &hfconfig.Account{Guarantees: a}),
		hfconfig.NewResource(hfconfig.KindAccount, "b", &hfconfig.Account{Guarantees: b}),
		hfconfig.NewResource(hfconfig.KindAccount, "c", &hfconfig.Account{}),
		hfconfig.NewResource(hfconfig.KindWork, "urgent", &hfconfig.Work{Type: "job", Class: "urgent", Idempotent: true, Accounts: all}),
		hfconfig.NewResource(hfconfig.KindWork, "once", &hfconfig.Work{Type: "job", Class: "normal", Accounts: all}),
		hfconfig.NewResource(hfconfig.KindWork, "again", &hfconfig.Work{Type: "job", Class: "normal", Idempotent: true, Accounts: all}),
		hfconfig.NewResource(hfconfig.KindWork, "filler", &hfconfig.Work{Type: "job", Class: "batch", Idempotent: true, Preemptible: true, Accounts: all}),
	}
	for i, r := range resources {
		s.Update(hfconfig.Learned(r.WithRevision(int64(i+1))), time.Unix(0, 0))
	}
	return hfaccount.NewDirectory(s.View())
}

func workersOfEight(n int) []int {
	sizes := make([]int, n)
	for i := range sizes {
		sizes[i] = 8
	}
	return sizes
}
