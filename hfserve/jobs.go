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

// domainHolderPrefix begins the holder of a claimed job id. The name of the failure
// domain that the job belongs to follows.
const domainHolderPrefix = "domain/"

// Submit implements hfapi.Backend. It claims the id of the job for the chosen failure
// domain, so that a retry through another instance reaches the same leader, which knows
// the id.
func (s *Server) Submit(ctx context.Context, job *hfwire.Job) (*hfwire.Jobs, error) {
	domain, err := s.chooseDomain(job)
	if err != nil {
		return nil, fmt.Errorf("choose domain: %w", err)
	}
	_, holder, err := s.Claim(ctx, job.GetId(), domainHolderPrefix+domain)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", hfapi.ErrNotRun, err)
	}
	claimed, ok := strings.CutPrefix(holder, domainHolderPrefix)
	if !ok {
		return nil, fmt.Errorf("%w: the id belongs to a request", hfapi.ErrConflict)
	}
	job.Domain = claimed
	out := s.links.Envelope()
	out.Body = &hfwire.Envelope_Submit{Submit: &hfwire.Submit{Job: job}}
	return s.callLeader(ctx, claimed, out)
}

// chooseDomain returns the failure domain that a job names. Otherwise, it returns the
// one where the account has a large enough guarantee, if the job is not preemptible,
// and else the one with the most accelerators on idle workers that report.
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
	if e, ok := s.Accounts().Entitlements(job.GetAccount()); ok && !job.GetPreemptible() {
		for _, g := range e.Guarantees() {
			if g.Size >= int(job.GetSize()) {
				return g.Domain, nil
			}
		}
	}
	best, bestCount := "", -1
	for _, d := range domains {
		if count := s.idleAccelerators(d); count > bestCount {
			best, bestCount = d, count
		}
	}
	if best == "" {
		return "", fmt.Errorf("%w: no workers are listed", hfapi.ErrNotRun)
	}
	return best, nil
}

// idleAccelerators returns the number of accelerators of a failure domain on workers
// that report and run no tasks.
func (s *Server) idleAccelerators(domain string) int {
	now := time.Now()
	workers := s.workersByName()
	n := 0
	hfloop.With(s.fleet, func(f *hfworker.Fleet) bool {
		f.EachObservation(domain, now, func(worker string, tasks []*hfwire.Task, lost bool) {
			if !lost && !anyRunning(tasks) {
				n += workers[worker].Accelerators()
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

// callLeader sends a message about jobs to the leader of a failure domain.
func (s *Server) callLeader(ctx context.Context, domain string, out *hfwire.Envelope) (*hfwire.Jobs, error) {
	ctx, cancel := context.WithTimeout(ctx, jobTimeout)
	defer cancel()
	name := s.LeaderName(domain)
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
	return in.GetJobs(), jobsError(in.GetJobs())
}

// refusalError returns the error of hfapi for a refusal.
func refusalError(r *hfwire.Refusal) error {
	if r.GetUnknown() {
		return fmt.Errorf("%w: %s", hfapi.ErrEffectUnknown, r.GetReason())
	}
	return fmt.Errorf("%w: %s", hfapi.ErrNotRun, r.GetReason())
}

// jobsError returns the error of hfapi for the code of a reply, or nil.
func jobsError(j *hfwire.Jobs) error {
	cause := map[hfgang.Code]error{
		hfgang.CodeInvalid:    hfapi.ErrInvalid,
		hfgang.CodeNotFound:   hfapi.ErrNotFound,
		hfgang.CodeEnded:      hfapi.ErrAlreadyEnded,
		hfgang.CodeRetryLater: hfapi.ErrNotRun,
		hfgang.CodeUnknown:    hfapi.ErrEffectUnknown,
		hfgang.CodeConflict:   hfapi.ErrConflict,
	}[hfgang.Code(j.GetCode())]
	if cause == nil {
		return nil
	}
	return fmt.Errorf("%w: %s", cause, j.GetReason())
}

// Cancel implements hfapi.Backend.
func (s *Server) Cancel(ctx context.Context, c *hfwire.Cancel) (*hfwire.Jobs, error) {
	return s.callUntilFound(ctx, func(domain string) *hfwire.Envelope {
		out := s.links.Envelope()
		cancel := hfwire.Copy(c)
		cancel.Domain = domain
		out.Body = &hfwire.Envelope_Cancel{Cancel: cancel}
		return out
	})
}

// Job implements hfapi.Backend.
func (s *Server) Job(ctx context.Context, q *hfwire.Query) (*hfwire.Jobs, error) {
	return s.callUntilFound(ctx, func(domain string) *hfwire.Envelope { return s.queryEnvelope(q, domain) })
}

func (s *Server) queryEnvelope(q *hfwire.Query, domain string) *hfwire.Envelope {
	out := s.links.Envelope()
	query := hfwire.Copy(q)
	query.Domain = domain
	out.Body = &hfwire.Envelope_Query{Query: query}
	return out
}

// callUntilFound calls the leaders of all failure domains in turn until one knows the
// job.
func (s *Server) callUntilFound(ctx context.Context, build func(domain string) *hfwire.Envelope) (*hfwire.Jobs, error) {
	var lastErr error
	for _, domain := range s.Domains() {
		jobs, err := s.callLeader(ctx, domain, build(domain))
		if err == nil {
			return jobs, nil
		}
		if errors.Is(err, hfapi.ErrAlreadyEnded) {
			return jobs, fmt.Errorf("search job: %w", err)
		}
		if !errors.Is(err, hfapi.ErrNotFound) {
			lastErr = err
		}
	}
	if lastErr != nil {
		return nil, fmt.Errorf("search job: %w", lastErr)
	}
	return nil, fmt.Errorf("%w: no such job", hfapi.ErrNotFound)
}

// Jobs implements hfapi.Backend. It returns the jobs that the reachable leaders know,
// newest first, and the failure domains whose leaders did not answer.
func (s *Server) Jobs(ctx context.Context, q *hfwire.Query) ([]*hfwire.Job, []string) {
	replies, unreachable := s.queryLeaders(ctx, q)
	var all []*hfwire.Job
	for _, r := range replies {
		all = append(all, r.GetJobs()...)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].GetSubmitted() > all[j].GetSubmitted() })
	if limit := int(q.GetLimit()); limit > 0 && len(all) > limit {
		all = all[:limit]
	}
	return all, unreachable
}

// Status implements hfapi.Backend.
func (s *Server) Status(ctx context.Context) ([]*hfwire.Status, []string) {
	replies, unreachable := s.queryLeaders(ctx, &hfwire.Query{Status: true})
	var list []*hfwire.Status
	for _, r := range replies {
		list = append(list, r.GetStatus())
	}
	return list, unreachable
}

// queryLeaders queries the leaders of all failure domains concurrently.
func (s *Server) queryLeaders(ctx context.Context, q *hfwire.Query) (replies []*hfwire.Jobs, unreachable []string) {
	domains := s.Domains()
	byDomain := make([]*hfwire.Jobs, len(domains))
	var g errgroup.Group
	for i, domain := range domains {
		g.Go(func() error {
			jobs, err := s.callLeader(ctx, domain, s.queryEnvelope(q, domain))
			if err == nil {
				byDomain[i] = jobs
			}
			return nil
		})
	}
	_ = g.Wait() // the reply of a domain that did not answer stays nil
	for i, jobs := range byDomain {
		if jobs == nil {
			unreachable = append(unreachable, domains[i])
			continue
		}
		replies = append(replies, jobs)
	}
	return replies, unreachable
}

// BurnReport implements hfapi.Backend. It merges the tallies of all instances that
// answer.
func (s *Server) BurnReport(ctx context.Context) []hfreport.ObjectiveReport {
	peers := hfloop.With(s.members, (*hfpeer.State).Known)
	byPeer := make([][]*hfwire.Tally, len(peers))
	var g errgroup.Group
	for i, p := range peers {
		g.Go(func() error {
			out := s.links.Envelope()
			out.Body = &hfwire.Envelope_Gather{Gather: &hfwire.Gather{}}
			ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
			defer cancel()
			in, err := s.links.Call(ctx, p, out)
			if err == nil {
				byPeer[i] = in.GetTallies().GetTallies()
			}
			return nil
		})
	}
	_ = g.Wait() // an instance that did not answer adds nothing
	tallies := s.localTallies()
	for _, t := range byPeer {
		tallies = append(tallies, t...)
	}
	return hfreport.BuildReport(s.Accounts().View().Objectives(), tallies)
}

// RecordOutcome implements hfapi.Backend.
func (s *Server) RecordOutcome(account, work, reason string, took time.Duration) {
	s.recordOutcome(account, work, reason, took)
}

// Instances implements hfapi.Backend.
func (s *Server) Instances() []hfapi.Instance {
	domainsByLeader := map[string][]string{}
	for _, d := range s.Domains() {
		domainsByLeader[s.LeaderName(d)] = append(domainsByLeader[s.LeaderName(d)], d)
	}
	live := map[string]bool{}
	for _, p := range s.livePeers() {
		live[p.Name()] = true
	}
	all := append(hfloop.With(s.members, (*hfpeer.State).Known), hfloop.With(s.members, (*hfpeer.State).Self))
	list := make([]hfapi.Instance, 0, len(all))
	for _, p := range all {
		list = append(list, hfapi.Instance{
			Name: p.Name(), Address: p.Address(), Domain: p.Domain(), Region: p.Region(),
			Live: live[p.Name()], Leaving: p.Leaving(), Leads: domainsByLeader[p.Name()],
		})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// PlanMerge implements hfapi.Backend.
func (s *Server) PlanMerge(from, into string) (hfaccount.MergePlan, error) {
	v := s.View()
	for _, name := range []string{from, into} {
		if _, ok := v.Accounts()[name]; !ok {
			return hfaccount.MergePlan{}, fmt.Errorf("%w: no account %q", hfapi.ErrNotFound, name)
		}
	}
	return hfaccount.DryRun(v, from, into), nil
}
