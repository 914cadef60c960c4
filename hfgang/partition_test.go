package hfgang

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/heatherfront/heatherfront/hflease"
	"github.com/heatherfront/heatherfront/hfseed"
	"github.com/heatherfront/heatherfront/hfwire"
	"github.com/heatherfront/heatherfront/hfworker"
)

// partition is a simulation with two instances, which observe the workers that they reach and
// exchange reports as long as they are connected. One of them may lead.
type partition struct {
	sim         *simulation
	names       []string
	fleets      map[string]*hfworker.Fleet
	leader      string                     // "" while there is none
	unreachable map[string]map[string]bool // workers by instance
	connected   bool
	versions    map[string]uint64 // of the reports that the other instance has
	nextBeat    time.Time
	takeoverAt  time.Time // the lease of the last leader is over
	always      bool      // wrong variant: observers are permitted to renew everything
	soon        bool      // wrong variant: the leader counts the leases from the loss
}

const leadershipLease = 4 * time.Second

func newPartition(seed uint64, workers int) *partition {
	sim := newSimulation(seed, workersOfEight(workers), testDirectory(nil, nil))
	p := &partition{
		sim: sim, names: []string{"e1", "e2"}, fleets: map[string]*hfworker.Fleet{}, leader: "e1", connected: true,
		unreachable: map[string]map[string]bool{"e1": {}, "e2": {}}, versions: map[string]uint64{},
	}
	var entries []hfworker.Worker
	all := map[string]bool{}
	for _, name := range slices.Sorted(maps.Keys(sim.listedWorkers)) {
		entries, all[name] = append(entries, sim.listedWorkers[name]), true
	}
	for _, name := range p.names {
		f := hfworker.NewFleet(simPoll, simHeartbeat, sim.renewalRule)
		f.Update(hfworker.Instances(p.names), sim.now)
		f.Update(hfworker.Listed(entries), sim.now)
		p.fleets[name] = f
	}
	p.observe()
	sim.fleet = p.fleets[p.leader]
	sim.permitsByTest = true
	sim.startLeader()
	p.advance(3 * time.Second)
	return p
}

// observe divides the workers among connected instances. Instances that are not connected poll
// all of them.
func (p *partition) observe() {
	for i, instance := range p.names {
		observed := map[string]bool{}
		for n, worker := range slices.Sorted(maps.Keys(p.sim.listedWorkers)) {
			if !p.connected || n%2 == i {
				observed[worker] = true
			}
		}
		p.fleets[instance].Update(hfworker.Observe(observed), p.sim.now)
	}
}

func (p *partition) other(name string) string {
	if name == p.names[0] {
		return p.names[1]
	}
	return p.names[0]
}

// setConnected connects or disconnects the instances.
func (p *partition) setConnected(connected bool) {
	p.connected = connected
	clear(p.versions)
	p.observe()
}

// endLeadership makes the leader lose its lease in the store. The next one follows later.
func (p *partition) endLeadership() {
	p.leader, p.takeoverAt = "", p.sim.now.Add(leadershipLease)
	p.sim.scheduler = New("a", NewTiming(simLease, p.fleets["e1"].Freshness(), time.Hour)) // loads no records, so it does nothing
}

// lead starts a leader on an instance.
func (p *partition) lead(name string) {
	p.leader, p.sim.fleet = name, p.fleets[name]
	p.reach(name)
	p.sim.startLeader()
}

// reach makes the workers reachable that an instance reaches.
func (p *partition) reach(instance string) {
	for name, fw := range p.sim.workers {
		fw.unreachable = p.unreachable[instance][name]
	}
}

// answer returns what an instance answers on the failure domain.
func (p *partition) answer(name string) []*hfwire.Leadership {
	if p.always {
		return []*hfwire.Leadership{{Domain: "a"}}
	}
	relayed := p.fleets[name].Leaderships(name, p.sim.now)
	if name == p.leader {
		return append(relayed, &hfwire.Leadership{Domain: "a", Revoked: hfworker.Attempts(p.sim.revoked)})
	}
	return relayed
}

// beat exchanges the answers and reports of the instances.
func (p *partition) beat() {
	now := p.sim.now
	for _, name := range p.names {
		f, from := p.fleets[name], p.other(name)
		f.Update(hfworker.Leaderships(name, now, p.answer(name)), now)
		if !p.connected {
			continue
		}
		f.Update(hfworker.Leaderships(from, now, p.answer(from)), now)
		since := p.versions[from]
		reports, version := p.fleets[from].Reports(since, now)
		p.versions[from] = version
		for _, cmd := range f.Update(hfworker.PeerReports(from, from, since == 0, reports), now) {
			if r, ok := cmd.(hfworker.ReportCmd); ok && name == p.leader {
				p.sim.send(Report(r.Worker(), r.Tasks(), r.Lost()))
			}
		}
	}
}

// advance runs the instances for a duration and returns the first violated invariant.
func (p *partition) advance(d time.Duration) error {
	sim := p.sim
	for end := sim.now.Add(d); sim.now.Before(end); {
		sim.now = sim.now.Add(simStep)
		p.reach(p.leader)
		sim.runDueEvents()
		sim.endTasks()
		for _, name := range p.names {
			p.reach(name)
			sim.fleet, sim.reportsCut = p.fleets[name], name != p.leader
			sim.pollWorkers()
		}
		if p.leader != "" {
			p.reach(p.leader)
			sim.fleet, sim.reportsCut = p.fleets[p.leader], false
		}
		if !sim.now.Before(p.nextBeat) {
			p.beat()
			p.nextBeat = sim.now.Add(simHeartbeat)
		}
		sim.send(TickMsg{})
		if p.soon {
			for _, j := range sim.scheduler.open {
				if !j.renewalsEnd.IsZero() {
					j.renewalsEnd = sim.now.Add(-time.Hour)
				}
			}
		}
		if err := p.check(); err != nil {
			return err
		}
	}
	return nil
}

// check returns an error if members of two attempts of a job run, or members of a job that has ended.
func (p *partition) check() error {
	running := map[string]uint32{}
	for _, name := range slices.Sorted(maps.Keys(p.sim.workers)) {
		for _, t := range p.sim.workers[name].tasks {
			if t.state != hfworker.StateRunning {
				continue
			}
			if attempt, ok := running[t.cmd.job]; ok && attempt != t.cmd.attempt {
				return fmt.Errorf("attempts %d and %d of job %s run at once", attempt, t.cmd.attempt, t.cmd.job)
			}
			if j, ok := p.sim.scheduler.jobs[t.cmd.job]; ok && j.final() {
				return fmt.Errorf("job %s is %s and runs", t.cmd.job, j.state())
			}
			running[t.cmd.job] = t.cmd.attempt
		}
	}
	return p.sim.scheduler.Check()
}

// Guards against a lost gang that is never run again, or before the observer that is cut off with
// its worker has stopped to renew its leases.
func TestGangOfIsolatedObserverRunsAgainLater(t *testing.T) {
	for seed := range uint64(40) {
		p := newPartition(seed, 2)
		p.sim.submit("j1", "a", "again", 8, time.Hour)
		require.NoError(t, p.advance(time.Duration(2000+50*seed)*time.Millisecond))
		require.Equal(t, StateRunning, p.sim.state("j1"))
		for name, fw := range p.sim.workers {
			p.unreachable["e1"][name] = len(fw.tasks) > 0
		}
		p.setConnected(false)
		require.NoError(t, p.advance(hfworker.RenewalPermit), "seed %d", seed)
		require.Equal(t, StateStopping, p.sim.state("j1"))
		require.NoError(t, p.advance(2*simPoll+simLease+leaseMargin+time.Second), "seed %d", seed)
		require.Equal(t, StateRunning, p.sim.state("j1"))
		require.Len(t, p.sim.ranAttempts["j1"], 2)
	}
}

// Guards against gangs that expire in an outage of the store, which ends every leadership.
func TestGangsOutliveOutageOfTheStore(t *testing.T) {
	p := newPartition(1, 4)
	p.sim.submit("j1", "a", "once", 16, time.Hour)
	require.NoError(t, p.advance(2*time.Second))
	p.sim.storeDown = true
	p.endLeadership()
	require.NoError(t, p.advance(10*time.Minute))
	p.sim.storeDown = false
	p.lead("e2")
	require.NoError(t, p.advance(time.Minute))
	require.Equal(t, StateRunning, p.sim.state("j1"))
	require.Len(t, p.sim.ranAttempts["j1"], 1)
}

// Guards against leases that are renewed although an instance is silent that might lead, and against
// gangs that expire although it answers again in time.
func TestGangExpiresWithoutLeaderAndInstance(t *testing.T) {
	for name, test := range map[string]struct {
		silence time.Duration
		running int
	}{
		"answers in time": {hfworker.RenewalPermit, 1},
		"silent":          {hfworker.RenewalPermit + simLease + simHeartbeat, 0},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPartition(1, 1)
			p.sim.submit("j1", "a", "once", 8, time.Hour)
			require.NoError(t, p.advance(2*time.Second))
			p.endLeadership()
			p.setConnected(false)
			require.NoError(t, p.advance(test.silence))
			p.setConnected(true)
			require.NoError(t, p.advance(time.Minute))
			require.Len(t, p.sim.workers["w00"].tasks, test.running)
		})
	}
}

// noObserver implements Observer.
type noObserver struct{}

func (noObserver) JobChanged(*hfwire.Job)         {}
func (noObserver) WorkerQuarantined(string, bool) {}
func (noObserver) InvariantViolated(error)        {}

// Guards against a leader that permits renewals after its tenure, when a later leader may have
// revoked the attempt.
func TestEndedTenurePermitsNothing(t *testing.T) {
	tenure := hflease.NewTenure(1, hflease.Now(), time.Hour)
	l := NewLeader("a", tenure, nil, nil, noObserver{}, NewTiming(simLease, simPoll, time.Hour), unlimitedMemory)
	revoked, _ := l.Revoked()
	require.Nil(t, revoked, "no records are loaded")
	gang := hfworker.NewGang("j1", 1)
	l.execute(t.Context(), RevokeCmd{gangs: map[hfworker.Gang]bool{gang: true}})
	revoked, valid := l.Revoked()
	require.True(t, valid)
	require.True(t, revoked[gang])
	tenure.Expire()
	_, valid = l.Revoked()
	require.False(t, valid)
}

// runWithPartitions runs random jobs and faults with two instances.
func runWithPartitions(t *rapid.T, configure func(*partition)) error {
	p := newPartition(rapid.Uint64().Draw(t, "seed"), 3)
	if configure != nil {
		configure(p)
	}
	for n := range rapid.IntRange(5, 25).Draw(t, "operations") {
		instance := rapid.SampledFrom(p.names).Draw(t, "instance")
		worker := fmt.Sprintf("w%02d", rapid.IntRange(0, 2).Draw(t, "worker"))
		switch rapid.IntRange(0, 10).Draw(t, "operation") {
		case 0, 1, 2:
			size := rapid.SampledFrom([]int{4, 8, 16}).Draw(t, "size")
			p.sim.submit(fmt.Sprintf("j%d", n), "a", rapid.SampledFrom([]string{"again", "filler", "once"}).Draw(t, "work"), size, time.Minute)
		case 3, 4:
			p.unreachable[instance][worker] = !p.unreachable[instance][worker]
		case 5, 6:
			p.setConnected(!p.connected)
		case 7:
			switch {
			case p.leader != "":
				p.endLeadership()
			case !p.sim.now.Before(p.takeoverAt):
				p.lead(instance)
			}
		case 8:
			p.sim.lastToken++
			p.sim.send(Cancel(p.sim.lastToken, fmt.Sprintf("j%d", rapid.IntRange(0, n).Draw(t, "job")), "", "test"))
		case 9:
			p.unreachable[instance][worker], p.unreachable[p.other(instance)][worker] = true, false
			p.setConnected(false)
		case 10:
			clear(p.unreachable["e1"])
			clear(p.unreachable["e2"])
			p.setConnected(true)
		}
		if err := p.advance(time.Duration(rapid.IntRange(0, 30000).Draw(t, "pause")) * time.Millisecond); err != nil {
			return err
		}
	}
	return nil
}

// Guards against two attempts of a job at once, whichever instance is cut off from the leader, the
// workers or both, and whichever leads next.
func TestOneAttemptRunsUnderPartitions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := runWithPartitions(t, nil); err != nil {
			t.Fatal(err)
		}
	})
}

// TestFaultyPermitsAreDetected runs the same faults with one wrong variant each, which
// TestOneAttemptRunsUnderPartitions has to detect.
func TestFaultyPermitsAreDetected(t *testing.T) {
	for name, configure := range map[string]func(*partition){
		"observers renew without permit":             func(p *partition) { p.always = true },
		"the leader does not wait for the observers": func(p *partition) { p.soon = true },
	} {
		t.Run(name, func(t *testing.T) {
			require.True(t, hfseed.FindsFailure(300, func(rt *rapid.T) error { return runWithPartitions(rt, configure) }), "no run detected the wrong variant")
		})
	}
}
