package hfentry

import (
	"context"
	"crypto/sha256"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/heatherfront/heatherfront/hfevent"
	"github.com/heatherfront/heatherfront/hfloop"
	"github.com/heatherfront/heatherfront/hfstore"
	"github.com/heatherfront/heatherfront/hfwire"
	"github.com/heatherfront/heatherfront/hfwork"
)

// Split records. Every instance watches the keys under recordPrefix, so what is written there
// costs bytes and processor time at all of them. Only a new leader needs to know where tasks run and
// which workers are in the roster. These details have keys of their own, which nobody watches:
// a new leader lists them once its term is stored, when no earlier leader can change them.
const (
	detailPrefix = "hfd/"        // all keys below
	blockPrefix  = "hfd/block/"  // a hfwork.StepProgress of blockTasks tasks: ID/OCCURRENCE.STEP.BLOCK
	memberPrefix = "hfd/roster/" // a worker of the roster, see memberKey

	// blockTasks is the number of tasks in a block, which is written whole when one of them
	// changes. It is a multiple of 8.
	blockTasks = 32

	// recordFormat is the newest format of records that this release reads: split ones, with
	// hfwork.Progress.Completed.
	recordFormat = 3
)

// memberKey returns the key of a worker in the roster: with its id or, if that would be too long for
// the store, with the hash of the id below a further slash, which no id holds.
func memberKey(id string) string {
	if key := memberPrefix + id; len(key) <= hfstore.MaxKeyBytes {
		return key
	}
	return fmt.Sprintf("%s/%x", memberPrefix, sha256.Sum256([]byte(id)))
}

// errIncompleteDetails reports a list of details with an item of which not even the key is known.
var errIncompleteDetails = eris.New("an item of the list cannot be read")

// details is what is stored under detailPrefix.
type details struct {
	blocks     map[string][]*hfwork.StepProgress // steps of jobs, by job
	unreadable map[string]bool                   // jobs with a block that cannot be read
	members    []*hfwork.Worker                  // of the roster
	stored     map[string][]byte                 // values by key
}

// parseDetails returns the details in a list of the keys under detailPrefix.
func parseDetails(items []hfstore.Item) (*details, error) {
	d := &details{blocks: map[string][]*hfwork.StepProgress{}, unreadable: map[string]bool{}, stored: map[string][]byte{}}
	slices.SortFunc(items, func(a, b hfstore.Item) int { return strings.Compare(a.Key(), b.Key()) })
	for _, i := range items {
		if i.Key() == "" {
			return nil, fmt.Errorf("details: %w: %w", errIncompleteDetails, i.Err())
		}
		d.stored[i.Key()] = i.Value()
		if id, ok := strings.CutPrefix(i.Key(), memberPrefix); ok {
			w, err := hfwire.Decode(i.Value(), &hfwork.Worker{})
			if i.Err() != nil || err != nil || memberKey(w.GetId()) != i.Key() {
				w = &hfwork.Worker{Id: id} // tasks may run there until its leases have expired
			}
			d.members = append(d.members, w)
			continue
		}
		if id, ok := blockJob(i.Key()); ok {
			if err := d.addBlock(id, i); err != nil {
				d.unreadable[id] = true
			}
		}
	}
	return d, nil
}

// addBlock adds a block of tasks to the steps of a job.
func (d *details) addBlock(job string, i hfstore.Item) error {
	if i.Err() != nil {
		return fmt.Errorf("block %s: %w", i.Key(), i.Err())
	}
	block, err := hfwire.Decode(i.Value(), &hfwork.StepProgress{})
	if err != nil {
		return fmt.Errorf("block %s: %w", i.Key(), err)
	}
	number, err := strconv.ParseUint(i.Key()[strings.LastIndexByte(i.Key(), '.')+1:], 10, 16)
	if err != nil {
		return fmt.Errorf("block %s: %w", i.Key(), err)
	}
	steps := d.blocks[job]
	at := slices.IndexFunc(steps, func(s *hfwork.StepProgress) bool {
		return s.GetOccurrence() == block.GetOccurrence() && s.GetStep() == block.GetStep()
	})
	if at < 0 {
		at = len(steps)
		steps = append(steps, &hfwork.StepProgress{Occurrence: block.GetOccurrence(), Step: block.GetStep()})
		d.blocks[job] = steps
	}
	mergeBlock(steps[at], block, int(number))
	return nil
}

// mergeBlock adds a block of tasks to the progress of its step.
func mergeBlock(step, block *hfwork.StepProgress, number int) {
	if done := block.GetDone(); len(done) > 0 {
		from := number * blockTasks / 8
		for len(step.Done) < from+len(done) {
			step.Done = append(step.Done, 0)
		}
		copy(step.Done[from:], done)
	}
	step.Failures = mergeMaps(step.Failures, block.Failures)
	step.Places = mergeMaps(step.Places, block.Places)
	step.Counted = mergeMaps(step.Counted, block.Counted)
	step.Saved = mergeMaps(step.Saved, block.Saved)
	step.Crashes = mergeMaps(step.Crashes, block.Crashes)
}

func mergeMaps[V any](into, from map[uint32]V) map[uint32]V {
	if into == nil {
		return from
	}
	maps.Copy(into, from)
	return into
}

// splitStep returns the blocks of a step that are not empty, by number.
func splitStep(step *hfwork.StepProgress) map[int]*hfwork.StepProgress {
	blocks := map[int]*hfwork.StepProgress{}
	block := func(number int) *hfwork.StepProgress {
		b := blocks[number]
		if b == nil {
			b = &hfwork.StepProgress{Occurrence: step.GetOccurrence(), Step: step.GetStep()}
			blocks[number] = b
		}
		return b
	}
	for number, done := range slices.Collect(slices.Chunk(step.GetDone(), blockTasks/8)) {
		if slices.ContainsFunc(done, func(b byte) bool { return b != 0 }) {
			block(number).Done = done
		}
	}
	splitMap(step.GetFailures(), block, func(b *hfwork.StepProgress) *map[uint32]uint32 { return &b.Failures })
	splitMap(step.GetPlaces(), block, func(b *hfwork.StepProgress) *map[uint32]string { return &b.Places })
	splitMap(step.GetCounted(), block, func(b *hfwork.StepProgress) *map[uint32]int64 { return &b.Counted })
	splitMap(step.GetSaved(), block, func(b *hfwork.StepProgress) *map[uint32]string { return &b.Saved })
	splitMap(step.GetCrashes(), block, func(b *hfwork.StepProgress) *map[uint32]*hfwork.Crashes { return &b.Crashes })
	return blocks
}

// splitMap adds each entry of a map by task index to the same map of its block.
func splitMap[V any](from map[uint32]V, block func(number int) *hfwork.StepProgress, field func(b *hfwork.StepProgress) *map[uint32]V) {
	for index, value := range from {
		into := field(block(int(index) / blockTasks))
		if *into == nil {
			*into = map[uint32]V{}
		}
		(*into)[index] = value
	}
}

// hasSteps reports whether the steps of a job with the given record are in blocks. If its first save
// was broken off, it has blocks and no record yet.
func (d *details) hasSteps(id string, p *hfwork.Progress) bool {
	return p.GetSplit() || p == nil && (len(d.blocks[id]) > 0 || d.unreadable[id])
}

// progress returns the progress of a job with its steps, from its own record and its blocks. It
// reports false if a part of it cannot be read.
func (d *details) progress(id string, p *hfwork.Progress) (*hfwork.Progress, bool) {
	if !d.hasSteps(id, p) || hfwork.IsFinal(p.GetState()) {
		return p, true
	}
	if d.unreadable[id] {
		return nil, false
	}
	whole := &hfwork.Progress{State: p.GetState(), Ended: p.GetEnded(), Reason: p.GetReason(), Steps: d.blocks[id], Completed: p.GetCompleted()}
	return whole, checkProgress(whole) == nil
}

// readsSplit reports whether all instances read the records of this release. Those of an earlier
// release do not, and entries of instances that have ended count for some hours.
func (m *Mirror) readsSplit() bool {
	for _, inst := range m.instances {
		if inst.GetFormat() < recordFormat {
			return false
		}
	}
	return len(m.instances) > 0
}

// loadDetails lists the details for a new leader, whose term is stored.
func (n *Node) loadDetails(ctx context.Context) (*details, error) {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	for {
		begun := time.Now()
		items, _, err := n.store.List(ctx, detailPrefix)
		if err == nil {
			var d *details
			if d, err = parseDetails(items); err == nil {
				n.log.Event(hfevent.DetailsLoaded, zap.Int("items", len(items)), zap.Int("unreadable", len(d.unreadable)), zap.Duration("took", time.Since(begun)))
				return d, nil
			}
		}
		if !hfloop.Sleep(ctx, retryPause) {
			return nil, fmt.Errorf("load details: %w", err)
		}
	}
}
