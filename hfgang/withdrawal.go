package hfgang

import (
	"maps"
	"time"
)

const (
	// withdrawalTime is how long a submission of a job is refused after its cancellation found no
	// such job. Until then, the submission may still be on its way over a link.
	withdrawalTime = 30 * time.Second
	// maxWithdrawals bounds the withdrawals. Further cancellations of unknown jobs are to be repeated.
	maxWithdrawals = 10_000
)

// withdrawal identifies jobs that are not to be accepted.
type withdrawal struct {
	id      string
	account string // "" for any account, as cancelled by an operator
}

// withdraw makes the scheduler refuse a job that is cancelled but not known. It reports false if there
// are too many withdrawals.
func (s *Scheduler) withdraw(w withdrawal, now time.Time) bool {
	if len(s.withdrawals) >= maxWithdrawals {
		maps.DeleteFunc(s.withdrawals, func(_ withdrawal, until time.Time) bool { return !now.Before(until) })
	}
	if len(s.withdrawals) >= maxWithdrawals {
		return false
	}
	s.withdrawals[w] = now.Add(withdrawalTime)
	return true
}

// isWithdrawn reports whether a job was cancelled shortly before it was submitted.
func (s *Scheduler) isWithdrawn(id, account string, now time.Time) bool {
	return now.Before(s.withdrawals[withdrawal{id: id, account: account}]) || now.Before(s.withdrawals[withdrawal{id: id}])
}
