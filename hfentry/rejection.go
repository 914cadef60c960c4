package hfentry

import (
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/heatherfront/heatherfront/hfevent"
	"github.com/heatherfront/heatherfront/hfstore"
)

const maxKeyBytes = 200 // of a logged key; the store accepts no longer ones

// rejection describes an entry in the store that is invalid, or a part of which is.
type rejection struct {
	hfevent.Rejection
	revision int64 // 0 if it is not known
}

// reject records that an entry is invalid.
func (m *Mirror) reject(i hfstore.Item, err error) *rejection {
	return &rejection{Rejection: m.rejected.Reject(i.Key(), err.Error()), revision: i.Version()}
}

// reportRejection counts a rejected entry, and logs it unless it is a repetition.
func (n *Node) reportRejection(r *rejection) {
	metrics.GetOrRegisterCounter("entry.rejected", n.registry).Inc(1)
	if !r.Repeated() {
		n.log.Event(hfevent.EntryRejected, zap.String("key", r.Key()), zap.Int64("revision", r.revision), zap.String("error", r.Reason()))
	}
}
