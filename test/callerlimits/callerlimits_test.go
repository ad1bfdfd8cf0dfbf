package callerlimits

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// Guards against heads that are kept until they fill the memory.
func TestHeadsWithoutEndExhaustMemory(t *testing.T) {
	line := "X-Filler: " + strings.Repeat("x", 980) + "\r\n"
	startHost(t, wideFDs).withstand(func(conn net.Conn) {
		writeAll(conn, requestLine, 1, 0)
		writeAll(conn, line, 1000, 0) // 990 kB, under the constant limit of net/http
		awaitEnd(conn)
	})
}

// Guards against many short header lines, which cost far more memory than their bytes.
func TestManyShortHeaderLinesExhaustMemory(t *testing.T) {
	startHost(t, wideFDs).withstand(func(conn net.Conn) {
		writeAll(conn, requestLine, 1, 0)
		writeAll(conn, strings.Repeat("a:\r\n", 1000), 60, 0)
		awaitEnd(conn)
	})
}

// Guards against a header line that is kept while it has no end.
func TestOneHeaderLineWithoutEndExhaustsMemory(t *testing.T) {
	part := strings.Repeat("x", 1000)
	startHost(t, wideFDs).withstand(func(conn net.Conn) {
		writeAll(conn, requestLine+"X-Filler: ", 1, 0)
		writeAll(conn, part, 990, 0)
		awaitEnd(conn)
	})
}

// Guards against empty lines before a request that hold a connection without end.
func TestEmptyLinesWithoutEndHoldConnections(t *testing.T) {
	startHost(t, fewFDs).withstand(func(conn net.Conn) {
		writeAll(conn, "\r\n", 100000, time.Millisecond)
		awaitEnd(conn)
	})
}

// Guards against connections that send nothing and use up the descriptors.
func TestSilentConnectionsExhaustDescriptors(t *testing.T) {
	startHost(t, fewFDs).withstand(awaitEnd)
}

// Guards against heads of one byte now and then that use up the descriptors.
func TestSlowHeadsExhaustDescriptors(t *testing.T) {
	startHost(t, fewFDs).withstand(func(conn net.Conn) { writeAll(conn, "G", 1000, 500*time.Millisecond) })
}

// Guards against connections that stay idle after a response and use up the descriptors.
func TestIdleConnectionsExhaustDescriptors(t *testing.T) {
	startHost(t, fewFDs).withstand(func(conn net.Conn) {
		writeAll(conn, requestLine+"\r\n", 1, 0)
		awaitEnd(conn)
	})
}

// Guards against long responses that callers don't read, each held in memory.
func TestUnreadResponsesExhaustMemory(t *testing.T) {
	startHost(t, wideFDs).withstand(func(conn net.Conn) {
		_ = conn.(*net.TCPConn).SetReadBuffer(4096) // otherwise the kernel takes much of the response
		_, _ = io.WriteString(conn, strings.Replace(requestLine, "/small", "/big", 1)+"\r\n")
	})
}
