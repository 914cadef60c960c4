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

// The modelled service has the size of the request service of the price-desks deployment:
// 8 instances and 50 minions of 8 slots each, in three regions.
const (
	modelInstances    = 8
	modelMinions      = 50
	modelSlots        = 8
	heartbeatInterval = 500 * time.Millisecond
	warmUp            = 4 * time.Second // time before the load starts, for the loans of slots to settle
	retryDelay        = 10 * time.Millisecond
	floodFactor       = 20   // load of a flooding class, in multiples of the capacity of all slots
	queueLimit        = 4096 // requests in the queue of an instance
	requestTimeout    = 5 * time.Second
	measuredTime      = 10 * time.Second // simulated time under load
)

var modelRegions = []string{"one", "two", "three"}

// source is a caller that sends requests at a steady average rate.
type source struct {
	name    string
	account string
	class   hfconfig.Class
	rate    float64       // requests per second to all instances together
	service time.Duration // how long a request occupies a slot
	pinned  bool          // sends all requests to one instance
}

// callerStats holds the results of one source's requests.
type callerStats struct {
	sent, served int
	latency      []time.Duration
	slotSeconds  float64
}

// dispatchModel is the service under one dispatch policy.
type dispatchModel interface {
	submit(instance int, s source, now time.Time)
	advance(now time.Time)
	stats() map[string]*callerStats
	dropped() int // requests that were refused, timed out or found no endpoint
}

// simulateRequests sends the sources' requests for the given length of time after warmUp, in
// steps of one millisecond.
func simulateRequests(x dispatchModel, sources []source, length time.Duration, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 3))
	start := time.Unix(simulationStart, 0)
	for d := time.Duration(0); d < warmUp+length; d += time.Millisecond {
		now := start.Add(d)
		if d >= warmUp {
			for _, s := range sources {
				for n := drawPoisson(r, s.rate/1000); n > 0; n-- {
					instance := r.IntN(modelInstances)
					if s.pinned {
						instance = 0
					}
					x.submit(instance, s, now)
				}
			}
		}
		x.advance(now)
	}
}

// drawPoisson draws from the Poisson distribution.
func drawPoisson(r *rand.Rand, mean float64) int {
	n := 0
	for at := r.ExpFloat64(); at < mean; at += r.ExpFloat64() {
		n++
	}
	return n
}

// modelRequest is a request that is queued, waits for a retry or runs on an endpoint.
type modelRequest struct {
	end      time.Time // of the run, or of the wait for a retry
	started  time.Time
	arrived  time.Time
	source   source
	ticket   *hfrequest.Ticket
	endpoint string // used by fairDispatch
	minion   int    // used by randomDispatch
	instance int
}

// fairDispatch dispatches with the queues of hfrequest and the routers and the lender of
// hfendpoint.
type fairDispatch struct {
	queues        []*hfrequest.Queue
	routers       []*hfendpoint.Router
	lender        *hfendpoint.Lender
	borrowers     []hfendpoint.Borrower
	running       []modelRequest
	queued        map[*hfrequest.Ticket]modelRequest
	results       map[string]*callerStats
	nextHeartbeat time.Time
	lastID        int
	dropCount     int
}

func newFairDispatch() *fairDispatch {
	x := &fairDispatch{queued: map[*hfrequest.Ticket]modelRequest{}, results: map[string]*callerStats{}}
	x.lender = hfendpoint.NewLender(func(string) int { return 1 })
	var endpoints []hfendpoint.Endpoint
	regions := map[string]int{}
	for i := range modelMinions {
		region := modelRegions[i%len(modelRegions)]
		endpoints = append(endpoints, hfendpoint.NewEndpoint(fmt.Sprint("m", i), fmt.Sprint("m", i), region, region, modelSlots, false))
		regions[region]++
	}
	start := time.Unix(simulationStart, 0)
	x.lender.SetOwned(endpoints, regions, start)
	for i := range modelInstances {
		region := modelRegions[i%len(modelRegions)]
		router := hfendpoint.NewRouter(region)
		router.SetEndpoints(endpoints, start)
		x.routers = append(x.routers, router)
		x.queues = append(x.queues, hfrequest.NewQueue(queueLimit))
		x.borrowers = append(x.borrowers, hfendpoint.NewBorrower(fmt.Sprint("e", i), fmt.Sprint("e", i, "run"), region))
	}
	return x
}

func (x *fairDispatch) statsOf(name string) *callerStats {
	if x.results[name] == nil {
		x.results[name] = &callerStats{}
	}
	return x.results[name]
}

func (x *fairDispatch) submit(instance int, s source, now time.Time) {
	x.lastID++
	x.statsOf(s.name).sent++
	var t *hfrequest.Ticket
	t = hfrequest.NewTicket(fmt.Sprint(x.lastID), s.class, s.account, s.name, s.name, now.Add(requestTimeout), 1, 0, func(result hfrequest.QueueResult) {
		if result != hfrequest.Granted {
			x.dropCount++
			delete(x.queued, t)
		}
	})
	x.queued[t] = modelRequest{arrived: now, source: s, instance: instance}
	if !x.queues[instance].Push(t) {
		x.dropCount++
		delete(x.queued, t)
	}
}

func (x *fairDispatch) advance(now time.Time) {
	if !now.Before(x.nextHeartbeat) {
		x.nextHeartbeat = now.Add(heartbeatInterval)
		x.heartbeat(now)
	}
	remaining := x.running[:0]
	for _, r := range x.running {
		if r.end.After(now) {
			remaining = append(remaining, r)
			continue
		}
		x.routers[r.instance].Release(r.endpoint, r.source.name, false, true, now.Sub(r.started), now)
		x.queues[r.instance].Finish(r.ticket, true, now)
		result := x.statsOf(r.source.name)
		result.served++
		result.latency = append(result.latency, now.Sub(r.arrived))
		result.slotSeconds += now.Sub(r.started).Seconds()
	}
	x.running = remaining
	for i := range x.queues {
		x.dispatch(i, now)
	}
}

// heartbeat lets every instance exchange one heartbeat with the lender: it reports its
// demand and usage, and receives loans of slots.
func (x *fairDispatch) heartbeat(now time.Time) {
	for i, b := range x.borrowers {
		var demand []hfendpoint.Demand
		for _, d := range x.queues[i].Demand() {
			demand = append(demand, hfendpoint.NewDemand(hfconfig.Class(d.Class()), d.Account(), d.Callers(), d.Wanted()))
		}
		for _, l := range x.lender.Lend(b, x.routers[i].Usage(now), demand, x.borrowers, now) {
			x.routers[i].SetLoan(l.Endpoint(), l.Slots(), now.Add(hfendpoint.LoanTTL))
		}
	}
}

func (x *fairDispatch) dispatch(i int, now time.Time) {
	for x.queues[i].Len() > 0 {
		free, total := x.routers[i].Free(now)
		t := x.queues[i].Next(free, total, now)
		if t == nil {
			return
		}
		r := x.queued[t]
		delete(x.queued, t)
		e, ok := x.routers[i].Acquire(nil, now)
		if !ok {
			x.queues[i].Finish(t, false, now)
			x.dropCount++
			continue
		}
		r.ticket, r.endpoint, r.started, r.end = t, e.Name(), now, now.Add(r.source.service)
		x.running = append(x.running, r)
	}
}

func (x *fairDispatch) stats() map[string]*callerStats { return x.results }
func (x *fairDispatch) dropped() int                   { return x.dropCount }

// randomDispatch is first-come-first-served with random choice: an instance sends its oldest
// request to a random minion, and tries again after retryDelay if that minion was full.
type randomDispatch struct {
	random    *rand.Rand
	queues    [][]modelRequest
	retries   []modelRequest // refused by a full minion; sent again at end
	busySlots []int
	running   []modelRequest
	results   map[string]*callerStats
	dropCount int
}

func newRandomDispatch() *randomDispatch {
	return &randomDispatch{
		random: rand.New(rand.NewPCG(5, 5)), queues: make([][]modelRequest, modelInstances),
		busySlots: make([]int, modelMinions), results: map[string]*callerStats{},
	}
}

func (x *randomDispatch) submit(instance int, s source, now time.Time) {
	if x.results[s.name] == nil {
		x.results[s.name] = &callerStats{}
	}
	x.results[s.name].sent++
	if len(x.queues[instance]) >= queueLimit {
		x.dropCount++
		return
	}
	x.queues[instance] = append(x.queues[instance], modelRequest{arrived: now, source: s, instance: instance})
}

// maxInFlight is the maximum number of requests that an instance has in flight, including
// those that wait for a retry: its equal share of all slots.
const maxInFlight = modelMinions * modelSlots / modelInstances

func (x *randomDispatch) advance(now time.Time) {
	inFlight := make([]int, modelInstances)
	remaining := x.running[:0]
	for _, r := range x.running {
		if r.end.After(now) {
			inFlight[r.instance]++
			remaining = append(remaining, r)
			continue
		}
		x.busySlots[r.minion]--
		result := x.results[r.source.name]
		result.served++
		result.latency = append(result.latency, now.Sub(r.arrived))
		result.slotSeconds += now.Sub(r.started).Seconds()
	}
	x.running = remaining
	retries := x.retries
	x.retries = nil
	for _, r := range retries {
		inFlight[r.instance]++
		if r.end.After(now) {
			x.retries = append(x.retries, r)
			continue
		}
		x.send(r, now)
	}
	for i := range x.queues {
		for inFlight[i] < maxInFlight && len(x.queues[i]) > 0 {
			r := x.queues[i][0]
			x.queues[i] = x.queues[i][1:]
			if now.Sub(r.arrived) > requestTimeout {
				x.dropCount++
				continue
			}
			inFlight[i]++
			x.send(r, now)
		}
	}
}

func (x *randomDispatch) send(r modelRequest, now time.Time) {
	minion := x.random.IntN(modelMinions)
	if x.busySlots[minion] >= modelSlots {
		r.end = now.Add(retryDelay)
		x.retries = append(x.retries, r)
		return
	}
	x.busySlots[minion]++
	r.minion = minion
	r.started, r.end = now, now.Add(r.source.service)
	x.running = append(x.running, r)
}

func (x *randomDispatch) stats() map[string]*callerStats { return x.results }
func (x *randomDispatch) dropped() int                   { return x.dropCount }

// WriteRequests writes, for both dispatch policies, how a small caller is served alone and
// beside a large one, and what share of its requests each class gets served while another
// class floods the service.
func WriteRequests(w io.Writer) {
	policies := []struct {
		name  string
		build func() dispatchModel
	}{{"heatherfront", func() dispatchModel { return newFairDispatch() }}, {"fcfs-random", func() dispatchModel { return newRandomDispatch() }}}
	small := source{name: "small", account: "desk", class: hfconfig.ClassNormal, rate: 40, service: 20 * time.Millisecond}
	large := source{name: "large", account: "desk", class: hfconfig.ClassNormal, rate: 4000, service: 120 * time.Millisecond}
	pinned := large
	pinned.pinned = true
	for _, policy := range policies {
		for _, c := range []struct {
			name    string
			sources []source
		}{
			{"small caller alone", []source{small}},
			{"beside one that asks 100 times as much", []source{small, large}},
			{"the large one pinned to one instance", []source{small, pinned}},
		} {
			x := policy.build()
			simulateRequests(x, c.sources, measuredTime, 1)
			result := x.stats()["small"]
			_, _ = fmt.Fprintf(w, "%s, %s: small p50 %s p99 %s, served %d of %d; goodput %.1f%% of the slots\n", policy.name, c.name,
				Quantile(result.latency, 0.5), Quantile(result.latency, 0.99), result.served, result.sent, goodput(x, measuredTime))
		}
		for _, class := range hfconfig.Classes() {
			x := policy.build()
			simulateRequests(x, floodSources(class), measuredTime, 2)
			_, _ = fmt.Fprintf(w, "%s, flood of %s:", policy.name, class)
			for _, c := range hfconfig.Classes() {
				result := x.stats()[string(c)]
				_, _ = fmt.Fprintf(w, " %s %.0f%% of what it asked (p99 %s)", c, 100*float64(result.served)/float64(max(result.sent, 1)), Quantile(result.latency, 0.99))
			}
			_, _ = fmt.Fprintf(w, "; goodput %.1f%% of the slots\n", goodput(x, measuredTime))
		}
	}
}

// floodSources returns one source per class. The flooding class sends floodFactor times
// the capacity of all slots, the others four fifths of their shares of it.
func floodSources(flooding hfconfig.Class) []source {
	const service = 50 * time.Millisecond
	capacity := float64(modelMinions*modelSlots) / service.Seconds() // requests per second
	var sources []source
	for _, c := range hfconfig.Classes() {
		rate := 0.8 * c.Share() * capacity
		if c == flooding {
			rate = floodFactor * capacity
		}
		sources = append(sources, source{name: string(c), account: "a-" + string(c), class: c, rate: rate, service: service})
	}
	return sources
}

// goodput returns the share of all slot time that served requests used, in percent.
func goodput(x dispatchModel, length time.Duration) float64 {
	sum := 0.0
	for _, result := range x.stats() {
		sum += result.slotSeconds
	}
	return 100 * sum / (float64(modelMinions*modelSlots) * length.Seconds())
}
