package config

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// reloadInterval is how often a settings file is looked at: it may change without
// a signal, and reading a page of text costs next to nothing.
const reloadInterval = 2 * time.Second

// Reloader reads a settings file again when it changed, or SIGHUP came. Set the
// fields before Loop.
type Reloader struct {
	Path  string
	Parse func(path string) (*DirectSettings, error)
	// OnChange hears of settings that differ; Refused of a file that can't be
	// used, once for each state of the file. The former settings stay.
	OnChange func(s *DirectSettings)
	OnError  func(err error)
	// Interval is reloadEvery when 0.
	Interval time.Duration
	// Read is what the settings in force were read from, before they were parsed. A file
	// that changes between that and the first look would else never be noticed: the
	// process would keep settings that nobody sees any more. Nil takes what the file holds
	// when Loop begins.
	Read []byte

	last []byte
}

// Run looks until ctx ends.
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
		r.last, _ = os.ReadFile(r.Path) // a failure shows at the next look
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

// reportError tells of a state of the file once.
func (r *Reloader) reportError(raw []byte, err error) {
	if raw == nil && r.last == nil {
		return
	}
	r.last = raw
	r.OnError(err)
}
