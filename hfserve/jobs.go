package hfserve

import (
	"context"
	"errors"
	"fmt"
	"sort"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/heatherfront/heatherfront/hfaccount"
	"github.com/heatherfront/heatherfront/hfapi"
	"github.com/heatherfront/heatherfront/hfgang"
	"github.com/heatherfront/heatherfront/hfloop"
	"github.com/heatherfront/heatherfront/hfpeer"
	"github.com/heatherfront/heatherfront/hfreport"
	"github.com/heatherfront/heatherfront/hfwire"
	"github.com/heatherfront/heatherfront/hfworker"
)

// jobTimeout bounds one call about jobs.
const jobTimeout = 5 * time.Second

// domainHolder marks a claim on the id of a job: the id belongs to the domain.
const domainHolder = "domain/"

// Submit implements hfapi.Backend. The id of the job is claimed for the domain that
// is chosen for it, so that a resend that comes to another instance goes to the
// same leader, which knows the id.
func (s *Server) Submit(ctx context.Context, job *hfwire.Job) (*hfwire.Jobs, error) {
	domain, err := s.chooseDomain(job)
	if err != nil {
		return nil, fmt.Errorf("choose domain: %w", err)
	}
	_, holder, err := s.Claim(ctx, job.GetId(), domainHolder+domain)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", hfapi.ErrNotRun, err)
	}
	claimed, ok := strings.CutPrefix(holder, domainHolder)
	if !ok {
		return nil, fmt.Errorf("%w: the id belongs to a request", hfapi.ErrConflict)
	}
	job.Domain = claimed
	out := s.links.Envelope()
	out.Body = &hfwire.Envelope_Submit{Submit: &hfwire.Submit{Job: job}}
	return s.askLeader(ctx, claimed, out)
}

// chooseDomain returns the domain that a job names, or the one where its account
// has a large enough guarantee, or the one with the most accelerators on workers
// that report.
func (s *Server) chooseDomain(job *hfwire.Job) (string, error) {
	domains := s.Domains()
	if job.GetDomain() != "" {
		for _, d := range domains {
			if d == job.GetDomain() {
				return d, nil
			}
		}
		return "", fmt.Errorf("%w: no workers in domain %q", hfapi.ErrInvalid, job.GetDomain())
	}
	if t, ok := s.Accounts().Terms(job.GetAccount()); ok && !job.GetPreemptible() {
		for _, g := range t.Guarantees() {
			if g.Size >= int(job.GetSize()) {
				return g.Domain, nil
			}
		}
	}
	best, most := "", -1
	for _, d := range domains {
		if n := s.capacity(d); n > most {
			best, most = d, n
		}
	}
	if best == "" {
		return "", fmt.Errorf("%w: no workers are listed", hfapi.ErrNotRun)
	}
	return best, nil
}

// capacity returns the accelerators of a domain on workers that report and run no
// tasks.
func (s *Server) capacity(domain string) int {
	now := time.Now()
	rows := s.workerRows()
	n := 0
	hfloop.With(s.fleet, func(f *hfworker.Fleet) bool {
		f.Sights(domain, now, func(worker string, tasks []*hfwire.Task, lost bool) {
			if !lost && !anyRunning(tasks) {
				n += rows[worker].Accelerators()
			}
		})
		return true
	})
	return n
}

func anyRunning(tasks []*hfwire.Task) bool {
	for _, t := range tasks {
		if t.GetState() == hfworker.StateRunning || t.GetState() == hfworker.StateHeld {
			return true
		}
	}
	return false
}

// askLeader sends a message about jobs to the leader of a domain.
func (s *Server) askLeader(ctx context.Context, domain string, out *hfwire.Envelope) (*hfwire.Jobs, error) {
	ctx, cancel := context.WithTimeout(ctx, jobTimeout)
	defer cancel()
	name := s.Lead(domain)
	var in *hfwire.Envelope
	var err error
	switch {
	case name == "":
		return nil, fmt.Errorf("%w: domain %s has no placement leader now", hfapi.ErrNotRun, domain)
	case name == s.settings.Name():
		in = s.handle(ctx, out)
	default:
		p, ok := hfloop.With2(s.members, func(m *hfpeer.State) (hfpeer.Peer, bool) { return m.Find(name) })
		if !ok {
			return nil, fmt.Errorf("%w: the placement leader %s is not reached", hfapi.ErrNotRun, name)
		}
		in, err = s.links.Call(ctx, p, out)
	}
	if r := in.GetRefusal(); r != nil {
		return nil, refusalError(r)
	}
	if errors.Is(err, hfpeer.ErrNoLink) {
		return nil, fmt.Errorf("%w: %w", hfapi.ErrNotRun, err)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", hfapi.ErrEffectUnknown, err)
	}
	return in.GetJobs(), codeError(in.GetJobs())
}

func refusalError(r *hfwire.Refusal) error {
	if r.GetUnknown() {
		return fmt.Errorf("%w: %s", hfapi.ErrEffectUnknown, r.GetReason())
	}
	return fmt.Errorf("%w: %s", hfapi.ErrNotRun, r.GetReason())
}

func codeError(j *hfwire.Jobs) error {
	cause := map[hfgang.Code]error{
		hfgang.CodeInvalid: hfapi.ErrInvalid,
		hfgang.CodeMissing: hfapi.ErrNotFound,
		hfgang.CodeEnded:   hfapi.ErrAlreadyEnded,
		hfgang.CodeNotNow:  hfapi.ErrNotRun,
		hfgang.CodeUnknown: hfapi.ErrEffectUnknown,
		hfgang.CodeDenied:  hfapi.ErrConflict,
	}[hfgang.Code(j.GetCode())]
	if cause == nil {
		return nil
	}
	return fmt.Errorf("%w: %s", cause, j.GetReason())
}

// Cancel implements hfapi.Backend.
func (s *Server) Cancel(ctx context.Context, c *hfwire.Cancel) (*hfwire.Jobs, error) {
	return s.search(ctx, func(domain string) *hfwire.Envelope {
		out := s.links.Envelope()
		asked := hfwire.Copy(c)
		asked.Domain = domain
		out.Body = &hfwire.Envelope_Cancel{Cancel: asked}
		return out
	})
}

// Job implements hfapi.Backend.
func (s *Server) Job(ctx context.Context, q *hfwire.Query) (*hfwire.Jobs, error) {
	return s.search(ctx, func(domain string) *hfwire.Envelope { return s.queryEnvelope(q, domain) })
}

func (s *Server) queryEnvelope(q *hfwire.Query, domain string) *hfwire.Envelope {
	out := s.links.Envelope()
	asked := hfwire.Copy(q)
	asked.Domain = domain
	out.Body = &hfwire.Envelope_Query{Query: asked}
	return out
}

// search asks the leaders of all domains until one knows the job.
func (s *Server) search(ctx context.Context, build func(domain string) *hfwire.Envelope) (*hfwire.Jobs, error) {
	var unanswered error
	for _, domain := range s.Domains() {
		jobs, err := s.askLeader(ctx, domain, build(domain))
		if err == nil {
			return jobs, nil
		}
		if errors.Is(err, hfapi.ErrAlreadyEnded) {
			return jobs, fmt.Errorf("search job: %w", err)
		}
		if !errors.Is(err, hfapi.ErrNotFound) {
			unanswered = err
		}
	}
	if unanswered != nil {
		return nil, fmt.Errorf("search job: %w", unanswered)
	}
	return nil, fmt.Errorf("%w: no such job", hfapi.ErrNotFound)
}

// Jobs implements hfapi.Backend. It returns what the leaders that answer know,
// newest first, and the domains that did not answer.
func (s *Server) Jobs(ctx context.Context, q *hfwire.Query) ([]*hfwire.Job, []string) {
	replies, missing := s.askAll(ctx, q)
	var all []*hfwire.Job
	for _, r := range replies {
		all = append(all, r.GetJobs()...)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].GetSubmitted() > all[j].GetSubmitted() })
	if limit := int(q.GetLimit()); limit > 0 && len(all) > limit {
		all = all[:limit]
	}
	return all, missing
}

// Status implements hfapi.Backend.
func (s *Server) Status(ctx context.Context) ([]*hfwire.Status, []string) {
	replies, missing := s.askAll(ctx, &hfwire.Query{Status: true})
	var list []*hfwire.Status
	for _, r := range replies {
		list = append(list, r.GetStatus())
	}
	return list, missing
}

// askAll asks the leaders of all domains at once.
func (s *Server) askAll(ctx context.Context, q *hfwire.Query) (replies []*hfwire.Jobs, missing []string) {
	domains := s.Domains()
	found := make([]*hfwire.Jobs, len(domains))
	var g errgroup.Group
	for i, domain := range domains {
		g.Go(func() error {
			jobs, err := s.askLeader(ctx, domain, s.queryEnvelope(q, domain))
			if err == nil {
				found[i] = jobs
			}
			return nil
		})
	}
	_ = g.Wait() // a domain without an answer stays nil
	for i, jobs := range found {
		if jobs == nil {
			missing = append(missing, domains[i])
			continue
		}
		replies = append(replies, jobs)
	}
	return replies, missing
}

// BurnReport implements hfapi.Backend: it sums the tallies of all instances that answer.
func (s *Server) BurnReport(ctx context.Context) []hfreport.Line {
	peers := hfloop.With(s.members, (*hfpeer.State).Known)
	found := make([][]*hfwire.Tally, len(peers))
	var g errgroup.Group
	for i, p := range peers {
		g.Go(func() error {
			out := s.links.Envelope()
			out.Body = &hfwire.Envelope_Gather{Gather: &hfwire.Gather{}}
			ctx, cancel := context.WithTimeout(ctx, beatTimeout)
			defer cancel()
			in, err := s.links.Call(ctx, p, out)
			if err == nil {
				found[i] = in.GetTallies().GetTallies()
			}
			return nil
		})
	}
	_ = g.Wait() // an instance without an answer adds nothing
	tallies := s.ownTallies()
	for _, t := range found {
		tallies = append(tallies, t...)
	}
	return hfreport.Merge(s.Accounts().View().Objectives(), tallies)
}

// RecordOutcome implements hfapi.Backend.
func (s *Server) RecordOutcome(account, work, reason string, took time.Duration) {
	s.count(account, work, reason, took)
}

// Instances implements hfapi.Backend.
func (s *Server) Instances() []hfapi.Instance {
	leads := map[string][]string{}
	for _, d := range s.Domains() {
		leads[s.Lead(d)] = append(leads[s.Lead(d)], d)
	}
	live := map[string]bool{}
	for _, p := range s.live() {
		live[p.Name()] = true
	}
	all := append(hfloop.With(s.members, (*hfpeer.State).Known), hfloop.With(s.members, (*hfpeer.State).Self))
	list := make([]hfapi.Instance, 0, len(all))
	for _, p := range all {
		list = append(list, hfapi.Instance{
			Name: p.Name(), Address: p.Address(), Domain: p.Domain(), Region: p.Region(),
			Live: live[p.Name()], Leaving: p.Leaving(), Leads: leads[p.Name()],
		})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// PlanMerge implements hfapi.Backend.
func (s *Server) PlanMerge(from, into string) (hfaccount.Plan, error) {
	v := s.View()
	for _, name := range []string{from, into} {
		if _, ok := v.Accounts()[name]; !ok {
			return hfaccount.Plan{}, fmt.Errorf("%w: no account %q", hfapi.ErrNotFound, name)
		}
	}
	return hfaccount.DryRun(v, from, into), nil
}
