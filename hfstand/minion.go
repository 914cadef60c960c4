package hfstand

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
)

// MinionFault is the body of PUT /fault on a minion. It replaces the previous faults.
type MinionFault struct {
	Fail      bool  `json:"fail"`     // every admitted request runs and is answered with status 500
	Slow      int64 `json:"slow"`     // milliseconds added to each request
	Truncate  bool  `json:"truncate"` // the connection is dropped in the middle of each answer
	WrongID   bool  `json:"mix"`      // each answer carries the id of another request
	Drain     bool  `json:"drain"`    // requests are refused, and /health reports "leaving"
	HideDrain bool  `json:"quiet"`    // with Drain: /health still reports "ok"
	RealSlots int   `json:"lie"`      // number of slots that it really has, below the configured one; 0: the configured number
	Hang      bool  `json:"hang"`     // requests and health checks are not answered
}

// Minion is a fake endpoint with a number of slots. It answers a request with the body of
// the request, after the number of milliseconds in the Service header.
type Minion struct {
	mu        sync.Mutex
	name      string
	slots     int
	busy      int
	peakBusy  int
	runs      map[string]int // by request id
	lastStart time.Time      // start of the latest request that was not refused
	refused   int
	fault     MinionFault
}

// NewMinion returns a minion with a number of slots.
func NewMinion(name string, slots int) *Minion {
	return &Minion{name: name, slots: slots, runs: map[string]int{}}
}

// Fault replaces the injected faults.
func (m *Minion) Fault(f MinionFault) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fault = f
}

// Runs returns the number of runs by request id.
func (m *Minion) Runs() map[string]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	runs := make(map[string]int, len(m.runs))
	for k, v := range m.runs {
		runs[k] = v
	}
	return runs
}

// PeakBusy returns the largest number of requests that ran at once.
func (m *Minion) PeakBusy() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peakBusy
}

// Refused returns the number of requests refused for lack of a free slot.
func (m *Minion) Refused() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.refused
}

// LastStart returns the start time of the latest request that was not refused.
func (m *Minion) LastStart() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastStart
}

// Handler returns the HTTP interface of the minion.
func (m *Minion) Handler() http.Handler {
	e := echo.New()
	e.POST("/work/:kind", m.handleWork)
	e.GET("/health", m.handleHealth)
	e.GET("/v1/runs", func(c echo.Context) error { return c.JSON(http.StatusOK, m.Runs()) })
	e.PUT("/fault", faultHandler(m.Fault))
	return e
}

func (m *Minion) handleHealth(c echo.Context) error {
	m.mu.Lock()
	f, busy := m.fault, m.busy
	m.mu.Unlock()
	if f.Hang {
		<-c.Request().Context().Done()
		return c.Request().Context().Err()
	}
	state := "ok"
	if f.Drain && !f.HideDrain {
		state = "leaving"
	}
	return c.JSON(http.StatusOK, map[string]any{"state": state, "busy": busy})
}

// admit takes a slot for a request, or returns why the request is refused.
func (m *Minion) admit(id string) (MinionFault, string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	slots := m.slots
	if m.fault.RealSlots > 0 {
		slots = m.fault.RealSlots
	}
	switch {
	case m.fault.Drain:
		return m.fault, "leaving"
	case m.busy >= slots:
		m.refused++
		return m.fault, "busy"
	}
	m.busy++
	m.peakBusy = max(m.peakBusy, m.busy)
	m.runs[id]++
	m.lastStart = time.Now()
	return m.fault, ""
}

// release returns the slot of a finished request.
func (m *Minion) release() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.busy--
}

func (m *Minion) handleWork(c echo.Context) error {
	body, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return fmt.Errorf("read request: %w", err)
	}
	id := c.Request().Header.Get("Request-Id")
	f, refusal := m.admit(id)
	h := c.Response().Header()
	if refusal != "" {
		h.Set("Outcome", "not-run")
		h.Set("Request-Id", id)
		h.Set("State", refusal)
		return c.NoContent(http.StatusServiceUnavailable)
	}
	defer m.release()
	m.simulateWork(c, f)
	if f.WrongID {
		id = "other"
	}
	h.Set("Request-Id", id)
	h.Set("Content-Type", "application/octet-stream")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if f.Fail {
		h.Del("Content-Length")
		return c.String(http.StatusInternalServerError, "failed by an injected fault")
	}
	if f.Truncate {
		c.Response().WriteHeader(http.StatusOK)
		_, _ = c.Response().Write(body[:len(body)/2])
		c.Response().Flush()
		panic(http.ErrAbortHandler)
	}
	return c.Stream(http.StatusOK, "application/octet-stream", bytes.NewReader(body))
}

// simulateWork waits for the service time of a request, and on Hang until its client
// disconnects.
func (m *Minion) simulateWork(c echo.Context, f MinionFault) {
	serviceMS, _ := strconv.ParseInt(c.Request().Header.Get("Service"), 10, 64)
	time.Sleep(time.Duration(serviceMS+f.Slow) * time.Millisecond)
	if f.Hang {
		<-c.Request().Context().Done()
	}
}
