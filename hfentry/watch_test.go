package hfentry

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/heatherfront/heatherfront/hflease"
	"github.com/heatherfront/heatherfront/hfstore"
)

// backlogStore is a store whose watch returns a backlog of events in the first three answers
// and blocks after that.
type backlogStore struct {
	*fakeStore
	calls atomic.Int64
}

func (b *backlogStore) Watch(ctx context.Context, _ string, after int64) ([]hfstore.Item, int64, error) {
	if b.calls.Add(1) > 3 {
		<-ctx.Done()
		return nil, 0, hfstore.ErrUnavailable
	}
	var items []hfstore.Item
	for i := range int64(backlogEvents) {
		items = append(items, hfstore.NewItem(fmt.Sprint("other/", i), nil, after+i+1, false))
	}
	return items, after + backlogEvents, nil
}

// A thousand workers write more entries between two calls of a watch than one answer holds.
// With 100 instances, a watch that paused fell so far behind that a worker got a task 4.6 s
// after it had announced that it was leaving.
func TestWatchWithBacklogContinuesWithoutPause(t *testing.T) {
	n, store := newTestNode("one"), &backlogStore{fakeStore: newFakeStore()}
	n.store, n.health = store, NewStoreHealth(func(bool, time.Duration) {})
	w := &prefixWatch{prefix: "other/", pause: func() time.Duration { return time.Minute }}
	w.synced.Store(true)
	ctx, cancel := context.WithCancel(t.Context())
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { n.watch(ctx, w); return nil })
	require.Eventually(t, func() bool { return store.calls.Load() == 4 }, 10*time.Second, time.Millisecond)
	cancel()
	require.NoError(t, group.Wait())
}

// Guards against a configuration that is taken to be confirmed by an answer that leaves its change out.
func TestBacklogConfirmsNothing(t *testing.T) {
	n, store := newTestNode("one"), &backlogStore{fakeStore: newFakeStore()}
	n.store, n.health = store, NewStoreHealth(func(bool, time.Duration) {})
	w := &prefixWatch{prefix: "other/", pause: func() time.Duration { return 0 }}
	w.synced.Store(true)
	confirmed := hflease.Now().Add(-5 * time.Second)
	w.confirm(confirmed)
	ctx, cancel := context.WithCancel(t.Context())
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { n.watch(ctx, w); return nil })
	require.Eventually(t, func() bool { return store.calls.Load() == 4 }, 10*time.Second, time.Millisecond)
	cancel()
	require.NoError(t, group.Wait())
	require.Equal(t, confirmed.UnixNano(), w.confirmedAt.Load())
}
