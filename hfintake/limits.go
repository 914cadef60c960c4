package hfintake

import (
	"time"

	"golang.org/x/sys/unix"
)

// What unfinished requests may take. Calls inside the limits of the pages meet none of these figures: their
// bodies have a few kilobytes, arrive at once, and their answers are read.
const (
	MaxHeadBytes = 16 << 10 // of a head; the library reads 4 KiB more before it refuses one
	MaxHeadLines = 128      // of a head, with the empty lines before it

	// HeadTimeout is how long a head may take from its first byte, and a new connection until then.
	HeadTimeout = 5 * time.Second
	// bodyTimeout and minRate bound a body: it may take bodyTimeout and a second for each minRate bytes.
	bodyTimeout = 10 * time.Second
	minRate     = 8 << 10 // bytes a second
	// answerTimeout is how long a caller may take to read writePart bytes of an answer.
	answerTimeout = 30 * time.Second
	writePart     = 64 << 10 // bytes
	// drainTimeout is how long the rest of a body that was refused is awaited.
	drainTimeout = time.Second
	// stallTime is the pause after which a client counts as stalled. It matters only when there is no room.
	stallTime = time.Second
	// answerStallTime is the same for a caller that does not read its answer.
	answerStallTime = 10 * time.Second

	blockBytes = 4 << 10  // by which the reservation of a body grows
	smallBody  = 16 << 10 // bytes; four times a job of the largest spec
	// largeShare is the part of the memory for bodies, as a fraction, that bodies above smallBody may take.
	largeShareOf, largeShareBy = 3, 4
	// sourceShare is the part of the connections, as a divisor, above which a source gives way to others.
	sourceShare = 2

	// receiveBytes is the receive buffer of a connection that is asked for. The kernel holds unreadBytes at most
	// then, as measured, beside the process.
	receiveBytes = 8 << 10
	unreadBytes  = 20 << 10
	// idleBytes is what a connection takes between two requests: what was not read yet, stacks and buffers.
	idleBytes = unreadBytes + 16<<10
	// busyBytes is what a connection takes from the first byte of a head until the answer.
	busyBytes = idleBytes + MaxHeadBytes + 16<<10
	// sealedIdleBytes and sealedBusyBytes are the same under TLS. Lines are not counted there as they come: the
	// library takes about 100 bytes for each of 5,000 short lines.
	sealedIdleBytes = idleBytes + 32<<10
	sealedBusyBytes = 512 << 10
	// idleShare is the part of the memory, as a divisor, that connections may take while they idle, and
	// ConnShare with what those take that are busy.
	idleShare = 4
	ConnShare = 3
	// backlogShare is the part of the memory, as a divisor, for connections that the listener has not accepted yet.
	backlogShare = 16
	minBacklog   = 64  // however little memory there is
	briefBacklog = 512 // on a listener of brief requests, which accepts at a higher rate
	// maxConns bounds the connections however large the memory is: who is let go is searched among all.
	maxConns = 16 << 10
	// crowdShare is the part of the connections, as a divisor, that are free when callers are first told to close
	// theirs after the answer.
	crowdShare = 4
	// descriptorShare is the part of the descriptors, as a divisor, that connections may take. The others
	// are for what the instance itself opens.
	descriptorShare = 2

	// BriefBytes bounds all bodies, and all answers, on a listener of brief requests.
	BriefBytes = 1 << 20

	spareConns = 16 // connections beyond the limit, on which only vital calls are served
	// turnoverTime is how long it takes at least until new connections have replaced all of a brief listener, or all
	// spare ones: a head that was sent at once is read before. They are replaced in parts, turnShare as a divisor.
	turnoverTime = 20 * time.Millisecond
	turnShare    = 4
)

// Limits are the limits of one listener.
type Limits struct {
	bodies      int64 // bytes of the bodies in progress together
	answers     int64 // bytes of the answers being written above which unread ones are let go
	conns       int
	spare       int   // connections beyond conns that may be for a vital call
	idle, busy  int64 // bytes that a connection takes between and during requests
	room        int64 // bytes that all connections but the spare ones may take
	backlog     int   // connections that wait to be accepted
	bodyTimeout time.Duration
	brief       bool // requests end at once, so that the oldest connections give way when there is no room
}

// NewLimits returns the limits of the callers' listener in a process that may take memory bytes and open a
// number of descriptors. bodyShare is the part of the memory, as a divisor, that bodies may take, and answers
// once more.
func NewLimits(memory, bodyShare, descriptors int64, sealed bool) Limits {
	backlog := max(memory/backlogShare/unreadBytes, minBacklog)
	l := Limits{
		bodies: memory / bodyShare, answers: memory / bodyShare, idle: idleBytes, busy: busyBytes, room: memory / ConnShare,
		backlog: int(backlog), bodyTimeout: bodyTimeout,
	}
	if sealed {
		l.idle, l.busy = sealedIdleBytes, sealedBusyBytes
	}
	l.conns = int(max(min(memory/idleShare/l.idle, descriptors/descriptorShare, maxConns), 1))
	l.room = max(l.room, l.busy) // a connection alone is served
	return l
}

// KernelBytes returns what the kernel holds unread at most for the connections of NewLimits, beside the process.
func KernelBytes(memory int64) int64 {
	return memory/idleShare/idleBytes*unreadBytes + memory/backlogShare
}

// WithConns returns the limits with another number of connections, and as much of their memory.
func (l Limits) WithConns(conns int) Limits {
	l.room = max(l.room/int64(l.conns)*int64(conns), l.busy)
	l.conns = conns
	return l
}

// Brief returns the limits for a listener whose requests have no bodies to wait for and are answered at once. When
// there is no room, the oldest connections give way to new ones.
func (l Limits) Brief() Limits {
	l.brief = true
	l.bodies, l.answers = BriefBytes, BriefBytes
	l.backlog = briefBacklog
	return l
}

// bodyDeadline returns until when a body that began at start, and of which some bytes have been received, must
// go on.
func (l Limits) bodyDeadline(start time.Time, received int64) time.Time {
	return start.Add(l.bodyTimeout + time.Duration(received)*time.Second/minRate)
}

// Conns returns the number of connections at once.
func (l Limits) Conns() int { return l.conns }

// Descriptors returns how many descriptors this process may open.
func Descriptors() int64 {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > maxDescriptors {
		return maxDescriptors
	}
	return int64(limit.Cur)
}

// maxDescriptors is assumed where the number is not limited.
const maxDescriptors = 1 << 20

// DefaultMemory is assumed where the memory is not known: that of a node for control.
const DefaultMemory = 128 << 20
