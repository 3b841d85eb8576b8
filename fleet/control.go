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

// ErrTimeout reports a condition that was not met within a time limit.
type ErrTimeout struct {
	Condition string
	Limit     time.Duration
	// Cause is the error of the last check.
	Cause error
}

// Error returns the condition, the time limit and the cause.
func (e *ErrTimeout) Error() string {
	out := e.Condition + ": not met within " + e.Limit.String()
	if e.Cause != nil {
		out += ": " + e.Cause.Error()
	}
	return out
}

// IsErrTimeout reports whether an error is an ErrTimeout.
func IsErrTimeout(err error) bool {
	var e *ErrTimeout
	return errors.As(err, &e)
}

// waitTimeout is generous, so that a slow machine doesn't fail a test.
const waitTimeout = 60 * time.Second

// pollInterval is the time between two checks of a condition.
const pollInterval = 20 * time.Millisecond

// WaitFor calls check until it returns nil. After waitTimeout, or when ctx is
// done, it returns ErrTimeout with the last error of check.
func WaitFor(ctx context.Context, condition string, check func() error) error {
	end := time.Now().Add(waitTimeout)
	for {
		err := check()
		if err == nil {
			return nil
		}
		if time.Now().After(end) || ctx.Err() != nil {
			return &ErrTimeout{condition, waitTimeout, err}
		}
		time.Sleep(pollInterval)
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
	return sendBody(ctx, http.MethodPost, address, path, raw)
}

func sendBody(ctx context.Context, method, address, path string, raw []byte) error {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(raw))
	if err != nil {
		return err
	}
	return send(r, nil)
}

func send(req *http.Request, v any) error {
	res, err := client.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(res.Body)
	if err != nil {
		return err
	}
	if res.StatusCode >= http.StatusMultipleChoices {
		return errors.Newf("%s %s: %s: %s", req.Method, req.URL.Path, res.Status, raw)
	}
	if v == nil {
		return nil
	}
	return errors.Wrap(json.Unmarshal(raw, v), req.URL.Path)
}

// SetFault sets the faults that a back end injects.
func (t *Target) SetFault(ctx context.Context, f fake.Fault) error {
	return post(ctx, t.Backend.Address, "/control/fault", f)
}

// Load returns the load that the back end itself reports.
func (t *Target) Load(ctx context.Context) (fake.Load, error) {
	var l fake.Load
	return l, get(ctx, t.Backend.Address, "/control/load", &l)
}

// Status returns the status that the process reports on its admin address.
func (p *Process) Status(ctx context.Context) (admin.Status, error) {
	var s admin.Status
	return s, get(ctx, p.Admin, "/status", &s)
}

// WaitReady waits until every running agent and entry is ready.
func (f *Fleet) WaitReady(ctx context.Context) error {
	for _, p := range f.processes() {
		if err := p.WaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// WaitReady waits until the process reports that it is ready. It returns
// ErrTimeout if the process doesn't, or has ended.
func (p *Process) WaitReady(ctx context.Context) error {
	return WaitFor(ctx, p.Name+" ready", func() error {
		if !p.Running() {
			return errors.Newf("process ended: %v", p.err)
		}
		return get(ctx, p.Admin, "/ready", nil)
	})
}

// WaitPublished waits until every running agent and entry has put the last
// publication in force, and returns how long that took.
func (f *Fleet) WaitPublished(ctx context.Context) (time.Duration, error) {
	start := time.Now()
	for _, p := range f.processes() {
		err := WaitFor(ctx, p.Name+" has the publication", func() error {
			s, err := p.Status(ctx)
			if err != nil {
				return err
			}
			if s.Publication.Version < f.Publication.Version {
				return errors.Newf("version %d in force, expected %d", s.Publication.Version, f.Publication.Version)
			}
			return nil
		})
		if err != nil {
			return 0, err
		}
	}
	return time.Since(start), nil
}

// processes returns the running agents and entries.
func (f *Fleet) processes() []*Process {
	var out []*Process
	for _, t := range f.Targets {
		if t.Agent.cmd != nil && t.Agent.Running() {
			out = append(out, t.Agent)
		}
	}
	for _, p := range f.Entries {
		if p.cmd != nil && p.Running() {
			out = append(out, p)
		}
	}
	return out
}
