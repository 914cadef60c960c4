package hfserve

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/heatherfront/heatherfront/hfaccount"
	"github.com/heatherfront/heatherfront/hfapi"
	"github.com/heatherfront/heatherfront/hfconfig"
	"github.com/heatherfront/heatherfront/hfevent"
	"github.com/heatherfront/heatherfront/hfgang"
	"github.com/heatherfront/heatherfront/hfloop"
	"github.com/heatherfront/heatherfront/hfpeer"
	"github.com/heatherfront/heatherfront/hfstore"
	"github.com/heatherfront/heatherfront/hfwire"
)

const (
	watchRetryDelay   = 500 * time.Millisecond // before the store is called again after a failure or an outdated list
	configPullTimeout = 2 * time.Second
)

// watchLoop keeps one watch on the store, for the configuration and the leader records.
func (s *Server) watchLoop(ctx context.Context) error {
	after, storeDown := int64(-1), false
	for ctx.Err() == nil {
		next, err := s.listOrWatch(ctx, after)
		if err == nil {
			after = next
			s.lastStoreContact.Store(time.Now().UnixNano())
			if storeDown {
				s.log.Event(hfevent.StoreUp)
			}
			storeDown = false
			continue
		}
		if errors.Is(err, hfstore.ErrCompacted) {
			after = -1
		}
		if !storeDown && ctx.Err() == nil && !errors.Is(err, hfstore.ErrCompacted) {
			storeDown = true
			s.log.Event(hfevent.StoreDown, zap.Error(err))
		}
		hfloop.Sleep(ctx, watchRetryDelay)
	}
	return nil
}

// listOrWatch lists all watched keys if after is negative, and otherwise waits for
// changes after that revision. It returns the revision to continue from.
func (s *Server) listOrWatch(ctx context.Context, after int64) (int64, error) {
	if after < 0 {
		items, revision, err := s.store.List(ctx, hfconfig.WatchPrefix)
		if err != nil {
			return after, fmt.Errorf("list watched keys: %w", err)
		}
		s.handleItems(ctx, items, revision, true)
		if hfloop.With(s.config, (*hfconfig.State).StoreStale) {
			hfloop.Sleep(ctx, watchRetryDelay)
			return -1, nil // list again until the store has caught up
		}
		return revision, nil
	}
	items, revision, err := s.store.Watch(ctx, hfconfig.WatchPrefix, after)
	if err != nil {
		return after, fmt.Errorf("watch: %w", err)
	}
	s.handleItems(ctx, items, revision, false)
	return revision, nil
}

// handleItems applies items of the store to the leader records and the configuration.
// listed marks a complete list.
func (s *Server) handleItems(ctx context.Context, items []hfstore.Item, revision int64, listed bool) {
	s.updateLeaderRecords(items, listed)
	resources, errs := hfconfig.DecodeItems(items)
	for _, err := range errs {
		s.log.Event(hfevent.ConfigRejected, zap.Error(err))
	}
	if listed {
		s.applyConfig(ctx, hfconfig.Listed(resources, revision))
		return
	}
	s.applyConfig(ctx, hfconfig.Watched(resources, revision))
}

// applyConfig applies a message to the configuration, and notifies everything that
// depends on the accounts if the configuration changed.
func (s *Server) applyConfig(ctx context.Context, msg hfconfig.Msg) {
	now := time.Now()
	var view *hfconfig.View
	cmds := hfloop.With(s.config, func(c *hfconfig.State) []hfconfig.Cmd {
		out := c.Update(msg, now)
		if err := c.Check(); err != nil {
			s.recordViolation(err)
		}
		view = c.View()
		if len(out) > 0 {
			s.accounts.Store(hfaccount.NewDirectory(view))
		}
		return out
	})
	applied := false
	for _, cmd := range cmds {
		switch c := cmd.(type) {
		case hfconfig.AppliedCmd:
			applied = true
			s.log.Event(hfevent.ConfigApplied, zap.String("key", c.Resource().Key()), zap.Int64("revision", c.Resource().Revision()))
		case hfconfig.StaleStoreCmd:
			s.log.Event(hfevent.StoreReverted, zap.Int64("have", c.HighestRevision()), zap.Int64("shown", c.StoreRevision()))
		}
	}
	if applied {
		s.notifyConfigChanged()
		s.sendToLeaders(ctx, hfgang.Accounts(s.Accounts()))
	}
}

// notifyConfigChanged wakes the goroutines that wait on ConfigChanged.
func (s *Server) notifyConfigChanged() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.configChanged)
	s.configChanged = make(chan struct{})
}

// ConfigChanged returns a channel that is closed at the next change of the
// configuration.
func (s *Server) ConfigChanged() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.configChanged
}

// syncConfig pulls a peer's newer resources if the digests of the two configurations
// differ. If they are equal, the configuration here is also complete up to the peer's
// revision.
func (s *Server) syncConfig(ctx context.Context, p hfpeer.Peer, beat *hfwire.Beat) {
	same := hfloop.With(s.config, func(c *hfconfig.State) bool {
		if c.Digest() != beat.GetDigest() {
			return false
		}
		c.Update(hfconfig.PeerDigest(beat.GetDigest(), beat.GetRevision()), time.Now())
		return true
	})
	if same || beat.GetDigest() == 0 {
		return
	}
	s.group.Go(func() error {
		s.pullConfig(context.WithoutCancel(ctx), p)
		return nil
	})
}

// pullConfig applies the resources that a peer has in a newer revision.
func (s *Server) pullConfig(ctx context.Context, p hfpeer.Peer) {
	ctx, cancel := context.WithTimeout(ctx, configPullTimeout)
	defer cancel()
	out := s.links.Envelope()
	out.Body = &hfwire.Envelope_Pull{Pull: &hfwire.Pull{Have: hfloop.With(s.config, (*hfconfig.State).Revisions)}}
	in, err := s.links.Call(ctx, p, out)
	if err != nil {
		return // the next heartbeat detects the difference again
	}
	var resources []hfconfig.Resource
	for _, r := range in.GetPush().GetResources() {
		resource, err := hfconfig.Decode(r.GetKey(), r.GetRevision(), r.GetValue())
		if err != nil {
			s.log.Event(hfevent.ConfigRejected, zap.Error(err))
			continue
		}
		resources = append(resources, resource)
	}
	s.applyConfig(ctx, hfconfig.Learned(resources...))
}

// handlePull returns the resources that a peer lacks or has in an older revision.
func (s *Server) handlePull(in *hfwire.Envelope) *hfwire.Envelope {
	push := &hfwire.Push{}
	newer := hfloop.With(s.config, func(c *hfconfig.State) []hfconfig.Resource { return c.NewerThan(in.GetPull().GetHave()) })
	for _, r := range newer {
		value, err := r.Encode("")
		if err != nil {
			continue
		}
		push.Resources = append(push.Resources, &hfwire.Resource{Key: r.Key(), Revision: r.Revision(), Value: value})
	}
	out := s.links.Envelope()
	out.Body = &hfwire.Envelope_Push{Push: push}
	return out
}

// WriteResource implements hfapi.Backend. It stores a changed resource and applies it
// here. expected is the revision that the operator saw, or 0 for the one in force here.
func (s *Server) WriteResource(ctx context.Context, r hfconfig.Resource, expected int64) (hfconfig.Resource, error) {
	view, stale := hfloop.With2(s.config, func(c *hfconfig.State) (*hfconfig.View, bool) { return c.View(), c.StoreStale() })
	if stale {
		return hfconfig.Resource{}, hfconfig.ErrStaleStore
	}
	current, found := view.Find(r.Kind(), r.Name())
	if r.Deleted() && (!found || current.Deleted()) {
		return hfconfig.Resource{}, fmt.Errorf("%w: %s %s", hfconfig.ErrNotFound, r.Kind(), r.Name())
	}
	if expected != 0 && expected != current.Revision() {
		return hfconfig.Resource{}, fmt.Errorf("%w: it is at %d", hfconfig.ErrRevisionConflict, current.Revision())
	}
	if err := view.Admit(r); err != nil {
		return hfconfig.Resource{}, fmt.Errorf("admit %s %s: %w", r.Kind(), r.Name(), err)
	}
	if err := s.checkGuaranteesFit(view.With(r), r); err != nil {
		return hfconfig.Resource{}, fmt.Errorf("admit %s %s: %w", r.Kind(), r.Name(), err)
	}
	if err := s.checkStoreCurrent(ctx, r.Key()); err != nil {
		return hfconfig.Resource{}, fmt.Errorf("look at the store: %w", err)
	}
	written, err := hfconfig.Write(ctx, s.store, r, current.Revision())
	if err != nil {
		return hfconfig.Resource{}, fmt.Errorf("store %s %s: %w", r.Kind(), r.Name(), err)
	}
	s.log.Event(hfevent.ConfigAccepted, zap.String("key", written.Key()), zap.Int64("revision", written.Revision()))
	s.applyConfig(ctx, hfconfig.Learned(written))
	return written, nil
}

// checkStoreCurrent refuses a write to a store that was reset to an older state, before
// the watch has noticed it. It costs one small read for each change of the
// configuration.
func (s *Server) checkStoreCurrent(ctx context.Context, key string) error {
	highest := hfloop.With(s.config, (*hfconfig.State).HighestRevision)
	_, revision, err := s.store.List(ctx, key)
	if err != nil {
		return fmt.Errorf("%w: nothing was written: %w", hfapi.ErrNotRun, err)
	}
	if revision < highest {
		return hfconfig.ErrStaleStore
	}
	return nil
}

// checkGuaranteesFit refuses an account whose guarantees cannot be placed side by side
// with all others even if every worker is idle.
func (s *Server) checkGuaranteesFit(v *hfconfig.View, r hfconfig.Resource) error {
	account, ok := r.Spec().(*hfconfig.Account)
	if !ok {
		return nil
	}
	workers := s.workersByName()
	for i, g := range account.Guarantees {
		layout := hfgang.NewLayout(g.Domain, workers)
		if !layout.Fits(guaranteeSizes(v, g.Domain)) {
			return fmt.Errorf("%w: spec.guarantees[%d]: the guarantees of all accounts do not fit side by side on the %d accelerators of domain %s",
				hfconfig.ErrInvalid, i, layout.Total(), g.Domain)
		}
	}
	return nil
}

// guaranteeSizes returns the sizes of all guaranteed blocks in a failure domain.
func guaranteeSizes(v *hfconfig.View, domain string) []int {
	var sizes []int
	for _, e := range hfaccount.NewDirectory(v).All() {
		for _, g := range e.Guarantees() {
			for range g.Count {
				if g.Domain == domain {
					sizes = append(sizes, g.Size)
				}
			}
		}
	}
	return sizes
}

// View returns the configuration in force.
func (s *Server) View() *hfconfig.View {
	return hfloop.With(s.config, (*hfconfig.State).View)
}

// Applied implements hfapi.Backend. It reports for each known instance whether
// everything up to a revision is in force there.
func (s *Server) Applied(revision int64) map[string]bool {
	digest, complete := hfloop.With2(s.config, func(c *hfconfig.State) (uint64, int64) {
		return c.Digest(), max(c.CompleteRevision(), c.HighestRevision())
	})
	applied := map[string]bool{s.settings.Name(): complete >= revision}
	for _, p := range hfloop.With(s.members, (*hfpeer.State).Known) {
		if strings.TrimSpace(p.Incarnation()) == "" {
			applied[p.Name()] = false
			continue
		}
		applied[p.Name()] = p.Revision() >= revision || (complete >= revision && p.Digest() == digest)
	}
	return applied
}
