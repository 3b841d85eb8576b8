package stand

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Behaviour is the way in which a target handles one request.
type Behaviour string

// Behaviours.
const (
	Normal        Behaviour = "fine"     // sends a complete answer
	Shed          Behaviour = "shed"     // sheds the request with 503 and Not-Executed
	OtherInstance Behaviour = "other"    // answers with 421, as another instance at the same address
	Fails         Behaviour = "fails"    // runs the request and answers with 500
	Resets        Behaviour = "resets"   // runs the request and resets the connection without an answer
	Cuts          Behaviour = "cuts"     // closes the connection in the middle of the answer
	ExtraAnswer   Behaviour = "extra"    // sends a complete answer and then a second one
	Misdelivered  Behaviour = "crossed"  // sends the answer to another request
	Unsigned      Behaviour = "unsigned" // sends an answer without Server-Signature
	Garbage       Behaviour = "garbage"  // sends bytes that are not an HTTP response
	Unframed      Behaviour = "unframed" // sends an answer without Content-Length and closes the connection
	Early         Behaviour = "early"    // answers before it has read the body
	Hangs         Behaviour = "hangs"    // runs the request and never answers
	Slow          Behaviour = "slow"     // answers after 150 ms
	Skips         Behaviour = "skips"    // omits an event of a stream
	StatesLength  Behaviour = "states"   // states a body of 8 MB and sends one byte, for 500 ms
	BadEventID    Behaviour = "bad id"   // sends an event whose id is no number
	FromStart     Behaviour = "start"    // begins a stream at its first event, whatever the caller has
	Again         Behaviour = "again"    // begins with the last event that the caller has
	Ahead         Behaviour = "ahead"    // omits the first two events
	Notes         Behaviour = "notes"    // sends a comment and an event without id behind each event
	CutsAtNote    Behaviour = "cut note" // closes the connection behind an event without id
	Dies          Behaviour = "dies"     // ends all connections behind two events, as a process that is back at once
	NotFound      Behaviour = "missing"  // answers with 404, as if the stream were not known
)

// Late before a behaviour delays it by lateness, once for each time that it is repeated.
const (
	Late     = "late "
	lateness = 400 * time.Millisecond
)

// Framing is how the end of an answer is marked.
type Framing string

// Framings.
const (
	Plain    Framing = ""       // a length, or chunks if the answer is a stream
	ByLength Framing = "length" // a length
	ByChunks Framing = "chunks" // chunks
	ByClose  Framing = "close"  // the end of the connection
)

// Framings lists all framings but Plain, which is a mix of the others.
var Framings = []Framing{ByLength, ByChunks, ByClose}

// BehaviourQueue holds the behaviours of the next requests in order of their arrival.
// Several targets can share one. A nil queue is empty.
type BehaviourQueue struct {
	mu   sync.Mutex
	list []Behaviour
}

// Set replaces the queued behaviours.
func (q *BehaviourQueue) Set(list ...Behaviour) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.list = list
}

func (q *BehaviourQueue) next() (Behaviour, bool) {
	if q == nil {
		return "", false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.list) == 0 {
		return "", false
	}
	b := q.list[0]
	q.list = q.list[1:]
	return b, true
}

// Run is one request that a target started to run.
type Run struct {
	ID        string
	Target    string
	Workspace string
	Path      string
	Body      string
	Header    http.Header
	// Ended reports whether the target ran the request to its end.
	Ended bool
	// CallerLeft reports whether the connection was closed during the run.
	CallerLeft bool
	// EndedAt is the time at which the run ended; zero while it lasts.
	EndedAt time.Time
}

// Target emulates a server of the platform. Use NewTarget to create one.
type Target struct {
	// Name is the instance name.
	Name string
	// Build is the version of the target's software. It is part of the data of each event, because
	// streams of two builds don't fit together. The target does not check which build began a
	// stream that it continues.
	Build string
	// Framing is how the end of an answer is marked.
	Framing Framing
	// AstrayEvery makes every n-th stream that is to go on behind an event begin at another one; 0 for none.
	AstrayEvery int
	// RunLog receives a line of JSON for each run before the run begins, so that the runs of a process
	// that is killed are known; nil for none.
	RunLog io.Writer
	// EventCount is the number of events of a stream.
	EventCount int
	// EventBytes is the minimum size of an event of a stream in bytes; 0 for short ones.
	EventBytes int
	// AnswerBytes is the minimum size of an answer that is no stream; 0 for short ones.
	AnswerBytes int
	// NamesItself makes answers that are no streams repeat the target's name, see NamedAnswer.
	NamesItself bool
	// EventInterval is the time between two events of a stream.
	EventInterval time.Duration
	// BodyInterval is the time between the two halves of a body that is no stream; 0 writes it at once.
	BodyInterval time.Duration
	// Queue takes precedence over the target's own behaviours while it is not empty.
	// Several targets can share one.
	Queue *BehaviourQueue
	// KillRule selects the requests that kill the target; nil for none.
	KillRule *KillRule

	// load is the load that answers report; nil for none.
	load atomic.Pointer[string]

	server           *httptest.Server
	mu               sync.Mutex
	nextBehaviours   []Behaviour
	defaultBehaviour Behaviour
	runs             []*Run
	requests         int
	arrivals         []Arrival
	restUntil        time.Time
	leaving          bool
	capacity         Capacity
	running, waiting int
	start            int
	continued        int
	connections      int
	cachedParts      []string
	// readParts holds the tokens of the parts of prompts that were read.
	readParts  map[string]int
	cacheLists int
	// rejectedLists is the number of cache list calls that are still rejected.
	rejectedLists int
	stop          chan struct{}
	conns         map[net.Conn]bool
	dead          bool
	// reservedPortFD is the file descriptor of the socket that reserves the port of a
	// dead target.
	reservedPortFD int
}

// NewHandler returns a target that serves no address, for a server of the caller. That server must call
// Track for its connections.
func NewHandler(name string) *Target {
	return &Target{Name: name, EventCount: 4, defaultBehaviour: Normal, stop: make(chan struct{})}
}

// NewTarget starts a target with an instance name. The caller must close it.
func NewTarget(name string) *Target {
	t := NewHandler(name)
	t.server = httptest.NewUnstartedServer(t)
	t.server.Config.ConnState = t.Track
	t.server.Start()
	return t
}

// Address returns the target's IP and port.
func (t *Target) Address() string { return strings.TrimPrefix(t.server.URL, "http://") }

// Close stops the target and closes its connections.
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

// SetBehaviour sets the behaviours for the next requests, one each, and the default
// behaviour for all requests after them.
func (t *Target) SetBehaviour(behaviour Behaviour, next ...Behaviour) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.defaultBehaviour, t.nextBehaviours = behaviour, next
}

// SetLoad sets the load that answers report from now on, as in the header Server-Load.
func (t *Target) SetLoad(text string) { t.load.Store(&text) }

// SetCachedParts sets the parts in the target's answers to cache list calls.
func (t *Target) SetCachedParts(parts ...string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cachedParts = parts
}

// RejectLists makes the target reject the next n cache list calls.
func (t *Target) RejectLists(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rejectedLists = n
}

// CacheLists returns the number of cache list calls received.
func (t *Target) CacheLists() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cacheLists
}

// Runs returns a copy of the requests that the target started to run.
func (t *Target) Runs() []Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]Run, 0, len(t.runs))
	for _, r := range t.runs {
		list = append(list, *r)
	}
	return list
}

// Requests returns the number of requests received, whether or not they ran.
func (t *Target) Requests() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.requests
}

// Connections returns the number of connections accepted so far.
func (t *Target) Connections() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.connections
}

// nextBehaviour counts a request and returns its behaviour.
func (t *Target) nextBehaviour() Behaviour {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests++
	if b, ok := t.Queue.next(); ok {
		return b
	}
	if len(t.nextBehaviours) == 0 {
		return t.defaultBehaviour
	}
	b := t.nextBehaviours[0]
	t.nextBehaviours = t.nextBehaviours[1:]
	return b
}

// ServeHTTP handles a request according to its behaviour.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !t.admit(w, r) {
		return
	}
	switch r.URL.Path {
	case "/api/kv-list":
		t.writeCacheList(w)
		return
	case HealthPath:
		w.Header().Set("Instance-Id", t.Name)
		t.reportLoad(w.Header())
		return
	case resetPath:
		t.closeConnections(true)
		return
	}
	behaviour := t.delay(r, t.nextBehaviour())
	if want := r.Header.Get("Expect-Instance"); want != t.Name || behaviour == OtherInstance {
		w.Header().Set("Instance-Id", "i-other")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if behaviour == Shed {
		t.shed(w)
		return
	}
	if behaviour == Early {
		t.answerEarly(w, r)
		return
	}
	body, _ := io.ReadAll(r.Body)
	if !t.takeSlot(w, r) {
		return
	}
	run := &Run{
		ID: r.Header.Get("Attempt-Id"), Target: t.Name, Workspace: r.Header.Get("Tenant"),
		Path: r.RequestURI, Body: string(body), Header: r.Header.Clone(),
	}
	t.recordRun(run)
	defer t.releaseSlot(run)
	if t.KillRule.matches(run) {
		t.killDuringAnswer(w, r, run)
		return
	}
	t.answer(w, r, behaviour, run)
	t.mu.Lock()
	run.CallerLeft = r.Context().Err() != nil
	run.Ended = !run.CallerLeft
	t.mu.Unlock()
}

// delay waits as a behaviour says, and returns the behaviour after that.
func (t *Target) delay(r *http.Request, b Behaviour) Behaviour {
	rest, late := strings.CutPrefix(string(b), Late)
	if !late {
		return b
	}
	body, _ := io.ReadAll(r.Body) // net/http notices that a caller has left only once the body is read
	r.Body = io.NopCloser(bytes.NewReader(body))
	t.wait(r, lateness)
	return t.delay(r, Behaviour(rest))
}

// recordRun records a run that is about to begin.
func (t *Target) recordRun(run *Run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs = append(t.runs, run)
	t.readPrompt(run.Header.Get("Prefix-Hash"))
	if t.RunLog == nil {
		return
	}
	_ = json.NewEncoder(t.RunLog).Encode(run) // the reader notices a run that is missing
}

// cacheBlock is the number of tokens that are cached together.
const cacheBlock = 16

// readPrompt adds the parts of a prompt to the cache, each as ID:TOKENS. The caller must hold the lock.
func (t *Target) readPrompt(parts string) {
	for _, part := range strings.Split(parts, ",") {
		id, size, _ := strings.Cut(part, ":")
		tokens, err := strconv.Atoi(size)
		if err != nil {
			continue
		}
		if t.readParts == nil {
			t.readParts = make(map[string]int)
		}
		t.readParts[id] = tokens / cacheBlock * cacheBlock
	}
}

func (t *Target) writeCacheList(w http.ResponseWriter) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cacheLists++
	if t.rejectedLists > 0 {
		t.rejectedLists--
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	var rows []string
	for _, p := range t.cachedParts {
		rows = append(rows, fmt.Sprintf(`["",%q,1000,"m"]`, p))
	}
	for id, tokens := range t.readParts {
		rows = append(rows, fmt.Sprintf(`["",%q,%d,"m"]`, id, tokens))
	}
	fmt.Fprintf(w, `{"epoch":1,"next":1,"held":[%s]}`, strings.Join(rows, ","))
}

// answerEarly answers without reading the body and keeps the connection open for two
// seconds.
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

// sign sets the headers that mark an answer as the target's.
func (t *Target) sign(h http.Header, id string) {
	h.Set("Attempt-Id", id)
	h.Set("Server-Signature", "sig-"+t.Name)
	t.reportLoad(h)
	if t.Framing == ByClose {
		h.Set("Transfer-Encoding", "identity") // net/http then closes the connection after the answer
	}
}

// setLength sets the length of an answer, unless the target's answers have none.
func (t *Target) setLength(h http.Header, n int) {
	if t.Framing == Plain || t.Framing == ByLength {
		h.Set("Content-Length", strconv.Itoa(n))
	}
}

// setStreamLength sets the length of the stream that follows an event, if the target's streams have one.
func (t *Target) setStreamLength(h http.Header, from int) {
	if t.Framing != ByLength {
		return
	}
	n := 0
	for id := from + 1; id <= t.EventCount; id++ {
		n += len(t.event(id))
	}
	h.Set("Content-Length", strconv.Itoa(n))
}

func (t *Target) answer(w http.ResponseWriter, r *http.Request, behaviour Behaviour, run *Run) {
	t.work(r)
	switch behaviour {
	case Resets:
		reset(w)
		return
	case Hangs:
		t.wait(r, time.Hour)
		return
	case Slow:
		t.wait(r, 150*time.Millisecond)
	case Garbage, ExtraAnswer, Unframed, StatesLength:
		t.writeRaw(w, behaviour, run)
		return
	}
	if slices.Contains(EndlessBehaviours, behaviour) {
		t.writeEndless(w, behaviour, run.ID)
		return
	}
	id := run.ID
	if behaviour == Misdelivered {
		id = "another"
	}
	t.sign(w.Header(), id)
	if behaviour == Unsigned {
		w.Header().Del("Server-Signature")
	}
	if behaviour == NotFound {
		w.WriteHeader(http.StatusNotFound)
		_, _ = io.WriteString(w, "no such stream")
		return
	}
	if strings.Contains(run.Path, "/stream/") {
		t.stream(w, r, behaviour)
		return
	}
	text := t.body(run.ID)
	text += strings.Repeat("x", max(t.AnswerBytes-len(text), 0))
	t.setLength(w.Header(), len(text))
	if behaviour == Fails {
		w.WriteHeader(http.StatusInternalServerError)
	}
	if behaviour == Cuts {
		_, _ = io.WriteString(w, text[:4])
		panic(http.ErrAbortHandler)
	}
	t.writeBody(w, r, text)
}

// writeBody writes a body, in two halves if there is a BodyInterval.
func (t *Target) writeBody(w http.ResponseWriter, r *http.Request, text string) {
	half := 0
	if t.BodyInterval > 0 {
		half = len(text) / 2
		_, _ = io.WriteString(w, text[:half])
		_ = http.NewResponseController(w).Flush()
		t.wait(r, t.BodyInterval)
	}
	if t.Framing == ByChunks {
		_ = http.NewResponseController(w).Flush() // net/http states the length of a body that was not flushed
	}
	_, _ = io.WriteString(w, text[half:])
}

func (t *Target) wait(r *http.Request, d time.Duration) {
	select {
	case <-r.Context().Done():
	case <-time.After(d):
	case <-t.stop:
	}
}

// writeRaw writes to the hijacked connection, because net/http does not send
// malformed answers.
func (t *Target) writeRaw(w http.ResponseWriter, behaviour Behaviour, run *Run) {
	c, rw, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	text := t.body(run.ID)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Signature: sig-%s\r\n", run.ID, t.Name)
	switch behaviour {
	case Garbage:
		_, _ = rw.WriteString("NONSENSE\r\n\r\n")
	case Unframed:
		_, _ = rw.WriteString(head + "\r\n" + text)
	case ExtraAnswer:
		t.writeTwice(c, rw, head, text)
	case StatesLength:
		fmt.Fprintf(rw, "%sContent-Length: %d\r\n\r\nx", head, 8<<20)
		_ = rw.Flush()
		time.Sleep(500 * time.Millisecond)
	}
	_ = rw.Flush()
}

// writeTwice sends a complete answer and then a second one, and keeps the connection
// open until a byte arrives, for 300 ms at most: a client that reuses the connection
// reads the second answer as the answer to its next request.
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

// Note is a comment and an event without id, as a target with the behaviour Notes sends them.
const Note = ": still there\n\ndata: note\n\n"

// Event returns an event of a stream as a target with the given build sends it.
func Event(id int, build string) string {
	if build == "" {
		return fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id)
	}
	return fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", id, id, build)
}

// event returns an event of this target, padded by a comment line to EventBytes.
func (t *Target) event(id int) string {
	text := Event(id, t.Build)
	if fill := t.EventBytes - len(text); fill > 0 {
		return ": " + strings.Repeat("x", fill) + "\n" + text
	}
	return text
}

// WithoutComments removes the comment lines of events, also one that is cut.
func WithoutComments(text string) string {
	var b strings.Builder
	for _, line := range strings.SplitAfter(text, "\n") {
		if !strings.HasPrefix(line, ":") {
			b.WriteString(line)
		}
	}
	return b.String()
}

// Builds returns the builds of the targets that sent the events of a stream, in order and each
// named once for events in a row.
func Builds(text string) []string {
	var list []string
	for _, line := range strings.Split(text, "\n") {
		_, build, ok := strings.Cut(line, " of ")
		if ok && strings.HasPrefix(line, "data: ") && (len(list) == 0 || list[len(list)-1] != build) {
			list = append(list, build)
		}
	}
	return list
}

// stray returns the event after which a stream goes on: another one than asked for if it is its turn.
func (t *Target) stray(from int) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if from == 0 || t.AstrayEvery == 0 {
		return from
	}
	t.continued++
	if t.continued%t.AstrayEvery != 0 {
		return from
	}
	wrong := []int{0, from - 1, from + 1}[t.continued/t.AstrayEvery%3]
	if wrong >= t.EventCount {
		return from // a stream without events has no beginning
	}
	return wrong
}

// stream sends the events that follow Last-Event-Id.
func (t *Target) stream(w http.ResponseWriter, r *http.Request, behaviour Behaviour) {
	w.Header().Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	switch behaviour {
	case FromStart:
		from = 0
	case Again:
		from = max(from-1, 0)
	case Ahead:
		from += 2
	}
	from = t.stray(from)
	t.setStreamLength(w.Header(), from)
	for id := from + 1; id <= t.EventCount; id++ {
		if behaviour == Cuts && id == from+3 {
			_, _ = io.WriteString(w, "id: "+strconv.Itoa(id)+"\nda")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		if behaviour == Dies && id == from+3 {
			t.closeConnections(false)
			return
		}
		if behaviour == CutsAtNote && id == from+2 {
			panic(http.ErrAbortHandler)
		}
		if behaviour == Skips && id == from+2 {
			continue
		}
		if behaviour == BadEventID && id == from+1 {
			_, _ = io.WriteString(w, "id: x\n\n")
		}
		_, _ = io.WriteString(w, t.event(id))
		if behaviour == Notes || behaviour == CutsAtNote {
			_, _ = io.WriteString(w, Note)
		}
		_ = http.NewResponseController(w).Flush()
		if t.EventInterval > 0 {
			t.wait(r, t.EventInterval)
		}
		if r.Context().Err() != nil {
			return
		}
	}
}
