package fake

import (
	"bytes"
	"sync"

	"chestnutstep.example/chestnutstep"
)

// Fault is a target's misbehaviour. Posting one replaces the one before.
type Fault struct {
	// Slow multiplies the time that work takes; 0 and 1 are normal speed.
	Slow float64 `json:"slow,omitempty"`
	// Poison crashes the target that runs a body which contains this text.
	Poison string `json:"poison,omitempty"`
	// Cold makes an engine lose its cache and its warmth at once, without
	// changing its boot id.
	Cold bool `json:"cold,omitempty"`
	// Crash makes the target crash at once.
	Crash bool `json:"crash,omitempty"`
	// Drop closes all of an engine's connections at once; streams can be
	// resumed. A service has no use for it: its work goes on in any case.
	Drop bool `json:"drop,omitempty"`
	// Short ends an answer cleanly after so many tokens (or half of a
	// service's answer): the silently short answer that a caller must never see.
	Short int `json:"short,omitempty"`
	// Crossed answers under another Request-Id with another's content.
	Crossed bool `json:"crossed,omitempty"`
	// Hang takes requests and never answers.
	Hang bool `json:"hang,omitempty"`
	// Close drops the connection after so many tokens (or, at a service, after
	// the effect and before the answer). A stream can be resumed.
	Close int `json:"close,omitempty"`
	// Delay before work begins.
	Delay chestnutstep.Duration `json:"delay,omitempty"`
	// Status answers with this HTTP status and runs nothing.
	Status int `json:"status,omitempty"`
	// Count is how many requests are affected before the fault ends by itself;
	// 0 is no bound.
	Count int `json:"count,omitempty"`
}

// faultState is the fault in force.
type faultState struct {
	mu      sync.Mutex
	current Fault
}

func (f *faultState) set(v Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current = v
}

// take returns the fault for one request and counts it.
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

func (f Fault) poisons(body []byte) bool {
	return f.Poison != "" && bytes.Contains(body, []byte(f.Poison))
}

// untilClose is the part of the data that goes out before the connection is dropped.
// On a busy machine an answer may be whole before any of it was sent: cut only between
// two writes, it would arrive whole.
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

// closes says whether the connection is dropped after so many tokens.
func (f Fault) closes(sent int) bool {
	return f.Close > 0 && sent >= f.Close
}
