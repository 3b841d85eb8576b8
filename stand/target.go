package stand

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Behaviour is how a target treats one request.
type Behaviour string

// The manners.
const (
	Normal        Behaviour = "fine"     // a whole answer
	Shed          Behaviour = "shed"     // full: it says that it did not run the request
	OtherInstance Behaviour = "other"    // another instance has the address
	Fails         Behaviour = "fails"    // runs it and answers with a failure of its own
	Resets        Behaviour = "resets"   // runs it and resets the connection, without a word
	Cuts          Behaviour = "cuts"     // ends in the middle of the answer
	ExtraAnswer   Behaviour = "extra"    // a whole answer, and another one behind it
	Misdelivered  Behaviour = "crossed"  // the answer to another request
	Unsigned      Behaviour = "unsigned" // an answer that no target made
	Garbage       Behaviour = "garbage"  // bytes that are no answer
	Unframed      Behaviour = "unframed" // a whole answer that ends with its connection
	Early         Behaviour = "early"    // answers before it has read the body
	Hangs         Behaviour = "hangs"    // runs it and says nothing
	Slow          Behaviour = "slow"     // waits 150 ms with the answer
	Skips         Behaviour = "skips"    // leaves out an event of a stream
)

// BehaviourQueue is how requests are treated in the order in which they come, whichever
// target they come to.
type BehaviourQueue struct {
	mu   sync.Mutex
	list []Behaviour
}

// Set replaces what is to come.
func (o *BehaviourQueue) Set(list ...Behaviour) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.list = list
}

func (o *BehaviourQueue) next() (Behaviour, bool) {
	if o == nil {
		return "", false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.list) == 0 {
		return "", false
	}
	m := o.list[0]
	o.list = o.list[1:]
	return m, true
}

// Run is one request that a target began to work on.
type Run struct {
	ID        string
	Target    string
	Workspace string
	Path      string
	Body      string
	Header    http.Header
	// Ended says that the target saw it to its end.
	Ended bool
	// CallerLeft says that its connection was closed while it ran.
	CallerLeft bool
}

// Target is a server of the platform. Make it with NewTarget.
type Target struct {
	Name string
	// EventCount is how many events a stream has.
	EventCount int
	// EventInterval is the time between two events.
	EventInterval time.Duration
	// Queue goes before the target's own manners; several may share one.
	Queue *BehaviourQueue
	// KillRule is the content that ends the target; nil for none.
	KillRule *KillRule

	server           *httptest.Server
	mu               sync.Mutex
	nextBehaviours   []Behaviour
	defaultBehaviour Behaviour
	runs             []*Run
	requests         int
	connections      int
	cachedParts      []string
	cacheLists       int
	stop             chan struct{}
	conns            map[net.Conn]bool
	dead             bool
	// reservedPort is the socket that keeps a dead target's port.
	reservedPort int
}

// NewTarget starts a target under an instance name. Close it.
func NewTarget(name string) *Target {
	t := &Target{Name: name, EventCount: 4, defaultBehaviour: Normal, stop: make(chan struct{})}
	t.server = httptest.NewUnstartedServer(t)
	t.server.Config.ConnState = t.track
	t.server.Start()
	return t
}

// Address is IP and port.
func (t *Target) Address() string { return strings.TrimPrefix(t.server.URL, "http://") }

// Close ends it, and all connections with it.
func (t *Target) Close() {
	t.mu.Lock()
	select {
	case <-t.stop:
	default:
		close(t.stop)
	}
	t.releasePort()
	t.mu.Unlock()
	t.server.CloseClientConnections()
	t.server.Close()
}

// SetBehaviour sets how the next requests are treated, one each, and all after them.
func (t *Target) SetBehaviour(behaviour Behaviour, next ...Behaviour) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.defaultBehaviour, t.nextBehaviours = behaviour, next
}

// SetCachedParts sets what the target says of its cache.
func (t *Target) SetCachedParts(parts ...string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cachedParts = parts
}

// CacheLists is how often it was asked what it holds.
func (t *Target) CacheLists() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cacheLists
}

// Runs lists what it began to work on.
func (t *Target) Runs() []Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]Run, 0, len(t.runs))
	for _, r := range t.runs {
		list = append(list, *r)
	}
	return list
}

// Requests is how many requests came, run or not.
func (t *Target) Requests() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.requests
}

// Connections is how many connections were opened.
func (t *Target) Connections() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.connections
}

// nextBehaviour returns how to treat the request that came.
func (t *Target) nextBehaviour() Behaviour {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests++
	if m, ok := t.Queue.next(); ok {
		return m
	}
	if len(t.nextBehaviours) == 0 {
		return t.defaultBehaviour
	}
	m := t.nextBehaviours[0]
	t.nextBehaviours = t.nextBehaviours[1:]
	return m
}

// ServeHTTP answers a request.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/api/kv-list" {
		t.writeCacheList(w)
		return
	}
	m := t.nextBehaviour()
	if want := r.Header.Get("Expect-Instance"); want != t.Name || m == OtherInstance {
		w.Header().Set("Instance-Id", "i-other")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if m == Shed {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if m == Early {
		t.answerEarly(w, r)
		return
	}
	body, _ := io.ReadAll(r.Body)
	run := &Run{
		ID: r.Header.Get("Attempt-Id"), Target: t.Name, Workspace: r.Header.Get("Tenant"),
		Path: r.RequestURI, Body: string(body), Header: r.Header.Clone(),
	}
	t.mu.Lock()
	t.runs = append(t.runs, run)
	t.mu.Unlock()
	if t.KillRule.matches(run) {
		t.killDuringAnswer(w, r, run)
		return
	}
	t.answer(w, r, m, run)
	t.mu.Lock()
	run.CallerLeft = r.Context().Err() != nil
	run.Ended = !run.CallerLeft
	t.mu.Unlock()
}

func (t *Target) writeCacheList(w http.ResponseWriter) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cacheLists++
	var rows []string
	for _, p := range t.cachedParts {
		rows = append(rows, fmt.Sprintf(`["",%q,1000,"m"]`, p))
	}
	fmt.Fprintf(w, `{"epoch":1,"next":1,"held":[%s]}`, strings.Join(rows, ","))
}

// answerEarly answers before the body was read, and does not get to reading it.
func (t *Target) answerEarly(w http.ResponseWriter, r *http.Request) {
	c, rw, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	fmt.Fprintf(rw, "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Attempt-Id"))
	_ = rw.Flush()
	select {
	case <-t.stop:
	case <-time.After(2 * time.Second):
	}
}

// sign sets the headers of an answer of the target's own.
func (t *Target) sign(h http.Header, id string) {
	h.Set("Attempt-Id", id)
	h.Set("Server-Signature", "sig-"+t.Name)
}

func (t *Target) answer(w http.ResponseWriter, r *http.Request, m Behaviour, run *Run) {
	switch m {
	case Resets:
		reset(w)
		return
	case Hangs:
		t.wait(r, time.Hour)
		return
	case Slow:
		t.wait(r, 150*time.Millisecond)
	case Garbage, ExtraAnswer, Unframed:
		t.writeRaw(w, m, run)
		return
	}
	id := run.ID
	if m == Misdelivered {
		id = "another"
	}
	t.sign(w.Header(), id)
	if m == Unsigned {
		w.Header().Del("Server-Signature")
	}
	if strings.Contains(run.Path, "/stream/") {
		t.stream(w, r, m)
		return
	}
	text := "answer to " + run.ID
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if m == Fails {
		w.WriteHeader(http.StatusInternalServerError)
	}
	if m == Cuts {
		_, _ = io.WriteString(w, text[:4])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, text)
}

func (t *Target) wait(r *http.Request, d time.Duration) {
	select {
	case <-r.Context().Done():
	case <-time.After(d):
	case <-t.stop:
	}
}

// writeRaw answers past net/http, which knows no bad manners.
func (t *Target) writeRaw(w http.ResponseWriter, m Behaviour, run *Run) {
	c, rw, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	text := "answer to " + run.ID
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Signature: sig-%s\r\n", run.ID, t.Name)
	switch m {
	case Garbage:
		_, _ = rw.WriteString("NONSENSE\r\n\r\n")
	case Unframed:
		_, _ = rw.WriteString(head + "\r\n" + text)
	case ExtraAnswer:
		t.writeTwice(c, rw, head, text)
	}
	_ = rw.Flush()
}

// writeTwice sends a whole answer, a second one behind it, and goes on as if nothing
// were wrong: the next request on the connection gets the second one.
func (t *Target) writeTwice(c net.Conn, rw *bufio.ReadWriter, head, text string) {
	full := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(text), text)
	_, _ = rw.WriteString(full)
	_ = rw.Flush()
	time.Sleep(20 * time.Millisecond)
	_, _ = rw.WriteString(full)
	_ = rw.Flush()
	_ = c.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
	_, _ = rw.ReadByte()
}

// stream sends events from the one after Last-Event-Id.
func (t *Target) stream(w http.ResponseWriter, r *http.Request, m Behaviour) {
	w.Header().Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for id := from + 1; id <= t.EventCount; id++ {
		if m == Cuts && id == from+3 {
			_, _ = io.WriteString(w, "id: "+strconv.Itoa(id)+"\nda")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		if m == Skips && id == from+2 {
			continue
		}
		fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", id, id)
		_ = http.NewResponseController(w).Flush()
		if t.EventInterval > 0 {
			t.wait(r, t.EventInterval)
		}
		if r.Context().Err() != nil {
			return
		}
	}
}
