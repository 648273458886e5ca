package httpfront

import (
	"io"
	"net"
	"testing"

	"pinedale/internal/standin/wait"
)

// connPair returns both ends of a connection, the client's first.
func connPair(t *testing.T) (client net.Conn, served *clientConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client, err = net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	raw, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		client.Close()
		raw.Close()
	})
	return client, &clientConn{Conn: raw}
}

// A disconnect is detected at the socket, whether or not a read is running and whatever that read has returned.
func TestDisconnectIsSeenAtTheSocket(t *testing.T) {
	for name, end := range map[string]func(net.Conn){
		"closed":        func(c net.Conn) { c.Close() },
		"reset":         func(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0); c.Close() },
		"half closed":   func(c net.Conn) { _ = c.(*net.TCPConn).CloseWrite() },
		"closed by us":  nil,
		"reading first": func(c net.Conn) { c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			client, served := connPair(t)
			read := make(chan struct{})
			close(read)
			if name == "reading first" {
				read = make(chan struct{})
				go func() {
					defer close(read)
					_, _ = served.Conn.Read(make([]byte, 1))
				}()
			}
			if served.disconnected() {
				t.Fatal("disconnected is true before the connection is closed")
			}
			if end == nil {
				served.Conn.Close()
			} else {
				end(client)
			}
			<-read
			wait.Until(t, "the disconnect to be seen", served.disconnected)
		})
	}
}

// A client that has sent bytes after its request counts as connected.
func TestUnreadBytesAreNoDisconnect(t *testing.T) {
	client, served := connPair(t)
	if _, err := io.WriteString(client, "GET"); err != nil {
		t.Fatal(err)
	}
	if served.disconnected() {
		t.Error("disconnected is true while bytes are unread")
	}
	received := make([]byte, 3)
	if _, err := io.ReadFull(served.Conn, received); err != nil || string(received) != "GET" {
		t.Errorf("received %q, %v after the check, want the unread bytes GET", received, err)
	}
}
