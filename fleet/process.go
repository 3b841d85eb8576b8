package fleet

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Process is one process of the fleet.
type Process struct {
	Name    string
	Domain  string
	IP      string
	Address string
	Admin   string
	// Log is the path of the file with the output of the process.
	Log string

	// listener is a listening socket that each start takes over as descriptor 3; nil for none.
	listener *os.File
	cmd      *exec.Cmd
	done     chan struct{}
	err      error
}

// listen opens the listening socket that the starts of the process take over.
func (p *Process) listen() error {
	l, err := net.Listen("tcp", p.Address)
	if err != nil {
		return errors.Wrap(err, p.Name)
	}
	defer l.Close()
	p.listener, err = l.(*net.TCPListener).File()
	return errors.Wrap(err, p.Name)
}

// start runs a program of the fleet. The kernel kills it when this process
// ends, so that a test that panics leaves no processes behind.
func (f *Fleet) start(p *Process, program string, args ...string) error {
	p.Log = filepath.Join(f.Dir, p.Name+".log")
	out, err := os.OpenFile(p.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, p.Name)
	}
	defer out.Close()
	p.cmd = exec.Command(filepath.Join(f.Bin, program), args...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if p.listener != nil {
		p.cmd.ExtraFiles = []*os.File{p.listener}
	}
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return errors.Wrap(err, p.Name)
	}
	p.done = make(chan struct{})
	f.started = append(f.started, p)
	go p.run()
	return nil
}

func (p *Process) run() {
	p.err = p.cmd.Wait()
	close(p.done)
}

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Kill ends the process with SIGKILL, which emulates a power failure, and waits
// for its end.
func (p *Process) Kill() {
	if p.cmd == nil || p.cmd.Process == nil {
		return
	}
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Stop sends SIGTERM to the process. Done is closed when the process has ended.
func (p *Process) Stop() { _ = p.cmd.Process.Signal(syscall.SIGTERM) }

// Suspend stops the process with SIGSTOP and waits until it has stopped: on a busy machine its threads go
// on for a while after the signal was sent.
func (p *Process) Suspend() {
	_ = p.cmd.Process.Signal(syscall.SIGSTOP)
	var stopped error = syscall.EINTR
	for errors.Is(stopped, syscall.EINTR) {
		stopped = unix.Waitid(unix.P_PID, p.cmd.Process.Pid, nil, unix.WSTOPPED|unix.WEXITED|unix.WNOWAIT, nil)
	}
}

// Resume continues a suspended process with SIGCONT.
func (p *Process) Resume() { _ = p.cmd.Process.Signal(syscall.SIGCONT) }

// Done returns a channel that is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Err waits for the process to end and returns the error of its exit.
func (p *Process) Err() error {
	<-p.done
	return p.err
}

// Usage is the resource usage of a process.
type Usage struct {
	// Resident is the resident memory in bytes.
	Resident int64
	// CPU is the user and system CPU time.
	CPU time.Duration
}

// clockTick is the unit of CPU times in /proc, which is fixed on Linux.
const clockTick = 10 * time.Millisecond

// Usage reads the resource usage of the process from /proc.
func (p *Process) Usage() (Usage, error) {
	var u Usage
	dir := fmt.Sprintf("/proc/%d/", p.cmd.Process.Pid)
	status, err := os.ReadFile(dir + "status")
	if err != nil {
		return u, errors.Wrap(err, p.Name)
	}
	lines := bufio.NewScanner(bytes.NewReader(status))
	for lines.Scan() {
		if rest, ok := strings.CutPrefix(lines.Text(), "VmRSS:"); ok {
			n, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(rest, "kB")), 10, 64)
			u.Resident = n << 10
		}
	}
	stat, err := os.ReadFile(dir + "stat")
	if err != nil {
		return u, errors.Wrap(err, p.Name)
	}
	u.CPU = parseCPUTime(string(stat))
	return u, nil
}

// parseCPUTime returns the sum of user and system time, fields 14 and 15 of
// /proc/PID/stat. It counts fields after the command name, because the name can
// contain spaces. It returns 0 if there are too few fields.
func parseCPUTime(stat string) time.Duration {
	fields := strings.Fields(stat[strings.LastIndexByte(stat, ')')+1:])
	const user, system = 14 - 3, 15 - 3
	if len(fields) <= system {
		return 0
	}
	u, _ := strconv.ParseInt(fields[user], 10, 64)
	s, _ := strconv.ParseInt(fields[system], 10, 64)
	return time.Duration(u+s) * clockTick
}
