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
	// ErrNoAnswer reports a call to a worker that got no answer. It may have had its
	// effect.
	ErrNoAnswer = eris.New("no answer from the worker")
	// ErrRefused reports that the worker answered that it does not do so.
	ErrRefused = eris.New("refused by the worker")
)

// callTimeout bounds one call to a worker.
const callTimeout = time.Second

// maxReportBytes bounds one report.
const maxReportBytes = 4 << 20

// Client speaks the workers' HTTP protocol.
type Client struct{ http *http.Client }

// NewClient returns a client.
func NewClient(c *http.Client) *Client { return &Client{http: c} }

// Start is a request to start one task held.
type Start struct {
	ID      string `json:"id"`
	Job     string `json:"job"`
	Attempt uint32 `json:"attempt"`
	Index   uint32 `json:"index"`
	Size    uint32 `json:"size"`
	First   uint32 `json:"first"` // accelerator
	Count   uint32 `json:"count"`
	Lease   int64  `json:"lease"` // milliseconds
	Run     int64  `json:"run"`   // milliseconds
	From    int64  `json:"from"`  // milliseconds kept by a checkpoint
	Command string `json:"command"`
}

type taskBody struct {
	ID    string `json:"id"`
	State string `json:"state"`
	From  int64  `json:"from"`
}

type renewBody struct {
	Tasks []string `json:"tasks"`
	Lease int64    `json:"lease"`
}

type reportBody struct {
	Tasks []taskBody `json:"tasks"`
}

// Start starts a task held and returns its state. It fails with ErrNoAnswer or
// ErrRefused.
func (c *Client) Start(ctx context.Context, address string, s Start) (string, error) {
	var t taskBody
	if err := c.post(ctx, address, "/v1/tasks", s, &t); err != nil {
		return "", fmt.Errorf("start %s: %w", s.ID, err)
	}
	return t.State, nil
}

// Act releases, checkpoints or stops a task. It returns the task's state and the
// run time that a checkpoint kept, in milliseconds.
func (c *Client) Act(ctx context.Context, address, task, verb string) (state string, from int64, err error) {
	var t taskBody
	if err := c.post(ctx, address, "/v1/tasks/"+task+"/"+verb, nil, &t); err != nil {
		return "", 0, fmt.Errorf("%s %s: %w", verb, task, err)
	}
	return t.State, t.From, nil
}

// Renew extends the leases of some tasks and returns all tasks of the worker.
// Tasks with ids of other programs are left out.
func (c *Client) Renew(ctx context.Context, address string, tasks []string, lease time.Duration) ([]*hfwire.Task, error) {
	var r reportBody
	if err := c.post(ctx, address, "/v1/renew", renewBody{Tasks: tasks, Lease: lease.Milliseconds()}, &r); err != nil {
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
