package fake

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"chestnutstep.example/chestnutstep"
)

func (e *Engine) routes() {
	e.mux = http.NewServeMux()
	e.mux.HandleFunc("/", e.serve)
	e.mux.HandleFunc("GET /control/load", e.getLoad)
	e.mux.HandleFunc("POST /control/cancel", e.postCancel)
	e.mux.HandleFunc("GET "+resumePath, e.getResume)
	e.mux.HandleFunc("GET /control/kv", e.getKV)
	e.mux.HandleFunc("PUT /control/kv", e.putKV)
	e.mux.HandleFunc("GET /control/events", e.getEvents)
	e.mux.HandleFunc("POST /control/orders", e.postOrder)
	e.mux.HandleFunc("GET /control/orders", e.getOrders)
	e.mux.HandleFunc("POST /control/fault", e.postFault)
	e.mux.HandleFunc("GET /control/log", e.getLog)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func (e *Engine) getLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	if time.Now().Before(e.downUntil) {
		e.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	l := e.reports.at(time.Now())
	if l.Boot == "" {
		l = Load{Boot: e.boot, Cold: e.cold(), Lag: e.ReportLag.Seconds()}
	}
	e.mu.Unlock()
	writeJSON(w, l)
}

func (e *Engine) find(r *http.Request) *stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.streams[r.URL.Query().Get("request")]
}

func (e *Engine) postCancel(w http.ResponseWriter, r *http.Request) {
	s := e.find(r)
	if s == nil {
		http.NotFound(w, r)
		return
	}
	e.cancel(s)
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) getResume(w http.ResponseWriter, r *http.Request) {
	s := e.find(r)
	if s == nil {
		http.NotFound(w, r)
		return
	}
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	if err != nil || offset < 0 {
		http.Error(w, "offset: want bytes from 0 up", http.StatusBadRequest)
		return
	}
	linger, _ := time.ParseDuration(r.Header.Get(HeaderLinger))
	e.copy(w, r, s, offset, linger)
}

func chatKeyOf(r *http.Request) chatKey {
	q := r.URL.Query()
	return chatKey{q.Get("workspace"), q.Get("chat")}
}

func (e *Engine) getKV(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	n := e.cache.cachedTokens(chatKeyOf(r), e.CacheTokens)
	boot := e.boot
	e.mu.Unlock()
	if n == 0 {
		http.NotFound(w, r)
		return
	}
	w.Header().Set(chestnutstep.HeaderCachedTokens, strconv.Itoa(n))
	w.Header().Set(chestnutstep.HeaderBootID, boot)
	w.Header().Set("Content-Length", strconv.Itoa(n*e.KVBytesPerToken))
	page := make([]byte, e.KVBytesPerToken)
	for range n {
		if _, err := w.Write(page); err != nil {
			return
		}
	}
}

func (e *Engine) putKV(w http.ResponseWriter, r *http.Request) {
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	tokens, err := strconv.Atoi(r.Header.Get(chestnutstep.HeaderCachedTokens))
	if err != nil || int64(tokens*e.KVBytesPerToken) != n {
		http.Error(w, "the body does not hold as many tokens as it says", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	e.cache.store(chatKeyOf(r), tokens)
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// EventPage is a page of cache events. If Engine.EventGap is set, some events
// are left out.
type EventPage struct {
	Events []CacheEvent `json:"events"`
}

func (e *Engine) getEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	time.Sleep(e.ReportLag)
	e.mu.Lock()
	page := EventPage{Events: []CacheEvent{}}
	for _, v := range e.cache.events[min(max(after, 0), len(e.cache.events)):] {
		if e.EventGap == 0 || v.Seq%e.EventGap != 0 {
			page.Events = append(page.Events, v)
		}
	}
	e.mu.Unlock()
	writeJSON(w, page)
}

func (e *Engine) postOrder(w http.ResponseWriter, r *http.Request) {
	var v Order
	if !readJSON(w, r, &v) {
		return
	}
	fence, err := strconv.ParseUint(r.Header.Get(chestnutstep.HeaderFencingNumber), 10, 64)
	if err != nil {
		http.Error(w, chestnutstep.HeaderFencingNumber+": want a number", http.StatusBadRequest)
		return
	}
	v.Fence = fence
	if !e.orders.accept(v, e.Fenced) {
		http.Error(w, "an order with a higher fencing number came before", http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) getOrders(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, e.orders.list())
}

func (e *Engine) postFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if readJSON(w, r, &f) {
		e.SetFault(f)
		w.WriteHeader(http.StatusNoContent)
	}
}

// SetFault replaces the current fault. Cold, Crash and Drop take effect once, at
// this call.
func (e *Engine) SetFault(f Fault) {
	e.once.Do(e.start)
	e.mu.Lock()
	defer e.mu.Unlock()
	if f.Cold {
		e.served = 0
		e.cache.clear()
		e.reports.add(time.Now(), e.load())
	}
	if f.Crash {
		e.crash()
	}
	if f.Drop {
		e.dropCount++
		for _, s := range e.streams {
			s.notify()
		}
	}
	f.Cold, f.Crash, f.Drop = false, false, false
	e.faults.set(f)
}

func (e *Engine) getLog(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, e.Journal.Executions())
}
