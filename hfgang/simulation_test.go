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
	entry       hfworker.Worker // in the membership list
	tasks       map[string]*fakeTask
	ended       map[string]string // final states of ended tasks, by task id
	dead        bool              // the worker failed with its tasks
	unreachable bool              // the worker keeps running but cannot be reached
	failsTasks  bool              // every task that it runs fails
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
	scheduler      *Scheduler
	fleet          *hfworker.Fleet
	renewalRule    hfworker.RenewalRule
	rules          rules
	workers        map[string]*fakeWorker
	listedWorkers  map[string]hfworker.Worker
	directory      *hfaccount.Directory
	stored         [Shards]*hfwire.Shard
	storeDown      bool // the store completes no commits
	reportsCut     bool // the leader receives nothing from the observers
	events         []simEvent
	replies        map[uint64]ReplyCmd
	ranAttempts    map[string]map[uint32]bool // attempts in which a member ran, by job
	partialSince   map[hfworker.Gang]time.Time
	longestPartial time.Duration // longest time that part of a gang ran without the rest
	lastToken      uint64
	restartAfter   time.Duration          // from a crash of a worker to the start of its next process
	permitsByTest  bool                   // the test passes the leader's answers to the observers
	quarantines    []QuarantineCmd        // in order
	revoked        map[hfworker.Gang]bool // attempts that the leader revoked
}

// newSimulation returns a simulation that has not started. It has one worker for each of
// sizes, with that many accelerators.
func newSimulation(seed uint64, sizes []int, directory *hfaccount.Directory) *simulation {
	sim := &simulation{
		now: time.Unix(1_790_000_000, 0), random: rand.New(rand.NewPCG(seed, 1)), renewalRule: hfworker.GangComplete, rules: defaultRules(),
		workers: map[string]*fakeWorker{}, listedWorkers: map[string]hfworker.Worker{}, directory: directory,
		replies: map[uint64]ReplyCmd{}, ranAttempts: map[string]map[uint32]bool{}, partialSince: map[hfworker.Gang]time.Time{},
	}
	for i, n := range sizes {
		name := fmt.Sprintf("w%02d", i)
		entry := hfworker.NewWorker(name, name, "a", "one", fmt.Sprintf("r%d", i/8), i%8, n, false)
		sim.listedWorkers[name] = entry
		sim.workers[name] = &fakeWorker{entry: entry, tasks: map[string]*fakeTask{}, ended: map[string]string{}}
	}
	return sim
}

// start starts the observers of the workers and the first leader.
func (sim *simulation) start() {
	sim.fleet = hfworker.NewFleet(simPoll, simHeartbeat, sim.renewalRule)
	all := map[string]bool{}
	var entries []hfworker.Worker
	for name, entry := range sim.listedWorkers {
		all[name] = true
		entries = append(entries, entry)
	}
	sim.fleet.Update(hfworker.Listed(entries), sim.now)
	sim.fleet.Update(hfworker.Observe(all), sim.now)
	sim.startLeader()
	sim.advance(2 * time.Second)
}

// startLeader starts a new scheduler from the stored records.
func (sim *simulation) startLeader() {
	sim.scheduler = New("a", NewTiming(simLease, sim.fleet.Freshness(), time.Hour))
	sim.scheduler.rules = sim.rules
	sim.send(Accounts(sim.directory))
	sim.send(Fleet(sim.listedWorkers))
	sim.fleet.EachObservation("a", sim.now, func(worker string, tasks []*hfwire.Task, lost bool) { sim.send(Report(worker, tasks, lost)) })
	sim.send(Load(sim.stored[:]))
}

func (sim *simulation) send(msg Msg) {
	s := sim.scheduler
	cmds := s.Update(msg, sim.now)
	for _, cmd := range cmds {
		sim.execute(s, cmd)
	}
	if _, ok := msg.(TickMsg); ok && !sim.permitsByTest {
		sim.askLeader()
	}
}

// askLeader passes the answer of the leader's instance to the observers. It also answers while no
// leader has loaded the records.
func (sim *simulation) askLeader() {
	var led []*hfwire.Leadership
	if sim.scheduler.loaded {
		led = append(led, &hfwire.Leadership{Domain: "a", Revoked: hfworker.Attempts(sim.revoked)})
	}
	sim.fleet.Update(hfworker.Instances([]string{"leader"}), sim.now)
	sim.fleet.Update(hfworker.Leaderships("leader", sim.now, led), sim.now)
}

// after schedules do. If scheduler is not nil, do is skipped if another scheduler leads by
// then.
func (sim *simulation) after(d time.Duration, scheduler *Scheduler, do func()) {
	sim.events = append(sim.events, simEvent{at: sim.now.Add(d), do: do, scheduler: scheduler})
}

func (sim *simulation) randomDelay(maxMillis int) time.Duration {
	return time.Duration(sim.random.IntN(maxMillis)+1) * time.Millisecond
}

func (sim *simulation) execute(s *Scheduler, cmd Cmd) {
	switch c := cmd.(type) {
	case CommitCmd:
		sim.commit(s, c)
	case TaskCmd:
		// A command arrives even if the leader that sent it has been replaced.
		sim.after(sim.randomDelay(200), nil, func() {
			answer, ok := sim.answerTask(c)
			if ok && sim.scheduler == s {
				sim.after(sim.randomDelay(50), s, func() { sim.send(answer) })
			}
		})
	case ReplyCmd:
		sim.replies[c.token] = c
	case RevokeCmd:
		sim.revoked = c.gangs
	case QuarantineCmd:
		sim.quarantines = append(sim.quarantines, c)
	}
}

// commit stores a shard after a delay. Writes of a replaced leader have no effect, as
// if fenced.
func (sim *simulation) commit(s *Scheduler, c CommitCmd) {
	sim.after(sim.randomDelay(30), s, func() {
		if sim.storeDown {
			sim.commit(s, c)
			return
		}
		sim.stored[c.shard] = c.record
		sim.after(sim.randomDelay(10), s, func() { sim.send(Stored(c.shard)) })
	})
}

// answerTask executes a command on a fake worker and returns the answer.
func (sim *simulation) answerTask(c TaskCmd) (AnsweredMsg, bool) {
	fw := sim.workers[c.grant.GetWorker()]
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
			fw.tasks[c.task] = &fakeTask{cmd: c, state: hfworker.StateHeld, leaseEnd: sim.now.Add(simLease)}
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
		t.runEnd = sim.now.Add(time.Duration(c.run-c.from) * time.Millisecond)
		sim.recordRun(c)
		if c.command == "crash unanswered" {
			sim.crashWorker(c.grant.GetWorker())
			return Answered(c, "", false, 0), true
		}
		if c.command == "crash" {
			sim.after(sim.randomDelay(200), nil, func() { sim.crashWorker(c.grant.GetWorker()) })
		}
	}
	return Answered(c, t.state, false, c.from), true
}

func (sim *simulation) recordRun(c TaskCmd) {
	if sim.ranAttempts[c.job] == nil {
		sim.ranAttempts[c.job] = map[uint32]bool{}
	}
	sim.ranAttempts[c.job][c.attempt] = true
}

func (fw *fakeWorker) endTask(t *fakeTask, state string) {
	fw.ended[t.cmd.task] = state
	delete(fw.tasks, t.cmd.task)
}

// advance runs the simulation for a duration.
func (sim *simulation) advance(d time.Duration) {
	for end := sim.now.Add(d); sim.now.Before(end); {
		sim.now = sim.now.Add(simStep)
		sim.runDueEvents()
		sim.endTasks()
		sim.pollWorkers()
		sim.send(TickMsg{})
		sim.measurePartialGangs()
	}
}

func (sim *simulation) runDueEvents() {
	due := sim.events
	sim.events = nil
	sort.SliceStable(due, func(i, j int) bool { return due[i].at.Before(due[j].at) })
	for _, e := range due {
		switch {
		case e.at.After(sim.now):
			sim.events = append(sim.events, e)
		case e.scheduler == nil || e.scheduler == sim.scheduler:
			e.do()
		}
	}
}

// endTasks ends the tasks that fail, complete their run or have an expired lease.
func (sim *simulation) endTasks() {
	for _, name := range slices.Sorted(maps.Keys(sim.workers)) {
		fw := sim.workers[name]
		for _, id := range slices.Sorted(maps.Keys(fw.tasks)) {
			t := fw.tasks[id]
			switch {
			case t.state == hfworker.StateRunning && (fw.failsTasks || t.cmd.command == "poison"):
				fw.endTask(t, hfworker.StateFailed)
			case t.state == hfworker.StateRunning && !t.runEnd.After(sim.now):
				fw.endTask(t, hfworker.StateDone)
			case !t.leaseEnd.After(sim.now):
				fw.endTask(t, hfworker.StateStopped)
			}
		}
	}
}

// pollWorkers polls the workers that are due, renews the leases that the renewal rule
// allows, and passes the reports to the leader.
func (sim *simulation) pollWorkers() {
	for _, cmd := range sim.fleet.Update(hfworker.TickMsg{}, sim.now) {
		poll, ok := cmd.(hfworker.PollCmd)
		if !ok {
			continue
		}
		for _, c := range sim.poll(poll) {
			if r, ok := c.(hfworker.ReportCmd); ok && !sim.reportsCut {
				sim.send(Report(r.Worker(), r.Tasks(), r.Lost()))
			}
		}
	}
	if !sim.reportsCut {
		sim.send(Fresh(sim.fleet.FreshWorkers("a", sim.now)))
	}
}

// restoreReports reconnects the leader to the observers, beginning with a report of
// every worker.
func (sim *simulation) restoreReports() {
	sim.reportsCut = false
	sim.fleet.EachObservation("a", sim.now, func(worker string, tasks []*hfwire.Task, lost bool) { sim.send(Report(worker, tasks, lost)) })
}

func (sim *simulation) poll(c hfworker.PollCmd) []hfworker.Cmd {
	fw := sim.workers[c.Worker().Name()]
	if fw.dead || fw.unreachable {
		return sim.fleet.Update(hfworker.PollFailed(fw.entry.Name()), sim.now)
	}
	for _, id := range c.Renew() {
		if t, ok := fw.tasks[id]; ok {
			t.leaseEnd = sim.now.Add(simLease)
		}
	}
	var tasks []*hfwire.Task
	for id, t := range fw.tasks {
		tasks = append(tasks, mustParse(id, t.state))
	}
	for id, state := range fw.ended {
		tasks = append(tasks, mustParse(id, state))
	}
	return sim.fleet.Update(hfworker.Polled(fw.entry.Name(), tasks, sim.now), sim.now)
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
func (sim *simulation) measurePartialGangs() {
	running, sizes := map[hfworker.Gang]int{}, map[hfworker.Gang]int{}
	for _, fw := range sim.workers {
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
			delete(sim.partialSince, g)
			continue
		}
		since, ok := sim.partialSince[g]
		if !ok {
			sim.partialSince[g] = sim.now
			continue
		}
		sim.longestPartial = max(sim.longestPartial, sim.now.Sub(since))
	}
	for g := range sim.partialSince {
		if sizes[g] == 0 {
			delete(sim.partialSince, g)
		}
	}
}

// killWorker makes a worker fail together with its tasks.
func (sim *simulation) killWorker(name string) {
	fw := sim.workers[name]
	fw.dead = true
	fw.tasks, fw.ended = map[string]*fakeTask{}, map[string]string{}
}

// crashWorker ends the process of a worker. The next one runs nothing and knows nothing of it.
func (sim *simulation) crashWorker(name string) {
	sim.killWorker(name)
	sim.after(sim.restartAfter, nil, func() { sim.workers[name].dead = false })
}

func (sim *simulation) submit(id, account, work string, size int, run time.Duration) uint64 {
	return sim.submitCommand(id, account, work, size, run, "run")
}

func (sim *simulation) submitCommand(id, account, work string, size int, run time.Duration, command string) uint64 {
	sim.lastToken++
	k := sim.directory.View().Works()[work]
	sim.send(Submit(sim.lastToken, &hfwire.Job{
		Id: id, Account: account, Caller: account + "-caller", Work: work, Class: string(k.Class), Size: uint32(size),
		Preemptible: k.Preemptible, Idempotent: k.Idempotent, Run: run.Milliseconds(), Command: command,
	}))
	return sim.lastToken
}

func (sim *simulation) state(id string) string {
	if j, ok := sim.scheduler.jobs[id]; ok {
		return j.state()
	}
	return ""
}

// testDirectory returns a directory with accounts a and b, which have the given guarantees,
// account c, and the kinds of work that the tests use.
func testDirectory(a, b []hfconfig.Guarantee) *hfaccount.Directory {
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

// workersOfEight returns the sizes of n workers with eight accelerators each.
func workersOfEight(n int) []int {
	sizes := make([]int, n)
	for i := range sizes {
		sizes[i] = 8
	}
	return sizes
}
