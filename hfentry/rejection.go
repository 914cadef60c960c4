package hfentry

import (
	"strings"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/heatherfront/heatherfront/hfevent"
	"github.com/heatherfront/heatherfront/hfstore"
)

const (
	// maxRejectedEntries bounds the entries whose last rejection is remembered. Rejections of
	// further entries are counted, but not logged.
	maxRejectedEntries = 1000
	maxReasonBytes     = 300 // of a logged reason, which can quote the entry
	maxKeyBytes        = 200 // of a logged key; the store accepts no longer ones
)

// rejection describes an entry in the store that is invalid, or a part of which is.
type rejection struct {
	key      string
	revision int64 // 0 if it is not known
	reason   string
	repeated bool // the entry was last rejected for the same reason
}

// reject records that an entry is invalid. Workers write their entries at every heartbeat: an
// entry that stays invalid for the same reason is a repetition.
func (m *Mirror) reject(i hfstore.Item, err error) *rejection {
	r := &rejection{key: shorten(i.Key(), maxKeyBytes), revision: i.Version(), reason: shorten(err.Error(), maxReasonBytes)}
	last, known := m.rejected[r.key]
	r.repeated = last == r.reason || (!known && len(m.rejected) >= maxRejectedEntries)
	if !r.repeated {
		m.rejected[r.key] = r.reason
	}
	return r
}

// forgetRejections drops the rejections below a prefix of entries that are no longer listed.
func (m *Mirror) forgetRejections(prefix string, items []hfstore.Item) {
	listed := map[string]bool{}
	for _, i := range items {
		listed[shorten(i.Key(), maxKeyBytes)] = true
	}
	for key := range m.rejected {
		if strings.HasPrefix(key, prefix) && !listed[key] {
			delete(m.rejected, key)
		}
	}
}

// reportRejection counts a rejected entry, and logs it unless it is a repetition.
func (n *Node) reportRejection(r *rejection) {
	metrics.GetOrRegisterCounter("entry.rejected", n.registry).Inc(1)
	if !r.repeated {
		n.log.Event(hfevent.EntryRejected, zap.String("key", r.key), zap.Int64("revision", r.revision), zap.String("error", r.reason))
	}
}

// shorten returns the first n bytes of s as valid UTF-8.
func shorten(s string, n int) string {
	if len(s) > n {
		s = s[:n]
	}
	return strings.ToValidUTF8(s, "?")
}
