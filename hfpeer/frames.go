package hfpeer

import (
	"encoding/binary"
	"time"

	"github.com/rotisserie/eris"
)

// Frames of the multiplexer (https://github.com/hashicorp/yamux/blob/master/spec.md): a head, and the bytes of a
// stream in those of frameData.
const (
	frameHeadBytes = 12

	frameData   = 0
	frameWindow = 1
	framePing   = 2

	flagOpen  = 1 << 0 // SYN
	flagEnd   = 1 << 2 // FIN
	flagReset = 1 << 3 // RST
)

var (
	errFrame  = eris.New("a frame that no link sends")
	errNoRoom = eris.New("no room for the message")
)

// frameHead is the head of a frame.
type frameHead struct {
	kind   byte
	flags  uint16
	stream uint32
	length uint32 // of the bytes that follow, in frameData
}

// frameScanner finds the heads of frames in what is read from a connection. The multiplexer takes the memory for a
// frame by its head, so each head is looked at before it.
type frameScanner struct {
	head [frameHeadBytes]byte
	have int    // bytes of head
	rest uint32 // bytes that follow the last head and have not come
}

// scan calls found with each head that the next bytes complete, and payload with the number of bytes that belong to a
// stream. It stops at the first error.
func (s *frameScanner) scan(b []byte, found func(frameHead) error, payload func(n int)) error {
	for len(b) > 0 {
		if s.rest > 0 {
			n := min(len(b), int(s.rest))
			payload(n)
			s.rest -= uint32(n)
			b = b[n:]
			continue
		}
		n := copy(s.head[s.have:], b)
		b = b[n:]
		if s.have += n; s.have < frameHeadBytes {
			return nil
		}
		s.have = 0
		h := frameHead{
			kind: s.head[1], flags: binary.BigEndian.Uint16(s.head[2:]), stream: binary.BigEndian.Uint32(s.head[4:]),
			length: binary.BigEndian.Uint32(s.head[8:]),
		}
		if h.kind == frameData {
			s.rest = h.length
		}
		if err := found(h); err != nil {
			return err
		}
	}
	return nil
}

// pingLimit bounds the pings of the other side, each of which takes a goroutine of the multiplexer until it is
// answered.
type pingLimit struct {
	count int // since from
	from  time.Time
}

// admit fails if a frame is a ping too many.
func (l *pingLimit) admit(h frameHead, now time.Time) error {
	if h.kind != framePing || h.flags&flagOpen == 0 {
		return nil
	}
	if now.Sub(l.from) > pingInterval {
		l.count, l.from = 0, now
	}
	if l.count++; l.count > maxPings {
		return errFrame
	}
	return nil
}
