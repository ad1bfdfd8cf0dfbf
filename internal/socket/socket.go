// Package socket gives access to the sockets below connections.
package socket

import (
	"net"
	"syscall"
)

// Raw returns the socket of a connection, also if the connection is wrapped in others that have a
// NetConn method. ok is false if there is none or it is closed.
func Raw(conn net.Conn) (raw syscall.RawConn, ok bool) {
	for {
		outer, wrapped := conn.(interface{ NetConn() net.Conn })
		if !wrapped {
			break
		}
		conn = outer.NetConn()
	}
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return nil, false
	}
	raw, err := socket.SyscallConn()
	return raw, err == nil
}
