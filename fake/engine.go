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
)

// Headers of the fleet that a target sees beside those of the root package.
const (
	HeaderWorkspace = "Chestnut-Workspace"
	// HeaderLinger asks an engine to go on for so long after the connection
	// broke, as a Go duration, so that the stream can be resumed.
	HeaderLinger = "Linger"
)

// Engine stands in for a model engine: it batches continuously, caches prompt
// prefixes in limited memory, is fragile while cold, and reports its load
// late. Set the fields, then serve it over HTTP.
type Engine struct {
	// BaseStep and Slope are the time of one step: Base plus Slope for each
	// running request.
	BaseStep, StepPerRequest time.Duration
	// PrefillPerToken is the time for one prompt token that is not in the cache.
	PrefillPerToken time.Duration
	// Slots is how many requests run at once; the rest wait inside the engine.
	Slots int
	// CacheTokens bounds the prefix cache in tokens.
	CacheTokens int
	// ColdCapacity is how many requests the engine can carry until it has served Warm
	// requests since its last start. One more and it falls over. 0 switches the
	// cold start off.
	ColdCapacity, WarmupRequests int
	// CrashLoad is how many requests make even a warm engine fall over; 0 is never.
	CrashLoad int
	// RestartTime is how long it drops every connection after it fell over.
	RestartTime time.Duration
	// ReportLag of load reports and cache events.
	ReportLag time.Duration
	// EventGap leaves out each Gap-th cache event; 0 leaves out none.
	EventGap int
	// Fenced refuses orders that carry an older fencing number.
	Fenced bool
	// KVBytesPerToken is the bytes of KV cache for one token.
	KVBytesPerToken int
	// Rand draws boot ids.
	Rand *rand.Rand
	// Journal is the log of executions.
	Journal Journal

	once        sync.Once
	mux         *http.ServeMux
	mu          sync.Mutex
	boot        string
	bootCount   int
	served      int
	downUntil   time.Time // when it answers again after falling over
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

// ChatRequest is what a caller sends to an engine.
type ChatRequest struct {
	// Prompt is the history in tokens.
	Prompt int `json:"prompt"`
	// Output is how many tokens to generate.
	Output int `json:"output"`
	// Pace gives this answer a token only at each Pace-th step: a load test
	// holds many slow streams open beside quick ones. 0 and 1 are each step.
	Pace int `json:"pace,omitempty"`
	// Note makes the body, and so the answer, unlike any other.
	Note string `json:"note,omitempty"`
	// Text is any further content.
	Text string `json:"text,omitempty"`
}

// Defaults of an engine's fields: an engine that is quick enough for tests and
// slow enough that a batch forms.
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

// reboot draws a new boot id. The caller holds the lock or is the first.
func (e *Engine) reboot() {
	e.bootCount++
	e.boot = strconv.FormatUint(e.Rand.Uint64(), 16)
	e.served = 0
	e.cache.clear()
}

// ServeHTTP serves requests on any path and the controls below /control/.
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
	if f.Status != 0 {
		http.Error(w, "fault", f.Status)
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

// admit takes a request in, or lets the engine fall over.
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

// inFlight counts what the engine has taken in and not ended. A canceled answer
// stays in the batch until its next step, but costs nothing any more: its
// cancel was confirmed, and who asked for it takes the place for free.
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

// crash cuts every running answer, loses the cache and draws a new boot id.
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

// copy writes the answer to a connection from an offset on as it grows.
func (e *Engine) copy(w http.ResponseWriter, r *http.Request, s *stream, offset int, linger time.Duration) {
	c := http.NewResponseController(w)
	headSent := false
	sent := 0
	drops := e.currentDrops()
	for {
		data, aborted, over, change := e.peek(s, offset)
		if e.currentDrops() != drops {
			e.cancelAfter(s, linger)
			panic(http.ErrAbortHandler)
		}
		if aborted && len(data) == 0 {
			panic(http.ErrAbortHandler)
		}
		if !headSent && (len(data) > 0 || over) {
			headSent = true
			s.head(w.Header())
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
		if over {
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

// resumePath continues a stream; its connection is not closed again by the
// fault that closed the first one.
const resumePath = "/control/resume"

// peek returns the bytes from an offset on. The slice stays valid: the stream
// only ever appends.
func (e *Engine) peek(s *stream, offset int) (data []byte, aborted, over bool, change <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if offset < len(s.data) {
		data = s.data[offset:]
	}
	return data, s.aborted, s.finished, s.change
}

// currentDrops counts how often all connections were closed.
func (e *Engine) currentDrops() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dropCount
}

// cancelAfter is called when a connection broke: the answer is cancelled, at once or
// after the time that the request asked for.
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
	// The batch lets go of it at its next step, which may be under way.
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

// Crashes returns how often the engine fell over.
func (e *Engine) Crashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(e.bootCount-1, 0)
}
