package main

import (
	"context"
	"encoding/json"
	"fmt"
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

	"chestnutstep.example/chestnutstep/stand"
)

const (
	host      = "ficu95.example"
	tenant    = "hule930"
	key       = "n2ctnfzs989anu6wsjnb"
	zone      = "mu-north-a"
	startWait = 15 * time.Second
	// calm is how long entries run before a case begins: more than contactMs.
	calm = 4 * time.Second
	// bornAgo is how long before the case the servers have started.
	bornAgo = time.Minute
)

// lab holds the processes and stand-ins of a case.
type lab struct {
	trouble bool
	start   time.Time

	mu      sync.Mutex
	record  *os.File
	dir     string
	store   *stand.Store
	server  *stand.StoreServer
	entries []*entry
	servers []*serverProcess

	// processes is held while a process is started; none is after close has begun.
	processes sync.Mutex
	closed    bool
	closing   sync.Once
}

// entry is a process of the project.
type entry struct {
	ip     string
	front  string
	ready  string
	cmd    *exec.Cmd
	exited chan struct{}
}

func newLab(record *os.File, trouble bool) *lab {
	l := &lab{trouble: trouble, start: time.Now(), record: record, store: stand.NewStore()}
	l.server = l.store.NewServer()
	l.note("disruption: %t", trouble)
	return l
}

// note writes a line to the record.
func (l *lab) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%8.3f %s\n", time.Since(l.start).Seconds(), fmt.Sprintf(format, args...))
}

// launch calls a function that starts a process, unless the case has been ended.
func (l *lab) launch(start func() error) error {
	l.processes.Lock()
	defer l.processes.Unlock()
	if l.closed {
		return errors.New("the case was ended")
	}
	return start()
}

// close ends all processes. A second call waits for the first.
func (l *lab) close() { l.closing.Do(l.end) }

func (l *lab) end() {
	l.processes.Lock()
	defer l.processes.Unlock()
	l.closed = true
	for _, e := range l.entries {
		_ = e.cmd.Process.Kill() // fails if it has ended
		<-e.exited
	}
	for _, s := range l.servers {
		s.crash()
	}
	l.server.Close()
	if l.dir != "" {
		_ = os.RemoveAll(l.dir)
	}
}

// route is a route of the configuration. The fields have the names of the users' pages.
type route struct {
	Name        string `json:"name"`
	Host        string `json:"host"`
	Prefix      string `json:"prefix"`
	Type        string `json:"type"`
	TimeoutMs   int    `json:"timeoutMs"`
	LatencyMs   int    `json:"latencyTargetMs"`
	Priority    int    `json:"priority"`
	Service     string `json:"service"`
	MaxAttempts int    `json:"maxAttempts"`
	Public      bool   `json:"public"`
	Sticky      bool   `json:"sticky"`
	Resumable   bool   `json:"resumable"`
	GapMs       int    `json:"gapTargetMs,omitempty"`
}

// publish writes the configuration of the given routes, all to one service.
func (l *lab) publish(service string, maxConnections int, routes ...route) {
	for i := range routes {
		routes[i].Host, routes[i].Service = host, service
	}
	l.store.Put("op/config", map[string]any{
		"version":  7,
		"routes":   routes,
		"services": []any{map[string]any{"name": service, "healthPath": healthPath, "maxConnections": maxConnections, "protocol": "h1", "tls": false, "coldStartS": 0.0, "coldPerS": 0.0}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": tenant, "apiKeys": []string{key}, "priority": 1}},
	})
}

// list writes the entry of a server.
func (l *lab) list(s *server, service string, slots int) { l.listAt(s.id, s.address(), service, slots) }

// listAt writes the entry of a server that is reached at an address.
func (l *lab) listAt(id, address, service string, slots int) {
	l.listBorn(id, address, service, slots, time.Now().Add(-bornAgo))
}

// listBorn writes the entry of a server that has started at a time.
func (l *lab) listBorn(id, address, service string, slots int, born time.Time) {
	l.store.PutTarget(id, stand.TargetEntry{
		Service: service, Address: address, Zone: zone, Version: "v1", Slots: slots, State: "ready", Sequence: 4,
		BornMs: born.UnixMilli(),
	})
}

// startEntries starts the given number of entries and waits until they are ready.
func (l *lab) startEntries(n int) error {
	var err error
	if l.dir, err = os.MkdirTemp("", "review"); err != nil {
		return err
	}
	ips := make([]string, n)
	for i := range ips {
		ips[i] = fmt.Sprintf("127.0.0.%d", 20+i)
	}
	ports, err := freePorts(ips, 5)
	if err != nil {
		return err
	}
	for _, ip := range ips {
		if err := l.startEntry(ip, ips, ports); err != nil {
			return err
		}
	}
	for _, e := range l.entries {
		if err := e.awaitReady(); err != nil {
			return err
		}
	}
	l.note("%d entries are ready", n)
	time.Sleep(calm) // an entry is in touch once it has run for contactMs
	return nil
}

func (l *lab) startEntry(ip string, seeds []string, ports []int) error {
	at := func(ip string, i int) string { return net.JoinHostPort(ip, strconv.Itoa(ports[i])) }
	var control []string
	for _, s := range seeds {
		control = append(control, at(s, 2))
	}
	e := &entry{ip: ip, front: at(ip, 0), ready: at(ip, 1), exited: make(chan struct{})}
	settings := map[string]any{
		"nodeName": "edge-" + ip, "role": "entry", "machineClass": "edge", "serves": []string{"edge", "control_plane"},
		"ip": ip, "zone": zone, "region": "mu-north", "zones": map[string]string{zone: "mu-north"},
		"listen":        map[string]string{"frontend": e.front, "ready": e.ready, "controlPlane": at(ip, 2)},
		"internalPorts": []int{ports[3], ports[3]}, "seeds": control, "bootstrap": true, "faultCounted": false,
		"limits":  map[string]any{"cpuShare": 0.304, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"dataDir": nil, "discovery": "platform", "entry": "vip", "heartbeatMs": 1200,
		"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "places", "platform"},
		"faultTolerance": map[string]int{"machines": 2, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8,
			"lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "outerMs": 5000, "revokeStrict": true, "revokeMs": 5000,
			"retryBudgetRatio": 0.2, "budgetWindowS": 10, "retrySlack": 56, "coldOverage": 1.5, "coldSlack": 5, "evacuateMs": 5000,
			"recoveryS": 12, "passMs": 120, "reuseWindowS": 10, "capFactor": 2,
		},
		"platform": map[string]any{
			"address": l.server.Address(), "form": "read", "writesPerS": 400, "readsPerS": 2000, "historyS": 20,
			"valueBytes": 1048576, "ttlMinMs": 1000,
		},
	}
	raw, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	file := filepath.Join(l.dir, ip+".json")
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(l.dir, ip+".log"))
	if err != nil {
		return err
	}
	defer log.Close()
	e.cmd = exec.Command("target/chestnutstep", "entry", "--metrics", strconv.Itoa(ports[4]))
	e.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CHESTNUTSTEP_NODE_FILE=" + file}
	e.cmd.Stdout, e.cmd.Stderr = log, log
	return l.launch(func() error {
		if err := e.cmd.Start(); err != nil {
			return errors.Wrap(err, "start an entry")
		}
		go e.wait()
		l.entries = append(l.entries, e)
		return nil
	})
}

func (e *entry) wait() {
	_ = e.cmd.Wait()
	close(e.exited)
}

func (e *entry) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(startWait); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + e.ready + "/api/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.Newf("entry %s is not ready", e.ip)
}

// freePorts returns ports that are free at all addresses.
func freePorts(ips []string, n int) ([]int, error) {
	var ports []int
	for try := 0; len(ports) < n && try < 100; try++ {
		first, err := net.Listen("tcp", ips[0]+":0")
		if err != nil {
			return nil, err
		}
		port := first.Addr().(*net.TCPAddr).Port
		_ = first.Close()
		if isFree(ips, port) {
			ports = append(ports, port)
		}
	}
	if len(ports) < n {
		return nil, errors.New("no free ports")
	}
	return ports, nil
}

func isFree(ips []string, port int) bool {
	for _, ip := range ips {
		address := net.JoinHostPort(ip, strconv.Itoa(port))
		t, err := net.Listen("tcp", address)
		if err != nil {
			return false
		}
		_ = t.Close()
		u, err := (&net.ListenConfig{}).ListenPacket(context.Background(), "udp", address)
		if err != nil {
			return false
		}
		_ = u.Close()
	}
	return true
}

// hangUp tells all entries that their settings file has changed.
func (l *lab) hangUp() error {
	l.note("SIGHUP to all entries")
	for _, e := range l.entries {
		if err := e.cmd.Process.Signal(syscall.SIGHUP); err != nil {
			return err
		}
	}
	return nil
}
