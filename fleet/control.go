package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutstep.example/chestnutstep/admin"
	"chestnutstep.example/chestnutstep/fake"
)

// ErrLate says that a condition did not come true in time.
type ErrLate struct {
	What  string
	Limit time.Duration
	// Last is what was seen last.
	Last error
}

func (e *ErrLate) Error() string {
	out := e.What + ": not within " + e.Limit.String()
	if e.Last != nil {
		out += ": " + e.Last.Error()
	}
	return out
}

// IsErrLate reports whether err says that a condition did not come true.
func IsErrLate(err error) bool {
	var e *ErrLate
	return errors.As(err, &e)
}

// limit is generous: a slow machine must not fail a test.
const limit = 60 * time.Second

// poll is the time between two looks at a condition.
const poll = 20 * time.Millisecond

// Until looks at a condition until it holds.
func Until(ctx context.Context, what string, holds func() error) error {
	end := time.Now().Add(limit)
	for {
		err := holds()
		if err == nil {
			return nil
		}
		if time.Now().After(end) || ctx.Err() != nil {
			return &ErrLate{what, limit, err}
		}
		time.Sleep(poll)
	}
}

func get(ctx context.Context, address, path string, v any) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	return send(r, v)
}

func post(ctx context.Context, address, path string, v any) error {
	raw, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return put(ctx, http.MethodPost, address, path, raw)
}

func put(ctx context.Context, method, address, path string, raw []byte) error {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(raw))
	if err != nil {
		return err
	}
	return send(r, nil)
}

func send(r *http.Request, v any) error {
	w, err := client.Do(r)
	if err != nil {
		return err
	}
	defer w.Body.Close()
	raw, err := io.ReadAll(w.Body)
	if err != nil {
		return err
	}
	if w.StatusCode >= http.StatusMultipleChoices {
		return errors.Newf("%s %s: %s: %s", r.Method, r.URL.Path, w.Status, raw)
	}
	if v == nil {
		return nil
	}
	return errors.Wrap(json.Unmarshal(raw, v), r.URL.Path)
}

// Fault makes a target misbehave.
func (t *Target) Fault(ctx context.Context, f fake.Fault) error {
	return post(ctx, t.Back.Address, "/control/fault", f)
}

// Load reads a target's own report.
func (t *Target) Load(ctx context.Context) (fake.Load, error) {
	var l fake.Load
	return l, get(ctx, t.Back.Address, "/control/load", &l)
}

// Status reads what a process says of itself.
func (p *Process) Status(ctx context.Context) (admin.Status, error) {
	var s admin.Status
	return s, get(ctx, p.Admin, "/status", &s)
}

// Ready waits until every agent and entry that runs is ready.
func (f *Fleet) Ready(ctx context.Context) error {
	for _, p := range f.processes() {
		if err := p.Ready(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Ready waits until the process says that it is ready.
func (p *Process) Ready(ctx context.Context) error {
	return Until(ctx, p.Name+" ready", func() error {
		if !p.Running() {
			return errors.Newf("it ended: %v", p.err)
		}
		return get(ctx, p.Admin, "/ready", nil)
	})
}

// Settled waits until every agent and entry that runs has put the last
// publication in force, and returns how long that took.
func (f *Fleet) Settled(ctx context.Context) (time.Duration, error) {
	began := time.Now()
	for _, p := range f.processes() {
		err := Until(ctx, p.Name+" has the publication", func() error {
			s, err := p.Status(ctx)
			if err != nil {
				return err
			}
			if s.Publication.Version < f.Publication.Version {
				return errors.Newf("version %d, not %d", s.Publication.Version, f.Publication.Version)
			}
			return nil
		})
		if err != nil {
			return 0, err
		}
	}
	return time.Since(began), nil
}

// processes lists the agents and entries that run.
func (f *Fleet) processes() []*Process {
	var out []*Process
	for _, t := range f.Targets {
		if t.Agent.cmd != nil && t.Agent.Running() {
			out = append(out, t.Agent)
		}
	}
	for _, p := range f.Doors {
		if p.cmd != nil && p.Running() {
			out = append(out, p)
		}
	}
	return out
}
