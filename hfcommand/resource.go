package hfcommand

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/heatherfront/heatherfront/hfaccount"
	"github.com/heatherfront/heatherfront/hfapi"
	"github.com/heatherfront/heatherfront/hfconfig"
)

const (
	waitInterval       = 200 * time.Millisecond // between two checks
	defaultWaitTimeout = 11 * time.Second       // time within which an accepted change must be in force on every instance
)

func applyCommand(s Streams) *ffcli.Command {
	var file *string
	return newClientCommand(s, "apply", "-f FILE", "declare resources from a YAML or JSON file", func(fs *flag.FlagSet) {
		file = fs.String("f", "", "file of manifests, or - for standard input")
	}, func(ctx context.Context, c *client, _ []string) error {
		manifests, err := readManifests(s, *file)
		if err != nil {
			return fmt.Errorf("apply: %w", err)
		}
		rank := map[hfconfig.Kind]int{}
		for i, k := range hfconfig.Kinds() {
			rank[k] = i
		}
		sort.SliceStable(manifests, func(i, j int) bool { return rank[manifests[i].Kind] < rank[manifests[j].Kind] })
		list := []hfapi.ResourceStatus{}
		for _, m := range manifests {
			body, err := json.Marshal(m)
			if err != nil {
				return fmt.Errorf("encode %s %s: %w", m.Kind, m.Name, err)
			}
			r, err := callJSON[hfapi.ResourceStatus](ctx, c, http.MethodPut, resourcePath(string(m.Kind), m.Name), body)
			if err != nil {
				return fmt.Errorf("apply %s %s: %w", m.Kind, m.Name, err)
			}
			list = append(list, r)
		}
		return printResources(c, list)
	})
}

func readManifests(s Streams, file string) ([]hfconfig.Manifest, error) {
	if file == "" {
		return nil, fmt.Errorf("%w: -f is required", ErrUsage)
	}
	var r io.Reader = s.in
	if file != "-" {
		f, err := os.Open(file)
		if err != nil {
			return nil, fmt.Errorf("open manifest: %w", err)
		}
		defer func() { _ = f.Close() }()
		r = f
	}
	manifests, err := hfconfig.ReadManifests(r)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	if len(manifests) == 0 {
		return nil, fmt.Errorf("%w: %s holds no manifest", ErrUsage, file)
	}
	return manifests, nil
}

// resourcePath returns the path of a resource in the HTTP interface.
func resourcePath(kind, name string) string {
	return "/v1/resources/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

func printResources(c *client, list []hfapi.ResourceStatus) error {
	rows := make([][]string, 0, len(list))
	for _, r := range list {
		spec, err := json.Marshal(r.Spec)
		if err != nil {
			return fmt.Errorf("encode spec: %w", err)
		}
		text := string(spec)
		if r.Deleted {
			text = "deleted"
		}
		rows = append(rows, []string{string(r.Kind), r.Name, strconv.FormatInt(r.Revision, 10), text})
	}
	return c.print(list, []string{"KIND", "NAME", "REVISION", "SPEC"}, rows)
}

// splitResource parses KIND/NAME.
func splitResource(arg string) (kind, name string, err error) {
	kind, name, ok := strings.Cut(arg, "/")
	if !ok || kind == "" || name == "" {
		return "", "", fmt.Errorf("%w: %q is not KIND/NAME", ErrUsage, arg)
	}
	return kind, name, nil
}

func getCommand(s Streams) *ffcli.Command {
	return newClientCommand(s, "get", "KIND/NAME", "show one resource and where it is in force", nil, func(ctx context.Context, c *client, args []string) error {
		arg, err := singleArgument(args, "KIND/NAME")
		if err != nil {
			return fmt.Errorf("get: %w", err)
		}
		kind, name, err := splitResource(arg)
		if err != nil {
			return fmt.Errorf("get: %w", err)
		}
		r, err := callJSON[hfapi.ResourceStatus](ctx, c, http.MethodGet, resourcePath(kind, name), nil)
		if err != nil {
			return fmt.Errorf("get %s: %w", arg, err)
		}
		if err := printResources(c, []hfapi.ResourceStatus{r}); err != nil {
			return fmt.Errorf("get %s: %w", arg, err)
		}
		if *c.output == "json" {
			return nil
		}
		for _, instance := range sortedKeys(r.Applied) {
			_, _ = fmt.Fprintf(s.out, "in force on %s: %t\n", instance, r.Applied[instance])
		}
		for _, p := range r.Problems {
			_, _ = fmt.Fprintln(s.out, "problem:", p)
		}
		return nil
	})
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

func listCommand(s Streams) *ffcli.Command {
	return newClientCommand(s, "list", "KIND", "list the resources of a kind", nil, func(ctx context.Context, c *client, args []string) error {
		kind, err := singleArgument(args, "account, work, caller, merge or objective")
		if err != nil {
			return fmt.Errorf("list: %w", err)
		}
		list, err := callJSON[[]hfapi.ResourceStatus](ctx, c, http.MethodGet, "/v1/resources/"+url.PathEscape(kind), nil)
		if err != nil {
			return fmt.Errorf("list %s: %w", kind, err)
		}
		return printResources(c, list)
	})
}

func deleteCommand(s Streams) *ffcli.Command {
	var revision *int64
	return newClientCommand(s, "delete", "KIND/NAME", "delete a resource; deleting a merge that is not committed undoes it", func(fs *flag.FlagSet) {
		revision = fs.Int64("revision", 0, "expected revision; 0 means any")
	}, func(ctx context.Context, c *client, args []string) error {
		arg, err := singleArgument(args, "KIND/NAME")
		if err != nil {
			return fmt.Errorf("delete: %w", err)
		}
		kind, name, err := splitResource(arg)
		if err != nil {
			return fmt.Errorf("delete: %w", err)
		}
		path := resourcePath(kind, name) + "?revision=" + strconv.FormatInt(*revision, 10)
		r, err := callJSON[hfapi.ResourceStatus](ctx, c, http.MethodDelete, path, nil)
		if err != nil {
			return fmt.Errorf("delete %s: %w", arg, err)
		}
		return printResources(c, []hfapi.ResourceStatus{r})
	})
}

func watchCommand(s Streams) *ffcli.Command {
	var after *int64
	return newClientCommand(s, "watch", "", "print each change of a resource as it comes into force", func(fs *flag.FlagSet) {
		after = fs.Int64("after", 0, "print only changes after this revision")
	}, func(ctx context.Context, c *client, _ []string) error {
		from := *after
		for ctx.Err() == nil {
			list, err := callJSON[[]hfapi.ResourceStatus](ctx, c, http.MethodGet, "/v1/watch?after="+strconv.FormatInt(from, 10), nil)
			if ctx.Err() != nil {
				return nil
			}
			if err != nil {
				return fmt.Errorf("watch: %w", err)
			}
			if len(list) == 0 {
				continue
			}
			from = list[len(list)-1].Revision
			if err := printResources(c, list); err != nil {
				return fmt.Errorf("watch: %w", err)
			}
		}
		return nil
	})
}

func waitCommand(s Streams) *ffcli.Command {
	var revision *int64
	var timeout *time.Duration
	return newClientCommand(s, "wait", "--applied REVISION", "wait until a revision is in force on every instance", func(fs *flag.FlagSet) {
		revision = fs.Int64("applied", 0, "revision")
		timeout = fs.Duration("timeout", defaultWaitTimeout, "give up after this time")
	}, func(ctx context.Context, c *client, _ []string) error {
		ctx, cancel := context.WithTimeout(ctx, *timeout)
		defer cancel()
		for {
			applied, err := callJSON[map[string]bool](ctx, c, http.MethodGet, "/v1/applied?revision="+strconv.FormatInt(*revision, 10), nil)
			if err == nil && appliedEverywhere(applied) {
				return c.print(applied, []string{"INSTANCE", "IN FORCE"}, appliedRows(applied))
			}
			select {
			case <-time.After(waitInterval):
			case <-ctx.Done():
				return &exitError{exit: ExitNotRun, reason: fmt.Sprintf("revision %d is not in force everywhere: %v", *revision, notApplied(applied))}
			}
		}
	})
}

// appliedEverywhere reports whether there are instances and all of them applied a revision.
func appliedEverywhere(applied map[string]bool) bool {
	for _, ok := range applied {
		if !ok {
			return false
		}
	}
	return len(applied) > 0
}

// notApplied returns the instances that have not applied a revision.
func notApplied(applied map[string]bool) []string {
	var names []string
	for _, name := range sortedKeys(applied) {
		if !applied[name] {
			names = append(names, name)
		}
	}
	return names
}

// appliedRows returns one table row for each instance.
func appliedRows(applied map[string]bool) [][]string {
	rows := make([][]string, 0, len(applied))
	for _, name := range sortedKeys(applied) {
		rows = append(rows, []string{name, strconv.FormatBool(applied[name])})
	}
	return rows
}

func planCommand(s Streams) *ffcli.Command {
	return newClientCommand(s, "plan", "FROM INTO", "show what a merge of two accounts would move, without changing anything", nil, func(ctx context.Context, c *client, args []string) error {
		if len(args) != 2 {
			return fmt.Errorf("%w: two accounts are needed", ErrUsage)
		}
		query := url.Values{"from": {args[0]}, "into": {args[1]}}
		plan, err := callJSON[hfaccount.MergePlan](ctx, c, http.MethodGet, "/v1/plan?"+query.Encode(), nil)
		if err != nil {
			return fmt.Errorf("plan: %w", err)
		}
		var rows [][]string
		for _, m := range plan.Moves {
			rows = append(rows, []string{"moves", m})
		}
		for _, m := range plan.Conflicts {
			rows = append(rows, []string{"conflict", m})
		}
		return c.print(plan, []string{"WHAT", "DETAIL"}, rows)
	})
}
