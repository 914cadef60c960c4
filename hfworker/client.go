package hfworker

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/heatherfront/heatherfront/hfwire"
)

var (
	// ErrNoAnswer reports a call to a worker without a usable answer. The worker may
	// have carried it out.
	ErrNoAnswer = eris.New("no answer from the worker")
	// ErrRefused reports a call that the worker answered with a refusal.
	ErrRefused = eris.New("refused by the worker")
)

// callTimeout is the time limit of one call to a worker.
const callTimeout = time.Second

// maxReportBytes is the maximum size of a worker's answer.
const maxReportBytes = 4 << 20

// Client calls workers over their HTTP protocol.
type Client struct{ http *http.Client }

// NewClient returns a Client that sends its calls through c.
func NewClient(c *http.Client) *Client { return &Client{http: c} }

// Start is a request to start a task in StateHeld. The task does not run before it is
// released.
type Start struct {
	ID      string `json:"id"`
	Job     string `json:"job"`
	Attempt uint32 `json:"attempt"`
	Index   uint32 `json:"index"`
	Size    uint32 `json:"size"`
	First   uint32 `json:"first"` // first accelerator on the worker
	Count   uint32 `json:"count"` // accelerators
	Lease   int64  `json:"lease"` // lease duration in milliseconds
	Run     int64  `json:"run"`   // expected run time in milliseconds
	From    int64  `json:"from"`  // run time in milliseconds that the checkpoint to resume from covers
	Command string `json:"command"`
}

type taskReply struct {
	ID    string `json:"id"`
	State string `json:"state"`
	From  int64  `json:"from"`
}

type renewRequest struct {
	Tasks []string `json:"tasks"`
	Lease int64    `json:"lease"`
}

type reportReply struct {
	Tasks []taskReply `json:"tasks"`
}

// Start starts a task in StateHeld and returns its state. The error is ErrNoAnswer or
// ErrRefused.
func (c *Client) Start(ctx context.Context, address string, s Start) (string, error) {
	var t taskReply
	if err := c.post(ctx, address, "/v1/tasks", s, &t); err != nil {
		return "", fmt.Errorf("start %s: %w", s.ID, err)
	}
	return t.State, nil
}

// ControlTask releases, checkpoints or stops a task. It returns the task's state and the
// run time that its last checkpoint covers, in milliseconds.
func (c *Client) ControlTask(ctx context.Context, address, task, verb string) (state string, from int64, err error) {
	var t taskReply
	if err := c.post(ctx, address, "/v1/tasks/"+task+"/"+verb, nil, &t); err != nil {
		return "", 0, fmt.Errorf("%s %s: %w", verb, task, err)
	}
	return t.State, t.From, nil
}

// Renew extends the leases of the given tasks and returns all tasks of the worker. Tasks
// whose ids were not made by TaskID are skipped: other programs started them.
func (c *Client) Renew(ctx context.Context, address string, tasks []string, lease time.Duration) ([]*hfwire.Task, error) {
	var r reportReply
	if err := c.post(ctx, address, "/v1/renew", renewRequest{Tasks: tasks, Lease: lease.Milliseconds()}, &r); err != nil {
		return nil, fmt.Errorf("renew: %w", err)
	}
	list := make([]*hfwire.Task, 0, len(r.Tasks))
	for _, t := range r.Tasks {
		task, err := ParseTask(t.ID, t.State)
		if err != nil {
			continue
		}
		list = append(list, task)
	}
	return list, nil
}

func (c *Client) post(ctx context.Context, address, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	body, err := json.Marshal(in)
	if err != nil {
		return fmt.Errorf("encode call: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("build call: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNoAnswer, err)
	}
	defer func() { _ = resp.Body.Close() }()
	limited := io.LimitReader(resp.Body, maxReportBytes)
	if resp.StatusCode == http.StatusConflict || resp.StatusCode == http.StatusNotFound {
		_, _ = io.Copy(io.Discard, limited)
		return ErrRefused
	}
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, limited)
		return fmt.Errorf("%w: status %d", ErrNoAnswer, resp.StatusCode)
	}
	if err := json.NewDecoder(limited).Decode(out); err != nil {
		return fmt.Errorf("%w: %w", ErrNoAnswer, err)
	}
	return nil
}
