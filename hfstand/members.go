package hfstand

import (
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
)

// Member is one row of the membership list.
type Member struct {
	Name         string `json:"name"`
	Role         string `json:"role"` // instance, worker or minion
	Address      string `json:"address"`
	Domain       string `json:"domain"`
	Region       string `json:"region"`
	Rack         string `json:"rack,omitempty"`
	Position     int    `json:"position,omitempty"`
	Accelerators int    `json:"accelerators,omitempty"`
	Slots        int    `json:"slots,omitempty"`
	State        string `json:"state"` // live or leaving
}

// MembersFault is what PUT /fault sets on the membership list.
type MembersFault struct {
	Down  bool  `json:"down"`
	Lag   int64 `json:"lag"`   // age of the answer in milliseconds
	Stuck bool  `json:"stuck"` // the answer stays as it was when this was set
}

type membersVersion struct {
	at   time.Time
	rows []Member
}

// Members is the platform's lagging list of live and leaving instances.
type Members struct {
	mu    sync.Mutex
	rows  map[string]Member
	past  []membersVersion // oldest first
	fault MembersFault
	stuck []Member
}

// NewMembers returns an empty list.
func NewMembers() *Members {
	return &Members{rows: map[string]Member{}}
}

// Fault sets the faults.
func (m *Members) Fault(f MembersFault) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fault = f
	if len(m.past) > 0 {
		m.stuck = m.past[len(m.past)-1].rows
	}
}

// Set adds or changes a row.
func (m *Members) Set(row Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rows[row.Name] = row
	m.keep()
}

// Remove deletes a row.
func (m *Members) Remove(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.rows, name)
	m.keep()
}

// keep records the current rows as a version; the caller holds mu.
func (m *Members) keep() {
	rows := make([]Member, 0, len(m.rows))
	for _, r := range m.rows {
		rows = append(rows, r)
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Name < rows[j].Name })
	m.past = append(m.past, membersVersion{at: time.Now(), rows: rows})
	if len(m.past) > 5000 {
		m.past = m.past[1:]
	}
}

func (m *Members) list() ([]Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fault.Down {
		return nil, false
	}
	if m.fault.Stuck {
		return m.stuck, true
	}
	limit := time.Now().Add(-time.Duration(m.fault.Lag) * time.Millisecond)
	rows := []Member{}
	for _, v := range m.past {
		if v.at.After(limit) {
			break
		}
		rows = v.rows
	}
	return rows, true
}

// Handler returns the HTTP interface.
func (m *Members) Handler() http.Handler {
	e := echo.New()
	e.GET("/v1/members", func(c echo.Context) error {
		rows, ok := m.list()
		if !ok {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		return c.JSON(http.StatusOK, rows)
	})
	e.POST("/v1/members", func(c echo.Context) error {
		var row Member
		if err := c.Bind(&row); err != nil {
			return fmt.Errorf("read member: %w", err)
		}
		m.Set(row)
		return c.NoContent(http.StatusNoContent)
	})
	e.DELETE("/v1/members/:name", func(c echo.Context) error {
		m.Remove(c.Param("name"))
		return c.NoContent(http.StatusNoContent)
	})
	e.PUT("/fault", faultRoute(m.Fault))
	return e
}
