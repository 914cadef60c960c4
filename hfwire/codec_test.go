package hfwire

import (
	"bufio"
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
)

func TestRoundTrip(t *testing.T) {
	var b bytes.Buffer
	in := &Envelope{Sender: "e1", Body: &Envelope_Claim{Claim: &Claim{Id: "x", Holder: "y"}}}
	require.NoError(t, Write(&b, in))
	out, err := Read(bufio.NewReader(&b), &Envelope{})
	require.NoError(t, err)
	require.True(t, proto.Equal(in, out))
}

// TestUnknownFieldsAreKept checks that a record keeps the fields that a newer version
// added to it when this version decodes and encodes it.
func TestUnknownFieldsAreKept(t *testing.T) {
	newer, err := Encode(&Job{Id: "x", Started: 5})
	require.NoError(t, err)
	newer = append(newer, 0xf8, 0x3f, 0x07) // field 1023, varint 7
	job, err := Decode(newer, &Job{})
	require.NoError(t, err)
	again, err := Encode(job)
	require.NoError(t, err)
	require.Equal(t, newer, again)
}

func TestFrameOverTheLimit(t *testing.T) {
	frame := []byte{0xff, 0xff, 0xff, 0xff, 0x0f}
	_, err := Read(bufio.NewReader(bytes.NewReader(frame)), &Envelope{})
	require.ErrorContains(t, err, "size")
}

func FuzzRead(f *testing.F) {
	var b bytes.Buffer
	_ = Write(&b, &Envelope{Sender: "e1", Body: &Envelope_Beat{Beat: &Beat{Sequence: 1}}})
	f.Add(b.Bytes())
	f.Fuzz(func(_ *testing.T, raw []byte) {
		_, _ = Read(bufio.NewReader(bytes.NewReader(raw)), &Envelope{})
	})
}
