package hfrelay_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/heatherfront/heatherfront/hfpeer"
	"github.com/heatherfront/heatherfront/hfrelay"
	"github.com/heatherfront/heatherfront/hfstore"
)

// silentStore is the direct access to a store that gives no answer to the first read.
type silentStore struct {
	*fakeStore
	reads    atomic.Int32
	timedOut atomic.Bool // the first read has
}

func (s *silentStore) Get(ctx context.Context, key string) (hfstore.Item, error) {
	if s.reads.Add(1) == 1 {
		<-ctx.Done()
		s.timedOut.Store(true)
		return hfstore.Item{}, hfstore.ErrUnavailable
	}
	return s.fakeStore.Get(ctx, key)
}

// After a silent outage of the store, instances found out 0.5 s after it that it answers again: each probe
// waited 0.6 s for the answer to the one that was lost. Callers were refused meanwhile.
func TestLostProbeDoesNotDelayTheNextOne(t *testing.T) {
	s := &silentStore{fakeStore: &fakeStore{storeData: &storeData{items: map[string]hfstore.Item{}}}}
	relay := hfrelay.New(s, newCluster(1).links, func() []hfpeer.Peer { return nil }, func(bool, error) {}, metrics.NewRegistry())
	s.setErr(hfstore.ErrUnavailable)
	for range 2 {
		_ = relay.Renew(t.Context(), "1")
	}
	require.False(t, relay.Direct())
	s.setErr(nil)
	ctx, cancel := context.WithCancel(t.Context())
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { relay.Run(ctx, "probe"); return nil })
	require.Eventually(t, relay.Direct, 5*time.Second, time.Millisecond)
	require.False(t, s.timedOut.Load(), "the lost probe still waits")
	cancel()
	require.NoError(t, group.Wait())
}
