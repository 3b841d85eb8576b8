// Package stand plays the platform for tests: its store and its targets, with
// the failures that both are known for, over loopback.
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

// maxPageItems is how many items a page holds: few, so that tests see several.
const maxPageItems = 3

// Store is the platform's store. Make it with NewStore.
type Store struct {
	mu       sync.Mutex
	items    map[string]item
	events   []item
	revision uint64
	// compactedTo is the revision up to which the history was dropped.
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

// Put writes an item as JSON; raw bytes are written as they are.
func (s *Store) Put(key string, value any) uint64 {
	raw, ok := value.([]byte)
	if !ok {
		raw, _ = json.Marshal(value)
	}
	return s.write(item{Key: key, Value: raw})
}

// Remove removes an item.
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

// Compact drops the history: watches from before get 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events, s.compactedTo = nil, s.revision
	close(s.changed)
	s.changed = make(chan struct{})
}

// Failure is how a door of the store misbehaves.
type Failure string

// The troubles.
const (
	NoFailure       Failure = ""
	Unresponsive    Failure = "silent" // no answer at all
	Unavailable     Failure = "busy"   // 503
	TooManyRequests Failure = "many"   // 429
	Reset           Failure = "reset"  // connections are reset
	AnswerLost      Failure = "lost"   // the answer is lost, the connection stays
)

// StoreServer is an address of the store, with troubles of its own: a store may turn
// one host away and serve another.
type StoreServer struct {
	store  *Store
	server *httptest.Server
	done   chan struct{}

	mu         sync.Mutex
	failure    Failure
	calls      int
	rangeCalls int
}

// NewServer returns a new door. Close it.
func (s *Store) NewServer() *StoreServer {
	d := &StoreServer{store: s, done: make(chan struct{})}
	d.server = httptest.NewServer(d)
	return d
}

// Address is IP and port.
func (d *StoreServer) Address() string { return strings.TrimPrefix(d.server.URL, "http://") }

// SetFailure begins a trouble. Watches that wait are cut.
func (d *StoreServer) SetFailure(t Failure) {
	d.mu.Lock()
	d.failure = t
	d.mu.Unlock()
	if t != NoFailure {
		d.server.CloseClientConnections()
	}
}

// Calls is how many calls came.
func (d *StoreServer) Calls() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calls
}

// RangeCalls is how many of them asked for a page of a list.
func (d *StoreServer) RangeCalls() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rangeCalls
}

// Close ends the door.
func (d *StoreServer) Close() {
	close(d.done)
	d.server.CloseClientConnections()
	d.server.Close()
}

// rangePath is the path of a list.
const rangePath = "/api/kv-range"

// ServeHTTP answers a call, or not.
func (d *StoreServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	d.calls++
	if r.URL.Path == rangePath {
		d.rangeCalls++
	}
	trouble := d.failure
	d.mu.Unlock()
	switch trouble {
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

// reset closes a connection with a reset.
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

// eventsAfter returns what changed, and what to wait for if nothing did. False says
// that the history is gone.
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
