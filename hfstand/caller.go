package hfstand

import (
	"fmt"
	"io"
	"net/http"
	"time"
)

// Caller is an HTTP client that calls instances as a caller of the operators' platform
// does, with a host name and a key.
type Caller struct {
	host, key string
	client    *http.Client
}

// NewCaller returns a caller with a key. Each call opens a new connection and ends after
// timeout.
func NewCaller(host, key string, timeout time.Duration) *Caller {
	return &Caller{host: host, key: key, client: &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// Call sends a request and returns the status and body of the answer.
func (c *Caller) Call(method, address, path string, body io.Reader) (int, string, error) {
	req, err := http.NewRequest(method, "http://"+address+path, body)
	if err != nil {
		return 0, "", fmt.Errorf("build request: %w", err)
	}
	req.Host = c.host
	req.Header.Set("Heatherfront-Key", c.key)
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, "", fmt.Errorf("call: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, "", fmt.Errorf("read answer: %w", err)
	}
	return resp.StatusCode, string(raw), nil
}
