package hfcrowd

import (
	"bufio"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hfaccount"
	"github.com/heatherfront/heatherfront/hfkey"
	"github.com/heatherfront/heatherfront/hfstand"
	"github.com/heatherfront/heatherfront/hfwire"
	"github.com/heatherfront/heatherfront/hfwork"
)

// The bounds and the settings of the processes are fixed with the crowds.
const (
	entryMemoryMB = 96  // limits.memory_mb in the settings of entry
	wideMemoryMB  = 160 // the same, of an instance whose collector may run less often
	serveMemoryMB = 128 // memory of a node for control (CONTRIBUTING.md); HEATHERFRONT_MEMORY of serve

	manySockets = 1024 // descriptors of a process whose crowd needs fewer
	fewSockets  = 200  // descriptors of a process whose crowd wants more
	allSockets  = 3900 // descriptors of an instance of entry on the operators' machines
	fileReserve = 200  // of limits.max_fds, kept for files by the platform (DEPLOY.md)

	logTail        = 2000                  // bytes of the log that are shown after a failure
	settleTimeout  = 20 * time.Second      // for what must hold eventually, also on a loaded machine
	sampleInterval = 20 * time.Millisecond // between measurements of a process

	otherName    = "e1"              // another instance, which the membership lists
	otherAddress = "127.0.0.9:15000" // of that instance, which listens nowhere

	callerKey      = "crowd-key"
	crowdAccount   = "crowd" // of clients that hand in jobs without end
	crowdKey       = "other-key"
	operatorSecret = "operator-secret"
	callerSecret   = "caller-secret"
	crowdSecret    = "crowd-secret" // of a caller that hands in jobs without end
)

// target is a process under test, which was started with the system's own command.
type target struct {
	t        *testing.T
	name     string
	front    string // address that callers use
	peer     string // address that other instances use
	ready    string // URL of the readiness check
	checks   string // address of the readiness check
	post     string // request line of a submission, with headers, up to those of the body
	get      string // a whole request without a body
	maxBody  int    // legal size of a body in bytes
	memoryMB int64  // that the settings name
	sockets  int    // limit of descriptors
	ordinary func() error
	call     func(method, path, credential, body string) error // of serve
	store    *hfstand.Store
	members  *hfstand.Members // of serve
	gate     *gate            // before the store
	payload  payload

	cmd   *exec.Cmd
	ended chan struct{} // closed when the process has exited
	done  chan struct{} // closed when the measurements end

	sampling    sync.WaitGroup
	peakFDs     atomic.Int64
	peakHeld    atomic.Int64 // bytes resident and received but not read yet
	peakUnread  atomic.Int64 // bytes received but not read yet
	logFileName string
	keys        *hfkey.Keys     // of another instance; nil without TLS
	certificate tls.Certificate // of the same
	stdout      *os.File        // standard output, if not with standard error in the file of the log
}

// buildProgram builds the program once, without the race detector, whose memory would count.
var buildProgram = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "hfcrowd")
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

func serveHTTP(t *testing.T, h http.Handler) string {
	s := httptest.NewServer(h)
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return s.Listener.Addr().String()
}

func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := hfstand.FreeAddress("127.0.0.1")
	require.NoError(t, err)
	return address
}

// freePorts returns two ports in a row of 127.0.0.1 on which nothing listens.
func freePorts(t *testing.T) (first, second int) {
	t.Helper()
	for range 100 {
		if first, second = freePort(t), freePort(t); second == first+1 {
			return first, second
		}
	}
	require.Fail(t, "no free ports")
	return 0, 0
}

func freePort(t *testing.T) int {
	t.Helper()
	_, text, err := net.SplitHostPort(freeAddress(t))
	require.NoError(t, err)
	port, err := strconv.Atoi(text)
	require.NoError(t, err)
	return port
}

// start starts the process with a limit of descriptors and measures it until the test ends.
func (p *target) start(environment []string, args ...string) {
	t := p.t
	t.Helper()
	binary, err := buildProgram()
	require.NoError(t, err)
	log, err := os.Create(filepath.Join(t.TempDir(), "log"))
	require.NoError(t, err)
	p.logFileName = log.Name()
	// The shell only sets the limit; exec keeps its process id.
	p.cmd = exec.Command("/bin/sh", append([]string{"-c", "ulimit -n " + strconv.Itoa(p.sockets) + ` && exec "$0" "$@"`, binary}, args...)...)
	p.cmd.Env = append(os.Environ(), environment...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if p.stdout != nil {
		p.cmd.Stdout = p.stdout
	}
	p.ended, p.done = make(chan struct{}), make(chan struct{})
	require.NoError(t, p.cmd.Start())
	go func() { _ = p.cmd.Wait(); close(p.ended) }()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.ended
		_ = log.Close()
		raw, _ := os.ReadFile(p.logFileName)
		if t.Failed() {
			t.Logf("end of the log: %s", raw[max(len(raw)-logTail, 0):])
		}
		for _, line := range strings.Split(string(raw), "\n") {
			if strings.Contains(line, "invariant-lost") || strings.HasPrefix(line, "panic:") || strings.HasPrefix(line, "fatal error:") {
				t.Errorf("%s: %s", p.name, line)
			}
		}
	})
	require.Eventually(t, func() bool { return p.isReady() }, settleTimeout, 20*time.Millisecond, "%s is not ready", p.name)
	require.Eventually(t, func() bool { return p.ordinary() == nil }, settleTimeout, 20*time.Millisecond, "%s serves nothing in calm", p.name)
	p.sampling.Go(func() {
		for {
			select {
			case <-p.done:
				return
			case <-time.After(sampleInterval):
				p.sample()
			}
		}
	})
}

// newClient returns a client that uses each connection once and believes every certificate.
func newClient(timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true, TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}}
}

func (p *target) isReady() bool {
	client := newClient(time.Second)
	resp, err := client.Get(p.ready)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func raise(peak *atomic.Int64, value int64) {
	if value > peak.Load() {
		peak.Store(value)
	}
}

// sample measures the process.
func (p *target) sample() {
	if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid)); err == nil {
		raise(&p.peakFDs, int64(len(entries)))
	}
	unread := unreadBytes(p.front) + unreadBytes(p.peer)
	if p.checks != p.front {
		unread += unreadBytes(p.checks)
	}
	raise(&p.peakUnread, unread)
	raise(&p.peakHeld, p.statusBytes("VmRSS")+unread)
}

// statusBytes returns a figure of the process's memory, or 0 if it has ended.
func (p *target) statusBytes(name string) int64 {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	for _, line := range strings.Split(string(raw), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == name+":" {
			kb, _ := strconv.ParseInt(fields[1], 10, 64)
			return kb << 10
		}
	}
	return 0
}

// unreadBytes returns the bytes that connections to a local address have received and that the process
// has not read.
func unreadBytes(address string) int64 {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer func() { _ = file.Close() }()
	_, port, _ := net.SplitHostPort(address)
	number, _ := strconv.Atoi(port)
	suffix := fmt.Sprintf(":%04X", number)
	const established, queues = "01", 4 // columns of the file
	var sum int64
	for scanner := bufio.NewScanner(file); scanner.Scan(); {
		fields := strings.Fields(scanner.Text())
		if len(fields) <= queues || !strings.HasSuffix(fields[1], suffix) || fields[3] != established {
			continue
		}
		_, unread, _ := strings.Cut(fields[queues], ":")
		n, _ := strconv.ParseInt(unread, 16, 64)
		sum += n
	}
	return sum
}

// check checks that the process lives, has kept to its limits and answers an ordinary request, while the
// crowd still holds its connections open.
func (p *target) check() {
	t := p.t
	t.Helper()
	var err error
	answered := false
	for end := time.Now().Add(settleTimeout); !answered && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		err = p.ordinary()
		answered = err == nil
	}
	ready := p.isReady()
	close(p.done)
	p.sampling.Wait()
	p.sample()
	peak := p.statusBytes("VmHWM")
	const mb = 1 << 20
	t.Logf("%s: peak memory %d MB, with unread bytes %d MB (%d MB unread) of %d MB; descriptors %d of %d; answered %v, ready %v",
		p.name, peak/mb, p.peakHeld.Load()/mb, p.peakUnread.Load()/mb, p.memoryMB, p.peakFDs.Load(), p.sockets, answered, ready)
	select {
	case <-p.ended:
		t.Errorf("%s ended", p.name)
		return
	default:
	}
	if !answered {
		t.Errorf("%s answers no ordinary request: %v", p.name, err)
	}
	if !ready {
		t.Errorf("%s is not ready", p.name)
	}
	if max(peak, p.peakHeld.Load()) > p.memoryMB*mb {
		t.Errorf("%s exceeded its memory", p.name)
	}
	// A quarter stays free for what the system itself opens.
	if p.peakFDs.Load() > int64(p.sockets)*3/4 {
		t.Errorf("%s took more than three quarters of its descriptors", p.name)
	}
}

// gate is before a server, which gives no answer while it is shut.
type gate struct {
	mu   sync.Mutex
	open chan struct{} // closed unless the gate is shut
}

func newGate() *gate {
	g := &gate{open: make(chan struct{})}
	close(g.open)
	return g
}

// shut shuts the gate until the function that it returns is called.
func (g *gate) shut() (open func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	opened := make(chan struct{})
	g.open = opened
	return func() { close(opened) }
}

// handler returns a handler that calls next for requests that the gate lets through.
func (g *gate) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.mu.Lock()
		open := g.open
		g.mu.Unlock()
		select {
		case <-open:
			next.ServeHTTP(w, r)
		case <-r.Context().Done():
		}
	})
}

// startEntry starts one entry instance of the operators' platform.
func startEntry(t *testing.T, sockets int) *target {
	t.Helper()
	return startEntryWith(t, sockets, func(*target) {})
}

// startEntryWith is startEntry with what prepare changes before the process starts.
func startEntryWith(t *testing.T, sockets int, prepare func(*target)) *target {
	t.Helper()
	store := hfstand.NewStore()
	require.NoError(t, store.Set("op/config", map[string]any{
		"version": 1, "services": []map[string]any{{"name": "pool"}}, "limits": map[string]int{"max_body_bytes": 1 << 18},
		"routes": []map[string]any{{
			"name": "usual", "host": "jobs.example", "prefix": "/usual/", "service": "pool", "priority": 1,
			"max_attempts": 4, "stretch_factor": 3, "slo_ms": 1000, "anonymous": false,
		}},
		"tenants": []map[string]any{{"name": "plants", "api_keys": []string{callerKey}}, {"name": crowdAccount, "api_keys": []string{crowdKey}}},
	}))
	otherInstance, err := hfwire.Encode(&hfwork.Instance{Name: otherName, Address: otherAddress, Domain: "z", Region: "r", Noted: time.Now().UnixMilli()})
	require.NoError(t, err)
	store.SetBytes("hf/peer/"+otherName, otherInstance)
	metricsPort, peerPort := freePorts(t)
	p := &target{t: t, name: "entry", front: freeAddress(t), maxBody: 1 << 18, memoryMB: entryMemoryMB, sockets: sockets, store: store, gate: newGate()}
	p.peer = net.JoinHostPort("127.0.0.1", strconv.Itoa(peerPort))
	readiness := freeAddress(t)
	p.ready, p.checks = "http://"+readiness+"/v1/ready", readiness
	// %016x in the path stands for the id of the job.
	p.post = "POST /usual/%016x HTTP/1.1\r\nHost: jobs.example\r\nHeatherfront-Key: " + callerKey + "\r\nContent-Type: application/json\r\n"
	p.get = "GET /usual/ HTTP/1.1\r\nHost: jobs.example\r\nHeatherfront-Key: " + callerKey + "\r\n\r\n"
	prepare(p)
	settings := filepath.Join(t.TempDir(), "settings.json")
	raw, err := json.Marshal(map[string]any{
		"node_name": "e0", "ip": "127.0.0.1", "zone": "z", "region": "r", "listen": map[string]string{"front": p.front, "readiness": readiness},
		"internal_ports": []int{metricsPort, peerPort},
		"limits":         map[string]any{"memory_mb": p.memoryMB, "max_fds": sockets + fileReserve}, "heartbeat_ms": 1500,
		"bounds":   map[string]int{"hold_max_ms": 4000, "gang_timeout_ms": 3000, "stop_ms": 200, "status_s": 120, "grace_s": 6},
		"platform": map[string]any{"address": serveHTTP(t, p.gate.handler(store.PlatformHandler())), "ttl_min_ms": 1000},
	})
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(settings, raw, 0o600))
	caller := hfstand.NewCaller("jobs.example", callerKey, 3*time.Second)
	var calls atomic.Int64
	p.ordinary = func() error {
		id := fmt.Sprintf("/usual/%016x", 0xabc0000+calls.Add(1))
		status, answer, err := caller.Call(http.MethodPost, p.front, id, strings.NewReader(`{"spec":"x","steps":[{"count":1,"cpu":1,"mem_mb":1}]}`))
		if err != nil {
			return fmt.Errorf("submit: %w", err)
		}
		if status != http.StatusOK {
			return fmt.Errorf("status %d: %s", status, answer)
		}
		return nil
	}
	p.start(nil, "entry", "--settings", settings)
	return p
}

// startServe starts one instance of serve, with an endpoint.
func startServe(t *testing.T, sockets int) *target {
	t.Helper()
	return startServeWith(t, sockets, "http")
}

// startSealedServe is startServe under TLS.
func startSealedServe(t *testing.T, sockets int) *target {
	t.Helper()
	authority, err := hfstand.NewAuthority()
	require.NoError(t, err)
	dir := t.TempDir()
	cert, key, root, err := authority.Issue(dir, "e0", 2)
	require.NoError(t, err)
	p := startServeWith(t, sockets, "https", "--tls-certificate", cert, "--tls-key", key, "--tls-authority", root)
	cert, key, root, err = authority.Issue(dir, otherName, 3)
	require.NoError(t, err)
	p.keys, err = hfkey.New(cert, key, root)
	require.NoError(t, err)
	p.certificate, err = tls.LoadX509KeyPair(cert, key)
	require.NoError(t, err)
	return p
}

// startServeWith is startServe with a scheme and further arguments.
func startServeWith(t *testing.T, sockets int, scheme string, arguments ...string) *target {
	t.Helper()
	store, members, minion := hfstand.NewStore(), hfstand.NewMembers(), hfstand.NewMinion("m0", 8)
	peer := freeAddress(t)
	p := &target{t: t, name: "serve", front: freeAddress(t), peer: peer, store: store, members: members, maxBody: 1 << 20, memoryMB: serveMemoryMB, sockets: sockets}
	p.ready, p.checks = scheme+"://"+p.front+"/ready", p.front
	p.post = "POST /v1/requests/lookup?%x HTTP/1.1\r\nHost: instance.example\r\nAuthorization: Bearer plant:" + callerSecret + "\r\n"
	p.get = "GET /metrics HTTP/1.1\r\nHost: instance.example\r\n\r\n"
	members.Set(hfstand.Member{Name: "e0", Role: "instance", Address: peer, Domain: "a", Region: "one", State: "live"})
	members.Set(hfstand.Member{Name: otherName, Role: "instance", Address: otherAddress, Domain: "a", Region: "one", State: "live"})
	members.Set(hfstand.Member{Name: "m0", Role: "minion", Address: serveHTTP(t, minion.Handler()), Domain: "a", Region: "one", Slots: 8, State: "live"})
	client := newClient(5 * time.Second)
	p.call = func(method, path, credential, body string) error {
		req, err := http.NewRequest(method, scheme+"://"+p.front+path, strings.NewReader(body))
		if err != nil {
			return err
		}
		req.Header.Set("Authorization", "Bearer "+credential)
		resp, err := client.Do(req)
		if err != nil {
			return err
		}
		defer func() { _ = resp.Body.Close() }()
		if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusAccepted {
			return fmt.Errorf("status %d", resp.StatusCode)
		}
		return nil
	}
	declared := false
	p.ordinary = func() error {
		if !declared {
			for kind, body := range map[string]string{
				"account/plants": "kind: account\nname: plants\nspec: {}\n",
				"account/crowd":  "kind: account\nname: crowd\nspec: {}\n",
				"work/train":     "kind: work\nname: train\nspec: {type: job, class: batch, idempotent: true, preemptible: true, accounts: [plants, crowd]}\n",
				"caller/crowd":   "kind: caller\nname: crowd\nspec: {account: crowd, role: caller, hash: " + hfaccount.Hash(crowdSecret) + "}\n",
				"work/lookup":    "kind: work\nname: lookup\nspec: {type: request, class: normal, idempotent: true, accounts: [plants], timeout: 8000}\n",
				"caller/plant":   "kind: caller\nname: plant\nspec: {account: plants, role: caller, hash: " + hfaccount.Hash(callerSecret) + "}\n",
			} {
				if err := p.call(http.MethodPut, "/v1/resources/"+kind, "root:"+operatorSecret, body); err != nil {
					return err
				}
			}
			declared = true
		}
		return p.call(http.MethodPost, "/v1/requests/lookup", "plant:"+callerSecret, "price")
	}
	p.start([]string{"HEATHERFRONT_MEMORY=" + strconv.Itoa(serveMemoryMB)},
		append([]string{
			"serve", "--name", "e0", "--domain", "a", "--region", "one", "--listen", p.front, "--peer", peer,
			"--store-url", "http://" + serveHTTP(t, store.Handler()), "--members-url", "http://" + serveHTTP(t, members.Handler()),
			"--operator-hash", hfaccount.Hash(operatorSecret), "--max-body", strconv.Itoa(p.maxBody),
			"--lease", "8s", "--poll", "500ms", "--beat", "250ms", "--check", "250ms", "--suspect", "2s",
		}, arguments...)...)
	return p
}
