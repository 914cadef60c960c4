package hfserve

import (
	"context"
	"fmt"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/heatherfront/heatherfront/hfendpoint"
	"github.com/heatherfront/heatherfront/hfevent"
	"github.com/heatherfront/heatherfront/hfgang"
	"github.com/heatherfront/heatherfront/hfloop"
	"github.com/heatherfront/heatherfront/hfpeer"
	"github.com/heatherfront/heatherfront/hfworker"
)

// ErrMemberList reports that the membership list could not be fetched.
var ErrMemberList = eris.New("membership list unavailable")

const (
	minListInterval       = time.Second
	listTimeout           = 2 * time.Second
	maxListBytesPerSecond = 4 << 10 // bounds the average rate of fetching, so long lists are fetched less often
	maxListBytes          = 8 << 20
)

const stateLeaving = "leaving"

// memberListLoop fetches the membership list repeatedly, less often the longer the list
// is. While fetching fails, the last list stays in use, together with the seed
// instances of the settings.
func (s *Server) memberListLoop(ctx context.Context) error {
	s.applySeeds()
	failing := false
	list := newMemberList()
	var nextFetch time.Time
	return every(ctx, minListInterval, func(ctx context.Context) {
		if time.Now().Before(nextFetch) {
			return
		}
		body, err := s.fetchMemberList(ctx)
		var rejected []hfevent.Rejection
		if err == nil {
			rejected, err = list.update(body)
		}
		if err != nil {
			if !failing {
				s.log.Event(hfevent.ListFailed, zap.Error(err))
			}
			failing = true
			return
		}
		failing = false
		nextFetch = time.Now().Add(time.Duration(len(body)) * time.Second / maxListBytesPerSecond)
		for _, r := range rejected {
			metrics.GetOrRegisterCounter("members.rejected", s.registry).Inc(1)
			if !r.Repeated() {
				s.log.Event(hfevent.MemberRejected, zap.String("member", r.Key()), zap.String("error", r.Reason()))
			}
		}
		s.applyMemberList(ctx, list.rows)
	})
}

// applySeeds adds the seed instances of the settings to the known instances.
func (s *Server) applySeeds() {
	var seeds []hfpeer.Member
	for name, address := range s.settings.Seeds() {
		seeds = append(seeds, hfpeer.NewMember(name, address, "", "", false))
	}
	s.updatePeers(seeds)
}

// fetchMemberList returns the membership list as the platform sent it.
func (s *Server) fetchMemberList(ctx context.Context) ([]byte, error) {
	body, err := s.fetch(ctx, s.settings.MembersURL()+"/v1/members", listTimeout, maxListBytes)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMemberList, err)
	}
	return body, nil
}

// applyMemberList applies the instances, workers and endpoints of a membership list.
func (s *Server) applyMemberList(ctx context.Context, rows []memberRow) {
	var peers []hfpeer.Member
	var workers []hfworker.Worker
	var endpoints []hfendpoint.Endpoint
	for _, r := range rows {
		leaving := r.State == stateLeaving
		switch r.Role {
		case "instance":
			peers = append(peers, hfpeer.NewMember(r.Name, r.Address, r.Domain, r.Region, leaving))
		case "worker":
			workers = append(workers, hfworker.NewWorker(r.Name, r.Address, r.Domain, r.Region, r.Rack, r.Position, r.Accelerators, leaving))
		case "minion":
			endpoints = append(endpoints, hfendpoint.NewEndpoint(r.Name, r.Address, r.Domain, r.Region, r.Slots, leaving))
		}
	}
	s.updatePeers(peers)
	now := time.Now()
	s.updateInstances(now)
	s.dispatcher.WithRouter(func(r *hfendpoint.Router) { r.SetEndpoints(endpoints, now) })
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
		s.sendToLeaders(ctx, hfgang.Fleet(s.workersByName()))
	}
	s.updateOwnership(now)
}

// workersByName returns the workers of the membership list, and delisted ones of which
// there is still an observation. The map must not be changed.
func (s *Server) workersByName() map[string]hfworker.Worker {
	return hfloop.With(s.fleet, (*hfworker.Fleet).Workers)
}

// updatePeers applies a list of instances.
func (s *Server) updatePeers(list []hfpeer.Member) {
	cmds := hfloop.With(s.members, func(m *hfpeer.State) []hfpeer.Cmd { return m.Update(hfpeer.Listed(list), time.Now()) })
	s.executePeerCmds(cmds)
}

// executePeerCmds executes the commands of the membership state. If there are any, it also
// divides the limit on store calls among the live instances again.
func (s *Server) executePeerCmds(cmds []hfpeer.Cmd) {
	for _, cmd := range cmds {
		switch c := cmd.(type) {
		case hfpeer.UpCmd:
			s.log.Event(hfevent.PeerUp, zap.String("peer", c.Peer().Name()), zap.String("incarnation", c.Peer().Incarnation()))
		case hfpeer.SuspectCmd:
			s.log.Event(hfevent.PeerSuspect, zap.String("peer", c.Peer().Name()))
			s.forgetPeer(c.Peer().Name())
		case hfpeer.GoneCmd:
			s.log.Event(hfevent.PeerGone, zap.String("peer", c.Peer().Name()))
			s.forgetPeer(c.Peer().Name())
		case hfpeer.PausedCmd:
			s.log.Event(hfevent.SelfPaused, zap.Int64("ms", c.Gap()))
		}
	}
	if len(cmds) > 0 {
		s.store.SetInstances(len(s.livePeers()))
	}
}

// forgetPeer drops a peer's demand for slots and the state of the heartbeats to it. Loans
// to it stay in force until they expire, as it may still use them.
func (s *Server) forgetPeer(peer string) {
	hfloop.With(s.lender, func(l *hfendpoint.Lender) bool { l.Forget(peer); return true })
	hfloop.With(s.heartbeats, func(h *heartbeatStates) bool { h.forget(peer); return true })
}

// livePeers returns the live instances, including this one.
func (s *Server) livePeers() []hfpeer.Peer {
	return hfloop.With(s.members, (*hfpeer.State).Live)
}
