// Package hfledger deduplicates the request ids that callers supply, across all
// instances. Ids are stored in segments, one per id shard and minute. Segments are
// written by compare-and-swap on their version, so any number of instances may
// write to one and only one of them claims an id. One instance usually owns a shard
// and batches many claims into one write.
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
	// ErrInvalidID is returned for an id that is not a UUID of version 7.
	ErrInvalidID = eris.New("request id is not a UUID of version 7")
	// ErrWindow is returned for an id whose timestamp is older than Window or further
	// ahead than MaxClockSkew.
	ErrWindow = eris.New("request id is outside the time window")
	// ErrDuplicateClaim reports an invariant violation: two holders were both told that
	// they claimed the same id first.
	ErrDuplicateClaim = eris.New("request id claimed twice")
	// ErrNotRecorded is returned when a claim could not be stored.
	ErrNotRecorded = eris.New("request id could not be recorded")
)

const (
	// Shards is the number of id shards.
	Shards = 8
	// Window is the maximum age of an accepted id. It bounds the number of ids
	// that are stored.
	Window = 10 * time.Minute
	// MaxClockSkew is how far in the future the timestamp of an id may lie, to
	// tolerate clock differences.
	MaxClockSkew = time.Minute
	// segmentTTL is the age at which a segment is deleted. It exceeds Window, so that
	// an instance whose clock is behind rejects an id before its segment is deleted.
	segmentTTL = Window + 5*time.Minute
	// KeyPrefix is the prefix of all segment keys in the store.
	KeyPrefix = "ledger/"
)

// SegmentKey returns the store key of the segment that holds an id. It fails with
// ErrInvalidID or ErrWindow.
func SegmentKey(id string, now time.Time) (string, error) {
	u, err := uuid.Parse(id)
	if err != nil || u.Version() != 7 {
		return "", fmt.Errorf("%w: %q", ErrInvalidID, id)
	}
	at := time.Unix(u.Time().UnixTime())
	if now.Sub(at) > Window || at.Sub(now) > MaxClockSkew {
		return "", fmt.Errorf("%w: its time is %s", ErrWindow, at.UTC().Format(time.RFC3339))
	}
	return fmt.Sprintf("%s%d/%d", KeyPrefix, Shard(id), at.Unix()/60), nil
}

// Shard returns the shard that an id hashes to.
func Shard(id string) int { return int(xxhash.Sum64String(id) % Shards) }

// Msg is an input of Ledger.
type Msg interface{ ledgerMsg() }

// ClaimMsg requests that an id is recorded for a holder.
type ClaimMsg struct {
	token  uint64
	id     string
	holder string // unique to one delivery of a request
}

// Claim returns a ClaimMsg. The matching ClaimResultCmd carries the same token.
func Claim(token uint64, id, holder string) ClaimMsg {
	return ClaimMsg{token: token, id: id, holder: holder}
}

// LoadedMsg carries the stored content of a segment.
type LoadedMsg struct {
	key     string
	version int64
	holders map[string]string
}

// Loaded returns a LoadedMsg. version is 0 when the segment does not exist.
func Loaded(key string, version int64, holders map[string]string) LoadedMsg {
	return LoadedMsg{key: key, version: version, holders: holders}
}

// StoredMsg reports that a commit succeeded.
type StoredMsg struct {
	key     string
	version int64
}

// Stored returns a StoredMsg. version is the new version of the segment.
func Stored(key string, version int64) StoredMsg { return StoredMsg{key: key, version: version} }

// FailedMsg reports that a load or commit failed or that its effect is unknown.
type FailedMsg struct {
	key      string
	conflict bool // another instance changed the segment
}

// Failed returns a FailedMsg. conflict is set when the compare-and-swap failed.
func Failed(key string, conflict bool) FailedMsg { return FailedMsg{key: key, conflict: conflict} }

// TickMsg commits the waiting claims and deletes old segments.
type TickMsg struct{}

func (ClaimMsg) ledgerMsg()  {}
func (LoadedMsg) ledgerMsg() {}
func (StoredMsg) ledgerMsg() {}
func (FailedMsg) ledgerMsg() {}
func (TickMsg) ledgerMsg()   {}

// Cmd is an output of Ledger.
type Cmd interface{ ledgerCmd() }

// LoadCmd requests the stored content of a segment. LoadedMsg or FailedMsg follows.
type LoadCmd struct{ key string }

// Key returns the segment's key.
func (c LoadCmd) Key() string { return c.key }

// CommitCmd requests a compare-and-swap of a segment. StoredMsg or FailedMsg follows.
type CommitCmd struct {
	key     string
	version int64
	segment *hfwire.Segment
}

// Key returns the segment's key.
func (c CommitCmd) Key() string { return c.key }

// Version returns the version that the segment is expected to have.
func (c CommitCmd) Version() int64 { return c.version }

// Segment returns the value to store.
func (c CommitCmd) Segment() *hfwire.Segment { return c.segment }

// ClaimResultCmd returns the result of a ClaimMsg.
type ClaimResultCmd struct {
	token  uint64
	first  bool
	holder string // holder of the id; the claimant itself when first is set
	err    error
}

// Token returns the token of the claim.
func (c ClaimResultCmd) Token() uint64 { return c.token }

// First reports whether the claimant claimed the id first.
func (c ClaimResultCmd) First() bool { return c.first }

// Holder returns the holder of the id.
func (c ClaimResultCmd) Holder() string { return c.holder }

// Err returns the error that prevented a decision, or nil.
func (c ClaimResultCmd) Err() error { return c.err }

// DeleteCmd requests that a segment older than segmentTTL is deleted.
type DeleteCmd struct {
	key     string
	version int64
}

// Key returns the segment's key.
func (c DeleteCmd) Key() string { return c.key }

// Version returns the segment's version.
func (c DeleteCmd) Version() int64 { return c.version }

func (LoadCmd) ledgerCmd()        {}
func (CommitCmd) ledgerCmd()      {}
func (ClaimResultCmd) ledgerCmd() {}
func (DeleteCmd) ledgerCmd()      {}

// segment is the cached state of one stored segment.
type segment struct {
	version    int64
	holders    map[string]string // stored at version, by id
	committing map[string]string // claims in the running commit, by id
	waiting    []ClaimMsg
	loaded     bool
	inProgress bool      // a load or commit is running
	createdAt  time.Time // when this ledger first used it
}

// Ledger decides which holder claims an id. It reports a holder as first only after
// the claim is stored by a compare-and-swap on the version that the ledger loaded.
type Ledger struct {
	writer       string
	segments     map[string]*segment
	firstHolders map[string]string // holder reported as first, by id; checks the invariant
	violation    error
}

// New returns an empty ledger. writer identifies the instance; it makes every stored
// value unique, so that a write whose effect is unknown can be recognized.
func New(writer string) *Ledger {
	return &Ledger{writer: writer, segments: map[string]*segment{}, firstHolders: map[string]string{}}
}

// Check returns ErrDuplicateClaim if two holders were ever reported as first.
func (l *Ledger) Check() error {
	if l.violation != nil {
		return fmt.Errorf("ledger: %w", l.violation)
	}
	return nil
}

// Update processes one message and returns the commands to run.
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
		return []Cmd{ClaimResultCmd{token: m.token, err: err}}
	}
	s, ok := l.segments[key]
	if !ok {
		s = &segment{createdAt: now}
		l.segments[key] = s
	}
	s.waiting = append(s.waiting, m)
	if !s.loaded && !s.inProgress {
		s.inProgress = true
		return []Cmd{LoadCmd{key: key}}
	}
	return l.answerRecorded(s)
}

// answerRecorded answers the waiting claims whose ids are already stored.
func (l *Ledger) answerRecorded(s *segment) []Cmd {
	if !s.loaded {
		return nil
	}
	var cmds []Cmd
	unrecorded := s.waiting[:0]
	for _, m := range s.waiting {
		holder, known := s.holders[m.id]
		if !known {
			unrecorded = append(unrecorded, m)
			continue
		}
		cmds = append(cmds, l.claimResult(m, holder))
	}
	s.waiting = unrecorded
	return cmds
}

func (l *Ledger) claimResult(m ClaimMsg, holder string) Cmd {
	first := holder == m.holder
	if first {
		if earlier, ok := l.firstHolders[m.id]; ok && earlier != holder {
			l.violation = fmt.Errorf("%w: %s by %s and %s", ErrDuplicateClaim, m.id, earlier, holder)
		}
		l.firstHolders[m.id] = holder
	}
	return ClaimResultCmd{token: m.token, first: first, holder: holder}
}

func (l *Ledger) loaded(m LoadedMsg) []Cmd {
	s, ok := l.segments[m.key]
	if !ok {
		return nil
	}
	s.inProgress, s.loaded, s.committing = false, true, nil
	s.version, s.holders = m.version, m.holders
	if s.holders == nil {
		s.holders = map[string]string{}
	}
	return l.answerRecorded(s)
}

// commit stores the waiting claims, if any. If two claims are for the same id, the
// earlier one is stored.
func (l *Ledger) commit(key string, s *segment) []Cmd {
	if !s.loaded || s.inProgress || len(s.waiting) == 0 {
		return nil
	}
	s.committing = map[string]string{}
	for _, m := range s.waiting {
		if _, ok := s.committing[m.id]; !ok {
			s.committing[m.id] = m.holder
		}
	}
	all := make(map[string]string, len(s.holders)+len(s.committing))
	for id, h := range s.holders {
		all[id] = h
	}
	for id, h := range s.committing {
		all[id] = h
	}
	s.inProgress = true
	value := &hfwire.Segment{Writer: l.writer + "/" + uuid.NewString(), Holders: all}
	return []Cmd{CommitCmd{key: key, version: s.version, segment: value}}
}

func (l *Ledger) stored(m StoredMsg) []Cmd {
	s, ok := l.segments[m.key]
	if !ok {
		return nil
	}
	s.inProgress, s.version = false, m.version
	for id, h := range s.committing {
		s.holders[id] = h
	}
	s.committing = nil
	return l.answerRecorded(s)
}

// failed reloads the segment after a conflict. After any other failure it rejects
// the waiting claims, since a claim whose effect is unknown must not be reported as
// first.
func (l *Ledger) failed(m FailedMsg) []Cmd {
	s, ok := l.segments[m.key]
	if !ok {
		return nil
	}
	s.inProgress, s.loaded, s.committing = false, false, nil
	if m.conflict {
		s.inProgress = true
		return []Cmd{LoadCmd{key: m.key}}
	}
	var cmds []Cmd
	for _, w := range s.waiting {
		cmds = append(cmds, ClaimResultCmd{token: w.token, err: ErrNotRecorded})
	}
	s.waiting = nil
	return cmds
}

// tick commits the waiting claims and deletes old segments.
func (l *Ledger) tick(now time.Time) []Cmd {
	var cmds []Cmd
	for key, s := range l.segments {
		if now.Sub(s.createdAt) > segmentTTL && len(s.waiting) == 0 && !s.inProgress {
			for id := range s.holders {
				delete(l.firstHolders, id)
			}
			delete(l.segments, key)
			if s.loaded && s.version > 0 {
				cmds = append(cmds, DeleteCmd{key: key, version: s.version})
			}
			continue
		}
		cmds = append(cmds, l.commit(key, s)...)
	}
	return cmds
}
