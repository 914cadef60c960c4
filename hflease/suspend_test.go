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

// outageStore is a store that can go away. Its lease pauses meanwhile, or lapses.
type outageStore struct {
	hfstore.Store
	mu     sync.Mutex
	away   bool
	lapsed bool
}

func (s *outageStore) Renew(context.Context, string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.away:
		return hfstore.ErrUnavailable
	case s.lapsed:
		return hfstore.ErrLeaseLost
	}
	return nil
}

func (s *outageStore) Revoke(context.Context, string) error { return nil }

func (s *outageStore) set(away, lapsed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away, s.lapsed = away, lapsed
}

// recordingResumer stores the key again at epoch 9, unless it fails with err.
type recordingResumer struct {
	store      *outageStore
	err        error
	suspended  chan struct{}
	resumed    chan struct{}
	reacquired int
}

func newRecordingResumer(s *outageStore, err error) *recordingResumer {
	return &recordingResumer{store: s, err: err, suspended: make(chan struct{}, 9), resumed: make(chan struct{}, 9)}
}

func (r *recordingResumer) Suspended() { r.suspended <- struct{}{} }
func (r *recordingResumer) Resumed()   { r.resumed <- struct{}{} }

func (r *recordingResumer) Reacquire(context.Context) (hflease.Reacquired, error) {
	r.reacquired++
	if r.err != nil {
		return hflease.Reacquired{}, r.err
	}
	r.store.set(false, false)
	return hflease.NewReacquired("8", 9, hflease.Now()), nil
}

const outageTTL = 200 * time.Millisecond

// holdThroughOutage holds a tenure of epoch 5 whose store goes away, and calls during once the tenure is
// suspended.
func holdThroughOutage(t *testing.T, s *outageStore, r *recordingResumer, during func(ctx context.Context, tenure *hflease.Tenure) error) error {
	t.Helper()
	tenure := hflease.NewTenure(5, hflease.Now(), outageTTL)
	tenure.AllowSuspension()
	s.set(true, false)
	return hflease.HoldResumable(t.Context(), s, tenure, "7", outageTTL, r, func(ctx context.Context) error {
		select {
		case <-r.suspended:
		case <-ctx.Done():
			return ctx.Err()
		}
		if tenure.Valid(hflease.Now()) || !tenure.Suspended(hflease.Now()) {
			return errors.New("the tenure is not suspended")
		}
		return during(ctx, tenure)
	})
}

// The scheduler lost its state in every outage of the store of more than 1.4 s, and callers waited for an
// election, a list of all details and the workers' reports after it.
func TestTenureOutlastsOutageInWhichItsLeasePaused(t *testing.T) {
	s := &outageStore{}
	r := newRecordingResumer(s, nil)
	errDone := errors.New("done")
	err := holdThroughOutage(t, s, r, func(ctx context.Context, tenure *hflease.Tenure) error {
		s.set(false, false)
		select {
		case <-r.resumed:
		case <-ctx.Done():
			return ctx.Err()
		}
		require.True(t, tenure.Valid(hflease.Now()))
		require.Equal(t, int64(5), tenure.Epoch())
		require.Zero(t, r.reacquired)
		return errDone
	})
	require.ErrorIs(t, err, errDone)
}

func TestTenureOutlastsOutageInWhichItsLeaseLapsed(t *testing.T) {
	s := &outageStore{}
	r := newRecordingResumer(s, nil)
	errDone := errors.New("done")
	err := holdThroughOutage(t, s, r, func(ctx context.Context, tenure *hflease.Tenure) error {
		s.set(false, true)
		select {
		case <-r.resumed:
		case <-ctx.Done():
			return ctx.Err()
		}
		require.True(t, tenure.Valid(hflease.Now()))
		require.Equal(t, int64(9), tenure.Epoch())
		return errDone
	})
	require.ErrorIs(t, err, errDone)
}

func TestTenureEndsIfAnotherHolderMayHaveActed(t *testing.T) {
	s := &outageStore{}
	r := newRecordingResumer(s, hflease.ErrSuperseded)
	err := holdThroughOutage(t, s, r, func(ctx context.Context, tenure *hflease.Tenure) error {
		s.set(false, true)
		<-ctx.Done()
		require.False(t, tenure.Valid(hflease.Now()))
		require.False(t, tenure.Suspended(hflease.Now()))
		return nil
	})
	require.NoError(t, err)
	require.Equal(t, 1, r.reacquired)
}

func TestReacquisitionIsRepeatedWhileItsResultIsUnknown(t *testing.T) {
	s := &outageStore{}
	r := newRecordingResumer(s, hfstore.ErrUnavailable)
	errDone := errors.New("done")
	err := holdThroughOutage(t, s, r, func(ctx context.Context, _ *hflease.Tenure) error {
		s.set(false, true)
		sleep(ctx, 4*outageTTL)
		return errDone
	})
	require.ErrorIs(t, err, errDone)
	require.Greater(t, r.reacquired, 1)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// A lease that the store ends while the holder still counts on it was ended by somebody.
func TestLostLeaseEndsValidTenure(t *testing.T) {
	s := &outageStore{lapsed: true}
	r := newRecordingResumer(s, nil)
	tenure := hflease.NewTenure(5, hflease.Now(), time.Second)
	tenure.AllowSuspension()
	err := hflease.HoldResumable(t.Context(), s, tenure, "7", time.Second, r, func(ctx context.Context) error {
		<-ctx.Done()
		return nil
	})
	require.NoError(t, err)
	require.Zero(t, r.reacquired)
	require.False(t, tenure.Suspended(hflease.Now()))
}

func TestSuspensionHasABound(t *testing.T) {
	now := time.Unix(1000, 0)
	tenure := hflease.NewTenure(5, now, 1600*time.Millisecond)
	require.False(t, tenure.Suspended(now.Add(2*time.Second)), "it was not allowed")
	tenure.AllowSuspension()
	require.False(t, tenure.Suspended(now.Add(time.Second)), "it is valid")
	require.True(t, tenure.Suspended(now.Add(2*time.Second)))
	require.False(t, tenure.Suspended(now.Add(2*time.Second).Add(hflease.MaxSuspension)))
	tenure.Expire()
	require.False(t, tenure.Suspended(now.Add(2*time.Second)), "it has ended")
}

// frozenStore holds up the process in the first renewal after the tenure has expired, as if it was frozen.
type frozenStore struct {
	*outageStore
	tenure *hflease.Tenure
	frozen bool
}

func (s *frozenStore) Renew(ctx context.Context, lease string) error {
	if !s.frozen && !s.tenure.Valid(hflease.Now()) {
		s.frozen = true
		time.Sleep(4 * time.Second)
		s.set(false, false)
		return hfstore.ErrUnavailable
	}
	return s.outageStore.Renew(ctx, lease)
}

// What a frozen process has in memory is older than it can know.
func TestFreezeEndsSuspendedTenure(t *testing.T) {
	tenure := hflease.NewTenure(5, hflease.Now(), outageTTL)
	tenure.AllowSuspension()
	s := &frozenStore{outageStore: &outageStore{away: true}, tenure: tenure}
	r := newRecordingResumer(s.outageStore, nil)
	err := hflease.HoldResumable(t.Context(), s, tenure, "7", outageTTL, r, func(ctx context.Context) error {
		<-ctx.Done()
		return nil
	})
	require.NoError(t, err)
	require.False(t, tenure.Valid(hflease.Now()))
	require.Empty(t, r.resumed)
}
