package hfentry

import (
	"context"
	"net"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/heatherfront/heatherfront/hfevent"
	"github.com/heatherfront/heatherfront/hfloop"
	"github.com/heatherfront/heatherfront/hfpeer"
	"github.com/heatherfront/heatherfront/hfstore"
	"github.com/heatherfront/heatherfront/hfwire"
	"github.com/heatherfront/heatherfront/hfwork"
)

const (
	// hintQueueSize bounds the number of queued hints, which are stored items to be sent to the
	// leader. Further ones are dropped, as the leader's watch brings their items.
	hintQueueSize = 256
	hintTimeout   = 400 * time.Millisecond // bounds the call for one hint
	maxHintBytes  = 1 << 20                // of a hinted item once it is decoded
)

// queueHint queues an item that was just stored, to be sent to the leader. The leader's watch
// brings the item as well, but can lag by seconds when the store drops its history.
func (n *Node) queueHint(i hfstore.Item) {
	if n.leader.Load() != nil {
		return
	}
	select {
	case n.hints <- i:
	default:
		metrics.GetOrRegisterCounter("hint.dropped", n.registry).Inc(1)
	}
}

// sendHints sends queued hints to the leader until ctx ends. Failed hints are not repeated, as
// the leader's watch brings the items.
func (n *Node) sendHints(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case i := <-n.hints:
			lead := hfloop.With(n.mirror, func(m *Mirror) *hfwork.Lead { return m.lead })
			if lead.GetAddress() == "" || lead.GetInstance() == n.name {
				continue
			}
			out := n.links.Envelope()
			out.Body = &hfwire.Envelope_Hint{Hint: &hfwire.Hint{Key: i.Key(), Value: i.Value(), Version: i.Version()}}
			call, cancel := context.WithTimeout(ctx, hintTimeout)
			_, err := n.links.Call(call, hfpeer.NewPeer(lead.GetInstance(), lead.GetAddress()), out)
			cancel()
			if err != nil {
				metrics.GetOrRegisterCounter("hint.failed", n.registry).Inc(1)
			}
		}
	}
}

// handleCall answers a call of another instance.
func (n *Node) handleCall(ctx context.Context, in *hfwire.Envelope) *hfwire.Envelope {
	out := n.links.Envelope()
	if answer := n.answerHint(in.GetHint()); answer != nil {
		out.Body = answer
		return out
	}
	switch {
	case in.GetHint() != nil:
		h := in.GetHint()
		if !hfpeer.FromListed(ctx) || !hfloop.With(n.mirror, func(m *Mirror) bool { return m.acceptsHint(h) }) {
			metrics.GetOrRegisterCounter("hint.refused", n.registry).Inc(1)
			out.Body = &hfwire.Envelope_Refusal{Refusal: &hfwire.Refusal{Reason: "the watch will bring the item"}}
			break
		}
		n.noteTaker(h.GetKey(), in.GetSender())
		n.applyItem(hfstore.NewItem(h.GetKey(), h.GetValue(), h.GetVersion(), false))
		out.Body = &hfwire.Envelope_Ack{Ack: &hfwire.Ack{}}
	case in.GetCall() != nil:
		out.Body = &hfwire.Envelope_Reply{Reply: n.relay.Serve(ctx, in.GetCall())}
	default:
		n.log.Event(hfevent.MessageUnknown, zap.String("peer", in.GetSender()))
		out.Body = &hfwire.Envelope_Refusal{Refusal: &hfwire.Refusal{Reason: "unknown message"}}
	}
	return out
}

// acceptsHint reports whether an item of which another instance tells may be applied before the watch brings it.
// What is hinted was not read from the store, so it must not take memory without bound: a job has to fit beside
// the others, and the rest has to belong to a job that is known.
func (m *Mirror) acceptsHint(h *hfwire.Hint) bool {
	if id, ok := strings.CutPrefix(h.GetKey(), jobPrefix); ok {
		if len(id) > maxKeyBytes || hfwire.DecodedSize(h.GetValue(), (*hfwork.Job)(nil)) > maxHintBytes {
			return false
		}
		job, err := hfwire.Decode(h.GetValue(), &hfwork.Job{})
		return err == nil && (m.jobs[id] != nil || m.memory.Fits(m.memoryOwner(job), hfwork.Footprint(job)))
	}
	for _, prefix := range []string{progressPrefix, cancelPrefix} {
		if id, ok := strings.CutPrefix(h.GetKey(), prefix); ok {
			return m.jobs[id] != nil && hfwire.DecodedSize(h.GetValue(), (*hfwork.Progress)(nil)) <= maxHintBytes
		}
	}
	return false
}

// servePeers serves the calls of other instances on ln until ctx ends.
func (n *Node) servePeers(ctx context.Context, ln net.Listener) {
	lists := func(ip string) bool {
		return hfloop.With(n.mirror, func(m *Mirror) bool { return m.listsIP(ip, n.name) })
	}
	report := func(refused map[string]int64) {
		n.log.Event(hfevent.ClientsRefused, zap.String("listener", "instances"), zap.Any("refused", refused))
	}
	server := hfpeer.NewServer(n.peerLimits, lists, report, n.registry)
	if err := server.Serve(ctx, ln, hfpeer.Guard(n.handleCall, n.Panicked)); err != nil {
		n.log.Event(hfevent.HintsUnavailable, zap.String("error", err.Error()))
	}
}
