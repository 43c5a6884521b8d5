package socket

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Config bounds what the kernel holds for a listener. Without bounds it holds several MB for each connection that is
// not read, and thousands of connections that wait for Accept.
type Config struct {
	Receive int // receive buffer of a connection in bytes, see SetReceive; 0 for that of the kernel
	Queue   int // connections that may wait for Accept; 0 for the kernel's limit
}

// Listen listens on a TCP address, like net.Listen.
func Listen(ctx context.Context, network, address string, cfg Config) (net.Listener, error) {
	lc := net.ListenConfig{Control: Receive(cfg.Receive)} // accepted connections inherit the buffer
	ln, err := lc.Listen(ctx, network, address)
	if err != nil || cfg.Queue == 0 {
		return ln, err
	}
	// Another call of listen changes the length of the queue.
	if err := control(ln, func(fd int) error { return unix.Listen(fd, cfg.Queue) }); err != nil {
		_ = ln.Close()
		return nil, err
	}
	return ln, nil
}

// Receive returns a function for net.Dialer and net.ListenConfig that sets the receive buffer of connections; nil for 0
// bytes, which leaves it to the kernel.
func Receive(bytes int) func(network, address string, raw syscall.RawConn) error {
	if bytes == 0 {
		return nil
	}
	return func(_, _ string, raw syscall.RawConn) error {
		return controlRaw(raw, func(fd int) error { return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, bytes) })
	}
}

// SetReceive sets the receive buffer of a connection. The kernel doubles the size for its own structures, so that up to
// Held bytes may be unread.
func SetReceive(c net.Conn, bytes int) error {
	return control(c, func(fd int) error {
		if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, bytes); err != nil {
			return err
		}
		return unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_WINDOW_CLAMP, bytes)
	})
}

// Held returns how many bytes the kernel may hold for a connection with a receive buffer of a size.
func Held(receive int) int64 { return 2 * int64(receive) }

// Unread returns how many bytes have arrived on a connection and were not read.
func Unread(c net.Conn) (n int, err error) {
	err = control(c, func(fd int) (err error) {
		n, err = unix.IoctlGetInt(fd, unix.SIOCINQ)
		return err
	})
	return n, err
}

// Unsent returns how many bytes were written to a connection and are not acknowledged by the other side.
func Unsent(c net.Conn) (n int, err error) {
	err = control(c, func(fd int) (err error) {
		n, err = unix.IoctlGetInt(fd, unix.SIOCOUTQ)
		return err
	})
	return n, err
}

// control calls f with the descriptor of a connection or listener.
func control(c any, f func(fd int) error) error {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return errNoSocket
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	return controlRaw(raw, f)
}

func controlRaw(raw syscall.RawConn, f func(fd int) error) error {
	var err error
	if controlErr := raw.Control(func(fd uintptr) { err = f(int(fd)) }); controlErr != nil {
		return controlErr
	}
	return err
}
