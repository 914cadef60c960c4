package hfentry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hfstore"
)

// Guards against tasks that start in a failure domain while operators have it evacuated, also after its
// entry became unreadable, and against one that stays without tasks after it was taken back.
func TestEvacuatedDomainsFollowTheirEntries(t *testing.T) {
	m := NewMirror(fakeFormats{}, time.Second)
	key := "op/evacuate/north"
	for _, step := range []struct {
		name   string
		change func() []change
		want   map[string]bool
	}{
		{"added", func() []change { return []change{m.Apply(hfstore.NewItem(key, []byte("{}"), 2, false))} }, map[string]bool{"north": true}},
		{"unreadable", func() []change { return []change{m.Apply(unreadableItem(key))} }, map[string]bool{"north": true}},
		{"removed", func() []change { return []change{m.Apply(hfstore.NewItem(key, nil, 4, true))} }, map[string]bool{}},
		{"listed", func() []change {
			return m.Reset("op/", []hfstore.Item{hfstore.NewItem("op/evacuate/south", nil, 5, false)}, 5)
		}, map[string]bool{"south": true}},
		{"not listed", func() []change { return m.Reset("op/", nil, 6) }, map[string]bool{}},
	} {
		before := m.evacuated
		size := len(before)
		changes := step.change()
		require.Equal(t, step.want, m.evacuated, step.name)
		require.True(t, changes[0].workers, "the scheduler is told")
		require.Len(t, before, size, "the scheduler may still read the earlier ones")
	}
}
