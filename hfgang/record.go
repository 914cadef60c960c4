package hfgang

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/heatherfront/heatherfront/hfwire"
)

// shardOf returns the shard that holds a job's record.
func shardOf(id string) int { return int(xxhash.Sum64String(id) % Shards) }

// add makes a job known to the scheduler.
func (s *Scheduler) add(j *job) {
	s.jobs[j.id()] = j
	s.byShard[shardOf(j.id())][j.id()] = j
	if !j.final() {
		s.open[j.id()] = j
	}
}

// touch marks a record for the next commit. The commands in after are done once it
// is stored, not before.
func (s *Scheduler) touch(j *job, after ...Cmd) {
	j.dirty = true
	j.after = append(j.after, after...)
	s.changed[shardOf(j.id())] = true
}

// commits returns one commit for each shard that changed and has none under way.
func (s *Scheduler) commits() []Cmd {
	var cmds []Cmd
	for shard, yes := range s.changed {
		if yes && !s.busy[shard] {
			s.busy[shard], s.changed[shard] = true, false
			cmds = append(cmds, s.commit(shard))
		}
	}
	return cmds
}

func (s *Scheduler) commit(shard int) Cmd {
	record := &hfwire.Shard{}
	for _, j := range inOrder(s.byShard[shard], nil) {
		if j.dirty {
			j.dirty, j.sent = false, true
			j.pending, j.after = j.after, nil
			j.freeing, j.leaves = j.leaves, nil
			j.next = hfwire.Copy(j.record)
		}
		if j.next != nil {
			record.Jobs = append(record.Jobs, j.next)
		} else {
			record.Jobs = append(record.Jobs, j.shown)
		}
	}
	return CommitCmd{shard: shard, record: record}
}

// stored releases what waited for a commit.
func (s *Scheduler) stored(shard int, now time.Time) []Cmd {
	s.busy[shard] = false
	var cmds []Cmd
	for _, j := range inOrder(s.byShard[shard], func(j *job) bool { return j.sent }) {
		j.sent = false
		if j.shown.GetState() != j.next.GetState() {
			cmds = append(cmds, ChangedCmd{job: j.next})
		}
		j.shown, j.next = j.next, nil
		s.free(j)
		cmds = append(cmds, s.ready(j, now)...)
	}
	return cmds
}

// free lets others have the accelerators that a job gave up, now that this is
// stored. Records of different shards are stored in no order: were they reused
// before, a new leader could find two jobs on one accelerator.
func (s *Scheduler) free(j *job) {
	if j.freeing == nil {
		return
	}
	j.freeing = nil
	if j.leaves == nil {
		delete(s.leaving, j)
	}
	s.resurvey, s.stale = true, true
}

// ready returns the commands that waited for a record, without those that the job
// has outrun since, such as a start after a cancellation.
func (s *Scheduler) ready(j *job, now time.Time) []Cmd {
	var cmds []Cmd
	for _, cmd := range j.pending {
		t, ok := cmd.(TaskCmd)
		if !ok {
			cmds = append(cmds, cmd)
			continue
		}
		if t.attempt != j.record.GetAttempt() || j.state() == StateStopping || !j.placed() {
			continue
		}
		m := j.member(t.grant.GetIndex())
		m.asked = now
		cmds = append(cmds, cmd)
		j.abort, j.settled = now.Add(startWindow), now.Add(s.timing.fresh())
	}
	j.pending = nil
	return cmds
}

// load takes the stored records at the start of an epoch. Jobs that were queued
// stay queued. A gang that was not released ran nothing, so it is stopped and
// queued again. A released gang is released again, which changes nothing for
// members that run, and is then judged by the workers' reports.
func (s *Scheduler) load(shards []*hfwire.Shard, now time.Time) []Cmd {
	s.loaded, s.stale = true, true
	for _, shard := range shards {
		for _, r := range shard.GetJobs() {
			j := &job{record: hfwire.Copy(r), shown: r}
			s.add(j)
			if j.final() {
				s.learn(j)
			}
		}
	}
	var cmds []Cmd
	for _, j := range inOrder(s.open, nil) {
		cmds = append(cmds, s.resume(j, now)...)
	}
	s.survey()
	s.adopt()
	s.match()
	return cmds
}

// resume goes on with one open job under a new epoch.
func (s *Scheduler) resume(j *job, now time.Time) []Cmd {
	j.setMembers(j.record.GetGrants(), phaseAsked)
	j.block, _ = s.translate(j.record.GetGrants())
	switch {
	case !j.placed():
		return nil
	case j.state() == StateStopping:
		return s.stopMembers(j, now)
	case !j.record.GetReleased():
		return s.stop(j, StateQueued, "the placement leader changed during the start", now)
	default:
		return s.release(j, now)
	}
}

// adopt gives each claiming job a shape of its account, in the place where it runs.
func (s *Scheduler) adopt() {
	if s.book != nil {
		s.reconcile(s.book)
	}
	for _, j := range inOrder(s.open, (*job).placed) {
		if !j.record.GetClaimed() || !j.placed() || j.shape != nil {
			continue
		}
		if sh := s.adoptable(j); sh != nil {
			j.shape = sh
			sh.claims[j.id()] = j
		}
	}
}

// adoptable returns a shape in whose block the job lies, or the tightest shape
// without a block, which gets one around the job.
func (s *Scheduler) adoptable(j *job) *shape {
	var best *shape
	for _, sh := range s.shapes {
		if sh.account != s.account(j) || sh.size < j.size() || j.block.Size() == 0 {
			continue
		}
		if sh.pinned() && sh.met && j.block.within(sh.block) {
			return sh
		}
		if !sh.pinned() && (best == nil || sh.size < best.size) {
			best = sh
		}
	}
	if best == nil {
		return nil
	}
	s.unplace(best)
	s.layout.Blocks(best.size, s.layout.All(), func(b Block) bool {
		if j.block.within(b) && s.clear(b, j) {
			s.place(best, b)
		}
		return !best.met
	})
	return best
}

// clear tells whether no fixed job but one lies in a block, and no shape.
func (s *Scheduler) clear(b Block, but *job) bool {
	for i := b.lo; i < b.hi; i++ {
		if s.shapeAt[i] != nil {
			return false
		}
		if j := s.fixedAt(i); j != nil && j != but {
			return false
		}
	}
	return true
}
