package wire

import (
	"encoding/binary"
	"fmt"
	"io"
	"math"

	"pinedale/balancer"
)

// Event is one decoded record. Comments name the codes of the records that set a field; the other fields are left
// unset. Slices are valid until the next call of Next.
type Event struct {
	Code     Code
	Offset   int                 // byte offset of the record in its frame
	Instance uint32              // Instance
	Seed     uint64              // Begin
	Config   string              // Begin: the settings text
	Kind     balancer.ListKind   // Membership
	Entries  []balancer.Endpoint // Membership
	Request  balancer.Request    // Request
	Outcome  balancer.Outcome    // Answer; Headers and CancelledByClient set parts of it
	Token    uint32              // TimeoutFired
	Endpoint uint32              // HealthResult
	Status   balancer.Status     // HealthResult
	Latency  balancer.Micros     // HealthResult
	Load     []float32           // HealthResult
	From     uint16              // Whisper
	Data     []byte              // Whisper
}

// Decoder reads the records of batches. It stores the numbered endpoint lists, which remain valid in later batches.
type Decoder struct {
	frame  []byte
	offset int // of the next record in the frame

	// The record being read.
	record       []byte
	recordOffset int // in the frame
	recordName   string
	bytesRead    int // of the record
	err          error

	lists     [maxLists][]balancer.Endpoint
	listKnown [maxLists]bool // by number: a manifest record has set the list
	load      []float32      // buffer of load reports
}

// Reset starts on a frame from ReadFrame and returns its number and clock.
func (d *Decoder) Reset(frame []byte) (batch uint32, now balancer.Micros, err error) {
	if len(frame) < batchHeaderSize {
		return 0, 0, &FrameError{Record: "batch header", Offset: len(frame), Reason: "shorter than a header"}
	}
	if size := int(binary.BigEndian.Uint32(frame[batchSizeOffset:])); size != len(frame) {
		return 0, 0, &FrameError{
			Record: "batch header",
			Offset: batchSizeOffset,
			Reason: fmt.Sprintf("size %d but %d bytes", size, len(frame)),
		}
	}
	d.frame = frame
	d.offset = batchHeaderSize
	return binary.BigEndian.Uint32(frame), balancer.Micros(binary.BigEndian.Uint64(frame[batchClockOffset:])), nil
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
	if d.err == nil && d.bytesRead < len(d.record) {
		d.fail(fmt.Sprintf("%d bytes too many", len(d.record)-d.bytesRead))
	}
	d.offset += len(d.record)
	return d.err
}

// startRecord reads the header of the next record, where that many bytes of the frame remain.
func (d *Decoder) startRecord(remaining int) error {
	d.recordOffset = d.offset
	d.recordName = "record"
	d.bytesRead = 0
	d.err = nil
	if remaining < recordHeaderSize {
		d.fail(fmt.Sprintf("a record header needs %d bytes, has %d", recordHeaderSize, remaining))
		return d.err
	}
	d.recordName = Code(d.frame[d.offset]).String()
	size := int(binary.BigEndian.Uint32(d.frame[d.offset+codeSize:]))
	remaining -= recordHeaderSize
	if size > remaining {
		d.bytesRead = codeSize // the error is at the size
		d.fail(fmt.Sprintf("fields of %d bytes overrun the frame, which has %d left", size, remaining))
		return d.err
	}
	d.record = d.frame[d.offset : d.offset+recordHeaderSize+size]
	d.bytesRead = recordHeaderSize
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
		d.bytesRead = len(d.record)
	}
}

// Bits of the options of a request record.
const (
	optionHasWorkHint uint8 = 1 << iota
	optionClientRetry
	optionWrite
)

// States of endpoints in a manifest record.
const (
	stateReady    = 0
	stateDraining = 1
	stateRemoved  = 3
)

// Kinds of list in a membership record.
const (
	kindDelta  = 0
	kindFailed = 2
	kindCached = 3
	kindFull   = 4
)

// Statuses of attempts and health checks.
const (
	statusOK            = 200
	statusNotSent       = 410
	statusCancelled     = 499
	statusError         = 500
	statusConnectFailed = 502
	statusFull          = 503
	statusTimeout       = 504
	statusReset         = 598
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
	if count*entrySize > len(d.record)-d.bytesRead {
		d.failAtLast(4, fmt.Sprintf("%d entries overrun the record", count))
	}
	if d.err != nil {
		return
	}
	list := d.lists[number][:0]
	for i := 0; i < count && d.err == nil; i++ {
		list = append(list, d.endpoint())
	}
	d.lists[number] = list
	d.listKnown[number] = true
}

// endpoint reads one entry of a manifest.
func (d *Decoder) endpoint() balancer.Endpoint {
	var e balancer.Endpoint
	e.ID = d.uint32()
	e.Zone = d.uint8()
	e.Kind = d.uint8()
	e.Cell = d.uint16()
	e.State = d.endpointState()
	e.Weight = math.Float32frombits(d.uint32())
	e.StartTime = balancer.Micros(d.uint64())
	return e
}

// endpointState reads the state of an endpoint.
func (d *Decoder) endpointState() balancer.State {
	code := d.uint8()
	switch code {
	case stateReady:
		return balancer.Ready
	case stateDraining:
		return balancer.Draining
	case stateRemoved:
		return balancer.Removed
	}
	d.failAtLast(1, fmt.Sprintf("unknown endpoint status %d", code))
	return balancer.Ready
}

// listNumber reads the number of an endpoint list.
func (d *Decoder) listNumber() int {
	number := int(d.uint8())
	if number >= maxLists {
		d.failAtLast(1, fmt.Sprintf("list number %d is over %d", number, maxLists-1))
		return 0
	}
	return number
}

// membership reads the list number and kind of a membership record, and resolves the number.
func (d *Decoder) membership(e *Event) {
	number := d.uint8()
	e.Entries = nil
	e.Kind = d.listKind()
	if d.err != nil || e.Kind == balancer.ListFailed {
		return
	}
	if number >= maxLists || !d.listKnown[number] {
		d.failAtLast(2, fmt.Sprintf("list number %d has not been conveyed", number))
		return
	}
	e.Entries = d.lists[number]
}

// listKind reads the kind of a list.
func (d *Decoder) listKind() balancer.ListKind {
	code := d.uint8()
	switch code {
	case kindDelta:
		return balancer.ListDelta
	case kindFull:
		return balancer.ListFull
	case kindCached:
		return balancer.ListCached
	case kindFailed:
		return balancer.ListFailed
	}
	d.failAtLast(1, fmt.Sprintf("unknown kind %d", code))
	return balancer.ListFailed
}

// status reads the status of an attempt or a health check.
func (d *Decoder) status() balancer.Status {
	code := d.uint16()
	switch code {
	case statusOK:
		return balancer.OK
	case statusError:
		return balancer.Error
	case statusFull:
		return balancer.Full
	case statusTimeout:
		return balancer.Timeout
	case statusConnectFailed:
		return balancer.ConnectFailed
	case statusReset:
		return balancer.Reset
	case statusCancelled:
		return balancer.Cancelled
	case statusNotSent:
		return balancer.NotSent
	}
	d.failAtLast(2, fmt.Sprintf("unknown status %d", code))
	return balancer.Error
}

// loadReport reads the figures of a load report into the decoder's buffer.
func (d *Decoder) loadReport() []float32 {
	count := int(d.uint8())
	data := d.take(count * loadFigureSize)
	d.load = d.load[:0]
	for i := 0; i+loadFigureSize <= len(data); i += loadFigureSize {
		d.load = append(d.load, math.Float32frombits(binary.BigEndian.Uint32(data[i:])))
	}
	return d.load
}

// failAtLast records an error about the last n bytes that were read, unless there was one before.
func (d *Decoder) failAtLast(n int, reason string) {
	if d.err == nil {
		d.bytesRead -= n
		d.fail(reason)
	}
}

// fail records the first error of a record, at the byte that is read next.
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
