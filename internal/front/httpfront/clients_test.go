package httpfront

import (
	"io"
	"net"
	"testing"
	"time"
)

// Where every connection has a request open, one more is closed.
func TestNoRoomForAConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &clients{Listener: listener, most: 1}
	defer l.Close()
	accepted := make(chan *clientConn, 2)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c.(*clientConn)
		}
	}()
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		conn.SetDeadline(time.Now().Add(20 * time.Second))
		return conn
	}
	defer dial().Close()
	c := <-accepted
	if _, ok := c.begin(0); !ok {
		t.Fatal("the first connection is gone")
	}
	second := dial()
	defer second.Close()
	if _, err := second.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the second connection: %v, want its end", err)
	}
	c.done()
	defer dial().Close()
	<-accepted
	if _, ok := c.begin(0); ok {
		t.Error("the first connection takes requests after making room")
	}
	c.Close()
	if n := l.count(); n != 1 {
		t.Errorf("%d connections are counted, want 1", n)
	}
}
