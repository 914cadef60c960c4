package hfcrowd

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

const (
	largeCrowd   = 160                   // connections of a crowd that wants memory
	holdingCrowd = 256                   // connections of a crowd that wants descriptors, more than fewSockets
	completing   = 8                     // one connection in so many sends its body whole
	sendTimeout  = 5 * time.Second       // after which a client no longer waits for the process to read
	pieceBytes   = 8 << 10               // of a body that is sent piece by piece
	piecePause   = 2 * time.Millisecond  // between pieces
	tricklePause = 50 * time.Millisecond // between the bytes of a trickled body
	tinyChunk    = 8                     // bytes of the smallest chunks; below, the library refuses them
	largeChunk   = 32 << 10
	largeHead    = 1_000_000 // bytes, below the limit of 1 MiB that the library has without settings
	wideCrowd    = 1600      // connections of a crowd that wants all that the memory allows
	unreadCalls  = 800       // requests whose answers are not read
	smallSegment = 536       // TCP_MAXSEG of a client that reads nothing, so that the sender buffers little
)

// crowd holds connections open until the test ends.
type crowd struct {
	p       *target
	mu      sync.Mutex
	conns   []net.Conn
	senders sync.WaitGroup
	sent    atomic.Int64  // bytes
	done    chan struct{} // closed when the test ends
}

// sendingConn counts the bytes that were sent.
type sendingConn struct {
	net.Conn
	sent *atomic.Int64
}

// Write implements net.Conn.
func (c *sendingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sent.Add(int64(n))
	return n, err
}

// run connects size clients in waves, all of a wave at once. A wave ends when each has sent what it has to
// send, was closed, or has given up because the process does not read. Their connections stay open.
func run(p *target, size, waves int, send func(c *crowd, conn net.Conn, number int)) {
	p.payload = newPayload(p)
	runFrom(p, dialer, p.front, size, waves, send)
}

// runFrom is run with the clients' dialer and the address that they connect to.
func runFrom(p *target, dialer net.Dialer, address string, size, waves int, send func(c *crowd, conn net.Conn, number int)) {
	c := &crowd{p: p, done: make(chan struct{})}
	p.t.Cleanup(func() {
		close(c.done)
		c.senders.Wait()
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, conn := range c.conns {
			_ = conn.Close()
		}
	})
	var sent sync.WaitGroup
	for i := range size {
		if i%(size/waves) == 0 {
			sent.Wait()
		}
		sent.Go(func() {
			conn, err := dialer.Dial("tcp", address)
			if err != nil {
				return
			}
			c.mu.Lock()
			c.conns = append(c.conns, conn)
			c.mu.Unlock()
			_ = conn.SetDeadline(time.Now().Add(sendTimeout))
			send(c, &sendingConn{Conn: conn, sent: &c.sent}, i)
		})
	}
	sent.Wait()
	p.t.Logf("%d clients connected and sent %d MB", len(c.conns), c.sent.Load()>>20)
	if len(c.conns) != size {
		p.t.Errorf("%d of %d clients connected", len(c.conns), size)
	}
}

// dialer opens connections that receive little before the client reads.
var dialer = net.Dialer{Timeout: sendTimeout, Control: func(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_MAXSEG, smallSegment)
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, pieceBytes)
	})
}}

// withLength returns the head of a submission with a body of n bytes.
func (p *target) withLength(number, n int) []byte {
	return fmt.Appendf(nil, p.post+"Content-Length: %d\r\n\r\n", number+1, n)
}

func (p *target) chunked(number int) []byte {
	return fmt.Appendf(nil, p.post+"Transfer-Encoding: chunked\r\n\r\n", number+1)
}

// payload holds what all clients of a crowd send, made before the first one connects: under the race detector
// it takes longer than a client waits.
type payload struct {
	bodies [2][]byte
	chunks map[int][2][]byte // by size of the chunks
	heads  [3][]byte
	empty  []byte
	unread []byte
}

func newPayload(p *target) payload {
	d := payload{chunks: map[int][2][]byte{}, empty: bytes.Repeat([]byte("\r\n"), largeHead), unread: bytes.Repeat([]byte(p.get), unreadCalls)}
	for i := range d.bodies {
		d.bodies[i] = p.newBody(i)
	}
	for _, size := range []int{tinyChunk, largeChunk} {
		d.chunks[size] = [2][]byte{encodeChunks(d.bodies[0], size), encodeChunks(d.bodies[1], size)}
	}
	for i := range d.heads {
		d.heads[i] = newHead(i)
	}
	return d
}

// body returns a body of the largest legal size.
func (p *target) body(number int) []byte { return p.payload.bodies[number%2] }

// newBody returns a job, or a body that names as many steps as fit.
func (p *target) newBody(number int) []byte {
	text := `{"spec":"x","steps":[{"count":1,"cpu":1,"mem_mb":1}]`
	if number%2 == 1 {
		text = `{"spec":"x","steps":[{}` + strings.Repeat(",{}", (p.maxBody-len(text))/3) + `]`
	}
	body := bytes.Repeat([]byte(" "), p.maxBody)
	copy(body, text)
	body[len(body)-1] = '}'
	return body
}

// encodeChunks returns a body in chunks of size bytes, with the end mark.
func encodeChunks(body []byte, size int) []byte {
	var out []byte
	for len(body) > 0 {
		n := min(size, len(body))
		out = append(strconv.AppendInt(out, int64(n), 16), "\r\n"...)
		out = append(append(out, body[:n]...), "\r\n"...)
		body = body[n:]
	}
	return append(out, "0\r\n\r\n"...)
}

// short leaves out the end of what most clients send.
func short(number int, data []byte, missing int) []byte {
	if number%completing == 0 {
		return data
	}
	return data[:len(data)-missing]
}

func write(conn net.Conn, parts ...[]byte) bool {
	for _, part := range parts {
		if _, err := conn.Write(part); err != nil {
			return false
		}
	}
	return true
}

func sendWhole(c *crowd, conn net.Conn, number int) {
	write(conn, c.p.withLength(number, c.p.maxBody), c.p.body(number))
}

func sendPieces(c *crowd, conn net.Conn, number int) {
	data := short(number, c.p.body(number), 1)
	if !write(conn, c.p.withLength(number, c.p.maxBody)) {
		return
	}
	for len(data) > 0 {
		n := min(pieceBytes, len(data))
		if !write(conn, data[:n]) {
			return
		}
		data = data[n:]
		time.Sleep(piecePause)
	}
}

func sendChunks(size int) func(*crowd, net.Conn, int) {
	return func(c *crowd, conn net.Conn, number int) {
		const endMark = len("0\r\n\r\n")
		write(conn, c.p.chunked(number), short(number, c.p.payload.chunks[size][number%2], endMark))
	}
}

// newHead returns a head without end, of one long line or of many short ones, or a head that is larger than
// any limit.
func newHead(number int) []byte {
	const start = "GET / HTTP/1.1\r\nHost: jobs.example\r\n"
	var head bytes.Buffer
	head.WriteString(start)
	switch number {
	case 0:
		head.WriteString("X-Fill: " + strings.Repeat("x", largeHead-head.Len()-8))
	case 1:
		for i := 0; head.Len() < largeHead; i++ {
			fmt.Fprintf(&head, "%x:\r\n", i)
		}
	case 2:
		head.WriteString("X-Fill: " + strings.Repeat("x", 2*largeHead) + "\r\n\r\n")
	}
	return head.Bytes()
}

func sendHeads(c *crowd, conn net.Conn, number int) {
	write(conn, c.p.payload.heads[number%len(c.p.payload.heads)])
}

// sendEmptyLines sends empty lines before a request that never comes, on every other connection after a
// whole request.
func sendEmptyLines(c *crowd, conn net.Conn, number int) {
	if number%2 == 1 {
		write(conn, c.p.withLength(number, 2), []byte("{}"))
	}
	write(conn, c.p.payload.empty)
}

// sendOneAndIdle makes one call, reads its answer and keeps the connection open.
func sendOneAndIdle(c *crowd, conn net.Conn, _ int) {
	if !write(conn, []byte(c.p.get)) {
		return
	}
	if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
		_ = resp.Body.Close()
	}
}

// sendTrickle sends the head and the start of a body, and then a byte at a time until the test ends.
func sendTrickle(c *crowd, conn net.Conn, number int) {
	body := c.p.body(number)
	if !write(conn, c.p.withLength(number, len(body)), body[:pieceBytes]) {
		return
	}
	body = body[pieceBytes : len(body)-1]
	c.senders.Go(func() {
		for i := range body {
			_ = conn.SetDeadline(time.Now().Add(sendTimeout))
			if !write(conn, body[i:i+1]) {
				return
			}
			select {
			case <-c.done:
				return
			case <-time.After(tricklePause):
			}
		}
	})
}

// sendUnread sends requests one after the other and reads no answer.
func sendUnread(c *crowd, conn net.Conn, _ int) {
	write(conn, c.p.payload.unread)
}

// crowds are what was sent to the system, and what is like it.
var crowds = map[string]struct {
	size    int
	waves   int
	sockets int
	send    func(*crowd, net.Conn, int)
}{
	"WholeBodies":       {largeCrowd, 1, manySockets, sendWhole},
	"BodiesInPieces":    {largeCrowd, 4, manySockets, sendPieces},
	"LargeChunks":       {largeCrowd, 4, manySockets, sendChunks(largeChunk)},
	"TinyChunks":        {largeCrowd, 4, manySockets, sendChunks(tinyChunk)},
	"LargeChunksAtOnce": {largeCrowd, 1, manySockets, sendChunks(largeChunk)},
	"TinyChunksAtOnce":  {largeCrowd, 1, manySockets, sendChunks(tinyChunk)},
	"Heads":             {largeCrowd, 1, manySockets, sendHeads},
	"EmptyLines":        {largeCrowd, 1, manySockets, sendEmptyLines},
	"IdleConnections":   {holdingCrowd, 1, fewSockets, sendOneAndIdle},
	"TrickledBodies":    {holdingCrowd, 1, fewSockets, sendTrickle},
	"UnreadAnswers":     {holdingCrowd, 1, fewSockets, sendUnread},
	// What the limits of connections follow from; all sockets of the operators' machines.
	"WideHeads":         {wideCrowd, 1, allSockets, sendHeads},
	"WideTrickle":       {wideCrowd, 1, allSockets, sendTrickle},
	"WideUnreadAnswers": {wideCrowd, 1, allSockets, sendUnread},
}

func testEntry(t *testing.T, name string) {
	p := startEntry(t, crowds[name].sockets)
	run(p, crowds[name].size, crowds[name].waves, crowds[name].send)
	p.check()
}

func testServe(t *testing.T, name string) {
	p := startServe(t, crowds[name].sockets)
	run(p, crowds[name].size, crowds[name].waves, crowds[name].send)
	p.check()
}

func TestEntryUnderWholeBodies(t *testing.T)       { testEntry(t, "WholeBodies") }
func TestEntryUnderBodiesInPieces(t *testing.T)    { testEntry(t, "BodiesInPieces") }
func TestEntryUnderLargeChunks(t *testing.T)       { testEntry(t, "LargeChunks") }
func TestEntryUnderTinyChunks(t *testing.T)        { testEntry(t, "TinyChunks") }
func TestEntryUnderHeads(t *testing.T)             { testEntry(t, "Heads") }
func TestEntryUnderEmptyLines(t *testing.T)        { testEntry(t, "EmptyLines") }
func TestEntryUnderIdleConnections(t *testing.T)   { testEntry(t, "IdleConnections") }
func TestEntryUnderTrickledBodies(t *testing.T)    { testEntry(t, "TrickledBodies") }
func TestEntryUnderUnreadAnswers(t *testing.T)     { testEntry(t, "UnreadAnswers") }
func TestServeUnderWholeBodies(t *testing.T)       { testServe(t, "WholeBodies") }
func TestServeUnderBodiesInPieces(t *testing.T)    { testServe(t, "BodiesInPieces") }
func TestServeUnderLargeChunks(t *testing.T)       { testServe(t, "LargeChunks") }
func TestServeUnderTinyChunks(t *testing.T)        { testServe(t, "TinyChunks") }
func TestServeUnderHeads(t *testing.T)             { testServe(t, "Heads") }
func TestServeUnderEmptyLines(t *testing.T)        { testServe(t, "EmptyLines") }
func TestServeUnderIdleConnections(t *testing.T)   { testServe(t, "IdleConnections") }
func TestServeUnderTrickledBodies(t *testing.T)    { testServe(t, "TrickledBodies") }
func TestServeUnderUnreadAnswers(t *testing.T)     { testServe(t, "UnreadAnswers") }
func TestEntryUnderWideHeads(t *testing.T)         { testEntry(t, "WideHeads") }
func TestEntryUnderWideTrickle(t *testing.T)       { testEntry(t, "WideTrickle") }
func TestEntryUnderWideUnreadAnswers(t *testing.T) { testEntry(t, "WideUnreadAnswers") }
func TestServeUnderWideHeads(t *testing.T)         { testServe(t, "WideHeads") }
func TestServeUnderWideTrickle(t *testing.T)       { testServe(t, "WideTrickle") }
func TestServeUnderWideUnreadAnswers(t *testing.T) { testServe(t, "WideUnreadAnswers") }
func TestEntryUnderLargeChunksAtOnce(t *testing.T) { testEntry(t, "LargeChunksAtOnce") }
func TestEntryUnderTinyChunksAtOnce(t *testing.T)  { testEntry(t, "TinyChunksAtOnce") }
func TestServeUnderLargeChunksAtOnce(t *testing.T) { testServe(t, "LargeChunksAtOnce") }
func TestServeUnderTinyChunksAtOnce(t *testing.T)  { testServe(t, "TinyChunksAtOnce") }
