package relay

import (
	"net"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// maxDrainBytes bounds what is read of a request that is refused: a connection that is closed
// over unread bytes is reset, and the answer may be lost.
const maxDrainBytes = 256 << 10

// withFD runs a function on the descriptor of a connection or listener.
func withFD(c any, f func(fd int)) error {
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

// maxAcceptQueue bounds the connections that wait to be accepted: as many as are refused within
// a tenth of a second. In a longer queue all wait until their callers give up.
const maxAcceptQueue = 512

// BoundQueue bounds the connections that wait at a listener.
func BoundQueue(l net.Listener) error {
	var err error
	if failed := withFD(l, func(fd int) { err = unix.Listen(fd, maxAcceptQueue) }); failed != nil {
		return failed
	}
	return err
}

// hasPendingConn reports whether a connection waits to be accepted.
func hasPendingConn(l net.Listener) bool {
	pending := false
	_ = withFD(l, func(fd int) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(fds, 0)
		pending = err == nil && n > 0
	})
	return pending
}

// acceptNonblock accepts a connection that waits; it reports false where none does. What comes
// with a connection for its use in Go is left out, as most of them are closed at once.
func acceptNonblock(l net.Listener) (fd int, ok bool) {
	err := withFD(l, func(listener int) {
		var err error
		fd, _, err = unix.Accept4(listener, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		ok = err == nil
	})
	return fd, ok && err == nil
}

// readNonblock reads what waits, without waiting for more.
func readNonblock(fd int, b []byte) int {
	n, _, err := unix.Recvfrom(fd, b, unix.MSG_DONTWAIT)
	if err != nil {
		return 0
	}
	return n
}

// rejectFD answers and closes; more says that there may be more bytes to be read.
func rejectFD(fd int, answer []byte, more bool) {
	if more {
		drainFD(fd)
	}
	_, _ = unix.Write(fd, answer) // the caller may have left
	_ = unix.Close(fd)
}

// drainFD reads what waits and drops it.
func drainFD(fd int) {
	var b [maxHeadBytes]byte
	for read := 0; read < maxDrainBytes; {
		n := readNonblock(fd, b[:])
		read += n
		if n < len(b) {
			return
		}
	}
}

// drain reads what waits at a connection and drops it.
func drain(c net.Conn) { _ = withFD(c, drainFD) }

// connFromFD makes a connection of a descriptor, which it takes over.
func connFromFD(fd int) (net.Conn, error) {
	f := os.NewFile(uintptr(fd), "caller")
	defer f.Close()
	return net.FileConn(f)
}
