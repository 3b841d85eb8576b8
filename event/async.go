package event

import (
	"io"
	"sync/atomic"
)

// maxQueuedLines is how many lines wait for a slow reader: some seconds' worth of a
// busy process, in about a megabyte.
const maxQueuedLines = 2048

// AsyncWriter is a writer that never blocks: lines wait in a bounded queue, and are
// counted and dropped when it is full. A pipe whose reader has stopped would
// otherwise hold up every request at its next line of the log. Make it with
// NewAsync.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	quit    chan struct{}
	done    chan struct{}
	dropped atomic.Int64
}

// NewAsyncWriter returns a writer in front of another. Close it at the end.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	a := &AsyncWriter{out: out, lines: make(chan []byte, maxQueuedLines), quit: make(chan struct{}), done: make(chan struct{})}
	go a.loop()
	return a
}

// Write takes one line, or drops it.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	queued := append([]byte(nil), line...)
	select {
	case a.lines <- queued:
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped is how many lines were dropped so far.
func (a *AsyncWriter) Dropped() int64 { return a.dropped.Load() }

// maxBatchBytes bounds the bytes of one write.
const maxBatchBytes = 32 << 10

// loop writes lines until Close, and then what still waits.
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

// drain writes what waits.
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

// write writes a line and those that wait behind it: each write costs a system call.
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
		a.dropped.Add(1) // standard output is gone: there is nowhere to say so
	}
}

// Close writes what waits, unless the reader has stopped. Lines that come later are
// lost: whatever still runs while a process ends must not fail for its log.
func (a *AsyncWriter) Close(stopped <-chan struct{}) {
	close(a.quit)
	select {
	case <-a.done:
	case <-stopped:
	}
}
