// Package hfpeer knows the other instances: which are live, which leave, and the
// links to them.
package hfpeer

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/heatherfront/heatherfront/hfwire"
)

// Peer is one instance as this one knows it.
type Peer struct {
	name        string
	address     string
	domain      string
	region      string
	incarnation string    // "" until it was heard
	until       time.Time // it is suspected when this passes without a beat
	leaving     bool
	listed      bool
	sequence    uint64
	digest      uint64 // of its configuration
	revision    int64  // up to which its configuration is complete
}

// NewPeer returns a peer that is known by its name and address alone.
func NewPeer(name, address string) Peer { return Peer{name: name, address: address} }

// Name returns the instance's name.
func (p Peer) Name() string { return p.name }

// Address returns the IP:port for other instances.
func (p Peer) Address() string { return p.address }

// Domain returns the instance's failure domain.
func (p Peer) Domain() string { return p.domain }

// Region returns the instance's region.
func (p Peer) Region() string { return p.region }

// Incarnation returns the id of the process's run, or "" before it was heard.
func (p Peer) Incarnation() string { return p.incarnation }

// Last tells whether a beat is the newest that was heard of the instance.
func (p Peer) Last(incarnation string, sequence uint64) bool {
	return p.incarnation == incarnation && p.sequence == sequence
}

// Leaving tells whether the instance is being stopped.
func (p Peer) Leaving() bool { return p.leaving }

// Digest returns the digest of the peer's configuration at its last beat.
func (p Peer) Digest() uint64 { return p.digest }

// Revision returns the revision up to which the peer's configuration is complete.
func (p Peer) Revision() int64 { return p.revision }

// Row is one instance of the membership list.
type Row struct {
	name    string
	address string
	domain  string
	region  string
	leaving bool
}

// NewRow builds a row.
func NewRow(name, address, domain, region string, leaving bool) Row {
	return Row{name: name, address: address, domain: domain, region: region, leaving: leaving}
}

// Msg is an input of State.
type Msg interface{ peerMsg() }

// ListMsg brings the platform's membership list.
type ListMsg struct{ rows []Row }

// Listed returns a ListMsg.
func Listed(rows []Row) ListMsg { return ListMsg{rows: rows} }

// BeatMsg brings a beat of another instance.
type BeatMsg struct {
	sender      string
	incarnation string
	beat        *hfwire.Beat
}

// Beaten returns a BeatMsg.
func Beaten(sender, incarnation string, beat *hfwire.Beat) BeatMsg {
	return BeatMsg{sender: sender, incarnation: incarnation, beat: beat}
}

// TickMsg lets time pass.
type TickMsg struct{}

func (ListMsg) peerMsg() {}
func (BeatMsg) peerMsg() {}
func (TickMsg) peerMsg() {}

// Cmd is an output of State.
type Cmd interface{ peerCmd() }

// UpCmd tells that an instance was heard under a new incarnation.
type UpCmd struct{ peer Peer }

// SuspectCmd tells that an instance was not heard for the suspicion time.
type SuspectCmd struct{ peer Peer }

// GoneCmd tells that an instance left.
type GoneCmd struct{ peer Peer }

// PausedCmd tells that this process did not run for a while.
type PausedCmd struct{ gap int64 }

// Peer returns the instance heard.
func (c UpCmd) Peer() Peer { return c.peer }

// Peer returns the instance suspected.
func (c SuspectCmd) Peer() Peer { return c.peer }

// Peer returns the instance that left.
func (c GoneCmd) Peer() Peer { return c.peer }

// Gap returns the pause in milliseconds.
func (c PausedCmd) Gap() int64 { return c.gap }

func (UpCmd) peerCmd()      {}
func (SuspectCmd) peerCmd() {}
func (GoneCmd) peerCmd()    {}
func (PausedCmd) peerCmd()  {}

// State is the membership as one instance sees it.
type State struct {
	self    Peer
	peers   map[string]*Peer // without self
	suspect func() time.Duration
	tick    time.Time // last tick; a long gap means that this process was paused
}

// New returns the membership of an instance that knows only itself. suspect is
// the silence after which a peer's duties move.
func New(name, address, domain, region, incarnation string, suspect time.Duration, now time.Time) *State {
	return &State{
		self:    Peer{name: name, address: address, domain: domain, region: region, incarnation: incarnation, listed: true},
		peers:   map[string]*Peer{},
		suspect: func() time.Duration { return suspect },
		tick:    now,
	}
}

// Update takes one message and returns the changes it made.
func (s *State) Update(msg Msg, now time.Time) []Cmd {
	switch m := msg.(type) {
	case ListMsg:
		return s.list(m.rows)
	case BeatMsg:
		return s.beat(m, now)
	case TickMsg:
		return s.pass(now)
	}
	return nil
}

func (s *State) list(rows []Row) []Cmd {
	var cmds []Cmd
	seen := map[string]bool{}
	for _, r := range rows {
		if r.name == s.self.name {
			continue
		}
		seen[r.name] = true
		p, ok := s.peers[r.name]
		if !ok {
			p = &Peer{name: r.name}
			s.peers[r.name] = p
		}
		p.listed = true
		if p.incarnation == "" {
			p.address, p.domain, p.region = r.address, r.domain, r.region
		}
		p.leaving = p.leaving || r.leaving
	}
	for name, p := range s.peers {
		if seen[name] {
			continue
		}
		p.listed = false
		if p.incarnation == "" {
			delete(s.peers, name)
			cmds = append(cmds, GoneCmd{peer: *p})
		}
	}
	return cmds
}

// beat accepts a beat. The list lags, so a beat alone makes an instance known.
func (s *State) beat(m BeatMsg, now time.Time) []Cmd {
	if m.sender == s.self.name {
		return nil
	}
	p, ok := s.peers[m.sender]
	if !ok {
		p = &Peer{name: m.sender}
		s.peers[m.sender] = p
	}
	fresh := p.incarnation != m.incarnation
	if !fresh && m.beat.GetSequence() <= p.sequence {
		return nil
	}
	p.incarnation = m.incarnation
	p.sequence = m.beat.GetSequence()
	p.address, p.domain, p.region = m.beat.GetAddress(), m.beat.GetDomain(), m.beat.GetRegion()
	p.digest, p.revision = m.beat.GetDigest(), m.beat.GetRevision()
	p.leaving = m.beat.GetLeaving()
	p.until = now.Add(s.suspect())
	if fresh {
		return []Cmd{UpCmd{peer: *p}}
	}
	return nil
}

func (s *State) pass(now time.Time) []Cmd {
	var cmds []Cmd
	if gap := now.Sub(s.tick); gap > s.suspect()/2 {
		s.forgive(gap)
		cmds = append(cmds, PausedCmd{gap: gap.Milliseconds()})
	}
	s.tick = now
	for name, p := range s.peers {
		if p.incarnation == "" || now.Before(p.until) {
			continue
		}
		if p.leaving || !p.listed {
			delete(s.peers, name)
			cmds = append(cmds, GoneCmd{peer: *p})
			continue
		}
		cmds = append(cmds, SuspectCmd{peer: *p})
		p.incarnation = ""
	}
	return cmds
}

// forgive gives every peer the time during which this process did not run.
func (s *State) forgive(gap time.Duration) {
	for _, p := range s.peers {
		p.until = p.until.Add(gap)
	}
}

// Leave marks this instance as leaving.
func (s *State) Leave() { s.self.leaving = true }

// Self returns this instance.
func (s *State) Self() Peer { return s.self }

// Known returns every other instance by name, heard or not.
func (s *State) Known() []Peer {
	known := make([]Peer, 0, len(s.peers))
	for _, p := range s.peers {
		known = append(known, *p)
	}
	sort.Slice(known, func(i, j int) bool { return known[i].name < known[j].name })
	return known
}

// Find returns another instance by name.
func (s *State) Find(name string) (Peer, bool) {
	p, ok := s.peers[name]
	if !ok {
		return Peer{}, false
	}
	return *p, true
}

// Live returns the instances that can hold duties, this one included, by name.
func (s *State) Live() []Peer {
	var live []Peer
	if !s.self.leaving {
		live = append(live, s.self)
	}
	for _, p := range s.peers {
		if p.incarnation != "" && !p.leaving {
			live = append(live, *p)
		}
	}
	sort.Slice(live, func(i, j int) bool { return live[i].name < live[j].name })
	return live
}

// Owner returns the live instance that holds a divided duty, by rendezvous
// hashing: a change of one instance moves only its own share. Instances of the
// domain come first, then those of the region, then all others; "" means no
// preference. ok is false when no instance is live.
func Owner(duty string, live []Peer, domain, region string) (owner string, ok bool) {
	var best uint64
	bestNear := -1
	for _, p := range live {
		near := nearness(p, domain, region)
		weight := Weight(p.name + "\x00" + duty)
		if near > bestNear || near == bestNear && weight > best {
			best, bestNear, owner = weight, near, p.name
		}
	}
	return owner, bestNear >= 0
}

// Weight is the hash by which duties are divided.
func Weight(key string) uint64 { return xxhash.Sum64String(key) }

func nearness(p Peer, domain, region string) int {
	switch {
	case domain != "" && p.domain == domain:
		return 2
	case region != "" && p.region == region:
		return 1
	default:
		return 0
	}
}
