package hforder

import (
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/heatherfront/heatherfront/hfplan"
)

// outbox decides which of the queued orders to all workers is sent next, and when. All orders
// share the link and the processor of this instance with the renewal of its lease, so that only as
// many are sent at a time as the window allows: first those that free resources, then the rest of
// gangs of which a member was sent, then starts by priority, each in the order in which they were
// queued. Orders to workers that did not answer the last one come after all others, and have only a
// part of the window, so that they hold nobody up.
type outbox struct {
	mu       sync.Mutex
	sequence uint64                   // of the order that was queued last
	queued   map[*dispatcher]struct{} // dispatchers that may have queued orders
	gangs    map[gangID]time.Time     // when the first member was sent, of gangs that may have others queued
	window   window
	trips    roundTrips
	retries  retryBudget
	doubtful int // orders in the window to workers that did not answer the last one
}

// gangID identifies a run of a gang.
type gangID struct {
	job              string
	occurrence, step uint32
	number           int64
}

func gangOf(c hfplan.StartCmd) gangID {
	t := c.Task()
	return gangID{job: t.Job(), occurrence: t.Occurrence(), step: t.Step(), number: c.Number()}
}

// orderClass is the precedence of an order; lower ones are sent first.
type orderClass int

const (
	classRelease     orderClass = iota // stops and paces, which free resources
	classGangMember                    // starts whose gang has a member that was sent
	classStart                         // starts of priority 0; further priorities follow
	numStartClasses  = 3               // lower priorities share the last class
	numClasses       = classStart + numStartClasses
	doubtfulShare    = 0.25 // part of the window for orders to workers that did not answer the last one
	maxGangsFollowed = 4096 // gangs, above which those that began long ago are forgotten
)

// class returns the precedence of an order.
func (b *outbox) class(o *order) orderClass {
	if o.start == nil {
		return classRelease
	}
	if o.start.Gang() {
		if _, begun := b.gangs[gangOf(*o.start)]; begun {
			return classGangMember
		}
	}
	return classStart + orderClass(min(o.start.Priority(), numStartClasses-1))
}

// nextSequence returns the sequence number of a new order.
func (b *outbox) nextSequence() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	return b.sequence
}

// enqueued records that a dispatcher has a new order in its queue.
func (b *outbox) enqueued(d *dispatcher) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.queued == nil {
		b.queued = map[*dispatcher]struct{}{}
	}
	b.queued[d] = struct{}{}
}

// forget drops the orders of a dispatcher that has stopped.
func (b *outbox) forget(d *dispatcher) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.queued, d)
}

// next removes the order that is to be sent now from the queue of its dispatcher. It reports
// false if there is none.
func (b *outbox) next(now time.Time) (*dispatcher, order, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.window.full() {
		return nil, order{}, false
	}
	var chosen *dispatcher
	var class orderClass
	var sequence uint64
	doubtfulFull := b.doubtful >= max(1, int(b.window.size*doubtfulShare))
	for d := range b.queued {
		c, s, sendable, empty := d.peek(b.class)
		if empty {
			delete(b.queued, d)
		}
		if c >= numClasses && doubtfulFull {
			continue
		}
		if sendable && (chosen == nil || c < class || c == class && s < sequence) {
			chosen, class, sequence = d, c, s
		}
	}
	if chosen == nil {
		return nil, order{}, false
	}
	o, ok := chosen.dequeue(b.class)
	if !ok {
		return nil, order{}, false
	}
	if o.start != nil && o.start.Gang() {
		b.beginGang(gangOf(*o.start), now)
	}
	b.window.add()
	if o.doubtful = class >= numClasses; o.doubtful {
		b.doubtful++
	}
	return chosen, o, true
}

// beginGang records that a member of a gang is sent.
func (b *outbox) beginGang(id gangID, now time.Time) {
	if b.gangs == nil {
		b.gangs = map[gangID]time.Time{}
	}
	if _, begun := b.gangs[id]; begun {
		return
	}
	if len(b.gangs) >= maxGangsFollowed {
		maps.DeleteFunc(b.gangs, func(_ gangID, begun time.Time) bool { return now.Sub(begun) > gangTimeout })
	}
	b.gangs[id] = now
}

// windowPlace is the place of an order in the window. It is given up once, with the first try.
type windowPlace struct {
	outbox   *outbox
	domain   string // failure domain of the worker
	doubtful bool   // the worker did not answer the last order
	free     bool   // guarded by outbox.mu
}

// isFree reports whether the place was given up.
func (p *windowPlace) isFree() bool {
	p.outbox.mu.Lock()
	defer p.outbox.mu.Unlock()
	return p.free
}

// finish records the result of a try, which took the given time. It reports whether it gave up the
// place.
func (p *windowPlace) finish(took time.Duration, err error) bool {
	b := p.outbox
	b.mu.Lock()
	defer b.mu.Unlock()
	answered := !errors.Is(err, ErrUnanswered) && !errors.Is(err, ErrNotSent) && !errors.Is(err, ErrNotLeading)
	delay := took
	if answered {
		b.retries.earn()
		delay = b.trips.add(p.domain, took)
	}
	if p.free {
		return false
	}
	p.free = true
	if p.doubtful {
		b.doubtful--
	}
	if answered || errors.Is(err, ErrUnanswered) {
		b.window.finish(delay, answered)
	} else {
		b.window.drop()
	}
	return true
}

// reserveRetry returns how long to wait for an answer before the order is sent again, and takes
// that retry from the budget. It reports false if the budget is spent or the time until the
// deadline is too short for a retry.
func (b *outbox) reserveRetry(remaining time.Duration) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	timeout := b.trips.timeout()
	return timeout, remaining >= timeout+responseTimeout && b.retries.take()
}

// returnRetry returns a reserved retry that is not needed.
func (b *outbox) returnRetry() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retries.giveBack()
}
