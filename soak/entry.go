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
	soak         *Soak
	number       int
	file         string
	frontendAddr string
	readyAddr    string
	controlAddr  string
	storeServer  *stand.StoreServer
	relay        *pipe.Relay

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	// pausedAt is when a process of the entry was last made to stand still.
	pausedAt time.Time
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
		soak: s, number: i, storeServer: s.store.NewServer(), file: filepath.Join(s.Dir, fmt.Sprintf("entry-%d.json", i)),
		frontendAddr: address(i, callersPort), readyAddr: address(i, readyPort), controlAddr: address(i, controlPort),
	}
	e.relay = &pipe.Relay{Backend: e.storeServer.Address()}
	if err := e.relay.Start(); err != nil {
		return nil, errors.Wrap(err, "relay")
	}
	settings := map[string]any{
		"nodeName": fmt.Sprintf("entry-%d", i), "ip": host(i), "zone": "z", "region": "r",
		"listen":        map[string]string{"frontend": e.frontendAddr, "ready": e.readyAddr, "controlPlane": e.controlAddr},
		"internalPorts": []int{firstPort, lastPort},
		"seeds":         []string{seed},
		"bounds": map[string]any{
			"graceS": gracePeriod.Seconds(), "revokeMs": revokeDelay.Milliseconds(), "retryBudgetRatio": 0.2, "retrySlack": 50,
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
	if e.exited != nil && !e.hasExited(0) {
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

// currentExit is the end of the process that runs now.
func (e *entry) currentExit() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.exited
}

// hasExited waits for the process to end.
func (e *entry) hasExited(limit time.Duration) bool { return waitExit(e.currentExit(), limit) }

func waitExit(exited <-chan struct{}, limit time.Duration) bool {
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
	e.hasExited(5 * time.Second)
}

// isReady asks as the platform's balancer does.
func (e *entry) isReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + e.readyAddr + "/api/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode == http.StatusOK
}

// readyTimeout is generous: a slow machine must not fail a run.
const readyTimeout = 30 * time.Second

func (e *entry) waitReady() error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if e.isReady() {
			return nil
		}
	}
	return errors.Newf("entry %d is not ready after %s", e.number, readyTimeout)
}
