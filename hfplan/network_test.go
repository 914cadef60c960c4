package hfplan

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hfwire"
	"github.com/heatherfront/heatherfront/hfwork"
)

// The times of the orders of a leader (see package hforder).
const (
	leaseMargin      = 50 * time.Millisecond // subtracted from a lease
	responseTimeout  = 300 * time.Millisecond
	orderTimeout     = time.Second
	pollTimeout      = 900 * time.Millisecond // beyond the wait of a poll
	silentPollPause  = 250 * time.Millisecond
	endsStoredWait   = 2 * time.Second // for the record of a reported end
	maxQueued        = 2 * time.Second // of a start at the leader
	minLateness      = 2 * time.Second // of an order that is carried out late
	lateness         = 10 * time.Second
	maxClockSlowness = 0.02
)

// network carries orders and polls between the leader and the workers as package hforder
// sends them. It leaves some of them unanswered and carries them out late, and it can be cut
// in each direction. Leases end as the orders say, on the clock of the worker. A start, and a poll
// that renews leases or acknowledges ends, belongs to a connection that leads to the incarnation
// that it is meant for, and ends with it (TestStartReachesItsIncarnationOnly and
// TestBoundPollReachesItsIncarnationOnly of package hfplatform).
type network struct {
	w *world
	// unbound lets a start reach whichever incarnation of its worker answers. The next incarnation
	// takes the lease end for a time on its own clock, and limits it to a full lease.
	unbound bool
	random  *rand.Rand
	late    float64 // share of the orders and polls that are carried out late and not answered
	slow    float64 // share of the starts that wait in the queue of the leader
	refuse  float64 // share of the starts and stops that an unhealthy worker refuses
	cutTo   map[*fakeWorker]bool
	cutOff  map[*fakeWorker]bool // what the worker sends is lost
	links   map[string]*link     // of the present leader, by worker id

	replaced     map[string]string // addresses at which another worker answers, by the id of the earlier one
	lives        int               // number of workers that have crashed
	acknowledged map[string]bool   // tasks with an acknowledged end as done, also if a lease has expired before
}

// link is what a leader knows of its connection to a worker.
type link struct {
	term         int
	fence        int
	id           string
	answered     bool   // the last poll was answered
	answeredAt   string // address at which the worker answered this leader or an earlier one
	silent       bool
	incarnation  int64
	lastReported int64
	lastStored   int64
	withdrawn    map[StopCmd]bool // starts that are not to be sent any more, as their stops
	starting     map[StopCmd]bool // starts that may be sent again, as their stops
	held         map[StopCmd]bool // stops that wait for their start
	waiting      []*waitingPoll   // polls that the worker has not answered yet
}

// waitingPoll is a poll that a worker answers at its next end or after a wait.
type waitingPoll struct {
	f        *fakeWorker
	answered bool
	answer   func()
}

// useNetwork puts a network between the leader and the workers and starts a new scheduler.
func (w *world) useNetwork(random *rand.Rand) *network {
	n := &network{w: w, random: random, cutTo: map[*fakeWorker]bool{}, cutOff: map[*fakeWorker]bool{}, replaced: map[string]string{}, acknowledged: map[string]bool{}}
	for _, id := range sortedKeys(w.fleet) {
		w.fleet[id].clockRate = 1 + maxClockSlowness*random.Float64()
	}
	w.network = n
	w.replaceScheduler()
	return n
}

// connect begins the polls of a new leader, of the workers that are registered or in the roster.
func (n *network) connect() {
	n.links = map[string]*link{}
	known := n.w.registered()
	for _, r := range n.w.roster {
		known[r.GetId()] = r // with the address at which it answered
	}
	n.follow(known)
}

// list sends the list of registered workers to the scheduler.
func (n *network) list() {
	registered := n.w.registered()
	n.follow(registered)
	n.w.send(Workers(registered))
}

// follow begins to poll workers.
func (n *network) follow(workers map[string]*hfwork.Worker) {
	for _, id := range sortedKeys(workers) {
		if n.links[id] == nil {
			l := &link{term: n.w.term, fence: n.w.fence, id: id, answeredAt: workers[id].GetAnswered(), withdrawn: map[StopCmd]bool{}, starting: map[StopCmd]bool{}, held: map[StopCmd]bool{}}
			n.links[id] = l
			n.w.at(messageDelay, func() { n.poll(l) })
		}
	}
}

// current reports whether the leader of a link still leads and follows the worker.
func (n *network) current(l *link) bool { return n.w.term == l.term && n.links[l.id] == l }

// tell passes a message to the scheduler unless its leadership has ended.
func (n *network) tell(l *link, m Msg) {
	if n.current(l) {
		n.w.send(m)
	}
}

// order carries an order to a worker. carryOut is called when it arrives, and answer with its
// result if that gets back in time. The order is lost if the worker restarts meanwhile.
func (n *network) order(l *link, wait time.Duration, carryOut func(f *fakeWorker, answer func(func()))) {
	f := n.w.fleet[l.id]
	incarnation, delay, late := f.incarnation, messageDelay, n.random.Float64() < n.late || f.muted
	if late {
		delay = minLateness + time.Duration(n.random.Int64N(int64(lateness)))
	}
	if n.cutTo[f] || f.crashed {
		return
	}
	deadline := n.w.now.Add(wait)
	n.w.at(delay, func() {
		if f.incarnation != incarnation || l.fence < f.fence {
			return
		}
		f.fence = l.fence
		carryOut(f, func(deliver func()) {
			if late || n.cutOff[f] {
				return
			}
			back := messageDelay
			if n.random.Float64() < n.late {
				back = time.Duration(n.random.Int64N(int64(pollTimeout)))
			}
			n.w.at(back, func() {
				if n.current(l) && !n.w.now.After(deadline) {
					deliver()
				}
			})
		})
	})
}

// extend extends the lease of a worker by an order that was sent at the given time.
func (n *network) extend(f *fakeWorker, sent time.Time) {
	onClock := func(d time.Duration) time.Duration { return time.Duration(float64(d) * f.clockRate) }
	end := sent.Add(onClock(workerLease - leaseMargin))
	if longest := n.w.now.Add(onClock(workerLease)); end.After(longest) {
		end = longest
	}
	if !end.After(f.leaseEnd) {
		return
	}
	f.leaseEnd = end
	incarnation := f.incarnation
	n.w.at(end.Sub(n.w.now), func() {
		if f.incarnation != incarnation || n.w.now.Before(f.leaseEnd) {
			return
		}
		f.lapses++
		for _, name := range sortedKeys(f.runs) {
			if r := f.runs[name]; r != nil {
				n.w.finish(f, r, hfwork.LeaseExpired)
			}
		}
	})
}

// poll sends a poll and the next one after it.
func (n *network) poll(l *link) {
	if !n.current(l) {
		return
	}
	if address, replaced := n.replaced[l.id]; replaced {
		n.pollReplaced(l, address)
		return
	}
	if n.w.fleet[l.id] == nil {
		return
	}
	sent, renews, lastStored, wait := n.w.now, l.answered, l.lastStored, time.Duration(0)
	if !renews {
		lastStored = 0 // a worker that was restarted would forget ends of its own
	}
	if renews {
		wait = pollInterval
	}
	f := n.w.fleet[l.id]
	disconnected := renews && f.incarnation != l.incarnation
	if disconnected && !n.cutTo[f] && !n.cutOff[f] && n.random.IntN(2) == 0 {
		l.answered = false // the leader knows that the connection has ended
		n.poll(l)
		return
	}
	answered := false
	n.w.at(wait+pollTimeout, func() {
		if answered || !n.current(l) {
			return
		}
		l.silent, l.answered = true, false
		n.tell(l, WorkerSilent(l.id))
		n.w.at(silentPollPause, func() { n.poll(l) })
	})
	if disconnected {
		return // the poll is lost with its connection
	}
	n.order(l, wait+pollTimeout, func(f *fakeWorker, answer func(func())) {
		if renews {
			n.extend(f, sent)
		}
		n.note(f, lastStored)
		incarnation := f.incarnation
		respond := func() {
			if f.incarnation != incarnation {
				return // the connection ended with the worker
			}
			report := f.report(n.w.now)
			answer(func() {
				answered, l.answered, l.silent = true, true, false
				l.answeredAt = f.registration.GetAddress()
				n.receive(l, sent, report.AnsweredAt(l.answeredAt))
			})
		}
		if len(f.ended) > 0 || wait == 0 {
			respond()
			return
		}
		p := &waitingPoll{f: f, answer: respond}
		l.waiting = append(l.waiting, p)
		n.w.at(wait, func() { n.respond(l, p) })
	})
}

// pollReplaced sends a poll to the address of a worker, where another one answers by now.
func (n *network) pollReplaced(l *link, address string) {
	n.w.at(2*messageDelay, func() {
		if !n.current(l) {
			return
		}
		l.silent, l.answered = true, false
		if l.answeredAt == address {
			n.tell(l, WorkerReplaced(l.id, l.incarnation))
			return
		}
		n.tell(l, WorkerSilent(l.id))
		n.w.at(silentPollPause, func() { n.poll(l) })
	})
}

// crash ends the process of a worker. The next life of its machine has another id at the same
// address; the entry of the crashed one expires around that time.
func (n *network) crash(f *fakeWorker, entryExpires time.Duration) {
	id := f.registration.GetId()
	if f.crashed || n.w.fleet[id] != f {
		return
	}
	n.w.trace("%s crashes with %d runs", id, len(f.runs))
	n.w.restart(f) // orders that it held are lost
	f.crashed = true
	n.lives++
	next := &fakeWorker{
		registration: hfwire.Copy(f.registration), incarnation: f.incarnation, runs: map[string]*fakeRun{}, highestRun: map[string]int64{},
		slowdown: 1, clockRate: f.clockRate,
	}
	next.registration.Id = fmt.Sprintf("%s-%d", id, n.lives)
	n.w.at(testRestart, func() {
		n.w.trace("%s answers in place of %s", next.registration.GetId(), id)
		n.replaced[id] = f.registration.GetAddress()
		n.w.fleet[next.registration.GetId()] = next
		n.list()
	})
	n.w.at(entryExpires, func() {
		f.unlisted = true
		n.list()
	})
}

// respond answers a waiting poll once.
func (n *network) respond(l *link, p *waitingPoll) {
	l.waiting = slices.DeleteFunc(l.waiting, func(o *waitingPoll) bool { return o == p })
	if !p.answered {
		p.answered = true
		p.answer()
	}
}

// answerWaiting answers the polls that wait for an end on a worker.
func (n *network) answerWaiting(f *fakeWorker) {
	l := n.links[f.registration.GetId()]
	if l == nil {
		return
	}
	for _, p := range slices.Clone(l.waiting) {
		if p.f == f {
			n.respond(l, p)
		}
	}
}

// receive passes a report to the scheduler and sends the next poll once the reported ends are
// stored.
func (n *network) receive(l *link, sent time.Time, report hfwork.Report) {
	if report.Incarnation() != l.incarnation {
		l.incarnation, l.lastReported, l.lastStored = report.Incarnation(), 0, 0
	}
	for _, e := range report.Ended() {
		l.lastReported = max(l.lastReported, e.Sequence())
	}
	n.tell(l, Report(l.id, sent, report))
	deadline := n.w.now.Add(endsStoredWait)
	var next func()
	next = func() {
		if n.current(l) && l.lastReported > l.lastStored && n.w.now.Before(deadline) {
			n.w.at(messageDelay, next)
			return
		}
		n.poll(l)
	}
	next()
}

// note makes a worker forget the ends that are stored. The task of an end as done must not have
// started since, unless the lease of the worker has expired in between.
func (n *network) note(f *fakeWorker, lastStored int64) {
	f.ended = slices.DeleteFunc(f.ended, func(e hfwork.End) bool { return e.Sequence() <= lastStored })
	f.doneEnds = slices.DeleteFunc(f.doneEnds, func(e doneEnd) bool {
		if e.sequence > lastStored {
			return false
		}
		n.acknowledged[e.name] = true
		if e.lapses == f.lapses {
			require.False(n.w.t, n.w.starts[e.name].After(e.at), "%s was started after its end as done", e.name)
			n.w.noted[e.name] = true
		}
		return true
	})
}

// do carries out the commands that concern workers. It reports whether it knows the command.
func (n *network) do(cmd Cmd) bool {
	switch c := cmd.(type) {
	case StartCmd:
		queued := messageDelay
		if n.random.Float64() < n.slow {
			queued = time.Duration(n.random.Int64N(int64(maxQueued)))
		}
		if l := n.links[c.Worker()]; l != nil {
			n.w.at(queued, func() { n.sendStart(l, c) })
		}
	case StopCmd:
		if l := n.links[c.Worker()]; l != nil {
			l.withdrawn[c] = true
			if l.starting[c] {
				l.held[c] = true
			} else {
				n.sendStop(l, c)
			}
		}
	case AckCmd:
		if l := n.links[c.Worker()]; l != nil && l.incarnation == c.Incarnation() {
			l.lastStored = max(l.lastStored, c.Sequence())
		}
	case NoteCmd:
		if c.Note() == NoteRemoved {
			delete(n.links, c.Worker())
		}
		return false
	default:
		return false
	}
	return true
}

func (n *network) sendStart(l *link, c StartCmd) {
	if !n.current(l) {
		return
	}
	stop := StopCmd{worker: c.Worker(), task: c.Task(), number: c.Number()}
	if l.silent || l.withdrawn[stop] {
		n.tell(l, Started(c, OutcomeRefused))
		return
	}
	require.False(n.w.t, n.acknowledged[fmt.Sprint(c.Task())], "the start of %v is sent after its end as done was acknowledged", c.Task())
	l.starting[stop] = true
	o := &sending{l: l, begun: n.w.now, bound: !n.unbound}
	o.maySend = func() bool { return !l.withdrawn[stop] }
	o.carryOut = func(f *fakeWorker, sent time.Time, incarnation int64) Outcome {
		if f.incarnation != incarnation {
			// The end of the lease is on the clock of an earlier incarnation, which was far ahead.
			sent = n.w.now
		}
		if !n.w.now.Before(sent.Add(time.Duration(float64(workerLease-leaseMargin) * f.clockRate))) {
			return OutcomeRefused // its lease would have ended already
		}
		n.extend(f, sent)
		if r := f.runs[fmt.Sprint(c.Task())]; r != nil && r.number >= c.Number() {
			if r.number == c.Number() {
				return OutcomeDone
			}
			return OutcomeStale
		}
		return n.w.start(f, c)
	}
	o.finish = func(outcome Outcome) {
		delete(l.starting, stop)
		n.tell(l, Started(c, outcome))
		if l.held[stop] && n.current(l) {
			delete(l.held, stop)
			n.sendStop(l, stop)
		}
	}
	n.try(o)
}

func (n *network) sendStop(l *link, c StopCmd) {
	n.try(&sending{
		l: l, begun: n.w.now,
		maySend: func() bool { return true },
		carryOut: func(f *fakeWorker, _ time.Time, _ int64) Outcome {
			n.w.stop(f, c.Task(), c.Number())
			return OutcomeDone
		},
		finish: func(o Outcome) { n.tell(l, Stopped(c, o)) },
	})
}

// sending is an order that is sent until it is answered.
type sending struct {
	l         *link
	begun     time.Time
	bound     bool // it goes only to the incarnation that had sent the last report
	effective bool // an unanswered try may have taken effect
	maySend   func() bool
	// carryOut gets the time at which the order was sent, and the incarnation that had sent the last
	// report by then.
	carryOut func(f *fakeWorker, sent time.Time, incarnation int64) Outcome
	finish   func(Outcome)
}

// result returns the outcome of an order whose last try ended with the given one.
func (o *sending) result(last Outcome) Outcome {
	if o.effective && last != OutcomeDone {
		return OutcomeUnknown
	}
	return last
}

// try sends an order until it is answered, orderTimeout has passed, the worker is silent or it may
// not be sent again.
func (n *network) try(o *sending) {
	l, f := o.l, n.w.fleet[o.l.id]
	if !n.current(l) || f == nil {
		return
	}
	if n.replaced[l.id] != "" {
		o.finish(o.result(OutcomeRefused))
		return
	}
	sent, incarnation, answered := n.w.now, l.incarnation, false
	// No connection leads to another incarnation. The leader opens one and polls the worker on it,
	// which shows that, and does not send the order.
	foreign := o.bound && f.incarnation != incarnation
	n.order(l, responseTimeout, func(f *fakeWorker, answer func(func())) {
		outcome := OutcomeRefused
		if !foreign && n.random.Float64() >= n.refuse {
			outcome = o.carryOut(f, sent, incarnation)
		}
		answer(func() {
			answered = true
			o.finish(o.result(outcome))
		})
	})
	n.w.at(responseTimeout+messageDelay, func() {
		if answered || !n.current(l) {
			return
		}
		o.effective = o.effective || !foreign
		if n.w.now.Sub(o.begun) > orderTimeout-responseTimeout || l.silent || !o.maySend() {
			o.finish(o.result(OutcomeRefused))
			return
		}
		n.try(o)
	})
}

// Guards against two runs of one task, or a run after its end, on workers that are hard to reach.
// TestNoTaskRunsTwiceBehindALateNetwork replaces schedulers, refuses orders, leaves orders and
// polls unanswered and carries them out late, cuts workers off in one direction or both,
// restarts them behind the cut and changes their entries at random. The world fails the test
// if a task runs twice, or starts after its end as done was acknowledged. In the end, every
// job must have ended.
func TestNoTaskRunsTwiceBehindALateNetwork(t *testing.T) {
	seeds := failedNetworkSeeds
	for seed := range *networkSeeds {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) { playLateNetwork(t, seed, lateNetwork{}) })
	}
	for _, seed := range failedNetworkSeeds { // in the order in which they were found
		t.Run(fmt.Sprint("by size, seed", seed), func(t *testing.T) { playLateNetwork(t, seed, lateNetwork{order: BySize}) })
	}
}

// Guards against two runs of one task, or a run after its end, as workers crash and come back under
// other ids amid the same faults.
func TestNoTaskRunsTwiceAmongReplacedWorkers(t *testing.T) {
	for seed := range *networkSeeds {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) { playLateNetwork(t, seed, lateNetwork{crashes: true}) })
	}
}

// Guards against a start in another pool, without its label, or beside more tasks of its step than may
// be on one worker, amid the same faults.
func TestStartsKeepToTheirRouteBehindALateNetwork(t *testing.T) {
	for seed := range *networkSeeds {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) { playLateNetwork(t, seed, lateNetwork{routes: true}) })
	}
}

// Guards against the same faults as the records of a command are stored in two batches, between which the store
// goes away or another scheduler begins.
func TestNoTaskRunsTwiceWhereRecordsAreStoredInParts(t *testing.T) {
	for seed := range *networkSeeds {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) { playLateNetwork(t, seed, lateNetwork{parts: true}) })
	}
}

// TestUnboundStartsAreFoundToRunTasksTwice shows that the world finds a start that reaches the next
// incarnation of its worker.
func TestUnboundStartsAreFoundToRunTasksTwice(t *testing.T) {
	for _, world := range []struct {
		order Order
		seeds []uint64 // of the first 3,000
	}{{BySize, []uint64{140, 2187, 2738}}, {ByCost, []uint64{569, 797, 879, 2187}}} {
		for _, seed := range world.seeds {
			t.Run(fmt.Sprintf("by %s, seed%d", world.order, seed), func(t *testing.T) {
				failure := failureOf(func(f *failureRecorder) {
					playLateNetwork(f, seed, lateNetwork{unbound: true, order: world.order})
				})
				require.Regexp(t, `was started after its end as done|runs on .* already`, failure)
			})
		}
	}
}

// failedNetworkSeeds holds seeds that once failed, beyond the default ones.
//
//   - 139, 993, 1690, 2187, 2738: a start that is carried out late by the next life of a worker gives
//     it a full lease from then, which outlives the calculated expiry
//   - 1952: a poll that is carried out late by the next life of a worker makes it forget an end
//     as done that nobody has read
//   - 2350: likewise
var failedNetworkSeeds = []uint64{139, 993, 1690, 1952, 2187, 2350, 2738}

var networkSeeds = flag.Uint64("networkseeds", 100, "number of worlds of TestNoTaskRunsTwiceBehindALateNetwork")

// lateNetwork says how one world differs from the usual ones.
type lateNetwork struct {
	parts   bool // records are stored in two batches
	crashes bool // workers crash
	unbound bool // starts reach whichever incarnation of their worker answers
	order   Order
	routes  bool // steps limit their tasks on one worker or ask for a label
}

// playLateNetwork plays one world.
func playLateNetwork(t worldTest, seed uint64, variant lateNetwork) {
	t.Helper()
	crashes := variant.crashes
	random, crashRandom := rand.New(rand.NewPCG(seed, 20261205)), rand.New(rand.NewPCG(seed, 20261206))
	w := newWorld(t, 2, 4)
	w.storesParts = variant.parts
	if variant.order != "" {
		w.order = variant.order
		w.s.WithOrder(w.order)
	}
	routeRandom := rand.New(rand.NewPCG(seed, 20261207))
	if variant.routes {
		for i, id := range sortedKeys(w.fleet) {
			w.fleet[id].registration.Labels = []string{[]string{"even", "odd"}[i%2]}
		}
	}
	if crashes {
		for _, id := range sortedKeys(w.fleet) {
			w.fleet[id].registration.Address = id + ":80"
		}
	}
	n := w.useNetwork(random)
	n.unbound = variant.unbound
	w.advance(time.Second)
	after := func(least, most time.Duration, do func()) {
		w.at(least+time.Duration(random.Int64N(int64(most-least))), do)
	}
	jobs := 0
	for range 60 {
		w.advance(time.Duration(50+random.IntN(500)) * time.Millisecond)
		f := w.fleet[fmt.Sprintf("w%d-%d", random.IntN(2), random.IntN(4))]
		if crashes {
			ids := sortedKeys(w.fleet)
			f = w.fleet[ids[random.IntN(len(ids))]]
			if crashRandom.IntN(6) == 0 {
				n.crash(f, 2*time.Second+time.Duration(crashRandom.Int64N(int64(4*time.Second))))
			}
		}
		switch random.IntN(16) {
		case 0:
			w.replaceScheduler()
		case 1:
			n.cutTo[f] = true
			after(time.Second, 10*time.Second, func() { n.cutTo[f] = false })
		case 2:
			n.cutOff[f] = true
			after(time.Second, 10*time.Second, func() { n.cutOff[f] = false })
		case 3:
			f.muted = true
			after(300*time.Millisecond, 8*time.Second, func() { f.muted = false })
		case 4:
			n.late, n.slow = []float64{0.1, 0.3, 0.5}[random.IntN(3)], random.Float64()/2
			n.refuse = random.Float64() / 4
			after(time.Second, 10*time.Second, func() { n.late, n.slow, n.refuse = 0, 0, 0 })
		case 5:
			if !f.crashed {
				w.restart(f)
			}
			if id := f.registration.GetId(); variant.routes && !f.crashed && id != "w0-0" && id != "w0-1" { // each label stays somewhere
				f.registration = hfwire.Copy(f.registration)
				f.registration.Born = f.incarnation
				f.registration.Labels = []string{[]string{"even", "odd"}[routeRandom.IntN(2)]}
				n.list()
			}
		case 6:
			f.unlisted = true
			n.list()
			after(time.Second, 12*time.Second, func() {
				f.unlisted = f.crashed
				n.list()
			})
		case 7:
			f.oddEntry = true
			n.list()
			after(100*time.Millisecond, 2*time.Second, func() {
				f.oddEntry = false
				n.list()
			})
		case 8:
			if jobs > 0 {
				w.cancel(fmt.Sprintf("j%03d", random.IntN(jobs)))
			}
		default:
			step := single(uint32(1+random.IntN(12)), time.Duration(300+random.IntN(9000))*time.Millisecond)
			if random.IntN(2) == 0 {
				step = gang(uint32(1+random.IntN(6)), int64(1+random.IntN(8)), time.Duration(300+random.IntN(9000))*time.Millisecond)
				step.Compact = random.IntN(2) == 0
			}
			step.Saves = random.IntN(2) == 0
			if variant.routes {
				step.Apart = uint32(routeRandom.IntN(3))
				if label := []string{"", "even", "odd"}[routeRandom.IntN(3)]; !step.GetGang() { // all gangs have to fit
					step.Label = label
				}
			}
			w.submit(fmt.Sprintf("j%03d", jobs), []string{"urgent", "usual", "spare"}[random.IntN(3)], step)
			jobs++
		}
	}
	w.advance(120 * time.Second)
	for i := range jobs {
		id := fmt.Sprintf("j%03d", i)
		require.True(t, w.cancelled[id] || hfwork.IsFinal(w.state(id)), "%s is %q", id, w.state(id))
		require.Zero(t, w.running(id), id)
	}
}
