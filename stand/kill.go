package stand

import (
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// KillStep is the progress of an answer at which its target is killed.
type KillStep string

// Steps of an answer, in order.
const (
	AtAccept KillStep = "accept" // the request was read
	AtHead   KillStep = "head"   // the response header was sent
	AtFirst  KillStep = "first"  // the first event, or the first byte of the body, was sent
	AtMiddle KillStep = "middle" // three events, or half of the body, were sent
	AtLast   KillStep = "last"   // all but the end of the answer was sent
)

// KillSteps lists all steps in order.
var KillSteps = []KillStep{AtAccept, AtHead, AtFirst, AtMiddle, AtLast}

// KillRule kills every target that runs a matching request. The target does not
// come back, and all of its connections end.
type KillRule struct {
	// Text is the text in the body of matching requests; empty matches none.
	Text string
	// Parts are the ids of parts of which the prompt of a matching request has one, its last part
	// excluded.
	Parts []string
	// Step is the progress of the answer at which the target is killed.
	Step KillStep
	// Reset makes connections end with a TCP reset instead of a close.
	Reset bool
	// Delay is the time between the request and the answer. The target is killed even
	// if the caller disconnects during this time.
	Delay time.Duration
}

// matches reports whether the rule applies to a request. A nil rule never matches.
func (k *KillRule) matches(run *Run) bool {
	if k == nil {
		return false
	}
	return k.Text != "" && strings.Contains(run.Body, k.Text) || k.hasPart(run.Header.Get("Prefix-Hash"))
}

// hasPart reports whether one of the parts is in the list of a prompt's parts and not its last one.
func (k *KillRule) hasPart(list string) bool {
	parts := strings.Split(list, ",")
	for _, p := range parts[:len(parts)-1] {
		if id, _, _ := strings.Cut(p, ":"); slices.Contains(k.Parts, id) {
			return true
		}
	}
	return false
}

// Kill ends the target: it stops listening and all of its connections end, by a TCP
// reset if byReset is set. Its port stays reserved: a target of another test on the
// same port would make this one appear alive.
func (t *Target) Kill(byReset bool) {
	t.mu.Lock()
	if t.dead {
		t.mu.Unlock()
		return
	}
	t.dead = true
	conns := t.conns
	t.conns = nil
	_ = t.server.Listener.Close()
	t.reservedPortFD = reservePort(t.server.Listener.Addr())
	t.mu.Unlock()
	for c := range conns {
		if tcp, ok := c.(*net.TCPConn); ok && byReset {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// HealthPath is the path of health checks, which are no runs.
const HealthPath = "/healthz"

// resetPath is the path of a call that resets all connections of the target.
const resetPath = "/control/reset"

// closeConnections closes all connections, by a TCP reset if byReset is set.
func (t *Target) closeConnections(byReset bool) {
	t.mu.Lock()
	conns := t.conns
	t.conns = nil
	t.mu.Unlock()
	for c := range conns {
		if tcp, ok := c.(*net.TCPConn); ok && byReset {
			_ = tcp.SetLinger(0) // fails only on a closed connection
		}
		_ = c.Close()
	}
}

// noFD is the value of Target.reservedPortFD if there is no socket.
const noFD = -1

// reservePort binds a socket to an address without listening, so that connections
// are refused. It returns the file descriptor, or noFD.
func reservePort(a net.Addr) int {
	addr, ok := a.(*net.TCPAddr)
	if !ok || addr.IP.To4() == nil {
		return noFD
	}
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return noFD
	}
	// Errors are ignored: the port is then not reserved.
	_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	_ = unix.Bind(fd, &unix.SockaddrInet4{Port: addr.Port, Addr: [4]byte(addr.IP.To4())})
	return fd
}

// bindFreePort binds a socket to a free port of the loopback interface without listening, so that a process
// can listen there and no other gets the port.
func bindFreePort() (fd int, address string, err error) {
	fd, err = unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return noFD, "", err
	}
	if err = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err == nil {
		err = unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	}
	name, nameErr := unix.Getsockname(fd)
	inet, ok := name.(*unix.SockaddrInet4)
	if err = errors.CombineErrors(err, nameErr); err != nil || !ok {
		_ = unix.Close(fd)
		return noFD, "", err
	}
	return fd, net.JoinHostPort("127.0.0.1", strconv.Itoa(inet.Port)), nil
}

// releasePort releases the port of a dead target. The caller holds t.mu.
func (t *Target) releasePort() {
	if t.dead && t.reservedPortFD != noFD {
		_ = unix.Close(t.reservedPortFD)
		t.reservedPortFD = noFD
	}
}

// IsDead reports whether the target was killed.
func (t *Target) IsDead() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.dead
}

// Track records the open connections, which Kill ends, and counts the new ones. It is the ConnState of
// the target's server.
func (t *Target) Track(c net.Conn, s http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch s {
	case http.StateNew:
		t.connections++
		if t.conns == nil {
			t.conns = make(map[net.Conn]bool)
		}
		t.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(t.conns, c)
	}
}

// killDuringAnswer sends the answer up to the step of the rule and kills the target.
func (t *Target) killDuringAnswer(w http.ResponseWriter, r *http.Request, run *Run) {
	defer t.Kill(t.KillRule.Reset)
	time.Sleep(t.KillRule.Delay)
	step := t.KillRule.Step
	if step == AtAccept {
		return
	}
	t.sign(w.Header(), run.ID)
	if strings.Contains(run.Path, "/stream/") {
		t.killStream(w, r, step)
		return
	}
	text := "answer to " + run.ID
	t.setLength(w.Header(), len(text))
	w.WriteHeader(http.StatusOK)
	part := map[KillStep]int{AtFirst: 1, AtMiddle: len(text) / 2, AtLast: len(text) - 1}
	_, _ = io.WriteString(w, text[:part[step]])
	_ = http.NewResponseController(w).Flush()
}

func (t *Target) killStream(w http.ResponseWriter, r *http.Request, step KillStep) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	part := map[KillStep]int{AtFirst: 1, AtMiddle: 3, AtLast: t.EventCount}
	for id := from + 1; id <= min(from+part[step], t.EventCount); id++ {
		_, _ = io.WriteString(w, Event(id, t.Build))
	}
	_ = http.NewResponseController(w).Flush()
}
