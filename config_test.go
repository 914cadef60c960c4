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

// TestAcceptedChangeIsInForceEverywhere injects a fault right after a change of the
// configuration is accepted. The instances that the fault does not stop must apply the
// change during the fault, the others after it.
func TestAcceptedChangeIsInForceEverywhere(t *testing.T) {
	c := newCluster(t, 3, 0, 1)
	c.declareAccounts()
	last := c.processes[2]
	for name, fault := range map[string][2]func(){
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
			revision := c.mustPut(c.processes[0], "account", "extra", fmt.Sprintf("{quota: %d}", 1+len(name)))
			fault[0]()
			c.waitApplied(c.processes[0], revision)
			c.waitApplied(c.processes[1], revision)
			if name != "one frozen" && name != "one cut off" {
				c.waitApplied(last, revision)
			}
			fault[1]()
			c.waitApplied(last, revision)
			for _, p := range c.processes {
				c.waitReady(p)
			}
		})
	}
}

// TestRestoredStoreDoesNotRevertConfig restores the store from an older backup. The
// instances must keep the newer configuration and refuse further changes.
func TestRestoredStoreDoesNotRevertConfig(t *testing.T) {
	c := newCluster(t, 2, 0, 1)
	c.declareAccounts()
	restore := c.store.Backup()
	revision := c.mustPut(c.processes[0], "account", "extra", "{quota: 7}")
	c.waitApplied(c.processes[1], revision)
	restore()
	require.Eventually(t, func() bool {
		return c.put(c.processes[1], "account", "more", "{}").status == http.StatusServiceUnavailable
	}, settleTimeout, 100*time.Millisecond, "changes are not refused after the store was restored")
	for _, p := range c.processes {
		a := c.do(http.MethodGet, p.url+"/v1/resources/account/extra", operatorCredential, "", nil)
		require.Contains(t, a.body, `"quota":7`)
	}
}

// TestCutOffInstanceRefuses checks that an instance without a connection to the store and to
// other instances refuses requests as not-run and is not ready, until it is connected again.
func TestCutOffInstanceRefuses(t *testing.T) {
	c := newCluster(t, 2, 0, 1)
	c.declareAccounts()
	p := c.processes[1]
	c.isolate(p, true, true)
	var a answer
	require.Eventually(t, func() bool {
		a = c.do(http.MethodPost, p.url+"/v1/requests/lookup", plantCredential, "", []byte("x"))
		return a.outcome == "not-run"
	}, settleTimeout, 200*time.Millisecond)
	require.Contains(t, a.body, "neither the store nor another instance")
	require.False(t, c.isReady(p))
	c.isolate(p, true, false)
	c.waitReady(p)
	require.Equal(t, "done", c.do(http.MethodPost, p.url+"/v1/requests/lookup", plantCredential, "", []byte("x")).outcome)
}

// TestOneConcurrentChangeWins sends several changes of the same revision of a resource at
// once. One must be accepted and all others must get a conflict.
func TestOneConcurrentChangeWins(t *testing.T) {
	c := newCluster(t, 3, 0, 0)
	c.declareAccounts()
	revision := c.mustPut(c.processes[0], "account", "extra", "{quota: 1}")
	for _, p := range c.processes {
		c.waitApplied(p, revision)
	}
	answers := make([]answer, 9)
	var wg sync.WaitGroup
	for i := range answers {
		wg.Go(func() {
			body := fmt.Sprintf("kind: account\nname: extra\nrevision: %d\nspec: {quota: %d}\n", revision, i+10)
			p := c.processes[i%3]
			answers[i] = c.do(http.MethodPut, p.url+"/v1/resources/account/extra", operatorCredential, "", []byte(body))
		})
	}
	wg.Wait()
	accepted := 0
	for _, a := range answers {
		switch a.status {
		case http.StatusOK:
			accepted++
		default:
			require.Equal(t, http.StatusConflict, a.status, a.body)
		}
	}
	require.Equal(t, 1, accepted)
}

// TestMergeSurvivesKills commits a merge of accounts and kills the instances one after the
// other. A running job of the absorbed account must end without a restart, and a request of
// its caller must be answered after each restart.
func TestMergeSurvivesKills(t *testing.T) {
	c := newCluster(t, 3, 4, 1)
	c.declareAccounts()
	const shopCredential = "shop:shop-secret"
	for i := range 6 {
		c.mustPut(c.processes[0], "caller", fmt.Sprint("clerk", i), "{account: shops, role: caller, hash: "+hfaccount.Hash("x")+"}")
	}
	c.leader()
	id := newID()
	require.Eventually(t, func() bool {
		return c.submit(c.processes[0], shopCredential, id, "audit", 8, 12*time.Second).status == http.StatusAccepted
	}, settleTimeout, 200*time.Millisecond)
	c.mustPut(c.processes[0], "merge", "night", "{from: shops, into: plants, phase: overlap}")
	revision := c.mustPut(c.processes[0], "merge", "night", "{from: shops, into: plants, phase: commit}")
	for _, p := range c.processes {
		c.waitApplied(p, revision)
	}
	for _, p := range c.processes {
		p.kill()
		time.Sleep(300 * time.Millisecond)
		c.start(p)
		c.waitReady(p)
		a := c.do(http.MethodPost, p.url+"/v1/requests/lookup", shopCredential, "", []byte("price"))
		require.Equal(t, "done", a.outcome, a.body)
	}
	require.Eventually(t, func() bool {
		return strings.Contains(c.do(http.MethodGet, c.processes[0].url+"/v1/resources/merge/night", operatorCredential, "", nil).body, `"phase":"done"`)
	}, settleTimeout, 200*time.Millisecond, "the merge does not become done")
	require.Contains(t, c.do(http.MethodGet, c.processes[0].url+"/v1/resources/account/shops", operatorCredential, "", nil).body, `"alias":"plants"`)
	c.waitJob(c.processes[0], shopCredential, id, "done")
	require.Equal(t, 1, c.countAttempts(id), "the job was restarted")
}

// runCommand runs a command line of the program in this process and returns its exit code,
// output and error output. With a process the command calls that instance as an operator.
func runCommand(p *process, args ...string) (hfcommand.Exit, string, string) {
	var stdout, stderr bytes.Buffer
	if p != nil {
		args = append([]string{args[0], "--url", p.url, "--credential", operatorCredential}, args[1:]...)
	}
	exit := hfcommand.Run(context.Background(), args, hfcommand.NewStreams(strings.NewReader("body"), &stdout, &stderr))
	return exit, stdout.String(), stderr.String()
}

// TestBadInputChangesNothing passes wrong flags and arguments to commands, and a wrong body and
// id to requests. A command must end with the right exit code and an error text that names the
// mistake. A request must be refused with the right status and not run.
func TestBadInputChangesNothing(t *testing.T) {
	c := newCluster(t, 1, 0, 1)
	c.declareAccounts()
	p := c.processes[0]
	serve := []string{"serve", "--name", "x", "--domain", "a", "--region", "one", "--store-url", "http://127.0.0.1:1", "--members-url", "http://127.0.0.1:1"}
	for name, tt := range map[string]struct {
		process  *process // nil for a command that calls no instance
		args     []string
		exit     hfcommand.Exit
		wantText string
	}{
		"no name":              {nil, []string{"serve", "--domain", "a"}, hfcommand.ExitUsage, "--name: it is required"},
		"host name in address": {nil, append(serve, "--listen", "localhost:80"), hfcommand.ExitUsage, "--listen"},
		"lease too short":      {nil, append(serve, "--lease", "4s", "--poll", "1s"), hfcommand.ExitUsage, "--lease"},
		"incomplete TLS":       {nil, append(serve, "--tls-key", "k"), hfcommand.ExitUsage, "--tls-certificate"},
		"bad seed":             {nil, append(serve, "--seeds", "e1"), hfcommand.ExitUsage, "--seeds"},
		"unknown flag":         {nil, append(serve, "--colour"), hfcommand.ExitUsage, "colour"},
		"unknown log level":    {nil, append(serve, "--log-level", "loud"), hfcommand.ExitUsage, "--log-level"},
		"unknown suspicion":    {nil, []string{"entry", "--settings", "s.json", "--suspicion", "maybe"}, hfcommand.ExitUsage, "--suspicion"},
		"no manifest":          {p, []string{"apply"}, hfcommand.ExitUsage, "-f is required"},
		"missing resource":     {p, []string{"get", "account/none"}, hfcommand.ExitNotFound, "no account none"},
		"missing kind":         {p, []string{"get", "none/none"}, hfcommand.ExitNotFound, "no kind of resource"},
		"not KIND/NAME":        {p, []string{"get", "account"}, hfcommand.ExitUsage, "KIND/NAME"},
		"wrong output":         {p, []string{"list", "-o", "xml", "account"}, hfcommand.ExitUsage, "table or json"},
		"stale revision":       {p, []string{"delete", "--revision", "1", "caller/shop"}, hfcommand.ExitConflict, "another revision"},
		"account in use":       {p, []string{"delete", "account/plants"}, hfcommand.ExitUsage, "belongs to account plants"},
		"operator submits":     {p, []string{"submit", "--work", "audit", "--size", "1"}, hfcommand.ExitUsage, "operators"},
		"unknown job":          {p, []string{"status", newID()}, hfcommand.ExitNotFound, "no such job"},
		"unknown revision":     {p, []string{"wait", "--applied", "999999", "--timeout", "300ms"}, hfcommand.ExitNotRun, "not in force"},
	} {
		t.Run(name, func(t *testing.T) {
			exit, _, stderr := runCommand(tt.process, tt.args...)
			require.Equal(t, tt.exit, exit, stderr)
			require.Contains(t, stderr, tt.wantText)
		})
	}
	tooLarge := c.do(http.MethodPost, p.url+"/v1/requests/lookup", plantCredential, "", make([]byte, 1<<20+1))
	require.Equal(t, http.StatusRequestEntityTooLarge, tooLarge.status)
	require.Equal(t, "not-run", tooLarge.outcome)
	badID := c.do(http.MethodPost, p.url+"/v1/requests/backfill", plantCredential, "not-a-uuid", nil)
	require.Equal(t, http.StatusBadRequest, badID.status)
	require.Empty(t, c.minionRuns()["not-a-uuid"])
}
