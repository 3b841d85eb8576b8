package chestnutstep

import (
	"context"
	"fmt"
	"time"
)

// FactKind says which field of a Fact holds.
type FactKind uint8

// The kinds of a fact.
const (
	FactUnknown   FactKind = iota // another writer's entry; it is left alone
	FactRouting                   // a version of the configuration
	FactDomainOut                 // a failure domain is out of service
	FactInstance                  // a target
)

// Topic is a part of the facts that is read on its own, so that a large configuration holds
// up no change of targets.
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

// ParseTopic returns the topic of a name, and whether there is one.
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

// Fact is one published entry as of one revision.
type Fact struct {
	Kind FactKind
	// Name of the instance or failure domain.
	Name string
	// Revision is when the entry changed last.
	Revision uint64
	// Deleted says that the entry was removed.
	Deleted  bool
	Routing  *Routing
	Instance *Instance
	// Raw is the entry as it was published, for peers that can't read it.
	Raw []byte
}

// Batch is the answer to one read.
type Batch struct {
	// Revision is where a watch has to go on to miss nothing.
	Revision uint64
	Facts    []Fact
	// Age is by how much the answer may be older than the beginning of the call; 0 for
	// an answer of the source itself.
	Age time.Duration
	// SettleTime is for how much longer instances that are missing may still come back, after
	// the source was lost.
	SettleTime time.Duration
	// Bytes is the size of the answer, and First how long it took to begin.
	Bytes           int
	TimeToFirstByte time.Duration
}

// IsDirect says that the source itself answered.
func (b *Batch) IsDirect() bool { return b.Age == 0 }

// Source is where the facts of one topic are published. Nothing is ever written there.
type Source interface {
	// List reads all facts. The error is ErrSource.
	List(ctx context.Context) (Batch, error)
	// Watch waits until there are changes after a revision, or the time is
	// over. The error is ErrSource.
	Watch(ctx context.Context, after uint64, wait time.Duration) (Batch, error)
}

// ErrSource says that a source did not answer as it should.
type ErrSource struct {
	// Status is what it answered, 0 for no answer.
	Status int
	// Compacted says that the history after the revision is gone: a full read is due.
	Compacted bool
	Err       error
}

// Error says which answer came.
func (err ErrSource) Error() string {
	if err.Err != nil {
		return "source: " + err.Err.Error()
	}
	return fmt.Sprintf("source: status %d", err.Status)
}

// Unwrap returns the cause.
func (err ErrSource) Unwrap() error { return err.Err }

// Decoder reads an entry in the form in which it was published.
type Decoder interface {
	Decode(kind FactKind, name string, revision uint64, raw []byte) Fact
}
