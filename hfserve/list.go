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
	"github.com/heatherfront/heatherfront/hfworker"
)

// ErrList reports that the membership list gave no answer.
var ErrList = eris.New("membership list unavailable")

const (
	listShortest = time.Second
	listTimeout  = 2 * time.Second
	listRate     = 4 << 10 // bytes a second that following the list may cost
	maxListBytes = 8 << 20
)

// row is one row of the platform's membership list.
type row struct {
	Name         string `json:"name"`
	Role         string `json:"role"`
	Address      string `json:"address"`
	Domain       string `json:"domain"`
	Region       string `json:"region"`
	Rack         string `json:"rack"`
	Position     int    `json:"position"`
	Accelerators int    `json:"accelerators"`
	Slots        int    `json:"slots"`
	State        string `json:"state"`
}

const stateLeaving = "leaving"

// followList takes the membership list again and again, the more seldom the longer it
// is. While it gives no answer, the last one stays in use, with the instances of the
// settings.
func (s *Server) followList(ctx context.Context) error {
	s.takeSeeds()
	failing := false
	var next time.Time
	return every(ctx, listShortest, func(ctx context.Context) {
		if time.Now().Before(next) {
			return
		}
		rows, size, err := s.fetchList(ctx)
		if err != nil {
			if !failing {
				s.log.Event(hfevent.ListFailed, zap.Error(err))
			}
			failing = true
			return
		}
		failing = false
		next = time.Now().Add(time.Duration(size) * time.Second / listRate)
		s.takeList(ctx, rows)
	})
}

func (s *Server) takeSeeds() {
	var rows []hfpeer.Row
	for name, address := range s.settings.Seeds() {
		rows = append(rows, hfpeer.NewRow(name, address, "", "", false))
	}
	s.takePeers(rows)
}

// fetchList returns the list and its size in bytes.
func (s *Server) fetchList(ctx context.Context) ([]row, int, error) {
	var rows []row
	size, err := s.fetch(ctx, s.settings.Members()+"/v1/members", listTimeout, maxListBytes, &rows)
	if err != nil {
		return nil, 0, fmt.Errorf("%w: %w", ErrList, err)
	}
	if len(rows) == 0 {
		return nil, 0, fmt.Errorf("%w: it is empty", ErrList)
	}
	return rows, size, nil
}

func (s *Server) takeList(ctx context.Context, rows []row) {
	var peers []hfpeer.Row
	var workers []hfworker.Worker
	var endpoints []hfendpoint.Endpoint
	for _, r := range rows {
		leaving := r.State == stateLeaving
		switch r.Role {
		case "instance":
			peers = append(peers, hfpeer.NewRow(r.Name, r.Address, r.Domain, r.Region, leaving))
		case "worker":
			workers = append(workers, hfworker.NewWorker(r.Name, r.Address, r.Domain, r.Region, r.Rack, r.Position, r.Accelerators, leaving))
		case "minion":
			endpoints = append(endpoints, hfendpoint.NewEndpoint(r.Name, r.Address, r.Domain, r.Region, r.Slots, leaving))
		}
	}
	s.takePeers(peers)
	now := time.Now()
	s.desk.With(func(r *hfendpoint.Router) { r.List(endpoints, now) })
	changed := hfloop.With(s.fleet, func(f *hfworker.Fleet) bool {
		before := len(f.Workers())
		same := before == len(workers)
		for _, w := range workers {
			same = same && f.Workers()[w.Name()] == w
		}
		f.Update(hfworker.Listed(workers), now)
		return !same
	})
	if changed {
		s.tellLeaders(ctx, hfgang.Fleet(s.workerRows()))
	}
	s.divide(now)
}

// workerRows returns the workers of the membership list. The map must not be
// changed.
func (s *Server) workerRows() map[string]hfworker.Worker {
	return hfloop.With(s.fleet, (*hfworker.Fleet).Workers)
}

func (s *Server) takePeers(rows []hfpeer.Row) {
	cmds := hfloop.With(s.members, func(m *hfpeer.State) []hfpeer.Cmd { return m.Update(hfpeer.Listed(rows), time.Now()) })
	s.tellPeers(cmds)
}

func (s *Server) tellPeers(cmds []hfpeer.Cmd) {
	for _, cmd := range cmds {
		switch c := cmd.(type) {
		case hfpeer.UpCmd:
			s.log.Event(hfevent.PeerUp, zap.String("peer", c.Peer().Name()), zap.String("incarnation", c.Peer().Incarnation()))
		case hfpeer.SuspectCmd:
			s.log.Event(hfevent.PeerSuspect, zap.String("peer", c.Peer().Name()))
			s.forget(c.Peer().Name())
		case hfpeer.GoneCmd:
			s.log.Event(hfevent.PeerGone, zap.String("peer", c.Peer().Name()))
			s.forget(c.Peer().Name())
		case hfpeer.PausedCmd:
			s.log.Event(hfevent.SelfPaused, zap.Int64("ms", c.Gap()))
		}
	}
	if len(cmds) > 0 {
		s.store.Share(len(s.live()))
	}
}

func (s *Server) forget(peer string) {
	hfloop.With(s.lender, func(l *hfendpoint.Lender) bool { l.Forget(peer); return true })
	hfloop.With(s.peers, func(x *exchanges) bool { x.forget(peer); return true })
}

func (s *Server) live() []hfpeer.Peer {
	return hfloop.With(s.members, (*hfpeer.State).Live)
}
