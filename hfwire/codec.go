// Package hfwire defines the messages between instances and the records in the platform's
// store, and encodes and decodes them.
package hfwire

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

// MaxFrameBytes is the maximum size of one message between instances. It exceeds the
// maximum size of a stored value, one megabyte, plus its envelope.
const MaxFrameBytes = 4 << 20

// ErrEmptyEnvelope reports an envelope whose body is missing or unknown to this version.
var ErrEmptyEnvelope = eris.New("envelope without a known body")

// Write writes one length-prefixed message to a stream.
func Write(w io.Writer, m proto.Message) error {
	if _, err := protodelim.MarshalTo(w, m); err != nil {
		return fmt.Errorf("write frame: %w", err)
	}
	return nil
}

// Read reads one length-prefixed message from a stream into a message of type T and
// returns it. It fails with a size error if the message is larger than MaxFrameBytes.
//
//	env, err := hfwire.Read(reader, &hfwire.Envelope{})
func Read[T proto.Message](r *bufio.Reader, into T) (T, error) {
	raw, err := ReadFrame(r)
	if err != nil {
		return into, err
	}
	return Decode(raw, into)
}

// ReadFrame reads the bytes of one length-prefixed message from a stream. It fails with a size error if the
// message is larger than MaxFrameBytes, and with io.EOF if the stream ended before it. Memory is taken as the
// bytes come, not by the length that was announced.
func ReadFrame(r *bufio.Reader) ([]byte, error) {
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return nil, fmt.Errorf("read frame: %w", err)
	}
	if size > MaxFrameBytes {
		return nil, fmt.Errorf("read frame: %w", &protodelim.SizeTooLargeError{Size: size, MaxSize: MaxFrameBytes})
	}
	var raw bytes.Buffer
	if _, err := io.CopyN(&raw, r, int64(size)); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return nil, fmt.Errorf("read frame: %w", err)
	}
	return raw.Bytes(), nil
}

// Encode returns the bytes of a record for storage. Those of equal records are equal.
func Encode(m proto.Message) ([]byte, error) {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode record: %w", err)
	}
	return b, nil
}

// Decode decodes the bytes of a stored record into a record of type T and returns it.
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
