package hfserve

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/heatherfront/heatherfront/hfevent"
	"github.com/heatherfront/heatherfront/hfledger"
	"github.com/heatherfront/heatherfront/hfloop"
	"github.com/heatherfront/heatherfront/hfpeer"
	"github.com/heatherfront/heatherfront/hfrequest"
	"github.com/heatherfront/heatherfront/hfwire"
)

// claimTimeout bounds the claim of one request id.
const claimTimeout = 3 * time.Second

// Claim implements hfrequest.Claimer. The owner of the id's shard commits many claims
// in one write. If it does not answer, this instance writes the claim itself, and the
// version of the segment in the store decides between concurrent writers. If the owner
// refuses the claim, Claim fails.
func (s *Server) Claim(ctx context.Context, id, holder string) (bool, string, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	owner, _ := hfpeer.Owner("ledger/"+strconv.Itoa(hfledger.Shard(id)), s.livePeers(), "", "")
	if owner != "" && owner != s.settings.Name() {
		verdict, err := s.claimAtOwner(ctx, owner, id, holder)
		if err == nil {
			return verdict.GetFirst(), verdict.GetHolder(), nil
		}
		if errors.Is(err, hfpeer.ErrRefused) {
			s.log.Event(hfevent.LedgerUnavailable, zap.Error(err))
			return false, "", fmt.Errorf("claim at %s: %w", owner, err)
		}
	}
	first, claimedBy, err := s.ledger.Claim(ctx, id, holder)
	if err != nil {
		s.log.Event(hfevent.LedgerUnavailable, zap.Error(err))
		return false, "", fmt.Errorf("claim here: %w", err)
	}
	return first, claimedBy, nil
}

// claimOwnerTimeout bounds the call to the owner of a shard. It leaves time to write
// the claim here if the owner does not answer.
const claimOwnerTimeout = time.Second

// claimAtOwner asks the owner of the id's shard to claim an id.
func (s *Server) claimAtOwner(ctx context.Context, owner, id, holder string) (*hfwire.Verdict, error) {
	p, ok := hfloop.With2(s.members, func(m *hfpeer.State) (hfpeer.Peer, bool) { return m.Find(owner) })
	if !ok {
		return nil, hfpeer.ErrNoLink
	}
	ctx, cancel := context.WithTimeout(ctx, claimOwnerTimeout)
	defer cancel()
	out := s.links.Envelope()
	out.Body = &hfwire.Envelope_Claim{Claim: &hfwire.Claim{Id: id, Holder: holder}}
	in, err := s.links.Call(ctx, p, out)
	if err != nil {
		return nil, fmt.Errorf("ask owner: %w", err)
	}
	return in.GetVerdict(), nil
}

// handleClaim claims an id for another instance.
func (s *Server) handleClaim(ctx context.Context, in *hfwire.Envelope) *hfwire.Envelope {
	c := in.GetClaim()
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	first, holder, err := s.ledger.Claim(ctx, c.GetId(), c.GetHolder())
	if err != nil {
		return s.newRefusal(err.Error(), false)
	}
	out := s.links.Envelope()
	out.Body = &hfwire.Envelope_Verdict{Verdict: &hfwire.Verdict{First: first, Holder: holder}}
	return out
}

// FetchAnswer implements hfrequest.AnswerFetcher. A holder has the form
// instance/incarnation/nonce. If that incarnation has ended or is suspected, the outcome
// of its request is unknown.
func (s *Server) FetchAnswer(ctx context.Context, holder, id string) (hfrequest.Answer, error) {
	name, rest, _ := strings.Cut(holder, "/")
	incarnation, _, _ := strings.Cut(rest, "/")
	if incarnation == s.incarnation {
		a, err := s.dispatcher.AwaitAnswer(ctx, id)
		if err != nil {
			return hfrequest.Answer{}, fmt.Errorf("attach here: %w", err)
		}
		return a, nil
	}
	p, ok := hfloop.With2(s.members, func(m *hfpeer.State) (hfpeer.Peer, bool) { return m.Find(name) })
	if !ok || p.Incarnation() != incarnation {
		return hfrequest.Answer{}, fmt.Errorf("attach at %s: %w", name, hfrequest.ErrUnknownRequest)
	}
	out := s.links.Envelope()
	out.Body = &hfwire.Envelope_Attach{Attach: &hfwire.Attach{Id: id, Left: remainingTime(ctx).Milliseconds()}}
	in, err := s.links.Call(ctx, p, out)
	if err != nil {
		return hfrequest.Answer{}, fmt.Errorf("attach at %s: %w", name, err)
	}
	return answerFromWire(in.GetAnswer()), nil
}

// remainingTime returns 90 % of the time until the deadline of ctx, which leaves time
// for the response to travel back, or jobTimeout if ctx has no deadline.
func remainingTime(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return jobTimeout
	}
	return max(time.Until(deadline)*9/10, 0)
}

// BytesTransferred implements hfrequest.Observer. It counts the bytes of requests and
// answers exchanged with a region.
func (s *Server) BytesTransferred(region string, bytes int) {
	metrics.GetOrRegisterCounter("region.bytes."+s.settings.Region()+"."+region, s.registry).Inc(int64(bytes))
}

// sweepLedgerShards deletes old segments of the ledger shards that this instance owns.
func (s *Server) sweepLedgerShards(ctx context.Context, now time.Time) {
	live := s.livePeers()
	for shard := range hfledger.Shards {
		if !s.owns("ledger/"+strconv.Itoa(shard), live, "", "") {
			continue
		}
		s.group.Go(func() error {
			_ = s.ledger.Sweep(ctx, shard, now) // the next sweep tries again
			return nil
		})
	}
}
