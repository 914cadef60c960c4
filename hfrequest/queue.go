// Package hfrequest decides about callers' requests: in which order they get
// slots, which are refused early, what an attempt proves, and whether it may be
// made again.
package hfrequest

import (
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/heatherfront/heatherfront/hfconfig"
	"github.com/heatherfront/heatherfront/hfendpoint"
)

// ErrQueue reports a broken invariant of the queue.
var ErrQueue = eris.New("request queue inconsistent")

// reserveShare is the part of the slots that only callers without a request in
// flight may take, so that a newcomer does not wait for a long request to end. At
// least one slot is reserved when there are two or more.
const reserveShare = 0.05

// Ticket is one request that waits or runs.
type Ticket struct {
	id       string
	class    hfconfig.Class
	account  string
	caller   string
	work     string
	deadline time.Time
	weight   int     // of the account
	limit    int     // most requests of the account in flight here; 0: no limit
	cost     float64 // expected slot time in seconds; corrected when the request ends
	began    time.Time
	avoid    map[string]bool     // endpoints tried before
	endpoint hfendpoint.Endpoint // where it goes, once its turn has come
	ready    func(Verdict)
}

// Verdict is what becomes of a ticket in the queue.
type Verdict int

// The verdicts.
const (
	Go      Verdict = iota // a slot is free
	Evicted                // a caller with less work took its place
	Late                   // its deadline passed while it waited
)

// NewTicket returns a ticket. ready is called once, when its turn comes or it is
// dropped; it must not block or call the queue.
func NewTicket(id string, class hfconfig.Class, account, caller, work string, deadline time.Time, weight, limit int, ready func(Verdict)) *Ticket {
	return &Ticket{
		id: id, class: class, account: account, caller: caller, work: work,
		deadline: deadline, weight: max(weight, 1), limit: limit, ready: ready,
	}
}

// ID returns the request's id.
func (t *Ticket) ID() string { return t.id }

// node is a class, an account of a class, or a caller of an account. Children are
// served in the order of virtual time, which is slot time divided by weight.
type node struct {
	name     string
	weight   float64
	virtual  float64 // slot time received, divided by weight, in seconds
	floor    float64 // virtual time of the child served last; a child that wakes starts here
	children map[string]*node
	tickets  []*Ticket // of a caller, oldest first
	queued   int       // tickets below
	flying   int       // requests in flight below
}

func newNode(name string, weight float64) *node {
	return &node{name: name, weight: weight, children: map[string]*node{}}
}

func (n *node) child(name string, weight float64) *node {
	c, ok := n.children[name]
	if !ok {
		c = newNode(name, weight)
		c.virtual = n.floor
		n.children[name] = c
	}
	c.weight = weight
	return c
}

// wake lets a child that had no work start at the floor, so that it neither
// catches up for its idle time nor is punished for it.
func (n *node) wake(c *node) {
	if c.queued == 0 && c.flying == 0 {
		c.virtual = max(c.virtual, n.floor)
	}
}

// Queue orders the requests of one instance: by class, then client account, then
// caller, each by the slot time that it received for its weight.
type Queue struct {
	root   *node
	limit  int // most tickets that wait
	costs  map[string]*cost
	flying map[*Ticket]bool
}

// NewQueue returns an empty queue that holds up to limit tickets.
func NewQueue(limit int) *Queue {
	q := &Queue{root: newNode("", 1), limit: limit, costs: map[string]*cost{}, flying: map[*Ticket]bool{}}
	for _, c := range hfconfig.Classes() {
		q.root.child(string(c), c.Share())
	}
	return q
}

// Len returns the number of tickets that wait.
func (q *Queue) Len() int { return q.root.queued }

// Flying returns the number of requests in flight.
func (q *Queue) Flying() int { return len(q.flying) }

// path returns the nodes of a ticket from the root down.
func (q *Queue) path(t *Ticket) [4]*node {
	class := q.root.child(string(t.class), t.class.Share())
	account := class.child(t.account, float64(t.weight))
	caller := account.child(t.caller, 1)
	return [4]*node{q.root, class, account, caller}
}

// Push adds a ticket. When the queue is full, another one may have to give way. It
// returns false when the new ticket itself has no place.
func (q *Queue) Push(t *Ticket) bool {
	if q.root.queued >= q.limit && !q.evict(t) {
		return false
	}
	t.cost = q.Expected(t.work).Seconds()
	path := q.path(t)
	for i := 1; i < len(path); i++ {
		path[i-1].wake(path[i])
	}
	for _, n := range path {
		n.queued++
	}
	caller := path[3]
	caller.tickets = append(caller.tickets, t)
	return true
}

// evict makes room for a ticket: the class that holds most of the queue for its
// share gives way to one that holds less, and within a class the caller with the
// most tickets to one with fewer. A flood of any class thus leaves the others their
// part of the queue.
func (q *Queue) evict(t *Ticket) bool {
	mine := q.path(t)
	crowded := q.crowded()
	longest := longestCaller(crowded)
	if longest == nil {
		return false
	}
	if crowded == mine[1] && len(longest.tickets) <= len(mine[3].tickets)+1 {
		return false
	}
	if crowded != mine[1] && float64(mine[1].queued+1)/mine[1].weight >= float64(crowded.queued)/crowded.weight {
		return false
	}
	victim := longest.tickets[len(longest.tickets)-1]
	longest.tickets = longest.tickets[:len(longest.tickets)-1]
	q.uncount(victim)
	victim.ready(Evicted)
	return true
}

// crowded returns the class that holds most of the queue for its share.
func (q *Queue) crowded() *node {
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

func (q *Queue) uncount(t *Ticket) {
	for _, n := range q.path(t) {
		n.queued--
	}
}

// Remove takes a ticket out, for a caller that went away. It returns false when
// the ticket no longer waits.
func (q *Queue) Remove(t *Ticket) bool {
	caller := q.path(t)[3]
	for i, o := range caller.tickets {
		if o == t {
			caller.tickets = append(caller.tickets[:i], caller.tickets[i+1:]...)
			q.uncount(t)
			return true
		}
	}
	return false
}

// Next takes out the ticket whose turn it is, if a slot may go to it. free is the
// number of free slots and total the number of all slots lent to this instance.
// Tickets whose deadline has passed are dropped on the way.
func (q *Queue) Next(free, total int, now time.Time) *Ticket {
	if free <= 0 {
		return nil
	}
	reserved := 0
	if total > 1 {
		reserved = max(1, int(float64(total)*reserveShare))
	}
	return q.next(q.root, free <= reserved, now)
}

// next descends to the child with the least virtual time that may be served.
func (q *Queue) next(n *node, onlyNew bool, now time.Time) *Ticket {
	if len(n.children) == 0 {
		return q.take(n, onlyNew, now)
	}
	tried := map[*node]bool{}
	for {
		var best *node
		for _, c := range n.children {
			if c.queued > 0 && !tried[c] && (best == nil || c.virtual < best.virtual || c.virtual == best.virtual && c.name < best.name) {
				best = c
			}
		}
		if best == nil {
			return nil
		}
		if t := q.next(best, onlyNew, now); t != nil {
			n.floor = max(n.floor, best.virtual)
			best.virtual += t.cost / best.weight
			best.flying++
			best.queued--
			if n == q.root {
				n.queued--
				n.flying++
				t.began = now
				q.flying[t] = true
			}
			return t
		}
		tried[best] = true
	}
}

// take removes a caller's oldest ticket that is still in time.
func (q *Queue) take(caller *node, onlyNew bool, now time.Time) *Ticket {
	for len(caller.tickets) > 0 {
		t := caller.tickets[0]
		if !now.Before(t.deadline) {
			caller.tickets = caller.tickets[1:]
			q.uncount(t)
			t.ready(Late)
			continue
		}
		if onlyNew && caller.flying > 0 || t.limit > 0 && q.path(t)[2].flying >= t.limit {
			return nil
		}
		caller.tickets = caller.tickets[1:]
		return t
	}
	return nil
}

// Finish corrects the slot time charged for a request that left its slot and
// learns from it. Slot time of a request that did not run is given back.
func (q *Queue) Finish(t *Ticket, ran bool, now time.Time) {
	if !q.flying[t] {
		return
	}
	delete(q.flying, t)
	used := time.Duration(0)
	if ran {
		used = now.Sub(t.began)
		q.learn(t.work, used)
	}
	path := q.path(t)
	for i, n := range path {
		n.flying--
		if i > 0 {
			n.virtual += (used.Seconds() - t.cost) / n.weight
		}
	}
	q.prune(path)
}

// prune forgets callers and accounts without work, so that memory stays bounded by
// the work present.
func (q *Queue) prune(path [4]*node) {
	for i := 3; i > 1; i-- {
		n := path[i]
		if n.queued == 0 && n.flying == 0 && n.virtual <= path[i-1].floor {
			delete(path[i-1].children, n.name)
		}
	}
}

// Sweep drops tickets whose deadline has passed, and idle callers.
func (q *Queue) Sweep(now time.Time) {
	for _, class := range q.root.children {
		for an, account := range class.children {
			for cn, caller := range account.children {
				q.sweepCaller(caller, now)
				if caller.queued == 0 && caller.flying == 0 && caller.virtual <= account.floor {
					delete(account.children, cn)
				}
			}
			if account.queued == 0 && account.flying == 0 && len(account.children) == 0 && account.virtual <= class.floor {
				delete(class.children, an)
			}
		}
	}
}

func (q *Queue) sweepCaller(caller *node, now time.Time) {
	kept := caller.tickets[:0]
	for _, t := range caller.tickets {
		if now.Before(t.deadline) {
			kept = append(kept, t)
			continue
		}
		q.uncount(t)
		t.ready(Late)
	}
	caller.tickets = kept
}

// Demand is the queued work of one class and account.
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

// Callers returns the callers with work queued.
func (d Demand) Callers() int { return d.callers }

// Wanted returns the requests queued.
func (d Demand) Wanted() int { return d.wanted }

// Demand returns the queued work by class and account.
func (q *Queue) Demand() []Demand {
	var list []Demand
	for cn, class := range q.root.children {
		for an, account := range class.children {
			if account.queued == 0 {
				continue
			}
			d := Demand{class: cn, account: an, wanted: account.queued}
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

// Check returns ErrQueue when the counts do not agree.
func (q *Queue) Check() error {
	if err := checkNode(q.root); err != nil {
		return fmt.Errorf("queue: %w", err)
	}
	if q.root.flying != len(q.flying) {
		return fmt.Errorf("%w: %d in flight, %d counted", ErrQueue, len(q.flying), q.root.flying)
	}
	if q.root.queued > q.limit {
		return fmt.Errorf("%w: %d tickets over the limit of %d", ErrQueue, q.root.queued, q.limit)
	}
	return nil
}

func checkNode(n *node) error {
	if len(n.children) == 0 {
		if n.queued != len(n.tickets) {
			return fmt.Errorf("%w: %s counts %d of %d tickets", ErrQueue, n.name, n.queued, len(n.tickets))
		}
		return nil
	}
	queued, flying := 0, 0
	for _, c := range n.children {
		queued += c.queued
		flying += c.flying
		if err := checkNode(c); err != nil {
			return fmt.Errorf("%q: %w", n.name, err)
		}
	}
	if queued != n.queued || flying != n.flying {
		return fmt.Errorf("%w: %q counts %d queued and %d in flight of %d and %d", ErrQueue, n.name, n.queued, n.flying, queued, flying)
	}
	return nil
}
