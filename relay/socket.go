package relay

import (
	"net"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// drainMost bounds what is read of a request that is refused: a connection that is closed
// over unread bytes is reset, and the answer may be lost.
const drainMost = 256 << 10

// control runs a function on the descriptor of a connection or listener.
func control(c any, f func(fd int)) error {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return unix.ENOTSOCK
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Control(func(fd uintptr) { f(int(fd)) })
}

// queueMost bounds the connections that wait to be accepted: as many as are refused within
// a tenth of a second. In a longer queue all wait until their callers give up.
const queueMost = 512

// BoundQueue bounds the connections that wait at a listener.
func BoundQueue(l net.Listener) error {
	var err error
	if failed := control(l, func(fd int) { err = unix.Listen(fd, queueMost) }); failed != nil {
		return failed
	}
	return err
}

// connWaits reports whether a connection waits to be accepted.
func connWaits(l net.Listener) bool {
	waits := false
	_ = control(l, func(fd int) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(fds, 0)
		waits = err == nil && n > 0
	})
	return waits
}

// acceptNow accepts a connection that waits; it reports false where none does. What comes
// with a connection for its use in Go is left out, as most of them are closed at once.
func acceptNow(l net.Listener) (fd int, ok bool) {
	err := control(l, func(listener int) {
		var err error
		fd, _, err = unix.Accept4(listener, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		ok = err == nil
	})
	return fd, ok && err == nil
}

// readNow reads what waits, without waiting for more.
func readNow(fd int, b []byte) int {
	n, _, err := unix.Recvfrom(fd, b, unix.MSG_DONTWAIT)
	if err != nil {
		return 0
	}
	return n
}

// rejectNow answers and closes; more says that there may be more bytes to be read.
func rejectNow(fd int, answer []byte, more bool) {
	if more {
		drainNow(fd)
	}
	_, _ = unix.Write(fd, answer) // the caller may have left
	_ = unix.Close(fd)
}

// drainNow reads what waits and drops it.
func drainNow(fd int) {
	var b [headMost]byte
	for read := 0; read < drainMost; {
		n := readNow(fd, b[:])
		read += n
		if n < len(b) {
			return
		}
	}
}

// drain reads what waits at a connection and drops it.
func drain(c net.Conn) { _ = control(c, drainNow) }

// connOf makes a connection of a descriptor, which it takes over.
func connOf(fd int) (net.Conn, error) {
	f := os.NewFile(uintptr(fd), "caller")
	defer f.Close()
	return net.FileConn(f)
}
