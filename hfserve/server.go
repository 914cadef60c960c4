// Package hfserve is the shell of one instance: it connects the decisions of the
// other packages to the store, the membership list, the workers, the endpoints and
// the other instances.
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
	"github.com/heatherfront/heatherfront/hfledger"
	"github.com/heatherfront/heatherfront/hfloop"
	"github.com/heatherfront/heatherfront/hfpeer"
	"github.com/heatherfront/heatherfront/hfreport"
	"github.com/heatherfront/heatherfront/hfrequest"
	"github.com/heatherfront/heatherfront/hfsettings"
	"github.com/heatherfront/heatherfront/hfstore"
	"github.com/heatherfront/heatherfront/hfworker"
)

// Server is one instance.
type Server struct {
	settings    *hfsettings.Settings
	log         *hfevent.Log
	registry    metrics.Registry
	incarnation string

	store    *hfstore.Budget
	platform *http.Client // membership list, workers, health checks
	links    *hfpeer.Links
	members  *hfloop.Cell[*hfpeer.State]
	config   *hfloop.Cell[*hfconfig.State]
	fleet    *hfloop.Cell[*hfworker.Fleet]
	lender   *hfloop.Cell[*hfendpoint.Lender]
	burn     *hfloop.Cell[*hfreport.Burn]
	desk     *hfrequest.Desk
	keeper   *hfledger.Keeper
	workers  *hfworker.Client
	book     atomic.Pointer[hfaccount.Book]

	group    *errgroup.Group
	peers    *hfloop.Cell[*exchanges]
	duties   *hfloop.Cell[*duties]
	mu       sync.Mutex
	leading  map[string]*hfgang.Leader // by domain, while this instance leads it
	leads    map[string]lead           // by domain, from the store's watch
	changed  chan struct{}             // closed and replaced when the configuration or a lead changes
	stopping atomic.Bool
	sequence atomic.Uint64
	warmed   atomic.Bool  // a slot was lent once
	warm     time.Time    // slots are waited for until then
	lastSeen atomic.Int64 // Unix nanoseconds of the last answer of the store
}

// Dialer opens connections to other instances.
type Dialer = hfpeer.Dialer

// New returns an instance that has not started. platform is the client for the
// membership list, the workers and the endpoints' health pages.
func New(s *hfsettings.Settings, logger *zap.Logger, store hfstore.Store, platform *http.Client, dialer Dialer) *Server {
	registry := metrics.NewRegistry()
	now := time.Now()
	incarnation := uuid.NewString()
	srv := &Server{
		settings: s, log: hfevent.New(logger, registry), registry: registry, incarnation: incarnation,
		store:    hfstore.NewBudget(store, registry),
		platform: platform,
		links:    hfpeer.NewLinks(s.Name(), incarnation, dialer, registry),
		members:  hfloop.NewCell(hfpeer.New(s.Name(), s.Reach(), s.Domain(), s.Region(), incarnation, s.Suspect(), now)),
		config:   hfloop.NewCell(hfconfig.NewState(now)),
		fleet:    hfloop.NewCell(hfworker.NewFleet(s.Poll(), quietBeats*s.Beat(), hfworker.Whole)),
		burn:     hfloop.NewCell(hfreport.NewBurn()),
		peers:    hfloop.NewCell(newExchanges()),
		duties:   hfloop.NewCell(&duties{}),
		leading:  map[string]*hfgang.Leader{}, leads: map[string]lead{}, changed: make(chan struct{}),
		warm: now.Add(2 * hfendpoint.LoanTTL),
	}
	srv.book.Store(hfaccount.NewBook(hfloop.With(srv.config, (*hfconfig.State).View)))
	srv.lender = hfloop.NewCell(hfendpoint.NewLender(srv.weight))
	srv.workers = hfworker.NewClient(srv.platform)
	srv.desk = hfrequest.NewDesk(s.Name()+"/"+incarnation, s.Queue(), hfendpoint.NewRouter(s.Region()),
		endpointClient(), srv, srv, srv, s.MaxBody(), srv.broken)
	return srv
}

// idlePerEndpoint is the number of idle connections kept to one endpoint. With it,
// N instances hold at most 8 + 2N + 1 connections to an endpoint of 8 slots.
const idlePerEndpoint = 2

func endpointClient() *http.Client {
	dialer := &net.Dialer{Timeout: time.Second}
	return &http.Client{
		Transport: &http.Transport{
			DialContext: dialer.DialContext, MaxIdleConnsPerHost: idlePerEndpoint,
			MaxIdleConns: 0, IdleConnTimeout: 30 * time.Second, DisableCompression: true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Registry returns the metrics.
func (s *Server) Registry() metrics.Registry { return s.registry }

// Log returns the event log.
func (s *Server) Log() *hfevent.Log { return s.log }

// Accounts returns the accounts in force.
func (s *Server) Accounts() *hfaccount.Book { return s.book.Load() }

// Desk returns the requests' desk.
func (s *Server) Desk() *hfrequest.Desk { return s.desk }

func (s *Server) weight(account string) int {
	if t, ok := s.Accounts().Terms(account); ok {
		return t.Weight()
	}
	return 1
}

func (s *Server) broken(err error) {
	s.log.Event(hfevent.InvariantLost, zap.Error(err))
}

// Run serves the other instances on ln and does the instance's duties until ctx
// ends. It returns when every goroutine has ended. Callers' requests are taken by
// the HTTP interface, which the caller of Run serves and ends before ctx.
func (s *Server) Run(ctx context.Context, ln net.Listener) error {
	g, ctx := errgroup.WithContext(ctx)
	s.group = g
	s.keeper = hfledger.NewKeeper(s.store, s.settings.Name()+"/"+s.incarnation, g, s.broken)
	s.log.Event(hfevent.Started, zap.String("name", s.settings.Name()), zap.String("incarnation", s.incarnation),
		zap.String("domain", s.settings.Domain()), zap.String("region", s.settings.Region()))
	loops := []func(context.Context) error{
		s.keeper.Run, s.watchConfig, s.followList, s.beatLoop, s.pollLoop, s.healthLoop, s.campaign, s.mergeLoop, s.sweepLoop,
	}
	for _, loop := range loops {
		g.Go(func() error { return loop(ctx) })
	}
	g.Go(func() error {
		if err := hfpeer.Serve(ctx, ln, s.handle); err != nil {
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

// Leave makes the instance leave: it is no longer ready, its duties move to the
// others, and its leaderships end.
func (s *Server) Leave() {
	if s.stopping.Swap(true) {
		return
	}
	s.log.Event(hfevent.Stopping)
	hfloop.With(s.members, func(m *hfpeer.State) bool { m.Leave(); return true })
}

// Stopping tells whether a planned stop is under way.
func (s *Server) Stopping() bool { return s.stopping.Load() }

// Ready tells whether callers should be sent here, and if not, why.
func (s *Server) Ready() (bool, string) {
	now := time.Now()
	switch {
	case s.stopping.Load():
		return false, "stopping"
	case !hfloop.With(s.config, (*hfconfig.State).Loaded):
		return false, "the configuration is not loaded"
	case hfloop.With(s.config, func(c *hfconfig.State) bool { return c.Isolated(now) }):
		return false, "neither the store nor another instance is heard"
	case now.Before(s.warm) && !s.warmed.Load() && !s.anySlot(now):
		return false, "no slots are lent yet"
	}
	return true, ""
}

// anySlot tells whether this instance may use a slot of any endpoint, or there are
// none.
func (s *Server) anySlot(now time.Time) bool {
	any := false
	s.desk.With(func(r *hfendpoint.Router) {
		_, total := r.Free(now)
		any = total > 0 || len(r.Rows()) == 0
	})
	if any {
		s.warmed.Store(true)
	}
	return any
}

// every calls f at an interval until ctx ends.
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

func (s *Server) sweepLoop(ctx context.Context) error {
	next, gauged := time.Now().Add(sweepLedger), time.Time{}
	return every(ctx, sweepInterval, func(ctx context.Context) {
		now := time.Now()
		s.desk.Sweep(now)
		if now.Sub(gauged) >= time.Second {
			gauged = now
			s.gauge()
		}
		if now.After(next) {
			next = now.Add(sweepLedger)
			s.sweepShards(ctx, now)
		}
	})
}

const (
	sweepInterval = 100 * time.Millisecond // late tickets are dropped and free slots dealt out
	sweepLedger   = 10 * time.Minute
)

func (s *Server) gauge() {
	waiting, flying := s.desk.Load()
	metrics.GetOrRegisterGauge("requests.waiting", s.registry).Update(int64(waiting))
	metrics.GetOrRegisterGauge("requests.flying", s.registry).Update(int64(flying))
	metrics.GetOrRegisterGauge("tasks.known", s.registry).Update(int64(hfloop.With(s.fleet, (*hfworker.Fleet).Tasks)))
	s.gaugeProcess()
}

// gaugeProcess shows the processor time and memory of this process.
func (s *Server) gaugeProcess() {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return
	}
	spent := time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	metrics.GetOrRegisterGauge("process.cpu.ms", s.registry).Update(spent.Milliseconds())
	metrics.GetOrRegisterGauge("process.peak.kb", s.registry).Update(usage.Maxrss)
}
