package hfentry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hfloop"
	"github.com/heatherfront/heatherfront/hfstore"
	"github.com/heatherfront/heatherfront/hfwork"
)

// fakeSettings places an instance in domain a of region one.
type fakeSettings struct{ Settings }

func (fakeSettings) Domain() string { return "a" }
func (fakeSettings) Region() string { return "one" }

func TestOtherInstancesAreSortedByDistance(t *testing.T) {
	n := newTestNode("self")
	n.settings = fakeSettings{}
	for k, inst := range []*hfwork.Instance{
		{Name: "far", Domain: "c", Region: "two", Address: "10.0.0.3:1", Noted: 30},
		{Name: "self", Domain: "a", Region: "one", Address: "10.0.0.9:1", Noted: 30},
		{Name: "beside", Domain: "b", Region: "one", Address: "10.0.0.2:1", Noted: 10},
		{Name: "near", Domain: "a", Region: "one", Address: "10.0.0.1:1", Noted: 30},
	} {
		n.applyItem(newItem(t, peerPrefix+inst.GetName(), int64(k+1), inst))
	}
	var names []string
	for _, p := range n.otherInstances() {
		names = append(names, p.Name()+" "+p.Address())
	}
	require.Equal(t, []string{"near 10.0.0.1:1", "beside 10.0.0.2:1", "far 10.0.0.3:1"}, names)
	expired := hfloop.With(n.mirror, func(m *Mirror) []string { return m.expiredInstances(time.UnixMilli(20)) })
	require.Equal(t, []string{"beside"}, expired)
	n.applyItem(hfstore.NewItem(peerPrefix+"far", nil, 9, true))
	require.Len(t, n.otherInstances(), 2)
}
