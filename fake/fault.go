package fake

import (
	"bytes"
	"net/http"
	"sync"

	"chestnutstep.example/chestnutstep"
)

// Fault configures how a target misbehaves. A new fault replaces the previous one.
type Fault struct {
	// Slow multiplies the processing time; 0 and 1 mean normal speed.
	Slow float64 `json:"slow,omitempty"`
	// Poison is a text: a request whose body contains it crashes the target.
	Poison string `json:"poison,omitempty"`
	// Cold clears an engine's cache and returns it to the cold state at once,
	// without a new boot id.
	Cold bool `json:"cold,omitempty"`
	// Crash makes the target crash at once.
	Crash bool `json:"crash,omitempty"`
	// Drop closes all connections of an engine at once; streams can be resumed.
	// Services ignore it: an action continues without its connection.
	Drop bool `json:"drop,omitempty"`
	// Short ends an answer cleanly after this number of tokens; a service sends
	// half of its answer. Callers must never receive such a truncated answer.
	Short int `json:"short,omitempty"`
	// Crossed answers with the Request-Id and the content of another request.
	Crossed bool `json:"crossed,omitempty"`
	// Hang accepts requests and never answers them.
	Hang bool `json:"hang,omitempty"`
	// Close closes the connection after this number of tokens; a service closes
	// it after the effect and before the answer. A stream can be resumed.
	Close int `json:"close,omitempty"`
	// Delay is the time before processing begins.
	Delay chestnutstep.Duration `json:"delay,omitempty"`
	// Status is an HTTP status to answer with, without running the request.
	Status int `json:"status,omitempty"`
	// Retry is the Retry-After of such an answer, in seconds.
	Retry string `json:"retry,omitempty"`
	// Leaving announces in the answers that the target leaves.
	Leaving bool `json:"leaving,omitempty"`
	// Count is the number of requests that the fault affects before it is
	// cleared; 0 means no limit.
	Count int `json:"count,omitempty"`
}

// faultState holds the current fault.
type faultState struct {
	mu      sync.Mutex
	current Fault
}

func (f *faultState) set(v Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current = v
}

// take returns the fault that applies to one request and counts the request.
func (f *faultState) take() Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.current
	if v.Count > 0 {
		f.current.Count--
		if f.current.Count == 0 {
			f.current = Fault{}
		}
	}
	return v
}

func (f *faultState) slowdown() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current.Slow <= 0 {
		return 1
	}
	return f.current.Slow
}

// writeHead sets the headers of the fault. It returns true if the answer is complete with that, and the
// request does not run.
func (f Fault) writeHead(w http.ResponseWriter) (done bool) {
	if f.Leaving {
		w.Header().Set(chestnutstep.HeaderLeaving, "1")
	}
	if f.Status == 0 {
		return false
	}
	if f.Retry != "" {
		w.Header().Set("Retry-After", f.Retry)
	}
	http.Error(w, "fault", f.Status)
	return true
}

func (f Fault) poisons(body []byte) bool {
	return f.Poison != "" && bytes.Contains(body, []byte(f.Poison))
}

// untilClose returns the part of the data to send before the connection is closed.
// On a busy machine an answer can be complete before any of it is sent; closing
// only between two writes would then deliver the complete answer.
func (f Fault) untilClose(data []byte, sent int) []byte {
	if f.Close <= 0 {
		return data
	}
	end := 0
	for ; sent < f.Close; sent++ {
		i := bytes.Index(data[end:], []byte(eventEnd))
		if i < 0 {
			return data
		}
		end += i + len(eventEnd)
	}
	return data[:end]
}

// closes reports whether the connection is closed after this number of sent tokens.
func (f Fault) closes(sent int) bool {
	return f.Close > 0 && sent >= f.Close
}
