package hfworker

import (
	"maps"
	"slices"
	"time"

	"github.com/heatherfront/heatherfront/hfwire"
)

// Worker is one row of the membership list.
type Worker struct {
	name         string
	address      string
	domain       string
	region       string
	rack         string
	position     int // place in the rack
	accelerators int
	leaving      bool
}

// NewWorker builds a row.
func NewWorker(name, address, domain, region, rack string, position, accelerators int, leaving bool) Worker {
	return Worker{
		name: name, address: address, domain: domain, region: region, rack: rack,
		position: position, accelerators: accelerators, leaving: leaving,
	}
}

// Name returns the worker's name.
func (w Worker) Name() string { return w.name }

// Address returns the worker's IP:port.
func (w Worker) Address() string { return w.address }

// Domain returns the worker's failure domain.
func (w Worker) Domain() string { return w.domain }

// Region returns the worker's region.
func (w Worker) Region() string { return w.region }

// Rack returns the worker's rack.
func (w Worker) Rack() string { return w.rack }

// Position returns the worker's place in its rack.
func (w Worker) Position() int { return w.position }

// Accelerators returns how many accelerators the worker has.
func (w Worker) Accelerators() int { return w.accelerators }

// Leaving tells whether the platform is taking the worker away.
func (w Worker) Leaving() bool { return w.leaving }

// sight is what is known of one worker's tasks.
type sight struct {
	tasks    map[string]*hfwire.Task // by task id; replaced whole by each report
	observer string
	until    time.Time // the sight is fresh before this moment
	lost     bool
	failures int       // polls in a row without an answer
	next     time.Time // next poll, if this instance observes the worker
	renewed  time.Time // last poll that renewed a task
	version  uint64    // of the fleet at the last change that other instances have to hear
}

// lossPolls is the number of polls in a row without an answer after which a
// worker counts as lost. Polls after a failure come at a quarter of the interval.
const lossPolls = 3

// soonPart is the part of a poll interval after which a worker is polled again when
// it gave no answer or its tasks could not be renewed.
const soonPart = 4

// selfObserver marks sights from this instance's own polls.
const selfObserver = "."

// Rule decides whether a gang may be renewed, for the proof that a wrong rule is
// found out. Production uses Whole.
type Rule func(f *Fleet, g Gang, size uint32, now time.Time) bool

// Fleet is what one instance knows of the workers. The renewal rule is its
// reason: a task is renewed only while every member of its gang was freshly seen
// running or done.
type Fleet struct {
	workers  map[string]Worker
	sights   map[string]*sight
	members  map[Gang]map[uint32]string // index to worker, from the sights
	mine     map[string]bool
	poll     func() time.Duration
	beat     func() time.Duration
	rule     Rule
	partial  map[Gang]bool     // told already
	complete map[string]string // by observer, the incarnation of which all is known that it observes
	version  uint64            // rises with every change of a sight of this instance
}

// NewFleet returns an empty fleet that polls its workers at an interval and hears
// the other instances at another.
func NewFleet(poll, beat time.Duration, rule Rule) *Fleet {
	return &Fleet{
		workers: map[string]Worker{}, sights: map[string]*sight{}, members: map[Gang]map[uint32]string{},
		mine: map[string]bool{}, partial: map[Gang]bool{}, complete: map[string]string{}, rule: rule,
		poll: func() time.Duration { return poll }, beat: func() time.Duration { return beat },
	}
}

// Freshness is how long a sight counts after it was heard: two polls and two
// beats.
func (f *Fleet) Freshness() time.Duration { return 2*f.poll() + 2*f.beat() }

// Update takes one message and returns what is to be done.
func (f *Fleet) Update(msg Msg, now time.Time) []Cmd {
	switch m := msg.(type) {
	case ListMsg:
		f.list(m.workers)
	case DutyMsg:
		f.take(m.mine, now)
	case PolledMsg:
		return f.polled(m, now)
	case FailedMsg:
		return f.failed(m.worker, now)
	case HeardMsg:
		return f.heard(m, now)
	case TickMsg:
		return f.due(now)
	}
	return nil
}

// list replaces the map of workers, which others may be reading.
func (f *Fleet) list(workers []Worker) {
	rows := make(map[string]Worker, len(workers))
	for _, w := range workers {
		rows[w.name] = w
	}
	for name, w := range f.workers {
		if _, listed := rows[name]; !listed && f.sights[name] != nil {
			rows[name] = w // until it is lost and forgotten
		}
	}
	f.workers = rows
}

// take starts to observe the workers of a new duty and leaves the others.
func (f *Fleet) take(mine map[string]bool, now time.Time) {
	for name := range mine {
		if !f.mine[name] {
			f.sight(name).next = now
			f.sight(name).failures = 0
		}
	}
	lost := false
	for name := range f.mine {
		if !mine[name] {
			lost = true
			f.touch(f.sight(name))      // tells the others that it is no longer observed here
			f.sight(name).observer = "" // and, if it comes back, that it is again
		}
	}
	f.mine = mine
	if lost {
		// Reports on these workers were passed over while they were this instance's.
		clear(f.complete)
	}
}

// Lacks tells whether something may be missing of what a run of another instance
// observes, so that it has to send all.
func (f *Fleet) Lacks(observer, incarnation string) bool {
	return f.complete[observer] != incarnation
}

func (f *Fleet) touch(s *sight) {
	f.version++
	s.version = f.version
}

func (f *Fleet) sight(worker string) *sight {
	s, ok := f.sights[worker]
	if !ok {
		s = &sight{tasks: map[string]*hfwire.Task{}}
		f.sights[worker] = s
	}
	return s
}

func (f *Fleet) polled(m PolledMsg, now time.Time) []Cmd {
	s := f.sight(m.worker)
	s.failures = 0
	cmds := f.see(m.worker, selfObserver, m.tasks, false, m.sent.Add(f.Freshness()))
	if f.mine[m.worker] {
		s.next = f.nextPoll(s, m.sent, now)
	}
	return cmds
}

// nextPoll returns when to poll a worker again: soon, when it runs tasks that the
// last poll did not renew, as after this instance took the worker over.
func (f *Fleet) nextPoll(s *sight, sent, now time.Time) time.Time {
	late := s.renewed.Before(sent.Add(-f.poll()))
	for _, t := range s.tasks {
		if t.GetState() != StateRunning || !late {
			continue
		}
		if f.rule(f, NewGang(t.GetJob(), t.GetAttempt()), t.GetSize(), now) {
			return now
		}
		return sent.Add(f.poll() / soonPart)
	}
	return sent.Add(f.poll())
}

func (f *Fleet) failed(worker string, now time.Time) []Cmd {
	s := f.sight(worker)
	s.failures++
	s.next = now.Add(f.poll() / soonPart)
	if s.failures < lossPolls || s.lost {
		return nil
	}
	return f.see(worker, selfObserver, nil, true, now)
}

func (f *Fleet) heard(m HeardMsg, now time.Time) []Cmd {
	var cmds []Cmd
	until := now.Add(f.Freshness())
	if m.full {
		f.complete[m.observer] = m.incarnation
	}
	for _, r := range m.reports {
		if f.mine[r.GetWorker()] {
			continue
		}
		if r.GetDropped() {
			f.drop(r.GetWorker(), m.observer)
			continue
		}
		cmds = append(cmds, f.see(r.GetWorker(), m.observer, r.GetTasks(), r.GetLost(), until)...)
	}
	for _, s := range f.sights {
		if s.observer == m.observer && !s.lost {
			s.until = until
		}
	}
	return cmds
}

// drop ends the freshness that an observer's beats give to a worker.
func (f *Fleet) drop(worker, observer string) {
	if s := f.sight(worker); s.observer == observer {
		s.observer = ""
	}
}

// see replaces the sight of a worker.
func (f *Fleet) see(worker, observer string, tasks []*hfwire.Task, lost bool, until time.Time) []Cmd {
	s := f.sight(worker)
	changed := s.lost != lost || !sameTasks(s.tasks, tasks)
	if observer == selfObserver && (changed || s.observer != observer) {
		f.touch(s)
	}
	first := s.until.IsZero()
	s.observer, s.until, s.lost = observer, until, lost
	if !changed && !first {
		return nil
	}
	f.forget(worker, s)
	s.tasks = make(map[string]*hfwire.Task, len(tasks))
	for _, t := range tasks {
		s.tasks[t.GetId()] = t
	}
	f.remember(worker, s)
	return []Cmd{ReportCmd{worker: worker, tasks: tasks, lost: lost}}
}

func sameTasks(old map[string]*hfwire.Task, tasks []*hfwire.Task) bool {
	if len(old) != len(tasks) {
		return false
	}
	for _, t := range tasks {
		if o, ok := old[t.GetId()]; !ok || o.GetState() != t.GetState() {
			return false
		}
	}
	return true
}

func (f *Fleet) forget(worker string, s *sight) {
	for _, t := range s.tasks {
		g := NewGang(t.GetJob(), t.GetAttempt())
		if f.members[g][t.GetIndex()] == worker {
			delete(f.members[g], t.GetIndex())
		}
		if len(f.members[g]) == 0 {
			delete(f.members, g)
			delete(f.partial, g)
		}
	}
}

func (f *Fleet) remember(worker string, s *sight) {
	for _, t := range s.tasks {
		if t.GetState() != StateRunning && t.GetState() != StateDone {
			continue
		}
		g := NewGang(t.GetJob(), t.GetAttempt())
		if f.members[g] == nil {
			f.members[g] = map[uint32]string{}
		}
		f.members[g][t.GetIndex()] = worker
	}
}

// Whole is the renewal rule: every member of the gang was freshly seen running or
// done.
func Whole(f *Fleet, g Gang, size uint32, now time.Time) bool {
	members := f.members[g]
	if uint32(len(members)) != size {
		return false
	}
	for _, worker := range members {
		if s := f.sights[worker]; s == nil || s.lost || !now.Before(s.until) {
			return false
		}
	}
	return true
}

// due returns the polls whose time has come, with the tasks that may be renewed.
func (f *Fleet) due(now time.Time) []Cmd {
	var cmds []Cmd
	for _, name := range slices.Sorted(maps.Keys(f.mine)) {
		s := f.sight(name)
		w, ok := f.workers[name]
		if !ok || now.Before(s.next) {
			continue
		}
		s.next = now.Add(f.poll())
		renew, partial := f.renewable(s, now)
		if len(renew) > 0 {
			s.renewed = now
		}
		cmds = append(cmds, partial...)
		cmds = append(cmds, PollCmd{worker: w, renew: renew})
	}
	return cmds
}

func (f *Fleet) renewable(s *sight, now time.Time) ([]string, []Cmd) {
	var renew []string
	var cmds []Cmd
	for _, id := range slices.Sorted(maps.Keys(s.tasks)) {
		t := s.tasks[id]
		if t.GetState() != StateRunning {
			continue
		}
		g := NewGang(t.GetJob(), t.GetAttempt())
		if f.rule(f, g, t.GetSize(), now) {
			renew = append(renew, id)
			continue
		}
		if !f.partial[g] {
			f.partial[g] = true
			cmds = append(cmds, PartialCmd{gang: g})
		}
	}
	return renew, cmds
}

// Reports returns what another instance has to hear that has heard all up to a
// version, and the version that it has heard then. Version 0 asks for all.
func (f *Fleet) Reports(since uint64) ([]*hfwire.Report, uint64) {
	var reports []*hfwire.Report
	for name, s := range f.sights {
		switch {
		case s.version <= since || s.until.IsZero():
		case f.mine[name]:
			reports = append(reports, f.report(name, s))
		case since > 0:
			reports = append(reports, &hfwire.Report{Worker: name, Dropped: true})
		}
	}
	return reports, f.version
}

func (f *Fleet) report(name string, s *sight) *hfwire.Report {
	r := &hfwire.Report{Worker: name, Lost: s.lost}
	for _, t := range s.tasks {
		r.Tasks = append(r.Tasks, t)
	}
	return r
}

// Sights calls visit with the tasks of every worker of a domain that was freshly
// seen, or that is lost.
func (f *Fleet) Sights(domain string, now time.Time, visit func(worker string, tasks []*hfwire.Task, lost bool)) {
	for _, name := range slices.Sorted(maps.Keys(f.sights)) {
		s := f.sights[name]
		if f.workers[name].domain != domain || (!s.lost && !now.Before(s.until)) {
			continue
		}
		visit(name, f.report(name, s).GetTasks(), s.lost)
	}
}

// Version returns the version that a peer has heard when it heard all.
func (f *Fleet) Version() uint64 { return f.version }

// Fresh returns the workers of a domain that were freshly seen.
func (f *Fleet) Fresh(domain string, now time.Time) []string {
	var fresh []string
	for name, s := range f.sights {
		if f.workers[name].domain == domain && !s.lost && now.Before(s.until) {
			fresh = append(fresh, name)
		}
	}
	return fresh
}

// Workers returns the workers of the membership list. The map does not change any
// more and must not be changed.
func (f *Fleet) Workers() map[string]Worker { return f.workers }

// Tasks returns the number of tasks known.
func (f *Fleet) Tasks() int {
	n := 0
	for _, s := range f.sights {
		n += len(s.tasks)
	}
	return n
}
