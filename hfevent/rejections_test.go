package hfevent

import (
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a log line for every repetition of an invalid entry, and against an entry that
// was valid in between and is not logged again because its key is long.
func TestRejectionIsRepeatedUntilForgotten(t *testing.T) {
	r := NewRejections(8)
	long := strings.Repeat("k", 20)
	require.False(t, r.Reject(long, "a").Repeated())
	require.True(t, r.Reject(long, "a").Repeated())
	require.False(t, r.Reject(long, "b").Repeated(), "another reason")
	r.Forget(long)
	require.False(t, r.Reject(long, "b").Repeated())
	r.Retain("k", []string{long})
	require.True(t, r.Reject(long, "b").Repeated())
	r.Retain("other", nil)
	require.True(t, r.Reject(long, "b").Repeated(), "not below the prefix")
	r.Retain("k", nil)
	j := r.Reject(long, strings.Repeat("\xff", 2*MaxReasonBytes))
	require.False(t, j.Repeated())
	require.Equal(t, "kkkkkkkk", j.Key())
	require.Equal(t, "?", j.Reason(), "valid UTF-8")
}

// Guards against a memory of rejections that grows with every key that another writer makes up.
func TestRejectionsAreLimited(t *testing.T) {
	r := NewRejections(8)
	for i := range MaxRejections {
		require.False(t, r.Reject(strconv.Itoa(i), "a").Repeated())
	}
	require.True(t, r.Reject("x", "a").Repeated())
	require.False(t, r.Reject("1", "b").Repeated(), "a known key")
	r.Forget("1")
	require.False(t, r.Reject("x", "a").Repeated())
}
