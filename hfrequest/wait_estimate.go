package hfrequest

import (
	"time"

	"github.com/heatherfront/heatherfront/hfconfig"
)

const (
	slotTimeSmoothing = 0.1 // weight of the newest request in the slot time average
	defaultSlotTime   = 100 * time.Millisecond
	recentSlotTimes   = 16 // requests of a kind of which the shortest slot time is known
)

// slotTimeAverage is the exponential moving average of the slot time of one kind of
// work, and its latest slot times.
type slotTimeAverage struct {
	seconds float64
	recent  []time.Duration // up to recentSlotTimes
	next    int             // index in recent of the next one
}

func (a *slotTimeAverage) add(used time.Duration) {
	if len(a.recent) < recentSlotTimes {
		a.recent = append(a.recent, used)
		return
	}
	a.recent[a.next] = used
	a.next = (a.next + 1) % recentSlotTimes
}

func (q *Queue) recordSlotTime(work string, used time.Duration) {
	average, ok := q.slotTimes[work]
	if !ok {
		average = &slotTimeAverage{seconds: used.Seconds()}
		q.slotTimes[work] = average
	}
	average.add(used)
	average.seconds += slotTimeSmoothing * (used.Seconds() - average.seconds)
}

// ExpectedSlotTime returns the average slot time of a kind of work, or a default if no
// request of it has run.
func (q *Queue) ExpectedSlotTime(work string) time.Duration {
	if average, ok := q.slotTimes[work]; ok {
		return time.Duration(average.seconds * float64(time.Second))
	}
	return defaultSlotTime
}

// EstimateWait estimates how long a new request would be queued: the slot time of its
// class that is ahead of it in fair order, divided by the slots that the class gets. It
// is at most the time to serve all queued requests of the class.
func (q *Queue) EstimateWait(class hfconfig.Class, account, caller string, weight, slots int) time.Duration {
	slots = max(slots, 1)
	c := q.root.children[string(class)]
	if c == nil || c.queued == 0 {
		return 0
	}
	total := classCost(c)
	share := class.Share() / activeClassShares(q.root)
	a := c.children[account]
	if a == nil || a.queued == 0 {
		return drainTime(total/float64(1+activeChildren(c)), share, slots)
	}
	own := 0.0
	if o := a.children[caller]; o != nil {
		own = callerCost(o)
	}
	ahead := min(own*float64(activeChildren(a))*max(activeWeights(c), 1)/float64(max(weight, 1)), total)
	return drainTime(ahead, share, slots)
}

func drainTime(seconds, share float64, slots int) time.Duration {
	return time.Duration(seconds / share / float64(slots) * float64(time.Second))
}

func activeChildren(n *node) int {
	count := 0
	for _, c := range n.children {
		if c.queued > 0 {
			count++
		}
	}
	return count
}

func activeClassShares(root *node) float64 {
	return max(activeWeights(root), minActiveShare)
}

// minActiveShare prevents a division by zero when no class has queued requests.
const minActiveShare = 0.01

// activeWeights returns the sum of the weights of the children with queued requests.
func activeWeights(n *node) float64 {
	sum := 0.0
	for _, c := range n.children {
		if c.queued > 0 {
			sum += c.weight
		}
	}
	return sum
}

func callerCost(caller *node) float64 {
	sum := 0.0
	for _, t := range caller.tickets {
		sum += t.cost
	}
	return sum
}

func classCost(class *node) float64 {
	sum := 0.0
	for _, a := range class.children {
		for _, c := range a.children {
			sum += callerCost(c)
		}
	}
	return sum
}
