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
	// fetchTimeout is the timeout of a query to one process: an operator who inspects a
	// fleet during an incident must not wait for a host that hangs.
	fetchTimeout = 3 * time.Second
	// maxResponseBytes is the maximum size of a response in bytes, above the status of the largest fleet.
	maxResponseBytes = 16 << 20
)

// ErrResponse reports that an admin address answered with an error status.
type ErrResponse struct {
	Addr string
	Code int
	Text string
}

// Error returns the address, the status and the text of the response.
func (e ErrResponse) Error() string {
	return fmt.Sprintf("%s answered %d: %s", e.Addr, e.Code, e.Text)
}

// IsErrResponse reports whether an error is an ErrResponse.
func IsErrResponse(err error) bool {
	var e ErrResponse
	return errors.As(err, &e)
}

// FetchStatus reads the status of the process with the given admin address.
func FetchStatus(ctx context.Context, addr string) (Status, error) {
	var s Status
	err := fetchJSON(ctx, addr, "/status", &s)
	return s, err
}

// FetchAudit reads all audit records held in memory by the process with the given admin
// address.
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
