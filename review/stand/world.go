package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/heatherfront/heatherfront/hfstand"
)

// boundsOf returns the bounds in the settings of a site.
func boundsOf(site string) map[string]any {
	b := map[string]any{
		"contact_ms": 3000, "ack_ms": 4000, "grace_s": 6, "config_apply_ms": 2500, "hold_max_ms": 6000, "stop_ms": 200, "gang_timeout_ms": 3000,
		"cancel_ms": 3000, "visible_ms": 3000, "finish_s": 14, "status_s": 120, "lease_ms": 3000,
	}
	if site == "abialog-grown" {
		maps.Copy(b, map[string]any{"contact_ms": 4000, "ack_ms": 6000, "config_apply_ms": 4000, "gang_timeout_ms": 4000, "cancel_ms": 4000})
	}
	return b
}

const (
	heartbeat     = 1500 * time.Millisecond
	entryExpiry   = 3 * heartbeat // of the entry of a silent worker
	maxLease      = 6 * time.Second
	workersARack  = 8
	acceleratorsN = 8
	maxKeyBytes   = 200 // of a key in the store
	callTimeout   = 3 * time.Second
	host          = "jobs.example"
	service       = "injlog"
)

// errCannotRun reports that a case could not be played.
var errCannotRun = errors.New("the case cannot run")

// world is a small deployment: the platform's store, workers, and entry instances as processes.
type world struct {
	dir       string
	ip        string
	began     time.Time
	record    *os.File
	recordMu  sync.Mutex
	store     *hfstand.Store
	storeAddr string
	late      lateWrites
	bounds    map[string]any
	runLog    *hfstand.RunLog
	workers   []*worker
	instances []*instance
	done      chan struct{}

	// The locks are taken before those of a worker, but for profilesMu, which a worker takes.
	profilesMu sync.Mutex
	profiles   map[string]hfstand.TaskProfile // by job
	runsMu     sync.Mutex
	reported   int          // starts that are in the record
	ended      map[int]bool // starts whose end is in the record
	entriesMu  sync.Mutex   // guards the fields of the workers
}

// worker is a stand-in of a minion on its address.
type worker struct {
	*hfstand.PlatformWorker
	address, zone, rack string
	lives               int
	sequence            int
	crashedAt           time.Time
}

// instance is one entry process.
type instance struct {
	name, front, readiness, settings string
	cmd                              *exec.Cmd
	log                              *os.File
}

// newWorld starts the stand-ins.
func newWorld(out string, workers int, bounds map[string]any) (*world, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errCannotRun, err)
	}
	record, err := os.Create(filepath.Join(out, "record.txt"))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errCannotRun, err)
	}
	w := &world{
		dir: dir, ip: fmt.Sprintf("127.%d.%d.%d", 30+rand.IntN(200), rand.IntN(250)+1, rand.IntN(250)+1), began: time.Now(), record: record,
		store: hfstand.NewStore(), done: make(chan struct{}), profiles: map[string]hfstand.TaskProfile{}, ended: map[int]bool{}, bounds: bounds,
	}
	w.runLog = hfstand.NewRunLog(w.profile)
	if w.storeAddr, err = w.serve(w.platformStore(w.store.PlatformHandler()), nil); err != nil {
		return nil, err
	}
	zones := []string{"marmara-a", "icanadolu-a", "ege-a"}
	for i := range workers {
		p := hfstand.NewPlatformWorker(fmt.Sprintf("i-%08x", rand.Uint32()), acceleratorsN, w.runLog)
		p.SetClock(1, maxLease)
		m := &worker{PlatformWorker: p, zone: zones[i/workersARack%len(zones)], rack: fmt.Sprintf("r%d", i/workersARack), lives: 1}
		if m.address, err = w.serve(p.Handler(), p.ConnContext); err != nil {
			return nil, err
		}
		w.workers = append(w.workers, m)
		go p.ExpireLeases(w.done)
		go w.beat(m)
	}
	go w.reportRuns()
	return w, nil
}

// lateWrites decides which transactions of the store get no answer and are carried out late.
type lateWrites struct {
	mu     sync.Mutex
	hits   func(keys []string) (delay time.Duration, hit bool) // nil without the fault
	writes int                                                 // since the fault began
	lost   int
}

// set begins the fault, or ends it with nil.
func (l *lateWrites) set(hits func(keys []string) (time.Duration, bool)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hits = hits
}

// share returns the share of the writes that were hit.
func (l *lateWrites) share() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return float64(l.lost) / float64(max(l.writes, 1))
}

// take returns whether a transaction is hit, and by how much it is late.
func (l *lateWrites) take(keys []string) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.hits == nil {
		return 0, false
	}
	l.writes++
	delay, hit := l.hits(keys)
	if hit {
		l.lost++
	}
	return delay, hit
}

// transactionKeys returns the keys of a transaction.
func transactionKeys(raw []byte) ([]string, error) {
	type named struct{ Key string }
	var body struct {
		Precondition, Writes []named
		Remove               []string
	}
	if err := json.Unmarshal(raw, &body); err != nil {
		return nil, fmt.Errorf("transaction: %w", err)
	}
	keys := body.Remove
	for _, k := range append(body.Precondition, body.Writes...) {
		keys = append(keys, k.Key)
	}
	return keys, nil
}

// platformStore adds to the handler of the store what the pages say of it: it refuses a key that is longer than
// it allows, and may carry a write out late and without an answer.
func (w *world) platformStore(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/kv-txn" {
			next.ServeHTTP(rw, r)
			return
		}
		raw, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		keys, err := transactionKeys(raw)
		if err != nil || slices.ContainsFunc(keys, func(k string) bool { return len(k) > maxKeyBytes }) {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		if delay, hit := w.late.take(keys); hit {
			w.say("TROUBLE: the store does not answer a write of %v and carries it out in %v", spellKeys(keys), delay)
			time.AfterFunc(delay, func() {
				late := httptest.NewRecorder()
				next.ServeHTTP(late, withBody(r.WithContext(context.Background()), raw))
				w.say("the store carries out the write of %v late: status %d", spellKeys(keys), late.Code)
			})
			<-r.Context().Done() // nothing more comes on this connection
			return
		}
		next.ServeHTTP(rw, withBody(r, raw))
	})
}

// spellKeys returns keys of the store for the record, with spaces between their parts, so that none is taken for
// the path of a file.
func spellKeys(keys []string) []string {
	spelled := make([]string, 0, len(keys))
	for _, k := range keys {
		spelled = append(spelled, strings.ReplaceAll(k, "/", " / "))
	}
	return spelled
}

func withBody(r *http.Request, raw []byte) *http.Request {
	c := r.Clone(r.Context())
	c.Body = io.NopCloser(bytes.NewReader(raw))
	return c
}

// serve serves a handler on a free port of the world's loopback address.
func (w *world) serve(h http.Handler, connContext func(context.Context, net.Conn) context.Context) (string, error) {
	ln, err := net.Listen("tcp", net.JoinHostPort(w.ip, "0"))
	if err != nil {
		return "", fmt.Errorf("%w: %w", errCannotRun, err)
	}
	server := &http.Server{Handler: h, ConnContext: connContext}
	go func() { _ = server.Serve(ln) }()
	return ln.Addr().String(), nil
}

// say writes a line to the record.
func (w *world) say(format string, args ...any) {
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	line := fmt.Sprintf("%8.3f s  ", time.Since(w.began).Seconds()) + fmt.Sprintf(format, args...)
	_, _ = fmt.Fprintln(w.record, line)
	_, _ = fmt.Fprintln(os.Stdout, line)
}

// reportRuns writes the starts and ends on the workers to the record.
func (w *world) reportRuns() {
	for {
		select {
		case <-w.done:
			return
		case <-time.After(20 * time.Millisecond):
			w.flushRuns()
		}
	}
}

func (w *world) flushRuns() {
	w.runsMu.Lock()
	defer w.runsMu.Unlock()
	for i, s := range w.runLog.Starts() {
		if i >= w.reported {
			w.reported = i + 1
			w.say("worker %s starts %s run %d", s.Worker, s.Task, s.Run)
		}
		if !s.EndedAt.IsZero() && !w.ended[i] {
			w.ended[i] = true
			w.say("worker %s ends %s run %d: %s", s.Worker, s.Task, s.Run, s.Outcome)
		}
	}
}

// profile returns how the tasks of a job behave.
func (w *world) profile(task string) hfstand.TaskProfile {
	w.profilesMu.Lock()
	defer w.profilesMu.Unlock()
	p, ok := w.profiles[task[:strings.IndexByte(task, '.')]]
	if !ok {
		p = hfstand.TaskProfile{RunTime: time.Second, GangSize: 1, Accelerators: 1}
	}
	return p
}

func (w *world) setProfile(job string, p hfstand.TaskProfile) {
	w.profilesMu.Lock()
	defer w.profilesMu.Unlock()
	w.profiles[job] = p
}

// beat writes the entry of a worker at its heartbeat, and removes it when the worker is silent.
func (w *world) beat(m *worker) {
	for {
		w.register(m)
		select {
		case <-w.done:
			return
		case <-time.After(heartbeat):
		}
	}
}

func (w *world) register(m *worker) {
	w.entriesMu.Lock()
	defer w.entriesMu.Unlock()
	if m.Down() {
		if !m.crashedAt.IsZero() && time.Since(m.crashedAt) > entryExpiry {
			w.store.Delete("servers/" + m.ID())
		}
		return
	}
	m.sequence++
	entry := m.Entry(service, m.address, m.zone, m.rack, 128_000, 262_144, false)
	entry["sequence"] = m.sequence
	_ = w.store.Set("servers/"+m.ID(), entry)
}

// crash ends the process of a worker, and starts it again at its address, under its id, after a time.
func (w *world) crash(m *worker, down time.Duration) {
	w.say("TROUBLE: minion %s crashes for %v", m.ID(), down)
	w.entriesMu.Lock()
	m.crashedAt = time.Now()
	w.entriesMu.Unlock()
	m.Crash()
	time.AfterFunc(down, func() {
		m.Return(m.ID())
		w.say("minion %s is back, a new incarnation", m.ID())
		w.register(m)
	})
}

// workerOf returns the worker with an id.
func (w *world) workerOf(id string) *worker {
	for _, m := range w.workers {
		if m.ID() == id {
			return m
		}
	}
	return nil
}

// starts returns the starts of the tasks whose name begins with a prefix.
func (w *world) starts(prefix string) []hfstand.Start {
	var list []hfstand.Start
	for _, s := range w.runLog.Starts() {
		if strings.HasPrefix(s.Task, prefix) {
			list = append(list, s)
		}
	}
	return list
}

// route describes a queue of the configuration.
type route struct {
	name     string
	priority int
}

// tenant describes an account of the configuration.
type tenant struct {
	name string
	keys []string
}

// configure stores a configuration, as the operator does.
func (w *world) configure(version int, routes []route, tenants []tenant) error {
	var rs, ts []map[string]any
	for _, r := range routes {
		rs = append(rs, map[string]any{
			"name": r.name, "host": host, "prefix": "/" + r.name + "/", "route_type": "non_idempotent", "timeout_ms": 3000, "service": service,
			"priority": r.priority, "max_attempts": 3, "stretch_factor": 3, "slo_ms": 1200, "anonymous": false,
		})
	}
	for _, t := range tenants {
		ts = append(ts, map[string]any{"name": t.name, "api_keys": t.keys, "guaranteed": map[string]int{"gpu": 16}})
	}
	if err := w.store.Set("op/config", map[string]any{
		"version": version, "routes": rs, "services": []map[string]any{{"name": service, "admission_check": false, "spare": false}},
		"limits": map[string]int{"max_body_bytes": 1 << 18}, "tenants": ts,
	}); err != nil {
		return fmt.Errorf("%w: %w", errCannotRun, err)
	}
	w.say("the operator's configuration %d is acknowledged: routes %v, tenants %v", version, routes, tenants)
	return nil
}

// startInstances starts entry processes and waits until all are ready.
func (w *world) startInstances(n int) error {
	for i := range n {
		in := &instance{name: fmt.Sprintf("edge-%d", i+1)}
		var err error
		if in.front, err = hfstand.FreeAddress(w.ip); err != nil {
			return fmt.Errorf("%w: %w", errCannotRun, err)
		}
		if in.readiness, err = hfstand.FreeAddress(w.ip); err != nil {
			return fmt.Errorf("%w: %w", errCannotRun, err)
		}
		if err := w.writeSettings(in, i); err != nil {
			return err
		}
		w.instances = append(w.instances, in)
		if err := w.start(in); err != nil {
			return err
		}
	}
	return w.until(20*time.Second, "all instances are ready", func() bool {
		for _, in := range w.instances {
			if !in.ready() {
				return false
			}
		}
		return true
	})
}

func (in *instance) ready() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + in.readiness + "/v1/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (w *world) writeSettings(in *instance, i int) error {
	zones := []string{"marmara-a", "icanadolu-a", "ege-a"}
	in.settings = filepath.Join(w.dir, in.name+".json")
	raw, err := json.Marshal(map[string]any{
		"node_name": in.name, "role": "entry", "machine_class": "edge", "serves": []string{"edge"}, "ip": w.ip,
		"zone": zones[i%3], "region": strings.TrimSuffix(zones[i%3], "-a"), "listen": map[string]string{"front": in.front, "readiness": in.readiness},
		"limits":       map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0},
		"heartbeat_ms": heartbeat.Milliseconds(), "commands": "rpc",
		"bounds":   w.bounds,
		"platform": map[string]any{"address": w.storeAddr, "form": "kv", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1 << 20, "ttl_min_ms": 1000},
	})
	if err != nil {
		return fmt.Errorf("%w: %w", errCannotRun, err)
	}
	if err := os.WriteFile(in.settings, raw, 0o600); err != nil {
		return fmt.Errorf("%w: %w", errCannotRun, err)
	}
	return nil
}

// start starts the process of an instance, by the command of the deploy file.
func (w *world) start(in *instance) error {
	log, err := os.OpenFile(filepath.Join(w.dir, in.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("%w: %w", errCannotRun, err)
	}
	in.log = log
	in.cmd = exec.Command("target/heatherfront", "entry")
	in.cmd.Env = append(os.Environ(), "HEATHERFRONT_SETTINGS="+in.settings)
	in.cmd.Stdout, in.cmd.Stderr = log, log
	if err := in.cmd.Start(); err != nil {
		return fmt.Errorf("%w: %w", errCannotRun, err)
	}
	w.say("%s started", in.name)
	return nil
}

// kill ends the process of an instance with SIGKILL and waits for it.
func (w *world) kill(in *instance) {
	if in.cmd == nil {
		return
	}
	_ = in.cmd.Process.Signal(syscall.SIGCONT)
	_ = in.cmd.Process.Kill()
	_ = in.cmd.Wait()
	_ = in.log.Close()
	in.cmd = nil
}

// leader returns the instance whose log tells that it became the leader last.
func (w *world) leader() *instance {
	var last *instance
	var at string
	for _, in := range w.instances {
		raw, err := os.ReadFile(filepath.Join(w.dir, in.name+".log"))
		if err != nil {
			continue
		}
		for _, line := range bytes.Split(raw, []byte("\n")) {
			var event struct{ Msg, Ts string }
			if json.Unmarshal(line, &event) == nil && event.Msg == "leader-elected" && event.Ts > at {
				last, at = in, event.Ts
			}
		}
	}
	return last
}

// close ends all processes and stand-ins.
func (w *world) close() {
	w.flushRuns()
	close(w.done)
	for _, in := range w.instances {
		w.kill(in)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
	_ = w.record.Close()
}

// until waits for a condition.
func (w *world) until(limit time.Duration, what string, holds func() bool) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if holds() {
			w.say("%s", what)
			return nil
		}
	}
	return fmt.Errorf("%w: not within %v: %s", errCannotRun, limit, what)
}

// call sends a request of a client to an instance and returns the status, 0 if there was no answer.
func (w *world) call(in *instance, key, method, path string, body any) (int, string) {
	var content io.Reader
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return 0, err.Error()
		}
		content = bytes.NewReader(raw)
	}
	status, answer, err := hfstand.NewCaller(host, key, callTimeout).Call(method, in.front, path, content)
	if err != nil {
		answer = err.Error()
	}
	w.say("client: %s %s at %s with key %s -> %d %s", method, path, in.name, key, status, strings.TrimSpace(answer))
	return status, answer
}

// submit hands a job in, again after no answer or a refusal, until it is accepted.
func (w *world) submit(in *instance, key, path string, body any) error {
	for range 8 {
		if status, _ := w.call(in, key, http.MethodPost, path, body); status/100 == 2 {
			return nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	return fmt.Errorf("%w: %s was not accepted", errCannotRun, path)
}

// state returns the state of a job that an instance shows, with the status.
func (w *world) state(in *instance, key, path string) (int, string) {
	status, answer := w.call(in, key, http.MethodGet, path, nil)
	var body struct{ State string }
	_ = json.Unmarshal([]byte(answer), &body)
	return status, body.State
}

// newID returns the id of a job.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
