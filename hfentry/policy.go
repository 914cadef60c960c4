package hfentry

import (
	"slices"
	"strings"

	"github.com/heatherfront/heatherfront/hfwork"
)

// policyIndex is a configuration of the queues with indexes for the lookups of requests.
type policyIndex struct {
	config        *hfwork.Policy
	queuesByHost  map[string][]*hfwork.Queue // by host, longest prefix first
	accountsByKey map[string]string          // account name by key
	queuesByName  map[string]*hfwork.Queue
}

func newPolicyIndex(config *hfwork.Policy) *policyIndex {
	p := &policyIndex{config: config, queuesByHost: map[string][]*hfwork.Queue{}, accountsByKey: map[string]string{}, queuesByName: map[string]*hfwork.Queue{}}
	for _, q := range config.GetQueues() {
		p.queuesByHost[q.GetHost()] = append(p.queuesByHost[q.GetHost()], q)
		p.queuesByName[q.GetName()] = q
	}
	for _, queues := range p.queuesByHost {
		slices.SortStableFunc(queues, func(a, b *hfwork.Queue) int { return len(b.GetPrefix()) - len(a.GetPrefix()) })
	}
	for _, a := range config.GetAccounts() {
		for _, k := range a.GetKeys() {
			p.accountsByKey[k] = a.GetName()
		}
	}
	return p
}

// matchQueue returns the queue that serves a host and path, and the path after the queue's
// prefix. It returns nil if there is none.
func (p *policyIndex) matchQueue(host, path string) (*hfwork.Queue, string) {
	if i := strings.LastIndexByte(host, ':'); i > 0 {
		host = host[:i]
	}
	for _, q := range p.queuesByHost[strings.ToLower(host)] {
		if rest, ok := strings.CutPrefix(path, q.GetPrefix()); ok {
			return q, rest
		}
	}
	return nil, ""
}
