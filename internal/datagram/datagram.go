// Package datagram exchanges CBOR values between hosts, one value per UDP packet.
// Packets may be lost, duplicated and reordered.
package datagram

import (
	"errors"
	"net"
	"net/netip"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// MaxPacketBytes is the maximum size of a packet, small enough that IP does not
// fragment it. Send doesn't check it; Receive drops larger packets, because they
// arrive truncated and can't be decoded.
const MaxPacketBytes = 1400

// Socket sends and receives values. It is safe for concurrent use.
type Socket struct {
	conn   *net.UDPConn
	logger log.Logger
}

// Listen opens a socket on address, an IPv4 address and port.
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

// Address returns the local address and port.
func (s *Socket) Address() netip.AddrPort { return s.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Close closes the socket; Receive then returns.
func (s *Socket) Close() error { return s.conn.Close() }

// Send sends value to each peer. A value that can't be encoded or sent is logged and
// dropped.
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

// Receive calls handle for each received value until the socket is closed. Packets
// that can't be decoded are logged and dropped; errors of the socket are ignored.
func Receive[T any](s *Socket, handle func(from netip.AddrPort, value T)) {
	buffer := make([]byte, MaxPacketBytes)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // for example ECONNREFUSED for a packet sent earlier
		}
		var value T
		if err := cbor.Unmarshal(buffer[:n], &value); err != nil {
			_ = level.Warn(s.logger).Log("event", "message not decoded", "peer", from, "err", err)
			continue
		}
		handle(from, value)
	}
}
