package hfserve

import (
	"strconv"
	"strings"
	"time"

	"github.com/heatherfront/heatherfront/hfendpoint"
	"github.com/heatherfront/heatherfront/hfloop"
	"github.com/heatherfront/heatherfront/hfpeer"
	"github.com/heatherfront/heatherfront/hfwire"
	"github.com/heatherfront/heatherfront/hfworker"
)

// ownership holds a fingerprint of the inputs of the last ownership computation, which is
// repeated only when the fingerprint changes, and the owned endpoints that are leaving or down.
type ownership struct {
	fingerprint string                    // of the live instances, workers and endpoints
	unhealthy   map[string]*hfwire.Health // owned endpoints that are leaving or down
}

// updateOwnership computes which workers this instance polls, and which endpoints it
// checks and lends slots of. Each instance computes this independently. While their
// views of the members differ, workers may be polled twice and slots lent twice; there
// are no other effects.
func (s *Server) updateOwnership(now time.Time) {
	live := s.livePeers()
	workers := s.workersByName()
	var endpoints []hfendpoint.Endpoint
	s.dispatcher.WithRouter(func(r *hfendpoint.Router) { endpoints = r.Endpoints() })
	fingerprint := ownershipFingerprint(live, workers, endpoints)
	if hfloop.With(s.ownership, func(o *ownership) bool {
		unchanged := o.fingerprint == fingerprint
		o.fingerprint = fingerprint
		return unchanged
	}) {
		return
	}
	ownedWorkers := map[string]bool{}
	for name, w := range workers {
		if s.owns("worker/"+name, live, w.Domain(), w.Region()) {
			ownedWorkers[name] = true
		}
	}
	hfloop.With(s.fleet, func(f *hfworker.Fleet) bool { f.Update(hfworker.Observe(ownedWorkers), now); return true })
	var ownedEndpoints []hfendpoint.Endpoint
	regions := map[string]int{}
	for _, e := range endpoints {
		regions[e.Region()]++
		if s.owns(endpointOwnerKey(e.Name()), live, "", e.Region()) {
			ownedEndpoints = append(ownedEndpoints, e)
		}
	}
	hfloop.With(s.lender, func(l *hfendpoint.Lender) bool { l.SetOwned(ownedEndpoints, regions, now); return true })
	hfloop.With(s.ownership, func(o *ownership) bool { o.pruneUnhealthy(ownedEndpoints); return true })
}

// pruneUnhealthy drops the health results of endpoints that this instance no longer
// owns.
func (o *ownership) pruneUnhealthy(owned []hfendpoint.Endpoint) {
	remaining := map[string]*hfwire.Health{}
	for _, e := range owned {
		if h, ok := o.unhealthy[e.Name()]; ok {
			remaining[e.Name()] = h
		}
	}
	o.unhealthy = remaining
}

// endpointOwnerKey returns the key that determines the owner of an endpoint.
func endpointOwnerKey(name string) string { return "endpoint/" + name }

// owns reports whether this instance is the owner of a key.
func (s *Server) owns(key string, live []hfpeer.Peer, domain, region string) bool {
	owner, ok := hfpeer.Owner(key, live, domain, region)
	return ok && owner == s.settings.Name()
}

// ownershipFingerprint returns a string that identifies the inputs of the ownership
// computation. It covers the names, incarnations and failure domains of the live
// instances, the names, failure domains and regions of the workers, and the names and
// regions of the endpoints, but not the regions of the instances or the addresses and
// slots of the endpoints.
func ownershipFingerprint(live []hfpeer.Peer, workers map[string]hfworker.Worker, endpoints []hfendpoint.Endpoint) string {
	var b strings.Builder
	for _, p := range live {
		b.WriteString(p.Name() + "/" + p.Incarnation() + "/" + p.Domain() + "\n")
	}
	var hashes uint64 // combined by XOR, as maps have no order
	for name, w := range workers {
		hashes ^= hfpeer.Hash(name + w.Domain() + w.Region())
	}
	for _, e := range endpoints {
		hashes ^= hfpeer.Hash(e.Name() + e.Region())
	}
	b.WriteString(strconv.FormatUint(hashes, 16))
	return b.String()
}
