package hfserve

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// errStatus reports a response of the platform with a status other than 200.
var errStatus = eris.New("unexpected status")

// fetch returns the body of a response of the platform. limit bounds the bytes that are read.
func (s *Server) fetch(ctx context.Context, url string, timeout time.Duration, limit int64) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, fmt.Errorf("build call: %w", err)
	}
	resp, err := s.platform.Do(req)
	if err != nil {
		return nil, fmt.Errorf("call: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%w: %d", errStatus, resp.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit))
	if err != nil {
		return nil, fmt.Errorf("read answer: %w", err)
	}
	return body, nil
}
