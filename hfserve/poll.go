package hfserve

import (
	"context"
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

// ErrHealth reports that an endpoint's health page gave no answer.
var ErrHealth = eris.New("no answer from the health page")

const (
	pollsPerTick   = 8 // the fleet is looked at this often within one poll interval
	healthTimeout  = time.Second
	maxHealthBytes = 64 << 10
	missedChecks   = 2 // checks in a row without an answer after which an endpoint counts as down
)

// pollLoop calls the workers whose time has come.
func (s *Server) pollLoop(ctx context.Context) error {
	return every(ctx, s.settings.Poll()/pollsPerTick, func(ctx context.Context) {
		now := time.Now()
		cmds := hfloop.With(s.fleet, func(f *hfworker.Fleet) []hfworker.Cmd { return f.Update(hfworker.TickMsg{}, now) })
		s.tellFleet(ctx, cmds)
	})
}

// tellFleet carries out the fleet's commands.
func (s *Server) tellFleet(ctx context.Context, cmds []hfworker.Cmd) {
	for _, cmd := range cmds {
		switch c := cmd.(type) {
		case hfworker.PollCmd:
			s.group.Go(func() error {
				s.poll(ctx, c)
				return nil
			})
		case hfworker.ReportCmd:
			s.tellReport(ctx, c)
		case hfworker.PartialCmd:
			s.log.Event(hfevent.GangPartial, zap.String("job", c.Gang().Job()), zap.Uint32("attempt", c.Gang().Attempt()))
		}
	}
}

func (s *Server) tellReport(ctx context.Context, c hfworker.ReportCmd) {
	if c.Lost() {
		s.log.Event(hfevent.WorkerLost, zap.String("worker", c.Worker()))
	}
	domain := hfloop.With(s.fleet, func(f *hfworker.Fleet) string { return f.Workers()[c.Worker()].Domain() })
	if l := s.leader(domain); l != nil {
		_ = l.Send(ctx, hfgang.Report(c.Worker(), c.Tasks(), c.Lost())) // fails only when the leadership ends
	}
}

// poll renews the leases of whole gangs on one worker and takes its report.
func (s *Server) poll(ctx context.Context, c hfworker.PollCmd) {
	sent := time.Now()
	tasks, err := s.workers.Renew(ctx, c.Worker().Address(), c.Renew(), s.settings.Lease())
	now := time.Now()
	cmds := hfloop.With(s.fleet, func(f *hfworker.Fleet) []hfworker.Cmd {
		if err != nil {
			return f.Update(hfworker.Failed(c.Worker().Name()), now)
		}
		return f.Update(hfworker.Polled(c.Worker().Name(), tasks, sent), now)
	})
	s.tellFleet(ctx, cmds)
}

// healthLoop checks the endpoints that this instance owns.
func (s *Server) healthLoop(ctx context.Context) error {
	missed := hfloop.NewCell(map[string]int{})
	return every(ctx, s.settings.HealthInterval(), func(ctx context.Context) {
		for _, e := range s.ownedEndpoints() {
			s.group.Go(func() error {
				s.checkEndpoint(ctx, e, missed)
				return nil
			})
		}
	})
}

func (s *Server) ownedEndpoints() []hfendpoint.Endpoint {
	var rows []hfendpoint.Endpoint
	s.desk.With(func(r *hfendpoint.Router) { rows = r.Rows() })
	return hfloop.With(s.lender, func(l *hfendpoint.Lender) []hfendpoint.Endpoint {
		var owned []hfendpoint.Endpoint
		for _, e := range rows {
			if l.Owns(e.Name()) {
				owned = append(owned, e)
			}
		}
		return owned
	})
}

func (s *Server) checkEndpoint(ctx context.Context, e hfendpoint.Endpoint, missed *hfloop.Cell[map[string]int]) {
	leaving, err := s.fetchHealth(ctx, e.Address())
	if ctx.Err() != nil {
		return
	}
	down := hfloop.With(missed, func(m map[string]int) bool {
		if err == nil {
			delete(m, e.Name())
			return false
		}
		m[e.Name()]++
		return m[e.Name()] >= missedChecks
	})
	now := time.Now()
	s.desk.With(func(r *hfendpoint.Router) { r.Health(e.Name(), leaving, down, now) })
	s.markHealth(e.Name(), leaving, down)
}

// markHealth keeps what the other instances have to hear of an endpoint.
func (s *Server) markHealth(endpoint string, leaving, down bool) {
	hfloop.With(s.duties, func(d *duties) bool {
		if d.unwell == nil {
			d.unwell = map[string]*hfwire.Health{}
		}
		_, known := d.unwell[endpoint]
		if !leaving && !down {
			delete(d.unwell, endpoint)
			return true
		}
		d.unwell[endpoint] = &hfwire.Health{Endpoint: endpoint, Leaving: leaving, Down: down}
		if !known && leaving {
			s.log.Event(hfevent.EndpointLeaving, zap.String("endpoint", endpoint))
		}
		if !known && down {
			s.log.Event(hfevent.EndpointDown, zap.String("endpoint", endpoint))
		}
		return true
	})
}

func (s *Server) fetchHealth(ctx context.Context, address string) (leaving bool, err error) {
	var body struct {
		State string `json:"state"`
	}
	if _, err := s.fetch(ctx, "http://"+address+"/health", healthTimeout, maxHealthBytes, &body); err != nil {
		return false, fmt.Errorf("%w: %w", ErrHealth, err)
	}
	return body.State == stateLeaving, nil
}

// ownHealth returns the owned endpoints that do not serve. Those that are owned and
// not listed serve.
func (s *Server) ownHealth() []*hfwire.Health {
	return hfloop.With(s.duties, func(d *duties) []*hfwire.Health {
		list := make([]*hfwire.Health, 0, len(d.unwell))
		for _, h := range d.unwell {
			list = append(list, h)
		}
		return list
	})
}

// takeHealth takes what an owner says of its endpoints.
func (s *Server) takeHealth(p hfpeer.Peer, health []*hfwire.Health, now time.Time) {
	unwell := map[string]*hfwire.Health{}
	for _, h := range health {
		unwell[h.GetEndpoint()] = h
	}
	live := s.live()
	s.desk.With(func(r *hfendpoint.Router) {
		for _, e := range r.Rows() {
			if by, ok := hfpeer.Owner(endpointDuty(e.Name()), live, "", e.Region()); !ok || by != p.Name() {
				continue
			}
			h := unwell[e.Name()]
			r.Health(e.Name(), h.GetLeaving(), h.GetDown(), now)
		}
	})
}

// Breaker implements hfrequest.Observer.
func (s *Server) Breaker(endpoint string, change hfendpoint.Change) {
	event := hfevent.EndpointOpen
	if change == hfendpoint.Closed {
		event = hfevent.EndpointClosed
	}
	s.log.Event(event, zap.String("endpoint", endpoint))
}

// Leaving implements hfrequest.Observer.
func (s *Server) Leaving(endpoint string) {
	s.log.Event(hfevent.EndpointLeaving, zap.String("endpoint", endpoint))
}
