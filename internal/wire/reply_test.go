package wire

import (
	"bytes"
	"encoding/binary"
	"math"
	"testing"
)

func TestEncodeProtocolExamples(t *testing.T) {
	var reply Reply
	reply.Reset(1)
	if got := reply.Bytes(); !bytes.Equal(got, unhex(t, "00000001 0000000c 00000000")) {
		t.Errorf("empty reply %x", got)
	}
	reply.Reset(12)
	reply.As(3)
	reply.Deliver(0x5bf975d3a91c4, 0x3124a07, 80000)
	reply.Arm(500000, 77)
	reply.As(5)
	reply.Trace("two servers known")
	want := unhex(t, "0000000c 00000058 00000005 5c 00000004 00000003",
		"50 00000010 0005bf975d3a91c4 03124a07 00013880 54 00000008 0007a120 0000004d",
		"5c 00000004 00000005 58 00000013 0011 74776f2073657276657273206b6e6f776e")
	if got := reply.Bytes(); !bytes.Equal(got, want) {
		t.Errorf("got  %x\nwant %x", got, want)
	}
	reply.Reset(0)
	reply.Decline(0xbf5a10e6f2b19, 250000)
	reply.Fail(0xbf5a10e6f2b19)
	reply.Revoke(0x5bf975d3a91c4, 0)
	reply.SoundOut(0x2c9011f2)
	reply.LetGo(0x2c9011f2)
	reply.WritePeer(AllPeers, []byte("hi 7"))
	reply.Exception("index out of range")
	reply.Track(true)
	reply.ListAll()
	want = unhex(t, "51 0000000c 000bf5a10e6f2b19 0003d090 52 00000008 000bf5a10e6f2b19",
		"53 0000000a 0005bf975d3a91c4 0000 55 00000004 2c9011f2 56 00000004 2c9011f2",
		"57 0000000a ffffffff 0004 68692037 59 00000014 0012 696e646578206f7574206f662072616e6765",
		"5a 00000001 01 5b 00000000")
	if got := reply.Bytes()[replyHeaderSize:]; !bytes.Equal(got, want) {
		t.Errorf("got  %x\nwant %x", got, want)
	}
}

func TestDelaysOutOfRangeAreClamped(t *testing.T) {
	var reply Reply
	reply.Reset(0)
	reply.Arm(-5, 1)
	reply.Arm(math.MaxInt64, 1)
	records := reply.Bytes()[replyHeaderSize:]
	if binary.BigEndian.Uint32(records[5:]) != 0 || binary.BigEndian.Uint32(records[18:]) != math.MaxUint32 {
		t.Errorf("%x", records)
	}
}
