// Command stand-2 plays the cases of the second review: it serves stand-ins of the platform on
// loopback, starts the project's program as separate processes, plays one case and judges what the
// stand-ins have seen.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/heatherfront/heatherfront/hfstand"
)

// Bounds of the deployment, as in the site files of the pages.
const (
	holdMax      = 6 * time.Second
	heartbeat    = 1500 * time.Millisecond
	upkeepTime   = 2 * time.Second // maintenance_s
	loopback     = "127.0.0.1"
	service      = "pool"
	host         = "jobs.example"
	callerKey    = "review-key-1"
	callTimeout  = 3 * time.Second
	readyTimeout = 20 * time.Second
	fileMode     = 0o600
)

var errSetup = eris.New("the case could not run")

// world holds the stand-ins of the platform and the processes of one case.
type world struct {
	dir       string
	binary    string
	trouble   bool // false with TROUBLE=0
	begun     time.Time
	store     *hfstand.Store
	storeAddr string
	cloudAddr string
	runLog    *hfstand.RunLog
	stop      context.CancelFunc
	ctx       context.Context
	machines  *cloud

	mu       sync.Mutex
	record   *os.File
	profiles map[string]hfstand.TaskProfile // by job id
	entries  []*entry
	minions  []*minion
	servers  []*http.Server
}

// entry is an entry instance that runs as a process.
type entry struct {
	name, front, ready, settings string
	cmd                          *exec.Cmd
	log                          *os.File
}

// minion is one address at which a worker lives, crashes and returns.
type minion struct {
	world    *world
	worker   *hfstand.PlatformWorker
	address  string
	machine  string
	rack     string
	gpus     int64
	mu       sync.Mutex
	kind     string // the label of its kind, "a" if empty
	draining bool
	lives    int
}

// newWorld starts the store and the machine service. Its processes and servers end with close.
func newWorld(dir, binary string, trouble bool) (*world, error) {
	record, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	tmp, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, fmt.Errorf("temporary folder: %w", err)
	}
	w := &world{
		dir: tmp, binary: binary, trouble: trouble, begun: time.Now(), store: hfstand.NewStore(), record: record,
		profiles: map[string]hfstand.TaskProfile{}, machines: &cloud{machines: map[string]*machine{}},
	}
	w.ctx, w.stop = context.WithCancel(context.Background())
	w.runLog = hfstand.NewRunLog(w.profile)
	w.machines.world = w
	if w.storeAddr, err = w.serve(&http.Server{Handler: w.store.PlatformHandler(), ReadHeaderTimeout: callTimeout}, ""); err != nil {
		return nil, err
	}
	if w.cloudAddr, err = w.serve(&http.Server{Handler: w.machines.handler(), ReadHeaderTimeout: callTimeout}, ""); err != nil {
		return nil, err
	}
	return w, nil
}

// serve serves on a loopback address, a free one if address is "", and returns it.
func (w *world) serve(server *http.Server, address string) (string, error) {
	if address == "" {
		address = net.JoinHostPort(loopback, "0")
	}
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return "", fmt.Errorf("listen: %w", err)
	}
	w.servers = append(w.servers, server)
	go func() { _ = server.Serve(ln) }()
	return ln.Addr().String(), nil
}

// close ends everything that the case has started.
func (w *world) close() {
	w.stop()
	for _, e := range w.entries {
		w.kill(e)
	}
	for _, s := range w.servers {
		_ = s.Close()
	}
	_ = os.RemoveAll(w.dir)
	_ = w.record.Close()
}

// note writes a line to the record, with the seconds since the case began.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.begun).Seconds(), fmt.Sprintf(format, args...))
}

func (w *world) profile(task string) hfstand.TaskProfile {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.profiles[jobOf(task)]
}

func jobOf(task string) string {
	for i := range task {
		if task[i] == '.' {
			return task[:i]
		}
	}
	return task
}

// addMinion starts a minion with a number of accelerators on a machine.
func (w *world) addMinion(machine, rack string, gpus int64) (*minion, error) {
	m := &minion{world: w, machine: machine, rack: rack, gpus: gpus, lives: 1}
	m.worker = hfstand.NewPlatformWorker(machine+"-life-1", gpus, w.runLog)
	m.worker.SetClock(1, holdMax)
	address, err := w.serve(&http.Server{Handler: m.worker.Handler(), ConnContext: m.worker.ConnContext, ReadHeaderTimeout: callTimeout}, "")
	if err != nil {
		return nil, err
	}
	m.address = address
	w.minions = append(w.minions, m)
	w.machines.add(m)
	go m.worker.ExpireLeases(w.ctx.Done())
	go m.beat()
	return m, nil
}

// beat writes the entry of the minion at the heartbeat interval while it is up.
func (m *minion) beat() {
	t := time.NewTicker(heartbeat)
	defer t.Stop()
	for sequence := 1; ; sequence++ {
		m.register(sequence)
		select {
		case <-m.world.ctx.Done():
			return
		case <-t.C:
		}
	}
}

// setKind sets the label of the minion's kind.
func (m *minion) setKind(kind string) {
	m.mu.Lock()
	m.kind = kind
	m.mu.Unlock()
	m.register(1)
}

func (m *minion) register(sequence int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.worker.Down() {
		return
	}
	e := m.worker.Entry(service, m.address, "z", m.rack, 128_000, 262_144, m.draining)
	e["sequence"] = sequence
	if m.kind != "" {
		e["labels"] = []string{m.kind, m.rack}
	}
	_ = m.world.store.Set("servers/"+m.worker.ID(), e)
}

// crash ends the minion's process: it is back under a new id after a while. Its entry expires after
// three heartbeat intervals of silence.
func (m *minion) crash(down time.Duration, why string) {
	m.mu.Lock()
	old := m.worker.ID()
	m.worker.Crash()
	m.lives++
	life := m.lives
	m.mu.Unlock()
	m.world.machines.setState(m.machine, "down")
	m.world.note("minion %s: %s; all that it ran is gone", old, why)
	time.AfterFunc(3*heartbeat, func() { m.world.store.Delete("servers/" + old) })
	time.AfterFunc(down, func() {
		m.worker.Return(fmt.Sprintf("%s-life-%d", m.machine, life))
		m.world.machines.setState(m.machine, "up")
		m.world.note("minion %s: up at the same address", m.worker.ID())
		m.register(1)
	})
}

// startEntries writes the settings of instances and starts them.
func (w *world) startEntries(n int) error {
	for i := range n {
		e := &entry{name: fmt.Sprintf("edge-z-%d", i+1)}
		var err error
		if e.front, err = hfstand.FreeAddress(loopback); err != nil {
			return fmt.Errorf("free port: %w", err)
		}
		if e.ready, err = hfstand.FreeAddress(loopback); err != nil {
			return fmt.Errorf("free port: %w", err)
		}
		if err := w.writeSettings(e); err != nil {
			return err
		}
		w.entries = append(w.entries, e)
		if err := w.start(e); err != nil {
			return err
		}
	}
	return w.awaitReady()
}

func (w *world) writeSettings(e *entry) error {
	e.settings = filepath.Join(w.dir, e.name+".json")
	raw, err := json.Marshal(map[string]any{
		"node_name": e.name, "role": "entry", "ip": loopback, "zone": "z", "region": "r",
		"listen": map[string]string{"front": e.front, "readiness": e.ready},
		"limits": map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "link_mbps": 1000}, "heartbeat_ms": heartbeat.Milliseconds(),
		"bounds": map[string]any{
			"hold_max_ms": holdMax.Milliseconds(), "gang_timeout_ms": 3000, "stop_ms": 200, "status_s": 120, "grace_s": 6, "remote_factor": 3,
		},
		"platform": map[string]any{"address": w.storeAddr, "form": "kv", "ttl_min_ms": 1000},
		"cloud":    map[string]any{"address": w.cloudAddr, "rate_per_s": 60, "duty_per_s": 60},
	})
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if err := os.WriteFile(e.settings, raw, fileMode); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	return nil
}

// start starts the process of an instance with the command of the deploy file.
func (w *world) start(e *entry) error {
	log, err := os.OpenFile(filepath.Join(w.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return fmt.Errorf("log: %w", err)
	}
	e.log, e.cmd = log, exec.Command(w.binary, "entry")
	e.cmd.Env = append(os.Environ(), "HEATHERFRONT_SETTINGS="+e.settings)
	e.cmd.Stdout, e.cmd.Stderr = log, log
	if err := e.cmd.Start(); err != nil {
		return fmt.Errorf("start: %w", err)
	}
	w.note("started %s as process %d", e.name, e.cmd.Process.Pid)
	return nil
}

func (w *world) kill(e *entry) {
	if e.cmd == nil {
		return
	}
	_ = e.cmd.Process.Signal(syscall.SIGCONT)
	_ = e.cmd.Process.Kill()
	_ = e.cmd.Wait()
	_ = e.log.Close()
	e.cmd = nil
}

// awaitReady waits until all instances tell the balancer that they are ready.
func (w *world) awaitReady() error {
	for _, e := range w.entries {
		err := w.await("readiness of "+e.name, readyTimeout, func() bool {
			resp, err := http.Get("http://" + e.ready + "/v1/ready")
			if err != nil {
				return false
			}
			_ = resp.Body.Close()
			return resp.StatusCode == http.StatusOK
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// await polls a condition.
func (w *world) await(what string, limit time.Duration, done func() bool) error {
	for end := time.Now().Add(limit); ; time.Sleep(20 * time.Millisecond) {
		if done() {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%w: %s: not within %v", errSetup, what, limit)
		}
	}
}

// call sends a client's request to an instance. The status is 0 without an answer.
func (w *world) call(e *entry, method, path string, body any) (int, string) {
	var content io.Reader
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return 0, ""
		}
		content = bytes.NewReader(raw)
	}
	ctx, cancel := context.WithTimeout(w.ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+e.front+path, content)
	if err != nil {
		return 0, ""
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Heatherfront-Key", callerKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(raw)
}

// setProfile sets how the tasks of a job behave on minions that start them from now on.
func (w *world) setProfile(id string, p hfstand.TaskProfile) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.profiles[id] = p
}

// handIn hands a job in until it is accepted.
func (w *world) handIn(prefix, id string, job any) error {
	for i := range 20 {
		status, body := w.call(w.entries[i%len(w.entries)], http.MethodPost, prefix+id, job)
		w.note("client: POST %s%s at %s -> %d %s", prefix, id, w.entries[i%len(w.entries)].name, status, body)
		if status == http.StatusOK {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("%w: job %s was not accepted", errSetup, id)
}

// state returns what an instance says of a job: its state, or the status of the answer.
func (w *world) state(e *entry, prefix, id string) string {
	status, body := w.call(e, http.MethodGet, prefix+id, nil)
	var answer struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal([]byte(body), &answer) != nil {
		return fmt.Sprint(status)
	}
	return answer.State
}

// noteRuns writes all runs on the minions to the record.
func (w *world) noteRuns() {
	for _, s := range w.runLog.Starts() {
		ended := "-"
		if !s.EndedAt.IsZero() {
			ended = fmt.Sprintf("%.3f", s.EndedAt.Sub(w.begun).Seconds())
		}
		w.note("run: task %s run %d on %s, began %.3f, ended %s %s", s.Task, s.Run, s.Worker, s.StartedAt.Sub(w.begun).Seconds(), ended, s.Outcome)
	}
}

// keepLogs copies the logs of the instances to a folder, for those who look into a case.
func (w *world) keepLogs(dir string) error {
	if dir == "" {
		return nil
	}
	for _, e := range w.entries {
		raw, err := os.ReadFile(filepath.Join(w.dir, e.name+".log"))
		if err != nil {
			return fmt.Errorf("logs: %w", err)
		}
		if err := os.WriteFile(filepath.Join(dir, e.name+".log"), raw, fileMode); err != nil {
			return fmt.Errorf("logs: %w", err)
		}
	}
	return nil
}

// config stores a version of the operators' configuration.
func (w *world) config(version int, routes []map[string]any, tenants []map[string]any) error {
	err := w.store.Set("op/config", map[string]any{
		"version": version, "routes": routes, "services": []map[string]any{{"name": service, "admission_check": false, "spare": false}},
		"limits": map[string]int{"max_body_bytes": 1 << 18}, "tenants": tenants,
	})
	if err != nil {
		return fmt.Errorf("config: %w", err)
	}
	w.note("operator: stored version %d of the configuration", version)
	return nil
}

func route(name string, priority, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "prefix": "/" + name + "/", "service": service, "priority": priority, "route_type": "non_idempotent",
		"timeout_ms": 3000, "max_attempts": attempts, "stretch_factor": 3, "slo_ms": 3000, "anonymous": false,
	}
}

func tenant(name string, gpus int, keys ...string) map[string]any {
	return map[string]any{"name": name, "api_keys": keys, "guaranteed": map[string]int{"gpu": gpus}}
}

// oneTaskJob is a job of one task with a number of GPUs and an estimate in milliseconds.
func oneTaskJob(gpus, estimate int) map[string]any {
	return map[string]any{"spec": "review", "steps": []map[string]any{{"count": 1, "cpu": 15000, "mem_mb": 22000, "gpu": gpus, "estimate_ms": estimate}}}
}

var errBroken = eris.New("the rule was broken")

func isBroken(err error) bool { return errors.Is(err, errBroken) }
