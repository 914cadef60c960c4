package hfentry

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/heatherfront/heatherfront/hfevent"
	"github.com/heatherfront/heatherfront/hfloop"
	"github.com/heatherfront/heatherfront/hfpeer"
	"github.com/heatherfront/heatherfront/hfwire"
	"github.com/heatherfront/heatherfront/hfwork"
)

const (
	endedGather    = 20 * time.Millisecond  // jobs that complete within it are told together
	endedTimeout   = 400 * time.Millisecond // bounds one call that tells another instance
	endedPause     = 300 * time.Millisecond // before instances that did not answer are told again
	endedTries     = 4
	endedQueueSize = 4096 // jobs that wait to be told; further ones are shown once they are stored
	endedBatches   = 4    // that are told at the same time
	// endedAskTimeout bounds the question of a new leader which jobs were shown as completed.
	endedAskTimeout = 300 * time.Millisecond
)

// Keys of hints between instances. They are not keys of the store. Values are ids of jobs, one a line, and
// versions are epochs of leaders.
const (
	// endedKey tells the jobs that have completed, which could not be stored yet. The answer has the same key
	// if the instance keeps them in mind.
	endedKey = "ended"
	// shownKey tells that such jobs are to be shown as completed. The answer has the same key if they are.
	shownKey = "shown"
	// endedQuery asks which jobs an instance was told of, for a new leader. The instance listens to no earlier
	// leader any more. The answer is like a hint of endedKey.
	endedQuery = "ended?"
)

// keepEnded keeps in mind that jobs have completed, as the leader of an epoch tells, and shows them if show is
// set. It reports false if there was a later leader: that one does not know of them.
func (m *Mirror) keepEnded(jobs []string, epoch int64, show bool) bool {
	if epoch < m.leadEpoch {
		return false
	}
	m.leadEpoch = epoch
	for _, id := range jobs {
		if hfwork.IsValidID(id) {
			r := m.jobRecord(id)
			r.told, r.shown = true, r.shown || show
		}
	}
	return true
}

// endedJobsTold lists the jobs that have completed before that is stored. The leaders before the epoch tell
// of no further ones.
func (m *Mirror) endedJobsTold(epoch int64) []string {
	m.leadEpoch = max(m.leadEpoch, epoch)
	var jobs []string
	for id, r := range m.jobs {
		if r.told && !hfwork.IsFinal(r.progress.GetState()) {
			jobs = append(jobs, id)
		}
	}
	return jobs
}

// covers reports whether each failure domain has an instance among those named. Whoever leads next in any
// part of a divided system then finds one that was told.
func (m *Mirror) covers(names map[string]bool) bool {
	covered := map[string]bool{}
	for name, inst := range m.instances {
		covered[inst.GetDomain()] = covered[inst.GetDomain()] || names[name]
	}
	for _, c := range covered {
		if !c {
			return false
		}
	}
	return true
}

// queueEnded queues a job that has completed, to be shown before that is stored.
func (n *Node) queueEnded(job string) {
	select {
	case n.endedJobs <- job:
	default:
		metrics.GetOrRegisterCounter("ended.dropped", n.registry).Inc(1)
	}
}

// shareEnded tells the other instances of queued jobs until ctx ends.
func (n *Node) shareEnded(ctx context.Context) {
	var group errgroup.Group
	group.SetLimit(endedBatches)
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case id := <-n.endedJobs:
			jobs := []string{id}
			hfloop.Sleep(ctx, endedGather)
			for len(n.endedJobs) > 0 {
				jobs = append(jobs, <-n.endedJobs)
			}
			group.Go(func() error {
				n.tellEnded(ctx, jobs)
				return nil
			})
		}
	}
	_ = group.Wait()
}

// tellEnded tells the other instances of jobs that have completed, and lets them be shown once every failure
// domain knows of them.
func (n *Node) tellEnded(ctx context.Context, jobs []string) {
	leader := n.leader.Load()
	if leader == nil {
		return
	}
	epoch, others := leader.Epoch(), n.otherInstances()
	if !hfloop.With(n.mirror, func(m *Mirror) bool { return m.keepEnded(jobs, epoch, false) }) {
		return
	}
	told, show := map[string]bool{n.name: true}, false
	for try := 0; try < endedTries && !show; try++ {
		if try > 0 && !hfloop.Sleep(ctx, endedPause) {
			return
		}
		n.tell(ctx, others, endedKey, jobs, epoch, told)
		show = hfloop.With(n.mirror, func(m *Mirror) bool { return m.covers(told) })
	}
	show = show && hfloop.With(n.mirror, func(m *Mirror) bool { return m.keepEnded(jobs, epoch, true) })
	n.log.Event(hfevent.EndsShown, zap.Int("jobs", len(jobs)), zap.Int("instances", len(told)), zap.Bool("shown", show))
	if !show {
		return
	}
	metrics.GetOrRegisterCounter("ended.shown", n.registry).Inc(int64(len(jobs)))
	shown := map[string]bool{}
	for try := 0; try < endedTries && len(shown) < len(others); try++ {
		if try > 0 && !hfloop.Sleep(ctx, endedPause) {
			return
		}
		n.tell(ctx, others, shownKey, jobs, epoch, shown)
	}
}

// tell sends a hint of completed jobs to the instances that are not among those named, at the same time, and
// adds the names of those that answer with its key.
func (n *Node) tell(ctx context.Context, to []hfpeer.Peer, key string, jobs []string, epoch int64, names map[string]bool) {
	answered := make([]bool, len(to))
	var group errgroup.Group
	for i, peer := range to {
		if names[peer.Name()] {
			continue
		}
		group.Go(func() error {
			call, cancel := context.WithTimeout(ctx, endedTimeout)
			defer cancel()
			answer, err := n.callHint(call, peer, &hfwire.Hint{Key: key, Value: []byte(strings.Join(jobs, "\n")), Version: epoch})
			answered[i] = err == nil && answer.GetKey() == key
			return nil
		})
	}
	_ = group.Wait()
	for i, peer := range to {
		if answered[i] {
			names[peer.Name()] = true
		}
	}
}

// collectEnded asks the other instances which jobs have completed before that is stored. A new leader does so
// before its scheduler begins.
func (n *Node) collectEnded(ctx context.Context, epoch int64) {
	peers := n.otherInstances()
	answers := make([][]string, len(peers))
	ctx, cancel := context.WithTimeout(ctx, endedAskTimeout)
	defer cancel()
	var group errgroup.Group
	for i, peer := range peers {
		group.Go(func() error {
			if answer, err := n.callHint(ctx, peer, &hfwire.Hint{Key: endedQuery, Version: epoch}); err == nil && answer.GetKey() == endedKey {
				answers[i] = splitJobs(answer.GetValue())
			}
			return nil
		})
	}
	_ = group.Wait()
	jobs := hfloop.With(n.mirror, func(m *Mirror) []string {
		for _, list := range answers {
			m.keepEnded(list, epoch, false)
		}
		return m.endedJobsTold(epoch)
	})
	if len(jobs) > 0 {
		n.log.Event(hfevent.EndsTakenOver, zap.Int64("epoch", epoch), zap.Int("jobs", len(jobs)))
	}
}

// callHint sends a hint that is answered by a hint.
func (n *Node) callHint(ctx context.Context, to hfpeer.Peer, h *hfwire.Hint) (*hfwire.Hint, error) {
	out := n.links.Envelope()
	out.Body = &hfwire.Envelope_Hint{Hint: h}
	in, err := n.links.Call(ctx, to, out)
	if err != nil {
		return nil, fmt.Errorf("call: %w", err)
	}
	return in.GetHint(), nil
}

// answerHint answers a hint whose key is not one of the store. It returns nil for others.
func (n *Node) answerHint(h *hfwire.Hint) *hfwire.Envelope_Hint {
	answer := &hfwire.Hint{}
	switch h.GetKey() {
	case suspendedQuery:
		if l := n.leader.Load(); l != nil && l.Suspended() && !n.stopping.Load() {
			answer.Key = suspendedQuery
		}
	case endedKey, shownKey:
		show := h.GetKey() == shownKey
		if hfloop.With(n.mirror, func(m *Mirror) bool { return m.keepEnded(splitJobs(h.GetValue()), h.GetVersion(), show) }) {
			answer.Key = h.GetKey()
		}
	case endedQuery:
		jobs := hfloop.With(n.mirror, func(m *Mirror) []string { return m.endedJobsTold(h.GetVersion()) })
		answer.Key, answer.Value = endedKey, []byte(strings.Join(jobs, "\n"))
	default:
		return nil
	}
	return &hfwire.Envelope_Hint{Hint: answer}
}

// splitJobs returns the ids in a hint of endedKey.
func splitJobs(value []byte) []string { return strings.Fields(string(value)) }
