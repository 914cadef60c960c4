package hfplan

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hfwork"
)

// Half of the machines are due for upkeep, two at a time, while all workers are
// busy.
func TestUpkeepWaveLimitsDownMachinesAndLostWork(t *testing.T) {
	w := newWorld(t, 2, 4)
	w.advance(time.Second)
	s := single(24, 300*time.Second)
	s.Lasting, s.Absent = true, 8
	w.submit("last", "usual", s)
	for i := range 8 {
		w.submit(fmt.Sprint("a", i), "spare", single(8, time.Second))
	}
	w.advance(2 * time.Second)
	spec := &hfwork.Wave{Number: 3, Machines: []string{"w0-0", "w0-1", "w1-0", "w1-1"}, Most: 2, Deadline: w.now.Add(40 * time.Second).UnixMilli()}
	w.listMachines()
	w.send(Wave(spec))
	for range 300 {
		w.advance(100 * time.Millisecond)
		w.listMachines()
		require.LessOrEqual(t, len(w.downUntil), 2)
	}
	require.Len(t, w.upkeepDone, 4)
	require.False(t, w.s.UpkeepInProgress(), "the wave must be completed")
	require.Zero(t, w.interrupted, "machines must be drained before they go down")
	require.Equal(t, 24, w.running("last"))
}

// The leader changes in the middle of an upkeep wave.
func TestNewLeaderContinuesAWave(t *testing.T) {
	w := newWorld(t, 1, 4)
	w.advance(time.Second)
	spec := &hfwork.Wave{Number: 1, Machines: []string{"w0-0", "w0-1", "w0-2"}, Most: 1, Deadline: w.now.Add(60 * time.Second).UnixMilli()}
	w.listMachines()
	w.send(Wave(spec))
	w.advance(3 * time.Second)
	w.replaceScheduler()
	w.listMachines()
	w.send(Wave(&hfwork.Wave{Number: 1, Machines: spec.GetMachines(), Most: 1, Deadline: spec.GetDeadline(), Begun: sortedKeys(w.upkeepDone)}))
	for range 300 {
		w.advance(100 * time.Millisecond)
		w.listMachines()
		require.LessOrEqual(t, len(w.downUntil), 1)
	}
	require.Len(t, w.upkeepDone, 3)
	require.False(t, w.s.UpkeepInProgress())
}

// Guards against an upkeep that begins while as many machines as may be down are down: the
// earlier leader got no answer for the last one, or ended before it stored it.
func TestNewLeaderCountsMachinesThatAreDown(t *testing.T) {
	s, now := New(2, NewTiming(workerLease), time.Unix(1_000_000, 0)), time.Unix(1_000_000, 0)
	machines := map[string]*hfwork.Machine{"a": {Name: "a", Up: true}, "b": {Name: "b"}}
	s.Update(Wave(&hfwork.Wave{Number: 1, Machines: []string{"a", "b"}, Most: 1, Deadline: now.Add(time.Minute).UnixMilli()}), now)
	s.Update(Machines(machines), now)
	var begun []string
	for end := now.Add(upkeepDuration); now.Before(end); now = now.Add(tickInterval) {
		for _, cmd := range s.Update(TickMsg{}, now) {
			if c, ok := cmd.(UpkeepCmd); ok {
				begun = append(begun, c.Machine())
			}
		}
	}
	require.NotContains(t, begun, "a", "b is down")
	s.Update(Machines(map[string]*hfwork.Machine{"a": {Name: "a", Up: true}, "b": {Name: "b", Up: true}}), now)
	for end := now.Add(upkeepDuration); now.Before(end); now = now.Add(tickInterval) {
		for _, cmd := range s.Update(TickMsg{}, now) {
			if c, ok := cmd.(UpkeepCmd); ok {
				begun = append(begun, c.Machine())
			}
		}
	}
	require.Contains(t, begun, "a")
}

// A wave was completed without the upkeep of a machine that had been added since the last list of
// machines, which another wave had asked for (review/10).
func TestWaveWaitsForAListThatIsNewer(t *testing.T) {
	s, now := New(2, NewTiming(workerLease), time.Unix(1_000_000, 0)), time.Unix(1_000_000, 0)
	play := func(d time.Duration) (begun []string, completed map[int64]bool) {
		completed = map[int64]bool{}
		for end := now.Add(d); now.Before(end); now = now.Add(tickInterval) {
			for _, msg := range []Msg{TickMsg{}, PassMsg{}} {
				for _, cmd := range s.Update(msg, now) {
					switch c := cmd.(type) {
					case UpkeepCmd:
						begun = append(begun, c.Machine())
					case StoreCmd:
						for _, w := range c.Waves() {
							completed[w.GetNumber()] = w.GetCompleted()
						}
						s.Update(Stored(c), now)
					}
				}
			}
		}
		return begun, completed
	}
	deadline := now.Add(time.Hour).UnixMilli()
	s.Update(Wave(&hfwork.Wave{Number: 1, Machines: []string{"gone"}, Most: 1, Deadline: deadline}), now)
	s.Update(Machines(map[string]*hfwork.Machine{"a": {Name: "a", Up: true}}).RequestedAt(now), now)
	asked := now
	_, completed := play(time.Second)
	require.True(t, completed[1], "a machine that was removed needs no upkeep")

	for number := int64(2); number <= 3; number++ { // beside no other wave, and beside one in progress
		added := fmt.Sprint("added", number)
		s.Update(Wave(&hfwork.Wave{Number: number, Machines: []string{added}, Most: 1, Deadline: deadline}), now)
		s.Update(Machines(map[string]*hfwork.Machine{"a": {Name: "a", Up: true}}).RequestedAt(asked), now)
		_, completed = play(time.Second)
		require.False(t, completed[number], "the list is older than the wave")
		asked = now
		s.Update(Machines(map[string]*hfwork.Machine{"added2": {Name: "added2", Up: true}, added: {Name: added, Up: true}}).RequestedAt(asked), now)
		begun, _ := play(5 * time.Second)
		require.Contains(t, begun, added)
	}
}

// Guards against an upkeep that ends the runs of a worker which the list of machines does not name
// yet, or which has not registered yet.
func TestUpkeepAwaitsTheWorkerOfAMachine(t *testing.T) {
	w := newWorld(t, 1, 3)
	w.advance(time.Second)
	w.submit("a", "usual", single(24, 20*time.Second))
	w.advance(500 * time.Millisecond)
	list := func(worker string) {
		w.send(Machines(map[string]*hfwork.Machine{"w0-0": {Name: "w0-0", Up: true, Worker: worker}}))
	}
	list("before-the-crash")
	w.send(Wave(&hfwork.Wave{Number: 1, Machines: []string{"w0-0"}, Most: 1, Deadline: w.now.Add(time.Hour).UnixMilli()}))
	for range 10 {
		w.advance(100 * time.Millisecond)
		list("before-the-crash")
	}
	for range 300 {
		w.advance(100 * time.Millisecond)
		w.listMachines()
	}
	require.True(t, w.upkeepDone["w0-0"])
	require.Zero(t, w.interrupted)
}
