package main

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hfstand"
)

// jobFaults is the fault table of jobs. Each is put in while a gang runs, and taken
// back after a while.
func (c *cluster) jobFaults() map[string][2]func() {
	up := func() { c.store.Fault(hfstand.StoreFault{}) }
	down := func() { c.store.Fault(hfstand.StoreFault{Down: true}) }
	var hit *process
	return map[string][2]func(){
		"leader killed": {func() { hit = c.leader(); hit.kill() }, func() { c.start(hit) }},
		"leader frozen past its lease": {func() { hit = c.leader(); hit.signal(syscall.SIGSTOP) }, func() {
			time.Sleep(4 * time.Second)
			hit.signal(syscall.SIGCONT)
		}},
		"leader cut off":      {func() { hit = c.leader(); c.isolate(hit, true, true) }, func() { c.isolate(hit, true, false) }},
		"store down":          {down, up},
		"store loses answers": {func() { c.store.Fault(hfstand.StoreFault{Lost: 10}) }, up},
		"store slow":          {func() { c.store.Fault(hfstand.StoreFault{Slow: 300}) }, up},
		"list down":           {func() { c.members.Fault(hfstand.MembersFault{Down: true}) }, func() { c.members.Fault(hfstand.MembersFault{}) }},
		"leader killed while the store is down": {func() { hit = c.leader(); down(); hit.kill() }, func() {
			c.start(hit)
			time.Sleep(2 * time.Second)
			up()
		}},
	}
}

// TestJobsUnderFaults runs a non-idempotent gang of 16 through each fault: accepted
// means that it ends, it ends as done, and its members ran in one attempt.
func TestJobsUnderFaults(t *testing.T) {
	c := newCluster(t, 3, 4, 0)
	c.declare()
	for name, fault := range c.jobFaults() {
		t.Run(name, func(t *testing.T) {
			c.leader()
			asked := c.nodes[0]
			id := newID()
			require.Eventually(t, func() bool {
				return c.submit(asked, plant, id, "reconcile", 16, 9*time.Second).status == http.StatusAccepted
			}, settle, 200*time.Millisecond, "not accepted")
			if !assert.Eventually(t, func() bool { return c.attempts(id) == 1 }, settle, 50*time.Millisecond, "it does not run") {
				t.Log(c.do(http.MethodGet, asked.url+"/v1/jobs/"+id+"?explain=1", operator, "", nil).body)
				t.FailNow()
			}
			fault[0]()
			time.Sleep(3 * time.Second)
			fault[1]()
			for _, p := range c.nodes {
				c.waitReady(p)
			}
			c.waitJob(asked, plant, id, "done")
			require.Equal(t, 1, c.attempts(id), "attempts that did work")
		})
	}
}

// TestSubmissionsSurviveKills sends jobs under their own ids again and again while
// the leader is killed. What was accepted ends once; nothing runs twice.
func TestSubmissionsSurviveKills(t *testing.T) {
	c := newCluster(t, 3, 4, 0)
	c.declare()
	var accepted, sent []string
	for range 3 {
		leader := c.leader()
		var asked *process
		for _, p := range c.nodes {
			if p != leader {
				asked = p
			}
		}
		for n := range 8 {
			if n == 4 {
				leader.kill()
			}
			id := newID()
			sent = append(sent, id)
			submit := func() bool {
				return c.submit(asked, plant, id, "reconcile", 4, 300*time.Millisecond).status == http.StatusAccepted
			}
			if n < 4 { // a resend under the same id is the same job
				require.Eventually(t, submit, settle, 100*time.Millisecond)
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
		c.waitJob(c.nodes[0], plant, id, "done")
	}
	for _, id := range sent {
		require.LessOrEqual(t, c.attempts(id), 1, id)
	}
}

// TestPlantsSeeTheirOwnJobs checks who may see and cancel what.
func TestPlantsSeeTheirOwnJobs(t *testing.T) {
	c := newCluster(t, 1, 2, 0)
	c.declare()
	c.leader()
	p, id := c.nodes[0], newID()
	require.Eventually(t, func() bool {
		return c.submit(p, plant, id, "audit", 16, time.Minute).status == http.StatusAccepted
	}, settle, 200*time.Millisecond)
	const shop = "shop:shop-secret"
	require.Equal(t, http.StatusNotFound, c.do(http.MethodGet, p.url+"/v1/jobs/"+id, shop, "", nil).status)
	require.Equal(t, http.StatusNotFound, c.do(http.MethodDelete, p.url+"/v1/jobs/"+id, shop, "", nil).status)
	require.NotContains(t, c.do(http.MethodGet, p.url+"/v1/jobs", shop, "", nil).body, id)
	require.Contains(t, c.do(http.MethodGet, p.url+"/v1/jobs", plant, "", nil).body, id)
	require.Contains(t, c.do(http.MethodGet, p.url+"/v1/jobs", operator, "", nil).body, id)
	require.Equal(t, http.StatusForbidden, c.do(http.MethodGet, p.url+"/v1/status", plant, "", nil).status)
	require.Equal(t, http.StatusUnauthorized, c.do(http.MethodGet, p.url+"/v1/jobs", "plant:wrong", "", nil).status)
	require.Equal(t, http.StatusConflict, c.submit(p, shop, id, "audit", 16, time.Minute).status, "the id is another's")
	require.Equal(t, http.StatusOK, c.do(http.MethodDelete, p.url+"/v1/jobs/"+id, plant, "", nil).status)
	c.waitJob(p, plant, id, "cancelled")
	require.Equal(t, http.StatusConflict, c.do(http.MethodDelete, p.url+"/v1/jobs/"+id, plant, "", nil).status, "told once")
	never := c.submit(p, plant, newID(), "audit", 17, time.Minute)
	require.Equal(t, http.StatusUnprocessableEntity, never.status, never.body)
	require.Contains(t, never.body, "can never run")
}
