package hfstand

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync/atomic"
)

// Ports of free addresses. The system gives those from 32768 on to outgoing connections, which can
// take one between the time at which it was found to be free and the time at which a process listens on it.
const (
	firstFreePort = 15_000
	freePorts     = 17_000
	portTries     = 100
)

// lastFreePort counts the ports that were tried, from a random one on, so that no two calls return the
// same one.
var lastFreePort atomic.Uint32

func init() { lastFreePort.Store(rand.Uint32N(freePorts)) }

// FreeAddress returns an address with a port on which nothing listened at the time of the call.
func FreeAddress(ip string) (string, error) {
	var err error
	for range portTries {
		var l net.Listener
		address := net.JoinHostPort(ip, strconv.Itoa(firstFreePort+int(lastFreePort.Add(1)%freePorts)))
		if l, err = net.Listen("tcp", address); err == nil {
			_ = l.Close()
			return address, nil
		}
	}
	return "", fmt.Errorf("find a free port of %s: %w", ip, err)
}
