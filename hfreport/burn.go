// Package hfreport keeps count of how well callers were served and reports how
// fast the error budget of each service-level objective burns.
package hfreport

import (
	"sort"
	"time"

	"github.com/heatherfront/heatherfront/hfconfig"
	"github.com/heatherfront/heatherfront/hfwire"
)

// The reasons that spend an error budget.
const (
	ReasonRefused = "refused"
	ReasonUnknown = "unknown"
	ReasonFailed  = "failed"
	ReasonLate    = "late"
)

// The windows of a report.
const (
	WindowShort = "short" // the last five minutes
	WindowLong  = "long"  // the last hour
)

const (
	bucketSpan   = time.Minute
	longBuckets  = 60
	shortBuckets = 5
)

// bucket counts one minute of one objective.
type bucket struct {
	minute int64
	good   int64
	bad    map[string]int64
}

// Burn counts outcomes by objective and minute. It is not safe for use by several
// goroutines.
type Burn struct {
	series map[string]*[longBuckets]bucket
}

// NewBurn returns empty counts.
func NewBurn() *Burn { return &Burn{series: map[string]*[longBuckets]bucket{}} }

// Event is one request or job start that an objective judges.
type Event struct {
	account string // resolved through merges
	work    string
	reason  string // "" when it went well, apart from the time it took
	took    int64  // milliseconds
}

// NewEvent builds an event. reason is one of the Reason constants, or "".
func NewEvent(account, work, reason string, took time.Duration) Event {
	return Event{account: account, work: work, reason: reason, took: took.Milliseconds()}
}

// Count adds an event to every objective that covers it. resolve gives the account
// that a name stands for.
func (b *Burn) Count(e Event, objectives map[string]*hfconfig.Objective, resolve func(string) (string, bool), now time.Time) {
	for name, o := range objectives {
		account, _ := resolve(o.Account)
		if account != e.account || o.Work != e.work {
			continue
		}
		reason := e.reason
		if reason == "" && e.took > o.Late {
			reason = ReasonLate
		}
		b.add(name, reason, now)
	}
}

func (b *Burn) add(objective, reason string, now time.Time) {
	s, ok := b.series[objective]
	if !ok {
		s = &[longBuckets]bucket{}
		b.series[objective] = s
	}
	minute := now.Unix() / int64(bucketSpan/time.Second)
	k := &s[minute%longBuckets]
	if k.minute != minute {
		*k = bucket{minute: minute, bad: map[string]int64{}}
	}
	if reason == "" {
		k.good++
		return
	}
	k.bad[reason]++
}

// Tallies returns the counts of both windows.
func (b *Burn) Tallies(now time.Time) []*hfwire.Tally {
	var list []*hfwire.Tally
	minute := now.Unix() / int64(bucketSpan/time.Second)
	for name, s := range b.series {
		short := &hfwire.Tally{Objective: name, Window: WindowShort, Bad: map[string]int64{}}
		long := &hfwire.Tally{Objective: name, Window: WindowLong, Bad: map[string]int64{}}
		for i := range s {
			age := minute - s[i].minute
			if age < shortBuckets {
				tally(short, &s[i])
			}
			if age < longBuckets {
				tally(long, &s[i])
			}
		}
		list = append(list, short, long)
	}
	return list
}

func tally(t *hfwire.Tally, k *bucket) {
	t.Good += k.good
	for reason, n := range k.bad {
		t.Bad[reason] += n
	}
}

// Line is one objective in a report.
type Line struct {
	Objective string           `json:"objective"`
	Account   string           `json:"account"`
	Work      string           `json:"work"`
	Target    float64          `json:"target"`
	Good      int64            `json:"good"`      // in the long window
	Bad       map[string]int64 `json:"bad"`       // in the long window, by reason
	Budget    float64          `json:"budget"`    // share of the long window's error budget that is left; below 0 when overspent
	BurnShort float64          `json:"burnShort"` // 1 spends the budget exactly over the window
	BurnLong  float64          `json:"burnLong"`
}

// Percent returns the budget left in percent.
func (l Line) Percent() float64 { return 100 * l.Budget }

// Merge sums the tallies of several instances into one line for each objective.
func Merge(objectives map[string]*hfconfig.Objective, tallies []*hfwire.Tally) []Line {
	type pair struct{ short, long hfwire.Tally }
	sums := map[string]*pair{}
	for _, t := range tallies {
		p, ok := sums[t.GetObjective()]
		if !ok {
			p = &pair{}
			sums[t.GetObjective()] = p
		}
		into := &p.short
		if t.GetWindow() == WindowLong {
			into = &p.long
		}
		into.Good += t.GetGood()
		if into.Bad == nil {
			into.Bad = map[string]int64{}
		}
		for reason, n := range t.GetBad() {
			into.Bad[reason] += n
		}
	}
	lines := make([]Line, 0, len(objectives))
	for name, o := range objectives {
		p, ok := sums[name]
		if !ok {
			p = &pair{}
		}
		burn := rate(&p.long, o.Target)
		lines = append(lines, Line{
			Objective: name, Account: o.Account, Work: o.Work, Target: o.Target,
			Good: p.long.GetGood(), Bad: p.long.GetBad(),
			Budget: 1 - burn, BurnShort: rate(&p.short, o.Target), BurnLong: burn,
		})
	}
	sort.Slice(lines, func(i, j int) bool { return lines[i].Objective < lines[j].Objective })
	return lines
}

// rate is the share of bad events over the share that the target allows.
func rate(t *hfwire.Tally, target float64) float64 {
	bad := int64(0)
	for _, n := range t.GetBad() {
		bad += n
	}
	if t.GetGood()+bad == 0 {
		return 0
	}
	return float64(bad) / float64(t.GetGood()+bad) / (1 - target)
}
