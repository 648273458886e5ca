package wire

import (
	"encoding/binary"
	"math"

	"pinedale/balancer"
)

// AllPeers addresses WritePeer to every peer.
const AllPeers uint32 = math.MaxUint32

// maxPeerData is the size in bytes to which the data of a write_peer record is cut.
const maxPeerData = 256

// Reply builds the answer to one batch. It reuses its buffer.
type Reply struct {
	buffer  []byte
	records uint32
}

// Reset starts the reply to a batch.
func (w *Reply) Reset(batch uint32) {
	w.buffer = binary.BigEndian.AppendUint32(w.buffer[:0], batch)
	w.buffer = append(w.buffer, 0, 0, 0, 0, 0, 0, 0, 0) // size and number of records: see Bytes
	w.records = 0
}

// Bytes completes the frame and returns it. It is valid until the next call of Reset.
func (w *Reply) Bytes() []byte {
	binary.BigEndian.PutUint32(w.buffer[4:], uint32(len(w.buffer)))
	binary.BigEndian.PutUint32(w.buffer[8:], w.records)
	return w.buffer
}

// As names the instance that issues the following actions.
func (w *Reply) As(instance uint32) {
	w.startRecord(As, 4)
	w.uint32(instance)
}

// Deliver writes a deliver record.
func (w *Reply) Deliver(id uint64, endpoint uint32, timeout balancer.Micros) {
	w.startRecord(Deliver, 16)
	w.uint64(id)
	w.uint32(endpoint)
	w.micros(timeout)
}

// Decline writes a decline record.
func (w *Reply) Decline(id uint64, retryIn balancer.Micros) {
	w.startRecord(Decline, 12)
	w.uint64(id)
	w.micros(retryIn)
}

// Fail writes a fail record.
func (w *Reply) Fail(id uint64) {
	w.startRecord(Fail, 8)
	w.uint64(id)
}

// Revoke writes a revoke record.
func (w *Reply) Revoke(id uint64, attempt int) {
	w.startRecord(Revoke, 10)
	w.uint64(id)
	w.uint16(uint16(attempt))
}

// Arm writes an arm record.
func (w *Reply) Arm(delay balancer.Micros, token uint32) {
	w.startRecord(Arm, 8)
	w.micros(delay)
	w.uint32(token)
}

// SoundOut writes a sound_out record.
func (w *Reply) SoundOut(endpoint uint32) {
	w.startRecord(SoundOut, 4)
	w.uint32(endpoint)
}

// LetGo writes a let_go record.
func (w *Reply) LetGo(endpoint uint32) {
	w.startRecord(LetGo, 4)
	w.uint32(endpoint)
}

// WritePeer writes a write_peer record; data beyond 256 bytes is cut off.
func (w *Reply) WritePeer(peer uint32, data []byte) {
	data = data[:min(len(data), maxPeerData)]
	w.startRecord(WritePeer, 6+len(data))
	w.uint32(peer)
	w.uint16(uint16(len(data)))
	w.buffer = append(w.buffer, data...)
}

// Trace writes a trace record.
func (w *Reply) Trace(line string) { w.text(Trace, line) }

// Exception writes an exception record.
func (w *Reply) Exception(line string) { w.text(Exception, line) }

// Track writes a track record.
func (w *Reply) Track(on bool) {
	w.startRecord(Track, 1)
	if on {
		w.buffer = append(w.buffer, 1)
	} else {
		w.buffer = append(w.buffer, 0)
	}
}

// ListAll writes a list_all record.
func (w *Reply) ListAll() { w.startRecord(ListAll, 0) }

// startRecord writes the header of a record with fields of so many bytes.
func (w *Reply) startRecord(code Code, size int) {
	w.records++
	w.buffer = append(w.buffer, byte(code))
	w.uint32(uint32(size))
}

// text writes a record of one line, cut to the longest that its size can state.
func (w *Reply) text(code Code, line string) {
	line = line[:min(len(line), math.MaxUint16)]
	w.startRecord(code, 2+len(line))
	w.uint16(uint16(len(line)))
	w.buffer = append(w.buffer, line...)
}

func (w *Reply) uint16(v uint16) { w.buffer = binary.BigEndian.AppendUint16(w.buffer, v) }
func (w *Reply) uint32(v uint32) { w.buffer = binary.BigEndian.AppendUint32(w.buffer, v) }
func (w *Reply) uint64(v uint64) { w.buffer = binary.BigEndian.AppendUint64(w.buffer, v) }

// micros writes a duration, clamped to what four bytes can state.
func (w *Reply) micros(v balancer.Micros) { w.uint32(uint32(min(max(v, 0), math.MaxUint32))) }
