package stand

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// Step is how far an answer gets before its target ends.
type Step string

// The steps.
const (
	AtAccept Step = "accept" // the request was read
	AtHead   Step = "head"   // the head of the answer was sent
	AtFirst  Step = "first"  // so was the first event, or the first byte of a body
	AtMiddle Step = "middle" // three events, or half of a body
	AtLast   Step = "last"   // all but the end of the answer
)

// Steps are all steps.
var Steps = []Step{AtAccept, AtHead, AtFirst, AtMiddle, AtLast}

// Deadly is content that ends each target which runs it: for good, and with all connections.
type Deadly struct {
	// Text is in the body of such requests.
	Text string
	Step Step
	// Reset has connections reset rather than closed.
	Reset bool
	// After is how long the target takes to end, whether or not its caller has left meanwhile.
	After time.Duration
}

// matches reports whether a request is deadly.
func (d *Deadly) matches(run *Run) bool { return d != nil && strings.Contains(run.Body, d.Text) }

// Die ends the target: nothing listens any more, and all connections end. Its port stays taken:
// given to another test's target, it would look alive.
func (t *Target) Die(byReset bool) {
	t.mu.Lock()
	if t.dead {
		t.mu.Unlock()
		return
	}
	t.dead = true
	conns := t.conns
	t.conns = nil
	_ = t.server.Listener.Close()
	t.port = takePort(t.server.Listener.Addr())
	t.mu.Unlock()
	for c := range conns {
		if tcp, ok := c.(*net.TCPConn); ok && byReset {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// noPort stands for a port that is not taken.
const noPort = -1

// takePort binds a socket to an address without listening there: connections are refused.
func takePort(a net.Addr) int {
	addr, ok := a.(*net.TCPAddr)
	if !ok || addr.IP.To4() == nil {
		return noPort
	}
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return noPort
	}
	// An error leaves the port free, as it was before.
	_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	_ = unix.Bind(fd, &unix.SockaddrInet4{Port: addr.Port, Addr: [4]byte(addr.IP.To4())})
	return fd
}

// freePort gives the port of a dead target back. The caller holds the lock.
func (t *Target) freePort() {
	if t.dead && t.port != noPort {
		_ = unix.Close(t.port)
		t.port = noPort
	}
}

// Dead reports whether the target has ended.
func (t *Target) Dead() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.dead
}

// track keeps the connections that a death ends.
func (t *Target) track(c net.Conn, s http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch s {
	case http.StateNew:
		t.opened++
		if t.conns == nil {
			t.conns = make(map[net.Conn]bool)
		}
		t.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(t.conns, c)
	}
}

// kill answers up to the step, and ends the target.
func (t *Target) kill(w http.ResponseWriter, r *http.Request, run *Run) {
	defer t.Die(t.Deadly.Reset)
	time.Sleep(t.Deadly.After)
	step := t.Deadly.Step
	if step == AtAccept {
		return
	}
	t.sign(w.Header(), run.ID)
	if strings.Contains(run.Path, "/stream/") {
		t.killStream(w, r, step)
		return
	}
	text := "answer to " + run.ID
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(http.StatusOK)
	part := map[Step]int{AtFirst: 1, AtMiddle: len(text) / 2, AtLast: len(text) - 1}
	_, _ = io.WriteString(w, text[:part[step]])
	_ = http.NewResponseController(w).Flush()
}

func (t *Target) killStream(w http.ResponseWriter, r *http.Request, step Step) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	part := map[Step]int{AtFirst: 1, AtMiddle: 3, AtLast: t.Events}
	for id := from + 1; id <= min(from+part[step], t.Events); id++ {
		fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", id, id)
	}
	_ = http.NewResponseController(w).Flush()
}
