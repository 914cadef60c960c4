package hfsoak

import (
	"encoding/json"
	"fmt"
	"io"
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
	instances    = 3
	racks        = 2
	perRack      = 3
	accelerators = 8
	key          = "soak-key"
	leaseMS      = 4000 // longest lease of a task
)

// yard is a platform of stand-ins with entry instances as processes.
type yard struct {
	t       *testing.T
	dir     string
	binary  string
	store   *hfstand.Store
	ledger  *hfstand.Ledger
	runners []*hfstand.Runner
	racks   []string
	ways    []*way // to the runners
	nodes   []*node
	done    chan struct{}
	ip      string // of the instances

	mu     sync.Mutex
	shapes map[string]hfstand.RunShape // by job
}

// node is one entry instance.
type node struct {
	name     string
	front    string
	ready    string
	settings string
	way      *way // to the store
	cmd      *exec.Cmd
	log      *os.File
}

// way is a loopback proxy whose connections can be delayed, reset, cut or silenced one
// way.
type way struct {
	ln     net.Listener
	target string
	mu     sync.Mutex
	mode   string // "", "delay", "cut", "inbound", "outbound"
	conns  map[net.Conn]bool
}

func newWay(t *testing.T, target string) *way {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	w := &way{ln: ln, target: target, conns: map[net.Conn]bool{}}
	t.Cleanup(func() { _ = ln.Close(); w.reset() })
	go func() {
		for {
			in, err := ln.Accept()
			if err != nil {
				return
			}
			go w.pass(in)
		}
	}()
	return w
}

func (w *way) address() string { return w.ln.Addr().String() }

func (w *way) set(mode string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.mode = mode
}

func (w *way) is(modes ...string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range modes {
		if w.mode == m {
			return true
		}
	}
	return false
}

// reset ends all open connections.
func (w *way) reset() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	clear(w.conns)
}

func (w *way) pass(in net.Conn) {
	out, err := net.Dial("tcp", w.target)
	if err != nil {
		_ = in.Close()
		return
	}
	w.mu.Lock()
	w.conns[in], w.conns[out] = true, true
	w.mu.Unlock()
	go w.copy(out, in, "outbound")
	w.copy(in, out, "inbound")
}

// copy passes bytes on. Bytes that meet a cut wait until it is over.
func (w *way) copy(to, from net.Conn, direction string) {
	defer func() { _ = to.Close(); _ = from.Close() }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		for w.is("cut", direction) {
			time.Sleep(10 * time.Millisecond)
		}
		if w.is("delay") {
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

// program builds the program once for all yards.
var program = sync.OnceValues(func() (string, error) {
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

func newYard(t *testing.T) *yard {
	t.Helper()
	binary, err := program()
	require.NoError(t, err)
	y := &yard{t: t, dir: t.TempDir(), binary: binary, store: hfstand.NewStore(), done: make(chan struct{}), shapes: map[string]hfstand.RunShape{}}
	y.ledger = hfstand.NewLedger(y.shape)
	store := httptest.NewServer(y.store.PlatformHandler())
	t.Cleanup(func() { store.CloseClientConnections(); store.Close() })
	require.NoError(t, y.store.Set("op/config", y.config(1)))
	for i := range racks * perRack {
		r := hfstand.NewRunner(fmt.Sprintf("w%d", i), accelerators, y.ledger)
		server := httptest.NewServer(r.Handler())
		t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
		go r.Watch(y.done)
		y.runners = append(y.runners, r)
		y.racks = append(y.racks, fmt.Sprintf("r%d", i/perRack))
		y.ways = append(y.ways, newWay(t, server.Listener.Addr().String()))
		y.register(i, false)
	}
	count := yards.Add(1)
	y.ip = fmt.Sprintf("127.20.%d.%d", count/200, count%200+1)
	for i := range instances {
		n := &node{name: fmt.Sprintf("e%d", i), front: freePort(t, y.ip), ready: freePort(t, y.ip), way: newWay(t, store.Listener.Addr().String())}
		y.writeSettings(n)
		y.nodes = append(y.nodes, n)
		y.startNode(n)
	}
	t.Cleanup(func() {
		close(y.done)
		for _, n := range y.nodes {
			y.kill(n)
		}
	})
	return y
}

// yards counts the yards of this process, so that each has an address of its own: a port
// that is free now is then not taken by another yard.
var yards atomic.Int64

func freePort(t *testing.T, ip string) string {
	t.Helper()
	ln, err := net.Listen("tcp", ip+":0")
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

func (y *yard) config(version int) map[string]any {
	routes := []map[string]any{}
	for p, name := range []string{"urgent", "usual", "spare"} {
		routes = append(routes, map[string]any{
			"name": name, "host": "jobs.example", "prefix": "/" + name + "/", "service": "pool", "priority": p,
			"max_attempts": 4, "stretch_factor": 3, "slo_ms": 1000, "anonymous": false,
		})
	}
	return map[string]any{
		"version": version, "routes": routes, "services": []map[string]any{{"name": "pool"}},
		"limits":  map[string]int{"max_body_bytes": 1 << 18},
		"tenants": []map[string]any{{"name": "plants", "api_keys": []string{key}, "guaranteed": map[string]int{"gpu": 24}}},
	}
}

func (y *yard) register(i int, draining bool) {
	entry := y.runners[i].Entry("pool", y.ways[i].address(), "z", y.racks[i], 128_000, 262_144, draining)
	require.NoError(y.t, y.store.Set(fmt.Sprintf("servers/w%d", i), entry))
}

func (y *yard) shape(task string) hfstand.RunShape {
	y.mu.Lock()
	defer y.mu.Unlock()
	return y.shapes[strings.SplitN(task, ".", 2)[0]]
}

func (y *yard) writeSettings(n *node) {
	n.settings = filepath.Join(y.dir, n.name+".json")
	raw, err := json.Marshal(map[string]any{
		"node_name": n.name, "ip": y.ip, "zone": "z", "region": "r", "listen": map[string]string{"front": n.front, "readiness": n.ready},
		"limits": map[string]any{"memory_mb": 284}, "heartbeat_ms": 1500,
		"bounds":   map[string]int{"hold_max_ms": leaseMS, "gang_timeout_ms": 3000, "stop_ms": 200, "status_s": 120, "grace_s": 6},
		"platform": map[string]any{"address": n.way.address(), "ttl_min_ms": 1000},
	})
	require.NoError(y.t, err)
	require.NoError(y.t, os.WriteFile(n.settings, raw, 0o600))
}

// startNode starts a process. Its log goes to the directory of the seeds' logs.
func (y *yard) startNode(n *node) {
	log, err := os.OpenFile(filepath.Join(y.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(y.t, err)
	n.log = log
	n.cmd = exec.Command(y.binary, "entry", "--settings", n.settings)
	n.cmd.Stdout, n.cmd.Stderr = log, log
	require.NoError(y.t, n.cmd.Start())
}

func (y *yard) kill(n *node) {
	if n.cmd == nil {
		return
	}
	_ = n.cmd.Process.Signal(syscall.SIGCONT)
	_ = n.cmd.Process.Kill()
	_ = n.cmd.Wait()
	_ = n.log.Close()
	n.cmd = nil
}

// terminate stops a process as planned.
func (y *yard) terminate(n *node) {
	if n.cmd == nil {
		return
	}
	_ = n.cmd.Process.Signal(syscall.SIGTERM)
	_ = n.cmd.Wait()
	_ = n.log.Close()
	n.cmd = nil
}

// caller is the one caller of all seeds.
var caller = hfstand.NewCaller("jobs.example", key, 3*time.Second)

// call sends a request to an instance and returns its status and body, 0 without an
// answer.
func call(n *node, method, path string, body any) (int, string) {
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
