package hfentry

import (
	"context"
	"strings"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/heatherfront/heatherfront/hfloop"
	"github.com/heatherfront/heatherfront/hfpeer"
	"github.com/heatherfront/heatherfront/hfstore"
	"github.com/heatherfront/heatherfront/hfwire"
	"github.com/heatherfront/heatherfront/hfwork"
)

const (
	// pushQueueSize bounds the number of stored states that wait to be pushed. Further ones are dropped, as
	// the watches of the other instances bring them.
	pushQueueSize = 256
	pushesAtOnce  = 8    // calls under way, so that an instance that does not answer holds up few others
	maxTakers     = 8192 // jobs of which the leader knows who took them
)

// takers knows which instances took jobs, for the leader. Callers ask where they handed in, as their
// connections stay.
type takers struct {
	byJob map[string]string // instance by job id
	order []string          // the job ids in byJob, the oldest first
}

func newTakers() *takers { return &takers{byJob: map[string]string{}} }

// note records that an instance took a job. The oldest one is forgotten beyond maxTakers.
func (t *takers) note(job, instance string) bool {
	if _, known := t.byJob[job]; !known {
		t.order = append(t.order, job)
	}
	t.byJob[job] = instance
	for len(t.order) > maxTakers {
		delete(t.byJob, t.order[0])
		t.order = t.order[1:]
	}
	return true
}

// push is a stored item on its way to an instance.
type push struct {
	to   string // name of the instance
	item hfstore.Item
}

// pushState queues the stored state of a job for the instance that took it. That one's watch brings it
// as well, after a pause of 0.2 s, or seconds later where the watch has gone silent.
func (n *Node) pushState(key string, value []byte, version int64) {
	id, ok := strings.CutPrefix(key, progressPrefix)
	if !ok {
		return
	}
	taker := hfloop.With(n.takers, func(t *takers) string { return t.byJob[id] })
	if taker == "" || taker == n.name {
		return
	}
	select {
	case n.pushes <- push{to: taker, item: hfstore.NewItem(key, value, version, false)}:
	default:
		metrics.GetOrRegisterCounter("push.dropped", n.registry).Inc(1)
	}
}

// sendPushes sends queued states until ctx ends. Failed ones are not repeated.
func (n *Node) sendPushes(ctx context.Context) {
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(pushesAtOnce)
	defer func() { _ = g.Wait() }()
	for {
		select {
		case <-ctx.Done():
			return
		case p := <-n.pushes:
			g.Go(func() error {
				n.sendPush(ctx, p)
				return nil
			})
		}
	}
}

func (n *Node) sendPush(ctx context.Context, p push) {
	address := hfloop.With(n.mirror, func(m *Mirror) string { return m.instances[p.to].GetAddress() })
	if address == "" {
		return
	}
	out := n.links.Envelope()
	out.Body = &hfwire.Envelope_Hint{Hint: &hfwire.Hint{Key: p.item.Key(), Value: p.item.Value(), Version: p.item.Version()}}
	call, cancel := context.WithTimeout(ctx, hintTimeout)
	defer cancel()
	if _, err := n.links.Call(call, hfpeer.NewPeer(p.to, address), out); err != nil {
		metrics.GetOrRegisterCounter("push.failed", n.registry).Inc(1)
	}
}

// noteTaker records who took a job that a hint tells of.
func (n *Node) noteTaker(key, instance string) {
	if id, ok := strings.CutPrefix(key, jobPrefix); ok && hfwork.IsValidID(id) {
		hfloop.With(n.takers, func(t *takers) bool { return t.note(id, instance) })
	}
}
