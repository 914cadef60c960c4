package hfentry

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/heatherfront/heatherfront/hfevent"
	"github.com/heatherfront/heatherfront/hfloop"
	"github.com/heatherfront/heatherfront/hfplan"
	"github.com/heatherfront/heatherfront/hfstore"
	"github.com/heatherfront/heatherfront/hfwire"
	"github.com/heatherfront/heatherfront/hfwork"
)

// accountsInterval is the time between two checks of the leader whether the history of the accounts has
// to be stored.
const accountsInterval = 200 * time.Millisecond

// accounts is the history of the client accounts as an instance knows it. A configuration does not tell
// which account an earlier one was merged into, so the history is stored: an instance that starts later
// continues from there.
type accounts struct {
	history  hfwork.AccountHistory
	policy   *hfwork.Policy        // the last one applied, nil before the first
	stored   hfwork.AccountHistory // the record in the store
	version  int64                 // store revision of the record, 0 if there is none
	restored bool                  // history continues a stored record
}

func (a *accounts) applyPolicy(p *hfwork.Policy) {
	a.policy, a.history = p, a.history.After(p)
}

// applyRecord applies the stored history, which replaces what this instance has seen itself if that
// began later.
func (a *accounts) applyRecord(record *hfwork.Accounts, version int64) {
	a.stored, a.version = hfwork.NewAccountHistory(record), version
	if a.restored && a.stored.Version() <= a.history.Version() {
		return
	}
	a.history, a.restored = a.stored, true
	if a.policy != nil {
		a.history = a.history.After(a.policy)
	}
}

// owner returns the account that owns a job today, or "".
func (a *accounts) owner(account string, policy int64) string {
	return a.history.Owner(account, policy)
}

func (m *Mirror) applyAccounts(i hfstore.Item) change {
	if i.Deleted() || i.Version() <= m.accounts.version {
		return change{}
	}
	record, err := hfwire.Decode(i.Value(), &hfwork.Accounts{})
	if err != nil {
		return change{err: fmt.Errorf("accounts: %w", err)}
	}
	m.accounts.applyRecord(record, i.Version())
	return change{accounts: m.policy != nil}
}

// policyMsg returns the message with the configuration, of which there has to be one.
func (m *Mirror) policyMsg() hfplan.PolicyMsg {
	return hfplan.Policy(m.policy.config).WithAccounts(m.accounts.history)
}

// owns reports whether a caller may see and cancel a job: it was submitted without an account, or the
// caller's account owns it.
func (n *Node) owns(a Access, job *hfwork.Job) bool {
	if job.GetAccount() == "" {
		return true
	}
	owner := hfloop.With(n.mirror, func(m *Mirror) string { return m.accounts.owner(job.GetAccount(), job.GetPolicy()) })
	return owner != "" && owner == a.account
}

// saveAccounts stores the history of the accounts whenever it has changed, until ctx ends.
func (n *Node) saveAccounts(ctx context.Context, epoch func() int64) {
	for ok := true; ok; ok = hfloop.Sleep(ctx, accountsInterval) {
		a := hfloop.With(n.mirror, func(m *Mirror) accounts { return m.accounts })
		if a.history.SameAccounts(a.stored) {
			continue
		}
		value, err := hfwire.Encode(a.history.Record())
		if err != nil {
			n.log.Event(hfevent.AccountsNotStored, zap.String("error", err.Error()))
			return
		}
		revision, err := n.commit(ctx, (&hfstore.Batch{}).Require(leadKey, epoch()).Require(accountsKey, a.version).Put(accountsKey, value, ""))
		if err != nil {
			n.log.Event(hfevent.AccountsNotStored, zap.String("error", err.Error()))
			continue // the watch brings what is stored
		}
		n.applyItem(hfstore.NewItem(accountsKey, value, revision, false))
	}
}
