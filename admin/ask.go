package admin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutstep.example/chestnutstep/audit"
)

const (
	// askTime bounds a question to one process: an operator who looks at a
	// fleet in trouble must not wait for the one host that hangs.
	askTime = 3 * time.Second
	// askMost bounds an answer in bytes: the largest fleet's status is below.
	askMost = 16 << 20
)

// ErrAnswer says that an admin address answered with an error.
type ErrAnswer struct {
	Addr string
	Code int
	Text string
}

// Error names the address and what it said.
func (e ErrAnswer) Error() string {
	return fmt.Sprintf("%s answered %d: %s", e.Addr, e.Code, e.Text)
}

// IsErrAnswer says whether an admin address answered with an error.
func IsErrAnswer(err error) bool {
	var e ErrAnswer
	return errors.As(err, &e)
}

// Ask reads the status of the process with that admin address.
func Ask(ctx context.Context, addr string) (Status, error) {
	var s Status
	err := ask(ctx, addr, "/status", &s)
	return s, err
}

// AskAudit reads all audit records that the process with that admin address
// keeps.
func AskAudit(ctx context.Context, addr string) ([]audit.Record, error) {
	var records []audit.Record
	err := ask(ctx, addr, "/audit", &records)
	return records, err
}

func ask(ctx context.Context, addr, path string, v any) error {
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return errors.Wrapf(err, "admin address %s", addr)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return errors.Wrap(err, "ask")
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, askMost))
	if err != nil {
		return errors.Wrapf(err, "admin address %s", addr)
	}
	if resp.StatusCode != http.StatusOK {
		return errors.WithStack(ErrAnswer{Addr: addr, Code: resp.StatusCode, Text: string(raw)})
	}
	return errors.Wrapf(json.Unmarshal(raw, v), "admin address %s", addr)
}
