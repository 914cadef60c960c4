// Package hfpeer tracks the other instances, from the membership list and their
// heartbeats, and holds the links to them.
package hfpeer

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/heatherfront/heatherfront/hfintake"
	"github.com/heatherfront/heatherfront/hfwire"
)

// Peer is what this instance knows about one instance.
type Peer struct {
	name        string
	address     string
	domain      string
	region      string
	incarnation string    // "" before the first heartbeat and while suspected
	suspectAt   time.Time // time at which it is suspected unless a heartbeat arrives
	leaving     bool
	listed      bool   // in the membership list
	listedIP    string // address in that list without the port
	sequence    uint64 // of the latest heartbeat
	digest      uint64 // of its configuration
	revision    int64  // up to which its configuration is complete
}

// NewPeer returns a peer of which only the name and the address are known.
func NewPeer(name, address string) Peer { return Peer{name: name, address: address} }

// Name returns the name of the instance.
func (p Peer) Name() string { return p.name }

// Address returns the IP:port at which the instance serves other instances.
func (p Peer) Address() string { return p.address }

// Domain returns the failure domain of the instance.
func (p Peer) Domain() string { return p.domain }

// Region returns the region of the instance.
func (p Peer) Region() string { return p.region }

// Incarnation returns the id of the process, which changes with every start. It is ""
// before the first heartbeat and while the instance is suspected.
func (p Peer) Incarnation() string { return p.incarnation }

// IsLatest reports whether a heartbeat is the latest one received from the instance.
func (p Peer) IsLatest(incarnation string, sequence uint64) bool {
	return p.incarnation == incarnation && p.sequence == sequence
}

// Listed reports whether the membership lists the instance.
func (p Peer) Listed() bool { return p.listed }

// Leaving reports whether the instance is being stopped.
func (p Peer) Leaving() bool { return p.leaving }

// Digest returns the configuration digest of the latest heartbeat.
func (p Peer) Digest() uint64 { return p.digest }

// Revision returns the revision up to which the configuration of the instance is complete.
func (p Peer) Revision() int64 { return p.revision }

// Member is one entry of the membership list.
type Member struct {
	name    string
	address string
	domain  string
	region  string
	leaving bool
}

// NewMember returns an entry of the membership list.
func NewMember(name, address, domain, region string, leaving bool) Member {
	return Member{name: name, address: address, domain: domain, region: region, leaving: leaving}
}

// Msg is an input of State.
type Msg interface{ peerMsg() }

// ListMsg carries the membership list of the platform.
type ListMsg struct{ members []Member }

// Listed returns a ListMsg.
func Listed(members []Member) ListMsg { return ListMsg{members: members} }

// HeartbeatMsg carries a heartbeat of another instance.
type HeartbeatMsg struct {
	sender      string
	incarnation string
	heartbeat   *hfwire.Beat
}

// Heartbeat returns a HeartbeatMsg.
func Heartbeat(sender, incarnation string, heartbeat *hfwire.Beat) HeartbeatMsg {
	return HeartbeatMsg{sender: sender, incarnation: incarnation, heartbeat: heartbeat}
}

// TickMsg is sent at regular intervals and makes State check its deadlines.
type TickMsg struct{}

func (ListMsg) peerMsg()      {}
func (HeartbeatMsg) peerMsg() {}
func (TickMsg) peerMsg()      {}

// Cmd is an output of State.
type Cmd interface{ peerCmd() }

// UpCmd reports the first heartbeat of an incarnation, or the first one after the
// instance was suspected.
type UpCmd struct{ peer Peer }

// SuspectCmd reports that an instance has sent no heartbeat for the suspect timeout.
type SuspectCmd struct{ peer Peer }

// GoneCmd reports that an instance has left.
type GoneCmd struct{ peer Peer }

// PausedCmd reports that two ticks were more than half the suspect timeout apart, so that
// this process is assumed not to have run in between.
type PausedCmd struct{ gap int64 }

// Peer returns the instance that sent the heartbeat.
func (c UpCmd) Peer() Peer { return c.peer }

// Peer returns the suspected instance.
func (c SuspectCmd) Peer() Peer { return c.peer }

// Peer returns the instance that left.
func (c GoneCmd) Peer() Peer { return c.peer }

// Gap returns the time between the two ticks in milliseconds.
func (c PausedCmd) Gap() int64 { return c.gap }

func (UpCmd) peerCmd()      {}
func (SuspectCmd) peerCmd() {}
func (GoneCmd) peerCmd()    {}
func (PausedCmd) peerCmd()  {}

// State is the membership as this instance sees it.
type State struct {
	self         Peer
	peers        map[string]*Peer // without self
	suspectAfter func() time.Duration
	lastTick     time.Time // a long time since then means that this process was paused
}

// New returns the membership of an instance that knows no other one. A peer is suspected,
// and no longer live, when it has sent no heartbeat for suspectAfter.
func New(name, address, domain, region, incarnation string, suspectAfter time.Duration, now time.Time) *State {
	return &State{
		self:         Peer{name: name, address: address, domain: domain, region: region, incarnation: incarnation, listed: true},
		peers:        map[string]*Peer{},
		suspectAfter: func() time.Duration { return suspectAfter },
		lastTick:     now,
	}
}

// Update applies one message and returns the resulting changes.
func (s *State) Update(msg Msg, now time.Time) []Cmd {
	switch m := msg.(type) {
	case ListMsg:
		return s.handleList(m.members)
	case HeartbeatMsg:
		return s.handleHeartbeat(m, now)
	case TickMsg:
		return s.handleTick(now)
	}
	return nil
}

// handleList updates the peers from the membership list. A listed address, domain and
// region are used only until a heartbeat brings the current ones.
func (s *State) handleList(members []Member) []Cmd {
	var cmds []Cmd
	listed := map[string]bool{}
	for _, m := range members {
		if m.name == s.self.name {
			continue
		}
		listed[m.name] = true
		p, ok := s.peers[m.name]
		if !ok {
			p = &Peer{name: m.name}
			s.peers[m.name] = p
		}
		p.listed, p.listedIP = true, hfintake.Host(m.address)
		if p.incarnation == "" {
			p.address, p.domain, p.region = m.address, m.domain, m.region
		}
		p.leaving = p.leaving || m.leaving
	}
	for name, p := range s.peers {
		if listed[name] {
			continue
		}
		p.listed, p.listedIP = false, ""
		if p.incarnation == "" {
			delete(s.peers, name)
			cmds = append(cmds, GoneCmd{peer: *p})
		}
	}
	return cmds
}

// handleHeartbeat applies a heartbeat unless a later one of the same incarnation was
// received before. It also adds instances that are not listed, because the membership list
// lags behind, but no more than maxUnlisted.
func (s *State) handleHeartbeat(m HeartbeatMsg, now time.Time) []Cmd {
	if m.sender == s.self.name || !m.valid() {
		return nil
	}
	p, ok := s.peers[m.sender]
	if !ok {
		if s.unlisted() >= maxUnlisted {
			return nil
		}
		p = &Peer{name: m.sender}
		s.peers[m.sender] = p
	}
	cameUp := p.incarnation != m.incarnation
	if !cameUp && m.heartbeat.GetSequence() <= p.sequence {
		return nil
	}
	p.incarnation = m.incarnation
	p.sequence = m.heartbeat.GetSequence()
	p.address, p.domain, p.region = m.heartbeat.GetAddress(), m.heartbeat.GetDomain(), m.heartbeat.GetRegion()
	p.digest, p.revision = m.heartbeat.GetDigest(), m.heartbeat.GetRevision()
	p.leaving = m.heartbeat.GetLeaving()
	p.suspectAt = now.Add(s.suspectAfter())
	if cameUp {
		return []Cmd{UpCmd{peer: *p}}
	}
	return nil
}

// valid reports whether a heartbeat may be kept.
func (m HeartbeatMsg) valid() bool {
	for _, text := range []string{m.sender, m.incarnation, m.heartbeat.GetAddress(), m.heartbeat.GetDomain(), m.heartbeat.GetRegion()} {
		if len(text) > maxNameBytes {
			return false
		}
	}
	return true
}

// unlisted returns the number of other instances that the membership does not list.
func (s *State) unlisted() int {
	n := 0
	for _, p := range s.peers {
		if !p.listed {
			n++
		}
	}
	return n
}

// Lists reports whether the membership lists another instance with an IP address.
func (s *State) Lists(ip string) bool {
	for _, p := range s.peers {
		if p.listed && p.listedIP == ip {
			return true
		}
	}
	return false
}

// handleTick detects a pause of this process and the peers that are suspected or have left.
func (s *State) handleTick(now time.Time) []Cmd {
	var cmds []Cmd
	if gap := now.Sub(s.lastTick); gap > s.suspectAfter()/2 {
		s.extendDeadlines(gap)
		cmds = append(cmds, PausedCmd{gap: gap.Milliseconds()})
	}
	s.lastTick = now
	for name, p := range s.peers {
		if p.incarnation == "" || now.Before(p.suspectAt) {
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

// extendDeadlines delays the suspicion of every peer by a time during which this process
// did not run and received no heartbeats.
func (s *State) extendDeadlines(gap time.Duration) {
	for _, p := range s.peers {
		p.suspectAt = p.suspectAt.Add(gap)
	}
}

// Leave marks this instance as leaving.
func (s *State) Leave() { s.self.leaving = true }

// Self returns this instance.
func (s *State) Self() Peer { return s.self }

// Known returns all other instances, live or not, sorted by name.
func (s *State) Known() []Peer {
	known := make([]Peer, 0, len(s.peers))
	for _, p := range s.peers {
		known = append(known, *p)
	}
	sort.Slice(known, func(i, j int) bool { return known[i].name < known[j].name })
	return known
}

// Find returns the other instance with the given name.
func (s *State) Find(name string) (Peer, bool) {
	p, ok := s.peers[name]
	if !ok {
		return Peer{}, false
	}
	return *p, true
}

// Live returns the instances that can own keys, including this one, sorted by name.
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

// Owner returns the live instance that owns a key, by rendezvous hashing: when one
// instance is added or removed, only the keys that it owns move. Instances in the failure
// domain are preferred, then those in the region; "" means no preference. ok is false if no
// instance is live.
func Owner(key string, live []Peer, domain, region string) (owner string, ok bool) {
	var bestHash uint64
	bestScore := -1
	for _, p := range live {
		score := localityScore(p, domain, region)
		hash := Hash(p.name + "\x00" + key)
		if score > bestScore || score == bestScore && hash > bestHash {
			bestHash, bestScore, owner = hash, score, p.name
		}
	}
	return owner, bestScore >= 0
}

// Hash returns the hash that assigns keys to instances.
func Hash(key string) uint64 { return xxhash.Sum64String(key) }

// localityScore returns the preference for a peer by its failure domain and its region;
// higher is better.
func localityScore(p Peer, domain, region string) int {
	switch {
	case domain != "" && p.domain == domain:
		return 2
	case region != "" && p.region == region:
		return 1
	default:
		return 0
	}
}
