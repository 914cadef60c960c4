package hfserve

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/heatherfront/heatherfront/hfconfig"
	"github.com/heatherfront/heatherfront/hfevent"
	"github.com/heatherfront/heatherfront/hfgang"
	"github.com/heatherfront/heatherfront/hflease"
	"github.com/heatherfront/heatherfront/hfloop"
	"github.com/heatherfront/heatherfront/hfpeer"
	"github.com/heatherfront/heatherfront/hfreport"
	"github.com/heatherfront/heatherfront/hfstore"
	"github.com/heatherfront/heatherfront/hfwire"
	"github.com/heatherfront/heatherfront/hfworker"
)

// leaderKeyPrefix begins the store keys of the leader records, one for each failure
// domain.
const leaderKeyPrefix = hfconfig.WatchPrefix + "lead/"

// leaderRecord is the value stored under the leader key of a failure domain.
type leaderRecord struct {
	Name  string `json:"name"`
	Nonce string `json:"nonce"` // unique to one attempt to acquire the lease
}

const (
	campaignInterval     = 250 * time.Millisecond
	campaignDelayPerRank = 500 * time.Millisecond // added for each instance that is preferred as leader
)

// updateLeaderRecords applies the leader records among the items of the store watch.
// listed marks a complete list.
func (s *Server) updateLeaderRecords(items []hfstore.Item, listed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if listed {
		s.leaderRecords = map[string]leaderRecord{}
	}
	for _, i := range items {
		domain, ok := strings.CutPrefix(i.Key(), leaderKeyPrefix)
		if !ok {
			continue
		}
		var l leaderRecord
		if i.Deleted() || json.Unmarshal(i.Value(), &l) != nil {
			delete(s.leaderRecords, domain)
			continue
		}
		s.leaderRecords[domain] = l
	}
}

// LeaderName returns the instance that leads a failure domain, or "".
func (s *Server) LeaderName(domain string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaderRecords[domain].Name
}

// Domains returns the failure domains that have workers, sorted.
func (s *Server) Domains() []string {
	seen := map[string]bool{}
	for _, w := range s.workersByName() {
		seen[w.Domain()] = true
	}
	domains := make([]string, 0, len(seen))
	for d := range seen {
		domains = append(domains, d)
	}
	sort.Strings(domains)
	return domains
}

// campaignLoop tries to become leader of each failure domain without a leader. Each
// instance waits for a time that grows with its rank for the domain, so that the
// preferred one tries first.
func (s *Server) campaignLoop(ctx context.Context) error {
	leaderlessSince := map[string]time.Time{} // by domain: since when no leader is known
	return every(ctx, campaignInterval, func(ctx context.Context) {
		now := time.Now()
		if s.stopping.Load() || s.lastStoreContact.Load() == 0 {
			return
		}
		for _, domain := range s.Domains() {
			if s.LeaderName(domain) != "" || s.localLeader(domain) != nil {
				delete(leaderlessSince, domain)
				continue
			}
			if leaderlessSince[domain].IsZero() {
				leaderlessSince[domain] = now
			}
			delay := time.Duration(s.campaignRank(domain)) * campaignDelayPerRank
			if now.Sub(leaderlessSince[domain]) < delay {
				continue
			}
			delete(leaderlessSince, domain)
			s.tryAcquireLeadership(ctx, domain)
		}
	})
}

// campaignRank returns the number of live instances that are preferred over this one as
// leader of a failure domain.
func (s *Server) campaignRank(domain string) int {
	candidates := s.livePeers()
	for n := 0; len(candidates) > 0; n++ {
		owner, ok := hfpeer.Owner("lead/"+domain, candidates, domain, s.regionOf(domain))
		if !ok || owner == s.settings.Name() {
			return n
		}
		rest := candidates[:0:0]
		for _, p := range candidates {
			if p.Name() != owner {
				rest = append(rest, p)
			}
		}
		candidates = rest
	}
	return 0
}

// regionOf returns the region of the workers of a failure domain.
func (s *Server) regionOf(domain string) string {
	for _, w := range s.workersByName() {
		if w.Domain() == domain {
			return w.Region()
		}
	}
	return ""
}

// localLeader returns this instance's leader of a failure domain, or nil if it does not
// lead the domain.
func (s *Server) localLeader(domain string) *hfgang.Leader {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.localLeaders[domain]
}

// setLocalLeader sets this instance's leader of a failure domain. nil removes it.
func (s *Server) setLocalLeader(domain string, l *hfgang.Leader) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l == nil {
		delete(s.localLeaders, domain)
		return
	}
	s.localLeaders[domain] = l
}

// tryAcquireLeadership tries once to take a failure domain's lease. On success, it
// starts a leader that runs until the lease is lost or the instance begins to stop.
func (s *Server) tryAcquireLeadership(ctx context.Context, domain string) {
	value, err := json.Marshal(leaderRecord{Name: s.settings.Name(), Nonce: uuid.NewString()})
	if err != nil {
		s.recordViolation(err)
		return
	}
	tenure, lease, err := hflease.Acquire(ctx, s.store, leaderKeyPrefix+domain, func(string) ([]byte, error) { return value, nil }, hflease.TTL)
	if err != nil {
		return // held by another instance, or the store is unavailable; the next round tries again
	}
	timing := hfgang.NewTiming(s.settings.TaskLease(), s.freshness(), s.settings.Retention())
	leader := hfgang.NewLeader(domain, tenure, s.store, s.workers, leaderObserver{server: s}, timing, s.settings.JobMemory()/int64(max(len(s.Domains()), 1)))
	s.setLocalLeader(domain, leader)
	s.log.Event(hfevent.LeaderElected, zap.String("domain", domain), zap.Int64("epoch", tenure.Epoch()))
	s.group.Go(func() error {
		defer s.setLocalLeader(domain, nil)
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		s.group.Go(func() error {
			s.cancelWhenStopping(ctx, cancel)
			return nil
		})
		err := hflease.Hold(ctx, s.store, tenure, lease, hflease.TTL, func(ctx context.Context) error {
			return leader.Run(ctx, func() []hfgang.Msg { return s.initialMessages(domain) })
		})
		event := hfevent.LeaderLost
		if errors.Is(err, hfstore.ErrUnavailable) {
			event = hfevent.TakeoverRetry
		}
		s.log.Event(event, zap.String("domain", domain), zap.Int64("epoch", tenure.Epoch()), zap.Error(err))
		return nil
	})
}

// cancelWhenStopping ends a leadership when the instance begins to stop.
func (s *Server) cancelWhenStopping(ctx context.Context, cancel func()) {
	_ = every(ctx, campaignInterval, func(context.Context) {
		if s.stopping.Load() {
			cancel()
		}
	})
}

// freshness returns how long a worker's answer, or a heartbeat of the instance that polls it,
// keeps its report current.
func (s *Server) freshness() time.Duration {
	return hfloop.With(s.fleet, (*hfworker.Fleet).Freshness)
}

// initialMessages returns the current accounts, workers and reports, which a new leader
// needs before it loads the stored jobs.
func (s *Server) initialMessages(domain string) []hfgang.Msg {
	msgs := []hfgang.Msg{hfgang.Accounts(s.Accounts()), hfgang.Fleet(s.workersByName())}
	now := time.Now()
	hfloop.With(s.fleet, func(f *hfworker.Fleet) bool {
		f.EachObservation(domain, now, func(worker string, tasks []*hfwire.Task, lost bool) {
			msgs = append(msgs, hfgang.Report(worker, tasks, lost))
		})
		return true
	})
	return msgs
}

// updatePermits passes the known instances, and the leaderships of this one, to the fleet.
func (s *Server) updatePermits(now time.Time) {
	s.updateInstances(now)
	own := s.leaderships()
	hfloop.With(s.fleet, func(f *hfworker.Fleet) bool {
		f.Update(hfworker.Leaderships(s.settings.Name(), now, own), now)
		return true
	})
}

// updateInstances passes the known instances to the fleet. The members are held meanwhile, so that
// no older set replaces a later one.
func (s *Server) updateInstances(now time.Time) {
	hfloop.With(s.members, func(m *hfpeer.State) bool {
		names := []string{s.settings.Name()}
		for _, p := range m.Known() {
			names = append(names, p.Name())
		}
		hfloop.With(s.fleet, func(f *hfworker.Fleet) bool { f.Update(hfworker.Instances(names), now); return true })
		return true
	})
}

// leaderships returns what the leaders of this instance let the observers renew. A leader that has
// not loaded the records is left out: it has revoked nothing.
func (s *Server) leaderships() []*hfwire.Leadership {
	s.mu.Lock()
	leaders := maps.Clone(s.localLeaders)
	s.mu.Unlock()
	out := make([]*hfwire.Leadership, 0, len(leaders))
	for _, domain := range slices.Sorted(maps.Keys(leaders)) {
		if revoked, valid := leaders[domain].Revoked(); revoked != nil {
			out = append(out, &hfwire.Leadership{Domain: domain, Unsettled: !valid, Revoked: hfworker.Attempts(revoked)})
		}
	}
	return out
}

// relayedLeaderships returns what the leaders of other instances answered to this one.
func (s *Server) relayedLeaderships() []*hfwire.Leadership {
	return hfloop.With(s.fleet, func(f *hfworker.Fleet) []*hfwire.Leadership { return f.Leaderships(s.settings.Name(), time.Now()) })
}

// sendToLeaders sends a message to every leader of this instance.
func (s *Server) sendToLeaders(ctx context.Context, msg hfgang.Msg) {
	s.mu.Lock()
	leaders := make([]*hfgang.Leader, 0, len(s.localLeaders))
	for _, l := range s.localLeaders {
		leaders = append(leaders, l)
	}
	s.mu.Unlock()
	for _, l := range leaders {
		_ = l.Send(ctx, msg) // fails only when the leadership has ended
	}
}

// sendFreshReports tells every leader of this instance which workers of its failure
// domain are not lost and have a current report.
func (s *Server) sendFreshReports(ctx context.Context, now time.Time) {
	s.mu.Lock()
	leaders := make(map[string]*hfgang.Leader, len(s.localLeaders))
	for domain, l := range s.localLeaders {
		leaders[domain] = l
	}
	s.mu.Unlock()
	for domain, l := range leaders {
		fresh := hfloop.With(s.fleet, func(f *hfworker.Fleet) []string { return f.FreshWorkers(domain, now) })
		_ = l.Send(ctx, hfgang.Fresh(fresh)) // fails only when the leadership has ended
	}
}

// leaderObserver records a leader's decisions in the event log and the burn report.
type leaderObserver struct{ server *Server }

// JobChanged implements hfgang.Observer.
func (o leaderObserver) JobChanged(j *hfwire.Job) {
	o.server.log.Event(hfevent.JobChanged, zap.String("job", j.GetId()), zap.String("account", j.GetAccount()),
		zap.String("state", j.GetState()), zap.String("why", j.GetReason()))
	o.server.recordJobOutcome(j)
}

// WorkerQuarantined implements hfgang.Observer.
func (o leaderObserver) WorkerQuarantined(worker string, restored bool) {
	event := hfevent.WorkerQuarantined
	if restored {
		event = hfevent.WorkerRestored
	}
	o.server.log.Event(event, zap.String("worker", worker))
}

// InvariantViolated implements hfgang.Observer.
func (o leaderObserver) InvariantViolated(err error) { o.server.recordViolation(err) }

// recordJobOutcome counts the first start, failure or unknown end of a job in the burn
// report.
func (s *Server) recordJobOutcome(j *hfwire.Job) {
	took := time.Duration(j.GetStarted()-j.GetSubmitted()) * time.Millisecond
	switch {
	case j.GetState() == hfgang.StateRunning && j.GetAttempt() == 1:
		s.recordOutcome(j.GetAccount(), j.GetWork(), "", took)
	case j.GetState() == hfgang.StateFailed:
		s.recordOutcome(j.GetAccount(), j.GetWork(), hfreport.ReasonFailed, took)
	case j.GetState() == hfgang.StateUnknown:
		s.recordOutcome(j.GetAccount(), j.GetWork(), hfreport.ReasonUnknown, took)
	}
}

// recordOutcome counts the outcome of a request or job in the burn report. reason is
// empty for a good outcome.
func (s *Server) recordOutcome(account, work, reason string, took time.Duration) {
	accounts := s.Accounts()
	current, ok := accounts.Resolve(account)
	if !ok {
		current = account
	}
	now := time.Now()
	hfloop.With(s.burn, func(b *hfreport.OutcomeCounter) bool {
		b.Count(hfreport.NewEvent(current, work, reason, took), accounts.View().Objectives(), accounts.Resolve, now)
		return true
	})
}
