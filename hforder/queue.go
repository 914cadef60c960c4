package hforder

import (
	"cmp"
	"slices"
	"time"

	"github.com/heatherfront/heatherfront/hfplan"
	"github.com/heatherfront/heatherfront/hfwork"
)

const (
	// gangTimeout is the time for which a member of a gang waits for the others, as stated by
	// the platform's operators.
	gangTimeout = 3 * time.Second

	// startQueueTimeout is the time after which a queued start is refused. With its retries a
	// start is thus sent within gangTimeout or not at all.
	startQueueTimeout = gangTimeout - orderTimeout
)

// order is a queued order. Exactly one of start, stop and pace is set.
type order struct {
	start *hfplan.StartCmd
	stop  *hfplan.StopCmd
	pace  *hfplan.PaceCmd

	withdrawn  *hfplan.StartCmd // for a stop: the start of its run, which was queued and is not sent
	sendBefore time.Time        // for a start: when it is refused
	doubtful   bool             // its worker did not answer the last order; set when it is sent
	sequence   uint64           // position in which it was queued, over all workers
}

// runID identifies a run on a worker.
type runID struct {
	task   hfwork.TaskID
	number int64
}

// startState is the state of a start that is being sent.
type startState int

const (
	startSending startState = iota
	startEnding             // a stop of the run is queued; the start must not be sent again
)

// orderQueue holds the orders for one worker that were not sent yet. No start is sent after a
// stop of its run was added, and no stop while a start of its run may still be sent.
type orderQueue struct {
	orders   []order
	starting map[runID]startState // starts that next has returned and that have not finished
}

// add adds an order. Stops and paces go before starts because they free resources. A stop
// withdraws the start of its run: the start leaves the queue, or ends its retries if it is
// being sent. A stop that is queued already moves to the front.
func (q *orderQueue) add(o order, now time.Time) {
	switch {
	case o.start != nil:
		o.sendBefore = now.Add(startQueueTimeout)
		q.orders = append(q.orders, o)
		return
	case o.stop != nil:
		id := stopID(*o.stop)
		if _, sending := q.starting[id]; sending {
			q.starting[id] = startEnding
		}
		if i := slices.IndexFunc(q.orders, func(other order) bool {
			return other.start != nil && startID(*other.start) == id || other.stop != nil && stopID(*other.stop) == id
		}); i >= 0 {
			// The start itself, or the start that the queued stop withdrew.
			o.withdrawn = cmp.Or(q.orders[i].start, q.orders[i].withdrawn)
			q.orders = slices.Delete(q.orders, i, i+1)
		}
	}
	q.orders = slices.Insert(q.orders, 0, o)
}

// first returns the index and class of the order that is to be sent next: the first one of the
// lowest class that may be sent. The index is -1 if there is none.
func (q *orderQueue) first(class func(*order) orderClass) (int, orderClass) {
	best, bestClass := -1, orderClass(0)
	for i := range q.orders {
		o := &q.orders[i]
		if o.stop != nil {
			if _, sending := q.starting[stopID(*o.stop)]; sending {
				continue
			}
		}
		if c := class(o); best < 0 || c < bestClass {
			best, bestClass = i, c
		}
		if bestClass == classRelease {
			break
		}
	}
	return best, bestClass
}

// next removes and returns the order that is to be sent next. A start must be finished with
// finish.
func (q *orderQueue) next(class func(*order) orderClass) (order, bool) {
	i, _ := q.first(class)
	if i < 0 {
		return order{}, false
	}
	o := q.orders[i]
	q.orders = slices.Delete(q.orders, i, i+1)
	if o.start != nil {
		if q.starting == nil {
			q.starting = map[runID]startState{}
		}
		q.starting[startID(*o.start)] = startSending
	}
	return o, true
}

// maySend reports whether a start that next has returned may be sent, or sent again.
func (q *orderQueue) maySend(c hfplan.StartCmd) bool {
	state, sending := q.starting[startID(c)]
	return sending && state == startSending
}

// finish tells that a start will not be sent again.
func (q *orderQueue) finish(c hfplan.StartCmd) { delete(q.starting, startID(c)) }

func stopID(c hfplan.StopCmd) runID { return runID{task: c.Task(), number: c.Number()} }

func startID(c hfplan.StartCmd) runID { return runID{task: c.Task(), number: c.Number()} }
