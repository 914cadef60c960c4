package main

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hfstand"
	"github.com/heatherfront/heatherfront/hfworker"
)

// jobFaults returns the faults of TestJobsUnderFaults: a function that injects each one,
// and a function that removes it.
func (c *cluster) jobFaults() map[string][2]func() {
	storeUp := func() { c.store.Fault(hfstand.StoreFault{}) }
	storeDown := func() { c.store.Fault(hfstand.StoreFault{Down: true}) }
	var leader *process
	return map[string][2]func(){
		"leader killed": {func() { leader = c.leader(); leader.kill() }, func() { c.start(leader) }},
		"leader frozen past its lease": {func() { leader = c.leader(); leader.signal(syscall.SIGSTOP) }, func() {
			time.Sleep(4 * time.Second)
			leader.signal(syscall.SIGCONT)
		}},
		"leader cut off":      {func() { leader = c.leader(); c.isolate(leader, true, true) }, func() { c.isolate(leader, true, false) }},
		"store down":          {storeDown, storeUp},
		"store loses answers": {func() { c.store.Fault(hfstand.StoreFault{LostAnswers: 10}) }, storeUp},
		"store slow":          {func() { c.store.Fault(hfstand.StoreFault{Slow: 300}) }, storeUp},
		"list down":           {func() { c.members.Fault(hfstand.MembersFault{Down: true}) }, func() { c.members.Fault(hfstand.MembersFault{}) }},
		"leader killed while the store is down": {func() { leader = c.leader(); storeDown(); leader.kill() }, func() {
			c.start(leader)
			time.Sleep(2 * time.Second)
			storeUp()
		}},
	}
}

// TestJobsUnderFaults runs a non-idempotent gang of 16 accelerators through each fault. An
// accepted job must end as done, and its members must run in one attempt only.
func TestJobsUnderFaults(t *testing.T) {
	c := newCluster(t, 3, 4, 0)
	c.declareAccounts()
	for name, fault := range c.jobFaults() {
		t.Run(name, func(t *testing.T) {
			c.leader()
			submitTo := c.processes[0]
			id := newID()
			require.Eventually(t, func() bool {
				return c.submit(submitTo, plantCredential, id, "reconcile", 16, 9*time.Second).status == http.StatusAccepted
			}, settleTimeout, 200*time.Millisecond, "the job is not accepted")
			if !assert.Eventually(t, func() bool { return c.countAttempts(id) == 1 }, settleTimeout, 50*time.Millisecond, "the job does not run") {
				t.Log(c.do(http.MethodGet, submitTo.url+"/v1/jobs/"+id+"?explain=1", operatorCredential, "", nil).body)
				t.FailNow()
			}
			fault[0]()
			time.Sleep(3 * time.Second)
			fault[1]()
			for _, p := range c.processes {
				c.waitReady(p)
			}
			c.waitJob(submitTo, plantCredential, id, "done")
			require.Equal(t, 1, c.countAttempts(id), "number of attempts that ran")
		})
	}
}

// Guards against two attempts of a job at once: an instance that is cut off from the store and the
// others, but not from the worker that they no longer reach, renewed the leases of the first one.
// The job must run again.
func TestIsolatedInstanceRenewsNoReplacedAttempt(t *testing.T) {
	c := newCluster(t, 3, 2, 0)
	c.declareAccounts()
	leader := c.leader()
	id := newID()
	require.Eventually(t, func() bool {
		return c.submit(leader, plantCredential, id, "audit", 8, 10*time.Minute).status == http.StatusAccepted
	}, settleTimeout, 200*time.Millisecond, "the job is not accepted")
	require.Eventually(t, func() bool { return c.countAttempts(id) == 1 }, settleTimeout, 50*time.Millisecond, "the job does not run")
	var worker string
	for name, w := range c.workers {
		if len(w.Runs()) > 0 {
			worker = name
		}
	}
	var isolated *process
	for _, p := range c.processes {
		if p != leader {
			isolated = p
		}
	}
	cut := func(cut bool) {
		c.isolate(isolated, true, cut)
		for _, p := range c.processes {
			if p != isolated {
				c.block(p, worker, cut)
			}
		}
	}
	cut(true)
	require.Eventually(t, func() bool { return c.countAttempts(id) == 2 }, hfworker.RenewalPermit+settleTimeout, 50*time.Millisecond, "the job does not run again")
	cut(false)
	for _, p := range c.processes {
		c.waitReady(p)
	}
	require.False(t, c.runsAtOnce(id), "two attempts ran at the same time")
	require.Equal(t, 2, c.countAttempts(id))
}

// Guards against gangs that expire in long faults: an outage of the store, in which no instance can
// lead, and a cut link to the leader, around which its answers are relayed.
func TestGangOutlivesLongFaults(t *testing.T) {
	c := newCluster(t, 3, 4, 0)
	c.declareAccounts()
	leader, id := c.leader(), newID()
	require.Eventually(t, func() bool {
		return c.submit(leader, plantCredential, id, "audit", 32, 10*time.Minute).status == http.StatusAccepted
	}, settleTimeout, 200*time.Millisecond, "the job is not accepted")
	require.Eventually(t, func() bool { return c.countAttempts(id) == 1 }, settleTimeout, 50*time.Millisecond, "the job does not run")
	for _, fault := range []struct {
		name string
		set  func(on bool)
	}{
		{"store down", func(on bool) { c.store.Fault(hfstand.StoreFault{Down: on}) }},
		{"link to the leader cut", func(on bool) {
			leader := c.leader()
			for _, p := range c.processes {
				if p != leader {
					leader.peerProxy.setBlocked(p.ip, on)
					p.peerProxy.setBlocked(leader.ip, on)
					return
				}
			}
		}},
	} {
		fault.set(true)
		time.Sleep(3 * hfworker.RenewalPermit) // well above the permit and the lease of a task
		for _, w := range c.workers {
			for _, r := range w.Runs() {
				require.Zero(t, r.To, "%s: member %d ended as %s", fault.name, r.Index, r.State)
			}
		}
		fault.set(false)
		c.leader()
		c.waitJob(c.processes[0], plantCredential, id, "running")
	}
	require.Equal(t, 1, c.countAttempts(id))
}

// TestSubmissionsSurviveKills submits jobs under ids that the caller chose, some of them
// twice, while the leader is killed. Every accepted job must end, and no job may run in more
// than one attempt.
func TestSubmissionsSurviveKills(t *testing.T) {
	c := newCluster(t, 3, 4, 0)
	c.declareAccounts()
	var accepted, submitted []string
	for range 3 {
		leader := c.leader()
		var follower *process
		for _, p := range c.processes {
			if p != leader {
				follower = p
			}
		}
		for n := range 8 {
			if n == 4 {
				leader.kill()
			}
			id := newID()
			submitted = append(submitted, id)
			submit := func() bool {
				return c.submit(follower, plantCredential, id, "reconcile", 4, 300*time.Millisecond).status == http.StatusAccepted
			}
			if n < 4 { // submitted again below: the same id is the same job
				require.Eventually(t, submit, settleTimeout, 100*time.Millisecond)
			}
			if submit() {
				accepted = append(accepted, id)
			}
		}
		c.start(leader)
		c.waitReady(leader)
	}
	require.GreaterOrEqual(t, len(accepted), 12)
	for _, id := range accepted {
		c.waitJob(c.processes[0], plantCredential, id, "done")
	}
	for _, id := range submitted {
		require.LessOrEqual(t, c.countAttempts(id), 1, id)
	}
}

// TestCallersSeeOnlyTheirAccountsJobs checks that callers can neither read nor cancel the
// jobs of other accounts, that operators can read all of them, and how a submission is refused
// under an id in use or above the size of the domain.
func TestCallersSeeOnlyTheirAccountsJobs(t *testing.T) {
	c := newCluster(t, 1, 2, 0)
	c.declareAccounts()
	c.leader()
	p, id := c.processes[0], newID()
	require.Eventually(t, func() bool {
		return c.submit(p, plantCredential, id, "audit", 16, time.Minute).status == http.StatusAccepted
	}, settleTimeout, 200*time.Millisecond)
	const shopCredential = "shop:shop-secret"
	require.Equal(t, http.StatusNotFound, c.do(http.MethodGet, p.url+"/v1/jobs/"+id, shopCredential, "", nil).status)
	require.Equal(t, http.StatusNotFound, c.do(http.MethodDelete, p.url+"/v1/jobs/"+id, shopCredential, "", nil).status)
	require.NotContains(t, c.do(http.MethodGet, p.url+"/v1/jobs", shopCredential, "", nil).body, id)
	require.Contains(t, c.do(http.MethodGet, p.url+"/v1/jobs", plantCredential, "", nil).body, id)
	require.Contains(t, c.do(http.MethodGet, p.url+"/v1/jobs", operatorCredential, "", nil).body, id)
	require.Equal(t, http.StatusForbidden, c.do(http.MethodGet, p.url+"/v1/status", plantCredential, "", nil).status)
	require.Equal(t, http.StatusUnauthorized, c.do(http.MethodGet, p.url+"/v1/jobs", "plant:wrong", "", nil).status)
	require.Equal(t, http.StatusConflict, c.submit(p, shopCredential, id, "audit", 16, time.Minute).status, "the id belongs to a job of another account")
	require.Equal(t, http.StatusOK, c.do(http.MethodDelete, p.url+"/v1/jobs/"+id, plantCredential, "", nil).status)
	c.waitJob(p, plantCredential, id, "cancelled")
	require.Equal(t, http.StatusConflict, c.do(http.MethodDelete, p.url+"/v1/jobs/"+id, plantCredential, "", nil).status, "a second cancellation is refused")
	refused := c.submit(p, plantCredential, newID(), "audit", 17, time.Minute)
	require.Equal(t, http.StatusUnprocessableEntity, refused.status, refused.body)
	require.Contains(t, refused.body, "can never run")
}
