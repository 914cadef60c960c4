package hfcommand

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/heatherfront/heatherfront/hfplan"
	hfplatform "github.com/heatherfront/heatherfront/platform"
)

func whereCommand(s Streams) *ffcli.Command {
	var question hfplatform.WhereQuestion
	var step hfplatform.WhereStep
	return newClientCommand(s, "where", "[flags] [FILE]", "tell where a job would go now and why, without sending it (entry; --url is the metrics address)", func(fs *flag.FlagSet) {
		fs.StringVar(&question.Queue, "queue", "", "name of the queue")
		fs.StringVar(&question.Host, "host", "", "host of the queue, instead of its name")
		fs.StringVar(&question.Path, "path", "/", "path of the queue, with --host")
		fs.StringVar(&question.Account, "account", "", "client account")
		fs.UintVar(&step.Count, "count", 1, "without FILE: tasks")
		fs.Int64Var(&step.CPU, "cpu", 0, "without FILE: millicores of a task")
		fs.Int64Var(&step.Memory, "memory", 0, "without FILE: MB of a task")
		fs.Int64Var(&step.Accelerators, "accelerators", 0, "without FILE: accelerators of a task")
		fs.DurationVar(&step.Estimate, "estimate", time.Minute, "without FILE: run time of a task")
		fs.BoolVar(&step.Gang, "gang", false, "without FILE: the tasks run together")
		fs.BoolVar(&step.Compact, "compact", false, "without FILE: if possible in one rack")
		fs.BoolVar(&step.Saves, "saves", false, "without FILE: the tasks write checkpoints")
		fs.StringVar(&step.Label, "label", "", "without FILE: label that workers must have")
		fs.UintVar(&step.Apart, "apart", 0, "without FILE: most tasks on one worker")
	}, func(ctx context.Context, c *client, args []string) error {
		job, err := readWhereJob(s, args, step)
		if err != nil {
			return fmt.Errorf("where: %w", err)
		}
		question.Job = job
		*c.credential = "" // the address takes none
		if question.Queue != "" {
			question.Path = ""
		}
		body, err := json.Marshal(question)
		if err != nil {
			return fmt.Errorf("where: encode: %w", err)
		}
		r, err := callJSON[hfplatform.WhereResponse](ctx, c, http.MethodPost, "/where", body)
		if err != nil {
			var coded *exitError
			if errors.As(err, &coded) && coded.exit == ExitUnknown {
				coded.exit = ExitNotRun // a question has no effect
			}
			return fmt.Errorf("where: %w", err)
		}
		if *c.output == "json" {
			return c.print(r, nil, nil)
		}
		printWhere(s.out, r)
		return nil
	})
}

// readWhereJob returns the job in a file, in standard input if that is -, or the one that flags describe.
func readWhereJob(s Streams, args []string, step hfplatform.WhereStep) ([]byte, error) {
	if len(args) == 0 {
		raw, err := step.Encode()
		if err != nil {
			return nil, fmt.Errorf("job of flags: %w", err)
		}
		return raw, nil
	}
	name, err := singleArgument(args, "the file of the job")
	if err != nil {
		return nil, err
	}
	var raw []byte
	if name == "-" {
		raw, err = io.ReadAll(s.in)
	} else {
		raw, err = os.ReadFile(name)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: read job: %w", ErrUsage, err)
	}
	var checked json.RawMessage
	if err := json.Unmarshal(raw, &checked); err != nil {
		line := ""
		if syntax := (*json.SyntaxError)(nil); errors.As(err, &syntax) {
			line = fmt.Sprintf(" line %d", 1+strings.Count(string(raw[:min(int(syntax.Offset), len(raw))]), "\n"))
		}
		return nil, fmt.Errorf("%w: %s%s: %w", ErrUsage, name, line, err)
	}
	return raw, nil
}

// printWhere writes an answer for people.
func printWhere(w io.Writer, r hfplatform.WhereResponse) {
	line := func(format string, values ...any) { _, _ = fmt.Fprintf(w, format+"\n", values...) }
	line("decided by %s on policy %d (%d ms old), jobs %d ms old, list of workers %d ms old", r.Instance, r.Policy, r.Ages.Policy, r.Ages.Records, r.Ages.Workers)
	if r.Answer == nil {
		line("refused with %d: %s; Retry-After %d s", r.Status, r.Reason, r.RetryAfter)
		return
	}
	a := r.Answer
	guarantee := ""
	if a.Guaranteed {
		guarantee = ", covered by the guarantee of its account"
	}
	line("queue %s, pool %s, priority %d%s", a.Queue, a.Pool, a.Priority, guarantee)
	for _, note := range []struct {
		holds bool
		text  string
	}{
		{a.Suspended, "the scheduler starts nothing at the moment, as it may not be the leader any more"},
		{!a.Recovered, "runs of an earlier scheduler are not all accounted for yet"},
		{a.Pending, "something has changed since the last pass"},
	} {
		if note.holds {
			line("note: %s", note.text)
		}
	}
	for _, step := range a.Steps {
		line("step %d, %d tasks: %s: %s", step.Step, step.Tasks, step.Outcome, step.Why)
		printWhereStep(line, a.At, step)
	}
}

func printWhereStep(line func(string, ...any), now time.Time, step hfplan.WhereStep) {
	if step.Rank > 0 {
		line("  rank %d in its pool", step.Rank)
	}
	for _, other := range step.Ahead {
		line("    ahead: job %s step %d, queue %s, priority %d, %d tasks", other.Job, other.Step, other.Queue, other.Priority, other.Waiting)
	}
	if more := step.AheadCount - len(step.Ahead); more > 0 {
		line("    and %d more", more)
	}
	if start := step.Start; start != nil {
		text := "not known, as what waits ahead needs more room than becomes free"
		if !start.Expected.IsZero() {
			text = formatIn(start.Expected.Sub(now))
		}
		line("  expected start: %s; at the earliest %s", text, formatIn(start.Earliest.Sub(now)))
		if runs := start.Measured + start.Declared; runs > 0 {
			line("    waits for %d runs, %d by measured progress and %d by declared run time, which may be off", runs, start.Measured, start.Declared)
		}
	} else if step.Outcome != hfplan.WhereNever {
		line("  expected start: not known")
	}
	for _, p := range step.Placements {
		line("    on %s in rack %s: %d tasks", p.Worker, p.Rack, p.Tasks)
	}
	if more := step.PlacementCount - len(step.Placements); more > 0 {
		line("    and on %d more workers", more)
	}
	for _, d := range step.Displaced {
		line("    stops %d tasks of job %s step %d, queue %s", d.Tasks, d.Job, d.Step, d.Queue)
	}
	if more := step.DisplacedCount - len(step.Displaced); more > 0 {
		line("    and tasks of %d more steps", more)
	}
	line("  workers:")
	for _, group := range step.Workers {
		names := strings.Join(group.Names, ", ")
		if group.Count > len(group.Names) {
			names += ", ..."
		}
		if names != "" {
			names = " (" + names + ")"
		}
		line("    %d: %s%s", group.Count, group.Why, names)
	}
}

func formatIn(d time.Duration) string {
	if d <= 0 {
		return "now"
	}
	return "in " + d.Round(100*time.Millisecond).String()
}
