package hfcommand

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/heatherfront/heatherfront/hfapi"
	"github.com/heatherfront/heatherfront/hfgang"
	"github.com/heatherfront/heatherfront/hfreport"
	"github.com/heatherfront/heatherfront/hfrequest"
	"github.com/heatherfront/heatherfront/hfwire"
)

// followInterval is the time between two queries of a job whose end is awaited.
const followInterval = 500 * time.Millisecond

// jobReply is the answer to a call about one job.
type jobReply struct {
	Job     json.RawMessage `json:"job"`
	Explain string          `json:"explain,omitempty"`
}

// decodeJob decodes the job and ignores unknown fields.
func (r jobReply) decodeJob() (*hfwire.Job, error) {
	j := &hfwire.Job{}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(r.Job, j); err != nil {
		return nil, fmt.Errorf("read job: %w", err)
	}
	return j, nil
}

func printJobs(c *client, value any, jobs ...*hfwire.Job) error {
	rows := make([][]string, 0, len(jobs))
	for _, j := range jobs {
		rows = append(rows, []string{
			j.GetId(), j.GetAccount(), j.GetCaller(), j.GetWork(), strconv.Itoa(int(j.GetSize())), j.GetState(),
			formatTime(j.GetSubmitted()), formatTime(j.GetStarted()), formatTime(j.GetFinished()), j.GetReason(),
		})
	}
	return c.print(value, []string{"ID", "ACCOUNT", "CALLER", "WORK", "SIZE", "STATE", "QUEUED", "STARTED", "ENDED", "WHY"}, rows)
}

// formatTime formats a Unix time in milliseconds, where 0 is no time.
func formatTime(ms int64) string {
	if ms == 0 {
		return "-"
	}
	return time.UnixMilli(ms).UTC().Format("2006-01-02T15:04:05Z")
}

func submitCommand(s Streams) *ffcli.Command {
	request := hfapi.JobRequest{}
	var follow *bool
	return newClientCommand(s, "submit", "--work KIND --size N [flags]", "submit a gang job; accepted means stored", func(fs *flag.FlagSet) {
		fs.StringVar(&request.ID, "id", "", "UUID of version 7; submitting the same id again does not create another job")
		fs.StringVar(&request.Work, "work", "", "kind of work")
		fs.IntVar(&request.Size, "size", 1, "number of adjacent accelerators")
		fs.Int64Var(&request.ExpectedRunMs, "run", 0, "expected run time in milliseconds")
		fs.StringVar(&request.Domain, "domain", "", "failure domain; if empty, the system chooses one")
		fs.StringVar(&request.Command, "command", "", "command that the tasks run")
		follow = fs.Bool("follow", false, "wait until the job ends")
	}, func(ctx context.Context, c *client, _ []string) error {
		body, err := json.Marshal(request)
		if err != nil {
			return fmt.Errorf("encode job: %w", err)
		}
		r, err := callJSON[jobReply](ctx, c, http.MethodPost, "/v1/jobs", body)
		if err != nil {
			return fmt.Errorf("submit: %w", err)
		}
		j, err := r.decodeJob()
		if err != nil {
			return fmt.Errorf("submit: %w", err)
		}
		if !*follow {
			return printJobs(c, r, j)
		}
		return followJob(ctx, c, j.GetId())
	})
}

// followJob waits for the end of a job and prints it. The error's exit code depends on the
// final state.
func followJob(ctx context.Context, c *client, id string) error {
	for {
		r, err := callJSON[jobReply](ctx, c, http.MethodGet, "/v1/jobs/"+url.PathEscape(id), nil)
		if err != nil {
			return fmt.Errorf("follow: %w", err)
		}
		j, err := r.decodeJob()
		if err != nil {
			return fmt.Errorf("follow: %w", err)
		}
		if j.GetFinished() == 0 {
			select {
			case <-time.After(followInterval):
				continue
			case <-ctx.Done():
				return &exitError{exit: ExitUnknown, reason: "interrupted; the job goes on"}
			}
		}
		if err := printJobs(c, r, j); err != nil {
			return fmt.Errorf("follow: %w", err)
		}
		switch j.GetState() {
		case hfgang.StateDone:
			return nil
		case hfgang.StateUnknown:
			return &exitError{exit: ExitUnknown, reason: j.GetReason()}
		default:
			return &exitError{exit: ExitFailed, reason: j.GetState() + ": " + j.GetReason()}
		}
	}
}

func statusCommand(s Streams) *ffcli.Command {
	return newClientCommand(s, "status", "JOB", "show one job", nil, func(ctx context.Context, c *client, args []string) error {
		return runJobCommand(ctx, c, args, http.MethodGet, "")
	})
}

func explainCommand(s Streams) *ffcli.Command {
	return newClientCommand(s, "explain", "JOB", "say why a job waits or runs where it does, with its history", nil, func(ctx context.Context, c *client, args []string) error {
		return runJobCommand(ctx, c, args, http.MethodGet, "?explain=1")
	})
}

func cancelCommand(s Streams) *ffcli.Command {
	return newClientCommand(s, "cancel", "JOB", "cancel a job", nil, func(ctx context.Context, c *client, args []string) error {
		return runJobCommand(ctx, c, args, http.MethodDelete, "")
	})
}

// runJobCommand makes a call about one job and prints the answer, for explain with the job's
// history.
func runJobCommand(ctx context.Context, c *client, args []string, method, query string) error {
	id, err := singleArgument(args, "the job's id")
	if err != nil {
		return fmt.Errorf("job: %w", err)
	}
	r, err := callJSON[jobReply](ctx, c, method, "/v1/jobs/"+url.PathEscape(id)+query, nil)
	if err != nil {
		return fmt.Errorf("job %s: %w", id, err)
	}
	j, err := r.decodeJob()
	if err != nil {
		return fmt.Errorf("job %s: %w", id, err)
	}
	if err := printJobs(c, r, j); err != nil {
		return fmt.Errorf("job %s: %w", id, err)
	}
	if *c.output == "json" || r.Explain == "" {
		return nil
	}
	_, _ = fmt.Fprintln(c.streams.out, r.Explain)
	for _, step := range j.GetSteps() {
		_, _ = fmt.Fprintf(c.streams.out, "  %s  %-9s  %s\n", formatTime(step.GetAt()), step.GetState(), step.GetWhy())
	}
	return nil
}

func historyCommand(s Streams) *ffcli.Command {
	var limit *int
	var account, caller *string
	return newClientCommand(s, "history", "[flags]", "list jobs, newest first: a caller's own, an auditor's account, or all for operators", func(fs *flag.FlagSet) {
		limit = fs.Int("limit", 50, "maximum number of jobs, up to 1000")
		account = fs.String("account", "", "operators: only this account")
		caller = fs.String("caller", "", "operators and auditors: only this caller")
	}, func(ctx context.Context, c *client, _ []string) error {
		query := url.Values{"limit": {strconv.Itoa(*limit)}, "account": {*account}, "caller": {*caller}}
		reply, err := callJSON[struct {
			Jobs    []json.RawMessage `json:"jobs"`
			Missing []string          `json:"missing"`
		}](ctx, c, http.MethodGet, "/v1/jobs?"+query.Encode(), nil)
		if err != nil {
			return fmt.Errorf("history: %w", err)
		}
		var jobs []*hfwire.Job
		for _, raw := range reply.Jobs {
			j, err := jobReply{Job: raw}.decodeJob()
			if err != nil {
				return fmt.Errorf("history: %w", err)
			}
			jobs = append(jobs, j)
		}
		if len(reply.Missing) > 0 {
			_, _ = fmt.Fprintln(s.err, "incomplete: no answer from domains", strings.Join(reply.Missing, ", "))
		}
		return printJobs(c, reply, jobs...)
	})
}

func callCommand(s Streams) *ffcli.Command {
	var id, data *string
	var timeout *time.Duration
	return newClientCommand(s, "call", "KIND [flags]", "send one request and print its answer; the body is --data or standard input", func(fs *flag.FlagSet) {
		id = fs.String("id", "", "request id; for non-idempotent work a UUID of version 7, which runs at most once")
		data = fs.String("data", "", "body; if - or empty, it is read from standard input")
		timeout = fs.Duration("timeout", 0, "time limit; 0 means that of the kind of work")
	}, func(ctx context.Context, c *client, args []string) error {
		work, err := singleArgument(args, "kind of work")
		if err != nil {
			return fmt.Errorf("call: %w", err)
		}
		body := []byte(*data)
		if *data == "" || *data == "-" {
			if body, err = io.ReadAll(s.in); err != nil {
				return fmt.Errorf("read body: %w", err)
			}
		}
		header := http.Header{}
		if *id != "" {
			header.Set(hfrequest.HeaderID, *id)
		}
		if *timeout > 0 {
			header.Set("Timeout-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
		}
		raw, answer, err := c.send(ctx, http.MethodPost, "/v1/requests/"+url.PathEscape(work), body, header)
		if err != nil {
			return fmt.Errorf("call %s: %w", work, err)
		}
		_, _ = fmt.Fprintf(s.err, "outcome %s, request %s\n", answer.Get(hfrequest.HeaderOutcome), answer.Get(hfrequest.HeaderID))
		_, _ = s.out.Write(raw)
		return nil
	})
}

func systemCommand(s Streams) *ffcli.Command {
	return newClientCommand(s, "system", "", "show the instances, who leads which failure domain, and what is idle", nil, func(ctx context.Context, c *client, _ []string) error {
		status, err := callJSON[hfapi.SystemStatus](ctx, c, http.MethodGet, "/v1/status", nil)
		if err != nil {
			return fmt.Errorf("system: %w", err)
		}
		var rows [][]string
		for _, i := range status.Instances {
			state := "silent"
			switch {
			case i.Leaving:
				state = "leaving"
			case i.Live:
				state = "live"
			}
			rows = append(rows, []string{"instance", i.Name, state, "domain " + i.Domain + ", leads " + strings.Join(i.Leads, " ")})
		}
		for _, d := range status.Domains {
			detail := fmt.Sprintf("%d queued, %d placed, %d idle accelerators, largest block %d", d.GetQueued(), d.GetPlaced(), d.GetIdle(), d.GetLargest())
			rows = append(rows, []string{"domain", d.GetDomain(), "led", detail})
		}
		for _, d := range status.UnreachableDomains {
			rows = append(rows, []string{"domain", d, "no answer", ""})
		}
		return c.print(status, []string{"WHAT", "NAME", "STATE", "DETAIL"}, rows)
	})
}

func burnCommand(s Streams) *ffcli.Command {
	return newClientCommand(s, "burn", "", "report how fast each service-level objective burns its error budget", nil, func(ctx context.Context, c *client, _ []string) error {
		reports, err := callJSON[[]hfreport.ObjectiveReport](ctx, c, http.MethodGet, "/v1/burn", nil)
		if err != nil {
			return fmt.Errorf("burn: %w", err)
		}
		var rows [][]string
		for _, r := range reports {
			var bad []string
			for _, reason := range sortedKeys(r.Bad) {
				bad = append(bad, fmt.Sprintf("%s %d", reason, r.Bad[reason]))
			}
			rows = append(rows, []string{
				r.Objective, r.Account, r.Work, fmt.Sprint(r.Target), strconv.FormatInt(r.Good, 10), strings.Join(bad, ", "),
				fmt.Sprintf("%.1f%%", 100*r.Budget), fmt.Sprintf("%.2f", r.BurnShort), fmt.Sprintf("%.2f", r.BurnLong),
			})
		}
		return c.print(reports, []string{"OBJECTIVE", "ACCOUNT", "WORK", "TARGET", "GOOD", "BAD", "BUDGET LEFT", "BURN 5M", "BURN 1H"}, rows)
	})
}
