package hfcost_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/heatherfront/heatherfront/hfcost"
)

var start = time.Unix(1_000_000, 0)

// seconds draws a time of up to a number of seconds.
func seconds(t *rapid.T, most int, label string) time.Duration {
	return time.Duration(rapid.IntRange(0, most*10).Draw(t, label)) * time.Second / 10
}

// drawClaim draws a claim that was handed in within the last 40 s.
func drawClaim(t *rapid.T) hfcost.Claim {
	chain := 100*time.Millisecond + seconds(t, 20, "chain")
	c := hfcost.NewClaim(uint32(rapid.IntRange(0, 2).Draw(t, "priority")), start.Add(-seconds(t, 40, "age")), float64(rapid.IntRange(1, 4000).Draw(t, "work")))
	if rapid.IntRange(0, 9).Draw(t, "timed") > 0 {
		c = c.WithObjective(hfcost.NewObjective(1.5, 400*time.Millisecond), chain, min(chain, seconds(t, 20, "remaining")))
	}
	return c.Guaranteed(c.Priority() == 0 && rapid.Bool().Draw(t, "guaranteed"))
}

// drawWaiting draws claims of up to four accounts in one pool. Their values are their places in the list.
func drawWaiting(t *rapid.T) []hfcost.Waiting[int] {
	var list []hfcost.Waiting[int]
	for i := range rapid.IntRange(1, 30).Draw(t, "claims") {
		account := fmt.Sprint("a", rapid.IntRange(0, 3).Draw(t, "account"))
		list = append(list, hfcost.NewWaiting(i, drawClaim(t), "pool", account, float64(rapid.IntRange(1, 40).Draw(t, "share"))/100, fmt.Sprintf("j%03d", i), 0))
	}
	return list
}

func values(list []*hfcost.Waiting[int]) []int {
	var v []int
	for _, w := range list {
		v = append(v, w.Value())
	}
	return v
}

// Priorities keep their meaning, guarantees go before other urgent work, and what has lost its objective does not
// go before what can still meet it, but for the one that starves.
func TestNothingOvertakesWhatGoesBeforeIt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := hfcost.Order(drawWaiting(t), hfcost.NewShares(), start)
		firsts := map[uint32]int{}
		for i, a := range list {
			if a.First() {
				firsts[a.Claim().Priority()]++
				require.True(t, a.Claim().Starving(start))
			}
			for _, b := range list[i+1:] {
				require.LessOrEqual(t, a.Claim().Priority(), b.Claim().Priority())
				if a.Claim().Priority() != b.Claim().Priority() {
					continue
				}
				if b.Claim().IsGuaranteed() {
					require.True(t, a.Claim().IsGuaranteed(), "a guarantee goes first")
				}
				if !a.First() && a.Claim().IsGuaranteed() == b.Claim().IsGuaranteed() {
					require.False(t, b.First())
					require.LessOrEqual(t, a.Standing(), b.Standing())
				}
			}
		}
		for priority, n := range firsts {
			require.Equal(t, 1, n, "priority %d", priority)
		}
	})
}

func TestOrderDoesNotDependOnThatOfTheList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := drawWaiting(t)
		other := rapid.Permutation(list).Draw(t, "other")
		require.Equal(t, values(hfcost.Order(list, hfcost.NewShares(), start)), values(hfcost.Order(other, hfcost.NewShares(), start)))
	})
}

// Among the claims of one account with the same standing, no delay costs more for each core-second than that of one
// that goes before it. What a delay costs is measured here, by drawn waits.
func TestDelayingTheCheaperNeverCostsMore(t *testing.T) {
	const draws, typical = 4000, 3 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		var list []hfcost.Waiting[int]
		var lossy []func(wait time.Duration) bool
		var work []float64
		for i := range 2 {
			chain := time.Second + seconds(t, 10, "chain")
			received := start.Add(-seconds(t, 7, "age"))
			w := float64(rapid.IntRange(1, 400).Draw(t, "work"))
			// Both have 3 s to go, so that a typical wait is 3 s.
			c := hfcost.NewClaim(1, received, w).WithObjective(hfcost.NewObjective(2, time.Second), chain, typical)
			due := received.Add(2*chain + time.Second)
			lossy = append(lossy, func(wait time.Duration) bool { return start.Add(wait + typical).After(due) })
			work = append(work, w)
			list = append(list, hfcost.NewWaiting(i, c, "pool", "a", 0, fmt.Sprint(i), 0))
		}
		order := hfcost.Order(list, hfcost.NewShares(), start)
		if order[0].Standing() != hfcost.OnTime || order[1].Standing() != hfcost.OnTime {
			return
		}
		random := rand.New(rand.NewPCG(1, 20261207))
		var lost [2]float64
		for range draws {
			wait := time.Duration(random.ExpFloat64() * float64(typical))
			for i := range lost {
				if lossy[i](wait) {
					lost[i] += 1.0 / draws
				}
			}
		}
		// Costs below a twentieth count as one, since declared run times are too rough to tell them apart.
		rate := func(i int) float64 { return max(lost[i], 0.05) / work[i] }
		before, after := order[0].Value(), order[1].Value()
		const fourDeviations = 4 * 0.5 / 63 // of a share of 4000 draws
		require.GreaterOrEqual(t, rate(before), rate(after)-fourDeviations*(1/work[before]+1/work[after]))
	})
}

// serveOverload serves claims with several servers, in order, with twice the load that they can serve. It checks that
// only the oldest starving claim goes first, and the bound: once a claim starves, it waits for those that go first
// before it, each of them for a server and for its own length, and then for a server.
func serveOverload(t *rapid.T, seed uint64) {
	const servers, longest, step, played = 4, 2200 * time.Millisecond, 50 * time.Millisecond, 80 * time.Second
	type job struct {
		claim  hfcost.Claim
		length time.Duration
		id     string
		ahead  int // that went first since it starves
	}
	random := rand.New(rand.NewPCG(seed, 20261207))
	var waiting []*job
	var busy [servers]time.Time // until when
	var rescued time.Time       // until when the last one that went first is served
	next, rescues := 0, 0
	for now := start; now.Sub(start) < played; now = now.Add(step) {
		if random.IntN(3) == 0 { // one every 0.15 s, of 1.2 s on average: twice what four servers can do
			length := 200*time.Millisecond + time.Duration(random.Int64N(int64(longest-200*time.Millisecond)))
			c := hfcost.NewClaim(0, now, length.Seconds()*float64(1+random.IntN(50))).WithObjective(hfcost.NewObjective(1.5, 400*time.Millisecond), length, length)
			waiting = append(waiting, &job{claim: c, length: length, id: fmt.Sprintf("j%06d", next)})
			next++
		}
		for i := range busy {
			if busy[i].After(now) || len(waiting) == 0 {
				continue
			}
			var list []hfcost.Waiting[int]
			for k, j := range waiting {
				list = append(list, hfcost.NewWaiting(k, j.claim, "pool", "a", 0.1, j.id, 0))
			}
			shares := hfcost.NewShares()
			if rescued.After(now) {
				shares.Rescue(hfcost.NewClass("pool", 0))
			}
			best := hfcost.Order(list, shares, now)[0]
			served := waiting[best.Value()]
			waiting = slices.Delete(waiting, best.Value(), best.Value()+1)
			busy[i] = now.Add(served.length)
			require.LessOrEqual(t, now.Sub(served.claim.Received()), served.claim.Patience()+time.Duration(served.ahead)*2*(longest+step)+2*longest+2*step)
			if !best.First() {
				continue
			}
			rescues++
			rescued = busy[i]
			for _, j := range waiting {
				if j.claim.Starving(now) {
					require.True(t, j.claim.Received().Compare(served.claim.Received()) >= 0, "an older one starves")
					j.ahead++
				}
			}
		}
	}
	for _, j := range waiting {
		require.LessOrEqual(t, start.Add(played).Sub(j.claim.Received()), j.claim.Patience()+time.Duration(j.ahead)*2*(longest+step)+2*longest+2*step)
	}
	require.Positive(t, rescues)
}

// Nobody is overtaken for longer than its patience, but by those that starve since before.
func TestNobodyStarvesUnderTwiceTheLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { serveOverload(t, rapid.Uint64Range(0, 1<<20).Draw(t, "seed")) })
}

// While one that starved is at work, the room goes to those that can meet their objective.
func TestOneStarvingJobAtATime(t *testing.T) {
	objective := hfcost.NewObjective(1.5, 400*time.Millisecond)
	list := func() []hfcost.Waiting[int] {
		var l []hfcost.Waiting[int]
		for i, age := range []time.Duration{time.Second, 50 * time.Second, 60 * time.Second} {
			l = append(l, hfcost.NewWaiting(i, hfcost.NewClaim(0, start.Add(-age), 10).WithObjective(objective, 2*time.Second, 2*time.Second), "pool", "a", 0.1, fmt.Sprint(i), 0))
		}
		return l
	}
	require.Equal(t, []int{2, 0, 1}, values(hfcost.Order(list(), hfcost.NewShares(), start)), "the oldest one goes first")
	shares := hfcost.NewShares()
	shares.Rescue(hfcost.NewClass("pool", 0))
	require.Equal(t, []int{0, 2, 1}, values(hfcost.Order(list(), shares, start)), "on time first, then age")
}

// A starving claim of many tasks goes first with one of them, and with none while its account uses an equal share.
func TestStarvingClaimGoesFirstForOneTaskWithinItsShare(t *testing.T) {
	objective := hfcost.NewObjective(1.5, 400*time.Millisecond)
	claim := func(age time.Duration, work float64) hfcost.Claim {
		return hfcost.NewClaim(0, start.Add(-age), work).WithObjective(objective, 2*time.Second, 2*time.Second)
	}
	list := func() []hfcost.Waiting[int] {
		return []hfcost.Waiting[int]{
			hfcost.NewWaiting(0, claim(time.Second, 10), "pool", "small", 0.1, "a", 0),
			hfcost.NewWaiting(1, claim(time.Minute, 400), "pool", "giant", 40, "b", 0).InParts(),
			hfcost.NewWaiting(2, claim(50*time.Second, 10), "pool", "small", 0.1, "c", 0),
		}
	}
	order := hfcost.Order(list(), hfcost.NewShares(), start)
	require.Equal(t, []int{1, 0, 2, 1}, values(order), "its other tasks keep their place")
	require.True(t, order[0].IsPart())
	require.False(t, order[3].First())
	shares := hfcost.NewShares()
	shares.Use(hfcost.NewClass("pool", 0), "giant", 0.5)
	require.Equal(t, []int{2, 0, 1}, values(hfcost.Order(list(), shares, start)), "the next one within its share goes first")
}

// However many jobs a large account hands in, a job of another account waits for no more of them than fit into an
// equal share, if they are alike.
func TestSmallAccountsDoNotPayForABurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const share, accounts = 0.05, 2
		jobs := rapid.IntRange(1, 200).Draw(t, "jobs")
		c := hfcost.NewClaim(0, start, 10).WithObjective(hfcost.NewObjective(1.5, 400*time.Millisecond), 2*time.Second, 2*time.Second)
		var list []hfcost.Waiting[int]
		for i := range jobs {
			list = append(list, hfcost.NewWaiting(i, c, "pool", "large", share, fmt.Sprintf("j%03d", i), 0))
		}
		list = append(list, hfcost.NewWaiting(jobs, c, "pool", "small", share, "zz", 0))
		shares := hfcost.NewShares()
		used := float64(rapid.IntRange(0, 10).Draw(t, "used")) / 10
		shares.Use(hfcost.NewClass("pool", 0), "large", used)
		before := slices.Index(values(hfcost.Order(list, shares, start)), jobs)
		require.LessOrEqual(t, float64(before), math.Max(1.0/accounts-used, 0)/share+1.001)
	})
}

// What can't meet its objective any more stops nothing that still can and would not afterwards.
func TestTheLateDoNotDisplaceTheOnTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, victim := drawClaim(t), drawClaim(t)
		if c.IsGuaranteed() || c.Standing(start) == hfcost.OnTime {
			return
		}
		lost, remaining := seconds(t, 10, "lost"), seconds(t, 10, "left")
		h := hfcost.NewHolding(victim, 4, lost, remaining)
		at := func(rest time.Duration) hfcost.Standing { return victim.WithRemaining(rest).Standing(start) }
		if c.MayStop(h, start) && at(remaining) == hfcost.OnTime {
			require.Equal(t, hfcost.OnTime, at(remaining+lost))
		}
	})
}

func TestGuaranteedClaimsMayStopAnything(t *testing.T) {
	objective := hfcost.NewObjective(1.5, 400*time.Millisecond)
	near := hfcost.NewHolding(hfcost.NewClaim(0, start, 10).WithObjective(objective, 2*time.Second, 2*time.Second), 4, time.Second, time.Second)
	late := hfcost.NewClaim(0, start.Add(-5*time.Second), 10).WithObjective(objective, 2*time.Second, 2*time.Second)
	require.False(t, late.MayStop(near, start))
	require.True(t, late.Guaranteed(true).MayStop(near, start))
	far := hfcost.NewHolding(hfcost.NewClaim(0, start, 10).WithObjective(objective, time.Minute, time.Minute), 4, time.Second, time.Second)
	require.True(t, late.MayStop(far, start), "its objective is far")
}

// Without an objective in a class, the least work goes first, whatever accounts use.
func TestClassesWithoutObjectivesGoByWork(t *testing.T) {
	var list []hfcost.Waiting[int]
	for i, work := range []float64{30, 10, 20, 1} {
		list = append(list, hfcost.NewWaiting(i, hfcost.NewClaim(1, start.Add(-time.Duration(i)*time.Hour), work), "pool", "a", 1, fmt.Sprint(i), 0))
	}
	list = append(list, hfcost.NewWaiting(4, hfcost.NewClaim(1, start, 0).Lasting(start), "pool", "a", 1, "4", 0))
	list = append(list, hfcost.NewWaiting(5, hfcost.NewClaim(1, start, 0).Lasting(time.Time{}), "pool", "a", 1, "5", 0))
	require.Equal(t, []int{5, 3, 1, 2, 0, 4}, values(hfcost.Order(list, hfcost.NewShares(), start)))
}

// A refused caller comes back while its job can still meet its objective, those with less time first, and not all at once.
func TestRefusedCallersComeBackInTime(t *testing.T) {
	const room = 10 * time.Second
	objective := hfcost.NewObjective(1.5, 400*time.Millisecond)
	refuse := func(chain time.Duration, id string) time.Duration {
		return hfcost.RetryAfter(hfcost.NewClaim(0, start, 10).WithObjective(objective, chain, chain), id, room, start)
	}
	rapid.Check(t, func(t *rapid.T) {
		id := rapid.String().Draw(t, "id")
		chain := time.Second + seconds(t, 100, "chain")
		after := refuse(chain, id)
		require.GreaterOrEqual(t, after, time.Second)
		require.LessOrEqual(t, after, room)
		require.LessOrEqual(t, after, max(objective.Limit(chain)-chain, time.Second))
		require.LessOrEqual(t, after, refuse(chain+seconds(t, 100, "longer"), id), "who has more time comes back later")
	})
	var early, late int
	for i := range 1000 {
		switch after := refuse(time.Minute, fmt.Sprint(i)); {
		case after < 6*time.Second:
			early++
		case after > 9*time.Second:
			late++
		}
	}
	require.InDelta(t, 200, early, 60)
	require.InDelta(t, 200, late, 60)
	require.Equal(t, room, hfcost.RetryAfter(hfcost.NewClaim(0, start, 10), "a", room, start), "without an objective")
}
