package hfserve

import (
	"context"
	"encoding/json"
	"errors"
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

// leadPrefix is the prefix of the keys that say who leads a failure domain.
const leadPrefix = hfconfig.WatchPrefix + "lead/"

// lead is the stored word of who leads a failure domain.
type lead struct {
	Name  string `json:"name"`
	Nonce string `json:"nonce"` // unique to one try
}

const (
	campaignInterval = 250 * time.Millisecond
	campaignStep     = 500 * time.Millisecond // added for each instance that is preferred over this one
)

// takeLeads learns who leads from the store's watch.
func (s *Server) takeLeads(items []hfstore.Item, listed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if listed {
		s.leads = map[string]lead{}
	}
	for _, i := range items {
		domain, ok := strings.CutPrefix(i.Key(), leadPrefix)
		if !ok {
			continue
		}
		var l lead
		if i.Deleted() || json.Unmarshal(i.Value(), &l) != nil {
			delete(s.leads, domain)
			continue
		}
		s.leads[domain] = l
	}
}

// Lead returns the instance that leads a domain, or "".
func (s *Server) Lead(domain string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leads[domain].Name
}

// Domains returns the failure domains that have workers.
func (s *Server) Domains() []string {
	seen := map[string]bool{}
	for _, w := range s.workerRows() {
		seen[w.Domain()] = true
	}
	domains := make([]string, 0, len(seen))
	for d := range seen {
		domains = append(domains, d)
	}
	sort.Strings(domains)
	return domains
}

// campaign tries to lead each domain without a leader, the sooner the more this
// instance is preferred for it.
func (s *Server) campaign(ctx context.Context) error {
	vacant := map[string]time.Time{} // by domain, since when no leader is known
	return every(ctx, campaignInterval, func(ctx context.Context) {
		now := time.Now()
		if s.stopping.Load() || s.lastSeen.Load() == 0 {
			return
		}
		for _, domain := range s.Domains() {
			if s.Lead(domain) != "" || s.leader(domain) != nil {
				delete(vacant, domain)
				continue
			}
			if vacant[domain].IsZero() {
				vacant[domain] = now
			}
			wait := time.Duration(s.rank(domain)) * campaignStep
			if now.Sub(vacant[domain]) < wait {
				continue
			}
			delete(vacant, domain)
			s.tryLead(ctx, domain)
		}
	})
}

// rank returns how many live instances are preferred over this one for a domain.
func (s *Server) rank(domain string) int {
	live := s.live()
	for n := 0; len(live) > 0; n++ {
		owner, ok := hfpeer.Owner("lead/"+domain, live, domain, s.regionOf(domain))
		if !ok || owner == s.settings.Name() {
			return n
		}
		rest := live[:0:0]
		for _, p := range live {
			if p.Name() != owner {
				rest = append(rest, p)
			}
		}
		live = rest
	}
	return 0
}

func (s *Server) regionOf(domain string) string {
	for _, w := range s.workerRows() {
		if w.Domain() == domain {
			return w.Region()
		}
	}
	return ""
}

// leader returns this instance's leadership of a domain, or nil.
func (s *Server) leader(domain string) *hfgang.Leader {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leading[domain]
}

func (s *Server) setLeader(domain string, l *hfgang.Leader) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l == nil {
		delete(s.leading, domain)
		return
	}
	s.leading[domain] = l
}

// tryLead takes a domain's lease and leads until it is lost.
func (s *Server) tryLead(ctx context.Context, domain string) {
	value, err := json.Marshal(lead{Name: s.settings.Name(), Nonce: uuid.NewString()})
	if err != nil {
		s.broken(err)
		return
	}
	tenure, lease, err := hflease.Take(ctx, s.store, leadPrefix+domain, func(string) ([]byte, error) { return value, nil }, hflease.TTL)
	if err != nil {
		return // held by another, or the store is away; the next round looks again
	}
	timing := hfgang.NewTiming(s.settings.Lease(), s.freshness(), s.settings.Retain())
	leader := hfgang.NewLeader(domain, tenure, s.store, s.workers, watcher{server: s}, timing)
	s.setLeader(domain, leader)
	s.log.Event(hfevent.LeaderElected, zap.String("domain", domain), zap.Int64("epoch", tenure.Epoch()))
	s.group.Go(func() error {
		defer s.setLeader(domain, nil)
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		s.group.Go(func() error {
			s.endOnStop(ctx, cancel)
			return nil
		})
		err := hflease.Hold(ctx, s.store, tenure, lease, hflease.TTL, func(ctx context.Context) error {
			return leader.Run(ctx, func() []hfgang.Msg { return s.firstMessages(domain) })
		})
		event := hfevent.LeaderLost
		if errors.Is(err, hfstore.ErrUnavailable) {
			event = hfevent.TakeoverRetry
		}
		s.log.Event(event, zap.String("domain", domain), zap.Int64("epoch", tenure.Epoch()), zap.Error(err))
		return nil
	})
}

// endOnStop ends a leadership when the instance begins to stop.
func (s *Server) endOnStop(ctx context.Context, cancel func()) {
	_ = every(ctx, campaignInterval, func(context.Context) {
		if s.stopping.Load() {
			cancel()
		}
	})
}

// freshness is the time after which a worker's report, sent on by another
// instance, shows what happened before it.
func (s *Server) freshness() time.Duration {
	return hfloop.With(s.fleet, (*hfworker.Fleet).Freshness)
}

// firstMessages returns what a new leader has to know before the records.
func (s *Server) firstMessages(domain string) []hfgang.Msg {
	msgs := []hfgang.Msg{hfgang.Accounts(s.Accounts()), hfgang.Fleet(s.workerRows())}
	now := time.Now()
	hfloop.With(s.fleet, func(f *hfworker.Fleet) bool {
		f.Sights(domain, now, func(worker string, tasks []*hfwire.Task, lost bool) {
			msgs = append(msgs, hfgang.Report(worker, tasks, lost))
		})
		return true
	})
	return msgs
}

// tellLeaders hands a message to every leadership of this instance.
func (s *Server) tellLeaders(ctx context.Context, msg hfgang.Msg) {
	s.mu.Lock()
	leaders := make([]*hfgang.Leader, 0, len(s.leading))
	for _, l := range s.leading {
		leaders = append(leaders, l)
	}
	s.mu.Unlock()
	for _, l := range leaders {
		_ = l.Send(ctx, msg) // fails only when the leadership ends
	}
}

// tellSeen tells every leadership of this instance which reports are still fresh.
func (s *Server) tellSeen(ctx context.Context, now time.Time) {
	s.mu.Lock()
	leaders := make(map[string]*hfgang.Leader, len(s.leading))
	for domain, l := range s.leading {
		leaders[domain] = l
	}
	s.mu.Unlock()
	for domain, l := range leaders {
		fresh := hfloop.With(s.fleet, func(f *hfworker.Fleet) []string { return f.Fresh(domain, now) })
		_ = l.Send(ctx, hfgang.Seen(fresh)) // fails only when the leadership ends
	}
}

// watcher passes a leader's decisions on to the log and the burn report.
type watcher struct{ server *Server }

// JobChanged implements hfgang.Observer.
func (w watcher) JobChanged(j *hfwire.Job) {
	w.server.log.Event(hfevent.JobChanged, zap.String("job", j.GetId()), zap.String("account", j.GetAccount()),
		zap.String("state", j.GetState()), zap.String("why", j.GetReason()))
	w.server.countJob(j)
}

// WorkerAside implements hfgang.Observer.
func (w watcher) WorkerAside(worker string, back bool) {
	event := hfevent.WorkerAside
	if back {
		event = hfevent.WorkerBack
	}
	w.server.log.Event(event, zap.String("worker", worker))
}

// Broken implements hfgang.Observer.
func (w watcher) Broken(err error) { w.server.broken(err) }

// countJob takes the first start or a bad end of a job into the burn report.
func (s *Server) countJob(j *hfwire.Job) {
	took := time.Duration(j.GetStarted()-j.GetSubmitted()) * time.Millisecond
	switch {
	case j.GetState() == hfgang.StateRunning && j.GetAttempt() == 1:
		s.count(j.GetAccount(), j.GetWork(), "", took)
	case j.GetState() == hfgang.StateFailed:
		s.count(j.GetAccount(), j.GetWork(), hfreport.ReasonFailed, took)
	case j.GetState() == hfgang.StateUnknown:
		s.count(j.GetAccount(), j.GetWork(), hfreport.ReasonUnknown, took)
	}
}

func (s *Server) count(account, work, reason string, took time.Duration) {
	book := s.Accounts()
	resolved, ok := book.Resolve(account)
	if !ok {
		resolved = account
	}
	now := time.Now()
	hfloop.With(s.burn, func(b *hfreport.Burn) bool {
		b.Count(hfreport.NewEvent(resolved, work, reason, took), book.View().Objectives(), book.Resolve, now)
		return true
	})
}
