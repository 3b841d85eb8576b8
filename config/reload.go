package config

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// reloadInterval is the interval between checks of a settings file. The file can change
// without a signal, and reading a page of text is cheap.
const reloadInterval = 2 * time.Second

// Reloader reads a settings file again when it has changed or SIGHUP arrives. The
// fields must be set before Run.
type Reloader struct {
	Path  string
	Parse func(path string) (*DirectSettings, error)
	// OnChange is called with settings that differ from the previous ones. OnError is called
	// for a file that can't be used, once for each content; the previous settings stay in force.
	OnChange func(s *DirectSettings)
	OnError  func(err error)
	// Interval between checks; reloadInterval if 0.
	Interval time.Duration
	// Read is the file's content from which the settings in force were parsed. Without it, a
	// change between that read and the first check would not be detected, and the
	// process would keep settings that are no longer in the file. If nil, the content at the
	// start of Run is used.
	Read []byte

	last []byte
}

// Run checks the file until ctx ends.
func (r *Reloader) Run(ctx context.Context) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	if r.Interval == 0 {
		r.Interval = reloadInterval
	}
	tick := time.NewTicker(r.Interval)
	defer tick.Stop()
	r.last = r.Read
	if r.last == nil {
		r.last, _ = os.ReadFile(r.Path) // an error is reported by the next check
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		case <-tick.C:
		}
		r.check()
	}
}

func (r *Reloader) check() {
	raw, err := os.ReadFile(r.Path)
	if err != nil {
		r.reportError(nil, err)
		return
	}
	if bytes.Equal(raw, r.last) {
		return
	}
	s, err := r.Parse(r.Path)
	if err != nil {
		r.reportError(raw, err)
		return
	}
	r.last = raw
	r.OnChange(s)
}

// reportError reports the error once for each content of the file.
func (r *Reloader) reportError(raw []byte, err error) {
	if raw == nil && r.last == nil {
		return
	}
	r.last = raw
	r.OnError(err)
}
