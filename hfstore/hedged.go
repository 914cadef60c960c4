package hfstore

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"
)

const (
	// A call is sent again after hedgeFactor times the usual time to an answer, within these bounds. The
	// least one is several times what the store takes across regions.
	hedgeFactor   = 4
	minHedgeDelay = 120 * time.Millisecond
	maxHedgeDelay = 300 * time.Millisecond

	maxAttempts    = 3           // of one call
	answeredWithin = time.Second // a store that has answered nothing for so long is down, and calls are sent once
	latencyWeight  = 0.1         // weight of the latest answer in the usual time to an answer
)

// Hedged sends a Get, a Renew or a Commit again, on another connection, when its answer is late: it may be
// lost, while the store answers other calls. Only calls are repeated of which a second one has no
// effect: of batches those that change a key on condition of its version, or only remove keys. If an earlier
// attempt of a batch took effect, a later one fails with ErrConflict, which callers resolve by reading a
// key back.
type Hedged struct {
	Committer
	hedges metrics.Counter // calls that were sent again
	mu     sync.Mutex
	usual  time.Duration // moving average of the time to an answer, 0 before the first
	last   time.Time     // of the last answer
}

var _ Committer = (*Hedged)(nil)

// NewHedged returns a store whose calls are those of s.
func NewHedged(s Committer, registry metrics.Registry) *Hedged {
	return &Hedged{Committer: s, hedges: metrics.GetOrRegisterCounter("store.hedged", registry)}
}

// Get implements Store.
func (h *Hedged) Get(ctx context.Context, key string) (Item, error) {
	item, err := hedge(ctx, h, func(ctx context.Context) (Item, error) { return h.Committer.Get(ctx, key) })
	if err != nil {
		return Item{}, fmt.Errorf("hedged: %w", err)
	}
	return item, nil
}

// Renew implements Store.
func (h *Hedged) Renew(ctx context.Context, lease string) error {
	_, err := hedge(ctx, h, func(ctx context.Context) (struct{}, error) { return struct{}{}, h.Committer.Renew(ctx, lease) })
	if err != nil {
		return fmt.Errorf("hedged: %w", err)
	}
	return nil
}

// Commit implements Committer. It fails with ErrRefused only if no attempt may take effect.
func (h *Hedged) Commit(ctx context.Context, b *Batch) (int64, error) {
	if !repeatable(b) {
		return h.Committer.Commit(ctx, b)
	}
	revision, err := hedge(ctx, h, func(ctx context.Context) (int64, error) { return h.Committer.Commit(ctx, b) })
	if err != nil {
		return 0, fmt.Errorf("hedged: %w", err)
	}
	return revision, nil
}

// repeatable reports whether a batch that is carried out a second time has no effect.
func repeatable(b *Batch) bool {
	changed := map[string]bool{}
	for _, w := range b.Writes() {
		changed[w.Key()] = true
	}
	for _, key := range b.Removals() {
		changed[key] = true
	}
	return len(b.Writes()) == 0 || slices.ContainsFunc(b.Conditions(), func(c Condition) bool { return changed[c.Key()] })
}

// delay returns how long to wait for an answer before a call is sent again, and false if it is not to
// be, as the store is down or so slow that every call would be.
func (h *Hedged) delay(now time.Time) (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return min(max(hedgeFactor*h.usual, minHedgeDelay), maxHedgeDelay), now.Sub(h.last) <= answeredWithin && h.usual <= maxHedgeDelay
}

// answered records an answer to an attempt.
func (h *Hedged) answered(sent, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	took := now.Sub(sent)
	if h.usual == 0 {
		h.usual = took
	}
	h.usual += time.Duration(latencyWeight * float64(took-h.usual))
	h.last = now
}

// attempt is the result of one attempt of a call.
type attempt[T any] struct {
	value T
	err   error
}

// hedge makes a call, and again whenever no attempt was answered for the delay. The first attempt with
// an answer other than a refusal decides.
func hedge[T any](ctx context.Context, h *Hedged, call func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	var g errgroup.Group
	defer func() {
		cancel()
		_ = g.Wait()
	}()
	delay, repeat := h.delay(time.Now())
	results := make(chan attempt[T], maxAttempts)
	start := func() {
		g.Go(func() error {
			sent := time.Now()
			value, err := call(ctx)
			if !errors.Is(err, ErrUnavailable) {
				h.answered(sent, time.Now())
			}
			results <- attempt[T]{value: value, err: err}
			return nil
		})
	}
	start()
	sent, pending := 1, 1
	timer := time.NewTimer(delay)
	defer timer.Stop()
	var refused, unanswered error
	for {
		select {
		case <-timer.C:
			if repeat && sent < maxAttempts {
				h.hedges.Inc(1)
				start()
				sent, pending = sent+1, pending+1
				timer.Reset(delay)
			}
			continue
		case a := <-results:
			pending--
			switch {
			case errors.Is(a.err, ErrUnavailable):
				unanswered = a.err
			case errors.Is(a.err, ErrRefused):
				refused = a.err
			default:
				return a.value, a.err
			}
		}
		if pending > 0 {
			continue
		}
		var zero T
		if unanswered != nil {
			return zero, unanswered // a refusal of another attempt does not show that this one has no effect
		}
		return zero, refused
	}
}
