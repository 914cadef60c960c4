package hfentry

import (
	"bytes"
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/heatherfront/heatherfront/hfplan"
	"github.com/heatherfront/heatherfront/hfwire"
	"github.com/heatherfront/heatherfront/hfwork"
)

// keyChange is a change of one key in the store: a value to write, or a removal.
type keyChange struct {
	key   string
	value []byte // nil for a removal
}

// recordLayout turns the records of a leader into changes of the store. If all instances read the
// records of this release, it writes split ones, and of these only what has changed. Otherwise it
// writes records that all releases read.
type recordLayout struct {
	records map[string][]byte            // stored records of jobs and of the roster, by key, as far as they are known
	blocks  map[string]map[string][]byte // stored blocks, by job and key
	members map[string][]byte            // stored workers of a split roster, by key
	jobs    map[string]*hfwork.Progress  // last saved progress of the jobs whose records are split
	roster  []*hfwork.Worker             // last saved roster, if it is split
	stale   []string                     // keys of blocks that no record needs
	job     func(id string) *hfwork.Job  // returns a job that has not ended, or nil if it is not known
}

// newRecordLayout returns a layout that knows of no stored record.
func newRecordLayout() *recordLayout {
	return &recordLayout{
		records: map[string][]byte{}, blocks: map[string]map[string][]byte{}, members: map[string][]byte{}, jobs: map[string]*hfwork.Progress{},
		job: func(string) *hfwork.Job { return nil },
	}
}

// restore sets what is stored at the start of a leadership. jobs are the jobs whose records are split
// and can be read, with their steps. roster is nil unless it is split. hasEnded reports whether a job
// has ended or does not exist.
func (l *recordLayout) restore(d *details, jobs map[string]*hfwork.Progress, roster []*hfwork.Worker, hasEnded func(job string) bool) {
	l.jobs, l.roster = jobs, roster
	for _, key := range slices.Sorted(maps.Keys(d.stored)) {
		if id, isBlock := blockJob(key); isBlock && hasEnded(id) {
			l.stale = append(l.stale, key)
			continue
		}
		l.committed(keyChange{key: key, value: d.stored[key]})
	}
}

// blockJob returns the job of a block's key.
func blockJob(key string) (string, bool) {
	rest, ok := strings.CutPrefix(key, blockPrefix)
	id, _, _ := strings.Cut(rest, "/")
	return id, ok
}

// appendChanged appends the change that stores a record, unless it is stored already.
func appendChanged(changes []keyChange, stored map[string][]byte, key string, m proto.Message) ([]keyChange, error) {
	value, err := hfwire.Encode(m)
	if err != nil {
		return nil, fmt.Errorf("encode %s: %w", key, err)
	}
	if known, ok := stored[key]; ok && bytes.Equal(known, value) {
		return changes, nil
	}
	return append(changes, keyChange{key: key, value: value}), nil
}

// appendRemovals appends the removals of the stored keys that are not wanted.
func appendRemovals[V any](changes []keyChange, stored map[string][]byte, wanted map[string]V) []keyChange {
	for _, key := range slices.Sorted(maps.Keys(stored)) {
		if _, ok := wanted[key]; !ok {
			changes = append(changes, keyChange{key: key})
		}
	}
	return changes
}

// jobChanges returns the changes that store the progress of a job: first those of its blocks, then
// that of its record.
func (l *recordLayout) jobChanges(id string, p *hfwork.Progress, split bool) ([]keyChange, error) {
	record, blocks := p, map[string]*hfwork.StepProgress{}
	ended := hfwork.IsFinal(p.GetState())
	if !split && !ended {
		record = hfwork.WithoutCompleted(l.job(id), p)
	}
	if split {
		record = &hfwork.Progress{State: p.GetState(), Ended: p.GetEnded(), Reason: p.GetReason(), Split: !ended}
		if !ended {
			record.Completed = p.GetCompleted()
		}
		for _, step := range p.GetSteps() {
			for number, block := range splitStep(step) {
				if !ended { // nobody needs the steps of a job that has ended
					blocks[fmt.Sprintf("%s%s/%d.%d.%d", blockPrefix, id, step.GetOccurrence(), step.GetStep(), number)] = block
				}
			}
		}
	}
	var changes []keyChange
	var err error
	for _, key := range slices.Sorted(maps.Keys(blocks)) {
		if changes, err = appendChanged(changes, l.blocks[id], key, blocks[key]); err != nil {
			return nil, fmt.Errorf("block: %w", err)
		}
	}
	if changes, err = appendChanged(changes, l.records, progressPrefix+id, record); err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	return appendRemovals(changes, l.blocks[id], blocks), nil
}

// rosterChanges returns the changes that store a roster.
func (l *recordLayout) rosterChanges(roster []*hfwork.Worker, split bool) ([]keyChange, error) {
	whole, members := &hfwork.Roster{Workers: roster}, map[string]*hfwork.Worker{}
	if split {
		whole = &hfwork.Roster{Split: true}
		for _, w := range roster {
			members[memberKey(w.GetId())] = w
		}
	}
	var changes []keyChange
	var err error
	for _, key := range slices.Sorted(maps.Keys(members)) {
		if changes, err = appendChanged(changes, l.members, key, members[key]); err != nil {
			return nil, fmt.Errorf("worker: %w", err)
		}
	}
	if changes, err = appendChanged(changes, l.records, rosterKey, whole); err != nil {
		return nil, fmt.Errorf("roster: %w", err)
	}
	return appendRemovals(changes, l.members, members), nil
}

// changes returns the changes that store the records of a command, in groups that belong together.
func (l *recordLayout) changes(c hfplan.StoreCmd, split bool) ([][]keyChange, error) {
	var groups [][]keyChange
	roster := c.Roster()
	if roster == nil && !split {
		roster = l.roster // it has to be whole again
	}
	if roster != nil {
		changes, err := l.rosterChanges(roster, split)
		if err != nil {
			return nil, fmt.Errorf("roster: %w", err)
		}
		groups = append(groups, changes)
	}
	records := c.Records()
	if !split && len(l.jobs) > 0 {
		records = maps.Clone(l.jobs)
		maps.Copy(records, c.Records())
	}
	for _, id := range l.inOrder(records) {
		changes, err := l.jobChanges(id, records[id], split)
		if err != nil {
			return nil, fmt.Errorf("job %s: %w", id, err)
		}
		groups = append(groups, changes)
	}
	for _, key := range l.stale {
		groups = append(groups, []keyChange{{key: key}})
	}
	return groups, nil
}

// inOrder lists jobs in the order in which their progress is stored, as it may take several batches: urgent
// ones first, and of equal priority those that have ended, for which callers wait.
func (l *recordLayout) inOrder(records map[string]*hfwork.Progress) []string {
	priorities := map[string]uint32{}
	for id := range records {
		priorities[id] = math.MaxUint32
		if job := l.job(id); job != nil {
			priorities[id] = job.GetSettings().GetPriority()
		}
	}
	notEnded := func(id string) int {
		if hfwork.IsFinal(records[id].GetState()) {
			return 0
		}
		return 1
	}
	return slices.SortedFunc(maps.Keys(records), func(a, b string) int {
		return cmp.Or(cmp.Compare(priorities[a], priorities[b]), cmp.Compare(notEnded(a), notEnded(b)), cmp.Compare(a, b))
	})
}

// committed records that a change is stored.
func (l *recordLayout) committed(c keyChange) {
	stored := l.records
	if strings.HasPrefix(c.key, memberPrefix) {
		stored = l.members
	}
	if id, ok := blockJob(c.key); ok {
		if l.blocks[id] == nil {
			l.blocks[id] = map[string][]byte{}
		}
		if stored = l.blocks[id]; c.value == nil && len(stored) == 1 {
			delete(l.blocks, id)
		}
	}
	if c.value == nil {
		delete(stored, c.key)
		return
	}
	stored[c.key] = c.value
}

// saved records that all changes of a command are stored.
func (l *recordLayout) saved(c hfplan.StoreCmd, split bool) {
	l.stale = nil
	if c.Roster() != nil {
		l.roster = c.Roster()
	}
	if !split {
		l.roster = nil
		clear(l.jobs)
	}
	for id, p := range c.Records() {
		switch {
		case hfwork.IsFinal(p.GetState()):
			delete(l.jobs, id)
			delete(l.records, progressPrefix+id)
		case split:
			l.jobs[id] = p
		}
	}
}
