package hfworker

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/heatherfront/heatherfront/hflease"
	"github.com/heatherfront/heatherfront/hfwire"
)

// RenewalPermit is how long leases may be renewed after the leader of the failure domain permitted
// it. The leader counts the lease of a revoked attempt from the end of that time. It is three
// leases of a leadership: until the key of a failed leader is free, until the next leader has
// loaded the records, and until its first answers arrive.
const RenewalPermit = 3 * hflease.TTL

// permit is the latest permission to renew the leases of a failure domain's tasks.
type permit struct {
	from        time.Time     // a leader that revokes an attempt outside of revoked does so later
	revoked     map[Gang]bool // attempts that it does not cover
	endReported bool          // its end was reported in a PermitCmd
}

// until returns the end of the permit.
func (p *permit) until() time.Time { return p.from.Add(RenewalPermit) }

// leadership is what an instance said about a failure domain.
type leadership struct {
	from      time.Time // when the leader was asked
	relayed   bool      // the leader is another instance
	unsettled bool      // the leadership is ending; not a permission
	revoked   map[Gang]bool
}

// instanceAnswer is the last answer of an instance.
type instanceAnswer struct {
	asked       time.Time
	leaderships map[string]leadership // by failure domain
}

// permits derives, for each failure domain, how long the leases of its tasks may be renewed.
// A leader permits it for all but the attempts that it has revoked. Without a leader, as in an
// outage of the store, it is permitted while every known instance answers and none of them leads
// the domain or was answered by its leader: a later leader counts the leases from its own start.
type permits struct {
	byDomain  map[string]*permit
	answers   map[string]instanceAnswer // by instance; only of known ones
	instances []string                  // the known instances, with this one
}

func newPermits() *permits {
	return &permits{byDomain: map[string]*permit{}, answers: map[string]instanceAnswer{}}
}

// domain returns the permit of a failure domain, which is over if there was none before.
func (p *permits) domain(name string) *permit {
	d, ok := p.byDomain[name]
	if !ok {
		d = &permit{}
		p.byDomain[name] = d
	}
	return d
}

// setInstances sets the known instances.
func (p *permits) setInstances(names []string) {
	p.instances = names
	for name := range p.answers {
		if !slices.Contains(names, name) {
			delete(p.answers, name)
		}
	}
}

// setDomains sets the failure domains.
func (p *permits) setDomains(workers map[string]Worker) {
	for _, w := range workers {
		p.domain(w.domain)
	}
}

// record applies the answer of an instance.
func (p *permits) record(m LeadershipsMsg) {
	if !slices.Contains(p.instances, m.instance) || m.asked.Before(p.answers[m.instance].asked) {
		return
	}
	answer := instanceAnswer{asked: m.asked, leaderships: map[string]leadership{}}
	for _, w := range m.leaderships {
		l := leadership{
			from: m.asked.Add(-time.Duration(w.GetAge()) * time.Millisecond), relayed: w.GetRelayed(), unsettled: w.GetUnsettled(),
			revoked: make(map[Gang]bool, len(w.GetRevoked())),
		}
		for _, a := range w.GetRevoked() {
			l.revoked[NewGang(a.GetJob(), a.GetAttempt())] = true
		}
		answer.leaderships[w.GetDomain()] = l
		if !l.unsettled {
			p.extend(w.GetDomain(), l.from, l.revoked)
		}
	}
	p.answers[m.instance] = answer
	for _, name := range slices.Sorted(maps.Keys(p.byDomain)) {
		if from, ok := p.leaderlessSince(name); ok {
			p.extend(name, from, nil)
		}
	}
}

// extend replaces the permit of a failure domain by a later one.
func (p *permits) extend(domain string, from time.Time, revoked map[Gang]bool) {
	if d := p.domain(domain); from.After(d.from) {
		d.from, d.revoked = from, revoked
	}
}

// leaderlessSince returns the time at which no known instance led a failure domain or had been
// answered by its leader. ok is false if one did, or has not been asked yet.
func (p *permits) leaderlessSince(domain string) (from time.Time, ok bool) {
	for i, name := range p.instances {
		a, answered := p.answers[name]
		if !answered {
			return time.Time{}, false
		}
		if _, led := a.leaderships[domain]; led {
			return time.Time{}, false
		}
		if i == 0 || a.asked.Before(from) {
			from = a.asked
		}
	}
	return from, len(p.instances) > 0
}

// relayed returns what the leaders that answered this instance said. It leaves out what self said,
// what other instances relayed, and what no longer permits anything.
func (p *permits) relayed(self string, now time.Time) []*hfwire.Leadership {
	latest := map[string]leadership{}
	for name, a := range p.answers {
		if name == self {
			continue
		}
		for domain, l := range a.leaderships {
			if !l.relayed && !l.unsettled && now.Before(l.from.Add(RenewalPermit)) && l.from.After(latest[domain].from) {
				latest[domain] = l
			}
		}
	}
	var out []*hfwire.Leadership
	for _, domain := range slices.Sorted(maps.Keys(latest)) {
		l := latest[domain]
		age := (now.Sub(l.from) + time.Millisecond - 1) / time.Millisecond
		out = append(out, &hfwire.Leadership{Domain: domain, Relayed: true, Age: int64(age), Revoked: Attempts(l.revoked)})
	}
	return out
}

// Attempts returns the wire form of a set of attempts, in a deterministic order.
func Attempts(gangs map[Gang]bool) []*hfwire.Attempt {
	out := make([]*hfwire.Attempt, 0, len(gangs))
	for g := range gangs {
		out = append(out, &hfwire.Attempt{Job: g.job, Attempt: g.attempt})
	}
	slices.SortFunc(out, func(a, b *hfwire.Attempt) int {
		if c := strings.Compare(a.GetJob(), b.GetJob()); c != 0 {
			return c
		}
		return cmp.Compare(a.GetAttempt(), b.GetAttempt())
	})
	return out
}

// allows reports whether the leases of an attempt in a failure domain may be renewed.
func (p *permits) allows(domain string, g Gang, now time.Time) bool {
	d := p.domain(domain)
	return now.Before(d.until()) && !d.revoked[g]
}

// reportEnd returns whether the permit of a failure domain has ended, and whether that was not
// reported yet. A domain that had no permit so far is not reported.
func (p *permits) reportEnd(domain string, now time.Time) (ended, changed bool) {
	d := p.domain(domain)
	ended = !now.Before(d.until())
	changed = ended != d.endReported && !d.from.IsZero()
	if changed {
		d.endReported = ended
	}
	return ended, changed
}
