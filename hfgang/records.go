package hfgang

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/heatherfront/heatherfront/hfwire"
)

// shardOf returns the shard that holds a job's record.
func shardOf(id string) int { return int(xxhash.Sum64String(id) % Shards) }

// addJob makes a job known to the scheduler.
func (s *Scheduler) addJob(j *job) {
	s.jobs[j.id()] = j
	s.byShard[shardOf(j.id())][j.id()] = j
	if !j.final() {
		s.open[j.id()] = j
	}
}

// markDirty marks a record for the next commit. The commands in after are done once it
// is stored, not before.
func (s *Scheduler) markDirty(j *job, after ...Cmd) {
	j.dirty = true
	j.deferred = append(j.deferred, after...)
	s.dirtyShards[shardOf(j.id())] = true
}

// buildCommits returns one commit for each shard that changed and has none under way.
func (s *Scheduler) buildCommits() []Cmd {
	var cmds []Cmd
	for shard, yes := range s.dirtyShards {
		if yes && !s.commitsInFlight[shard] {
			s.commitsInFlight[shard], s.dirtyShards[shard] = true, false
			cmds = append(cmds, s.buildCommit(shard))
		}
	}
	return cmds
}

func (s *Scheduler) buildCommit(shard int) Cmd {
	record := &hfwire.Shard{}
	for _, j := range sortedByID(s.byShard[shard], nil) {
		if j.dirty {
			j.dirty, j.inCommit = false, true
			j.deferredInCommit, j.deferred = j.deferred, nil
			j.vacatedInCommit, j.vacated = j.vacated, nil
			j.commitCopy = hfwire.Copy(j.record)
		}
		if j.commitCopy != nil {
			record.Jobs = append(record.Jobs, j.commitCopy)
		} else {
			record.Jobs = append(record.Jobs, j.storedCopy)
		}
	}
	return CommitCmd{shard: shard, record: record}
}

// commitStored releases what waited for a commit.
func (s *Scheduler) commitStored(shard int, now time.Time) []Cmd {
	s.commitsInFlight[shard] = false
	var cmds []Cmd
	for _, j := range sortedByID(s.byShard[shard], func(j *job) bool { return j.inCommit }) {
		j.inCommit = false
		if j.storedCopy.GetState() != j.commitCopy.GetState() {
			cmds = append(cmds, ChangedCmd{job: j.commitCopy})
		}
		j.storedCopy, j.commitCopy = j.commitCopy, nil
		s.freeVacated(j)
		cmds = append(cmds, s.takeDeferred(j, now)...)
	}
	return cmds
}

// freeVacated lets others have the accelerators that a job gave up, now that this is
// stored. Records of different shards are stored in no order: were they reused
// before, a new leader could find two jobs on one accelerator.
func (s *Scheduler) freeVacated(j *job) {
	if j.vacatedInCommit == nil {
		return
	}
	j.vacatedInCommit = nil
	if j.vacated == nil {
		delete(s.vacatingJobs, j)
	}
	s.assignPending, s.schedulePending = true, true
}

// takeDeferred returns the commands that waited for a record, without those that the job
// has outrun since, such as a start after a cancellation.
func (s *Scheduler) takeDeferred(j *job, now time.Time) []Cmd {
	var cmds []Cmd
	for _, cmd := range j.deferredInCommit {
		t, ok := cmd.(TaskCmd)
		if !ok {
			cmds = append(cmds, cmd)
			continue
		}
		if t.attempt != j.record.GetAttempt() || j.state() == StateStopping || !j.placed() {
			continue
		}
		m := j.member(t.grant.GetIndex())
		m.lastCommand = now
		cmds = append(cmds, cmd)
		j.startDeadline, j.reportsValidFrom = now.Add(startWindow), now.Add(s.timing.freshness())
	}
	j.deferredInCommit = nil
	return cmds
}

// load takes the stored records at the start of an epoch. Jobs that were queued
// stay queued. A gang that was not released ran nothing, so it is stopped and
// queued again. A released gang is released again, which changes nothing for
// members that run, and is then judged by the workers' reports.
func (s *Scheduler) load(shards []*hfwire.Shard, now time.Time) []Cmd {
	s.loaded, s.schedulePending = true, true
	for _, shard := range shards {
		for _, r := range shard.GetJobs() {
			j := &job{record: hfwire.Copy(r), storedCopy: r}
			s.addJob(j)
			if j.final() {
				s.recordRunTime(j)
			}
		}
	}
	var cmds []Cmd
	for _, j := range sortedByID(s.open, nil) {
		cmds = append(cmds, s.resume(j, now)...)
	}
	s.rebuildAllocations()
	s.reattachClaims()
	s.assignBlocks()
	return cmds
}

// resume goes on with one open job under a new epoch.
func (s *Scheduler) resume(j *job, now time.Time) []Cmd {
	j.setMembers(j.record.GetGrants(), phaseRequested)
	j.block, _ = s.contiguousBlock(j.record.GetGrants())
	switch {
	case !j.placed():
		return nil
	case j.state() == StateStopping:
		return s.stopMembers(j, now)
	case !j.record.GetReleased():
		return s.stopGang(j, StateQueued, "the placement leader changed during the start", now)
	default:
		return s.releaseGang(j, now)
	}
}

// reattachClaims gives each claiming job a shape of its account, in the place where it runs.
func (s *Scheduler) reattachClaims() {
	if s.book != nil {
		s.reconcileGuarantees(s.book)
	}
	for _, j := range sortedByID(s.open, (*job).placed) {
		if !j.record.GetClaimed() || !j.placed() || j.guarantee != nil {
			continue
		}
		if sh := s.guaranteeFor(j); sh != nil {
			j.guarantee = sh
			sh.claims[j.id()] = j
		}
	}
}

// guaranteeFor returns a shape in whose block the job lies, or the tightest shape
// without a block, which gets one around the job.
func (s *Scheduler) guaranteeFor(j *job) *guarantee {
	var best *guarantee
	for _, sh := range s.guarantees {
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
	s.unassign(best)
	s.layout.Blocks(best.size, s.layout.All(), func(b Block) bool {
		if j.block.within(b) && s.freeForClaim(b, j) {
			s.assign(best, b)
		}
		return !best.met
	})
	return best
}

// freeForClaim tells whether no fixed job but one lies in a block, and no shape.
func (s *Scheduler) freeForClaim(b Block, but *job) bool {
	for i := b.lo; i < b.hi; i++ {
		if s.guaranteeAt[i] != nil {
			return false
		}
		if j := s.nonPreemptibleAt(i); j != nil && j != but {
			return false
		}
	}
	return true
}
