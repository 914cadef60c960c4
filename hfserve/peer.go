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

// handle answers one message of another instance. A message of a kind that this
// version does not know is refused, so that versions can mix.
func (s *Server) handle(ctx context.Context, in *hfwire.Envelope) *hfwire.Envelope {
	switch in.GetBody().(type) {
	case *hfwire.Envelope_Beat:
		return s.takeBeat(ctx, in)
	case *hfwire.Envelope_Pull:
		return s.givePull(in)
	case *hfwire.Envelope_Claim:
		return s.takeClaim(ctx, in)
	case *hfwire.Envelope_Attach:
		return s.takeAttach(ctx, in)
	case *hfwire.Envelope_Submit:
		job := in.GetSubmit().GetJob()
		return s.askLocal(ctx, job.GetDomain(), func(token uint64) hfgang.Msg { return hfgang.Submit(token, job) })
	case *hfwire.Envelope_Cancel:
		c := in.GetCancel()
		return s.askLocal(ctx, c.GetDomain(), func(token uint64) hfgang.Msg {
			return hfgang.Cancel(token, c.GetId(), c.GetAccount(), c.GetReason())
		})
	case *hfwire.Envelope_Query:
		q := in.GetQuery()
		return s.askLocal(ctx, q.GetDomain(), func(token uint64) hfgang.Msg { return hfgang.Query(token, q) })
	case *hfwire.Envelope_Gather:
		out := s.links.Envelope()
		out.Body = &hfwire.Envelope_Tallies{Tallies: &hfwire.Tallies{Tallies: s.ownTallies()}}
		return out
	}
	s.log.Event(hfevent.MessageUnknown, zap.String("peer", in.GetSender()))
	return s.refusal("unknown message", false)
}

func (s *Server) ownTallies() []*hfwire.Tally {
	now := time.Now()
	return hfloop.With(s.burn, func(b *hfreport.Burn) []*hfwire.Tally { return b.Tallies(now) })
}

func (s *Server) refusal(reason string, unknown bool) *hfwire.Envelope {
	out := s.links.Envelope()
	out.Body = &hfwire.Envelope_Refusal{Refusal: &hfwire.Refusal{Reason: reason, Unknown: unknown}}
	return out
}

// askLocal asks this instance's leadership of a domain.
func (s *Server) askLocal(ctx context.Context, domain string, build func(uint64) hfgang.Msg) *hfwire.Envelope {
	l := s.leader(domain)
	if l == nil {
		return s.refusal("this instance does not place jobs of domain "+domain, false)
	}
	ctx, cancel := context.WithTimeout(ctx, jobTimeout)
	defer cancel()
	reply, err := l.Ask(ctx, build)
	if err != nil {
		return s.refusal(err.Error(), true)
	}
	out := s.links.Envelope()
	out.Body = &hfwire.Envelope_Jobs{Jobs: &hfwire.Jobs{
		Jobs: reply.Jobs(), Explain: reply.Explain(), Status: reply.Status(),
		Code: string(reply.Code()), Reason: reply.Reason(),
	}}
	return out
}

// takeAttach waits for the answer of a request that this instance holds.
func (s *Server) takeAttach(ctx context.Context, in *hfwire.Envelope) *hfwire.Envelope {
	a := in.GetAttach()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(a.GetLeft())*time.Millisecond)
	defer cancel()
	answer, err := s.desk.Recall(ctx, a.GetId())
	if err != nil {
		return s.refusal(err.Error(), true)
	}
	out := s.links.Envelope()
	out.Body = &hfwire.Envelope_Answer{Answer: &hfwire.Answer{
		Outcome: string(answer.Outcome()), Status: int32(answer.Status()), Type: answer.ContentType(),
		Body: answer.Body(), Reason: answer.Reason(),
	}}
	return out
}

func fromWire(a *hfwire.Answer) hfrequest.Answer {
	return hfrequest.NewAnswer(hfrequest.Outcome(a.GetOutcome()), int(a.GetStatus()), a.GetType(), a.GetBody(), a.GetReason())
}
