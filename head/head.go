// Package head checks the heads of answers. net/http accepts some that other recipients read differently: an answer
// whose "Content-Length " has a blank before the colon ends elsewhere for its server than for net/http, which takes
// that line for a field of another name.
package head

import (
	"fmt"
	"net/http"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

const (
	minStatus = 100
	maxStatus = 599
	// maxText limits what an error cites of a head, in bytes.
	maxText = 64
)

// ErrHead is the error of a head that is no valid one of HTTP/1.
type ErrHead struct {
	// Part is the part of the answer: "protocol", "status", "field name", "field value" or "framing".
	Part string
	// Value is the beginning of its value.
	Value string
}

// Error returns a text with the part and its value.
func (err ErrHead) Error() string {
	return fmt.Sprintf("answer with invalid %s: %q", err.Part, err.Value)
}

// IsErrHead reports whether err is or wraps an ErrHead.
func IsErrHead(err error) bool {
	var e ErrHead
	return errors.As(err, &e)
}

func newErr(part, value string) error { return ErrHead{part, value[:min(len(value), maxText)]} }

// Check returns an ErrHead if the head of an answer is not valid. An answer with status 101 is none either, as no request
// asks for another protocol.
func Check(resp *http.Response) error {
	if resp.ProtoMajor != 1 {
		return newErr("protocol", resp.Proto)
	}
	if resp.StatusCode < minStatus || resp.StatusCode > maxStatus || resp.StatusCode == http.StatusSwitchingProtocols {
		return newErr("status", resp.Status)
	}
	return CheckFields(resp.Header)
}

// CheckFields returns an ErrHead if a field of a head, or of the trailer behind the last chunk, is not valid.
func CheckFields(h http.Header) error {
	for name, values := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return newErr("field name", name)
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return newErr("field value", v)
			}
		}
	}
	return nil
}

// Transport is a transport whose answers have valid heads. The error for any other one is an ErrHead, which reads of a
// body return if its trailer is not valid.
type Transport struct {
	// Base sends the requests. If it dials by Scan, interim heads are checked as well.
	Base http.RoundTripper
}

// RoundTrip sends a request and checks the head of its answer.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.Base.RoundTrip(traceScan(r))
	if err != nil {
		return nil, err
	}
	if err := Check(resp); err != nil {
		_ = resp.Body.Close() // the answer is not used
		return nil, err
	}
	resp.Body = trailerBody{resp.Body, resp}
	return resp, nil
}

// CloseIdleConnections closes the idle connections of the base.
func (t Transport) CloseIdleConnections() {
	if c, ok := t.Base.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}
