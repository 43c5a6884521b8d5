package fakes

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// Ports for listeners whose address must be known before they open. They are below
// the range of ephemeral ports of Linux (32768 and up): an outgoing connection may
// take a port of that range after it was chosen and before the listener opens, and
// the process then fails to start.
const (
	firstPort = 20000
	portCount = 12000
)

var nextPort atomic.Uint32

// FreeAddress returns a loopback address (IP:port) on which nothing listens.
// Successive calls in a process return different addresses, and processes start
// their search at different ports.
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
