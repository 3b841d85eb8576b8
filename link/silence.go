package link

import (
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// ackCheckInterval is how often a connection with a pending response is checked for
	// unacknowledged bytes. Within less than two intervals of the first byte, TCP has retransmitted
	// a lost packet.
	ackCheckInterval = 125 * time.Millisecond
	// maxUnackedChecks is the number of consecutive checks at which the same number of bytes must
	// be unacknowledged.
	maxUnackedChecks = 2
)

// ackWatcher detects a peer that no longer acknowledges sent bytes. That reveals an unreachable
// host long before TCP gives up the connection.
type ackWatcher struct {
	conn *Conn
	// onUnresponsive is called at most once, when the peer counts as unresponsive; if it returns
	// true, the request is aborted.
	onUnresponsive func() bool

	mu           sync.Mutex
	unacked      int
	checks       int
	unresponsive bool
	stopped      bool
	timer        *time.Timer
}

// start begins the periodic checks.
func (w *ackWatcher) start() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(ackCheckInterval, w.check)
}

// stop ends the checks and reports whether the request was aborted because the peer was
// unresponsive. It waits for a running check, because the connection can carry another request
// afterwards.
func (w *ackWatcher) stop() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
	return w.unresponsive
}

// check runs on the timer, never concurrently with itself.
func (w *ackWatcher) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	n := unackedBytes(w.conn)
	if n == 0 {
		return // all bytes are acknowledged: the time until the response is not limited here
	}
	if n != w.unacked {
		w.unacked, w.checks = n, 0
	}
	if w.checks++; w.checks < maxUnackedChecks {
		w.timer.Reset(ackCheckInterval)
		return
	}
	if w.onUnresponsive() {
		w.unresponsive = true
		w.conn.reset()
	}
}

// unackedBytes returns the number of bytes that were written and not yet acknowledged by the peer's
// host; 0 if it cannot be determined.
func unackedBytes(c *Conn) int {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	var ioctlErr error
	err = raw.Control(func(fd uintptr) { n, ioctlErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	if err != nil || ioctlErr != nil {
		return 0
	}
	return n
}
