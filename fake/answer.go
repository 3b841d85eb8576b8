package fake

import (
	"bytes"
	"encoding/json"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Fragments of the event stream of an answer.
const (
	eventDone  = "event: done\n"
	eventError = "event: error\n"
	dataField  = "data: "
	eventEnd   = "\n\n"
)

// Done is the data of the last event of a complete answer.
type Done struct {
	Tokens int `json:"tokens"`
	// Sum is the XXH64 checksum, in hex, of all bytes before this event.
	Sum string `json:"sum"`
	// Cached is the number of prompt tokens found in the cache.
	Cached int `json:"cached"`
}

// Seed derives the seed of an answer's content from the chat and the body of
// the request, so that a caller can detect an answer to another request by its
// content, without relying on a header.
func Seed(chat string, body []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(chat)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body)
	return d.Sum64()
}

// appendToken appends the event of token n of the answer with the given seed.
func appendToken(dst []byte, seed uint64, n int) []byte {
	dst = append(dst, dataField...)
	dst = strconv.AppendUint(dst, mix(seed+uint64(n)), 16)
	return append(dst, eventEnd...)
}

// mix is the output function of SplitMix64: adjacent seeds give different tokens.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func appendDone(dst []byte, d Done) []byte {
	raw, _ := json.Marshal(d)
	dst = append(dst, eventDone...)
	dst = append(dst, dataField...)
	dst = append(dst, raw...)
	return append(dst, eventEnd...)
}

// ErrMisdelivered is returned when a stream contains events of an answer to
// another request.
type ErrMisdelivered struct {
	// Token is the number of the first wrong event.
	Token int
	// Got is the text of that event.
	Got string
}

func (e *ErrMisdelivered) Error() string {
	return "event " + strconv.Itoa(e.Token) + " belongs to another answer: " + strconv.Quote(e.Got)
}

// IsErrMisdelivered reports whether err is or wraps an ErrMisdelivered.
func IsErrMisdelivered(err error) bool {
	var e *ErrMisdelivered
	return errors.As(err, &e)
}

// Checker verifies an engine's event stream on the caller's side: that it
// answers the caller's own request and that it is complete. Write passes it
// the bytes of the stream in any pieces.
type Checker struct {
	// Seed is the seed of the expected answer.
	Seed uint64
	// Tokens is the number of valid tokens read so far.
	Tokens int
	// Done is the last event; nil until it arrives with a matching checksum.
	Done *Done
	// Failed reports whether the stream contained an error event.
	Failed bool

	buffer  []byte
	sum     xxhash.Digest
	started bool
}

// Write processes the next bytes of the stream. It returns an *ErrMisdelivered
// at the first event that is not part of the expected answer, and an error if
// the data of the last event is not valid JSON.
func (c *Checker) Write(p []byte) (int, error) {
	if !c.started {
		c.sum.Reset()
		c.started = true
	}
	c.buffer = append(c.buffer, p...)
	for {
		n := bytes.Index(c.buffer, []byte(eventEnd))
		if n < 0 {
			return len(p), nil
		}
		n += len(eventEnd)
		if err := c.event(c.buffer[:n]); err != nil {
			return 0, err
		}
		c.buffer = c.buffer[n:]
	}
}

func (c *Checker) event(e []byte) error {
	if bytes.HasPrefix(e, []byte(eventError)) {
		c.Failed = true
		return nil
	}
	if after, ok := bytes.CutPrefix(e, []byte(eventDone+dataField)); ok {
		return c.done(after)
	}
	var buf [64]byte
	if c.Done != nil || !bytes.Equal(e, appendToken(buf[:0], c.Seed, c.Tokens)) {
		return &ErrMisdelivered{Token: c.Tokens, Got: string(e)}
	}
	_, _ = c.sum.Write(e)
	c.Tokens++
	return nil
}

func (c *Checker) done(raw []byte) error {
	var d Done
	if err := json.Unmarshal(raw, &d); err != nil {
		return errors.Wrap(err, "last event")
	}
	if d.Tokens != c.Tokens || d.Sum != strconv.FormatUint(c.sum.Sum64(), 16) {
		return &ErrMisdelivered{Token: c.Tokens, Got: string(raw)}
	}
	c.Done = &d
	return nil
}
