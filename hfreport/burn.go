// Package hfreport counts good and bad outcomes for each service-level objective,
// computes the burn rate of its error budget, and writes metrics as text.
package hfreport

import (
	"sort"
	"time"

	"github.com/heatherfront/heatherfront/hfconfig"
	"github.com/heatherfront/heatherfront/hfwire"
)

// The reasons for which an outcome counts against the error budget.
const (
	ReasonRefused = "refused"
	ReasonUnknown = "unknown"
	ReasonFailed  = "failed"
	ReasonLate    = "late"
)

// The time windows of a report.
const (
	WindowShort = "short" // the last five minutes
	WindowLong  = "long"  // the last hour
)

const (
	bucketSpan   = time.Minute
	longBuckets  = 60
	shortBuckets = 5
)

// bucket holds the counts of one minute for one objective.
type bucket struct {
	minute int64 // since the Unix epoch
	good   int64
	bad    map[string]int64 // by reason
}

// OutcomeCounter counts outcomes by objective and minute. It is not safe for concurrent use.
type OutcomeCounter struct {
	series map[string]*[longBuckets]bucket // ring buffers by objective
}

// NewOutcomeCounter returns a counter without outcomes.
func NewOutcomeCounter() *OutcomeCounter {
	return &OutcomeCounter{series: map[string]*[longBuckets]bucket{}}
}

// Event is the outcome of one request or job start.
type Event struct {
	account    string // resolved through merges
	work       string
	reason     string // "" if it succeeded, however long it took
	tookMillis int64
}

// NewEvent returns the outcome of one request or job start. reason is one of the
// Reason constants, or "" if the request or job start succeeded. Count decides
// whether it was late.
func NewEvent(account, work, reason string, took time.Duration) Event {
	return Event{account: account, work: work, reason: reason, tookMillis: took.Milliseconds()}
}

// Count adds an event to every objective of its account and kind of work. resolve
// returns the account that an account name resolves to.
func (c *OutcomeCounter) Count(e Event, objectives map[string]*hfconfig.Objective, resolve func(string) (string, bool), now time.Time) {
	for name, o := range objectives {
		account, _ := resolve(o.Account)
		if account != e.account || o.Work != e.work {
			continue
		}
		reason := e.reason
		if reason == "" && e.tookMillis > o.Late {
			reason = ReasonLate
		}
		c.addOutcome(name, reason, now)
	}
}

func (c *OutcomeCounter) addOutcome(objective, reason string, now time.Time) {
	s, ok := c.series[objective]
	if !ok {
		s = &[longBuckets]bucket{}
		c.series[objective] = s
	}
	minute := now.Unix() / int64(bucketSpan/time.Second)
	current := &s[minute%longBuckets]
	if current.minute != minute {
		*current = bucket{minute: minute, bad: map[string]int64{}}
	}
	if reason == "" {
		current.good++
		return
	}
	current.bad[reason]++
}

// Tallies returns the counts of each objective in the two windows that end at now.
func (c *OutcomeCounter) Tallies(now time.Time) []*hfwire.Tally {
	var list []*hfwire.Tally
	minute := now.Unix() / int64(bucketSpan/time.Second)
	for name, s := range c.series {
		short := &hfwire.Tally{Objective: name, Window: WindowShort, Bad: map[string]int64{}}
		long := &hfwire.Tally{Objective: name, Window: WindowLong, Bad: map[string]int64{}}
		for i := range s {
			age := minute - s[i].minute
			if age < shortBuckets {
				addBucket(short, &s[i])
			}
			if age < longBuckets {
				addBucket(long, &s[i])
			}
		}
		list = append(list, short, long)
	}
	return list
}

// addBucket adds the counts of one minute to a tally.
func addBucket(t *hfwire.Tally, minute *bucket) {
	t.Good += minute.good
	for reason, n := range minute.bad {
		t.Bad[reason] += n
	}
}

// ObjectiveReport reports the state of one objective.
type ObjectiveReport struct {
	Objective string           `json:"objective"`
	Account   string           `json:"account"`
	Work      string           `json:"work"`
	Target    float64          `json:"target"`
	Good      int64            `json:"good"`      // in the long window
	Bad       map[string]int64 `json:"bad"`       // in the long window, by reason
	Budget    float64          `json:"budget"`    // remaining fraction of the long window's error budget; negative if overspent
	BurnShort float64          `json:"burnShort"` // burn rate in the short window; 1 spends exactly the budget of the window
	BurnLong  float64          `json:"burnLong"`  // burn rate in the long window
}

// Percent returns the remaining error budget in percent.
func (r ObjectiveReport) Percent() float64 { return 100 * r.Budget }

// BuildReport adds up the tallies of several instances and returns one report for
// each objective, sorted by name.
func BuildReport(objectives map[string]*hfconfig.Objective, tallies []*hfwire.Tally) []ObjectiveReport {
	type windows struct{ short, long hfwire.Tally }
	sums := map[string]*windows{}
	for _, t := range tallies {
		sum, ok := sums[t.GetObjective()]
		if !ok {
			sum = &windows{}
			sums[t.GetObjective()] = sum
		}
		total := &sum.short
		if t.GetWindow() == WindowLong {
			total = &sum.long
		}
		total.Good += t.GetGood()
		if total.Bad == nil {
			total.Bad = map[string]int64{}
		}
		for reason, n := range t.GetBad() {
			total.Bad[reason] += n
		}
	}
	reports := make([]ObjectiveReport, 0, len(objectives))
	for name, o := range objectives {
		sum, ok := sums[name]
		if !ok {
			sum = &windows{}
		}
		burnLong := burnRate(&sum.long, o.Target)
		reports = append(reports, ObjectiveReport{
			Objective: name, Account: o.Account, Work: o.Work, Target: o.Target,
			Good: sum.long.GetGood(), Bad: sum.long.GetBad(),
			Budget: 1 - burnLong, BurnShort: burnRate(&sum.short, o.Target), BurnLong: burnLong,
		})
	}
	sort.Slice(reports, func(i, j int) bool { return reports[i].Objective < reports[j].Objective })
	return reports
}

// burnRate returns the fraction of bad events divided by the fraction that the
// target allows.
func burnRate(t *hfwire.Tally, target float64) float64 {
	bad := int64(0)
	for _, n := range t.GetBad() {
		bad += n
	}
	if t.GetGood()+bad == 0 {
		return 0
	}
	return float64(bad) / float64(t.GetGood()+bad) / (1 - target)
}
