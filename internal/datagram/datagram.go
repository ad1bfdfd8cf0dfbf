// Package datagram sends and receives CBOR values between hosts, one in each UDP
// packet. Packets may be lost, repeated and reordered.
package datagram

import (
	"errors"
	"net"
	"net/netip"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// MaxBytes bounds a packet, so that it is not split on its way.
const MaxBytes = 1400

// Socket sends and receives values. It is safe for concurrent use.
type Socket struct {
	conn   *net.UDPConn
	logger log.Logger
}

// Listen opens a socket on an IP:port.
func Listen(address string, logger log.Logger) (*Socket, error) {
	local, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(local))
	if err != nil {
		return nil, err
	}
	return &Socket{conn: conn, logger: logger}, nil
}

// Address returns the local IP:port.
func (s *Socket) Address() netip.AddrPort { return s.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Close ends Receive.
func (s *Socket) Close() error { return s.conn.Close() }

// Send sends a value to each peer. A packet that can't be sent counts as lost.
func (s *Socket) Send(value any, peers ...netip.AddrPort) {
	data, err := cbor.Marshal(value)
	if err != nil {
		_ = level.Error(s.logger).Log("event", "message not encoded", "err", err)
		return
	}
	for _, peer := range peers {
		if _, err := s.conn.WriteToUDPAddrPort(data, peer); err != nil {
			_ = level.Debug(s.logger).Log("event", "message not sent", "peer", peer, "err", err)
		}
	}
}

// Receive hands each value that arrives to handle, until the socket is closed.
// Packets that can't be read are logged and dropped.
func Receive[T any](s *Socket, handle func(from netip.AddrPort, value T)) {
	buffer := make([]byte, MaxBytes)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // such as a refused packet that the kernel reports here
		}
		var value T
		if err := cbor.Unmarshal(buffer[:n], &value); err != nil {
			_ = level.Warn(s.logger).Log("event", "message not decoded", "peer", from, "err", err)
			continue
		}
		handle(from, value)
	}
}
