package hfgang

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hfwire"
)

// jobsOf submits jobs of an account until one is refused, and returns how many were accepted.
func jobsOf(t *testing.T, sim *simulation, account string) int {
	for n := range 1000 {
		sim.lastToken++
		token := sim.lastToken
		job := &hfwire.Job{Id: fmt.Sprint(account, token), Account: account, Work: "filler", Size: 1, Preemptible: true, Idempotent: true, Run: 1000, Command: strings.Repeat("x", 4000)}
		sim.send(Submit(token, job))
		for sim.replies[token].Code() == "" {
			sim.advance(simStep)
		}
		if code := sim.replies[token].Code(); code != CodeOK {
			require.Equal(t, CodeRetryLater, code, "it was not accepted and may be submitted again")
			return n
		}
	}
	require.Fail(t, "no job was refused")
	return 0
}

// Jobs are accepted while there is memory for them, and one account leaves half of it to others.
func TestJobsStayWithinTheirMemory(t *testing.T) {
	const limit = 400 << 10
	sim := newSimulation(1, workersOfEight(1), testDirectory(nil, nil))
	sim.start()
	sim.scheduler.SetMemory(limit)
	greedy := jobsOf(t, sim, "a")
	require.Greater(t, greedy, 10)
	require.LessOrEqual(t, sim.scheduler.memory.Total(), int64(limit/2))
	require.Greater(t, jobsOf(t, sim, "b"), greedy/4)
	require.LessOrEqual(t, sim.scheduler.memory.Total(), int64(limit))
	require.NoError(t, sim.scheduler.Check())
}

// Finished jobs make room for new ones of their account, but only once their ids cannot be submitted again, and what
// is stored is kept.
func TestFinishedJobsMakeRoom(t *testing.T) {
	const limit = 400 << 10
	sim := newSimulation(1, workersOfEight(2), testDirectory(nil, nil))
	sim.start()
	sim.scheduler.SetMemory(limit)
	first := jobsOf(t, sim, "a")
	others := jobsOf(t, sim, "b")
	require.Greater(t, others, 5)
	sim.advance(2 * time.Minute)
	require.Empty(t, sim.scheduler.open, "all have ended")
	require.Zero(t, jobsOf(t, sim, "a"), "an id of theirs may still be submitted again")
	require.Len(t, sim.scheduler.jobs, first+others)
	sim.advance(idLifetime)
	require.Positive(t, jobsOf(t, sim, "a"))
	require.NoError(t, sim.scheduler.Check())
	kept := 0
	for _, j := range sim.scheduler.jobs {
		if s := j.record.GetAccount(); s == "b" {
			kept++
		}
	}
	require.Equal(t, others, kept, "those of another account stay until their retention ends")

	all := len(sim.scheduler.jobs)
	sim.replaceLeader(time.Second)
	sim.scheduler.SetMemory(limit / 4)
	sim.advance(time.Second)
	require.Len(t, sim.scheduler.jobs, all)
	require.NoError(t, sim.scheduler.Check())
}
