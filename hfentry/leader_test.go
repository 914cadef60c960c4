package hfentry

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hfwork"
)

// revokeRecorder is a store that records the revoked leases.
type revokeRecorder struct {
	*fakeStore
	revoked []string
}

func (r *revokeRecorder) Revoke(_ context.Context, lease string) error {
	r.revoked = append(r.revoked, lease)
	return nil
}

// When all instances lose power and restart before the leader's lease has expired, that lease
// keeps them from leading. At the end of every second simulated day, no urgent job started for
// three seconds because of this.
func TestLeaseOfEarlierProcessIsRevoked(t *testing.T) {
	for name, c := range map[string]struct {
		lead    *hfwork.Lead
		revoked []string
	}{
		"same name and address":      {&hfwork.Lead{Instance: "one", Address: "10.0.0.1:1", Lease: "7"}, []string{"7"}},
		"another instance":           {&hfwork.Lead{Instance: "two", Address: "10.0.0.2:1", Lease: "7"}, nil},
		"same name, another address": {&hfwork.Lead{Instance: "one", Address: "10.0.0.9:1", Lease: "7"}, nil},
		"no leader":                  {nil, nil},
	} {
		t.Run(name, func(t *testing.T) {
			n, r := newTestNode("one"), &revokeRecorder{fakeStore: newFakeStore()}
			n.peerAddress, n.store, n.health = "10.0.0.1:1", r, NewStoreHealth(func(bool, time.Duration) {})
			if c.lead != nil {
				n.applyItem(newItem(t, leadKey, 3, c.lead))
			}
			n.revokeEarlierLease(t.Context())
			require.Equal(t, c.revoked, r.revoked)
		})
	}
}
