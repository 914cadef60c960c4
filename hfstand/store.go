// Package hfstand holds fakes of the platform: the store, the membership list,
// workers and minions. Tests and the demo use them; no production package imports
// them.
package hfstand

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
)

const (
	maxValueBytes = 1 << 20
	maxEvents     = 10000
)

// StoreFault is the body of PUT /fault on the store. It replaces the previous faults.
type StoreFault struct {
	Down        bool  `json:"down"` // every call fails before it takes effect
	Slow        int64 `json:"slow"` // milliseconds of delay before each call
	LostAnswers int   `json:"lost"` // number of writes whose answers are dropped after the write was applied
	MaxRate     int   `json:"rate"` // calls answered per second; 0: unlimited
	// WriteDelay is the number of milliseconds by which a transaction of PlatformHandler is
	// delayed if its answer is lost; 0: it is applied before the answer is lost.
	WriteDelay int64 `json:"late"`
}

// StoreCounts is the answer of GET /v1/counts.
type StoreCounts struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
	Renews  int64 `json:"renews"`
	Bytes   int64 `json:"bytes"` // of values written and read
}

// storeItem is a stored key or, in the event history, a change of one.
type storeItem struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version int64  `json:"version"`
	Deleted bool   `json:"deleted,omitempty"`
	lease   string
}

// storeLease is a lease; keys written under it are deleted when it expires.
type storeLease struct {
	expiresAt time.Time
	ttl       time.Duration
}

// Store is a fake key-value store with compare-and-swap, leases and watches. All its
// state is in memory.
type Store struct {
	mu              sync.Mutex
	items           map[string]storeItem
	leases          map[string]*storeLease
	events          []storeItem
	revision        int64
	compactRevision int64         // events at or below this revision were discarded
	wake            chan struct{} // closed and replaced on each change
	fault           StoreFault
	counts          StoreCounts
	rateWindow      int64 // Unix second in which rateUsed counts
	rateUsed        int   // calls in the current second
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{items: map[string]storeItem{}, leases: map[string]*storeLease{}, wake: make(chan struct{})}
}

// Fault replaces the injected faults.
func (s *Store) Fault(f StoreFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.wakeWatches()
}

// Counts returns the number of calls so far, by kind.
func (s *Store) Counts() StoreCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Backup copies all items and the revision. The function that it returns restores them
// and discards the event history. Leases are not restored.
func (s *Store) Backup() func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := map[string]storeItem{}
	for k, v := range s.items {
		items[k] = v
	}
	revision := s.revision
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.items, s.revision, s.events, s.compactRevision = items, revision, nil, revision
		s.wakeWatches()
	}
}

// Handler returns the HTTP interface of the store for instances that run the serve command.
func (s *Store) Handler() http.Handler {
	e := echo.New()
	e.GET("/v1/keys/*", s.withFaults(s.get))
	e.PUT("/v1/keys/*", s.withFaults(s.put))
	e.DELETE("/v1/keys/*", s.withFaults(s.delete))
	e.GET("/v1/list", s.withFaults(s.list))
	e.GET("/v1/watch", s.withFaults(s.watch))
	e.POST("/v1/leases", s.withFaults(s.grant))
	e.PUT("/v1/leases/:id", s.withFaults(s.renew))
	e.DELETE("/v1/leases/:id", s.withFaults(s.revoke))
	e.GET("/v1/counts", func(c echo.Context) error { return c.JSON(http.StatusOK, s.Counts()) })
	e.PUT("/fault", faultHandler(s.Fault))
	return e
}

// withFaults wraps a handler: it delays each call, and answers 503 while the store is
// down or over its rate.
func (s *Store) withFaults(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		s.mu.Lock()
		f := s.fault
		over := s.overRate(time.Now())
		s.mu.Unlock()
		if f.Slow > 0 {
			time.Sleep(time.Duration(f.Slow) * time.Millisecond)
		}
		if f.Down || over {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		return next(c)
	}
}

// overRate counts a call and reports whether it exceeds the rate. The caller holds mu.
func (s *Store) overRate(now time.Time) bool {
	if s.fault.MaxRate == 0 {
		return false
	}
	if now.Unix() != s.rateWindow {
		s.rateWindow, s.rateUsed = now.Unix(), 0
	}
	s.rateUsed++
	return s.rateUsed > s.fault.MaxRate
}

// respond sends the result of a write, or drops the connection if the fault
// LostAnswers is set. The caller must not hold mu.
func (s *Store) respond(c echo.Context, status int, body any) error {
	s.mu.Lock()
	dropped := s.fault.LostAnswers > 0
	if dropped {
		s.fault.LostAnswers--
	}
	s.mu.Unlock()
	if dropped {
		panic(http.ErrAbortHandler)
	}
	return c.JSON(status, body)
}

func (s *Store) get(c echo.Context) error {
	s.mu.Lock()
	s.expireLeases(time.Now())
	s.counts.Reads++
	item, ok := s.items[c.Param("*")]
	s.counts.Bytes += int64(len(item.Value))
	s.mu.Unlock()
	if !ok {
		return c.NoContent(http.StatusNotFound)
	}
	return c.JSON(http.StatusOK, item)
}

func (s *Store) put(c echo.Context) error {
	value, err := io.ReadAll(io.LimitReader(c.Request().Body, maxValueBytes+1))
	if err != nil || len(value) > maxValueBytes {
		return c.NoContent(http.StatusRequestEntityTooLarge)
	}
	version, err := strconv.ParseInt(c.QueryParam("version"), 10, 64)
	if err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	key, lease := c.Param("*"), c.QueryParam("lease")
	s.mu.Lock()
	s.expireLeases(time.Now())
	s.counts.Writes++
	s.counts.Bytes += int64(len(value))
	if _, ok := s.leases[lease]; lease != "" && !ok {
		s.mu.Unlock()
		return c.NoContent(http.StatusNotFound)
	}
	if s.items[key].Version != version {
		item := storeItem{Key: key, Version: s.items[key].Version}
		s.mu.Unlock()
		return c.JSON(http.StatusConflict, item)
	}
	s.revision++
	item := storeItem{Key: key, Value: value, Version: s.revision, lease: lease}
	s.items[key] = item
	s.appendEvent(item)
	s.mu.Unlock()
	return s.respond(c, http.StatusOK, storeItem{Key: key, Version: item.Version})
}

func (s *Store) delete(c echo.Context) error {
	version, err := strconv.ParseInt(c.QueryParam("version"), 10, 64)
	if err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	key := c.Param("*")
	s.mu.Lock()
	s.counts.Writes++
	current, ok := s.items[key]
	if ok && current.Version == version {
		s.deleteKey(key)
	}
	s.mu.Unlock()
	if !ok {
		return c.NoContent(http.StatusNotFound)
	}
	if current.Version != version {
		return c.NoContent(http.StatusConflict)
	}
	return s.respond(c, http.StatusOK, storeItem{Key: key})
}

func (s *Store) list(c echo.Context) error {
	s.mu.Lock()
	s.expireLeases(time.Now())
	s.counts.Reads++
	items := []storeItem{}
	for k, v := range s.items {
		if strings.HasPrefix(k, c.QueryParam("prefix")) {
			items = append(items, v)
			s.counts.Bytes += int64(len(v.Value))
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	return c.JSON(http.StatusOK, map[string]any{"items": items, "revision": revision})
}

func (s *Store) watch(c echo.Context) error {
	after, err := strconv.ParseInt(c.QueryParam("after"), 10, 64)
	if err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	wait, _ := strconv.ParseInt(c.QueryParam("wait"), 10, 64)
	status, events, revision := s.awaitEvents(c.Request().Context(), c.QueryParam("prefix"), after, time.Duration(wait)*time.Millisecond)
	if status != http.StatusOK {
		return c.NoContent(status)
	}
	return c.JSON(http.StatusOK, map[string]any{"items": events, "revision": revision})
}

// awaitEvents waits for events under a prefix. It returns none, with status 200, on a
// timeout and when the client disconnects. Status 410 says that the history after the
// given revision is not available, or that the revision is above the store's.
func (s *Store) awaitEvents(ctx context.Context, prefix string, after int64, wait time.Duration) (status int, events []storeItem, revision int64) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	s.mu.Lock()
	s.counts.Watches++
	s.mu.Unlock()
	for {
		s.mu.Lock()
		s.expireLeases(time.Now())
		events = s.eventsSince(prefix, after)
		revision = s.revision
		wake, compacted, down := s.wake, after < s.compactRevision || after > s.revision, s.fault.Down
		s.mu.Unlock()
		switch {
		case down:
			return http.StatusServiceUnavailable, nil, 0
		case compacted:
			return http.StatusGone, nil, 0
		case len(events) > 0:
			return http.StatusOK, events, revision
		}
		select {
		case <-wake:
		case <-time.After(100 * time.Millisecond): // an expired lease is only noticed by polling
		case <-timer.C:
			return http.StatusOK, events, revision
		case <-ctx.Done():
			return http.StatusOK, events, revision
		}
	}
}

func (s *Store) grant(c echo.Context) error {
	ttl, err := strconv.ParseInt(c.QueryParam("ttl"), 10, 64)
	if err != nil || ttl <= 0 {
		return c.NoContent(http.StatusBadRequest)
	}
	s.mu.Lock()
	s.counts.Writes++
	s.revision++
	id := fmt.Sprintf("lease%d", s.revision)
	lifetime := time.Duration(ttl) * time.Millisecond
	s.leases[id] = &storeLease{expiresAt: time.Now().Add(lifetime), ttl: lifetime}
	s.mu.Unlock()
	return s.respond(c, http.StatusOK, map[string]any{"id": id, "ttl": ttl})
}

func (s *Store) renew(c echo.Context) error {
	if _, ok := s.renewLease(c.Param("id")); !ok {
		return c.NoContent(http.StatusNotFound)
	}
	return c.NoContent(http.StatusNoContent)
}

// renewLease renews a lease and returns its time to live. It reports whether the lease
// exists.
func (s *Store) renewLease(id string) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases(time.Now())
	s.counts.Renews++
	l, ok := s.leases[id]
	if !ok {
		return 0, false
	}
	l.expiresAt = time.Now().Add(l.ttl)
	return l.ttl, true
}

func (s *Store) revoke(c echo.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Writes++
	if l, ok := s.leases[c.Param("id")]; ok {
		l.expiresAt = time.Time{}
	}
	s.expireLeases(time.Now())
	return c.NoContent(http.StatusNoContent)
}

// eventsSince returns the events under a prefix after a revision. The caller holds mu.
func (s *Store) eventsSince(prefix string, after int64) []storeItem {
	events := []storeItem{}
	for _, e := range s.events {
		if e.Version > after && strings.HasPrefix(e.Key, prefix) {
			events = append(events, e)
		}
	}
	return events
}

// expireLeases deletes expired leases and their keys. The caller holds mu.
func (s *Store) expireLeases(now time.Time) {
	for id, l := range s.leases {
		if now.Before(l.expiresAt) {
			continue
		}
		delete(s.leases, id)
		for k, v := range s.items {
			if v.lease == id {
				s.deleteKey(k)
			}
		}
	}
}

// deleteKey deletes a key and appends the event. The caller holds mu.
func (s *Store) deleteKey(key string) {
	delete(s.items, key)
	s.revision++
	s.appendEvent(storeItem{Key: key, Version: s.revision, Deleted: true})
}

// appendEvent adds an event to the history, discards the oldest one above maxEvents, and
// wakes the watches. The caller holds mu.
func (s *Store) appendEvent(i storeItem) {
	s.events = append(s.events, i)
	if excess := len(s.events) - maxEvents; excess > 0 {
		s.compactRevision = s.events[excess-1].Version
		s.events = append([]storeItem{}, s.events[excess:]...)
	}
	s.wakeWatches()
}

// wakeWatches makes every waiting watch check for events again. The caller holds mu.
func (s *Store) wakeWatches() {
	close(s.wake)
	s.wake = make(chan struct{})
}

// Keys returns the stored keys under a prefix, sorted.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	keys := []string{}
	for k := range s.items {
		if strings.HasPrefix(k, prefix) {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	return keys
}

// String returns the item as JSON.
func (i storeItem) String() string {
	b, _ := json.Marshal(i)
	return string(b)
}
