package hfstore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// maxWatchWait is the time after which the store ends a watch that has no event. A connection that has
// gone silent is found after this time and the timeout of a call.
const maxWatchWait = 8 * time.Second

// Client calls the platform's store over HTTP.
type Client struct {
	baseURL string       // http://IP:port, without a trailing slash
	http    *http.Client // has no timeout, because watches take long
	timeout func() time.Duration
}

// New returns a client of the store at baseURL. Calls other than watches fail after
// timeout.
//
//	c := hfstore.New("http://10.0.0.1:7000", http.DefaultClient, 2*time.Second)
func New(baseURL string, client *http.Client, timeout time.Duration) *Client {
	return &Client{baseURL: baseURL, http: client, timeout: func() time.Duration { return timeout }}
}

type itemBody struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version int64  `json:"version"`
	Deleted bool   `json:"deleted,omitempty"`
}

type listBody struct {
	Items    []itemBody `json:"items"`
	Revision int64      `json:"revision"`
}

type leaseBody struct {
	ID  string `json:"id"`
	TTL int64  `json:"ttl"`
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Item, error) {
	var body itemBody
	if err := c.call(ctx, http.MethodGet, "/v1/keys/"+key, nil, nil, &body); err != nil {
		return Item{}, fmt.Errorf("get %s: %w", key, err)
	}
	return body.toItem(), nil
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) ([]Item, int64, error) {
	var body listBody
	query := url.Values{"prefix": {prefix}}
	if err := c.call(ctx, http.MethodGet, "/v1/list", query, nil, &body); err != nil {
		return nil, 0, fmt.Errorf("list %s: %w", prefix, err)
	}
	return body.toItems(), body.Revision, nil
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, key string, value []byte, version int64, lease string) (int64, error) {
	var body itemBody
	query := url.Values{"version": {strconv.FormatInt(version, 10)}}
	if lease != "" {
		query.Set("lease", lease)
	}
	if err := c.call(ctx, http.MethodPut, "/v1/keys/"+key, query, value, &body); err != nil {
		return 0, fmt.Errorf("put %s: %w", key, err)
	}
	return body.Version, nil
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, version int64) error {
	query := url.Values{"version": {strconv.FormatInt(version, 10)}}
	if err := c.call(ctx, http.MethodDelete, "/v1/keys/"+key, query, nil, nil); err != nil {
		return fmt.Errorf("delete %s: %w", key, err)
	}
	return nil
}

// Watch implements Store. It returns without events after maxWatchWait.
func (c *Client) Watch(ctx context.Context, prefix string, after int64) ([]Item, int64, error) {
	var body listBody
	query := url.Values{
		"prefix": {prefix},
		"after":  {strconv.FormatInt(after, 10)},
		"wait":   {strconv.FormatInt(maxWatchWait.Milliseconds(), 10)},
	}
	ctx, cancel := context.WithTimeout(ctx, maxWatchWait+c.timeout())
	defer cancel()
	if err := c.send(ctx, http.MethodGet, "/v1/watch", query, nil, &body); err != nil {
		return nil, 0, fmt.Errorf("watch %s: %w", prefix, err)
	}
	return body.toItems(), body.Revision, nil
}

// Grant implements Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (string, error) {
	var body leaseBody
	query := url.Values{"ttl": {strconv.FormatInt(ttl.Milliseconds(), 10)}}
	if err := c.call(ctx, http.MethodPost, "/v1/leases", query, nil, &body); err != nil {
		return "", fmt.Errorf("grant lease: %w", err)
	}
	return body.ID, nil
}

// Renew implements Store.
func (c *Client) Renew(ctx context.Context, lease string) error {
	err := c.call(ctx, http.MethodPut, "/v1/leases/"+lease, nil, nil, nil)
	if errors.Is(err, ErrNotFound) {
		return fmt.Errorf("renew lease: %w", ErrLeaseLost)
	}
	if err != nil {
		return fmt.Errorf("renew lease: %w", err)
	}
	return nil
}

// Revoke implements Store.
func (c *Client) Revoke(ctx context.Context, lease string) error {
	if err := c.call(ctx, http.MethodDelete, "/v1/leases/"+lease, nil, nil, nil); err != nil {
		return fmt.Errorf("revoke lease: %w", err)
	}
	return nil
}

// call sends a request and ends it after the timeout of the client.
func (c *Client) call(ctx context.Context, method, path string, query url.Values, body []byte, result any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout())
	defer cancel()
	return c.send(ctx, method, path, query, body, result)
}

// send sends a request and decodes the response into result, unless result is nil.
func (c *Client) send(ctx context.Context, method, path string, query url.Values, body []byte, result any) error {
	target := c.baseURL + path
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}
	resp, err := c.http.Do(req)
	if errors.Is(err, context.DeadlineExceeded) {
		c.http.CloseIdleConnections() // they may have gone silent together with that of this call
	}
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := statusError(resp.StatusCode); err != nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, MaxValueBytes))
		return fmt.Errorf("%s: %w", method, err)
	}
	if result == nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, MaxValueBytes))
		return nil
	}
	if err := json.NewDecoder(resp.Body).Decode(result); err != nil {
		return fmt.Errorf("%w: incomplete answer: %w", ErrUnavailable, err)
	}
	return nil
}

func statusError(status int) error {
	switch {
	case status < http.StatusMultipleChoices:
		return nil
	case status == http.StatusNotFound:
		return ErrNotFound
	case status == http.StatusConflict:
		return ErrConflict
	case status == http.StatusGone:
		return ErrCompacted
	default:
		return fmt.Errorf("%w: status %d", ErrUnavailable, status)
	}
}

func (b itemBody) toItem() Item {
	return Item{key: b.Key, value: b.Value, version: b.Version, deleted: b.Deleted}
}

func (b listBody) toItems() []Item {
	items := make([]Item, 0, len(b.Items))
	for _, i := range b.Items {
		items = append(items, i.toItem())
	}
	return items
}
