package hfgang

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"github.com/heatherfront/heatherfront/hfconfig"
	"github.com/heatherfront/heatherfront/hfwire"
)

// MaxOpen limits the number of open jobs in one domain.
const MaxOpen = 50_000

// submit accepts a job. The reply is sent once the job is stored. Submitting the same
// id again returns the existing job.
func (s *Scheduler) submit(m SubmitMsg, now time.Time) []Cmd {
	if !s.loaded {
		return refuse(m.token, CodeRetryLater, "this instance does not place jobs of domain "+s.domain)
	}
	if existing, ok := s.jobs[m.job.GetId()]; ok {
		return s.answerDuplicate(m, existing)
	}
	if s.isWithdrawn(m.job.GetId(), m.job.GetAccount(), now) {
		return refuse(m.token, CodeConflict, "the job was cancelled before it was submitted")
	}
	if code, reason := s.admit(m.job, now); code != CodeOK {
		return refuse(m.token, code, reason)
	}
	j := &job{record: hfwire.Copy(m.job)}
	r := j.record
	r.State, r.Domain, r.Submitted, r.Steps = "", s.domain, now.UnixMilli(), nil
	j.enterState(StateQueued, "accepted", now)
	s.addJob(j)
	s.markDirty(j, ReplyCmd{token: m.token, code: CodeOK, jobs: []*hfwire.Job{hfwire.Copy(r)}})
	s.schedulePending = true
	return nil
}

func refuse(token uint64, code Code, reason string) []Cmd {
	return []Cmd{ReplyCmd{token: token, code: code, reason: reason}}
}

// answerDuplicate answers a submission whose id is already known.
func (s *Scheduler) answerDuplicate(m SubmitMsg, existing *job) []Cmd {
	a, b := existing.record, m.job
	same := a.GetAccount() == b.GetAccount() && a.GetCaller() == b.GetCaller() && a.GetWork() == b.GetWork() &&
		a.GetSize() == b.GetSize() && a.GetCommand() == b.GetCommand()
	if !same {
		return refuse(m.token, CodeConflict, "the id belongs to another job")
	}
	if existing.storedCopy == nil {
		s.markDirty(existing, ReplyCmd{token: m.token, code: CodeOK, jobs: []*hfwire.Job{hfwire.Copy(a)}})
		return nil
	}
	return []Cmd{ReplyCmd{token: m.token, code: CodeOK, jobs: []*hfwire.Job{hfwire.Copy(existing.storedCopy)}}}
}

// admit checks whether a job can be accepted, and refuses in particular jobs that could
// never run. It returns CodeOK, or another code and the reason.
func (s *Scheduler) admit(r *hfwire.Job, now time.Time) (Code, string) {
	if s.directory == nil {
		return CodeRetryLater, "the configuration is not loaded"
	}
	entitlements, ok := s.directory.Entitlements(r.GetAccount())
	if !ok {
		return CodeInvalid, "no account " + r.GetAccount()
	}
	size := int(r.GetSize())
	if size < 1 || size > hfconfig.MaxGangSize {
		return CodeInvalid, fmt.Sprintf("size %d is not between 1 and %d accelerators", size, hfconfig.MaxGangSize)
	}
	if entitlements.Quota() > 0 && size > entitlements.Quota() {
		return CodeInvalid, fmt.Sprintf("size %d is above the account's quota of %d accelerators: it can never run", size, entitlements.Quota())
	}
	if largest := s.layout.LargestBlock(hfconfig.MaxGangSize, func(int) bool { return true }); size > largest {
		return CodeInvalid, fmt.Sprintf("size %d is above the largest block of %d adjacent accelerators in domain %s: it can never run", size, largest, s.domain)
	}
	if len(s.open) >= MaxOpen {
		return CodeRetryLater, "too many open jobs"
	}
	if !s.makeRoom(r, now) {
		return CodeRetryLater, "the jobs of account " + r.GetAccount() + " take too much memory"
	}
	return CodeOK, ""
}

// cancel cancels a job. The reply is sent once the decision is stored. Its code is
// CodeEnded if the job had already ended.
func (s *Scheduler) cancel(m CancelMsg, now time.Time) []Cmd {
	if !s.loaded {
		return refuse(m.token, CodeRetryLater, "this instance does not place jobs of domain "+s.domain)
	}
	j, ok := s.jobs[m.id]
	if !ok && !s.withdraw(withdrawal{id: m.id, account: m.account}, now) {
		return refuse(m.token, CodeRetryLater, "too many cancellations of unknown jobs")
	}
	if !ok || (m.account != "" && s.account(j) != m.account) {
		return refuse(m.token, CodeNotFound, "no job "+m.id)
	}
	if j.final() {
		s.markDirty(j, ReplyCmd{token: m.token, code: CodeEnded, reason: "the job had ended: " + j.state(), jobs: []*hfwire.Job{hfwire.Copy(j.record)}})
		return nil
	}
	var cmds []Cmd
	if j.placed() {
		cmds = s.stopGang(j, StateCancelled, m.reason, now)
	} else {
		cmds = s.finish(j, StateCancelled, m.reason, now)
	}
	s.markDirty(j, ReplyCmd{token: m.token, code: CodeOK, reason: m.reason, jobs: []*hfwire.Job{hfwire.Copy(j.record)}})
	return cmds
}

// query answers from the stored copies of the records.
func (s *Scheduler) query(m QueryMsg, now time.Time) Cmd {
	q := m.query
	if !s.loaded {
		return ReplyCmd{token: m.token, code: CodeRetryLater, reason: "this instance does not place jobs of domain " + s.domain}
	}
	if q.GetStatus() {
		return ReplyCmd{token: m.token, code: CodeOK, status: s.Status()}
	}
	if q.GetId() != "" {
		j, ok := s.jobs[q.GetId()]
		if !ok || j.storedCopy == nil || !s.visible(j, q) {
			return ReplyCmd{token: m.token, code: CodeNotFound, reason: "no job " + q.GetId()}
		}
		reply := ReplyCmd{token: m.token, code: CodeOK, jobs: []*hfwire.Job{hfwire.Copy(j.storedCopy)}}
		if q.GetExplain() {
			reply.explain = s.explain(j, now)
		}
		return reply
	}
	var found []*hfwire.Job
	for _, j := range s.jobs {
		if j.storedCopy != nil && s.visible(j, q) {
			found = append(found, j.storedCopy)
		}
	}
	sort.Slice(found, func(a, b int) bool {
		if found[a].GetSubmitted() != found[b].GetSubmitted() {
			return found[a].GetSubmitted() > found[b].GetSubmitted()
		}
		return found[a].GetId() < found[b].GetId()
	})
	if limit := int(q.GetLimit()); limit > 0 && len(found) > limit {
		found = found[:limit]
	}
	copies := make([]*hfwire.Job, 0, len(found))
	for _, r := range found {
		copies = append(copies, hfwire.Copy(r))
	}
	return ReplyCmd{token: m.token, code: CodeOK, jobs: copies}
}

// visible reports whether a query may see a job. The job's account, with merges applied,
// must be among the query's accounts, and its caller must match if the query names one.
// A query without accounts comes from an operator.
func (s *Scheduler) visible(j *job, q *hfwire.Query) bool {
	if len(q.GetAccounts()) > 0 && !slices.Contains(q.GetAccounts(), s.account(j)) {
		return false
	}
	return q.GetCaller() == "" || q.GetCaller() == j.record.GetCaller()
}
