// Package hfserve runs one instance. It connects the state machines of the other
// packages to the store, the membership list, the workers, the endpoints and the
// other instances.
package hfserve

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/heatherfront/heatherfront/hfaccount"
	"github.com/heatherfront/heatherfront/hfconfig"
	"github.com/heatherfront/heatherfront/hfendpoint"
	"github.com/heatherfront/heatherfront/hfevent"
	"github.com/heatherfront/heatherfront/hfgang"
	"github.com/heatherfront/heatherfront/hfintake"
	"github.com/heatherfront/heatherfront/hfledger"
	"github.com/heatherfront/heatherfront/hfloop"
	"github.com/heatherfront/heatherfront/hfpeer"
	"github.com/heatherfront/heatherfront/hfreport"
	"github.com/heatherfront/heatherfront/hfrequest"
	"github.com/heatherfront/heatherfront/hfsettings"
	"github.com/heatherfront/heatherfront/hfstore"
	"github.com/heatherfront/heatherfront/hfworker"
)

// Server runs one instance.
type Server struct {
	settings    *hfsettings.Settings
	log         *hfevent.Log
	registry    metrics.Registry
	incarnation string

	store      *hfstore.Budget
	platform   *http.Client // membership list, workers, health checks
	links      *hfpeer.Links
	members    *hfloop.Guarded[*hfpeer.State]
	config     *hfloop.Guarded[*hfconfig.State]
	fleet      *hfloop.Guarded[*hfworker.Fleet]
	lender     *hfloop.Guarded[*hfendpoint.Lender]
	burn       *hfloop.Guarded[*hfreport.OutcomeCounter]
	dispatcher *hfrequest.Dispatcher
	ledger     *hfledger.Service
	workers    *hfworker.Client
	accounts   atomic.Pointer[hfaccount.Directory]

	group             *errgroup.Group
	heartbeats        *hfloop.Guarded[*heartbeatStates]
	ownership         *hfloop.Guarded[*ownership]
	mu                sync.Mutex
	localLeaders      map[string]*hfgang.Leader // by failure domain, while this instance leads it
	leaderRecords     map[string]leaderRecord   // by failure domain, from the store watch
	configChanged     chan struct{}             // closed and replaced when the configuration changes
	stopping          atomic.Bool
	heartbeatSequence atomic.Uint64
	slotsReceived     atomic.Bool  // set once hasSlots was true
	warmupUntil       time.Time    // until then, the instance is not ready without slots
	lastStoreContact  atomic.Int64 // Unix nanoseconds of the last list or watch result of the store; 0 before the first
}

// Dialer opens connections to other instances.
type Dialer = hfpeer.Dialer

// New returns an instance that has not been started. platform is the client for the
// membership list, the workers and the endpoints' health checks.
func New(s *hfsettings.Settings, log *hfevent.Log, registry metrics.Registry, store hfstore.Store, platform *http.Client, dialer Dialer) *Server {
	now := time.Now()
	incarnation := uuid.NewString()
	srv := &Server{
		settings: s, log: log, registry: registry, incarnation: incarnation,
		store:        hfstore.NewBudget(store, registry),
		platform:     platform,
		links:        hfpeer.NewLinks(s.Name(), incarnation, dialer, registry),
		members:      hfloop.NewGuarded(hfpeer.New(s.Name(), s.AdvertisedPeer(), s.Domain(), s.Region(), incarnation, s.SuspectTimeout(), now)),
		config:       hfloop.NewGuarded(hfconfig.NewState(now)),
		fleet:        hfloop.NewGuarded(hfworker.NewFleet(s.PollInterval(), idleHeartbeatIntervals*s.HeartbeatInterval(), hfworker.GangComplete)),
		burn:         hfloop.NewGuarded(hfreport.NewOutcomeCounter()),
		heartbeats:   hfloop.NewGuarded(newHeartbeatStates()),
		ownership:    hfloop.NewGuarded(&ownership{}),
		localLeaders: map[string]*hfgang.Leader{}, leaderRecords: map[string]leaderRecord{}, configChanged: make(chan struct{}),
		warmupUntil: now.Add(2 * hfendpoint.LoanTTL),
	}
	srv.accounts.Store(hfaccount.NewDirectory(hfloop.With(srv.config, (*hfconfig.State).View)))
	srv.lender = hfloop.NewGuarded(hfendpoint.NewLender(srv.accountWeight))
	srv.workers = hfworker.NewClient(srv.platform)
	srv.dispatcher = hfrequest.NewDispatcher(s.Name()+"/"+incarnation, s.MaxQueued(), hfendpoint.NewRouter(s.Region()),
		newEndpointClient(), srv, srv, srv, s.MaxBody(), srv.recordViolation)
	return srv
}

// maxIdlePerEndpoint limits the idle connections kept to one endpoint. With 2, N
// instances hold at most 8 + 2N + 1 connections to an endpoint of 8 slots.
const maxIdlePerEndpoint = 2

// newEndpointClient returns the HTTP client for requests to endpoints.
func newEndpointClient() *http.Client {
	dialer := &net.Dialer{Timeout: time.Second}
	return &http.Client{
		Transport: &http.Transport{
			DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdlePerEndpoint,
			MaxIdleConns: 0, IdleConnTimeout: 30 * time.Second, DisableCompression: true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Registry returns the metrics registry.
func (s *Server) Registry() metrics.Registry { return s.registry }

// Log returns the event log.
func (s *Server) Log() *hfevent.Log { return s.log }

// Accounts returns the accounts of the configuration in force.
func (s *Server) Accounts() *hfaccount.Directory { return s.accounts.Load() }

// Dispatcher returns the dispatcher of callers' requests.
func (s *Server) Dispatcher() *hfrequest.Dispatcher { return s.dispatcher }

// accountWeight returns the weight of an account, or 1 if the account is unknown.
func (s *Server) accountWeight(account string) int {
	if e, ok := s.Accounts().Entitlements(account); ok {
		return e.Weight()
	}
	return 1
}

// reportPanic logs a panic in a call of another instance.
func (s *Server) reportPanic(cause any, stack []byte) {
	s.log.Event(hfevent.CallPanicked, zap.Any("cause", cause), zap.ByteString("stack", stack))
}

// recordViolation logs the violation of an invariant.
func (s *Server) recordViolation(err error) {
	s.log.Event(hfevent.InvariantViolated, zap.Error(err))
}

// Run serves other instances on ln and runs the background loops until ctx ends. It
// returns once every goroutine has ended. Callers' requests are handled by the HTTP
// API, which Node runs separately and shuts down before it ends ctx.
func (s *Server) Run(ctx context.Context, ln net.Listener) error {
	g, ctx := errgroup.WithContext(ctx)
	s.group = g
	s.ledger = hfledger.NewService(s.store, s.settings.Name()+"/"+s.incarnation, g, s.recordViolation)
	s.log.Event(hfevent.Started, zap.String("name", s.settings.Name()), zap.String("incarnation", s.incarnation),
		zap.String("domain", s.settings.Domain()), zap.String("region", s.settings.Region()))
	loops := []func(context.Context) error{
		s.ledger.Run, s.watchLoop, s.memberListLoop, s.heartbeatLoop, s.pollLoop, s.healthLoop, s.campaignLoop, s.mergeLoop, s.sweepLoop,
	}
	for _, loop := range loops {
		g.Go(func() error { return loop(ctx) })
	}
	peers := hfpeer.NewServer(hfpeer.NewLimits(s.settings.Memory()/hfpeer.MemoryShare, hfintake.Descriptors(), s.settings.TLSEnabled()), func(ip string) bool {
		return hfloop.With(s.members, func(m *hfpeer.State) bool { return m.Lists(ip) })
	}, reportRefusals(s.log, "instances"), s.registry)
	g.Go(func() error {
		if err := peers.Serve(ctx, ln, hfpeer.Guard(s.handle, s.reportPanic)); err != nil {
			return fmt.Errorf("serve instances: %w", err)
		}
		return nil
	})
	err := g.Wait()
	s.links.Close()
	s.log.Event(hfevent.Stopped)
	s.log.Sync()
	if err != nil {
		return fmt.Errorf("instance: %w", err)
	}
	return nil
}

// Leave begins a planned stop: the instance is no longer ready, the workers, endpoints,
// ledger shards and merges that it owns move to other instances, and its leaderships end.
func (s *Server) Leave() {
	if s.stopping.Swap(true) {
		return
	}
	s.log.Event(hfevent.Stopping)
	hfloop.With(s.members, func(m *hfpeer.State) bool { m.Leave(); return true })
}

// Stopping reports whether a planned stop is in progress.
func (s *Server) Stopping() bool { return s.stopping.Load() }

// Ready reports whether callers should be routed to this instance, and if not, why.
func (s *Server) Ready() (bool, string) {
	now := time.Now()
	switch {
	case s.stopping.Load():
		return false, "stopping"
	case !hfloop.With(s.config, (*hfconfig.State).Loaded):
		return false, "the configuration is not loaded"
	case hfloop.With(s.config, func(c *hfconfig.State) bool { return c.Isolated(now) }):
		return false, "neither the store nor another instance is heard"
	case now.Before(s.warmupUntil) && !s.slotsReceived.Load() && !s.hasSlots(now):
		return false, "no slots are lent yet"
	}
	return true, ""
}

// hasSlots reports whether this instance may use a slot of any endpoint. It is also
// true when no endpoints are listed.
func (s *Server) hasSlots(now time.Time) bool {
	available := false
	s.dispatcher.WithRouter(func(r *hfendpoint.Router) {
		_, total := r.Free(now)
		available = total > 0 || len(r.Endpoints()) == 0
	})
	if available {
		s.slotsReceived.Store(true)
	}
	return available
}

// every calls f at once and then at each interval until ctx ends.
func every(ctx context.Context, interval time.Duration, f func(context.Context)) error {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		f(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// sweepLoop periodically drops expired requests and assigns free slots, updates the
// gauges, and deletes old ledger segments.
func (s *Server) sweepLoop(ctx context.Context) error {
	nextLedgerSweep, gaugesUpdated := time.Now().Add(ledgerSweepInterval), time.Time{}
	return every(ctx, sweepInterval, func(ctx context.Context) {
		now := time.Now()
		s.dispatcher.Sweep(now)
		if now.Sub(gaugesUpdated) >= time.Second {
			gaugesUpdated = now
			s.updateGauges()
		}
		if now.After(nextLedgerSweep) {
			nextLedgerSweep = now.Add(ledgerSweepInterval)
			s.sweepLedgerShards(ctx, now)
		}
	})
}

const (
	sweepInterval       = 100 * time.Millisecond // between passes that drop expired requests and assign free slots
	ledgerSweepInterval = 10 * time.Minute
)

// updateGauges updates the gauges of the requests, the tasks and the process.
func (s *Server) updateGauges() {
	waiting, inFlight := s.dispatcher.Load()
	metrics.GetOrRegisterGauge("requests.waiting", s.registry).Update(int64(waiting))
	metrics.GetOrRegisterGauge("requests.flying", s.registry).Update(int64(inFlight))
	metrics.GetOrRegisterGauge("tasks.known", s.registry).Update(int64(hfloop.With(s.fleet, (*hfworker.Fleet).TaskCount)))
	s.updateProcessGauges()
}

// updateProcessGauges updates the gauges of the process's CPU time and peak memory.
func (s *Server) updateProcessGauges() {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return
	}
	cpuTime := time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	metrics.GetOrRegisterGauge("process.cpu.ms", s.registry).Update(cpuTime.Milliseconds())
	metrics.GetOrRegisterGauge("process.peak.kb", s.registry).Update(usage.Maxrss)
}
