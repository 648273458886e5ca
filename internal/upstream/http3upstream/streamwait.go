package http3upstream

import (
	"context"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

// streamTimeout bounds the wait for a stream: an endpoint that responds on UDP may accept no
// new streams. The request is then sent elsewhere, since it was not sent here.
const streamTimeout = 100 * time.Millisecond

// streamWait bounds the time that one request waits for a stream.
type streamWait struct {
	conn   *quic.Conn
	cancel func()      // ends the request
	opened atomic.Bool // a stream was opened, as shown by the request's first written byte

	mu    sync.Mutex
	ended bool
	timer *time.Timer
}

// newStreamWait starts the timer for a request's wait for a stream of a connection. stop must be
// called afterwards.
func newStreamWait(conn *quic.Conn, cancel func()) *streamWait {
	w := &streamWait{conn: conn, cancel: cancel}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(streamTimeout, w.expire)
	return w
}

// expire cancels a request that has no stream, if the endpoint accepts none. If it accepts one, the
// endpoint did not cause the delay: this process was not scheduled in time, and the wait goes on.
func (w *streamWait) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.ended || w.opened.Load():
	case acceptsStream(w.conn):
		w.timer.Reset(streamTimeout)
	default:
		w.cancel()
	}
}

// stop ends the wait. The request is not cancelled afterwards.
func (w *streamWait) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	w.timer.Stop()
}

// traceContext returns a request context that sets w.opened on the first write.
func (w *streamWait) traceContext(ctx context.Context) context.Context {
	setOpened := func() { w.opened.Store(true) }
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteHeaderField: func(string, []string) { setOpened() },
		WroteHeaders:     setOpened,
		WroteRequest:     func(httptrace.WroteRequestInfo) { setOpened() },
	})
}

// acceptsStream reports whether a connection's endpoint accepts one more stream. It opens a stream
// and resets it without having written anything, so that the endpoint sees no request. It returns
// false if requests are waiting for streams.
func acceptsStream(conn *quic.Conn) bool {
	stream, err := conn.OpenStream()
	if err != nil {
		return false
	}
	stream.CancelWrite(quic.StreamErrorCode(http3.ErrCodeRequestCanceled))
	stream.CancelRead(quic.StreamErrorCode(http3.ErrCodeRequestCanceled))
	return true
}
