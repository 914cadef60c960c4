package hfrelay

import (
	"slices"
	"time"

	"github.com/heatherfront/heatherfront/hfpeer"
)

const (
	maxDirectFailures  = 2                      // consecutive failures of direct calls after which the route is lost
	maxRelays          = 3                      // maximum number of instances that one call is sent through
	relayBackoff       = 2 * time.Second        // how long an instance is skipped after it did not reply or could not relay
	storeFailedBackoff = 500 * time.Millisecond // how long an instance is skipped after storeFailed held for its call too
	allFailedBackoff   = 250 * time.Millisecond // pause of relaying after a call failed through all candidates
)

// routes tracks which routes reach the store: the direct one, and those through other
// instances.
type routes struct {
	directFailures int                  // consecutive failures of direct calls
	skipUntil      map[string]time.Time // by instance; it is not used before this time
	lastRelay      string               // instance that relayed the last successful call, or ""
	retryAt        time.Time            // no call is relayed before, as the last one failed through all candidates
}

// isDirect reports whether calls use the direct route.
func (r *routes) isDirect() bool { return r.directFailures < maxDirectFailures }

// recordDirect records the result of a direct call; ok is the opposite of storeFailed. It
// reports whether the direct route was lost or restored by it, and whether the call succeeded after
// a failure of the last one.
func (r *routes) recordDirect(ok bool) (changed, recovered bool) {
	wasDirect, failures := r.isDirect(), r.directFailures
	if ok {
		r.directFailures = 0
	} else {
		r.directFailures++
	}
	return wasDirect != r.isDirect(), ok && failures > 0
}

// candidates returns the instances to relay a call through, at most maxRelays. The
// instance that relayed the last successful call comes first.
func (r *routes) candidates(peers []hfpeer.Peer, now time.Time) []hfpeer.Peer {
	if now.Before(r.retryAt) {
		return nil
	}
	var list []hfpeer.Peer
	for _, peer := range peers {
		if now.Before(r.skipUntil[peer.Name()]) {
			continue
		}
		if peer.Name() == r.lastRelay {
			list = slices.Insert(list, 0, peer)
			continue
		}
		list = append(list, peer)
	}
	return list[:min(len(list), maxRelays)]
}

// recordSuccess records that the store answered a call relayed by an instance.
func (r *routes) recordSuccess(peer string) {
	r.lastRelay, r.retryAt = peer, time.Time{}
}

// skip excludes an instance from the candidates for the duration of backoff.
func (r *routes) skip(peer string, backoff time.Duration, now time.Time) {
	if r.skipUntil == nil {
		r.skipUntil = map[string]time.Time{}
	}
	r.skipUntil[peer] = now.Add(backoff)
	if r.lastRelay == peer {
		r.lastRelay = ""
	}
}

// recordAllFailed records that a call failed through all candidates.
func (r *routes) recordAllFailed(now time.Time) { r.retryAt = now.Add(allFailedBackoff) }
