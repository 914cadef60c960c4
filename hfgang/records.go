package hfgang

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/heatherfront/heatherfront/hfwire"
)

// shardOf returns the shard that stores a job's record.
func shardOf(id string) int { return int(xxhash.Sum64String(id) % Shards) }

// addJob adds a job to the scheduler's tables.
func (s *Scheduler) addJob(j *job) {
	s.jobs[j.id()] = j
	s.count(j)
	s.byShard[shardOf(j.id())][j.id()] = j
	if !j.final() {
		s.open[j.id()] = j
	}
}

// markDirty schedules a job's record for the next commit. The deferred commands are
// executed only after the record is stored.
func (s *Scheduler) markDirty(j *job, deferred ...Cmd) {
	j.dirty = true
	j.deferred = append(j.deferred, deferred...)
	s.dirtyShards[shardOf(j.id())] = true
}

// buildCommits returns one commit for each shard that has changed and has no commit in
// flight.
func (s *Scheduler) buildCommits() []Cmd {
	var cmds []Cmd
	for shard, dirty := range s.dirtyShards {
		if dirty && !s.commitsInFlight[shard] {
			s.commitsInFlight[shard], s.dirtyShards[shard] = true, false
			cmds = append(cmds, s.buildCommit(shard))
		}
	}
	return cmds
}

// buildCommit returns a commit of all records of a shard: the changed ones as they are
// now, the others as last stored.
func (s *Scheduler) buildCommit(shard int) Cmd {
	record := &hfwire.Shard{}
	for _, j := range sortedByID(s.byShard[shard], nil) {
		if j.dirty {
			j.dirty, j.inCommit = false, true
			j.deferredInCommit, j.deferred = j.deferred, nil
			j.vacatedInCommit, j.vacated = j.vacated, nil
			j.commitCopy = hfwire.Copy(j.record)
			s.count(j)
		}
		if j.commitCopy != nil {
			record.Jobs = append(record.Jobs, j.commitCopy)
		} else {
			record.Jobs = append(record.Jobs, j.storedCopy)
		}
	}
	return CommitCmd{shard: shard, record: record}
}

// commitStored handles the end of a commit and returns the commands that waited for it.
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

// freeVacated makes the accelerators that a job vacated available, now that this is
// stored. Records of different shards are stored in no particular order, so if the
// accelerators were reused before that, a new leader could load two jobs on one
// accelerator.
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

// takeDeferred returns the commands that waited for a record. It leaves out those that
// are obsolete by now, such as a start after a cancellation.
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
		if t.verb == VerbStart {
			j.heldUntil = now.Add(s.timing.lease())
		}
		cmds = append(cmds, cmd)
		j.startDeadline, j.reportsValidFrom = now.Add(startWindow), now.Add(s.timing.reportAge())
	}
	j.deferredInCommit = nil
	return cmds
}

// load restores the stored records at the start of an epoch. Queued jobs stay queued. A
// gang that was not released has run nothing, so it is stopped and queued again. A
// released gang is released again, which has no effect on running members, and is then
// evaluated against the workers' reports.
func (s *Scheduler) load(shards []*hfwire.Shard, now time.Time) []Cmd {
	s.loaded, s.schedulePending, s.revokePending = true, true, true
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

// resume continues an open job under a new epoch.
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
		j.resumed = true
		return s.releaseGang(j, now)
	}
}

// reattachClaims attaches each job that claims a guarantee to a guarantee of its
// account that includes the job's block.
func (s *Scheduler) reattachClaims() {
	if s.directory != nil {
		s.reconcileGuarantees(s.directory)
	}
	for _, j := range sortedByID(s.open, (*job).placed) {
		if !j.record.GetClaimed() || !j.placed() || j.guarantee != nil {
			continue
		}
		if g := s.guaranteeFor(j); g != nil {
			j.guarantee = g
			g.claims[j.id()] = j
		}
	}
}

// guaranteeFor returns a guarantee with claims whose block includes the job. Without one
// it takes the smallest guarantee without claims and tries to assign it a block around
// the job.
func (s *Scheduler) guaranteeFor(j *job) *guarantee {
	var best *guarantee
	for _, g := range s.guarantees {
		if g.account != s.account(j) || g.size < j.size() || j.block.Size() == 0 {
			continue
		}
		if g.pinned() && g.met && j.block.within(g.block) {
			return g
		}
		if !g.pinned() && (best == nil || g.size < best.size) {
			best = g
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

// freeForClaim reports whether a block overlaps no guarantee and no non-preemptible job
// other than the given one.
func (s *Scheduler) freeForClaim(b Block, except *job) bool {
	for i := b.lo; i < b.hi; i++ {
		if s.guaranteeAt[i] != nil {
			return false
		}
		if j := s.nonPreemptibleAt(i); j != nil && j != except {
			return false
		}
	}
	return true
}
