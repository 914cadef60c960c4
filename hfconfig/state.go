package hfconfig

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// ErrReverted reports a violated invariant: a resource went to a lower revision.
var ErrReverted = eris.New("resource reverted")

// Msg is an input of State.
type Msg interface{ configMsg() }

// LearnedMsg carries resources from a watch, a peer or this instance's own write.
// Resources may arrive in any order and repeatedly.
type LearnedMsg struct {
	resources        []Resource
	completeRevision int64 // every write up to this revision is known after this message; 0: unknown
}

// Learned returns a LearnedMsg that does not say up to which revision the
// configuration is complete.
func Learned(resources ...Resource) LearnedMsg { return LearnedMsg{resources: resources} }

// Watched returns a LearnedMsg for the changes that a watch reported up to a
// revision.
func Watched(resources []Resource, revision int64) LearnedMsg {
	return LearnedMsg{resources: resources, completeRevision: revision}
}

// ListedMsg carries every resource of the store at a revision.
type ListedMsg struct {
	resources []Resource
	revision  int64
}

// Listed returns a ListedMsg for all resources of the store at a revision.
func Listed(resources []Resource, revision int64) ListedMsg {
	return ListedMsg{resources: resources, revision: revision}
}

// PeerDigestMsg reports a peer's digest and the revision up to which the peer's
// configuration is complete. Equal digests make this instance's configuration
// complete up to the same revision.
type PeerDigestMsg struct {
	digest           uint64
	completeRevision int64
}

// PeerDigest returns a PeerDigestMsg for a peer's digest and complete revision.
func PeerDigest(digest uint64, completeRevision int64) PeerDigestMsg {
	return PeerDigestMsg{digest: digest, completeRevision: completeRevision}
}

// ContactMsg reports contact with the store or a peer.
type ContactMsg struct{}

func (LearnedMsg) configMsg()    {}
func (ListedMsg) configMsg()     {}
func (PeerDigestMsg) configMsg() {}
func (ContactMsg) configMsg()    {}

// Cmd is an output of State.
type Cmd interface{ configCmd() }

// AppliedCmd reports a resource that came into force.
type AppliedCmd struct{ resource Resource }

// Resource returns the resource that came into force.
func (c AppliedCmd) Resource() Resource { return c.resource }

// StaleStoreCmd reports that the store returned an older state than the configuration
// in force.
type StaleStoreCmd struct{ highestRevision, storeRevision int64 }

// HighestRevision returns the highest revision in force.
func (c StaleStoreCmd) HighestRevision() int64 { return c.highestRevision }

// StoreRevision returns the revision that the store returned.
func (c StaleStoreCmd) StoreRevision() int64 { return c.storeRevision }

func (AppliedCmd) configCmd()    {}
func (StaleStoreCmd) configCmd() {}

// IsolatedAfter is the time without contact with the store or any peer after which
// an instance no longer considers its configuration current. It must be below the
// 11 s within which an accepted change must be in force on every instance.
const IsolatedAfter = 9 * time.Second

// State is one instance's replica of the configuration. For each key it holds the
// received resource with the highest revision, so the order of arrival does not
// matter and no input can lower a revision.
type State struct {
	entries          map[string]Resource // by store key; revisions never decrease
	digest           uint64              // XOR of the hash of each key and revision
	highestRevision  int64               // highest revision of any entry
	completeRevision int64               // every write up to this revision is included
	storeStale       bool                // the last listing was older than the configuration in force
	lastContact      time.Time           // last contact with the store or a peer
	loaded           bool                // the store was read at least once, by this instance or a peer
	view             *View
	violation        error // most recent decrease of a revision
}

// NewState returns an empty replica.
func NewState(now time.Time) *State {
	s := &State{entries: map[string]Resource{}, lastContact: now}
	s.view = buildView(s.entries)
	return s
}

// Update handles one message and returns the resources that came into force and
// whether the store is stale.
func (s *State) Update(msg Msg, now time.Time) []Cmd {
	switch m := msg.(type) {
	case LearnedMsg:
		s.lastContact = now
		cmds := s.applyNewer(m.resources)
		if m.completeRevision > 0 {
			s.markComplete(m.completeRevision)
		}
		return cmds
	case ListedMsg:
		s.lastContact = now
		return s.applyListing(m)
	case PeerDigestMsg:
		s.lastContact = now
		if m.digest == s.digest && m.completeRevision > 0 {
			s.markComplete(m.completeRevision)
		}
	case ContactMsg:
		s.lastContact = now
	}
	return nil
}

// applyListing applies a full listing of the store and detects a stale one.
func (s *State) applyListing(m ListedMsg) []Cmd {
	cmds := s.applyNewer(m.resources)
	s.storeStale = m.revision < s.highestRevision || s.listingIsStale(m.resources)
	if s.storeStale {
		return append(cmds, StaleStoreCmd{highestRevision: s.highestRevision, storeRevision: m.revision})
	}
	s.markComplete(m.revision)
	return cmds
}

// listingIsStale reports whether a resource held here is missing from a listing or
// has a lower revision in it. Deleted resources stay in the store as tombstones,
// so only a store that was restored to an older state lacks one.
func (s *State) listingIsStale(listed []Resource) bool {
	revisions := make(map[string]int64, len(listed))
	for _, r := range listed {
		revisions[r.Key()] = r.revision
	}
	for key, r := range s.entries {
		if revisions[key] < r.revision {
			return true
		}
	}
	return false
}

// markComplete records that every write up to a revision is included.
func (s *State) markComplete(revision int64) {
	s.completeRevision = max(s.completeRevision, revision)
	s.loaded = true
}

// applyNewer takes over the resources with a higher revision than the entry of
// their key.
func (s *State) applyNewer(resources []Resource) []Cmd {
	var cmds []Cmd
	for _, r := range resources {
		old, ok := s.entries[r.Key()]
		if ok && r.revision <= old.revision {
			continue
		}
		if ok {
			s.digest ^= entryHash(old)
		}
		s.digest ^= entryHash(r)
		s.entries[r.Key()] = r
		s.highestRevision = max(s.highestRevision, r.revision)
		cmds = append(cmds, AppliedCmd{resource: r})
	}
	if len(cmds) > 0 {
		s.rebuildView()
	}
	return cmds
}

// rebuildView rebuilds the view from the entries and checks that no revision
// decreased.
func (s *State) rebuildView() {
	next := buildView(s.entries)
	for key, revision := range s.view.revisions {
		if next.revisions[key] < revision {
			s.violation = fmt.Errorf("%w: %s from %d to %d", ErrReverted, key, revision, next.revisions[key])
		}
	}
	s.view = next
}

// Check returns an error that wraps ErrReverted if any update lowered a revision.
func (s *State) Check() error {
	if s.violation != nil {
		return fmt.Errorf("configuration: %w", s.violation)
	}
	return nil
}

// View returns an immutable snapshot of the configuration in force.
func (s *State) View() *View { return s.view }

// Digest returns a hash over all keys and their revisions. Equal digests mean
// equal configurations.
func (s *State) Digest() uint64 { return s.digest }

// CompleteRevision returns the revision up to which every write is included.
func (s *State) CompleteRevision() int64 { return s.completeRevision }

// HighestRevision returns the highest revision of any resource.
func (s *State) HighestRevision() int64 { return s.highestRevision }

// StoreStale reports whether the store's last listing was older than the configuration
// in force.
func (s *State) StoreStale() bool { return s.storeStale }

// Loaded reports whether the store was read at least once, by this instance or a
// peer.
func (s *State) Loaded() bool { return s.loaded }

// Isolated reports whether there was no contact with the store or a peer for
// IsolatedAfter, so that the configuration may be outdated.
func (s *State) Isolated(now time.Time) bool {
	return now.Sub(s.lastContact) >= IsolatedAfter
}

// Revisions returns the revision of each key. A peer that gets it replies with the
// resources that are newer.
func (s *State) Revisions() map[string]int64 {
	revisions := make(map[string]int64, len(s.entries))
	for k, r := range s.entries {
		revisions[k] = r.revision
	}
	return revisions
}

// NewerThan returns the resources with a higher revision than the given one of their
// key.
func (s *State) NewerThan(revisions map[string]int64) []Resource {
	var newer []Resource
	for k, r := range s.entries {
		if r.revision > revisions[k] {
			newer = append(newer, r)
		}
	}
	return newer
}

func entryHash(r Resource) uint64 {
	b := make([]byte, 8, 8+len(r.name)+40)
	binary.LittleEndian.PutUint64(b, uint64(r.revision))
	return xxhash.Sum64(append(b, r.Key()...))
}
