// Package ending decides whether an answer of a target has ended, or only its connection. Entries and
// agents ask it before they let an answer end for its caller.
package ending

import (
	"net"
	"time"
)

// Witness shows whether the process that sends an answer lives when the answer has ended. Confirm or Release
// must be called once.
type Witness interface {
	// Await waits until the witness can prove something about an answer to a request that is sent after it,
	// for up to a limit.
	Await(limit time.Duration)
	// Attach sets the connection of the answer.
	Attach(answer net.Conn)
	// Confirm returns the state of the process after the end of the answer. If quiet is set, it sends
	// nothing.
	Confirm(quiet bool) Process
	// Release ends a witness that is not needed.
	Release()
}

// Framing is how the end of an answer is marked.
type Framing uint8

// Framings.
const (
	// Framed answers have a length or chunks.
	Framed Framing = iota
	// Marked answers are streams whose last event is known.
	Marked
	// Unframed answers end with their connection.
	Unframed
)

// Process is what is known of the target's process after the end of the connection.
type Process uint8

// States of a process.
const (
	// Unknown means that nothing relates the process that is there now to the one that answered.
	Unknown Process = iota
	// Lives means that the process that answered was there after the end of the connection.
	Lives
	// Ended means that it was not.
	Ended
)

var processNames = []string{"unknown", "lives", "ended"}

// String returns the name of the state in logs.
func (p Process) String() string { return processNames[p] }

// Verdict is the decision on an answer.
type Verdict uint8

// Verdicts.
const (
	// Cut answers must not look complete to a caller.
	Cut Verdict = iota
	// Whole answers have ended.
	Whole
	// Unproven answers ended with a connection of which it is unknown who closed it.
	Unproven
)

var verdictNames = []string{"cut", "whole", "unproven"}

// String returns the name of the verdict.
func (v Verdict) String() string { return verdictNames[v] }

// End is the state of an answer after its last byte was read.
type End struct {
	Framing Framing
	// Err is the error of the last read; nil at the end of the body.
	Err error
	// HasMarker reports whether the last event of a Marked answer was received completely.
	HasMarker bool
	// Process is the state of the process for an Unframed answer.
	Process Process
}

// Judge returns the verdict on an answer. The end of a connection proves nothing by itself: the kernel
// closes the connections of a process that dies in the same way.
func Judge(e End) Verdict {
	switch {
	case e.Framing == Marked && e.HasMarker:
		return Whole // nothing follows, however the connection ended
	case e.Framing == Marked, e.Err != nil:
		return Cut
	case e.Framing == Framed, e.Process == Lives:
		return Whole
	case e.Process == Ended:
		return Cut
	default:
		return Unproven
	}
}
