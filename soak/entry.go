package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutstep.example/chestnutstep/pipe"
	"chestnutstep.example/chestnutstep/platform"
	"chestnutstep.example/chestnutstep/stand"
)

// entry is a process of the program, with a door of the store to itself, and a
// relay before that door.
type entry struct {
	soak    *Soak
	number  int
	file    string
	callers string
	ready   string
	control string
	door    *stand.Door
	relay   *pipe.Relay

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	// paused is when a process of the entry was last made to stand still.
	paused time.Time
}

// Ports of each entry: the same on all hosts of a platform, and below those that
// systems hand out.
const (
	callersPort = 21000 + iota
	readyPort
	controlPort
	firstPort
	lastPort = firstPort + 5
)

// host is the address of an entry: on loopback, of this test process's own, so that
// no other test takes its ports.
func host(i int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>8&63, pid&255, 2+i)
}

func address(i, port int) string { return net.JoinHostPort(host(i), strconv.Itoa(port)) }

func (s *Soak) newEntry(i int, seed string) (*entry, error) {
	e := &entry{
		soak: s, number: i, door: s.store.Open(), file: filepath.Join(s.Dir, fmt.Sprintf("entry-%d.json", i)),
		callers: address(i, callersPort), ready: address(i, readyPort), control: address(i, controlPort),
	}
	e.relay = &pipe.Relay{Backend: e.door.Address()}
	if err := e.relay.Start(); err != nil {
		return nil, errors.Wrap(err, "relay")
	}
	settings := map[string]any{
		"nodeName": fmt.Sprintf("entry-%d", i), "ip": host(i), "zone": "z", "region": "r",
		"listen":        map[string]string{"frontend": e.callers, "ready": e.ready, "controlPlane": e.control},
		"internalPorts": []int{firstPort, lastPort},
		"seeds":         []string{seed},
		"bounds": map[string]any{
			"graceS": grace.Seconds(), "revokeMs": revoke.Milliseconds(), "retryBudgetRatio": 0.2, "retrySlack": 50,
			"budgetWindowS": 10, "coldOverage": 1.5, "coldSlack": 5, "capFactor": 2, "contactMs": 3000,
		},
		"platform": map[string]any{"address": e.relay.Addr(), "readsPerS": 1000},
	}
	raw, err := json.Marshal(settings)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	if err := os.WriteFile(e.file, raw, 0o600); err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	return e, e.start()
}

// start starts the process, unless one runs.
func (e *entry) start() error {
	if e.exited != nil && !e.ended(0) {
		return nil
	}
	log, err := os.OpenFile(e.soak.logFile(e.number), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "log")
	}
	defer log.Close()
	cmd := exec.Command(e.soak.Program, "entry")
	cmd.Env = append(os.Environ(), platform.SettingsEnv+"="+e.file)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "start")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cmd, e.exited = cmd, make(chan struct{})
	go (&waiter{cmd: cmd, exited: e.exited}).run()
	return nil
}

// waiter takes the end of a process.
type waiter struct {
	cmd    *exec.Cmd
	exited chan struct{}
}

func (w *waiter) run() {
	_ = w.cmd.Wait() // killed processes end with an error, which is what was asked for
	close(w.exited)
}

// signal sends a signal to the process that was started, and to no other.
func (e *entry) signal(sig syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.exited:
	default:
		_ = e.cmd.Process.Signal(sig)
	}
}

// process is the end of the process that runs now.
func (e *entry) process() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.exited
}

// ended waits for the process to end.
func (e *entry) ended(limit time.Duration) bool { return ended(e.process(), limit) }

func ended(exited <-chan struct{}, limit time.Duration) bool {
	if limit <= 0 {
		select {
		case <-exited:
			return true
		default:
			return false
		}
	}
	select {
	case <-exited:
		return true
	case <-time.After(limit):
		return false
	}
}

func (e *entry) kill() {
	e.signal(syscall.SIGKILL)
	e.ended(5 * time.Second)
}

// isReady asks as the platform's balancer does.
func (e *entry) isReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + e.ready + "/api/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode == http.StatusOK
}

// readyLimit is generous: a slow machine must not fail a run.
const readyLimit = 30 * time.Second

func (e *entry) untilReady() error {
	for end := time.Now().Add(readyLimit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if e.isReady() {
			return nil
		}
	}
	return errors.Newf("entry %d is not ready after %s", e.number, readyLimit)
}
