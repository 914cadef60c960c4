// Package hfcrash counts the workers that crash under a task or a gang, and decides when it is not
// to be started again.
package hfcrash

import "time"

const (
	// MaxTotal is how many workers may crash under a task before its job fails, if MinEarly of them
	// crashed right after its start: a start that is carried out late crashes the worker later, and
	// innocent tasks meet other crashes. The platform allows five crashes, of which one may not be
	// counted if a leader ends before it has stored it.
	MaxTotal = 4
	MinEarly = 2
	// MaxAlone is how many workers may crash right after the start of a task with no other
	// on the worker. The platform allows to give a task up after two crashes.
	MaxAlone = 2
	// MaxGangAlone is the same for a gang, which more unrelated crashes meet: any of its
	// workers may crash by chance.
	MaxGangAlone = 3
	// MinOwn is how many of the crashes of a gang must have hit one and the same member, after it had
	// started. A task may be given up if two workers crashed under it, but not for those of other members.
	MinOwn = 2
	// StartWindow is how long a run must have been at work to show that its start did not
	// crash the worker.
	StartWindow = 2 * time.Second
	// Memory is how long a task must have been at work in one run for earlier crashes to
	// be forgotten, so that tasks that run for weeks do not collect unrelated ones.
	Memory = time.Minute
)

// Count counts the runs of a task that were lost because workers crashed. A gang counts each run
// once, also if several of its workers crash.
type Count struct {
	total    uint32 // runs lost in a crash, or with a worker that has not come back since they began
	early    uint32 // of these, runs that had started right before the worker fell silent
	alone    uint32 // of these, runs that were early on a worker with nothing else
	run      int64  // number of the last run that is included in total
	aloneRun int64  // number of the last run that is included in alone
}

// New returns a Count as it was stored.
func New(total, early, alone uint32, run, aloneRun int64) Count {
	return Count{total: total, early: early, alone: alone, run: run, aloneRun: aloneRun}
}

// Total returns the number of lost runs.
func (c Count) Total() uint32 { return c.total }

// Early returns how many of them had just started.
func (c Count) Early() uint32 { return c.early }

// Alone returns how many of the early ones were alone on their worker.
func (c Count) Alone() uint32 { return c.alone }

// Run returns the number of the last run that Total includes.
func (c Count) Run() int64 { return c.run }

// AloneRun returns the number of the last run that Alone includes.
func (c Count) AloneRun() int64 { return c.aloneRun }

// Add includes a lost run that was at work for the given time. It reports whether the run was not
// included before.
func (c *Count) Add(run int64, worked time.Duration) bool {
	if run <= c.run {
		return false
	}
	if worked >= Memory {
		*c = Count{}
	}
	c.run = run
	c.total++
	return true
}

// AddEarly notes that the run that was added last had just started.
func (c *Count) AddEarly() { c.early++ }

// AddAlone notes that a run had just started with nothing else on its worker.
func (c *Count) AddAlone(run int64) {
	if run > c.aloneRun {
		c.aloneRun = run
		c.alone++
	}
}

// Remove takes back a run that was added. The run that was added last may be added again.
func (c *Count) Remove(run int64, early bool) {
	c.total--
	if early {
		c.early--
	}
	if run == c.run {
		c.run--
	}
}

// Exhausted reports whether workers have crashed as often as they may, whether or not the task was
// alone on them.
func (c Count) Exhausted() bool {
	return c.total >= MaxTotal && c.early >= MinEarly
}

// ExhaustedAlone reports whether workers have crashed as often as they may while the task, or the
// gang, was alone on them.
func (c Count) ExhaustedAlone(gang bool) bool {
	if gang {
		return c.alone >= MaxGangAlone
	}
	return c.alone >= MaxAlone
}
