package hfworker_test

import (
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hfstand"
	"github.com/heatherfront/heatherfront/hfworker"
)

const restartLease = 500 * time.Millisecond

// restartingWorker is a worker whose next process listens at the same address.
type restartingWorker struct {
	t       *testing.T
	address string
	server  *http.Server
	process *hfstand.Worker
}

func newRestartingWorker(t *testing.T) *restartingWorker {
	w := &restartingWorker{t: t, address: "127.0.0.1:0"}
	w.restart()
	t.Cleanup(func() { _ = w.server.Close() })
	return w
}

// restart ends the process with its connections and starts the next one, which knows no task.
func (w *restartingWorker) restart() {
	if w.server != nil {
		require.NoError(w.t, w.server.Close())
	}
	var l net.Listener
	require.Eventually(w.t, func() bool {
		var config net.ListenConfig
		var err error
		l, err = config.Listen(w.t.Context(), "tcp", w.address)
		return err == nil
	}, 10*time.Second, time.Millisecond)
	w.address = l.Addr().String()
	w.process = hfstand.NewWorker("w", 8)
	w.server = &http.Server{Handler: w.process.Handler()}
	server := w.server
	go func() { _ = server.Serve(l) }()
}

func (w *restartingWorker) start(c *hfworker.Client, attempt uint32) (string, error) {
	return c.Start(w.t.Context(), w.address, hfworker.Start{
		ID: hfworker.TaskID("j", attempt, 0, 1), Job: "j", Attempt: attempt, Size: 1, Count: 8,
		Lease: restartLease.Milliseconds(), Run: time.Hour.Milliseconds(), Command: "run",
	})
}

// eventually repeats a call until the worker answers it: the first ones may find the connections of the
// earlier process.
func (w *restartingWorker) eventually(call func() error) error {
	for try := 0; ; try++ {
		err := call()
		if err == nil || !errors.Is(err, hfworker.ErrNoAnswer) {
			return err
		}
		require.Less(w.t, try, 10)
	}
}

// Guards against an order for one process of a worker that makes the next one, at the same address and
// under the same name, run a member: orders name neither.
func TestOrdersForEarlierProcessRunNothing(t *testing.T) {
	task := hfworker.TaskID("j", 1, 0, 1)
	for name, order := range map[string]func(w *restartingWorker, c *hfworker.Client) error{
		"release": func(w *restartingWorker, c *hfworker.Client) error {
			_, _, err := c.ControlTask(w.t.Context(), w.address, task, "release")
			return err
		},
		"checkpoint": func(w *restartingWorker, c *hfworker.Client) error {
			_, _, err := c.ControlTask(w.t.Context(), w.address, task, "checkpoint")
			return err
		},
		"renewal": func(w *restartingWorker, c *hfworker.Client) error {
			tasks, err := c.Renew(w.t.Context(), w.address, []string{task}, time.Hour)
			if err == nil && len(tasks) == 0 {
				return hfworker.ErrRefused // nothing was renewed
			}
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			for _, released := range []bool{false, true} {
				w := newRestartingWorker(t)
				c := hfworker.NewClient(&http.Client{})
				state, err := w.start(c, 1)
				require.NoError(t, err)
				require.Equal(t, hfworker.StateHeld, state)
				if released {
					_, _, err = c.ControlTask(t.Context(), w.address, task, "release")
					require.NoError(t, err)
				}
				w.restart()
				require.ErrorIs(t, w.eventually(func() error { return order(w, c) }), hfworker.ErrRefused)
				require.Empty(t, w.process.Runs())
			}
		})
	}
}

// Guards against a start for one process of a worker that runs under the next one: it is held there, and
// no renewal of its observer keeps it.
func TestStartForEarlierProcessIsHeldUntilItsLeaseEnds(t *testing.T) {
	w := newRestartingWorker(t)
	c := hfworker.NewClient(&http.Client{})
	_, err := c.Renew(t.Context(), w.address, nil, restartLease)
	require.NoError(t, err, "a connection to the first process is open")
	w.restart()
	require.NoError(t, w.eventually(func() error {
		_, err := w.start(c, 1)
		return err
	}))
	fleet := hfworker.NewFleet(restartLease/4, restartLease/4, hfworker.GangComplete)
	fleet.Update(hfworker.Instances([]string{"e"}), time.Now())
	fleet.Update(hfworker.Listed([]hfworker.Worker{hfworker.NewWorker("w", w.address, "a", "one", "r", 0, 8, false)}), time.Now())
	fleet.Update(hfworker.Observe(map[string]bool{"w": true}), time.Now())
	task := hfworker.TaskID("j", 1, 0, 1)
	var states []string
	for end := time.Now().Add(3 * restartLease); time.Now().Before(end); time.Sleep(restartLease / 10) {
		fleet.Update(hfworker.Leaderships("e", time.Now(), nil), time.Now())
		for _, cmd := range fleet.Update(hfworker.TickMsg{}, time.Now()) {
			poll, ok := cmd.(hfworker.PollCmd)
			if !ok {
				continue
			}
			require.Empty(t, poll.Renew())
			sent := time.Now()
			tasks, err := c.Renew(t.Context(), w.address, poll.Renew(), restartLease)
			require.NoError(t, err)
			require.Len(t, tasks, 1)
			require.Equal(t, task, tasks[0].GetId())
			states = append(states, tasks[0].GetState())
			fleet.Update(hfworker.Polled("w", tasks, sent), time.Now())
		}
	}
	require.Equal(t, hfworker.StateHeld, states[0])
	require.Equal(t, hfworker.StateStopped, states[len(states)-1])
	require.Empty(t, w.process.Runs())
}

// Guards against a start that was sent before a stop and reaches the worker after it.
func TestStartAfterStopIsRefused(t *testing.T) {
	w := newRestartingWorker(t)
	c := hfworker.NewClient(&http.Client{})
	state, _, err := c.ControlTask(t.Context(), w.address, hfworker.TaskID("j", 1, 0, 1), "stop")
	require.NoError(t, err)
	require.Equal(t, hfworker.StateStopped, state)
	_, err = w.start(c, 1)
	require.ErrorIs(t, err, hfworker.ErrRefused)
	_, err = w.start(c, 2)
	require.NoError(t, err, "the next attempt has another id")
}
