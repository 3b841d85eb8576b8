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

// entry is one entry process. It reaches the store through a relay and a store
// server of its own, so that either can fail for this entry only.
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
	// starts is the number of processes started.
	starts int
	// pausedAt is the time of the last SIGSTOP to a process of this entry.
	pausedAt time.Time
	// disturbances are the times in which the process did not run.
	disturbances disturbances
}

// Ports of each entry: the same on all hosts of a platform, and below the range of
// ephemeral ports.
const (
	frontendPort = 21000 + iota
	readyPort
	controlPort
	firstPort
	lastPort = firstPort + 5
)

// host returns the loopback address of entry i. It is derived from the process id of
// the test, so that concurrent test processes don't share ports.
func host(i int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>8&63, pid&255, 2+i)
}

func address(i, port int) string { return net.JoinHostPort(host(i), strconv.Itoa(port)) }

func (s *Soak) newEntry(i int, seed string) (*entry, error) {
	e := &entry{
		soak: s, number: i, storeServer: s.store.NewServer(), file: filepath.Join(s.Dir, fmt.Sprintf("entry-%d.json", i)),
		frontendAddr: address(i, frontendPort), readyAddr: address(i, readyPort), controlAddr: address(i, controlPort),
	}
	e.relay = &pipe.Relay{Backend: e.storeServer.Address()}
	if err := e.relay.Start(); err != nil {
		return nil, errors.Wrap(err, "start relay to the store")
	}
	settings := map[string]any{
		"nodeName": fmt.Sprintf("entry-%d", i), "ip": host(i), "zone": "z", "region": "r",
		"listen":        map[string]string{"frontend": e.frontendAddr, "ready": e.readyAddr, "controlPlane": e.controlAddr},
		"internalPorts": []int{firstPort, lastPort},
		"seeds":         []string{seed},
		"limits":        map[string]any{"memoryMb": s.MemoryMb},
		"bounds": map[string]any{
			"graceS": gracePeriod.Seconds(), "revokeMs": revokeDelay.Milliseconds(), "retryBudgetRatio": retryRatio, "retrySlack": retrySlack,
			"budgetWindowS": budgetWindow.Seconds(), "coldOverage": 1.5, "coldSlack": 5, "capFactor": 2, "contactMs": 3000,
		},
		"platform": map[string]any{"address": e.relay.Addr(), "readsPerS": 1000},
	}
	raw, err := json.Marshal(settings)
	if err != nil {
		return nil, errors.Wrap(err, "write settings of the entry")
	}
	if err := os.WriteFile(e.file, raw, 0o600); err != nil {
		return nil, errors.Wrap(err, "write settings of the entry")
	}
	return e, e.start()
}

// start starts the process unless one is running.
func (e *entry) start() error {
	if e.exited != nil && !e.waitExit(0) {
		return nil
	}
	log, err := os.OpenFile(e.soak.logFile(e.number), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open log of the entry")
	}
	defer log.Close()
	cmd := exec.Command(e.soak.Program, "entry")
	if e.soak.HardLoad {
		cmd.Args = append(cmd.Args, "--returns", "--hedge", strconv.Itoa(hedgePercent))
	}
	cmd.Env = append(os.Environ(), platform.SettingsEnv+"="+e.file)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "start entry process")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.starts++
	e.cmd, e.exited = cmd, stand.WaitExit(cmd)
	return nil
}

// signal sends a signal to the entry's process unless it has exited, since its
// process id could then belong to another process.
func (e *entry) signal(sig syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.exited:
	default:
		_ = e.cmd.Process.Signal(sig)
	}
}

// currentExit returns the channel that is closed when the current process exits.
func (e *entry) currentExit() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.exited
}

// waitExit waits up to limit for the current process to exit and reports whether it
// did.
func (e *entry) waitExit(limit time.Duration) bool { return waitExit(e.currentExit(), limit) }

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
	e.waitExit(5 * time.Second)
}

// isReady sends the readiness probe of the platform's load balancer.
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

// readyTimeout is long so that a slow machine does not fail a run.
const readyTimeout = 30 * time.Second

func (e *entry) waitReady() error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if e.isReady() {
			return nil
		}
	}
	return errors.Newf("entry %d is not ready after %s", e.number, readyTimeout)
}
