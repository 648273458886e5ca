package wire

import (
	"encoding/binary"
	"fmt"
	"io"
	"math"

	"pinedale/balancer"
)

// Event is one decoded record. Only the fields of its code are set; slices are valid until the next call of Next.
type Event struct {
	Code     Code
	Offset   int    // of the record in its frame
	Instance uint32 // Instance
	Seed     uint64 // Begin
	Config   string // Begin: the settings text
	Kind     balancer.ListKind
	Entries  []balancer.Endpoint // Membership
	Request  balancer.Request
	Outcome  balancer.Outcome // Answer; Headers and CancelledByClient set parts of it
	Token    uint32           // TimeoutFired
	Endpoint uint32           // HealthResult
	Status   balancer.Status  // HealthResult
	Latency  balancer.Micros  // HealthResult
	Load     []float32        // HealthResult
	From     uint16           // Whisper
	Data     []byte           // Whisper
}

// Decoder reads the records of batches. It keeps the numbered endpoint lists, which outlive a batch.
type Decoder struct {
	frame  []byte
	offset int // of the next record in the frame

	// The record being read.
	record       []byte
	recordOffset int // in the frame
	recordName   string
	read         int // bytes of the record that were read
	err          error

	lists [maxLists][]balancer.Endpoint
	known [maxLists]bool // by number: the list was sent
	load  []float32      // buffer of load reports
}

// Reset starts on a frame from ReadFrame and returns its number and clock.
func (d *Decoder) Reset(frame []byte) (batch uint32, now balancer.Micros, err error) {
	if len(frame) < batchHeaderSize {
		return 0, 0, &FrameError{Record: "batch header", Offset: len(frame), Reason: "shorter than a header"}
	}
	if size := int(binary.BigEndian.Uint32(frame[4:])); size != len(frame) {
		return 0, 0, &FrameError{Record: "batch header", Offset: 4,
			Reason: fmt.Sprintf("size %d but %d bytes", size, len(frame))}
	}
	d.frame = frame
	d.offset = batchHeaderSize
	return binary.BigEndian.Uint32(frame), balancer.Micros(binary.BigEndian.Uint64(frame[8:])), nil
}

// Next decodes one record into e. It returns io.EOF after the last one, and a *FrameError for a malformed one. A
// record of an unknown code is returned with its code and offset alone.
func (d *Decoder) Next(e *Event) error {
	remaining := len(d.frame) - d.offset
	if remaining == 0 {
		return io.EOF
	}
	if err := d.startRecord(remaining); err != nil {
		return err
	}
	e.Code = Code(d.record[0])
	e.Offset = d.offset
	d.decodeFields(e)
	if d.err == nil && d.read < len(d.record) {
		d.fail(fmt.Sprintf("%d bytes too many", len(d.record)-d.read))
	}
	d.offset += len(d.record)
	return d.err
}

// startRecord reads the header of the next record.
func (d *Decoder) startRecord(remaining int) error {
	d.recordOffset = d.offset
	d.recordName = "record"
	d.read = 0
	d.err = nil
	if remaining < recordHeaderSize {
		d.fail(fmt.Sprintf("a record header needs %d bytes, has %d", recordHeaderSize, remaining))
		return d.err
	}
	d.recordName = Code(d.frame[d.offset]).String()
	size := int(binary.BigEndian.Uint32(d.frame[d.offset+1:]))
	if size > remaining-recordHeaderSize {
		d.read = 1
		d.fail(fmt.Sprintf("fields of %d bytes overrun the frame, which has %d left", size, remaining-recordHeaderSize))
		return d.err
	}
	d.record = d.frame[d.offset : d.offset+recordHeaderSize+size]
	d.read = recordHeaderSize
	return nil
}

// decodeFields reads the fields of a record by its code. Fields are read in the order of the protocol.
func (d *Decoder) decodeFields(e *Event) {
	switch e.Code {
	case Begin:
		e.Seed = d.uint64()
		e.Config = string(d.take(int(d.uint32())))
	case Manifest:
		d.manifest()
	case Membership:
		d.uint32() // no decision needs the first field
		d.membership(e)
	case Request:
		d.request(&e.Request)
	case Headers:
		d.attempt(&e.Outcome)
		e.Outcome.Latency = d.micros()
	case Answer:
		d.attempt(&e.Outcome)
		e.Outcome.Status = d.status()
		e.Outcome.Latency = d.micros()
		e.Outcome.Settled = d.uint8() != 0
		e.Outcome.Load = d.loadReport()
	case CancelledByClient:
		e.Outcome.ID = d.uint64()
	case TimeoutFired:
		e.Token = d.uint32()
	case HealthResult:
		e.Endpoint = d.uint32()
		e.Status = d.status()
		e.Latency = d.micros()
		e.Load = d.loadReport()
	case Whisper:
		e.From = d.uint16()
		e.Data = d.take(int(d.uint16()))
	case Stop:
	case Instance:
		e.Instance = d.uint32()
	default:
		d.read = len(d.record)
	}
}

// Bits of the options of a request record.
const (
	optionHasWorkHint = 1 << iota
	optionClientRetry
	optionWrite
)

// request reads the fields of a request record.
func (d *Decoder) request(r *balancer.Request) {
	r.ID = d.uint64()
	r.Key = d.uint64()
	r.Deadline = balancer.Micros(d.uint64())
	r.WorkHint = d.micros()
	options := d.uint8()
	r.HasWorkHint = options&optionHasWorkHint != 0
	r.ClientRetry = options&optionClientRetry != 0
	r.Write = options&optionWrite != 0
	r.Tenant = d.uint16()
	r.Class = d.uint8()
}

// attempt reads the fields that name an attempt.
func (d *Decoder) attempt(o *balancer.Outcome) {
	o.ID = d.uint64()
	o.Attempt = int(d.uint16())
	o.Endpoint = d.uint32()
}

// manifest reads a numbered endpoint list.
func (d *Decoder) manifest() {
	number := d.listNumber()
	count := int(d.uint32())
	if d.err == nil && count*entrySize > len(d.record)-d.read {
		d.read -= 4
		d.fail(fmt.Sprintf("%d entries overrun the record", count))
	}
	if d.err != nil {
		return
	}
	list := d.lists[number][:0]
	for i := 0; i < count && d.err == nil; i++ {
		list = append(list, d.endpoint())
	}
	d.lists[number] = list
	d.known[number] = true
}

// endpoint reads one entry of a manifest.
func (d *Decoder) endpoint() balancer.Endpoint {
	var e balancer.Endpoint
	e.ID = d.uint32()
	e.Zone = d.uint8()
	e.Kind = d.uint8()
	e.Cell = d.uint16()
	switch state := d.uint8(); state {
	case 0:
		e.State = balancer.Ready
	case 1:
		e.State = balancer.Draining
	case 3:
		e.State = balancer.Removed
	default:
		d.read--
		d.fail(fmt.Sprintf("unknown endpoint status %d", state))
	}
	e.Weight = math.Float32frombits(d.uint32())
	e.StartTime = balancer.Micros(d.uint64())
	return e
}

// listNumber reads the number of an endpoint list.
func (d *Decoder) listNumber() int {
	number := int(d.uint8())
	if number >= maxLists && d.err == nil {
		d.read--
		d.fail(fmt.Sprintf("list number %d is over %d", number, maxLists-1))
		return 0
	}
	return number
}

// membership reads the list number and kind of a membership record, and resolves the number.
func (d *Decoder) membership(e *Event) {
	number := d.uint8()
	e.Entries = nil
	switch kind := d.uint8(); kind {
	case 0:
		e.Kind = balancer.ListDelta
	case 4:
		e.Kind = balancer.ListFull
	case 3:
		e.Kind = balancer.ListCached
	case 2:
		e.Kind = balancer.ListFailed
		return
	default:
		d.read--
		d.fail(fmt.Sprintf("unknown kind %d", kind))
	}
	if d.err != nil {
		return
	}
	if number >= maxLists || !d.known[number] {
		d.read -= 2
		d.fail(fmt.Sprintf("list number %d has not been conveyed", number))
		return
	}
	e.Entries = d.lists[number]
}

// status reads the status of an attempt or a probe.
func (d *Decoder) status() balancer.Status {
	code := d.uint16()
	switch code {
	case 200:
		return balancer.OK
	case 500:
		return balancer.Error
	case 503:
		return balancer.Full
	case 504:
		return balancer.Timeout
	case 502:
		return balancer.ConnectFailed
	case 598:
		return balancer.Reset
	case 499:
		return balancer.Cancelled
	case 410:
		return balancer.NotSent
	}
	if d.err == nil {
		d.read -= 2
		d.fail(fmt.Sprintf("unknown status %d", code))
	}
	return balancer.Error
}

// loadReport reads the figures of a load report into the decoder's buffer.
func (d *Decoder) loadReport() []float32 {
	count := int(d.uint8())
	data := d.take(4 * count)
	d.load = d.load[:0]
	for i := 0; i+4 <= len(data); i += 4 {
		d.load = append(d.load, math.Float32frombits(binary.BigEndian.Uint32(data[i:])))
	}
	return d.load
}

// fail records the first error of a record, at the byte that is read next.
func (d *Decoder) fail(reason string) {
	if d.err == nil {
		d.err = &FrameError{Record: d.recordName, Offset: d.recordOffset + d.read, Reason: reason}
	}
}

// take returns the next n bytes of the record, or nil after an error.
func (d *Decoder) take(n int) []byte {
	if d.err != nil {
		return nil
	}
	if n < 0 || len(d.record)-d.read < n {
		d.fail(fmt.Sprintf("needs %d more bytes, has %d", n, len(d.record)-d.read))
		return nil
	}
	data := d.record[d.read : d.read+n]
	d.read += n
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
