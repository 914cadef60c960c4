package hfentry

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/heatherfront/heatherfront/hfevent"
	"github.com/heatherfront/heatherfront/hflease"
	"github.com/heatherfront/heatherfront/hfloop"
	"github.com/heatherfront/heatherfront/hforder"
	"github.com/heatherfront/heatherfront/hfplan"
	"github.com/heatherfront/heatherfront/hfstore"
	"github.com/heatherfront/heatherfront/hfwork"
)

const (
	// leaderTTL is the time to live of the leader's lease. When the leader dies, urgent work,
	// which may wait 3.9 s, waits at most for the lease to expire and for a takeover. The lease
	// covers three renewals by a store that takes a quarter of a second for each.
	leaderTTL        = 1600 * time.Millisecond
	campaignJitter   = 120 * time.Millisecond // candidates wait a random part of it, so that usually just one tries
	weakDelay        = 500 * time.Millisecond // by which the weakest instance waits longer than the strongest
	relayedDelay     = 600 * time.Millisecond // further delay of an instance that reaches the store only through others
	listDelay        = 250 * time.Millisecond // further delay of an instance that would have to list the workers first
	campaignInterval = 500 * time.Millisecond
	catchUpTimeout   = 2 * time.Second // a new leader gives up if its mirror is not current by then
	catchUpPause     = 5 * time.Millisecond
	purgeInterval    = 5 * time.Second
	keysPerJob       = 3                // keys in the store that belong to one job
	purgeMargin      = 30 * time.Second // added to the retention time
)

// campaign tries to become the leader whenever there is none, until ctx ends or a planned stop
// begins. The leader runs the scheduler.
func (n *Node) campaign(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-n.stopStarted:
			return
		case <-n.leaderless:
		case <-time.After(campaignInterval):
		}
		n.revokeEarlierLease(ctx)
		if !n.eligible() {
			continue
		}
		hfloop.Sleep(ctx, n.campaignDelay()+rand.N(campaignJitter))
		n.grantHeadStart(ctx)
		if !n.eligible() {
			continue
		}
		if err := n.claimLeadership(ctx); err != nil && !errors.Is(err, hflease.ErrHeld) {
			n.log.Event(hfevent.LeaderLost, zap.String("error", err.Error()))
		}
	}
}

// revokeEarlierLease revokes the leader's lease if it belongs to an earlier process with the
// name and address of this instance. That process has ended, and no instance could lead until
// its lease expires.
func (n *Node) revokeEarlierLease(ctx context.Context) {
	lead := hfloop.With(n.mirror, func(m *Mirror) *hfwork.Lead { return m.lead })
	if lead.GetLease() == "" || lead.GetInstance() != n.name || lead.GetAddress() != n.peerAddress || n.health.Down() {
		return
	}
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err := n.store.Revoke(call, lead.GetLease())
	n.log.Event(hfevent.LeaseRevoked, zap.String("lease", lead.GetLease()), zap.NamedError("error", err))
}

// campaignDelay returns how long this instance waits for better suited ones to become the
// leader. Scheduling takes processor time and bandwidth, of which small instances have little,
// and calls of the store.
func (n *Node) campaignDelay() time.Duration {
	delay := time.Duration((1 - min(max(n.settings.LeaderSuitability(), 0), 1)) * float64(weakDelay))
	if !n.relay.Direct() {
		delay += relayedDelay
	}
	if !n.workerWatch.synced.Load() {
		delay += listDelay
	}
	return delay
}

// eligible reports whether this instance may try to become the leader.
func (n *Node) eligible() bool {
	return n.recordWatch.synced.Load() && n.policyWatch.synced.Load() && !n.stopping.Load() && !n.health.Down() &&
		hfloop.With(n.mirror, func(m *Mirror) bool { return m.lead == nil && m.policy != nil })
}

// claimLeadership tries to become the leader, and then leads until the leadership ends.
func (n *Node) claimLeadership(ctx context.Context) error {
	ttl := n.leaseTTL()
	n.claiming.Store(true)
	defer n.claiming.Store(false)
	n.follow()
	tenure, lease, err := hflease.Acquire(ctx, n.store, leadKey, n.leadValue, ttl)
	if err != nil {
		return fmt.Errorf("claim leadership: %w", err)
	}
	l := newLeadership(n, tenure)
	err = hflease.HoldResumable(ctx, n.store, tenure, lease, ttl, l, func(ctx context.Context) error {
		return n.runLeader(ctx, l)
	})
	if err != nil {
		return fmt.Errorf("leadership of epoch %d: %w", tenure.Epoch(), err)
	}
	return nil
}

// leaseTTL returns the time to live of the leader's lease.
func (n *Node) leaseTTL() time.Duration { return max(leaderTTL, n.settings.MinLease()) }

// runLeader runs the scheduler until ctx ends or a planned stop begins.
func (n *Node) runLeader(ctx context.Context, l *leadership) error {
	tenure := l.tenure
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	writer, err := n.fenceRecords(ctx, tenure.Epoch())
	if err != nil {
		return fmt.Errorf("prepare records: %w", err)
	}
	loaded, err := n.loadDetails(ctx)
	if err != nil {
		return fmt.Errorf("prepare records: %w", err)
	}
	if err := n.awaitWorkers(ctx); err != nil {
		return fmt.Errorf("prepare workers: %w", err)
	}
	n.collectEnded(ctx, tenure.Epoch())
	n.details.Store(loaded)
	hfloop.With(n.mirror, func(m *Mirror) struct{} {
		writer.layout.restore(loaded, m.splitJobs(loaded), m.splitRoster(loaded), m.hasEnded)
		return struct{}{}
	})
	timing := hfplan.NewTiming(n.settings.TaskLease()).WithSpreadFactor(n.settings.SpreadFactor()).WithStopTime(n.settings.StopTime())
	scheduler := hfplan.New(writer.Term(), timing, time.Now()).WithMemory(hfloop.With(n.mirror, (*Mirror).loadableMemory))
	leader := hforder.NewLeader(scheduler, tenure, n.minions, n.adviser, n.machines, n.name, writer, n, timing)
	hfloop.With(n.mirror, func(m *Mirror) struct{} {
		m.withholdDepartures(writer.version)
		return struct{}{}
	})
	n.leader.Store(leader)
	defer n.leader.Store(nil)
	l.begin(writer, leader)
	n.log.Event(hfevent.LeaderElected, zap.Int64("epoch", tenure.Epoch()), zap.Int64("term", writer.Term()))
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error {
		defer cancel()
		if err := leader.Run(groupCtx, n.initialMessages()); err != nil {
			return fmt.Errorf("run scheduler: %w", err)
		}
		return nil
	})
	group.Go(func() error {
		n.purge(groupCtx, tenure.Epoch)
		return nil
	})
	group.Go(func() error {
		n.saveAccounts(groupCtx, tenure.Epoch)
		return nil
	})
	group.Go(func() error {
		defer cancel()
		l.followResumptions(groupCtx)
		return nil
	})
	group.Go(func() error {
		select {
		case <-n.stopStarted:
			cancel()
		case <-groupCtx.Done():
		}
		return nil
	})
	err = group.Wait()
	n.log.Event(hfevent.LeaderLost, zap.Int64("epoch", tenure.Epoch()))
	if err != nil {
		return fmt.Errorf("lead: %w", err)
	}
	return nil
}

// fenceRecords returns the writer of a new leadership, when no earlier leadership can change a
// record any more and the mirror holds all that they have written. Until the term is stored, a
// batch of the earlier leadership may still take effect.
func (n *Node) fenceRecords(ctx context.Context, epoch int64) (*fencedWriter, error) {
	if err := n.awaitMirror(ctx, epoch); err != nil {
		return nil, fmt.Errorf("last term: %w", err)
	}
	writer, err := n.openWriter(ctx, epoch)
	if err != nil {
		return nil, fmt.Errorf("term: %w", err)
	}
	if err := n.awaitMirror(ctx, writer.version); err != nil {
		return nil, fmt.Errorf("records before term %d: %w", writer.Term(), err)
	}
	return writer, nil
}

// awaitMirror waits until the mirror holds all records up to a store revision.
func (n *Node) awaitMirror(ctx context.Context, revision int64) error {
	return await(ctx, "mirror", func() bool {
		return hfloop.With(n.mirror, func(m *Mirror) bool { return m.appliedRevision >= revision }) && n.recordWatch.synced.Load()
	})
}

// awaitWorkers waits until the workers' entries were read.
func (n *Node) awaitWorkers(ctx context.Context) error {
	return await(ctx, "workers", n.workerWatch.synced.Load)
}

// await waits for what a new leader needs, at most for catchUpTimeout.
func await(ctx context.Context, what string, ready func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	for !ready() {
		if !hfloop.Sleep(ctx, catchUpPause) {
			return fmt.Errorf("await %s: %w", what, ctx.Err())
		}
	}
	return nil
}

// jobMsg returns the message that tells the scheduler of a job. It reports false if the job must
// wait, as a part of what is known of it cannot be read.
func (n *Node) jobMsg(r *jobRecord) (hfplan.Msg, bool) {
	if !r.schedulable() {
		return nil, false
	}
	progress := r.progress
	if loaded := n.details.Load(); loaded != nil {
		var readable bool
		if progress, readable = loaded.progress(r.job.GetId(), r.progress); !readable {
			return nil, false
		}
	}
	msg := hfplan.Job(r.job, progress, r.cancelled)
	if r.told {
		msg = msg.WithShown()
	}
	return msg, true
}

// splitJobs returns the progress of the jobs that have not ended and whose records are split.
func (m *Mirror) splitJobs(d *details) map[string]*hfwork.Progress {
	jobs := map[string]*hfwork.Progress{}
	for id, r := range m.jobs {
		if m.hasEnded(id) || r.unreadable {
			continue
		}
		if d.hasSteps(id, r.progress) {
			if p, readable := d.progress(id, r.progress); readable {
				jobs[id] = p
			}
		}
	}
	return jobs
}

// hasEnded reports whether a job has ended or does not exist.
func (m *Mirror) hasEnded(id string) bool {
	r := m.jobs[id]
	return r == nil || hfwork.IsFinal(r.progress.GetState())
}

// splitRoster returns the workers of the roster if it is split, and nil otherwise.
func (m *Mirror) splitRoster(d *details) []*hfwork.Worker {
	if m.roster.GetSplit() {
		return d.members
	}
	return nil
}

// initialMessages returns the messages with the state from which a new scheduler starts.
func (n *Node) initialMessages() []hfplan.Msg {
	return hfloop.With(n.mirror, func(m *Mirror) []hfplan.Msg {
		roster := m.roster.GetWorkers()
		if members := m.splitRoster(n.details.Load()); members != nil {
			roster = members
		}
		msgs := []hfplan.Msg{m.policyMsg(), hfplan.Roster(roster)}
		msgs = append(msgs, m.workersMsg())
		for _, c := range m.departures() {
			msgs = append(msgs, hfplan.WorkerLeft(c.leftWorker))
		}
		for _, number := range slices.Sorted(maps.Keys(m.requestedWaves)) {
			msgs = append(msgs, hfplan.Wave(m.currentWave(number)))
		}
		for _, id := range slices.Sorted(maps.Keys(m.jobs)) {
			r := m.jobs[id]
			if msg, ok := n.jobMsg(r); ok && !hfwork.IsFinal(r.progress.GetState()) {
				msgs = append(msgs, msg)
			}
		}
		return msgs
	})
}

func (n *Node) commit(ctx context.Context, b *hfstore.Batch) (int64, error) {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	revision, err := n.store.Commit(call, b)
	if err != nil {
		return 0, fmt.Errorf("commit: %w", err)
	}
	return revision, nil
}

// purge removes expired records from the store until ctx ends: jobs whose end has been known
// for longer than the retention time, and instances that no longer write their entries.
func (n *Node) purge(ctx context.Context, epoch func() int64) {
	for hfloop.Sleep(ctx, purgeInterval) {
		before := hflease.Now().Add(-n.settings.Retention() - purgeMargin)
		ids := hfloop.With(n.mirror, func(m *Mirror) []string { return m.endedJobs(before) })
		for chunk := range slices.Chunk(ids, (hfstore.MaxBatch-1)/keysPerJob) {
			batch := (&hfstore.Batch{}).Require(leadKey, epoch())
			for _, id := range chunk {
				batch.Remove(jobPrefix + id).Remove(progressPrefix + id).Remove(cancelPrefix + id)
			}
			if _, err := n.commit(ctx, batch); err != nil {
				break // repeated in the next round
			}
		}
		n.purgeWithdrawals(ctx, epoch())
		n.removeExpiredInstances(ctx, epoch())
	}
}
