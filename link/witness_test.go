package link

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"chestnutstep.example/chestnutstep/ending"
)

// witnessPoll is the unit of the times of the plays.
const witnessPoll = 50 * time.Millisecond

// witnessed is a target with an answer in progress on the first connection; health checks come on others.
type witnessed struct {
	listener net.Listener
	conns    chan net.Conn
	// head is what a health check is answered with; after it the connection is closed if closes is set, and
	// after idle if that is not 0.
	head   string
	closes bool
	idle   time.Duration
}

const (
	keptHead   = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	closedHead = "HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n"
)

func newWitnessed(t *testing.T, x witnessed) (target *witnessed, answer *Conn) {
	t.Helper()
	return newWitnessedAt(t, x, "127.0.0.1:0")
}

func newWitnessedAt(t *testing.T, x witnessed, address string) (target *witnessed, answer *Conn) {
	t.Helper()
	l, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	x.listener, x.conns = l, make(chan net.Conn, 100)
	go x.run()
	c, err := (&Pool{}).open(t.Context(), l.Addr().String(), dialTimeout)
	assert.NilError(t, err)
	return &x, c
}

func (x *witnessed) run() {
	for n := 0; ; n++ {
		c, err := x.listener.Accept()
		if err != nil {
			return
		}
		x.conns <- c
		if n > 0 {
			go (&checkedConn{x, c}).run()
		}
	}
}

// checkedConn is a connection for health checks.
type checkedConn struct {
	target *witnessed
	conn   net.Conn
}

func (c *checkedConn) run() {
	br := bufio.NewReader(c.conn)
	for {
		if c.target.idle > 0 {
			_ = c.conn.SetReadDeadline(time.Now().Add(c.target.idle))
		}
		if _, err := http.ReadRequest(br); err != nil {
			c.conn.Close()
			return
		}
		fmt.Fprint(c.conn, c.target.head)
		if c.target.closes {
			c.conn.Close()
			return
		}
	}
}

// die ends all connections, as the end of the process does.
func (x *witnessed) die() {
	for {
		select {
		case c := <-x.conns:
			c.Close()
		default:
			return
		}
	}
}

// TestWitness guards against a dead target that counts as alive because something listens at its address, and
// against a living one that counts as dead because it closes connections that carry no answer.
func TestWitness(t *testing.T) {
	for name, x := range map[string]witnessed{
		"keeps":        {head: keptHead},
		"closes":       {head: closedHead, closes: true},
		"unresponsive": {head: ""},
	} {
		for _, path := range []string{"", "/healthz"} {
			for _, quiet := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s%s/%t", name, path, quiet), func(t *testing.T) {
					t.Parallel()
					assert.Equal(t, playWitness(t, x, path, quiet, false), ending.Lives)
					assert.Equal(t, playWitness(t, x, path, quiet, true), ending.Ended)
				})
			}
		}
	}
}

// playWitness lets an answer end, together with its target if dies is set, and returns what its witness says.
func playWitness(t *testing.T, x witnessed, path string, quiet, dies bool) ending.Process {
	t.Helper()
	target, answer := newWitnessed(t, x)
	w := (&Pool{}).Witness(target.listener.Addr().String(), path, 1)
	w.Attach(answer.Conn)
	w.Await(time.Second)
	time.Sleep(2 * witnessPoll)
	if dies {
		target.die()
	} else {
		(<-target.conns).Close()
	}
	return w.Confirm(quiet)
}

// TestWitnessOfTargetThatClosesIdleConnections guards against a living target that counts as dead because it
// closes idle connections within the answer.
func TestWitnessOfTargetThatClosesIdleConnections(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=2\r\nContent-Length: 0\r\n\r\n"
	target, answer := newWitnessed(t, witnessed{head: head, idle: 2 * time.Second})
	w := (&Pool{}).Witness(target.listener.Addr().String(), "/healthz", 1)
	w.Attach(answer.Conn)
	time.Sleep(2*time.Second + witnessPoll/2)
	assert.Equal(t, w.Confirm(false), ending.Lives)
}

// TestWitnessThatCantBeRenewedIsKept guards against a living target that is unknown because the answer ended, or
// the target was full, while another connection was opened.
func TestWitnessThatCantBeRenewedIsKept(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=2\r\nContent-Length: 0\r\n\r\n"
	target, answer := newWitnessed(t, witnessed{head: head})
	w := (&Pool{}).Witness(target.listener.Addr().String(), "/healthz", 1)
	w.Attach(answer.Conn)
	w.Await(time.Second)
	target.listener.Close()
	time.Sleep(time.Second + 3*witnessPoll)
	assert.Equal(t, w.Confirm(false), ending.Lives)
}

// TestReleasedWitnessIsKeptForRequests guards against a connection that stays open without a use.
func TestReleasedWitnessIsKeptForRequests(t *testing.T) {
	target, answer := newWitnessed(t, witnessed{head: keptHead})
	p := &Pool{}
	for range 3 {
		w := p.Witness(target.listener.Addr().String(), "/healthz", 1)
		w.Attach(answer.Conn)
		w.Await(time.Second)
		w.Release()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			p.mu.Lock()
			defer p.mu.Unlock()
			if len(p.idle[target.listener.Addr().String()]) == 1 {
				return poll.Success()
			}
			return poll.Continue("not kept")
		})
	}
	assert.Equal(t, p.Opened(), int64(1))
}

// TestRejectedHealthCheckLeavesNoConnection guards against a connection whose health check was rejected and that
// carries a request later: a second copy of the rejection names no request and passes for "not run".
func TestRejectedHealthCheckLeavesNoConnection(t *testing.T) {
	head := "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	for _, confirm := range []bool{false, true} {
		target, answer := newWitnessed(t, witnessed{head: head})
		p := &Pool{}
		w := p.Witness(target.listener.Addr().String(), "/healthz", 1)
		w.Attach(answer.Conn)
		w.Await(time.Second)
		if confirm {
			assert.Equal(t, w.Confirm(false), ending.Lives)
		} else {
			w.Release()
			<-w.(*Witness).done
			time.Sleep(witnessPoll)
		}
		assert.Assert(t, p.popIdle(target.listener.Addr().String()) == nil)
	}
}

// TestWitnessLostBeforeItsAnswer guards against the next process of a target that counts as the one that answered,
// because the first one died before this entry, which is slow, has read the head of its answer.
func TestWitnessLostBeforeItsAnswer(t *testing.T) {
	target, answer := newWitnessed(t, witnessed{head: keptHead})
	w := (&Pool{}).Witness(target.listener.Addr().String(), "/healthz", 1)
	w.Await(time.Second)
	time.Sleep(2 * witnessPoll)
	target.die()
	time.Sleep(4*witnessPoll + witnessSettle) // another process has accepted the next connection
	w.Attach(answer.Conn)
	assert.Equal(t, w.Confirm(false), ending.Ended)
}

// TestWitnessOfTargetThatWasDown guards against an answer that no witness proves because its target was down when
// the witness was opened, and came back before the request was sent.
func TestWitnessOfTargetThatWasDown(t *testing.T) {
	for _, dies := range []bool{false, true} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		address := l.Addr().String()
		l.Close()
		w := (&Pool{}).Witness(address, "/healthz", 1)
		w.Await(time.Second)
		target, answer := newWitnessedAt(t, witnessed{head: keptHead}, address)
		w.Attach(answer.Conn)
		time.Sleep(2 * witnessPoll)
		if dies {
			target.die()
		} else {
			(<-target.conns).Close()
		}
		assert.Equal(t, w.Confirm(false), map[bool]ending.Process{false: ending.Lives, true: ending.Ended}[dies])
	}
}

// TestWitnessOpenedAfterTheAnswer guards against the next process of a target that counts as the one that answered,
// because the witness was opened after the answer had ended, and before this entry, which is slow, read its head.
func TestWitnessOpenedAfterTheAnswer(t *testing.T) {
	for _, path := range []string{"", "/healthz"} {
		target, answer := newWitnessed(t, witnessed{head: keptHead})
		target.die()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			target.die()
			if hasPeerShutdown(answer.Conn) {
				return poll.Success()
			}
			return poll.Continue("the answer has not ended")
		})
		w := (&Pool{}).Witness(target.listener.Addr().String(), path, 1)
		time.Sleep(2 * witnessPoll) // another process has accepted the connection
		w.Attach(answer.Conn)
		assert.Equal(t, w.Confirm(false), ending.Unknown)
	}
}

// TestWitnessReplacedAsIdle guards against the next process of a target that counts as the one that answered, because
// the connection to the first one was replaced as idle just when that died.
func TestWitnessReplacedAsIdle(t *testing.T) {
	for range 6 {
		target, answer := newWitnessed(t, witnessed{head: keptHead})
		p := &Pool{}
		address := target.listener.Addr().String()
		c, err := p.open(t.Context(), address, dialTimeout)
		assert.NilError(t, err)
		assert.NilError(t, c.checkHealth("/healthz", time.Second))
		p.put(address, c, 0, 1)
		end := time.Now().Add(witnessPoll + witnessPoll/2)
		c.idleUntil = end
		w := p.Witness(address, "/healthz", 1)
		w.Await(time.Second)
		time.Sleep(time.Until(end.Add(-3 * time.Millisecond)))
		target.die()
		time.Sleep(4 * witnessPoll) // another process has accepted the next connection
		w.Attach(answer.Conn)
		assert.Assert(t, w.Confirm(false) != ending.Lives)
	}
}
