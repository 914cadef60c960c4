package hfentry

import (
	"context"
	"crypto/sha256"
	"fmt"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/heatherfront/heatherfront/hfevent"
	"github.com/heatherfront/heatherfront/hflease"
	"github.com/heatherfront/heatherfront/hfloop"
	"github.com/heatherfront/heatherfront/hfstore"
	"github.com/heatherfront/heatherfront/hfwire"
	"github.com/heatherfront/heatherfront/hfwork"
)

// withdrawalPrefix is the prefix of the keys of withdrawals.
const withdrawalPrefix = recordPrefix + "withdrawn/"

// maxWithdrawals is the number of withdrawals of one account that are kept at a time. Each costs a
// write and a record; an account with more is told to come back later.
const maxWithdrawals = 1000

// withdrawal is the cancellation of a job that was not stored at the time. The store may carry out the
// write of its submission seconds after it gave no answer: such a write has no effect if there is a
// withdrawal. That of an instance of an earlier release has, and its job counts as cancelled.
type withdrawal struct {
	key     string
	job     string
	record  *hfwork.Withdrawal
	version int64     // store revision of the record
	firstAt time.Time // when it was first applied, on the clock of Mirror.receivedAt
}

// withdrawalKey returns the key of a withdrawal. Callers of other queues and accounts may use the same
// job id, so each has a key of its own.
func withdrawalKey(job string, w *hfwork.Withdrawal) string {
	owner := sha256.Sum256([]byte(w.GetQueue() + "\x00" + w.GetAccount()))
	return fmt.Sprintf("%s%s/%x", withdrawalPrefix, job, owner[:8])
}

// withdraws reports whether a withdrawal is that of a job. The account of the caller may have been
// merged between the submission and the cancellation.
func (m *Mirror) withdraws(w *withdrawal, job *hfwork.Job) bool {
	return job.GetId() == w.job && job.GetQueue() == w.record.GetQueue() &&
		m.accounts.owner(job.GetAccount(), job.GetPolicy()) == m.accounts.owner(w.record.GetAccount(), w.record.GetPolicy())
}

func (m *Mirror) applyWithdrawal(i hfstore.Item) change {
	id, _, _ := strings.Cut(strings.TrimPrefix(i.Key(), withdrawalPrefix), "/")
	if i.Deleted() {
		m.removeWithdrawal(id, i.Key())
		return change{}
	}
	record, err := hfwire.Decode(i.Value(), &hfwork.Withdrawal{})
	if err != nil {
		return change{err: fmt.Errorf("withdrawal of %s: %w", id, err)}
	}
	w := &withdrawal{key: i.Key(), job: id, record: record, version: i.Version(), firstAt: m.receivedAt}
	if known := slices.ContainsFunc(m.withdrawals[id], func(o *withdrawal) bool { return o.key == w.key }); !known {
		m.withdrawals[id] = append(m.withdrawals[id], w)
	}
	if r := m.jobs[id]; r != nil && r.job != nil && m.withdraws(w, r.job) {
		r.cancelled = true
		return change{job: id}
	}
	return change{}
}

// retainWithdrawals drops the withdrawals that are not among the keys of a list of the given revision.
func (m *Mirror) retainWithdrawals(listed map[string]bool, revision int64) {
	for id, list := range m.withdrawals {
		for _, w := range slices.Clone(list) {
			if !listed[w.key] && w.version <= revision {
				m.removeWithdrawal(id, w.key)
			}
		}
	}
}

func (m *Mirror) removeWithdrawal(job, key string) {
	m.withdrawals[job] = slices.DeleteFunc(m.withdrawals[job], func(w *withdrawal) bool { return w.key == key })
	if len(m.withdrawals[job]) == 0 {
		delete(m.withdrawals, job)
	}
}

// isWithdrawn reports whether a job was cancelled before it was stored.
func (m *Mirror) isWithdrawn(job *hfwork.Job) bool {
	return slices.ContainsFunc(m.withdrawals[job.GetId()], func(w *withdrawal) bool { return m.withdraws(w, job) })
}

// withdrawalsOf returns the number of withdrawals of an account.
func (m *Mirror) withdrawalsOf(account string) int {
	n := 0
	for _, list := range m.withdrawals {
		for _, w := range list {
			if w.record.GetAccount() == account {
				n++
			}
		}
	}
	return n
}

// expiredWithdrawals lists the keys of the withdrawals that were known before the given time.
func (m *Mirror) expiredWithdrawals(before time.Time) []string {
	var keys []string
	for _, list := range m.withdrawals {
		for _, w := range list {
			if w.firstAt.Before(before) {
				keys = append(keys, w.key)
			}
		}
	}
	slices.Sort(keys)
	return keys
}

// withdraw stores the cancellation of a job that the store does not hold, so that the write of its
// submission, if one is still to come, has no effect. It fails with hfstore.ErrConflict if the job
// was stored or withdrawn before, with ErrNotDone or with ErrEffectUnknown.
func (n *Node) withdraw(ctx context.Context, a Access, id string) error {
	if hfloop.With(n.mirror, func(m *Mirror) bool { return m.withdrawalsOf(a.account) >= maxWithdrawals }) {
		return fmt.Errorf("%w: too many cancellations of unknown jobs", ErrNotDone)
	}
	record := &hfwork.Withdrawal{Queue: a.queue.GetName(), Account: a.account, Policy: a.policy}
	value, err := hfwire.Encode(record)
	if err != nil {
		return fmt.Errorf("withdraw: %w", err)
	}
	item, err := n.createKey(ctx, withdrawalKey(id, record), value, jobPrefix+id)
	if err != nil {
		return fmt.Errorf("withdraw: %w", err)
	}
	n.log.Event(hfevent.JobWithdrawn, zap.String("job", id), zap.String("queue", a.queue.GetName()), zap.String("account", a.account))
	n.applyItem(item)
	return nil
}

// purgeWithdrawals removes the withdrawals that are older than the retention time of jobs, within
// which every write of a submission has taken effect or never will.
func (n *Node) purgeWithdrawals(ctx context.Context, epoch int64) {
	before := hflease.Now().Add(-n.settings.Retention() - purgeMargin)
	keys := hfloop.With(n.mirror, func(m *Mirror) []string { return m.expiredWithdrawals(before) })
	n.removeKeys(ctx, epoch, keys)
}
