package wire

import (
	"encoding/binary"
	"math"

	"pinedale/balancer"
)

// AllPeers addresses WritePeer to every peer.
const AllPeers uint32 = math.MaxUint32

// maxPeerDataBytes is the limit to which the data of a write_peer record is truncated.
const maxPeerDataBytes = 256

// Sizes of the fields of records, in bytes.
const (
	idSize       = 8 // of a request
	attemptSize  = 2
	endpointSize = 4
	instanceSize = 4
	peerSize     = 4
	delaySize    = 4
	tokenSize    = 4
	flagSize     = 1
	lengthSize   = 2 // of data or text that follows
)

// Reply builds the frame that answers one batch. It reuses its buffer.
type Reply struct {
	buffer  []byte
	records uint32
}

// Reset starts the reply to a batch.
func (r *Reply) Reset(batch uint32) {
	r.buffer = binary.BigEndian.AppendUint32(r.buffer[:0], batch)
	r.buffer = append(r.buffer, 0, 0, 0, 0, 0, 0, 0, 0) // placeholder of the size and the record count that Bytes sets
	r.records = 0
}

// Bytes completes the frame and returns it. It is valid until the next call of Reset.
func (r *Reply) Bytes() []byte {
	binary.BigEndian.PutUint32(r.buffer[replySizeOffset:], uint32(len(r.buffer)))
	binary.BigEndian.PutUint32(r.buffer[replyCountOffset:], r.records)
	return r.buffer
}

// As writes an as record, which names the instance that issues the actions after it.
func (r *Reply) As(instance uint32) {
	r.startRecord(As, instanceSize)
	r.uint32(instance)
}

// Deliver writes a deliver record.
func (r *Reply) Deliver(id uint64, endpoint uint32, timeout balancer.Micros) {
	r.startRecord(Deliver, idSize+endpointSize+delaySize)
	r.uint64(id)
	r.uint32(endpoint)
	r.micros(timeout)
}

// Decline writes a decline record.
func (r *Reply) Decline(id uint64, retryIn balancer.Micros) {
	r.startRecord(Decline, idSize+delaySize)
	r.uint64(id)
	r.micros(retryIn)
}

// Fail writes a fail record.
func (r *Reply) Fail(id uint64) {
	r.startRecord(Fail, idSize)
	r.uint64(id)
}

// Revoke writes a revoke record.
func (r *Reply) Revoke(id uint64, attempt int) {
	r.startRecord(Revoke, idSize+attemptSize)
	r.uint64(id)
	r.uint16(uint16(attempt))
}

// Arm writes an arm record.
func (r *Reply) Arm(delay balancer.Micros, token uint32) {
	r.startRecord(Arm, delaySize+tokenSize)
	r.micros(delay)
	r.uint32(token)
}

// SoundOut writes a sound_out record.
func (r *Reply) SoundOut(endpoint uint32) {
	r.startRecord(SoundOut, endpointSize)
	r.uint32(endpoint)
}

// LetGo writes a let_go record.
func (r *Reply) LetGo(endpoint uint32) {
	r.startRecord(LetGo, endpointSize)
	r.uint32(endpoint)
}

// WritePeer writes a write_peer record. Data beyond maxPeerDataBytes is truncated.
func (r *Reply) WritePeer(peer uint32, data []byte) {
	data = data[:min(len(data), maxPeerDataBytes)]
	r.startRecord(WritePeer, peerSize+lengthSize+len(data))
	r.uint32(peer)
	r.uint16(uint16(len(data)))
	r.buffer = append(r.buffer, data...)
}

// Trace writes a trace record.
func (r *Reply) Trace(line string) { r.text(Trace, line) }

// Exception writes an exception record.
func (r *Reply) Exception(line string) { r.text(Exception, line) }

// Track writes a track record.
func (r *Reply) Track(on bool) {
	r.startRecord(Track, flagSize)
	if on {
		r.buffer = append(r.buffer, 1)
	} else {
		r.buffer = append(r.buffer, 0)
	}
}

// ListAll writes a list_all record.
func (r *Reply) ListAll() { r.startRecord(ListAll, 0) }

// startRecord writes the header of a record whose fields take size bytes.
func (r *Reply) startRecord(code Code, size int) {
	r.records++
	r.buffer = append(r.buffer, byte(code))
	r.uint32(uint32(size))
}

// text writes a record of one line, truncated to the longest length that its field can hold.
func (r *Reply) text(code Code, line string) {
	line = line[:min(len(line), math.MaxUint16)]
	r.startRecord(code, lengthSize+len(line))
	r.uint16(uint16(len(line)))
	r.buffer = append(r.buffer, line...)
}

func (r *Reply) uint16(value uint16) { r.buffer = binary.BigEndian.AppendUint16(r.buffer, value) }
func (r *Reply) uint32(value uint32) { r.buffer = binary.BigEndian.AppendUint32(r.buffer, value) }
func (r *Reply) uint64(value uint64) { r.buffer = binary.BigEndian.AppendUint64(r.buffer, value) }

// micros writes a duration, clamped to the range of an unsigned 32-bit integer.
func (r *Reply) micros(duration balancer.Micros) {
	r.uint32(uint32(min(max(duration, 0), math.MaxUint32)))
}
