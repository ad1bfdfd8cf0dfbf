package network

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func listen(t *testing.T) (*net.UDPConn, netip.AddrPort) {
	t.Helper()
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	t.Cleanup(func() { _ = socket.Close() })
	return socket, socket.LocalAddr().(*net.UDPAddr).AddrPort()
}

func TestDeliveryAndPartition(t *testing.T) {
	n := New(nil)
	defer n.Close()
	a, addressA := listen(t)
	b, addressB := listen(t)
	portA, err := n.Join("toronto", addressA)
	require.NoError(t, err)
	portB, err := n.Join("detroit", addressB)
	require.NoError(t, err)

	buffer := make([]byte, 16)
	_, err = a.WriteToUDPAddrPort([]byte("one"), portB.Address())
	require.NoError(t, err)
	size, from, err := b.ReadFromUDPAddrPort(buffer)
	require.NoError(t, err)
	require.Equal(t, "one", string(buffer[:size]))
	require.Equal(t, portA.Address().Port(), from.Port())

	n.Isolate("toronto")
	_, err = a.WriteToUDPAddrPort([]byte("lost"), portB.Address())
	require.NoError(t, err)
	require.NoError(t, b.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	_, _, err = b.ReadFromUDPAddrPort(buffer)
	require.Error(t, err)

	n.Rejoin("toronto")
	_, err = a.WriteToUDPAddrPort([]byte("two"), portB.Address())
	require.NoError(t, err)
	require.NoError(t, b.SetReadDeadline(time.Now().Add(5*time.Second)))
	size, _, err = b.ReadFromUDPAddrPort(buffer)
	require.NoError(t, err)
	require.Equal(t, "two", string(buffer[:size]))
}
