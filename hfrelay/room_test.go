package hfrelay_test

import (
	"bytes"
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/heatherfront/heatherfront/hfpeer"
	"github.com/heatherfront/heatherfront/hfrelay"
	"github.com/heatherfront/heatherfront/hfstore"
	"github.com/heatherfront/heatherfront/hfwire"
)

// sizedStore gives results that keep to the limit of their context, and counts the large ones that are made at
// the same time.
type sizedStore struct {
	*fakeStore
	large, most atomic.Int64
	hold        chan struct{} // closed when large results may be returned
}

func (s *sizedStore) Get(ctx context.Context, key string) (hfstore.Item, error) {
	item, err := s.fakeStore.Get(ctx, key)
	if err != nil {
		return item, err
	}
	return item, s.result(ctx, int64(len(item.Value())))
}

func (s *sizedStore) List(ctx context.Context, prefix string) ([]hfstore.Item, int64, error) {
	items, revision, err := s.fakeStore.List(ctx, prefix)
	if err != nil {
		return nil, 0, err
	}
	size := int64(0)
	for _, i := range items {
		size += int64(len(i.Value()))
	}
	return items, revision, s.result(ctx, size)
}

func (s *sizedStore) result(ctx context.Context, size int64) error {
	if size > hfstore.MaxBytes(ctx, 1<<40) {
		return fmt.Errorf("result: %w", hfstore.ErrTooLarge)
	}
	if size < 1<<16 {
		return nil
	}
	n := s.large.Add(1)
	defer s.large.Add(-1)
	s.most.Store(max(s.most.Load(), n))
	<-s.hold
	return nil
}

func newSizedStore(t *testing.T) (*sizedStore, *hfrelay.Store) {
	t.Helper()
	s := &sizedStore{fakeStore: &fakeStore{storeData: &storeData{items: map[string]hfstore.Item{}}}, hold: make(chan struct{})}
	relay := hfrelay.New(s, newCluster(1).links, func() []hfpeer.Peer { return nil }, func(bool, error) {}, metrics.NewRegistry())
	for key, size := range map[string]int{"small": 100, "large": 1 << 18} {
		_, err := s.Put(t.Context(), key, bytes.Repeat([]byte{1}, size), 0, "")
		require.NoError(t, err)
	}
	return s, relay
}

// Large results are read for other instances one at a time, and small ones beside them.
func TestLargeResultsForOthersAreReadOneAtATime(t *testing.T) {
	s, relay := newSizedStore(t)
	calls := []*hfwire.StoreCall{{Kind: &hfwire.StoreCall_List{List: ""}}, {Kind: &hfwire.StoreCall_Get{Get: "large"}}}
	var group errgroup.Group
	var refused, served atomic.Int64
	for i := range 20 {
		group.Go(func() error {
			if relay.Serve(t.Context(), calls[i%2]).GetFault() == hfwire.StoreReply_REFUSED {
				refused.Add(1)
			} else {
				served.Add(1)
			}
			return nil
		})
	}
	small := relay.Serve(t.Context(), &hfwire.StoreCall{Kind: &hfwire.StoreCall_Get{Get: "small"}})
	require.Equal(t, hfwire.StoreReply_NONE, small.GetFault())
	require.Eventually(t, func() bool { return refused.Load() == 19 }, 20*time.Second, time.Millisecond)
	close(s.hold)
	require.NoError(t, group.Wait())
	require.Equal(t, int64(1), served.Load())
	require.Equal(t, int64(1), s.most.Load())
	require.True(t, relay.Direct(), "a refusal for want of room is no failure of the store")
}

// What would not fit into a message is refused before it has been read.
func TestResultsAboveAMessageAreRefused(t *testing.T) {
	s, relay := newSizedStore(t)
	close(s.hold)
	for i := range 5 {
		_, err := s.Put(t.Context(), fmt.Sprint("more", i), make([]byte, 1<<20), 0, "")
		require.NoError(t, err)
	}
	reply := relay.Serve(t.Context(), &hfwire.StoreCall{Kind: &hfwire.StoreCall_List{List: ""}})
	require.Equal(t, hfwire.StoreReply_REFUSED, reply.GetFault())
	require.True(t, relay.Direct())
}
