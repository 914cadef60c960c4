package hfplan

import (
	"cmp"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hfwork"
)

var contentionSeeds = flag.Uint64("contentionseeds", 3, "number of worlds of each load in TestWhatContentionCosts")

// caller is the job of one caller in a world with too little room.
type caller struct {
	id, account string
	kind        int // index of the queue
	from        time.Time
	objective   time.Duration // by the actual run time
	work        float64       // actual core-seconds
	took        time.Duration // 0 until it has ended
}

// contention is a load that competes for too little room.
type contention struct {
	name    string
	rates   [3]float64 // jobs a second by priority
	burst   int        // priority whose rate is several times as high from 5 s to 12 s
	factor  float64    // of the burst
	large   float64    // share of the jobs that the largest account hands in
	seconds int
}

var contentions = []contention{
	{name: "a burst of short urgent jobs over a full fleet", rates: [3]float64{1.2, 0.1, 0.05}, burst: 0, factor: 5, large: 0.2, seconds: 30},
	{name: "a few large accounts", rates: [3]float64{2.5, 0.05, 0.05}, burst: 0, factor: 3, large: 0.8, seconds: 30},
	{name: "long jobs near their objective", rates: [3]float64{1, 0.2, 0.05}, burst: 1, factor: 3, large: 0.2, seconds: 30},
	{name: "an outage just over", rates: [3]float64{1.2, 0.1, 0.05}, burst: -1, factor: 1, large: 0.2, seconds: 30},
}

// contentionResult is what callers got.
type contentionResult struct {
	asked, onTime, late [3]int
	small, smallOnTime  int    // urgent jobs of all accounts but the largest
	largest, ofUse      [3]int // the largest tenth of each kind, and of these those that ended while of use
	thrownAway          float64
}

func (r *contentionResult) add(o contentionResult) {
	for k := range r.asked {
		r.asked[k] += o.asked[k]
		r.onTime[k] += o.onTime[k]
		r.late[k] += o.late[k]
		r.largest[k] += o.largest[k]
		r.ofUse[k] += o.ofUse[k]
	}
	r.small, r.smallOnTime = r.small+o.small, r.smallOnTime+o.smallOnTime
	r.thrownAway += o.thrownAway
}

func (r contentionResult) String() string {
	return fmt.Sprintf("on time, late, lost: urgent %d %d %d of %d; usual %d %d %d of %d; spare %d %d %d of %d; urgent of small accounts %d of %d; largest tenth of urgent of use %d of %d; thrown away %.0f core-seconds",
		r.onTime[0], r.late[0], r.asked[0]-r.onTime[0]-r.late[0], r.asked[0], r.onTime[1], r.late[1], r.asked[1]-r.onTime[1]-r.late[1], r.asked[1],
		r.onTime[2], r.late[2], r.asked[2]-r.onTime[2]-r.late[2], r.asked[2], r.smallOnTime, r.small, r.ofUse[0], r.largest[0], r.thrownAway)
}

// play plays a load in an order.
func (c contention) play(t worldTest, seed uint64, order Order) contentionResult {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 20261207))
	w := newWorld(t, 3, 4)
	w.order = order
	w.policy.Accounts = nil
	for k, objective := range []int64{400, 1200, 3000} {
		w.policy.Queues[k].Stretch, w.policy.Queues[k].Objective = 1.5, objective
	}
	w.replaceScheduler()
	w.advance(time.Second)
	var callers []*caller
	hand := func(kind int) {
		account := "large"
		if random.Float64() >= c.large {
			account = fmt.Sprint("small", random.IntN(9))
		}
		var step *hfwork.Step
		switch kind {
		case 0:
			step = &hfwork.Step{Count: uint32(2 + random.IntN(7)), Cpu: 15_000, Memory: 20_000, Accelerators: int64(1 + random.IntN(3)), Estimate: 1000 + random.Int64N(2200)}
		case 1:
			step = &hfwork.Step{Count: uint32(4 + random.IntN(10)), Cpu: 30_000, Memory: 40_000, Accelerators: int64(1 + random.IntN(4)), Estimate: 5000 + random.Int64N(8000), Gang: random.IntN(2) == 0}
		default:
			step = &hfwork.Step{Count: uint32(10 + random.IntN(30)), Cpu: 11_000, Memory: 10_000, Accelerators: 1, Estimate: 4000 + random.Int64N(5000), Saves: random.IntN(2) == 0}
		}
		if random.IntN(10) == 0 {
			step.Count *= 2
		}
		id := fmt.Sprintf("j%04d", random.IntN(10000)+10000*len(callers))
		declared := time.Duration(step.GetEstimate()) * time.Millisecond
		actual := time.Duration(float64(declared) * (0.55 + 1.35*random.Float64()))
		objective := time.Duration(1.5*float64(actual)) + time.Duration(w.policy.Queues[kind].GetObjective())*time.Millisecond
		callers = append(callers, &caller{id: id, account: account, kind: kind, from: w.now, objective: objective, work: actual.Seconds() * float64(step.GetCount()) * deskCores(step)})
		if random.IntN(33) == 0 {
			actual *= 7
		}
		w.durations[id] = actual
		w.submitFor(account, id, w.policy.Queues[kind].GetName(), step)
	}
	const slice = 50 * time.Millisecond
	for n := range 4 * c.seconds * int(time.Second/slice) {
		w.advance(slice)
		at := time.Duration(n) * slice
		inBurst := at >= 5*time.Second && at < 12*time.Second
		if at < time.Duration(c.seconds)*time.Second {
			for kind, rate := range c.rates {
				if kind == c.burst && inBurst {
					rate *= c.factor
				}
				if c.burst < 0 && inBurst {
					continue // callers come back after the outage
				}
				if c.burst < 0 && at == 12*time.Second {
					for range int(7 * rate) {
						hand(kind)
					}
				}
				if random.Float64() < rate*slice.Seconds() {
					hand(kind)
				}
			}
		}
		for _, j := range callers {
			if j.took == 0 && w.state(j.id) == hfwork.StateCompleted {
				j.took = w.now.Sub(j.from)
			}
		}
	}
	result := contentionResult{thrownAway: w.thrownAway}
	for _, j := range callers {
		result.asked[j.kind]++
		onTime := j.took > 0 && j.took <= j.objective
		switch {
		case onTime:
			result.onTime[j.kind]++
		case j.took > 0 && j.took <= overdueObjectives*j.objective:
			result.late[j.kind]++
		}
		if j.kind == 0 && j.account != "large" {
			result.small++
			if onTime {
				result.smallOnTime++
			}
		}
	}
	for kind := range result.largest {
		alike := slices.DeleteFunc(slices.Clone(callers), func(j *caller) bool { return j.kind != kind })
		slices.SortFunc(alike, func(a, b *caller) int { return cmp.Compare(b.work, a.work) })
		for _, j := range alike[:(len(alike)+9)/10] {
			result.largest[kind]++
			if j.took > 0 && j.took <= overdueObjectives*j.objective {
				result.ofUse[kind]++
			}
		}
	}
	return result
}

const overdueObjectives = 3

// deskCores returns the cores of a task, with accelerators as cores.
func deskCores(s *hfwork.Step) float64 {
	return float64(s.GetCpu())/1000 + 8*float64(s.GetAccelerators())
}

// The operators' page asks that the largest tenth of a kind is served at least half as often as the whole kind. It is
// counted over several worlds, as one has few jobs of a kind.
func TestLargestTenthIsServedHalfAsOftenAtLeast(t *testing.T) {
	const fewJobs = 100 // below them, a tenth is too few to tell
	for _, c := range contentions {
		t.Run(c.name, func(t *testing.T) {
			var sum contentionResult
			for seed := range uint64(8) {
				sum.add(c.play(t, seed, ByCost))
			}
			for kind, asked := range sum.asked {
				if asked < fewJobs {
					continue
				}
				all, largest := float64(sum.onTime[kind]+sum.late[kind])/float64(asked), float64(sum.ofUse[kind])/float64(sum.largest[kind])
				require.GreaterOrEqual(t, largest, all/2, "priority %d", kind)
			}
		})
	}
}

// TestWhatContentionCosts prints what callers got in both orders.
func TestWhatContentionCosts(t *testing.T) {
	for _, c := range contentions {
		t.Run(c.name, func(t *testing.T) {
			for _, order := range Orders() {
				var sum contentionResult
				for seed := range *contentionSeeds {
					sum.add(c.play(t, seed, order))
				}
				t.Logf("%s: %v", order, sum)
			}
		})
	}
}
