package hfintake

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/heatherfront/heatherfront/hfseed"
)

const testMemory = 64 << 10 // for bodies

func testLimits(conns int) Limits {
	return Limits{
		bodies: testMemory, answers: testMemory, conns: conns, idle: idleBytes, busy: busyBytes, room: int64(conns) * busyBytes,
		bodyTimeout: bodyTimeout,
	}
}

// simulate makes random calls and checks what the table promises, with its rule of who goes first or another.
func simulate(t *rapid.T, order func(a, b *client, now time.Time) int) error {
	limits := testLimits(6)
	limits.room = int64(rapid.SampledFrom([]int{6, 3}).Draw(t, "busy connections")) * busyBytes
	limits.spare = rapid.IntRange(0, 1).Draw(t, "spare connections")
	table := newTable(limits)
	if order != nil {
		table.order = order
	}
	now := time.Unix(1000, 0)
	for range rapid.IntRange(1, 60).Draw(t, "steps") {
		now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 1, 400, 1200, 11_000}).Draw(t, "ms")) * time.Millisecond)
		before := map[uint64]*client{}
		for id, c := range table.clients {
			copied := *c
			before[id] = &copied
		}
		ids := slices.Sorted(maps.Keys(before))
		var id uint64
		if len(ids) > 0 {
			id = rapid.SampledFrom(ids).Draw(t, "client")
		}
		var victims []uint64
		asked := "-"
		switch rapid.IntRange(0, 7).Draw(t, "call") {
		case 0:
			asked = rapid.SampledFrom([]string{"a", "a", "b"}).Draw(t, "source")
			_, victims, _ = table.open(asked, now)
		case 1, 2:
			n := int64(rapid.SampledFrom([]int{100, blockBytes, 30 << 10}).Draw(t, "bytes"))
			if id == 0 || before[id].phase != phaseBody {
				continue
			}
			table.clients[id].progress, before[id].progress = now, now
			others := table.held - table.clients[id].held
			var ok bool
			victims, ok = table.reserve(id, n, now)
			if ok && table.held > testMemory && table.held > table.clients[id].held {
				return fmt.Errorf("bodies hold %d bytes", table.held)
			}
			if !ok && others == 0 {
				return fmt.Errorf("a body alone is refused %d bytes", n)
			}
			if !ok && before[id].held+n <= smallBody {
				for _, c := range table.clients {
					if c.id != id && c.phase == phaseBody && c.held > smallBody {
						return fmt.Errorf("a small body is refused beside one of %d bytes", c.held)
					}
				}
			}
		case 3:
			p := phase(rapid.IntRange(0, int(phaseDrain)).Draw(t, "phase"))
			if p == phaseIdle || p == phaseDrain {
				table.release(id)
			}
			asked = "begin"
			var ok bool
			if victims, ok = table.begin(id, p, now); !ok && id != 0 && slices.ContainsFunc(slices.Collect(maps.Values(table.clients)), func(c *client) bool { return c.id != id && c.stalled(now) }) {
				return fmt.Errorf("the request of client %d is refused beside a stalled one", id)
			}
		case 4:
			if c := table.clients[id]; c != nil && c.phase == phaseAnswer {
				c.writing, c.progress = !c.writing, now
			}
		case 5:
			if id != 0 && before[id].phase == phaseAnswer {
				asked = "answer"
				if before[id].answer == 0 {
					victims = table.beginAnswer(id, 20<<10, now)
				} else {
					table.endAnswer(id)
				}
			}
		case 6:
			table.remove(id)
		case 7:
			asked = "room"
			victims = table.setRoom(int64(rapid.IntRange(1, 6).Draw(t, "new room"))*busyBytes, now)
			for _, c := range table.clients {
				if table.taken > table.limits.room && !c.spare && c.moving() {
					return fmt.Errorf("client %d moves although connections take %d bytes of %d", c.id, table.taken, table.limits.room)
				}
			}
		}
		if err := checkVictims(table, before, victims, now, asked); err != nil {
			return err
		}
		if err := table.Check(); err != nil {
			return err
		}
	}
	return nil
}

// checkVictims checks that those who were let go had to be before those who stay.
func checkVictims(t *table, before map[uint64]*client, victims []uint64, now time.Time, source string) error {
	for _, id := range victims {
		v := before[id]
		if v.phase == phaseAnswer && (!v.writing || now.Sub(v.progress) <= answerStallTime) {
			return fmt.Errorf("client %d was let go although its request was whole", id)
		}
		for _, c := range t.clients {
			if b, known := before[c.id]; !known || b.held != c.held || !c.stalled(now) || source == "-" && c.held == 0 || source == "answer" && c.answer == 0 ||
				source == "room" && c.spare { // frees no room
				continue
			}
			if v.phase == phaseAnswer && c.phase != phaseAnswer {
				return fmt.Errorf("the answer of client %d was let go before %d, which has none", id, c.id)
			}
			if c.phase == phaseAnswer && v.phase != phaseAnswer && v.stalled(now) {
				continue
			}
			if !v.stalled(now) {
				return fmt.Errorf("client %d, which moves, was let go before %d, which is stalled", id, c.id)
			}
			if v.source == c.source && v.held+v.answer < c.held+c.answer {
				return fmt.Errorf("client %d with %d bytes was let go before %d with %d", id, v.held+v.answer, c.id, c.held+c.answer)
			}
		}
	}
	return nil
}

func TestTheStalledAndTheLargeGoFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := simulate(t, nil); err != nil {
			t.Fatal(err)
		}
	})
}

// TestFaultyOrdersAreDetected checks that the test above finds wrong rules.
func TestFaultyOrdersAreDetected(t *testing.T) {
	for name, order := range map[string]func(a, b *client, now time.Time) int{
		"the moving first": func(a, b *client, now time.Time) int { return CompareBool(a.stalled(now), b.stalled(now)) },
		"the small first":  func(a, b *client, _ time.Time) int { return int(a.held - b.held) },
		"the oldest first": func(a, b *client, _ time.Time) int { return int(a.id) - int(b.id) },
	} {
		require.True(t, hfseed.FindsFailure(300, func(t *rapid.T) error { return simulate(t, order) }), name)
	}
}

// TestAnswersGoLastAndLate checks that an answer that pauses is let go for answers alone, and late.
func TestAnswersGoLastAndLate(t *testing.T) {
	now := time.Unix(1000, 0)
	table := newTable(testLimits(2))
	first, _, _ := table.open("a", now)
	table.enter(first, phaseAnswer, now)
	require.Empty(t, table.beginAnswer(first, 10*testMemory, now))
	table.clients[first].writing = true
	second, _, _ := table.open("b", now)
	table.enter(second, phaseAnswer, now)
	now = now.Add(answerStallTime)
	require.Empty(t, table.beginAnswer(second, smallBody+1, now))
	_, _, ok := table.open("c", now)
	require.False(t, ok, "both are answered")
	table.endAnswer(second)
	now = now.Add(time.Millisecond)
	require.Equal(t, []uint64{first}, table.beginAnswer(second, smallBody+1, now))
	require.NoError(t, table.Check())
}

// TestIdleConnectionsTakeLessThanBusyOnes fills the memory of connections with requests. Idle ones stay beside
// them, another request gets in for a stalled one only.
func TestIdleConnectionsTakeLessThanBusyOnes(t *testing.T) {
	const busy, all = 4, 16
	now := time.Unix(1000, 0)
	limits := testLimits(all)
	limits.room = busy*busyBytes + (all-busy)*idleBytes
	table := newTable(limits)
	var ids []uint64
	for range all {
		id, victims, ok := table.open("a", now)
		require.True(t, ok)
		require.Empty(t, victims)
		ids = append(ids, id)
	}
	now = now.Add(2 * stallTime)
	for _, id := range ids[:busy] {
		victims, ok := table.begin(id, phaseHead, now)
		require.True(t, ok)
		require.Empty(t, victims)
	}
	victims, ok := table.begin(ids[busy], phaseHead, now)
	require.False(t, ok)
	require.Empty(t, victims, "idle and moving clients stay")
	table.enter(ids[0], phaseAnswer, now)
	now = now.Add(2 * stallTime)
	victims, ok = table.begin(ids[busy], phaseHead, now)
	require.True(t, ok)
	require.Equal(t, []uint64{ids[1]}, victims, "the request of the first is whole")
	require.NoError(t, table.Check())
}

// TestOneSourceGivesWay checks that a source with most connections loses one to another source, and not to
// itself.
func TestOneSourceGivesWay(t *testing.T) {
	now := time.Unix(1000, 0)
	table := newTable(testLimits(4))
	for range 4 {
		id, _, ok := table.open("crowd", now)
		require.True(t, ok)
		table.enter(id, phaseBody, now)
	}
	_, _, ok := table.open("crowd", now)
	require.False(t, ok)
	_, victims, ok := table.open("other", now)
	require.True(t, ok)
	require.Len(t, victims, 1)
	table.enter(2, phaseAnswer, now)
	table.enter(3, phaseAnswer, now)
	table.enter(4, phaseAnswer, now)
	_, _, ok = table.open("third", now)
	require.False(t, ok, "whole requests are answered")
}

// TestLimitsFollowFromMemoryAndDescriptors checks the figures of the operators' smallest machine and others.
func TestLimitsFollowFromMemoryAndDescriptors(t *testing.T) {
	l := NewLimits(284<<20, 16, 3900, false)
	require.Equal(t, int64(284<<20/16), l.bodies)
	require.Equal(t, 1950, l.Conns(), "half of the descriptors")
	for mb, conns := range map[int64]int{64: 455, 96: 682, 160: 1137, 184: 1308} {
		require.Equal(t, conns, NewLimits(mb<<20, 16, 3900, false).Conns(), "a quarter of the memory")
	}
	require.Equal(t, 100, NewLimits(284<<20, 16, 200, false).Conns(), "half of the descriptors")
	require.Equal(t, int64(284<<20/3), l.room, "a third of the memory")
	for mb, backlog := range map[int64]int{8: 64, 96: 307, 128: 409, 184: 588} {
		require.Equal(t, backlog, NewLimits(mb<<20, 16, 3900, false).backlog, "a sixteenth of the memory")
	}
	require.Equal(t, 1069, NewLimits(284<<20, 16, 3900, true).Conns(), "a quarter of the memory under TLS")
	require.Equal(t, maxConns, NewLimits(1<<40, 16, 1<<20, false).Conns())
	require.Equal(t, 1, NewLimits(1<<10, 16, 1, false).Conns())
	start := time.Unix(1000, 0)
	require.Equal(t, start.Add(10*time.Second), l.bodyDeadline(start, 0))
	require.Equal(t, start.Add(42*time.Second), l.bodyDeadline(start, 256<<10))
	require.Positive(t, Descriptors())
}

// A request begins beside idle connections that take all the room, as it may be less than that of the connections'
// number.
func TestRequestBeginsBesideIdleConnections(t *testing.T) {
	limits := testLimits(8)
	limits.room = 4 * idleBytes
	table := newTable(limits)
	now := time.Unix(1000, 0)
	for range 4 {
		_, _, ok := table.open("callers", now)
		require.True(t, ok)
	}
	now = now.Add(2 * stallTime)
	id, _, ok := table.open("callers", now)
	require.True(t, ok)
	_, ok = table.begin(id, phaseHead, now)
	require.True(t, ok)
	require.NoError(t, table.Check())
}

// A listener of brief requests admits a new connection beside any crowd that sends or reads nothing, without waiting
// until that has stalled.
func TestBriefListenerAdmitsNewConnections(t *testing.T) {
	limits := testLimits(4).Brief()
	limits.room = 4 * idleBytes
	table := newTable(limits)
	now := time.Unix(1000, 0)
	for i := range 20 {
		id, _, ok := table.open("crowd", now)
		require.True(t, ok)
		p := []phase{phaseIdle, phaseHead, phaseBody, phaseAnswer}[i%4]
		if _, ok := table.begin(id, p, now); ok && p == phaseAnswer {
			table.clients[id].writing = true
		}
	}
	id, _, ok := table.open("balancer", now)
	require.True(t, ok)
	_, ok = table.begin(id, phaseHead, now)
	require.True(t, ok)
	require.True(t, table.enter(id, phaseAnswer, now))
	for range 20 {
		_, _, _ = table.open("crowd", now)
	}
	require.Contains(t, table.clients, id, "its request is being handled")
	require.NoError(t, table.Check())
}

// Vital calls are served when a crowd that has not stalled yet holds all spare connections, too.
func TestSpareConnectionsGiveWayToNewOnes(t *testing.T) {
	limits := testLimits(2)
	limits.spare = 2
	table := newTable(limits)
	now := time.Unix(1000, 0)
	for i := range 10 {
		id, _, ok := table.open(fmt.Sprint("crowd ", i), now)
		require.True(t, ok)
		_, ok = table.begin(id, phaseHead, now)
		require.True(t, ok)
		now = now.Add(time.Millisecond)
	}
	id, victims, ok := table.open("balancer", now)
	require.True(t, ok)
	require.Len(t, victims, 1)
	require.True(t, table.clients[id].spare)
	require.NoError(t, table.Check())
}

// A connection keeps its place for a while however many come after it.
func TestNewConnectionsDoNotGiveWayAtOnce(t *testing.T) {
	brief := testLimits(16).Brief()
	spare := testLimits(1)
	spare.spare = spareConns
	for name, limits := range map[string]Limits{"brief": brief, "spare": spare} {
		t.Run(name, func(t *testing.T) {
			table := newTable(limits)
			now := time.Unix(1000, 0)
			connect := func() uint64 {
				if pause := table.pause(now); pause > 0 {
					require.LessOrEqual(t, pause, turnoverTime/turnShare)
					now = now.Add(pause)
				}
				id, _, ok := table.open("crowd", now)
				require.True(t, ok)
				return id
			}
			for range 100 {
				connect()
			}
			id, start := connect(), now
			for table.clients[id] != nil {
				connect()
			}
			require.GreaterOrEqual(t, now.Sub(start), turnoverTime/turnShare*(turnShare-1))
			require.LessOrEqual(t, now.Sub(start), 2*turnoverTime)
			require.NoError(t, table.Check())
		})
	}
}

// Spare connections that trickle a head have no advantage over one that has just come.
func TestSpareConnectionsThatTrickleGiveWayByAge(t *testing.T) {
	limits := testLimits(1)
	limits.spare = 2
	table := newTable(limits)
	now := time.Unix(1000, 0)
	var ids []uint64
	for range 3 {
		id, _, ok := table.open("crowd", now)
		require.True(t, ok)
		ids = append(ids, id)
		now = now.Add(time.Millisecond)
	}
	for _, id := range ids[:2] {
		_, ok := table.begin(id, phaseHead, now)
		require.True(t, ok)
		table.clients[id].progress = now
	}
	_, victims, ok := table.open("crowd", now)
	require.True(t, ok)
	require.Equal(t, ids[1:2], victims)
}

// A spare connection that is let go makes no room among the others.
func TestSpareConnectionsStayWhenTheyMakeNoRoom(t *testing.T) {
	limits := testLimits(2)
	limits.spare = 1
	table := newTable(limits)
	now := time.Unix(1000, 0)
	first, _, ok := table.open("a", now)
	require.True(t, ok)
	second, _, ok := table.open("b", now)
	require.True(t, ok)
	for _, id := range []uint64{first, second} {
		require.True(t, table.enter(id, phaseAnswer, now))
	}
	spare, _, ok := table.open("c", now)
	require.True(t, ok)
	require.True(t, table.enter(spare, phaseHead, now))
	now = now.Add(2 * stallTime)
	require.True(t, table.enter(first, phaseIdle, now))
	table.limits.room = table.taken
	victims, ok := table.begin(first, phaseHead, now)
	require.False(t, ok)
	require.Empty(t, victims)
	require.Contains(t, table.clients, spare)
}

// Answers that nobody reads give way before the connection that has just come.
func TestUnreadAnswersOfBriefListenerGiveWayFirst(t *testing.T) {
	table := newTable(testLimits(4).Brief())
	now := time.Unix(1000, 0)
	for range 3 {
		id, _, ok := table.open("crowd", now)
		require.True(t, ok)
		require.True(t, table.enter(id, phaseAnswer, now))
		table.clients[id].writing = true
	}
	id, _, ok := table.open("balancer", now)
	require.True(t, ok)
	_, victims, ok := table.open("other", now)
	require.True(t, ok)
	require.Equal(t, []uint64{id}, victims, "answers under way are kept")
	now = now.Add(2 * turnoverTime)
	id, victims, ok = table.open("balancer", now)
	require.True(t, ok)
	require.Equal(t, []uint64{1}, victims, "an answer that nobody reads")
	_, victims, ok = table.open("crowd", now)
	require.True(t, ok)
	require.Equal(t, []uint64{2}, victims)
	require.Contains(t, table.clients, id)
}
