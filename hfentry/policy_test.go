package hfentry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hfwork"
)

// Guards against a queue that is not found because its host is written with capitals.
func TestHostOfQueueIsFoundInAnyCase(t *testing.T) {
	p := newPolicyIndex(&hfwork.Policy{Queues: []*hfwork.Queue{{Name: "q", Host: "Jobs.Example", Prefix: "/q/"}}})
	for _, host := range []string{"jobs.example", "Jobs.Example", "JOBS.EXAMPLE:8080"} {
		q, rest := p.matchQueue(host, "/q/1")
		require.Equal(t, "q", q.GetName())
		require.Equal(t, "1", rest)
	}
}
