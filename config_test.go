package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hfaccount"
	"github.com/heatherfront/heatherfront/hfcommand"
	"github.com/heatherfront/heatherfront/hfstand"
)

// TestAcceptedChangeIsInForceEverywhere puts a fault in right after a change is
// accepted.
func TestAcceptedChangeIsInForceEverywhere(t *testing.T) {
	c := newCluster(t, 3, 0, 1)
	c.declare()
	last := c.nodes[2]
	for name, row := range map[string][2]func(){
		"store down": {func() { c.store.Fault(hfstand.StoreFault{Down: true}) }, func() { c.store.Fault(hfstand.StoreFault{}) }},
		"store down and one restarted": {func() {
			c.store.Fault(hfstand.StoreFault{Down: true})
			last.kill()
			c.start(last)
		}, func() { c.store.Fault(hfstand.StoreFault{}) }},
		"one frozen":               {func() { last.signal(syscall.SIGSTOP) }, func() { last.signal(syscall.SIGCONT) }},
		"one cut off":              {func() { c.isolate(last, true, true) }, func() { c.isolate(last, true, false) }},
		"links cut, store reached": {func() { c.isolate(last, false, true) }, func() { c.isolate(last, false, false) }},
		"list down":                {func() { c.members.Fault(hfstand.MembersFault{Down: true}) }, func() { c.members.Fault(hfstand.MembersFault{}) }},
	} {
		t.Run(name, func(t *testing.T) {
			revision := c.put(c.nodes[0], "account", "extra", fmt.Sprintf("{quota: %d}", 1+len(name)))
			row[0]()
			c.inForce(c.nodes[0], revision)
			c.inForce(c.nodes[1], revision)
			if name != "one frozen" && name != "one cut off" {
				c.inForce(last, revision)
			}
			row[1]()
			c.inForce(last, revision)
			for _, p := range c.nodes {
				c.waitReady(p)
			}
		})
	}
}

// TestRestoredStoreDoesNotRevert shows the instances a store that went back to an
// older state.
func TestRestoredStoreDoesNotRevert(t *testing.T) {
	c := newCluster(t, 2, 0, 1)
	c.declare()
	restore := c.store.Backup()
	revision := c.put(c.nodes[0], "account", "extra", "{quota: 7}")
	c.inForce(c.nodes[1], revision)
	restore()
	require.Eventually(t, func() bool {
		return c.tryPut(c.nodes[1], "account", "more", "{}").status == http.StatusServiceUnavailable
	}, settle, 100*time.Millisecond, "writes on the older store are not refused")
	for _, p := range c.nodes {
		a := c.do(http.MethodGet, p.url+"/v1/resources/account/extra", operator, "", nil)
		require.Contains(t, a.body, `"quota":7`)
	}
}

// TestCutOffInstanceRefuses checks what an instance does that hears neither the
// store nor another instance.
func TestCutOffInstanceRefuses(t *testing.T) {
	c := newCluster(t, 2, 0, 1)
	c.declare()
	p := c.nodes[1]
	c.isolate(p, true, true)
	var a answer
	require.Eventually(t, func() bool {
		a = c.do(http.MethodPost, p.url+"/v1/requests/lookup", plant, "", []byte("x"))
		return a.outcome == "not-run"
	}, settle, 200*time.Millisecond)
	require.Contains(t, a.body, "neither the store nor another instance")
	require.False(t, c.ready(p))
	c.isolate(p, true, false)
	c.waitReady(p)
	require.Equal(t, "done", c.do(http.MethodPost, p.url+"/v1/requests/lookup", plant, "", []byte("x")).outcome)
}

// TestOperatorsRace lets operators change one resource at once: one wins each
// revision, and the others are told.
func TestOperatorsRace(t *testing.T) {
	c := newCluster(t, 3, 0, 0)
	c.declare()
	revision := c.put(c.nodes[0], "account", "extra", "{quota: 1}")
	for _, p := range c.nodes {
		c.inForce(p, revision)
	}
	answers := make([]answer, 9)
	var wg sync.WaitGroup
	for i := range answers {
		wg.Go(func() {
			body := fmt.Sprintf("kind: account\nname: extra\nrevision: %d\nspec: {quota: %d}\n", revision, i+10)
			p := c.nodes[i%3]
			answers[i] = c.do(http.MethodPut, p.url+"/v1/resources/account/extra", operator, "", []byte(body))
		})
	}
	wg.Wait()
	won := 0
	for _, a := range answers {
		switch a.status {
		case http.StatusOK:
			won++
		default:
			require.Equal(t, http.StatusConflict, a.status, a.body)
		}
	}
	require.Equal(t, 1, won)
}

// TestMergeSurvivesKills commits a merge while instances are killed one after the
// other, with a job of the absorbed account running and its caller calling.
func TestMergeSurvivesKills(t *testing.T) {
	c := newCluster(t, 3, 4, 1)
	c.declare()
	const shop = "shop:shop-secret"
	for i := range 6 {
		c.put(c.nodes[0], "caller", fmt.Sprint("clerk", i), "{account: shops, role: caller, hash: "+hfaccount.Hash("x")+"}")
	}
	c.leader()
	id := newID()
	require.Eventually(t, func() bool {
		return c.submit(c.nodes[0], shop, id, "audit", 8, 12*time.Second).status == http.StatusAccepted
	}, settle, 200*time.Millisecond)
	c.put(c.nodes[0], "merge", "night", "{from: shops, into: plants, phase: overlap}")
	revision := c.put(c.nodes[0], "merge", "night", "{from: shops, into: plants, phase: commit}")
	for _, p := range c.nodes {
		c.inForce(p, revision)
	}
	for _, p := range c.nodes {
		p.kill()
		time.Sleep(300 * time.Millisecond)
		c.start(p)
		c.waitReady(p)
		a := c.do(http.MethodPost, p.url+"/v1/requests/lookup", shop, "", []byte("price"))
		require.Equal(t, "done", a.outcome, a.body)
	}
	require.Eventually(t, func() bool {
		return strings.Contains(c.do(http.MethodGet, c.nodes[0].url+"/v1/resources/merge/night", operator, "", nil).body, `"phase":"done"`)
	}, settle, 200*time.Millisecond, "the merge does not end")
	require.Contains(t, c.do(http.MethodGet, c.nodes[0].url+"/v1/resources/account/shops", operator, "", nil).body, `"alias":"plants"`)
	c.waitJob(c.nodes[0], shop, id, "done")
	require.Equal(t, 1, c.attempts(id), "the job was restarted")
}

// run carries out a command line of the program in this process.
func run(p *process, args ...string) (hfcommand.Exit, string, string) {
	var out, errs bytes.Buffer
	if p != nil {
		args = append([]string{args[0], "--url", p.url, "--credential", operator}, args[1:]...)
	}
	exit := hfcommand.Run(context.Background(), args, hfcommand.NewStreams(strings.NewReader("body"), &out, &errs))
	return exit, out.String(), errs.String()
}

// TestBadInputChangesNothing gives the program wrong settings, manifests and bodies:
// each gets one clear line and an exit code.
func TestBadInputChangesNothing(t *testing.T) {
	c := newCluster(t, 1, 0, 1)
	c.declare()
	p := c.nodes[0]
	serve := []string{"serve", "--name", "x", "--domain", "a", "--region", "one", "--store-url", "http://127.0.0.1:1", "--members-url", "http://127.0.0.1:1"}
	for name, row := range map[string]struct {
		node *process
		args []string
		exit hfcommand.Exit
		want string
	}{
		"no name":            {nil, []string{"serve", "--domain", "a"}, hfcommand.ExitUsage, "--name: it is required"},
		"address with name":  {nil, append(serve, "--listen", "localhost:80"), hfcommand.ExitUsage, "--listen"},
		"lease too short":    {nil, append(serve, "--lease", "4s", "--poll", "1s"), hfcommand.ExitUsage, "--lease"},
		"half of TLS":        {nil, append(serve, "--tls-key", "k"), hfcommand.ExitUsage, "--tls-certificate"},
		"bad seed":           {nil, append(serve, "--seeds", "e1"), hfcommand.ExitUsage, "--seeds"},
		"unknown flag":       {nil, append(serve, "--colour"), hfcommand.ExitUsage, "colour"},
		"unknown log level":  {nil, append(serve, "--log-level", "loud"), hfcommand.ExitUsage, "--log-level"},
		"no manifest":        {p, []string{"apply"}, hfcommand.ExitUsage, "-f is required"},
		"missing resource":   {p, []string{"get", "account/none"}, hfcommand.ExitMissing, "no account none"},
		"missing kind":       {p, []string{"get", "none/none"}, hfcommand.ExitMissing, "no kind of resource"},
		"not KIND/NAME":      {p, []string{"get", "account"}, hfcommand.ExitUsage, "KIND/NAME"},
		"wrong output":       {p, []string{"list", "-o", "xml", "account"}, hfcommand.ExitUsage, "table or json"},
		"stale revision":     {p, []string{"delete", "--revision", "1", "caller/shop"}, hfcommand.ExitConflict, "another revision"},
		"account in use":     {p, []string{"delete", "account/plants"}, hfcommand.ExitUsage, "belongs to account plants"},
		"operator submits":   {p, []string{"submit", "--work", "audit", "--size", "1"}, hfcommand.ExitUsage, "operators"},
		"unknown job":        {p, []string{"status", newID()}, hfcommand.ExitMissing, "no such job"},
		"wait for the never": {p, []string{"wait", "--applied", "999999", "--timeout", "300ms"}, hfcommand.ExitNotRun, "not in force"},
	} {
		t.Run(name, func(t *testing.T) {
			exit, _, errs := run(row.node, row.args...)
			require.Equal(t, row.exit, exit, errs)
			require.Contains(t, errs, row.want)
		})
	}
	big := c.do(http.MethodPost, p.url+"/v1/requests/lookup", plant, "", make([]byte, 1<<20+1))
	require.Equal(t, http.StatusRequestEntityTooLarge, big.status)
	require.Equal(t, "not-run", big.outcome)
	badID := c.do(http.MethodPost, p.url+"/v1/requests/backfill", plant, "not-a-uuid", nil)
	require.Equal(t, http.StatusBadRequest, badID.status)
	require.Empty(t, c.runs()["not-a-uuid"])
}
