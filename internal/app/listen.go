package app

import (
	"fmt"
	"net"

	"pinedale/internal/config"
)

// sockets are the open sockets of the fronts, nil for a front that is not switched on.
type sockets struct {
	http    net.Listener
	extProc net.Listener
	http3   net.PacketConn
}

// openSockets opens the sockets of all fronts, or none if one of them fails.
func openSockets(file *config.File) (*sockets, error) {
	s := &sockets{}
	if err := s.open(file); err != nil {
		s.close()
		return nil, fmt.Errorf("listen: %w", err)
	}
	return s, nil
}

// open opens one socket after the other, up to the first that fails.
func (s *sockets) open(file *config.File) (err error) {
	if file.HTTP.Listen != "" {
		if s.http, err = net.Listen("tcp", file.HTTP.Listen); err != nil {
			return err
		}
	}
	if file.ExtProc.Listen != "" {
		if s.extProc, err = net.Listen("tcp", file.ExtProc.Listen); err != nil {
			return err
		}
	}
	if file.HTTP3.Listen != "" {
		if s.http3, err = net.ListenPacket("udp", file.HTTP3.Listen); err != nil {
			return err
		}
	}
	return nil
}

// close closes the sockets that are open.
func (s *sockets) close() {
	if s.http != nil {
		s.http.Close()
	}
	if s.extProc != nil {
		s.extProc.Close()
	}
	if s.http3 != nil {
		s.http3.Close()
	}
}
