package gossip

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutstep.example/chestnutstep/config"
	"chestnutstep.example/chestnutstep/head"
)

// readTimeout bounds one read, in addition to the time that a watch waits.
const readTimeout = 5 * time.Second

// ErrStatus reports an unexpected HTTP status from the service.
type ErrStatus struct {
	Name   string
	Status int
}

// Error returns the name of the value read and the status.
func (err ErrStatus) Error() string {
	return fmt.Sprintf("read %s: status %d", err.Name, err.Status)
}

// IsErrStatus reports whether an error is an ErrStatus.
func IsErrStatus(err error) bool {
	return errors.As(err, new(ErrStatus))
}

// value is an answer of the service.
type value struct {
	content  []byte
	revision uint64
	// notModified reports that the service has no revision newer than the
	// requested one.
	notModified bool
}

// readValue reads a value. If after is above 0, it returns only newer revisions
// and waits up to wait for one. It returns ErrStatus for an unexpected status.
func (n *Node) readValue(ctx context.Context, name string, after uint64, wait time.Duration) (value, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	url := n.Platform + "/v/" + name
	if after > 0 {
		url += "?after=" + strconv.FormatUint(after, 10) + "&wait=" + wait.String()
	}
	res, err := n.request(ctx, url)
	if err != nil {
		return value{}, err
	}
	defer res.Body.Close()
	v := value{}
	v.revision, _ = strconv.ParseUint(res.Header.Get("Version"), 10, 64)
	switch res.StatusCode {
	case http.StatusNotModified:
		v.notModified = true
		return v, nil
	case http.StatusOK:
	default:
		return v, ErrStatus{Name: name, Status: res.StatusCode}
	}
	v.content, err = io.ReadAll(io.LimitReader(res.Body, config.MaxValueBytes+1))
	if err == nil && len(v.content) > config.MaxValueBytes {
		err = errors.Newf("read %s: larger than 1 MiB", name)
	}
	return v, err
}

func (n *Node) request(ctx context.Context, url string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.Wrap(err, "read the service")
	}
	res, err := n.HTTP.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "read the service")
	}
	if err := head.Check(res); err != nil {
		_ = res.Body.Close() // the answer is not used
		return nil, errors.Wrap(err, "read the service")
	}
	return res, nil
}
