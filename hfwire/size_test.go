package hfwire

import (
	"bytes"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
)

// Guards against messages that take much more memory decoded than as they come, without being counted.
func TestDecodedSizeCoversMemory(t *testing.T) {
	beat := &Beat{}
	for range 20_000 {
		beat.Reports = append(beat.Reports, &Report{})
		beat.Health = append(beat.Health, &Health{})
	}
	batch := &StoreBatch{}
	for range 20_000 {
		batch.Conditions = append(batch.Conditions, &Condition{})
		batch.Removals = append(batch.Removals, "")
	}
	for name, in := range map[string]*Envelope{
		"empty":      {},
		"large":      {Body: &Envelope_Hint{Hint: &Hint{Key: "k", Value: bytes.Repeat([]byte{1}, 1<<20)}}},
		"heartbeat":  {Body: &Envelope_Beat{Beat: beat}},
		"batch":      {Body: &Envelope_Call{Call: &StoreCall{Kind: &StoreCall_Commit{Commit: batch}}}},
		"one report": {Body: &Envelope_Beat{Beat: &Beat{Reports: []*Report{{}}}}},
	} {
		t.Run(name, func(t *testing.T) {
			raw, err := proto.Marshal(in)
			require.NoError(t, err)
			const copies = 20
			var before, after runtime.MemStats
			var kept [copies]*Envelope
			runtime.GC()
			runtime.ReadMemStats(&before)
			for i := range kept {
				kept[i], err = Decode(raw, &Envelope{})
				require.NoError(t, err)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			runtime.KeepAlive(kept)
			const slack = 64 << 10 // of the runtime
			require.LessOrEqual(t, int64(after.HeapAlloc-min(before.HeapAlloc, after.HeapAlloc)), copies*DecodedSize(raw, in)+slack)
		})
	}
}

// An unknown field, a malformed end and a message in messages are counted without an error.
func TestDecodedSizeOfMalformedMessages(t *testing.T) {
	for _, raw := range [][]byte{nil, {0xff}, {0xf8, 0x3f, 0x07}, {0x52, 0x7f}, bytes.Repeat([]byte{0x52, 0x00}, 1000)} {
		require.Positive(t, DecodedSize(raw, &Envelope{}))
	}
	require.Greater(t, DecodedSize(bytes.Repeat([]byte{0x52, 0x00}, 1000), &Envelope{}), int64(1000*messageBytes))
}
