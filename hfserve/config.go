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
	watchPause  = 500 * time.Millisecond // before the store is asked again after a failure
	pullTimeout = 2 * time.Second
)

// watchConfig keeps one watch on the store: on the resources and on who leads.
func (s *Server) watchConfig(ctx context.Context) error {
	after, down := int64(-1), false
	for ctx.Err() == nil {
		next, err := s.watchOnce(ctx, after)
		if err == nil {
			after = next
			s.lastSeen.Store(time.Now().UnixNano())
			if down {
				s.log.Event(hfevent.StoreUp)
			}
			down = false
			continue
		}
		if errors.Is(err, hfstore.ErrCompacted) {
			after = -1
		}
		if !down && ctx.Err() == nil && !errors.Is(err, hfstore.ErrCompacted) {
			down = true
			s.log.Event(hfevent.StoreDown, zap.Error(err))
		}
		hfloop.Pause(ctx, watchPause)
	}
	return nil
}

// watchOnce lists everything, or waits for what came after a revision. It returns
// the revision to go on from.
func (s *Server) watchOnce(ctx context.Context, after int64) (int64, error) {
	if after < 0 {
		items, revision, err := s.store.List(ctx, hfconfig.WatchPrefix)
		if err != nil {
			return after, fmt.Errorf("list watched keys: %w", err)
		}
		s.takeItems(ctx, items, revision, true)
		if hfloop.With(s.config, (*hfconfig.State).Older) {
			hfloop.Pause(ctx, watchPause)
			return -1, nil // looks at the whole again until the store is no longer behind
		}
		return revision, nil
	}
	items, revision, err := s.store.Watch(ctx, hfconfig.WatchPrefix, after)
	if err != nil {
		return after, fmt.Errorf("watch: %w", err)
	}
	s.takeItems(ctx, items, revision, false)
	return revision, nil
}

func (s *Server) takeItems(ctx context.Context, items []hfstore.Item, revision int64, listed bool) {
	s.takeLeads(items, listed)
	resources, bad := hfconfig.DecodeItems(items)
	for _, err := range bad {
		s.log.Event(hfevent.ConfigRejected, zap.Error(err))
	}
	if listed {
		s.apply(ctx, hfconfig.Listed(resources, revision))
		return
	}
	s.apply(ctx, hfconfig.Watched(resources, revision))
}

// apply brings a message into force and tells everything that depends on the
// accounts.
func (s *Server) apply(ctx context.Context, msg hfconfig.Msg) {
	now := time.Now()
	var view *hfconfig.View
	cmds := hfloop.With(s.config, func(c *hfconfig.State) []hfconfig.Cmd {
		out := c.Update(msg, now)
		if err := c.Check(); err != nil {
			s.broken(err)
		}
		view = c.View()
		if len(out) > 0 {
			s.book.Store(hfaccount.NewBook(view))
		}
		return out
	})
	applied := false
	for _, cmd := range cmds {
		switch c := cmd.(type) {
		case hfconfig.AppliedCmd:
			applied = true
			s.log.Event(hfevent.ConfigApplied, zap.String("key", c.Resource().Key()), zap.Int64("revision", c.Resource().Revision()))
		case hfconfig.OlderCmd:
			s.log.Event(hfevent.StoreOlder, zap.Int64("have", c.Have()), zap.Int64("shown", c.Shown()))
		}
	}
	if applied {
		s.signal()
		s.tellLeaders(ctx, hfgang.Accounts(s.Accounts()))
	}
}

// signal wakes those who wait for a change.
func (s *Server) signal() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}

// ConfigChanged returns a channel that is closed at the next change.
func (s *Server) ConfigChanged() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// compareConfig asks a peer for what it has and this instance lacks, when their
// digests differ.
func (s *Server) compareConfig(ctx context.Context, p hfpeer.Peer, beat *hfwire.Beat) {
	same := hfloop.With(s.config, func(c *hfconfig.State) bool {
		if c.Digest() != beat.GetDigest() {
			return false
		}
		c.Update(hfconfig.Agreed(beat.GetDigest(), beat.GetRevision()), time.Now())
		return true
	})
	if same || beat.GetDigest() == 0 {
		return
	}
	s.group.Go(func() error {
		s.pull(context.WithoutCancel(ctx), p)
		return nil
	})
}

func (s *Server) pull(ctx context.Context, p hfpeer.Peer) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	out := s.links.Envelope()
	out.Body = &hfwire.Envelope_Pull{Pull: &hfwire.Pull{Have: hfloop.With(s.config, (*hfconfig.State).Have)}}
	in, err := s.links.Call(ctx, p, out)
	if err != nil {
		return // the next beat shows the difference again
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
	s.apply(ctx, hfconfig.Learned(resources...))
}

// givePull answers a peer's pull.
func (s *Server) givePull(in *hfwire.Envelope) *hfwire.Envelope {
	push := &hfwire.Push{}
	newer := hfloop.With(s.config, func(c *hfconfig.State) []hfconfig.Resource { return c.Newer(in.GetPull().GetHave()) })
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

// WriteResource stores a change and brings it into force here. expected is the revision
// that the operator saw, or 0 for the one in force here.
func (s *Server) WriteResource(ctx context.Context, r hfconfig.Resource, expected int64) (hfconfig.Resource, error) {
	view, older := hfloop.With2(s.config, func(c *hfconfig.State) (*hfconfig.View, bool) { return c.View(), c.Older() })
	if older {
		return hfconfig.Resource{}, hfconfig.ErrOlderStore
	}
	current, found := view.Find(r.Kind(), r.Name())
	if r.Deleted() && (!found || current.Deleted()) {
		return hfconfig.Resource{}, fmt.Errorf("%w: %s %s", hfconfig.ErrMissing, r.Kind(), r.Name())
	}
	if expected != 0 && expected != current.Revision() {
		return hfconfig.Resource{}, fmt.Errorf("%w: it is at %d", hfconfig.ErrStale, current.Revision())
	}
	if err := view.Admit(r); err != nil {
		return hfconfig.Resource{}, fmt.Errorf("admit %s %s: %w", r.Kind(), r.Name(), err)
	}
	if err := s.admitGuarantees(view.With(r), r); err != nil {
		return hfconfig.Resource{}, fmt.Errorf("admit %s %s: %w", r.Kind(), r.Name(), err)
	}
	if err := s.storeIsCurrent(ctx, r.Key()); err != nil {
		return hfconfig.Resource{}, fmt.Errorf("look at the store: %w", err)
	}
	written, err := hfconfig.Write(ctx, s.store, r, current.Revision())
	if err != nil {
		return hfconfig.Resource{}, fmt.Errorf("store %s %s: %w", r.Kind(), r.Name(), err)
	}
	s.log.Event(hfevent.ConfigAccepted, zap.String("key", written.Key()), zap.Int64("revision", written.Revision()))
	s.apply(ctx, hfconfig.Learned(written))
	return written, nil
}

// storeIsCurrent refuses a write to a store that was set back, before the watch has
// noticed it. It costs one small read for each change of the configuration.
func (s *Server) storeIsCurrent(ctx context.Context, key string) error {
	highest := hfloop.With(s.config, (*hfconfig.State).Highest)
	_, revision, err := s.store.List(ctx, key)
	if err != nil {
		return fmt.Errorf("%w: nothing was written: %w", hfapi.ErrNotRun, err)
	}
	if revision < highest {
		return hfconfig.ErrOlderStore
	}
	return nil
}

// admitGuarantees refuses an account whose guarantees could not lie side by side
// with all others although every worker were idle.
func (s *Server) admitGuarantees(v *hfconfig.View, r hfconfig.Resource) error {
	account, ok := r.Spec().(*hfconfig.Account)
	if !ok {
		return nil
	}
	rows := s.workerRows()
	for i, g := range account.Guarantees {
		layout := hfgang.NewLayout(g.Domain, rows)
		if !layout.Fits(domainSizes(v, g.Domain)) {
			return fmt.Errorf("%w: spec.guarantees[%d]: the guarantees of all accounts do not fit side by side on the %d accelerators of domain %s",
				hfconfig.ErrInvalid, i, layout.Total(), g.Domain)
		}
	}
	return nil
}

func domainSizes(v *hfconfig.View, domain string) []int {
	var sizes []int
	for _, t := range hfaccount.NewBook(v).All() {
		for _, g := range t.Guarantees() {
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

// Applied tells for each live instance whether everything up to a revision is in
// force there.
func (s *Server) Applied(revision int64) map[string]bool {
	digest, complete := hfloop.With2(s.config, func(c *hfconfig.State) (uint64, int64) {
		return c.Digest(), max(c.Complete(), c.Highest())
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
