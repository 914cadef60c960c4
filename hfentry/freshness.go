package hfentry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/heatherfront/heatherfront/hfevent"
	"github.com/heatherfront/heatherfront/hflease"
	"github.com/heatherfront/heatherfront/hfloop"
	"github.com/heatherfront/heatherfront/hfstore"
)

// Calls that confirm the configuration, as logged.
const (
	confirmedByWatch = "watch"
	confirmedByList  = "list"
	confirmedByRead  = "read"
)

// maxPolicyAge is the age of the configuration beyond which calls that change something are not
// admitted before it was read again. Without disruption, the watch confirms it every 1.5 s; operators
// expect a new configuration, and the end of a withdrawn key, to be in force within 2.5 s.
const maxPolicyAge = 2500 * time.Millisecond

// ConfirmPolicy reads the configuration again if its last confirmation is older than maxPolicyAge, as
// after a pause of the process. It fails with ErrNotReady before the first configuration, and with
// ErrNotDone if the store does not answer.
func (n *Node) ConfirmPolicy(ctx context.Context) error {
	if !n.policyWatch.synced.Load() {
		return ErrNotReady
	}
	if n.policyWatch.age(hflease.Now()) <= maxPolicyAge {
		return nil
	}
	if !n.health.Allow(time.Now()) {
		return fmt.Errorf("confirm configuration: %w", ErrNotDone)
	}
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	sent := hflease.Now()
	item, err := n.store.Get(call, n.formats.PolicyKey())
	n.health.Record(err, time.Now())
	if err != nil && !errors.Is(err, hfstore.ErrNotFound) {
		return fmt.Errorf("%w: confirm configuration: %w", ErrNotDone, err)
	}
	if err == nil {
		n.applyItem(item)
	}
	n.confirm(&n.policyWatch, sent, confirmedByRead)
	return nil
}

// confirm records that a call of a watch's prefix that was sent at the given time was answered. It
// logs the end of a time in which the configuration was not confirmed.
func (n *Node) confirm(w *prefixWatch, sent time.Time, by string) {
	age, first := w.age(hflease.Now()), w.confirmedAt.Load() == 0
	w.confirm(sent)
	if w == &n.policyWatch && !first && age > maxPolicyAge {
		n.log.Event(hfevent.PolicyConfirmed, zap.Duration("age", age), zap.String("by", by))
	}
}

// PolicyState returns the version of the configuration in force, 0 if there is none, and its age since
// it was last confirmed.
func (n *Node) PolicyState() (version int64, age time.Duration) {
	policy := hfloop.With(n.mirror, func(m *Mirror) *policyIndex { return m.policy })
	if policy == nil {
		return 0, 0
	}
	return policy.config.GetVersion(), n.policyWatch.age(hflease.Now())
}
