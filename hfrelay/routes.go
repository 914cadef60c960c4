package hfrelay

import (
	"slices"
	"time"

	"github.com/heatherfront/heatherfront/hfpeer"
)

const (
	maxDirectFailures = 2                      // consecutive failures of direct calls after which the route is lost
	maxRelays         = 3                      // instances that one call is sent through at most
	relayBackoff      = 2 * time.Second        // how long an instance that did not reply is skipped
	noAnswerBackoff   = 500 * time.Millisecond // how long an instance that the store does not answer is skipped
	allFailedBackoff  = 250 * time.Millisecond // pause of relaying after a call failed through all instances
)

// routes tracks which routes reach the store: the direct one, and those through other
// instances.
type routes struct {
	directFailures int                  // consecutive failures of direct calls
	skipUntil      map[string]time.Time // by instance; it is not used before this time
	lastRelay      string               // instance that relayed the last successful call, or ""
	retryAt        time.Time            // time before which no call is relayed, because all relays failed
}

// isDirect reports whether calls use the direct route.
func (p *routes) isDirect() bool { return p.directFailures < maxDirectFailures }

// recordDirect records the result of a direct call. It reports whether the direct route
// was lost or restored by it.
func (p *routes) recordDirect(answered bool) bool {
	before := p.isDirect()
	if answered {
		p.directFailures = 0
	} else {
		p.directFailures++
	}
	return before != p.isDirect()
}

// candidates returns the instances to relay a call through, at most maxRelays. The
// instance that relayed the last successful call comes first.
func (p *routes) candidates(peers []hfpeer.Peer, now time.Time) []hfpeer.Peer {
	if now.Before(p.retryAt) {
		return nil
	}
	var list []hfpeer.Peer
	for _, o := range peers {
		if now.Before(p.skipUntil[o.Name()]) {
			continue
		}
		if o.Name() == p.lastRelay {
			list = slices.Insert(list, 0, o)
			continue
		}
		list = append(list, o)
	}
	return list[:min(len(list), maxRelays)]
}

// recordSuccess records that the store answered a call relayed by an instance.
func (p *routes) recordSuccess(peer string) {
	p.lastRelay, p.retryAt = peer, time.Time{}
}

// skip excludes an instance from the candidates for the duration of backoff.
func (p *routes) skip(peer string, backoff time.Duration, now time.Time) {
	if p.skipUntil == nil {
		p.skipUntil = map[string]time.Time{}
	}
	p.skipUntil[peer] = now.Add(backoff)
	if p.lastRelay == peer {
		p.lastRelay = ""
	}
}

// recordAllFailed records that a call failed through all candidates.
func (p *routes) recordAllFailed(now time.Time) { p.retryAt = now.Add(allFailedBackoff) }
