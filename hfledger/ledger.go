// Package hfledger makes a request id that a caller brings count once over the
// whole system. Ids are kept in segments of the store, one for each id shard and
// minute; the version of a segment is the fence, so that any number of instances
// may write to it and only one of them claims an id. One instance usually owns a
// shard and commits many claims in one write.
package hfledger

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/heatherfront/heatherfront/hfwire"
)

var (
	// ErrID reports an id that is not a UUID of version 7.
	ErrID = eris.New("request id is not a UUID of version 7")
	// ErrWindow reports an id whose time lies outside the window.
	ErrWindow = eris.New("request id is outside the time window")
	// ErrTwice reports a broken invariant: two holders were told that they are first.
	ErrTwice = eris.New("request id claimed twice")
	// ErrNotRecorded reports that a claim could not be stored.
	ErrNotRecorded = eris.New("request id could not be recorded")
)

const (
	// Shards is the number of id shards.
	Shards = 8
	// Window is the age up to which an id is accepted. Older ids are refused, so
	// that what is kept stays bounded.
	Window = 10 * time.Minute
	// Ahead is how far in the future an id may lie, for clocks that differ.
	Ahead = time.Minute
	// dropAfter is the age at which a segment is deleted. It exceeds Window, so that
	// an instance with a slower clock refuses an id before its segment is gone.
	dropAfter = Window + 5*time.Minute
	// Prefix is the prefix of the segments' keys.
	Prefix = "ledger/"
)

// SegmentKey names the segment of an id, and fails with ErrID or ErrWindow.
func SegmentKey(id string, now time.Time) (string, error) {
	u, err := uuid.Parse(id)
	if err != nil || u.Version() != 7 {
		return "", fmt.Errorf("%w: %q", ErrID, id)
	}
	at := time.Unix(u.Time().UnixTime())
	if now.Sub(at) > Window || at.Sub(now) > Ahead {
		return "", fmt.Errorf("%w: its time is %s", ErrWindow, at.UTC().Format(time.RFC3339))
	}
	return fmt.Sprintf("%s%d/%d", Prefix, Shard(id), at.Unix()/60), nil
}

// Shard returns the shard of an id.
func Shard(id string) int { return int(xxhash.Sum64String(id) % Shards) }

// Msg is an input of Ledger.
type Msg interface{ ledgerMsg() }

// ClaimMsg asks to record an id for a holder.
type ClaimMsg struct {
	token  uint64
	id     string
	holder string // unique to one receipt of a request
}

// Claim returns a ClaimMsg. The VerdictCmd with the same token answers it.
func Claim(token uint64, id, holder string) ClaimMsg {
	return ClaimMsg{token: token, id: id, holder: holder}
}

// LoadedMsg brings a segment as it is stored.
type LoadedMsg struct {
	key     string
	version int64
	holders map[string]string
}

// Loaded returns a LoadedMsg. version is 0 when the segment does not exist.
func Loaded(key string, version int64, holders map[string]string) LoadedMsg {
	return LoadedMsg{key: key, version: version, holders: holders}
}

// StoredMsg tells that a commit took effect.
type StoredMsg struct {
	key     string
	version int64
}

// Stored returns a StoredMsg.
func Stored(key string, version int64) StoredMsg { return StoredMsg{key: key, version: version} }

// FailedMsg tells that a load or commit failed, or that its effect is not known.
type FailedMsg struct {
	key      string
	conflict bool // another instance wrote to the segment
}

// Failed returns a FailedMsg.
func Failed(key string, conflict bool) FailedMsg { return FailedMsg{key: key, conflict: conflict} }

// TickMsg lets time pass and commits what waits.
type TickMsg struct{}

func (ClaimMsg) ledgerMsg()  {}
func (LoadedMsg) ledgerMsg() {}
func (StoredMsg) ledgerMsg() {}
func (FailedMsg) ledgerMsg() {}
func (TickMsg) ledgerMsg()   {}

// Cmd is an output of Ledger.
type Cmd interface{ ledgerCmd() }

// LoadCmd asks for a segment.
type LoadCmd struct{ key string }

// Key returns the segment's key.
func (c LoadCmd) Key() string { return c.key }

// CommitCmd asks to store a segment by compare-and-swap.
type CommitCmd struct {
	key     string
	version int64
	segment *hfwire.Segment
}

// Key returns the segment's key.
func (c CommitCmd) Key() string { return c.key }

// Version returns the expected version.
func (c CommitCmd) Version() int64 { return c.version }

// Segment returns the value to store.
func (c CommitCmd) Segment() *hfwire.Segment { return c.segment }

// VerdictCmd answers a ClaimMsg.
type VerdictCmd struct {
	token  uint64
	first  bool
	holder string // who holds the id; the claimant itself when it is first
	err    error
}

// Token returns the token of the claim.
func (c VerdictCmd) Token() uint64 { return c.token }

// First tells whether the claimant holds the id.
func (c VerdictCmd) First() bool { return c.first }

// Holder returns who holds the id.
func (c VerdictCmd) Holder() string { return c.holder }

// Err returns why no verdict was reached, or nil.
func (c VerdictCmd) Err() error { return c.err }

// DropCmd asks to delete a segment that is older than the window.
type DropCmd struct {
	key     string
	version int64
}

// Key returns the segment's key.
func (c DropCmd) Key() string { return c.key }

// Version returns the segment's version.
func (c DropCmd) Version() int64 { return c.version }

func (LoadCmd) ledgerCmd()    {}
func (CommitCmd) ledgerCmd()  {}
func (VerdictCmd) ledgerCmd() {}
func (DropCmd) ledgerCmd()    {}

// segment is what is known of one stored segment.
type segment struct {
	version int64
	holders map[string]string // as stored at version
	asked   map[string]string // in the commit under way
	waiting []ClaimMsg
	loaded  bool
	busy    bool      // a load or commit is under way
	born    time.Time // the end of its minute
}

// Ledger decides claims. It answers that a holder is first only after the claim
// is stored under the version that the ledger had read.
type Ledger struct {
	writer   string
	segments map[string]*segment
	told     map[string]string // id to the holder told first, to check the invariant
	broken   error
}

// New returns an empty ledger. writer makes its stored values unique.
func New(writer string) *Ledger {
	return &Ledger{writer: writer, segments: map[string]*segment{}, told: map[string]string{}}
}

// Check returns ErrTwice if two holders were ever told that they are first.
func (l *Ledger) Check() error {
	if l.broken != nil {
		return fmt.Errorf("ledger: %w", l.broken)
	}
	return nil
}

// Update takes one message and returns what is to be done.
func (l *Ledger) Update(msg Msg, now time.Time) []Cmd {
	switch m := msg.(type) {
	case ClaimMsg:
		return l.claim(m, now)
	case LoadedMsg:
		return l.loaded(m)
	case StoredMsg:
		return l.stored(m)
	case FailedMsg:
		return l.failed(m)
	case TickMsg:
		return l.tick(now)
	}
	return nil
}

func (l *Ledger) claim(m ClaimMsg, now time.Time) []Cmd {
	key, err := SegmentKey(m.id, now)
	if err != nil {
		return []Cmd{VerdictCmd{token: m.token, err: err}}
	}
	s, ok := l.segments[key]
	if !ok {
		s = &segment{born: now}
		l.segments[key] = s
	}
	s.waiting = append(s.waiting, m)
	if !s.loaded && !s.busy {
		s.busy = true
		return []Cmd{LoadCmd{key: key}}
	}
	return l.settle(s)
}

// settle answers the waiting claims whose ids are stored already.
func (l *Ledger) settle(s *segment) []Cmd {
	if !s.loaded {
		return nil
	}
	var cmds []Cmd
	rest := s.waiting[:0]
	for _, m := range s.waiting {
		holder, known := s.holders[m.id]
		if !known {
			rest = append(rest, m)
			continue
		}
		cmds = append(cmds, l.verdict(m, holder))
	}
	s.waiting = rest
	return cmds
}

func (l *Ledger) verdict(m ClaimMsg, holder string) Cmd {
	first := holder == m.holder
	if first {
		if old, ok := l.told[m.id]; ok && old != holder {
			l.broken = fmt.Errorf("%w: %s by %s and %s", ErrTwice, m.id, old, holder)
		}
		l.told[m.id] = holder
	}
	return VerdictCmd{token: m.token, first: first, holder: holder}
}

func (l *Ledger) loaded(m LoadedMsg) []Cmd {
	s, ok := l.segments[m.key]
	if !ok {
		return nil
	}
	s.busy, s.loaded, s.asked = false, true, nil
	s.version, s.holders = m.version, m.holders
	if s.holders == nil {
		s.holders = map[string]string{}
	}
	return l.settle(s)
}

// commit stores the ids that wait, if any. Of two claims on one id the earlier
// goes in.
func (l *Ledger) commit(key string, s *segment) []Cmd {
	if !s.loaded || s.busy || len(s.waiting) == 0 {
		return nil
	}
	s.asked = map[string]string{}
	for _, m := range s.waiting {
		if _, ok := s.asked[m.id]; !ok {
			s.asked[m.id] = m.holder
		}
	}
	all := make(map[string]string, len(s.holders)+len(s.asked))
	for id, h := range s.holders {
		all[id] = h
	}
	for id, h := range s.asked {
		all[id] = h
	}
	s.busy = true
	value := &hfwire.Segment{Writer: l.writer + "/" + uuid.NewString(), Holders: all}
	return []Cmd{CommitCmd{key: key, version: s.version, segment: value}}
}

func (l *Ledger) stored(m StoredMsg) []Cmd {
	s, ok := l.segments[m.key]
	if !ok {
		return nil
	}
	s.busy, s.version = false, m.version
	for id, h := range s.asked {
		s.holders[id] = h
	}
	s.asked = nil
	return l.settle(s)
}

// failed reads the segment anew after a conflict, and otherwise gives up what
// waits: a claim whose effect is not known must not be told first.
func (l *Ledger) failed(m FailedMsg) []Cmd {
	s, ok := l.segments[m.key]
	if !ok {
		return nil
	}
	s.busy, s.loaded, s.asked = false, false, nil
	if m.conflict {
		s.busy = true
		return []Cmd{LoadCmd{key: m.key}}
	}
	var cmds []Cmd
	for _, w := range s.waiting {
		cmds = append(cmds, VerdictCmd{token: w.token, err: ErrNotRecorded})
	}
	s.waiting = nil
	return cmds
}

// tick commits what waits and drops old segments.
func (l *Ledger) tick(now time.Time) []Cmd {
	var cmds []Cmd
	for key, s := range l.segments {
		if now.Sub(s.born) > dropAfter && len(s.waiting) == 0 && !s.busy {
			for id := range s.holders {
				delete(l.told, id)
			}
			delete(l.segments, key)
			if s.loaded && s.version > 0 {
				cmds = append(cmds, DropCmd{key: key, version: s.version})
			}
			continue
		}
		cmds = append(cmds, l.commit(key, s)...)
	}
	return cmds
}
