package chestnutstep

import (
	"context"
	"fmt"
	"time"
)

// FactKind determines which field of a Fact is set.
type FactKind uint8

// The kinds of a fact.
const (
	FactUnknown   FactKind = iota // an entry of another writer; it is ignored
	FactRouting                   // a version of the configuration
	FactDomainOut                 // a failure domain is out of service
	FactInstance                  // a target
)

// Topic is a subset of the facts that is read separately, so that a large configuration
// does not delay changes of targets.
type Topic uint8

// The topics.
const (
	TopicTargets Topic = iota // the targets
	TopicRouting              // the configuration, and failure domains out of service
	// TopicCount is the number of topics.
	TopicCount
)

var topicNames = [TopicCount]string{"targets", "routing"}

// String returns the name of the topic in logs and between entries.
func (t Topic) String() string {
	if t < TopicCount {
		return topicNames[t]
	}
	return fmt.Sprintf("topic %d", uint8(t))
}

// ParseTopic returns the topic with the given name, and false if no topic has it.
func ParseTopic(name string) (Topic, bool) {
	for t := range TopicCount {
		if topicNames[t] == name {
			return t, true
		}
	}
	return 0, false
}

// Topic returns the topic that facts of this kind belong to.
func (k FactKind) Topic() Topic {
	if k == FactInstance {
		return TopicTargets
	}
	return TopicRouting
}

// Fact is the content of one published entry at one revision.
type Fact struct {
	Kind FactKind
	// Name of the instance or failure domain.
	Name string
	// Revision is the revision at which the entry changed last.
	Revision uint64
	// Deleted reports whether the entry was removed.
	Deleted bool
	Routing *Routing
	// Instance is nil if the entry names no target to use, e.g. as it comes from another writer.
	Instance *Instance
	// Raw is the entry as published. Peers that read facts from this process receive it and
	// decode it themselves.
	Raw []byte
}

// Batch is the result of one read.
type Batch struct {
	// Revision is the revision from which a watch must continue to miss no change.
	Revision uint64
	Facts    []Fact
	// Age is the maximum time by which the answer predates the start of the call; 0 for
	// an answer of the source itself.
	Age time.Duration
	// SettleTime is the remaining time in which missing instances can still reappear after
	// the source was lost.
	SettleTime time.Duration
	// Bytes is the size of the answer, and TimeToFirstByte the time until its first byte.
	Bytes           int
	TimeToFirstByte time.Duration
}

// IsDirect reports whether the source itself answered.
func (b *Batch) IsDirect() bool { return b.Age == 0 }

// Source reads the published facts of one topic. It is read-only.
type Source interface {
	// List reads all facts. The error is ErrSource.
	List(ctx context.Context) (Batch, error)
	// Watch waits until there are changes after a revision or the wait time is
	// over. The error is ErrSource.
	Watch(ctx context.Context, after uint64, wait time.Duration) (Batch, error)
}

// History holds changes of a topic that a source still knows.
type History struct {
	// Facts are the changes in their order, removals included.
	Facts []Fact
	// IsComplete reports whether they reach back to the first revision of the source.
	IsComplete bool
}

// Historian is a Source that also returns earlier changes.
type Historian interface {
	Source
	// History reads the changes up to a revision, as far back as the source keeps them. The error is
	// ErrSource.
	History(ctx context.Context, until uint64) (History, error)
}

// ErrSource reports that a read from a source failed.
type ErrSource struct {
	// Status is the HTTP status of the answer; 0 if there was none.
	Status int
	// Compacted reports that the history after the revision is gone: a full read is required.
	Compacted bool
	Err       error
}

// Error returns the cause, or the status of the answer.
func (err ErrSource) Error() string {
	if err.Err != nil {
		return "source: " + err.Err.Error()
	}
	return fmt.Sprintf("source: status %d", err.Status)
}

// Unwrap returns the cause.
func (err ErrSource) Unwrap() error { return err.Err }

// Decoder decodes an entry from the form in which it was published.
type Decoder interface {
	Decode(kind FactKind, name string, revision uint64, raw []byte) Fact
}
