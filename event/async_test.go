package event

import (
	"bytes"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// reader is what a log is written to; it can stop reading.
type reader struct {
	mu  sync.Mutex
	got bytes.Buffer
}

func (r *reader) Write(b []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.got.Write(b)
}

// Whatever reads the log stops for a while, as a full disk or a stuck shipper makes
// it do. A log that waits for it holds up every request, and callers see a service
// that stands still while all its targets idle.
func TestReaderStops(t *testing.T) {
	r := &reader{}
	a := NewAsync(r)
	l := &Log{Out: a, Process: "p"}
	l.Emit(ProcessStart)
	r.mu.Lock()
	began := time.Now()
	for i := range 10 * asyncLines {
		l.Emit(TargetsChanged, Int("n", int64(i)))
	}
	took := time.Since(began)
	dropped := a.Dropped()
	r.mu.Unlock()
	stopped := make(chan struct{})
	a.Close(stopped)
	assert.Assert(t, took < 5*time.Second, "%s", took)
	assert.Assert(t, dropped > 0)
	lines := int64(bytes.Count(r.got.Bytes(), []byte("\n")))
	assert.Equal(t, lines+a.Dropped(), int64(10*asyncLines+1), "each line is written or counted")
}

// A process ends while its log's reader stands still, and something in it writes one
// more line. A log that fails then turns a planned stop into a crash.
func TestLineAfterClose(t *testing.T) {
	r := &reader{}
	a := NewAsync(r)
	a.Close(nil)
	for range 2 * asyncLines {
		_, err := a.Write([]byte("late\n"))
		assert.NilError(t, err)
	}
}

// Lines come out whole and in order.
func TestAsyncKeepsOrder(t *testing.T) {
	r := &reader{}
	a := NewAsync(r)
	want := ""
	for i := range 500 {
		line := fmt.Sprintf("line %d\n", i)
		want += line
		_, err := a.Write([]byte(line))
		assert.NilError(t, err)
	}
	a.Close(nil)
	assert.Equal(t, r.got.String(), want)
}
