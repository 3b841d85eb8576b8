package event

import (
	"io"
	"sync/atomic"
)

// asyncLines is how many lines wait for a slow reader: some seconds' worth of a
// busy process, in about a megabyte.
const asyncLines = 2048

// Async is a writer that never blocks: lines wait in a bounded queue, and are
// counted and dropped when it is full. A pipe whose reader has stopped would
// otherwise hold up every request at its next line of the log. Make it with
// NewAsync.
type Async struct {
	out     io.Writer
	lines   chan []byte
	quit    chan struct{}
	done    chan struct{}
	dropped atomic.Int64
}

// NewAsync returns a writer in front of another. Close it at the end.
func NewAsync(out io.Writer) *Async {
	a := &Async{out: out, lines: make(chan []byte, asyncLines), quit: make(chan struct{}), done: make(chan struct{})}
	go a.loop()
	return a
}

// Write takes one line, or drops it.
func (a *Async) Write(line []byte) (int, error) {
	kept := append([]byte(nil), line...)
	select {
	case a.lines <- kept:
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped is how many lines were dropped so far.
func (a *Async) Dropped() int64 { return a.dropped.Load() }

// batchMost bounds the bytes of one write.
const batchMost = 32 << 10

// loop writes lines until Close, and then what still waits.
func (a *Async) loop() {
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
func (a *Async) drain() {
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
func (a *Async) write(batch []byte) {
	for len(batch) < batchMost {
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
func (a *Async) Close(stopped <-chan struct{}) {
	close(a.quit)
	select {
	case <-a.done:
	case <-stopped:
	}
}
