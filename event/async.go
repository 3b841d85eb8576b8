package event

import (
	"io"
	"sync/atomic"
)

// maxQueuedLines is the maximum number of lines that wait for a slow reader: the lines of
// several seconds of a busy process, about a megabyte.
const maxQueuedLines = 2048

// AsyncWriter is a writer that never blocks: lines wait in a bounded queue, and are
// dropped and counted if it is full. Otherwise a pipe whose reader has stopped would
// block every request at its next log line. Create it with
// NewAsyncWriter.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	quit    chan struct{}
	done    chan struct{}
	dropped atomic.Int64
}

// NewAsyncWriter returns a writer that writes to out in the background. Close must be called at the end.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	a := &AsyncWriter{out: out, lines: make(chan []byte, maxQueuedLines), quit: make(chan struct{}), done: make(chan struct{})}
	go a.loop()
	return a
}

// Write queues one line, or drops it if the queue is full. It never returns an error.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	queued := append([]byte(nil), line...)
	select {
	case a.lines <- queued:
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (a *AsyncWriter) Dropped() int64 { return a.dropped.Load() }

// maxBatchBytes is the size in bytes at which a batch is written.
const maxBatchBytes = 32 << 10

// loop writes lines until Close, and then the queued ones.
func (a *AsyncWriter) loop() {
	defer close(a.done)
	for {
		select {
		case line := <-a.lines:
			a.write(line)
		case <-a.quit:
			a.drain()
			return
		}
	}
}

func (a *AsyncWriter) drain() {
	for {
		select {
		case line := <-a.lines:
			a.write(line)
		default:
			return
		}
	}
}

// write writes a line and the queued lines after it in one batch, as each write costs a system call.
func (a *AsyncWriter) write(batch []byte) {
	for len(batch) < maxBatchBytes {
		select {
		case next := <-a.lines:
			batch = append(batch, next...)
			continue
		default:
		}
		break
	}
	if _, err := a.out.Write(batch); err != nil {
		a.dropped.Add(1) // standard output is closed: the error can't be reported
	}
}

// Close writes the queued lines unless stopped is closed first. Lines written later are
// lost without an error, so that code that still runs during shutdown does not fail.
func (a *AsyncWriter) Close(stopped <-chan struct{}) {
	close(a.quit)
	select {
	case <-a.done:
	case <-stopped:
	}
}
