package hfentry

import (
	"errors"
	"slices"
	"strings"

	"github.com/heatherfront/heatherfront/hfwork"
)

// policyIndex is a configuration of the queues with indexes for the lookups of requests.
type policyIndex struct {
	config        *hfwork.Policy
	queuesByHost  map[string][]*hfwork.Queue // by host in lower case, longest prefix first
	accountsByKey map[string]string          // account name by key
	queuesByName  map[string]*hfwork.Queue
}

func newPolicyIndex(config *hfwork.Policy) *policyIndex {
	p := &policyIndex{config: config, queuesByHost: map[string][]*hfwork.Queue{}, accountsByKey: map[string]string{}, queuesByName: map[string]*hfwork.Queue{}}
	for _, q := range config.GetQueues() {
		host := strings.ToLower(q.GetHost())
		p.queuesByHost[host] = append(p.queuesByHost[host], q)
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

// PartKind is a kind of the parts of a configuration.
type PartKind string

// The kinds of parts.
const (
	PartQueue   PartKind = "queue"
	PartPool    PartKind = "pool"
	PartAccount PartKind = "account"
	PartLimits  PartKind = "limits"
)

// InvalidPart is a part of a configuration that is invalid.
type InvalidPart struct {
	kind PartKind
	name string
	err  error
}

// NewInvalidPart returns an invalid part. name is "" if it is not known.
func NewInvalidPart(kind PartKind, name string, err error) InvalidPart {
	return InvalidPart{kind: kind, name: name, err: err}
}

// Name returns the name of the part, or "" if it is not known.
func (p InvalidPart) Name() string { return p.name }

// Err returns why the part is invalid.
func (p InvalidPart) Err() error { return p.err }

// joinInvalid returns why parts are invalid, or nil if there are none.
func joinInvalid(parts []InvalidPart) error {
	errs := make([]error, 0, len(parts))
	for _, part := range parts {
		errs = append(errs, part.err)
	}
	return errors.Join(errs...)
}

// keepInvalidParts adds to a new configuration, for each of its parts that are invalid, the part
// of the same name in the previous one.
func keepInvalidParts(p, previous *hfwork.Policy, invalid []InvalidPart) {
	for _, part := range invalid {
		switch part.kind {
		case PartQueue:
			p.Queues = append(p.Queues, findMissing(p.Queues, previous.GetQueues(), part.name)...)
		case PartPool:
			p.Pools = append(p.Pools, findMissing(p.Pools, previous.GetPools(), part.name)...)
		case PartAccount:
			// First, so that a key that another account has in the new configuration belongs to that one.
			p.Accounts = append(findMissing(p.Accounts, previous.GetAccounts(), part.name), p.Accounts...)
		case PartLimits:
			p.Body = previous.GetBody()
		}
	}
}

// findMissing returns the previous part with a name unless the list has one.
func findMissing[T interface{ GetName() string }](list, previous []T, name string) []T {
	named := func(part T) bool { return part.GetName() == name }
	if i := slices.IndexFunc(previous, named); i >= 0 && !slices.ContainsFunc(list, named) {
		return []T{previous[i]}
	}
	return nil
}
