// Package origin records which build began a stream, so that a caller that takes the stream up at
// another entry gets the rest from a target of the same build. What two builds write does not fit
// together, and targets don't check it.
//
// The entry that forwards the first event sends a record to a few other entries, which a hash of
// the caller's attempt selects. An entry at which the caller resumes the stream looks the record up there.
// Nothing is stored outside of the entries: a record is lost if all of its holders end.
package origin

import (
	"github.com/cespare/xxhash/v2"

	"chestnutstep.example/chestnutstep"
)

// StreamID identifies a stream by the attempt of the caller that received its first event.
type StreamID uint64

// NewStreamID returns the id of the stream that began in the attempt with the given id.
func NewStreamID(attempt string) StreamID { return StreamID(xxhash.Sum64String(attempt)) }

// Record states which build began a stream.
type Record struct {
	_      struct{} `cbor:",toarray"`
	Stream StreamID
	Build  chestnutstep.BuildID
}
