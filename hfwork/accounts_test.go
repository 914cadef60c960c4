package hfwork

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// policyWith returns a configuration with the given keys by account.
func policyWith(version int64, accounts map[string][]string) *Policy {
	p := &Policy{Version: version}
	for name, keys := range accounts {
		p.Accounts = append(p.Accounts, &Account{Name: name, Keys: keys})
	}
	return p
}

// Guards against jobs that nobody owns after their account was merged into another one (review/5).
func TestOwnerFollowsMerges(t *testing.T) {
	var h AccountHistory
	require.Equal(t, "plants", h.Owner("plants", 1), "nothing is known")
	h = h.After(policyWith(1, map[string][]string{"plants": {"a"}, "auditors": {"b"}, "desk": {"c"}}))
	h = h.After(policyWith(2, map[string][]string{"plants": {"a2"}, "auditors": {"b"}, "desk": {"c"}}))
	require.Equal(t, "plants", h.Owner("plants", 1), "its key was replaced")
	h = h.After(policyWith(5, map[string][]string{"auditors": {"b", "a2"}, "desk": {"c"}}))
	require.Equal(t, "auditors", h.Owner("plants", 1))
	require.Equal(t, "auditors", h.Owner("plants", 0), "submitted by an earlier release")
	h = NewAccountHistory(h.Record()).After(policyWith(7, map[string][]string{"desk": {"c", "b"}}))
	require.Equal(t, "desk", h.Owner("plants", 1), "merged again, seen after a restart")
	require.Equal(t, "desk", h.Owner("auditors", 5))
	h = h.After(policyWith(8, map[string][]string{"desk": {"c", "b"}, "plants": {"new"}}))
	require.Equal(t, "desk", h.Owner("plants", 1), "a new account of the old name is another one")
	require.Equal(t, "plants", h.Owner("plants", 8))
	h = h.After(policyWith(9, map[string][]string{"plants": {"new"}}))
	require.Empty(t, h.Owner("desk", 1), "a removed account")
	require.Empty(t, h.Owner("plants", 1))
	h = h.After(policyWith(10, map[string][]string{"plants": {"new", "c"}}))
	require.Equal(t, "plants", h.Owner("desk", 1), "merged one version later")
	require.Equal(t, "plants", h.Owner("plants", 1))
}

// Guards against a configuration that is applied twice or out of order.
func TestHistoryIgnoresEarlierConfigurations(t *testing.T) {
	var h AccountHistory
	h = h.After(policyWith(1, map[string][]string{"a": {"k"}}))
	h = h.After(policyWith(2, map[string][]string{"b": {"k"}}))
	again := h.After(policyWith(1, map[string][]string{"a": {"k"}})).After(policyWith(2, map[string][]string{"b": {"k"}}))
	require.True(t, h.SameAccounts(again))
	require.Equal(t, "b", again.Owner("a", 1))
}

// Guards against a history that grows without bound, or forgets an account that exists.
func TestHistoryIsBounded(t *testing.T) {
	var h AccountHistory
	for v := range int64(3 * maxClosedEras) {
		h = h.After(policyWith(v+1, map[string][]string{"stays": {"s"}, fmt.Sprint("a", v): {fmt.Sprint(v)}}))
	}
	require.Len(t, h.Record().GetEras(), maxClosedEras+2)
	require.Equal(t, "stays", h.Owner("stays", 1))
}

// Guards against a merge with itself or in a circle that is followed without end.
func TestOwnerEnds(t *testing.T) {
	h := NewAccountHistory(&Accounts{Version: 9, Eras: []*Era{
		{Name: "a", Since: 1, Until: 2, Into: "b", Merged: 2}, {Name: "b", Since: 1, Until: 2, Into: "a", Merged: 2},
	}})
	require.Empty(t, h.Owner("a", 1))
}
