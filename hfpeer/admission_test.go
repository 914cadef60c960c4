package hfpeer

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func testLimits(conns int) Limits {
	return Limits{conns: conns, bytes: int64(conns) * 2 * connBytes, conn: connBytes}
}

// TestAdmissionKeepsWithinLimits checks the invariants under random connections, streams and messages.
func TestAdmissionKeepsWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := newAdmission(testLimits(8))
		now := time.Unix(0, 0)
		var open []uint64
		held, begun := map[uint64]int64{}, map[uint64][]int64{}
		closed := func(ids []uint64) {
			open = slices.DeleteFunc(open, func(id uint64) bool { return slices.Contains(ids, id) })
		}
		pick := func() uint64 {
			if len(open) == 0 {
				return 0
			}
			return rapid.SampledFrom(open).Draw(t, "connection")
		}
		streams := map[uint64]int{}
		t.Repeat(map[string]func(*rapid.T){
			"open": func(t *rapid.T) {
				id, victims, ok := a.open(rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "source"), rapid.Bool().Draw(t, "member"), now)
				closed(victims)
				if ok {
					open = append(open, id)
				}
			},
			"stream": func(*rapid.T) {
				id := pick()
				victims, ok := a.openStream(id, now)
				closed(victims)
				if ok {
					streams[id]++
				}
			},
			"end": func(*rapid.T) {
				if id := pick(); streams[id] > 0 {
					streams[id]--
					a.closeStream(id)
				}
			},
			"reserve": func(t *rapid.T) {
				id, n := pick(), rapid.Int64Range(1, 4*connBytes).Draw(t, "bytes")
				victims, ok := a.reserve(id, n, now)
				require.NotContains(t, victims, id)
				closed(victims)
				if ok {
					held[id] += n
				}
			},
			"begin": func(t *rapid.T) {
				id := pick()
				decoded := rapid.Int64Range(0, connBytes).Draw(t, "decoded")
				if begun[id] != nil || held[id] == 0 {
					return
				}
				victims, ok := a.begin(id, held[id], decoded, now)
				closed(victims)
				if ok {
					begun[id], held[id] = []int64{held[id], decoded}, 0
				}
			},
			"finish": func(*rapid.T) {
				if id := pick(); begun[id] != nil {
					a.finish(id, begun[id][0], begun[id][1], now)
					begun[id] = nil
				}
			},
			"release": func(*rapid.T) {
				id := pick()
				a.release(id, held[id])
				held[id] = 0
			},
			"list":   func(t *rapid.T) { a.setMember(pick(), rapid.Bool().Draw(t, "member")) },
			"remove": func(*rapid.T) { id := pick(); a.remove(id); closed([]uint64{id}) },
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) { require.NoError(t, a.Check()); require.Len(t, a.conns, len(open)) },
		})
	})
}

// fill opens connections that hold all that they may.
func fill(t *testing.T, a *admission, member bool, now time.Time) []uint64 {
	t.Helper()
	var ids []uint64
	for {
		id, victims, ok := a.open("crowd", member, now)
		require.Empty(t, victims)
		if !ok {
			break
		}
		ids = append(ids, id)
	}
	require.NotEmpty(t, ids)
	for {
		before := a.taken
		for _, id := range ids {
			_, _ = a.reserve(id, connBytes/4, now)
		}
		if a.taken == before {
			return ids
		}
	}
}

// Unknown instances take a part of the room, and give way to known ones also while they move.
func TestStrangersLeaveRoomForMembers(t *testing.T) {
	a, now := newAdmission(testLimits(16)), time.Unix(0, 0)
	fill(t, a, false, now)
	require.LessOrEqual(t, a.strangers, 4)
	require.LessOrEqual(t, a.foreign, a.limits.bytes/strangerShare)
	for range 16 {
		id, _, ok := a.open("member", true, now)
		require.True(t, ok)
		_, ok = a.reserve(id, connBytes/2, now)
		require.True(t, ok)
	}
	require.NoError(t, a.Check())
}

// A known instance that is broken gives way once it has stalled, or at once to one that takes much less.
func TestBrokenMemberGivesWay(t *testing.T) {
	a, now := newAdmission(testLimits(16)), time.Unix(0, 0)
	fill(t, a, true, now)
	now = now.Add(2 * stallTime)
	id, victims, ok := a.open("orderly", true, now)
	require.True(t, ok)
	require.NotEmpty(t, victims)
	_, ok = a.reserve(id, connBytes, now)
	require.True(t, ok)

	a = newAdmission(testLimits(16))
	heavy, _, _ := a.open("broken", true, now)
	_, ok = a.reserve(heavy, a.limits.bytes-a.limits.conn, now)
	require.True(t, ok)
	_, victims, ok = a.open("orderly", true, now)
	require.True(t, ok)
	require.Equal(t, []uint64{heavy}, victims)
}

// A call that takes long is no reason to close its connection: the other side does not keep this one waiting.
func TestLongCallIsNotStalled(t *testing.T) {
	a, now := newAdmission(testLimits(4)), time.Unix(0, 0)
	id, _, _ := a.open("waiting", true, now)
	_, ok := a.reserve(id, connBytes, now)
	require.True(t, ok)
	_, ok = a.begin(id, connBytes, 0, now)
	require.True(t, ok)
	now = now.Add(time.Minute)
	require.False(t, a.conns[id].stalled(now))
	fill(t, a, true, now)
	require.Contains(t, a.conns, id)
}

// An instance whose connections went silent gets a new one, and the oldest of its own gives way.
func TestSilentConnectionGivesWayToNextOfItsInstance(t *testing.T) {
	a, now := newAdmission(testLimits(4)), time.Unix(0, 0)
	var ids []uint64
	for range 4 {
		id, _, ok := a.open("peer", true, now)
		require.True(t, ok)
		ids = append(ids, id)
		now = now.Add(time.Second)
	}
	now = now.Add(2 * stallTime)
	_, victims, ok := a.open("peer", true, now)
	require.True(t, ok)
	require.Equal(t, ids[:1], victims)
	_, _, ok = a.open("other", true, now)
	require.False(t, ok, "idle connections of other instances stay")
}

// The defaults leave room for the largest fleet: 174 instances with two connections each, of which one
// has gone silent, all of which call at once with a job of usual size.
func TestDefaultsAreNotMetByLargestFleet(t *testing.T) {
	const (
		memory      = 184 << 20 // of the smallest machines
		descriptors = 3900
		instances   = 174
		message     = 4 << 10
	)
	a, now := newAdmission(NewLimits(memory/MemoryShare, descriptors, false)), time.Unix(0, 0)
	for i := range instances {
		source := string(rune('A' + i))
		_, victims, ok := a.open(source, true, now)
		require.True(t, ok)
		require.Empty(t, victims)
	}
	for id := range a.conns {
		victims, ok := a.openStream(id, now)
		require.True(t, ok)
		require.Empty(t, victims)
		victims, ok = a.reserve(id, bufferFactor*message, now)
		require.True(t, ok)
		require.Empty(t, victims)
		victims, ok = a.begin(id, bufferFactor*message, 2*message, now)
		require.True(t, ok)
		require.Empty(t, victims)
	}
	require.NoError(t, a.Check())
}
