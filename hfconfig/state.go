package hfconfig

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// ErrReverted reports a broken invariant: a resource went to a lower revision.
var ErrReverted = eris.New("resource reverted")

// Msg is an input of State.
type Msg interface{ configMsg() }

// LearnedMsg brings resources from a watch, a peer or this instance's own write,
// in any order and as often as it likes.
type LearnedMsg struct {
	resources []Resource
	complete  int64 // every resource up to this revision is known with this message; 0: not known
}

// Learned returns a LearnedMsg for single resources.
func Learned(resources ...Resource) LearnedMsg { return LearnedMsg{resources: resources} }

// Watched returns a LearnedMsg for what a watch brought up to a revision.
func Watched(resources []Resource, revision int64) LearnedMsg {
	return LearnedMsg{resources: resources, complete: revision}
}

// ListedMsg brings the store's whole state at a revision.
type ListedMsg struct {
	resources []Resource
	revision  int64
}

// Listed returns a ListedMsg.
func Listed(resources []Resource, revision int64) ListedMsg {
	return ListedMsg{resources: resources, revision: revision}
}

// AgreedMsg tells that a peer with the same digest is complete up to a revision.
type AgreedMsg struct {
	digest   uint64
	complete int64
}

// Agreed returns an AgreedMsg.
func Agreed(digest uint64, complete int64) AgreedMsg {
	return AgreedMsg{digest: digest, complete: complete}
}

// HeardMsg tells that the store or a peer was heard.
type HeardMsg struct{}

func (LearnedMsg) configMsg() {}
func (ListedMsg) configMsg()  {}
func (AgreedMsg) configMsg()  {}
func (HeardMsg) configMsg()   {}

// Cmd is an output of State.
type Cmd interface{ configCmd() }

// AppliedCmd tells that a resource came into force.
type AppliedCmd struct{ resource Resource }

// Resource returns the resource in force.
func (c AppliedCmd) Resource() Resource { return c.resource }

// OlderCmd tells that the store shows a state older than the one in force.
type OlderCmd struct{ have, shown int64 }

// Have returns the highest revision in force.
func (c OlderCmd) Have() int64 { return c.have }

// Shown returns the store's revision.
func (c OlderCmd) Shown() int64 { return c.shown }

func (AppliedCmd) configCmd() {}
func (OlderCmd) configCmd()   {}

// IsolatedAfter is the silence of both the store and all peers after which an
// instance no longer takes its configuration for current. It stays below the
// 11 s within which an accepted change is in force.
const IsolatedAfter = 9 * time.Second

// State is the configuration of one instance. Its content is the join of all
// resources heard, by the highest revision of each key: the order in which they
// arrive does not matter, and no input can lower a revision.
type State struct {
	entries  map[string]Resource // by store key; a revision never falls
	digest   uint64              // exclusive or of the hashes of key and revision
	highest  int64               // highest revision of any entry
	complete int64               // every resource written up to this revision is held
	older    bool                // the store last showed a revision below highest
	heard    time.Time           // last sign of the store or a peer
	loaded   bool                // the store's state was read once, here or by a peer
	view     *View
	broken   error
}

// NewState returns an empty configuration.
func NewState(now time.Time) *State {
	s := &State{entries: map[string]Resource{}, heard: now}
	s.view = buildView(s.entries)
	return s
}

// Update takes one message and returns what came into force.
func (s *State) Update(msg Msg, now time.Time) []Cmd {
	switch m := msg.(type) {
	case LearnedMsg:
		s.heard = now
		cmds := s.join(m.resources)
		if m.complete > 0 {
			s.raise(m.complete)
		}
		return cmds
	case ListedMsg:
		s.heard = now
		return s.list(m)
	case AgreedMsg:
		s.heard = now
		if m.digest == s.digest && m.complete > 0 {
			s.raise(m.complete)
		}
	case HeardMsg:
		s.heard = now
	}
	return nil
}

func (s *State) list(m ListedMsg) []Cmd {
	cmds := s.join(m.resources)
	s.older = m.revision < s.highest || s.lacks(m.resources)
	if s.older {
		return append(cmds, OlderCmd{have: s.highest, shown: m.revision})
	}
	s.raise(m.revision)
	return cmds
}

// lacks tells whether a listing does not have a resource at the revision held here.
// Deleted resources stay in the store as tombstones, so a store that was not set
// back has them all.
func (s *State) lacks(listed []Resource) bool {
	shown := make(map[string]int64, len(listed))
	for _, r := range listed {
		shown[r.Key()] = r.revision
	}
	for key, r := range s.entries {
		if shown[key] < r.revision {
			return true
		}
	}
	return false
}

func (s *State) raise(complete int64) {
	s.complete = max(s.complete, complete)
	s.loaded = true
}

// join keeps the higher revision of each key.
func (s *State) join(resources []Resource) []Cmd {
	var cmds []Cmd
	for _, r := range resources {
		old, ok := s.entries[r.Key()]
		if ok && r.revision <= old.revision {
			continue
		}
		if ok {
			s.digest ^= hash(old)
		}
		s.digest ^= hash(r)
		s.entries[r.Key()] = r
		s.highest = max(s.highest, r.revision)
		cmds = append(cmds, AppliedCmd{resource: r})
	}
	if len(cmds) > 0 {
		s.refresh()
	}
	return cmds
}

// refresh builds the view anew and checks that no revision fell.
func (s *State) refresh() {
	next := buildView(s.entries)
	for key, revision := range s.view.revisions {
		if next.revisions[key] < revision {
			s.broken = fmt.Errorf("%w: %s from %d to %d", ErrReverted, key, revision, next.revisions[key])
		}
	}
	s.view = next
}

// Check returns ErrReverted if an update ever lowered a revision.
func (s *State) Check() error {
	if s.broken != nil {
		return fmt.Errorf("configuration: %w", s.broken)
	}
	return nil
}

// View returns the configuration in force, which does not change any more.
func (s *State) View() *View { return s.view }

// Digest returns a hash of every key and revision held. Equal digests mean equal
// configurations.
func (s *State) Digest() uint64 { return s.digest }

// Complete returns the revision up to which every resource is held.
func (s *State) Complete() int64 { return s.complete }

// Highest returns the highest revision of any resource held.
func (s *State) Highest() int64 { return s.highest }

// Older tells whether the store shows a state older than the one in force.
func (s *State) Older() bool { return s.older }

// Loaded tells whether the store's state was read once, here or by a peer.
func (s *State) Loaded() bool { return s.loaded }

// Isolated tells whether neither the store nor a peer was heard for
// IsolatedAfter, so that the configuration may not be current.
func (s *State) Isolated(now time.Time) bool {
	return now.Sub(s.heard) >= IsolatedAfter
}

// Have returns the revision of each key, for a peer to send what is newer.
func (s *State) Have() map[string]int64 {
	have := make(map[string]int64, len(s.entries))
	for k, r := range s.entries {
		have[k] = r.revision
	}
	return have
}

// Newer returns the resources that are newer here than in have.
func (s *State) Newer(have map[string]int64) []Resource {
	var newer []Resource
	for k, r := range s.entries {
		if r.revision > have[k] {
			newer = append(newer, r)
		}
	}
	return newer
}

func hash(r Resource) uint64 {
	b := make([]byte, 8, 8+len(r.name)+40)
	binary.LittleEndian.PutUint64(b, uint64(r.revision))
	return xxhash.Sum64(append(b, r.Key()...))
}
