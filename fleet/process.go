package fleet

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Process is one process of the fleet.
type Process struct {
	Name    string
	Domain  string
	IP      string
	Address string
	Admin   string
	// Log is the file that its output goes to.
	Log string

	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// start runs a program of the fleet. The kernel kills it when this process
// dies, so that a test that panics leaves nothing behind.
func (f *Fleet) start(p *Process, program string, args ...string) error {
	p.Log = filepath.Join(f.Dir, p.Name+".log")
	out, err := os.OpenFile(p.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, p.Name)
	}
	defer out.Close()
	p.cmd = exec.Command(filepath.Join(f.Bin, program), args...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
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

// Running says whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Kill ends the process at once, as a power cut would, and waits for its end.
func (p *Process) Kill() {
	if p.cmd == nil || p.cmd.Process == nil {
		return
	}
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Stop asks the process to stop; Ended tells when it has.
func (p *Process) Stop() { _ = p.cmd.Process.Signal(syscall.SIGTERM) }

// Suspend pauses the process.
func (p *Process) Suspend() { _ = p.cmd.Process.Signal(syscall.SIGSTOP) }

// Resume lets a paused process go on, as if it had slept.
func (p *Process) Resume() { _ = p.cmd.Process.Signal(syscall.SIGCONT) }

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Err says how the process ended, once it has.
func (p *Process) Err() error {
	<-p.done
	return p.err
}

// Usage is what a process used so far.
type Usage struct {
	// Resident memory in bytes.
	Resident int64
	// CPU time, user and system.
	CPU time.Duration
}

// clockTick is the unit of CPU times in /proc, which Linux fixes for programs.
const clockTick = 10 * time.Millisecond

// Usage reads what the process used from /proc.
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

// parseCPUTime reads user and system time, fields 14 and 15 of /proc/PID/stat. They are
// counted from behind the command's name, which may hold spaces.
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
