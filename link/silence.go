package link

import (
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// ackCheckInterval is how often a connection is looked at whose request has no answer yet: less
	// than two looks after its first byte, TCP has sent a lost packet once more.
	ackCheckInterval = 125 * time.Millisecond
	// maxUnackedChecks is for how many looks in a row the same bytes have to be unacknowledged.
	maxUnackedChecks = 2
)

// ackWatcher watches a connection for a peer that no longer acknowledges what it is sent. It
// shows a host that is gone long before TCP gives the connection up.
type ackWatcher struct {
	conn *Conn
	// onUnresponsive is called once, when the peer counts as silent; true gives the request up.
	onUnresponsive func() bool

	mu           sync.Mutex
	unacked      int
	checks       int
	unresponsive bool
	stopped      bool
	timer        *time.Timer
}

// start begins to look.
func (s *ackWatcher) start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = time.AfterFunc(ackCheckInterval, s.check)
}

// stop ends it, and reports whether the peer was found to be silent and given up. A look that is
// under way ends first: afterwards the connection may carry another request.
func (s *ackWatcher) stop() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	if s.timer != nil {
		s.timer.Stop()
	}
	return s.unresponsive
}

// check runs on the timer, one after the other.
func (s *ackWatcher) check() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return
	}
	n := unackedBytes(s.conn)
	if n == 0 {
		return // it has all: what it does with it is no matter of the connection
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

// unackedBytes is the number of bytes that were written and not acknowledged by the peer's
// host; 0 where that can't be told.
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
