// Package hfwire holds the messages that travel between instances and the
// records kept in the platform's store, with the codec that frames them.
package hfwire

import (
	"bufio"
	"fmt"
	"io"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

// MaxFrameBytes bounds one message between instances. A stored value is at most
// a megabyte, so a frame leaves room for one and its envelope.
const MaxFrameBytes = 4 << 20

// ErrEmptyEnvelope reports an envelope without a body this version knows.
var ErrEmptyEnvelope = eris.New("envelope without a known body")

// Write frames one message onto a stream.
func Write(w io.Writer, m proto.Message) error {
	if _, err := protodelim.MarshalTo(w, m); err != nil {
		return fmt.Errorf("write frame: %w", err)
	}
	return nil
}

// Read takes one framed message of type T from a stream. It fails with a
// size error when the frame is larger than MaxFrameBytes.
//
//	env, err := hfwire.Read(reader, &hfwire.Envelope{})
func Read[T proto.Message](r *bufio.Reader, into T) (T, error) {
	opts := protodelim.UnmarshalOptions{MaxSize: MaxFrameBytes}
	if err := opts.UnmarshalFrom(r, into); err != nil {
		return into, fmt.Errorf("read frame: %w", err)
	}
	return into, nil
}

// Encode turns a record into the bytes of a stored value.
func Encode(m proto.Message) ([]byte, error) {
	b, err := proto.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode record: %w", err)
	}
	return b, nil
}

// Decode reads a record of type T from the bytes of a stored value.
func Decode[T proto.Message](b []byte, into T) (T, error) {
	if err := proto.Unmarshal(b, into); err != nil {
		return into, fmt.Errorf("decode record: %w", err)
	}
	return into, nil
}

// Copy returns a deep copy of a message.
func Copy[T proto.Message](m T) T {
	return proto.Clone(m).(T)
}
