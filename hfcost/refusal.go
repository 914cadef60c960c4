package hfcost

import (
	"hash/fnv"
	"math"
	"time"
)

// minRetryAfter is the shortest time after which a refused caller is asked back: the resolution of what callers are told.
const minRetryAfter = time.Second

// RetryAfter returns after which time the caller of a job that was refused for want of room should come back. room is when
// room is expected. A claim that can meet its objective comes back while it still can, so that urgent callers come
// before those who have time. The id spreads those who are refused together over half of the time. It
// returns room for a claim without an objective.
func RetryAfter(c Claim, id string, room time.Duration, now time.Time) time.Duration {
	if !c.timed() {
		return room
	}
	latest := min(room, max(c.slack(now, 1), minRetryAfter))
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // never fails
	return max(minRetryAfter, latest-time.Duration(float64(latest)/2*float64(h.Sum32())/math.MaxUint32))
}
