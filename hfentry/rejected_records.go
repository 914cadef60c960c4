package hfentry

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/heatherfront/heatherfront/hfevent"
	"github.com/heatherfront/heatherfront/hfplan"
	"github.com/heatherfront/heatherfront/hfstore"
)

// writeSeparately writes the changes of a batch that the store has rejected one by one, and
// remembers those that it rejects again.
func (f *fencedWriter) writeSeparately(ctx context.Context, changes []keyChange) error {
	for _, c := range changes {
		rejection := f.writeChanges(ctx, []keyChange{c})
		if rejection == nil {
			continue
		}
		if !errors.Is(rejection, hfstore.ErrInvalid) {
			return fmt.Errorf("write separately: %w", rejection)
		}
		// A store that rejects every write says nothing about this one.
		if err := f.write(ctx, &hfstore.Batch{}); err != nil {
			return fmt.Errorf("write separately: %w: %w", hfstore.ErrUnavailable, err)
		}
		f.rejected[c.key] = c.value
		f.onReject(c.key, rejection)
	}
	return nil
}

// isRejected reports whether the store has rejected a change.
func (f *fencedWriter) isRejected(c keyChange) bool {
	value, ok := f.rejected[c.key]
	return ok && bytes.Equal(value, c.value)
}

// withoutRejected returns the groups without the changes that the store has rejected before.
func (f *fencedWriter) withoutRejected(groups [][]keyChange) [][]keyChange {
	if len(f.rejected) == 0 {
		return groups
	}
	accepted := make([][]keyChange, 0, len(groups))
	for _, group := range groups {
		accepted = append(accepted, slices.DeleteFunc(slices.Clone(group), f.isRejected))
	}
	return accepted
}

// rejectedOf returns a *hfplan.RejectedError with the jobs and workers of a command whose changes
// the store has rejected, or nil if there are none.
func (f *fencedWriter) rejectedOf(groups [][]keyChange, c hfplan.StoreCmd) error {
	var jobs, workers []string
	for _, change := range slices.Concat(groups...) {
		if !f.isRejected(change) {
			continue
		}
		if id, ok := recordJob(change.key); ok && !slices.Contains(jobs, id) {
			jobs = append(jobs, id)
		}
		for _, w := range c.Roster() {
			if change.key == rosterKey || change.key == memberKey(w.GetId()) {
				workers = append(workers, w.GetId())
			}
		}
	}
	if len(jobs) == 0 && len(workers) == 0 {
		return nil
	}
	return hfplan.NewRejectedError(jobs, workers)
}

// recordJob returns the job whose progress, or a part of it, is stored under a key.
func recordJob(key string) (string, bool) {
	if id, ok := strings.CutPrefix(key, progressPrefix); ok {
		return id, true
	}
	return blockJob(key)
}

// recordRejected logs a record that the store does not accept.
func (n *Node) recordRejected(key string, err error) {
	metrics.GetOrRegisterCounter("records.rejected", n.registry).Inc(1)
	n.log.Event(hfevent.RecordRejected, zap.String("key", key[:min(len(key), maxKeyBytes)]), zap.Int("bytes", len(key)), zap.String("error", err.Error()))
}
