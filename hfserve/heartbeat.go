package hfserve

import (
	"context"
	"time"

	"github.com/heatherfront/heatherfront/hfconfig"
	"github.com/heatherfront/heatherfront/hfendpoint"
	"github.com/heatherfront/heatherfront/hfloop"
	"github.com/heatherfront/heatherfront/hfpeer"
	"github.com/heatherfront/heatherfront/hfwire"
	"github.com/heatherfront/heatherfront/hfworker"
)

// heartbeatState is the state of the heartbeats to one peer.
type heartbeatState struct {
	inFlight          bool      // a heartbeat is in flight; the next one waits for it
	incarnation       string    // of the peer, for which ackedFleetVersion holds
	ackedFleetVersion uint64    // fleet version that the peer has acknowledged
	ackedConfigDigest uint64    // configuration digest in the last acknowledged heartbeat
	ackedSentAt       time.Time // send time of the last acknowledged heartbeat
}

// heartbeatStates holds the state of the heartbeats to all peers.
type heartbeatStates struct{ byName map[string]*heartbeatState }

func newHeartbeatStates() *heartbeatStates {
	return &heartbeatStates{byName: map[string]*heartbeatState{}}
}

// forget drops the state of the heartbeats to a peer.
func (h *heartbeatStates) forget(peer string) { delete(h.byName, peer) }

// localState identifies the state that a heartbeat announces. Once a peer has
// acknowledged it, further heartbeats only show that this instance is alive.
type localState struct {
	fleetVersion uint64 // version of the worker reports
	configDigest uint64 // digest of the configuration
	urgent       bool   // requests wait for slots, or the instance is stopping
}

// start reports whether to send a heartbeat to a peer now, and the fleet version that
// the peer has acknowledged. It reports false while a heartbeat is in flight, and when
// there is nothing new to announce and the last acknowledged one was sent less than
// idleInterval ago.
func (h *heartbeatStates) start(p hfpeer.Peer, state localState, now time.Time, idleInterval time.Duration) (since uint64, ok bool) {
	e, known := h.byName[p.Name()]
	if !known {
		e = &heartbeatState{}
		h.byName[p.Name()] = e
	}
	if e.inFlight {
		return 0, false
	}
	if e.incarnation != p.Incarnation() {
		e.incarnation, e.ackedFleetVersion, e.ackedSentAt = p.Incarnation(), 0, time.Time{}
	}
	if !state.urgent && e.ackedFleetVersion == state.fleetVersion && e.ackedConfigDigest == state.configDigest && now.Sub(e.ackedSentAt) < idleInterval {
		return 0, false
	}
	e.inFlight = true
	return e.ackedFleetVersion, true
}

// finish records the result of a heartbeat. acked is false if it was not acknowledged;
// full means that the peer asks for all worker reports.
func (h *heartbeatStates) finish(p hfpeer.Peer, fleetVersion, configDigest uint64, acked, full bool, sentAt time.Time) {
	e, known := h.byName[p.Name()]
	if !known {
		return
	}
	e.inFlight = false
	switch {
	case full:
		e.ackedFleetVersion = 0
	case acked && e.incarnation == p.Incarnation():
		e.ackedFleetVersion, e.ackedConfigDigest, e.ackedSentAt = fleetVersion, configDigest, sentAt
	}
}

// heartbeatTimeout bounds one heartbeat. It is below the default suspect timeout of 3 s,
// but not below every valid one: the minimum is six heartbeat intervals, which is 300 ms
// at the shortest interval of 50 ms.
const heartbeatTimeout = time.Second

// heartbeatLoop sends heartbeats with this instance's state to every other instance.
func (s *Server) heartbeatLoop(ctx context.Context) error {
	return every(ctx, s.settings.HeartbeatInterval(), func(ctx context.Context) {
		now := time.Now()
		cmds := hfloop.With(s.members, func(m *hfpeer.State) []hfpeer.Cmd { return m.Update(hfpeer.TickMsg{}, now) })
		s.executePeerCmds(cmds)
		s.updateOwnership(now)
		s.updatePermits(now)
		s.borrowOwnSlots(now)
		s.sendFreshReports(ctx, now)
		state := s.localState()
		for _, p := range hfloop.With(s.members, (*hfpeer.State).Known) {
			since, ok := hfloop.With2(s.heartbeats, func(h *heartbeatStates) (uint64, bool) {
				return h.start(p, state, now, idleHeartbeatIntervals*s.settings.HeartbeatInterval()-s.settings.HeartbeatInterval()/2)
			})
			if !ok {
				continue
			}
			s.group.Go(func() error {
				s.sendHeartbeat(ctx, p, since)
				return nil
			})
		}
	})
}

// idleHeartbeatIntervals is the number of heartbeat intervals between two heartbeats
// while there is nothing new to announce.
const idleHeartbeatIntervals = 2

// localState returns the state that the next heartbeats announce.
func (s *Server) localState() localState {
	version := hfloop.With(s.fleet, (*hfworker.Fleet).Version)
	waiting, _ := s.dispatcher.Load()
	return localState{fleetVersion: version, configDigest: hfloop.With(s.config, (*hfconfig.State).Digest), urgent: waiting > 0 || s.stopping.Load()}
}

// sendHeartbeat sends the worker reports after version since and the rest of the local
// state to a peer, and records the loans in its acknowledgement.
func (s *Server) sendHeartbeat(ctx context.Context, p hfpeer.Peer, since uint64) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	sentAt := time.Now()
	beat, fleetVersion := s.buildHeartbeat(p, since, sentAt)
	out := s.links.Envelope()
	out.Body = &hfwire.Envelope_Beat{Beat: beat}
	in, err := s.links.Call(ctx, p, out)
	ack := in.GetAck()
	acked := err == nil && ack != nil
	hfloop.With(s.heartbeats, func(h *heartbeatStates) bool {
		h.finish(p, fleetVersion, beat.GetDigest(), acked, ack.GetFull(), sentAt)
		return true
	})
	if !acked {
		return
	}
	s.recordPeerContact()
	if in.GetSender() == p.Name() { // not of an instance that has taken over the address
		hfloop.With(s.fleet, func(f *hfworker.Fleet) bool {
			f.Update(hfworker.Leaderships(p.Name(), sentAt, ack.GetLeaderships()), time.Now())
			return true
		})
	}
	until := sentAt.Add(hfendpoint.LoanTTL)
	s.dispatcher.WithRouter(func(r *hfendpoint.Router) {
		for _, loan := range ack.GetLoans() {
			r.SetLoan(loan.GetEndpoint(), int(loan.GetSlots()), until)
		}
	})
}

// recordPeerContact records that another instance was heard from.
func (s *Server) recordPeerContact() {
	hfloop.With(s.config, func(c *hfconfig.State) bool { c.Update(hfconfig.ContactMsg{}, time.Now()); return true })
}

// buildHeartbeat returns the heartbeat for one peer, and the fleet version that the
// peer has once it acknowledges it.
func (s *Server) buildHeartbeat(p hfpeer.Peer, since uint64, now time.Time) (*hfwire.Beat, uint64) {
	self := hfloop.With(s.members, (*hfpeer.State).Self)
	beat := &hfwire.Beat{
		Sequence: s.heartbeatSequence.Add(1), Address: self.Address(), Domain: self.Domain(), Region: self.Region(),
		Leaving: self.Leaving(), Full: since == 0,
	}
	hfloop.With(s.config, func(c *hfconfig.State) bool {
		beat.Digest, beat.Revision = c.Digest(), c.CompleteRevision()
		return true
	})
	var fleetVersion uint64
	hfloop.With(s.fleet, func(f *hfworker.Fleet) bool {
		beat.Reports, fleetVersion = f.Reports(since, now)
		return true
	})
	beat.Health = s.unhealthyOwned()
	beat.Demand = s.queueDemand()
	beat.Usage = s.usageFor(p.Name(), now)
	return beat, fleetVersion
}

// queueDemand returns the demand of the queued requests.
func (s *Server) queueDemand() []*hfwire.Demand {
	list, _ := s.dispatcher.Demand()
	var out []*hfwire.Demand
	for _, d := range list {
		out = append(out, &hfwire.Demand{
			Class: d.Class(), Account: d.Account(), Callers: uint32(d.Callers()), Wanted: uint32(d.Wanted()),
		})
	}
	return out
}

// usageFor returns the slot usage of the endpoints that owner owns.
func (s *Server) usageFor(owner string, now time.Time) []*hfwire.Usage {
	live := s.livePeers()
	var out []*hfwire.Usage
	s.dispatcher.WithRouter(func(r *hfendpoint.Router) {
		regions := map[string]string{}
		for _, e := range r.Endpoints() {
			regions[e.Name()] = e.Region()
		}
		for _, u := range r.Usage(now) {
			if endpointOwner, ok := hfpeer.Owner(endpointOwnerKey(u.Endpoint()), live, "", regions[u.Endpoint()]); ok && endpointOwner == owner {
				out = append(out, &hfwire.Usage{Endpoint: u.Endpoint(), Busy: uint32(u.Busy()), Limit: uint32(u.Limit())})
			}
		}
	})
	return out
}

// borrowOwnSlots lends this instance its share of the slots of the endpoints that it owns.
func (s *Server) borrowOwnSlots(now time.Time) {
	self := hfloop.With(s.members, (*hfpeer.State).Self)
	if self.Leaving() {
		return
	}
	loans := s.lendTo(self, s.usageFor(self.Name(), now), s.queueDemand(), now)
	until := now.Add(hfendpoint.LoanTTL)
	s.dispatcher.WithRouter(func(r *hfendpoint.Router) {
		for _, l := range loans {
			r.SetLoan(l.Endpoint(), l.Slots(), until)
		}
	})
}

// lendTo lends slots of the endpoints that this instance owns to one instance.
func (s *Server) lendTo(p hfpeer.Peer, usage []*hfwire.Usage, demand []*hfwire.Demand, now time.Time) []hfendpoint.Loan {
	var live []hfendpoint.Borrower
	for _, q := range s.livePeers() {
		live = append(live, hfendpoint.NewBorrower(q.Name(), q.Incarnation(), q.Region()))
	}
	var uses []hfendpoint.Usage
	for _, u := range usage {
		uses = append(uses, hfendpoint.NewUsage(u.GetEndpoint(), int(u.GetBusy()), int(u.GetLimit())))
	}
	var demands []hfendpoint.Demand
	for _, d := range demand {
		demands = append(demands, hfendpoint.NewDemand(hfconfig.Class(d.GetClass()), d.GetAccount(), int(d.GetCallers()), int(d.GetWanted())))
	}
	borrower := hfendpoint.NewBorrower(p.Name(), p.Incarnation(), p.Region())
	return hfloop.With(s.lender, func(l *hfendpoint.Lender) []hfendpoint.Loan {
		loans := l.Lend(borrower, uses, demands, live, now)
		if err := l.Check(now); err != nil {
			s.recordViolation(err)
		}
		return loans
	})
}

// handleHeartbeat applies a heartbeat of another instance and returns the
// acknowledgement with its loans.
func (s *Server) handleHeartbeat(ctx context.Context, in *hfwire.Envelope) *hfwire.Envelope {
	beat := in.GetBeat()
	now := time.Now()
	peerCmds := hfloop.With(s.members, func(m *hfpeer.State) []hfpeer.Cmd {
		return m.Update(hfpeer.Heartbeat(in.GetSender(), in.GetIncarnation(), beat), now)
	})
	s.executePeerCmds(peerCmds)
	s.recordPeerContact()
	p, _ := hfloop.With2(s.members, func(m *hfpeer.State) (hfpeer.Peer, bool) { return m.Find(in.GetSender()) })
	if !p.IsLatest(in.GetIncarnation(), beat.GetSequence()) {
		// A newer heartbeat was handled before, so this one is out of date. After a pause
		// of this process, the heartbeats sent meanwhile arrive all at once.
		return s.newRefusal("an older beat", false)
	}
	if !p.Listed() {
		return s.newRefusal("the instance is not listed yet", false) // what it reports is not kept; it reports it again
	}
	s.syncConfig(ctx, p, beat)
	fleetCmds := hfloop.With(s.fleet, func(f *hfworker.Fleet) []hfworker.Cmd {
		return f.Update(hfworker.PeerReports(in.GetSender(), in.GetIncarnation(), beat.GetFull(), beat.GetReports()), now)
	})
	s.executeFleetCmds(ctx, fleetCmds)
	s.applyPeerHealth(p, beat.GetHealth(), now)
	ack := &hfwire.Ack{
		Full:        hfloop.With(s.fleet, func(f *hfworker.Fleet) bool { return f.NeedsFullReport(in.GetSender(), in.GetIncarnation()) }),
		Leaderships: append(s.leaderships(), s.relayedLeaderships()...),
	}
	if !p.Leaving() {
		for _, l := range s.lendTo(p, beat.GetUsage(), beat.GetDemand(), now) {
			ack.Loans = append(ack.Loans, &hfwire.Loan{
				Endpoint: l.Endpoint(), Slots: uint32(l.Slots()), Left: hfendpoint.LoanTTL.Milliseconds(),
			})
		}
	}
	out := s.links.Envelope()
	out.Body = &hfwire.Envelope_Ack{Ack: ack}
	return out
}
