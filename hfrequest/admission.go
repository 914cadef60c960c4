package hfrequest

import (
	"time"

	"github.com/heatherfront/heatherfront/hfconfig"
)

const (
	costWeight  = 0.1 // weight of the newest request in an average
	defaultCost = 100 * time.Millisecond
)

// cost is the average slot time of one kind of work.
type cost struct{ seconds float64 }

func (q *Queue) learn(work string, used time.Duration) {
	c, ok := q.costs[work]
	if !ok {
		q.costs[work] = &cost{seconds: used.Seconds()}
		return
	}
	c.seconds += costWeight * (used.Seconds() - c.seconds)
}

// Expected returns the slot time that a request of a kind of work is likely to
// take.
func (q *Queue) Expected(work string) time.Duration {
	if c, ok := q.costs[work]; ok {
		return time.Duration(c.seconds * float64(time.Second))
	}
	return defaultCost
}

// Wait estimates how long a new request would wait: the slot time queued before it
// in fair order, over the slots. It is at most the time to serve the whole queue.
func (q *Queue) Wait(class hfconfig.Class, account, caller string, weight, slots int) time.Duration {
	slots = max(slots, 1)
	c := q.root.children[string(class)]
	if c == nil || c.queued == 0 {
		return 0
	}
	total := queuedCost(c)
	share := class.Share() / activeShares(q.root)
	a := c.children[account]
	if a == nil || a.queued == 0 {
		return scaled(total/float64(1+active(c)), share, slots)
	}
	own := 0.0
	if o := a.children[caller]; o != nil {
		own = nodeCost(o)
	}
	behind := min(own*float64(active(a))*max(activeWeights(c), 1)/float64(max(weight, 1)), total)
	return scaled(behind, share, slots)
}

func scaled(seconds, share float64, slots int) time.Duration {
	return time.Duration(seconds / share / float64(slots) * float64(time.Second))
}

func active(n *node) int {
	count := 0
	for _, c := range n.children {
		if c.queued > 0 {
			count++
		}
	}
	return count
}

func activeShares(root *node) float64 {
	return max(activeWeights(root), leastShare)
}

// leastShare keeps a division by the shares of active classes defined.
const leastShare = 0.01

// activeWeights sums the weights of the children with work queued.
func activeWeights(n *node) float64 {
	sum := 0.0
	for _, c := range n.children {
		if c.queued > 0 {
			sum += c.weight
		}
	}
	return sum
}

func nodeCost(caller *node) float64 {
	sum := 0.0
	for _, t := range caller.tickets {
		sum += t.cost
	}
	return sum
}

func queuedCost(class *node) float64 {
	sum := 0.0
	for _, a := range class.children {
		for _, c := range a.children {
			sum += nodeCost(c)
		}
	}
	return sum
}
