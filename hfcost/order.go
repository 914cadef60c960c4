package hfcost

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Waiting is a claim in the order in which room is given, with the caller's value for it.
type Waiting[T any] struct {
	value   T
	claim   Claim
	class   Class
	account string
	share   float64 // of the pool, that all of it would take
	id      string  // breaks ties
	step    int     // breaks ties
	parts   bool    // can use room for a part of it

	placeable func() bool // whether there could be room for it; nil if there could

	standing Standing
	first    bool    // goes first because it starves
	level    uint64  // what decides before urgency, see setLevel
	overuse  float64 // what its account uses, as a multiple of an equal share; at least 1
	use      *classUse
	used     *float64  // what its account uses
	age      time.Time // when it was received; zero in a class without any objective, where age does not matter
	urgency  float64   // logarithm of its delay cost for each core-second that it needs, over overuse
}

// Class is what competes for the same room at the same priority.
type Class struct {
	pool     string
	priority uint32
}

// NewClass returns a class.
func NewClass(pool string, priority uint32) Class { return Class{pool: pool, priority: priority} }

// NewWaiting returns a claim for the order. share is the part of the pool that all of it would take, and
// id and step break ties.
func NewWaiting[T any](value T, c Claim, pool, account string, share float64, id string, step int) Waiting[T] {
	return Waiting[T]{value: value, claim: c, class: NewClass(pool, c.priority), account: account, share: share, id: id, step: step}
}

// InParts marks a claim of several tasks that can get room one by one. If it starves, only the first of them goes
// before others, and the claim is in the order twice.
func (w Waiting[T]) InParts() Waiting[T] { w.parts = true; return w }

// IfPlaceable lets the claim go first only if there could be room for it. The function is called if the claim starves,
// at most once for each Order.
func (w Waiting[T]) IfPlaceable(placeable func() bool) Waiting[T] {
	w.placeable = placeable
	return w
}

// Value returns the value that was given to NewWaiting.
func (w Waiting[T]) Value() T { return w.value }

// Claim returns the claim.
func (w Waiting[T]) Claim() Claim { return w.claim }

// Standing returns the standing of the claim when it was put in order.
func (w Waiting[T]) Standing() Standing { return w.standing }

// First reports whether the claim goes first because it starves. Of one in parts, this is its first task.
func (w Waiting[T]) First() bool { return w.first }

// IsPart reports whether it is only the first task of a claim, whose others have a place of their own in the order.
func (w Waiting[T]) IsPart() bool { return w.first && w.parts }

// Overuse returns what its account uses of the pool with what goes before the claim, as a multiple of an equal
// share. It is 1 if that is less.
func (w Waiting[T]) Overuse() float64 { return w.overuse }

// Compare orders two claims that were prepared by Order: priority; guaranteed before other urgent work; the
// one that starves; what can still meet its objective, what is still of use, and the rest; lasting tasks that never had
// room, then work that ends, then what lasts; the dearest delay for each core-second; then age, unless the class has no objective; then id.
func Compare[T any](a, b *Waiting[T]) int {
	if c := cmp.Compare(a.level, b.level); c != 0 {
		return c
	}
	if c := cmp.Compare(b.urgency, a.urgency); c != 0 {
		return c
	}
	return cmp.Or(a.claim.lastTurn.Compare(b.claim.lastTurn), a.age.Compare(b.age), cmp.Compare(a.id, b.id), cmp.Compare(a.step, b.step))
}

// setLevel packs what decides before urgency into one number, the first of it highest.
func (w *Waiting[T]) setLevel() {
	level := uint64(w.claim.priority)
	for _, last := range []bool{!w.ahead(), !w.first, w.standing == Overdue, w.standing == Late, !w.claim.neverRan(), w.claim.lasting} {
		level <<= 1
		if last {
			level |= 1
		}
	}
	w.level = level
}

// ahead reports whether a guarantee puts the claim before the others of its priority.
func (w Waiting[T]) ahead() bool { return w.claim.priority == 0 && w.claim.guaranteed }

// Order returns claims so that what costs callers most to delay goes first. shares counts what accounts
// use already; it is left with what they would use in all. A class without any objective is in order of the
// remaining core-seconds, then of the ids.
func Order[T any](list []Waiting[T], shares *Shares, now time.Time) []*Waiting[T] {
	order := make([]*Waiting[T], len(list))
	for i := range list {
		w := &list[i]
		order[i] = w
		w.use = shares.class(w.class)
		w.standing, w.first, w.overuse, w.urgency, w.age = w.claim.Standing(now), false, 1, 0, time.Time{}
		if w.claim.timed() {
			w.use.timed++
			w.use.chains += min(w.claim.remaining, MaxObjective/time.Duration(len(list)))
		}
	}
	for _, w := range order {
		if w.use.timed == 0 {
			continue
		}
		w.age = w.claim.received
		if !w.claim.lasting {
			w.used = w.use.join(w.account)
		}
	}
	order = putStarvingFirst(order, now)
	for _, w := range order {
		if !w.claim.lasting {
			w.urgency = -math.Log(w.claim.work)
		}
		if !w.claim.lasting && w.use.timed > 0 {
			w.urgency += math.Log(max(w.claim.delayCost(w.standing, w.use.typicalWait(), now), leastCost)) // the logarithm, as small costs would all be 0
		}
		w.setLevel()
	}
	slices.SortFunc(order, Compare[T])
	changed := false
	for _, w := range order {
		if w.use.timed == 0 || w.claim.lasting || w.ahead() || w.IsPart() {
			continue
		}
		if w.overuse = w.use.overuse(*w.used); w.overuse > 1 {
			w.urgency -= math.Log(w.overuse)
			changed = true
		}
		*w.used += w.share
	}
	if changed {
		slices.SortFunc(order, Compare[T])
	}
	return order
}

// leastCost is the delay cost that counts at least. Below it, work alone decides: run times are not
// known well enough to tell such costs apart.
const leastCost = 0.05

// putStarvingFirst lets the oldest starving claim of each class go first: one task or one gang at a time, until it has
// ended, and only while its account is below an equal share and there could be room for it. Otherwise a long backlog would turn the order into that
// of arrival, in which all become late, and one large job would take all room.
func putStarvingFirst[T any](list []*Waiting[T], now time.Time) []*Waiting[T] {
	var starving []*Waiting[T]
	for _, w := range list {
		if !w.ahead() && !w.use.rescuing && w.claim.Starving(now) && w.use.belowShare(w.account) {
			starving = append(starving, w)
		}
	}
	slices.SortFunc(starving, compareAge[T])
	chosen := map[*classUse]bool{}
	for _, w := range starving {
		if chosen[w.use] || w.placeable != nil && !w.placeable() {
			continue
		}
		chosen[w.use] = true
		if w.parts {
			part := *w
			w = &part
			list = append(list, w)
		}
		w.first = true
	}
	return list
}

// compareAge orders claims by age, the oldest first.
func compareAge[T any](a, b *Waiting[T]) int {
	return cmp.Or(a.claim.received.Compare(b.claim.received), cmp.Compare(a.id, b.id), cmp.Compare(a.step, b.step))
}
