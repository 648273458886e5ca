// Package wire reads and writes the simulator's binary frames and settings
// text. It takes no decisions.
package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"

	"pinedale/balancer"
)

// Code numbers an event or an action; the two have separate code spaces.
type Code uint8

// Codes of events.
const (
	Begin             Code = 16
	Membership        Code = 17
	Request           Code = 18
	Headers           Code = 19
	Answer            Code = 20
	CancelledByClient Code = 21
	TimeoutFired      Code = 22
	HealthResult      Code = 23
	Whisper           Code = 24
	Stop              Code = 25
	Manifest          Code = 26
	Instance          Code = 27
)

// Codes of actions.
const (
	Deliver   Code = 80
	Decline   Code = 81
	Fail      Code = 82
	Revoke    Code = 83
	Arm       Code = 84
	SoundOut  Code = 85
	LetGo     Code = 86
	WritePeer Code = 87
	Trace     Code = 88
	Exception Code = 89
	Track     Code = 90
	ListAll   Code = 91
	As        Code = 92
)

var eventNames = map[Code]string{
	Begin: "begin", Membership: "membership", Request: "request", Headers: "headers",
	Answer: "answer", CancelledByClient: "cancelled_by_client", TimeoutFired: "timeout_fired",
	HealthResult: "health_result", Whisper: "whisper", Stop: "stop", Manifest: "manifest",
	Instance: "instance",
}

// String returns the event's name on the wire.
func (c Code) String() string {
	if name, ok := eventNames[c]; ok {
		return name
	}
	return fmt.Sprintf("event %d", uint8(c))
}

const (
	batchHeader = 16
	replyHeader = 12
	recHeader   = 5
	entrySize   = 21
	lists       = 16
	maxFrame    = 1 << 30
)

// FrameError says which record is malformed and at which byte of its frame.
type FrameError struct {
	Record string
	Offset int
	Reason string
}

// Error names the record, the byte offset and the reason.
func (e *FrameError) Error() string {
	return fmt.Sprintf("%s at byte %d: %s", e.Record, e.Offset, e.Reason)
}

// ReadFrame reads one batch into buf, growing it as needed. It returns io.EOF
// only at a clean end of input.
func ReadFrame(r io.Reader, buf []byte) ([]byte, error) {
	if cap(buf) < batchHeader {
		buf = make([]byte, 1<<16)
	}
	buf = buf[:batchHeader]
	if n, err := io.ReadFull(r, buf); err != nil {
		if errors.Is(err, io.EOF) {
			return nil, io.EOF
		}
		return nil, &FrameError{"batch header", n, "input ends inside it"}
	}
	size := int(binary.BigEndian.Uint32(buf[4:]))
	if size < batchHeader || size > maxFrame {
		return nil, &FrameError{"batch header", 4, fmt.Sprintf("frame size %d is out of range", size)}
	}
	for have := batchHeader; have < size; {
		// Grow as bytes arrive: a size alone must not take memory.
		step := min(size-have, 1<<20)
		if cap(buf) < have+step {
			grown := make([]byte, have, max(have+step, 2*cap(buf)))
			copy(grown, buf)
			buf = grown
		}
		buf = buf[:have+step]
		n, err := io.ReadFull(r, buf[have:])
		if err != nil {
			return nil, &FrameError{"batch", have + n, fmt.Sprintf("input ends inside a frame of %d bytes", size)}
		}
		have += step
	}
	return buf, nil
}

// Event is one decoded record. Only the fields of its code are set; slices are
// valid until the next call of Next.
type Event struct {
	Code     Code
	Offset   int    // of the record in its frame
	Instance uint32 // Instance
	Seed     uint64 // Begin
	Config   string // Begin
	Kind     balancer.ListKind
	Entries  []balancer.Endpoint // Membership
	Request  balancer.Request
	Outcome  balancer.Outcome // Answer; Headers and CancelledByClient set parts of it
	Token    uint32           // TimeoutFired
	Endpoint uint32           // HealthResult
	Status   balancer.Status
	Latency  balancer.Micros
	Load     []float32
	From     uint16 // Whisper
	Data     []byte
}

// Decoder reads the records of batches. It keeps the numbered lists, which
// outlive a batch.
type Decoder struct {
	frame   []byte
	at      int
	rec     []byte
	recAt   int
	recName string
	off     int
	err     error

	lists [lists][]balancer.Endpoint
	known [lists]bool
	load  []float32
}

// Reset starts on a frame from ReadFrame and returns its number and clock.
func (d *Decoder) Reset(frame []byte) (batch uint32, now balancer.Micros, err error) {
	if len(frame) < batchHeader {
		return 0, 0, &FrameError{"batch header", len(frame), "shorter than a header"}
	}
	if size := int(binary.BigEndian.Uint32(frame[4:])); size != len(frame) {
		return 0, 0, &FrameError{"batch header", 4, fmt.Sprintf("size %d but %d bytes", size, len(frame))}
	}
	d.frame, d.at = frame, batchHeader
	return binary.BigEndian.Uint32(frame), balancer.Micros(binary.BigEndian.Uint64(frame[8:])), nil
}

func (d *Decoder) fail(reason string) {
	if d.err == nil {
		d.err = &FrameError{d.recName, d.recAt + d.off, reason}
	}
}

// take returns the next n bytes of the record, or nil after an error.
func (d *Decoder) take(n int) []byte {
	if d.err != nil {
		return nil
	}
	if n < 0 || len(d.rec)-d.off < n {
		d.fail(fmt.Sprintf("needs %d more bytes, has %d", n, len(d.rec)-d.off))
		return nil
	}
	p := d.rec[d.off : d.off+n]
	d.off += n
	return p
}

func (d *Decoder) u8() uint8 {
	if p := d.take(1); p != nil {
		return p[0]
	}
	return 0
}

func (d *Decoder) u16() uint16 {
	if p := d.take(2); p != nil {
		return binary.BigEndian.Uint16(p)
	}
	return 0
}

func (d *Decoder) u32() uint32 {
	if p := d.take(4); p != nil {
		return binary.BigEndian.Uint32(p)
	}
	return 0
}

func (d *Decoder) u64() uint64 {
	if p := d.take(8); p != nil {
		return binary.BigEndian.Uint64(p)
	}
	return 0
}

func (d *Decoder) status() balancer.Status {
	code := d.u16()
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
		d.off -= 2
		d.fail(fmt.Sprintf("unknown status %d", code))
	}
	return balancer.Error
}

func (d *Decoder) loads() []float32 {
	n := int(d.u8())
	p := d.take(4 * n)
	d.load = d.load[:0]
	for i := 0; i+4 <= len(p); i += 4 {
		d.load = append(d.load, math.Float32frombits(binary.BigEndian.Uint32(p[i:])))
	}
	return d.load
}

// Next decodes one record into e. It returns io.EOF after the last one. A
// record of an unknown code is returned with its code alone.
func (d *Decoder) Next(e *Event) error {
	remaining := len(d.frame) - d.at
	if remaining == 0 {
		return io.EOF
	}
	d.recAt, d.recName, d.off, d.err = d.at, "record", 0, nil
	if remaining < recHeader {
		d.fail(fmt.Sprintf("a record header needs %d bytes, has %d", recHeader, remaining))
		return d.err
	}
	code := Code(d.frame[d.at])
	d.recName = code.String()
	size := int(binary.BigEndian.Uint32(d.frame[d.at+1:]))
	if size > remaining-recHeader {
		d.off = 1
		d.fail(fmt.Sprintf("fields of %d bytes overrun the frame, which has %d left", size, remaining-recHeader))
		return d.err
	}
	d.rec, d.off = d.frame[d.at:d.at+recHeader+size], recHeader
	e.Code, e.Offset = code, d.at
	switch code {
	case Begin:
		e.Seed = d.u64()
		e.Config = string(d.take(int(d.u32())))
	case Manifest:
		d.manifest()
	case Membership:
		d.u32()
		d.membership(e)
	case Request:
		r := &e.Request
		r.ID, r.Key, r.Deadline, r.WorkHint = d.u64(), d.u64(), balancer.Micros(d.u64()), balancer.Micros(d.u32())
		opts := d.u8()
		r.HasWorkHint, r.ClientRetry, r.Write = opts&1 != 0, opts&2 != 0, opts&4 != 0
		r.Tenant, r.Class = d.u16(), d.u8()
	case Headers:
		o := &e.Outcome
		o.ID, o.Attempt, o.Endpoint, o.Latency = d.u64(), int(d.u16()), d.u32(), balancer.Micros(d.u32())
	case Answer:
		o := &e.Outcome
		o.ID, o.Attempt, o.Endpoint = d.u64(), int(d.u16()), d.u32()
		o.Status, o.Latency, o.Settled = d.status(), balancer.Micros(d.u32()), d.u8() != 0
		o.Load = d.loads()
	case CancelledByClient:
		e.Outcome.ID = d.u64()
	case TimeoutFired:
		e.Token = d.u32()
	case HealthResult:
		e.Endpoint, e.Status, e.Latency = d.u32(), d.status(), balancer.Micros(d.u32())
		e.Load = d.loads()
	case Whisper:
		e.From = d.u16()
		e.Data = d.take(int(d.u16()))
	case Stop:
	case Instance:
		e.Instance = d.u32()
	default:
		d.off = len(d.rec)
	}
	if d.err == nil && d.off < len(d.rec) {
		d.fail(fmt.Sprintf("%d bytes too many", len(d.rec)-d.off))
	}
	d.at += len(d.rec)
	return d.err
}

func (d *Decoder) listNumber() int {
	n := int(d.u8())
	if n >= lists && d.err == nil {
		d.off--
		d.fail(fmt.Sprintf("list number %d is over %d", n, lists-1))
		return 0
	}
	return n
}

func (d *Decoder) manifest() {
	id := d.listNumber()
	n := int(d.u32())
	if d.err == nil && n*entrySize > len(d.rec)-d.off {
		d.off -= 4
		d.fail(fmt.Sprintf("%d entries overrun the record", n))
	}
	if d.err != nil {
		return
	}
	list := d.lists[id][:0]
	for i := 0; i < n && d.err == nil; i++ {
		var e balancer.Endpoint
		e.ID, e.Zone, e.Kind, e.Cell = d.u32(), d.u8(), d.u8(), d.u16()
		switch state := d.u8(); state {
		case 0:
			e.State = balancer.Ready
		case 1:
			e.State = balancer.Draining
		case 3:
			e.State = balancer.Removed
		default:
			d.off--
			d.fail(fmt.Sprintf("unknown endpoint status %d", state))
		}
		e.Weight = math.Float32frombits(d.u32())
		e.StartTime = balancer.Micros(d.u64())
		list = append(list, e)
	}
	d.lists[id], d.known[id] = list, true
}

func (d *Decoder) membership(e *Event) {
	id := d.u8()
	e.Entries = nil
	switch kind := d.u8(); kind {
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
		d.off--
		d.fail(fmt.Sprintf("unknown kind %d", kind))
	}
	if d.err != nil {
		return
	}
	if id >= lists || !d.known[id] {
		d.off -= 2
		d.fail(fmt.Sprintf("list number %d has not been conveyed", id))
		return
	}
	e.Entries = d.lists[id]
}

// Reply builds the answer to one batch. It reuses its buffer.
type Reply struct {
	buf   []byte
	count uint32
}

// Reset starts the reply to a batch.
func (w *Reply) Reset(batch uint32) {
	w.buf = binary.BigEndian.AppendUint32(w.buf[:0], batch)
	w.buf = append(w.buf, 0, 0, 0, 0, 0, 0, 0, 0)
	w.count = 0
}

// Bytes completes the frame.
func (w *Reply) Bytes() []byte {
	binary.BigEndian.PutUint32(w.buf[4:], uint32(len(w.buf)))
	binary.BigEndian.PutUint32(w.buf[8:], w.count)
	return w.buf
}

func (w *Reply) rec(c Code, size int) {
	w.count++
	w.buf = append(w.buf, byte(c))
	w.u32(uint32(size))
}

func (w *Reply) u16(v uint16) { w.buf = binary.BigEndian.AppendUint16(w.buf, v) }
func (w *Reply) u32(v uint32) { w.buf = binary.BigEndian.AppendUint32(w.buf, v) }
func (w *Reply) u64(v uint64) { w.buf = binary.BigEndian.AppendUint64(w.buf, v) }

func (w *Reply) micros(v balancer.Micros) { w.u32(uint32(min(max(v, 0), math.MaxUint32))) }

// As names the instance that issues the following actions.
func (w *Reply) As(instance uint32) { w.rec(As, 4); w.u32(instance) }

// Deliver writes a deliver record.
func (w *Reply) Deliver(id uint64, endpoint uint32, timeout balancer.Micros) {
	w.rec(Deliver, 16)
	w.u64(id)
	w.u32(endpoint)
	w.micros(timeout)
}

// Decline writes a decline record.
func (w *Reply) Decline(id uint64, retryIn balancer.Micros) {
	w.rec(Decline, 12)
	w.u64(id)
	w.micros(retryIn)
}

// Fail writes a fail record.
func (w *Reply) Fail(id uint64) { w.rec(Fail, 8); w.u64(id) }

// Revoke writes a revoke record.
func (w *Reply) Revoke(id uint64, attempt int) {
	w.rec(Revoke, 10)
	w.u64(id)
	w.u16(uint16(attempt))
}

// Arm writes an arm record.
func (w *Reply) Arm(delay balancer.Micros, token uint32) {
	w.rec(Arm, 8)
	w.micros(delay)
	w.u32(token)
}

// SoundOut writes a sound_out record.
func (w *Reply) SoundOut(endpoint uint32) { w.rec(SoundOut, 4); w.u32(endpoint) }

// LetGo writes a let_go record.
func (w *Reply) LetGo(endpoint uint32) { w.rec(LetGo, 4); w.u32(endpoint) }

// AllPeers addresses WritePeer to every peer.
const AllPeers uint32 = math.MaxUint32

// WritePeer writes a write_peer record; data beyond 256 bytes is cut off.
func (w *Reply) WritePeer(peer uint32, data []byte) {
	data = data[:min(len(data), 256)]
	w.rec(WritePeer, 6+len(data))
	w.u32(peer)
	w.u16(uint16(len(data)))
	w.buf = append(w.buf, data...)
}

func (w *Reply) text(c Code, line string) {
	line = line[:min(len(line), math.MaxUint16)]
	w.rec(c, 2+len(line))
	w.u16(uint16(len(line)))
	w.buf = append(w.buf, line...)
}

// Trace writes a trace record.
func (w *Reply) Trace(line string) { w.text(Trace, line) }

// Exception writes an exception record.
func (w *Reply) Exception(line string) { w.text(Exception, line) }

// Track writes a track record.
func (w *Reply) Track(on bool) {
	w.rec(Track, 1)
	if on {
		w.buf = append(w.buf, 1)
	} else {
		w.buf = append(w.buf, 0)
	}
}

// ListAll writes a list_all record.
func (w *Reply) ListAll() { w.rec(ListAll, 0) }
