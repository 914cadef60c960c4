// Package hfrequest schedules the requests of callers. It decides in which order they
// get slots, which are refused early, what outcome an attempt proves and whether it is
// retried.
package hfrequest

import (
	"fmt"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/heatherfront/heatherfront/hfconfig"
	"github.com/heatherfront/heatherfront/hfendpoint"
)

// ErrQueue reports an invariant violation of the queue.
var ErrQueue = eris.New("request queue inconsistent")

// reservedShare is the share of the slots that is reserved for callers without a
// request in flight, so that they do not wait for a long request of another caller to
// end. At least one slot is reserved if there are two or more.
const reservedShare = 0.05

// Ticket is a request that is queued or in flight.
type Ticket struct {
	id             string
	class          hfconfig.Class
	account        string
	caller         string
	work           string // kind of work
	deadline       time.Time
	weight         int     // of the account
	limit          int     // maximum requests of the account in flight at this instance; 0: no limit
	cost           float64 // slot time charged in seconds, as expected; corrected when the request ends
	startedAt      time.Time
	triedEndpoints map[string]bool     // endpoints of earlier attempts
	endpoint       hfendpoint.Endpoint // set when the ticket gets a slot
	notify         func(QueueResult)
}

// QueueResult is the decision on a queued ticket.
type QueueResult int

// Decisions on a queued ticket.
const (
	Granted QueueResult = iota // it got a slot
	Evicted                    // removed from a full queue in favour of another ticket, or no endpoint took it
	Expired                    // its deadline passed in the queue, or it could not end before it
)

// NewTicket returns a ticket. notify is called once, when the ticket gets a slot or is
// dropped. It must not block or call the queue.
func NewTicket(id string, class hfconfig.Class, account, caller, work string, deadline time.Time, weight, limit int, notify func(QueueResult)) *Ticket {
	return &Ticket{
		id: id, class: class, account: account, caller: caller, work: work,
		deadline: deadline, weight: max(weight, 1), limit: limit, notify: notify,
	}
}

// ID returns the request's id.
func (t *Ticket) ID() string { return t.id }

// node is a class, an account of a class, or a caller of an account in the tree of
// the fair queue. Among its children, the one with the least virtual time is served
// first. Virtual time is slot time divided by weight.
type node struct {
	name         string
	weight       float64
	virtualTime  float64 // slot time charged, divided by weight, in seconds
	virtualClock float64 // virtual time of the child served last; start value for a child that becomes active
	children     map[string]*node
	tickets      []*Ticket // of a caller, oldest first
	queued       int       // tickets queued in this subtree
	inFlight     int       // requests in flight in this subtree
}

func newNode(name string, weight float64) *node {
	return &node{name: name, weight: weight, children: map[string]*node{}}
}

func (n *node) child(name string, weight float64) *node {
	c, ok := n.children[name]
	if !ok {
		c = newNode(name, weight)
		c.virtualTime = n.virtualClock
		n.children[name] = c
	}
	c.weight = weight
	return c
}

// activate advances an idle child to the virtual clock of its parent, so that its
// idle time earns it neither a credit nor a penalty.
func (n *node) activate(c *node) {
	if c.queued == 0 && c.inFlight == 0 {
		c.virtualTime = max(c.virtualTime, n.virtualClock)
	}
}

// Queue is the fair queue of one instance. It divides slot time by weight between
// classes, then between the client accounts of a class, then between the callers of an
// account.
type Queue struct {
	root      *node
	limit     int // maximum number of queued tickets
	slotTimes map[string]*slotTimeAverage
	inFlight  map[*Ticket]bool
}

// NewQueue returns an empty queue for up to limit tickets.
func NewQueue(limit int) *Queue {
	q := &Queue{root: newNode("", 1), limit: limit, slotTimes: map[string]*slotTimeAverage{}, inFlight: map[*Ticket]bool{}}
	for _, c := range hfconfig.Classes() {
		q.root.child(string(c), c.Share())
	}
	return q
}

// Len returns the number of queued tickets.
func (q *Queue) Len() int { return q.root.queued }

// InFlight returns the number of requests in flight.
func (q *Queue) InFlight() int { return len(q.inFlight) }

// path returns the nodes of a ticket: root, class, account and caller.
func (q *Queue) path(t *Ticket) [4]*node {
	class := q.root.child(string(t.class), t.class.Share())
	account := class.child(t.account, float64(t.weight))
	caller := account.child(t.caller, 1)
	return [4]*node{q.root, class, account, caller}
}

// Push adds a ticket. If the queue is full, it evicts another ticket, or returns false
// if none may be evicted in favour of the new one.
func (q *Queue) Push(t *Ticket) bool {
	if q.root.queued >= q.limit && !q.evict(t) {
		return false
	}
	t.cost = q.ExpectedSlotTime(t.work).Seconds()
	path := q.path(t)
	for i := 1; i < len(path); i++ {
		path[i-1].activate(path[i])
	}
	for _, n := range path {
		n.queued++
	}
	caller := path[3]
	caller.tickets = append(caller.tickets, t)
	return true
}

// evict removes a ticket in favour of a new one. The class with the most queued tickets
// for its share loses one to a class with fewer; within a class, the caller with the
// most tickets loses one to a caller with fewer. A flood of one class thus leaves the
// other classes their share of the queue.
func (q *Queue) evict(t *Ticket) bool {
	path := q.path(t)
	fullest := q.mostOverShare()
	longest := longestCaller(fullest)
	if longest == nil {
		return false
	}
	if fullest == path[1] && len(longest.tickets) <= len(path[3].tickets)+1 {
		return false
	}
	if fullest != path[1] && float64(path[1].queued+1)/path[1].weight >= float64(fullest.queued)/fullest.weight {
		return false
	}
	victim := longest.tickets[len(longest.tickets)-1]
	longest.tickets = longest.tickets[:len(longest.tickets)-1]
	q.decrementQueued(victim)
	victim.notify(Evicted)
	return true
}

// mostOverShare returns the class with the most queued tickets for its share.
func (q *Queue) mostOverShare() *node {
	var most *node
	for _, c := range hfconfig.Classes() {
		n := q.root.children[string(c)]
		if most == nil || float64(n.queued)/n.weight > float64(most.queued)/most.weight {
			most = n
		}
	}
	return most
}

func longestCaller(class *node) *node {
	var longest *node
	for _, a := range class.children {
		for _, c := range a.children {
			if len(c.tickets) > 0 && (longest == nil || len(c.tickets) > len(longest.tickets)) {
				longest = c
			}
		}
	}
	return longest
}

func (q *Queue) decrementQueued(t *Ticket) {
	for _, n := range q.path(t) {
		n.queued--
	}
}

// Remove removes the ticket of a caller that disconnected. It returns false if the
// ticket is no longer queued.
func (q *Queue) Remove(t *Ticket) bool {
	caller := q.path(t)[3]
	for i, o := range caller.tickets {
		if o == t {
			caller.tickets = append(caller.tickets[:i], caller.tickets[i+1:]...)
			q.decrementQueued(t)
			return true
		}
	}
	return false
}

// Next removes and returns the next ticket in fair order that may get a slot, or nil.
// free is the number of free slots and total the number of all slots lent to this
// instance. Tickets found that cannot end before their deadline are dropped.
func (q *Queue) Next(free, total int, now time.Time) *Ticket {
	if free <= 0 {
		return nil
	}
	reserved := 0
	if total > 1 {
		reserved = max(1, int(float64(total)*reservedShare))
	}
	return q.nextFrom(q.root, free <= reserved, now)
}

// nextFrom returns the next ticket below a node. It tries the children in the order of
// their virtual time. With idleOnly set, it skips callers that have requests in flight.
func (q *Queue) nextFrom(n *node, idleOnly bool, now time.Time) *Ticket {
	if len(n.children) == 0 {
		return q.popEligible(n, idleOnly, now)
	}
	tried := map[*node]bool{}
	for {
		var best *node
		for _, c := range n.children {
			if c.queued > 0 && !tried[c] && (best == nil || c.virtualTime < best.virtualTime || c.virtualTime == best.virtualTime && c.name < best.name) {
				best = c
			}
		}
		if best == nil {
			return nil
		}
		if t := q.nextFrom(best, idleOnly, now); t != nil {
			n.virtualClock = max(n.virtualClock, best.virtualTime)
			best.virtualTime += t.cost / best.weight
			best.inFlight++
			best.queued--
			if n == q.root {
				n.queued--
				n.inFlight++
				t.startedAt = now
				q.inFlight[t] = true
			}
			return t
		}
		tried[best] = true
	}
}

// popEligible removes and returns the oldest ticket of a caller, unless the caller or
// its account may not get a slot now. It drops tickets that cannot end before their deadline.
func (q *Queue) popEligible(caller *node, idleOnly bool, now time.Time) *Ticket {
	for len(caller.tickets) > 0 {
		t := caller.tickets[0]
		if q.hopeless(t, now) {
			caller.tickets = caller.tickets[1:]
			q.decrementQueued(t)
			t.notify(Expired)
			continue
		}
		if idleOnly && caller.inFlight > 0 || t.limit > 0 && q.path(t)[2].inFlight >= t.limit {
			return nil
		}
		caller.tickets = caller.tickets[1:]
		return t
	}
	return nil
}

// Finish corrects the slot time charged for a request that has released its slot, and
// updates the average of its kind of work. A request that did not run is not charged.
func (q *Queue) Finish(t *Ticket, ran bool, now time.Time) {
	if !q.inFlight[t] {
		return
	}
	delete(q.inFlight, t)
	used := time.Duration(0)
	if ran {
		used = now.Sub(t.startedAt)
		q.recordSlotTime(t.work, used)
	}
	path := q.path(t)
	for i, n := range path {
		n.inFlight--
		if i > 0 {
			n.virtualTime += (used.Seconds() - t.cost) / n.weight
		}
	}
	q.prune(path)
}

// prune removes callers and accounts without requests, so that memory use is bounded by
// the requests present. A node that is ahead of the virtual clock is kept: removing it
// would reset the slot time that it has used.
func (q *Queue) prune(path [4]*node) {
	for i := 3; i > 1; i-- {
		n := path[i]
		if n.queued == 0 && n.inFlight == 0 && n.virtualTime <= path[i-1].virtualClock {
			delete(path[i-1].children, n.name)
		}
	}
}

// hopelessShare is the part of the shortest recent slot time of its kind that a request must have left before its
// deadline. With less, hardly any ends in time, and a slot is better given to another one; its caller can turn elsewhere
// at once.
const hopelessShare = 0.5

// hopeless reports whether a ticket has too little time left to end before its deadline.
func (q *Queue) hopeless(t *Ticket, now time.Time) bool {
	least := time.Duration(0)
	if average, ok := q.slotTimes[t.work]; ok {
		least = time.Duration(hopelessShare * float64(slices.Min(average.recent)))
	}
	return !now.Add(least).Before(t.deadline)
}

// Sweep drops tickets that cannot end before their deadline and removes idle callers and accounts.
func (q *Queue) Sweep(now time.Time) {
	for _, class := range q.root.children {
		for accountName, account := range class.children {
			for callerName, caller := range account.children {
				q.sweepCaller(caller, now)
				if caller.queued == 0 && caller.inFlight == 0 && caller.virtualTime <= account.virtualClock {
					delete(account.children, callerName)
				}
			}
			if account.queued == 0 && account.inFlight == 0 && len(account.children) == 0 && account.virtualTime <= class.virtualClock {
				delete(class.children, accountName)
			}
		}
	}
}

func (q *Queue) sweepCaller(caller *node, now time.Time) {
	kept := caller.tickets[:0]
	for _, t := range caller.tickets {
		if !q.hopeless(t, now) {
			kept = append(kept, t)
			continue
		}
		q.decrementQueued(t)
		t.notify(Expired)
	}
	caller.tickets = kept
}

// Demand counts the queued requests of one class and account.
type Demand struct {
	class   string
	account string
	callers int
	wanted  int
}

// Class returns the class.
func (d Demand) Class() string { return d.class }

// Account returns the account.
func (d Demand) Account() string { return d.account }

// Callers returns the number of callers with queued requests.
func (d Demand) Callers() int { return d.callers }

// Wanted returns the number of queued requests.
func (d Demand) Wanted() int { return d.wanted }

// Demand returns the queued requests by class and account.
func (q *Queue) Demand() []Demand {
	var list []Demand
	for className, class := range q.root.children {
		for accountName, account := range class.children {
			if account.queued == 0 {
				continue
			}
			d := Demand{class: className, account: accountName, wanted: account.queued}
			for _, caller := range account.children {
				if caller.queued > 0 {
					d.callers++
				}
			}
			list = append(list, d)
		}
	}
	return list
}

// Check returns ErrQueue if the counts are inconsistent.
func (q *Queue) Check() error {
	if err := checkNode(q.root); err != nil {
		return fmt.Errorf("queue: %w", err)
	}
	if q.root.inFlight != len(q.inFlight) {
		return fmt.Errorf("%w: %d requests in flight, but %d counted", ErrQueue, len(q.inFlight), q.root.inFlight)
	}
	if q.root.queued > q.limit {
		return fmt.Errorf("%w: %d queued tickets exceed the limit of %d", ErrQueue, q.root.queued, q.limit)
	}
	return nil
}

func checkNode(n *node) error {
	if len(n.children) == 0 {
		if n.queued != len(n.tickets) {
			return fmt.Errorf("%w: %q counts %d queued tickets but holds %d", ErrQueue, n.name, n.queued, len(n.tickets))
		}
		return nil
	}
	queued, inFlight := 0, 0
	for _, c := range n.children {
		queued += c.queued
		inFlight += c.inFlight
		if err := checkNode(c); err != nil {
			return fmt.Errorf("%q: %w", n.name, err)
		}
	}
	if queued != n.queued || inFlight != n.inFlight {
		return fmt.Errorf("%w: %q counts %d queued and %d in flight, its children %d and %d", ErrQueue, n.name, n.queued, n.inFlight, queued, inFlight)
	}
	return nil
}
