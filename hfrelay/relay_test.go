package hfrelay_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hfpeer"
	"github.com/heatherfront/heatherfront/hfrelay"
	"github.com/heatherfront/heatherfront/hfstore"
	"github.com/heatherfront/heatherfront/hfwire"
)

// storeData is the content of the store, which all instances share.
type storeData struct {
	mu       sync.Mutex
	revision int64
	items    map[string]hfstore.Item
}

// fakeStore is the direct access of one instance to the store.
type fakeStore struct {
	*storeData
	mu          sync.Mutex
	callErr     error // result of every call if set; the calls have no effect
	loseAnswers bool  // writes take effect but fail without an answer
	calls       int
}

func (s *fakeStore) beginCall(ctx context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.callErr == nil && ctx.Err() != nil {
		return fmt.Errorf("%w: %w", hfstore.ErrUnavailable, ctx.Err())
	}
	return s.callErr
}

func (s *fakeStore) setErr(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.callErr = err
}

func (s *fakeStore) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *fakeStore) Get(ctx context.Context, key string) (hfstore.Item, error) {
	if err := s.beginCall(ctx); err != nil {
		return hfstore.Item{}, err
	}
	s.storeData.mu.Lock()
	defer s.storeData.mu.Unlock()
	i, ok := s.items[key]
	if !ok {
		return hfstore.Item{}, hfstore.ErrNotFound
	}
	return i, nil
}

func (s *fakeStore) List(ctx context.Context, _ string) ([]hfstore.Item, int64, error) {
	if err := s.beginCall(ctx); err != nil {
		return nil, 0, err
	}
	s.storeData.mu.Lock()
	defer s.storeData.mu.Unlock()
	var list []hfstore.Item
	for _, i := range s.items {
		list = append(list, i)
	}
	return list, s.revision, nil
}

// Watch waits for a revision later than after, or until its context ends.
func (s *fakeStore) Watch(ctx context.Context, prefix string, after int64) ([]hfstore.Item, int64, error) {
	for {
		if err := s.beginCall(ctx); err != nil {
			return nil, 0, err
		}
		if list, revision, _ := s.List(ctx, prefix); revision > after {
			return list, revision, nil
		}
		select {
		case <-ctx.Done():
			return nil, 0, fmt.Errorf("%w: %w", hfstore.ErrUnavailable, ctx.Err())
		case <-time.After(5 * time.Millisecond):
		}
	}
}

func (s *fakeStore) Put(ctx context.Context, key string, value []byte, version int64, lease string) (int64, error) {
	return s.Commit(ctx, (&hfstore.Batch{}).Require(key, version).Put(key, value, lease))
}

func (s *fakeStore) Delete(ctx context.Context, key string, version int64) error {
	_, err := s.Commit(ctx, (&hfstore.Batch{}).Require(key, version).Remove(key))
	return err
}

func (s *fakeStore) Commit(ctx context.Context, b *hfstore.Batch) (int64, error) {
	if err := s.beginCall(ctx); err != nil {
		return 0, err
	}
	s.storeData.mu.Lock()
	defer s.storeData.mu.Unlock()
	for _, c := range b.Conditions() {
		if s.items[c.Key()].Version() != c.Version() {
			return 0, hfstore.ErrConflict
		}
	}
	s.revision++
	for _, i := range b.Writes() {
		s.items[i.Key()] = hfstore.NewItem(i.Key(), i.Value(), s.revision, false)
	}
	for _, key := range b.Removals() {
		delete(s.items, key)
	}
	if s.loseAnswers {
		return 0, hfstore.ErrUnavailable
	}
	return s.revision, nil
}

func (s *fakeStore) Grant(ctx context.Context, ttl time.Duration) (string, error) {
	return ttl.String(), s.beginCall(ctx)
}

func (s *fakeStore) Renew(ctx context.Context, lease string) error {
	if err := s.beginCall(ctx); err != nil {
		return err
	}
	if lease == "gone" {
		return hfstore.ErrLeaseLost
	}
	return nil
}

func (s *fakeStore) Revoke(ctx context.Context, _ string) error { return s.beginCall(ctx) }

// fakeLinks delivers calls between instances in one process.
type fakeLinks struct {
	mu       sync.Mutex
	relays   map[string]*hfrelay.Store
	callErrs map[string]error
	noReply  map[string]chan struct{} // by instance that has lost power; receives when it is called
}

func (l *fakeLinks) Envelope() *hfwire.Envelope { return &hfwire.Envelope{} }

func (l *fakeLinks) Call(ctx context.Context, to hfpeer.Peer, out *hfwire.Envelope) (*hfwire.Envelope, error) {
	l.mu.Lock()
	s, err, noReply := l.relays[to.Name()], l.callErrs[to.Name()], l.noReply[to.Name()]
	l.mu.Unlock()
	if err != nil {
		return nil, err
	}
	if noReply != nil {
		select {
		case noReply <- struct{}{}:
		case <-ctx.Done():
		}
		<-ctx.Done()
		return nil, hfpeer.ErrNoReply
	}
	reply := s.Serve(context.WithoutCancel(ctx), hfwire.Copy(out.GetCall()))
	return &hfwire.Envelope{Body: &hfwire.Envelope_Reply{Reply: reply}}, nil
}

// cluster is a set of instances that share one store. The elements of direct and relays
// with the same index belong to one instance.
type cluster struct {
	direct []*fakeStore
	relays []*hfrelay.Store
	links  *fakeLinks
}

func newCluster(size int) *cluster {
	data := &storeData{items: map[string]hfstore.Item{}}
	c := &cluster{links: &fakeLinks{relays: map[string]*hfrelay.Store{}, callErrs: map[string]error{}}}
	var peers []hfpeer.Peer
	for i := range size {
		peers = append(peers, hfpeer.NewPeer(fmt.Sprint(i), ""))
	}
	for i := range size {
		direct := &fakeStore{storeData: data}
		others := append(append([]hfpeer.Peer{}, peers[:i]...), peers[i+1:]...)
		relay := hfrelay.New(direct, c.links, func() []hfpeer.Peer { return others }, func(bool, error) {}, metrics.NewRegistry())
		c.direct, c.relays = append(c.direct, direct), append(c.relays, relay)
		c.links.relays[fmt.Sprint(i)] = relay
	}
	return c
}

// TestCallsAreRelayedWhileStoreRefusesInstance covers a store that refuses the calls of a
// third of the instances for many seconds. Without relaying, 66 of 185 urgent jobs were
// late in one deployment, because they were first refused or their end was shown late.
func TestCallsAreRelayedWhileStoreRefusesInstance(t *testing.T) {
	c, ctx := newCluster(3), t.Context()
	c.direct[0].setErr(hfstore.ErrRefused)
	c.direct[1].setErr(hfstore.ErrUnavailable)
	revision, err := c.relays[0].Put(ctx, "job", []byte("a"), 0, "")
	require.NoError(t, err)
	item, err := c.relays[0].Get(ctx, "job")
	require.NoError(t, err)
	require.Equal(t, []byte("a"), item.Value())
	require.Equal(t, revision, item.Version())
	require.False(t, c.relays[0].Direct())
	calls := c.direct[0].callCount()
	for range 20 {
		_, err := c.relays[0].Get(ctx, "job")
		require.NoError(t, err)
	}
	require.Equal(t, calls, c.direct[0].callCount(), "only the probe uses the lost direct route")
}

func TestProbeRestoresDirectRoute(t *testing.T) {
	c := newCluster(2)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	c.direct[0].setErr(hfstore.ErrUnavailable)
	for range 2 {
		_, _ = c.relays[0].Get(ctx, "job")
	}
	require.False(t, c.relays[0].Direct())
	done := make(chan struct{})
	go func() { c.relays[0].Run(ctx, "probe"); close(done) }()
	c.direct[0].setErr(nil)
	require.Eventually(t, c.relays[0].Direct, 10*time.Second, 10*time.Millisecond)
	cancel()
	<-done
}

// TestLostAnswerIsNotReportedAsRefusal checks that a write that may have taken effect is
// not reported as refused, also if the second attempt is never sent.
func TestLostAnswerIsNotReportedAsRefusal(t *testing.T) {
	c := newCluster(2)
	c.direct[0].loseAnswers = true
	c.links.callErrs["1"] = hfpeer.ErrNoLink
	_, err := c.relays[0].Put(t.Context(), "job", nil, 0, "")
	require.ErrorIs(t, err, hfstore.ErrUnavailable)
	require.NotErrorIs(t, err, hfstore.ErrRefused)
}

// TestSecondAttemptOfAWriteHasNoEffect checks that the relayed attempt of a write
// conflicts with the direct attempt, whose answer was lost.
func TestSecondAttemptOfAWriteHasNoEffect(t *testing.T) {
	c := newCluster(2)
	c.direct[0].loseAnswers = true
	_, err := c.relays[0].Put(t.Context(), "job", []byte("a"), 0, "")
	require.ErrorIs(t, err, hfstore.ErrConflict)
	item, err := c.relays[1].Get(t.Context(), "job")
	require.NoError(t, err)
	require.Equal(t, int64(1), item.Version())
}

// TestRelayedCallsAreBoundedWhileNoInstanceReachesStore checks that calls are refused
// immediately while no instance reaches the store, and that relaying does not multiply
// the number of calls.
func TestRelayedCallsAreBoundedWhileNoInstanceReachesStore(t *testing.T) {
	c, ctx := newCluster(8), t.Context()
	for _, direct := range c.direct {
		direct.setErr(hfstore.ErrRefused)
	}
	start := time.Now()
	for range 100 {
		_, err := c.relays[0].Put(ctx, "job", nil, 0, "")
		require.ErrorIs(t, err, hfstore.ErrRefused)
	}
	calls := 0
	for _, direct := range c.direct {
		calls += direct.callCount()
	}
	// The first two calls detect the loss of the direct route. After that, relaying is
	// retried four times a second, each time through three instances.
	require.LessOrEqual(t, calls, 8+int(time.Since(start).Seconds()*16))
}

func TestUnreachableInstancesAreSkipped(t *testing.T) {
	c, ctx := newCluster(3), t.Context()
	c.direct[0].setErr(hfstore.ErrRefused)
	c.links.callErrs["1"] = hfpeer.ErrNoReply
	for range 10 {
		_, err := c.relays[0].Get(ctx, "job")
		require.ErrorIs(t, err, hfstore.ErrNotFound)
	}
	require.GreaterOrEqual(t, c.direct[2].callCount(), 10)
}

func TestWatchMovesToRelayWhenDirectRouteIsLost(t *testing.T) {
	c, ctx := newCluster(2), t.Context()
	result := make(chan error, 1)
	go func() {
		_, revision, err := c.relays[0].Watch(ctx, "", 0)
		if err == nil && revision != 1 {
			err = fmt.Errorf("revision %d", revision)
		}
		result <- err
	}()
	require.Eventually(t, func() bool { return c.direct[0].callCount() > 3 }, 10*time.Second, time.Millisecond)
	c.direct[0].setErr(hfstore.ErrUnavailable)
	_, _ = c.relays[0].Get(ctx, "job")
	_, err := c.relays[1].Put(ctx, "job", nil, 0, "")
	require.NoError(t, err)
	select {
	case err := <-result:
		require.NoError(t, err)
	case <-time.After(10 * time.Second):
		t.Fatal("the watch still waits on the lost direct route")
	}
}

// Guards against a configuration that is applied late because its watch waits on an instance that
// has lost power, although the direct route is back.
func TestWatchMovesToRestoredDirectRoute(t *testing.T) {
	c, ctx := newCluster(2), t.Context()
	_, err := c.relays[1].Put(ctx, "job", nil, 0, "")
	require.NoError(t, err)
	c.direct[0].setErr(hfstore.ErrUnavailable)
	for range 2 {
		_, _ = c.relays[0].Get(ctx, "job")
	}
	require.False(t, c.relays[0].Direct())
	called := make(chan struct{})
	c.links.mu.Lock()
	c.links.noReply = map[string]chan struct{}{"1": called}
	c.links.mu.Unlock()
	result := make(chan error, 1)
	go func() {
		_, _, err := c.relays[0].Watch(ctx, "", 0)
		result <- err
	}()
	<-called
	c.direct[0].setErr(nil)
	runCtx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() { c.relays[0].Run(runCtx, "job"); close(done) }()
	require.NoError(t, <-result, "the watch must continue on the direct route")
	cancel()
	<-done
}

// Guards against a watch that waits on an instance that has lost power, although the direct route
// works: one call that fails is not enough for the route to be lost, and so to be restored.
func TestWatchLeavesRelayOnceDirectCallsSucceed(t *testing.T) {
	c, ctx := newCluster(2), t.Context()
	_, err := c.relays[1].Put(ctx, "job", nil, 0, "")
	require.NoError(t, err)
	called := make(chan struct{})
	c.links.mu.Lock()
	c.links.noReply = map[string]chan struct{}{"1": called}
	c.links.mu.Unlock()
	c.direct[0].setErr(hfstore.ErrUnavailable)
	result := make(chan error, 1)
	go func() {
		_, _, err := c.relays[0].Watch(ctx, "", 0)
		result <- err
	}()
	<-called
	c.direct[0].setErr(nil)
	require.True(t, c.relays[0].Direct(), "one failure does not lose the route")
	_, err = c.relays[0].Get(ctx, "job")
	require.NoError(t, err)
	require.NoError(t, <-result, "the watch must continue on the direct route")
}

// Guards against a watch that is sent anew with each success of a store that refuses other calls, and
// against one that is never answered by such a store.
func TestWatchIsAnsweredWhileStoreRefusesSomeCalls(t *testing.T) {
	c, ctx := newCluster(2), t.Context()
	flapping := &flappingStore{fakeStore: c.direct[0]}
	s := hfrelay.New(flapping, c.links, func() []hfpeer.Peer { return []hfpeer.Peer{hfpeer.NewPeer("1", "")} }, func(bool, error) {}, metrics.NewRegistry())
	result := make(chan error, 1)
	begin := time.Now()
	go func() {
		_, _, err := s.Watch(ctx, "", 0)
		result <- err
	}()
	for time.Since(begin) < 2*time.Second {
		_, _ = s.Get(ctx, "job")
	}
	_, err := c.relays[1].Put(ctx, "job", nil, 0, "")
	require.NoError(t, err)
	require.NoError(t, <-result)
	require.LessOrEqual(t, flapping.watches.Load(), 2+int64(time.Since(begin)/(450*time.Millisecond)), "each attempt has time for an answer")
}

// flappingStore refuses every second call, and all watches.
type flappingStore struct {
	*fakeStore
	gets, watches atomic.Int64
}

func (s *flappingStore) Get(ctx context.Context, key string) (hfstore.Item, error) {
	if s.gets.Add(1)%2 == 0 {
		return hfstore.Item{}, hfstore.ErrRefused
	}
	return s.fakeStore.Get(ctx, key)
}

func (s *flappingStore) Watch(context.Context, string, int64) ([]hfstore.Item, int64, error) {
	s.watches.Add(1)
	return nil, 0, hfstore.ErrRefused
}

func TestEveryCallIsRelayed(t *testing.T) {
	c, ctx := newCluster(2), t.Context()
	c.direct[0].setErr(hfstore.ErrRefused)
	s := c.relays[0]
	revision, err := s.Commit(ctx, (&hfstore.Batch{}).Require("a", 0).Put("a", []byte("x"), "l").Put("b", nil, "").Remove("c"))
	require.NoError(t, err)
	items, listRevision, err := s.List(ctx, "")
	require.NoError(t, err)
	require.Len(t, items, 2)
	require.Equal(t, revision, listRevision)
	items, listRevision, err = s.Watch(ctx, "", 0)
	require.NoError(t, err)
	require.Len(t, items, 2)
	require.Equal(t, revision, listRevision)
	require.NoError(t, s.Delete(ctx, "a", revision))
	_, err = s.Get(ctx, "a")
	require.ErrorIs(t, err, hfstore.ErrNotFound)
	lease, err := s.Grant(ctx, 2*time.Second)
	require.NoError(t, err)
	require.Equal(t, "2s", lease)
	require.NoError(t, s.Renew(ctx, lease))
	require.NoError(t, s.Revoke(ctx, lease))
	require.ErrorIs(t, s.Renew(ctx, "gone"), hfstore.ErrLeaseLost)
}

func TestUnknownCallIsRefused(t *testing.T) {
	require.Equal(t, hfwire.StoreReply_REFUSED, newCluster(1).relays[0].Serve(t.Context(), &hfwire.StoreCall{}).GetFault())
}

// Guards against an unreadable item becoming an empty record on its way through another
// instance.
func TestUnreadableItemStaysUnreadableThroughRelay(t *testing.T) {
	c := newCluster(2)
	c.direct[0].setErr(hfstore.ErrRefused)
	c.direct[1].items["servers/a"] = hfstore.NewUnreadableItem("servers/a", 4, hfstore.ErrNotFound)
	c.direct[1].revision = 4
	items, _, err := c.relays[0].List(t.Context(), "servers/")
	require.NoError(t, err)
	require.Len(t, items, 1)
	require.Equal(t, "servers/a", items[0].Key())
	require.ErrorIs(t, items[0].Err(), hfrelay.ErrUnreadableItem)
	items, revision, err := c.relays[0].Watch(t.Context(), "servers/", 1)
	require.NoError(t, err)
	require.Equal(t, int64(4), revision)
	require.ErrorIs(t, items[0].Err(), hfrelay.ErrUnreadableItem)
}

// Guards against instances that stop relaying after a malformed write of another one (review/2).
func TestRelayedMalformedWriteIsAnAnswer(t *testing.T) {
	c, ctx := newCluster(2), t.Context()
	c.direct[0].setErr(hfstore.ErrUnavailable)
	for range 2 {
		_, _ = c.relays[0].Get(ctx, "job")
	}
	c.direct[1].setErr(hfstore.ErrInvalid)
	for range 5 {
		_, err := c.relays[0].Put(ctx, "job", nil, 0, "")
		require.ErrorIs(t, err, hfstore.ErrInvalid)
	}
	require.True(t, c.relays[1].Direct())
	c.direct[1].setErr(nil)
	_, err := c.relays[0].Put(ctx, "job", nil, 0, "")
	require.NoError(t, err, "calls are still relayed")
}
