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

const (
	// maxPolicyAge is the age of the configuration beyond which it decides nothing before it is
	// confirmed. Operators expect a change, and the end of a withdrawn key, to be in force within 2.5 s.
	maxPolicyAge = 2500 * time.Millisecond
	// maxPolicySilence is the age from which on the configuration is read beside its watch, which is
	// answered every 1.5 s. It leaves time for the read.
	maxPolicySilence    = 1900 * time.Millisecond
	policyCheckInterval = 100 * time.Millisecond
)

// keepPolicyFresh reads the configuration whenever its watch is silent, until ctx ends. A watch finds
// out late that it waits for nothing, as on a connection that has gone silent.
func (n *Node) keepPolicyFresh(ctx context.Context) {
	for hfloop.Sleep(ctx, policyCheckInterval) {
		if n.policyWatch.synced.Load() && n.policyWatch.age(hflease.Now()) > maxPolicySilence {
			_ = n.readPolicy(ctx) // repeated in the next round
		}
	}
}

// AdmitChange admits a call that changes something, like Admit. It fails with ErrNotDone if the
// configuration is too old and cannot be confirmed.
func (n *Node) AdmitChange(ctx context.Context, host, path, key string) (Access, error) {
	err := n.ConfirmPolicy(ctx)
	if errors.Is(err, ErrNotDone) {
		// The earlier configuration tells how urgent the call is.
		if a, admitErr := n.Admit(host, path, key); admitErr == nil {
			err = n.hold(ctx, a.queue, 0, 0, err, func() error { return n.ConfirmPolicy(ctx) })
		}
	}
	if err != nil {
		return Access{}, fmt.Errorf("admit: %w", err)
	}
	return n.Admit(host, path, key)
}

// AdmitRead admits a call that changes nothing, like Admit. While the configuration is too old and
// cannot be confirmed, it admits by the old one, but fails with ErrNotDone where that admits nothing:
// the queue or key may have been added since.
func (n *Node) AdmitRead(ctx context.Context, host, path, key string) (Access, error) {
	unconfirmed := n.ConfirmPolicy(ctx)
	access, err := n.Admit(host, path, key)
	if err != nil && unconfirmed != nil {
		return Access{}, fmt.Errorf("admit: %w", unconfirmed)
	}
	return access, err
}

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
	if n.health.Down() {
		return fmt.Errorf("confirm configuration: %w", ErrNotDone) // keepPolicyFresh tries again
	}
	return n.readPolicy(ctx)
}

// readPolicy reads and applies the configuration, once for all that call it at the same time. It
// fails with ErrNotDone if the store does not answer.
func (n *Node) readPolicy(ctx context.Context) error {
	_, err, _ := n.policyReads.Do("", func() (any, error) {
		call, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeTimeout)
		defer cancel()
		sent := hflease.Now()
		item, err := n.store.Get(call, n.formats.PolicyKey())
		n.health.Record(err, time.Now())
		if err != nil && !errors.Is(err, hfstore.ErrNotFound) {
			return nil, fmt.Errorf("%w: confirm configuration: %w", ErrNotDone, err)
		}
		if err == nil {
			n.applyItem(item)
		}
		n.confirm(&n.policyWatch, sent, confirmedByRead)
		return nil, nil
	})
	if err != nil {
		return fmt.Errorf("read configuration: %w", err)
	}
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
