package http1

import (
	"io"
	"net"
	"net/http/httptrace"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// connect returns both ends of a TCP connection.
func connect(t *testing.T) (client, server *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	dialed, err := net.Dial("tcp4", listener.Addr().String())
	require.NoError(t, err)
	accepted, err := listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _, _ = dialed.Close(), accepted.Close() })
	return dialed.(*net.TCPConn), accepted.(*net.TCPConn)
}

// writeUntilError keeps a write in progress until the connection fails.
func writeUntilError(c net.Conn) <-chan error {
	failed := make(chan error, 1)
	go func() {
		for {
			if _, err := c.Write(make([]byte, 1<<20)); err != nil {
				failed <- err
				return
			}
		}
	}()
	return failed
}

// beginResponse returns a connection on which the head of a response without a length was read,
// before the request was sent, and its other end.
func beginResponse(t *testing.T) (c *Conn, peer *net.TCPConn) {
	t.Helper()
	dialed, peer := connect(t)
	c = NewConn(dialed)
	c.ExpectResponse()
	_, err := io.WriteString(peer, "HTTP/1.1 200 OK\r\n\r\n")
	require.NoError(t, err)
	_, err = c.Read(make([]byte, 100))
	require.NoError(t, err)
	return c, peer
}

// The write gets the error of a reset, so that the read after it returns the end of the stream.
func TestResetSeenByAWriteDoesNotCompleteAResponse(t *testing.T) {
	c, peer := beginResponse(t)
	failed := writeUntilError(c)
	time.Sleep(10 * time.Millisecond)
	require.NoError(t, peer.SetLinger(0))
	require.NoError(t, peer.Close())
	require.Error(t, <-failed)
	_, err := c.Conn.Read(make([]byte, 1))
	require.Equal(t, io.EOF, err, "the socket itself reports the end of the stream")
	_, err = c.Read(make([]byte, 1))
	require.ErrorIs(t, err, syscall.ECONNRESET)
}

// A write may have got the error of the reset without having returned yet.
func TestResetDuringAWriteDoesNotCompleteAResponse(t *testing.T) {
	c, peer := beginResponse(t)
	require.NoError(t, peer.SetLinger(0))
	require.NoError(t, peer.Close())
	time.Sleep(10 * time.Millisecond)
	_, err := c.Conn.Write([]byte("x")) // gets the error, unseen by c
	require.ErrorIs(t, err, syscall.ECONNRESET)
	_, err = c.Read(make([]byte, 1))
	require.ErrorIs(t, err, syscall.ECONNRESET)
}

// A peer that closes its connection before all of the request has arrived ends the stream first,
// and resets the connection when more arrives.
func TestCloseBeforeTheWholeRequestDoesNotCompleteAResponse(t *testing.T) {
	c, peer := beginResponse(t)
	require.NoError(t, peer.Close())
	go func() {
		time.Sleep(10 * time.Millisecond)
		_, _ = c.Write([]byte("x")) // succeeds, and is answered with a reset
		c.RequestSent(httptrace.WroteRequestInfo{})
	}()
	_, err := c.Read(make([]byte, 1))
	require.ErrorIs(t, err, syscall.ECONNRESET)
}

func TestEndOfTheStreamCompletesAResponseWhenTheRequestIsAccepted(t *testing.T) {
	c, peer := beginResponse(t)
	require.NoError(t, peer.CloseWrite())
	accepted := make(chan time.Time, 1)
	go func() {
		_, _ = c.Write(make([]byte, 16<<20)) // more than the buffers of both sockets hold
		c.RequestSent(httptrace.WroteRequestInfo{})
	}()
	go func() {
		time.Sleep(20 * time.Millisecond)
		accepted <- time.Now()
		_, _ = io.Copy(io.Discard, peer)
	}()
	_, err := c.Read(make([]byte, 1))
	require.Equal(t, io.EOF, err)
	require.True(t, time.Now().After(<-accepted))
}

func TestCloseEndsTheWaitForTheRequest(t *testing.T) {
	c, peer := beginResponse(t)
	require.NoError(t, peer.CloseWrite())
	time.AfterFunc(10*time.Millisecond, func() { _ = c.Close() })
	_, err := c.Read(make([]byte, 1))
	require.Error(t, err)
	require.NotEqual(t, io.EOF, err)
}
