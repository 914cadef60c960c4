package hfstore_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/heatherfront/heatherfront/hfstand"
	"github.com/heatherfront/heatherfront/hfstore"
)

// openStore starts an empty fake store and returns it with a client.
func openStore(t *testing.T) (*hfstand.Store, *hfstore.Client) {
	t.Helper()
	fake := hfstand.NewStore()
	server := httptest.NewServer(fake.Handler())
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return fake, hfstore.New(server.URL, server.Client(), 300*time.Millisecond)
}

// Guards against calls that fail one after another, each on a connection that went silent together
// with that of the first.
func TestCallAfterSilentConnectionUsesNewOne(t *testing.T) {
	const conns = 4 // idle connections that go silent
	dialer, fake := &hfstand.Silencer{}, hfstand.NewStore()
	server := httptest.NewServer(fake.Handler())
	defer server.Close()
	client := &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: conns}}
	defer client.CloseIdleConnections()
	c := hfstore.New(server.URL, client, 300*time.Millisecond)
	version, err := c.Put(t.Context(), "a", nil, 0, "")
	require.NoError(t, err)
	var g errgroup.Group
	for range conns {
		g.Go(func() error {
			_, _, err := c.Watch(t.Context(), "a", version)
			return err
		})
	}
	time.Sleep(100 * time.Millisecond) // all watches wait, each on a connection of its own
	_, err = c.Put(t.Context(), "a", nil, version, "")
	require.NoError(t, err)
	require.NoError(t, g.Wait())
	dialer.Silence()
	_, err = c.Get(t.Context(), "a")
	require.Error(t, err, "this call finds the silence")
	_, err = c.Get(t.Context(), "a")
	require.NoError(t, err)
}

// silentTransport answers no request.
type silentTransport struct{}

func (silentTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	<-r.Context().Done()
	return nil, r.Context().Err()
}

// Guards against a change of the configuration that is not in force within 11 s, because an instance
// waits on a connection that has gone silent. A second is left for the next call.
func TestSilentWatchEndsBeforeChangeIsDue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := hfstore.New("http://store", &http.Client{Transport: silentTransport{}}, 1500*time.Millisecond)
		begin := time.Now()
		_, _, err := c.Watch(t.Context(), "a", 1)
		require.ErrorIs(t, err, hfstore.ErrUnavailable)
		require.LessOrEqual(t, time.Since(begin), 10*time.Second)
	})
}

func TestStoreOperations(t *testing.T) {
	_, c := openStore(t)
	ctx := t.Context()
	_, err := c.Get(ctx, "a/1")
	require.ErrorIs(t, err, hfstore.ErrNotFound)
	v1, err := c.Put(ctx, "a/1", []byte("one"), 0, "")
	require.NoError(t, err)
	_, err = c.Put(ctx, "a/1", []byte("two"), 0, "")
	require.ErrorIs(t, err, hfstore.ErrConflict)
	v2, err := c.Put(ctx, "a/1", []byte("two"), v1, "")
	require.NoError(t, err)
	require.Greater(t, v2, v1)
	item, err := c.Get(ctx, "a/1")
	require.NoError(t, err)
	require.Equal(t, "two", string(item.Value()))
	items, revision, err := c.List(ctx, "a/")
	require.NoError(t, err)
	require.Len(t, items, 1)
	require.Equal(t, v2, revision)
	events, _, err := c.Watch(ctx, "a/", v1)
	require.NoError(t, err)
	require.Len(t, events, 1)
	require.ErrorIs(t, c.Delete(ctx, "a/1", v1), hfstore.ErrConflict)
	require.NoError(t, c.Delete(ctx, "a/1", v2))
	_, _, err = c.Watch(ctx, "a/", revision+1000)
	require.ErrorIs(t, err, hfstore.ErrCompacted, "a watch after a revision that the store has not reached, as after a restore")
}

func TestLeases(t *testing.T) {
	_, c := openStore(t)
	ctx := t.Context()
	lease, err := c.Grant(ctx, 50*time.Millisecond)
	require.NoError(t, err)
	_, err = c.Put(ctx, "k", []byte("v"), 0, lease)
	require.NoError(t, err)
	require.NoError(t, c.Renew(ctx, lease))
	require.Eventually(t, func() bool {
		_, err := c.Get(ctx, "k")
		return err != nil
	}, 5*time.Second, 10*time.Millisecond)
	require.ErrorIs(t, c.Renew(ctx, lease), hfstore.ErrLeaseLost)
}

// TestSwapUnderFaults writes while answers are lost, the store is down or slow, and
// another writer interferes.
func TestSwapUnderFaults(t *testing.T) {
	for name, tc := range map[string]struct {
		fault func(*hfstand.Store, *hfstore.Client)
		want  error
		value string
	}{
		"no fault":           {func(*hfstand.Store, *hfstore.Client) {}, nil, "mine"},
		"one answer lost":    {func(s *hfstand.Store, _ *hfstore.Client) { s.Fault(hfstand.StoreFault{LostAnswers: 1}) }, nil, "mine"},
		"three answers lost": {func(s *hfstand.Store, _ *hfstore.Client) { s.Fault(hfstand.StoreFault{LostAnswers: 3}) }, nil, "mine"},
		"store down":         {func(s *hfstand.Store, _ *hfstore.Client) { s.Fault(hfstand.StoreFault{Down: true}) }, hfstore.ErrUnavailable, ""},
		"another writer first": {func(_ *hfstand.Store, c *hfstore.Client) {
			_, _ = c.Put(context.Background(), "k", []byte("other"), 0, "")
		}, hfstore.ErrConflict, "other"},
		"store slower than the timeout": {func(s *hfstand.Store, _ *hfstore.Client) {
			s.Fault(hfstand.StoreFault{Slow: 400})
			time.AfterFunc(500*time.Millisecond, func() { s.Fault(hfstand.StoreFault{}) })
		}, nil, "mine"},
	} {
		t.Run(name, func(t *testing.T) {
			fake, c := openStore(t)
			tc.fault(fake, c)
			_, err := hfstore.Swap(t.Context(), c, "k", []byte("mine"), 0)
			require.ErrorIs(t, err, tc.want)
			fake.Fault(hfstand.StoreFault{})
			item, err := c.Get(t.Context(), "k")
			if tc.value == "" {
				require.ErrorIs(t, err, hfstore.ErrNotFound)
				return
			}
			require.NoError(t, err)
			require.Equal(t, tc.value, string(item.Value()))
		})
	}
}

// deletingStore accepts every Delete. It has no other methods.
type deletingStore struct{ hfstore.Store }

func (deletingStore) Delete(context.Context, string, int64) error { return nil }

// Guards against an instance that exceeds its share of the store's limits.
func TestBudgetRefusesCallsOverLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := hfstore.NewBudget(deletingStore{}, metrics.NewRegistry())
		b.SetInstances(hfstore.TotalWrites) // one write a second
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		sent := 0
		for sent < hfstore.TotalWrites {
			err := b.Delete(ctx, "none", 1)
			if err != nil {
				require.ErrorIs(t, err, hfstore.ErrBudget)
				break
			}
			sent++
		}
		require.Equal(t, hfstore.TotalWrites/8, sent, "only the initial burst is sent")
	})
}
