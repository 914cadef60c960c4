package hfentry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hfwork"
)

// After an outage of the store, the records of a hundred jobs were stored by id, those of urgent jobs last
// if they happened to be.
func TestUrgentJobsAndEndsAreStoredFirst(t *testing.T) {
	l := newRecordLayout()
	jobs := map[string]*hfwork.Job{
		"a": {Id: "a", Settings: &hfwork.Queue{Priority: 1}}, "b": {Id: "b", Settings: &hfwork.Queue{Priority: 1}},
		"c": {Id: "c", Settings: &hfwork.Queue{}}, "d": {Id: "d", Settings: &hfwork.Queue{}}, "e": {Id: "e", Settings: &hfwork.Queue{}},
	}
	l.job = func(id string) *hfwork.Job { return jobs[id] }
	order := l.inOrder(map[string]*hfwork.Progress{
		"a": {State: hfwork.StateRunning}, "b": {State: hfwork.StateCompleted}, "c": {State: hfwork.StateRunning},
		"d": {State: hfwork.StateCompleted}, "e": {State: hfwork.StateRunning}, "unknown": {State: hfwork.StateCompleted},
	})
	require.Equal(t, []string{"d", "c", "e", "b", "a", "unknown"}, order)
}
