package fakes

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// Ports for listeners whose address must be known before they open. They lie
// below the range that Linux gives to outgoing connections (32768 and up): a
// port of that range may be taken by a connection between the choice and the
// opening of the listener, after which the process does not start.
const (
	firstPort = 20000
	portCount = 12000
)

var nextPort atomic.Uint32

// FreeAddress returns a loopback address, IP:port, on which nothing listens. No
// two calls in a process return the same one, and processes start their search
// at different ports.
func FreeAddress() (string, error) {
	for range portCount {
		n := (uint32(os.Getpid())*131 + nextPort.Add(1)) % portCount
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+n)
		l, err := net.Listen("tcp", address)
		if err == nil {
			return address, l.Close()
		}
	}
	return "", errors.New("no loopback port is free")
}
