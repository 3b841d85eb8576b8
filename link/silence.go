package link

import (
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// silentLook is how often a connection is looked at whose request has no answer yet: less
	// than two looks after its first byte, TCP has sent a lost packet once more.
	silentLook = 125 * time.Millisecond
	// silentLooks is for how many looks in a row the same bytes have to be unacknowledged.
	silentLooks = 2
)

// silence watches a connection for a peer that no longer acknowledges what it is sent. It
// shows a host that is gone long before TCP gives the connection up.
type silence struct {
	conn *Conn
	// found is called once, when the peer counts as silent; true gives the request up.
	found func() bool

	mu      sync.Mutex
	unacked int
	looks   int
	silent  bool
	stopped bool
	timer   *time.Timer
}

// watch begins to look.
func (s *silence) watch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = time.AfterFunc(silentLook, s.look)
}

// stop ends it, and reports whether the peer was found to be silent and given up. A look that is
// under way ends first: afterwards the connection may carry another request.
func (s *silence) stop() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	if s.timer != nil {
		s.timer.Stop()
	}
	return s.silent
}

// look runs on the timer, one after the other.
func (s *silence) look() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return
	}
	n := unacknowledged(s.conn)
	if n == 0 {
		return // it has all: what it does with it is no matter of the connection
	}
	if n != s.unacked {
		s.unacked, s.looks = n, 0
	}
	if s.looks++; s.looks < silentLooks {
		s.timer.Reset(silentLook)
		return
	}
	if s.found() {
		s.silent = true
		s.conn.abandon()
	}
}

// unacknowledged is the number of bytes that were written and not acknowledged by the peer's
// host; 0 where that can't be told.
func unacknowledged(c *Conn) int {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	var failed error
	err = raw.Control(func(fd uintptr) { n, failed = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	if err != nil || failed != nil {
		return 0
	}
	return n
}
