package wire

import (
	"encoding/binary"
	"fmt"

	"pinedale/balancer"
)

// failAtLast records an error at the start of the last n bytes that were read, unless an error was recorded before.
func (d *Decoder) failAtLast(n int, reason string) {
	if d.err == nil {
		d.bytesRead -= n
		d.fail(reason)
	}
}

// fail records an error at the next unread byte, unless an error was recorded before.
func (d *Decoder) fail(reason string) {
	if d.err == nil {
		d.err = &FrameError{Record: d.recordName, Offset: d.recordOffset + d.bytesRead, Reason: reason}
	}
}

// take returns the next n bytes of the record, or nil after an error.
func (d *Decoder) take(n int) []byte {
	if d.err != nil {
		return nil
	}
	if n < 0 || len(d.record)-d.bytesRead < n {
		d.fail(fmt.Sprintf("needs %d more bytes, has %d", n, len(d.record)-d.bytesRead))
		return nil
	}
	data := d.record[d.bytesRead : d.bytesRead+n]
	d.bytesRead += n
	return data
}

func (d *Decoder) uint8() uint8 {
	if data := d.take(1); data != nil {
		return data[0]
	}
	return 0
}

func (d *Decoder) uint16() uint16 {
	if data := d.take(2); data != nil {
		return binary.BigEndian.Uint16(data)
	}
	return 0
}

func (d *Decoder) uint32() uint32 {
	if data := d.take(4); data != nil {
		return binary.BigEndian.Uint32(data)
	}
	return 0
}

func (d *Decoder) uint64() uint64 {
	if data := d.take(8); data != nil {
		return binary.BigEndian.Uint64(data)
	}
	return 0
}

// micros reads a duration of four bytes.
func (d *Decoder) micros() balancer.Micros { return balancer.Micros(d.uint32()) }
