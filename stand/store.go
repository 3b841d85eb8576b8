// Package stand emulates the platform for tests: its key-value store and its
// targets. Both serve HTTP on loopback and inject the failures that the real
// systems show.
package stand

import (
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxPageItems is the number of items per page. It is small so that lists in
// tests span several pages.
const maxPageItems = 3

// Store emulates the platform's key-value store. Use NewStore to create one and
// NewServer to serve it.
type Store struct {
	mu       sync.Mutex
	items    map[string]item
	events   []item
	revision uint64
	// compactedTo is the revision up to which the event history was dropped.
	compactedTo uint64
	changed     chan struct{}
}

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Removed  bool   `json:"removed,omitempty"`
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{items: make(map[string]item), revision: 10, changed: make(chan struct{})}
}

// Put writes an item and returns its revision. A []byte value is stored unchanged,
// any other value as JSON.
func (s *Store) Put(key string, value any) uint64 {
	raw, ok := value.([]byte)
	if !ok {
		raw, _ = json.Marshal(value)
	}
	return s.write(item{Key: key, Value: raw})
}

// TargetEntry is the entry that a target of the store publishes, with all of its fields.
type TargetEntry struct {
	Service  string  `json:"service"`
	Address  string  `json:"address"`
	Zone     string  `json:"zone"`
	Version  string  `json:"version"`
	Slots    int     `json:"slots"`
	State    string  `json:"state"`
	ColdMs   float64 `json:"coldRemainingMs"`
	Sequence int     `json:"sequence"`
	BornMs   int64   `json:"born"`
}

// PutTarget writes the entry of a target and returns its revision.
func (s *Store) PutTarget(id string, e TargetEntry) uint64 { return s.Put("servers/"+id, e) }

// Remove removes an item and returns the revision of the removal.
func (s *Store) Remove(key string) uint64 { return s.write(item{Key: key, Removed: true}) }

func (s *Store) write(it item) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it.Revision = s.revision
	if it.Removed {
		delete(s.items, it.Key)
	} else {
		s.items[it.Key] = it
	}
	s.events = append(s.events, it)
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

// Compact drops the event history: watches from an earlier revision are answered
// with status 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events, s.compactedTo = nil, s.revision
	close(s.changed)
	s.changed = make(chan struct{})
}

// Failure is a failure mode of a StoreServer.
type Failure string

// Failure modes.
const (
	NoFailure       Failure = ""
	Unresponsive    Failure = "silent" // requests are never answered
	Unavailable     Failure = "busy"   // status 503
	TooManyRequests Failure = "many"   // status 429
	Reset           Failure = "reset"  // connections are reset
	AnswerLost      Failure = "lost"   // the answer is lost, the connection stays open
)

// StoreServer serves a store at one address and has its own failure mode, because
// the real store can fail for one host while it serves another.
type StoreServer struct {
	store  *Store
	server *httptest.Server
	done   chan struct{}

	mu         sync.Mutex
	failure    Failure
	calls      int
	rangeCalls int
}

// NewServer starts a server of the store. The caller must close it.
func (s *Store) NewServer() *StoreServer {
	d := &StoreServer{store: s, done: make(chan struct{})}
	d.server = httptest.NewServer(d)
	return d
}

// Address returns the server's IP and port.
func (d *StoreServer) Address() string { return strings.TrimPrefix(d.server.URL, "http://") }

// SetFailure sets the failure mode. Any mode but NoFailure closes all connections,
// including those of waiting watches.
func (d *StoreServer) SetFailure(failure Failure) {
	d.mu.Lock()
	d.failure = failure
	d.mu.Unlock()
	if failure != NoFailure {
		d.server.CloseClientConnections()
	}
}

// Calls returns the number of calls received.
func (d *StoreServer) Calls() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calls
}

// RangeCalls returns the number of calls received for a page of a list.
func (d *StoreServer) RangeCalls() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rangeCalls
}

// Close stops the server and closes its connections.
func (d *StoreServer) Close() {
	close(d.done)
	d.server.CloseClientConnections()
	d.server.Close()
}

// rangePath is the path of list calls.
const rangePath = "/api/kv-range"

// ServeHTTP answers a call according to the failure mode.
func (d *StoreServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	d.calls++
	if r.URL.Path == rangePath {
		d.rangeCalls++
	}
	failure := d.failure
	d.mu.Unlock()
	switch failure {
	case Unresponsive, AnswerLost:
		d.hang(r)
	case Unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
	case TooManyRequests:
		w.WriteHeader(http.StatusTooManyRequests)
	case Reset:
		reset(w)
	default:
		d.answer(w, r)
	}
}

func (d *StoreServer) hang(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-d.done:
	}
}

// reset closes the connection of a request with a TCP reset.
func reset(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (d *StoreServer) answer(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch r.URL.Path {
	case rangePath:
		d.store.list(w, q.Get("prefix"), q.Get("after"))
	case "/api/kv-watch":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("waitMs"))
		d.watch(w, r, q.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	default:
		http.NotFound(w, r)
	}
}

type answer struct {
	Items     []item `json:"items,omitempty"`
	Events    []item `json:"events,omitempty"`
	Truncated bool   `json:"truncated"`
	Revision  uint64 `json:"currentRev"`
}

func writeAnswer(w http.ResponseWriter, a answer) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(a)
}

func (s *Store) list(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := answer{Revision: s.revision}
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	for i, key := range keys {
		if i == maxPageItems {
			a.Truncated = true
			break
		}
		a.Items = append(a.Items, s.items[key])
	}
	writeAnswer(w, a)
}

// eventsAfter returns the events under a prefix after a revision, and a channel that
// is closed at the next change. It returns false if the history from that revision
// was compacted.
func (s *Store) eventsAfter(prefix string, revision uint64) (answer, <-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision < s.compactedTo {
		return answer{}, nil, false
	}
	a := answer{Revision: s.revision}
	for _, e := range s.events {
		if e.Revision > revision && strings.HasPrefix(e.Key, prefix) {
			a.Events = append(a.Events, e)
		}
	}
	return a, s.changed, true
}

func (d *StoreServer) watch(w http.ResponseWriter, r *http.Request, prefix string, revision uint64, wait time.Duration) {
	limit := time.After(wait)
	for {
		a, changed, ok := d.store.eventsAfter(prefix, revision)
		if !ok {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(a.Events) > 0 {
			writeAnswer(w, a)
			return
		}
		select {
		case <-changed:
		case <-limit:
			writeAnswer(w, a)
			return
		case <-r.Context().Done():
			return
		case <-d.done:
			return
		}
	}
}
