package hflease_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hflease"
	"github.com/heatherfront/heatherfront/hfstore"
)

// fakeStore stores one key and injects failures.
type fakeStore struct {
	hfstore.Store
	mu              sync.Mutex
	value           []byte
	putErr          error // result of Put
	written         bool  // Put stores the value, also when it fails
	hangingRenewals int   // number of next renewals that get no answer
	renewals        int
	revoked         bool
}

func (s *fakeStore) Grant(context.Context, time.Duration) (string, error) { return "7", nil }

func (s *fakeStore) Put(_ context.Context, _ string, value []byte, _ int64, _ string) (int64, error) {
	if s.written {
		s.value = value
	}
	return 5, s.putErr
}

func (s *fakeStore) Get(context.Context, string) (hfstore.Item, error) {
	if s.value == nil {
		return hfstore.Item{}, hfstore.ErrNotFound
	}
	return hfstore.NewItem("k", s.value, 5, false), nil
}

func (s *fakeStore) Renew(ctx context.Context, _ string) error {
	s.mu.Lock()
	s.renewals++
	hangs := s.hangingRenewals > 0
	s.hangingRenewals--
	s.mu.Unlock()
	if hangs {
		<-ctx.Done()
		return hfstore.ErrUnavailable
	}
	return nil
}

func (s *fakeStore) Revoke(context.Context, string) error {
	s.revoked = true
	return nil
}

func TestTakeResolvesFailedWrite(t *testing.T) {
	for name, tc := range map[string]struct {
		store *fakeStore
		err   error
	}{
		"answered":                              {&fakeStore{written: true}, nil},
		"without an answer, written":            {&fakeStore{written: true, putErr: hfstore.ErrUnavailable}, nil},
		"without an answer, not written":        {&fakeStore{putErr: hfstore.ErrUnavailable}, hfstore.ErrUnavailable},
		"conflict with its own earlier attempt": {&fakeStore{written: true, putErr: hfstore.ErrConflict}, nil},
		"conflict with another holder":          {&fakeStore{value: []byte("other"), putErr: hfstore.ErrConflict}, hflease.ErrHeld},
		"conflict, key released since":          {&fakeStore{putErr: hfstore.ErrConflict}, hflease.ErrHeld},
	} {
		t.Run(name, func(t *testing.T) {
			s := tc.store
			value := func(leaseID string) ([]byte, error) { return []byte("mine " + leaseID), nil }
			tenure, _, err := hflease.Acquire(t.Context(), s, "k", value, time.Second)
			require.ErrorIs(t, err, tc.err)
			if tc.err != nil {
				require.True(t, s.revoked, "the lease is revoked")
				return
			}
			require.Equal(t, int64(5), tenure.Epoch())
			require.Equal(t, "mine 7", string(s.value))
		})
	}
}

func TestTenureEndsBeforeItsLease(t *testing.T) {
	now := time.Unix(1000, 0)
	tenure := hflease.NewTenure(5, now, 1600*time.Millisecond)
	require.True(t, tenure.Valid(now.Add(1300*time.Millisecond)))
	require.False(t, tenure.Valid(now.Add(1500*time.Millisecond)))
}

// TestTenureSurvivesTwoHangingRenewals guards against a tenure that expires because its
// connection stopped responding: a renewal must time out early enough for another attempt.
func TestTenureSurvivesTwoHangingRenewals(t *testing.T) {
	s, ttl := &fakeStore{hangingRenewals: 2}, 1600*time.Millisecond
	tenure := hflease.NewTenure(5, hflease.Now(), ttl)
	errDone := errors.New("work done")
	err := hflease.Hold(t.Context(), s, tenure, "7", ttl, func(ctx context.Context) error {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(2 * ttl):
			return errDone
		}
	})
	require.ErrorIs(t, err, errDone)
	require.True(t, s.revoked)
}
