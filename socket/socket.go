// Package socket bounds what the kernel holds for sockets, and closes listening sockets such that no connection that the
// kernel has accepted is reset.
package socket

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// settleTime is how long no connection may have waited for Accept before the socket closes. The last packet of
	// a handshake that had begun is on its way for a few ms.
	settleTime = 30 * time.Millisecond
	// checkInterval is the time between two checks for connections that wait.
	checkInterval = 5 * time.Millisecond
)

// noInterface is the index of a network interface that does not exist. The kernel refuses connections to a socket that
// is bound to it.
const noInterface = 1<<31 - 1

// errNoSocket reports a listener or connection that is not a socket, such as one of a test.
var errNoSocket = errors.New("the listener or connection is not a socket")

// Drain prepares the close of a listening socket: callers have written requests on connections that wait for
// Accept, and a close resets them. It makes the kernel refuse new connections and returns when Accept, which is
// called meanwhile, has taken all that wait, or when ctx ends. refuses reports whether the kernel refuses new ones,
// which takes Linux 5.0 or later. Without that, a connection that arrives in the last moment is reset.
func Drain(ctx context.Context, ln net.Listener) (refuses bool, err error) {
	sc, ok := ln.(syscall.Conn)
	if !ok {
		return false, errNoSocket
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false, err
	}
	var bindErr error
	if err := raw.Control(func(fd uintptr) {
		bindErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_BINDTOIFINDEX, noInterface)
	}); err != nil {
		return false, err
	}
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for quietSince := time.Now(); time.Since(quietSince) < settleTime; {
		waits, err := connectionWaits(raw)
		if err != nil {
			return bindErr == nil, err
		}
		if waits {
			quietSince = time.Now()
		}
		select {
		case <-ctx.Done():
			return bindErr == nil, nil
		case <-ticker.C:
		}
	}
	return bindErr == nil, nil
}

// connectionWaits reports whether a connection waits for Accept.
func connectionWaits(raw syscall.RawConn) (bool, error) {
	var n int
	var pollErr error
	if err := raw.Control(func(fd uintptr) {
		n, pollErr = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	}); err != nil {
		return false, err
	}
	if errors.Is(pollErr, unix.EINTR) {
		return true, nil // not known: the next check tells
	}
	return n > 0, pollErr
}
