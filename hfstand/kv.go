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

// The operators' platform speaks to the same store in words of its own.
type kvItem struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Rev       int64  `json:"rev"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type kvCondition struct {
	Key string `json:"key"`
	Rev int64  `json:"rev"`
}

type kvWrite struct {
	Key   string      `json:"key"`
	Value []byte      `json:"value"`
	Lease json.Number `json:"lease"`
}

type kvTransaction struct {
	Conditions []kvCondition `json:"precondition"`
	Writes     []kvWrite     `json:"writes"`
	Removals   []string      `json:"remove"`
}

const (
	kvMostEntries = 32
	kvPage        = 500
)

// PlatformHandler returns the HTTP interface of the operators' platform.
func (s *Store) PlatformHandler() http.Handler {
	e := echo.New()
	e.GET("/v1/kv-key", s.guard(s.kvKey))
	e.GET("/v1/kv-range", s.guard(s.kvRange))
	e.GET("/v1/kv-watch", s.guard(s.kvWatch))
	e.POST("/v1/kv-txn", s.guard(s.kvTransaction))
	e.POST("/v1/kv-lease", s.guard(s.kvLease))
	e.POST("/v1/kv-keep/:id", s.guard(s.kvKeep))
	e.DELETE("/v1/kv-lease-end/:id", s.guard(s.revoke))
	return e
}

func (i storeItem) kv() kvItem {
	return kvItem{Key: i.Key, Value: i.Value, Rev: i.Version, Tombstone: i.Deleted}
}

func (s *Store) kvKey(c echo.Context) error {
	s.mu.Lock()
	s.expire(time.Now())
	s.counts.Reads++
	item, ok := s.items[c.QueryParam("key")]
	s.mu.Unlock()
	if !ok {
		return c.NoContent(http.StatusNotFound)
	}
	return c.JSON(http.StatusOK, item.kv())
}

func (s *Store) kvRange(c echo.Context) error {
	s.mu.Lock()
	s.expire(time.Now())
	s.counts.Reads++
	items := []kvItem{}
	for k, v := range s.items {
		if strings.HasPrefix(k, c.QueryParam("prefix")) && k > c.QueryParam("after") {
			items = append(items, v.kv())
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > kvPage
	if more {
		items = items[:kvPage]
	}
	return c.JSON(http.StatusOK, map[string]any{"items": items, "has_more": more, "store_revision": revision})
}

func (s *Store) kvWatch(c echo.Context) error {
	after, err := strconv.ParseInt(c.QueryParam("after"), 10, 64)
	if err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	wait, _ := strconv.ParseInt(c.QueryParam("wait_ms"), 10, 64)
	status, events, revision := s.await(c.Request().Context(), c.QueryParam("prefix"), after, time.Duration(wait)*time.Millisecond)
	if status != http.StatusOK {
		return c.NoContent(status)
	}
	list := make([]kvItem, 0, len(events))
	for _, e := range events {
		list = append(list, e.kv())
	}
	return c.JSON(http.StatusOK, map[string]any{"events": list, "store_revision": revision})
}

func (s *Store) kvTransaction(c echo.Context) error {
	var t kvTransaction
	if err := c.Bind(&t); err != nil || len(t.Conditions)+len(t.Writes)+len(t.Removals) > kvMostEntries {
		return c.NoContent(http.StatusBadRequest)
	}
	s.mu.Lock()
	late := s.fault.Lost > 0 && s.fault.Late > 0
	delay := time.Duration(s.fault.Late) * time.Millisecond
	s.counts.Writes++
	s.mu.Unlock()
	if late {
		time.AfterFunc(delay, func() { s.carryOut(t) })
		return s.answer(c, http.StatusOK, nil)
	}
	status, rev := s.carryOut(t)
	if status != http.StatusOK {
		return c.JSON(status, map[string]any{})
	}
	return s.answer(c, status, map[string]int64{"rev": rev})
}

// carryOut applies a transaction as a whole or not at all.
func (s *Store) carryOut(t kvTransaction) (status int, revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	for _, k := range t.Conditions {
		if s.items[k.Key].Version != k.Rev {
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
		s.record(item)
	}
	for _, k := range t.Removals {
		if _, ok := s.items[k]; ok {
			delete(s.items, k)
			s.record(storeItem{Key: k, Version: s.revision, Deleted: true})
		}
	}
	return http.StatusOK, s.revision
}

func (s *Store) kvLease(c echo.Context) error {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	if err := c.Bind(&body); err != nil || body.TTL <= 0 {
		return c.NoContent(http.StatusBadRequest)
	}
	s.mu.Lock()
	s.revision++
	id := s.revision
	d := time.Duration(body.TTL) * time.Millisecond
	s.leases[strconv.FormatInt(id, 10)] = &storeLease{until: time.Now().Add(d), ttl: d}
	s.mu.Unlock()
	return s.answer(c, http.StatusOK, map[string]int64{"lease": id, "ttl_ms": body.TTL})
}

func (s *Store) kvKeep(c echo.Context) error {
	ttl, ok := s.extend(c.Param("id"))
	if !ok {
		return c.NoContent(http.StatusNotFound)
	}
	return c.JSON(http.StatusOK, map[string]int64{"ttl_ms": ttl.Milliseconds()})
}

// Set writes a value as the platform or an operator does, without a condition.
func (s *Store) Set(key string, value any) error {
	raw, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("encode %s: %w", key, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	item := storeItem{Key: key, Value: raw, Version: s.revision}
	s.items[key] = item
	s.record(item)
	return nil
}

// Unset removes a key as the platform does.
func (s *Store) Unset(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; ok {
		s.drop(key)
	}
}

// Compact drops the history of all changes.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events, s.oldest = nil, s.revision
	s.signal()
}
