package wire

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"io"
	"slices"
	"strings"
	"testing"
)

// unhex decodes the concatenation of hexadecimal texts, which may contain spaces.
func unhex(t testing.TB, parts ...string) []byte {
	t.Helper()
	data, err := hex.DecodeString(strings.ReplaceAll(strings.Join(parts, ""), " ", ""))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

const (
	testBatch = 12
	testClock = 0x805c5a
)

// frame returns a batch of records.
func frame(records ...[]byte) []byte {
	body := bytes.Join(records, nil)
	batch := binary.BigEndian.AppendUint32(nil, testBatch)
	batch = binary.BigEndian.AppendUint32(batch, uint32(batchHeaderSize+len(body)))
	batch = binary.BigEndian.AppendUint64(batch, testClock)
	return append(batch, body...)
}

// Examples from the protocol's specification.
const (
	exInstance          = "1b 00000004 00000003"
	exRequest           = "12 00000020 0005bf975d3a91c4 91f03b7c55d20a64 00000000008405da 00002ee0 01 0000 00"
	exTimer             = "16 00000004 0000004d"
	exCancelledByClient = "15 00000008 000bf5a10e6f2b19"
	exHeaders           = "13 00000012 0005bf975d3a91c4 0000 03124a07 00002422"
	exAnswer            = "14 00000016 0005bf975d3a91c4 0000 03124a07 00c8 00004844 01 00"
	exHealth            = "17 00000017 2c9011f2 00c8 00000578 03 40e00000430c00003f1eb852"
	exWhisper           = "18 00000008 0002 0004 68692037"
	exManifest          = "1a 0000002f 00 00000002 03124a07 00 00 0000 00 3f800000 0000000000000000" +
		"2c9011f2 01 00 0000 00 3fc00000 00000000005d1420"
	exMembers = "11 00000006 00000029 00 03"
)

// decodeAll returns copies of all events of a batch.
func decodeAll(t *testing.T, decoder *Decoder, batch []byte) []Event {
	t.Helper()
	if _, now, err := decoder.Reset(batch); err != nil || now != testClock {
		t.Fatalf("batch clock %d, error %v, want clock %d", now, err, testClock)
	}
	var events []Event
	for {
		var event Event
		err := decoder.Next(&event)
		if errors.Is(err, io.EOF) {
			return events
		}
		if err != nil {
			t.Fatal(err)
		}
		event.Load = slices.Clone(event.Load)
		event.Entries = slices.Clone(event.Entries)
		events = append(events, event)
	}
}
