package hfintake

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
)

// heads are the seeds of the fuzz tests, which run with every run of the tests.
var heads = []string{
	"", "\r\n", "\n\n\n", "\r\r\n\r\n", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", "\r\n\r\nGET / HTTP/1.1\nHost: h\n\nrest\n\n",
	"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nabcde", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nabcde",
	"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1;x=y\r\nc\r\n0\r\nT: v\r\n\r\n",
	"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\n",
	"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n8\r\nab",
	"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n",
}

// FuzzHead checks that the end of a head and its lines are found however its bytes are split.
func FuzzHead(f *testing.F) {
	for i, h := range heads {
		f.Add([]byte(h), uint8(i+1))
	}
	f.Fuzz(func(t *testing.T, raw []byte, split uint8) {
		var s headScanner
		for rest := raw; len(rest) > 0; {
			n := min(int(split)+1, len(rest))
			s.scan(rest[:n])
			rest = rest[n:]
		}
		// The reference reads whole lines.
		lines, started, ended := 0, false, false
		for rest := raw; !ended; {
			line, after, found := bytes.Cut(rest, []byte("\n"))
			if !found {
				break
			}
			lines++
			empty := len(bytes.Trim(line, "\r")) == 0
			ended = started && empty
			started = started || !empty
			rest = after
		}
		if s.lines != lines || s.ended != ended || s.exceeded() != (!ended && lines > MaxHeadLines) {
			t.Fatalf("%d lines, ended %v; want %d, %v", s.lines, s.ended, lines, ended)
		}
	})
}

// FuzzBody checks that a body reads as the library gives it, or is refused, and that it never holds less than
// was received, more than there is, or anything at its end.
func FuzzBody(f *testing.F) {
	for i, h := range heads {
		f.Add([]byte(h), uint8(i*20), uint16(i*3000))
	}
	f.Fuzz(func(t *testing.T, raw []byte, step uint8, taken uint16) {
		read := func() *http.Request {
			r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(raw)))
			if err != nil {
				return nil
			}
			return r
		}
		plain, bounded := read(), read()
		if plain == nil {
			return
		}
		want, wantErr := io.ReadAll(plain.Body)
		intake := New("callers", testLimits(3), false, func(map[string]int64) {}, metrics.NewRegistry())
		client, server := net.Pipe()
		defer func() { _ = client.Close() }()
		c := intake.open(server)
		intake.with(func(table *table, now time.Time) { // another request, which is whole
			id, _, _ := table.open("other", now)
			table.enter(id, phaseBody, now)
			table.reserve(id, int64(taken), now)
			table.enter(id, phaseAnswer, now)
		})
		handler := intake.Handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			var got []byte
			var err error
			for buffer := make([]byte, int(step)+1); err == nil; {
				var n int
				n, err = r.Body.Read(buffer)
				got = append(got, buffer[:n]...)
				intake.with(func(table *table, _ time.Time) {
					if brokenErr := table.Check(); brokenErr != nil {
						t.Fatal(brokenErr)
					}
					held := table.clients[c.id].held
					if r.ContentLength != 0 && held < int64(len(got)) {
						t.Fatalf("%d bytes are held, %d were received", held, len(got))
					}
					if table.held > testMemory && taken > 0 {
						t.Fatalf("%d bytes are held in all", table.held)
					}
				})
			}
			if errors.Is(err, ErrFull) {
				if !bytes.HasPrefix(want, got) {
					t.Fatal("other bytes before the refusal")
				}
				return
			}
			if !bytes.Equal(got, want) || (wantErr == nil) != errors.Is(err, io.EOF) {
				t.Fatalf("%q, %v; want %q, %v", got, err, want, wantErr)
			}
		}))
		handler.ServeHTTP(httptest.NewRecorder(), bounded.WithContext(context.WithValue(context.Background(), connKey{}, c)))
		intake.with(func(table *table, _ time.Time) {
			if held := table.clients[c.id].held; held != 0 {
				t.Fatalf("%d bytes are held after the end", held)
			}
		})
		_ = c.Close()
	})
}
