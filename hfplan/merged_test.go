package hfplan

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hfwork"
)

// Guards against urgent jobs that lose their guarantee when their account is merged into another one
// (review/5).
func TestJobsOfAMergedAccountUseItsGuarantee(t *testing.T) {
	d := newDesk(t, 1, "w")
	d.store()
	d.report("w")
	queues := []*hfwork.Queue{{Name: "usual", Pool: "pool", Attempts: 2}} // urgent
	before := &hfwork.Policy{Version: 1, Queues: queues, Accounts: []*hfwork.Account{{Name: "plants", Keys: []string{"a"}, Guaranteed: 8}, {Name: "auditors", Keys: []string{"b"}}}}
	after := &hfwork.Policy{Version: 2, Queues: queues, Accounts: []*hfwork.Account{{Name: "auditors", Keys: []string{"a", "b"}, Guaranteed: 8}}}
	h := hfwork.AccountHistory{}.After(before).After(after)
	d.send(Policy(after).WithAccounts(h))
	d.submit("first", deskStep(1)) // of the account plants
	d.submit("second", deskStep(1))
	d.send(PassMsg{})
	require.True(t, d.s.jobs["first"].guaranteed)
	require.False(t, d.s.jobs["second"].guaranteed, "the guarantee is used up")
}
