package relay

import (
	"net"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// maxDrainBytes limits the bytes read from a rejected request. If a connection is closed with
// unread bytes, TCP resets it and the answer can be lost.
const maxDrainBytes = 256 << 10

// withFD calls f with the file descriptor of a connection or listener.
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

// maxAcceptQueue limits the queue of connections that wait to be accepted to the number that is
// rejected within a tenth of a second. In a longer queue all connections would wait until their
// callers time out.
const maxAcceptQueue = 512

// BoundQueue sets the length of the accept queue of a listener to maxAcceptQueue.
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

// acceptNonblock accepts a waiting connection; ok is false if there is none. It does not create a
// net.Conn, as most of these connections are closed immediately.
func acceptNonblock(l net.Listener) (fd int, ok bool) {
	err := withFD(l, func(listener int) {
		var err error
		fd, _, err = unix.Accept4(listener, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		ok = err == nil
	})
	return fd, ok && err == nil
}

// readNonblock reads the available bytes without blocking.
func readNonblock(fd int, b []byte) int {
	n, _, err := unix.Recvfrom(fd, b, unix.MSG_DONTWAIT)
	if err != nil {
		return 0
	}
	return n
}

// rejectFD sends the answer and closes the descriptor, given the first bytes of the request.
func (l *Listener) rejectFD(fd int, answer, first []byte) {
	if len(first) == len(l.head) {
		drainFD(fd) // more bytes may have come
	}
	_, _ = unix.Write(fd, answer) // the caller may have left
	if !isSendingBody(first) {
		_ = unix.Close(fd)
		return
	}
	c, err := connFromFD(fd)
	if err != nil {
		return
	}
	l.mu.Lock()
	l.openConns++
	l.mu.Unlock()
	go l.linger(c)
}

// drainFD reads and discards the available bytes.
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

// drain reads and discards the available bytes of a connection.
func drain(c net.Conn) { _ = withFD(c, drainFD) }

// connFromFD returns a net.Conn for a descriptor and takes ownership of the descriptor.
func connFromFD(fd int) (net.Conn, error) {
	f := os.NewFile(uintptr(fd), "caller")
	defer f.Close()
	return net.FileConn(f)
}
