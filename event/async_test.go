package event

import (
	"bytes"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// blockableWriter is the destination of a log; holding mu blocks it.
type blockableWriter struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (r *blockableWriter) Write(b []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.buf.Write(b)
}

// TestBlockedWriter guards against a log whose reader stops, because of a full disk or a stuck
// log shipper. A log that waited for its reader would block every request while all
// targets are idle.
func TestBlockedWriter(t *testing.T) {
	r := &blockableWriter{}
	a := NewAsyncWriter(r)
	l := &Log{Out: a, Process: "p"}
	l.Emit(ProcessStart)
	r.mu.Lock()
	began := time.Now()
	for i := range 10 * maxQueuedLines {
		l.Emit(TargetsChanged, Int("n", int64(i)))
	}
	took := time.Since(began)
	dropped := a.Dropped()
	r.mu.Unlock()
	stopped := make(chan struct{})
	a.Close(stopped)
	assert.Assert(t, took < 5*time.Second, "%s", took)
	assert.Assert(t, dropped > 0)
	lines := int64(bytes.Count(r.buf.Bytes(), []byte("\n")))
	assert.Equal(t, lines+a.Dropped(), int64(10*maxQueuedLines+1), "each line is written or counted")
}

// TestWriteAfterClose guards against a line that is written after Close. If it failed, a planned
// stop would become a crash.
func TestWriteAfterClose(t *testing.T) {
	r := &blockableWriter{}
	a := NewAsyncWriter(r)
	a.Close(nil)
	for range 2 * maxQueuedLines {
		_, err := a.Write([]byte("late\n"))
		assert.NilError(t, err)
	}
}

// TestAsyncWriterKeepsOrder checks that lines are written completely and in order.
func TestAsyncWriterKeepsOrder(t *testing.T) {
	r := &blockableWriter{}
	a := NewAsyncWriter(r)
	want := ""
	for i := range 500 {
		line := fmt.Sprintf("line %d\n", i)
		want += line
		_, err := a.Write([]byte(line))
		assert.NilError(t, err)
	}
	a.Close(nil)
	assert.Equal(t, r.buf.String(), want)
}
