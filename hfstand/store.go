// Package hfstand holds small stand-ins for the platform: the store, the
// membership list, a worker and a minion. They are test equipment and serve the
// demonstration; no product package imports them.
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
	keptEvents    = 10000
)

// StoreFault is what PUT /fault sets on the store. All may change while it runs.
type StoreFault struct {
	Down bool  `json:"down"` // every call fails before it takes effect
	Slow int64 `json:"slow"` // milliseconds added to each call
	Lost int   `json:"lost"` // the answers of this many writes are dropped after their effect
	Rate int   `json:"rate"` // calls per second that are answered; 0: all
	Late int64 `json:"late"` // milliseconds after which lost writes to the platform interface take effect; 0: at once
}

// StoreCounts is what GET /v1/counts returns.
type StoreCounts struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
	Renews  int64 `json:"renews"`
	Bytes   int64 `json:"bytes"` // of values, written and read
}

type storeItem struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version int64  `json:"version"`
	Deleted bool   `json:"deleted,omitempty"`
	lease   string
}

type storeLease struct {
	until time.Time
	ttl   time.Duration
}

// Store is the key-value service with compare-and-swap, leases and watches.
type Store struct {
	mu       sync.Mutex
	items    map[string]storeItem
	leases   map[string]*storeLease
	events   []storeItem
	revision int64
	oldest   int64 // events at or below this revision are gone
	wake     chan struct{}
	fault    StoreFault
	counts   StoreCounts
	window   int64 // second of the current rate window
	used     int
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{items: map[string]storeItem{}, leases: map[string]*storeLease{}, wake: make(chan struct{})}
}

// Fault sets the faults.
func (s *Store) Fault(f StoreFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.signal()
}

// Counts returns the calls so far.
func (s *Store) Counts() StoreCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Backup returns a copy of all items and the revision, for Restore.
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
		s.items, s.revision, s.events, s.oldest = items, revision, nil, revision
		s.signal()
	}
}

// Handler returns the HTTP interface.
func (s *Store) Handler() http.Handler {
	e := echo.New()
	e.GET("/v1/keys/*", s.guard(s.get))
	e.PUT("/v1/keys/*", s.guard(s.put))
	e.DELETE("/v1/keys/*", s.guard(s.remove))
	e.GET("/v1/list", s.guard(s.list))
	e.GET("/v1/watch", s.guard(s.watch))
	e.POST("/v1/leases", s.guard(s.grant))
	e.PUT("/v1/leases/:id", s.guard(s.renew))
	e.DELETE("/v1/leases/:id", s.guard(s.revoke))
	e.GET("/v1/counts", func(c echo.Context) error { return c.JSON(http.StatusOK, s.Counts()) })
	e.PUT("/fault", faultRoute(s.Fault))
	return e
}

func (s *Store) guard(next echo.HandlerFunc) echo.HandlerFunc {
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

// overRate counts one call; the caller holds mu.
func (s *Store) overRate(now time.Time) bool {
	if s.fault.Rate == 0 {
		return false
	}
	if now.Unix() != s.window {
		s.window, s.used = now.Unix(), 0
	}
	s.used++
	return s.used > s.fault.Rate
}

// answer sends a write's result, or drops the connection when the fault says so.
// The caller does not hold mu.
func (s *Store) answer(c echo.Context, status int, body any) error {
	s.mu.Lock()
	lost := s.fault.Lost > 0
	if lost {
		s.fault.Lost--
	}
	s.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	return c.JSON(status, body)
}

func (s *Store) get(c echo.Context) error {
	s.mu.Lock()
	s.expire(time.Now())
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
	s.expire(time.Now())
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
	s.record(item)
	s.mu.Unlock()
	return s.answer(c, http.StatusOK, storeItem{Key: key, Version: item.Version})
}

func (s *Store) remove(c echo.Context) error {
	version, err := strconv.ParseInt(c.QueryParam("version"), 10, 64)
	if err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	key := c.Param("*")
	s.mu.Lock()
	s.counts.Writes++
	current, ok := s.items[key]
	if ok && current.Version == version {
		s.drop(key)
	}
	s.mu.Unlock()
	if !ok {
		return c.NoContent(http.StatusNotFound)
	}
	if current.Version != version {
		return c.NoContent(http.StatusConflict)
	}
	return s.answer(c, http.StatusOK, storeItem{Key: key})
}

func (s *Store) list(c echo.Context) error {
	s.mu.Lock()
	s.expire(time.Now())
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
	status, events, revision := s.await(c.Request().Context(), c.QueryParam("prefix"), after, time.Duration(wait)*time.Millisecond)
	if status != http.StatusOK {
		return c.NoContent(status)
	}
	return c.JSON(http.StatusOK, map[string]any{"items": events, "revision": revision})
}

// await waits for events under a prefix. It returns none with the status 200 when the
// time is over or the caller has gone.
func (s *Store) await(ctx context.Context, prefix string, after int64, wait time.Duration) (status int, events []storeItem, revision int64) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	s.mu.Lock()
	s.counts.Watches++
	s.mu.Unlock()
	for {
		s.mu.Lock()
		s.expire(time.Now())
		events = s.since(prefix, after)
		revision = s.revision
		wake, gone, down := s.wake, after < s.oldest || after > s.revision, s.fault.Down
		s.mu.Unlock()
		switch {
		case down:
			return http.StatusServiceUnavailable, nil, 0
		case gone:
			return http.StatusGone, nil, 0
		case len(events) > 0:
			return http.StatusOK, events, revision
		}
		select {
		case <-wake:
		case <-time.After(100 * time.Millisecond): // leases lapse without an event
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
	d := time.Duration(ttl) * time.Millisecond
	s.leases[id] = &storeLease{until: time.Now().Add(d), ttl: d}
	s.mu.Unlock()
	return s.answer(c, http.StatusOK, map[string]any{"id": id, "ttl": ttl})
}

func (s *Store) renew(c echo.Context) error {
	if _, ok := s.extend(c.Param("id")); !ok {
		return c.NoContent(http.StatusNotFound)
	}
	return c.NoContent(http.StatusNoContent)
}

// extend renews a lease and returns its time to live.
func (s *Store) extend(id string) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	s.counts.Renews++
	l, ok := s.leases[id]
	if !ok {
		return 0, false
	}
	l.until = time.Now().Add(l.ttl)
	return l.ttl, true
}

func (s *Store) revoke(c echo.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Writes++
	if l, ok := s.leases[c.Param("id")]; ok {
		l.until = time.Time{}
	}
	s.expire(time.Now())
	return c.NoContent(http.StatusNoContent)
}

// since returns the kept events under a prefix; the caller holds mu.
func (s *Store) since(prefix string, after int64) []storeItem {
	events := []storeItem{}
	for _, e := range s.events {
		if e.Version > after && strings.HasPrefix(e.Key, prefix) {
			events = append(events, e)
		}
	}
	return events
}

// expire drops lapsed leases and their keys; the caller holds mu.
func (s *Store) expire(now time.Time) {
	for id, l := range s.leases {
		if now.Before(l.until) {
			continue
		}
		delete(s.leases, id)
		for k, v := range s.items {
			if v.lease == id {
				s.drop(k)
			}
		}
	}
}

// drop deletes a key and records the event; the caller holds mu.
func (s *Store) drop(key string) {
	delete(s.items, key)
	s.revision++
	s.record(storeItem{Key: key, Version: s.revision, Deleted: true})
}

// record keeps an event for the watches; the caller holds mu.
func (s *Store) record(i storeItem) {
	s.events = append(s.events, i)
	if extra := len(s.events) - keptEvents; extra > 0 {
		s.oldest = s.events[extra-1].Version
		s.events = append([]storeItem{}, s.events[extra:]...)
	}
	s.signal()
}

// signal wakes the watches; the caller holds mu.
func (s *Store) signal() {
	close(s.wake)
	s.wake = make(chan struct{})
}

// Keys returns the stored keys under a prefix, for assertions.
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
