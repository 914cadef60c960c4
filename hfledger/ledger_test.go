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
	o := &ledgerSim{
		store:        &fakeSegments{versions: map[string]int64{}, holders: map[string]map[string]string{}, checkVersion: checkVersion},
		inbox:        make([][]Msg, n),
		firstHolders: map[string]map[string]bool{},
		claims:       map[uint64]string{},
		now:          time.Now(),
	}
	for i := range n {
		o.ledgers = append(o.ledgers, New(fmt.Sprint("w", i)))
	}
	return o
}

func (o *ledgerSim) update(i int, msg Msg, lose bool) {
	for _, cmd := range o.ledgers[i].Update(msg, o.now) {
		switch c := cmd.(type) {
		case LoadCmd:
			o.inbox[i] = append(o.inbox[i], o.store.load(c.Key()))
		case CommitCmd:
			o.commit(i, c, lose)
		case ClaimResultCmd:
			if c.First() {
				id := o.claims[c.Token()][:36]
				if o.firstHolders[id] == nil {
					o.firstHolders[id] = map[string]bool{}
				}
				o.firstHolders[id][o.claims[c.Token()]] = true
			}
		}
	}
}

// commit performs the swap. With lose set, a successful swap is reported as failed.
func (o *ledgerSim) commit(i int, c CommitCmd, lose bool) {
	version, ok := o.store.swap(c)
	switch {
	case !ok:
		o.inbox[i] = append(o.inbox[i], Failed(c.Key(), true))
	case lose:
		o.inbox[i] = append(o.inbox[i], Failed(c.Key(), false))
	default:
		o.inbox[i] = append(o.inbox[i], Stored(c.Key(), version))
	}
}

func (o *ledgerSim) deliver(i int, lose bool) {
	if len(o.inbox[i]) == 0 {
		return
	}
	msg := o.inbox[i][0]
	o.inbox[i] = o.inbox[i][1:]
	o.update(i, msg, lose)
}

func (o *ledgerSim) check() error {
	for id, holders := range o.firstHolders {
		if len(holders) > 1 {
			return fmt.Errorf("id %s has %d first holders", id, len(holders))
		}
	}
	for _, l := range o.ledgers {
		if err := l.Check(); err != nil {
			return err
		}
	}
	return nil
}

// simulateClaims claims a few ids at several ledgers, with lost replies, crashes and
// delayed results.
func simulateClaims(t *rapid.T, checkVersion bool) error {
	o := newLedgerSim(3, checkVersion)
	ids := make([]string, 4)
	for i := range ids {
		ids[i] = uuid.Must(uuid.NewV7()).String()
	}
	for range rapid.IntRange(20, 120).Draw(t, "steps") {
		i := rapid.IntRange(0, 2).Draw(t, "ledger")
		lose := rapid.IntRange(0, 4).Draw(t, "lose") == 0
		switch rapid.IntRange(0, 9).Draw(t, "step") {
		case 0, 1, 2:
			o.token++
			id := rapid.SampledFrom(ids).Draw(t, "id")
			holder := fmt.Sprintf("%s/%d", id, o.token)
			o.claims[o.token] = holder
			o.update(i, Claim(o.token, id, holder), lose)
		case 3, 4:
			o.update(i, TickMsg{}, lose)
		case 5:
			o.ledgers[i], o.inbox[i] = New(fmt.Sprint("again", o.token)), nil // crash and restart
		default:
			o.deliver(i, lose)
		}
		if err := o.check(); err != nil {
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
	o := newLedgerSim(1, true)
	id := uuid.Must(uuid.NewV7()).String()
	o.claims[1] = id + "/1"
	o.update(0, Claim(1, id, id+"/1"), false)
	o.deliver(0, false)
	o.update(0, TickMsg{}, false)
	o.deliver(0, false)
	require.Len(t, o.firstHolders[id], 1)
	o.now = o.now.Add(Window + MaxClockSkew)
	o.update(0, TickMsg{}, false)
	require.Len(t, o.ledgers[0].segments, 1, "deleted while an instance with a slow clock may still accept the id")
	o.now = o.now.Add(segmentTTL)
	o.update(0, TickMsg{}, false)
	require.Empty(t, o.ledgers[0].segments)
}
