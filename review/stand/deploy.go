package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"chestnutstep.example/chestnutstep/stand"
)

// Names of the deployment.
const (
	hostName   = "ficu95.example"
	clientKey  = "n2ctnfzs989anu6wsjnb"
	tenantName = "hule930"
	zoneName   = "regina-a"
	program    = "target/chestnutstep"
)

// heartbeatInterval is how often a server writes its entry to the store.
const heartbeatInterval = 1200 * time.Millisecond

// deployment is a small deployment: a store, entries as separate processes, and servers.
type deployment struct {
	run     *caseRun
	store   *stand.Store
	server  *stand.StoreServer
	entries []*entry
	servers []*server
	stop    chan struct{}
	beats   sync.WaitGroup
}

// entry is an entry that runs as a process of its own.
type entry struct {
	name, ip                   string
	frontend, ready, settings  string
	memoryMb                   int
	log                        *os.File
	mu                         sync.Mutex
	cmd                        *exec.Cmd
	exited                     chan struct{}
	controlPlane               string
	firstInternal, lastInternl int
}

// newDeployment starts the store, the servers and the entries, and waits until all entries are ready.
func newDeployment(c *caseRun, entries, memoryMb int, config map[string]any, servers []*server) (*deployment, error) {
	d := &deployment{run: c, store: stand.NewStore(), servers: servers, stop: make(chan struct{})}
	d.server = d.store.NewServer()
	d.store.Put("op/config", config)
	for _, s := range servers {
		if err := s.start(c.record); err != nil {
			return d, err
		}
		d.beats.Add(1)
		go d.beat(s)
	}
	for i := range entries {
		e, err := newEntry(c.dir, i, memoryMb)
		if err != nil {
			return d, err
		}
		d.entries = append(d.entries, e)
	}
	for _, e := range d.entries {
		if err := d.writeSettings(e); err != nil {
			return d, err
		}
		if err := e.start(); err != nil {
			return d, err
		}
	}
	for _, e := range d.entries {
		if err := e.waitReady(20 * time.Second); err != nil {
			return d, err
		}
	}
	return d, nil
}

// beat registers a server until the deployment ends.
func (d *deployment) beat(s *server) {
	defer d.beats.Done()
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	for sequence := 1; ; sequence++ {
		d.register(s, sequence)
		select {
		case <-d.stop:
			return
		case <-tick.C:
		}
	}
}

// register writes the entry of a server.
func (d *deployment) register(s *server, sequence int) {
	d.store.Put("servers/"+s.id, map[string]any{
		"service": s.service, "address": s.address, "zone": zoneName, "version": "v1", "slots": s.slots,
		"state": "ready", "coldRemainingMs": 0, "sequence": sequence, "born": s.born.UnixMilli(),
	})
}

// close ends all processes that the deployment started.
func (d *deployment) close() {
	close(d.stop)
	for _, e := range d.entries {
		e.kill()
		_ = e.log.Close()
	}
	for _, s := range d.servers {
		s.close()
	}
	d.beats.Wait()
	d.server.Close()
}

// newEntry reserves addresses on a loopback address that no other process uses.
func newEntry(dir string, number, memoryMb int) (*entry, error) {
	pid := os.Getpid()
	e := &entry{
		name: fmt.Sprintf("edge-%s-%d", zoneName, number+1), memoryMb: memoryMb,
		ip: fmt.Sprintf("127.%d.%d.%d", 64+pid%128, pid/128%256, number+1),
	}
	for _, addr := range []*string{&e.frontend, &e.ready, &e.controlPlane} {
		l, err := net.Listen("tcp", e.ip+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		*addr = l.Addr().String()
	}
	e.firstInternal, e.lastInternl = 7340, 7355
	e.settings = filepath.Join(dir, e.name+".json")
	var err error
	e.log, err = os.Create(filepath.Join(dir, e.name+".log"))
	return e, err
}

func (d *deployment) writeSettings(e *entry) error {
	var seeds []string
	for _, x := range d.entries {
		seeds = append(seeds, x.controlPlane)
	}
	raw, err := json.Marshal(map[string]any{
		"nodeName": e.name, "role": "entry", "machineClass": "edge", "serves": []string{"edge", "control_plane"},
		"ip": e.ip, "zone": zoneName, "region": "prairie-ca", "zones": map[string]string{zoneName: "prairie-ca"},
		"listen":        map[string]string{"frontend": e.frontend, "ready": e.ready, "controlPlane": e.controlPlane},
		"internalPorts": []int{e.firstInternal, e.lastInternl}, "seeds": seeds, "bootstrap": true, "faultCounted": false,
		"limits":    map[string]any{"cpuShare": 0.304, "cores": 1, "memoryMb": e.memoryMb, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"dataDir":   nil,
		"discovery": "platform", "entry": "vip", "heartbeatMs": 1200,
		"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "places", "platform"},
		"faultTolerance": map[string]int{"machines": 2, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8,
			"lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "outerMs": 5000, "revokeStrict": true,
			"revokeMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "retrySlack": 52, "coldOverage": 1.5,
			"coldSlack": 5, "evacuateMs": 5000, "recoveryS": 12, "passMs": 120, "reuseWindowS": 10, "capFactor": 2,
		},
		"platform": map[string]any{
			"address": d.server.Address(), "form": "read", "writesPerS": 400, "readsPerS": 2000, "historyS": 20,
			"valueBytes": 1048576, "ttlMinMs": 1000,
		},
	})
	if err != nil {
		return err
	}
	return os.WriteFile(e.settings, raw, 0o600)
}

// start starts the process with the command of the deploy file.
func (e *entry) start() error {
	cmd := exec.Command(program, "entry", "--metrics", "9464")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CHESTNUTSTEP_NODE_FILE=" + e.settings}
	cmd.Stdout, cmd.Stderr = e.log, e.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cmd, e.exited = cmd, make(chan struct{})
	go wait(cmd, e.exited)
	return nil
}

func wait(cmd *exec.Cmd, exited chan<- struct{}) {
	_ = cmd.Wait() // a killed process returns an error, which is expected
	close(exited)
}

// process returns the current process and a channel that is closed when it has ended.
func (e *entry) process() (*os.Process, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cmd == nil {
		return nil, nil
	}
	return e.cmd.Process, e.exited
}

// kill ends the process with SIGKILL and waits for its end.
func (e *entry) kill() {
	p, exited := e.process()
	if p == nil {
		return
	}
	select {
	case <-exited:
		return
	default:
	}
	_ = p.Kill()
	<-exited
}

func (e *entry) waitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + e.ready + "/api/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New(e.name + " is not ready")
}
