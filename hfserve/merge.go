package hfserve

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/heatherfront/heatherfront/hfaccount"
	"github.com/heatherfront/heatherfront/hfconfig"
	"github.com/heatherfront/heatherfront/hfevent"
)

const (
	mergeInterval = time.Second
	mergeTimeout  = 5 * time.Second
)

// mergeLoop carries out the merges in the commit phase that this instance owns. If this
// instance fails, the next owner continues from the steps that are stored.
func (s *Server) mergeLoop(ctx context.Context) error {
	return every(ctx, mergeInterval, func(ctx context.Context) {
		for name, m := range s.View().Merges() {
			if m.Phase == hfconfig.PhaseCommit && s.owns("merge/"+name, s.livePeers(), "", "") {
				s.advanceMerge(ctx, name)
			}
		}
	})
}

// advanceMerge writes the remaining steps of a merge in order.
func (s *Server) advanceMerge(ctx context.Context, name string) {
	for ctx.Err() == nil && !s.stopping.Load() {
		view := s.View()
		step, ok := hfaccount.NextStep(view, name)
		if !ok {
			return
		}
		if err := s.writeMergeStep(ctx, view, step); err != nil {
			s.log.Event(hfevent.MergeFailed, zap.String("merge", name), zap.Error(err))
			return
		}
		s.log.Event(hfevent.MergeStep, zap.String("merge", name), zap.String("key", step.Key()))
		if step.Kind() == hfconfig.KindMerge {
			s.log.Event(hfevent.MergeDone, zap.String("merge", name))
		}
	}
}

// writeMergeStep stores one step if its resource still has the revision in v, the view
// from which the step was computed.
func (s *Server) writeMergeStep(ctx context.Context, v *hfconfig.View, step hfconfig.Resource) error {
	ctx, cancel := context.WithTimeout(ctx, mergeTimeout)
	defer cancel()
	current, _ := v.Find(step.Kind(), step.Name())
	written, err := hfconfig.Write(ctx, s.store, step, current.Revision())
	if err != nil {
		return eris.Wrap(err, "write merge step")
	}
	s.applyConfig(ctx, hfconfig.Learned(written))
	return nil
}
