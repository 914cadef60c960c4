package hfworker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hfwire"
)

// observerFleet returns a Fleet of the instance e1, which polls w0, where a gang of one runs that
// was just polled. It knows the instances e1, e2 and e3, and has no permit.
func observerFleet(now time.Time) *Fleet {
	f := NewFleet(testPoll, testHeartbeat, GangComplete)
	f.Update(Instances([]string{"e1", "e2", "e3"}), now)
	f.Update(Listed([]Worker{NewWorker("w0", "w0", "a", "one", "r", 0, 8, false)}), now)
	f.Update(Observe(map[string]bool{"w0": true}), now)
	f.Update(Polled("w0", []*hfwire.Task{task(0, 1, StateRunning)}, now), now)
	return f
}

// renews polls w0 and reports whether the lease of its task is renewed.
func renews(f *Fleet, now time.Time) bool {
	f.Update(Polled("w0", []*hfwire.Task{task(0, 1, StateRunning)}, now.Add(-testPoll)), now.Add(-testPoll))
	return renewedTasks(f, now) > 0
}

// Guards against an observer that renews the leases of an attempt that may have been replaced,
// and against one that lets gangs expire while no leader is able to replace them.
func TestLeasesAreRenewedOnlyWithPermit(t *testing.T) {
	leads := &hfwire.Leadership{Domain: "a"}
	type answer struct {
		instance string
		at       time.Duration // when it was asked
		list     []*hfwire.Leadership
	}
	revoked := []*hfwire.Attempt{{Job: "j", Attempt: 1}}
	for name, test := range map[string]struct {
		answers []answer
		at      time.Duration
		want    bool
	}{
		"no answer":                  {nil, time.Second, false},
		"leader":                     {[]answer{{"e2", 0, []*hfwire.Leadership{leads}}}, RenewalPermit - 1, true},
		"leader asked too long ago":  {[]answer{{"e2", 0, []*hfwire.Leadership{leads}}}, RenewalPermit, false},
		"leader of another domain":   {[]answer{{"e2", 0, []*hfwire.Leadership{{Domain: "b"}}}}, time.Second, false},
		"instance that is not known": {[]answer{{"e4", 0, []*hfwire.Leadership{leads}}}, time.Second, false},
		"revoked":                    {[]answer{{"e2", 0, []*hfwire.Leadership{{Domain: "a", Revoked: revoked}}}}, time.Second, false},
		"another attempt revoked":    {[]answer{{"e2", 0, []*hfwire.Leadership{{Domain: "a", Revoked: []*hfwire.Attempt{{Job: "j", Attempt: 2}}}}}}, time.Second, true},
		"revoked later":              {[]answer{{"e2", 0, []*hfwire.Leadership{leads}}, {"e2", time.Second, []*hfwire.Leadership{{Domain: "a", Revoked: revoked}}}}, 2 * time.Second, false},
		"older answer arrives later": {[]answer{{"e2", time.Second, []*hfwire.Leadership{{Domain: "a", Revoked: revoked}}}, {"e2", 0, []*hfwire.Leadership{leads}}}, 2 * time.Second, false},
		"leader whose term ends":     {[]answer{{"e2", 0, []*hfwire.Leadership{{Domain: "a", Unsettled: true}}}}, time.Second, false},
		"relayed":                    {[]answer{{"e3", 2 * time.Second, []*hfwire.Leadership{{Domain: "a", Relayed: true, Age: 1500}}}}, RenewalPermit + 500*time.Millisecond - 1, true},
		"relayed too old":            {[]answer{{"e3", 2 * time.Second, []*hfwire.Leadership{{Domain: "a", Relayed: true, Age: 1500}}}}, RenewalPermit + 500*time.Millisecond, false},
		"older relay without revocation": {[]answer{
			{"e2", time.Second, []*hfwire.Leadership{{Domain: "a", Revoked: revoked}}},
			{"e3", 2 * time.Second, []*hfwire.Leadership{{Domain: "a", Relayed: true, Age: 1500}}},
		}, 3 * time.Second, false},
		"no leader, all answer":            {[]answer{{"e1", time.Second, nil}, {"e2", 0, nil}, {"e3", time.Second, nil}}, RenewalPermit - 1, true},
		"no leader, all answered once":     {[]answer{{"e1", time.Second, nil}, {"e2", 0, nil}, {"e3", time.Second, nil}}, RenewalPermit, false},
		"no leader, one does not answer":   {[]answer{{"e1", 0, nil}, {"e2", 0, nil}}, time.Second, false},
		"no leader, one term ends":         {[]answer{{"e1", 0, nil}, {"e2", 0, nil}, {"e3", 0, []*hfwire.Leadership{{Domain: "a", Unsettled: true}}}}, time.Second, false},
		"no leader known here, but to one": {[]answer{{"e1", 0, nil}, {"e2", 0, nil}, {"e3", 0, []*hfwire.Leadership{{Domain: "a", Relayed: true, Age: RenewalPermit.Milliseconds()}}}}, time.Second, false},
		"leader that ended revoked":        {[]answer{{"e2", 0, []*hfwire.Leadership{{Domain: "a", Revoked: revoked}}}, {"e1", time.Second, nil}, {"e2", time.Second, nil}, {"e3", time.Second, nil}}, 2 * time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			f := observerFleet(start)
			for _, a := range test.answers {
				f.Update(Leaderships(a.instance, start.Add(a.at), a.list), start.Add(a.at))
			}
			require.Equal(t, test.want, renews(f, start.Add(test.at)))
		})
	}
}

// Guards against an instance that left and still counts as one that does not answer.
func TestInstancesThatLeftAreNotAsked(t *testing.T) {
	now := time.Unix(1000, 0)
	f := observerFleet(now)
	f.Update(Instances([]string{"e1", "e2"}), now)
	for _, name := range []string{"e1", "e2"} {
		f.Update(Leaderships(name, now, nil), now)
	}
	require.True(t, renews(f, now.Add(time.Second)))
}

// Guards against answers that are passed on for ever between instances that do not reach a leader.
func TestOnlyLeadersAnswersAreRelayed(t *testing.T) {
	now := time.Unix(1000, 0)
	f := observerFleet(now)
	f.Update(Leaderships("e3", now, []*hfwire.Leadership{{Domain: "a", Relayed: true}, {Domain: "b", Unsettled: true}}), now)
	f.Update(Leaderships("e1", now, []*hfwire.Leadership{{Domain: "c"}}), now)
	require.Empty(t, f.Leaderships("e1", now), "relayed before, unsettled, or its own")
	revoked := []*hfwire.Attempt{{Job: "i", Attempt: 2}, {Job: "j", Attempt: 1}}
	f.Update(Leaderships("e2", now, []*hfwire.Leadership{{Domain: "a", Revoked: revoked}}), now)
	relayed := f.Leaderships("e1", now.Add(time.Second+1))
	require.Len(t, relayed, 1)
	require.True(t, relayed[0].GetRelayed())
	require.Equal(t, int64(1001), relayed[0].GetAge(), "rounded up")
	require.Len(t, relayed[0].GetRevoked(), 2)
	require.Empty(t, f.Leaderships("e1", now.Add(RenewalPermit)))
	f.Update(Leaderships("e2", now.Add(time.Second), nil), now)
	require.Empty(t, f.Leaderships("e1", now.Add(time.Second)), "it no longer leads")
}

// Guards against an instance that lets gangs expire without a sign of it in its log.
func TestEndOfPermitIsReportedOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	f := observerFleet(now)
	poll := func(at time.Time) []PermitCmd {
		f.Update(Polled("w0", []*hfwire.Task{task(0, 1, StateRunning)}, at), at)
		var out []PermitCmd
		for _, cmd := range f.Update(TickMsg{}, at.Add(testPoll)) {
			if c, ok := cmd.(PermitCmd); ok {
				out = append(out, c)
			}
		}
		return out
	}
	require.Empty(t, poll(now), "it has only started")
	f.Update(Leaderships("e2", now, []*hfwire.Leadership{{Domain: "a"}}), now)
	require.Empty(t, poll(now))
	now = now.Add(RenewalPermit)
	require.Equal(t, []PermitCmd{{domain: "a", ended: true}}, poll(now))
	require.Empty(t, poll(now.Add(testPoll)))
	f.Update(Leaderships("e2", now, []*hfwire.Leadership{{Domain: "a"}}), now)
	require.Equal(t, []PermitCmd{{domain: "a"}}, poll(now.Add(2*testPoll)))
}
