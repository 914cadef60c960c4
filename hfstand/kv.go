package hfstand

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
)

// kvItem is a stored item in the JSON format of the operators' platform. The platform has
// its own interface to the store; both interfaces access the same items.
type kvItem struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Rev       int64  `json:"rev"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// kvCondition requires that a key is at a revision; 0 requires that it does not exist.
type kvCondition struct {
	Key string `json:"key"`
	Rev int64  `json:"rev"`
}

// kvWrite stores a value, under a lease unless Lease is empty or 0.
type kvWrite struct {
	Key   string      `json:"key"`
	Value []byte      `json:"value"`
	Lease json.Number `json:"lease"`
}

// kvTransaction applies its writes and removals if all conditions hold.
type kvTransaction struct {
	Conditions []kvCondition `json:"precondition"`
	Writes     []kvWrite     `json:"writes"`
	Removals   []string      `json:"remove"`
}

const (
	kvMaxEntries = 32  // conditions, writes and removals of one transaction
	kvPageSize   = 500 // items in one answer of a range query
)

// PlatformHandler returns the HTTP interface that the store has on the operators' platform.
// Instances that run the entry command use it.
func (s *Store) PlatformHandler() http.Handler {
	e := echo.New()
	e.GET("/v1/kv-key", s.withFaults(s.kvGet))
	e.GET("/v1/kv-range", s.withFaults(s.kvList))
	e.GET("/v1/kv-watch", s.withFaults(s.kvWatch))
	e.POST("/v1/kv-txn", s.withFaults(s.kvTransaction))
	e.POST("/v1/kv-lease", s.withFaults(s.kvGrantLease))
	e.POST("/v1/kv-keep/:id", s.withFaults(s.kvRenewLease))
	e.DELETE("/v1/kv-lease-end/:id", s.withFaults(s.revoke))
	return e
}

// toKV converts an item to the format of the operators' platform.
func (i storeItem) toKV() kvItem {
	return kvItem{Key: i.Key, Value: i.Value, Rev: i.Version, Tombstone: i.Deleted}
}

func (s *Store) kvGet(c echo.Context) error {
	s.mu.Lock()
	s.expireLeases(time.Now())
	s.counts.Reads++
	item, ok := s.items[c.QueryParam("key")]
	s.mu.Unlock()
	if !ok {
		return c.NoContent(http.StatusNotFound)
	}
	return c.JSON(http.StatusOK, item.toKV())
}

func (s *Store) kvList(c echo.Context) error {
	s.mu.Lock()
	s.expireLeases(time.Now())
	s.counts.Reads++
	items := []kvItem{}
	for k, v := range s.items {
		if strings.HasPrefix(k, c.QueryParam("prefix")) && k > c.QueryParam("after") {
			items = append(items, v.toKV())
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > kvPageSize
	if more {
		items = items[:kvPageSize]
	}
	return c.JSON(http.StatusOK, map[string]any{"items": items, "has_more": more, "store_revision": revision})
}

func (s *Store) kvWatch(c echo.Context) error {
	after, err := strconv.ParseInt(c.QueryParam("after"), 10, 64)
	if err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	wait, _ := strconv.ParseInt(c.QueryParam("wait_ms"), 10, 64)
	status, events, revision := s.awaitEvents(c.Request().Context(), c.QueryParam("prefix"), after, time.Duration(wait)*time.Millisecond)
	if status != http.StatusOK {
		return c.NoContent(status)
	}
	items := make([]kvItem, 0, len(events))
	for _, e := range events {
		items = append(items, e.toKV())
	}
	return c.JSON(http.StatusOK, map[string]any{"events": items, "store_revision": revision})
}

func (s *Store) kvTransaction(c echo.Context) error {
	var t kvTransaction
	if err := c.Bind(&t); err != nil || len(t.Conditions)+len(t.Writes)+len(t.Removals) > kvMaxEntries {
		return c.NoContent(http.StatusBadRequest)
	}
	s.mu.Lock()
	delayed := s.fault.LostAnswers > 0 && s.fault.WriteDelay > 0
	delay := time.Duration(s.fault.WriteDelay) * time.Millisecond
	s.counts.Writes++
	s.mu.Unlock()
	if delayed {
		time.AfterFunc(delay, func() { s.applyTransaction(t) })
		return s.respond(c, http.StatusOK, nil)
	}
	status, rev := s.applyTransaction(t)
	if status != http.StatusOK {
		return c.JSON(status, map[string]any{})
	}
	return s.respond(c, status, map[string]int64{"rev": rev})
}

// applyTransaction applies a transaction atomically. It returns the new revision, or a
// status that says why nothing was applied.
func (s *Store) applyTransaction(t kvTransaction) (status int, revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases(time.Now())
	for _, c := range t.Conditions {
		if s.items[c.Key].Version != c.Rev {
			return http.StatusPreconditionFailed, 0
		}
	}
	for _, w := range t.Writes {
		if _, ok := s.leases[w.Lease.String()]; w.Lease != "" && w.Lease != "0" && !ok {
			return http.StatusNotFound, 0
		}
	}
	s.revision++
	for _, w := range t.Writes {
		item := storeItem{Key: w.Key, Value: w.Value, Version: s.revision, lease: w.Lease.String()}
		s.items[w.Key] = item
		s.appendEvent(item)
	}
	for _, key := range t.Removals {
		if _, ok := s.items[key]; ok {
			delete(s.items, key)
			s.appendEvent(storeItem{Key: key, Version: s.revision, Deleted: true})
		}
	}
	return http.StatusOK, s.revision
}

func (s *Store) kvGrantLease(c echo.Context) error {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	if err := c.Bind(&body); err != nil || body.TTL <= 0 {
		return c.NoContent(http.StatusBadRequest)
	}
	s.mu.Lock()
	s.revision++
	id := s.revision
	lifetime := time.Duration(body.TTL) * time.Millisecond
	s.leases[strconv.FormatInt(id, 10)] = &storeLease{expiresAt: time.Now().Add(lifetime), ttl: lifetime}
	s.mu.Unlock()
	return s.respond(c, http.StatusOK, map[string]int64{"lease": id, "ttl_ms": body.TTL})
}

func (s *Store) kvRenewLease(c echo.Context) error {
	ttl, ok := s.renewLease(c.Param("id"))
	if !ok {
		return c.NoContent(http.StatusNotFound)
	}
	return c.JSON(http.StatusOK, map[string]int64{"ttl_ms": ttl.Milliseconds()})
}

// Set stores a value as JSON without a condition, as the platform or an operator does.
func (s *Store) Set(key string, value any) error {
	raw, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("encode %s: %w", key, err)
	}
	s.SetBytes(key, raw)
	return nil
}

// SetBytes stores a value without a condition, which need not be JSON.
func (s *Store) SetBytes(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	item := storeItem{Key: key, Value: value, Version: s.revision}
	s.items[key] = item
	s.appendEvent(item)
}

// Value returns the value of a key, or nil.
func (s *Store) Value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

// Delete deletes a key without a condition, as the platform does.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; ok {
		s.deleteKey(key)
	}
}

// Compact discards the event history; a watch from an earlier revision gets status 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events, s.compactRevision = nil, s.revision
	s.wakeWatches()
}
