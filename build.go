package chestnutstep

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
)

// BuildID identifies a build of a service.
type BuildID uint32

// NewBuildID returns the id of a build of a service.
func NewBuildID(service, build string) BuildID {
	d := xxhash.New()
	_, _ = d.WriteString(service) // a hash accepts any input
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(build)
	return BuildID(d.Sum64())
}

// Origins records which build began a stream, so that a caller that takes the stream up at another
// entry gets the rest from a target of the same build.
type Origins interface {
	// Record records the build of the target that sent the first event of a stream. attempt is the
	// ID of the caller's attempt.
	Record(attempt, service, build string)
	// Find returns the build that began the stream of an attempt, or false if no record of it was
	// found within the timeout.
	Find(ctx context.Context, attempt string, timeout time.Duration) (BuildID, bool)
}
