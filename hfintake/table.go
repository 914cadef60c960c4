package hfintake

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// phase is what a connection is busy with.
type phase int

const (
	phaseIdle   phase = iota // no byte of a request has come
	phaseHead                // a head is under way
	phaseBody                // a body is under way
	phaseAnswer              // the request is whole, or has no body
	phaseDrain               // the request was answered before its body was whole
)

// client is what is known of a connection.
type client struct {
	id       uint64
	source   string // address without the port
	phase    phase
	spare    bool      // opened when there was room for vital calls only
	writing  bool      // a part of an answer is being written
	since    time.Time // when the phase began
	progress time.Time // when a byte was last read or written
	received int64     // bytes of the body
	held     int64     // bytes reserved for the body
	answer   int64     // bytes of the part of the answer that is being written
}

// unused reports whether a client has sent nothing for a while since its connection or its last answer.
func (c *client) unused(now time.Time) bool {
	return c.phase == phaseIdle && now.Sub(c.progress) > stallTime
}

// stalled reports whether a client keeps the instance waiting.
func (c *client) stalled(now time.Time) bool {
	paused := now.Sub(c.progress) > stallTime
	switch c.phase {
	case phaseHead, phaseDrain:
		return paused || now.Sub(c.since) > stallTime
	case phaseBody:
		due := c.since.Add(stallTime + time.Duration(c.received)*time.Second/minRate)
		return paused || now.After(due)
	case phaseAnswer:
		return c.writing && now.Sub(c.progress) > answerStallTime
	}
	return false
}

// table decides which clients are served and which are let go. It is not safe for concurrent use.
type table struct {
	limits  Limits                                // do not change once the listener is served
	order   func(a, b *client, now time.Time) int // who is let go first
	clients map[uint64]*client
	sources map[string]int // connections by source; the sum is len(clients)
	held    int64          // sum of what the clients hold for bodies
	answers int64          // the same for answers
	taken   int64          // sum of what the connections but the spare ones take by their phase
	excess  int64          // part of taken above the room since that became less; never grows
	spares  int            // spare connections
	turned  int            // connections that gave way to new ones since turnAt
	turnAt  time.Time      // when the first of them did
	lastID  uint64
}

func newTable(l Limits) *table {
	t := &table{limits: l, clients: map[uint64]*client{}, sources: map[string]int{}}
	t.order = t.compare
	return t
}

// turns returns how many connections may give way to new ones at once before those that come have to wait, and how
// long. A connection that does not give way until all others have keeps at least three quarters of turnoverTime.
func (t *table) turns() (count int, pause time.Duration) {
	all := t.limits.spare
	if t.limits.brief {
		all = t.limits.conns
	}
	count = max(all/turnShare, 1)
	return count, turnoverTime * time.Duration(count) / time.Duration(max(all, 1))
}

// pause returns how long the next connection must wait before it is opened, as others gave way just now. Their
// successors could not send a request before they had to give way, too.
func (t *table) pause(now time.Time) time.Duration {
	count, pause := t.turns()
	if !t.full() || t.turned < count {
		return 0
	}
	return max(t.turnAt.Add(pause).Sub(now), 0)
}

// turn counts a connection that gives way to a new one.
func (t *table) turn(now time.Time) {
	if _, pause := t.turns(); now.Sub(t.turnAt) >= pause {
		t.turned, t.turnAt = 0, now
	}
	t.turned++
}

// open adds a connection. If there is no room for it and a request, it lets others go, or takes a spare one, for which
// other spare ones give way, or returns false.
func (t *table) open(source string, now time.Time) (id uint64, victims []uint64, ok bool) {
	if t.full() {
		v := t.victim(now, func(c *client) bool {
			return !c.spare && (c.stalled(now) || c.unused(now) || t.givesWay(c, source) || t.overdue(c))
		})
		if v != nil {
			if t.overdue(v) {
				t.turn(now)
			}
			t.remove(v.id)
			victims = append(victims, v.id)
		}
	}
	// A request takes more than an idle connection, which is not let go when the request begins.
	for t.taken+t.limits.busy > t.limits.room {
		v := t.victim(now, func(c *client) bool { return !c.spare && (c.stalled(now) || c.unused(now)) })
		if v == nil {
			break
		}
		t.remove(v.id)
		victims = append(victims, v.id)
	}
	c := &client{source: source, spare: t.full(), since: now, progress: now}
	if c.spare {
		if t.spares >= t.limits.spare {
			v := First(t.clients, func(o *client) bool { return o.spare && o.moving() }, func(a, b *client) int { return compareAge(a, b, now) })
			if v == nil {
				return 0, victims, false
			}
			t.turn(now)
			t.remove(v.id)
			victims = append(victims, v.id)
		}
		t.spares++
	}
	t.lastID++
	c.id = t.lastID
	t.clients[c.id] = c
	t.sources[source]++
	t.taken += t.cost(c, phaseIdle)
	return t.lastID, victims, true
}

// full reports whether there is room for another connection only beside the spare ones.
func (t *table) full() bool {
	return len(t.clients)-t.spares >= t.limits.conns || t.taken+t.limits.idle > t.limits.room
}

// crowded reports whether callers should close their connections after the answer.
func (t *table) crowded() bool { return len(t.clients) > t.limits.conns-t.limits.conns/crowdShare }

// begin begins a request of an idle client with a phase. If there is no room, it lets stalled clients go, or
// returns false: the request must not run. Other phases are entered as with enter.
func (t *table) begin(id uint64, p phase, now time.Time) (victims []uint64, ok bool) {
	c := t.clients[id]
	if c == nil {
		return nil, false
	}
	for c.phase == phaseIdle && t.taken+t.cost(c, p)-t.cost(c, phaseIdle) > t.limits.room {
		v := t.victim(now, func(o *client) bool {
			return o != c && !o.spare && (o.stalled(now) || t.givesWay(o, c.source) || t.overdue(o))
		})
		if v == nil {
			return victims, false
		}
		t.remove(v.id)
		victims = append(victims, v.id)
	}
	return victims, t.enter(id, p, now)
}

// setRoom changes the bytes that connections may take. Those whose requests are not whole, or whose
// answers are not read, give way until they fit.
func (t *table) setRoom(room int64, now time.Time) (victims []uint64) {
	t.limits.room = max(room, t.limits.busy)
	for t.taken > t.limits.room {
		v := t.victim(now, func(c *client) bool { return !c.spare && (c.moving() || c.stalled(now)) })
		if v == nil {
			break
		}
		t.remove(v.id)
		victims = append(victims, v.id)
	}
	t.excess = max(t.taken-t.limits.room, 0)
	return victims
}

// onlyVital reports whether only vital calls may be served on a connection.
func (t *table) onlyVital(id uint64) bool {
	c := t.clients[id]
	return c != nil && c.spare && (len(t.clients) > t.limits.conns || t.taken+t.limits.busy > t.limits.room)
}

// heavy reports whether a source has more than its share of the connections.
func (t *table) heavy(source string) bool { return t.sources[source] > t.limits.conns/sourceShare }

// givesWay reports whether a client that moves may be let go for a source: its own has more than its share.
func (t *table) givesWay(c *client, source string) bool {
	return t.heavy(c.source) && c.source != source && c.moving()
}

// overdue reports whether a client of a listener of brief requests may be let go: one that comes later is served
// before it is, unless its request is being handled.
func (t *table) overdue(c *client) bool { return t.limits.brief && (c.moving() || c.writing) }

// cost returns what a connection takes of the room in a phase.
func (t *table) cost(c *client, p phase) int64 {
	switch {
	case c.spare:
		return 0
	case p == phaseIdle:
		return t.limits.idle
	}
	return t.limits.busy
}

// moving reports whether a client's request is not whole yet, or not begun.
func (c *client) moving() bool { return c.phase != phaseAnswer }

// victim returns the client to let go first among those that may be let go, or nil: the stalled before the
// moving, those with an answer under way after others, those of a heavy source before others, the large before
// the small, the silent before the recent.
func (t *table) victim(now time.Time, may func(*client) bool) *client {
	return First(t.clients, may, func(a, b *client) int { return t.order(a, b, now) })
}

// compareAge orders clients by age, those with an answer under way last while it is read.
func compareAge(a, b *client, now time.Time) int {
	answered := func(c *client) bool {
		return c.phase == phaseAnswer && !(c.writing && now.Sub(c.progress) > turnoverTime)
	}
	return cmp.Or(CompareBool(answered(a), answered(b)), cmp.Compare(a.id, b.id))
}

func (t *table) compare(a, b *client, now time.Time) int {
	if t.limits.brief {
		return compareAge(a, b, now)
	}
	return cmp.Or(
		-CompareBool(a.stalled(now), b.stalled(now)), CompareBool(a.phase == phaseAnswer, b.phase == phaseAnswer),
		-CompareBool(t.heavy(a.source), t.heavy(b.source)), -cmp.Compare(a.held+a.answer, b.held+b.answer), a.progress.Compare(b.progress), cmp.Compare(a.id, b.id),
	)
}

// reserve adds n bytes to what a client holds. If there is no room, it lets stalled clients go, for a small
// body also large ones that still move, or returns false.
func (t *table) reserve(id uint64, n int64, now time.Time) (victims []uint64, ok bool) {
	c := t.clients[id]
	if c == nil {
		return nil, false
	}
	small := c.held+n <= smallBody
	limit := t.limits.bodies
	if !small {
		limit = limit / largeShareBy * largeShareOf
	}
	for t.held+n > limit && t.held > c.held { // a large one alone is served
		v := t.victim(now, func(o *client) bool {
			return o != c && o.held > 0 && (o.stalled(now) || small && o.phase == phaseBody && o.held > smallBody)
		})
		if v == nil {
			return victims, false
		}
		t.remove(v.id)
		victims = append(victims, v.id)
	}
	c.held += n
	t.held += n
	return victims, true
}

// beginAnswer adds n bytes of an answer that are about to be written. They are held whether or not there is
// room, and clients that do not read their answers are let go for them.
func (t *table) beginAnswer(id uint64, n int64, now time.Time) (victims []uint64) {
	c := t.clients[id]
	if c == nil {
		return nil
	}
	c.answer += n
	t.answers += n
	for t.answers > t.limits.answers {
		v := t.victim(now, func(o *client) bool { return o != c && o.answer > 0 && o.stalled(now) })
		if v == nil {
			break
		}
		t.remove(v.id)
		victims = append(victims, v.id)
	}
	return victims
}

// endAnswer frees what beginAnswer added.
func (t *table) endAnswer(id uint64) {
	if c := t.clients[id]; c != nil {
		t.answers -= c.answer
		c.answer = 0
	}
}

// release frees what a client holds for its body.
func (t *table) release(id uint64) {
	if c := t.clients[id]; c != nil {
		t.held -= c.held
		c.held, c.received = 0, 0
	}
}

// enter begins a phase of a client, begin that of one that may be idle. It returns false if the client was let go: its request must not run.
func (t *table) enter(id uint64, p phase, now time.Time) bool {
	c := t.clients[id]
	if c != nil && c.phase != p {
		t.taken += t.cost(c, p) - t.cost(c, c.phase)
		t.excess = min(t.excess, max(t.taken-t.limits.room, 0))
		c.phase, c.since, c.progress = p, now, now
	}
	return c != nil
}

func (t *table) remove(id uint64) {
	c := t.clients[id]
	if c == nil {
		return
	}
	t.release(id)
	t.endAnswer(id)
	t.taken -= t.cost(c, c.phase)
	t.excess = min(t.excess, max(t.taken-t.limits.room, 0))
	if c.spare {
		t.spares--
	}
	delete(t.clients, id)
	if t.sources[c.source]--; t.sources[c.source] == 0 {
		delete(t.sources, c.source)
	}
}

// Check returns the first broken invariant.
func (t *table) Check() error {
	var held, answers, taken int64
	spares := 0
	sources := map[string]int{}
	for _, id := range slices.Sorted(maps.Keys(t.clients)) {
		c := t.clients[id]
		held += c.held
		answers += c.answer
		taken += t.cost(c, c.phase)
		if c.spare {
			spares++
		}
		sources[c.source]++
		if c.held < 0 || c.answer < 0 {
			return fmt.Errorf("client %d holds %d bytes, %d of an answer", id, c.held, c.answer)
		}
	}
	switch {
	case held != t.held:
		return fmt.Errorf("clients hold %d bytes, counted are %d", held, t.held)
	case taken != t.taken:
		return fmt.Errorf("connections take %d bytes, counted are %d", taken, t.taken)
	case taken > t.limits.room+t.excess:
		return fmt.Errorf("connections take %d bytes of %d", taken, t.limits.room)
	case spares != t.spares || spares > t.limits.spare:
		return fmt.Errorf("%d spare connections of %d, counted are %d", spares, t.limits.spare, t.spares)
	case answers != t.answers:
		return fmt.Errorf("answers hold %d bytes, counted are %d", answers, t.answers)
	case len(t.clients)-spares > t.limits.conns:
		return fmt.Errorf("%d connections of %d", len(t.clients), t.limits.conns)
	case len(sources) != len(t.sources):
		return fmt.Errorf("%d sources, counted are %d", len(sources), len(t.sources))
	}
	return nil
}
