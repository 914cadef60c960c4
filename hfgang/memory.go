package hfgang

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/heatherfront/heatherfront/hfbudget"
	"github.com/heatherfront/heatherfront/hfconfig"
	"github.com/heatherfront/heatherfront/hfledger"
	"github.com/heatherfront/heatherfront/hfwire"
)

const (
	jobBytes     = 1 << 10 // of a job beside its records
	elementBytes = 128     // of a step or a grant in memory beside its encoding
	recordParts  = 2       // elements that the rest of a record counts as
	recordCopies = 2       // the record as it is and as it was stored

	unlimitedMemory = math.MaxInt64 / 2

	// idLifetime is how long an id can be submitted again. Finished jobs are kept as long, so that none runs twice.
	idLifetime = hfledger.Window + 2*hfledger.MaxClockSkew
	// makeRoomInterval is the time between two searches for finished jobs that can be dropped.
	makeRoomInterval = time.Second
)

// ErrMemoryCount reports a violated invariant: the memory of the jobs is not what was counted.
var ErrMemoryCount = eris.New("memory of jobs counted wrongly")

// footprint returns the bytes that a job takes.
func footprint(r *hfwire.Job) int64 {
	elements := int64(recordParts + len(r.GetSteps()) + len(r.GetGrants()))
	return jobBytes + recordCopies*(int64(proto.Size(r))+elementBytes*elements)
}

func owner(r *hfwire.Job) hfbudget.Owner {
	return hfbudget.NewOwner(r.GetAccount(), hfconfig.Class(r.GetClass()) == hfconfig.ClassUrgent)
}

// SetMemory sets the bytes that the jobs may take. Without it they are not limited. Jobs that are stored are kept even
// if they take more.
func (s *Scheduler) SetMemory(bytes int64) { s.memory.SetLimit(bytes) }

// count counts what a job takes now.
func (s *Scheduler) count(j *job) {
	bytes := footprint(j.record)
	s.memory.Add(owner(j.record), bytes-j.memory)
	j.memory = bytes
}

// drop removes a finished job.
func (s *Scheduler) drop(j *job) {
	s.memory.Add(owner(j.record), -j.memory)
	delete(s.jobs, j.id())
	delete(s.byShard[shardOf(j.id())], j.id())
	s.dirtyShards[shardOf(j.id())] = true
}

// makeRoom reports whether there is memory for a job. If not, it drops finished jobs of the same owner, the oldest
// first, whose ids cannot be submitted again.
func (s *Scheduler) makeRoom(r *hfwire.Job, now time.Time) bool {
	bytes, o := footprint(r), owner(r)
	if s.memory.Fits(o, bytes) || now.Sub(s.lastMakeRoom) < makeRoomInterval {
		return s.memory.Fits(o, bytes)
	}
	s.lastMakeRoom = now
	oldest := now.Add(-idLifetime).UnixMilli()
	dropped := sortedByID(s.jobs, func(j *job) bool {
		return j.droppable() && owner(j.record) == o && j.record.GetSubmitted() < oldest
	})
	slices.SortStableFunc(dropped, func(a, b *job) int { return cmp.Compare(a.record.GetFinished(), b.record.GetFinished()) })
	for _, j := range dropped {
		if s.memory.Fits(o, bytes) {
			break
		}
		s.drop(j)
	}
	return s.memory.Fits(o, bytes)
}

// droppable reports whether the job has ended and this is stored.
func (j *job) droppable() bool { return j.final() && !j.dirty && !j.inCommit }

// checkMemory returns an error if the jobs do not take what was counted.
func (s *Scheduler) checkMemory() error {
	var sum int64
	for _, j := range s.jobs {
		sum += j.memory
	}
	if sum != s.memory.Total() {
		return fmt.Errorf("%w: %d bytes, counted are %d", ErrMemoryCount, sum, s.memory.Total())
	}
	return nil
}
