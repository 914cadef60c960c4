package hfwire

import (
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// What the parts of a decoded message take at most, in bytes.
const (
	messageBytes = 64 // of a message without its fields
	fieldBytes   = 24 // of a field in its message
	elementBytes = 48 // of an element of a list or a map, whose memory may grow to twice what it holds
	numberBytes  = 16 // of a number in a packed list
	maxNesting   = 64 // messages in messages; ours have fewer than ten
)

// DecodedSize returns how many bytes a message of the type of m takes at most once it is decoded from raw.
// Two bytes can stand for a message of hundreds.
func DecodedSize(raw []byte, m proto.Message) int64 {
	return decodedSize(raw, m.ProtoReflect().Descriptor(), 0)
}

func decodedSize(raw []byte, d protoreflect.MessageDescriptor, depth int) int64 {
	size := int64(messageBytes + d.Fields().Len()*fieldBytes)
	if depth > maxNesting {
		return size
	}
	for len(raw) > 0 {
		number, kind, n := protowire.ConsumeTag(raw)
		if n < 0 {
			break // decoding fails here
		}
		value := raw[n:]
		if n = protowire.ConsumeFieldValue(number, kind, value); n < 0 {
			break
		}
		value, raw = value[:n], value[n:]
		field := d.Fields().ByNumber(number)
		switch {
		case field == nil:
			size += 2 * int64(n+protowire.SizeTag(number)) // kept as it is
		case kind != protowire.BytesType:
			size += elementBytes
		default:
			content, _ := protowire.ConsumeBytes(value)
			size += elementBytes
			switch field.Kind() {
			case protoreflect.MessageKind, protoreflect.GroupKind:
				size += decodedSize(content, field.Message(), depth+1)
			case protoreflect.BytesKind, protoreflect.StringKind:
				size += int64(len(content))
			default:
				size += int64(len(content)) * numberBytes // packed numbers, one byte each at least
			}
		}
	}
	return size
}
