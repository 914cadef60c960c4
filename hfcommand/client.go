package hfcommand

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/heatherfront/heatherfront/hfapi"
	"github.com/heatherfront/heatherfront/hfrequest"
)

const (
	clientTimeout = 60 * time.Second // of one call
	maxReplyBytes = 64 << 20         // of an answer's body
)

// client calls the HTTP interface of an instance.
type client struct {
	url        *string
	credential *string
	output     *string
	streams    Streams
	http       *http.Client
}

// newClient returns a client whose settings are flags of fs.
func newClient(fs *flag.FlagSet, s Streams) *client {
	return &client{
		url:        fs.String("url", "http://127.0.0.1:8080", "URL of an instance or of the balancer"),
		credential: fs.String("credential", "", "name:secret"),
		output:     fs.String("o", "table", "output: table or json"),
		streams:    s, http: &http.Client{Timeout: clientTimeout},
	}
}

// validate checks the flags.
func (c *client) validate() error {
	if *c.output != "table" && *c.output != "json" {
		return fmt.Errorf("%w: -o is table or json", ErrUsage)
	}
	if !strings.HasPrefix(*c.url, "http://") && !strings.HasPrefix(*c.url, "https://") {
		return fmt.Errorf("%w: --url begins with http:// or https://", ErrUsage)
	}
	return nil
}

// send makes one call and returns the body and header of the answer. If the answer is not a
// success or there is none, the error has the exit code that corresponds to it.
func (c *client) send(ctx context.Context, method, path string, body []byte, header http.Header) ([]byte, http.Header, error) {
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimRight(*c.url, "/")+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, fmt.Errorf("build call: %w", err)
	}
	for k, v := range header {
		req.Header[k] = v
	}
	req.Header.Set("Authorization", "Bearer "+*c.credential)
	resp, err := c.http.Do(req)
	if err != nil {
		exit := ExitUnknown
		if method == http.MethodGet {
			exit = ExitNotRun
		}
		return nil, nil, &exitError{exit: exit, reason: "no answer: " + err.Error()}
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return nil, nil, &exitError{exit: ExitUnknown, reason: "the answer broke off: " + err.Error()}
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return raw, resp.Header, statusError(resp, raw)
	}
	return raw, resp.Header, nil
}

// statusError converts an answer other than success into an error with an exit code.
func statusError(resp *http.Response, raw []byte) error {
	var p hfapi.Problem
	if err := json.Unmarshal(raw, &p); err != nil || p.Reason == "" {
		p.Reason = strings.TrimSpace(string(raw))
	}
	exit := ExitUsage
	switch {
	case resp.Header.Get(hfrequest.HeaderOutcome) == string(hfrequest.OutcomeFailed):
		exit = ExitFailed
	case p.Outcome == string(hfrequest.OutcomeUnknown):
		exit = ExitUnknown
	case resp.StatusCode == http.StatusNotFound:
		exit = ExitNotFound
	case resp.StatusCode == http.StatusConflict:
		exit = ExitConflict
	case resp.StatusCode == http.StatusServiceUnavailable, resp.StatusCode == http.StatusMisdirectedRequest:
		exit = ExitNotRun
	}
	return &exitError{exit: exit, reason: p.Reason}
}

// callJSON makes one call and decodes its JSON answer.
func callJSON[T any](ctx context.Context, c *client, method, path string, body []byte) (T, error) {
	var answer T
	raw, _, err := c.send(ctx, method, path, body, nil)
	if err != nil {
		return answer, fmt.Errorf("call: %w", err)
	}
	if err := json.Unmarshal(raw, &answer); err != nil {
		return answer, fmt.Errorf("read answer: %w", err)
	}
	return answer, nil
}

// print writes value as JSON, or columns and rows as a table, depending on the flag -o.
func (c *client) print(value any, columns []string, rows [][]string) error {
	if *c.output == "json" {
		e := json.NewEncoder(c.streams.out)
		e.SetIndent("", "  ")
		if err := e.Encode(value); err != nil {
			return fmt.Errorf("write answer: %w", err)
		}
		return nil
	}
	w := tabwriter.NewWriter(c.streams.out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, strings.Join(columns, "\t"))
	for _, r := range rows {
		_, _ = fmt.Fprintln(w, strings.Join(r, "\t"))
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return nil
}
