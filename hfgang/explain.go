package hfgang

import (
	"fmt"
	"strings"
	"time"
)

// explain describes in one or more sentences why a job is in its current state and, if
// it waits, when it can start.
func (s *Scheduler) explain(j *job, now time.Time) string {
	if j.final() {
		return fmt.Sprintf("The job is %s: %s.", j.state(), j.record.GetReason())
	}
	if j.placed() {
		return s.explainPlaced(j, now)
	}
	var sentences []string
	if last := j.record.GetReason(); last != "" && last != "accepted" {
		sentences = append(sentences, "It waits again: "+last+".")
	}
	sentences = append(sentences, s.explainWait(j))
	if r := s.reserved; r != nil && r.job == j {
		sentences = append(sentences, fmt.Sprintf("Accelerators are reserved for it and expected to be free in %s.", r.expectedFree.Sub(now).Round(time.Second)))
	}
	return strings.Join(sentences, " ")
}

func (s *Scheduler) explainPlaced(j *job, now time.Time) string {
	workers := make([]string, 0, len(j.members))
	for _, m := range j.members {
		workers = append(workers, m.grant.GetWorker())
	}
	text := fmt.Sprintf("The job is %s on %s: %s.", j.state(), strings.Join(workers, ", "), j.record.GetReason())
	if j.guarantee != nil {
		text += fmt.Sprintf(" It claims a guarantee of %d accelerators.", j.guarantee.size)
	} else if !j.nonPreemptible() {
		text += " It may be preempted."
	}
	if j.state() == StateRunning {
		text += fmt.Sprintf(" It is expected to run for another %s.", s.expectedRemaining(j, now).Round(time.Second))
	}
	return text
}

func (s *Scheduler) explainWait(j *job) string {
	e, _ := s.entitlements(j)
	if s.overQuota(j) {
		return fmt.Sprintf("The account uses %d accelerators and its quota is %d: it starts when others of its jobs end.", s.usage[s.account(j)], e.Quota())
	}
	if j.plan != nil {
		ids := make([]string, 0, len(j.plan.victims))
		for _, v := range j.plan.victims {
			ids = append(ids, v.id())
		}
		return fmt.Sprintf("It starts when the jobs preempted for it have stopped: %s.", strings.Join(ids, ", "))
	}
	idle, largest := s.Idle()
	switch {
	case largest >= j.size() && j.nonPreemptible():
		return fmt.Sprintf("It needs %d adjacent accelerators. Idle ones lie in guarantees of other accounts, and its kind of work is not preemptible.", j.size())
	case largest >= j.size():
		return fmt.Sprintf("It needs %d adjacent accelerators; a job that waited longer has them reserved.", j.size())
	default:
		return fmt.Sprintf("It needs %d adjacent accelerators; %d are idle, at most %d of them adjacent. It starts when running jobs end.", j.size(), idle, largest)
	}
}
