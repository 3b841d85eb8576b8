package link

import (
	"time"

	"golang.org/x/sys/unix"
)

// maxUnansweredProbes is how many probes of a peer without a window can go unanswered: the fourth one follows the first
// after more than ackTimeout.
const maxUnansweredProbes = 3

// uploadWatcher detects an unreachable host while a request is still on its way to a target that has begun to answer.
// TCP_USER_TIMEOUT can't: it also ends the connection of a host that acknowledges everything and has no window, as its
// target reads the request later.
type uploadWatcher struct {
	conn *Conn
	// sent gets a value once the request is written; nil if it is.
	sent <-chan error
	// stopped is closed by stop, and done at the end of run.
	stopped, done chan struct{}
}

// run ends when all of the request is acknowledged, its connection has failed, or w is stopped.
func (w *uploadWatcher) run() {
	defer close(w.done)
	setUserTimeout(w.conn, 0)
	defer setUserTimeout(w.conn, ackTimeout)
	tick := time.NewTicker(ackCheckInterval)
	defer tick.Stop()
	unacked, since := 0, time.Now()
	for {
		select {
		case <-w.sent:
			w.sent = nil
			continue
		case <-w.stopped:
			return
		case <-tick.C:
		}
		queued := unackedBytes(w.conn)
		if queued == 0 && w.sent == nil {
			return
		}
		if n := queued - unsentBytes(w.conn); n != unacked || n == 0 {
			unacked, since = n, time.Now()
		}
		if time.Since(since) >= ackTimeout || unansweredProbes(w.conn) > maxUnansweredProbes {
			w.conn.reset()
			return
		}
	}
}

// stop ends run and waits for its end, as the connection may carry another request after that.
func (w *uploadWatcher) stop() {
	close(w.stopped)
	<-w.done
}

func setUserTimeout(c *Conn, d time.Duration) {
	_ = control(c.Conn, func(fd int) { // fails only on a closed connection
		_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
}

// unsentBytes returns the number of bytes that were written and not yet sent; 0 if it cannot be determined.
func unsentBytes(c *Conn) (n int) {
	_ = control(c.Conn, func(fd int) {
		if got, err := unix.IoctlGetInt(fd, unix.SIOCOUTQNSD); err == nil {
			n = got
		}
	})
	return n
}

// unansweredProbes returns how many probes the peer has not answered in a row; 0 if it cannot be determined.
func unansweredProbes(c *Conn) (n int) {
	_ = control(c.Conn, func(fd int) {
		if info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			n = int(info.Probes)
		}
	})
	return n
}
