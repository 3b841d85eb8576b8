package fake

import (
	"bytes"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/stand"
)

// Headers that targets receive in addition to those of the root package.
const (
	HeaderWorkspace = "Chestnut-Workspace"
	// HeaderLinger is a Go duration: the time for which an engine continues an
	// answer after its connection breaks, so that the stream can be resumed.
	HeaderLinger = "Linger"
)

// Engine is a fake model engine: it uses continuous batching, caches prompt
// prefixes in limited memory, crashes under little load while cold, and reports
// its load with a delay. Set the fields before the first request; ServeHTTP
// applies the defaults.
type Engine struct {
	// BaseStep and StepPerRequest give the duration of one step: BaseStep plus
	// StepPerRequest for each request in the batch.
	BaseStep, StepPerRequest time.Duration
	// PrefillPerToken is the time for one prompt token that is not in the cache.
	PrefillPerToken time.Duration
	// Slots is the maximum size of the batch; further requests are queued inside
	// the engine.
	Slots int
	// CacheTokens is the size of the prefix cache in tokens.
	CacheTokens int
	// ColdCapacity is the number of requests that the engine can handle
	// concurrently until it has served WarmupRequests requests since its last
	// start. One more crashes it. 0 disables the cold start.
	ColdCapacity, WarmupRequests int
	// CrashLoad is the number of concurrent requests above which even a warm
	// engine crashes; 0 means no limit.
	CrashLoad int
	// RestartTime is the time after a crash during which the engine drops every
	// connection.
	RestartTime time.Duration
	// ReportLag is the delay of load reports and cache events.
	ReportLag time.Duration
	// EventGap omits every EventGap-th cache event; 0 omits none.
	EventGap int
	// Fenced makes the engine refuse orders with a lower fencing number than one
	// it has accepted.
	Fenced bool
	// KVBytesPerToken is the size of the KV cache of one token, in bytes.
	KVBytesPerToken int
	// Framing is how the end of an answer is marked: stand.ByClose or else chunks.
	Framing stand.Framing
	// Rand generates boot ids.
	Rand *rand.Rand
	// Journal records all executions.
	Journal Journal

	once        sync.Once
	mux         *http.ServeMux
	mu          sync.Mutex
	boot        string
	bootCount   int
	served      int
	downUntil   time.Time // end of the restart after a crash
	dropCount   int
	loopRunning bool
	queue       []*stream
	batch       []*stream
	streams     map[string]*stream
	ended       []string
	cache       prefixCache
	reports     reportLog
	orders      orderLog
	faults      faultState
}

// ChatRequest is the body of a request to an engine.
type ChatRequest struct {
	// Prompt is the length of the prompt in tokens.
	Prompt int `json:"prompt"`
	// Output is the number of tokens to generate.
	Output int `json:"output"`
	// Pace generates a token of this answer only at every Pace-th step, so that a
	// load test can keep many slow streams open next to fast ones. 0 and 1 mean
	// every step.
	Pace int `json:"pace,omitempty"`
	// Note makes the body, and therefore the answer, unique.
	Note string `json:"note,omitempty"`
	// Text is any further content.
	Text string `json:"text,omitempty"`
}

// Defaults of the fields of Engine: fast enough for tests and slow enough that
// batches form.
const (
	defaultSlots = 32
	defaultCache = 200_000
	defaultKV    = 64
)

func (e *Engine) start() {
	if e.Slots == 0 {
		e.Slots = defaultSlots
	}
	if e.CacheTokens == 0 {
		e.CacheTokens = defaultCache
	}
	if e.KVBytesPerToken == 0 {
		e.KVBytesPerToken = defaultKV
	}
	if e.Rand == nil {
		e.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	e.cache.maxTokens = e.CacheTokens
	e.streams = map[string]*stream{}
	e.reports.lag = e.ReportLag
	e.reboot()
	e.routes()
}

// reboot generates a new boot id and clears the cache. The caller holds e.mu,
// except at the start.
func (e *Engine) reboot() {
	e.bootCount++
	e.boot = strconv.FormatUint(e.Rand.Uint64(), 16)
	e.served = 0
	e.cache.clear()
}

// ServeHTTP serves the control endpoints under /control/ and chat requests on all
// other paths.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.once.Do(e.start)
	e.mux.ServeHTTP(w, r)
}

func (e *Engine) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	f := e.faults.take()
	w.Header().Set(chestnutstep.HeaderRequestID, r.Header.Get(chestnutstep.HeaderRequestID))
	if f.writeHead(w) {
		return
	}
	var chat ChatRequest
	if err := json.Unmarshal(body, &chat); err != nil {
		http.Error(w, "the body is not JSON: "+err.Error(), http.StatusBadRequest)
		return
	}
	time.Sleep(f.Delay.Std())
	s, ok := e.admit(r, body, chat, f)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	linger, _ := time.ParseDuration(r.Header.Get(HeaderLinger))
	e.copy(w, r, s, 0, linger)
}

// admit queues a request. It returns false if the engine is down or crashes
// under the request.
func (e *Engine) admit(r *http.Request, body []byte, chat ChatRequest, f Fault) (*stream, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Now().Before(e.downUntil) {
		return nil, false
	}
	s := e.newStream(r, body, chat, f)
	e.streams[s.request] = s
	if f.Hang {
		return s, true
	}
	e.queue = append(e.queue, s)
	e.reports.add(time.Now(), e.load())
	if f.poisons(body) || e.overloaded() {
		e.crash()
		return nil, false
	}
	if !e.loopRunning {
		e.loopRunning = true
		go e.loop()
	}
	return s, true
}

func (e *Engine) newStream(r *http.Request, body []byte, chat ChatRequest, f Fault) *stream {
	key := chatKey{r.Header.Get(HeaderWorkspace), r.Header.Get(chestnutstep.HeaderChat)}
	cached := e.cache.cachedTokens(key, chat.Prompt)
	s := &stream{
		request:  r.Header.Get(chestnutstep.HeaderRequestID),
		key:      key,
		seed:     Seed(key.chat, body),
		prompt:   chat.Prompt,
		output:   max(chat.Output, 1),
		cached:   cached,
		uncached: chat.Prompt - cached,
		pace:     max(chat.Pace, 1),
		fault:    f,
		boot:     e.boot,
		sum:      xxhash.New(),
		change:   make(chan struct{}),
	}
	s.priority, _ = strconv.Atoi(r.Header.Get(chestnutstep.HeaderPriority))
	if f.Crossed {
		s.request += "-other"
		s.seed++
	}
	s.execution = e.Journal.start(Execution{
		Request:   r.Header.Get(chestnutstep.HeaderRequestID),
		Workspace: key.workspace,
		Chat:      key.chat,
		Path:      r.URL.Path,
		Boot:      e.boot,
		Prompt:    chat.Prompt,
		Cached:    cached,
	})
	return s
}

func (e *Engine) cold() bool {
	return e.ColdCapacity > 0 && e.served < e.WarmupRequests
}

// inFlight returns the number of requests that are queued or running. A canceled
// answer stays in the batch until the next step but is not counted: its cancel
// is confirmed, and the sender already treats its slot as free.
func (e *Engine) inFlight() int {
	n := len(e.queue)
	for _, s := range e.batch {
		if !s.finished {
			n++
		}
	}
	return n
}

func (e *Engine) overloaded() bool {
	n := e.inFlight()
	if e.cold() && n > e.ColdCapacity {
		return true
	}
	return e.CrashLoad > 0 && n > e.CrashLoad
}

// crash aborts every running answer, clears the cache and generates a new boot id.
func (e *Engine) crash() {
	for _, s := range append(e.queue, e.batch...) {
		s.aborted = true
		e.finish(s, OutcomeCrashed)
	}
	e.queue, e.batch = nil, nil
	for id, s := range e.streams {
		if !s.finished {
			s.aborted = true
			e.finish(s, OutcomeCrashed)
		}
		delete(e.streams, id)
	}
	e.ended = nil
	e.downUntil = time.Now().Add(e.RestartTime)
	e.reboot()
	e.reports.add(time.Now(), e.load())
}

// copy streams the answer to a connection, starting at the given byte offset,
// until the answer ends.
func (e *Engine) copy(w http.ResponseWriter, r *http.Request, s *stream, offset int, linger time.Duration) {
	c := http.NewResponseController(w)
	headSent := false
	sent := 0
	drops := e.currentDrops()
	for {
		data, aborted, finished, change := e.peek(s, offset)
		if e.currentDrops() != drops {
			e.cancelAfter(s, linger)
			panic(http.ErrAbortHandler)
		}
		if aborted && len(data) == 0 {
			panic(http.ErrAbortHandler)
		}
		if !headSent && (len(data) > 0 || finished) {
			headSent = true
			s.head(w.Header())
			setFraming(w.Header(), e.Framing, 0)
		}
		if r.URL.Path != resumePath {
			data = s.fault.untilClose(data, sent)
		}
		if len(data) > 0 {
			if _, err := w.Write(data); err != nil {
				e.cancelAfter(s, linger)
				return
			}
			_ = c.Flush()
			offset += len(data)
			sent += bytes.Count(data, []byte(eventEnd))
			if r.URL.Path != resumePath && s.fault.closes(sent) {
				e.cancelAfter(s, linger)
				panic(http.ErrAbortHandler)
			}
			continue
		}
		if finished {
			return
		}
		select {
		case <-change:
		case <-r.Context().Done():
			e.cancelAfter(s, linger)
			return
		}
	}
}

func (s *stream) head(h http.Header) {
	h.Set("Content-Type", "text/event-stream")
	h.Set(chestnutstep.HeaderRequestID, s.request)
	h.Set(chestnutstep.HeaderBootID, s.boot)
	h.Set(chestnutstep.HeaderCachedTokens, strconv.Itoa(s.cached))
}

// resumePath is the endpoint that resumes a stream. The Close fault that closed
// the first connection does not apply to it.
const resumePath = "/control/resume"

// peek returns the bytes of the stream from an offset on, its state, and a
// channel that is closed at the next change. The slice stays valid, because the
// stream only appends.
func (e *Engine) peek(s *stream, offset int) (data []byte, aborted, finished bool, change <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if offset < len(s.data) {
		data = s.data[offset:]
	}
	return data, s.aborted, s.finished, s.change
}

// currentDrops returns the number of Drop faults so far.
func (e *Engine) currentDrops() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dropCount
}

// cancelAfter cancels an answer whose connection broke, after the linger time of
// its request.
func (e *Engine) cancelAfter(s *stream, linger time.Duration) {
	if linger <= 0 {
		e.cancel(s)
		return
	}
	time.AfterFunc(linger, func() { e.cancel(s) })
}

func (e *Engine) cancel(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.finished {
		return
	}
	e.queue = without(e.queue, s)
	s.aborted = true
	// The next step, which may be in progress, removes it from the batch.
	e.finish(s, OutcomeCanceled)
	e.reports.add(time.Now(), e.load())
}

func without(list []*stream, s *stream) []*stream {
	for i, v := range list {
		if v == s {
			return append(list[:i:i], list[i+1:]...)
		}
	}
	return list
}

// Crashes returns the number of crashes so far.
func (e *Engine) Crashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(e.bootCount-1, 0)
}
