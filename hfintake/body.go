package hfintake

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"time"
)

// Handler returns a handler whose request bodies are admitted as they come and have deadlines. Requests that
// do not come through a listener of Listen are passed on as they are. The request of a client that was let
// go does not run: next is not called, or reads ErrFull before the end of the body.
func (i *Intake) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connKey{}).(*conn)
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		if i.crowded() {
			w.Header().Set("Connection", "close")
		}
		if r.Body == nil || r.ContentLength == 0 {
			c.enter(phaseAnswer)
			next.ServeHTTP(w, r)
			return
		}
		b := &body{ReadCloser: r.Body, conn: c, declared: r.ContentLength, control: http.NewResponseController(w)}
		b.start = c.enter(phaseBody)
		b.extend()
		defer b.finish()
		// The server keeps its own body in r, by which it decides what to do with the rest.
		r = r.WithContext(r.Context())
		r.Body = b
		next.ServeHTTP(w, r)
	})
}

// Reserve reserves n more bytes for a request whose body has been read, until its handler ends: for what the body
// is decoded to, and for copies on the way to the store. It fails with ErrFull if there is no memory. Requests
// that do not come through a listener of Listen need none.
func Reserve(r *http.Request, n int64) error {
	c, _ := r.Context().Value(connKey{}).(*conn)
	if c != nil && !c.intake.reserve(c, n) {
		return ErrFull
	}
	return nil
}

// enter begins a phase of the client, and returns when. It ends the handler of a client that was let go, or for
// which there is no room.
func (c *conn) enter(p phase) (since time.Time) {
	since = time.Now()
	if !c.intake.begin(c, p, false) {
		panic(http.ErrAbortHandler) // closes the connection without an answer
	}
	return since
}

// keepSpare returns a handler that closes spare connections with calls other than vital ones. These calls
// have not begun.
func (i *Intake) keepSpare(next http.Handler, vital []string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connKey{}).(*conn)
		if c != nil && !slices.Contains(vital, r.URL.Path) {
			i.mu.Lock()
			refused := i.table.onlyVital(c.id)
			if refused {
				i.refuse(ReasonConnections, time.Now())
			}
			i.mu.Unlock()
			if refused {
				panic(http.ErrAbortHandler) // closes the connection without an answer
			}
		}
		next.ServeHTTP(w, r)
	})
}

// body is the body of a request.
type body struct {
	io.ReadCloser
	conn     *conn
	control  *http.ResponseController
	declared int64     // length, or -1 if it is not known
	start    time.Time // when the head was whole
	received int64
	reserved int64
	whole    bool
	err      error // of a reader that must not read on
}

// Read implements io.Reader. Memory is reserved before bytes are read into it.
func (b *body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	if b.received == b.reserved && !b.whole && len(p) > 0 {
		n := int64(blockBytes)
		if b.declared >= 0 {
			n = min(n, b.declared-b.received)
		}
		if n > 0 && !b.conn.intake.reserve(b.conn, n) {
			b.err = ErrFull
			return 0, b.err
		}
		b.reserved += n
		b.extend()
	}
	if room := b.reserved - b.received; room > 0 && int64(len(p)) > room {
		p = p[:room]
	}
	n, err := b.ReadCloser.Read(p)
	b.received += int64(n)
	// A client that was let go may have sent the rest before. From the end of its body on it is not let go.
	whole, known := errors.Is(err, io.EOF) || b.received == b.declared, false
	b.conn.intake.with(func(t *table, now time.Time) {
		if s := t.clients[b.conn.id]; s != nil {
			s.received, known = b.received, true
		}
		if whole {
			t.enter(b.conn.id, phaseAnswer, now)
		}
	})
	switch {
	case !known && !b.whole:
		b.err = ErrFull
		return 0, b.err
	case whole:
		b.complete()
	case errors.Is(err, os.ErrDeadlineExceeded):
		b.conn.intake.mu.Lock()
		b.conn.intake.refuse(ReasonSlow, time.Now())
		b.conn.intake.mu.Unlock()
		b.err = fmt.Errorf("%w: %w", ErrSlow, err)
		return n, b.err
	}
	return n, err //nolint:wrapcheck // readers compare it with io.EOF
}

// extend sets the deadline of the body by what has been received.
func (b *body) extend() {
	deadline := b.conn.intake.table.limits.bodyDeadline(b.start, b.received)
	_ = b.control.SetReadDeadline(deadline) // fails only for a closed connection
}

// complete ends the deadline, which must not end the handler.
func (b *body) complete() {
	if b.whole {
		return
	}
	b.whole = true
	_ = b.control.SetReadDeadline(time.Time{})
}

// finish frees what the body holds. The library awaits the rest of one that was not read until its deadline, of one
// that was refused for a little.
func (b *body) finish() {
	if !b.whole && b.err != nil {
		_ = b.control.SetReadDeadline(time.Now().Add(drainTimeout))
	}
	b.conn.intake.with(func(t *table, now time.Time) {
		t.release(b.conn.id)
		if !b.whole {
			t.enter(b.conn.id, phaseDrain, now)
		}
		b.conn.intake.updateGauges()
	})
}
