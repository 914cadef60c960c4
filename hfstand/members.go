package hfstand

import (
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
)

// Member is one entry of the membership list.
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

// MembersFault is the body of PUT /fault on the membership list. It replaces the previous
// faults.
type MembersFault struct {
	Down      bool  `json:"down"`  // every read answers 503
	AnswerAge int64 `json:"lag"`   // milliseconds by which the answer is out of date
	Stuck     bool  `json:"stuck"` // the answer stays what it was when the fault was set
}

// maxMembershipVersions is how many versions of the list are kept for AnswerAge.
const maxMembershipVersions = 5000

// membershipVersion is the list as it was from recordedAt on.
type membershipVersion struct {
	recordedAt time.Time
	members    []Member
}

// Members is a fake of the platform's membership list. It holds the live and leaving
// instances, workers and minions, and may lag behind.
type Members struct {
	mu           sync.Mutex
	members      map[string]Member
	versions     []membershipVersion // oldest first
	fault        MembersFault
	stuckMembers []Member
}

// NewMembers returns an empty list.
func NewMembers() *Members {
	return &Members{members: map[string]Member{}}
}

// Fault replaces the injected faults.
func (m *Members) Fault(f MembersFault) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fault = f
	if len(m.versions) > 0 {
		m.stuckMembers = m.versions[len(m.versions)-1].members
	}
}

// Set adds or replaces a member.
func (m *Members) Set(member Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.members[member.Name] = member
	m.recordVersion()
}

// Remove deletes a member.
func (m *Members) Remove(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.members, name)
	m.recordVersion()
}

// recordVersion appends the current members as a version. The caller holds mu.
func (m *Members) recordVersion() {
	members := make([]Member, 0, len(m.members))
	for _, member := range m.members {
		members = append(members, member)
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Name < members[j].Name })
	m.versions = append(m.versions, membershipVersion{recordedAt: time.Now(), members: members})
	if len(m.versions) > maxMembershipVersions {
		m.versions = m.versions[1:]
	}
}

// list returns the members as of AnswerAge ago. It reports false while the list is down.
func (m *Members) list() ([]Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fault.Down {
		return nil, false
	}
	if m.fault.Stuck {
		return m.stuckMembers, true
	}
	asOf := time.Now().Add(-time.Duration(m.fault.AnswerAge) * time.Millisecond)
	members := []Member{}
	for _, v := range m.versions {
		if v.recordedAt.After(asOf) {
			break
		}
		members = v.members
	}
	return members, true
}

// Handler returns the HTTP interface of the membership list.
func (m *Members) Handler() http.Handler {
	e := echo.New()
	e.GET("/v1/members", func(c echo.Context) error {
		members, ok := m.list()
		if !ok {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		return c.JSON(http.StatusOK, members)
	})
	e.POST("/v1/members", func(c echo.Context) error {
		var member Member
		if err := c.Bind(&member); err != nil {
			return fmt.Errorf("read member: %w", err)
		}
		m.Set(member)
		return c.NoContent(http.StatusNoContent)
	})
	e.DELETE("/v1/members/:name", func(c echo.Context) error {
		m.Remove(c.Param("name"))
		return c.NoContent(http.StatusNoContent)
	})
	e.PUT("/fault", faultHandler(m.Fault))
	return e
}
