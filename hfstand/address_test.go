package hfstand

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a process that cannot listen on its address, as an outgoing connection has taken it
// since it was found to be free.
func TestFreeAddressIsNotOneOfOutgoingConnections(t *testing.T) {
	first := 32768
	if raw, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range"); err == nil {
		_, err = fmt.Sscan(string(raw), &first)
		require.NoError(t, err)
	}
	seen := map[string]bool{}
	for range 100 {
		address, err := FreeAddress("127.0.0.1")
		require.NoError(t, err)
		_, port, err := net.SplitHostPort(address)
		require.NoError(t, err)
		n, err := strconv.Atoi(port)
		require.NoError(t, err)
		require.Less(t, n, first)
		require.False(t, seen[address], "%s twice", address)
		seen[address] = true
	}
}
