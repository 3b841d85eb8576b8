package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the time since the start.
type record struct {
	start time.Time

	mu   sync.Mutex
	file *os.File
	buf  *bufio.Writer
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: f, buf: bufio.NewWriter(f)}, nil
}

// add writes a line to the file.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.buf, "%8.4f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.buf, format+"\n", args...)
}

// print writes a line to the file and to standard output.
func (r *record) print(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.buf.Flush()
	_ = r.file.Close()
}
