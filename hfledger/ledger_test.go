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

// fakeSegments is the store's side of the ledger: compare-and-swap on segments.
type fakeSegments struct {
	versions map[string]int64
	holders  map[string]map[string]string
	fence    bool // false: a wrong store whose swap always succeeds
}

func (f *fakeSegments) load(key string) LoadedMsg {
	holders := map[string]string{}
	for id, h := range f.holders[key] {
		holders[id] = h
	}
	return Loaded(key, f.versions[key], holders)
}

func (f *fakeSegments) swap(c CommitCmd) (int64, bool) {
	if f.fence && f.versions[c.Key()] != c.Version() {
		return 0, false
	}
	f.versions[c.Key()]++
	f.holders[c.Key()] = c.Segment().GetHolders()
	return f.versions[c.Key()], true
}

// office is several ledgers over one store, as when views of who owns a shard
// differ.
type office struct {
	store   *fakeSegments
	ledgers []*Ledger
	inbox   [][]Msg // per ledger: results on their way
	first   map[string]map[string]bool
	now     time.Time
	token   uint64
	claims  map[uint64]string // token to id and holder
}

func newOffice(n int, fence bool) *office {
	o := &office{
		store:  &fakeSegments{versions: map[string]int64{}, holders: map[string]map[string]string{}, fence: fence},
		inbox:  make([][]Msg, n),
		first:  map[string]map[string]bool{},
		claims: map[uint64]string{},
		now:    time.Now(),
	}
	for i := range n {
		o.ledgers = append(o.ledgers, New(fmt.Sprint("w", i)))
	}
	return o
}

func (o *office) feed(i int, msg Msg, lose bool) {
	for _, cmd := range o.ledgers[i].Update(msg, o.now) {
		switch c := cmd.(type) {
		case LoadCmd:
			o.inbox[i] = append(o.inbox[i], o.store.load(c.Key()))
		case CommitCmd:
			o.commit(i, c, lose)
		case VerdictCmd:
			if c.First() {
				id := o.claims[c.Token()][:36]
				if o.first[id] == nil {
					o.first[id] = map[string]bool{}
				}
				o.first[id][o.claims[c.Token()]] = true
			}
		}
	}
}

// commit writes, and may lose the answer after the write took effect.
func (o *office) commit(i int, c CommitCmd, lose bool) {
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

func (o *office) deliver(i int, lose bool) {
	if len(o.inbox[i]) == 0 {
		return
	}
	msg := o.inbox[i][0]
	o.inbox[i] = o.inbox[i][1:]
	o.feed(i, msg, lose)
}

func (o *office) broken() error {
	for id, holders := range o.first {
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

// claimChaos claims few ids at many ledgers, with lost answers, crashes and results
// that arrive late.
func claimChaos(t *rapid.T, fence bool) error {
	o := newOffice(3, fence)
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
			o.feed(i, Claim(o.token, id, holder), lose)
		case 3, 4:
			o.feed(i, TickMsg{}, lose)
		case 5:
			o.ledgers[i], o.inbox[i] = New(fmt.Sprint("again", o.token)), nil // crashed and replaced
		default:
			o.deliver(i, lose)
		}
		if err := o.broken(); err != nil {
			return err
		}
	}
	return nil
}

func TestOneFirstHolderUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := claimChaos(t, true); err != nil {
			t.Fatal(err)
		}
	})
}

func TestFenceThatAlwaysAcceptsIsFound(t *testing.T) {
	require.True(t, hfseed.Finds(200, func(rt *rapid.T) error { return claimChaos(rt, false) }))
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
		"too far ahead": {id, now.Add(-Ahead - time.Second), ErrWindow},
		"not a UUID":    {"x", now, ErrID},
		"version 4":     {uuid.NewString(), now, ErrID},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := SegmentKey(row.id, row.now)
			require.ErrorIs(t, err, row.want)
		})
	}
}

// TestSegmentOutlivesItsIDs checks that an id is refused before what is known of it
// is dropped, also by an instance whose clock is behind.
func TestSegmentOutlivesItsIDs(t *testing.T) {
	o := newOffice(1, true)
	id := uuid.Must(uuid.NewV7()).String()
	o.claims[1] = id + "/1"
	o.feed(0, Claim(1, id, id+"/1"), false)
	o.deliver(0, false)
	o.feed(0, TickMsg{}, false)
	o.deliver(0, false)
	require.Len(t, o.first[id], 1)
	o.now = o.now.Add(Window + Ahead)
	o.feed(0, TickMsg{}, false)
	require.Len(t, o.ledgers[0].segments, 1, "dropped while a slow clock may still take the id")
	o.now = o.now.Add(dropAfter)
	o.feed(0, TickMsg{}, false)
	require.Empty(t, o.ledgers[0].segments)
}
