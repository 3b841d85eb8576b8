package fake

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"chestnutstep.example/chestnutstep"
)

const (
	// maxValueBytes is the platform's limit for one value, in bytes.
	maxValueBytes = 1 << 20
	// maxWatchWait is the longest wait of one long poll.
	maxWatchWait = 30 * time.Second
	// maxHistory is the number of revisions kept per value, which Mode.Stale can
	// select from.
	maxHistory = 64
)

// States of a host in the platform's list.
const (
	HostLive    = "live"
	HostLeaving = "leaving"
)

// HostState is an item of the platform's host list.
type HostState struct {
	Host  string `json:"host"`
	State string `json:"state"`
}

// Calls counts the calls of readers by kind. A long poll counts as one call, as
// in the real service.
type Calls struct {
	Read    int64 `json:"read"`
	Watch   int64 `json:"watch"`
	Hosts   int64 `json:"hosts"`
	Refused int64 `json:"refused"`
}

// Mode configures how the platform misbehaves.
type Mode struct {
	// Down refuses all reads.
	Down bool `json:"down"`
	// Stale serves the values that were current at this revision; 0 serves the
	// latest. Lowering it makes revisions go backward.
	Stale uint64 `json:"stale"`
	// Slow delays each read.
	Slow chestnutstep.Duration `json:"slow"`
	// Lag delays changes of the host list.
	Lag chestnutstep.Duration `json:"lag"`
}

type revision struct {
	number uint64
	value  []byte
}

type hostChange struct {
	state   HostState
	visible time.Time
}

// Platform is a fake of the configuration service and the host list. Readers use
// GET; tests control it by the methods and by the endpoints under /control/.
// The zero value is an empty service, ready for use.
type Platform struct {
	mu           sync.Mutex
	mode         Mode
	calls        Calls
	lastRevision uint64
	values       map[string][]revision
	hosts        []HostState
	pending      []hostChange
	changed      chan struct{}
}

// Put sets a value and returns its revision. All names share one sequence of
// revisions.
func (p *Platform) Put(name string, value []byte) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.values == nil {
		p.values = make(map[string][]revision)
	}
	p.lastRevision++
	list := append(p.values[name], revision{p.lastRevision, value})
	p.values[name] = list[max(0, len(list)-maxHistory):]
	p.notifyWatchers()
	return p.lastRevision
}

// SetMode replaces the current mode.
func (p *Platform) SetMode(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	p.notifyWatchers()
}

// SetHost sets a host's state; it becomes visible to readers after the lag of the
// current mode. An empty state removes the host.
func (p *Platform) SetHost(host, state string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending = append(p.pending, hostChange{HostState{host, state}, time.Now().Add(p.mode.Lag.Std())})
}

// Calls returns the number of calls so far.
func (p *Platform) Calls() Calls {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// notifyWatchers makes waiting long polls check for a new revision.
func (p *Platform) notifyWatchers() {
	if p.changed != nil {
		close(p.changed)
		p.changed = nil
	}
}

// ServeHTTP serves readers and the control endpoints.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/control/") {
		p.serveControl(w, r)
		return
	}
	if r.Method != http.MethodGet {
		http.Error(w, "the service can only be read", http.StatusMethodNotAllowed)
		return
	}
	if !p.countCall(r) {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	switch name, isValue := strings.CutPrefix(r.URL.Path, "/v/"); {
	case isValue:
		p.serveValue(w, r, name)
	case r.URL.Path == "/hosts":
		reply(w, p.list(time.Now()))
	default:
		http.NotFound(w, r)
	}
}

// countCall counts a call, delays it, and reports whether the service is up.
func (p *Platform) countCall(r *http.Request) bool {
	p.mu.Lock()
	mode := p.mode
	switch {
	case mode.Down:
		p.calls.Refused++
	case r.URL.Path == "/hosts":
		p.calls.Hosts++
	case r.URL.Query().Has("after"):
		p.calls.Watch++
	default:
		p.calls.Read++
	}
	p.mu.Unlock()
	pause(r, mode.Slow.Std())
	return !mode.Down
}

func pause(r *http.Request, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-r.Context().Done():
	}
}

// serveValue answers a read, or a long poll that waits for a revision above the
// parameter after.
func (p *Platform) serveValue(w http.ResponseWriter, r *http.Request, name string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	end := time.After(min(wait, maxWatchWait))
	for {
		rev, changed := p.current(name)
		if rev.number > after {
			w.Header().Set("Version", strconv.FormatUint(rev.number, 10))
			_, _ = w.Write(rev.value)
			return
		}
		if after == 0 && wait == 0 {
			http.NotFound(w, r)
			return
		}
		select {
		case <-changed:
		case <-end:
			w.Header().Set("Version", strconv.FormatUint(rev.number, 10))
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// current returns the revision to serve and a channel that is closed when the
// revision can have changed.
func (p *Platform) current(name string) (revision, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.changed == nil {
		p.changed = make(chan struct{})
	}
	var found revision
	for _, rev := range p.values[name] {
		if p.mode.Stale == 0 || rev.number <= p.mode.Stale {
			found = rev
		}
	}
	return found, p.changed
}

// list applies the host changes whose lag has passed and returns the host list.
func (p *Platform) list(now time.Time) []HostState {
	p.mu.Lock()
	defer p.mu.Unlock()
	var notYetVisible []hostChange
	for _, c := range p.pending {
		if c.visible.After(now) {
			notYetVisible = append(notYetVisible, c)
			continue
		}
		p.apply(c.state)
	}
	p.pending = notYetVisible
	return append([]HostState{}, p.hosts...)
}

func (p *Platform) apply(s HostState) {
	var others []HostState
	for _, h := range p.hosts {
		if h.Host != s.Host {
			others = append(others, h)
		}
	}
	if s.State != "" {
		others = append(others, s)
	}
	p.hosts = others
}

// serveControl serves the control endpoints for tests:
//
//	POST /control/v/NAME    sets the value to the body; returns its revision
//	POST /control/mode      sets the mode; the body is a Mode
//	POST /control/hosts     sets host states; the body is a list of HostState
//	GET  /control/calls     returns the Calls
func (p *Platform) serveControl(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxValueBytes+1))
	if err != nil || len(body) > maxValueBytes {
		http.Error(w, "a value is at most 1 MiB", http.StatusRequestEntityTooLarge)
		return
	}
	name, isValue := strings.CutPrefix(r.URL.Path, "/control/v/")
	switch {
	case isValue:
		reply(w, p.Put(name, body))
	case r.URL.Path == "/control/mode":
		var m Mode
		if read(w, body, &m) {
			p.SetMode(m)
		}
	case r.URL.Path == "/control/hosts":
		var list []HostState
		if read(w, body, &list) {
			for _, h := range list {
				p.SetHost(h.Host, h.State)
			}
		}
	case r.URL.Path == "/control/calls":
		reply(w, p.Calls())
	default:
		http.NotFound(w, r)
	}
}

func read(w http.ResponseWriter, body []byte, into any) bool {
	if err := json.Unmarshal(body, into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
