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
// host long before TCP closes the connection.
type ackWatcher struct {
	conn *Conn
	// onUnresponsive is called when the peer counts as unresponsive; if it returns true, the
	// request is aborted.
	onUnresponsive func() bool

	mu           sync.Mutex
	unacked      int
	checks       int
	unresponsive bool
	stopped      bool
	timer        *time.Timer
}

// start begins the periodic checks.
func (s *ackWatcher) start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = time.AfterFunc(ackCheckInterval, s.check)
}

// stop ends the checks and reports whether the request was aborted because the peer was
// unresponsive. It waits for a running check, because the connection can carry another request
// afterwards.
func (s *ackWatcher) stop() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	if s.timer != nil {
		s.timer.Stop()
	}
	return s.unresponsive
}

// check runs on the timer, never concurrently with itself.
func (s *ackWatcher) check() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return
	}
	n := unackedBytes(s.conn)
	if n == 0 {
		return // all bytes are acknowledged: the time until the response is not limited here
	}
	if n != s.unacked {
		s.unacked, s.checks = n, 0
	}
	if s.checks++; s.checks < maxUnackedChecks {
		s.timer.Reset(ackCheckInterval)
		return
	}
	if s.onUnresponsive() {
		s.unresponsive = true
		s.conn.reset()
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
