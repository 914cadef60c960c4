package hfentry

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"net"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/heatherfront/heatherfront/hfevent"
	"github.com/heatherfront/heatherfront/hfloop"
	"github.com/heatherfront/heatherfront/hfpeer"
	"github.com/heatherfront/heatherfront/hfstore"
	"github.com/heatherfront/heatherfront/hfwire"
	"github.com/heatherfront/heatherfront/hfwork"
)

const (
	announceInterval   = time.Hour     // between two writes of this instance's entry
	announceRetryPause = time.Second   // after a write that failed
	instanceTTL        = 3 * time.Hour // after which an entry that was not written again is removed
)

func (m *Mirror) applyInstance(name string, i hfstore.Item) change {
	m.instanceIPs = nil
	if i.Deleted() {
		delete(m.instances, name)
		m.limitMemory()
		return change{}
	}
	inst, err := hfwire.Decode(i.Value(), &hfwork.Instance{})
	if err != nil {
		return change{err: fmt.Errorf("instance %s: %w", name, err)}
	}
	m.instances[name] = inst
	m.limitMemory()
	return change{}
}

// listsIP reports whether an instance other than the named one has an IP address.
func (m *Mirror) listsIP(ip, self string) bool {
	if m.instanceIPs == nil {
		m.instanceIPs = map[string]bool{}
		for name, inst := range m.instances {
			if host, _, err := net.SplitHostPort(inst.GetAddress()); err == nil && name != self {
				m.instanceIPs[host] = true
			}
		}
	}
	return m.instanceIPs[ip]
}

// expiredInstances lists the instances whose entries were last written before the given time.
func (m *Mirror) expiredInstances(before time.Time) []string {
	var list []string
	for name, inst := range m.instances {
		if inst.GetNoted() < before.UnixMilli() {
			list = append(list, name)
		}
	}
	slices.Sort(list)
	return list
}

// announce writes this instance's entry to the store until ctx ends, so that the other
// instances can reach it.
func (n *Node) announce(ctx context.Context) {
	for pause := time.Duration(0); hfloop.Sleep(ctx, pause); {
		pause = announceRetryPause
		if !n.recordWatch.synced.Load() {
			continue
		}
		value, err := hfwire.Encode(&hfwork.Instance{
			Name: n.name, Address: n.peerAddress, Domain: n.settings.Domain(), Region: n.settings.Region(), Noted: time.Now().UnixMilli(),
			Suitability: n.settings.LeaderSuitability(), Format: recordFormat, Memory: n.settings.MemoryMB(),
		})
		if err == nil {
			_, err = n.commit(ctx, (&hfstore.Batch{}).Put(peerPrefix+n.name, value, ""))
		}
		if err != nil {
			n.log.Event(hfevent.AnnounceFailed, zap.String("error", err.Error()))
			continue
		}
		pause = announceInterval
	}
}

// removeExpiredInstances removes the entries of instances that have not written them for
// instanceTTL.
func (n *Node) removeExpiredInstances(ctx context.Context, epoch int64) {
	keys := hfloop.With(n.mirror, func(m *Mirror) []string { return m.expiredInstances(time.Now().Add(-instanceTTL)) })
	for i, name := range keys {
		keys[i] = peerPrefix + name
	}
	n.removeKeys(ctx, epoch, keys)
}

// removeKeys removes keys from the store while the leadership of an epoch lasts. What is left after a
// failure is removed by the next round of purge.
func (n *Node) removeKeys(ctx context.Context, epoch int64, keys []string) {
	for chunk := range slices.Chunk(keys, hfstore.MaxBatch-1) {
		batch := (&hfstore.Batch{}).Require(leadKey, epoch)
		for _, key := range chunk {
			batch.Remove(key)
		}
		if _, err := n.commit(ctx, batch); err != nil {
			return
		}
	}
}

// maxFollowers is how many instances follow the workers' entries besides the leader. Each entry
// changes with every heartbeat, so that their cost grows with both workers and followers.
const maxFollowers = 4

// followsWorkers reports whether this instance has to follow the workers' entries: as the leader, or
// as one of those that are best suited to be the next one.
func (n *Node) followsWorkers() bool {
	if n.claiming.Load() || n.leader.Load() != nil {
		return true
	}
	return slices.Contains(hfloop.With(n.mirror, (*Mirror).followers), n.name)
}

// followers lists the instances that are best suited to be the next leader: at first one of each
// failure domain.
func (m *Mirror) followers() []string {
	list := slices.SortedFunc(maps.Values(m.instances), func(a, b *hfwork.Instance) int {
		return cmp.Or(
			cmp.Compare(b.GetSuitability(), a.GetSuitability()), cmp.Compare(xxhash.Sum64String(a.GetName()), xxhash.Sum64String(b.GetName())),
		)
	})
	inDomain := map[string]int{}
	rank := map[string]int{} // position of an instance within its domain
	for _, inst := range list {
		rank[inst.GetName()] = inDomain[inst.GetDomain()]
		inDomain[inst.GetDomain()]++
	}
	slices.SortStableFunc(list, func(a, b *hfwork.Instance) int { return cmp.Compare(rank[a.GetName()], rank[b.GetName()]) })
	var names []string
	for _, inst := range list[:min(len(list), maxFollowers)] {
		names = append(names, inst.GetName())
	}
	return names
}

// otherInstances returns the other instances: first those of this failure domain, then those of
// this region, then the rest. Within these groups, the order differs from instance to
// instance.
func (n *Node) otherInstances() []hfpeer.Peer {
	list := hfloop.With(n.mirror, func(m *Mirror) []*hfwork.Instance {
		all := make([]*hfwork.Instance, 0, len(m.instances))
		for name, inst := range m.instances {
			if name != n.name {
				all = append(all, inst)
			}
		}
		return all
	})
	distance := func(inst *hfwork.Instance) int {
		switch {
		case inst.GetDomain() == n.settings.Domain():
			return 0
		case inst.GetRegion() == n.settings.Region():
			return 1
		}
		return 2
	}
	slices.SortFunc(list, func(a, b *hfwork.Instance) int {
		return cmp.Or(cmp.Compare(distance(a), distance(b)), cmp.Compare(xxhash.Sum64String(n.name+a.GetName()), xxhash.Sum64String(n.name+b.GetName())))
	})
	peers := make([]hfpeer.Peer, 0, len(list))
	for _, inst := range list {
		peers = append(peers, hfpeer.NewPeer(inst.GetName(), inst.GetAddress()))
	}
	return peers
}
