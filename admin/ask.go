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
	// fetchTimeout bounds a question to one process: an operator who looks at a
	// fleet in trouble must not wait for the one host that hangs.
	fetchTimeout = 3 * time.Second
	// maxResponseBytes bounds an answer in bytes: the largest fleet's status is below.
	maxResponseBytes = 16 << 20
)

// ErrResponse says that an admin address answered with an error.
type ErrResponse struct {
	Addr string
	Code int
	Text string
}

// Error names the address and what it said.
func (e ErrResponse) Error() string {
	return fmt.Sprintf("%s answered %d: %s", e.Addr, e.Code, e.Text)
}

// IsErrResponse says whether an admin address answered with an error.
func IsErrResponse(err error) bool {
	var e ErrResponse
	return errors.As(err, &e)
}

// FetchStatus reads the status of the process with that admin address.
func FetchStatus(ctx context.Context, addr string) (Status, error) {
	var s Status
	err := fetchJSON(ctx, addr, "/status", &s)
	return s, err
}

// FetchAudit reads all audit records that the process with that admin address
// keeps.
func FetchAudit(ctx context.Context, addr string) ([]audit.Record, error) {
	var records []audit.Record
	err := fetchJSON(ctx, addr, "/audit", &records)
	return records, err
}

func fetchJSON(ctx context.Context, addr, path string, v any) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
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
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return errors.Wrapf(err, "admin address %s", addr)
	}
	if resp.StatusCode != http.StatusOK {
		return errors.WithStack(ErrResponse{Addr: addr, Code: resp.StatusCode, Text: string(raw)})
	}
	return errors.Wrapf(json.Unmarshal(raw, v), "admin address %s", addr)
}
