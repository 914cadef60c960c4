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

// exchange is the state of the beats to one peer.
type exchange struct {
	busy        bool      // a beat is under way; the next one waits for it
	incarnation string    // that acked belongs to
	acked       uint64    // version of the fleet that the peer has heard
	told        uint64    // digest of the configuration in the last beat that was answered
	sent        time.Time // of the last beat that was answered
}

// exchanges holds the state of the beats to all peers.
type exchanges struct{ byName map[string]*exchange }

func newExchanges() *exchanges { return &exchanges{byName: map[string]*exchange{}} }

func (x *exchanges) forget(peer string) { delete(x.byName, peer) }

// news is what a beat would tell a peer beyond that this instance lives.
type news struct {
	version uint64 // of the fleet
	digest  uint64 // of the configuration
	demand  bool   // requests wait
}

// begin returns the version that a peer has heard, unless a beat is under way, or
// there is no news and the last one was sent less than quiet ago.
func (x *exchanges) begin(p hfpeer.Peer, n news, now time.Time, quiet time.Duration) (since uint64, ok bool) {
	e, known := x.byName[p.Name()]
	if !known {
		e = &exchange{}
		x.byName[p.Name()] = e
	}
	if e.busy {
		return 0, false
	}
	if e.incarnation != p.Incarnation() {
		e.incarnation, e.acked, e.sent = p.Incarnation(), 0, time.Time{}
	}
	if !n.demand && e.acked == n.version && e.told == n.digest && now.Sub(e.sent) < quiet {
		return 0, false
	}
	e.busy = true
	return e.acked, true
}

// end takes the result of a beat.
func (x *exchanges) end(p hfpeer.Peer, heard, told uint64, ok, full bool, sent time.Time) {
	e, known := x.byName[p.Name()]
	if !known {
		return
	}
	e.busy = false
	switch {
	case full:
		e.acked = 0
	case ok && e.incarnation == p.Incarnation():
		e.acked, e.told, e.sent = heard, told, sent
	}
}

// beatTimeout bounds one beat. It stays below the shortest suspicion time.
const beatTimeout = time.Second

// beatLoop tells every other instance what this one knows.
func (s *Server) beatLoop(ctx context.Context) error {
	return every(ctx, s.settings.Beat(), func(ctx context.Context) {
		now := time.Now()
		cmds := hfloop.With(s.members, func(m *hfpeer.State) []hfpeer.Cmd { return m.Update(hfpeer.TickMsg{}, now) })
		s.tellPeers(cmds)
		s.divide(now)
		s.lendSelf(now)
		s.tellSeen(ctx, now)
		n := s.news()
		for _, p := range hfloop.With(s.members, (*hfpeer.State).Known) {
			since, ok := hfloop.With2(s.peers, func(x *exchanges) (uint64, bool) {
				return x.begin(p, n, now, quietBeats*s.settings.Beat()-s.settings.Beat()/2)
			})
			if !ok {
				continue
			}
			s.group.Go(func() error {
				s.beat(ctx, p, since)
				return nil
			})
		}
	})
}

// quietBeats is the number of beat intervals between two beats without news.
const quietBeats = 2

// news returns what the next beats have to tell.
func (s *Server) news() news {
	version := hfloop.With(s.fleet, (*hfworker.Fleet).Version)
	waiting, _ := s.desk.Load()
	return news{version: version, digest: hfloop.With(s.config, (*hfconfig.State).Digest), demand: waiting > 0 || s.stopping.Load()}
}

// beat sends one beat and takes the loans that come back.
func (s *Server) beat(ctx context.Context, p hfpeer.Peer, since uint64) {
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	sent := time.Now()
	beat, heard := s.buildBeat(p, since, sent)
	out := s.links.Envelope()
	out.Body = &hfwire.Envelope_Beat{Beat: beat}
	in, err := s.links.Call(ctx, p, out)
	ack := in.GetAck()
	ok := err == nil && ack != nil
	hfloop.With(s.peers, func(x *exchanges) bool { x.end(p, heard, beat.GetDigest(), ok, ack.GetFull(), sent); return true })
	if !ok {
		return
	}
	s.heardPeer()
	until := sent.Add(hfendpoint.LoanTTL)
	s.desk.With(func(r *hfendpoint.Router) {
		for _, loan := range ack.GetLoans() {
			r.Lend(loan.GetEndpoint(), int(loan.GetSlots()), until)
		}
	})
}

func (s *Server) heardPeer() {
	hfloop.With(s.config, func(c *hfconfig.State) bool { c.Update(hfconfig.HeardMsg{}, time.Now()); return true })
}

// buildBeat returns the beat for one peer, and the version of the fleet that the
// peer has heard with it.
func (s *Server) buildBeat(p hfpeer.Peer, since uint64, now time.Time) (*hfwire.Beat, uint64) {
	self := hfloop.With(s.members, (*hfpeer.State).Self)
	beat := &hfwire.Beat{
		Sequence: s.sequence.Add(1), Address: self.Address(), Domain: self.Domain(), Region: self.Region(),
		Leaving: self.Leaving(), Full: since == 0,
	}
	hfloop.With(s.config, func(c *hfconfig.State) bool {
		beat.Digest, beat.Revision = c.Digest(), c.Complete()
		return true
	})
	var heard uint64
	hfloop.With(s.fleet, func(f *hfworker.Fleet) bool {
		beat.Reports, heard = f.Reports(since)
		return true
	})
	beat.Health = s.ownHealth()
	beat.Demand = s.demand()
	beat.Usage = s.usageFor(p.Name(), now)
	return beat, heard
}

func (s *Server) demand() []*hfwire.Demand {
	list, _ := s.desk.Demand()
	var out []*hfwire.Demand
	for _, d := range list {
		out = append(out, &hfwire.Demand{
			Class: d.Class(), Account: d.Account(), Callers: uint32(d.Callers()), Wanted: uint32(d.Wanted()),
		})
	}
	return out
}

// usageFor returns the use of the endpoints whose slots a peer lends.
func (s *Server) usageFor(owner string, now time.Time) []*hfwire.Usage {
	live := s.live()
	var out []*hfwire.Usage
	s.desk.With(func(r *hfendpoint.Router) {
		regions := map[string]string{}
		for _, e := range r.Rows() {
			regions[e.Name()] = e.Region()
		}
		for _, u := range r.Usage(now) {
			if by, ok := hfpeer.Owner(endpointDuty(u.Endpoint()), live, "", regions[u.Endpoint()]); ok && by == owner {
				out = append(out, &hfwire.Usage{Endpoint: u.Endpoint(), Busy: uint32(u.Busy()), Limit: uint32(u.Limit())})
			}
		}
	})
	return out
}

// lendSelf takes this instance's own share of the slots that it lends.
func (s *Server) lendSelf(now time.Time) {
	self := hfloop.With(s.members, (*hfpeer.State).Self)
	if self.Leaving() {
		return
	}
	loans := s.serveBorrower(self, s.usageFor(self.Name(), now), s.demand(), now)
	until := now.Add(hfendpoint.LoanTTL)
	s.desk.With(func(r *hfendpoint.Router) {
		for _, l := range loans {
			r.Lend(l.Endpoint(), l.Slots(), until)
		}
	})
}

// serveBorrower lends to one instance from the endpoints that this one owns.
func (s *Server) serveBorrower(p hfpeer.Peer, usage []*hfwire.Usage, demand []*hfwire.Demand, now time.Time) []hfendpoint.Loan {
	var live []hfendpoint.Borrower
	for _, q := range s.live() {
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
		loans := l.Serve(borrower, uses, demands, live, now)
		if err := l.Check(now); err != nil {
			s.broken(err)
		}
		return loans
	})
}

// takeBeat handles a beat of another instance.
func (s *Server) takeBeat(ctx context.Context, in *hfwire.Envelope) *hfwire.Envelope {
	beat := in.GetBeat()
	now := time.Now()
	cmds := hfloop.With(s.members, func(m *hfpeer.State) []hfpeer.Cmd {
		return m.Update(hfpeer.Beaten(in.GetSender(), in.GetIncarnation(), beat), now)
	})
	s.tellPeers(cmds)
	s.heardPeer()
	p, _ := hfloop.With2(s.members, func(m *hfpeer.State) (hfpeer.Peer, bool) { return m.Find(in.GetSender()) })
	if !p.Last(in.GetIncarnation(), beat.GetSequence()) {
		// A newer beat was taken before: what this one tells is out of date, as after a
		// pause of this process, when beats of that time arrive all at once.
		return s.refusal("an older beat", false)
	}
	s.compareConfig(ctx, p, beat)
	reports := hfloop.With(s.fleet, func(f *hfworker.Fleet) []hfworker.Cmd {
		return f.Update(hfworker.Heard(in.GetSender(), in.GetIncarnation(), beat.GetFull(), beat.GetReports()), now)
	})
	s.tellFleet(ctx, reports)
	s.takeHealth(p, beat.GetHealth(), now)
	ack := &hfwire.Ack{Full: hfloop.With(s.fleet, func(f *hfworker.Fleet) bool { return f.Lacks(in.GetSender(), in.GetIncarnation()) })}
	if !p.Leaving() {
		for _, l := range s.serveBorrower(p, beat.GetUsage(), beat.GetDemand(), now) {
			ack.Loans = append(ack.Loans, &hfwire.Loan{
				Endpoint: l.Endpoint(), Slots: uint32(l.Slots()), Left: hfendpoint.LoanTTL.Milliseconds(),
			})
		}
	}
	out := s.links.Envelope()
	out.Body = &hfwire.Envelope_Ack{Ack: ack}
	return out
}
