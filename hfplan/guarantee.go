package hfplan

import (
	"cmp"
	"slices"
)

// assignGuarantees decides which jobs of priority 0 are covered by the guarantee of
// the account that owns them: in order of submission, each job whose demand fits into what is
// left. Jobs beyond the guarantee of one account thus cannot displace guaranteed
// jobs of another.
func (s *Scheduler) assignGuarantees() {
	byAccount := map[string][]*job{}
	seen := map[*job]bool{}
	add := func(j *job) {
		if seen[j] || j.queue == nil {
			return
		}
		seen[j] = true
		if j.guaranteed = false; j.queue.GetPriority() > 0 {
			return
		}
		owner := s.accounts.Owner(j.spec.GetAccount(), j.spec.GetPolicy())
		byAccount[owner] = append(byAccount[owner], j)
	}
	for _, g := range s.groups {
		add(g.job)
	}
	for _, j := range s.unloaded {
		add(j)
	}
	for account, jobs := range byAccount {
		remaining := s.accountGuarantee(account)
		slices.SortFunc(jobs, func(a, b *job) int {
			return cmp.Or(cmp.Compare(a.spec.GetReceived(), b.spec.GetReceived()), cmp.Compare(a.id(), b.id()))
		})
		for _, j := range jobs {
			if demand := j.openAccelerators(); demand <= remaining {
				remaining -= demand
				j.guaranteed = true
			}
		}
	}
}

// openAccelerators returns the number of accelerators that all unfinished tasks of a
// job use together.
func (j *job) openAccelerators() int64 {
	total, unloaded := int64(0), int64(j.unloadedCount())
	for g := range j.loadedGroups() {
		total += int64(g.open) * g.size.Accelerators()
	}
	for _, step := range j.spec.GetSteps() {
		total += unloaded * int64(step.GetCount()) * step.GetAccelerators()
	}
	return total
}

// mayPreempt reports whether a group may stop the runs of another one. Priority 0
// may preempt lower priorities, and its guaranteed jobs may preempt its jobs beyond a
// guarantee. Lasting tasks, which never complete, may be preempted by any higher
// priority.
func (g *group) mayPreempt(other *group) bool {
	priority, otherPriority := g.job.queue.GetPriority(), other.job.queue.GetPriority()
	switch {
	case priority == 0 && otherPriority == 0:
		return g.job.guaranteed && !other.job.guaranteed
	case priority >= otherPriority:
		return false
	}
	return priority == 0 || other.spec.GetLasting()
}
