package hfworker

import (
	"maps"
	"slices"
	"time"

	"github.com/heatherfront/heatherfront/hfwire"
)

// Worker is a worker of the membership list.
type Worker struct {
	name         string
	address      string
	domain       string
	region       string
	rack         string
	position     int // in the rack
	accelerators int
	leaving      bool
}

// NewWorker returns a Worker with the given properties.
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

// Position returns the worker's position in its rack.
func (w Worker) Position() int { return w.position }

// Accelerators returns the number of the worker's accelerators.
func (w Worker) Accelerators() int { return w.accelerators }

// Leaving reports whether the platform is removing the worker.
func (w Worker) Leaving() bool { return w.leaving }

// observation is the last known state of one worker, from this instance's polls or from
// the reports of another instance.
type observation struct {
	tasks       map[string]*hfwire.Task // by task id; a report that changes anything replaces the map
	observer    string                  // instance that polls the worker, selfObserver, or empty if none is known
	freshUntil  time.Time               // end of the observation's freshness
	lost        bool
	failedPolls int       // consecutive polls without an answer
	nextPoll    time.Time // due time of the next poll, if this instance observes the worker
	lastRenewal time.Time // time of the last poll that renewed a lease
	version     uint64    // Fleet.version at the last change that is reported to other instances
}

// lostAfterPolls is the number of consecutive polls without an answer after which a
// worker counts as lost. Polls after a failure follow at a quarter of the poll interval
// (see retryPollDivisor).
const lostAfterPolls = 3

// retryPollDivisor divides the poll interval for the next poll of a worker that gave no
// answer or whose tasks could not be renewed.
const retryPollDivisor = 4

// selfObserver is the observer of the workers that this instance polls.
const selfObserver = "."

// RenewalRule reports whether the leases of a gang may be renewed. Production code uses
// GangComplete; tests pass a wrong rule to check that they detect it.
type RenewalRule func(f *Fleet, g Gang, size uint32, now time.Time) bool

// Fleet is the state machine that decides when to poll workers and which leases to renew:
// those of running tasks whose gang satisfies the RenewalRule, as long as the leader of the failure
// domain permits it. It combines this instance's polls with the reports of other instances.
type Fleet struct {
	workers           map[string]Worker
	observations      map[string]*observation
	members           map[Gang]map[uint32]string // worker by member index; only members that run or are done
	observed          map[string]bool            // workers that this instance polls
	pollInterval      func() time.Duration
	heartbeatInterval func() time.Duration
	rule              RenewalRule
	permits           *permits
	partialReported   map[Gang]bool     // gangs whose PartialCmd was returned
	syncedIncarnation map[string]string // by observer: the incarnation whose reports were all received, from a full one on
	version           uint64            // increases with every change of an observation made by this instance
}

// NewFleet returns an empty Fleet. poll is the interval of its polls, heartbeat that of the
// reports from other instances.
func NewFleet(poll, heartbeat time.Duration, rule RenewalRule) *Fleet {
	return &Fleet{
		workers: map[string]Worker{}, observations: map[string]*observation{}, members: map[Gang]map[uint32]string{},
		observed: map[string]bool{}, partialReported: map[Gang]bool{}, syncedIncarnation: map[string]string{}, rule: rule,
		permits:      newPermits(),
		pollInterval: func() time.Duration { return poll }, heartbeatInterval: func() time.Duration { return heartbeat },
	}
}

// Freshness returns how long an observation stays fresh: two poll intervals and two
// heartbeat intervals, from the sending of this instance's poll or from the last heartbeat
// of the instance that observes the worker.
func (f *Fleet) Freshness() time.Duration { return 2*f.pollInterval() + 2*f.heartbeatInterval() }

// Update processes one message and returns the commands to execute.
func (f *Fleet) Update(msg Msg, now time.Time) []Cmd {
	switch m := msg.(type) {
	case ListMsg:
		f.setWorkers(m.workers)
	case ObserveMsg:
		f.setObserved(m.workers, now)
	case PolledMsg:
		return f.recordPoll(m, now)
	case PollFailedMsg:
		return f.recordFailedPoll(m.worker, now)
	case PeerReportsMsg:
		return f.recordPeerReports(m, now)
	case InstancesMsg:
		f.permits.setInstances(m.names)
	case LeadershipsMsg:
		f.permits.record(m)
	case TickMsg:
		return f.duePolls(now)
	}
	return nil
}

// setWorkers replaces the map of workers and does not modify the old one, as callers of
// Workers may be reading it.
func (f *Fleet) setWorkers(workers []Worker) {
	byName := make(map[string]Worker, len(workers))
	for _, w := range workers {
		byName[w.name] = w
	}
	for name, w := range f.workers {
		if _, listed := byName[name]; !listed && f.observations[name] != nil {
			byName[name] = w // delisted workers stay while there is an observation of them
		}
	}
	f.workers = byName
	f.permits.setDomains(byName)
}

// setObserved sets the workers that this instance polls. Newly assigned ones are polled at
// once.
func (f *Fleet) setObserved(workers map[string]bool, now time.Time) {
	for name := range workers {
		if !f.observed[name] {
			f.observation(name).nextPoll = now
			f.observation(name).failedPolls = 0
		}
	}
	removed := false
	for name := range f.observed {
		if !workers[name] {
			removed = true
			// The next report tells the other instances that this one no longer observes the
			// worker. As the observer is cleared, recordTasks reports the worker again once it
			// is assigned to this instance again.
			f.markChanged(f.observation(name))
			f.observation(name).observer = ""
		}
	}
	f.observed = workers
	if removed {
		// recordPeerReports ignored reports on these workers while this instance observed
		// them, so that full reports are needed.
		clear(f.syncedIncarnation)
	}
}

// NeedsFullReport reports whether an observer has to send a full report, because reports
// of this incarnation of it may be missing here.
func (f *Fleet) NeedsFullReport(observer, incarnation string) bool {
	return f.syncedIncarnation[observer] != incarnation
}

// markChanged gives an observation a new version, so that the next Reports for each peer
// includes it.
func (f *Fleet) markChanged(o *observation) {
	f.version++
	o.version = f.version
}

// observation returns the observation of a worker and creates it if necessary.
func (f *Fleet) observation(worker string) *observation {
	o, ok := f.observations[worker]
	if !ok {
		o = &observation{tasks: map[string]*hfwire.Task{}}
		f.observations[worker] = o
	}
	return o
}

// recordPoll records the answer to a poll. One that arrives after the worker was assigned to
// another instance is ignored, as it may be older than the report of that instance.
func (f *Fleet) recordPoll(m PolledMsg, now time.Time) []Cmd {
	if !f.observed[m.worker] {
		return nil
	}
	o := f.observation(m.worker)
	o.failedPolls = 0
	cmds := f.recordTasks(m.worker, selfObserver, m.tasks, false, m.sent.Add(f.Freshness()))
	o.nextPoll = f.nextPollTime(m.worker, o, m.sent, now)
	return cmds
}

// nextPollTime returns when to poll a worker again. If the worker runs tasks and no lease
// was renewed within the poll interval before the last poll, for example because this
// instance has only begun to observe it, the poll is due at once when a lease may be renewed now, and after a quarter
// of the poll interval (see retryPollDivisor) otherwise.
func (f *Fleet) nextPollTime(worker string, o *observation, sent, now time.Time) time.Time {
	overdue := o.lastRenewal.Before(sent.Add(-f.pollInterval()))
	domain := f.workers[worker].domain
	for _, t := range o.tasks {
		if t.GetState() != StateRunning || !overdue {
			continue
		}
		g := NewGang(t.GetJob(), t.GetAttempt())
		if f.rule(f, g, t.GetSize(), now) && f.permits.allows(domain, g, now) {
			return now
		}
		return sent.Add(f.pollInterval() / retryPollDivisor)
	}
	return sent.Add(f.pollInterval())
}

func (f *Fleet) recordFailedPoll(worker string, now time.Time) []Cmd {
	if !f.observed[worker] {
		return nil
	}
	o := f.observation(worker)
	o.failedPolls++
	o.nextPoll = now.Add(f.pollInterval() / retryPollDivisor)
	if o.failedPolls < lostAfterPolls {
		return nil
	}
	return f.recordTasks(worker, selfObserver, nil, true, now.Add(f.Freshness()+callTimeout)) // until the next poll has failed
}

// recordPeerReports records the reports in another instance's heartbeat. The heartbeat also
// keeps the observations of the observer's other workers fresh: no report means no change.
func (f *Fleet) recordPeerReports(m PeerReportsMsg, now time.Time) []Cmd {
	var cmds []Cmd
	until := now.Add(f.Freshness())
	if m.full {
		f.syncedIncarnation[m.observer] = m.incarnation
	}
	for _, r := range m.reports {
		if f.observed[r.GetWorker()] {
			continue
		}
		if r.GetDropped() {
			f.clearObserver(r.GetWorker(), m.observer)
			continue
		}
		cmds = append(cmds, f.recordTasks(r.GetWorker(), m.observer, r.GetTasks(), r.GetLost(), until)...)
	}
	for _, o := range f.observations {
		if o.observer == m.observer && !o.lost {
			o.freshUntil = until
		}
	}
	return cmds
}

// clearObserver stops an observer's heartbeats from keeping a worker's observation fresh.
func (f *Fleet) clearObserver(worker, observer string) {
	if o := f.observation(worker); o.observer == observer {
		o.observer = ""
	}
}

// recordTasks updates the observation of a worker. It returns a ReportCmd for the first
// observation and for every change.
func (f *Fleet) recordTasks(worker, observer string, tasks []*hfwire.Task, lost bool, until time.Time) []Cmd {
	o := f.observation(worker)
	changed := o.lost != lost || !sameTasks(o.tasks, tasks)
	if observer == selfObserver && (changed || o.observer != observer) {
		f.markChanged(o)
	}
	first := o.freshUntil.IsZero()
	o.observer, o.freshUntil, o.lost = observer, until, lost
	if !changed && !first {
		return nil
	}
	f.removeMembers(worker, o)
	o.tasks = make(map[string]*hfwire.Task, len(tasks))
	for _, t := range tasks {
		o.tasks[t.GetId()] = t
	}
	f.addMembers(worker, o)
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

// removeMembers removes a worker's tasks from the members of their gangs.
func (f *Fleet) removeMembers(worker string, o *observation) {
	for _, t := range o.tasks {
		g := NewGang(t.GetJob(), t.GetAttempt())
		if f.members[g][t.GetIndex()] == worker {
			delete(f.members[g], t.GetIndex())
		}
		if len(f.members[g]) == 0 {
			delete(f.members, g)
			delete(f.partialReported, g)
		}
	}
}

// addMembers adds a worker's running and done tasks to the members of their gangs.
func (f *Fleet) addMembers(worker string, o *observation) {
	for _, t := range o.tasks {
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

// GangComplete is the RenewalRule of production code: every member of the gang is running or done
// according to a fresh observation.
func GangComplete(f *Fleet, g Gang, size uint32, now time.Time) bool {
	members := f.members[g]
	if uint32(len(members)) != size {
		return false
	}
	for _, worker := range members {
		if o := f.observations[worker]; o == nil || o.lost || !now.Before(o.freshUntil) {
			return false
		}
	}
	return true
}

// duePolls returns the polls that are due, with the tasks whose leases may be renewed.
func (f *Fleet) duePolls(now time.Time) []Cmd {
	var cmds []Cmd
	for _, name := range slices.Sorted(maps.Keys(f.observed)) {
		o := f.observation(name)
		w, ok := f.workers[name]
		if !ok || now.Before(o.nextPoll) {
			continue
		}
		o.nextPoll = now.Add(f.pollInterval())
		renew, reports := f.renewableTasks(w.domain, o, now)
		if len(renew) > 0 {
			o.lastRenewal = now
		}
		cmds = append(cmds, reports...)
		cmds = append(cmds, PollCmd{worker: w, renew: renew, renewUntil: f.permits.domain(w.domain).until()})
	}
	return cmds
}

// renewableTasks returns the ids of a worker's tasks whose leases may be renewed, a PartialCmd for
// each gang that does not satisfy the rule and was not reported before, and a PermitCmd if the
// permit of the failure domain has ended or begun again.
func (f *Fleet) renewableTasks(domain string, o *observation, now time.Time) ([]string, []Cmd) {
	var renew []string
	var cmds []Cmd
	for _, id := range slices.Sorted(maps.Keys(o.tasks)) {
		t := o.tasks[id]
		if t.GetState() != StateRunning {
			continue
		}
		g := NewGang(t.GetJob(), t.GetAttempt())
		if !f.rule(f, g, t.GetSize(), now) {
			if !f.partialReported[g] {
				f.partialReported[g] = true
				cmds = append(cmds, PartialCmd{gang: g})
			}
			continue
		}
		if f.permits.allows(domain, g, now) {
			renew = append(renew, id)
		}
		if ended, changed := f.permits.reportEnd(domain, now); changed {
			cmds = append(cmds, PermitCmd{domain: domain, ended: ended})
		}
	}
	return renew, cmds
}

// Leaderships returns what the leaders of failure domains answered to this instance, which is
// named self, so that it reaches the instances that do not reach a leader.
func (f *Fleet) Leaderships(self string, now time.Time) []*hfwire.Leadership {
	return f.permits.relayed(self, now)
}

// Reports returns the reports for an instance that has received all changes up to version
// since, and the version that they bring it to. With since 0 the reports are full. A worker
// whose observation is no longer fresh, as after a pause of this process, is reported as no
// longer observed until its next poll is answered: the receivers count a report as current
// from when they receive it.
func (f *Fleet) Reports(since uint64, now time.Time) ([]*hfwire.Report, uint64) {
	f.dropStale(now)
	var reports []*hfwire.Report
	for name, o := range f.observations {
		switch {
		case o.version <= since || o.freshUntil.IsZero():
		case f.observed[name] && o.observer == selfObserver:
			reports = append(reports, f.report(name, o))
		case since > 0:
			reports = append(reports, &hfwire.Report{Worker: name, Dropped: true})
		}
	}
	return reports, f.version
}

// dropStale ends the observation of the workers that this instance polls and that have not
// answered within the freshness, or whose loss was not confirmed by a failed poll since. Their
// next answer, or loss, is reported again.
func (f *Fleet) dropStale(now time.Time) {
	for name := range f.observed {
		if o := f.observation(name); o.observer == selfObserver && !now.Before(o.freshUntil) {
			f.markChanged(o)
			o.observer = ""
		}
	}
}

func (f *Fleet) report(name string, o *observation) *hfwire.Report {
	r := &hfwire.Report{Worker: name, Lost: o.lost}
	for _, t := range o.tasks {
		r.Tasks = append(r.Tasks, t)
	}
	return r
}

// EachObservation calls visit with the tasks of every worker of a failure domain that is
// lost or whose observation is fresh.
func (f *Fleet) EachObservation(domain string, now time.Time, visit func(worker string, tasks []*hfwire.Task, lost bool)) {
	for _, name := range slices.Sorted(maps.Keys(f.observations)) {
		o := f.observations[name]
		if f.workers[name].domain != domain || (!o.lost && !now.Before(o.freshUntil)) {
			continue
		}
		visit(name, f.report(name, o).GetTasks(), o.lost)
	}
}

// Version returns the version that an instance has after it received all reports.
func (f *Fleet) Version() uint64 { return f.version }

// FreshWorkers returns the names of the workers of a failure domain whose observation is
// fresh and that are not lost.
func (f *Fleet) FreshWorkers(domain string, now time.Time) []string {
	var fresh []string
	for name, o := range f.observations {
		if f.workers[name].domain == domain && !o.lost && now.Before(o.freshUntil) {
			fresh = append(fresh, name)
		}
	}
	return fresh
}

// Workers returns the workers by name: those of the membership list, and delisted ones of
// which there is an observation. The map is never modified and callers must not modify it.
func (f *Fleet) Workers() map[string]Worker { return f.workers }

// TaskCount returns the number of tasks in all observations, including those reported by
// other instances.
func (f *Fleet) TaskCount() int {
	n := 0
	for _, o := range f.observations {
		n += len(o.tasks)
	}
	return n
}
