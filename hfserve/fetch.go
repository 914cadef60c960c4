package hfserve

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// errStatus reports a response of the platform with a status other than 200.
var errStatus = eris.New("unexpected status")

// fetch decodes a JSON response of the platform into dst and returns its size in bytes.
// limit bounds the bytes that are read.
func (s *Server) fetch(ctx context.Context, url string, timeout time.Duration, limit int64, dst any) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, fmt.Errorf("build call: %w", err)
	}
	resp, err := s.platform.Do(req)
	if err != nil {
		return 0, fmt.Errorf("call: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("%w: %d", errStatus, resp.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit))
	if err != nil {
		return 0, fmt.Errorf("read answer: %w", err)
	}
	if err := json.Unmarshal(body, dst); err != nil {
		return 0, fmt.Errorf("decode answer: %w", err)
	}
	return len(body), nil
}
