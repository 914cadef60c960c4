package hfsoak

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hfstand"
)

const (
	instanceCount         = 3
	rackCount             = 2
	workersPerRack        = 3
	acceleratorsPerWorker = 8
	callerKey             = "soak-key"
	maxAttempts           = 4    // of each task
	maxLeaseMS            = 4000 // longest lease of a task in milliseconds
	maxClockError         = 0.02 // by which the clock of a worker may be slow

	maxHoldUp = 5 * time.Second // of what is read from a connection of a proxy in mode "late"
)

// testEnv holds the fakes of the platform and the entry instances of one seed.
type testEnv struct {
	t             *testing.T
	dir           string
	binary        string
	store         *hfstand.Store
	runLog        *hfstand.RunLog
	workers       []*hfstand.PlatformWorker
	workerRacks   []string
	workerProxies []*faultProxy // by worker, between the instances and the worker
	instances     []*instance
	done          chan struct{}
	instanceIP    string // on which all instances listen

	mu          sync.Mutex
	jobProfiles map[string]hfstand.TaskProfile // by job id
}

// instance is an entry instance that runs as a process.
type instance struct {
	name       string
	front      string      // address that callers use
	readiness  string      // address of the readiness check
	settings   string      // path of the settings file
	storeProxy *faultProxy // between the instance and the store
	cmd        *exec.Cmd
	log        *os.File
}

// faultProxy is a TCP proxy on loopback whose connections can be delayed, reset, or blocked
// in one or both directions. Its clients are the instances.
type faultProxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	// mode is "" for no fault, "delay", "cut" (blocked in both directions), "inbound"
	// (blocked towards the client), "outbound" (blocked towards the target) or "late" (some of what is
	// read from a connection is held up, while the other connections go on).
	mode  string
	conns map[net.Conn]bool
}

func newFaultProxy(t *testing.T, target string) *faultProxy {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &faultProxy{listener: ln, target: target, conns: map[net.Conn]bool{}}
	t.Cleanup(func() { _ = ln.Close(); p.resetConns() })
	go func() {
		for {
			in, err := ln.Accept()
			if err != nil {
				return
			}
			go p.forward(in)
		}
	}()
	return p
}

func (p *faultProxy) address() string { return p.listener.Addr().String() }

func (p *faultProxy) setMode(mode string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
}

func (p *faultProxy) hasMode(modes ...string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range modes {
		if p.mode == m {
			return true
		}
	}
	return false
}

// resetConns closes all open connections with a TCP reset.
func (p *faultProxy) resetConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	clear(p.conns)
}

// forward connects to the target and copies bytes in both directions.
func (p *faultProxy) forward(in net.Conn) {
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = in.Close()
		return
	}
	p.mu.Lock()
	p.conns[in], p.conns[out] = true, true
	p.mu.Unlock()
	go p.copyBytes(out, in, "outbound")
	p.copyBytes(in, out, "inbound")
}

// copyBytes copies bytes in one direction. While that direction is blocked, it keeps the
// bytes and forwards them afterwards.
func (p *faultProxy) copyBytes(to, from net.Conn, direction string) {
	defer func() { _ = to.Close(); _ = from.Close() }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		for p.hasMode("cut", direction) {
			time.Sleep(10 * time.Millisecond)
		}
		if p.hasMode("late") && rand.IntN(2) == 0 {
			time.Sleep(rand.N(maxHoldUp))
		}
		if p.hasMode("delay") {
			time.Sleep(150 * time.Millisecond)
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// buildProgram builds the program once for all seeds and returns its path.
var buildProgram = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "hfsoak")
	if err != nil {
		return "", err
	}
	binary := filepath.Join(dir, "heatherfront")
	out, err := exec.Command("go", "build", "-o", binary, "..").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %w: %s", err, out)
	}
	return binary, nil
})

// newTestEnv starts the fakes and the instances. It does not wait until they are ready.
func newTestEnv(t *testing.T) *testEnv {
	t.Helper()
	binary, err := buildProgram()
	require.NoError(t, err)
	e := &testEnv{t: t, dir: t.TempDir(), binary: binary, store: hfstand.NewStore(), done: make(chan struct{}), jobProfiles: map[string]hfstand.TaskProfile{}}
	e.runLog = hfstand.NewRunLog(e.jobProfile)
	storeServer := httptest.NewServer(e.store.PlatformHandler())
	t.Cleanup(func() { storeServer.CloseClientConnections(); storeServer.Close() })
	require.NoError(t, e.store.Set("op/config", e.platformConfig(1)))
	for i := range rackCount * workersPerRack {
		w := hfstand.NewPlatformWorker(fmt.Sprintf("w%d", i), acceleratorsPerWorker, e.runLog)
		w.SetClock(1-maxClockError*float64(i%3)/2, maxLeaseMS*time.Millisecond)
		workerServer := httptest.NewUnstartedServer(w.Handler())
		workerServer.Config.ConnContext = w.ConnContext
		workerServer.Start()
		t.Cleanup(func() { workerServer.CloseClientConnections(); workerServer.Close() })
		go w.ExpireLeases(e.done)
		e.workers = append(e.workers, w)
		e.workerRacks = append(e.workerRacks, fmt.Sprintf("r%d", i/workersPerRack))
		e.workerProxies = append(e.workerProxies, newFaultProxy(t, workerServer.Listener.Addr().String()))
		e.registerWorker(i, false)
	}
	envNumber := envCount.Add(1)
	e.instanceIP = fmt.Sprintf("127.%d.%d.%d", 20+os.Getpid()%200, envNumber/200, envNumber%200+1)
	for i := range instanceCount {
		n := &instance{name: fmt.Sprintf("e%d", i), front: freePort(t, e.instanceIP), readiness: freePort(t, e.instanceIP), storeProxy: newFaultProxy(t, storeServer.Listener.Addr().String())}
		e.writeSettings(n)
		e.instances = append(e.instances, n)
		e.startInstance(n)
	}
	t.Cleanup(func() {
		close(e.done)
		for _, n := range e.instances {
			e.kill(n)
		}
	})
	return e
}

// envCount is the number of test environments in this process. Each one gets a different
// loopback address, so that an instance of one seed cannot take a port that freePort found
// for another seed that runs in parallel, most likely also in another process.
var envCount atomic.Int64

// freePort returns an address with a port that was free at the time of the call.
func freePort(t *testing.T, ip string) string {
	t.Helper()
	address, err := hfstand.FreeAddress(ip)
	require.NoError(t, err)
	return address
}

// platformConfig returns the configuration of queues and tenants as the platform stores it.
func (e *testEnv) platformConfig(version int) map[string]any {
	routes := []map[string]any{}
	for priority, name := range []string{"urgent", "usual", "spare"} {
		routes = append(routes, map[string]any{
			"name": name, "host": "jobs.example", "prefix": "/" + name + "/", "service": "pool", "priority": priority,
			"max_attempts": maxAttempts, "stretch_factor": 3, "slo_ms": 1000, "anonymous": false,
		})
	}
	return map[string]any{
		"version": version, "routes": routes, "services": []map[string]any{{"name": "pool"}},
		"limits":  map[string]int{"max_body_bytes": 1 << 18},
		"tenants": []map[string]any{{"name": "plants", "api_keys": []string{callerKey}, "guaranteed": map[string]int{"gpu": 24}}},
	}
}

// registerWorker stores the entry of a worker, whose address is that of its proxy.
func (e *testEnv) registerWorker(i int, draining bool) {
	entry := e.workers[i].Entry("pool", e.workerProxies[i].address(), "z", e.workerRacks[i], 128_000, 262_144, draining)
	require.NoError(e.t, e.store.Set("servers/"+e.workers[i].ID(), entry))
}

// jobProfile returns how the tasks of a job behave; a task id begins with the job id.
func (e *testEnv) jobProfile(task string) hfstand.TaskProfile {
	e.mu.Lock()
	defer e.mu.Unlock()
	profile := e.jobProfiles[strings.SplitN(task, ".", 2)[0]]
	profile.Crashes = profile.Crashes && strings.HasSuffix(task, ".0") // one task of a deadly job
	return profile
}

func (e *testEnv) writeSettings(n *instance) {
	n.settings = filepath.Join(e.dir, n.name+".json")
	raw, err := json.Marshal(map[string]any{
		"node_name": n.name, "ip": e.instanceIP, "zone": "z", "region": "r", "listen": map[string]string{"front": n.front, "readiness": n.readiness},
		"limits": map[string]any{"memory_mb": 284}, "heartbeat_ms": 1500,
		"bounds":   map[string]int{"hold_max_ms": maxLeaseMS, "gang_timeout_ms": 3000, "stop_ms": 200, "status_s": 120, "grace_s": 6},
		"platform": map[string]any{"address": n.storeProxy.address(), "ttl_min_ms": 1000},
	})
	require.NoError(e.t, err)
	require.NoError(e.t, os.WriteFile(n.settings, raw, 0o600))
}

// startInstance starts the process of an instance and appends its output to its log file.
func (e *testEnv) startInstance(n *instance) {
	log, err := os.OpenFile(filepath.Join(e.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(e.t, err)
	n.log = log
	n.cmd = exec.Command(e.binary, "entry", "--settings", n.settings)
	n.cmd.Stdout, n.cmd.Stderr = log, log
	require.NoError(e.t, n.cmd.Start())
}

// kill ends a process with SIGKILL. A frozen process is continued first.
func (e *testEnv) kill(n *instance) {
	if n.cmd == nil {
		return
	}
	_ = n.cmd.Process.Signal(syscall.SIGCONT)
	_ = n.cmd.Process.Kill()
	_ = n.cmd.Wait()
	_ = n.log.Close()
	n.cmd = nil
}

// terminate stops a process with SIGTERM and waits until it has exited.
func (e *testEnv) terminate(n *instance) {
	if n.cmd == nil {
		return
	}
	_ = n.cmd.Process.Signal(syscall.SIGTERM)
	_ = n.cmd.Wait()
	_ = n.log.Close()
	n.cmd = nil
}

// caller is the HTTP client of all seeds.
var caller = hfstand.NewCaller("jobs.example", callerKey, 3*time.Second)

// hastyCaller gives most calls up before their answers arrive, while the instances carry them out.
var hastyCaller = hfstand.NewCaller("jobs.example", callerKey, 4*time.Millisecond)

// call sends a request to an instance and returns the status and body of the answer. The
// status is 0 if there was no answer.
func call(n *instance, method, path string, body any) (int, string) {
	return callWith(caller, n, method, path, body)
}

func callWith(caller *hfstand.Caller, n *instance, method, path string, body any) (int, string) {
	var content io.Reader
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return 0, ""
		}
		content = strings.NewReader(string(raw))
	}
	status, answer, err := caller.Call(method, n.front, path, content)
	if err != nil {
		return 0, ""
	}
	return status, answer
}
