package fake

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// stream is one answer of an engine. The batch loop appends to it, and the
// connections that send it wait for its changes. The engine's mutex guards it.
type stream struct {
	request   string
	key       chatKey
	priority  int
	seed      uint64
	prompt    int
	output    int
	cached    int
	pace      int
	steps     int
	fault     Fault
	boot      string
	execution *Execution
	uncached  int // prompt tokens still to be computed
	tokens    int
	sum       *xxhash.Digest
	data      []byte
	finished  bool
	aborted   bool // the connection must be aborted, not closed cleanly
	change    chan struct{}
}

func (s *stream) notify() {
	close(s.change)
	s.change = make(chan struct{})
}

// advance counts a step and reports whether it generates a token of this answer.
func (s *stream) advance() bool {
	s.steps++
	return s.uncached == 0 && (s.steps-1)%s.pace == 0
}

// step appends one token and reports whether the answer has ended.
func (s *stream) step() bool {
	n := len(s.data)
	s.data = appendToken(s.data, s.seed, s.tokens)
	_, _ = s.sum.Write(s.data[n:])
	s.tokens++
	switch {
	case s.fault.Short > 0 && s.tokens >= s.fault.Short:
		return true
	case s.tokens < s.output:
		return false
	}
	s.data = appendDone(s.data, Done{
		Tokens: s.tokens,
		Sum:    strconv.FormatUint(s.sum.Sum64(), 16),
		Cached: s.cached,
	})
	return true
}

// outcome returns the outcome of an answer that ran to its last step.
func (s *stream) outcome() string {
	if s.tokens < s.output {
		return OutcomeBroken
	}
	return OutcomeDone
}

// isComplete reports whether the data ends with the last event of the answer.
func (s *stream) isComplete() bool {
	return s.finished && !s.aborted
}
