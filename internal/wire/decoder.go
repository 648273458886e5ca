package wire

import (
	"encoding/binary"
	"fmt"
	"io"
	"math"

	"pinedale/balancer"
)

// Event is one decoded record. Each field has a comment with the codes of the records that set it; the other fields
// keep their previous values. Slices are valid until the next call of Next.
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
	listKnown [maxLists]bool // by number: whether a manifest record has set the list
	load      []float32      // buffer of load reports
}

// Reset starts decoding a frame from ReadFrame and returns its number and clock.
func (d *Decoder) Reset(frame []byte) (batch uint32, now balancer.Micros, err error) {
	if len(frame) < batchHeaderSize {
		return 0, 0, &FrameError{Record: "batch header", Offset: len(frame), Reason: "frame is shorter than its header"}
	}
	if size := int(binary.BigEndian.Uint32(frame[batchSizeOffset:])); size != len(frame) {
		return 0, 0, &FrameError{
			Record: "batch header",
			Offset: batchSizeOffset,
			Reason: fmt.Sprintf("size field is %d, frame has %d bytes", size, len(frame)),
		}
	}
	d.frame = frame
	d.offset = batchHeaderSize
	return binary.BigEndian.Uint32(frame), balancer.Micros(binary.BigEndian.Uint64(frame[batchClockOffset:])), nil
}

// Next decodes one record into event. It returns io.EOF after the last one, and a *FrameError for a malformed one. For
// a record of an unknown code, it sets only code and offset.
func (d *Decoder) Next(event *Event) error {
	remaining := len(d.frame) - d.offset
	if remaining == 0 {
		return io.EOF
	}
	if err := d.startRecord(remaining); err != nil {
		return err
	}
	event.Code = Code(d.record[0])
	event.Offset = d.offset
	d.decodeFields(event)
	if d.err == nil && d.bytesRead < len(d.record) {
		d.fail(fmt.Sprintf("fields have %d bytes too many", len(d.record)-d.bytesRead))
	}
	d.offset += len(d.record)
	return d.err
}

// startRecord reads the header of the next record. remaining is the number of undecoded bytes in the frame.
func (d *Decoder) startRecord(remaining int) error {
	d.recordOffset = d.offset
	d.recordName = "record"
	d.bytesRead = 0
	d.err = nil
	if remaining < recordHeaderSize {
		d.fail(fmt.Sprintf("record header needs %d bytes, frame has %d left", recordHeaderSize, remaining))
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
func (d *Decoder) decodeFields(event *Event) {
	switch event.Code {
	case Begin:
		event.Seed = d.uint64()
		event.Config = string(d.take(int(d.uint32())))
	case Manifest:
		d.manifest()
	case Membership:
		d.uint32() // not used
		d.membership(event)
	case Request:
		d.request(&event.Request)
	case Headers:
		d.attempt(&event.Outcome)
		event.Outcome.Latency = d.micros()
	case Answer:
		d.attempt(&event.Outcome)
		event.Outcome.Status = d.status()
		event.Outcome.Latency = d.micros()
		event.Outcome.Settled = d.uint8() != 0
		event.Outcome.Load = d.loadReport()
	case CancelledByClient:
		event.Outcome.ID = d.uint64()
	case TimeoutFired:
		event.Token = d.uint32()
	case HealthResult:
		event.Endpoint = d.uint32()
		event.Status = d.status()
		event.Latency = d.micros()
		event.Load = d.loadReport()
	case Whisper:
		event.From = d.uint16()
		event.Data = d.take(int(d.uint16()))
	case Stop:
	case Instance:
		event.Instance = d.uint32()
	default:
		d.bytesRead = len(d.record)
	}
}

// request reads the fields of a request record.
func (d *Decoder) request(request *balancer.Request) {
	request.ID = d.uint64()
	request.Key = d.uint64()
	request.Deadline = balancer.Micros(d.uint64())
	request.WorkHint = d.micros()
	options := d.uint8()
	request.HasWorkHint = options&optionHasWorkHint != 0
	request.ClientRetry = options&optionClientRetry != 0
	request.Write = options&optionWrite != 0
	request.Tenant = d.uint16()
	request.Class = d.uint8()
}

// attempt reads the fields that name an attempt.
func (d *Decoder) attempt(outcome *balancer.Outcome) {
	outcome.ID = d.uint64()
	outcome.Attempt = int(d.uint16())
	outcome.Endpoint = d.uint32()
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
	var endpoint balancer.Endpoint
	endpoint.ID = d.uint32()
	endpoint.Zone = d.uint8()
	endpoint.Kind = d.uint8()
	endpoint.Cell = d.uint16()
	endpoint.State = d.endpointState()
	endpoint.Weight = math.Float32frombits(d.uint32())
	endpoint.StartTime = balancer.Micros(d.uint64())
	return endpoint
}

// listNumber reads the number of an endpoint list.
func (d *Decoder) listNumber() int {
	number := int(d.uint8())
	if number >= maxLists {
		d.failAtLast(1, fmt.Sprintf("list number %d is over the maximum of %d", number, maxLists-1))
		return 0
	}
	return number
}

// membership reads the list number and kind of a membership record, and sets the entries of that list.
func (d *Decoder) membership(event *Event) {
	number := d.uint8()
	event.Entries = nil
	event.Kind = d.listKind()
	if d.err != nil || event.Kind == balancer.ListFailed {
		return
	}
	if number >= maxLists || !d.listKnown[number] {
		d.failAtLast(2, fmt.Sprintf("list number %d has not been received in a manifest record", number))
		return
	}
	event.Entries = d.lists[number]
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
