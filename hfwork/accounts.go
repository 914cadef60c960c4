package hfwork

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"

	"google.golang.org/protobuf/proto"
)

// Limits of an AccountHistory, whose record is one value in the store.
const (
	maxEraKeys    = 256  // API keys of an account by which a merge is recognized
	maxClosedEras = 1000 // accounts that no longer exist
)

// AccountHistory tells which account owns the jobs of an earlier account today. An account that a
// configuration no longer has was merged into the account that has its API keys now. A later account of
// the same name is another one. The zero value knows of no change. It is immutable.
type AccountHistory struct {
	record *Accounts
}

// NewAccountHistory returns the history with a stored record.
func NewAccountHistory(record *Accounts) AccountHistory { return AccountHistory{record: record} }

// Record returns the history in its stored form, nil for the zero value.
func (h AccountHistory) Record() *Accounts { return h.record }

// Version returns the version of the last configuration that the history includes.
func (h AccountHistory) Version() int64 { return h.record.GetVersion() }

// SameAccounts reports whether two histories differ at most in their version.
func (h AccountHistory) SameAccounts(o AccountHistory) bool {
	return slices.EqualFunc(h.record.GetEras(), o.record.GetEras(), func(a, b *Era) bool { return proto.Equal(a, b) })
}

// After returns the history with a later configuration.
func (h AccountHistory) After(p *Policy) AccountHistory {
	if h.record != nil && p.GetVersion() <= h.record.GetVersion() {
		return h
	}
	next := &Accounts{Version: p.GetVersion()}
	present := map[string][]uint64{}
	holders := map[uint64]string{}
	for _, a := range p.GetAccounts() {
		present[a.GetName()] = hashKeys(a.GetKeys())
		for _, key := range a.GetKeys() {
			holders[hashKey(key)] = a.GetName()
		}
	}
	open := map[string]bool{}
	for _, era := range h.record.GetEras() {
		e := proto.Clone(era).(*Era)
		keys, exists := present[e.GetName()]
		switch {
		case e.GetUntil() == 0 && exists:
			e.Keys, open[e.GetName()] = keys, true
		case e.GetUntil() == 0:
			e.Until = p.GetVersion()
		}
		if e.GetUntil() != 0 && e.GetInto() == "" {
			if e.Into = mostFrequent(e.GetKeys(), holders); e.Into != "" {
				e.Merged = p.GetVersion()
			}
		}
		next.Eras = append(next.Eras, e)
	}
	for _, a := range p.GetAccounts() {
		if !open[a.GetName()] {
			next.Eras = append(next.Eras, &Era{Name: a.GetName(), Since: p.GetVersion(), Keys: present[a.GetName()]})
			open[a.GetName()] = true
		}
	}
	slices.SortStableFunc(next.Eras, func(a, b *Era) int {
		return cmp.Or(cmp.Compare(a.GetSince(), b.GetSince()), cmp.Compare(a.GetName(), b.GetName()))
	})
	next.dropOldest()
	return AccountHistory{record: next}
}

// dropOldest drops the eras that ended first beyond maxClosedEras.
func (a *Accounts) dropOldest() {
	var ends []int64
	for _, e := range a.Eras {
		if e.GetUntil() != 0 {
			ends = append(ends, e.GetUntil())
		}
	}
	excess := len(ends) - maxClosedEras
	if excess <= 0 {
		return
	}
	slices.Sort(ends)
	a.Eras = slices.DeleteFunc(a.Eras, func(e *Era) bool {
		drop := excess > 0 && e.GetUntil() != 0 && e.GetUntil() <= ends[len(ends)-maxClosedEras-1]
		if drop {
			excess--
		}
		return drop
	})
}

// mostFrequent returns the account that holds most of the keys, the first by name if there are
// several, or "" if none holds one.
func mostFrequent(keys []uint64, holders map[uint64]string) string {
	counts := map[string]int{}
	best := ""
	for _, key := range keys {
		if name := holders[key]; name != "" {
			counts[name]++
		}
	}
	for name, n := range counts {
		if n > counts[best] || n == counts[best] && name < best {
			best = name
		}
	}
	return best
}

// Owner returns the account that owns what an account had when a version of the configuration was in
// force, or "" if that account was removed. An account that is not known owns it itself.
func (h AccountHistory) Owner(account string, version int64) string {
	for range len(h.record.GetEras()) + 1 {
		e := h.record.era(account, version)
		if e == nil || e.GetUntil() == 0 {
			return account
		}
		account, version = e.GetInto(), max(e.GetMerged(), version)
	}
	return ""
}

// era returns the last era of an account that had begun with a version, or else its first one.
func (a *Accounts) era(name string, version int64) *Era {
	var found *Era
	for _, e := range a.GetEras() {
		if e.GetName() == name && (found == nil || e.GetSince() <= version) {
			found = e
		}
	}
	return found
}

func hashKeys(keys []string) []uint64 {
	hashes := make([]uint64, 0, len(keys))
	for _, key := range keys {
		hashes = append(hashes, hashKey(key))
	}
	slices.Sort(hashes)
	return hashes[:min(len(hashes), maxEraKeys)]
}

func hashKey(key string) uint64 {
	sum := sha256.Sum256([]byte(key))
	return binary.BigEndian.Uint64(sum[:])
}
