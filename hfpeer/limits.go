package hfpeer

import "time"

// What the connections of other instances may take. Links of this package, one to each instance, meet none of
// these figures.
const (
	// maxNameBytes bounds the name of an instance, its incarnation, and where it is.
	maxNameBytes = 256
	// maxUnlisted bounds the instances that are heard before the membership lists them.
	maxUnlisted = 64

	maxStreams     = 256 // that the other side has opened on a connection
	maxCallStreams = 192 // that Links opens on a connection; less, as closed ones are noticed late
	maxPings       = 16  // in a pingInterval; Links sends one every keepAliveInterval
	pingInterval   = time.Second

	// connBytes is what a connection takes without streams: stacks, buffers, and what the kernel may hold for one
	// with receiveBytes.
	connBytes    = 72 << 10
	receiveBytes = 16 << 10 // receive buffer that is asked for
	backlog      = 256      // connections that wait to be accepted
	// sealedBytes is what a connection takes besides under TLS.
	sealedBytes = 48 << 10
	streamBytes = 12 << 10 // of a stream with its stack
	// bufferFactor is how many times a byte of a message is held until the message is answered: buffers grow to
	// twice what they hold, in the multiplexer and again in the message.
	bufferFactor = 4
	// replyFactor is the same for a byte of a reply.
	replyFactor = 2

	// MemoryShare is the part of the memory of a process, as a divisor, that its listener for other instances takes.
	MemoryShare = 8

	descriptorShare  = 8  // part of the descriptors, as a divisor, that connections may take
	minConns         = 16 // however few descriptors there are
	strangerShare    = 4  // part of both, as a divisor, for connections of unknown instances
	connsOfSource    = 2  // connections of an instance of which none gives way to its next one: an old one may be silent
	heavyFactor      = 4  // a connection that takes so many times as much gives way though it moves
	stallTime        = time.Second
	roomTimeout      = time.Second           // for which a connection waits for room
	roomInterval     = 10 * time.Millisecond // between two looks for room
	handshakeTimeout = 5 * time.Second
	writePart        = 16 << 10         // bytes of a message that are written at once
	replyTimeout     = 10 * time.Second // within which the other side has to take a part
)

// Why a connection of another instance was refused or closed.
const (
	ReasonConnections = "connections" // a new one, as there were too many
	ReasonLetGo       = "let-go"      // to make room for another one
	ReasonMemory      = "memory"      // no room became free for what it sent, or it opened too many streams
)

// Limits are the limits of the listener for other instances.
type Limits struct {
	conns int
	bytes int64 // that connections, their messages and replies may take together
	conn  int64 // bytes of a connection without streams
}

// NewLimits returns the limits of a listener that may take a number of bytes, in a process that may open a number of
// descriptors. sealed is set for a listener under TLS.
func NewLimits(bytes, descriptors int64, sealed bool) Limits {
	l := Limits{bytes: bytes, conn: connBytes}
	if sealed {
		l.conn += sealedBytes
	}
	l.conns = int(max(min(descriptors/descriptorShare, l.bytes/l.conn), minConns))
	return l
}
