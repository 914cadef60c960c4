package hfserve

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/heatherfront/heatherfront/hfevent"
	"github.com/heatherfront/heatherfront/hfgang"
	"github.com/heatherfront/heatherfront/hfloop"
	"github.com/heatherfront/heatherfront/hfreport"
	"github.com/heatherfront/heatherfront/hfrequest"
	"github.com/heatherfront/heatherfront/hfwire"
)

// handle answers one message of another instance. A message of unknown kind is refused,
// so that instances of different versions can run together.
func (s *Server) handle(ctx context.Context, in *hfwire.Envelope) *hfwire.Envelope {
	switch in.GetBody().(type) {
	case *hfwire.Envelope_Beat:
		return s.handleHeartbeat(ctx, in)
	case *hfwire.Envelope_Pull:
		return s.handlePull(in)
	case *hfwire.Envelope_Claim:
		return s.handleClaim(ctx, in)
	case *hfwire.Envelope_Attach:
		return s.handleAttach(ctx, in)
	case *hfwire.Envelope_Submit:
		job := in.GetSubmit().GetJob()
		return s.callLocalLeader(ctx, job.GetDomain(), func(token uint64) hfgang.Msg { return hfgang.Submit(token, job) })
	case *hfwire.Envelope_Cancel:
		c := in.GetCancel()
		return s.callLocalLeader(ctx, c.GetDomain(), func(token uint64) hfgang.Msg {
			return hfgang.Cancel(token, c.GetId(), c.GetAccount(), c.GetReason())
		})
	case *hfwire.Envelope_Query:
		q := in.GetQuery()
		return s.callLocalLeader(ctx, q.GetDomain(), func(token uint64) hfgang.Msg { return hfgang.Query(token, q) })
	case *hfwire.Envelope_Gather:
		out := s.links.Envelope()
		out.Body = &hfwire.Envelope_Tallies{Tallies: &hfwire.Tallies{Tallies: s.localTallies()}}
		return out
	}
	s.log.Event(hfevent.MessageUnknown, zap.String("peer", in.GetSender()))
	return s.newRefusal("unknown message", false)
}

// localTallies returns the tallies of the outcomes that this instance recorded.
func (s *Server) localTallies() []*hfwire.Tally {
	now := time.Now()
	return hfloop.With(s.burn, func(b *hfreport.OutcomeCounter) []*hfwire.Tally { return b.Tallies(now) })
}

// newRefusal returns a reply that refuses a message. unknown means that the message may
// have taken effect.
func (s *Server) newRefusal(reason string, unknown bool) *hfwire.Envelope {
	out := s.links.Envelope()
	out.Body = &hfwire.Envelope_Refusal{Refusal: &hfwire.Refusal{Reason: reason, Unknown: unknown}}
	return out
}

// callLocalLeader passes a message to this instance's leader of a failure domain.
func (s *Server) callLocalLeader(ctx context.Context, domain string, build func(uint64) hfgang.Msg) *hfwire.Envelope {
	l := s.localLeader(domain)
	if l == nil {
		return s.newRefusal("this instance does not place jobs of domain "+domain, false)
	}
	ctx, cancel := context.WithTimeout(ctx, jobTimeout)
	defer cancel()
	reply, err := l.Ask(ctx, build)
	if err != nil {
		return s.newRefusal(err.Error(), true)
	}
	out := s.links.Envelope()
	out.Body = &hfwire.Envelope_Jobs{Jobs: &hfwire.Jobs{
		Jobs: reply.Jobs(), Explain: reply.Explain(), Status: reply.Status(),
		Code: string(reply.Code()), Reason: reply.Reason(),
	}}
	return out
}

// handleAttach waits for the answer to a request that this instance holds.
func (s *Server) handleAttach(ctx context.Context, in *hfwire.Envelope) *hfwire.Envelope {
	a := in.GetAttach()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(a.GetLeft())*time.Millisecond)
	defer cancel()
	answer, err := s.dispatcher.AwaitAnswer(ctx, a.GetId())
	if err != nil {
		return s.newRefusal(err.Error(), true)
	}
	out := s.links.Envelope()
	out.Body = &hfwire.Envelope_Answer{Answer: &hfwire.Answer{
		Outcome: string(answer.Outcome()), Status: int32(answer.Status()), Type: answer.ContentType(),
		Body: answer.Body(), Reason: answer.Reason(),
	}}
	return out
}

// answerFromWire converts an answer of another instance.
func answerFromWire(a *hfwire.Answer) hfrequest.Answer {
	return hfrequest.NewAnswer(hfrequest.Outcome(a.GetOutcome()), int(a.GetStatus()), a.GetType(), a.GetBody(), a.GetReason())
}
