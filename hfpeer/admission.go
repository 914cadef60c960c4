package hfpeer

import (
	"cmp"
	"fmt"
	"time"

	"github.com/heatherfront/heatherfront/hfintake"
)

// admitted is what is known of a connection.
type admitted struct {
	id       uint64
	source   string // address without the port
	member   bool   // the membership lists the source, or its certificate was checked
	streams  int
	held     int64 // bytes of messages and replies under way
	busy     int64 // bytes of whole messages, and of what they were decoded to, until they are answered
	progress time.Time
}

// stalled reports whether the other side keeps this one waiting.
func (c *admitted) stalled(now time.Time) bool { return c.held > 0 && now.Sub(c.progress) > stallTime }

// admission decides which connections of other instances are served, and which are closed. It is not safe for
// concurrent use. Each method that returns victims has removed them.
type admission struct {
	limits    Limits
	conns     map[uint64]*admitted
	sources   map[string]int // connections by source
	taken     int64          // sum of the costs
	strangers int            // connections of unknown instances
	foreign   int64          // sum of the costs of these
	lastID    uint64
}

func newAdmission(l Limits) *admission {
	return &admission{limits: l, conns: map[uint64]*admitted{}, sources: map[string]int{}}
}

func (a *admission) cost(c *admitted) int64 {
	return a.limits.conn + int64(c.streams)*streamBytes + c.held + c.busy
}

// add changes what a connection takes.
func (a *admission) add(c *admitted, streams int, held, busy int64) {
	c.streams += streams
	c.held += held
	c.busy += busy
	n := int64(streams)*streamBytes + held + busy
	a.taken += n
	if !c.member {
		a.foreign += n
	}
}

// fits reports whether there is room for n more bytes, and for more connections.
func (a *admission) fits(member bool, conns int, n int64) bool {
	if len(a.conns)+conns > a.limits.conns || a.taken+n > a.limits.bytes {
		return false
	}
	return member || a.strangers+conns <= max(a.limits.conns/strangerShare, 1) && a.foreign+n <= a.limits.bytes/strangerShare
}

// open adds a connection. If there is no room, others give way, or it returns false.
func (a *admission) open(source string, member bool, now time.Time) (id uint64, victims []uint64, ok bool) {
	for !a.fits(member, 1, a.limits.conn) {
		v := a.victim(now, func(c *admitted) bool {
			idle := now.Sub(c.progress) > stallTime
			switch {
			case c.stalled(now):
				return member || !c.member
			case member && !c.member:
				return true
			case !member:
				return !c.member && idle
			case a.cost(c) > heavyFactor*a.limits.conn:
				return true
			}
			return idle && c.source == source && a.sources[source] > connsOfSource
		})
		if v == nil {
			return 0, victims, false
		}
		a.remove(v.id)
		victims = append(victims, v.id)
	}
	a.lastID++
	c := &admitted{id: a.lastID, source: source, member: member, progress: now}
	a.conns[c.id] = c
	a.sources[source]++
	a.taken += a.cost(c)
	if !member {
		a.strangers++
		a.foreign += a.cost(c)
	}
	return c.id, victims, true
}

// openStream counts a stream, or returns false if the connection has too many or there is no room.
func (a *admission) openStream(id uint64, now time.Time) (victims []uint64, ok bool) {
	c := a.conns[id]
	if c == nil || c.streams >= maxStreams {
		return nil, false
	}
	if victims, ok = a.makeRoom(c, streamBytes, now); ok {
		a.add(c, 1, 0, 0)
	}
	return victims, ok
}

// closeStream frees a stream.
func (a *admission) closeStream(id uint64) {
	if c := a.conns[id]; c != nil {
		a.add(c, -1, 0, 0)
	}
}

// reserve adds n bytes of a message or reply under way, or returns false if there is no room.
func (a *admission) reserve(id uint64, n int64, now time.Time) (victims []uint64, ok bool) {
	c := a.conns[id]
	if c == nil {
		return nil, false
	}
	if victims, ok = a.makeRoom(c, n, now); ok {
		a.add(c, 0, n, 0)
		c.progress = now
	}
	return victims, ok
}

// release frees n bytes of a message or reply under way.
func (a *admission) release(id uint64, n int64) {
	if c := a.conns[id]; c != nil {
		a.add(c, 0, -n, 0)
	}
}

// begin counts n bytes of a message as whole, with what it is decoded to, or returns false if there is no room.
func (a *admission) begin(id uint64, n, decoded int64, now time.Time) (victims []uint64, ok bool) {
	c := a.conns[id]
	if c == nil {
		return nil, false
	}
	if victims, ok = a.makeRoom(c, decoded, now); ok {
		a.add(c, 0, -n, n+decoded)
		c.progress = now
	}
	return victims, ok
}

// finish frees what begin counted.
func (a *admission) finish(id uint64, n, decoded int64, now time.Time) {
	if c := a.conns[id]; c != nil {
		a.add(c, 0, 0, -n-decoded)
		c.progress = now
	}
}

// makeRoom lets others give way until n bytes fit.
func (a *admission) makeRoom(c *admitted, n int64, now time.Time) (victims []uint64, ok bool) {
	for !a.fits(c.member, 0, n) {
		v := a.victim(now, func(o *admitted) bool {
			switch {
			case o == c || o.member && !c.member:
				return false
			case o.member != c.member, o.stalled(now):
				return true
			}
			return a.cost(o) > heavyFactor*(a.cost(c)+n)
		})
		if v == nil {
			return victims, false
		}
		a.remove(v.id)
		victims = append(victims, v.id)
	}
	return victims, true
}

// victim returns the connection to close first among those that may be closed, or nil: of unknown instances before
// others, the stalled before the moving, the large before the small, the silent before the recent.
func (a *admission) victim(now time.Time, may func(*admitted) bool) *admitted {
	return hfintake.First(a.conns, may, func(x, y *admitted) int { return a.compare(x, y, now) })
}

func (a *admission) compare(x, y *admitted, now time.Time) int {
	return cmp.Or(
		hfintake.CompareBool(x.member, y.member), -hfintake.CompareBool(x.stalled(now), y.stalled(now)), -cmp.Compare(a.cost(x), a.cost(y)),
		x.progress.Compare(y.progress), cmp.Compare(x.id, y.id),
	)
}

// touch records that a connection has moved.
func (a *admission) touch(id uint64, now time.Time) {
	if c := a.conns[id]; c != nil {
		c.progress = now
	}
}

// setMember sets whether the instance behind a connection is known.
func (a *admission) setMember(id uint64, member bool) {
	c := a.conns[id]
	if c == nil || c.member == member {
		return
	}
	c.member = member
	if member {
		a.strangers--
		a.foreign -= a.cost(c)
		return
	}
	a.strangers++
	a.foreign += a.cost(c)
}

func (a *admission) remove(id uint64) {
	c := a.conns[id]
	if c == nil {
		return
	}
	a.add(c, -c.streams, -c.held, -c.busy)
	a.taken -= a.cost(c)
	if !c.member {
		a.strangers--
		a.foreign -= a.cost(c)
	}
	delete(a.conns, id)
	if a.sources[c.source]--; a.sources[c.source] == 0 {
		delete(a.sources, c.source)
	}
}

// Check returns the first broken invariant.
func (a *admission) Check() error {
	var taken, foreign int64
	strangers := 0
	sources := map[string]int{}
	for _, c := range a.conns {
		if c.streams < 0 || c.streams > maxStreams || c.held < 0 || c.busy < 0 {
			return fmt.Errorf("connection %d has %d streams, holds %d bytes and %d of whole messages", c.id, c.streams, c.held, c.busy)
		}
		taken += a.cost(c)
		sources[c.source]++
		if !c.member {
			strangers++
			foreign += a.cost(c)
		}
	}
	switch {
	case taken != a.taken || foreign != a.foreign:
		return fmt.Errorf("connections take %d and %d bytes, counted are %d and %d", taken, foreign, a.taken, a.foreign)
	case strangers != a.strangers:
		return fmt.Errorf("%d connections of unknown instances, counted are %d", strangers, a.strangers)
	case len(sources) != len(a.sources):
		return fmt.Errorf("%d sources, counted are %d", len(sources), len(a.sources))
	case len(a.conns) > a.limits.conns:
		return fmt.Errorf("%d connections of %d", len(a.conns), a.limits.conns)
	case taken > a.limits.bytes:
		return fmt.Errorf("connections take %d bytes of %d", taken, a.limits.bytes)
	}
	return nil
}
