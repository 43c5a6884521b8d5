package link

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// isIdle reports whether a connection is open and has nothing to read. It detects, before
// a request is written, that the server closed the connection or sent unexpected bytes.
func isIdle(c net.Conn) bool {
	_, err := peek(c)
	return errors.Is(err, unix.EAGAIN)
}

// HasUnread reports whether bytes have arrived on a connection that were not read yet.
func HasUnread(c net.Conn) bool {
	n, err := peek(c)
	return err == nil && n > 0
}

// peek returns how many bytes can be read from a connection at once, at most one. It returns 0 if the other
// side closed it, and unix.EAGAIN if it is open and has none, as it does for connections without a socket.
func peek(c net.Conn) (n int, err error) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0, unix.EAGAIN
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	var peekErr error
	if err := raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, peekErr = unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	}); err != nil {
		return 0, err
	}
	return n, peekErr
}
