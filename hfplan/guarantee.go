package hfplan

import (
	"cmp"
	"slices"
)

// claim decides which urgent jobs stand under the guarantee of their account: in the
// order in which they came, as long as what they need fits into it. A flood of one
// account thereby leaves the guarantees of the others alone.
func (s *Scheduler) assignGuarantees() {
	byAccount := map[string][]*job{}
	seen := map[*job]bool{}
	for _, g := range s.groups {
		j := g.job
		if seen[j] || j.queue == nil || j.queue.GetPriority() > 0 {
			continue
		}
		seen[j] = true
		j.guaranteed = false
		byAccount[j.spec.GetAccount()] = append(byAccount[j.spec.GetAccount()], j)
	}
	for account, jobs := range byAccount {
		remaining := s.accountGuarantee(account)
		slices.SortFunc(jobs, func(a, b *job) int {
			return cmp.Or(cmp.Compare(a.spec.GetReceived(), b.spec.GetReceived()), cmp.Compare(a.id(), b.id()))
		})
		for _, j := range jobs {
			if need := j.openAccelerators(); need <= remaining {
				remaining -= need
				j.guaranteed = true
			}
		}
	}
}

// accelerators returns what the open tasks of a job need at once.
func (j *job) openAccelerators() int64 {
	total := int64(0)
	for _, g := range j.groups {
		total += int64(g.open) * g.size.Accelerators()
	}
	return total
}

// mayStop tells whether a group may stop the runs of another: less urgent ones for the
// most urgent work, urgent ones beyond the guarantee of their account for those within
// one, and tasks that never end by themselves for all more urgent work.
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
