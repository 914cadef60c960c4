package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hfaccount"
	"github.com/heatherfront/heatherfront/hfstand"
)

// argumentsEnv names the environment variable that makes the test binary run as the
// program itself, with the arguments in the variable, one per line. The tests thus run real
// processes, which are built with the race detector whenever the tests are.
const argumentsEnv = "HF_TEST_ARGUMENTS"

func TestMain(m *testing.M) {
	if text := os.Getenv(argumentsEnv); text != "" {
		os.Args = append(os.Args[:1], strings.Split(text, "\n")...)
		main()
		return
	}
	os.Exit(m.Run())
}

const (
	operatorSecret     = "operator-secret"
	operatorCredential = "root:" + operatorSecret
	plantCredential    = "plant:plant-secret"
	settleTimeout      = 30 * time.Second // limit for conditions that must hold eventually, also on a loaded machine
)

// addressFilter is an HTTP handler that drops requests from blocked client addresses.
type addressFilter struct {
	mu      sync.Mutex
	blocked map[string]bool // by IP
	next    http.Handler
}

func (f *addressFilter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	f.mu.Lock()
	blocked := f.blocked[host]
	f.mu.Unlock()
	if blocked {
		panic(http.ErrAbortHandler)
	}
	f.next.ServeHTTP(w, r)
}

// peerProxy is a TCP proxy in front of the port that an instance has for other instances.
// It can block other instances by their address.
type peerProxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	blocked  map[string]bool     // by client IP
	conns    map[net.Conn]string // client IP by open connection
}

func newPeerProxy(t *testing.T, ip, target string) *peerProxy {
	ln, err := net.Listen("tcp", ip+":0")
	require.NoError(t, err)
	p := &peerProxy{listener: ln, target: target, blocked: map[string]bool{}, conns: map[net.Conn]string{}}
	go p.accept()
	t.Cleanup(func() { _ = ln.Close() })
	return p
}

func (p *peerProxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(in)
	}
}

// forward connects to the target and copies bytes in both directions, unless the client is
// blocked.
func (p *peerProxy) forward(in net.Conn) {
	defer func() { _ = in.Close() }()
	from, _, _ := net.SplitHostPort(in.RemoteAddr().String())
	p.mu.Lock()
	blocked := p.blocked[from]
	p.conns[in] = from
	p.mu.Unlock()
	if blocked {
		return
	}
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer func() { _ = out.Close() }()
	go func() { _, _ = io.Copy(out, in); _ = out.Close() }()
	_, _ = io.Copy(in, out)
}

// setBlocked sets whether connections from an address are refused. Blocking also closes
// the open ones.
func (p *peerProxy) setBlocked(from string, blocked bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blocked[from] = blocked
	for c, ip := range p.conns {
		if blocked && ip == from {
			_ = c.Close()
			delete(p.conns, c)
		}
	}
}

// process is an instance that runs as a child process.
type process struct {
	name      string
	ip        string // loopback address of its port for other instances, and source of its connections to them and to the store
	url       string
	args      []string
	cmd       *exec.Cmd
	ended     chan struct{} // closed when the process has exited
	peerProxy *peerProxy
	log       *os.File
}

// cluster is a set of instances that run as processes against fakes of the platform.
type cluster struct {
	t         *testing.T
	store     *hfstand.Store
	members   *hfstand.Members
	filters   []*addressFilter
	urls      [2]string // of the store and of the membership list
	workers   map[string]*hfstand.Worker
	reach     map[string]*addressFilter // in front of each worker
	minions   map[string]*hfstand.Minion
	processes []*process
	client    *http.Client
}

// newCluster starts a cluster and waits until all instances are ready.
func newCluster(t *testing.T, instances, workers, minions int) *cluster {
	t.Helper()
	c := &cluster{
		t: t, store: hfstand.NewStore(), members: hfstand.NewMembers(),
		workers: map[string]*hfstand.Worker{}, reach: map[string]*addressFilter{}, minions: map[string]*hfstand.Minion{},
		client: &http.Client{Timeout: 40 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
	c.urls = [2]string{c.serveFiltered(c.store.Handler()), c.serveFiltered(c.members.Handler())}
	for i := range workers {
		name := fmt.Sprint("w", i)
		w := hfstand.NewWorker(name, 8)
		c.workers[name], c.reach[name] = w, &addressFilter{blocked: map[string]bool{}, next: w.Handler()}
		c.members.Set(hfstand.Member{
			Name: name, Role: "worker", Address: c.serve(c.reach[name]), Domain: "a", Region: "one",
			Rack: "r0", Position: i, Accelerators: 8, State: "live",
		})
	}
	for i := range minions {
		name := fmt.Sprint("m", i)
		m := hfstand.NewMinion(name, 8)
		c.minions[name] = m
		c.members.Set(c.minionMember(name, c.serve(m.Handler()), "live"))
	}
	for i := range instances {
		c.processes = append(c.processes, c.newProcess(i))
	}
	for _, p := range c.processes {
		c.start(p)
	}
	for _, p := range c.processes {
		c.waitReady(p)
	}
	return c
}

func (c *cluster) minionMember(name, address, state string) hfstand.Member {
	return hfstand.Member{Name: name, Role: "minion", Address: address, Domain: "a", Region: "one", Slots: 8, State: state}
}

// serve starts an HTTP server for a fake and returns its address.
func (c *cluster) serve(h http.Handler) string {
	s := httptest.NewServer(h)
	c.t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return strings.TrimPrefix(s.URL, "http://")
}

// serveFiltered serves a handler behind an address filter and returns its URL.
func (c *cluster) serveFiltered(h http.Handler) string {
	filter := &addressFilter{blocked: map[string]bool{}, next: h}
	c.filters = append(c.filters, filter)
	return "http://" + c.serve(filter)
}

// freePort returns an address with a port that was free at the time of the call.
func freePort(t *testing.T, ip string) string {
	address, err := hfstand.FreeAddress(ip)
	require.NoError(t, err)
	return address
}

// newProcess prepares an instance with its proxy and its entry in the membership list. It
// does not start it.
func (c *cluster) newProcess(i int) *process {
	p := &process{name: fmt.Sprint("e", i), ip: fmt.Sprintf("127.0.1.%d", i+1)}
	listen, peer := freePort(c.t, "127.0.0.1"), freePort(c.t, p.ip)
	p.peerProxy = newPeerProxy(c.t, fmt.Sprintf("127.0.2.%d", i+1), peer)
	p.url = "http://" + listen
	p.args = []string{
		"serve", "--name", p.name, "--domain", "a", "--region", "one", "--listen", listen, "--peer", peer,
		"--peer-reach", p.peerProxy.listener.Addr().String(), "--store-url", c.urls[0], "--members-url", c.urls[1],
		"--operator-hash", hfaccount.Hash(operatorSecret), "--lease", "8s", "--poll", "500ms", "--beat", "250ms",
		"--check", "250ms", "--suspect", "2s", "--stop", "20s",
	}
	c.members.Set(hfstand.Member{Name: p.name, Role: "instance", Address: p.peerProxy.listener.Addr().String(), Domain: "a", Region: "one", State: "live"})
	return p
}

// start starts the process of an instance. At the end of the test the process is killed
// and its log is checked.
func (c *cluster) start(p *process) {
	c.t.Helper()
	log, err := os.CreateTemp(c.t.TempDir(), p.name)
	require.NoError(c.t, err)
	p.cmd = exec.Command(os.Args[0])
	p.cmd.Env = append(os.Environ(), argumentsEnv+"="+strings.Join(p.args, "\n"))
	p.cmd.Stderr, p.log = log, log
	p.ended = make(chan struct{})
	require.NoError(c.t, p.cmd.Start())
	ended, cmd := p.ended, p.cmd
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	c.t.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		<-ended
		c.checkLog(p.name, log.Name())
	})
}

// checkLog fails the test if an instance logged a violated invariant, a data race or a
// panic. It prints the log of a failed test in verbose mode.
func (c *cluster) checkLog(name, file string) {
	raw, _ := os.ReadFile(file)
	for _, line := range strings.Split(string(raw), "\n") {
		if strings.Contains(line, "invariant-lost") || strings.Contains(line, "DATA RACE") || strings.HasPrefix(line, "panic:") {
			c.t.Errorf("%s: %s", name, line)
		}
	}
	if c.t.Failed() && testing.Verbose() {
		c.t.Logf("log of %s:\n%s", name, raw)
	}
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the process with SIGKILL and waits until it has exited.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

func (c *cluster) waitReady(p *process) {
	c.t.Helper()
	require.Eventually(c.t, func() bool { return c.isReady(p) }, settleTimeout, 50*time.Millisecond, "%s is not ready", p.name)
}

func (c *cluster) isReady(p *process) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, p.url+"/ready", nil)
	resp, err := c.client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// isolate blocks or restores the connections between an instance and all others. Blocking
// with store also drops the instance's calls to the store; every other call restores its
// access to it.
func (c *cluster) isolate(p *process, store, cut bool) {
	for _, o := range c.processes {
		if o != p {
			o.peerProxy.setBlocked(p.ip, cut)
			p.peerProxy.setBlocked(o.ip, cut)
		}
	}
	c.filters[0].mu.Lock()
	defer c.filters[0].mu.Unlock()
	c.filters[0].blocked[p.ip] = cut && store
}

// block blocks or restores the calls of an instance to a worker.
func (c *cluster) block(p *process, worker string, blocked bool) {
	f := c.reach[worker]
	f.mu.Lock()
	defer f.mu.Unlock()
	f.blocked[p.ip] = blocked
}

// answer is the answer to an HTTP call. err is set if the call failed.
type answer struct {
	status  int
	outcome string
	body    string
	err     error
}

// do makes an HTTP call. header lists further headers as alternating names and values.
func (c *cluster) do(method, url, credential, id string, body []byte, header ...string) answer {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+credential)
	if id != "" {
		req.Header.Set("Request-Id", id)
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, outcome: resp.Header.Get("Outcome"), body: string(raw), err: err}
}

// mustPut declares a resource and returns its revision. It fails the test if the resource
// is refused.
func (c *cluster) mustPut(p *process, kind, name, spec string) int64 {
	c.t.Helper()
	a := c.put(p, kind, name, spec)
	require.Equal(c.t, http.StatusOK, a.status, "%s %s: %s %v", kind, name, a.body, a.err)
	var r struct {
		Revision int64 `json:"revision"`
	}
	require.NoError(c.t, json.Unmarshal([]byte(a.body), &r))
	return r.Revision
}

func (c *cluster) put(p *process, kind, name, spec string) answer {
	body := fmt.Sprintf("kind: %s\nname: %s\nspec: %s\n", kind, name, spec)
	return c.do(http.MethodPut, p.url+"/v1/resources/"+kind+"/"+name, operatorCredential, "", []byte(body))
}

// declareAccounts declares the accounts, kinds of work and callers that the tests use. It
// waits until every instance has applied them.
func (c *cluster) declareAccounts() {
	c.t.Helper()
	p := c.processes[0]
	plantsSpec := "{}"
	if len(c.workers) > 0 {
		plantsSpec = "{guarantees: [{domain: a, size: 8, count: 1}]}"
	}
	c.mustPut(p, "account", "plants", plantsSpec)
	c.mustPut(p, "account", "shops", "{}")
	c.mustPut(p, "work", "lookup", "{type: request, class: normal, idempotent: true, accounts: [plants, shops], timeout: 8000}")
	c.mustPut(p, "work", "backfill", "{type: request, class: normal, accounts: [plants, shops], timeout: 8000}")
	c.mustPut(p, "work", "reconcile", "{type: job, class: urgent, accounts: [plants, shops]}")
	c.mustPut(p, "work", "audit", "{type: job, class: batch, idempotent: true, preemptible: true, accounts: [plants, shops]}")
	c.mustPut(p, "caller", "plant", "{account: plants, role: caller, hash: "+hfaccount.Hash("plant-secret")+"}")
	lastRevision := c.mustPut(p, "caller", "shop", "{account: shops, role: caller, hash: "+hfaccount.Hash("shop-secret")+"}")
	for _, n := range c.processes {
		c.waitApplied(n, lastRevision)
	}
}

func (c *cluster) waitApplied(p *process, revision int64) {
	c.t.Helper()
	require.Eventually(c.t, func() bool { return c.isApplied(p, revision) }, settleTimeout, 50*time.Millisecond,
		"revision %d is not in force on %s", revision, p.name)
}

// isApplied reports whether an instance has applied a revision. It asks the instance itself
// and uses only the instance's own entry of the answer.
func (c *cluster) isApplied(p *process, revision int64) bool {
	a := c.do(http.MethodGet, p.url+"/v1/applied?revision="+strconv.FormatInt(revision, 10), operatorCredential, "", nil)
	var m map[string]bool
	return json.Unmarshal([]byte(a.body), &m) == nil && m[p.name]
}

// submit submits a job of domain a and returns the answer.
func (c *cluster) submit(p *process, credential, id, work string, size int, run time.Duration) answer {
	body := fmt.Sprintf(`{"id":%q,"work":%q,"size":%d,"run":%d,"domain":"a"}`, id, work, size, run.Milliseconds())
	return c.do(http.MethodPost, p.url+"/v1/jobs", credential, "", []byte(body))
}

func (c *cluster) jobState(p *process, credential, id string) string {
	a := c.do(http.MethodGet, p.url+"/v1/jobs/"+id, credential, "", nil)
	var r struct {
		Job struct {
			State string `json:"state"`
		} `json:"job"`
	}
	_ = json.Unmarshal([]byte(a.body), &r)
	return r.Job.State
}

func (c *cluster) waitJob(p *process, credential, id, state string) {
	c.t.Helper()
	reached := assert.Eventually(c.t, func() bool {
		return c.jobState(p, credential, id) == state
	}, settleTimeout, 100*time.Millisecond, "job %s does not become %s", id, state)
	if !reached {
		require.FailNow(c.t, c.do(http.MethodGet, p.url+"/v1/jobs/"+id+"?explain=1", operatorCredential, "", nil).body)
	}
}

// countAttempts returns the number of attempts of a job in which a member ran on a worker.
func (c *cluster) countAttempts(job string) int {
	seen := map[uint32]bool{}
	for _, w := range c.workers {
		for _, r := range w.Runs() {
			if r.Job == job {
				seen[r.Attempt] = true
			}
		}
	}
	return len(seen)
}

// runsAtOnce reports whether members of two attempts of a job ran at the same time.
func (c *cluster) runsAtOnce(job string) bool {
	var runs []hfstand.Run
	for _, w := range c.workers {
		for _, r := range w.Runs() {
			if r.Job == job {
				runs = append(runs, r)
			}
		}
	}
	for _, a := range runs {
		for _, b := range runs {
			if a.Attempt < b.Attempt && (a.To.IsZero() || b.From.Before(a.To)) {
				return true
			}
		}
	}
	return false
}

// leader waits until a live instance is the placement leader and returns it. All instances
// are in domain a.
func (c *cluster) leader() *process {
	c.t.Helper()
	var found *process
	require.Eventually(c.t, func() bool {
		for _, queried := range c.processes {
			a := c.do(http.MethodGet, queried.url+"/v1/status", operatorCredential, "", nil)
			var status struct {
				Instances []struct {
					Name  string   `json:"name"`
					Live  bool     `json:"live"`
					Leads []string `json:"leads"`
				} `json:"instances"`
			}
			if json.Unmarshal([]byte(a.body), &status) != nil {
				continue
			}
			for _, i := range status.Instances {
				for _, p := range c.processes {
					if p.name == i.Name && i.Live && len(i.Leads) > 0 {
						found = p
						return true
					}
				}
			}
		}
		return false
	}, settleTimeout, 100*time.Millisecond, "no instance is the placement leader")
	return found
}
