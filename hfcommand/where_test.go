package hfcommand

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hfentry"
	"github.com/heatherfront/heatherfront/hfplan"
	"github.com/heatherfront/heatherfront/hfwork"
	hfplatform "github.com/heatherfront/heatherfront/platform"
)

// whereStandIn answers from a scheduler with four workers, without a store or workers' connections.
type whereStandIn struct {
	scheduler *hfplan.Scheduler
	now       time.Time
	refused   error
	fails     error
}

func newWhereStandIn() *whereStandIn {
	s := &whereStandIn{now: time.Unix(1_800_000_000, 0)}
	s.scheduler = hfplan.New(1, hfplan.NewTiming(6*time.Second), s.now)
	policy := &hfwork.Policy{Version: 3, Accounts: []*hfwork.Account{{Name: "plants", Guaranteed: 16}}}
	for i, name := range []string{"urgent", "usual", "spare"} {
		policy.Queues = append(policy.Queues, &hfwork.Queue{Name: name, Pool: "pool", Priority: uint32(i), Attempts: 3})
	}
	s.send(hfplan.Policy(policy))
	workers := map[string]*hfwork.Worker{}
	for i := range 4 {
		id := fmt.Sprint("w", i)
		workers[id] = &hfwork.Worker{Id: id, Pool: "pool", Rack: fmt.Sprint("r", i/2), Cpu: 128_000, Memory: 262_144, Accelerators: 8, Draining: i == 3}
	}
	s.send(hfplan.Workers(workers))
	for i := range 4 {
		s.send(hfplan.Report(fmt.Sprint("w", i), s.now, hfwork.NewReport(0, 1, nil, nil)))
	}
	return s
}

// send passes a message to the scheduler, and carries out what follows.
func (s *whereStandIn) send(msg hfplan.Msg) {
	for _, m := range []hfplan.Msg{msg, hfplan.PassMsg{}} {
		for _, cmd := range s.scheduler.Update(m, s.now) {
			switch c := cmd.(type) {
			case hfplan.StoreCmd:
				s.send(hfplan.Stored(c))
			case hfplan.StartCmd:
				s.send(hfplan.Started(c, hfplan.OutcomeDone))
			}
		}
	}
}

func (s *whereStandIn) submit(id, queue string, count uint32, estimate time.Duration) {
	s.send(hfplan.Job(&hfwork.Job{
		Id: id, Queue: queue, Account: "plants", Received: s.now.UnixMilli(),
		Steps: []*hfwork.Step{{Count: count, Cpu: 8000, Memory: 16_000, Accelerators: 1, Estimate: estimate.Milliseconds()}},
	}, nil, false))
	s.now = s.now.Add(time.Second)
}

func (s *whereStandIn) Where(_ context.Context, t hfentry.WhereTarget, job *hfwork.Job) (hfentry.WhereReply, error) {
	if s.fails != nil {
		return hfentry.WhereReply{}, s.fails
	}
	job.Id, job.Queue, job.Account = "ffffffffffffffff", t.Queue, t.Account
	if err := hfwork.ValidateJob(job); err != nil {
		return hfentry.WhereReply{}, fmt.Errorf("where: %w", err)
	}
	r := hfentry.WhereReply{Instance: "edge-2", Policy: 3, Ages: hfentry.WhereAges{Policy: 210, Records: 40, Workers: 95}}
	if r.Refused = s.refused; r.Refused == nil {
		a := s.scheduler.Where(job, s.now)
		r.Answer = &a
	}
	return r, nil
}

func (s *whereStandIn) RetryAfter(error) time.Duration { return 10 * time.Second }

func (s *whereStandIn) MaxBody() int64 { return 1 << 18 }

// runWhere runs the command against the stand-in.
func (s *whereStandIn) runWhere(t *testing.T, args ...string) (exit Exit, out, problem string) {
	t.Helper()
	server := httptest.NewServer(hfplatform.NewWhereHandler(s, http.NotFoundHandler()))
	defer server.Close()
	var stdout, stderr bytes.Buffer
	exit = Run(t.Context(), append([]string{"where", "--url", server.URL}, args...), NewStreams(strings.NewReader(""), &stdout, &stderr))
	t.Logf("%s\n%s%s", strings.Join(args, " "), stdout.String(), stderr.String())
	return exit, stdout.String(), stderr.String()
}

func requireLines(t *testing.T, out string, lines ...string) {
	t.Helper()
	for _, line := range lines {
		require.Contains(t, out, line)
	}
}

func TestWherePrintsAJobThatFits(t *testing.T) {
	s := newWhereStandIn()
	s.submit("0a", "usual", 6, time.Minute)
	exit, out, _ := s.runWhere(t, "--queue", "usual", "--gang", "--compact", "--count", "2", "--accelerators", "8", "--estimate", "20s")
	require.Equal(t, ExitOK, exit)
	requireLines(t, out, "policy 3 (210 ms old)", "step 0, 2 tasks: ", "workers:", "1: is draining (w3)")
	exit, out, _ = s.runWhere(t, "--queue", "usual", "--count", "10", "--accelerators", "1", "--account", "plants")
	require.Equal(t, ExitOK, exit)
	requireLines(t, out, "step 0, 10 tasks: starts: there is room", "rank 1 in its pool", "expected start: now", "on w2 in rack r1: 2 tasks", "on w0 in rack r0: 8 tasks", "3: fits (w0, w1, w2)")
}

func TestWherePrintsAJobThatWaits(t *testing.T) {
	s := newWhereStandIn()
	s.submit("0a", "usual", 24, time.Minute)
	s.submit("0b", "usual", 2, 10*time.Second)
	exit, out, _ := s.runWhere(t, "--queue", "usual", "--count", "4", "--accelerators", "2")
	require.Equal(t, ExitOK, exit)
	requireLines(t, out, "step 0, 4 tasks: waits: there is too little room", "rank 2 in its pool", "ahead: job 0b step 0, queue usual, priority 1, 2 tasks", "expected start: in 58s", "has too little room: accelerators")
	exit, out, _ = s.runWhere(t, "--queue", "usual", "--count", "4", "--accelerators", "2", "-o", "json")
	require.Equal(t, ExitOK, exit)
	var r hfplatform.WhereResponse
	require.NoError(t, json.Unmarshal([]byte(out), &r))
	require.Equal(t, hfplan.WhereWaits, r.Answer.Steps[0].Outcome)
	require.Equal(t, http.StatusOK, r.Status)
	s.submit("0c", "spare", 4, time.Minute)
	_, out, _ = s.runWhere(t, "--queue", "urgent", "--count", "1", "--accelerators", "4", "--account", "plants")
	requireLines(t, out, "priority 0, covered by the guarantee", "displaces", "stops 4 tasks of job 0a step 0, queue usual")
}

func TestWherePrintsAJobThatNeverRuns(t *testing.T) {
	exit, out, _ := newWhereStandIn().runWhere(t, "--queue", "usual", "--accelerators", "16")
	require.Equal(t, ExitOK, exit)
	requireLines(t, out, "step 0, 1 tasks: never: a task needs 0 millicores, 0 MB and 16 accelerators, and the largest of 4 workers have 128000 millicores, 262144 MB and 8 accelerators", "4: is smaller than a task: accelerators (w0, w1, w2, w3)")
}

func TestWherePrintsTheRefusal(t *testing.T) {
	s := newWhereStandIn()
	s.refused = hfentry.ErrTooManyJobs
	exit, out, _ := s.runWhere(t, "--queue", "usual", "--accelerators", "1")
	require.Equal(t, ExitOK, exit)
	requireLines(t, out, "refused with 429: too many jobs; Retry-After 10 s")
	s.fails = &hfentry.NotLeadingError{}
	exit, _, problem := s.runWhere(t, "--queue", "usual", "--accelerators", "1")
	require.Equal(t, ExitNotRun, exit)
	require.Contains(t, problem, "no instance is known to lead")
}

func TestWhereNamesTheWrongField(t *testing.T) {
	s := newWhereStandIn()
	file := filepath.Join(t.TempDir(), "job.json")
	for raw, reason := range map[string]string{
		`{"steps":[{"count":1,"gpu":1,"estimate_ms":1000}]}`: "",
		`{"steps":[{"count":"one"}]}`:                        "steps.0: json: cannot unmarshal string into Go struct field stepBody.count",
		`{"steps":[{"count":1},{"count":1,"gpus":1}]}`:       `steps.1: read: json: unknown field "gpus"`,
		`{"stages":[]}`:                       `job: read: json: unknown field "stages"`,
		`{"steps":[{"count":0}]}`:             "steps.0.count: must be 1 to 20000",
		`{"steps":[{"count":1,"gpu":-1}]}`:    "steps.0: a size is out of range",
		`{"steps":[{"count":1,"after":[0]}]}`: "steps.0.after: 0 is no earlier step",
		`{}`:                                  "steps: must be 1 to 64",
		"{\n\"steps\": [\n{]}":                "job.json line 3",
	} {
		require.NoError(t, os.WriteFile(file, []byte(raw), 0o600))
		exit, _, problem := s.runWhere(t, "--queue", "usual", file)
		if reason == "" {
			require.Equal(t, ExitOK, exit)
			continue
		}
		require.Equal(t, ExitUsage, exit, raw)
		require.Contains(t, problem, reason)
	}
	for _, args := range [][]string{{}, {"--queue", "usual", "a", "b"}, {"--queue", "usual", filepath.Join(t.TempDir(), "none")}, {"--queue", "usual", "--count", "-1"}} {
		exit, _, problem := s.runWhere(t, args...)
		require.Equal(t, ExitUsage, exit)
		require.NotEmpty(t, problem)
	}
}
