package hfledger

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/heatherfront/heatherfront/hfseed"
)

// fakeSegments is an in-memory store of segments with compare-and-swap.
type fakeSegments struct {
	versions     map[string]int64
	holders      map[string]map[string]string
	checkVersion bool // false: every swap succeeds
}

func (f *fakeSegments) load(key string) LoadedMsg {
	holders := map[string]string{}
	for id, h := range f.holders[key] {
		holders[id] = h
	}
	return Loaded(key, f.versions[key], holders)
}

func (f *fakeSegments) swap(c CommitCmd) (int64, bool) {
	if f.checkVersion && f.versions[c.Key()] != c.Version() {
		return 0, false
	}
	f.versions[c.Key()]++
	f.holders[c.Key()] = c.Segment().GetHolders()
	return f.versions[c.Key()], true
}

// ledgerSim runs several ledgers over one store, as happens when instances disagree
// about the owner of a shard.
type ledgerSim struct {
	store        *fakeSegments
	ledgers      []*Ledger
	inbox        [][]Msg // by ledger: store results not yet delivered
	firstHolders map[string]map[string]bool
	now          time.Time
	token        uint64
	claims       map[uint64]string // holder by token; it begins with the id
}

func newLedgerSim(n int, checkVersion bool) *ledgerSim {
	s := &ledgerSim{
		store:        &fakeSegments{versions: map[string]int64{}, holders: map[string]map[string]string{}, checkVersion: checkVersion},
		inbox:        make([][]Msg, n),
		firstHolders: map[string]map[string]bool{},
		claims:       map[uint64]string{},
		now:          time.Now(),
	}
	for i := range n {
		s.ledgers = append(s.ledgers, New(fmt.Sprint("w", i)))
	}
	return s
}

func (s *ledgerSim) update(i int, msg Msg, lose bool) {
	for _, cmd := range s.ledgers[i].Update(msg, s.now) {
		switch c := cmd.(type) {
		case LoadCmd:
			s.inbox[i] = append(s.inbox[i], s.store.load(c.Key()))
		case CommitCmd:
			s.commit(i, c, lose)
		case ClaimResultCmd:
			if c.First() {
				id := s.claims[c.Token()][:36]
				if s.firstHolders[id] == nil {
					s.firstHolders[id] = map[string]bool{}
				}
				s.firstHolders[id][s.claims[c.Token()]] = true
			}
		}
	}
}

// commit performs the swap. With lose set, a successful swap is reported as failed.
func (s *ledgerSim) commit(i int, c CommitCmd, lose bool) {
	version, ok := s.store.swap(c)
	switch {
	case !ok:
		s.inbox[i] = append(s.inbox[i], Failed(c.Key(), true))
	case lose:
		s.inbox[i] = append(s.inbox[i], Failed(c.Key(), false))
	default:
		s.inbox[i] = append(s.inbox[i], Stored(c.Key(), version))
	}
}

func (s *ledgerSim) deliver(i int, lose bool) {
	if len(s.inbox[i]) == 0 {
		return
	}
	msg := s.inbox[i][0]
	s.inbox[i] = s.inbox[i][1:]
	s.update(i, msg, lose)
}

func (s *ledgerSim) check() error {
	for id, holders := range s.firstHolders {
		if len(holders) > 1 {
			return fmt.Errorf("id %s has %d first holders", id, len(holders))
		}
	}
	for _, l := range s.ledgers {
		if err := l.Check(); err != nil {
			return err
		}
	}
	return nil
}

// simulateClaims claims a few ids at several ledgers, with lost replies, crashes and
// delayed results.
func simulateClaims(t *rapid.T, checkVersion bool) error {
	s := newLedgerSim(3, checkVersion)
	ids := make([]string, 4)
	for i := range ids {
		ids[i] = uuid.Must(uuid.NewV7()).String()
	}
	for range rapid.IntRange(20, 120).Draw(t, "steps") {
		i := rapid.IntRange(0, 2).Draw(t, "ledger")
		lose := rapid.IntRange(0, 4).Draw(t, "lose") == 0
		switch rapid.IntRange(0, 9).Draw(t, "step") {
		case 0, 1, 2:
			s.token++
			id := rapid.SampledFrom(ids).Draw(t, "id")
			holder := fmt.Sprintf("%s/%d", id, s.token)
			s.claims[s.token] = holder
			s.update(i, Claim(s.token, id, holder), lose)
		case 3, 4:
			s.update(i, TickMsg{}, lose)
		case 5:
			s.ledgers[i], s.inbox[i] = New(fmt.Sprint("again", s.token)), nil // crash and restart
		default:
			s.deliver(i, lose)
		}
		if err := s.check(); err != nil {
			return err
		}
	}
	return nil
}

func TestOneFirstHolderUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := simulateClaims(t, true); err != nil {
			t.Fatal(err)
		}
	})
}

func TestSimulationDetectsMissingVersionCheck(t *testing.T) {
	require.True(t, hfseed.FindsFailure(200, func(rt *rapid.T) error { return simulateClaims(rt, false) }))
}

func TestIDsOutsideTheWindow(t *testing.T) {
	now := time.Now()
	id := uuid.Must(uuid.NewV7()).String()
	for name, row := range map[string]struct {
		id   string
		now  time.Time
		want error
	}{
		"fresh":         {id, now, nil},
		"too old":       {id, now.Add(Window + time.Second), ErrWindow},
		"too far ahead": {id, now.Add(-MaxClockSkew - time.Second), ErrWindow},
		"not a UUID":    {"x", now, ErrInvalidID},
		"version 4":     {uuid.NewString(), now, ErrInvalidID},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := SegmentKey(row.id, row.now)
			require.ErrorIs(t, err, row.want)
		})
	}
}

// TestSegmentOutlivesItsIDs checks that a segment is kept until every instance rejects
// its ids, including one whose clock is behind. An id accepted after its segment is
// deleted could run twice.
func TestSegmentOutlivesItsIDs(t *testing.T) {
	s := newLedgerSim(1, true)
	id := uuid.Must(uuid.NewV7()).String()
	s.claims[1] = id + "/1"
	s.update(0, Claim(1, id, id+"/1"), false)
	s.deliver(0, false)
	s.update(0, TickMsg{}, false)
	s.deliver(0, false)
	require.Len(t, s.firstHolders[id], 1)
	s.now = s.now.Add(Window + MaxClockSkew)
	s.update(0, TickMsg{}, false)
	require.Len(t, s.ledgers[0].segments, 1, "deleted while an instance with a slow clock may still accept the id")
	s.now = s.now.Add(segmentTTL)
	s.update(0, TickMsg{}, false)
	require.Empty(t, s.ledgers[0].segments)
}
