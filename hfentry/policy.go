package hfentry

import (
	"slices"
	"strings"

	"github.com/heatherfront/heatherfront/hfwork"
)

// policy is a configuration with the indexes that requests need.
type policy struct {
	body    *hfwork.Policy
	byHost  map[string][]*hfwork.Queue // longest prefix first
	byKey   map[string]string          // account by key
	byQueue map[string]*hfwork.Queue
}

func newPolicy(body *hfwork.Policy) *policy {
	p := &policy{body: body, byHost: map[string][]*hfwork.Queue{}, byKey: map[string]string{}, byQueue: map[string]*hfwork.Queue{}}
	for _, q := range body.GetQueues() {
		p.byHost[q.GetHost()] = append(p.byHost[q.GetHost()], q)
		p.byQueue[q.GetName()] = q
	}
	for _, list := range p.byHost {
		slices.SortStableFunc(list, func(a, b *hfwork.Queue) int { return len(b.GetPrefix()) - len(a.GetPrefix()) })
	}
	for _, a := range body.GetAccounts() {
		for _, k := range a.GetKeys() {
			p.byKey[k] = a.GetName()
		}
	}
	return p
}

// match returns the queue of a path and the rest of the path.
func (p *policy) match(host, path string) (*hfwork.Queue, string) {
	if i := strings.LastIndexByte(host, ':'); i > 0 {
		host = host[:i]
	}
	for _, q := range p.byHost[strings.ToLower(host)] {
		if rest, ok := strings.CutPrefix(path, q.GetPrefix()); ok {
			return q, rest
		}
	}
	return nil, ""
}
