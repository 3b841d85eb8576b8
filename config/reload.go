package config

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// reloadEvery is how often a settings file is looked at: it may change without
// a signal, and reading a page of text costs next to nothing.
const reloadEvery = 2 * time.Second

// Reloader reads a settings file again when it changed, or SIGHUP came. Set the
// fields before Loop.
type Reloader struct {
	Path  string
	Parse func(path string) (*Direct, error)
	// Changed hears of settings that differ; Refused of a file that can't be
	// used, once for each state of the file. The former settings stay.
	Changed func(s *Direct)
	Refused func(err error)
	// Every is reloadEvery when 0.
	Every time.Duration
	// Read is what the settings in force were read from, before they were parsed. A file
	// that changes between that and the first look would else never be noticed: the
	// process would keep settings that nobody sees any more. Nil takes what the file holds
	// when Loop begins.
	Read []byte

	last []byte
}

// Loop looks until ctx ends.
func (r *Reloader) Loop(ctx context.Context) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	if r.Every == 0 {
		r.Every = reloadEvery
	}
	tick := time.NewTicker(r.Every)
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
		r.look()
	}
}

func (r *Reloader) look() {
	raw, err := os.ReadFile(r.Path)
	if err != nil {
		r.refuse(nil, err)
		return
	}
	if bytes.Equal(raw, r.last) {
		return
	}
	s, err := r.Parse(r.Path)
	if err != nil {
		r.refuse(raw, err)
		return
	}
	r.last = raw
	r.Changed(s)
}

// refuse tells of a state of the file once.
func (r *Reloader) refuse(raw []byte, err error) {
	if raw == nil && r.last == nil {
		return
	}
	r.last = raw
	r.Refused(err)
}
