package link

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"
)

// process stands in for the process of a target that sends an answer on its first connection.
type process struct {
	listener net.Listener
	// delay is how long a health check waits for its answer; it gets none if it is negative.
	delay time.Duration
	// idle is how long a connection is kept after an answer; 0 for any time.
	idle time.Duration
	// isSilent lets the second connection carry nothing after its first answer, its end included.
	isSilent bool
	// isRelayed keeps the address when the process ends, as a relay in front of it does: it closes new connections.
	isRelayed bool
	// maxConns is the number of connections at the same time; further ones are reset. 0 for no limit.
	maxConns int
	// isFull keeps the place of the answer taken after its end.
	isFull bool

	mu       sync.Mutex
	conns    map[net.Conn]bool
	accepted int
	hasEnded bool
}

func (p *process) run() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if n := p.add(c); n < 0 {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		} else if n > 0 {
			go (&processConn{p, c, n}).run()
		}
	}
}

// add adds a connection and returns its number, -1 if it must be closed.
func (p *process) add(c net.Conn) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.hasEnded || p.maxConns > 0 && len(p.conns) >= p.maxConns {
		return -1
	}
	p.conns[c] = true
	p.accepted++
	return p.accepted - 1
}

func (p *process) remove(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// processConn is a connection for health checks; number 1 is the first of them.
type processConn struct {
	process *process
	net.Conn
	number int
}

func (c *processConn) run() {
	defer c.process.remove(c.Conn)
	br := bufio.NewReader(c)
	for answers := 0; ; answers++ {
		if c.process.idle > 0 {
			_ = c.SetReadDeadline(time.Now().Add(c.process.idle))
		}
		if _, err := http.ReadRequest(br); err != nil {
			_ = c.Close()
			return
		}
		if c.process.delay < 0 || c.process.isSilent && c.number == 1 && answers > 0 {
			continue
		}
		time.Sleep(c.process.delay)
		fmt.Fprint(c, keptHead)
	}
}

// finish ends the answer, and the process with all of its connections if dies is set.
func (p *process) finish(answer net.Conn, dies bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hasEnded = dies
	if dies && !p.isRelayed {
		_ = p.listener.Close()
	}
	for c := range p.conns {
		isAnswer := c.RemoteAddr().String() == answer.LocalAddr().String()
		if isAnswer || dies && !p.isSilent {
			_ = c.Close()
		}
		if isAnswer && !p.isFull {
			delete(p.conns, c)
		}
	}
}

// play returns the state that is confirmed after the end of an answer of some duration.
func (p *process) play(t *testing.T, duration time.Duration, refuses string, dies bool) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	p.listener, p.conns = l, make(map[net.Conn]bool)
	go p.run()
	pool := &Pool{}
	answer, err := pool.open(t.Context(), l.Addr().String(), dialTimeout)
	assert.NilError(t, err)
	if refuses == "always" {
		_ = l.Close()
	}
	w := pool.Witness(l.Addr().String(), "/healthz", 1).(*Witness)
	w.freshLimit = time.Hour // a test that stands still proves nothing within the usual one
	w.Await(10 * time.Millisecond)
	w.Attach(answer.Conn)
	time.Sleep(duration / 2)
	if refuses == "later" {
		_ = l.Close()
	}
	time.Sleep(duration / 2)
	p.finish(answer, dies)
	_, _ = answer.Read(make([]byte, 1))
	return w.Confirm(false).String()
}

// TestProcessAfterAnswer guards against a dead process that passes for a living one, and against a living one that
// does not, whatever becomes of the second connection to it.
func TestProcessAfterAnswer(t *testing.T) {
	datadriven.RunTest(t, "testdata/processes", func(t *testing.T, d *datadriven.TestData) string {
		duration, delay, idle := "400ms", "0s", "0s"
		maxConns, refuses := 0, ""
		d.MaybeScanArgs(t, "duration", &duration)
		d.MaybeScanArgs(t, "delay", &delay)
		d.MaybeScanArgs(t, "idle", &idle)
		d.MaybeScanArgs(t, "conns", &maxConns)
		d.MaybeScanArgs(t, "refuses", &refuses)
		out := ""
		for _, dies := range []bool{false, true} {
			p := &process{
				delay: parse(t, delay), idle: parse(t, idle), maxConns: maxConns,
				isSilent: d.HasArg("silent"), isRelayed: d.HasArg("relayed"), isFull: d.HasArg("full"),
			}
			out += fmt.Sprintf("%s: %s\n", map[bool]string{false: "alive", true: "dead"}[dies], p.play(t, parse(t, duration), refuses, dies))
		}
		return out
	})
}

func parse(t *testing.T, s string) time.Duration {
	t.Helper()
	d, err := time.ParseDuration(s)
	assert.NilError(t, err)
	return d
}
