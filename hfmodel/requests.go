package hfmodel

import (
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/heatherfront/heatherfront/hfconfig"
	"github.com/heatherfront/heatherfront/hfendpoint"
	"github.com/heatherfront/heatherfront/hfrequest"
)

// The price desks' service: 8 instances and 50 minions of 8 slots in three regions.
const (
	modelInstances = 8
	modelMinions   = 50
	modelSlots     = 8
	modelBeat      = 500 * time.Millisecond
	modelWarm      = 4 * time.Second // loans are settled from then on
	retryPause     = 10 * time.Millisecond
	floodFactor    = 20
)

var modelRegions = []string{"one", "two", "three"}

// source is one caller that sends at a steady rate.
type source struct {
	name    string
	account string
	class   hfconfig.Class
	rate    float64       // requests a second over all instances
	service time.Duration // how long a request holds a slot
	pinned  bool          // all requests come to one instance
}

// outcome is what the callers of one source saw.
type outcome struct {
	sent, served int
	latency      []time.Duration
	slotSeconds  float64
}

// shop is the service under one rule of dispatch.
type shop interface {
	offer(instance int, s source, now time.Time)
	step(now time.Time)
	result() map[string]*outcome
	refused() int
}

// play sends the sources' requests for a time, in steps of a millisecond.
func play(x shop, sources []source, length time.Duration, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 3))
	start := time.Unix(1_790_000_000, 0)
	for d := time.Duration(0); d < modelWarm+length; d += time.Millisecond {
		now := start.Add(d)
		if d >= modelWarm {
			for _, s := range sources {
				for n := poisson(r, s.rate/1000); n > 0; n-- {
					instance := r.IntN(modelInstances)
					if s.pinned {
						instance = 0
					}
					x.offer(instance, s, now)
				}
			}
		}
		x.step(now)
	}
}

func poisson(r *rand.Rand, mean float64) int {
	n := 0
	for at := r.ExpFloat64(); at < mean; at += r.ExpFloat64() {
		n++
	}
	return n
}

// flight is a request on an endpoint.
type flight struct {
	end      time.Time
	began    time.Time
	came     time.Time
	src      source
	ticket   *hfrequest.Ticket
	endpoint string
	minion   int // under the plain rule
	instance int
}

// ours is the service with the project's queues, routers and lenders.
type ours struct {
	queues  []*hfrequest.Queue
	routers []*hfendpoint.Router
	lender  *hfendpoint.Lender
	live    []hfendpoint.Borrower
	flights []flight
	came    map[*hfrequest.Ticket]flight
	results map[string]*outcome
	beat    time.Time
	id      int
	drops   int
}

func newOurs() *ours {
	x := &ours{came: map[*hfrequest.Ticket]flight{}, results: map[string]*outcome{}}
	x.lender = hfendpoint.NewLender(func(string) int { return 1 })
	var rows []hfendpoint.Endpoint
	regions := map[string]int{}
	for i := range modelMinions {
		region := modelRegions[i%len(modelRegions)]
		rows = append(rows, hfendpoint.NewEndpoint(fmt.Sprint("m", i), fmt.Sprint("m", i), region, region, modelSlots, false))
		regions[region]++
	}
	start := time.Unix(1_790_000_000, 0)
	x.lender.Own(rows, regions, start)
	for i := range modelInstances {
		region := modelRegions[i%len(modelRegions)]
		router := hfendpoint.NewRouter(region)
		router.List(rows, start)
		x.routers = append(x.routers, router)
		x.queues = append(x.queues, hfrequest.NewQueue(4096))
		x.live = append(x.live, hfendpoint.NewBorrower(fmt.Sprint("e", i), fmt.Sprint("e", i, "run"), region))
	}
	return x
}

func (x *ours) of(name string) *outcome {
	if x.results[name] == nil {
		x.results[name] = &outcome{}
	}
	return x.results[name]
}

func (x *ours) offer(instance int, s source, now time.Time) {
	x.id++
	x.of(s.name).sent++
	var t *hfrequest.Ticket
	t = hfrequest.NewTicket(fmt.Sprint(x.id), s.class, s.account, s.name, s.name, now.Add(5*time.Second), 1, 0, func(v hfrequest.Verdict) {
		if v != hfrequest.Go {
			x.drops++
			delete(x.came, t)
		}
	})
	x.came[t] = flight{came: now, src: s, instance: instance}
	if !x.queues[instance].Push(t) {
		x.drops++
		delete(x.came, t)
	}
}

func (x *ours) step(now time.Time) {
	if !now.Before(x.beat) {
		x.beat = now.Add(modelBeat)
		x.lend(now)
	}
	rest := x.flights[:0]
	for _, f := range x.flights {
		if f.end.After(now) {
			rest = append(rest, f)
			continue
		}
		x.routers[f.instance].Release(f.endpoint, f.src.name, false, true, now.Sub(f.began), now)
		x.queues[f.instance].Finish(f.ticket, true, now)
		o := x.of(f.src.name)
		o.served++
		o.latency = append(o.latency, now.Sub(f.came))
		o.slotSeconds += now.Sub(f.began).Seconds()
	}
	x.flights = rest
	for i := range x.queues {
		x.dispatch(i, now)
	}
}

// lend carries out one beat of every instance.
func (x *ours) lend(now time.Time) {
	for i, b := range x.live {
		var demand []hfendpoint.Demand
		for _, d := range x.queues[i].Demand() {
			demand = append(demand, hfendpoint.NewDemand(hfconfig.Class(d.Class()), d.Account(), d.Callers(), d.Wanted()))
		}
		for _, l := range x.lender.Serve(b, x.routers[i].Usage(now), demand, x.live, now) {
			x.routers[i].Lend(l.Endpoint(), l.Slots(), now.Add(hfendpoint.LoanTTL))
		}
	}
}

func (x *ours) dispatch(i int, now time.Time) {
	for x.queues[i].Len() > 0 {
		free, total := x.routers[i].Free(now)
		t := x.queues[i].Next(free, total, now)
		if t == nil {
			return
		}
		f := x.came[t]
		delete(x.came, t)
		e, ok := x.routers[i].Pick(nil, now)
		if !ok {
			x.queues[i].Finish(t, false, now)
			x.drops++
			continue
		}
		f.ticket, f.endpoint, f.began, f.end = t, e.Name(), now, now.Add(f.src.service)
		x.flights = append(x.flights, f)
	}
}

func (x *ours) result() map[string]*outcome { return x.results }
func (x *ours) refused() int                { return x.drops }

// plain is first-come-first-served with random choice: an instance sends its oldest
// request to a random minion, and tries again after a pause when it was full.
type plain struct {
	r       *rand.Rand
	queues  [][]flight
	pauses  []flight // refused by a full minion, sent again at end
	busy    []int
	flights []flight
	results map[string]*outcome
	drops   int
}

func newPlain() *plain {
	return &plain{
		r: rand.New(rand.NewPCG(5, 5)), queues: make([][]flight, modelInstances),
		busy: make([]int, modelMinions), results: map[string]*outcome{},
	}
}

func (x *plain) offer(instance int, s source, now time.Time) {
	if x.results[s.name] == nil {
		x.results[s.name] = &outcome{}
	}
	x.results[s.name].sent++
	if len(x.queues[instance]) >= 4096 {
		x.drops++
		return
	}
	x.queues[instance] = append(x.queues[instance], flight{came: now, src: s, instance: instance})
}

// perInstance is the number of requests that an instance has under way at once: its
// even part of all slots.
const perInstance = modelMinions * modelSlots / modelInstances

func (x *plain) step(now time.Time) {
	under := make([]int, modelInstances)
	rest := x.flights[:0]
	for _, f := range x.flights {
		if f.end.After(now) {
			under[f.instance]++
			rest = append(rest, f)
			continue
		}
		x.busy[f.minion]--
		o := x.results[f.src.name]
		o.served++
		o.latency = append(o.latency, now.Sub(f.came))
		o.slotSeconds += now.Sub(f.began).Seconds()
	}
	x.flights = rest
	waiting := x.pauses
	x.pauses = nil
	for _, f := range waiting {
		under[f.instance]++
		if f.end.After(now) {
			x.pauses = append(x.pauses, f)
			continue
		}
		x.try(f, now)
	}
	for i := range x.queues {
		for under[i] < perInstance && len(x.queues[i]) > 0 {
			f := x.queues[i][0]
			x.queues[i] = x.queues[i][1:]
			if now.Sub(f.came) > 5*time.Second {
				x.drops++
				continue
			}
			under[i]++
			x.try(f, now)
		}
	}
}

func (x *plain) try(f flight, now time.Time) {
	minion := x.r.IntN(modelMinions)
	if x.busy[minion] >= modelSlots {
		f.end = now.Add(retryPause)
		x.pauses = append(x.pauses, f)
		return
	}
	x.busy[minion]++
	f.minion = minion
	f.began, f.end = now, now.Add(f.src.service)
	x.flights = append(x.flights, f)
}

func (x *plain) result() map[string]*outcome { return x.results }
func (x *plain) refused() int                { return x.drops }

// WriteRequests writes how a small caller fares alone and beside a large one, and
// what each class keeps in a flood of another, under both rules.
func WriteRequests(w io.Writer) {
	rules := []struct {
		name  string
		build func() shop
	}{{"heatherfront", func() shop { return newOurs() }}, {"fcfs-random", func() shop { return newPlain() }}}
	small := source{name: "small", account: "desk", class: hfconfig.ClassNormal, rate: 40, service: 20 * time.Millisecond}
	large := source{name: "large", account: "desk", class: hfconfig.ClassNormal, rate: 4000, service: 120 * time.Millisecond}
	pinned := large
	pinned.pinned = true
	for _, rule := range rules {
		for _, c := range []struct {
			name    string
			sources []source
		}{
			{"small caller alone", []source{small}},
			{"beside one that asks 100 times as much", []source{small, large}},
			{"the large one pinned to one instance", []source{small, pinned}},
		} {
			x := rule.build()
			play(x, c.sources, 10*time.Second, 1)
			o := x.result()["small"]
			_, _ = fmt.Fprintf(w, "%s, %s: small p50 %s p99 %s, served %d of %d; goodput %.1f%% of the slots\n", rule.name, c.name,
				Quantile(o.latency, 0.5), Quantile(o.latency, 0.99), o.served, o.sent, goodput(x, 10*time.Second))
		}
		for _, class := range hfconfig.Classes() {
			x := rule.build()
			play(x, floodOf(class), 10*time.Second, 2)
			_, _ = fmt.Fprintf(w, "%s, flood of %s:", rule.name, class)
			for _, c := range hfconfig.Classes() {
				o := x.result()[string(c)]
				_, _ = fmt.Fprintf(w, " %s %.0f%% of what it asked (p99 %s)", c, 100*float64(o.served)/float64(max(o.sent, 1)), Quantile(o.latency, 0.99))
			}
			_, _ = fmt.Fprintf(w, "; goodput %.1f%% of the slots\n", goodput(x, 10*time.Second))
		}
	}
}

// floodOf lets one class ask floodFactor times what the slots take, and the others
// four fifths of their shares.
func floodOf(flooding hfconfig.Class) []source {
	const service = 50 * time.Millisecond
	slots := float64(modelMinions*modelSlots) / service.Seconds() // requests a second
	var sources []source
	for _, c := range hfconfig.Classes() {
		rate := 0.8 * c.Share() * slots
		if c == flooding {
			rate = floodFactor * slots
		}
		sources = append(sources, source{name: string(c), account: "a-" + string(c), class: c, rate: rate, service: service})
	}
	return sources
}

func goodput(x shop, length time.Duration) float64 {
	sum := 0.0
	for _, o := range x.result() {
		sum += o.slotSeconds
	}
	return 100 * sum / (float64(modelMinions*modelSlots) * length.Seconds())
}
