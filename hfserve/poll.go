package hfserve

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/heatherfront/heatherfront/hfendpoint"
	"github.com/heatherfront/heatherfront/hfevent"
	"github.com/heatherfront/heatherfront/hfgang"
	"github.com/heatherfront/heatherfront/hfloop"
	"github.com/heatherfront/heatherfront/hfpeer"
	"github.com/heatherfront/heatherfront/hfwire"
	"github.com/heatherfront/heatherfront/hfworker"
)

// ErrHealth reports that an endpoint's health check failed.
var ErrHealth = eris.New("health check failed")

const (
	ticksPerPoll          = 8 // checks for workers that are due, in one poll interval
	healthTimeout         = time.Second
	maxHealthBytes        = 64 << 10
	failedChecksUntilDown = 2 // consecutive failed checks after which an endpoint counts as down
)

// pollLoop polls the workers that are due.
func (s *Server) pollLoop(ctx context.Context) error {
	return every(ctx, s.settings.PollInterval()/ticksPerPoll, func(ctx context.Context) {
		now := time.Now()
		cmds := hfloop.With(s.fleet, func(f *hfworker.Fleet) []hfworker.Cmd { return f.Update(hfworker.TickMsg{}, now) })
		s.executeFleetCmds(ctx, cmds)
	})
}

// executeFleetCmds executes the commands of the fleet.
func (s *Server) executeFleetCmds(ctx context.Context, cmds []hfworker.Cmd) {
	for _, cmd := range cmds {
		switch c := cmd.(type) {
		case hfworker.PollCmd:
			s.group.Go(func() error {
				s.pollWorker(ctx, c)
				return nil
			})
		case hfworker.ReportCmd:
			s.forwardReport(ctx, c)
		case hfworker.PartialCmd:
			s.log.Event(hfevent.GangPartial, zap.String("job", c.Gang().Job()), zap.Uint32("attempt", c.Gang().Attempt()))
		case hfworker.PermitCmd:
			event := hfevent.RenewalResumed
			if c.Ended() {
				event = hfevent.RenewalPaused
			}
			s.log.Event(event, zap.String("domain", c.Domain()))
		}
	}
}

// forwardReport passes a worker's report to the leader of its failure domain, if this
// instance leads it.
func (s *Server) forwardReport(ctx context.Context, c hfworker.ReportCmd) {
	if c.Lost() {
		s.log.Event(hfevent.WorkerLost, zap.String("worker", c.Worker()))
	}
	domain := hfloop.With(s.fleet, func(f *hfworker.Fleet) string { return f.Workers()[c.Worker()].Domain() })
	if l := s.localLeader(domain); l != nil {
		_ = l.Send(ctx, hfgang.Report(c.Worker(), c.Tasks(), c.Lost())) // fails only when the leadership has ended
	}
}

// pollWorker polls one worker: it renews the leases of the tasks that the fleet named,
// and records the worker's tasks or the failed poll.
func (s *Server) pollWorker(ctx context.Context, c hfworker.PollCmd) {
	sent := time.Now()
	renew := c.Renew()
	if !sent.Before(c.RenewUntil()) {
		renew = nil // the process was paused since the decision
	}
	tasks, err := s.workers.Renew(ctx, c.Worker().Address(), renew, s.settings.TaskLease())
	now := time.Now()
	cmds := hfloop.With(s.fleet, func(f *hfworker.Fleet) []hfworker.Cmd {
		if err != nil {
			return f.Update(hfworker.PollFailed(c.Worker().Name()), now)
		}
		return f.Update(hfworker.Polled(c.Worker().Name(), tasks, sent), now)
	})
	s.executeFleetCmds(ctx, cmds)
}

// healthLoop checks the endpoints that this instance owns.
func (s *Server) healthLoop(ctx context.Context) error {
	failures := hfloop.NewGuarded(map[string]int{})
	return every(ctx, s.settings.HealthInterval(), func(ctx context.Context) {
		for _, e := range s.ownedEndpoints() {
			s.group.Go(func() error {
				s.checkEndpoint(ctx, e, failures)
				return nil
			})
		}
	})
}

// ownedEndpoints returns the listed endpoints that this instance owns.
func (s *Server) ownedEndpoints() []hfendpoint.Endpoint {
	var listed []hfendpoint.Endpoint
	s.dispatcher.WithRouter(func(r *hfendpoint.Router) { listed = r.Endpoints() })
	return hfloop.With(s.lender, func(l *hfendpoint.Lender) []hfendpoint.Endpoint {
		var owned []hfendpoint.Endpoint
		for _, e := range listed {
			if l.Owns(e.Name()) {
				owned = append(owned, e)
			}
		}
		return owned
	})
}

// checkEndpoint checks the health of one endpoint. failures holds the number of
// consecutive failed checks by endpoint.
func (s *Server) checkEndpoint(ctx context.Context, e hfendpoint.Endpoint, failures *hfloop.Guarded[map[string]int]) {
	leaving, err := s.fetchHealth(ctx, e.Address())
	if ctx.Err() != nil {
		return
	}
	down := hfloop.With(failures, func(m map[string]int) bool {
		if err == nil {
			delete(m, e.Name())
			return false
		}
		m[e.Name()]++
		return m[e.Name()] >= failedChecksUntilDown
	})
	now := time.Now()
	s.dispatcher.WithRouter(func(r *hfendpoint.Router) { r.SetHealth(e.Name(), leaving, down, now) })
	s.recordHealth(e.Name(), leaving, down)
}

// recordHealth stores the health of an owned endpoint, which heartbeats announce to the
// other instances.
func (s *Server) recordHealth(endpoint string, leaving, down bool) {
	hfloop.With(s.ownership, func(o *ownership) bool {
		if o.unhealthy == nil {
			o.unhealthy = map[string]*hfwire.Health{}
		}
		_, known := o.unhealthy[endpoint]
		if !leaving && !down {
			delete(o.unhealthy, endpoint)
			return true
		}
		o.unhealthy[endpoint] = &hfwire.Health{Endpoint: endpoint, Leaving: leaving, Down: down}
		if !known && leaving {
			s.log.Event(hfevent.EndpointLeaving, zap.String("endpoint", endpoint))
		}
		if !known && down {
			s.log.Event(hfevent.EndpointDown, zap.String("endpoint", endpoint))
		}
		return true
	})
}

// fetchHealth reports whether an endpoint is leaving.
func (s *Server) fetchHealth(ctx context.Context, address string) (leaving bool, err error) {
	var body struct {
		State string `json:"state"`
	}
	raw, err := s.fetch(ctx, "http://"+address+"/health", healthTimeout, maxHealthBytes)
	if err == nil {
		err = json.Unmarshal(raw, &body)
	}
	if err != nil {
		return false, fmt.Errorf("%w: %w", ErrHealth, err)
	}
	return body.State == stateLeaving, nil
}

// unhealthyOwned returns the owned endpoints that are leaving or down. All other owned
// endpoints are healthy.
func (s *Server) unhealthyOwned() []*hfwire.Health {
	return hfloop.With(s.ownership, func(o *ownership) []*hfwire.Health {
		list := make([]*hfwire.Health, 0, len(o.unhealthy))
		for _, h := range o.unhealthy {
			list = append(list, h)
		}
		return list
	})
}

// applyPeerHealth applies the health of the endpoints that a peer owns. Those that it
// does not list are healthy.
func (s *Server) applyPeerHealth(p hfpeer.Peer, health []*hfwire.Health, now time.Time) {
	unhealthy := map[string]*hfwire.Health{}
	for _, h := range health {
		unhealthy[h.GetEndpoint()] = h
	}
	live := s.livePeers()
	s.dispatcher.WithRouter(func(r *hfendpoint.Router) {
		for _, e := range r.Endpoints() {
			if owner, ok := hfpeer.Owner(endpointOwnerKey(e.Name()), live, "", e.Region()); !ok || owner != p.Name() {
				continue
			}
			h := unhealthy[e.Name()]
			r.SetHealth(e.Name(), h.GetLeaving(), h.GetDown(), now)
		}
	})
}

// BreakerChanged implements hfrequest.Observer.
func (s *Server) BreakerChanged(endpoint string, change hfendpoint.BreakerChange) {
	event := hfevent.EndpointOpen
	if change == hfendpoint.Closed {
		event = hfevent.EndpointClosed
	}
	s.log.Event(event, zap.String("endpoint", endpoint))
}

// EndpointLeaving implements hfrequest.Observer.
func (s *Server) EndpointLeaving(endpoint string) {
	s.log.Event(hfevent.EndpointLeaving, zap.String("endpoint", endpoint))
}
