package hfstore_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hfstore"
)

// lossyStore answers after a delay, and loses the answers to some calls.
type lossyStore struct {
	hfstore.Committer
	mu      sync.Mutex
	delay   time.Duration
	results []error // of the next calls; errLost is carried out without an answer, errLate never
	calls   int
	version int64 // of the only key
}

var (
	errLost = errors.New("carried out, answer lost")
	errLate = errors.New("not carried out, no answer")
)

func (s *lossyStore) Commit(ctx context.Context, b *hfstore.Batch) (int64, error) {
	time.Sleep(s.delay)
	s.mu.Lock()
	var result error
	if s.calls < len(s.results) {
		result = s.results[s.calls]
	}
	s.calls++
	applied := result == nil || errors.Is(result, errLost)
	conflict := applied && len(b.Conditions()) > 0 && b.Conditions()[0].Version() != s.version
	if applied && !conflict {
		s.version++
	}
	version := s.version
	s.mu.Unlock()
	switch {
	case errors.Is(result, errLost) || errors.Is(result, errLate):
		<-ctx.Done()
		return 0, fmt.Errorf("%w: %w", hfstore.ErrUnavailable, ctx.Err())
	case result != nil:
		return 0, result
	case conflict:
		return 0, hfstore.ErrConflict
	}
	return version, nil
}

// The store carries out writes and loses their answers, four in ten, for seconds. Each one used to
// cost the whole timeout of the call.
func TestLostAnswersCostOneDelayEach(t *testing.T) {
	refused := fmt.Errorf("%w: status 503", hfstore.ErrRefused)
	for name, c := range map[string]struct {
		results []error
		want    error
		calls   int
		within  time.Duration
	}{
		"answered at once":                  {nil, nil, 1, 10 * time.Millisecond},
		"carried out, answer lost":          {[]error{errLost}, hfstore.ErrConflict, 2, 200 * time.Millisecond},
		"late":                              {[]error{errLate}, nil, 2, 200 * time.Millisecond},
		"late twice":                        {[]error{errLate, errLate}, nil, 3, 300 * time.Millisecond},
		"lost three times":                  {[]error{errLate, errLate, errLate, nil}, hfstore.ErrUnavailable, 3, 700 * time.Millisecond},
		"refused":                           {[]error{refused}, hfstore.ErrRefused, 1, 10 * time.Millisecond},
		"refused after one without answer":  {[]error{errLate, refused, refused}, hfstore.ErrUnavailable, 3, 700 * time.Millisecond},
		"answered after one without answer": {[]error{errLate, refused}, nil, 3, 300 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &lossyStore{delay: 4 * time.Millisecond}
				h := hfstore.NewHedged(s, metrics.NewRegistry())
				version, err := h.Commit(t.Context(), (&hfstore.Batch{}).Require("k", 0).Put("k", nil, ""))
				require.NoError(t, err)
				s.results, s.calls = c.results, 0
				ctx, cancel := context.WithTimeout(t.Context(), 600*time.Millisecond)
				defer cancel()
				sent := time.Now()
				_, err = h.Commit(ctx, (&hfstore.Batch{}).Require("k", version).Put("k", nil, ""))
				require.ErrorIs(t, err, c.want)
				require.Equal(t, c.calls, s.calls)
				require.LessOrEqual(t, time.Since(sent), c.within)
			})
		})
	}
}

// A store that is down or slow gets no further load.
func TestStoreThatIsDownOrSlowIsNotCalledTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &lossyStore{results: []error{errLate, errLate}}
		h := hfstore.NewHedged(s, metrics.NewRegistry())
		batch := (&hfstore.Batch{}).Require("k", 0).Put("k", nil, "")
		for range 2 {
			ctx, cancel := context.WithTimeout(t.Context(), 600*time.Millisecond)
			_, err := h.Commit(ctx, batch)
			cancel()
			require.ErrorIs(t, err, hfstore.ErrUnavailable)
		}
		require.Equal(t, 2, s.calls)
		s.results, s.delay = nil, 70*time.Millisecond // the store is slow: four times as long is waited for
		for range 40 {
			_, _ = h.Commit(t.Context(), batch)
		}
		s.results, s.calls, s.delay = nil, 0, 250*time.Millisecond
		_, _ = h.Commit(t.Context(), batch)
		require.Equal(t, 1, s.calls)
		s.delay = 400 * time.Millisecond // longer than the longest wait
		for range 30 {
			_, _ = h.Commit(t.Context(), batch)
		}
		s.calls = 0
		_, _ = h.Commit(t.Context(), batch)
		require.Equal(t, 1, s.calls)
	})
}

// A batch that changes nothing on condition of its own version would take effect twice, the second time over a
// newer value.
func TestBatchThatWouldTakeEffectTwiceIsSentOnce(t *testing.T) {
	for name, c := range map[string]struct {
		batch *hfstore.Batch
		calls int
	}{
		"no condition":               {(&hfstore.Batch{}).Put("k", nil, ""), 1},
		"condition on another key":   {(&hfstore.Batch{}).Require("lead", 1).Put("k", nil, ""), 1},
		"removals":                   {(&hfstore.Batch{}).Require("lead", 1).Remove("k"), 2},
		"condition on a changed key": {(&hfstore.Batch{}).Require("lead", 1).Require("k", 1).Put("k", nil, "").Put("l", nil, ""), 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &lossyStore{}
				h := hfstore.NewHedged(s, metrics.NewRegistry())
				_, err := h.Commit(t.Context(), (&hfstore.Batch{}).Require("k", 0).Put("k", nil, ""))
				require.NoError(t, err)
				s.results, s.calls = []error{errLate, nil}, 0
				ctx, cancel := context.WithTimeout(t.Context(), 600*time.Millisecond)
				defer cancel()
				_, _ = h.Commit(ctx, c.batch)
				require.Equal(t, c.calls, s.calls)
			})
		})
	}
}
