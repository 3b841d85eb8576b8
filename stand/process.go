package stand

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Process is a target that runs as a process of its own, so that its connections end as those of a
// program that dies. Set the fields before Start.
type Process struct {
	// Program is the path of the standin binary.
	Program string
	// File receives a line for each run, over all starts.
	File string
	// Name and Build are those of the current start.
	Name, Build   string
	Framing       Framing
	EventCount    int
	EventInterval time.Duration
	// AstrayEvery is that of Target.
	AstrayEvery int
	// Inherits makes each start take over the listening socket of the one before, so that connections are
	// never refused. Otherwise they are, until the next start listens.
	Inherits bool

	address string
	// listener or reservedFD, which is valid without it, keeps the port.
	listener   *os.File
	reservedFD int
	mu         sync.Mutex
	cmd        *exec.Cmd
	exited     chan struct{}
}

// Address returns the target's IP and port, which all its starts have.
func (p *Process) Address() string { return p.address }

// Start starts the process. It must not be running.
func (p *Process) Start() error {
	if p.address == "" {
		if err := p.reserve(); err != nil {
			return err
		}
	}
	out, err := os.OpenFile(p.File, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrapf(err, "target %s", p.Name)
	}
	defer out.Close()
	args := []string{
		"target", "--listen", p.address, "--name", p.Name, "--build", p.Build, "--framing", string(p.Framing),
		"--events", strconv.Itoa(p.EventCount), "--interval", p.EventInterval.String(),
		"--astray", strconv.Itoa(p.AstrayEvery),
	}
	cmd := exec.Command(p.Program, args...)
	if p.Inherits {
		cmd.Args = append(cmd.Args, "--inherit")
		cmd.ExtraFiles = []*os.File{p.listener}
	}
	cmd.Stdout, cmd.Stderr = out, os.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return errors.Wrapf(err, "target %s", p.Name)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd, p.exited = cmd, WaitExit(cmd)
	return nil
}

// reserve finds a free port. It keeps the listening socket if the process inherits it, and otherwise a socket
// that is bound and does not listen, so that no other process gets the port between two starts.
func (p *Process) reserve() error {
	if !p.Inherits {
		fd, addr, err := bindFreePort()
		p.reservedFD, p.address = fd, addr
		return errors.Wrapf(err, "target %s", p.Name)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrapf(err, "target %s", p.Name)
	}
	defer l.Close()
	p.address = l.Addr().String()
	p.listener, err = l.(*net.TCPListener).File()
	return errors.Wrapf(err, "target %s", p.Name)
}

// WaitExit returns a channel that is closed when a process that was started ends.
func WaitExit(cmd *exec.Cmd) chan struct{} {
	w := &processWaiter{cmd: cmd, exited: make(chan struct{})}
	go w.run()
	return w.exited
}

// processWaiter waits for a process and closes exited when it ends.
type processWaiter struct {
	cmd    *exec.Cmd
	exited chan struct{}
}

func (w *processWaiter) run() {
	_ = w.cmd.Wait() // a killed process returns an error, which is expected
	close(w.exited)
}

// Signal sends a signal to the process unless it has exited.
func (p *Process) Signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.exited:
	default:
		_ = p.cmd.Process.Signal(sig)
	}
}

// Kill ends the process with SIGKILL and waits for its end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.exited
}

// Close kills the process and frees its port.
func (p *Process) Close() {
	if p.cmd != nil {
		p.Kill()
	}
	switch {
	case p.listener != nil:
		p.listener.Close()
	case p.address != "":
		_ = unix.Close(p.reservedFD)
	}
}

// Reset resets all connections of the target, which goes on running.
func (p *Process) Reset() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.address+resetPath, nil)
	if err != nil {
		return
	}
	if resp, err := http.DefaultClient.Do(r); err == nil { // its own connection is reset as well
		resp.Body.Close()
	}
}

// WaitReady waits until the target answers.
func (p *Process) WaitReady(ctx context.Context) error {
	for ctx.Err() == nil {
		resp, err := http.Get("http://" + p.address + HealthPath)
		if err == nil {
			resp.Body.Close()
			return nil
		}
		time.Sleep(5 * time.Millisecond)
	}
	return errors.Newf("target %s at %s does not answer", p.Name, p.address)
}

// Runs returns the runs of all starts, without their outcomes.
func (p *Process) Runs() ([]Run, error) {
	raw, err := os.ReadFile(p.File)
	if err != nil {
		return nil, errors.Wrapf(err, "runs of target %s", p.Name)
	}
	var list []Run
	lines := bufio.NewScanner(bytes.NewReader(raw))
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var r Run
		if err := json.Unmarshal(lines.Bytes(), &r); err != nil {
			return nil, errors.Wrapf(err, "runs of target %s: %q", p.Name, lines.Text())
		}
		list = append(list, r)
	}
	return list, nil
}
