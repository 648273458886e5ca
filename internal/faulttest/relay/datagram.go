package relay

import (
	"net"
	"slices"
	"time"
)

// maxDatagramBytes is the size of the buffer that receives datagrams. It exceeds the largest UDP payload.
const maxDatagramBytes = 1 << 16

// forwardDatagrams forwards datagrams until the relay is closed.
func (r *Relay) forwardDatagrams() {
	sender, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return
	}
	defer sender.Close()
	queue := reorderQueue{}
	buffer := make([]byte, maxDatagramBytes)
	for {
		count, _, err := r.socket.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		fate := r.outbound.drawFate()
		if fate.dropped {
			continue
		}
		datagram := slices.Clone(buffer[:count])
		fate.corrupt(datagram)
		r.sendDatagrams(sender, queue.next(datagram, fate), fate.delay)
	}
}

// reorderQueue holds back a datagram that is to be delivered after its successor.
type reorderQueue struct {
	delayed []byte // nil if none is held back
}

// next returns the datagrams to deliver after another one was received.
func (q *reorderQueue) next(datagram []byte, fate datagramFate) [][]byte {
	if fate.reordered && q.delayed == nil {
		q.delayed = datagram
		return nil
	}
	batch := [][]byte{datagram}
	if fate.duplicated {
		batch = append(batch, datagram)
	}
	if q.delayed != nil {
		batch = append(batch, q.delayed)
		q.delayed = nil
	}
	return batch
}

// sendDatagrams sends datagrams to the target, at once or after a delay.
func (r *Relay) sendDatagrams(sender net.PacketConn, datagrams [][]byte, delay time.Duration) {
	if len(datagrams) == 0 {
		return
	}
	send := func() {
		to := r.currentTarget().datagrams
		for _, datagram := range datagrams {
			_, _ = sender.WriteTo(datagram, to) // a datagram that cannot be sent is lost
		}
	}
	if delay == 0 {
		send()
		return
	}
	r.tasks.Go(func() {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-timer.C:
			send()
		case <-r.ctx.Done():
		}
	})
}
