package http1

import (
	"io"
	"net"
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

// The write gets the error of a reset, so that the read after it returns the end of the stream.
func TestResetSeenByAWriteIsNotAnEndOfTheStream(t *testing.T) {
	dialed, peer := connect(t)
	c := NewConn(dialed)
	failed := writeUntilError(c)
	time.Sleep(10 * time.Millisecond)
	require.NoError(t, peer.SetLinger(0))
	require.NoError(t, peer.Close())
	require.Error(t, <-failed)
	_, err := dialed.Read(make([]byte, 1))
	require.Equal(t, io.EOF, err, "the socket itself reports the end of the stream")
	_, err = c.Read(make([]byte, 1))
	require.ErrorIs(t, err, syscall.ECONNRESET)
}

// A write in progress may have got the error of the reset without having returned yet.
func TestResetDuringAWriteIsNotAnEndOfTheStream(t *testing.T) {
	dialed, peer := connect(t)
	c := NewConn(dialed)
	require.NoError(t, peer.SetLinger(0))
	require.NoError(t, peer.Close())
	time.Sleep(10 * time.Millisecond)
	_, err := dialed.Write([]byte("x")) // gets the error, unseen by c
	require.ErrorIs(t, err, syscall.ECONNRESET)
	c.writing.Store(1)
	_, err = c.Read(make([]byte, 1))
	require.ErrorIs(t, err, syscall.ECONNRESET)
}

func TestEndOfTheStreamDuringAWriteIsOne(t *testing.T) {
	dialed, peer := connect(t)
	c := NewConn(dialed)
	writeUntilError(c)
	time.Sleep(10 * time.Millisecond)
	require.NoError(t, peer.CloseWrite())
	_, err := c.Read(make([]byte, 1))
	require.Equal(t, io.EOF, err)
}
